// Tests the drain state machine by scenarios and random event sequences, the completion estimator, the
// rolling drain, and the rejection of open requests.
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
  explicit DrainFixture(Options options = {800ms, 20s, 1h, 2s}) : stateMachine(options) {}
  DrainStateMachine::Actions advanceTo(Duration time, std::size_t openRequests = 0,
                                       std::size_t unsentBytes = 0) {
    now = time;
    openWork.openRequests = openRequests;
    openWork.unsentBytes = unsentBytes;
    return stateMachine.advance(now, openWork);
  }
  void requestDrain(std::optional<Duration> deadline = {}) {
    EXPECT_EQ(stateMachine.requestDrain(now, deadline, {}, openWork), DrainError::none);
  }
  DrainStateMachine stateMachine;
  OpenWork openWork;
  Duration now{0};
};

TEST(DrainProgress, FailsHeartbeatsThenRejectsThenDrainsWhenRequested) {
  DrainFixture fixture;
  EXPECT_TRUE(fixture.stateMachine.onHeartbeat(0s));
  fixture.advanceTo(1s, 3);
  fixture.requestDrain();
  EXPECT_FALSE(fixture.stateMachine.rejectionRetryAfter());
  EXPECT_FALSE(fixture.stateMachine.onHeartbeat(1100ms));
  fixture.advanceTo(1899ms, 3);
  EXPECT_FALSE(fixture.stateMachine.rejectionRetryAfter());  // The front layer has not reacted yet.
  fixture.advanceTo(1900ms, 3);
  EXPECT_EQ(fixture.stateMachine.state(), State::closing);
  EXPECT_EQ(fixture.stateMachine.rejectionRetryAfter(), 2s);
  fixture.advanceTo(3s, 0, 10);  // A response is still being sent.
  EXPECT_EQ(fixture.stateMachine.state(), State::closing);
  fixture.advanceTo(3100ms, 0, 0);
  EXPECT_EQ(fixture.stateMachine.state(), State::drained);
  EXPECT_EQ(fixture.stateMachine.progress()->drainedAt, 3100ms);
  EXPECT_FALSE(fixture.stateMachine.progress()->deadlineMissed);
  EXPECT_FALSE(fixture.stateMachine.nextAdvanceAt(4s));
}

TEST(DrainProgress, ClosesAfterNoticePeriodWhenNoHeartbeatArrives) {
  DrainFixture fixture;
  fixture.requestDrain();
  fixture.advanceTo(1599ms, 1);
  EXPECT_EQ(fixture.stateMachine.state(), State::leaving);
  fixture.advanceTo(1600ms, 1);
  EXPECT_EQ(fixture.stateMachine.state(), State::closing);
}

TEST(DrainProgress, EndsOpenRequestsAndWaitsNoLongerForUnreadBytesWhenDeadlinePasses) {
  DrainFixture fixture;
  fixture.advanceTo(0s, 4);
  fixture.requestDrain(5s);
  EXPECT_FALSE(fixture.advanceTo(4999ms, 4).shouldEndRequests);
  EXPECT_TRUE(fixture.advanceTo(5s, 4).shouldEndRequests);
  EXPECT_FALSE(fixture.advanceTo(5s, 0, 99).shouldEndRequests);
  EXPECT_EQ(fixture.stateMachine.state(), State::ending);
  fixture.advanceTo(5799ms, 0, 99);
  EXPECT_EQ(fixture.stateMachine.state(), State::ending);
  fixture.advanceTo(5800ms, 0, 99);
  EXPECT_EQ(fixture.stateMachine.state(), State::drained);
  EXPECT_TRUE(fixture.stateMachine.progress()->deadlineMissed);
  EXPECT_EQ(fixture.stateMachine.progress()->requestsEndedByDeadline, 4U);
}

