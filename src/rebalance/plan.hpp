// The plan that redistributes table groups over the engines: its options, moves and result. Computing a plan
// performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rebalance/cluster_view.hpp"

namespace paddletrack::rebalance {

struct PlanOptions {
  /// Maximum load of an engine after the plan, in percent above the lower bound (see LoadLowerBound).
  int maxOverloadPercent = 25;
  /// Load above which an engine sheds groups, in percent above the same lower bound. Values below
  /// `maxOverloadPercent` are treated as `maxOverloadPercent`.
  int triggerOverloadPercent = 25;
  /// A plan may use 1/headroomDivisor of an engine's headroom and of the memory that the plan's moves free on
  /// it.
  int headroomDivisor = 1;
  /// Limit of the search effort, as a number of expanded search nodes.
  int workBudget = 1'000'000;
};

/// The transfer of one group. Without a `target`, no data is loaded: the source only releases its replica,
/// because other engines serve the group.
struct Move {
  std::uint32_t group = 0;  ///< Index into ClusterView::groups.
  /// Indices into ClusterView::engines. The source releases its replica once the target holds the group.
  std::optional<std::uint32_t> source, target;
  Bytes bytes = 0;  ///< Data that the target loads; 0 without a target.
  /// Indices into Plan::moves of the moves that must finish before this one starts; all are smaller than this
  /// move's own index.
  std::vector<std::uint32_t> dependencies;
};

struct Plan {
  std::vector<Move> moves;
  /// The engines that serve each group once all moves are done, as sorted indices into ClusterView::engines.
  std::vector<std::vector<std::uint32_t>> placements;
  Bytes totalBytes = 0;  ///< Data that is loaded by all moves.
  /// The part of `totalBytes` that no plan can avoid, because too few of the engines that may serve the group
  /// hold it.
  Bytes forcedBytes = 0;
  /// The part of `totalBytes` for detours through a third engine, used if no order of direct moves has enough
  /// memory.
  Bytes detourBytes = 0;
  std::size_t overfullEngines = 0;   ///< Engines over their capacity that cannot shed enough.
  std::size_t unplacedReplicas = 0;  ///< Replicas for which no engine has enough memory.
  std::size_t deferredMoves = 0;     ///< Moves left out because no order has enough memory for them.
  bool isBalanced = true;            ///< No engine exceeds its load limit.

  /// Returns true if every replica is placed within all limits.
  bool isComplete() const {
    return isBalanced && overfullEngines == 0 && unplacedReplicas == 0 && deferredMoves == 0;
  }
};

/// Computes the target placement of the replicas and the order of the moves that lead to it. `cluster` must
/// be canonical (see canonicalize). Equal views and options produce equal plans on every controller.
Plan computePlan(const ClusterView& cluster, const PlanOptions& options);

}  // namespace paddletrack::rebalance
