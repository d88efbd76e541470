#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

/// Which moves come first, and whether blocked ones may stop at a third engine on their way.
enum class OrderingStrategy : std::uint8_t {
  smallestFirst,
  unblockingFirst,             ///< First the moves that free memory on an engine that others wait for.
  unblockingFirstWithDetours,  ///< The same; if all are stuck, a move makes a stop at a third engine.
};

struct OrderedMoves {
  std::vector<Move> moves;                  ///< In order; their dependencies are not set.
  std::vector<std::uint32_t> blockedMoves;  ///< Sorted indices of the wanted moves that found no room.
  Bytes detourBytes = 0;                    ///< Data that the stops on the way cost in addition.
};

/// Puts wanted moves in an order in which every engine has headroom for each move at its time. Greedy: a move
/// without room waits until another one frees memory on its target.
class MoveOrdering {
 public:
  /// Keeps references to all arguments but the strategy; they must outlive it.
  MoveOrdering(const ClusterView& cluster, const PlanOptions& options, const std::vector<Move>& wantedMoves,
               OrderingStrategy strategy);

  /// Called once.
  OrderedMoves run();

 private:
  struct EngineTransfer {
    Bytes incomingBytes = 0;
    Bytes freedBytes = 0;
  };
  struct QueuedMove {
    Bytes negatedPriority = 0;  // the lowest comes first
    Bytes bytes = 0;
    std::uint32_t move = 0;
    auto operator<=>(const QueuedMove&) const = default;
  };

  bool hasRoom(std::uint32_t engineIndex, Bytes bytes) const;
  void enqueue(std::uint32_t moveIndex);
  void enqueueMovesWaitingFor(std::uint32_t engine);
  void apply(const Move& move);
  void applyReadyMoves();
  std::vector<std::uint32_t> blockedMovesBySize() const;
  bool startSmallestDetour();
  std::optional<std::uint32_t> findDetourEngine(std::uint32_t moveIndex) const;
  bool isDetourEngine(std::uint32_t engine, std::uint32_t moveIndex) const;
  void startDetour(std::uint32_t moveIndex, std::uint32_t detourEngine);
  std::vector<std::uint32_t> blockedMoves() const;

  const ClusterView& cluster_;
  const PlanOptions& options_;
  const std::vector<Move>& wantedMoves_;
  OrderingStrategy strategy_;
  std::vector<EngineTransfer> transfers_;  // by engine
  std::vector<Bytes> awaitedBytes_;        // by engine, of all wanted moves to it
  std::vector<Move> nextHops_;             // what is left of each wanted move
  std::priority_queue<QueuedMove, std::vector<QueuedMove>, std::greater<>> readyMoves_;
  std::vector<std::vector<std::uint32_t>> waitingByEngine_;  // moves that wait for memory on their target
  OrderedMoves result_;
};

}  // namespace paddletrack::rebalance
