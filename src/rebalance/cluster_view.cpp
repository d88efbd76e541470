#include "rebalance/cluster_view.hpp"

#include <algorithm>
#include <numeric>

namespace paddletrack::rebalance {
namespace {

__extension__ using Int128 = __int128;

bool allowsValue(const std::optional<std::vector<unsigned>>& allowedValues, unsigned value) {
  return !allowedValues ||
         std::find(allowedValues->begin(), allowedValues->end(), value) != allowedValues->end();
}

class DigestHasher {
 public:
  void add(std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte, value >>= 8) value_ = (value_ ^ (value & 255)) * 0x100000001b3ULL;
  }
  void add(const std::string& text) {
    add(text.size());
    for (const char character : text)
      value_ = (value_ ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  void add(const std::optional<std::vector<unsigned>>& constraint) {
    add(constraint ? constraint->size() + 1 : 0);
    if (constraint)
      for (const unsigned value : *constraint) add(value);
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace

ClusterView canonicalize(ClusterView cluster) {
  std::vector<std::uint32_t> order(cluster.engines.size()), newIndices(cluster.engines.size(), UINT32_MAX);
  std::iota(order.begin(), order.end(), 0U);
  const auto nameAt = [&](std::uint32_t engineIndex) -> const std::string& {
    return cluster.engines[engineIndex].name;
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](auto left, auto right) { return nameAt(left) < nameAt(right); });
  ClusterView ordered;
  for (const std::uint32_t value : order) {
    const bool isDuplicate = !ordered.engines.empty() && ordered.engines.back().name == nameAt(value);
    if (!isDuplicate) ordered.engines.push_back(cluster.engines[value]);
    newIndices[value] = static_cast<std::uint32_t>(ordered.engines.size() - 1);
  }
  ordered.groups = std::move(cluster.groups);
  std::stable_sort(ordered.groups.begin(), ordered.groups.end(),
                   [](const auto& left, const auto& right) { return left.groupId < right.groupId; });
  const auto hasSameId = [](const auto& left, const auto& right) { return left.groupId == right.groupId; };
  ordered.groups.erase(std::unique(ordered.groups.begin(), ordered.groups.end(), hasSameId),
                       ordered.groups.end());
  for (GroupSnapshot& group : ordered.groups) {
    std::erase_if(group.holders, [&](std::uint32_t holder) { return holder >= newIndices.size(); });
    for (std::uint32_t& holder : group.holders) holder = newIndices[holder];
    std::erase_if(group.holders,
                  [&](auto holder) { return ordered.engines[holder].state == EndpointState::removed; });
    std::sort(group.holders.begin(), group.holders.end());
    group.holders.erase(std::unique(group.holders.begin(), group.holders.end()), group.holders.end());
    for (auto* constraint : {&group.allowedZones, &group.allowedMachineTypes})
      if (*constraint) std::sort((*constraint)->begin(), (*constraint)->end());
  }
  return ordered;
}

std::uint64_t computeDigest(const ClusterView& cluster) {
  DigestHasher hasher;
  for (const EngineSnapshot& engine : cluster.engines) {
    hasher.add(engine.name);
    for (const std::int64_t value : {engine.capacity, engine.headroom, engine.weight})
      hasher.add(static_cast<std::uint64_t>(value));
    hasher.add(static_cast<std::uint64_t>(engine.state) * 2 + (engine.warmingUp ? 1 : 0));
    hasher.add(engine.zone), hasher.add(engine.machineType);
  }
  for (const GroupSnapshot& group : cluster.groups) {
    hasher.add(group.groupId), hasher.add(static_cast<std::uint64_t>(group.size));
    hasher.add(static_cast<std::uint64_t>(group.readRate)), hasher.add(group.wantedReplicas);
    hasher.add(group.allowedZones), hasher.add(group.allowedMachineTypes);
    hasher.add(group.holders.size() * 2 + (group.recentlyMoved ? 1 : 0));
    for (const std::uint32_t holder : group.holders) hasher.add(holder);
  }
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

// The mean over all; over the engines of each placement bound, of the groups with just that; and the dearest
// group on the strongest engine that may have it.
LoadLowerBound::LoadLowerBound(const ClusterView& cluster) {
  const auto raiseBound = [&](std::int64_t load, std::int64_t weight) {
    if (weight > 0 && Int128(load) * weight_ > Int128(load_) * weight) load_ = load, weight_ = weight;
  };
  struct PlacementConstraint {
    const GroupSnapshot* sampleGroup;
    std::int64_t totalWeight = 0, load = 0, maxWeight = 0;
    std::size_t eligibleEngines = 0;
  };
  std::vector<PlacementConstraint> constraints;
  std::int64_t totalLoad = 0, totalWeight = 0;
  for (const EngineSnapshot& engine : cluster.engines)
    if (engine.state == EndpointState::ready) totalWeight += engine.weight;
  for (const GroupSnapshot& group : cluster.groups) {
    auto constraint = std::find_if(
        constraints.begin(), constraints.end(), [&](const PlacementConstraint& placementConstraint) {
          return placementConstraint.sampleGroup->allowedZones == group.allowedZones &&
                 placementConstraint.sampleGroup->allowedMachineTypes == group.allowedMachineTypes;
        });
    if (constraint == constraints.end()) {
      constraint = constraints.insert(constraints.end(), PlacementConstraint{&group});
      for (const EngineSnapshot& engine : cluster.engines) {
        if (engine.state != EndpointState::ready || !canHold(group, engine)) continue;
        constraint->totalWeight += engine.weight, ++constraint->eligibleEngines;
        constraint->maxWeight = std::max(constraint->maxWeight, engine.weight);
      }
    }
    if (constraint->eligibleEngines == 0) continue;
    const std::int64_t replicaLoad = readRatePerReplica(group, constraint->eligibleEngines);
    const std::int64_t groupLoad =
        replicaLoad * static_cast<std::int64_t>(replicaCount(group, constraint->eligibleEngines));
    totalLoad += groupLoad, constraint->load += groupLoad;
    raiseBound(replicaLoad, constraint->maxWeight);
  }
  raiseBound(totalLoad, totalWeight);
  for (const PlacementConstraint& constraint : constraints)
    raiseBound(constraint.load, constraint.totalWeight);
}

std::int64_t LoadLowerBound::loadLimit(const EngineSnapshot& engine, int overloadPercent) const {
  return static_cast<std::int64_t>(Int128(load_) * engine.weight * (100 + overloadPercent) /
                                   (Int128(weight_) * 100));
}

}  // namespace paddletrack::rebalance