// Guards against a process that exits on its first advance() after a stall, without reading the requests that
// arrived during the stall.
TEST(DrainProgress, ReadsPendingInputBeforeExitWhenProcessStalled) {
  DrainFixture fixture;
  fixture.stateMachine.onTerminate(0s, 2s);
  EXPECT_FALSE(fixture.advanceTo(0s).shouldExit);
  EXPECT_FALSE(fixture.advanceTo(900ms).shouldExit);  // 140 ms late.
  EXPECT_GT(fixture.stateMachine.nextAdvanceAt(900ms), 920ms);
  EXPECT_FALSE(fixture.advanceTo(940ms, 1).shouldExit);  // A request had arrived.
  EXPECT_TRUE(fixture.advanceTo(960ms).shouldExit);
  DrainFixture withOpenRequests;
  withOpenRequests.stateMachine.onTerminate(0s, 2s);
  withOpenRequests.advanceTo(0s, 3);
  EXPECT_FALSE(withOpenRequests.advanceTo(5s, 3, 0)
                   .shouldExit);  // Past the exit deadline, but open requests have no response yet.
  EXPECT_TRUE(withOpenRequests.advanceTo(*withOpenRequests.stateMachine.nextAdvanceAt(5s), 0, 0).shouldExit);
}

TEST(DrainProgress, DelaysExitWhenConnectionsAreArriving) {
  DrainFixture fixture;
  fixture.stateMachine.onTerminate(0s, 2s);
  fixture.advanceTo(0s);
  fixture.openWork.incomingClients = 1;
  EXPECT_FALSE(fixture.advanceTo(760ms).shouldExit);
  fixture.openWork.incomingClients = 0;
  EXPECT_TRUE(fixture.advanceTo(780ms).shouldExit);
}

TEST(DrainProgress, EndsRequestsImmediatelyWhenDeadlineIsZero) {
  DrainFixture fixture;
  fixture.advanceTo(3s, 2);
  fixture.requestDrain(0s);
  EXPECT_TRUE(fixture.advanceTo(3s, 2).shouldEndRequests);
  fixture.advanceTo(3s, 0);
  EXPECT_EQ(fixture.stateMachine.state(), State::drained);
  DrainFixture idleFixture;
  idleFixture.requestDrain(0s);
  idleFixture.advanceTo(0s);
  EXPECT_EQ(idleFixture.stateMachine.state(), State::drained);
  EXPECT_FALSE(idleFixture.stateMachine.progress()->deadlineMissed);
}

TEST(DrainProgress, RefusesWithoutStateChangeWhenRequestIsInvalid) {
  DrainFixture fixture;
  EXPECT_EQ(fixture.stateMachine.requestDrain(0s, -1ms, {}, {}), DrainError::invalidDeadline);
  EXPECT_EQ(fixture.stateMachine.requestDrain(0s, 61min, {}, {}), DrainError::invalidDeadline);
  EXPECT_EQ(fixture.stateMachine.requestDrain(0s, {}, -1ms, {}), DrainError::invalidRetryAfter);
  EXPECT_EQ(fixture.stateMachine.cancelDrain(0s), DrainError::notDraining);
  EXPECT_EQ(fixture.stateMachine.state(), State::serving);
  EXPECT_FALSE(fixture.stateMachine.progress());
}

TEST(DrainProgress, ReplacesDeadlineOfSameDrainWhenRequestedAgain) {
  DrainFixture fixture;
  fixture.advanceTo(0s, 1);
  fixture.requestDrain(10s);
  fixture.advanceTo(1s, 1);
  fixture.requestDrain();  // Without a deadline: the previous one remains.
  EXPECT_EQ(fixture.stateMachine.progress()->deadline, 10s);
  fixture.requestDrain(2s);
  EXPECT_EQ(fixture.stateMachine.progress()->deadline, 3s);
  fixture.requestDrain(30s);
  EXPECT_EQ(fixture.stateMachine.progress()->deadline, 31s);
  EXPECT_EQ(fixture.stateMachine.progress()->number, 1U);
  fixture.advanceTo(31s, 1);
  fixture.requestDrain(60s);  // Too late.
  EXPECT_EQ(fixture.stateMachine.progress()->deadline, 31s);
  EXPECT_EQ(fixture.stateMachine.state(), State::ending);
}

