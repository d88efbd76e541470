// The drain's decisions: by story, and by long random walks.
#include "drain/drain.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "drain/outlook.hpp"
#include "drain/roll.hpp"
#include "fake_host.hpp"

namespace paddletrack::drain {
namespace {

using namespace std::chrono_literals;

struct One {
  explicit One(Terms terms = {800ms, 20s, 1h, 2s}) : drain(terms) {}
  Drain::Act at(Span moment, std::size_t jobs = 0, std::size_t unsent = 0) {
    now = moment;
    books.jobs = jobs;
    books.unsent = unsent;
    return drain.look(now, books);
  }
  void ask(std::optional<Span> deadline = {}) {
    EXPECT_EQ(drain.ask(now, deadline, {}, books), Refusal::none);
  }
  Drain drain;
  Books books;
  Span now{0};
};

TEST(Drain, BadHeartbeatsFirstThenNewJobsAreTurnedAwayThenNothingIsOwed) {
  One one;
  EXPECT_TRUE(one.drain.beat(0s));
  one.at(1s, 3);
  one.ask();
  EXPECT_FALSE(one.drain.turnsAway());
  EXPECT_FALSE(one.drain.beat(1100ms));
  one.at(1899ms, 3);
  EXPECT_FALSE(one.drain.turnsAway());  // the front layer has not noticed
  one.at(1900ms, 3);
  EXPECT_EQ(one.drain.state(), State::closing);
  EXPECT_EQ(one.drain.turnsAway(), 2s);
  one.at(3s, 0, 10);  // an answer is still being written
  EXPECT_EQ(one.drain.state(), State::closing);
  one.at(3100ms, 0, 0);
  EXPECT_EQ(one.drain.state(), State::drained);
  EXPECT_EQ(one.drain.course()->drained, 3100ms);
  EXPECT_FALSE(one.drain.course()->missed);
  EXPECT_FALSE(one.drain.nextLook(4s));
}

TEST(Drain, WithoutAFrontLayerItClosesAllTheSame) {
  One one;
  one.ask();
  one.at(1599ms, 1);
  EXPECT_EQ(one.drain.state(), State::leaving);
  one.at(1600ms, 1);
  EXPECT_EQ(one.drain.state(), State::closing);
}

TEST(Drain, TheDeadlineEndsWhatIsOpenAndWhoDoesNotReadDoesNotHoldIt) {
  One one;
  one.at(0s, 4);
  one.ask(5s);
  EXPECT_FALSE(one.at(4999ms, 4).endJobs);
  EXPECT_TRUE(one.at(5s, 4).endJobs);
  EXPECT_FALSE(one.at(5s, 0, 99).endJobs);
  EXPECT_EQ(one.drain.state(), State::ending);
  one.at(5799ms, 0, 99);
  EXPECT_EQ(one.drain.state(), State::ending);
  one.at(5800ms, 0, 99);
  EXPECT_EQ(one.drain.state(), State::drained);
  EXPECT_TRUE(one.drain.course()->missed);
  EXPECT_EQ(one.drain.course()->endedByDeadline, 4U);
}

// A process that stood still once ended at its first look, with requests unread that had come meanwhile.
TEST(Drain, AProcessThatStoodStillReadsOnBeforeItEnds) {
  One one;
  one.drain.stop(0s, 2s);
  EXPECT_FALSE(one.at(0s).exit);
  EXPECT_FALSE(one.at(900ms).exit);  // 140 ms late
  EXPECT_GT(one.drain.nextLook(900ms), 920ms);
  EXPECT_FALSE(one.at(940ms, 1).exit);  // one had come
  EXPECT_TRUE(one.at(960ms).exit);
  One other;
  other.drain.stop(0s, 2s);
  other.at(0s, 3);
  EXPECT_FALSE(other.at(5s, 3, 0).exit);  // past its last moment: answers are still to be made
  EXPECT_TRUE(other.at(*other.drain.nextLook(5s), 0, 0).exit);
}

TEST(Drain, WhoHasJustComeIsHeardBeforeTheEnd) {
  One one;
  one.drain.stop(0s, 2s);
  one.at(0s);
  one.books.coming = 1;
  EXPECT_FALSE(one.at(760ms).exit);
  one.books.coming = 0;
  EXPECT_TRUE(one.at(780ms).exit);
}

TEST(Drain, ADeadlineOfNothingEndsAllAtOnce) {
  One one;
  one.at(3s, 2);
  one.ask(0s);
  EXPECT_TRUE(one.at(3s, 2).endJobs);
  one.at(3s, 0);
  EXPECT_EQ(one.drain.state(), State::drained);
  One idle;
  idle.ask(0s);
  idle.at(0s);
  EXPECT_EQ(idle.drain.state(), State::drained);
  EXPECT_FALSE(idle.drain.course()->missed);
}

TEST(Drain, WhatCantBeMeantIsRefusedAndChangesNothing) {
  One one;
  EXPECT_EQ(one.drain.ask(0s, -1ms, {}, {}), Refusal::badDeadline);
  EXPECT_EQ(one.drain.ask(0s, 61min, {}, {}), Refusal::badDeadline);
  EXPECT_EQ(one.drain.ask(0s, {}, -1ms, {}), Refusal::badComeBack);
  EXPECT_EQ(one.drain.cancel(0s), Refusal::notDraining);
  EXPECT_EQ(one.drain.state(), State::serving);
  EXPECT_FALSE(one.drain.course());
}

TEST(Drain, AskedAgainItTakesTheNewDeadlineAndStaysOneDrain) {
  One one;
  one.at(0s, 1);
  one.ask(10s);
  one.at(1s, 1);
  one.ask();  // no word of a deadline: it stays
  EXPECT_EQ(one.drain.course()->deadline, 10s);
  one.ask(2s);
  EXPECT_EQ(one.drain.course()->deadline, 3s);
  one.ask(30s);
  EXPECT_EQ(one.drain.course()->deadline, 31s);
  EXPECT_EQ(one.drain.course()->number, 1U);
  one.at(31s, 1);
  one.ask(60s);  // too late
  EXPECT_EQ(one.drain.course()->deadline, 31s);
  EXPECT_EQ(one.drain.state(), State::ending);
}

TEST(Drain, CancelledInAnyStateItServesFromTheNextBeat) {
  for (const Span when : std::initializer_list<Span>{0ms, 900ms, 1700ms, 5s, 7s}) {
    One one;
    one.at(0s, when >= 7s ? 0 : 1);
    one.ask(5s);
    one.at(when, when >= 5s ? 0 : 1, when == 5s ? 9 : 0);
    const State state = one.drain.state();
    EXPECT_EQ(one.drain.cancel(when), Refusal::none) << nameOf(state);
    EXPECT_FALSE(one.drain.turnsAway());
    EXPECT_EQ(one.drain.state(), State::comingBack);
    EXPECT_TRUE(one.drain.beat(when + 1ms));
    EXPECT_EQ(one.drain.state(), State::serving);
    EXPECT_FALSE(one.at(20s, 5).endJobs);  // the old deadline means nothing
    EXPECT_EQ(one.drain.cancel(20s), Refusal::notDraining);
  }
}

TEST(Drain, SigtermWhileDrainingTheEarlierEndHolds) {
  One late;
  late.at(0s, 1);
  late.ask(20s);
  late.at(1s, 1);
  late.drain.stop(1s, 10s);
  EXPECT_EQ(late.drain.answersBy(), 4100ms);
  EXPECT_EQ(late.drain.course()->deadline, 4100ms);
  EXPECT_EQ(late.drain.cancel(2s), Refusal::stopping);
  EXPECT_TRUE(late.at(4100ms, 1).endJobs);
  EXPECT_TRUE(late.at(4100ms, 0).exit);
  One early;
  early.at(0s, 1);
  early.ask(2s);
  early.drain.stop(1s, 10s);
  EXPECT_TRUE(early.at(2s, 1).endJobs);
  EXPECT_TRUE(early.at(2s, 0).exit);
  One none;  // as before there was a drain
  none.drain.stop(0s, 10s);
  EXPECT_FALSE(none.drain.beat(1ms));
  EXPECT_FALSE(none.drain.turnsAway());
  EXPECT_FALSE(none.at(759ms, 0).exit);
  EXPECT_TRUE(none.at(760ms, 0).exit);
  EXPECT_FALSE(none.at(3350ms, 1).exit);
  EXPECT_FALSE(none.at(3399ms, 1).exit);
  EXPECT_TRUE(none.at(3400ms, 1).exit);
  One after;
  after.drain.stop(0s, 10s);
  after.ask(20s);  // asked after it: never longer than the process lives
  EXPECT_EQ(after.drain.course()->deadline, 3100ms);
}

// Any order of all that can happen, over simulated jobs: each gets one outcome, none is ended before the
// deadline, every state has a way out, and SIGTERM always ends it in time.
RC_GTEST_PROP(DrainWalk, EachJobOneOutcomeAndEveryStateAWayOut, ()) {
  const Terms terms{800ms, 20s, 1h, 2s};
  Drain drain(terms);
  std::vector<unsigned> outcomes;
  std::vector<std::size_t> open;
  Span now{0};
  std::optional<Span> sigterm;
  bool exited = false;
  std::uint64_t deadlineEnds = 0;
  const auto books = [&] {
    Books made;
    made.jobs = open.size();
    return made;
  };
  const auto settle = [&] {
    for (int round = 0; round < 2 && !exited; ++round) {
      const Drain::Act act = drain.look(now, books());
      exited = act.exit;
      if (!act.endJobs) return;
      RC_ASSERT(drain.course() && now >= drain.course()->deadline);
      RC_ASSERT(drain.state() == State::ending);
      for (const std::size_t each : open) ++outcomes[each], ++deadlineEnds;
      open.clear();
    }
    RC_ASSERT(exited || !drain.look(now, books()).endJobs);
  };
  const int steps = *rc::gen::inRange(20, 300);
  for (int step = 0; step < steps && !exited; ++step) {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        drain.ask(now,
                  *rc::gen::element<std::optional<Span>>(std::nullopt, Span{0}, Span{500ms}, Span{3s},
                                                         Span{-1s}, Span{2h}),
                  std::nullopt, books());
        break;
      case 1: {
        const bool could = drain.underWay() || drain.state() == State::drained;
        const Refusal refused = drain.cancel(now);
        RC_ASSERT((refused == Refusal::none) == (could && !sigterm));
        break;
      }
      case 2:
        if (*rc::gen::inRange(0, 12) == 0 && !sigterm) sigterm = now, drain.stop(now, 10s);
        break;
      case 3: {
        const bool good = drain.beat(now);
        RC_ASSERT(good == (drain.state() == State::serving));
        if (good) RC_ASSERT(!drain.turnsAway() && !sigterm);
        break;
      }
      case 4:
      case 5:
      case 6:  // a job comes
        outcomes.push_back(0);
        if (drain.turnsAway()) {
          ++outcomes.back();
        } else {
          RC_ASSERT(drain.state() != State::drained && drain.state() != State::ending);
          open.push_back(outcomes.size() - 1);
        }
        break;
      case 7:
        if (!open.empty()) {
          ++outcomes[open.back()];
          open.pop_back();
        }
        break;
      default: {
        const Span pass = *rc::gen::element(Span{1ms}, Span{20ms}, Span{400ms}, Span{900ms}, Span{4s});
        const auto next = drain.nextLook(now);
        now = next ? std::min(now + pass, std::max(*next, now + Span{1})) : now + pass;
      }
    }
    settle();
    if (drain.state() == State::drained) RC_ASSERT(open.empty());
    if (sigterm) RC_ASSERT(now <= *sigterm + 3400ms + 4s);
  }
  // The way out: time alone ends a drain; a cancel and a beat bring it back, unless the process is to end.
  if (!exited && sigterm) {
    now = std::max(now, *sigterm + 3400ms);
    settle();
    RC_ASSERT(exited);
  } else if (!exited) {
    if (drain.underWay()) {
      for (int look = 0; look < 4 && drain.state() != State::drained; ++look) {
        now = std::max(now, drain.course()->deadline) + 800ms;
        settle();
      }
      RC_ASSERT(drain.state() == State::drained && open.empty());
    }
    drain.cancel(now);
    RC_ASSERT(drain.beat(now) && drain.state() == State::serving);
  }
  for (std::size_t each = 0; each < outcomes.size(); ++each)
    RC_ASSERT(outcomes[each] == (std::count(open.begin(), open.end(), each) > 0 ? 0U : 1U));
}

// ---- the expected end ----------------------------------------------------------------------------------

TEST(Outlook, TellsHowLongJobsLikeItTookAndNeverMoreThanIsLeft) {
  Outlook outlook(2);
  EXPECT_FALSE(outlook.end({}));
  EXPECT_EQ(outlook.end({{0, 1s, 9s}})->in, 9s);  // nothing is known: its time-out
  EXPECT_EQ(outlook.end({{0, 1s, 9s}})->from, 0U);
  for (int each = 0; each < 100; ++each) outlook.done(0, each < 50 ? 100ms : 4s);
  const auto young = outlook.end({{0, 0s, 30s}});
  EXPECT_GE(young->in, 4s);
  EXPECT_LE(young->in, 4800ms);
  EXPECT_EQ(young->from, 100U);
  const auto old = outlook.end({{0, 3s, 30s}, {0, 0s, 800ms}});
  EXPECT_GE(old->in, 1s);
  EXPECT_LE(old->in, 1800ms);
  EXPECT_EQ(old->from, 50U);  // of those that took longer than 3 s
  EXPECT_EQ(outlook.end({{0, 0s, 800ms}})->in, 800ms);
  EXPECT_EQ(outlook.end({{0, 10s, 20s}})->from, 0U);  // it has outlasted all
}

// ---- one after the other -------------------------------------------------------------------------------

struct Rolling {
  Rolling(std::size_t count, bool restarts = false) : roll(count, {20s, 2s, 30s, restarts}), seen(count) {
    for (std::size_t each = 0; each < count; ++each) set(each, "serving", 0, 100 + each);
  }
  void set(std::size_t one, const char* state, std::uint64_t drain, std::uint64_t process,
           bool missed = false) {
    seen[one] = {true, state, drain, missed, process};
  }
  Roll::Do look(Span pass = 50ms) {
    now += pass;
    for (std::size_t each = 0; each < seen.size(); ++each) roll.saw(each, seen[each]);
    const Roll::Act act = roll.look(now);
    which = act.which;
    return act.what;
  }
  Roll roll;
  std::vector<Seen> seen;
  std::size_t which = 0;
  Span now{0};
};

TEST(Roll, OneIsOutAtATimeAndTheNextWaitsForItsReturn) {
  Rolling all(2);
  EXPECT_EQ(all.look(), Roll::Do::ask);
  all.set(0, "closing", 1, 100);
  EXPECT_EQ(all.look(), Roll::Do::wait);
  all.set(0, "drained", 1, 100);
  EXPECT_EQ(all.look(), Roll::Do::bringBack);
  EXPECT_EQ(all.look(), Roll::Do::wait);  // once only
  all.set(0, "coming-back", 1, 100);
  EXPECT_EQ(all.look(), Roll::Do::wait);
  all.set(0, "serving", 1, 100);
  EXPECT_EQ(all.look(), Roll::Do::ask);
  EXPECT_EQ(all.which, 1U);
  all.set(1, "drained", 1, 101);
  EXPECT_EQ(all.look(), Roll::Do::bringBack);
  all.set(1, "serving", 1, 101);
  EXPECT_EQ(all.look(), Roll::Do::finished);
  EXPECT_EQ(all.roll.back(), 2U);
}

TEST(Roll, AMissBringsItBackAndTouchesNoOther) {
  Rolling all(3);
  all.look();
  all.set(0, "drained", 1, 100, true);
  EXPECT_EQ(all.look(), Roll::Do::bringBack);
  EXPECT_EQ(all.look(), Roll::Do::wait);
  all.set(0, "serving", 1, 100, true);
  EXPECT_EQ(all.look(), Roll::Do::failed);
  EXPECT_EQ(all.roll.why(), "its deadline found jobs open");
  EXPECT_EQ(all.look(), Roll::Do::failed);
}

TEST(Roll, BeginsOnlyWhereAllServeAndStopsWhenOneIsLost) {
  Rolling down(2);
  down.seen[1] = {};
  EXPECT_EQ(down.look(), Roll::Do::failed);
  EXPECT_EQ(down.roll.why(), "it does not answer");
  Rolling lost(2);
  lost.look();
  lost.seen[0] = {};
  EXPECT_EQ(lost.look(21s), Roll::Do::wait);
  EXPECT_EQ(lost.look(1s), Roll::Do::bringBack);
  EXPECT_EQ(lost.look(31s), Roll::Do::failed);
  EXPECT_EQ(lost.roll.why(), "it stopped answering while it drained; and it could not be brought back");
  Rolling taken(1);
  taken.look();
  taken.set(0, "serving", 1, 100);
  EXPECT_EQ(taken.look(), Roll::Do::bringBack);
  EXPECT_EQ(taken.look(), Roll::Do::failed);
  EXPECT_EQ(taken.roll.why(), "somebody cancelled its drain");
}

TEST(Roll, WhatIsDoneToEachMayStartItAnew) {
  Rolling all(1, true);
  all.look();
  all.set(0, "drained", 1, 100);
  EXPECT_EQ(all.look(), Roll::Do::work);
  all.roll.worked(true);
  all.seen[0] = {};
  EXPECT_EQ(all.look(), Roll::Do::wait);
  all.set(0, "serving", 0, 777);
  EXPECT_EQ(all.look(), Roll::Do::finished);
  Rolling bad(1, true);
  bad.look();
  bad.set(0, "drained", 1, 100);
  bad.look();
  bad.roll.worked(false);
  EXPECT_EQ(bad.look(), Roll::Do::bringBack);
}

}  // namespace
}  // namespace paddletrack::drain

