// Races between two events that reach the controller in either order or at the same time.
#include <gtest/gtest.h>

#include "support/fake_admission_host.hpp"

namespace paddletrack {
namespace {

// A host whose only engine reaches its concurrency target, so that a request of the first class is queued.
struct SaturatedHost : FakeAdmissionHost {
  SaturatedHost() {
    deployment.controllerCount = 1;
    deployment.requestClasses[0].requestTimeout = 20s;  // allows one second in the queue
  }
  Request& submitUntilQueued(std::uint64_t orderingKey = 0) {
    while (startedAttempts.size() < 200) {
      Request& request = submitRequest(0, 100ms, orderingKey);
      if (request.queued) return request;
    }
    ADD_FAILURE() << "no request is queued";
    return requests.back();
  }
};

TEST(AdmissionController, StartsNoAttemptWhenClientLeavesWhileRequestIsQueued) {
  SaturatedHost host;
  host.startController(1);
  Request& leavingRequest = host.submitUntilQueued();
  host.controller->onClientGone(host.now, leavingRequest);
  host.finishAllAttempts();
  host.advanceTime(30s);
  EXPECT_TRUE(leavingRequest.attempts.empty());
  EXPECT_FALSE(leavingRequest.queued);
  EXPECT_EQ(std::count(host.rejectedRequests.begin(), host.rejectedRequests.end(), &leavingRequest), 0);
}

TEST(AdmissionController, StartsNoAttemptWhenClientLeavesAsQueuedRequestBecomesDue) {
  SaturatedHost host;
  host.startController(1);
  Request& leavingRequest = host.submitUntilQueued();
  host.finishAllAttempts();
  host.now += 2s;  // its selection round is due, but the timer has not fired yet
  host.controller->onClientGone(host.now, leavingRequest);
  host.advanceTime(1s);
  EXPECT_TRUE(leavingRequest.attempts.empty());
}

TEST(OrderingQueue, StartsNextRequestOfKeyWhenClientOfWaitingOneLeaves) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.startController(2);
  Request& first = host.submitRequest(0, 100ms, 9);
  Request& second = host.submitRequest(0, 100ms, 9);
  Request& third = host.submitRequest(0, 100ms, 9);
  host.controller->onClientGone(host.now, second);
  host.finishAttempt(*first.attempts[0]);
  host.advanceTime(100ms);
  EXPECT_TRUE(second.attempts.empty());
  EXPECT_EQ(third.attempts.size(), 1U);
}

TEST(AdmissionController, DoesNotRetryUnexecutedAttemptWhenClientIsGone) {
  for (const AttemptOutcome outcome : {AttemptOutcome::rejected, AttemptOutcome::unreachable,
                                       AttemptOutcome::neverSent, AttemptOutcome::error}) {
    for (const bool cancellationAllowed : {false, true}) {
      FakeAdmissionHost host;
      host.deployment.allowsCancellation = cancellationAllowed;
      host.deployment.requestClasses[0].ordered = true;
      host.startController(2);
      Request& request = host.submitRequest(0, 100ms, 9);
      Request& next = host.submitRequest(0, 100ms, 9);
      host.controller->onClientGone(host.now, request);
      EXPECT_EQ(host.cancelledAttempts.size(), cancellationAllowed ? 1U : 0U);
      host.advanceTime(100ms);
      EXPECT_TRUE(next.attempts.empty());  // the attempt of the earlier request is still in flight
      host.finishAttempt(*request.attempts[0], outcome);
      host.advanceTime(5s);
      EXPECT_EQ(request.attempts.size(), 1U);
      EXPECT_EQ(std::count(host.rejectedRequests.begin(), host.rejectedRequests.end(), &request), 0);
      EXPECT_EQ(std::count(host.failedRequests.begin(), host.failedRequests.end(), &request), 0);
      EXPECT_EQ(next.attempts.size(), 1U);
    }
  }
}

TEST(AdmissionController, AnswersOnceWhenAttemptFinishesAtDeadline) {
  for (const AttemptOutcome outcome : {AttemptOutcome::completed, AttemptOutcome::error,
                                       AttemptOutcome::rejected, AttemptOutcome::timedOut}) {
    FakeAdmissionHost host(2);
    Request& request = host.submitRequest(0);
    host.now = request.deadline;
    host.finishAttempt(*request.attempts[0], outcome);
    host.advanceTime(1s);
    EXPECT_TRUE(request.finished);
    EXPECT_EQ(request.attempts.size(), 1U);
    EXPECT_EQ(host.rejectedRequests.size() + host.failedRequests.size(),
              outcome == AttemptOutcome::completed ? 0U : 1U);
  }
}

TEST(RetryRules, FailsRequestIdempotentByKeyWhenEngineOfFirstAttemptMovedToOtherCell) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
  host.deployment.requestClasses[0].retryScope = RetryScope::sameCell;
  host.deployment.requestClasses[0].idempotencyWindow = 4s;
  host.startController(2);
  host.updateEndpoint(1, {.state = EndpointState::removed});
  host.updateEndpoint(0, {.cell = 1});
  Request& request = host.submitRequest(0);
  ASSERT_EQ(request.attempts.size(), 1U);
  // One update removes the engine and lists it again in another cell, whose engines have no record of the
  // first attempt's key.
  host.controller->onEndpointUpdate(host.now, false,
                                    {{&host.engines[0], {.cell = 1, .state = EndpointState::removed}},
                                     {&host.engines[0], {.cell = 2, .startedAt = host.now - 11s}},
                                     {&host.engines[1], {.cell = 2}}});
  host.finishAttempt(*request.attempts[0], AttemptOutcome::reset);
  EXPECT_EQ(request.attempts.size(), 1U);
  EXPECT_EQ(host.failedRequests.size(), 1U);
}

