#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "rebalance/placement_state.hpp"

namespace paddletrack::rebalance {

/// Searches the assignments of some replicas to a few engines by branch and bound, with all other replicas
/// fixed. Minimizes the number of unplaced replicas first, then the move cost.
class WindowSearch {
 public:
  /// Modifies `placement`, which must outlive the search. A replica may also stay on its current engine, even
  /// if that is not one of `engines`.
  WindowSearch(PlacementState& placement, const std::vector<int>& engines, std::vector<int> replicaIndices,
               int maxNodes);

  /// Applies the best placement found and returns true, or restores the previous one and returns false if no
  /// better one was found.
  bool run();
  int visitedNodes() const;

 private:
  struct Score {
    std::size_t unplaced = 0;
    std::int64_t cost = 0;
    auto operator<=>(const Score&) const = default;
  };
  struct Candidate {
    std::int64_t cost = 0;
    int engine = kUnassigned;
    Bytes requiredBytes = 0;
  };

  void recordInitialPlacement();
  void collectCandidates(const std::vector<int>& engines);
  std::vector<Candidate> candidatesOf(std::size_t position, const std::vector<int>& engines) const;
  void visit(std::size_t depth);
  void visitWithCandidate(std::size_t depth, const Candidate& candidate);
  void visitUnplaced(std::size_t depth);
  bool canImprove(std::size_t depth) const;

  PlacementState& placement_;
  std::vector<int> replicaIndices_;
  int maxNodes_;
  int nodesLeft_;
  // Parallel to replicaIndices_:
  std::vector<int> previousEngines_, chosenEngines_;
  std::vector<std::vector<Candidate>> candidates_;
  // Sum of the lowest move costs of the replicas from a position onwards, ignoring capacity.
  std::vector<std::int64_t> remainingMinCost_;
  std::vector<int> bestEngines_;  // empty if nothing better than the initial placement was found
  Score bestScore_, currentScore_;
};

}  // namespace paddletrack::rebalance