TEST(DrainProgress, ServesFromNextHeartbeatWhenCancelledInAnyState) {
  for (const Duration cancelledAt : std::initializer_list<Duration>{0ms, 900ms, 1700ms, 5s, 7s}) {
    DrainFixture fixture;
    fixture.advanceTo(0s, cancelledAt >= 7s ? 0 : 1);
    fixture.requestDrain(5s);
    fixture.advanceTo(cancelledAt, cancelledAt >= 5s ? 0 : 1, cancelledAt == 5s ? 9 : 0);
    const State state = fixture.stateMachine.state();
    EXPECT_EQ(fixture.stateMachine.cancelDrain(cancelledAt), DrainError::none) << nameOf(state);
    EXPECT_FALSE(fixture.stateMachine.rejectionRetryAfter());
    EXPECT_EQ(fixture.stateMachine.state(), State::comingBack);
    EXPECT_TRUE(fixture.stateMachine.onHeartbeat(cancelledAt + 1ms));
    EXPECT_EQ(fixture.stateMachine.state(), State::serving);
    EXPECT_FALSE(fixture.advanceTo(20s, 5).shouldEndRequests);  // The old deadline no longer applies.
    EXPECT_EQ(fixture.stateMachine.cancelDrain(20s), DrainError::notDraining);
  }
}

TEST(DrainProgress, KeepsEarlierDeadlineWhenStopped) {
  DrainFixture drainEndsAfterExit;
  drainEndsAfterExit.advanceTo(0s, 1);
  drainEndsAfterExit.requestDrain(20s);
  drainEndsAfterExit.advanceTo(1s, 1);
  drainEndsAfterExit.stateMachine.onTerminate(1s, 10s);
  EXPECT_EQ(drainEndsAfterExit.stateMachine.responseDeadline(), 4100ms);
  EXPECT_EQ(drainEndsAfterExit.stateMachine.progress()->deadline, 4100ms);
  EXPECT_EQ(drainEndsAfterExit.stateMachine.cancelDrain(2s), DrainError::stopping);
  EXPECT_TRUE(drainEndsAfterExit.advanceTo(4100ms, 1).shouldEndRequests);
  EXPECT_TRUE(drainEndsAfterExit.advanceTo(4100ms, 0).shouldExit);
  DrainFixture drainEndsBeforeExit;
  drainEndsBeforeExit.advanceTo(0s, 1);
  drainEndsBeforeExit.requestDrain(2s);
  drainEndsBeforeExit.stateMachine.onTerminate(1s, 10s);
  EXPECT_TRUE(drainEndsBeforeExit.advanceTo(2s, 1).shouldEndRequests);
  EXPECT_TRUE(drainEndsBeforeExit.advanceTo(2s, 0).shouldExit);
  DrainFixture withoutDrain;  // Without a drain.
  withoutDrain.stateMachine.onTerminate(0s, 10s);
  EXPECT_FALSE(withoutDrain.stateMachine.onHeartbeat(1ms));
  EXPECT_FALSE(withoutDrain.stateMachine.rejectionRetryAfter());
  EXPECT_FALSE(withoutDrain.advanceTo(759ms, 0).shouldExit);
  EXPECT_TRUE(withoutDrain.advanceTo(760ms, 0).shouldExit);
  EXPECT_FALSE(withoutDrain.advanceTo(3350ms, 1).shouldExit);
  EXPECT_FALSE(withoutDrain.advanceTo(3399ms, 1).shouldExit);
  EXPECT_TRUE(withoutDrain.advanceTo(3400ms, 1).shouldExit);
  DrainFixture drainAfterTerminate;
  drainAfterTerminate.stateMachine.onTerminate(0s, 10s);
  drainAfterTerminate.requestDrain(20s);  // Requested after SIGTERM: limited by the exit deadline.
  EXPECT_EQ(drainAfterTerminate.stateMachine.progress()->deadline, 3100ms);
}

