// What the controllers of a fleet share: versioned entries, each written by its owner alone, spread by
// digests and deltas (scuttlebutt reconciliation: van Renesse, Dumitriu, Gough, Thomas, 2008). Decisions
// alone: no I/O, no clock; `now` is a span since this controller's start and never goes back. docs/share.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/bucket_ring.hpp"

namespace paddletrack::share {

// Bounds of what is shared. An entry with its owner's name always fits one datagram.
constexpr std::size_t kLongestOwner = 64, kLongestKey = 64, kLongestValue = 1024;  // bytes
constexpr std::size_t kEntryCost = 160;          // bytes that an entry costs beside its key and its value
constexpr std::size_t kOwnerBytes = 256 * 1024;  // of one owner, costs counted in
constexpr std::size_t kMostOwners = 1024;
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 62;  // generations and versions stay below

// What an entry is about; each has one writer in the program. 0 is kept for a membership.
using Topic = std::uint8_t;
constexpr Topic kMembership = 0, kLoad = 1, kHindsight = 2, kRebalance = 3, kColdStart = 4, kMostTopic = 63;

// One entry as it travels. Bytes are anything; what a value means is its topic's own.
struct Item {
  Topic topic = 0;
  std::string key, value;
  std::uint64_t version = 0;  // from 1 on, one count for all entries of an owner and generation
  bool gone = false;          // removed: the value is empty
  Span age{0};                // since its owner wrote or renewed it, added up over all who passed it on
};

// What somebody has of the owners whose names are from `first` to `last`: an owner in between that is not
// named is not known there. A whole digest has an empty `first` and an empty `last` (no end).
struct Digest {
  struct Line {
    std::string owner;
    std::uint64_t generation = 0, version = 0;  // all of the generation up to this version is there
  };
  std::string first, last;
  bool closed = false;  // there is no room for further owners
  std::vector<Line> lines;
};

struct Delta {
  struct Part {
    std::string owner;
    std::uint64_t generation = 0;
    std::uint64_t from = 0, upTo = 0;  // with these, who had all up to `from` has all up to `upTo`
    std::vector<Item> items;           // by version, rising
  };
  std::vector<Part> parts;
  bool more = false;  // it did not all fit
};

// In which order owners come where a delta has not room for all. Within an owner versions always rise.
enum class Order {
  leastFirst,   // who needs the fewest bytes first: the most owners are brought up to date
  newestFirst,  // whose newest entry is youngest first
  depthFirst,   // who lacks the most bytes first
};

struct Terms {
  std::string owner;                    // this controller's name; 1 to kLongestOwner bytes
  std::uint64_t generation = 1;         // this start's, above all earlier ones: 1 to kMostNumber - 1
  Span keep{std::chrono::minutes(10)};  // an entry is forgotten when it is so old
  std::size_t mostBytes = std::size_t{16} << 20;  // of all, costs counted in; at least 2 * kOwnerBytes
  Order order = Order::leastFirst;
};

class Store {
 public:
  explicit Store(Terms terms);  // throws std::invalid_argument, which names the term

  // ---- a writer's side: this controller's own entries ----------------------------------------------------
  // Entries do not age out while their owner lives: renew() gives those that are a third of `keep` old a new
  // version. Writing the same value again renews it at once. Topic above kMostTopic: badTopic.
  enum class Put { done, badTopic, keyTooLong, valueTooLong, full };
  Put put(Span now, Topic topic, std::string_view key, std::string_view value);
  bool remove(Span now, Topic topic, std::string_view key);  // false: there is none
  void renew(Span now);

