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

#include "base/sliding_window_sum.hpp"

namespace paddletrack::gossip {

// Bounds of what is shared. An entry with its owner's name always fits one datagram.
constexpr std::size_t kMaxOwnerBytes = 64, kMaxKeyBytes = 64, kMaxValueBytes = 1024;  // bytes
constexpr std::size_t kEntryOverheadBytes = 160;  // bytes that an entry costs beside its key and its value
constexpr std::size_t kMaxBytesPerOwner = 256 * 1024;  // of one owner, costs counted in
constexpr std::size_t kMaxOwners = 1024;
constexpr std::uint64_t kNumberLimit = std::uint64_t{1} << 62;  // generations and versions stay below

// What an entry is about; each has one writer in the program. 0 is kept for a membership.
using Topic = std::uint8_t;
constexpr Topic kMembership = 0, kLoad = 1, kCounterfactual = 2, kRebalance = 3, kWarmup = 4, kMaxTopic = 63;

// One entry as it travels. Bytes are anything; what a value means is its topic's own.
struct EntryUpdate {
  Topic topic = 0;
  std::string key, value;
  std::uint64_t version = 0;  // from 1 on, one count for all entries of an owner and generation
  bool removed = false;       // removed: the value is empty
  Duration age{0};            // since its owner wrote or renewed it, added up over all who passed it on
};

// What somebody has of the owners whose names are from `first` to `last`: an owner in between that is not
// named is not known there. A whole digest has an empty `first` and an empty `last` (no end).
struct Digest {
  struct OwnerVersion {
    std::string owner;
    std::uint64_t incarnation = 0, version = 0;  // all of the generation up to this version is there
  };
  std::string firstOwner, lastOwner;
  bool rejectsNewOwners = false;  // there is no room for further owners
  std::vector<OwnerVersion> ownerVersions;
};

struct Delta {
  struct OwnerDelta {
    std::string owner;
    std::uint64_t incarnation = 0;
    std::uint64_t fromVersion = 0,
                  upToVersion = 0;     // with these, who had all up to `from` has all up to `upTo`
    std::vector<EntryUpdate> updates;  // by version, rising
  };
  std::vector<OwnerDelta> ownerDeltas;
  bool truncated = false;  // it did not all fit
};

// In which order owners come where a delta has not room for all. Within an owner versions always rise.
enum class DeltaOrder {
  smallestFirst,  // who needs the fewest bytes first: the most owners are brought up to date
  newestFirst,    // whose newest entry is youngest first
  largestFirst,   // who lacks the most bytes first
};

struct StoreOptions {
  std::string owner;              // this controller's name; 1 to kLongestOwner bytes
  std::uint64_t incarnation = 1;  // this start's, above all earlier ones: 1 to kMostNumber - 1
  Duration retentionDuration{std::chrono::minutes(10)};  // an entry is forgotten when it is so old
  std::size_t maxBytes = std::size_t{16} << 20;          // of all, costs counted in; at least 2 * kOwnerBytes
  DeltaOrder deltaOrder = DeltaOrder::smallestFirst;
};

class Store {
 public:
  explicit Store(StoreOptions options);  // throws std::invalid_argument, which names the term

  // ---- a writer's side: this controller's own entries ----------------------------------------------------
  // Entries do not age out while their owner lives: renew() gives those that are a third of `keep` old a new
  // version. Writing the same value again renews it at once. Topic above kMostTopic: badTopic.
  enum class PutResult { stored, invalidTopic, keyTooLong, valueTooLong, ownerFull };
  PutResult put(Duration now, Topic topic, std::string_view key, std::string_view value);
  bool remove(Duration now, Topic topic, std::string_view key);  // false: there is none
  void renewEntries(Duration now);

  // ---- a reader's side: all owners, this controller among them -------------------------------------------
  // fn(const std::string& owner, std::uint64_t generation, const std::string& key, const std::string& value,
  // Span age), by owner, then by key. `age`: since its owner wrote or renewed it; an entry of an owner that
  // is alive is never much older than a third of `keep`. Nothing may be written meanwhile.
  template <typename Fn>
  void visitEntries(Duration now, Topic topic, Fn callback) const {
    for (const auto& [name, owner] : owners_)
      for (auto entry = owner.entries.lower_bound({topic, {}});
           entry != owner.entries.end() && entry->first.first == topic; ++entry)
        if (!entry->second.removed && entryAge(now, entry->second) < options_.retentionDuration)
          callback(name, owner.incarnation, entry->first.second, entry->second.value,
                   entryAge(now, entry->second));
  }
  // fn(const std::string& owner, std::uint64_t generation, Span age of its youngest entry).
  template <typename Fn>
  void forEachOwner(Duration now, Fn callback) const {
    for (const auto& [name, owner] : owners_)
      callback(name, owner.incarnation, std::max(now - owner.newestEntryAt, Duration{0}));
  }
  // Grows with each change of what visit() shows, other than an entry's age. For who computes from a view.
  std::uint64_t changeCount() const { return changeCount_; }
  const std::string& owner() const { return options_.owner; }
  Duration retentionDuration() const { return options_.retentionDuration; }
  std::uint64_t incarnation() const {
    return incarnation_;
  }  // grows where others hold a later one of this name
  std::size_t ownerCount() const { return owners_.size(); }
  std::size_t entryCount() const { return entryCount_; }  // removed ones too, until they have aged out
  std::size_t totalBytes() const { return totalBytes_; }  // costs counted in

