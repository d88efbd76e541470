// The ordinary path of the design, and a story for each failure met on the way.
#include <gtest/gtest.h>

#include "fake_host.hpp"

namespace paddletrack {
namespace {

const LoadReport kIdle{.jobsHeld = 0}, kFull{.jobsHeld = 60};

TEST(Classes, WideJobsBorrowOnlyWhatIsNoFloor) {
  FakeHost host(1);
  for (int each = 0; each < 10; ++each) {
    host.takeMany(10, 1, 2s);
    host.pass(50ms);
  }
  const double wide = host.engines[0].byType[1].threads;
  EXPECT_GE(wide, 12);
  EXPECT_LT(wide, 24 * 0.8);           // the bound less the dashboards' idle floor
  EXPECT_GE(host.takeMany(4, 0), 2U);  // which is still theirs
}

TEST(Classes, ALoadHoldsOnlyItsCeiling) {
  FakeHost host;
  host.site.types[1].load = true;
  host.open(1);
  host.takeMany(40, 1);
  host.pass(3s);
  EXPECT_LE(host.engines[0].byType[1].threads, 12);
}

TEST(Classes, JobsQueueAboveTheMarkAndAreThrottledAfterASmallPartOfTheirTime) {
  FakeHost host(1);
  EXPECT_EQ(host.takeMany(16, 0), 16U);  // 8 cores, 2 threads each
  Job& late = host.take(0);
  EXPECT_TRUE(late.waiting);
  host.takeMany(60, 0);
  host.pass(205ms);  // a twentieth of the job timeout, and a tick
  EXPECT_FALSE(host.throttled.empty());
  for (const Span each : host.comeBacks) EXPECT_GT(each, 0ms);
  for (const Job& each : host.jobs) EXPECT_FALSE(each.waiting);
}

TEST(Classes, ADearJobIsShutOutByTokensWhileACheapOneFits) {
  FakeHost host(1);
  EXPECT_EQ(host.takeMany(3, 1, 14s), 2U);
  EXPECT_EQ(host.takeMany(1, 1, 100ms), 1U);
}

// Each is worth the same, and a tenth of them took half of the work: refused were as many of the cheap ones.
TEST(Classes, AJobDearForItsTypeNeedsAsMuchMoreRoom) {
  for (const bool byWork : {false, true}) {
    FakeHost host;
    host.site.valueByWork = byWork;
    host.open(1);
    for (int each = 0; each < 9; ++each) host.takeMany(1, 1, 2s), host.endAll();
    EXPECT_EQ(host.takeMany(12, 0), 12U);  // four of sixteen threads are left
    EXPECT_EQ(host.takeMany(1, 1, 20s), byWork ? 1U : 0U);
    EXPECT_EQ(host.takeMany(1, 1, 2s), byWork ? 0U : 1U);
  }
}

// The cheapest tenth of wide jobs, a hundredth of their work, was shed as often as the usual.
TEST(Classes, AJobCheapForItsTypeNeedsLessRoom) {
  FakeHost host(1);
  for (int each = 0; each < 9; ++each) host.takeMany(1, 1, 2s), host.endAll();
  EXPECT_EQ(host.takeMany(14, 0), 14U);  // two of sixteen threads are left, and it runs on four
  EXPECT_EQ(host.takeMany(1, 1, 2s), 0U);
  EXPECT_EQ(host.takeMany(1, 1, 400ms), 1U);
}

// One that counted for more than a whole mark was throttled on an idle fleet.
TEST(Classes, AnEngineThatIsAllButIdleTakesADearJob) {
  FakeHost host(1);
  for (int each = 0; each < 9; ++each) host.takeMany(1, 1, 500ms), host.endAll();
  EXPECT_EQ(host.takeMany(4, 0), 4U);
  EXPECT_EQ(host.takeMany(1, 1, 5s), 1U);
}

// A load holds what it reads on its engine, and short jobs that read the same stand still there until it
// ends: nine in ten of the late ones had met one, mostly another controller's.
TEST(Loads, AndWhatWaitsForThemGoToDifferentEnginesAtAllControllers) {
  std::vector<bool> loaded(8), waited(8);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    FakeHost host;
    host.site.types[0].waits = host.site.loadsHold = host.site.types[1].load = true;
    host.open(8, seed);
    for (int each = 0; each < 8; ++each) {
      host.takeMany(2, each % 2);
      for (const Dispatch* made : host.sent)
        if (made->out) (each % 2 ? loaded : waited)[made->engine->number] = true;
      host.endAll();
    }
  }
  for (std::size_t each = 0; each < 8; ++each) EXPECT_FALSE(loaded[each] && waited[each]);
}

TEST(Classes, OnlyAJobThatFitsNowhereIsThrottledAtOnce) {
  FakeHost host(1);
  host.takeMany(1, 1, 60s);
  host.take(1, 60s);
  EXPECT_EQ(host.throttled.size(), 1U);
  host.open(1);  // one more engine, idle
  host.take(1, 60s);
  EXPECT_EQ(host.throttled.size(), 1U);
}

TEST(Classes, ABusyControllerPassesItsShareWhereOthersAreSeenIdle) {
  FakeHost host;
  host.site.controllers = 8;
  host.open(1);
  host.takeMany(1, 0);
  host.end(*host.sent[0], Outcome::done, &kIdle);
  host.pass(100ms);
  EXPECT_EQ(host.takeMany(12, 0), 12U);
}

TEST(Classes, SameEventsGiveSameActions) {
  const auto day = [](std::uint64_t seed, bool telling = false) {
    FakeHost host;
    host.open(3, seed);
    host.controller->tellWeighed(telling);
    for (int each = 0; each < 60; ++each) {
      host.takeMany(3, each % 2);
      host.pass(20ms);
      if (each % 5 == 0) host.endAll();
    }
    EXPECT_EQ(host.weighings.empty(), !telling);
    return host.story;
  };
  EXPECT_EQ(day(3), day(3));
  EXPECT_EQ(day(3), day(3, true));  // who listens to what is weighed changes nothing
  EXPECT_NE(day(3), day(4));
}

TEST(Reports, AnEngineOnceSeenFullIsTriedAgain) {
  FakeHost host;
  host.site.controllers = 4;
  host.open(2);
  host.takeMany(2, 0);
  ASSERT_EQ(host.sentTo(0), 1U);
  for (Dispatch* each : {host.sent[0], host.sent[1]})
    host.end(*each, Outcome::done, each->engine == &host.engines[0] ? &kFull : &kIdle);
  host.pass(100ms);
  host.takeMany(4, 0);
  EXPECT_EQ(host.sentTo(0), 1U);
  for (int each = 0; each < 24; ++each) {  // only the other one reports; what 60 held runs off
    host.pass(1s);
    host.endAll(Outcome::done, &kIdle);
    host.takeMany(4, 0);
  }
  EXPECT_GT(host.sentTo(0), 1U);
}

// On a day of releases new engines stood empty for all their cold time, others at 2 to 3 threads a core.
TEST(Reports, AColdEngineSeenIdleIsNotTakenToBeAsFullAsTheRest) {
  FakeHost host;
  host.site.controllers = 4;
  host.open(2);
  host.pass(1s);
  host.list(0, {.started = host.now});
  for (int each = 0; each < 20; ++each) {
    const LoadReport busy{.jobsHeld = 14};
    host.controller->probed(host.now, host.engines[0], true, &kIdle);
    host.controller->probed(host.now, host.engines[1], true, &busy);
    host.pass(200ms);
    host.takeMany(1, 0);
    host.endAll();
  }
  EXPECT_GE(host.sentTo(0), 5U);
}

TEST(Reports, WhatWasSentSinceIsNotTakenOffThem) {
  FakeHost host;
  host.site.controllers = 2;
  host.open(1);
  host.takeMany(1, 0);
  host.pass(1s);
  host.takeMany(6, 0);
  const LoadReport report{.jobsHeld = 10};
  host.end(*host.sent[0], Outcome::done, &report);
  EXPECT_GE(host.engines[0].othersThreads, 9.9);
}

// Where engines tell only how busy their cores and disks are, a controller with far more traffic than the
// others took all of them to be as busy as itself, and shed what an idle fleet could have run.
TEST(Reports, BusyCoresAndDisksStandInForJobsHeld) {
  for (const auto& [cores, disks, least, most] :
       {std::tuple(0.1, 0.1, 12U, 99U), {1.0, 0.1, 0U, 2U}, {0.1, 1.0, 0U, 2U}}) {
    FakeHost host;
    host.site.controllers = 7;
    host.open(1);
    host.take(0);
    const LoadReport report{.coresBusy = cores, .disksBusy = disks};
    host.endAll(Outcome::done, &report);
    const std::size_t sent = host.takeMany(20, 0);
    EXPECT_GE(sent, least);
    EXPECT_LE(sent, most);
  }
}

TEST(Reports, AnEngineUnseenForLongIsProbedWhereOnlyProbesTell) {
  FakeHost host;
  host.site.controllers = 3;
  host.site.reportsOnProbe = host.site.mayProbe = true;
  host.open(1);
  host.takeMany(2, 0);
  host.endAll();
  host.pass(900ms);
  EXPECT_NE(host.story.find("probe 0"), std::string::npos);
  EXPECT_EQ(host.story.find("probe 0"), host.story.rfind("probe 0"));  // once in its time
  host.controller->probed(host.now, host.engines[0], true, &kFull);
  host.pass(100ms);
  EXPECT_EQ(host.takeMany(4, 1), 0U);
}

// Sixteen engines were probed once a second by each of 22 controllers, 1.4 probes a job, and all chose alike.
TEST(Reports, ProbesFollowTheJobsSoThatNotAllSeeTheSame) {
  std::size_t first = 0, all = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeHost host;
    host.site.controllers = 3;
    host.site.reportsOnProbe = host.site.mayProbe = true;
    host.open(8, seed * 1000003);
    host.takeMany(4, 0);
    host.endAll();
    host.pass(900ms);
    all += static_cast<std::size_t>(std::count(host.story.begin(), host.story.end(), 'b'));  // of "probe"
    first += host.story.find("probe 0") != std::string::npos;
  }
  EXPECT_EQ(all, 40U);
  EXPECT_GT(first, 0U);
  EXPECT_LT(first, 15U);
}

