#include "rebalance/cluster_view.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace paddletrack::rebalance {
namespace {

bool allowsValue(const std::optional<std::vector<unsigned>>& allowedValues, unsigned value) {
  return !allowedValues || std::ranges::find(*allowedValues, value) != allowedValues->end();
}

// Computes the 64-bit FNV-1a hash.
class DigestHasher {
 public:
  void add(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) addByte((value >> shift) & 255);
  }
  void add(const std::string& text) {
    add(text.size());
    for (const char character : text) addByte(static_cast<unsigned char>(character));
  }
  void add(const std::optional<std::vector<unsigned>>& constraint) {
    add(constraint ? constraint->size() + 1 : 0);
    if (!constraint) return;
    for (const unsigned value : *constraint) add(value);
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;

  void addByte(std::uint64_t byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

void addEngine(DigestHasher& hasher, const EngineSnapshot& engine) {
  hasher.add(engine.name);
  hasher.add(static_cast<std::uint64_t>(engine.capacity));
  hasher.add(static_cast<std::uint64_t>(engine.headroom));
  hasher.add(static_cast<std::uint64_t>(engine.weight));
  hasher.add(static_cast<std::uint64_t>(engine.state) * 2 + (engine.warmingUp ? 1 : 0));
  hasher.add(engine.zone);
  hasher.add(engine.machineType);
}

void addGroup(DigestHasher& hasher, const GroupSnapshot& group) {
  hasher.add(group.groupId);
  hasher.add(static_cast<std::uint64_t>(group.size));
  hasher.add(static_cast<std::uint64_t>(group.readRate));
  hasher.add(group.wantedReplicas);
  hasher.add(group.allowedZones);
  hasher.add(group.allowedMachineTypes);
  hasher.add(group.holders.size() * 2 + (group.recentlyMoved ? 1 : 0));
  for (const std::uint32_t holder : group.holders) hasher.add(holder);
}

// Sorts the engines by name and keeps the first of each name. Returns the new index of each engine; a
// duplicate maps to the engine that was kept.
std::vector<std::uint32_t> sortEngines(std::vector<EngineSnapshot>& engines) {
  std::vector<std::uint32_t> order(engines.size()), newIndices(engines.size(), UINT32_MAX);
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::stable_sort(order, [&](std::uint32_t left, std::uint32_t right) {
    return engines[left].name < engines[right].name;
  });
  std::vector<EngineSnapshot> sorted;
  for (const std::uint32_t index : order) {
    const bool isDuplicate = !sorted.empty() && sorted.back().name == engines[index].name;
    if (!isDuplicate) sorted.push_back(engines[index]);
    newIndices[index] = static_cast<std::uint32_t>(sorted.size() - 1);
  }
  engines = std::move(sorted);
  return newIndices;
}

// Sorts the groups by number and keeps the first of each number.
void sortGroups(std::vector<GroupSnapshot>& groups) {
  std::ranges::stable_sort(groups, [](const GroupSnapshot& left, const GroupSnapshot& right) {
    return left.groupId < right.groupId;
  });
  const auto hasSameId = [](const GroupSnapshot& left, const GroupSnapshot& right) {
    return left.groupId == right.groupId;
  };
  const auto duplicates = std::ranges::unique(groups, hasSameId);
  groups.erase(duplicates.begin(), duplicates.end());
}

void renumberHolders(GroupSnapshot& group, const std::vector<std::uint32_t>& newIndices,
                     const std::vector<EngineSnapshot>& engines) {
  auto& holders = group.holders;
  std::erase_if(holders, [&](std::uint32_t holder) { return holder >= newIndices.size(); });
  for (std::uint32_t& holder : holders) holder = newIndices[holder];
  std::erase_if(holders,
                [&](std::uint32_t holder) { return engines[holder].state == EndpointState::removed; });
  std::ranges::sort(holders);
  const auto duplicates = std::ranges::unique(holders);
  holders.erase(duplicates.begin(), duplicates.end());
}

void sortConstraint(std::optional<std::vector<unsigned>>& allowedValues) {
  if (allowedValues) std::ranges::sort(*allowedValues);
}

}  // namespace

ClusterView canonicalize(ClusterView cluster) {
  const std::vector<std::uint32_t> newIndices = sortEngines(cluster.engines);
  sortGroups(cluster.groups);
  for (GroupSnapshot& group : cluster.groups) {
    renumberHolders(group, newIndices, cluster.engines);
    sortConstraint(group.allowedZones);
    sortConstraint(group.allowedMachineTypes);
  }
  return cluster;
}

std::uint64_t computeDigest(const ClusterView& cluster) {
  DigestHasher hasher;
  for (const EngineSnapshot& engine : cluster.engines) addEngine(hasher, engine);
  for (const GroupSnapshot& group : cluster.groups) addGroup(hasher, group);
  return hasher.value();
}

bool canHold(const GroupSnapshot& group, const EngineSnapshot& engine) {
  return allowsValue(group.allowedZones, engine.zone) &&
         allowsValue(group.allowedMachineTypes, engine.machineType);
}

std::size_t replicaCount(const GroupSnapshot& group, std::size_t eligibleEngines) {
  return std::min<std::size_t>(std::max(1U, group.wantedReplicas), eligibleEngines);
}

std::int64_t readRatePerReplica(const GroupSnapshot& group, std::size_t eligibleEngines) {
  const auto replicas =
      static_cast<std::int64_t>(std::max<std::size_t>(1, replicaCount(group, eligibleEngines)));
  return (std::max<std::int64_t>(0, group.readRate) + replicas - 1) / replicas;
}

}  // namespace paddletrack::rebalance
