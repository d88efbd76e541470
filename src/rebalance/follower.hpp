// How a plan is followed: its moves open one by one, in paced steps, as those before them are seen to be
// done; it is given up when the fleet is no longer as it was planned for. No I/O, no clock.
#pragma once

#include <map>
#include <string_view>

#include "rebalance/view.hpp"

namespace paddletrack::rebalance {

struct Pace {
  unsigned atOnce = 8;                  // moves that bring data, open in all
  unsigned atEngine = 2;                // that come to one engine; to a cold one: 1
  Span most{std::chrono::seconds(10)};  // a move that is open for longer is stuck: the plan is given up
};

// What an end of a plan was: done, or why it was given up.
enum class Ended { open, done, time, standing, headroom, stuck, replaced };
std::string_view nameOf(Ended why);

class Follower {
 public:
  explicit Follower(const Pace& pace) : pace_(pace) {}

  // Follows this plan of this view until then; one under way is given up as replaced.
  void begin(Span now, View view, Plan plan, Span until);
  // What is seen now, in order as the plan's view is: opens what may open. A group or an engine that the plan
  // knows and that is not seen counts as gone.
  void look(Span now, const View& seen);
  void giveUp(Ended why);

  bool following() const { return ended_ == Ended::open; }
  Ended ended() const { return ended_; }
  std::size_t open() const { return open_.size(); }
  std::size_t done() const { return doneCount_; }
  const Plan& plan() const { return plan_; }
  const View& planned() const { return view_; }

  // Where jobs of a group are to go rather now; none: anywhere. An engine that is to lose a group keeps it
  // until its move opens. Once the plan has ended, for whatever cause, to where its groups are by then.
  const std::vector<std::string>* homes(std::uint32_t group) const {
    const auto at = homes_.find(group);
    return at == homes_.end() ? nullptr : &at->second;
  }
  // Groups whose moves opened not long ago are to rest: the latest, bounded.
  bool rests(Span now, std::uint32_t group, Span rest) const {
    const auto at = moved_.find(group);
    return at != moved_.end() && now - at->second < rest;
  }

 private:
  enum class State : std::uint8_t { waits, open, done };
  bool changed(const View& seen);
  bool isDone(const Move& move, const std::vector<const GroupView*>& groups) const;
  void lean();

  const Pace pace_;
  View view_;
  Plan plan_;
  Span until_{0};
  Ended ended_ = Ended::done;
  std::vector<State> states_;
  std::map<std::uint32_t, Span> open_;  // by place in the plan: since when
  std::size_t doneCount_ = 0;
  std::map<std::uint32_t, std::vector<std::string>> homes_;  // by group's number
  std::map<std::uint32_t, Span> moved_;
};

}  // namespace paddletrack::rebalance
