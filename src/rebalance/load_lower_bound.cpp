#include "rebalance/load_lower_bound.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace paddletrack::rebalance {
namespace {

__extension__ using Int128 = __int128;

// Totals of the ready engines that satisfy one placement constraint, and the load of the groups with that
// constraint.
struct ConstraintClass {
  const GroupSnapshot* sampleGroup = nullptr;
  std::int64_t totalWeight = 0;
  std::int64_t maxWeight = 0;
  std::size_t eligibleEngines = 0;
  std::int64_t load = 0;
};

bool hasSameConstraint(const GroupSnapshot& left, const GroupSnapshot& right) {
  return left.allowedZones == right.allowedZones && left.allowedMachineTypes == right.allowedMachineTypes;
}

ConstraintClass makeConstraintClass(const ClusterView& cluster, const GroupSnapshot& group) {
  ConstraintClass constraint{&group};
  for (const EngineSnapshot& engine : cluster.engines) {
    if (engine.state != EndpointState::ready || !canHold(group, engine)) continue;
    constraint.totalWeight += engine.weight;
    constraint.maxWeight = std::max(constraint.maxWeight, engine.weight);
    ++constraint.eligibleEngines;
  }
  return constraint;
}

ConstraintClass& findOrAddConstraintClass(std::vector<ConstraintClass>& constraints,
                                          const ClusterView& cluster, const GroupSnapshot& group) {
  const auto known = std::ranges::find_if(constraints, [&](const ConstraintClass& constraint) {
    return hasSameConstraint(*constraint.sampleGroup, group);
  });
  if (known != constraints.end()) return *known;
  return constraints.emplace_back(makeConstraintClass(cluster, group));
}

}  // namespace

// The bound is the maximum of: the mean load over all ready engines; for each placement constraint, the mean
// load of the groups with that constraint over the engines that satisfy it; and, for each group, the load of
// one replica on the engine with the largest weight that may hold it.
LoadLowerBound::LoadLowerBound(const ClusterView& cluster) {
  std::int64_t totalWeight = 0;
  for (const EngineSnapshot& engine : cluster.engines)
    if (engine.state == EndpointState::ready) totalWeight += engine.weight;

  std::vector<ConstraintClass> constraints;
  std::int64_t totalLoad = 0;
  for (const GroupSnapshot& group : cluster.groups) {
    ConstraintClass& constraint = findOrAddConstraintClass(constraints, cluster, group);
    if (constraint.eligibleEngines == 0) continue;
    const std::int64_t replicaLoad = readRatePerReplica(group, constraint.eligibleEngines);
    const std::int64_t groupLoad =
        replicaLoad * static_cast<std::int64_t>(replicaCount(group, constraint.eligibleEngines));
    totalLoad += groupLoad;
    constraint.load += groupLoad;
    raiseBound(replicaLoad, constraint.maxWeight);
  }
  raiseBound(totalLoad, totalWeight);
  for (const ConstraintClass& constraint : constraints) raiseBound(constraint.load, constraint.totalWeight);
}

void LoadLowerBound::raiseBound(std::int64_t load, std::int64_t weight) {
  if (weight <= 0 || Int128(load) * weight_ <= Int128(load_) * weight) return;
  load_ = load;
  weight_ = weight;
}

std::int64_t LoadLowerBound::loadLimit(const EngineSnapshot& engine, int overloadPercent) const {
  return static_cast<std::int64_t>(Int128(load_) * engine.weight * (100 + overloadPercent) /
                                   (Int128(weight_) * 100));
}

}  // namespace paddletrack::rebalance
