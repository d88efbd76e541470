#include "rebalance/move_ordering.hpp"

#include <algorithm>

namespace paddletrack::rebalance {

MoveOrdering::MoveOrdering(const ClusterView& cluster, const PlanOptions& options,
                           const std::vector<Move>& wantedMoves, OrderingStrategy strategy)
    : cluster_(cluster),
      options_(options),
      wantedMoves_(wantedMoves),
      strategy_(strategy),
      transfers_(cluster.engines.size()),
      awaitedBytes_(cluster.engines.size()),
      nextHops_(wantedMoves),
      waitingByEngine_(cluster.engines.size()) {
  for (const Move& move : wantedMoves_)
    if (move.target) awaitedBytes_[*move.target] += move.bytes;
}

OrderedMoves MoveOrdering::run() {
  for (std::uint32_t index = 0; index < wantedMoves_.size(); ++index) enqueue(index);
  applyReadyMoves();
  if (strategy_ == OrderingStrategy::unblockingFirstWithDetours)
    while (startSmallestDetour()) applyReadyMoves();
  result_.blockedMoves = blockedMoves();
  return std::move(result_);
}

bool MoveOrdering::hasRoom(std::uint32_t engineIndex, Bytes bytes) const {
  const EngineTransfer& transfer = transfers_[engineIndex];
  return (transfer.incomingBytes + bytes) * options_.headroomDivisor <=
         cluster_.engines[engineIndex].headroom + transfer.freedBytes;
}

void MoveOrdering::enqueue(std::uint32_t moveIndex) {
  const Move& move = wantedMoves_[moveIndex];
  const bool prefersUnblocking = strategy_ != OrderingStrategy::smallestFirst;
  const Bytes priority =
      prefersUnblocking && move.source ? std::min<Bytes>(awaitedBytes_[*move.source], 1) : 0;
  readyMoves_.push({-priority, move.bytes, moveIndex});
}

void MoveOrdering::enqueueMovesWaitingFor(std::uint32_t engine) {
  for (const std::uint32_t moveIndex : std::exchange(waitingByEngine_[engine], {})) enqueue(moveIndex);
}

void MoveOrdering::apply(const Move& move) {
  if (move.target) transfers_[*move.target].incomingBytes += move.bytes;
  if (move.source) transfers_[*move.source].freedBytes += cluster_.groups[move.group].size;
  result_.moves.push_back(move);
}

void MoveOrdering::applyReadyMoves() {
  while (!readyMoves_.empty()) {
    const std::uint32_t moveIndex = readyMoves_.top().move;
    readyMoves_.pop();
    const Move& move = nextHops_[moveIndex];
    if (move.target && !hasRoom(*move.target, move.bytes)) {
      waitingByEngine_[*move.target].push_back(moveIndex);
      continue;
    }
    apply(move);
    if (move.source) enqueueMovesWaitingFor(*move.source);
  }
}

std::vector<std::uint32_t> MoveOrdering::blockedMovesBySize() const {
  std::vector<std::uint32_t> blocked = blockedMoves();
  std::ranges::stable_sort(
      blocked, [&](auto left, auto right) { return nextHops_[left].bytes < nextHops_[right].bytes; });
  return blocked;
}

// Starts a detour for the smallest blocked move for which a third engine has room. Returns false if there is
// no such move.
bool MoveOrdering::startSmallestDetour() {
  for (const std::uint32_t moveIndex : blockedMovesBySize()) {
    const std::optional<std::uint32_t> detourEngine = findDetourEngine(moveIndex);
    if (!detourEngine) continue;
    startDetour(moveIndex, *detourEngine);
    return true;
  }
  return false;
}

std::optional<std::uint32_t> MoveOrdering::findDetourEngine(std::uint32_t moveIndex) const {
  const Move& hop = nextHops_[moveIndex];
  // A move takes at most one detour; after it, the move's source is the detour engine.
  const bool hasAlreadyDetoured = wantedMoves_[moveIndex].source != hop.source;
  if (!hop.source || hasAlreadyDetoured) return std::nullopt;
  for (std::uint32_t engine = 0; engine < cluster_.engines.size(); ++engine)
    if (isDetourEngine(engine, moveIndex)) return engine;
  return std::nullopt;
}

bool MoveOrdering::isDetourEngine(std::uint32_t engineIndex, std::uint32_t moveIndex) const {
  const Move& hop = nextHops_[moveIndex];
  const GroupSnapshot& group = cluster_.groups[hop.group];
  const EngineSnapshot& engine = cluster_.engines[engineIndex];
  if (engine.state != EndpointState::ready || engine.weight <= 0 || !canHold(group, engine)) return false;
  if (hop.target == engineIndex || hop.source == engineIndex) return false;
  if (std::ranges::binary_search(group.holders, engineIndex)) return false;
  if (!waitingByEngine_[engineIndex].empty()) return false;
  return hasRoom(engineIndex, hop.bytes);
}

void MoveOrdering::startDetour(std::uint32_t moveIndex, std::uint32_t detourEngine) {
  Move detour = nextHops_[moveIndex];
  if (detour.target) std::erase(waitingByEngine_[*detour.target], moveIndex);
  detour.target = detourEngine;
  apply(detour);
  result_.detourBytes += detour.bytes;
  nextHops_[moveIndex].source = detourEngine;
  enqueue(moveIndex);
  if (detour.source) enqueueMovesWaitingFor(*detour.source);
}

std::vector<std::uint32_t> MoveOrdering::blockedMoves() const {
  std::vector<std::uint32_t> blocked;
  for (const auto& waiting : waitingByEngine_) blocked.insert(blocked.end(), waiting.begin(), waiting.end());
  std::ranges::sort(blocked);
  return blocked;
}

}  // namespace paddletrack::rebalance