// Random event sequences over simulated requests: each request gets exactly one outcome, none is ended before
// the deadline, every state can be left, and SIGTERM always ends the process in time.
RC_GTEST_PROP(DrainProgressProperty, GivesEachRequestOneOutcomeAndAlwaysEndsWhenEventsAreRandom, ()) {
  const Options options{800ms, 20s, 1h, 2s};
  DrainStateMachine drain(options);
  std::vector<unsigned> outcomeCounts;
  std::vector<std::size_t> openRequests;
  Duration now{0};
  std::optional<Duration> terminatedAt;
  bool exited = false;
  std::uint64_t deadlineEnds = 0;
  const auto openWork = [&] {
    OpenWork work;
    work.openRequests = openRequests.size();
    return work;
  };
  const auto advanceDrain = [&] {
    for (int iteration = 0; iteration < 2 && !exited; ++iteration) {
      const DrainStateMachine::Actions actions = drain.advance(now, openWork());
      exited = actions.shouldExit;
      if (!actions.shouldEndRequests) return;
      RC_ASSERT(drain.progress() && now >= drain.progress()->deadline);
      RC_ASSERT(drain.state() == State::ending);
      for (const std::size_t index : openRequests) ++outcomeCounts[index], ++deadlineEnds;
      openRequests.clear();
    }
    RC_ASSERT(exited || !drain.advance(now, openWork()).shouldEndRequests);
  };
  const int steps = *rc::gen::inRange(20, 300);
  for (int step = 0; step < steps && !exited; ++step) {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        drain.requestDrain(
            now,
            *rc::gen::element<std::optional<Duration>>(std::nullopt, Duration{0}, Duration{500ms},
                                                       Duration{3s}, Duration{-1s}, Duration{2h}),
            std::nullopt, openWork());
        break;
      case 1: {
        const bool isCancellable = drain.isDraining() || drain.state() == State::drained;
        const DrainError error = drain.cancelDrain(now);
        RC_ASSERT((error == DrainError::none) == (isCancellable && !terminatedAt));
        break;
      }
      case 2:
        if (*rc::gen::inRange(0, 12) == 0 && !terminatedAt) terminatedAt = now, drain.onTerminate(now, 10s);
        break;
      case 3: {
        const bool isHealthy = drain.onHeartbeat(now);
        RC_ASSERT(isHealthy == (drain.state() == State::serving));
        if (isHealthy) RC_ASSERT(!drain.rejectionRetryAfter() && !terminatedAt);
        break;
      }
      case 4:
      case 5:
      case 6:  // A request arrives.
        outcomeCounts.push_back(0);
        if (drain.rejectionRetryAfter()) {
          ++outcomeCounts.back();
        } else {
          RC_ASSERT(drain.state() != State::drained && drain.state() != State::ending);
          openRequests.push_back(outcomeCounts.size() - 1);
        }
        break;
      case 7:
        if (!openRequests.empty()) {
          ++outcomeCounts[openRequests.back()];
          openRequests.pop_back();
        }
        break;
      default: {
        const Duration elapsed =
            *rc::gen::element(Duration{1ms}, Duration{20ms}, Duration{400ms}, Duration{900ms}, Duration{4s});
        const auto nextAdvanceAt = drain.nextAdvanceAt(now);
        now = nextAdvanceAt ? std::min(now + elapsed, std::max(*nextAdvanceAt, now + Duration{1}))
                            : now + elapsed;
      }
    }
    advanceDrain();
    if (drain.state() == State::drained) RC_ASSERT(openRequests.empty());
    if (terminatedAt) RC_ASSERT(now <= *terminatedAt + 3400ms + 4s);
  }
  // Every state can be left: time alone finishes a drain, and a cancel and a heartbeat return the controller
  // to service, unless the process is stopping.
  if (!exited && terminatedAt) {
    now = std::max(now, *terminatedAt + 3400ms);
    advanceDrain();
    if (!exited)
      now = *drain.nextAdvanceAt(now),
      advanceDrain();  // The call was late: input is read once more before exit.
    RC_ASSERT(exited);
  } else if (!exited) {
    if (drain.isDraining()) {
      for (int iteration = 0; iteration < 4 && drain.state() != State::drained; ++iteration) {
        now = std::max(now, drain.progress()->deadline) + 800ms;
        advanceDrain();
      }
      RC_ASSERT(drain.state() == State::drained && openRequests.empty());
    }
    drain.cancelDrain(now);
    RC_ASSERT(drain.onHeartbeat(now) && drain.state() == State::serving);
  }
  for (std::size_t index = 0; index < outcomeCounts.size(); ++index)
    RC_ASSERT(outcomeCounts[index] ==
              (std::count(openRequests.begin(), openRequests.end(), index) > 0 ? 0U : 1U));
}

