// The module's own rare moments: two events that cross, told in either order or in the same instant.
#include <gtest/gtest.h>

#include "support/fake_admission_host.hpp"

namespace paddletrack {
namespace {

// A host whose only engine is full, so that a job of the first type waits for a draw.
struct SaturatedHost : FakeAdmissionHost {
  SaturatedHost() {
    deployment.controllerCount = 1;
    deployment.requestClasses[0].requestTimeout = 20s;  // it may wait for a second
  }
  Request& submitUntilQueued(std::uint64_t orderingKey = 0) {
    while (startedAttempts.size() < 200) {
      Request& request = submitRequest(0, 100ms, orderingKey);
      if (request.queued) return request;
    }
    ADD_FAILURE() << "no job waits";
    return requests.back();
  }
};

TEST(AdmissionController, StartsNoAttemptWhenClientLeavesWhileRequestIsQueued) {
  SaturatedHost host;
  host.startController(1);
  Request& left = host.submitUntilQueued();
  host.controller->onClientGone(host.now, left);
  host.finishAllAttempts();
  host.advanceTime(30s);
  EXPECT_TRUE(left.attempts.empty());
  EXPECT_FALSE(left.queued);
  EXPECT_EQ(std::count(host.rejectedRequests.begin(), host.rejectedRequests.end(), &left), 0);
}

TEST(AdmissionController, StartsNoAttemptWhenClientLeavesAsQueuedRequestBecomesDue) {
  SaturatedHost host;
  host.startController(1);
  Request& left = host.submitUntilQueued();
  host.finishAllAttempts();
  host.now += 2s;  // its draw is due, and the wake not told yet
  host.controller->onClientGone(host.now, left);
  host.advanceTime(1s);
  EXPECT_TRUE(left.attempts.empty());
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
    for (const bool mayWithdraw : {false, true}) {
      FakeAdmissionHost host;
      host.deployment.allowsCancellation = mayWithdraw;
      host.deployment.requestClasses[0].ordered = true;
      host.startController(2);
      Request& job = host.submitRequest(0, 100ms, 9);
      Request& next = host.submitRequest(0, 100ms, 9);
      host.controller->onClientGone(host.now, job);
      EXPECT_EQ(host.cancelledAttempts.size(), mayWithdraw ? 1U : 0U);
      host.advanceTime(100ms);
      EXPECT_TRUE(next.attempts.empty());  // the one before is still out
      host.finishAttempt(*job.attempts[0], outcome);
      host.advanceTime(5s);
      EXPECT_EQ(job.attempts.size(), 1U);
      EXPECT_EQ(std::count(host.rejectedRequests.begin(), host.rejectedRequests.end(), &job), 0);
      EXPECT_EQ(std::count(host.failedRequests.begin(), host.failedRequests.end(), &job), 0);
      EXPECT_EQ(next.attempts.size(), 1U);
    }
  }
}

TEST(AdmissionController, AnswersOnceWhenAttemptFinishesAtDeadline) {
  for (const AttemptOutcome outcome : {AttemptOutcome::completed, AttemptOutcome::error,
                                       AttemptOutcome::rejected, AttemptOutcome::timedOut}) {
    FakeAdmissionHost host(2);
    Request& job = host.submitRequest(0);
    host.now = job.deadline;
    host.finishAttempt(*job.attempts[0], outcome);
    host.advanceTime(1s);
    EXPECT_TRUE(job.finished);
    EXPECT_EQ(job.attempts.size(), 1U);
    EXPECT_EQ(host.rejectedRequests.size() + host.failedRequests.size(),
              outcome == AttemptOutcome::completed ? 0U : 1U);
  }
}

TEST(RetryRules, FailsKeyedRequestWhenEngineOfFirstAttemptMovedToOtherCell) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
  host.deployment.requestClasses[0].retryScope = RetryScope::sameCell;
  host.deployment.requestClasses[0].idempotencyWindow = 4s;
  host.startController(2);
  host.updateEndpoint(1, {.state = EndpointState::removed});
  host.updateEndpoint(0, {.cell = 1});
  Request& job = host.submitRequest(0);
  ASSERT_EQ(job.attempts.size(), 1U);
  // It leaves, and comes back in another cell, in one telling; its new neighbours know nothing of the first.
  host.controller->onEndpointUpdate(host.now, false,
                                    {{&host.engines[0], {.cell = 1, .state = EndpointState::removed}},
                                     {&host.engines[0], {.cell = 2, .startedAt = host.now - 11s}},
                                     {&host.engines[1], {.cell = 2}}});
  host.finishAttempt(*job.attempts[0], AttemptOutcome::reset);
  EXPECT_EQ(job.attempts.size(), 1U);
  EXPECT_EQ(host.failedRequests.size(), 1U);
}

