#include "rebalance/placement_solver.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "rebalance/neighborhood_search.hpp"

namespace paddletrack::rebalance {
namespace {

// Added to the relative load of an engine, so that others with about the same load are preferred.
constexpr double kWarmingUpPenalty = 0.1;
constexpr double kMissingHeadroomPenalty = 0.2;
// Evaluating this many engines costs one unit of the work budget, the same as one search node.
constexpr int kEnginesPerWorkUnit = 64;

struct Relocation {
  int replica = 0;
  int engine = kUnassigned;
};

}  // namespace

// A lower score is better; the move cost is compared first.
struct PlacementSolver::PlacementScore {
  std::int64_t cost = 0;
  double balance = 0;
  auto operator<=>(const PlacementScore&) const = default;
};

PlacementSolver::PlacementSolver(const ClusterView& cluster, const PlanOptions& options)
    : cluster_(cluster),
      options_(options),
      remainingWork_(options.workBudget),
      placement_(cluster, options) {}

void PlacementSolver::solve(Plan& plan) {
  keepCurrentHolders();
  relieveOverloadedEngines();
  placeUnassigned();
  NeighborhoodSearch(placement_, options_.workBudget, remainingWork_).run();
  plan.unplacedReplicas += placeBeyondLimits();
  recordExceededLimits(plan);
  recordPlacements(plan);
}

// Groups with more holders than wanted replicas are assigned last, the most read groups first, so that they
// keep their replicas on the engines that are less loaded by then.
void PlacementSolver::keepCurrentHolders() {
  std::vector<std::uint32_t> overreplicatedGroups;
  for (std::uint32_t groupIndex = 0; groupIndex < cluster_.groups.size(); ++groupIndex) {
    const auto& holders = cluster_.groups[groupIndex].holders;
    const auto allowedHolders =
        static_cast<std::size_t>(std::ranges::count_if(holders, [&](std::uint32_t holder) {
          return placement_.isAllowed(Replica{groupIndex}, static_cast<int>(holder));
        }));
    if (allowedHolders > placement_.replicasOfGroup(groupIndex).size())
      overreplicatedGroups.push_back(groupIndex);
    else
      assignToHolders(groupIndex);
  }
  std::ranges::stable_sort(overreplicatedGroups, [&](auto left, auto right) {
    return cluster_.groups[left].readRate > cluster_.groups[right].readRate;
  });
  for (const std::uint32_t groupIndex : overreplicatedGroups) assignToHolders(groupIndex);
  placement_.tolerateLoadsBelowTrigger();
}

void PlacementSolver::assignToHolders(std::uint32_t groupIndex) {
  for (const int replicaIndex : placement_.replicasOfGroup(groupIndex)) {
    const int holder = findLeastLoadedHolder(placement_.replica(replicaIndex));
    if (holder == kUnassigned) return;
    placement_.assign(replicaIndex, holder);
  }
}

int PlacementSolver::findLeastLoadedHolder(const Replica& replica) const {
  int bestHolder = kUnassigned;
  for (const std::uint32_t holderIndex : placement_.groupOf(replica).holders) {
    const int holder = static_cast<int>(holderIndex);
    if (!placement_.isAllowed(replica, holder) || placement_.hasReplicaOn(replica, holder)) continue;
    if (bestHolder == kUnassigned || placement_.isMoreLoaded(bestHolder, holder)) bestHolder = holder;
  }
  return bestHolder;
}

void PlacementSolver::relieveOverloadedEngines() {
  for (int engine = 0; engine < placement_.engineCount(); ++engine) {
    if (placement_.engineLoad(engine).isWithinLimits()) continue;
    std::vector<int> candidates = placement_.engineLoad(engine).replicas;
    relocateToOtherHolders(engine, candidates);
    if (placement_.engineLoad(engine).isWithinLimits()) continue;
    for (const int replicaIndex : selectReplicasToShed(engine, candidates)) placement_.unassign(replicaIndex);
  }
}

// Reassigns replicas to other holders of their groups, which needs no transfer. Reassigned replicas are
// removed from `candidates`.
void PlacementSolver::relocateToOtherHolders(int engine, std::vector<int>& candidates) {
  std::vector<Relocation> relocations;
  for (const int replicaIndex : candidates) {
    const int otherHolder = findOtherHolderWithCapacity(placement_.replica(replicaIndex));
    if (otherHolder != kUnassigned) relocations.push_back({replicaIndex, otherHolder});
  }
  for (const Relocation& relocation : relocations) {
    if (placement_.engineLoad(engine).isWithinLimits()) return;
    if (!placement_.hasCapacity(placement_.replica(relocation.replica), relocation.engine)) continue;
    placement_.unassign(relocation.replica);
    placement_.assign(relocation.replica, relocation.engine);
    std::erase(candidates, relocation.replica);
  }
}

int PlacementSolver::findOtherHolderWithCapacity(const Replica& replica) const {
  int bestHolder = kUnassigned;
  for (const std::uint32_t holderIndex : placement_.groupOf(replica).holders) {
    const int holder = static_cast<int>(holderIndex);
    if (holder == replica.engine || !placement_.isAllowed(replica, holder)) continue;
    if (placement_.hasReplicaOn(replica, holder) || !placement_.hasCapacity(replica, holder)) continue;
    if (bestHolder == kUnassigned || placement_.isMoreLoaded(bestHolder, holder)) bestHolder = holder;
  }
  return bestHolder;
}

std::vector<int> PlacementSolver::selectReplicasToShed(int engine, const std::vector<int>& candidates) const {
  const EngineLoad& engineLoad = placement_.engineLoad(engine);
  std::vector<ShedCandidate> shedCandidates;
  for (const int replicaIndex : candidates) {
    const Replica& replica = placement_.replica(replicaIndex);
    shedCandidates.push_back(
        {replicaIndex, replica.readRate, placement_.groupOf(replica).size, placement_.shedCost(replica)});
  }
  const EngineExcess excess{engineLoad.load - engineLoad.loadLimit,
                            engineLoad.usedBytes - engineLoad.capacityBytes};
  return ShedSelection(std::move(shedCandidates), excess).run();
}

// If a replica does not fit on any engine, all are placed again, this time on the most loaded engines that
// still have room, which leaves larger gaps of free memory on the others.
void PlacementSolver::placeUnassigned() {
  std::vector<int> unassigned = placement_.unassignedReplicas();
  placement_.sortByDifficulty(unassigned);
  const std::vector<int> unplaced = placeReplicas(unassigned, EnginePreference::leastLoaded);
  if (unplaced.empty()) return;
  for (const int replicaIndex : unassigned) placement_.unassign(replicaIndex);
  placeReplicas(unassigned, EnginePreference::mostLoaded);
}

// Returns the replicas for which no engine has capacity.
std::vector<int> PlacementSolver::placeReplicas(const std::vector<int>& replicaIndices,
                                                EnginePreference preference) {
  std::vector<int> unplaced;
  for (const int replicaIndex : replicaIndices)
    if (!tryPlace(replicaIndex, preference)) unplaced.push_back(replicaIndex);
  return unplaced;
}

bool PlacementSolver::tryPlace(int replicaIndex, EnginePreference preference) {
  const Replica& replica = placement_.replica(replicaIndex);
  remainingWork_ -= placement_.engineCount() / kEnginesPerWorkUnit + 1;
  int bestEngine = kUnassigned;
  PlacementScore bestScore;
  for (int engine = 0; engine < placement_.engineCount(); ++engine) {
    if (!placement_.isAllowed(replica, engine) || !placement_.hasCapacity(replica, engine)) continue;
    if (placement_.hasReplicaOn(replica, engine)) continue;
    const PlacementScore score = scorePlacement(replica, engine, preference);
    if (bestEngine != kUnassigned && !(score < bestScore)) continue;
    bestEngine = engine;
    bestScore = score;
  }
  if (bestEngine == kUnassigned) return false;
  placement_.assign(replicaIndex, bestEngine);
  return true;
}

PlacementSolver::PlacementScore PlacementSolver::scorePlacement(const Replica& replica, int engine,
                                                                EnginePreference preference) const {
  const EngineLoad& engineLoad = placement_.engineLoad(engine);
  const EngineSnapshot& snapshot = placement_.engine(engine);
  const double loadRatio = static_cast<double>(engineLoad.load + replica.readRate) /
                           static_cast<double>(std::max<std::int64_t>(1, engineLoad.loadLimit));
  const bool hasHeadroomNow =
      placement_.isHeldBy(replica, engine) || snapshot.headroom >= placement_.requiredBytes(replica, engine);
  const double balance = (preference == EnginePreference::mostLoaded ? -loadRatio : loadRatio) +
                         (snapshot.warmingUp ? kWarmingUpPenalty : 0) +
                         (hasHeadroomNow ? 0 : kMissingHeadroomPenalty);
  return {placement_.moveCost(replica, engine), balance};
}

// Places the replicas that no search could place: on a holder, regardless of its limits, or else on an engine
// with enough memory, regardless of its load. Returns the number of replicas for which no engine has enough
// memory.
std::size_t PlacementSolver::placeBeyondLimits() {
  std::vector<int> displaced;
  for (const int replicaIndex : placement_.unassignedReplicas()) {
    if (returnToHolder(replicaIndex))
      evictNewReplicas(placement_.replica(replicaIndex).engine, displaced);
    else
      displaced.push_back(replicaIndex);
  }
  std::size_t unplacedReplicas = 0;
  for (const int replicaIndex : displaced)
    if (!placeIgnoringLoad(replicaIndex)) ++unplacedReplicas;
  return unplacedReplicas;
}

bool PlacementSolver::returnToHolder(int replicaIndex) {
  const Replica& replica = placement_.replica(replicaIndex);
  const auto& holders = placement_.groupOf(replica).holders;
  const auto holder = std::ranges::find_if(holders, [&](std::uint32_t engineIndex) {
    const int engine = static_cast<int>(engineIndex);
    return placement_.isAllowed(replica, engine) && !placement_.hasReplicaOn(replica, engine);
  });
  if (holder == holders.end()) return false;
  placement_.assign(replicaIndex, static_cast<int>(*holder));
  return true;
}

// Removes replicas from an overfull engine that would have to be transferred to it, to make room for those
// that it already holds.
void PlacementSolver::evictNewReplicas(int engine, std::vector<int>& displaced) {
  const EngineLoad& engineLoad = placement_.engineLoad(engine);
  while (engineLoad.usedBytes > engineLoad.capacityBytes) {
    const auto newReplica = std::ranges::find_if(engineLoad.replicas, [&](int replicaIndex) {
      return !placement_.isHeldBy(placement_.replica(replicaIndex), engine);
    });
    if (newReplica == engineLoad.replicas.end()) return;
    const int evicted = *newReplica;
    displaced.push_back(evicted);
    placement_.unassign(evicted);
  }
}

bool PlacementSolver::placeIgnoringLoad(int replicaIndex) {
  const Replica& replica = placement_.replica(replicaIndex);
  int bestEngine = kUnassigned;
  for (int engine = 0; engine < placement_.engineCount(); ++engine) {
    if (!placement_.isAllowed(replica, engine) || placement_.hasReplicaOn(replica, engine)) continue;
    if (!placement_.hasRoom(replica, engine)) continue;
    if (bestEngine == kUnassigned || placement_.isMoreLoaded(bestEngine, engine)) bestEngine = engine;
  }
  if (bestEngine == kUnassigned) return false;
  placement_.assign(replicaIndex, bestEngine);
  return true;
}

void PlacementSolver::recordExceededLimits(Plan& plan) const {
  for (int engine = 0; engine < placement_.engineCount(); ++engine) {
    const EngineLoad& engineLoad = placement_.engineLoad(engine);
    if (!engineLoad.isReady) continue;
    if (engineLoad.load > engineLoad.loadLimit) plan.isBalanced = false;
    if (engineLoad.usedBytes > engineLoad.capacityBytes) ++plan.overfullEngines;
  }
}

void PlacementSolver::recordPlacements(Plan& plan) const {
  plan.placements.resize(cluster_.groups.size());
  for (int index = 0; index < placement_.replicaCount(); ++index) {
    const Replica& replica = placement_.replica(index);
    if (replica.engine == kUnassigned) continue;
    plan.placements[replica.group].push_back(static_cast<std::uint32_t>(replica.engine));
  }
  for (auto& placement : plan.placements) std::ranges::sort(placement);
}

}  // namespace paddletrack::rebalance
