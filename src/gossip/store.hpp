// Replicated state of the controllers of a fleet: versioned entries, each written only by its owner and
// replicated by digests and deltas (scuttlebutt reconciliation: van Renesse, Dumitriu, Gough, Thomas, 2008).
// The store performs no I/O and reads no clock; `now` is the time since this controller's start and never
// goes back. See docs/share.md.
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

// Limits of entries. They are chosen so that an entry with its owner's name always fits one datagram.
constexpr std::size_t kMaxOwnerBytes = 64;
constexpr std::size_t kMaxKeyBytes = 64;
constexpr std::size_t kMaxValueBytes = 1024;
/// Memory that an entry uses in addition to its key and its value, in bytes.
constexpr std::size_t kEntryOverheadBytes = 160;
/// Size limit of the entries of one owner, overhead included.
constexpr std::size_t kMaxBytesPerOwner = std::size_t{256} * 1024;
constexpr std::size_t kMaxOwners = 1024;
/// Incarnations and versions are below this number.
constexpr std::uint64_t kNumberLimit = std::uint64_t{1} << 62;

/// Category of an entry. Each topic is written by one component of the program. 0 is reserved for a
/// membership protocol.
using Topic = std::uint8_t;
constexpr Topic kMembershipTopic = 0;
constexpr Topic kLoadTopic = 1;
constexpr Topic kCounterfactualTopic = 2;
constexpr Topic kRebalanceTopic = 3;
constexpr Topic kWarmupTopic = 4;
constexpr Topic kMaxTopic = 63;

/// One entry on the wire. Keys and values are arbitrary bytes that only the topic's code interprets.
struct EntryUpdate {
  Topic topic = 0;
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // from 1; counts all writes of an owner in one incarnation
  bool removed = false;       // whether it is a tombstone, whose value is empty
  Duration age{0};            // since its owner wrote or renewed it, summed over all controllers that held it
};

/// Versions that a controller holds of the owners whose names are from `firstOwner` to `lastOwner`. An
/// owner in that range that is not listed is unknown to the controller. An empty bound means no bound.
struct Digest {
  struct OwnerVersion {
    std::string owner;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;  // no entry of the incarnation up to this version is missing
  };
  std::string firstOwner;
  std::string lastOwner;
  bool rejectsNewOwners = false;  // the controller has no space for further owners
  std::vector<OwnerVersion> ownerVersions;
};

/// Entries that a peer lacks.
struct Delta {
  struct OwnerDelta {
    std::string owner;
    std::uint64_t incarnation = 0;
    // A receiver that holds all entries up to `fromVersion` holds all up to `upToVersion` after the merge.
    std::uint64_t fromVersion = 0;
    std::uint64_t upToVersion = 0;
    std::vector<EntryUpdate> updates;  // by ascending version
  };
  std::vector<OwnerDelta> ownerDeltas;
  bool truncated = false;  // the peer lacks further entries that did not fit
};

/// Order of owners in a delta that is too small for all of them. Entries of one owner always come by
/// ascending version.
enum class DeltaOrder : std::uint8_t {
  smallestFirst,  // the owner with the fewest missing bytes first, which completes the most owners
  newestFirst,    // the owner with the newest entry first
  largestFirst,   // the owner with the most missing bytes first
};

struct StoreOptions {
  std::string owner;              // this controller's name; 1 to kMaxOwnerBytes bytes
  std::uint64_t incarnation = 1;  // of this start, above those of all earlier starts; 1 to kNumberLimit - 1
  Duration retentionDuration{std::chrono::minutes(10)};  // entries of this age expire
  std::size_t maxBytes = std::size_t{16}
                         << 20;  // of all entries with overhead; at least 2 * kMaxBytesPerOwner
  DeltaOrder deltaOrder = DeltaOrder::smallestFirst;
};

/// The replicated key-value store of one controller. Not thread-safe.
class Store {
 public:
  /// Throws std::invalid_argument, with the option's name, if an option is out of range.
  explicit Store(StoreOptions options);

