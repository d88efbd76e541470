// The plan that redistributes table groups over the engines: its options, its moves and its result. The
// computation does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

struct PlanOptions {
  /// Load that an engine may have after the plan, in per cent over the lower bound of the best load.
  int maxOverloadPercent = 25;
  /// Load from which an engine gives groups away, in per cent over the same lower bound. Values below
  /// `maxOverloadPercent` count as `maxOverloadPercent`.
  int triggerOverloadPercent = 25;
  /// A plan uses 1/headroomDivisor of an engine's headroom and of the memory that its moves free.
  int headroomDivisor = 1;
  /// Limit of the search effort: the number of search nodes that are expanded.
  int workBudget = 1'000'000;
};

/// The transfer of one group. Without a `target` no data is read: the source only gives up its replica,
/// because other engines serve the group.
struct Move {
  std::uint32_t group = 0;  ///< Index into ClusterView::groups.
  /// Indices into ClusterView::engines. The source gives up its replica once the target holds the group.
  std::optional<std::uint32_t> source, target;
  Bytes bytes = 0;  ///< Data that the target reads; 0 without a target.
  /// Indices into Plan::moves, all smaller than this move's own, of the moves that have to finish first.
  std::vector<std::uint32_t> dependencies;
};

struct Plan {
  std::vector<Move> moves;
  /// The engines that serve each group once all moves are done, as sorted indices into ClusterView::engines.
  std::vector<std::vector<std::uint32_t>> placements;
  Bytes totalBytes = 0;  ///< Data that all moves read.
  /// The part of `totalBytes` that no plan avoids, because no engine that may serve the group holds it.
  Bytes forcedBytes = 0;
  /// The part of `totalBytes` for stops at a third engine, where no order of direct moves has enough room.
  Bytes detourBytes = 0;
  std::size_t overfullEngines = 0;   ///< Engines that hold more than they may and cannot give enough away.
  std::size_t unplacedReplicas = 0;  ///< Replicas for which no engine has room.
  std::size_t deferredMoves = 0;     ///< Moves that were left out, because no order has room for them.
  bool isBalanced = true;            ///< No engine exceeds its load limit.

  /// Returns true if every replica is placed within all limits.
  bool isComplete() const {
    return isBalanced && overfullEngines == 0 && unplacedReplicas == 0 && deferredMoves == 0;
  }
};

/// Computes where the replicas should lie and in which order groups move there. `cluster` must be canonical
/// (see canonicalize); equal views and options give equal plans on every controller.
Plan computePlan(const ClusterView& cluster, const PlanOptions& options);

}  // namespace paddletrack::rebalance