TEST(RetryRules, RetriesKeyedRequestOnlyWhenIdempotencyWindowStillHolds) {
  for (const Duration after : {900ms - 10ms, 900ms - 5ms, 900ms, 900ms + 5ms}) {
    FakeAdmissionHost host;
    host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
    host.deployment.requestClasses[0].idempotencyWindow = 900ms;
    host.deployment.requestClasses[0].lateWeight = 0.2;
    host.startController(2);
    Request& job = host.submitRequest(0);
    host.now += after;
    host.finishAttempt(*job.attempts[0], AttemptOutcome::reset);
    EXPECT_EQ(job.attempts.size(), after < 895ms ? 2U : 1U) << after.count();
    EXPECT_EQ(host.rejectedRequests.size(), 0U);  // the client would come back after it
  }
}

TEST(RetryRules, KeepsRetryAfterWithinIdempotencyWindowWhenKeyedRequestIsRejected) {
  for (const Duration after : {100ms, 300ms, 500ms, 700ms, 850ms}) {
    FakeAdmissionHost host;
    host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
    host.deployment.requestClasses[0].idempotencyWindow = 900ms;
    host.deployment.maxAttempts = 1;
    host.startController(2);
    Request& job = host.submitRequest(0);
    host.now += after;
    host.finishAttempt(*job.attempts[0], AttemptOutcome::reset);
    EXPECT_EQ(host.rejectedRequests.size() + host.failedRequests.size(), 1U);
    if (after <= 300ms) {
      EXPECT_EQ(host.rejectedRequests.size(), 1U);
    }
    for (const Duration comeBack : host.retryAfters)
      EXPECT_LT(after + comeBack + 5ms, 900ms) << after.count();
  }
}

TEST(RetryRules, RetriesNotIdempotentRequestOnlyWhenProvenNotExecuted) {
  struct Taking : FakeAdmissionHost {
    bool keeps = false;
    bool recall(Attempt&) override { return keeps; }
  };
  for (const AttemptOutcome outcome :
       {AttemptOutcome::completed, AttemptOutcome::error, AttemptOutcome::rejected, AttemptOutcome::timedOut,
        AttemptOutcome::unreachable, AttemptOutcome::reset, AttemptOutcome::cancelled,
        AttemptOutcome::neverSent, AttemptOutcome::connectionAborted}) {
    for (const bool keeps : {false, true}) {
      Taking host;
      host.keeps = keeps;
      host.deployment.requestClasses[0].idempotency = Idempotency::notIdempotent;
      host.deployment.allowsHedging = true, host.deployment.allowsCancellation = true;
      host.startController(3);
      Request& job = host.submitRequest(0);
      host.advanceTime(600ms);  // past its SLA time: no copy
      EXPECT_EQ(job.attempts.size(), 1U);
      host.controller->rejectAll(host.now, {&job});
      EXPECT_EQ(host.rejectedRequests.size(), keeps ? 1U : 0U);
      host.finishAttempt(*job.attempts[0], outcome);
      host.advanceTime(5s);
      EXPECT_EQ(job.attempts.size(), 1U);

      Request& other = host.submitRequest(0);
      host.finishAttempt(*other.attempts[0], outcome);
      const bool unrun = outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::unreachable ||
                         outcome == AttemptOutcome::neverSent;
      EXPECT_EQ(other.attempts.size(), unrun ? 2U : 1U);
      EXPECT_LE(other.inFlightCount(), 1);
    }
  }
}

