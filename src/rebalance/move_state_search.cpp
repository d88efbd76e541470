#include "rebalance/move_state_search.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace paddletrack::rebalance {
namespace {

constexpr std::size_t kMaxEngines = 16;  // each engine is one bit of a 16-bit set
constexpr std::size_t kMaxGroups = 16;
constexpr int kWorkBudgetDivisor = 8;  // a node costs more than one of the placement search

std::uint16_t withBit(std::uint16_t bits, std::uint32_t engine) {
  return static_cast<std::uint16_t>(bits | 1U << engine);
}

bool hasBit(std::uint16_t bits, std::size_t engine) { return (bits >> engine & 1) != 0; }

}  // namespace

MoveStateSearch::MoveStateSearch(const ClusterView& cluster, const PlanOptions& options,
                                 const std::vector<std::vector<std::uint32_t>>& placements)
    : cluster_(cluster), options_(options), placements_(placements) {}

std::optional<std::vector<Move>> MoveStateSearch::run() {
  if (!isSupported()) return std::nullopt;
  initialize();
  const auto maxNodes = static_cast<std::size_t>(options_.workBudget / kWorkBudgetDivisor);
  while (!frontier_.empty() && nodes_.size() < maxNodes) {
    const std::size_t nodeIndex = frontier_.top().node;
    frontier_.pop();
    const Node& node = nodes_[nodeIndex];
    // Skips an outdated entry: the same state has since been reached at a lower cost.
    if (minBytes_[node.state] < node.movedBytes) continue;
    if (node.state == goalState_) return reconstructMoves(nodeIndex);
    expand(nodeIndex);
  }
  return std::nullopt;
}

bool MoveStateSearch::isSupported() const {
  return options_.headroomDivisor == 1 && cluster_.engines.size() <= kMaxEngines &&
         cluster_.groups.size() <= kMaxGroups;
}

void MoveStateSearch::initialize() {
  startState_.assign(cluster_.groups.size(), 0);
  goalState_.assign(cluster_.groups.size(), 0);
  capacityBytes_.assign(cluster_.engines.size(), 0);
  for (std::size_t group = 0; group < cluster_.groups.size(); ++group) {
    for (const std::uint32_t holder : cluster_.groups[group].holders) {
      startState_[group] = withBit(startState_[group], holder);
      capacityBytes_[holder] += cluster_.groups[group].size;
    }
    for (const std::uint32_t engine : placements_[group])
      goalState_[group] = withBit(goalState_[group], engine);
    if (placements_[group].empty()) goalState_[group] = startState_[group];
  }
  for (std::size_t index = 0; index < cluster_.engines.size(); ++index) {
    const EngineSnapshot& engine = cluster_.engines[index];
    const Bytes heldBytes = capacityBytes_[index];
    capacityBytes_[index] = std::max(heldBytes, std::min(engine.capacity, heldBytes + engine.headroom));
  }
  nodes_.push_back({startState_, 0, 0});
  minBytes_.emplace(startState_, 0);
  frontier_.push({estimateRemainingBytes(startState_), 0});
}

// Returns a lower bound: each replica of the goal that is still missing has to be transferred once.
Bytes MoveStateSearch::estimateRemainingBytes(const HolderState& state) const {
  Bytes remainingBytes = 0;
  for (std::size_t group = 0; group < state.size(); ++group) {
    const auto missingHolders = static_cast<unsigned>(goalState_[group] & ~state[group]);
    remainingBytes += cluster_.groups[group].size * std::popcount(missingHolders);
  }
  return remainingBytes;
}

std::vector<Bytes> MoveStateSearch::computeUsedBytes(const HolderState& state) const {
  std::vector<Bytes> usedBytes(cluster_.engines.size());
  for (std::size_t group = 0; group < state.size(); ++group)
    for (std::size_t engine = 0; engine < usedBytes.size(); ++engine)
      if (hasBit(state[group], engine)) usedBytes[engine] += cluster_.groups[group].size;
  return usedBytes;
}

// The last replica of a group must not be removed, unless it is on a ready engine that is not allowed to
// serve the group.
bool MoveStateSearch::isStepAllowed(const Step& step, const HolderState& state,
                                    const std::vector<Bytes>& usedBytes) const {
  const GroupSnapshot& group = cluster_.groups[step.group];
  const EngineSnapshot& engine = cluster_.engines[step.engine];
  const bool isReady = engine.state == EndpointState::ready;
  const bool isAllowedEngine = isReady && engine.weight > 0 && canHold(group, engine);
  if (step.isAddition)
    return isAllowedEngine && usedBytes[step.engine] + group.size <= capacityBytes_[step.engine];
  const bool isLastReplica = std::has_single_bit(state[step.group]);
  return !isLastReplica || (isReady && !isAllowedEngine);
}

void MoveStateSearch::expand(std::size_t nodeIndex) {
  const HolderState state = nodes_[nodeIndex].state;
  const Bytes movedBytes = nodes_[nodeIndex].movedBytes;
  const std::vector<Bytes> usedBytes = computeUsedBytes(state);
  for (std::size_t group = 0; group < cluster_.groups.size(); ++group) {
    for (std::size_t engine = 0; engine < cluster_.engines.size(); ++engine) {
      const Step step{group, engine, !hasBit(state[group], engine)};
      if (!isStepAllowed(step, state, usedBytes)) continue;
      HolderState nextState = state;
      nextState[group] = static_cast<std::uint16_t>(state[group] ^ 1U << engine);
      addNode(std::move(nextState), nodeIndex,
              movedBytes + (step.isAddition ? cluster_.groups[group].size : 0));
    }
  }
}

void MoveStateSearch::addNode(HolderState state, std::size_t parent, Bytes movedBytes) {
  const auto [known, isNew] = minBytes_.emplace(state, movedBytes);
  if (!isNew && known->second <= movedBytes) return;
  known->second = movedBytes;
  frontier_.push({movedBytes + estimateRemainingBytes(state), nodes_.size()});
  nodes_.push_back({std::move(state), parent, movedBytes});
}

std::vector<Move> MoveStateSearch::reconstructMoves(std::size_t nodeIndex) const {
  std::vector<Move> path;
  for (; nodeIndex != 0; nodeIndex = nodes_[nodeIndex].parent) {
    const HolderState& state = nodes_[nodeIndex].state;
    const HolderState& previousState = nodes_[nodes_[nodeIndex].parent].state;
    for (std::uint32_t group = 0; group < state.size(); ++group)
      if (state[group] != previousState[group]) path.push_back(makeMove(group, state, previousState));
  }
  std::ranges::reverse(path);
  for (std::uint32_t index = 1; index < path.size(); ++index)
    for (std::uint32_t earlier = 0; earlier < index; ++earlier) path[index].dependencies.push_back(earlier);
  return path;
}

Move MoveStateSearch::makeMove(std::uint32_t group, const HolderState& state,
                               const HolderState& previousState) const {
  const auto changedBits = static_cast<unsigned>(state[group] ^ previousState[group]);
  const auto engine = static_cast<std::uint32_t>(std::countr_zero(changedBits));
  Move move;
  move.group = group;
  if (hasBit(state[group], engine)) {
    move.target = engine;
    move.bytes = cluster_.groups[group].size;
  } else {
    move.source = engine;
  }
  return move;
}

}  // namespace paddletrack::rebalance