// ---- CompletionEstimator -------------------------------------------------------------------------------

TEST(CompletionEstimator, PredictsFromSimilarRequestsWithinTimeLeftWhenHistoryExists) {
  CompletionEstimator estimator(2);
  EXPECT_FALSE(estimator.estimateCompletion({}));
  EXPECT_EQ(estimator.estimateCompletion({{0, 1s, 9s}})->remaining, 9s);  // No samples: the request timeout.
  EXPECT_EQ(estimator.estimateCompletion({{0, 1s, 9s}})->sampleCount, 0U);
  for (int index = 0; index < 100; ++index) estimator.recordCompletion(0, index < 50 ? 100ms : 4s);
  const auto newRequest = estimator.estimateCompletion({{0, 0s, 30s}});
  EXPECT_GE(newRequest->remaining, 4s);
  EXPECT_LE(newRequest->remaining, 4800ms);
  EXPECT_EQ(newRequest->sampleCount, 100U);
  const auto oldRequest = estimator.estimateCompletion({{0, 3s, 30s}, {0, 0s, 800ms}});
  EXPECT_GE(oldRequest->remaining, 1s);
  EXPECT_LE(oldRequest->remaining, 1800ms);
  EXPECT_EQ(oldRequest->sampleCount, 50U);  // Samples longer than 3 s.
  EXPECT_EQ(estimator.estimateCompletion({{0, 0s, 800ms}})->remaining, 800ms);
  EXPECT_EQ(estimator.estimateCompletion({{0, 10s, 20s}})->sampleCount, 0U);  // Older than all samples.
}

// ---- RollingDrain --------------------------------------------------------------------------------------

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
  RollingFixture fixture(2);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::startDrain);
  fixture.setObserved(0, "closing", 1, 100);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::wait);
  fixture.setObserved(0, "drained", 1, 100);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::wait);  // Cancelled only once.
  fixture.setObserved(0, "coming-back", 1, 100);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::wait);
  fixture.setObserved(0, "serving", 1, 100);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::startDrain);
  EXPECT_EQ(fixture.actionTarget, 1U);
  fixture.setObserved(1, "drained", 1, 101);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::cancelDrain);
  fixture.setObserved(1, "serving", 1, 101);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::finished);
  EXPECT_EQ(fixture.rollingDrain.completedCount(), 2U);
}

TEST(RollingDrain, BringsControllerBackAndStopsWhenDeadlineIsMissed) {
  RollingFixture fixture(3);
  fixture.step();
  fixture.setObserved(0, "drained", 1, 100, true);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::wait);
  fixture.setObserved(0, "serving", 1, 100, true);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::failed);
  EXPECT_EQ(fixture.rollingDrain.failureReason(), "requests were still open at the drain deadline");
  EXPECT_EQ(fixture.step(), RollingDrain::Action::failed);
}

