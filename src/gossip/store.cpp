#include "gossip/store.hpp"

#include <algorithm>
#include <stdexcept>

namespace paddletrack::gossip {

bool Store::isValidNumber(std::uint64_t value) { return value > 0 && value < kNumberLimit; }

Store::Store(StoreOptions options) : options_(std::move(options)), incarnation_(options_.incarnation) {
  if (options_.owner.empty() || options_.owner.size() > kMaxOwnerBytes)
    throw std::invalid_argument("owner: must have 1 to " + std::to_string(kMaxOwnerBytes) + " bytes");
  if (!isValidNumber(incarnation_)) throw std::invalid_argument("generation: must be from 1 to 2^62 - 1");
  if (options_.retentionDuration <= Duration{0}) throw std::invalid_argument("keep: must be above 0");
  if (options_.maxBytes < 2 * kMaxBytesPerOwner)
    throw std::invalid_argument("mostBytes: must be at least " + std::to_string(2 * kMaxBytesPerOwner) +
                                " bytes");
  owners_[options_.owner].incarnation = incarnation_;
}

// ---- writing this controller's own entries ----------------------------------------------------------------

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

// ---- entry table ------------------------------------------------------------------------------------------

// An entry with version 0 was just created and is not included in the counters yet.
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
        std::find_if(begin, end, [&](const auto& indexEntry) { return indexEntry.second == position; }));
  }
  owner.bytes = owner.bytes - entry.value.size() + value.size();
  totalBytes_ = totalBytes_ - entry.value.size() + value.size();
  entry = {std::string(value), version, removed, writtenAt};
  owner.byVersion.emplace(version, position);
  owner.newestEntryAt = owner.byVersion.size() == 1 ? writtenAt : std::max(owner.newestEntryAt, writtenAt);
}

void Store::eraseEntry(OwnerState& owner, EntryMap::iterator entry) {
  const auto [begin, end] = owner.byVersion.equal_range(entry->second.version);
  owner.byVersion.erase(
      std::find_if(begin, end, [&](const auto& indexEntry) { return indexEntry.second == entry; }));
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

// kMaxBytesPerOwner is reserved for this controller's own entries, used or not.
std::size_t Store::freeBytes() const {
  const std::size_t otherOwnersBytes = totalBytes_ - owners_.find(options_.owner)->second.bytes;
  return options_.maxBytes - kMaxBytesPerOwner -
         std::min(otherOwnersBytes, options_.maxBytes - kMaxBytesPerOwner);
}

// Only owners without an entry younger than half of the retention duration may be evicted. Returns the end of
// the map if there is none.
Store::OwnerMap::const_iterator Store::findStalestOwner(Duration now, std::string_view excludedOwner) const {
  auto stalest = owners_.end();
  for (auto candidate = owners_.begin(); candidate != owners_.end(); ++candidate) {
    if (candidate->first == options_.owner || candidate->first == excludedOwner ||
        now - candidate->second.newestEntryAt < options_.retentionDuration / 2)
      continue;
    if (stalest == owners_.end() || candidate->second.newestEntryAt < stalest->second.newestEntryAt)
      stalest = candidate;
  }
  return stalest;
}

bool Store::evictToFit(Duration now, std::string_view excludedOwner, std::size_t bytes, bool addsOwner) {
  while (freeBytes() < bytes || (addsOwner && owners_.size() >= kMaxOwners)) {
    const auto stalestOwner = findStalestOwner(now, excludedOwner);
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

// Called when a peer holds a later incarnation of this controller's name, because this machine's clock went
// back or another process uses the name.
void Store::startNewIncarnation(std::uint64_t previousIncarnation) {
  if (!isValidNumber(previousIncarnation + 1)) return;
  incarnation_ = previousIncarnation + 1;
  ownState().incarnation = incarnation_;
}

}  // namespace paddletrack::gossip