TEST(RetryRules, RetriesRequestIdempotentByKeyOnlyWhenIdempotencyWindowStillHolds) {
  for (const Duration elapsed : {900ms - 10ms, 900ms - 5ms, 900ms, 900ms + 5ms}) {
    FakeAdmissionHost host;
    host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
    host.deployment.requestClasses[0].idempotencyWindow = 900ms;
    host.deployment.requestClasses[0].lateWeight = 0.2;
    host.startController(2);
    Request& request = host.submitRequest(0);
    host.now += elapsed;
    host.finishAttempt(*request.attempts[0], AttemptOutcome::reset);
    EXPECT_EQ(request.attempts.size(), elapsed < 895ms ? 2U : 1U) << elapsed.count();
    EXPECT_EQ(host.rejectedRequests.size(), 0U);  // a retry by the client would come after the window
  }
}

TEST(RetryRules, KeepsRetryAfterWithinIdempotencyWindowWhenRequestIdempotentByKeyIsRejected) {
  for (const Duration elapsed : {100ms, 300ms, 500ms, 700ms, 850ms}) {
    FakeAdmissionHost host;
    host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
    host.deployment.requestClasses[0].idempotencyWindow = 900ms;
    host.deployment.maxAttempts = 1;
    host.startController(2);
    Request& request = host.submitRequest(0);
    host.now += elapsed;
    host.finishAttempt(*request.attempts[0], AttemptOutcome::reset);
    EXPECT_EQ(host.rejectedRequests.size() + host.failedRequests.size(), 1U);
    if (elapsed <= 300ms) {
      EXPECT_EQ(host.rejectedRequests.size(), 1U);
    }
    for (const Duration retryAfter : host.retryAfters)
      EXPECT_LT(elapsed + retryAfter + 5ms, 900ms) << elapsed.count();
  }
}

TEST(RetryRules, RetriesNotIdempotentRequestOnlyWhenProvenNotExecuted) {
  struct RecallingHost : FakeAdmissionHost {
    bool recallSucceeds = false;
    bool recall(Attempt&) override { return recallSucceeds; }
  };
  for (const AttemptOutcome outcome :
       {AttemptOutcome::completed, AttemptOutcome::error, AttemptOutcome::rejected, AttemptOutcome::timedOut,
        AttemptOutcome::unreachable, AttemptOutcome::reset, AttemptOutcome::cancelled,
        AttemptOutcome::neverSent, AttemptOutcome::connectionAborted}) {
    for (const bool recallSucceeds : {false, true}) {
      RecallingHost host;
      host.recallSucceeds = recallSucceeds;
      host.deployment.requestClasses[0].idempotency = Idempotency::notIdempotent;
      host.deployment.allowsHedging = true, host.deployment.allowsCancellation = true;
      host.startController(3);
      Request& request = host.submitRequest(0);
      host.advanceTime(600ms);  // past its latency objective: no hedge
      EXPECT_EQ(request.attempts.size(), 1U);
      host.controller->rejectAll(host.now, {&request});
      EXPECT_EQ(host.rejectedRequests.size(), recallSucceeds ? 1U : 0U);
      host.finishAttempt(*request.attempts[0], outcome);
      host.advanceTime(5s);
      EXPECT_EQ(request.attempts.size(), 1U);

      Request& other = host.submitRequest(0);
      host.finishAttempt(*other.attempts[0], outcome);
      const bool isProvenNotExecuted = outcome == AttemptOutcome::rejected ||
                                       outcome == AttemptOutcome::unreachable ||
                                       outcome == AttemptOutcome::neverSent;
      EXPECT_EQ(other.attempts.size(), isProvenNotExecuted ? 2U : 1U);
      EXPECT_LE(other.inFlightCount(), 1);
    }
  }
}