  // ---- a reader's side: all owners, this controller among them -------------------------------------------
  // fn(const std::string& owner, std::uint64_t generation, const std::string& key, const std::string& value,
  // Span age), by owner, then by key. `age`: since its owner wrote or renewed it; an entry of an owner that
  // is alive is never much older than a third of `keep`. Nothing may be written meanwhile.
  template <typename Fn>
  void visit(Span now, Topic topic, Fn fn) const {
    for (const auto& [name, owner] : owners_)
      for (auto at = owner.entries.lower_bound({topic, {}});
           at != owner.entries.end() && at->first.first == topic; ++at)
        if (!at->second.gone && age(now, at->second) < terms_.keep)
          fn(name, owner.generation, at->first.second, at->second.value, age(now, at->second));
  }
  // fn(const std::string& owner, std::uint64_t generation, Span age of its youngest entry).
  template <typename Fn>
  void eachOwner(Span now, Fn fn) const {
    for (const auto& [name, owner] : owners_)
      fn(name, owner.generation, std::max(now - owner.newest, Span{0}));
  }
  // Grows with each change of what visit() shows, other than an entry's age. For who computes from a view.
  std::uint64_t changes() const { return changes_; }
  const std::string& owner() const { return terms_.owner; }
  Span keep() const { return terms_.keep; }
  std::uint64_t generation() const {
    return generation_;
  }  // grows where others hold a later one of this name
  std::size_t owners() const { return owners_.size(); }
  std::size_t entries() const { return entries_; }  // removed ones too, until they have aged out
  std::size_t bytes() const { return bytes_; }      // costs counted in

  // ---- reconciliation -------------------------------------------------------------------------------------
  // What is here of the owners from `first` on, at most so many bytes of names and kLineCost each. The next
  // part begins after its `last`.
  static constexpr std::size_t kLineCost = 24;
  Digest digest(Span now, std::string_view first, std::size_t mostBytes) const;
  // What the other lacks of it, at most so many bytes of names, keys, values, kItemCost an item, kPartCost a
  // part.
  static constexpr std::size_t kItemCost = 24, kPartCost = 40;
  Delta delta(Span now, const Digest& theirs, std::size_t mostBytes) const;
  // The lines of this one's digest for owners of which the other has more: the other answers with a delta.
  // Its range is empty, `first` after `last`. Lines: at most so many bytes.
  Digest wants(Span now, const Digest& theirs, std::size_t mostBytes);
  struct Merged {
    std::size_t fresh = 0;    // items taken
    std::size_t known = 0;    // were here, or a later version of them
    std::size_t old = 0;      // of an earlier generation, or older than `keep`
    std::size_t refused = 0;  // no room: see below
    bool again = false;       // somebody held a later life of this owner's name: a new generation was begun
  };
  // Idempotent, commutative, associative in what visit() shows, within the bounds: for each owner the latest
  // generation alone counts, and of a key its highest version. Past the bounds: an owner of which nothing
  // younger than half of `keep` is here gives way to a newcomer, the oldest first; where there is none, the
  // newcomer is refused. Own entries never give way.
  Merged merge(Span now, const Delta& delta);
  std::size_t forget(Span now);  // what has aged out; how many entries

 private:
  using Key = std::pair<Topic, std::string>;
  struct Entry {
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
    Span born{0};  // before the controller's start: negative
  };
  using Entries = std::map<Key, Entry, std::less<>>;
  struct Owner {
    std::uint64_t generation = 0;
    std::uint64_t seen = 0;  // nothing of the generation up to here is missing
    Entries entries;
    std::multimap<std::uint64_t, Entries::iterator> byVersion;
    std::size_t bytes = 0;
    Span newest{0};  // birth of its youngest entry
  };
  using Owners = std::map<std::string, Owner, std::less<>>;

  static Span age(Span now, const Entry& entry) { return now > entry.born ? now - entry.born : Span{0}; }
  static std::size_t cost(std::size_t key, std::size_t value) { return kEntryCost + key + value; }
  Owner& own() { return owners_.find(terms_.owner)->second; }
  void write(Owner& owner, Entries::iterator at, std::string_view value, bool gone, std::uint64_t version,
             Span born);
  void take(Span now, Owners::iterator owner, const Item& item, Merged& merged);
  void erase(Owner& owner, Entries::iterator at);
  void clear(Owner& owner);
  std::size_t free() const;  // bytes for others' entries
  bool makeRoom(Span now, std::string_view taker, std::size_t bytes, bool newOwner);
  Owners::const_iterator stalest(Span now, std::string_view taker) const;
  bool closed(Span now) const;
  void beginAgain(std::uint64_t after);

  const Terms terms_;
  std::uint64_t generation_;
  Owners owners_;
  std::size_t entries_ = 0, bytes_ = 0;
  std::uint64_t changes_ = 0;
};

}  // namespace paddletrack::share