TEST(Memory, WideJobsDoNotCrowdItOut) {
  FakeHost host;
  host.site.machines[0].memoryMb = 4000;
  host.site.memoryHeeded = true;
  host.open(1);
  host.needMb = 1500;
  host.takeMany(6, 1);
  EXPECT_EQ(host.sent.size(), 2U);
}

// A grant a quarter over a rough estimate made a third of all jobs spill and do their work up to 3.6 times.
TEST(Memory, WhereOnlyUseSlowsAnEngineTheMostOneJobGetsIsAskedFor) {
  FakeHost host;
  host.site.memoryHeeded = host.site.memoryPages = true;
  host.site.mostGrantMb = 4000;
  host.open(1);
  host.needMb = 10;
  host.take(0);
  EXPECT_EQ(host.grants.back(), 4000);
  host.site.memoryPages = false;  // a grant takes memory from others: the engine's own choice
  host.take(0);
  EXPECT_EQ(host.grants.back(), 0);
}

// Where no answer ever tells a need the told one is all there is: what engines grant by themselves, a quarter
// over it, left one job in twelve to spill beside free memory.
TEST(Memory, GrantsGoByToldNeedsWhereAnswersNeverTellThem) {
  FakeHost host;
  host.site.memoryHeeded = host.site.needUntold = true;
  host.site.machines[0].memoryMb = 16000;
  host.open(1);
  host.needMb = 1000;
  host.take(0);
  EXPECT_NEAR(host.grants.back(), 1000 + 15000.0 / 16, 1);  // its part of all that is free
}

