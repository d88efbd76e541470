// The drain's decisions: by story, and by long random walks.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "drain/completion_estimator.hpp"
#include "drain/drain_state_machine.hpp"
#include "drain/rolling_drain.hpp"
#include "support/fake_admission_host.hpp"

namespace paddletrack::drain {
namespace {

using namespace std::chrono_literals;

struct DrainFixture {
  explicit DrainFixture(Options options = {800ms, 20s, 1h, 2s}) : progress(options) {}
  DrainStateMachine::Actions advanceTo(Duration time, std::size_t openRequests = 0,
                                       std::size_t unsentBytes = 0) {
    now = time;
    openWork.openRequests = openRequests;
    openWork.unsentBytes = unsentBytes;
    return progress.advance(now, openWork);
  }
  void requestDrain(std::optional<Duration> deadline = {}) {
    EXPECT_EQ(progress.requestDrain(now, deadline, {}, openWork), DrainError::none);
  }
  DrainStateMachine progress;
  OpenWork openWork;
  Duration now{0};
};

TEST(DrainProgress, FailsHeartbeatsThenRejectsThenDrainsWhenRequested) {
  DrainFixture one;
  EXPECT_TRUE(one.progress.onHeartbeat(0s));
  one.advanceTo(1s, 3);
  one.requestDrain();
  EXPECT_FALSE(one.progress.rejectionRetryAfter());
  EXPECT_FALSE(one.progress.onHeartbeat(1100ms));
  one.advanceTo(1899ms, 3);
  EXPECT_FALSE(one.progress.rejectionRetryAfter());  // the front layer has not noticed
  one.advanceTo(1900ms, 3);
  EXPECT_EQ(one.progress.state(), State::closing);
  EXPECT_EQ(one.progress.rejectionRetryAfter(), 2s);
  one.advanceTo(3s, 0, 10);  // an answer is still being written
  EXPECT_EQ(one.progress.state(), State::closing);
  one.advanceTo(3100ms, 0, 0);
  EXPECT_EQ(one.progress.state(), State::drained);
  EXPECT_EQ(one.progress.progress()->drainedAt, 3100ms);
  EXPECT_FALSE(one.progress.progress()->deadlineMissed);
  EXPECT_FALSE(one.progress.nextAdvanceAt(4s));
}

TEST(DrainProgress, ClosesAfterNoticePeriodWhenNoHeartbeatArrives) {
  DrainFixture one;
  one.requestDrain();
  one.advanceTo(1599ms, 1);
  EXPECT_EQ(one.progress.state(), State::leaving);
  one.advanceTo(1600ms, 1);
  EXPECT_EQ(one.progress.state(), State::closing);
}

TEST(DrainProgress, EndsOpenRequestsAndWaitsNoLongerForUnreadBytesWhenDeadlinePasses) {
  DrainFixture one;
  one.advanceTo(0s, 4);
  one.requestDrain(5s);
  EXPECT_FALSE(one.advanceTo(4999ms, 4).shouldEndRequests);
  EXPECT_TRUE(one.advanceTo(5s, 4).shouldEndRequests);
  EXPECT_FALSE(one.advanceTo(5s, 0, 99).shouldEndRequests);
  EXPECT_EQ(one.progress.state(), State::ending);
  one.advanceTo(5799ms, 0, 99);
  EXPECT_EQ(one.progress.state(), State::ending);
  one.advanceTo(5800ms, 0, 99);
  EXPECT_EQ(one.progress.state(), State::drained);
  EXPECT_TRUE(one.progress.progress()->deadlineMissed);
  EXPECT_EQ(one.progress.progress()->requestsEndedByDeadline, 4U);
}

// A process that stood still once ended at its first look, with requests unread that had come meanwhile.
TEST(DrainProgress, LooksOnceMoreBeforeExitWhenProcessStalled) {
  DrainFixture one;
  one.progress.onTerminate(0s, 2s);
  EXPECT_FALSE(one.advanceTo(0s).shouldExit);
  EXPECT_FALSE(one.advanceTo(900ms).shouldExit);  // 140 ms late
  EXPECT_GT(one.progress.nextAdvanceAt(900ms), 920ms);
  EXPECT_FALSE(one.advanceTo(940ms, 1).shouldExit);  // one had come
  EXPECT_TRUE(one.advanceTo(960ms).shouldExit);
  DrainFixture other;
  other.progress.onTerminate(0s, 2s);
  other.advanceTo(0s, 3);
  EXPECT_FALSE(other.advanceTo(5s, 3, 0).shouldExit);  // past its last moment: answers are still to be made
  EXPECT_TRUE(other.advanceTo(*other.progress.nextAdvanceAt(5s), 0, 0).shouldExit);
}

TEST(DrainProgress, DelaysExitWhenConnectionsAreArriving) {
  DrainFixture one;
  one.progress.onTerminate(0s, 2s);
  one.advanceTo(0s);
  one.openWork.incomingClients = 1;
  EXPECT_FALSE(one.advanceTo(760ms).shouldExit);
  one.openWork.incomingClients = 0;
  EXPECT_TRUE(one.advanceTo(780ms).shouldExit);
}

TEST(DrainProgress, EndsRequestsImmediatelyWhenDeadlineIsZero) {
  DrainFixture one;
  one.advanceTo(3s, 2);
  one.requestDrain(0s);
  EXPECT_TRUE(one.advanceTo(3s, 2).shouldEndRequests);
  one.advanceTo(3s, 0);
  EXPECT_EQ(one.progress.state(), State::drained);
  DrainFixture idle;
  idle.requestDrain(0s);
  idle.advanceTo(0s);
  EXPECT_EQ(idle.progress.state(), State::drained);
  EXPECT_FALSE(idle.progress.progress()->deadlineMissed);
}

TEST(DrainProgress, RefusesWithoutStateChangeWhenRequestIsInvalid) {
  DrainFixture one;
  EXPECT_EQ(one.progress.requestDrain(0s, -1ms, {}, {}), DrainError::invalidDeadline);
  EXPECT_EQ(one.progress.requestDrain(0s, 61min, {}, {}), DrainError::invalidDeadline);
  EXPECT_EQ(one.progress.requestDrain(0s, {}, -1ms, {}), DrainError::invalidRetryAfter);
  EXPECT_EQ(one.progress.cancelDrain(0s), DrainError::notDraining);
  EXPECT_EQ(one.progress.state(), State::serving);
  EXPECT_FALSE(one.progress.progress());
}

TEST(DrainProgress, TakesNewDeadlineAndStaysOneDrainWhenRequestedAgain) {
  DrainFixture one;
  one.advanceTo(0s, 1);
  one.requestDrain(10s);
  one.advanceTo(1s, 1);
  one.requestDrain();  // no word of a deadline: it stays
  EXPECT_EQ(one.progress.progress()->deadline, 10s);
  one.requestDrain(2s);
  EXPECT_EQ(one.progress.progress()->deadline, 3s);
  one.requestDrain(30s);
  EXPECT_EQ(one.progress.progress()->deadline, 31s);
  EXPECT_EQ(one.progress.progress()->number, 1U);
  one.advanceTo(31s, 1);
  one.requestDrain(60s);  // too late
  EXPECT_EQ(one.progress.progress()->deadline, 31s);
  EXPECT_EQ(one.progress.state(), State::ending);
}

TEST(DrainProgress, ServesFromNextHeartbeatWhenCancelledInAnyState) {
  for (const Duration when : std::initializer_list<Duration>{0ms, 900ms, 1700ms, 5s, 7s}) {
    DrainFixture one;
    one.advanceTo(0s, when >= 7s ? 0 : 1);
    one.requestDrain(5s);
    one.advanceTo(when, when >= 5s ? 0 : 1, when == 5s ? 9 : 0);
    const State state = one.progress.state();
    EXPECT_EQ(one.progress.cancelDrain(when), DrainError::none) << nameOf(state);
    EXPECT_FALSE(one.progress.rejectionRetryAfter());
    EXPECT_EQ(one.progress.state(), State::comingBack);
    EXPECT_TRUE(one.progress.onHeartbeat(when + 1ms));
    EXPECT_EQ(one.progress.state(), State::serving);
    EXPECT_FALSE(one.advanceTo(20s, 5).shouldEndRequests);  // the old deadline means nothing
    EXPECT_EQ(one.progress.cancelDrain(20s), DrainError::notDraining);
  }
}

TEST(DrainProgress, KeepsEarlierDeadlineWhenStopped) {
  DrainFixture late;
  late.advanceTo(0s, 1);
  late.requestDrain(20s);
  late.advanceTo(1s, 1);
  late.progress.onTerminate(1s, 10s);
  EXPECT_EQ(late.progress.responseDeadline(), 4100ms);
  EXPECT_EQ(late.progress.progress()->deadline, 4100ms);
  EXPECT_EQ(late.progress.cancelDrain(2s), DrainError::stopping);
  EXPECT_TRUE(late.advanceTo(4100ms, 1).shouldEndRequests);
  EXPECT_TRUE(late.advanceTo(4100ms, 0).shouldExit);
  DrainFixture early;
  early.advanceTo(0s, 1);
  early.requestDrain(2s);
  early.progress.onTerminate(1s, 10s);
  EXPECT_TRUE(early.advanceTo(2s, 1).shouldEndRequests);
  EXPECT_TRUE(early.advanceTo(2s, 0).shouldExit);
  DrainFixture none;  // as before there was a drain
  none.progress.onTerminate(0s, 10s);
  EXPECT_FALSE(none.progress.onHeartbeat(1ms));
  EXPECT_FALSE(none.progress.rejectionRetryAfter());
  EXPECT_FALSE(none.advanceTo(759ms, 0).shouldExit);
  EXPECT_TRUE(none.advanceTo(760ms, 0).shouldExit);
  EXPECT_FALSE(none.advanceTo(3350ms, 1).shouldExit);
  EXPECT_FALSE(none.advanceTo(3399ms, 1).shouldExit);
  EXPECT_TRUE(none.advanceTo(3400ms, 1).shouldExit);
  DrainFixture after;
  after.progress.onTerminate(0s, 10s);
  after.requestDrain(20s);  // asked after it: never longer than the process lives
  EXPECT_EQ(after.progress.progress()->deadline, 3100ms);
}

// Any order of all that can happen, over simulated jobs: each gets one outcome, none is ended before the
// deadline, every state has a way out, and SIGTERM always ends it in time.
RC_GTEST_PROP(DrainProgressProperty, GivesEachRequestOneOutcomeAndAlwaysEndsWhenEventsAreRandom, ()) {
  const Options terms{800ms, 20s, 1h, 2s};
  DrainStateMachine drain(terms);
  std::vector<unsigned> outcomes;
  std::vector<std::size_t> open;
  Duration now{0};
  std::optional<Duration> sigterm;
  bool exited = false;
  std::uint64_t deadlineEnds = 0;
  const auto books = [&] {
    OpenWork made;
    made.openRequests = open.size();
    return made;
  };
  const auto settle = [&] {
    for (int round = 0; round < 2 && !exited; ++round) {
      const DrainStateMachine::Actions act = drain.advance(now, books());
      exited = act.shouldExit;
      if (!act.shouldEndRequests) return;
      RC_ASSERT(drain.progress() && now >= drain.progress()->deadline);
      RC_ASSERT(drain.state() == State::ending);
      for (const std::size_t index : open) ++outcomes[index], ++deadlineEnds;
      open.clear();
    }
    RC_ASSERT(exited || !drain.advance(now, books()).shouldEndRequests);
  };
  const int steps = *rc::gen::inRange(20, 300);
  for (int step = 0; step < steps && !exited; ++step) {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        drain.requestDrain(
            now,
            *rc::gen::element<std::optional<Duration>>(std::nullopt, Duration{0}, Duration{500ms},
                                                       Duration{3s}, Duration{-1s}, Duration{2h}),
            std::nullopt, books());
        break;
      case 1: {
        const bool could = drain.isDraining() || drain.state() == State::drained;
        const DrainError refused = drain.cancelDrain(now);
        RC_ASSERT((refused == DrainError::none) == (could && !sigterm));
        break;
      }
      case 2:
        if (*rc::gen::inRange(0, 12) == 0 && !sigterm) sigterm = now, drain.onTerminate(now, 10s);
        break;
      case 3: {
        const bool good = drain.onHeartbeat(now);
        RC_ASSERT(good == (drain.state() == State::serving));
        if (good) RC_ASSERT(!drain.rejectionRetryAfter() && !sigterm);
        break;
      }
      case 4:
      case 5:
      case 6:  // a job comes
        outcomes.push_back(0);
        if (drain.rejectionRetryAfter()) {
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
        const Duration pass =
            *rc::gen::element(Duration{1ms}, Duration{20ms}, Duration{400ms}, Duration{900ms}, Duration{4s});
        const auto next = drain.nextAdvanceAt(now);
        now = next ? std::min(now + pass, std::max(*next, now + Duration{1})) : now + pass;
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
    if (!exited) now = *drain.nextAdvanceAt(now), settle();  // the look was late: it reads on first, once
    RC_ASSERT(exited);
  } else if (!exited) {
    if (drain.isDraining()) {
      for (int look = 0; look < 4 && drain.state() != State::drained; ++look) {
        now = std::max(now, drain.progress()->deadline) + 800ms;
        settle();
      }
      RC_ASSERT(drain.state() == State::drained && open.empty());
    }
    drain.cancelDrain(now);
    RC_ASSERT(drain.onHeartbeat(now) && drain.state() == State::serving);
  }
  for (std::size_t index = 0; index < outcomes.size(); ++index)
    RC_ASSERT(outcomes[index] == (std::count(open.begin(), open.end(), index) > 0 ? 0U : 1U));
}

// ---- the expected end ----------------------------------------------------------------------------------

TEST(CompletionEstimator, PredictsFromSimilarRequestsWithinTimeLeftWhenHistoryExists) {
  CompletionEstimator outlook(2);
  EXPECT_FALSE(outlook.estimateCompletion({}));
  EXPECT_EQ(outlook.estimateCompletion({{0, 1s, 9s}})->remaining, 9s);  // nothing is known: its time-out
  EXPECT_EQ(outlook.estimateCompletion({{0, 1s, 9s}})->sampleCount, 0U);
  for (int index = 0; index < 100; ++index) outlook.recordCompletion(0, index < 50 ? 100ms : 4s);
  const auto young = outlook.estimateCompletion({{0, 0s, 30s}});
  EXPECT_GE(young->remaining, 4s);
  EXPECT_LE(young->remaining, 4800ms);
  EXPECT_EQ(young->sampleCount, 100U);
  const auto old = outlook.estimateCompletion({{0, 3s, 30s}, {0, 0s, 800ms}});
  EXPECT_GE(old->remaining, 1s);
  EXPECT_LE(old->remaining, 1800ms);
  EXPECT_EQ(old->sampleCount, 50U);  // of those that took longer than 3 s
  EXPECT_EQ(outlook.estimateCompletion({{0, 0s, 800ms}})->remaining, 800ms);
  EXPECT_EQ(outlook.estimateCompletion({{0, 10s, 20s}})->sampleCount, 0U);  // it has outlasted all
}

// ---- one after the other -------------------------------------------------------------------------------

struct RollingFixture {
  RollingFixture(std::size_t controllerCount, bool restartsControllers = false)
      : rollingDrain(controllerCount, {20s, 2s, 30s, restartsControllers}), observations(controllerCount) {
    for (std::size_t index = 0; index < controllerCount; ++index)
      setObserved(index, "serving", 0, 100 + index);
  }
  void setObserved(std::size_t controller, const char* state, std::uint64_t drainNumber,
                   std::uint64_t processId, bool missedDeadline = false) {
    observations[controller] = {true, state, drainNumber, missedDeadline, processId};
  }
  RollingDrain::Action step(Duration elapsed = 50ms) {
    now += elapsed;
    for (std::size_t index = 0; index < observations.size(); ++index)
      rollingDrain.recordObservation(index, observations[index]);
    const RollingDrain::Step action = rollingDrain.advance(now);
    actionTarget = action.controllerIndex;
    return action.action;
  }
  RollingDrain rollingDrain;
  std::vector<ControllerObservation> observations;
  std::size_t actionTarget = 0;
  Duration now{0};
};

TEST(RollingDrain, DrainsNextControllerOnlyWhenPreviousServesAgain) {
  RollingFixture all(2);
  EXPECT_EQ(all.step(), RollingDrain::Action::startDrain);
  all.setObserved(0, "closing", 1, 100);
  EXPECT_EQ(all.step(), RollingDrain::Action::wait);
  all.setObserved(0, "drained", 1, 100);
  EXPECT_EQ(all.step(), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(all.step(), RollingDrain::Action::wait);  // once only
  all.setObserved(0, "coming-back", 1, 100);
  EXPECT_EQ(all.step(), RollingDrain::Action::wait);
  all.setObserved(0, "serving", 1, 100);
  EXPECT_EQ(all.step(), RollingDrain::Action::startDrain);
  EXPECT_EQ(all.actionTarget, 1U);
  all.setObserved(1, "drained", 1, 101);
  EXPECT_EQ(all.step(), RollingDrain::Action::cancelDrain);
  all.setObserved(1, "serving", 1, 101);
  EXPECT_EQ(all.step(), RollingDrain::Action::finished);
  EXPECT_EQ(all.rollingDrain.completedCount(), 2U);
}

TEST(RollingDrain, BringsControllerBackAndStopsWhenDeadlineIsMissed) {
  RollingFixture all(3);
  all.step();
  all.setObserved(0, "drained", 1, 100, true);
  EXPECT_EQ(all.step(), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(all.step(), RollingDrain::Action::wait);
  all.setObserved(0, "serving", 1, 100, true);
  EXPECT_EQ(all.step(), RollingDrain::Action::failed);
  EXPECT_EQ(all.rollingDrain.failureReason(), "its deadline found jobs open");
  EXPECT_EQ(all.step(), RollingDrain::Action::failed);
}

TEST(RollingDrain, StopsWhenControllerIsDownLostOrCancelled) {
  RollingFixture down(2);
  down.observations[1] = {};
  EXPECT_EQ(down.step(), RollingDrain::Action::failed);
  EXPECT_EQ(down.rollingDrain.failureReason(), "it does not answer");
  RollingFixture lost(2);
  lost.step();
  lost.observations[0] = {};
  EXPECT_EQ(lost.step(21s), RollingDrain::Action::wait);
  EXPECT_EQ(lost.step(1s), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(lost.step(31s), RollingDrain::Action::failed);
  EXPECT_EQ(lost.rollingDrain.failureReason(),
            "it stopped answering while it drained; and it could not be brought back");
  RollingFixture taken(1);
  taken.step();
  taken.setObserved(0, "serving", 1, 100);
  EXPECT_EQ(taken.step(), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(taken.step(), RollingDrain::Action::failed);
  EXPECT_EQ(taken.rollingDrain.failureReason(), "somebody cancelled its drain");
}

TEST(RollingDrain, FinishesWhenWorkRestartsControllerAndBringsItBackWhenWorkFails) {
  RollingFixture all(1, true);
  all.step();
  all.setObserved(0, "drained", 1, 100);
  EXPECT_EQ(all.step(), RollingDrain::Action::runMaintenance);
  all.rollingDrain.onMaintenanceFinished(true);
  all.observations[0] = {};
  EXPECT_EQ(all.step(), RollingDrain::Action::wait);
  all.setObserved(0, "serving", 0, 777);
  EXPECT_EQ(all.step(), RollingDrain::Action::finished);
  RollingFixture bad(1, true);
  bad.step();
  bad.setObserved(0, "drained", 1, 100);
  bad.step();
  bad.rollingDrain.onMaintenanceFinished(false);
  EXPECT_EQ(bad.step(), RollingDrain::Action::cancelDrain);
}

}  // namespace
}  // namespace paddletrack::drain

namespace paddletrack {
namespace {

// ---- what the decision module answers when jobs are let go ---------------------------------------------

struct RejectAllHost : FakeAdmissionHost {
  explicit RejectAllHost(Idempotency idempotency) {
    for (RequestClass& requestClass : deployment.requestClasses) {
      requestClass.idempotency = idempotency;
      requestClass.retryScope = RetryScope::sameCell;
      requestClass.idempotencyWindow = 60s;
    }
    startController(2);
  }
  bool recall(Attempt&) override { return canRecall; }
  bool canRecall = false;
};

TEST(RejectAll, RejectsInFlightRequestOnlyWhenIdempotentOrProvenNotExecuted) {
  for (const Idempotency effect :
       {Idempotency::idempotent, Idempotency::idempotentByKey, Idempotency::notIdempotent})
    for (const bool left : {false, true}) {
      RejectAllHost host(effect);
      host.canRecall = !left;
      Request& job = host.submitRequest(1);
      ASSERT_EQ(host.startedAttempts.size(), 1U);
      host.controller->rejectAll(host.now, {&job});
      const bool harmless = !left || effect == Idempotency::idempotent;
      EXPECT_EQ(host.rejectedRequests.size(), harmless ? 1U : 0U);
      EXPECT_EQ(host.failedRequests.size(), harmless ? 0U : 1U);
      host.finishAttempt(*host.startedAttempts[0],
                         left ? AttemptOutcome::cancelled : AttemptOutcome::neverSent);
      host.controller->rejectAll(host.now, {&job});  // it is over
      host.advanceTime(1s);
      EXPECT_EQ(host.rejectedRequests.size() + host.failedRequests.size(), 1U);
      EXPECT_EQ(host.startedAttempts.size(), 1U);
    }
}

// One that waits its turn, or in the queue, was never sent; what the first frees starts nothing that is let
// go too.
TEST(RejectAll, RejectsOrderedWaitersAndStartsNoneWhenFirstIsInFlight) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.deployment.requestClasses[0].idempotency = Idempotency::notIdempotent;
  host.deployment.orderingHold = 300ms;
  host.startController(1);
  std::vector<Request*> jobs;
  for (int index = 0; index < 4; ++index) jobs.push_back(&host.submitRequest(0, 100ms, 77));
  ASSERT_EQ(host.startedAttempts.size(), 1U);
  host.controller->rejectAll(host.now, jobs);
  EXPECT_EQ(host.failedRequests.size(), 1U);
  EXPECT_EQ(host.rejectedRequests.size(), 3U);
  host.finishAttempt(*host.startedAttempts[0], AttemptOutcome::cancelled);
  host.advanceTime(2s);
  EXPECT_EQ(host.startedAttempts.size(), 1U);
  host.submitRequest(0, 100ms, 77);  // the key is free again after its rest
  EXPECT_EQ(host.startedAttempts.size(), 2U);
}

}  // namespace
}  // namespace paddletrack