TEST(Warmup, RestartsWarmupAndKeepsAttemptsInFlightWhenEngineReturnsRestartedInOneUpdate) {
  FakeAdmissionHost host(1);
  host.submitRequests(4, 0);
  const std::size_t initialInFlight = host.engines[0].inFlightAttempts.size();
  ASSERT_GT(initialInFlight, 0U);
  host.advanceTime(100ms);
  host.controller->onEndpointUpdate(
      host.now, false,
      {{&host.engines[0], {.state = EndpointState::removed}}, {&host.engines[0], {.startedAt = host.now}}});
  EXPECT_TRUE(host.engines[0].available);
  EXPECT_LT(host.engines[0].effectiveCores, 8 * 0.4);
  EXPECT_EQ(host.engines[0].inFlightAttempts.size(), initialInFlight);
  host.finishAllAttempts(AttemptOutcome::reset);
  EXPECT_EQ(host.engines[0].inFlightAttempts.size() + host.engines[0].inFlightByClass.size(),
            host.engines[0].inFlightAttempts.size() + 2U);
  for (const Request& request : host.requests) EXPECT_LE(request.inFlightCount(), 1);
  host.finishAllAttempts();
  EXPECT_DOUBLE_EQ(host.engines[0].threadsInFlight, 0);
}

TEST(AdmissionController, RetriesOnListedEngineWhenEngineIsRemovedWithAttemptInFlight) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].lateWeight = 0.2;
  host.startController(2);
  host.updateEndpoint(1, {.state = EndpointState::removed});
  Request& request = host.submitRequest(0);
  host.controller->onEndpointUpdate(host.now, true, {{&host.engines[1], EndpointRecord{}}});
  host.advanceTime(3s);
  host.finishAttempt(*request.attempts[0], AttemptOutcome::reset);
  ASSERT_EQ(request.attempts.size(), 2U);  // retried on the listed engine
  EXPECT_EQ(request.attempts[1]->engine, &host.engines[1]);
  host.finishAttempt(*request.attempts[1]);
  host.controller->forgetEngine(host.engines[0]);
  host.engines[0].inFlightAttempts.assign(3, nullptr);  // reading one of them would crash
  host.submitRequests(20, 0);
  host.advanceTime(5s);
  EXPECT_EQ(host.countAttemptsTo(0), 1U);
}

TEST(AdmissionController, AnswersEachWaitingRequestOnceWhenAllAreRejected) {
  SaturatedHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.startController(1);
  std::vector<Request*> openRequests;
  for (int index = 0; index < 60; ++index)
    openRequests.push_back(&host.submitRequest(0, 100ms, index % 3 ? 0 : 9));
  const std::size_t startedBefore = host.startedAttempts.size();
  ASSERT_LT(startedBefore, 60U);
  std::erase_if(openRequests, [](const Request* request) { return request->finished; });
  const std::size_t rejectedBefore = host.rejectedRequests.size();
  host.now += 30ms;  // many selection rounds are due
  host.controller->rejectAll(host.now, openRequests);
  EXPECT_EQ(host.startedAttempts.size(), startedBefore);
  EXPECT_EQ(host.rejectedRequests.size(), rejectedBefore + openRequests.size());
  host.finishAllAttempts(AttemptOutcome::error);
  host.advanceTime(5s);
  EXPECT_EQ(host.startedAttempts.size(), startedBefore);
  EXPECT_EQ(host.rejectedRequests.size(), rejectedBefore + openRequests.size());
}