// Where answers tell the need, a grant a tenth over a rough estimate made a quarter of all jobs spill beside
// memory that nobody used; one far over it makes jobs wait once memory is short.
TEST(Memory, AGrantTakesItsThreadsPartOfWhatIsFree) {
  FakeHost host;
  host.site.memoryHeeded = true;
  host.site.machines[0].memoryMb = 16000;
  host.open(1);
  host.needMb = 2000;
  const TrueCost cost{0.1, 2000};
  for (int each = 0; each < 12; ++each) {
    host.take(1);
    host.controller->ended(host.now, *host.sent.back(), Outcome::done, true, cost, nullptr);
  }
  host.takeMany(3, 1);
  const std::vector<double> last(host.grants.end() - 3, host.grants.end());
  EXPECT_EQ(last, (std::vector<double>{5000, 4250, 3187.5}));  // 2000, and a fourth of what is free then
  EXPECT_EQ(host.engines[0].memoryMb, 5000 + 4250 + 3187.5);
}

TEST(Memory, AnEngineFarPastItIsLetBeByShortJobsToo) {
  FakeHost host;
  host.site.controllers = 2;
  host.site.machines[0].memoryMb = 4000;
  host.open(1);
  for (const double granted : {1.2, 1.6}) {
    EXPECT_EQ(host.takeMany(1, 0), 1U);
    const LoadReport paging{.jobsHeld = 8, .memoryGranted = granted};
    host.endAll(Outcome::done, &paging);
  }
  EXPECT_EQ(host.takeMany(1, 0), 0U);
}

