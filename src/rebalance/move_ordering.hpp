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

/// The priority of moves, and whether blocked moves may take a detour through a third engine.
enum class OrderingStrategy : std::uint8_t {
  smallestFirst,
  unblockingFirst,  ///< Moves that free memory on an engine that is the target of other moves come first.
  unblockingFirstWithDetours,  ///< The same; if all remaining moves are blocked, one takes a detour.
};

struct OrderedMoves {
  std::vector<Move> moves;                  ///< In order, without dependencies.
  std::vector<std::uint32_t> blockedMoves;  ///< Sorted indices of the wanted moves that are blocked.
  Bytes detourBytes = 0;                    ///< Additional data that is loaded for detours.
};

/// Orders the wanted moves so that each target has enough headroom when its move starts. The algorithm is
/// greedy: a move whose target has no room waits until another move frees memory there.
class MoveOrdering {
 public:
  /// Keeps references to all arguments except `strategy`; they must outlive the object.
  MoveOrdering(const ClusterView& cluster, const PlanOptions& options, const std::vector<Move>& wantedMoves,
               OrderingStrategy strategy);

  /// May be called only once.
  OrderedMoves run();

 private:
  struct EngineTransfer {
    Bytes incomingBytes = 0;
    Bytes freedBytes = 0;
  };
  struct QueuedMove {
    Bytes negatedPriority = 0;  // negated, because the queue returns the lowest value first
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
  std::vector<Bytes> awaitedBytes_;        // total of the wanted moves to each engine
  std::vector<Move> nextHops_;             // remaining transfer of each wanted move
  std::priority_queue<QueuedMove, std::vector<QueuedMove>, std::greater<>> readyMoves_;
  std::vector<std::vector<std::uint32_t>> waitingByEngine_;  // moves waiting for memory, by target
  OrderedMoves result_;
};

}  // namespace paddletrack::rebalance
