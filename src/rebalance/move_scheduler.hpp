#pragma once

#include <vector>

#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

/// Determines the order of a plan's moves, so that no engine exceeds its headroom at any time, and the
/// dependencies between the moves.
class MoveScheduler {
 public:
  /// Keeps references to `cluster` and `options`, which must outlive the object.
  MoveScheduler(const ClusterView& cluster, const PlanOptions& options, std::vector<Move> wantedMoves);

  /// Sets the moves of `plan`, their dependencies and the totals derived from them. Moves for which no order
  /// has enough memory are deferred, and the plan's placements are changed accordingly.
  void schedule(Plan& plan) const;

 private:
  void applySearchResult(std::vector<Move> moves, Plan& plan) const;
  void deferMove(const Move& move, Plan& plan) const;
  void addDependencies(std::vector<Move>& moves) const;

  const ClusterView& cluster_;
  const PlanOptions& options_;
  const std::vector<Move> wantedMoves_;
};

}  // namespace paddletrack::rebalance
