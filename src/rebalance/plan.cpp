#include "rebalance/plan.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rebalance/move_scheduler.hpp"
#include "rebalance/placement_solver.hpp"

namespace paddletrack::rebalance {
namespace {

// Derives the moves from the current holders to the computed placements, in no particular order.
class MoveDerivation {
 public:
  MoveDerivation(const ClusterView& cluster, Plan& plan) : cluster_(cluster), plan_(plan) {}

  std::vector<Move> run() {
    for (std::uint32_t group = 0; group < cluster_.groups.size(); ++group) addMovesOfGroup(group);
    return std::move(moves_);
  }

 private:
  bool isReady(std::uint32_t engine) const { return cluster_.engines[engine].state == EndpointState::ready; }

  // A ready engine that violates the group's placement constraints receives no requests for the group, so its
  // replica is released without waiting for a target.
  bool isMisplacedHolder(const GroupSnapshot& group, std::uint32_t holder) const {
    return isReady(holder) && !canHold(group, cluster_.engines[holder]);
  }

  void addMovesOfGroup(std::uint32_t groupIndex) {
    const GroupSnapshot& group = cluster_.groups[groupIndex];
    for (const std::uint32_t holder : group.holders)
      if (isMisplacedHolder(group, holder)) moves_.push_back({groupIndex, holder, {}, 0, {}});
    // A group without a placement stays on its current holders.
    if (plan_.placements[groupIndex].empty()) return;
    addForcedBytes(groupIndex);
    addTransfers(groupIndex);
  }

  void addForcedBytes(std::uint32_t groupIndex) {
    const GroupSnapshot& group = cluster_.groups[groupIndex];
    const std::size_t placementSize = plan_.placements[groupIndex].size();
    const auto retainableHolders =
        static_cast<std::size_t>(std::ranges::count_if(group.holders, [&](auto holder) {
          return isReady(holder) && canHold(group, cluster_.engines[holder]);
        }));
    if (placementSize > retainableHolders)
      plan_.forcedBytes += group.size * static_cast<Bytes>(placementSize - retainableHolders);
  }

  // Pairs each engine that loses the group with one that receives it. If the numbers differ, the remaining
  // moves have only a source or only a target.
  void addTransfers(std::uint32_t groupIndex) {
    const GroupSnapshot& group = cluster_.groups[groupIndex];
    const auto& placement = plan_.placements[groupIndex];
    std::vector<std::uint32_t> sources, targets;
    std::ranges::set_difference(group.holders, placement, std::back_inserter(sources));
    std::ranges::set_difference(placement, group.holders, std::back_inserter(targets));
    std::erase_if(sources, [&](std::uint32_t source) { return isMisplacedHolder(group, source); });
    for (std::size_t index = 0; index < std::max(sources.size(), targets.size()); ++index) {
      Move move;
      move.group = groupIndex;
      if (index < sources.size()) move.source = sources[index];
      if (index < targets.size()) {
        move.target = targets[index];
        move.bytes = group.size;
      }
      moves_.push_back(std::move(move));
    }
  }

  const ClusterView& cluster_;
  Plan& plan_;
  std::vector<Move> moves_;
};

}  // namespace

Plan computePlan(const ClusterView& cluster, const PlanOptions& options) {
  Plan plan;
  PlacementSolver(cluster, options).solve(plan);
  std::vector<Move> wantedMoves = MoveDerivation(cluster, plan).run();
  MoveScheduler(cluster, options, std::move(wantedMoves)).schedule(plan);
  return plan;
}

}  // namespace paddletrack::rebalance