TEST(Customers, AShortRunOfJobsIsNotOverTheirShare) {
  FakeHost host;
  host.site.customers = {{4}};
  host.open(1);
  host.takeMany(16, 0);  // up to the mark, within a moment
  EXPECT_TRUE(host.take(0).waiting);
}

// With one of three controllers away all customers passed a third of their quota at the other two, which
// turned away what could have run.
TEST(Customers, NobodyIsOverItsShareWhereAllSendMore) {
  FakeHost host;
  host.site.customers = {{4}, {4}};
  host.site.controllers = 3;
  host.open(1);
  const auto send = [&](std::size_t customer) -> Job& {
    host.customer = customer;
    return host.take(0, 1ms);
  };
  for (int each = 0; each < 20; ++each) {
    send(0);
    EXPECT_FALSE(send(1).overShare);
  }
  for (int each = 0; each < 40; ++each) send(0);
  EXPECT_TRUE(send(0).overShare);
  EXPECT_FALSE(send(1).overShare);
}

TEST(Slow, TheMarkShrinksWhileDispatchesOutlastTheirSlaTime) {
  FakeHost host(1);
  for (int each = 0; each < 4; ++each) {
    host.takeMany(16, 0);
    host.pass(2s);
    host.endAll();
  }
  EXPECT_LT(host.takeMany(16, 0), 14U);
}

// Clients that leave before look-ups of 100 ms are done, after this time.
void leaveAfter(FakeHost& host, Span patience) {
  host.site.types[0].jobTimeout = patience;
  host.open(1);
  for (int each = 0; each < 6; ++each) {
    host.takeMany(8, 0);
    host.pass(patience);
    host.endAll(Outcome::timedOut);
  }
}

TEST(Slow, TheMarkShrinksWhenClientsLeaveBeforeTheirAnswers) {
  FakeHost host;
  leaveAfter(host, 100ms);  // well within the SLA time
  EXPECT_LT(host.engines[0].easing.ease, 0.75);
}

// On join days clients give look-ups less than these take: their time-outs eased the mark to 0.48 for the
// whole fleet while its engines ran as ever.
TEST(Slow, ClientsThatGiveLessThanTheWorkTakesTellNothingOfEngines) {
  FakeHost host;
  leaveAfter(host, 60ms);
  EXPECT_EQ(host.engines[0].easing.ease, 1);
  EXPECT_EQ(host.engines[0].bad.sum(host.now), 0);
}

TEST(Slow, AllSlowAtOnceAreNotIll) {
  FakeHost host(3);
  for (int each = 0; each < 5; ++each) {
    host.takeMany(3, 0);
    host.pass(1s);
    host.endAll();
  }
  const std::size_t before = host.sent.size();
  host.takeMany(12, 0);
  EXPECT_EQ(host.sent.size(), before + 12);
}