TEST(RetryRules, KeepsRetryBudgetWhenManyAttemptsFailInOneInstant) {
  FakeAdmissionHost host;
  host.deployment.retryBudgetWindow = 5s;
  host.deployment.retryBudgetMin = 2;
  host.deployment.retryBudgetRatio = 0.1;
  host.startController(4);
  host.submitRequests(30, 0, 10ms);
  const std::size_t firstAttemptCount = host.startedAttempts.size();
  const std::vector<Attempt*> firstAttempts = host.startedAttempts;
  for (Attempt* attempt : firstAttempts)
    host.finishAttempt(*attempt, AttemptOutcome::rejected);  // without advancing the clock
  EXPECT_GT(host.startedAttempts.size(), firstAttemptCount);
  EXPECT_LE(host.startedAttempts.size() - firstAttemptCount, 5U);  // 2 + 0.1 x 30
  host.advanceTime(4s);
  EXPECT_LE(host.startedAttempts.size() - firstAttemptCount, 5U);
}

// Each setting that may be missing or zero: the controller must neither hang nor start attempts that are not
// allowed, and must finish every request.
TEST(AdmissionController, FinishesEveryRequestWhenSettingsAreMissingOrZero) {
  using DeploymentChange = void (*)(Deployment&);
  const std::vector<DeploymentChange> changes{
      [](Deployment& deployment) { deployment.tickDuration = Duration{0}; },
      [](Deployment& deployment) {
        deployment.tickDuration = Duration{0}, deployment.requestClasses[0].latencyObjective =
                                                   deployment.requestClasses[1].latencyObjective =
                                                       Duration{0};
      },
      [](Deployment& deployment) { deployment.requestClasses.resize(1); },
      [](Deployment& deployment) { deployment.requestClasses[0].requestTimeout = Duration{0}; },
      [](Deployment& deployment) { deployment.requestClasses[0].latencyObjective = Duration{0}; },
      [](Deployment& deployment) {
        deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
      },  // its idempotency window is zero
      [](Deployment& deployment) { deployment.warmupWindow = Duration{0}; },
      [](Deployment& deployment) { deployment.warmupTime = Duration{0}; },
      [](Deployment& deployment) { deployment.initialCapacityRatio = 0; },
      [](Deployment& deployment) { deployment.warmupOverloadRatio = 0; },
      [](Deployment& deployment) { deployment.controllerCount = 1; },
      [](Deployment& deployment) { deployment.allowsPeerReports = true, deployment.controllerCount = 1; },
      [](Deployment& deployment) {
        deployment.machineTypes = {{8, 0}}, deployment.honorsMemoryGrants = true,
        deployment.lacksCostReports = true;
      },
      [](Deployment& deployment) {
        deployment.tenants = {{0}, {0}};
      },
      [](Deployment& deployment) { deployment.retryBudgetWindow = Duration{1}; },
      [](Deployment& deployment) { deployment.maxAttempts = 0; },
      [](Deployment& deployment) {
        deployment.honorsRetryAfter = false, deployment.maxRetryAfter = Duration{0};
      },
      [](Deployment& deployment) {
        deployment.requiresDiscoveryPolling = true, deployment.maxDiscoveryPollInterval = Duration{0};
      },
      [](Deployment& deployment) {
        deployment.reportsLoadOnHealthCheck = deployment.allowsHealthChecks = true;
      },
      [](Deployment& deployment) {
        deployment.requestClasses[0].ordered = true,
        deployment.requestClasses[0].latencyObjective = deployment.tickDuration = Duration{0};
      },
      [](Deployment& deployment) {
        deployment.requestClasses[0].ordered = true, deployment.orderingHold = Duration{0},
        deployment.tickDuration = Duration{0};
      },
  };
  for (std::size_t changeIndex = 0; changeIndex < changes.size(); ++changeIndex) {
    SCOPED_TRACE("change " + std::to_string(changeIndex));
    FakeAdmissionHost host;
    changes[changeIndex](host.deployment);
    host.startController(2);
    host.updateEndpoint(1, {.startedAt = host.now});
    for (int round = 0; round < 20; ++round) {
      for (int index = 0; index < 6; ++index) {
        const bool isWide = host.deployment.requestClasses.size() > 1 && index % 2;
        host.requestMemoryMb = index * 100;
        host.submitRequest(isWide ? 1 : 0, index % 3 ? 100ms : 0ms, static_cast<std::uint64_t>(index));
      }
      host.advanceTime(50ms);
      host.finishAllAttempts(round % 3 ? AttemptOutcome::completed : AttemptOutcome::timedOut);
    }
    host.advanceTime(21s);
    host.finishAllAttempts(AttemptOutcome::timedOut);
    host.advanceTime(21s);
    std::size_t finishedCount = 0;
    for (const Request& request : host.requests) finishedCount += request.finished ? 1 : 0;
    EXPECT_EQ(finishedCount, host.requests.size());
  }
}

}  // namespace
}  // namespace paddletrack
