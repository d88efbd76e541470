// Detection of stalls and the end of the recovery, with times passed in.
#include "transport/stall_recovery.hpp"

#include <gtest/gtest.h>

namespace paddletrack::transport {
namespace {

using namespace std::chrono_literals;

constexpr auto kLate = StallRecovery::kStallThreshold + 1ms;

struct StallRecoveryTest : testing::Test {
  StallRecoveryTest() { recovery.onLoopStarted(now); }
  // Polls without an event, for the given time instead of the expected one.
  void poll(Clock::duration expected, Clock::duration actual, bool foundNothing = true) {
    recovery.onPollStarted(now);
    const TimePoint expectedBy = now + expected;
    now += actual;
    recovery.onPollFinished(now, expectedBy, foundNothing);
  }
  TimePoint now{1h};
  StallRecovery recovery;
};

TEST_F(StallRecoveryTest, TakesNoWaitThatEndsInTimeForStall) {
  poll(1s, 1s);
  EXPECT_FALSE(recovery.isActive(now));
  EXPECT_EQ(recovery.earliestArrival(now), now);
}

TEST_F(StallRecoveryTest, DatesInputToLastPollWhenPollIsLate) {
  now += 3ms;
  const TimePoint stalledAt = now - 3ms;
  poll(10ms, 10ms + 2s);
  EXPECT_TRUE(recovery.isActive(now));
  EXPECT_EQ(recovery.earliestArrival(now), stalledAt);
}

// Its result may be older than the stall, so it does not prove that there is no unread input.
TEST_F(StallRecoveryTest, NeedsFurtherPollWhenLatePollFoundNothing) {
  poll(10ms, 10ms + kLate);
  EXPECT_TRUE(recovery.isActive(now));
  poll(0ms, 0ms, false);
  EXPECT_TRUE(recovery.isActive(now));
  poll(0ms, 0ms);
  EXPECT_FALSE(recovery.isActive(now));
}

TEST_F(StallRecoveryTest, IsActiveWhenCallbacksRunForLongAfterLastPoll) {
  poll(0ms, 0ms);
  const TimePoint polledAt = now;
  now += kLate;
  EXPECT_TRUE(recovery.isActive(now));
  EXPECT_EQ(recovery.earliestArrival(now), polledAt);
  poll(0ms, 0ms, false);
  EXPECT_EQ(recovery.earliestArrival(now), polledAt);
}

TEST_F(StallRecoveryTest, KeepsFirstStallWhenSecondFollowsDuringRecovery) {
  const TimePoint stalledAt = now;
  poll(0ms, 2s, false);
  poll(0ms, 1s);
  EXPECT_EQ(recovery.earliestArrival(now), stalledAt);
  poll(0ms, 0ms);
  EXPECT_FALSE(recovery.isActive(now));
}

TEST_F(StallRecoveryTest, EndsAtLimitWhenInputNeverStops) {
  poll(0ms, kLate, false);
  for (Clock::duration elapsed{}; elapsed < StallRecovery::kMaxDuration; elapsed += 5ms) {
    EXPECT_TRUE(recovery.isActive(now));
    poll(0ms, 5ms, false);
  }
  EXPECT_FALSE(recovery.isActive(now));
}

// Regression: a stall during the recovery from a short one, as on a loaded machine, ended that recovery at
// its limit, and the input of the second stall counted as just arrived.
TEST_F(StallRecoveryTest, DatesInputToSecondStallWhenItExceedsLimitOfFirstRecovery) {
  for (const bool stallsInPoll : {true, false}) {
    poll(0ms, kLate, false);
    poll(0ms, 1ms, false);
    poll(0ms, 1ms, false);
    const TimePoint stalledAt = now;
    if (!stallsInPoll) now += 2s;
    poll(0ms, stallsInPoll ? 2s : 0s, false);
    EXPECT_TRUE(recovery.isActive(now));
    EXPECT_LE(recovery.earliestArrival(now), stalledAt);
    poll(0ms, 0ms);
    poll(0ms, 0ms);
    EXPECT_FALSE(recovery.isActive(now));
  }
}

// Guards against timers that never run, and requests that are dated ever longer back, on a starved machine.
TEST_F(StallRecoveryTest, AllowsTimersAndDatesAnewWhenEveryRoundIsLate) {
  int roundsWithTimers = 0;
  for (int round = 0; round < 30; ++round) {
    const bool isLateInPoll = round % 2 == 0;
    poll(0ms, isLateInPoll ? kLate : 0ms, false);
    if (!isLateInPoll) now += kLate;
    roundsWithTimers += recovery.allowsTimers(now);
    EXPECT_LE(now - recovery.earliestArrival(now), 6 * kLate);
  }
  EXPECT_GE(roundsWithTimers, 7);
}

TEST_F(StallRecoveryTest, TakesNoStoppedLoopForStall) {
  recovery.onLoopStopped();
  now += 10s;
  EXPECT_FALSE(recovery.isActive(now));
  recovery.onLoopStarted(now);
  poll(0ms, 0ms);
  EXPECT_FALSE(recovery.isActive(now));
}

}  // namespace
}  // namespace paddletrack::transport