TEST(Health, AFailingEngineIsLeftAndTriedNowAndThen) {
  FakeHost host(2);
  for (int each = 0; each < 40; ++each) {
    host.take(0);
    host.pass(20ms);
    for (Dispatch* one : std::vector<Dispatch*>(host.sent)) {
      if (one->out) host.end(*one, one->engine == &host.engines[0] ? Outcome::error : Outcome::done);
    }
  }
  EXPECT_LE(host.sentTo(0), 6U);
  EXPECT_TRUE(host.throttled.empty());  // each failed job had another dispatch
  host.pass(3s);
  const std::size_t before = host.sentTo(0);
  host.takeMany(6, 0);
  EXPECT_GT(host.sentTo(0), before);
}

TEST(Health, ASilentEngineGetsNoMore) {
  FakeHost host(2);
  host.takeMany(2, 0);
  host.pass(1s);
  for (Dispatch* each : std::vector<Dispatch*>(host.sent)) {
    if (each->engine == &host.engines[1]) host.end(*each);
  }
  host.pass(1s);
  const std::size_t before = host.sentTo(0);
  host.takeMany(5, 0);
  EXPECT_LE(host.sentTo(0), before + 1);  // one trial at most
}

TEST(Health, ADoubtedEngineGetsOneShortJobAPauseUntilOneIsDone) {
  FakeHost host(2);
  host.takeMany(8, 0);
  host.pass(100ms);
  for (Dispatch* each : std::vector<Dispatch*>(host.sent)) {
    host.end(*each, each->engine == &host.engines[0] ? Outcome::timedOut : Outcome::done);
  }
  const auto more = [&](Span wait) {
    const std::size_t before = host.sentTo(0);
    host.pass(wait);
    host.takeMany(1, 1);
    host.takeMany(6, 0);
    return host.sentTo(0) - before;
  };
  EXPECT_EQ(more(500ms), 0U);
  EXPECT_EQ(more(600ms), 1U);
  EXPECT_EQ(host.sent.back()->job->type, &host.site.types[0]);
  host.endAll();
  more(3s);
  host.endAll();
  host.pass(100ms);
  EXPECT_FALSE(host.engines[0].trialAt);  // trusted again, its failures out of sight
}

// Three of five engines once turned away most short jobs and ran all else well; left out whole, their work
// was too much for the other two.
TEST(Health, AnEngineThatTurnsShortJobsAwayStillGetsItsOtherWork) {
  FakeHost host(2);
  for (int each = 0; each < 12; ++each) {
    host.takeMany(2, 0);
    for (Dispatch* out : std::vector<Dispatch*>(host.sent))
      if (out->out)
        host.end(*out, out->engine == &host.engines[0] && each % 3 ? Outcome::turnedAway : Outcome::done);
    host.pass(20ms);
  }
  const std::size_t before = host.sentTo(0);
  host.takeMany(4, 1, 2s);
  EXPECT_GT(host.sentTo(0), before);
  EXPECT_FALSE(host.engines[0].trialAt);
  host.endAll();
  const std::size_t sent = host.sentTo(0);
  for (int each = 0; each < 40; ++each) {  // one that turns all away is left alone all the same
    host.takeMany(2, 0);
    for (Dispatch* out : std::vector<Dispatch*>(host.sent))
      if (out->out) host.end(*out, out->engine == &host.engines[0] ? Outcome::turnedAway : Outcome::done);
  }
  EXPECT_LE(host.sentTo(0), sent + 20);
}

// A connection that ends takes all that is open on it along; a spoilt one tells of its peers, not of its
// engine.
TEST(Health, ABadConnectionIsNoBadEngine) {
  for (const Outcome outcome : {Outcome::reset, Outcome::spoilt}) {
    FakeHost host(2);
    host.takeMany(8, 0);
    for (Dispatch* each : std::vector<Dispatch*>(host.sent))
      if (each->engine == &host.engines[0]) host.end(*each, outcome);
    host.pass(100ms);
    host.endAll();
    const std::size_t before = host.sentTo(0);
    host.takeMany(6, 0);
    EXPECT_GT(host.sentTo(0), before + 1);
    EXPECT_FALSE(host.engines[0].trialAt);
  }
}