TEST(Warmup, RestartsWarmupAndKeepsAttemptsInFlightWhenEngineReturnsRestartedInOneUpdate) {
  FakeAdmissionHost host(1);
  host.submitRequests(4, 0);
  const std::size_t out = host.engines[0].inFlightAttempts.size();
  ASSERT_GT(out, 0U);
  host.advanceTime(100ms);
  host.controller->onEndpointUpdate(
      host.now, false,
      {{&host.engines[0], {.state = EndpointState::removed}}, {&host.engines[0], {.startedAt = host.now}}});
  EXPECT_TRUE(host.engines[0].available);
  EXPECT_LT(host.engines[0].effectiveCores, 8 * 0.4);
  EXPECT_EQ(host.engines[0].inFlightAttempts.size(), out);
  host.finishAllAttempts(AttemptOutcome::reset);
  EXPECT_EQ(host.engines[0].inFlightAttempts.size() + host.engines[0].inFlightByClass.size(),
            host.engines[0].inFlightAttempts.size() + 2U);
  for (const Request& job : host.requests) EXPECT_LE(job.inFlightCount(), 1);
  host.finishAllAttempts();
  EXPECT_DOUBLE_EQ(host.engines[0].threadsInFlight, 0);
}

TEST(AdmissionController, RetriesOnListedEngineWhenEngineIsRemovedWithAttemptInFlight) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].lateWeight = 0.2;
  host.startController(2);
  host.updateEndpoint(1, {.state = EndpointState::removed});
  Request& job = host.submitRequest(0);
  host.controller->onEndpointUpdate(host.now, true, {{&host.engines[1], EndpointRecord{}}});
  host.advanceTime(3s);
  host.finishAttempt(*job.attempts[0], AttemptOutcome::reset);
  ASSERT_EQ(job.attempts.size(), 2U);  // drawn again, on what is listed
  EXPECT_EQ(job.attempts[1]->engine, &host.engines[1]);
  host.finishAttempt(*job.attempts[1]);
  host.controller->forgetEngine(host.engines[0]);
  host.engines[0].inFlightAttempts.assign(3, nullptr);  // nothing reads it any more
  host.submitRequests(20, 0);
  host.advanceTime(5s);
  EXPECT_EQ(host.countAttemptsTo(0), 1U);
}

TEST(AdmissionController, AnswersEachWaitingRequestOnceWhenAllAreRejected) {
  SaturatedHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.startController(1);
  std::vector<Request*> all;
  for (int index = 0; index < 60; ++index) all.push_back(&host.submitRequest(0, 100ms, index % 3 ? 0 : 9));
  const std::size_t before = host.startedAttempts.size();
  ASSERT_LT(before, 60U);
  std::erase_if(all, [](const Request* request) { return request->finished; });
  const std::size_t answered = host.rejectedRequests.size();
  host.now += 30ms;  // many draws are due
  host.controller->rejectAll(host.now, all);
  EXPECT_EQ(host.startedAttempts.size(), before);
  EXPECT_EQ(host.rejectedRequests.size(), answered + all.size());
  host.finishAllAttempts(AttemptOutcome::error);
  host.advanceTime(5s);
  EXPECT_EQ(host.startedAttempts.size(), before);
  EXPECT_EQ(host.rejectedRequests.size(), answered + all.size());
}

TEST(RetryRules, KeepsRetryBudgetWhenManyAttemptsFailInOneInstant) {
  FakeAdmissionHost host;
  host.deployment.retryBudgetWindow = 5s;
  host.deployment.retryBudgetMin = 2;
  host.deployment.retryBudgetRatio = 0.1;
  host.startController(4);
  host.submitRequests(30, 0, 10ms);
  const std::size_t first = host.startedAttempts.size();
  const std::vector<Attempt*> out = host.startedAttempts;
  for (Attempt* attempt : out)
    host.finishAttempt(*attempt, AttemptOutcome::rejected);  // the clock stands still
  EXPECT_GT(host.startedAttempts.size(), first);
  EXPECT_LE(host.startedAttempts.size() - first, 5U);  // 2 + 0.1 x 30
  host.advanceTime(4s);
  EXPECT_LE(host.startedAttempts.size() - first, 5U);
}

