#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rebalance/placement_state.hpp"
#include "rebalance/plan.hpp"
#include "rebalance/shed_selection.hpp"

namespace paddletrack::rebalance {

/// Computes a placement of the groups' replicas that moves little data and keeps every engine within its
/// limits. Replicas stay on their current holders where allowed; engines over their limits shed the cheapest
/// set of replicas; unassigned replicas are placed, the most difficult first; a local search then improves
/// the result.
class PlacementSolver {
 public:
  /// Keeps references to both arguments, which must outlive the object. `cluster` must be canonical.
  PlacementSolver(const ClusterView& cluster, const PlanOptions& options);

  /// Sets the placements of `plan` and its counts of unplaced replicas and exceeded limits.
  void solve(Plan& plan);

 private:
  enum class EnginePreference : std::uint8_t { leastLoaded, mostLoaded };
  struct PlacementScore;

  void keepCurrentHolders();
  void assignToHolders(std::uint32_t groupIndex);
  int findLeastLoadedHolder(const Replica& replica) const;

  void relieveOverloadedEngines();
  void relocateToOtherHolders(int engine, std::vector<int>& candidates);
  int findOtherHolderWithCapacity(const Replica& replica) const;
  std::vector<int> selectReplicasToShed(int engine, const std::vector<int>& candidates) const;

  void placeUnassigned();
  std::vector<int> placeReplicas(const std::vector<int>& replicaIndices, EnginePreference preference);
  bool tryPlace(int replicaIndex, EnginePreference preference);
  PlacementScore scorePlacement(const Replica& replica, int engine, EnginePreference preference) const;

  std::size_t placeBeyondLimits();
  bool returnToHolder(int replicaIndex);
  void evictNewReplicas(int engine, std::vector<int>& displaced);
  bool placeIgnoringLoad(int replicaIndex);

  void recordExceededLimits(Plan& plan) const;
  void recordPlacements(Plan& plan) const;

  const ClusterView& cluster_;
  const PlanOptions& options_;
  int remainingWork_;
  PlacementState placement_;
};

}  // namespace paddletrack::rebalance
