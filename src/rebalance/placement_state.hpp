#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "rebalance/load_lower_bound.hpp"
#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

constexpr int kUnassigned = -1;

/// One of the wanted replicas of a group. The group's read rate is divided evenly among its replicas.
struct Replica {
  std::uint32_t group = 0;
  int engine = kUnassigned;
  std::int64_t readRate = 0;
};

/// Load and memory use of one engine under the current assignment.
struct EngineLoad {
  std::int64_t load = 0;
  std::int64_t loadLimit = 0;
  Bytes usedBytes = 0;
  Bytes capacityBytes = 0;
  std::vector<int> replicas;
  bool isReady = false;

  bool isWithinLimits() const { return load <= loadLimit && usedBytes <= capacityBytes; }
};

/// The assignment of replicas to engines that the placement search works on. Replicas and engines are
/// referred to by index; engine indices are those of ClusterView::engines. Keeps references to the view and
/// the options, which must outlive it.
class PlacementState {
 public:
  /// Creates the wanted replicas of every group, all of them unassigned.
  PlacementState(const ClusterView& cluster, const PlanOptions& options);

  const ClusterView& cluster() const { return cluster_; }
  int engineCount() const { return static_cast<int>(engineLoads_.size()); }
  int replicaCount() const { return static_cast<int>(replicas_.size()); }
  const Replica& replica(int index) const { return replicas_[static_cast<std::size_t>(index)]; }
  const EngineLoad& engineLoad(int engine) const { return engineLoads_[static_cast<std::size_t>(engine)]; }
  const EngineSnapshot& engine(int index) const { return cluster_.engines[static_cast<std::size_t>(index)]; }
  const GroupSnapshot& groupOf(const Replica& replica) const { return cluster_.groups[replica.group]; }
  const std::vector<int>& replicasOfGroup(std::uint32_t group) const { return replicasByGroup_[group]; }
  std::vector<int> readyEngines() const;
  std::vector<int> unassignedReplicas() const;

  /// Assigns an unassigned replica without checking limits.
  void assign(int replicaIndex, int engine);
  /// Removes the replica from its engine; does nothing if it is unassigned.
  void unassign(int replicaIndex);
  /// Like assign and unassign, but without updating EngineLoad::replicas. Meant for searches that assign and
  /// undo at every node.
  void assignTentatively(int replicaIndex, int engine, Bytes requiredBytes);
  void undoTentativeAssignment(int replicaIndex, int engine, Bytes requiredBytes);
  /// Raises the load limit of each engine whose load does not exceed the trigger to at least its current
  /// load, so that it does not have to shed groups.
  void tolerateLoadsBelowTrigger();

  bool isHeldBy(const Replica& replica, int engine) const;
  bool isAllowed(const Replica& replica, int engine) const;
  /// Returns true if another replica of the same group is assigned to `engine`.
  bool hasReplicaOn(const Replica& replica, int engine) const;
  /// Returns true if an allowed engine already holds the group, so that the replica can be assigned without a
  /// transfer.
  bool hasAllowedHolder(const Replica& replica) const;
  bool hasRoom(const Replica& replica, int engine) const;
  /// Returns true if the replica fits both the memory and the load limit of `engine`.
  bool hasCapacity(const Replica& replica, int engine) const;
  /// Returns true if `first` has a higher load relative to its load limit than `second`.
  bool isMoreLoaded(int first, int second) const;
  /// Returns true if the replica is unassigned, or needs a transfer although an allowed engine already holds
  /// its group.
  bool isMisplaced(const Replica& replica) const;

  Bytes requiredBytes(const Replica& replica, int engine) const;
  /// Returns the cost of placing the replica on `engine`: 0 on a holder, else the bytes moved plus 1. The
  /// bytes of a recently moved group are multiplied by a penalty if an allowed engine holds it.
  std::int64_t moveCost(const Replica& replica, int engine) const;
  /// Returns the cost of removing the replica from its engine.
  std::int64_t shedCost(const Replica& replica) const;
  /// Returns the replica's share of the total memory plus its share of the total load limit. The larger the
  /// sum, the more difficult it is to place.
  double placementDifficulty(const Replica& replica) const;
  /// Sorts replica indices by descending difficulty; the sort is stable.
  void sortByDifficulty(std::vector<int>& replicaIndices) const;

 private:
  void initializeEngineLoads();
  void createReplicas();

  const ClusterView& cluster_;
  const PlanOptions& options_;
  LoadLowerBound lowerBound_;
  std::vector<EngineLoad> engineLoads_;
  std::vector<std::vector<int>> replicasByGroup_;
  std::vector<Replica> replicas_;
  double totalCapacityBytes_ = 1;  // starts at 1, so that it can be a divisor
  double totalLoadLimit_ = 1;
};

// The functions that are called for every search node are inline.

inline bool PlacementState::isHeldBy(const Replica& replica, int engine) const {
  const auto& holders = groupOf(replica).holders;
  return std::ranges::binary_search(holders, static_cast<std::uint32_t>(engine));
}

inline bool PlacementState::isAllowed(const Replica& replica, int engineIndex) const {
  return engineLoad(engineIndex).isReady && canHold(groupOf(replica), engine(engineIndex));
}

inline bool PlacementState::hasReplicaOn(const Replica& candidate, int engine) const {
  const auto& siblings = replicasByGroup_[candidate.group];
  return std::ranges::any_of(siblings, [&](int sibling) {
    return &replica(sibling) != &candidate && replica(sibling).engine == engine;
  });
}

inline Bytes PlacementState::requiredBytes(const Replica& replica, int engine) const {
  return groupOf(replica).size * (isHeldBy(replica, engine) ? 1 : options_.headroomDivisor);
}

inline bool PlacementState::hasRoom(const Replica& replica, int engine) const {
  const EngineLoad& target = engineLoad(engine);
  return target.usedBytes + requiredBytes(replica, engine) <= target.capacityBytes;
}

inline bool PlacementState::hasCapacity(const Replica& replica, int engine) const {
  const EngineLoad& target = engineLoad(engine);
  return target.load + replica.readRate <= target.loadLimit && hasRoom(replica, engine);
}

inline void PlacementState::assignTentatively(int replicaIndex, int engine, Bytes requiredBytes) {
  Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
  EngineLoad& target = engineLoads_[static_cast<std::size_t>(engine)];
  replica.engine = engine;
  target.load += replica.readRate;
  target.usedBytes += requiredBytes;
}

inline void PlacementState::undoTentativeAssignment(int replicaIndex, int engine, Bytes requiredBytes) {
  Replica& replica = replicas_[static_cast<std::size_t>(replicaIndex)];
  EngineLoad& target = engineLoads_[static_cast<std::size_t>(engine)];
  target.load -= replica.readRate;
  target.usedBytes -= requiredBytes;
  replica.engine = kUnassigned;
}

}  // namespace paddletrack::rebalance
