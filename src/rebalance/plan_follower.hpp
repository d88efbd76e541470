// How a plan is followed: its moves open one by one, in paced steps, as those before them are seen to be
// done; it is given up when the fleet is no longer as it was planned for. No I/O, no clock.
#pragma once

#include <map>
#include <string_view>

#include "rebalance/plan.hpp"

namespace paddletrack::rebalance {

struct MoveLimits {
  unsigned maxOpenMoves = 8;           // moves that bring data, open in all
  unsigned maxOpenMovesPerEngine = 2;  // that come to one engine; to a cold one: 1
  Duration moveTimeout{
      std::chrono::seconds(10)};  // a move that is open for longer is stuck: the plan is given up
};

// What an end of a plan was: done, or why it was given up.
enum class PlanOutcome {
  inProgress,
  completed,
  epochEnded,
  engineStateChanged,
  insufficientHeadroom,
  moveTimedOut,
  replaced
};
std::string_view nameOf(PlanOutcome outcome);

class PlanFollower {
 public:
  explicit PlanFollower(const MoveLimits& limits) : limits_(limits) {}

  // Follows this plan of this view until then; one under way is given up as replaced.
  void start(Duration now, ClusterView view, Plan plan, Duration deadline);
  // What is seen now, in order as the plan's view is: opens what may open. A group or an engine that the plan
  // knows and that is not seen counts as gone.
  void update(Duration now, const ClusterView& observed);
  void abandon(PlanOutcome reason);

  bool isActive() const { return outcome_ == PlanOutcome::inProgress; }
  PlanOutcome outcome() const { return outcome_; }
  std::size_t openMoveCount() const { return openMoves_.size(); }
  std::size_t completedMoveCount() const { return completedMoves_; }
  const Plan& plan() const { return plan_; }
  const ClusterView& plannedView() const { return view_; }

  // Where jobs of a group are to go rather now; none: anywhere. An engine that is to lose a group keeps it
  // until its move opens. Once the plan has ended, for whatever cause, to where its groups are by then.
  const std::vector<std::string>* preferredEngines(std::uint32_t group) const {
    const auto found = preferredEngines_.find(group);
    return found == preferredEngines_.end() ? nullptr : &found->second;
  }
  // Groups whose moves opened not long ago are to rest: the latest, bounded.
  bool isRecentlyMoved(Duration now, std::uint32_t group, Duration restDuration) const {
    const auto found = lastMovedAt_.find(group);
    return found != lastMovedAt_.end() && now - found->second < restDuration;
  }

 private:
  enum class MoveState : std::uint8_t { pending, open, done };
  bool abandonIfClusterChanged(const ClusterView& observed);
  bool isMoveDone(const Move& move, const std::vector<const GroupSnapshot*>& groups) const;
  void updatePreferredEngines();

  const MoveLimits limits_;
  ClusterView view_;
  Plan plan_;
  Duration deadline_{0};
  PlanOutcome outcome_ = PlanOutcome::completed;
  std::vector<MoveState> moveStates_;
  std::map<std::uint32_t, Duration> openMoves_;  // by place in the plan: since when
  std::size_t completedMoves_ = 0;
  std::map<std::uint32_t, std::vector<std::string>> preferredEngines_;  // by group's number
  std::map<std::uint32_t, Duration> lastMovedAt_;
};

}  // namespace paddletrack::rebalance