  // ---- writing this controller's own entries --------------------------------------------------------------
  enum class PutResult : std::uint8_t { stored, invalidTopic, keyTooLong, valueTooLong, ownerFull };
  /// Writes an entry. Writing an unchanged value renews the entry.
  PutResult put(Duration now, Topic topic, std::string_view key, std::string_view value);
  /// Replaces an entry by a tombstone. Returns false if there is no such entry.
  bool remove(Duration now, Topic topic, std::string_view key);
  /// Gives entries that are older than a third of the retention duration a new version, so that they do not
  /// expire while their owner is alive.
  void renewEntries(Duration now);

  // ---- reading the entries of all owners, this controller included ----------------------------------------
  /// Calls callback(const std::string& owner, std::uint64_t incarnation, const std::string& key,
  /// const std::string& value, Duration age) for each entry of the topic, ordered by owner and then by key.
  /// `age` is the time since the owner wrote or renewed it; an entry of an owner that is alive is not much
  /// older than a third of the retention duration. The callback must not write to the store.
  template <typename Fn>
  void visitEntries(Duration now, Topic topic, Fn callback) const {
    for (const auto& [name, owner] : owners_)
      for (auto entry = owner.entries.lower_bound({topic, {}});
           entry != owner.entries.end() && entry->first.first == topic; ++entry)
        if (!entry->second.removed && entryAge(now, entry->second) < options_.retentionDuration)
          callback(name, owner.incarnation, entry->first.second, entry->second.value,
                   entryAge(now, entry->second));
  }
  /// Calls callback(const std::string& owner, std::uint64_t incarnation, Duration ageOfNewestEntry) for each
  /// owner.
  template <typename Fn>
  void forEachOwner(Duration now, Fn callback) const {
    for (const auto& [name, owner] : owners_)
      callback(name, owner.incarnation, std::max(now - owner.newestEntryAt, Duration{0}));
  }
  /// Increases with each change that visitEntries() shows, except for ages. Readers use it to detect that
  /// results computed from the entries are outdated.
  std::uint64_t changeCount() const { return changeCount_; }
  const std::string& owner() const { return options_.owner; }
  Duration retentionDuration() const { return options_.retentionDuration; }
  /// This controller's incarnation. It increases when a peer holds a later one of the same name.
  std::uint64_t incarnation() const { return incarnation_; }
  std::size_t ownerCount() const { return owners_.size(); }
  /// Number of entries, including tombstones that have not expired.
  std::size_t entryCount() const { return entryCount_; }
  /// Size of all entries, overhead included.
  std::size_t totalBytes() const { return totalBytes_; }

  // ---- reconciliation -------------------------------------------------------------------------------------
  /// Size of an owner version on the wire in addition to the owner's name.
  static constexpr std::size_t kOwnerVersionOverheadBytes = 24;
  /// Size of an update on the wire in addition to its key and its value.
  static constexpr std::size_t kUpdateOverheadBytes = 24;
  /// Size of an owner delta on the wire in addition to the owner's name and the updates.
  static constexpr std::size_t kOwnerDeltaOverheadBytes = 40;
  /// The versions of the owners from `firstOwner` on, at most `maxBytes` on the wire. If the digest is cut,
  /// its `lastOwner` is set and the next digest begins after it.
  Digest buildDigest(Duration now, std::string_view firstOwner, std::size_t maxBytes) const;
  /// The entries that a peer with this digest lacks, at most `maxBytes` on the wire.
  Delta buildDelta(Duration now, const Digest& peerDigest, std::size_t maxBytes) const;
  /// This store's versions of those owners of which the peer has newer entries, at most `maxBytes` on the
  /// wire. The peer answers with a delta. Begins a new incarnation if the peer holds a later one of this
  /// controller.
  Digest buildDeltaRequest(Duration now, const Digest& peerDigest, std::size_t maxBytes);
  struct MergeResult {
    std::size_t applied = 0;       // updates that changed the store
    std::size_t alreadyKnown = 0;  // the store holds the same or a later version
    std::size_t stale = 0;         // of an earlier incarnation, or expired
    std::size_t rejected = 0;      // invalid, or the store has no space for them
    // A peer held a later incarnation of this controller's name, so that a new incarnation was begun.
    bool incarnationConflict = false;
  };
  /// Merges the entries of a delta. Within the store's limits the merge is idempotent, commutative and
  /// associative in what visitEntries() shows: of each owner only the latest incarnation counts, and of each
  /// key the highest version. When the store is full, owners without an entry younger than half of the
  /// retention duration are evicted, the stalest first; if there is none, the new owner is rejected. Own
  /// entries are never evicted.
  MergeResult merge(Duration now, const Delta& delta);
  /// Removes expired entries and returns their number.
  std::size_t evictExpired(Duration now);

