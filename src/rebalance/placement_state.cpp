#include "rebalance/placement_state.hpp"

namespace paddletrack::rebalance {
namespace {

// Factor on the size of a recently moved group in the move cost, so that it is moved again only if moving
// other groups is not enough.
constexpr std::int64_t kRecentMovePenalty = 4;

}  // namespace

PlacementState::PlacementState(const ClusterView& cluster, const PlanOptions& options)
    : cluster_(cluster),
      options_(options),
      lowerBound_(cluster),
      engineLoads_(cluster.engines.size()),
      replicasByGroup_(cluster.groups.size()) {
  initializeEngineLoads();
  createReplicas();
}

void PlacementState::initializeEngineLoads() {
  std::vector<Bytes> heldBytes(cluster_.engines.size());
  for (const GroupSnapshot& group : cluster_.groups)
    for (const std::uint32_t holder : group.holders) heldBytes[holder] += group.size;
  for (std::size_t index = 0; index < engineLoads_.size(); ++index) {
    const EngineSnapshot& engine = cluster_.engines[index];
    EngineLoad& engineLoad = engineLoads_[index];
    engineLoad.isReady = engine.state == EndpointState::ready && engine.weight > 0;
    engineLoad.loadLimit = lowerBound_.loadLimit(engine, options_.maxOverloadPercent);
    engineLoad.capacityBytes =
        std::max<Bytes>(0, std::min(engine.capacity, heldBytes[index] + engine.headroom));
    if (!engineLoad.isReady) continue;
    totalCapacityBytes_ += static_cast<double>(engineLoad.capacityBytes);
    totalLoadLimit_ += static_cast<double>(engineLoad.loadLimit);
  }
}

void PlacementState::createReplicas() {
  for (std::uint32_t groupIndex = 0; groupIndex < cluster_.groups.size(); ++groupIndex) {
    const GroupSnapshot& group = cluster_.groups[groupIndex];
    std::size_t eligibleEngines = 0;
    for (int engine = 0; engine < engineCount(); ++engine)
      if (isAllowed(Replica{groupIndex}, engine)) ++eligibleEngines;
    const std::size_t wantedReplicas = rebalance::replicaCount(group, eligibleEngines);
    for (std::size_t count = 0; count < wantedReplicas; ++count) {
      replicasByGroup_[groupIndex].push_back(replicaCount());
      replicas_.push_back({groupIndex, kUnassigned, readRatePerReplica(group, eligibleEngines)});
    }
  }
}

std::vector<int> PlacementState::readyEngines() const {
  std::vector<int> engines;
  for (int engine = 0; engine < engineCount(); ++engine)
    if (engineLoad(engine).isReady) engines.push_back(engine);
  return engines;
}

std::vector<int> PlacementState::unassignedReplicas() const {
  std::vector<int> unassigned;
  for (int index = 0; index < replicaCount(); ++index)
    if (replica(index).engine == kUnassigned) unassigned.push_back(index);
  return unassigned;
}

void PlacementState::assign(int replicaIndex, int engine) {
  assignTentatively(replicaIndex, engine, requiredBytes(replica(replicaIndex), engine));
  engineLoads_[static_cast<std::size_t>(engine)].replicas.push_back(replicaIndex);
}

void PlacementState::unassign(int replicaIndex) {
  const int engine = replica(replicaIndex).engine;
  if (engine == kUnassigned) return;
  undoTentativeAssignment(replicaIndex, engine, requiredBytes(replica(replicaIndex), engine));
  std::erase(engineLoads_[static_cast<std::size_t>(engine)].replicas, replicaIndex);
}

void PlacementState::tolerateLoadsBelowTrigger() {
  const int triggerPercent = std::max(options_.triggerOverloadPercent, options_.maxOverloadPercent);
  for (std::size_t index = 0; index < engineLoads_.size(); ++index) {
    EngineLoad& engineLoad = engineLoads_[index];
    if (engineLoad.load <= lowerBound_.loadLimit(cluster_.engines[index], triggerPercent))
      engineLoad.loadLimit = std::max(engineLoad.loadLimit, engineLoad.load);
  }
}

bool PlacementState::hasAllowedHolder(const Replica& replica) const {
  const auto& holders = groupOf(replica).holders;
  return std::ranges::any_of(
      holders, [&](std::uint32_t holder) { return isAllowed(replica, static_cast<int>(holder)); });
}

bool PlacementState::isMoreLoaded(int first, int second) const {
  const EngineLoad& firstLoad = engineLoad(first);
  const EngineLoad& secondLoad = engineLoad(second);
  return static_cast<double>(firstLoad.load) * static_cast<double>(secondLoad.loadLimit) >
         static_cast<double>(secondLoad.load) * static_cast<double>(firstLoad.loadLimit);
}

bool PlacementState::isMisplaced(const Replica& replica) const {
  if (replica.engine == kUnassigned) return true;
  return moveCost(replica, replica.engine) > 0 && hasAllowedHolder(replica);
}

std::int64_t PlacementState::moveCost(const Replica& replica, int engine) const {
  if (isHeldBy(replica, engine)) return 0;
  const GroupSnapshot& group = groupOf(replica);
  return group.size * (group.recentlyMoved && hasAllowedHolder(replica) ? kRecentMovePenalty : 1) + 1;
}

std::int64_t PlacementState::shedCost(const Replica& replica) const {
  const GroupSnapshot& group = groupOf(replica);
  return group.size * (group.recentlyMoved ? kRecentMovePenalty : 1) + 1;
}

double PlacementState::placementDifficulty(const Replica& replica) const {
  return static_cast<double>(groupOf(replica).size) / totalCapacityBytes_ +
         static_cast<double>(replica.readRate) / totalLoadLimit_;
}

void PlacementState::sortByDifficulty(std::vector<int>& replicaIndices) const {
  std::ranges::stable_sort(replicaIndices, [&](int left, int right) {
    return placementDifficulty(replica(left)) > placementDifficulty(replica(right));
  });
}

}  // namespace paddletrack::rebalance