TEST(Health, NeverAllEnginesExcluded) {
  FakeHost host(2);
  host.takeMany(8, 0);
  host.endAll(Outcome::error);
  host.endAll(Outcome::error);
  EXPECT_EQ(host.takeMany(1, 0), 1U);
}

// Reports told to take 2.5 s on each thread came with 4.7 s to live, ran at half speed and out of time:
// 941 on one day.
// Two points in a hundred went for crossings that gained nothing: room was there at home.
TEST(Crossing, IsForTheRoomAboveTheMarkAtHome) {
  FakeHost host;
  host.site.crossLocationPrice = 0.05;
  host.open(2);
  host.list(1, {.location = 1});
  host.takeMany(6, 0);
  EXPECT_EQ(host.sentTo(0), 6U);
  host.takeMany(14, 0);
  EXPECT_GE(host.sentTo(1), 4U);
}

TEST(Hopeless, AJobToldToTakeMoreThanIsLeftIsThrottledAtOnce) {
  FakeHost host(2);
  host.takeMany(12, 0);
  host.site.types[1].jobTimeout = 2s;
  Job& job = host.take(1, 15s);  // 3.75 s on each of its four threads, at five eighths of the mark
  EXPECT_EQ(host.sent.size(), 12U);
  ASSERT_EQ(host.throttled.size(), 1U);
  EXPECT_EQ(host.throttled[0], &job);
  EXPECT_GT(host.comeBacks[0], 0s);
  host.take(1, 6s);  // 1.5 s: it can be done
  EXPECT_EQ(host.sent.size(), 13U);
}

// An easy day refused 6 % of its jobs for estimates that scatter, while most cores stood idle.
TEST(Hopeless, OneStillRunsWhereCoresStandIdle) {
  FakeHost host(2);
  host.takeMany(4, 0);
  host.site.types[1].jobTimeout = 2s;
  host.take(1, 10s);
  EXPECT_EQ(host.sent.size(), 5U);
  host.takeMany(10, 0);
  host.take(1, 10s);
  EXPECT_EQ(host.throttled.size(), 1U);
}

// The fuller its engine, the less it may be told to take: up to twice the time left at half of the mark.
TEST(Hopeless, ItGoesByHowMuchOfTheMarkIsUsed) {
  FakeHost host(1);
  host.site.types[1].jobTimeout = 2s;
  host.takeMany(4, 0);  // with it, eight threads of sixteen
  host.take(1, 15s);    // 3.75 s on each of its four threads, 2 s are left
  EXPECT_EQ(host.sent.size(), 5U);
  host.endAll();
  host.takeMany(7, 0);  // eleven
  host.take(1, 15s);
  EXPECT_EQ(host.throttled.size(), 1U);
  host.take(1, 11s);
  EXPECT_EQ(host.sent.size(), 13U);
}

TEST(Hopeless, OneIsTriedWhereNothingElseTellsHowDispatchesGo) {
  FakeHost host(2);
  for (int each = 0; each < 12; ++each) {  // all slow by far
    host.take(1, 4s);
    host.pass(19s);
    host.endAll();
  }
  const std::size_t before = host.sent.size();
  host.take(1, 8s);
  EXPECT_EQ(host.sent.size(), before + 1);
  host.takeMany(12, 0);  // no core stands idle
  host.take(1, 8s);
  EXPECT_EQ(host.sent.size(), before + 13);
}

// On a quiet day all that was throttled were such, 255 of 12188: those tried took a third of what was told.
TEST(Hopeless, AnEstimateThatNothingCorrectsIsNoEvidenceWhereEnginesAreSeenIdle) {
  for (const LoadReport* report : {&kIdle, &kFull}) {
    FakeHost host;
    host.site.controllers = 2;
    host.site.reportsOnProbe = host.site.mayProbe = true;
    host.open(2);
    host.take(0);
    for (Engine& each : host.engines) host.controller->probed(host.now, each, true, report);
    host.pass(100ms);
    host.take(1, 90s);
    EXPECT_EQ(host.sent.size(), report == &kIdle ? 2U : 1U);
  }
}

