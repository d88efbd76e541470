// The seven rules: each story fails when its guard is taken out.
#include <gtest/gtest.h>

#include "fake_host.hpp"

namespace paddletrack {
namespace {

TEST(Rule1, EveryJobGetsOneAnswerAndNothingIsSentAfterIt) {
  FakeHost host(2);
  host.takeMany(80, 0);
  host.pass(1s);
  host.endAll(Outcome::timedOut);
  host.pass(8s);
  host.endAll(Outcome::error);
  host.pass(8s);
  host.endAll();
  for (const Job& job : host.jobs) {
    EXPECT_TRUE(job.over);
    EXPECT_LE(std::count(host.throttled.begin(), host.throttled.end(), &job), 1);
  }
  Job& left = host.take(0);
  host.controller->gaveUp(host.now, left);
  const std::size_t before = host.sent.size();
  host.endAll(Outcome::error);
  EXPECT_EQ(host.sent.size(), before);
  EXPECT_EQ(std::count(host.throttled.begin(), host.throttled.end(), &left), 0);  // leaving was its end
}

TEST(Rule1, AJobWithoutAnEngineIsAnsweredInTime) {
  FakeHost host(0);
  host.take(0);
  EXPECT_EQ(host.throttled.size(), 1U);
}

TEST(Rule2, ARunOnceJobThatMayHaveRunIsNeitherSentNorThrottled) {
  FakeHost host;
  host.site.types[0].effect = Effect::runOnce;
  host.open(2);
  host.take(0);
  host.end(*host.sent[0], Outcome::reset);
  EXPECT_EQ(host.sent.size(), 1U);
  EXPECT_EQ(host.cancelled.size(), 1U);  // at once
  host.take(0);
  host.end(*host.sent[1], Outcome::unreachable);  // proven unrun: again
  EXPECT_EQ(host.sent.size(), 3U);
}

TEST(Rule2, AKeyedJobStaysInItsGroupAndWindow) {
  FakeHost host;
  host.site.types[0].effect = Effect::keyed;
  host.site.types[0].repeatGroup = RepeatGroup::cell;
  host.site.types[0].repeatWindow = 1s;
  host.open(3);
  host.list(0, {.cell = 1});
  host.list(1, {.cell = 1});
  for (int each = 0; each < 20; ++each) {
    Job& job = host.take(0);
    host.end(*job.dispatches[0], Outcome::error);
    host.pass(300ms);
    const unsigned cell = job.dispatches[0]->engine->listing.cell;
    for (const auto& one : job.dispatches) EXPECT_EQ(one->engine->listing.cell, cell);
    host.endAll();
  }
  Job& late = host.take(0);
  host.pass(1200ms);
  host.end(*late.dispatches[0], Outcome::error);
  EXPECT_EQ(late.dispatches.size(), 1U);
  EXPECT_EQ(host.cancelled.back(), &late);
}

TEST(Rule2, OneDispatchOutWhereCopiesAreBarred) {
  FakeHost host;
  host.site.mayWithdraw = true;
  host.site.progressPace = 1s;
  host.open(2);
  Job& job = host.take(1, 500ms);
  host.pass(3s);
  ASSERT_EQ(host.withdrawn.size(), 1U);
  EXPECT_EQ(job.out(), 1);
  EXPECT_EQ(job.dispatches.size(), 1U);
}

TEST(Rule3, ADrainingOrGoneEngineGetsNothingNew) {
  FakeHost host(2);
  host.list(0, {.standing = Standing::draining});
  host.takeMany(8, 0);
  EXPECT_EQ(host.sentTo(0), 0U);
  host.controller->listed(host.now, true, {{&host.engines[0], Listing{}}});  // the other has left
  const std::size_t before = host.sentTo(1);
  host.takeMany(8, 0);
  EXPECT_EQ(host.sentTo(1), before);
}

TEST(Rule4, AColdEngineGetsItsPartOfTheBudgetInAnyWindow) {
  FakeHost host;
  host.site.controllers = 2;
  host.open(1);
  host.pass(1s);
  host.list(0, {.started = host.now});
  for (int each = 0; each < 60; ++each) {
    host.takeMany(2, 0);
    host.pass(50ms);
    host.endAll();
  }
  // 3 x 0.3 x 8 cores x 2 s for both controllers; a job counts as half a second, its type's usual work.
  double most = 0;
  for (const Dispatch* from : host.sent) {
    double inWindow = 0;
    for (const Dispatch* each : host.sent) {
      inWindow += each->sent >= from->sent && each->sent < from->sent + 2s ? 0.1 : 0;
    }
    most = std::max(most, inWindow);
  }
  EXPECT_GT(most, 0);
  EXPECT_LE(most, 14.4 / 2);
}

TEST(Rule4, PartsUnderAJobAreRoundedByChanceToWhatAColdEngineCanDo) {
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {  // all controllers of a site
    FakeHost host;
    host.site.controllers = 200;
    host.open(1, seed);
    for (int each = 0; each < 12; ++each) {
      if (each == 8) host.list(0, {.started = host.now});
      const std::size_t now = host.takeMany(2, 0);
      sent += each < 8 ? 0 : now;
      host.pass(500ms);
      host.endAll();
    }
  }
  EXPECT_GT(sent, 10U);  // 0.3 x 8 cores x 2 s hold 48 jobs of 100 ms; three times as many push it over
  EXPECT_LT(sent, 72U);
}

TEST(Rule5, JobsOfAKeyRunOneAtATimeInOrderWithRest) {
  FakeHost host;
  host.site.types[0].inOrder = true;
  host.site.keyRest = 300ms;
  host.open(2);
  Job& first = host.take(0, 100ms, 9);
  Job& second = host.take(0, 100ms, 9);
  Job& other = host.take(0, 100ms, 8);
  EXPECT_EQ(other.dispatches.size(), 1U);
  host.pass(100ms);
  EXPECT_TRUE(second.dispatches.empty());
  host.controller->gaveUp(host.now, first);  // its dispatch is still out
  host.pass(100ms);
  EXPECT_TRUE(second.dispatches.empty());
  host.end(*first.dispatches[0], Outcome::timedOut);
  host.pass(200ms);
  EXPECT_TRUE(second.dispatches.empty());
  host.pass(200ms);
  EXPECT_EQ(second.dispatches.size(), 1U);
}

TEST(Rule5, ARestLongerThanTheJobTimeoutDoesNotCostTheAnswer) {
  FakeHost host;
  host.site.types[0].inOrder = true;
  host.site.keyRest = 9s;
  host.open(2);
  Job& first = host.take(0, 100ms, 9);
  host.pass(1s);
  Job& second = host.take(0, 100ms, 9);
  host.pass(2s);
  host.end(*first.dispatches[0], Outcome::reset);
  host.pass(2s);
  EXPECT_TRUE(second.over);
  EXPECT_TRUE(second.dispatches.empty());
}

TEST(Rule6, ABoundTypeGoesNowhereElse) {
  FakeHost host;
  host.site.types[0].locations = std::vector<unsigned>{1};
  host.site.types[1].kinds = std::vector<unsigned>{1};
  host.open(3);
  host.list(1, {.location = 1});
  host.list(2, {.kind = 1});
  host.takeMany(4, 0);
  host.takeMany(2, 1);
  for (const Dispatch* each : host.sent) EXPECT_EQ(each->engine, &host.engines[each->job->type->index + 1]);
  host.list(1, {.location = 1, .standing = Standing::gone});
  EXPECT_EQ(host.takeMany(2, 0), 0U);
}

TEST(Rule7, FurtherDispatchesStayWithinTheirBudget) {
  FakeHost host;
  host.site.furtherFloor = 2;
  host.site.furtherRatio = 0.1;
  host.site.furtherSpan = 10s;
  host.open(4);
  for (int each = 0; each < 20; ++each) {
    host.take(0);
    host.pass(50ms);
    host.endAll(Outcome::unreachable);
  }
  host.endAll(Outcome::unreachable);
  std::size_t further = 0;
  for (const Job& job : host.jobs) further += job.dispatches.empty() ? 0 : job.dispatches.size() - 1;
  EXPECT_GE(further, 2U);
  EXPECT_LE(further, 4U);
}

// Counted as the rule counts, at each further dispatch: those of the 10 s before, both ends in, against the
// jobs taken in as long, the far end out. Bursts and pauses of odd lengths meet the edges of buckets.
TEST(Rule7, NoWindowHoldsMoreThanTheBudgetHoweverItsBucketsLie) {
  std::size_t tight = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    FakeHost host;
    host.site.mostDispatches = 6;
    host.site.furtherFloor = 5;
    host.site.furtherRatio = 0.1;
    host.site.furtherSpan = 10s;
    host.open(4, seed);
    std::minstd_rand dice(static_cast<std::minstd_rand::result_type>(seed * 7919));
    for (int each = 0; each < 120; ++each) {
      host.takeMany(static_cast<int>(dice() % 12), 0);
      host.pass(host.site.tick * (1 + dice() % (dice() % 9 ? 60 : 700)));
      host.endAll(dice() % 2 ? Outcome::unreachable : Outcome::error);
    }
    std::vector<Span> further;
    for (const Dispatch* each : host.sent)
      if (each->number > 0) further.push_back(each->sent);
    for (const Span at : further) {
      const auto since = [&](Span from) { return from >= at - host.site.furtherSpan && from <= at; };
      const auto made = std::count_if(further.begin(), further.end(), since);
      const auto taken = std::count_if(host.jobs.begin(), host.jobs.end(), [&](const Job& job) {
        return since(job.taken) && job.taken > at - host.site.furtherSpan;
      });
      const double budget = 5 + 0.1 * static_cast<double>(taken);
      EXPECT_LE(static_cast<double>(made), budget) << seed << ' ' << at.count();
      tight += static_cast<double>(made) > budget - 1;
    }
  }
  EXPECT_GT(tight, 0U);  // the limit itself was met
}

TEST(List, WhereItMustBeAskedForItIsWatchedAndAskedAgain) {
  FakeHost host;
  host.site.listOnRequest = true;
  host.site.mustAskWithin = 6s;
  host.open(1);
  host.controller->listFailed(host.now);
  host.pass(2s);
  EXPECT_GE(std::count(host.story.begin(), host.story.end(), 'w'), 2);
}

}  // namespace
}  // namespace paddletrack
