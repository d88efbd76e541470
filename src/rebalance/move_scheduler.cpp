#include "rebalance/move_scheduler.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "rebalance/move_ordering.hpp"
#include "rebalance/move_state_search.hpp"

namespace paddletrack::rebalance {
namespace {

// The bytes that the moves processed so far bring to and free on one engine.
struct EngineProgress {
  Bytes incomingBytes = 0;
  Bytes freedBytes = 0;  // by the first `usedFreeingMoves` entries of `freeingMoves`
  std::vector<std::uint32_t> freeingMoves;
  std::size_t usedFreeingMoves = 0;
};

// Sets the dependencies of each move. A move depends on the earliest moves that free memory on its target, on
// as many as are needed for it to fit even if all earlier moves to that engine have arrived. The second hop
// of a detour depends on the first one.
class DependencyBuilder {
 public:
  DependencyBuilder(const ClusterView& cluster, const PlanOptions& options, std::vector<Move>& moves)
      : cluster_(cluster),
        options_(options),
        moves_(moves),
        progressByEngine_(cluster.engines.size()),
        movesByGroup_(cluster.groups.size()) {}

  void run() {
    for (std::uint32_t index = 0; index < moves_.size(); ++index) {
      Move& move = moves_[index];
      addEarlierHops(move);
      movesByGroup_[move.group].push_back(index);
      if (move.target) addFreeingMoves(move, *move.target);
      if (move.source) progressByEngine_[*move.source].freeingMoves.push_back(index);
      auto& dependencies = move.dependencies;
      std::ranges::sort(dependencies);
      const auto duplicates = std::ranges::unique(dependencies);
      dependencies.erase(duplicates.begin(), duplicates.end());
    }
  }

 private:
  void addEarlierHops(Move& move) const {
    if (!move.source) return;
    for (const std::uint32_t earlierMove : movesByGroup_[move.group])
      if (moves_[earlierMove].target == move.source) move.dependencies.push_back(earlierMove);
  }

  void addFreeingMoves(Move& move, std::uint32_t target) {
    const EngineSnapshot& engine = cluster_.engines[target];
    EngineProgress& progress = progressByEngine_[target];
    progress.incomingBytes += move.bytes;
    while (progress.incomingBytes * options_.headroomDivisor > engine.headroom + progress.freedBytes &&
           progress.usedFreeingMoves < progress.freeingMoves.size()) {
      const Move& freeingMove = moves_[progress.freeingMoves[progress.usedFreeingMoves]];
      progress.freedBytes += cluster_.groups[freeingMove.group].size;
      ++progress.usedFreeingMoves;
    }
    const auto usedEnd =
        progress.freeingMoves.begin() + static_cast<std::ptrdiff_t>(progress.usedFreeingMoves);
    move.dependencies.insert(move.dependencies.end(), progress.freeingMoves.begin(), usedEnd);
  }

  const ClusterView& cluster_;
  const PlanOptions& options_;
  std::vector<Move>& moves_;
  std::vector<EngineProgress> progressByEngine_;
  std::vector<std::vector<std::uint32_t>> movesByGroup_;
};

}  // namespace

MoveScheduler::MoveScheduler(const ClusterView& cluster, const PlanOptions& options,
                             std::vector<Move> wantedMoves)
    : cluster_(cluster), options_(options), wantedMoves_(std::move(wantedMoves)) {}

// Tries the strategies in turn until one leaves no move blocked. If none does, falls back to MoveStateSearch.
void MoveScheduler::schedule(Plan& plan) const {
  OrderedMoves ordered;
  for (const OrderingStrategy strategy : {OrderingStrategy::smallestFirst, OrderingStrategy::unblockingFirst,
                                          OrderingStrategy::unblockingFirstWithDetours}) {
    ordered = MoveOrdering(cluster_, options_, wantedMoves_, strategy).run();
    if (ordered.blockedMoves.empty()) break;
  }
  if (!ordered.blockedMoves.empty()) {
    std::optional<std::vector<Move>> moves = MoveStateSearch(cluster_, options_, plan.placements).run();
    if (moves) {
      applySearchResult(std::move(*moves), plan);
      return;
    }
  }
  plan.deferredMoves = ordered.blockedMoves.size();
  plan.detourBytes = ordered.detourBytes;
  for (const std::uint32_t blockedMove : ordered.blockedMoves) deferMove(wantedMoves_[blockedMove], plan);
  addDependencies(ordered.moves);
  plan.moves = std::move(ordered.moves);
  for (const Move& move : plan.moves) plan.totalBytes += move.bytes;
}

// The bytes of the found moves in excess of those of the wanted moves are the cost of detours.
void MoveScheduler::applySearchResult(std::vector<Move> moves, Plan& plan) const {
  plan.totalBytes = 0;
  for (const Move& move : moves) plan.totalBytes += move.bytes;
  plan.detourBytes = plan.totalBytes;
  for (const Move& move : wantedMoves_) plan.detourBytes -= move.bytes;
  plan.moves = std::move(moves);
}

// Keeps the replica on its source if that engine is ready.
void MoveScheduler::deferMove(const Move& move, Plan& plan) const {
  auto& placement = plan.placements[move.group];
  if (move.target) std::erase(placement, *move.target);
  if (move.source && cluster_.engines[*move.source].state == EndpointState::ready)
    placement.push_back(*move.source);
  std::ranges::sort(placement);
}

void MoveScheduler::addDependencies(std::vector<Move>& moves) const {
  DependencyBuilder(cluster_, options_, moves).run();
}

}  // namespace paddletrack::rebalance