  // ---- reconciliation -------------------------------------------------------------------------------------
  // What is here of the owners from `first` on, at most so many bytes of names and kLineCost each. The next
  // part begins after its `last`.
  static constexpr std::size_t kOwnerVersionOverheadBytes = 24;
  Digest buildDigest(Duration now, std::string_view firstOwner, std::size_t maxBytes) const;
  // What the other lacks of it, at most so many bytes of names, keys, values, kItemCost an item, kPartCost a
  // part.
  static constexpr std::size_t kUpdateOverheadBytes = 24, kOwnerDeltaOverheadBytes = 40;
  Delta buildDelta(Duration now, const Digest& peerDigest, std::size_t maxBytes) const;
  // The lines of this one's digest for owners of which the other has more: the other answers with a delta.
  // Its range is empty, `first` after `last`. Lines: at most so many bytes.
  Digest buildDeltaRequest(Duration now, const Digest& peerDigest, std::size_t maxBytes);
  struct MergeResult {
    std::size_t applied = 0;       // items taken
    std::size_t alreadyKnown = 0;  // were here, or a later version of them
    std::size_t stale = 0;         // of an earlier generation, or older than `keep`
    std::size_t rejected = 0;      // no room: see below
    bool incarnationConflict =
        false;  // somebody held a later life of this owner's name: a new generation was begun
  };
  // Idempotent, commutative, associative in what visit() shows, within the bounds: for each owner the latest
  // generation alone counts, and of a key its highest version. Past the bounds: an owner of which nothing
  // younger than half of `keep` is here gives way to a newcomer, the oldest first; where there is none, the
  // newcomer is refused. Own entries never give way.
  MergeResult merge(Duration now, const Delta& delta);
  std::size_t evictExpired(Duration now);  // what has aged out; how many entries

 private:
  using EntryKey = std::pair<Topic, std::string>;
  struct Entry {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    Duration writtenAt{0};  // before the controller's start: negative
  };
  using EntryMap = std::map<EntryKey, Entry, std::less<>>;
  struct OwnerState {
    std::uint64_t incarnation = 0;
    std::uint64_t contiguousVersion = 0;  // nothing of the generation up to here is missing
    EntryMap entries;
    std::multimap<std::uint64_t, EntryMap::iterator> byVersion;
    std::size_t bytes = 0;
    Duration newestEntryAt{0};  // birth of its youngest entry
  };
  using OwnerMap = std::map<std::string, OwnerState, std::less<>>;

  static Duration entryAge(Duration now, const Entry& entry) {
    return now > entry.writtenAt ? now - entry.writtenAt : Duration{0};
  }
  static std::size_t entryBytes(std::size_t keyBytes, std::size_t valueBytes) {
    return kEntryOverheadBytes + keyBytes + valueBytes;
  }
  OwnerState& ownState() { return owners_.find(options_.owner)->second; }
  void writeEntry(OwnerState& owner, EntryMap::iterator position, std::string_view value, bool removed,
                  std::uint64_t version, Duration writtenAt);
  void applyUpdate(Duration now, OwnerMap::iterator owner, const EntryUpdate& update, MergeResult& result);
  void eraseEntry(OwnerState& owner, EntryMap::iterator entry);
  void clearOwner(OwnerState& owner);
  std::size_t freeBytes() const;  // bytes for others' entries
  bool evictToFit(Duration now, std::string_view requester, std::size_t bytes, bool addsOwner);
  OwnerMap::const_iterator findStalestOwner(Duration now, std::string_view requester) const;
  bool rejectsNewOwners(Duration now) const;
  void startNewIncarnation(std::uint64_t previousIncarnation);

  const StoreOptions options_;
  std::uint64_t incarnation_;
  OwnerMap owners_;
  std::size_t entryCount_ = 0, totalBytes_ = 0;
  std::uint64_t changeCount_ = 0;
};

}  // namespace paddletrack::gossip