 private:
  using EntryKey = std::pair<Topic, std::string>;
  struct Entry {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    Duration writtenAt{0};  // negative if it was written before this controller's start
  };
  using EntryMap = std::map<EntryKey, Entry, std::less<>>;
  struct OwnerState {
    std::uint64_t incarnation = 0;
    std::uint64_t contiguousVersion = 0;  // no entry of the incarnation up to this version is missing
    EntryMap entries;
    std::multimap<std::uint64_t, EntryMap::iterator> byVersion;
    std::size_t bytes = 0;
    Duration newestEntryAt{0};  // when its newest entry was written
  };
  using OwnerMap = std::map<std::string, OwnerState, std::less<>>;
  // Entries of one owner that a peer lacks.
  struct MissingEntries {
    OwnerMap::const_iterator owner;
    std::uint64_t fromVersion;
    std::size_t bytes;
    bool isOwnerUnknownToPeer;
  };
  struct PeerKnowledge {
    bool hasOlderIncarnation = false;
    bool isOwnerUnknown = false;
  };

  static constexpr std::size_t kMaxEntryBytes = kEntryOverheadBytes + kMaxKeyBytes + kMaxValueBytes;

  static Duration entryAge(Duration now, const Entry& entry) {
    return now > entry.writtenAt ? now - entry.writtenAt : Duration{0};
  }
  static std::size_t entryBytes(std::size_t keyBytes, std::size_t valueBytes) {
    return kEntryOverheadBytes + keyBytes + valueBytes;
  }
  OwnerState& ownState() { return owners_.find(options_.owner)->second; }
  static bool isValidNumber(std::uint64_t value);  // of an incarnation or a version
  static bool isValidUpdate(const EntryUpdate& update);
  static bool isOlderThan(const OwnerState& owner, const Digest::OwnerVersion& peerVersion);
  static bool supersedes(const EntryUpdate& update, const Entry& entry);
  void writeEntry(OwnerState& owner, EntryMap::iterator position, std::string_view value, bool removed,
                  std::uint64_t version, Duration writtenAt);
  static void addIfMissing(std::vector<MissingEntries>& missing, OwnerMap::const_iterator owner,
                           std::uint64_t fromVersion, PeerKnowledge peerKnowledge);
  std::vector<MissingEntries> findMissingEntries(const Digest& peerDigest) const;
  bool isSentBefore(const MissingEntries& left, const MissingEntries& right) const;
  void appendOwnerDelta(Duration now, const MissingEntries& missing, std::size_t maxBytes,
                        std::size_t& usedBytes, Delta& delta) const;
  void mergeOwnerDelta(Duration now, const Delta::OwnerDelta& ownerDelta, MergeResult& result);
  void mergeOwnDelta(const Delta::OwnerDelta& ownerDelta, MergeResult& result);
  OwnerMap::iterator addOwner(Duration now, const Delta::OwnerDelta& ownerDelta, MergeResult& result);
  void applyUpdate(Duration now, OwnerMap::iterator owner, const EntryUpdate& update, MergeResult& result);
  void eraseEntry(OwnerState& owner, EntryMap::iterator entry);
  void clearOwner(OwnerState& owner);
  std::size_t freeBytes() const;  // space for the entries of other owners
  bool evictToFit(Duration now, std::string_view excludedOwner, std::size_t bytes, bool addsOwner);
  OwnerMap::const_iterator findStalestOwner(Duration now, std::string_view excludedOwner) const;
  bool rejectsNewOwners(Duration now) const;
  // Begins a new incarnation, and returns true, if a peer holds a later state of this owner than this store.
  bool resolveIncarnationConflict(std::uint64_t peerIncarnation, std::uint64_t peerVersion);
  void startNewIncarnation(std::uint64_t previousIncarnation);

  const StoreOptions options_;
  std::uint64_t incarnation_;
  OwnerMap owners_;
  std::size_t entryCount_ = 0;
  std::size_t totalBytes_ = 0;
  std::uint64_t changeCount_ = 0;
};

}  // namespace paddletrack::gossip