TEST(Runaway, ABadPlanIsWithdrawnByItsNotesAndDrawnAnew) {
  FakeHost host;
  host.site.mayWithdraw = true;
  host.site.progressPace = 1s;
  host.open(2);
  Job& job = host.take(1, 2s);
  host.pass(1500ms);
  host.controller->noted(host.now, *host.sent[0], Note::progress, 0.05);
  host.pass(700ms);  // four times the half second expected
  ASSERT_EQ(host.withdrawn.size(), 1U);
  host.end(*host.sent[0], Outcome::withdrawn);
  EXPECT_EQ(job.dispatches.size(), 2U);
}

TEST(Runaway, AShortJobLeftUnansweredGetsASecondCopyAndTheLoserIsWithdrawn) {
  FakeHost host;
  host.site.mayWithdraw = true;
  host.site.secondCopies = true;
  host.open(2);
  for (int each = 0; each < 25; ++each) {
    Job& usual = host.take(0);
    host.pass(100ms);
    host.end(*usual.dispatches[0]);
  }
  Job& job = host.take(0, 100ms);
  Job& wide = host.take(1, 8s);  // dear to run twice
  host.pass(450ms);              // not overdue yet, but past half its SLA time
  ASSERT_EQ(job.dispatches.size(), 2U);
  EXPECT_NE(job.dispatches[0]->engine, job.dispatches[1]->engine);
  EXPECT_EQ(wide.dispatches.size(), 1U);
  host.end(*job.dispatches[1]);
  ASSERT_EQ(host.withdrawn.size(), 1U);
  EXPECT_EQ(host.withdrawn[0], job.dispatches[0].get());
}

TEST(Runaway, AnEstimateAloneIsNoEvidence) {
  FakeHost host;
  host.site.mayWithdraw = true;  // but no notes
  host.open(2);
  host.take(1, 2s);
  host.takeMany(10, 0);
  host.pass(400ms);
  for (std::size_t each = 1; each < 11; ++each) host.end(*host.sent[each]);
  host.pass(3s);
  EXPECT_TRUE(host.withdrawn.empty());
}

// Hundreds of controllers on dozens of engines: a share is less than a job.
// 29 of 53 engines worked on, but up to a third of their answers never came: those that had lost some were
// held to be full and ill, and what was lost stayed out until its client left.
TEST(Lost, AnswersThatNeverComeAreFoundEarlyAndHeldAgainstNoEngine) {
  for (const bool noted : {false, true}) {
    FakeHost host;
    host.site.progressPace = 1s;
    host.site.types[0].jobTimeout = 2s;
    host.open(4);
    for (int each = 0; each < 4; ++each) {
      host.take(0);
      Dispatch& silent = *host.sent.back();
      host.pass(100ms);
      host.takeMany(12, 0);
      host.pass(100ms);
      for (Dispatch* other : std::vector<Dispatch*>(host.sent))
        if (other->out && other != &silent) host.end(*other);
      host.pass(900ms);
      if (noted) host.controller->noted(host.now, silent, Note::progress, 0.5);
      host.pass(895ms);
      host.controller->ended(host.now, silent, Outcome::timedOut, true, std::nullopt, nullptr);
    }
    double least = 1;
    for (const Engine& each : host.engines) least = std::min(least, each.easing.ease);
    EXPECT_EQ(least < 1, noted);
    const std::size_t before = host.sent.size();
    host.takeMany(20, 0);
    std::size_t own = 0;
    for (std::size_t each = before; each < host.sent.size(); ++each) {
      const Dispatch& sent = *host.sent[each];
      EXPECT_GE(sent.until - sent.sent, 400ms);  // 0.6 of 500 ms and twice 100 ms
      own += sent.until < sent.job->expires;
    }
    ASSERT_EQ(own > 8, !noted);
    EXPECT_LT(own, host.sent.size() - before);  // some tell whether it is over
    if (noted) continue;
    Dispatch& late = **std::find_if(host.sent.begin() + static_cast<std::ptrdiff_t>(before), host.sent.end(),
                                    [](const Dispatch* each) { return each->until < each->job->expires; });
    host.pass(420ms);
    host.end(late, Outcome::timedOut);
    EXPECT_EQ(late.job->dispatches.size(), 2U);
  }
}

