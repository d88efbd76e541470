// Reconciliation of the store with peers: digests, deltas and their merge.
#include <algorithm>

#include "gossip/store.hpp"

namespace paddletrack::gossip {
namespace {

bool isInDigestRange(const Digest& digest, std::string_view owner) {
  return owner >= digest.firstOwner && (digest.lastOwner.empty() || owner <= digest.lastOwner);
}

}  // namespace

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

// Adds `owner` if the peer, which holds its entries up to `fromVersion`, lacks later ones. These include
// entries beyond a gap, which `contiguousVersion` does not cover, and a newer incarnation without entries.
void Store::addIfMissing(std::vector<MissingEntries>& missing, OwnerMap::const_iterator owner,
                         std::uint64_t fromVersion, PeerKnowledge peerKnowledge) {
  const auto& byVersion = owner->second.byVersion;
  auto entry = byVersion.upper_bound(fromVersion);
  if (owner->second.contiguousVersion <= fromVersion && entry == byVersion.end() &&
      !peerKnowledge.hasOlderIncarnation)
    return;
  std::size_t bytes = 0;
  for (; entry != byVersion.end(); ++entry)
    bytes += entry->second->first.second.size() + entry->second->second.value.size() + kUpdateOverheadBytes;
  missing.push_back({owner, fromVersion, bytes, peerKnowledge.isOwnerUnknown});
}

std::vector<Store::MissingEntries> Store::findMissingEntries(const Digest& peerDigest) const {
  std::vector<MissingEntries> missing;
  std::map<std::string_view, const Digest::OwnerVersion*> ownerVersionsByName;
  for (const Digest::OwnerVersion& ownerVersion : peerDigest.ownerVersions)
    ownerVersionsByName[ownerVersion.owner] = &ownerVersion;
  for (const auto& [name, ownerVersion] : ownerVersionsByName) {
    const auto owner = owners_.find(name);
    if (owner == owners_.end() || owner->second.incarnation < ownerVersion->incarnation) continue;
    const bool hasOlderIncarnation = owner->second.incarnation > ownerVersion->incarnation;
    addIfMissing(
        missing, owner, hasOlderIncarnation ? 0 : ownerVersion->version,
        {.hasOlderIncarnation = hasOlderIncarnation, .isOwnerUnknown = ownerVersion->incarnation == 0});
  }
  if (peerDigest.rejectsNewOwners) return missing;
  for (auto owner = owners_.lower_bound(peerDigest.firstOwner);
       owner != owners_.end() && isInDigestRange(peerDigest, owner->first); ++owner) {
    if (ownerVersionsByName.find(owner->first) == ownerVersionsByName.end())
      addIfMissing(missing, owner, 0, {.hasOlderIncarnation = false, .isOwnerUnknown = true});
  }
  return missing;
}

bool Store::isSentBefore(const MissingEntries& left, const MissingEntries& right) const {
  switch (options_.deltaOrder) {
    case DeltaOrder::newestFirst:
      return left.owner->second.newestEntryAt > right.owner->second.newestEntryAt;
    case DeltaOrder::smallestFirst:
      return left.bytes < right.bytes;
    case DeltaOrder::largestFirst:
      break;
  }
  return left.bytes > right.bytes;
}

Delta Store::buildDelta(Duration now, const Digest& peerDigest, std::size_t maxBytes) const {
  std::vector<MissingEntries> missing = findMissingEntries(peerDigest);
  std::stable_sort(
      missing.begin(), missing.end(),
      [&](const MissingEntries& left, const MissingEntries& right) { return isSentBefore(left, right); });
  Delta delta;
  std::size_t usedBytes = 0;
  for (const MissingEntries& missingEntries : missing) {
    usedBytes += missingEntries.owner->first.size() + kOwnerDeltaOverheadBytes;
    if (usedBytes > maxBytes) {
      delta.truncated = true;
      break;
    }
    appendOwnerDelta(now, missingEntries, maxBytes, usedBytes, delta);
    if (delta.truncated) break;
  }
  return delta;
}

// Adds the owner's entries by ascending version as far as they fit, and adds their size to `usedBytes`.
// Sets `delta.truncated` if they do not all fit.
void Store::appendOwnerDelta(Duration now, const MissingEntries& missing, std::size_t maxBytes,
                             std::size_t& usedBytes, Delta& delta) const {
  const OwnerState& owner = missing.owner->second;
  Delta::OwnerDelta ownerDelta{missing.owner->first,
                               owner.incarnation,
                               missing.fromVersion,
                               std::max(missing.fromVersion, owner.contiguousVersion),
                               {}};
  for (auto versionEntry = owner.byVersion.upper_bound(missing.fromVersion);
       versionEntry != owner.byVersion.end(); ++versionEntry) {
    const auto& [key, entry] = *versionEntry->second;
    if (entryAge(now, entry) >= options_.retentionDuration) continue;
    const std::size_t updateBytes = key.second.size() + entry.value.size() + kUpdateOverheadBytes;
    if (usedBytes + updateBytes > maxBytes) {
      ownerDelta.upToVersion = ownerDelta.updates.empty()
                                   ? missing.fromVersion
                                   : std::max(missing.fromVersion, std::min(ownerDelta.updates.back().version,
                                                                            owner.contiguousVersion));
      delta.truncated = true;
      break;
    }
    usedBytes += updateBytes;
    ownerDelta.updates.push_back(
        {key.first, key.second, entry.value, entry.version, entry.removed, entryAge(now, entry)});
  }
  const bool hasContent = !ownerDelta.updates.empty() || !(delta.truncated || missing.isOwnerUnknownToPeer);
  if (hasContent) delta.ownerDeltas.push_back(std::move(ownerDelta));
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
    if (peerVersion.owner == options_.owner) {
      resolveIncarnationConflict(peerVersion.incarnation, peerVersion.version);
      continue;
    }
    const auto known = owners_.find(peerVersion.owner);
    const bool isKnown = known != owners_.end();
    const bool isRequested =
        isKnown ? isOlderThan(known->second, peerVersion) : !rejectsNew && peerVersion.version != 0;
    if (!isRequested) continue;
    usedBytes += peerVersion.owner.size() + kOwnerVersionOverheadBytes;
    if (usedBytes > maxBytes) break;
    request.ownerVersions.push_back({peerVersion.owner, isKnown ? known->second.incarnation : 0,
                                     isKnown ? known->second.contiguousVersion : 0});
  }
  return request;
}

