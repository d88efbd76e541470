#include "rebalance/plan_follower.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace paddletrack::rebalance {
namespace {

constexpr std::size_t kMaxRememberedMoves = 100'000;  // number of groups whose last move is remembered

bool isHeldBy(const GroupSnapshot* group, std::uint32_t engine) {
  return group && std::ranges::binary_search(group->holders, engine);
}

}  // namespace

std::string_view nameOf(PlanOutcome outcome) {
  static constexpr std::array<std::string_view, 7> kNames{
      "followed",
      "done",
      "plan abandoned: epoch ended",
      "plan abandoned: an engine was added, removed, restarted or changed its state",
      "plan abandoned: an engine has less headroom than planned",
      "plan abandoned: a move timed out",
      "replaced"};
  return kNames[static_cast<std::size_t>(outcome)];
}

void PlanFollower::start(Duration now, ClusterView view, Plan plan, Duration deadline) {
  abandon(PlanOutcome::replaced);
  view_ = std::move(view);
  plan_ = std::move(plan);
  deadline_ = deadline;
  outcome_ = PlanOutcome::inProgress;
  moveStates_.assign(plan_.moves.size(), MoveState::pending);
  completedMoves_ = 0;
  update(now, view_);
}

// Open moves are treated as not done, because it is unknown whether their targets already hold the groups.
void PlanFollower::abandon(PlanOutcome reason) {
  if (!isActive()) return;
  outcome_ = reason;
  for (const auto& [moveIndex, openedAt] : openMoves_) moveStates_[moveIndex] = MoveState::pending;
  openMoves_.clear();
  updatePreferredEngines();
}

// The plan is no longer valid if the set of engines or the state of an engine has changed, if an engine has
// restarted or has less capacity than planned, or if the headroom of a target of open moves is negative.
// Returns std::nullopt if the plan is still valid.
std::optional<PlanOutcome> PlanFollower::findClusterChange(const ClusterView& observed) const {
  if (observed.engines.size() != view_.engines.size()) return PlanOutcome::engineStateChanged;
  std::vector<Bytes> incomingBytes(view_.engines.size());
  for (const auto& [moveIndex, openedAt] : openMoves_) {
    const Move& move = plan_.moves[moveIndex];
    if (move.target) incomingBytes[*move.target] += move.bytes;
  }
  for (std::size_t index = 0; index < observed.engines.size(); ++index) {
    const EngineSnapshot& planned = view_.engines[index];
    const EngineSnapshot& current = observed.engines[index];
    const bool hasChangedState = planned.name != current.name || planned.state != current.state;
    const bool hasRestarted = current.warmingUp && !planned.warmingUp;
    if (hasChangedState || hasRestarted) return PlanOutcome::engineStateChanged;
    if (current.capacity < planned.capacity) return PlanOutcome::insufficientHeadroom;
    if (incomingBytes[index] > 0 && current.headroom < 0) return PlanOutcome::insufficientHeadroom;
  }
  return std::nullopt;
}

bool PlanFollower::isMoveDone(const Move& move, const GroupSnapshot* group) {
  if (!group) return true;
  const bool hasArrived = !move.target || isHeldBy(group, *move.target);
  const bool hasLeft = !move.source || !isHeldBy(group, *move.source);
  return hasArrived && hasLeft;
}

void PlanFollower::update(Duration now, const ClusterView& observed) {
  if (!isActive()) return;
  if (now >= deadline_) {
    abandon(PlanOutcome::epochEnded);
    return;
  }
  if (const std::optional<PlanOutcome> change = findClusterChange(observed)) {
    abandon(*change);
    return;
  }
  const std::vector<const GroupSnapshot*> groups = matchPlannedGroups(observed);
  if (!closeFinishedMoves(now, groups)) {
    abandon(PlanOutcome::moveTimedOut);
    return;
  }
  TransferSlots slots = computeTransferSlots(observed, groups);
  openReadyMoves(now, slots);
  updatePreferredEngines();
}

// Returns the observed state of each planned group, or nullptr for a group that is no longer observed. Relies
// on both views being sorted by group number.
std::vector<const GroupSnapshot*> PlanFollower::matchPlannedGroups(const ClusterView& observed) const {
  std::vector<const GroupSnapshot*> groups(view_.groups.size());
  auto candidate = observed.groups.begin();
  for (std::size_t index = 0; index < groups.size(); ++index) {
    const std::uint32_t groupId = view_.groups[index].groupId;
    while (candidate != observed.groups.end() && candidate->groupId < groupId) ++candidate;
    if (candidate != observed.groups.end() && candidate->groupId == groupId) groups[index] = &*candidate;
  }
  return groups;
}

