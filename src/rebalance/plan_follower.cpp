#include "rebalance/plan_follower.hpp"

#include <algorithm>
#include <array>

namespace paddletrack::rebalance {
namespace {

constexpr std::size_t kMaxRememberedMoves = 100'000;  // groups remembered to have been moved

}  // namespace

std::string_view nameOf(PlanOutcome outcome) {
  static constexpr std::array<std::string_view, 7> kNames{
      "followed",
      "done",
      "given up: its time is over",
      "given up: an engine's standing has changed",
      "given up: an engine has less headroom than planned for",
      "given up: a move is stuck",
      "replaced"};
  return kNames[static_cast<std::size_t>(outcome)];
}

void PlanFollower::start(Duration now, ClusterView view, Plan plan, Duration deadline) {
  abandon(PlanOutcome::replaced);
  view_ = std::move(view), plan_ = std::move(plan), deadline_ = deadline;
  outcome_ = PlanOutcome::inProgress;
  moveStates_.assign(plan_.moves.size(), MoveState::pending);
  completedMoves_ = 0;
  update(now, view_);
}

void PlanFollower::abandon(PlanOutcome reason) {
  if (!isActive()) return;
  outcome_ = reason;
  for (const auto& [moveIndex, since] : openMoves_)
    moveStates_[moveIndex] = MoveState::pending;  // not there yet, as far as is known
  openMoves_.clear();
  updatePreferredEngines();
}

// The standing of an engine, a new one, or one whose headroom has fallen below what is still to come there.
bool PlanFollower::abandonIfClusterChanged(const ClusterView& observed) {
  if (observed.engines.size() != view_.engines.size()) return abandon(PlanOutcome::engineStateChanged), true;
  std::vector<Bytes> incomingBytes(view_.engines.size());
  for (const auto& [moveIndex, since] : openMoves_)
    if (const Move& move = plan_.moves[moveIndex]; move.target) incomingBytes[*move.target] += move.bytes;
  for (std::size_t index = 0; index < observed.engines.size(); ++index) {
    const EngineSnapshot &planned = view_.engines[index], &current = observed.engines[index];
    if (planned.name != current.name || planned.state != current.state ||
        (current.warmingUp && !planned.warmingUp))
      return abandon(PlanOutcome::engineStateChanged), true;
    if (current.capacity < planned.capacity) return abandon(PlanOutcome::insufficientHeadroom), true;
    if (incomingBytes[index] > 0 && current.headroom < 0)
      return abandon(PlanOutcome::insufficientHeadroom), true;
  }
  return false;
}

bool PlanFollower::isMoveDone(const Move& move, const std::vector<const GroupSnapshot*>& groups) const {
  const GroupSnapshot* group = groups[move.group];
  const auto holds = [&](std::uint32_t engine) {
    return group && std::ranges::binary_search(group->holders, engine);
  };
  return !group || ((!move.target || holds(*move.target)) && (!move.source || !holds(*move.source)));
}

void PlanFollower::update(Duration now, const ClusterView& observed) {
  if (!isActive()) return;
  if (now >= deadline_) return abandon(PlanOutcome::epochEnded);
  if (abandonIfClusterChanged(observed)) return;
  std::vector<const GroupSnapshot*> groups(view_.groups.size());
  for (std::size_t plannedIndex = 0, observedIndex = 0; plannedIndex < groups.size(); ++plannedIndex) {
    while (observedIndex < observed.groups.size() &&
           observed.groups[observedIndex].groupId < view_.groups[plannedIndex].groupId)
      ++observedIndex;
    if (observedIndex < observed.groups.size() &&
        observed.groups[observedIndex].groupId == view_.groups[plannedIndex].groupId)
      groups[plannedIndex] = &observed.groups[observedIndex];
  }
  std::vector<Bytes> remainingHeadroom(view_.engines.size());
  for (std::size_t index = 0; index < remainingHeadroom.size(); ++index)
    remainingHeadroom[index] = observed.engines[index].headroom;
  std::vector<unsigned> incomingMoves(view_.engines.size());
  unsigned incomingMovesTotal = 0;
  for (auto openMove = openMoves_.begin(); openMove != openMoves_.end();) {
    const Move& move = plan_.moves[openMove->first];
    if (isMoveDone(move, groups)) {
      moveStates_[openMove->first] = MoveState::done, ++completedMoves_;
      openMove = openMoves_.erase(openMove);
      continue;
    }
    if (now - openMove->second > limits_.moveTimeout) return abandon(PlanOutcome::moveTimedOut);
    if (move.target) {
      ++incomingMovesTotal, ++incomingMoves[*move.target];
      const GroupSnapshot* group = groups[move.group];
      if (!group || !std::ranges::binary_search(group->holders, *move.target))
        remainingHeadroom[*move.target] -= move.bytes;
    }
    ++openMove;
  }
  for (std::uint32_t value = 0; value < plan_.moves.size(); ++value) {
    if (moveStates_[value] != MoveState::pending) continue;

    const Move& move = plan_.moves[value];
    const bool isUnblocked = std::ranges::all_of(move.dependencies, [&](std::uint32_t dependency) {
      return moveStates_[dependency] == MoveState::done;
    });
    if (!isUnblocked) continue;
    if (move.target) {
      const unsigned maxIncomingMoves =
          view_.engines[*move.target].warmingUp ? 1 : limits_.maxOpenMovesPerEngine;
      if (incomingMovesTotal >= limits_.maxOpenMoves || incomingMoves[*move.target] >= maxIncomingMoves)
        continue;
      if (remainingHeadroom[*move.target] < move.bytes)
        continue;  // it has less than it was planned to have: later, or stuck
      ++incomingMovesTotal, ++incomingMoves[*move.target], remainingHeadroom[*move.target] -= move.bytes;
    }
    moveStates_[value] = MoveState::open;
    openMoves_[value] = now;
    if (!move.target) continue;
    if (lastMovedAt_.size() >= kMaxRememberedMoves) lastMovedAt_.erase(lastMovedAt_.begin());
    lastMovedAt_[view_.groups[move.group].groupId] = now;
  }
  updatePreferredEngines();
}

// A group's jobs go to where it stays, and to where it has come or is to come now; until its move opens, to
// where it is.
void PlanFollower::updatePreferredEngines() {
  preferredEngines_.clear();
  std::vector<std::vector<std::uint32_t>> enginesByGroup(view_.groups.size());
  for (std::size_t group = 0; group < enginesByGroup.size(); ++group)
    enginesByGroup[group] = view_.groups[group].holders;
  for (std::uint32_t value = 0; value < plan_.moves.size(); ++value) {
    if (moveStates_[value] == MoveState::pending) continue;
    const Move& move = plan_.moves[value];
    if (move.source) std::erase(enginesByGroup[move.group], *move.source);
    if (move.target) enginesByGroup[move.group].push_back(*move.target);
  }
  for (std::size_t group = 0; group < enginesByGroup.size(); ++group) {
    std::vector<std::string> engineNames;
    for (const std::uint32_t item : enginesByGroup[group]) engineNames.push_back(view_.engines[item].name);
    if (!engineNames.empty()) preferredEngines_[view_.groups[group].groupId] = std::move(engineNames);
  }
}

}  // namespace paddletrack::rebalance