bool Store::isOlderThan(const OwnerState& owner, const Digest::OwnerVersion& peerVersion) {
  return owner.incarnation < peerVersion.incarnation ||
         (owner.incarnation == peerVersion.incarnation && owner.contiguousVersion < peerVersion.version);
}

bool Store::resolveIncarnationConflict(std::uint64_t peerIncarnation, std::uint64_t peerVersion) {
  const bool peerHasLaterState =
      peerIncarnation > incarnation_ ||
      (peerIncarnation == incarnation_ && peerVersion > ownState().contiguousVersion);
  if (peerHasLaterState) startNewIncarnation(peerIncarnation);
  return peerHasLaterState;
}

// ---- merging a delta --------------------------------------------------------------------------------------

Store::MergeResult Store::merge(Duration now, const Delta& delta) {
  MergeResult result;
  for (const Delta::OwnerDelta& ownerDelta : delta.ownerDeltas) mergeOwnerDelta(now, ownerDelta, result);
  return result;
}

void Store::mergeOwnerDelta(Duration now, const Delta::OwnerDelta& ownerDelta, MergeResult& result) {
  const bool isValid = !ownerDelta.owner.empty() && ownerDelta.owner.size() <= kMaxOwnerBytes &&
                       isValidNumber(ownerDelta.incarnation) && ownerDelta.upToVersion < kNumberLimit &&
                       ownerDelta.fromVersion <= ownerDelta.upToVersion;
  if (!isValid) {
    result.rejected += ownerDelta.updates.size();
    return;
  }
  if (ownerDelta.owner == options_.owner) {
    mergeOwnDelta(ownerDelta, result);
    return;
  }
  auto owner = owners_.find(ownerDelta.owner);
  if (owner != owners_.end() && ownerDelta.incarnation < owner->second.incarnation) {
    result.stale += ownerDelta.updates.size();
    return;
  }
  if (owner == owners_.end()) owner = addOwner(now, ownerDelta, result);
  if (owner == owners_.end()) return;
  OwnerState& ownerState = owner->second;
  if (ownerState.incarnation != ownerDelta.incarnation) {
    clearOwner(ownerState);
    ownerState.incarnation = ownerDelta.incarnation;
    ownerState.contiguousVersion = 0;
    ownerState.newestEntryAt = now;
  }
  for (const EntryUpdate& update : ownerDelta.updates) {
    if (update.age < options_.retentionDuration) {
      applyUpdate(now, owner, update, result);
    } else {
      ++result.stale;
    }
  }
  // Updates that were rejected for lack of space are not requested again; their owner sends them when it
  // renews them.
  if (ownerState.contiguousVersion >= ownerDelta.fromVersion)
    ownerState.contiguousVersion = std::max(ownerState.contiguousVersion, ownerDelta.upToVersion);
}

