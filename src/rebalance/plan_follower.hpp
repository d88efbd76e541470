// Follows a plan: opens its moves step by step, as those before them are observed to be done, and abandons
// the plan once the fleet is not any more as it was planned for. No I/O; the caller passes the time.
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

/// Limits of the moves that read data and are open at the same time.
struct MoveLimits {
  unsigned maxOpenMoves = 8;
  unsigned maxOpenMovesPerEngine = 2;  ///< Moves to one engine; 1 to an engine that is warming up.
  /// A move that is open for longer is stuck, and the plan is abandoned.
  Duration moveTimeout{std::chrono::seconds(10)};
};

/// The state of a plan: followed, done, or the reason why it was abandoned.
enum class PlanOutcome : std::uint8_t {
  inProgress,
  completed,
  epochEnded,
  engineStateChanged,
  insufficientHeadroom,
  moveTimedOut,
  replaced
};

/// Returns the text for log lines.
std::string_view nameOf(PlanOutcome outcome);

class PlanFollower {
 public:
  explicit PlanFollower(const MoveLimits& limits) : limits_(limits) {}

  /// Follows `plan`, computed from `view`, until `deadline`. A plan in progress is abandoned as replaced.
  void start(Duration now, ClusterView view, Plan plan, Duration deadline);

  /// Takes the cluster as it is observed now, in canonical order, and opens the moves that may open. A
  /// planned group or engine that is not observed counts as gone.
  void update(Duration now, const ClusterView& observed);
  void abandon(PlanOutcome reason);

  bool isActive() const { return outcome_ == PlanOutcome::inProgress; }
  PlanOutcome outcome() const { return outcome_; }
  std::size_t openMoveCount() const { return openMoves_.size(); }
  std::size_t completedMoveCount() const { return completedMoves_; }
  const Plan& plan() const { return plan_; }
  const ClusterView& plannedView() const { return view_; }

  /// Returns the names of the engines that requests for a group should prefer, or null for no preference. An
  /// engine that is to lose a group is preferred until that move opens. Once the plan has ended, these are
  /// the engines that hold the group by then.
  const std::vector<std::string>* preferredEngines(std::uint32_t group) const {
    const auto found = preferredEngines_.find(group);
    return found == preferredEngines_.end() ? nullptr : &found->second;
  }

  /// Returns true if a move of the group opened less than `restDuration` ago. Remembers a limited number of
  /// groups.
  bool isRecentlyMoved(Duration now, std::uint32_t group, Duration restDuration) const {
    const auto found = lastMovedAt_.find(group);
    return found != lastMovedAt_.end() && now - found->second < restDuration;
  }

 private:
  enum class MoveState : std::uint8_t { pending, open, done };
  // What the open moves leave for further ones.
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
  std::map<std::uint32_t, Duration> openMoves_;  // opening time by index of the move
  std::size_t completedMoves_ = 0;
  std::map<std::uint32_t, std::vector<std::string>> preferredEngines_;  // by group number
  std::map<std::uint32_t, Duration> lastMovedAt_;                       // by group number
};

}  // namespace paddletrack::rebalance
