// The module's own rare moments: two events that cross, told in either order or in the same instant.
#include <gtest/gtest.h>

#include "fake_host.hpp"

namespace paddletrack {
namespace {

// A host whose only engine is full, so that a job of the first type waits for a draw.
struct FullHost : FakeHost {
  FullHost() {
    site.controllers = 1;
    site.types[0].jobTimeout = 20s;  // it may wait for a second
  }
  Job& waiting(std::uint64_t key = 0) {
    while (sent.size() < 200) {
      Job& job = take(0, 100ms, key);
      if (job.waiting) return job;
    }
    ADD_FAILURE() << "no job waits";
    return jobs.back();
  }
};

TEST(Crossing, AClientThatLeavesWhileItsJobWaitsIsNeverSentOn) {
  FullHost host;
  host.open(1);
  Job& left = host.waiting();
  host.controller->gaveUp(host.now, left);
  host.endAll();
  host.pass(30s);
  EXPECT_TRUE(left.dispatches.empty());
  EXPECT_FALSE(left.waiting);
  EXPECT_EQ(std::count(host.throttled.begin(), host.throttled.end(), &left), 0);
}

TEST(Crossing, AClientThatLeavesInTheInstantOfItsDrawIsNotSentOn) {
  FullHost host;
  host.open(1);
  Job& left = host.waiting();
  host.endAll();
  host.now += 2s;  // its draw is due, and the wake not told yet
  host.controller->gaveUp(host.now, left);
  host.pass(1s);
  EXPECT_TRUE(left.dispatches.empty());
}

TEST(Crossing, AClientThatLeavesFromALineLetsTheNextOfItsKeyRun) {
  FakeHost host;
  host.site.types[0].inOrder = true;
  host.open(2);
  Job& first = host.take(0, 100ms, 9);
  Job& second = host.take(0, 100ms, 9);
  Job& third = host.take(0, 100ms, 9);
  host.controller->gaveUp(host.now, second);
  host.end(*first.dispatches[0]);
  host.pass(100ms);
  EXPECT_TRUE(second.dispatches.empty());
  EXPECT_EQ(third.dispatches.size(), 1U);
}

TEST(Crossing, WhatEndsUnrunAfterItsClientHasGoneIsNotSentAgain) {
  for (const Outcome outcome :
       {Outcome::turnedAway, Outcome::unreachable, Outcome::neverSent, Outcome::error}) {
    for (const bool mayWithdraw : {false, true}) {
      FakeHost host;
      host.site.mayWithdraw = mayWithdraw;
      host.site.types[0].inOrder = true;
      host.open(2);
      Job& job = host.take(0, 100ms, 9);
      Job& next = host.take(0, 100ms, 9);
      host.controller->gaveUp(host.now, job);
      EXPECT_EQ(host.withdrawn.size(), mayWithdraw ? 1U : 0U);
      host.pass(100ms);
      EXPECT_TRUE(next.dispatches.empty());  // the one before is still out
      host.end(*job.dispatches[0], outcome);
      host.pass(5s);
      EXPECT_EQ(job.dispatches.size(), 1U);
      EXPECT_EQ(std::count(host.throttled.begin(), host.throttled.end(), &job), 0);
      EXPECT_EQ(std::count(host.cancelled.begin(), host.cancelled.end(), &job), 0);
      EXPECT_EQ(next.dispatches.size(), 1U);
    }
  }
}

TEST(Crossing, AnEndInTheInstantOfTheExpiryGetsOneAnswer) {
  for (const Outcome outcome : {Outcome::done, Outcome::error, Outcome::turnedAway, Outcome::timedOut}) {
    FakeHost host(2);
    Job& job = host.take(0);
    host.now = job.expires;
    host.end(*job.dispatches[0], outcome);
    host.pass(1s);
    EXPECT_TRUE(job.over);
    EXPECT_EQ(job.dispatches.size(), 1U);
    EXPECT_EQ(host.throttled.size() + host.cancelled.size(), outcome == Outcome::done ? 0U : 1U);
  }
}

TEST(Crossing, AKeyedRepeatGoesToTheGroupThatTheFirstWasSentTo) {
  FakeHost host;
  host.site.types[0].effect = Effect::keyed;
  host.site.types[0].repeatGroup = RepeatGroup::cell;
  host.site.types[0].repeatWindow = 4s;
  host.open(2);
  host.list(1, {.standing = Standing::gone});
  host.list(0, {.cell = 1});
  Job& job = host.take(0);
  ASSERT_EQ(job.dispatches.size(), 1U);
  // It leaves, and comes back in another cell, in one telling; its new neighbours know nothing of the first.
  host.controller->listed(host.now, false,
                          {{&host.engines[0], {.cell = 1, .standing = Standing::gone}},
                           {&host.engines[0], {.cell = 2, .started = host.now - 11s}},
                           {&host.engines[1], {.cell = 2}}});
  host.end(*job.dispatches[0], Outcome::reset);
  EXPECT_EQ(job.dispatches.size(), 1U);
  EXPECT_EQ(host.cancelled.size(), 1U);
}

TEST(Crossing, AKeyedRepeatAtItsWindowsEdge) {
  for (const Span after : {900ms - 10ms, 900ms - 5ms, 900ms, 900ms + 5ms}) {
    FakeHost host;
    host.site.types[0].effect = Effect::keyed;
    host.site.types[0].repeatWindow = 900ms;
    host.site.types[0].lateValue = 0.2;
    host.open(2);
    Job& job = host.take(0);
    host.now += after;
    host.end(*job.dispatches[0], Outcome::reset);
    EXPECT_EQ(job.dispatches.size(), after < 895ms ? 2U : 1U) << after.count();
    EXPECT_EQ(host.throttled.size(), 0U);  // the client would come back after it
  }
}

TEST(Crossing, AThrottledKeyedJobCanComeBackWithinItsWindow) {
  for (const Span after : {100ms, 300ms, 500ms, 700ms, 850ms}) {
    FakeHost host;
    host.site.types[0].effect = Effect::keyed;
    host.site.types[0].repeatWindow = 900ms;
    host.site.mostDispatches = 1;
    host.open(2);
    Job& job = host.take(0);
    host.now += after;
    host.end(*job.dispatches[0], Outcome::reset);
    EXPECT_EQ(host.throttled.size() + host.cancelled.size(), 1U);
    if (after <= 300ms) {
      EXPECT_EQ(host.throttled.size(), 1U);
    }
    for (const Span comeBack : host.comeBacks) EXPECT_LT(after + comeBack + 5ms, 900ms) << after.count();
  }
}

TEST(Crossing, ARunOnceJobIsNeverOutTwiceNorSentAfterItMayHaveRun) {
  struct Taking : FakeHost {
    bool keeps = false;
    bool takeBack(Dispatch&) override { return keeps; }
  };
  for (const Outcome outcome :
       {Outcome::done, Outcome::error, Outcome::turnedAway, Outcome::timedOut, Outcome::unreachable,
        Outcome::reset, Outcome::withdrawn, Outcome::neverSent, Outcome::spoilt}) {
    for (const bool keeps : {false, true}) {
      Taking host;
      host.keeps = keeps;
      host.site.types[0].effect = Effect::runOnce;
      host.site.secondCopies = true, host.site.mayWithdraw = true;
      host.open(3);
      Job& job = host.take(0);
      host.pass(600ms);  // past its SLA time: no copy
      EXPECT_EQ(job.dispatches.size(), 1U);
      host.controller->letGo(host.now, {&job});
      EXPECT_EQ(host.throttled.size(), keeps ? 1U : 0U);
      host.end(*job.dispatches[0], outcome);
      host.pass(5s);
      EXPECT_EQ(job.dispatches.size(), 1U);

      Job& other = host.take(0);
      host.end(*other.dispatches[0], outcome);
      const bool unrun =
          outcome == Outcome::turnedAway || outcome == Outcome::unreachable || outcome == Outcome::neverSent;
      EXPECT_EQ(other.dispatches.size(), unrun ? 2U : 1U);
      EXPECT_LE(other.out(), 1);
    }
  }
}

TEST(Crossing, AnEngineThatReturnsWithAnotherStartInOneTellingIsColdAndStillCounts) {
  FakeHost host(1);
  host.takeMany(4, 0);
  const std::size_t out = host.engines[0].out.size();
  ASSERT_GT(out, 0U);
  host.pass(100ms);
  host.controller->listed(
      host.now, false,
      {{&host.engines[0], {.standing = Standing::gone}}, {&host.engines[0], {.started = host.now}}});
  EXPECT_TRUE(host.engines[0].listed);
  EXPECT_LT(host.engines[0].cores, 8 * 0.4);
  EXPECT_EQ(host.engines[0].out.size(), out);
  host.endAll(Outcome::reset);
  EXPECT_EQ(host.engines[0].out.size() + host.engines[0].byType.size(), host.engines[0].out.size() + 2U);
  for (const Job& job : host.jobs) EXPECT_LE(job.out(), 1);
  host.endAll();
  EXPECT_DOUBLE_EQ(host.engines[0].threads, 0);
}

TEST(Crossing, AnEngineLeavesWithADispatchOutAndIsForgottenAfterIt) {
  FakeHost host;
  host.site.types[0].lateValue = 0.2;
  host.open(2);
  host.list(1, {.standing = Standing::gone});
  Job& job = host.take(0);
  host.controller->listed(host.now, true, {{&host.engines[1], Listing{}}});
  host.pass(3s);
  host.end(*job.dispatches[0], Outcome::reset);
  ASSERT_EQ(job.dispatches.size(), 2U);  // drawn again, on what is listed
  EXPECT_EQ(job.dispatches[1]->engine, &host.engines[1]);
  host.end(*job.dispatches[1]);
  host.controller->forget(host.engines[0]);
  host.engines[0].out.assign(3, nullptr);  // nothing reads it any more
  host.takeMany(20, 0);
  host.pass(5s);
  EXPECT_EQ(host.sentTo(0), 1U);
}

TEST(Crossing, JobsLetGoWhileTheyWaitForADrawOrInALineGetOneAnswerEach) {
  FullHost host;
  host.site.types[0].inOrder = true;
  host.open(1);
  std::vector<Job*> all;
  for (int each = 0; each < 60; ++each) all.push_back(&host.take(0, 100ms, each % 3 ? 0 : 9));
  const std::size_t before = host.sent.size();
  ASSERT_LT(before, 60U);
  std::erase_if(all, [](const Job* each) { return each->over; });
  const std::size_t answered = host.throttled.size();
  host.now += 30ms;  // many draws are due
  host.controller->letGo(host.now, all);
  EXPECT_EQ(host.sent.size(), before);
  EXPECT_EQ(host.throttled.size(), answered + all.size());
  host.endAll(Outcome::error);
  host.pass(5s);
  EXPECT_EQ(host.sent.size(), before);
  EXPECT_EQ(host.throttled.size(), answered + all.size());
}

TEST(Crossing, ManyEndsInOneTurnShareTheBudgetOfFurtherDispatches) {
  FakeHost host;
  host.site.furtherSpan = 5s;
  host.site.furtherFloor = 2;
  host.site.furtherRatio = 0.1;
  host.open(4);
  host.takeMany(30, 0, 10ms);
  const std::size_t first = host.sent.size();
  const std::vector<Dispatch*> out = host.sent;
  for (Dispatch* each : out) host.end(*each, Outcome::turnedAway);  // the clock stands still
  EXPECT_GT(host.sent.size(), first);
  EXPECT_LE(host.sent.size() - first, 5U);  // 2 + 0.1 x 30
  host.pass(4s);
  EXPECT_LE(host.sent.size() - first, 5U);
}

// Each setting that may be missing or zero: the module neither stands still nor sends what it may not, and
// all that was taken gets its answer.
TEST(Crossing, MissingAndZeroSettings) {
  using Change = void (*)(Deployment&);
  const std::vector<Change> changes{
      [](Deployment& site) { site.tick = Span{0}; },
      [](Deployment& site) { site.tick = Span{0}, site.types[0].slaTime = site.types[1].slaTime = Span{0}; },
      [](Deployment& site) { site.types.resize(1); },
      [](Deployment& site) { site.types[0].jobTimeout = Span{0}; },
      [](Deployment& site) { site.types[0].slaTime = Span{0}; },
      [](Deployment& site) { site.types[0].effect = Effect::keyed; },  // its window is zero
      [](Deployment& site) { site.fallSpan = Span{0}; },
      [](Deployment& site) { site.coldFor = Span{0}; },
      [](Deployment& site) { site.coldStart = 0; },
      [](Deployment& site) { site.fallMultiple = 0; },
      [](Deployment& site) { site.controllers = 1; },
      [](Deployment& site) { site.mayTellPeers = true, site.controllers = 1; },
      [](Deployment& site) {
        site.machines = {{8, 0}}, site.memoryHeeded = true, site.needUntold = true;
      },
      [](Deployment& site) {
        site.customers = {{0}, {0}};
      },
      [](Deployment& site) { site.furtherSpan = Span{1}; },
      [](Deployment& site) { site.mostDispatches = 0; },
      [](Deployment& site) { site.comeBackHeard = false, site.longestComeBack = Span{0}; },
      [](Deployment& site) { site.listOnRequest = true, site.mustAskWithin = Span{0}; },
      [](Deployment& site) { site.reportsOnProbe = site.mayProbe = true; },
      [](Deployment& site) { site.types[0].inOrder = true, site.types[0].slaTime = site.tick = Span{0}; },
      [](Deployment& site) { site.types[0].inOrder = true, site.keyRest = Span{0}, site.tick = Span{0}; },
  };
  for (std::size_t at = 0; at < changes.size(); ++at) {
    SCOPED_TRACE("change " + std::to_string(at));
    FakeHost host;
    changes[at](host.site);
    host.open(2);
    host.list(1, {.started = host.now});
    for (int round = 0; round < 20; ++round) {
      for (int each = 0; each < 6; ++each) {
        const bool wide = host.site.types.size() > 1 && each % 2;
        host.needMb = each * 100;
        host.take(wide ? 1 : 0, each % 3 ? 100ms : 0ms, static_cast<std::uint64_t>(each));
      }
      host.pass(50ms);
      host.endAll(round % 3 ? Outcome::done : Outcome::timedOut);
    }
    host.pass(21s);
    host.endAll(Outcome::timedOut);
    host.pass(21s);
    std::size_t over = 0;
    for (const Job& job : host.jobs) over += job.over ? 1 : 0;
    EXPECT_EQ(over, host.jobs.size());
  }
}

}  // namespace
}  // namespace paddletrack