// A peer's copy of this controller's own entries is never merged, only checked for a later incarnation.
void Store::mergeOwnDelta(const Delta::OwnerDelta& ownerDelta, MergeResult& result) {
  std::uint64_t latestVersion = ownerDelta.upToVersion;
  for (const EntryUpdate& update : ownerDelta.updates)
    latestVersion = std::max(latestVersion, update.version);
  if (resolveIncarnationConflict(ownerDelta.incarnation, latestVersion)) result.incarnationConflict = true;
  std::size_t& counter = ownerDelta.incarnation < incarnation_ ? result.stale : result.alreadyKnown;
  counter += ownerDelta.updates.size();
}

// Returns the end of the map, and counts the updates in `result`, if the owner is not added.
Store::OwnerMap::iterator Store::addOwner(Duration now, const Delta::OwnerDelta& ownerDelta,
                                          MergeResult& result) {
  const auto firstUnexpired = std::ranges::find_if(
      ownerDelta.updates, [&](const EntryUpdate& update) { return update.age < options_.retentionDuration; });
  if (firstUnexpired == ownerDelta.updates.end()) {
    result.stale += ownerDelta.updates.size();
    return owners_.end();
  }
  if (!evictToFit(now, ownerDelta.owner, kMaxEntryBytes, true)) {
    result.rejected += ownerDelta.updates.size();
    return owners_.end();
  }
  const auto owner = owners_.try_emplace(ownerDelta.owner).first;
  owner->second.newestEntryAt = now - firstUnexpired->age;
  return owner;
}

bool Store::isValidUpdate(const EntryUpdate& update) {
  return update.topic <= kMaxTopic && update.key.size() <= kMaxKeyBytes &&
         update.value.size() <= kMaxValueBytes && isValidNumber(update.version) &&
         (!update.removed || update.value.empty());
}

bool Store::supersedes(const EntryUpdate& update, const Entry& entry) {
  if (update.version != entry.version) return update.version > entry.version;
  // Two values have the same version only if two processes use the same name. The greater value wins, so that
  // all controllers converge to the same value.
  return std::pair(update.removed, std::string_view(update.value)) >
         std::pair(entry.removed, std::string_view(entry.value));
}

void Store::applyUpdate(Duration now, OwnerMap::iterator owner, const EntryUpdate& update,
                        MergeResult& result) {
  if (!isValidUpdate(update)) {
    ++result.rejected;
    return;
  }
  OwnerState& ownerState = owner->second;
  const Duration writtenAt = now - std::max(update.age, Duration{0});
  auto existing = ownerState.entries.find(EntryKey{update.topic, update.key});
  const bool exists = existing != ownerState.entries.end();
  if (exists) {
    Entry& entry = existing->second;
    if (entry.version == update.version) entry.writtenAt = std::min(entry.writtenAt, writtenAt);
    if (!supersedes(update, entry)) {
      ++result.alreadyKnown;
      return;
    }
  }
  const std::size_t previousBytes = exists ? entryBytes(update.key.size(), existing->second.value.size()) : 0;
  const std::size_t newBytes = entryBytes(update.key.size(), update.value.size());
  const std::size_t addedBytes = newBytes > previousBytes ? newBytes - previousBytes : 0;
  if (ownerState.bytes + addedBytes > kMaxBytesPerOwner ||
      !evictToFit(now, owner->first, addedBytes, false)) {
    // The existing value is known to be superseded, so readers must no longer see it.
    if (exists) eraseEntry(ownerState, existing);
    ++result.rejected;
    return;
  }
  const bool isVisibleChange =
      !exists || existing->second.removed != update.removed || existing->second.value != update.value;
  if (!exists) existing = ownerState.entries.try_emplace(EntryKey{update.topic, update.key}).first;
  writeEntry(ownerState, existing, update.value, update.removed, update.version, writtenAt);
  if (isVisibleChange) ++changeCount_;
  ++result.applied;
}

}  // namespace paddletrack::gossip