struct ThinHost : FakeHost {
  ThinHost() {
    site.controllers = 150;
    open(20);
  }
  auto reached() const {
    return std::count_if(engines.begin(), engines.end(),
                         [](const Engine& each) { return !each.warmSets.empty(); });
  }
};

TEST(Thin, AControllerSendsOnUntilItsOwnMeanFillsTheFleetForAllThen) {
  ThinHost host, burst;
  EXPECT_LE(burst.takeMany(6, 1), 3U);  // all at once, before the mean tells of it
  EXPECT_EQ(host.takeMany(1, 1), 1U);
  host.pass(2s);  // if all 150 do so, 20 engines of 8 cores hold 600 threads
  EXPECT_EQ(host.takeMany(1, 1), 0U);
  EXPECT_EQ(host.throttled.size(), 1U);
  EXPECT_EQ(host.takeMany(2, 0), 2U);  // no guess shuts the floor of short jobs
  EXPECT_EQ(host.takeMany(9, 0), 0U);  // but its part of all marks does: 20 x 8 x 2 / 150
  host.endAll();
  host.pass(5s);  // its mean has run dry
  EXPECT_EQ(host.takeMany(1, 1), 1U);
}

TEST(Thin, AControllerKeepsToAPartOfTheFleetThatItsTrafficSeesAfresh) {
  ThinHost light, heavy;
  for (int each = 0; each < 20; ++each)
    for (ThinHost* host : {&light, &heavy}) {
      host->takeMany(host == &light ? 1 : 30, 0);
      host->pass(500ms);
      host->endAll();
    }
  EXPECT_LE(light.reached(), 6);
  EXPECT_GT(heavy.reached(), 15);
}

TEST(Thin, AControllerThatShedsByAnOldWordTriesAgain) {
  ThinHost host;
  for (int each = 0; each < 10; ++each) {
    host.takeMany(1, 0);
    host.pass(100ms);
    host.endAll(Outcome::done, &kFull);
  }
  EXPECT_EQ(host.takeMany(1, 1), 0U);
  host.pass(60s);  // nothing taken, nothing heard
  EXPECT_EQ(host.takeMany(1, 1), 1U);
}

TEST(Thin, PeersAreNotToldOfSharesUnderAJobAndProbesFollowTheJobs) {
  ThinHost host;
  host.site.mayTellPeers = host.site.mayProbe = host.site.reportsOnProbe = true;
  host.pass(5s);
  EXPECT_EQ(host.story, "");  // nothing taken, nothing asked
  host.takeMany(4, 0);
  host.pass(2s);
  EXPECT_EQ(std::count(host.story.begin(), host.story.end(), 'b'), 2);  // of "probe"
  EXPECT_EQ(host.told, 0);
}

TEST(Stall, ItsOwnStandingStillIsNoEvidenceAgainstAnEngine) {
  FakeHost host(1);
  host.takeMany(4, 0);
  host.pass(100ms);
  host.now += 2s;  // no turn; then all at once
  host.endAll();
  EXPECT_EQ(host.engines[0].easing.ease, 1);
  EXPECT_FALSE(host.engines[0].trialAt);
}

TEST(Reports, AnEngineThatTurnsJobsAwayCountsAsFull) {
  FakeHost host;
  host.site.controllers = 2;
  host.open(2);
  host.takeMany(4, 0);
  host.endAll(Outcome::done, &kIdle);
  host.take(0);
  Engine* full = host.sent.back()->engine;
  host.end(*host.sent.back(), Outcome::turnedAway);
  EXPECT_GT(full->othersThreads, 16);
}

}  // namespace
}  // namespace paddletrack
