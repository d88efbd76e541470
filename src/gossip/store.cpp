#include "gossip/store.hpp"

#include <algorithm>
#include <stdexcept>

namespace paddletrack::gossip {
namespace {

constexpr std::size_t kMaxEntryBytes = kEntryOverheadBytes + kMaxKeyBytes + kMaxValueBytes;

bool isValidNumber(std::uint64_t value) { return value > 0 && value < kNumberLimit; }
bool isInDigestRange(const Digest& digest, std::string_view owner) {
  return owner >= digest.firstOwner && (digest.lastOwner.empty() || owner <= digest.lastOwner);
}

}  // namespace

Store::Store(StoreOptions options) : options_(std::move(options)), incarnation_(options_.incarnation) {
  if (options_.owner.empty() || options_.owner.size() > kMaxOwnerBytes)
    throw std::invalid_argument("owner: 1 to " + std::to_string(kMaxOwnerBytes) + " bytes are expected");
  if (!isValidNumber(incarnation_)) throw std::invalid_argument("generation: from 1 to 2^62 - 1 is expected");
  if (options_.retentionDuration <= Duration{0}) throw std::invalid_argument("keep: more than 0 is expected");
  if (options_.maxBytes < 2 * kMaxBytesPerOwner)
    throw std::invalid_argument("mostBytes: at least " + std::to_string(2 * kMaxBytesPerOwner) +
                                " is expected");
  owners_[options_.owner].incarnation = incarnation_;
}

// ---- a writer's side --------------------------------------------------------------------------------------

Store::PutResult Store::put(Duration now, Topic topic, std::string_view key, std::string_view value) {
  if (topic > kMaxTopic) return PutResult::invalidTopic;
  if (key.size() > kMaxKeyBytes) return PutResult::keyTooLong;
  if (value.size() > kMaxValueBytes) return PutResult::valueTooLong;
  OwnerState& owner = ownState();
  const EntryKey entryKey{topic, key};
  auto entry = owner.entries.find(entryKey);
  const std::size_t previousBytes =
      entry == owner.entries.end() ? 0 : entryBytes(key.size(), entry->second.value.size());
  if (owner.bytes - previousBytes + entryBytes(key.size(), value.size()) > kMaxBytesPerOwner)
    return PutResult::ownerFull;
  const bool isUnchanged = previousBytes > 0 && !entry->second.removed && entry->second.value == value;
  if (previousBytes == 0) entry = owner.entries.try_emplace(entryKey).first;
  writeEntry(owner, entry, value, false, owner.contiguousVersion + 1, now);
  owner.contiguousVersion += 1;
  if (!isUnchanged) ++changeCount_;
  return PutResult::stored;
}

bool Store::remove(Duration now, Topic topic, std::string_view key) {
  OwnerState& owner = ownState();
  const auto entry = owner.entries.find(EntryKey{topic, key});
  if (entry == owner.entries.end() || entry->second.removed) return false;
  writeEntry(owner, entry, {}, true, owner.contiguousVersion + 1, now);
  owner.contiguousVersion += 1;
  ++changeCount_;
  return true;
}

void Store::renewEntries(Duration now) {
  OwnerState& owner = ownState();
  for (auto entry = owner.entries.begin(); entry != owner.entries.end(); ++entry) {
    if (entry->second.removed || entryAge(now, entry->second) < options_.retentionDuration / 3) continue;
    const std::string value = entry->second.value;
    writeEntry(owner, entry, value, false, owner.contiguousVersion + 1, now);
    owner.contiguousVersion += 1;
  }
}

// ---- the table --------------------------------------------------------------------------------------------

// An entry that has no version yet is new to the table.
void Store::writeEntry(OwnerState& owner, EntryMap::iterator position, std::string_view value, bool removed,
                       std::uint64_t version, Duration writtenAt) {
  Entry& entry = position->second;
  if (entry.version == 0) {
    ++entryCount_;
    owner.bytes += entryBytes(position->first.second.size(), 0);
    totalBytes_ += entryBytes(position->first.second.size(), 0);
  } else {
    const auto [begin, end] = owner.byVersion.equal_range(entry.version);
    owner.byVersion.erase(
        std::find_if(begin, end, [&](const auto& item) { return item.second == position; }));
  }
  owner.bytes = owner.bytes - entry.value.size() + value.size();
  totalBytes_ = totalBytes_ - entry.value.size() + value.size();
  entry = {std::string(value), version, removed, writtenAt};
  owner.byVersion.emplace(version, position);
  owner.newestEntryAt = owner.byVersion.size() == 1 ? writtenAt : std::max(owner.newestEntryAt, writtenAt);
}

void Store::eraseEntry(OwnerState& owner, EntryMap::iterator entry) {
  const auto [begin, end] = owner.byVersion.equal_range(entry->second.version);
  owner.byVersion.erase(std::find_if(begin, end, [&](const auto& item) { return item.second == entry; }));
  const std::size_t erasedBytes = entryBytes(entry->first.second.size(), entry->second.value.size());
  owner.bytes -= erasedBytes;
  totalBytes_ -= erasedBytes;
  --entryCount_;
  if (!entry->second.removed) ++changeCount_;
  owner.entries.erase(entry);
}

void Store::clearOwner(OwnerState& owner) {
  if (!owner.entries.empty()) ++changeCount_;
  entryCount_ -= owner.entries.size();
  totalBytes_ -= owner.bytes;
  owner.bytes = 0;
  owner.byVersion.clear();
  owner.entries.clear();
}

// This controller's own part is set aside for it, used or not.
std::size_t Store::freeBytes() const {
  const std::size_t otherOwnersBytes = totalBytes_ - owners_.find(options_.owner)->second.bytes;
  return options_.maxBytes - kMaxBytesPerOwner -
         std::min(otherOwnersBytes, options_.maxBytes - kMaxBytesPerOwner);
}

// Who may give way: nothing of it is younger than half of `keep`.
Store::OwnerMap::const_iterator Store::findStalestOwner(Duration now, std::string_view requester) const {
  auto stalest = owners_.end();
  for (auto candidate = owners_.begin(); candidate != owners_.end(); ++candidate) {
    if (candidate->first == options_.owner || candidate->first == requester ||
        now - candidate->second.newestEntryAt < options_.retentionDuration / 2)
      continue;
    if (stalest == owners_.end() || candidate->second.newestEntryAt < stalest->second.newestEntryAt)
      stalest = candidate;
  }
  return stalest;
}

bool Store::evictToFit(Duration now, std::string_view requester, std::size_t bytes, bool addsOwner) {
  while (freeBytes() < bytes || (addsOwner && owners_.size() >= kMaxOwners)) {
    const auto stalestOwner = findStalestOwner(now, requester);
    if (stalestOwner == owners_.end()) return false;
    clearOwner(owners_.find(stalestOwner->first)->second);
    owners_.erase(stalestOwner);
  }
  return true;
}

bool Store::rejectsNewOwners(Duration now) const {
  return (freeBytes() < kMaxEntryBytes || owners_.size() >= kMaxOwners) &&
         findStalestOwner(now, {}) == owners_.end();
}

std::size_t Store::evictExpired(Duration now) {
  const std::size_t previousCount = entryCount_;
  for (auto owner = owners_.begin(); owner != owners_.end();) {
    auto& entries = owner->second.entries;
    for (auto entry = entries.begin(); entry != entries.end();) {
      const auto next = std::next(entry);
      if (entryAge(now, entry->second) >= options_.retentionDuration) eraseEntry(owner->second, entry);
      entry = next;
    }
    const bool ownerExpired = entries.empty() && owner->first != options_.owner &&
                              now - owner->second.newestEntryAt >= options_.retentionDuration;
    owner = ownerExpired ? owners_.erase(owner) : std::next(owner);
  }
  return previousCount - entryCount_;
}

// Somebody holds a later life of this name: a clock that went back, or another process under this name.
void Store::startNewIncarnation(std::uint64_t previousIncarnation) {
  if (!isValidNumber(previousIncarnation + 1)) return;
  incarnation_ = previousIncarnation + 1;
  ownState().incarnation = incarnation_;
}

// ---- reconciliation ---------------------------------------------------------------------------------------

Digest Store::buildDigest(Duration now, std::string_view firstOwner, std::size_t maxBytes) const {
  Digest digest;
  digest.firstOwner = firstOwner;
  digest.rejectsNewOwners = rejectsNewOwners(now);
  std::size_t usedBytes = 0;
  for (auto ownerEntry = owners_.lower_bound(firstOwner); ownerEntry != owners_.end(); ++ownerEntry) {
    usedBytes += ownerEntry->first.size() + kOwnerVersionOverheadBytes;
    if (usedBytes > maxBytes && !digest.ownerVersions.empty()) {
      digest.lastOwner = digest.ownerVersions.back().owner;
      break;
    }
    digest.ownerVersions.push_back(
        {ownerEntry->first, ownerEntry->second.incarnation, ownerEntry->second.contiguousVersion});
  }
  return digest;
}

Delta Store::buildDelta(Duration now, const Digest& peerDigest, std::size_t maxBytes) const {
  struct MissingEntries {
    OwnerMap::const_iterator owner;
    std::uint64_t fromVersion;
    std::size_t bytes;
    bool ownerUnknownToPeer;  // to the other
  };
  std::vector<MissingEntries> missing;
  // Also what is beyond a gap, which `upTo` does not speak of; and that there is a later life, with nothing
  // yet.
  const auto addIfMissing = [&](OwnerMap::const_iterator owner, std::uint64_t fromVersion,
                                bool hasNewerIncarnation, bool ownerUnknownToPeer) {
    auto entry = owner->second.byVersion.upper_bound(fromVersion);
    if (owner->second.contiguousVersion <= fromVersion && entry == owner->second.byVersion.end() &&
        !hasNewerIncarnation)
      return;
    std::size_t bytes = 0;
    for (; entry != owner->second.byVersion.end(); ++entry)
      bytes += entry->second->first.second.size() + entry->second->second.value.size() + kUpdateOverheadBytes;
    missing.push_back({owner, fromVersion, bytes, ownerUnknownToPeer});
  };
  std::map<std::string_view, const Digest::OwnerVersion*> ownerVersionsByName;
  for (const Digest::OwnerVersion& ownerVersion : peerDigest.ownerVersions)
    ownerVersionsByName[ownerVersion.owner] = &ownerVersion;
  for (const auto& [name, ownerVersion] : ownerVersionsByName) {
    const auto owner = owners_.find(name);
    if (owner == owners_.end() || owner->second.incarnation < ownerVersion->incarnation) continue;
    const bool hasNewerIncarnation = owner->second.incarnation > ownerVersion->incarnation;
    addIfMissing(owner, hasNewerIncarnation ? 0 : ownerVersion->version, hasNewerIncarnation,
                 ownerVersion->incarnation == 0);
  }
  if (!peerDigest.rejectsNewOwners)
    for (auto ownerEntry = owners_.lower_bound(peerDigest.firstOwner);
         ownerEntry != owners_.end() && isInDigestRange(peerDigest, ownerEntry->first); ++ownerEntry)
      if (ownerVersionsByName.find(ownerEntry->first) == ownerVersionsByName.end())
        addIfMissing(ownerEntry, 0, false, true);
  std::stable_sort(missing.begin(), missing.end(),
                   [&](const MissingEntries& left, const MissingEntries& right) {
                     if (options_.deltaOrder == DeltaOrder::newestFirst)
                       return left.owner->second.newestEntryAt > right.owner->second.newestEntryAt;
                     return options_.deltaOrder == DeltaOrder::smallestFirst ? left.bytes < right.bytes
                                                                             : left.bytes > right.bytes;
                   });
  Delta delta;
  std::size_t usedBytes = 0;
  for (const MissingEntries& missingEntries : missing) {
    const OwnerState& ownerState = missingEntries.owner->second;
    usedBytes += missingEntries.owner->first.size() + kOwnerDeltaOverheadBytes;
    if (usedBytes > maxBytes) {
      delta.truncated = true;
      break;
    }
    Delta::OwnerDelta ownerDelta{missingEntries.owner->first,
                                 ownerState.incarnation,
                                 missingEntries.fromVersion,
                                 std::max(missingEntries.fromVersion, ownerState.contiguousVersion),
                                 {}};
    bool truncatedHere = false;
    for (auto versionEntry = ownerState.byVersion.upper_bound(missingEntries.fromVersion);
         versionEntry != ownerState.byVersion.end(); ++versionEntry) {
      const auto& [key, entry] = *versionEntry->second;
      if (entryAge(now, entry) >= options_.retentionDuration) continue;
      const std::size_t entrySize = key.second.size() + entry.value.size() + kUpdateOverheadBytes;
      if (usedBytes + entrySize > maxBytes) {
        ownerDelta.upToVersion =
            ownerDelta.updates.empty()
                ? missingEntries.fromVersion
                : std::max(missingEntries.fromVersion,
                           std::min(ownerDelta.updates.back().version, ownerState.contiguousVersion));
        delta.truncated = truncatedHere = true;
        break;
      }
      usedBytes += entrySize;
      ownerDelta.updates.push_back(
          {key.first, key.second, entry.value, entry.version, entry.removed, entryAge(now, entry)});
    }
    const bool hasContent =
        !ownerDelta.updates.empty() || !(truncatedHere || missingEntries.ownerUnknownToPeer);
    if (hasContent) delta.ownerDeltas.push_back(std::move(ownerDelta));
    if (truncatedHere) break;
  }
  return delta;
}

Digest Store::buildDeltaRequest(Duration now, const Digest& peerDigest, std::size_t maxBytes) {
  Digest request;
  request.rejectsNewOwners = true;
  const bool rejectsNew = rejectsNewOwners(now);
  std::size_t usedBytes = 0;
  for (const Digest::OwnerVersion& peerVersion : peerDigest.ownerVersions) {
    if (peerVersion.owner.empty() || peerVersion.owner.size() > kMaxOwnerBytes ||
        !isValidNumber(peerVersion.incarnation))
      continue;
    const auto known = owners_.find(peerVersion.owner);
    if (peerVersion.owner == options_.owner) {
      if (peerVersion.incarnation > incarnation_ ||
          (peerVersion.incarnation == incarnation_ && peerVersion.version > known->second.contiguousVersion))
        startNewIncarnation(peerVersion.incarnation);
      continue;
    }
    const bool isKnown = known != owners_.end();
    if (isKnown ? known->second.incarnation > peerVersion.incarnation ||
                      (known->second.incarnation == peerVersion.incarnation &&
                       known->second.contiguousVersion >= peerVersion.version)
                : rejectsNew || peerVersion.version == 0)
      continue;
    usedBytes += peerVersion.owner.size() + kOwnerVersionOverheadBytes;
    if (usedBytes > maxBytes) break;
    request.ownerVersions.push_back({peerVersion.owner, isKnown ? known->second.incarnation : 0,
                                     isKnown ? known->second.contiguousVersion : 0});
  }
  return request;
}

void Store::applyUpdate(Duration now, OwnerMap::iterator owner, const EntryUpdate& update,
                        MergeResult& result) {
  if (update.topic > kMaxTopic || update.key.size() > kMaxKeyBytes || update.value.size() > kMaxValueBytes ||
      !isValidNumber(update.version) || (update.removed && !update.value.empty())) {
    ++result.rejected;
    return;
  }
  OwnerState& ownerState = owner->second;
  const Duration writtenAt = now - std::max(update.age, Duration{0});
  const auto existing = ownerState.entries.find(EntryKey{update.topic, update.key});
  const bool exists = existing != ownerState.entries.end();
  if (exists) {
    Entry& entry = existing->second;
    if (entry.version == update.version) entry.writtenAt = std::min(entry.writtenAt, writtenAt);
    // Only two processes under one name write two values under one number: the greater one stays, at
    // everyone.
    const bool winsVersionTie =
        entry.version == update.version && std::pair(update.removed, std::string_view(update.value)) >
                                               std::pair(entry.removed, std::string_view(entry.value));
    if (entry.version > update.version || (entry.version == update.version && !winsVersionTie)) {
      ++result.alreadyKnown;
      return;
    }
  }
  const std::size_t previousBytes = exists ? entryBytes(update.key.size(), existing->second.value.size()) : 0;
  const std::size_t newBytes = entryBytes(update.key.size(), update.value.size());
  const std::size_t addedBytes = newBytes > previousBytes ? newBytes - previousBytes : 0;
  if (ownerState.bytes + addedBytes > kMaxBytesPerOwner ||
      !evictToFit(now, owner->first, addedBytes, false)) {
    // What is known to be superseded is not shown any longer.
    if (exists) eraseEntry(ownerState, existing);
    ++result.rejected;
    return;
  }
  const bool isVisibleChange =
      !exists || existing->second.removed != update.removed || existing->second.value != update.value;
  writeEntry(ownerState,
             exists ? existing : ownerState.entries.try_emplace(EntryKey{update.topic, update.key}).first,
             update.value, update.removed, update.version, writtenAt);
  if (isVisibleChange) ++changeCount_;
  ++result.applied;
}

Store::MergeResult Store::merge(Duration now, const Delta& delta) {
  MergeResult result;
  for (const Delta::OwnerDelta& ownerDelta : delta.ownerDeltas) {
    if (ownerDelta.owner.empty() || ownerDelta.owner.size() > kMaxOwnerBytes ||
        !isValidNumber(ownerDelta.incarnation) || ownerDelta.upToVersion >= kNumberLimit ||
        ownerDelta.fromVersion > ownerDelta.upToVersion) {
      result.rejected += ownerDelta.updates.size();
      continue;
    }
    auto ownerEntry = owners_.find(ownerDelta.owner);
    if (ownerDelta.owner == options_.owner) {
      std::uint64_t latestVersion = ownerDelta.upToVersion;
      for (const EntryUpdate& update : ownerDelta.updates)
        latestVersion = std::max(latestVersion, update.version);
      const bool hasNewerIncarnation =
          ownerDelta.incarnation > incarnation_ ||
          (ownerDelta.incarnation == incarnation_ && latestVersion > ownerEntry->second.contiguousVersion);
      if (hasNewerIncarnation) startNewIncarnation(ownerDelta.incarnation), result.incarnationConflict = true;
      (ownerDelta.incarnation < incarnation_ ? result.stale : result.alreadyKnown) +=
          ownerDelta.updates.size();
      continue;
    }
    if (ownerEntry != owners_.end() && ownerDelta.incarnation < ownerEntry->second.incarnation) {
      result.stale += ownerDelta.updates.size();
      continue;
    }
    const auto isUnexpired = [&](const EntryUpdate& entryUpdate) {
      return entryUpdate.age < options_.retentionDuration;
    };
    if (ownerEntry == owners_.end()) {
      const auto firstUnexpired =
          std::find_if(ownerDelta.updates.begin(), ownerDelta.updates.end(), isUnexpired);
      if (firstUnexpired == ownerDelta.updates.end()) {
        result.stale += ownerDelta.updates.size();
        continue;
      }
      if (!evictToFit(now, ownerDelta.owner, kMaxEntryBytes, true)) {
        result.rejected += ownerDelta.updates.size();
        continue;
      }
      ownerEntry = owners_.try_emplace(ownerDelta.owner).first;
      ownerEntry->second.newestEntryAt = now - firstUnexpired->age;
    }
    OwnerState& owner = ownerEntry->second;
    if (owner.incarnation != ownerDelta.incarnation) {
      clearOwner(owner);
      owner.incarnation = ownerDelta.incarnation;
      owner.contiguousVersion = 0;
      owner.newestEntryAt = now;
    }
    for (const EntryUpdate& update : ownerDelta.updates) {
      if (isUnexpired(update)) {
        applyUpdate(now, ownerEntry, update, result);
      } else {
        ++result.stale;
      }
    }
    // What had no room comes again when its owner renews it.
    if (owner.contiguousVersion >= ownerDelta.fromVersion)
      owner.contiguousVersion = std::max(owner.contiguousVersion, ownerDelta.upToVersion);
  }
  return result;
}

}  // namespace paddletrack::gossip
