#pragma once

#include <random>
#include <vector>

#include "rebalance/placement_state.hpp"

namespace paddletrack::rebalance {

/// Improves a placement. A small placement is searched as a whole; a large one by repeated searches of small
/// windows around its misplaced replicas (large neighborhood search). The pseudo-random generator has a fixed
/// seed, so that every controller computes the same placement.
class NeighborhoodSearch {
 public:
  /// Modifies `placement`, which must outlive the search. `workBudget` is the budget of the entire plan, and
  /// `remainingWork` the part of it that is left for window searches.
  NeighborhoodSearch(PlacementState& placement, int workBudget, int remainingWork);

  void run();

 private:
  bool hasMisplacedReplica() const;
  bool isFullyPlaced() const;
  void searchAll(int maxNodes);
  void searchWindows();
  std::vector<int> misplacedReplicas() const;
  bool searchWindowsAround(const std::vector<int>& replicaIndices);
  bool searchWindowAround(int replicaIndex);
  std::vector<int> selectWindowEngines(const Replica& replica);
  std::vector<int> selectWindowReplicas(int replicaIndex, const std::vector<int>& windowEngines);
  void shuffle(std::vector<int>& items);

  PlacementState& placement_;
  int workBudget_;
  int remainingWork_;
  std::vector<int> readyEngines_;
  std::minstd_rand random_{1};
};

}  // namespace paddletrack::rebalance