namespace paddletrack {
namespace {

// ---- what the decision module answers when jobs are let go ---------------------------------------------

struct LettingGo : FakeHost {
  explicit LettingGo(Effect effect) {
    for (ReservationType& type : site.types) {
      type.effect = effect;
      type.repeatGroup = RepeatGroup::cell;
      type.repeatWindow = 60s;
    }
    open(2);
  }
  bool takeBack(Dispatch&) override { return stillHere; }
  bool stillHere = false;
};

TEST(LetGo, ThrottledOnlyWhereItIsProvenNotToHaveRun) {
  for (const Effect effect : {Effect::restartable, Effect::keyed, Effect::runOnce})
    for (const bool left : {false, true}) {
      LettingGo host(effect);
      host.stillHere = !left;
      Job& job = host.take(1);
      ASSERT_EQ(host.sent.size(), 1U);
      host.controller->letGo(host.now, {&job});
      const bool harmless = !left || effect == Effect::restartable;
      EXPECT_EQ(host.throttled.size(), harmless ? 1U : 0U);
      EXPECT_EQ(host.cancelled.size(), harmless ? 0U : 1U);
      host.end(*host.sent[0], left ? Outcome::withdrawn : Outcome::neverSent);
      host.controller->letGo(host.now, {&job});  // it is over
      host.pass(1s);
      EXPECT_EQ(host.throttled.size() + host.cancelled.size(), 1U);
      EXPECT_EQ(host.sent.size(), 1U);
    }
}

// One that waits its turn, or in the queue, was never sent; what the first frees starts nothing that is let
// go too.
TEST(LetGo, JobsInLineAndInTheQueueAreThrottledAndNothingIsStarted) {
  FakeHost host;
  host.site.types[0].inOrder = true;
  host.site.types[0].effect = Effect::runOnce;
  host.site.keyRest = 300ms;
  host.open(1);
  std::vector<Job*> jobs;
  for (int each = 0; each < 4; ++each) jobs.push_back(&host.take(0, 100ms, 77));
  ASSERT_EQ(host.sent.size(), 1U);
  host.controller->letGo(host.now, jobs);
  EXPECT_EQ(host.cancelled.size(), 1U);
  EXPECT_EQ(host.throttled.size(), 3U);
  host.end(*host.sent[0], Outcome::withdrawn);
  host.pass(2s);
  EXPECT_EQ(host.sent.size(), 1U);
  host.take(0, 100ms, 77);  // the key is free again after its rest
  EXPECT_EQ(host.sent.size(), 2U);
}

}  // namespace
}  // namespace paddletrack