TEST(RollingDrain, StopsWhenControllerIsDownLostOrCancelled) {
  RollingFixture down(2);
  down.observations[1] = {};
  EXPECT_EQ(down.step(), RollingDrain::Action::failed);
  EXPECT_EQ(down.rollingDrain.failureReason(), "controller does not respond");
  RollingFixture lost(2);
  lost.step();
  lost.observations[0] = {};
  EXPECT_EQ(lost.step(21s), RollingDrain::Action::wait);
  EXPECT_EQ(lost.step(1s), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(lost.step(31s), RollingDrain::Action::failed);
  EXPECT_EQ(lost.rollingDrain.failureReason(),
            "controller stopped responding during its drain; controller did not return to service after the "
            "drain was cancelled");
  RollingFixture cancelled(1);
  cancelled.step();
  cancelled.setObserved(0, "serving", 1, 100);
  EXPECT_EQ(cancelled.step(), RollingDrain::Action::cancelDrain);
  EXPECT_EQ(cancelled.step(), RollingDrain::Action::failed);
  EXPECT_EQ(cancelled.rollingDrain.failureReason(), "drain was cancelled by another client");
}

TEST(RollingDrain, FinishesWhenMaintenanceRestartsControllerAndCancelsDrainWhenMaintenanceFails) {
  RollingFixture fixture(1, true);
  fixture.step();
  fixture.setObserved(0, "drained", 1, 100);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::runMaintenance);
  fixture.rollingDrain.onMaintenanceFinished(true);
  fixture.observations[0] = {};
  EXPECT_EQ(fixture.step(), RollingDrain::Action::wait);
  fixture.setObserved(0, "serving", 0, 777);
  EXPECT_EQ(fixture.step(), RollingDrain::Action::finished);
  RollingFixture failedMaintenance(1, true);
  failedMaintenance.step();
  failedMaintenance.setObserved(0, "drained", 1, 100);
  failedMaintenance.step();
  failedMaintenance.rollingDrain.onMaintenanceFinished(false);
  EXPECT_EQ(failedMaintenance.step(), RollingDrain::Action::cancelDrain);
}

}  // namespace
}  // namespace paddletrack::drain

namespace paddletrack {
namespace {

// ---- rejection of open requests at the drain deadline --------------------------------------------------

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
  for (const Idempotency idempotency :
       {Idempotency::idempotent, Idempotency::idempotentByKey, Idempotency::notIdempotent})
    for (const bool wasSent : {false, true}) {
      RejectAllHost host(idempotency);
      host.canRecall = !wasSent;
      Request& request = host.submitRequest(1);
      ASSERT_EQ(host.startedAttempts.size(), 1U);
      host.controller->rejectAll(host.now, {&request});
      const bool isRejected = !wasSent || idempotency == Idempotency::idempotent;
      EXPECT_EQ(host.rejectedRequests.size(), isRejected ? 1U : 0U);
      EXPECT_EQ(host.failedRequests.size(), isRejected ? 0U : 1U);
      host.finishAttempt(*host.startedAttempts[0],
                         wasSent ? AttemptOutcome::cancelled : AttemptOutcome::neverSent);
      host.controller->rejectAll(host.now, {&request});  // No effect: the request is finished.
      host.advanceTime(1s);
      EXPECT_EQ(host.rejectedRequests.size() + host.failedRequests.size(), 1U);
      EXPECT_EQ(host.startedAttempts.size(), 1U);
    }
}

// Requests that wait in the ordering queue or the admission queue were never sent and are rejected. The end
// of the first request must not start any of them.
TEST(RejectAll, RejectsOrderedWaitersAndStartsNoneWhenFirstIsInFlight) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.deployment.requestClasses[0].idempotency = Idempotency::notIdempotent;
  host.deployment.orderingHold = 300ms;
  host.startController(1);
  std::vector<Request*> requests;
  for (int index = 0; index < 4; ++index) requests.push_back(&host.submitRequest(0, 100ms, 77));
  ASSERT_EQ(host.startedAttempts.size(), 1U);
  host.controller->rejectAll(host.now, requests);
  EXPECT_EQ(host.failedRequests.size(), 1U);
  EXPECT_EQ(host.rejectedRequests.size(), 3U);
  host.finishAttempt(*host.startedAttempts[0], AttemptOutcome::cancelled);
  host.advanceTime(2s);
  EXPECT_EQ(host.startedAttempts.size(), 1U);
  host.submitRequest(0, 100ms, 77);  // The key is free again after the ordering hold.
  EXPECT_EQ(host.startedAttempts.size(), 2U);
}

}  // namespace
}  // namespace paddletrack