// Each setting that may be missing or zero: the module neither stands still nor sends what it may not, and
// all that was taken gets its answer.
TEST(AdmissionController, FinishesEveryRequestWhenSettingsAreMissingOrZero) {
  using Change = void (*)(Deployment&);
  const std::vector<Change> changes{
      [](Deployment& site) { site.tickDuration = Duration{0}; },
      [](Deployment& site) {
        site.tickDuration = Duration{0},
        site.requestClasses[0].latencyObjective = site.requestClasses[1].latencyObjective = Duration{0};
      },
      [](Deployment& site) { site.requestClasses.resize(1); },
      [](Deployment& site) { site.requestClasses[0].requestTimeout = Duration{0}; },
      [](Deployment& site) { site.requestClasses[0].latencyObjective = Duration{0}; },
      [](Deployment& site) {
        site.requestClasses[0].idempotency = Idempotency::idempotentByKey;
      },  // its window is zero
      [](Deployment& site) { site.warmupWindow = Duration{0}; },
      [](Deployment& site) { site.warmupTime = Duration{0}; },
      [](Deployment& site) { site.initialCapacityRatio = 0; },
      [](Deployment& site) { site.warmupOverloadRatio = 0; },
      [](Deployment& site) { site.controllerCount = 1; },
      [](Deployment& site) { site.allowsPeerReports = true, site.controllerCount = 1; },
      [](Deployment& site) {
        site.machineTypes = {{8, 0}}, site.honorsMemoryGrants = true, site.lacksCostReports = true;
      },
      [](Deployment& site) {
        site.tenants = {{0}, {0}};
      },
      [](Deployment& site) { site.retryBudgetWindow = Duration{1}; },
      [](Deployment& site) { site.maxAttempts = 0; },
      [](Deployment& site) { site.honorsRetryAfter = false, site.maxRetryAfter = Duration{0}; },
      [](Deployment& site) {
        site.requiresDiscoveryPolling = true, site.maxDiscoveryPollInterval = Duration{0};
      },
      [](Deployment& site) { site.reportsLoadOnHealthCheck = site.allowsHealthChecks = true; },
      [](Deployment& site) {
        site.requestClasses[0].ordered = true,
        site.requestClasses[0].latencyObjective = site.tickDuration = Duration{0};
      },
      [](Deployment& site) {
        site.requestClasses[0].ordered = true, site.orderingHold = Duration{0},
        site.tickDuration = Duration{0};
      },
  };
  for (std::size_t at = 0; at < changes.size(); ++at) {
    SCOPED_TRACE("change " + std::to_string(at));
    FakeAdmissionHost host;
    changes[at](host.deployment);
    host.startController(2);
    host.updateEndpoint(1, {.startedAt = host.now});
    for (int round = 0; round < 20; ++round) {
      for (int index = 0; index < 6; ++index) {
        const bool wide = host.deployment.requestClasses.size() > 1 && index % 2;
        host.requestMemoryMb = index * 100;
        host.submitRequest(wide ? 1 : 0, index % 3 ? 100ms : 0ms, static_cast<std::uint64_t>(index));
      }
      host.advanceTime(50ms);
      host.finishAllAttempts(round % 3 ? AttemptOutcome::completed : AttemptOutcome::timedOut);
    }
    host.advanceTime(21s);
    host.finishAllAttempts(AttemptOutcome::timedOut);
    host.advanceTime(21s);
    std::size_t over = 0;
    for (const Request& job : host.requests) over += job.finished ? 1 : 0;
    EXPECT_EQ(over, host.requests.size());
  }
}

}  // namespace
}  // namespace paddletrack
