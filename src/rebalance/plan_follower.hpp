// Follows a plan: opens each move once the moves that it depends on are observed to be done, and abandons the
// plan when the fleet no longer matches the planned view. Performs no I/O; the caller passes the current
// time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

/// Limits of the concurrently open moves that load data.
struct MoveLimits {
  unsigned maxOpenMoves = 8;
  unsigned maxOpenMovesPerEngine = 2;  ///< Moves to one engine; an engine that is warming up is limited to 1.
  /// The plan is abandoned if a move stays open for longer than this.
  Duration moveTimeout{std::chrono::seconds(10)};
};

/// The state of a plan: in progress, completed, or the reason why it was abandoned.
enum class PlanOutcome : std::uint8_t {
  inProgress,
  completed,
  epochEnded,
  engineStateChanged,
  insufficientHeadroom,
  moveTimedOut,
  replaced
};

/// Returns the description of the outcome for log lines.
std::string_view nameOf(PlanOutcome outcome);

class PlanFollower {
 public:
  explicit PlanFollower(const MoveLimits& limits) : limits_(limits) {}

  /// Follows `plan`, which was computed from `view`, until `deadline`. A plan in progress is abandoned with
  /// the outcome PlanOutcome::replaced.
  void start(Duration now, ClusterView view, Plan plan, Duration deadline);

  /// Updates the plan's progress from `observed`, the current state of the cluster in canonical order, and
  /// opens the moves that may open. A planned group or engine that is missing from `observed` is considered
  /// removed.
  void update(Duration now, const ClusterView& observed);
  void abandon(PlanOutcome reason);

  bool isActive() const { return outcome_ == PlanOutcome::inProgress; }
  PlanOutcome outcome() const { return outcome_; }
  std::size_t openMoveCount() const { return openMoves_.size(); }
  std::size_t completedMoveCount() const { return completedMoves_; }
  const Plan& plan() const { return plan_; }
  const ClusterView& plannedView() const { return view_; }

  /// Returns the names of the engines that requests for a group should prefer, or nullptr if there is no
  /// preference. The source of a move is preferred until the move opens. After the plan has ended, these are
  /// the engines that are known to hold the group.
  const std::vector<std::string>* preferredEngines(std::uint32_t group) const {
    const auto found = preferredEngines_.find(group);
    return found == preferredEngines_.end() ? nullptr : &found->second;
  }

  /// Returns true if a move that loads the group on a target opened less than `cooldown` ago. Moves of only a
  /// limited number of groups are remembered.
  bool isRecentlyMoved(Duration now, std::uint32_t group, Duration cooldown) const {
    const auto found = lastMovedAt_.find(group);
    return found != lastMovedAt_.end() && now - found->second < cooldown;
  }

 private:
  enum class MoveState : std::uint8_t { pending, open, done };
  // Capacity that the open moves leave for additional moves.
  struct TransferSlots {
    std::vector<Bytes> remainingHeadroom;  // by engine
    std::vector<unsigned> incomingMoves;   // by engine
    unsigned incomingMovesTotal = 0;
  };

  static bool isMoveDone(const Move& move, const GroupSnapshot* group);
  std::optional<PlanOutcome> findClusterChange(const ClusterView& observed) const;
  std::vector<const GroupSnapshot*> matchPlannedGroups(const ClusterView& observed) const;
  bool closeFinishedMoves(Duration now, const std::vector<const GroupSnapshot*>& groups);
  TransferSlots computeTransferSlots(const ClusterView& observed,
                                     const std::vector<const GroupSnapshot*>& groups) const;
  void openReadyMoves(Duration now, TransferSlots& slots);
  bool areDependenciesDone(const Move& move) const;
  bool tryReserveTransfer(std::uint32_t target, Bytes bytes, TransferSlots& slots) const;
  void rememberMove(Duration now, std::uint32_t groupId);
  void updatePreferredEngines();

  const MoveLimits limits_;
  ClusterView view_;
  Plan plan_;
  Duration deadline_{0};
  PlanOutcome outcome_ = PlanOutcome::completed;
  std::vector<MoveState> moveStates_;
  std::map<std::uint32_t, Duration> openMoves_;  // opening time, by move index
  std::size_t completedMoves_ = 0;
  std::map<std::uint32_t, std::vector<std::string>> preferredEngines_;  // by group number
  std::map<std::uint32_t, Duration> lastMovedAt_;                       // by group number
};

}  // namespace paddletrack::rebalance