// Marks open moves that have finished as done. Returns false if an open move has timed out.
bool PlanFollower::closeFinishedMoves(Duration now, const std::vector<const GroupSnapshot*>& groups) {
  for (auto openMove = openMoves_.begin(); openMove != openMoves_.end();) {
    const auto& [moveIndex, openedAt] = *openMove;
    const Move& move = plan_.moves[moveIndex];
    if (isMoveDone(move, groups[move.group])) {
      moveStates_[moveIndex] = MoveState::done;
      ++completedMoves_;
      openMove = openMoves_.erase(openMove);
      continue;
    }
    if (now - openedAt > limits_.moveTimeout) return false;
    ++openMove;
  }
  return true;
}

// The observed headroom already accounts for groups that have arrived, so they are not subtracted again.
PlanFollower::TransferSlots PlanFollower::computeTransferSlots(
    const ClusterView& observed, const std::vector<const GroupSnapshot*>& groups) const {
  TransferSlots slots;
  slots.incomingMoves.resize(view_.engines.size());
  for (const EngineSnapshot& engine : observed.engines) slots.remainingHeadroom.push_back(engine.headroom);
  for (const auto& [moveIndex, openedAt] : openMoves_) {
    const Move& move = plan_.moves[moveIndex];
    if (!move.target) continue;
    ++slots.incomingMovesTotal;
    ++slots.incomingMoves[*move.target];
    if (!isHeldBy(groups[move.group], *move.target)) slots.remainingHeadroom[*move.target] -= move.bytes;
  }
  return slots;
}

void PlanFollower::openReadyMoves(Duration now, TransferSlots& slots) {
  for (std::uint32_t index = 0; index < plan_.moves.size(); ++index) {
    const Move& move = plan_.moves[index];
    if (moveStates_[index] != MoveState::pending || !areDependenciesDone(move)) continue;
    if (move.target && !tryReserveTransfer(*move.target, move.bytes, slots)) continue;
    moveStates_[index] = MoveState::open;
    openMoves_[index] = now;
    if (move.target) rememberMove(now, view_.groups[move.group].groupId);
  }
}

bool PlanFollower::areDependenciesDone(const Move& move) const {
  return std::ranges::all_of(move.dependencies, [&](std::uint32_t dependency) {
    return moveStates_[dependency] == MoveState::done;
  });
}

// If the target has less headroom than planned, the move opens later, or not at all before the plan ends.
bool PlanFollower::tryReserveTransfer(std::uint32_t target, Bytes bytes, TransferSlots& slots) const {
  const unsigned maxIncomingMoves = view_.engines[target].warmingUp ? 1 : limits_.maxOpenMovesPerEngine;
  if (slots.incomingMovesTotal >= limits_.maxOpenMoves) return false;
  if (slots.incomingMoves[target] >= maxIncomingMoves) return false;
  if (slots.remainingHeadroom[target] < bytes) return false;
  ++slots.incomingMovesTotal;
  ++slots.incomingMoves[target];
  slots.remainingHeadroom[target] -= bytes;
  return true;
}

void PlanFollower::rememberMove(Duration now, std::uint32_t groupId) {
  if (lastMovedAt_.size() >= kMaxRememberedMoves) lastMovedAt_.erase(lastMovedAt_.begin());
  lastMovedAt_[groupId] = now;
}

// Until its move opens, requests for a group prefer its current holders; after that, the target replaces the
// source.
void PlanFollower::updatePreferredEngines() {
  std::vector<std::vector<std::uint32_t>> enginesByGroup;
  for (const GroupSnapshot& group : view_.groups) enginesByGroup.push_back(group.holders);
  for (std::size_t index = 0; index < plan_.moves.size(); ++index) {
    if (moveStates_[index] == MoveState::pending) continue;
    const Move& move = plan_.moves[index];
    if (move.source) std::erase(enginesByGroup[move.group], *move.source);
    if (move.target) enginesByGroup[move.group].push_back(*move.target);
  }
  preferredEngines_.clear();
  for (std::size_t group = 0; group < enginesByGroup.size(); ++group) {
    std::vector<std::string> engineNames;
    for (const std::uint32_t engine : enginesByGroup[group])
      engineNames.push_back(view_.engines[engine].name);
    if (!engineNames.empty()) preferredEngines_[view_.groups[group].groupId] = std::move(engineNames);
  }
}

}  // namespace paddletrack::rebalance
