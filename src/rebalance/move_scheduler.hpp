#pragma once

#include <vector>

#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

/// Decides in which order the moves of a plan run, so that no engine ever exceeds its headroom, and which
/// moves have to wait for which others.
class MoveScheduler {
 public:
  /// Keeps references to `cluster` and `options`, which must outlive it.
  MoveScheduler(const ClusterView& cluster, const PlanOptions& options, std::vector<Move> wantedMoves);

  /// Sets the moves of `plan` with their dependencies and figures. Moves for which no order has room are
  /// left out, and the plan's placements are changed accordingly.
  void schedule(Plan& plan) const;

 private:
  void useSearchedMoves(std::vector<Move> moves, Plan& plan) const;
  void deferMove(const Move& move, Plan& plan) const;
  void addDependencies(std::vector<Move>& moves) const;

  const ClusterView& cluster_;
  const PlanOptions& options_;
  const std::vector<Move> wantedMoves_;
};

}  // namespace paddletrack::rebalance
