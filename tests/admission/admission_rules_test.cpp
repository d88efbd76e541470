// The seven admission rules. Removing the check of a rule makes a test of that rule fail.
#include <gtest/gtest.h>

#include "support/fake_admission_host.hpp"

namespace paddletrack {
namespace {

TEST(RequestAnswerRule, AnswersEveryRequestAndStartsNoAttemptAfterwards) {
  FakeAdmissionHost host(2);
  host.submitRequests(80, 0);
  host.advanceTime(1s);
  host.finishAllAttempts(AttemptOutcome::timedOut);
  host.advanceTime(8s);
  host.finishAllAttempts(AttemptOutcome::error);
  host.advanceTime(8s);
  host.finishAllAttempts();
  for (const Request& request : host.requests) {
    EXPECT_TRUE(request.finished);
    EXPECT_LE(std::count(host.rejectedRequests.begin(), host.rejectedRequests.end(), &request), 1);
  }
  Request& leavingRequest = host.submitRequest(0);
  host.controller->onClientGone(host.now, leavingRequest);
  const std::size_t attemptsBefore = host.startedAttempts.size();
  host.finishAllAttempts(AttemptOutcome::error);
  EXPECT_EQ(host.startedAttempts.size(), attemptsBefore);
  EXPECT_EQ(std::count(host.rejectedRequests.begin(), host.rejectedRequests.end(), &leavingRequest),
            0);  // the disconnect finished it
}

TEST(RequestAnswerRule, RejectsRequestWhenNoEngineExists) {
  FakeAdmissionHost host(0);
  host.submitRequest(0);
  EXPECT_EQ(host.rejectedRequests.size(), 1U);
}

TEST(RetrySafetyRule, FailsNonIdempotentRequestWhenItMayHaveExecuted) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].idempotency = Idempotency::notIdempotent;
  host.startController(2);
  host.submitRequest(0);
  host.finishAttempt(*host.startedAttempts[0], AttemptOutcome::reset);
  EXPECT_EQ(host.startedAttempts.size(), 1U);
  EXPECT_EQ(host.failedRequests.size(), 1U);  // immediately
  host.submitRequest(0);
  host.finishAttempt(*host.startedAttempts[1], AttemptOutcome::unreachable);  // proven not executed: retried
  EXPECT_EQ(host.startedAttempts.size(), 3U);
}

TEST(RetrySafetyRule, KeepsRetriesOfRequestIdempotentByKeyWithinScopeAndWindow) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].idempotency = Idempotency::idempotentByKey;
  host.deployment.requestClasses[0].retryScope = RetryScope::sameCell;
  host.deployment.requestClasses[0].idempotencyWindow = 1s;
  host.startController(3);
  host.updateEndpoint(0, {.cell = 1});
  host.updateEndpoint(1, {.cell = 1});
  for (int index = 0; index < 20; ++index) {
    Request& request = host.submitRequest(0);
    host.finishAttempt(*request.attempts[0], AttemptOutcome::error);
    host.advanceTime(300ms);
    const unsigned cell = request.attempts[0]->engine->endpoint.cell;
    for (const auto& attempt : request.attempts) EXPECT_EQ(attempt->engine->endpoint.cell, cell);
    host.finishAllAttempts();
  }
  Request& lateRequest = host.submitRequest(0);
  host.advanceTime(1200ms);
  host.finishAttempt(*lateRequest.attempts[0], AttemptOutcome::error);
  EXPECT_EQ(lateRequest.attempts.size(), 1U);
  EXPECT_EQ(host.failedRequests.back(), &lateRequest);
}

TEST(RetrySafetyRule, CancelsAttemptWithoutHedgeWhenHedgingIsNotAllowed) {
  FakeAdmissionHost host;
  host.deployment.allowsCancellation = true;
  host.deployment.progressInterval = 1s;
  host.startController(2);
  Request& request = host.submitRequest(1, 500ms);
  host.advanceTime(3s);
  ASSERT_EQ(host.cancelledAttempts.size(), 1U);
  EXPECT_EQ(request.inFlightCount(), 1);
  EXPECT_EQ(request.attempts.size(), 1U);
}

TEST(DrainingRule, StartsNoAttemptWhenEngineIsDrainingOrRemoved) {
  FakeAdmissionHost host(2);
  host.updateEndpoint(0, {.state = EndpointState::draining});
  host.submitRequests(8, 0);
  EXPECT_EQ(host.countAttemptsTo(0), 0U);
  host.controller->onEndpointUpdate(
      host.now, true, {{&host.engines[0], EndpointRecord{}}});  // engine 1 is not in the snapshot
  const std::size_t attemptsBefore = host.countAttemptsTo(1);
  host.submitRequests(8, 0);
  EXPECT_EQ(host.countAttemptsTo(1), attemptsBefore);
}

TEST(WarmupRule, LimitsLoadOfWarmingEngineInEveryWindow) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 2;
  host.startController(1);
  host.advanceTime(1s);
  host.updateEndpoint(0, {.startedAt = host.now});
  for (int index = 0; index < 60; ++index) {
    host.submitRequests(2, 0);
    host.advanceTime(50ms);
    host.finishAllAttempts();
  }
  // The budget of both controllers is 3 x 0.3 x 8 cores x 2 s = 14.4 thread-seconds. A request is charged
  // half a second, the nominal cost of its class.
  double maxWindowWork = 0;
  for (const Attempt* windowStart : host.startedAttempts) {
    double windowWork = 0;
    for (const Attempt* startedAttempt : host.startedAttempts) {
      windowWork +=
          startedAttempt->sentAt >= windowStart->sentAt && startedAttempt->sentAt < windowStart->sentAt + 2s
              ? 0.1
              : 0;
    }
    maxWindowWork = std::max(maxWindowWork, windowWork);
  }
  EXPECT_GT(maxWindowWork, 0);
  EXPECT_LE(maxWindowWork, 14.4 / 2);
}

TEST(WarmupRule, RoundsFractionalSharesRandomlyWhenControllersAreMany) {
  std::size_t sentCount = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {  // one host per controller of a deployment
    FakeAdmissionHost host;
    host.deployment.controllerCount = 200;
    host.startController(1, seed);
    for (int index = 0; index < 12; ++index) {
      if (index == 8) host.updateEndpoint(0, {.startedAt = host.now});
      const std::size_t startedCount = host.submitRequests(2, 0);
      sentCount += index < 8 ? 0 : startedCount;
      host.advanceTime(500ms);
      host.finishAllAttempts();
    }
  }
  EXPECT_GT(sentCount,
            10U);  // 0.3 x 8 cores x 2 s hold 48 requests of 100 ms; three times as many overload it
  EXPECT_LT(sentCount, 72U);
}

TEST(OrderingRule, RunsRequestsOfOneKeySequentiallyWithHold) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.deployment.orderingHold = 300ms;
  host.startController(2);
  Request& firstRequest = host.submitRequest(0, 100ms, 9);
  Request& secondRequest = host.submitRequest(0, 100ms, 9);
  Request& otherRequest = host.submitRequest(0, 100ms, 8);
  EXPECT_EQ(otherRequest.attempts.size(), 1U);
  host.advanceTime(100ms);
  EXPECT_TRUE(secondRequest.attempts.empty());
  host.controller->onClientGone(host.now, firstRequest);  // its attempt is still in flight
  host.advanceTime(100ms);
  EXPECT_TRUE(secondRequest.attempts.empty());
  host.finishAttempt(*firstRequest.attempts[0], AttemptOutcome::timedOut);
  host.advanceTime(200ms);
  EXPECT_TRUE(secondRequest.attempts.empty());
  host.advanceTime(200ms);
  EXPECT_EQ(secondRequest.attempts.size(), 1U);
}

TEST(OrderingRule, FinishesWaitingRequestWhenHoldExceedsRequestTimeout) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].ordered = true;
  host.deployment.orderingHold = 9s;
  host.startController(2);
  Request& firstRequest = host.submitRequest(0, 100ms, 9);
  host.advanceTime(1s);
  Request& secondRequest = host.submitRequest(0, 100ms, 9);
  host.advanceTime(2s);
  host.finishAttempt(*firstRequest.attempts[0], AttemptOutcome::reset);
  host.advanceTime(2s);
  EXPECT_TRUE(secondRequest.finished);
  EXPECT_TRUE(secondRequest.attempts.empty());
}

TEST(PlacementRule, StartsAttemptsOnlyOnAllowedZonesAndMachineTypes) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[0].allowedZones = std::vector<unsigned>{1};
  host.deployment.requestClasses[1].allowedMachineTypes = std::vector<unsigned>{1};
  host.startController(3);
  host.updateEndpoint(1, {.zone = 1});
  host.updateEndpoint(2, {.machineType = 1});
  host.submitRequests(4, 0);
  host.submitRequests(2, 1);
  for (const Attempt* startedAttempt : host.startedAttempts)
    EXPECT_EQ(startedAttempt->engine, &host.engines[startedAttempt->request->requestClass->index + 1]);
  host.updateEndpoint(1, {.zone = 1, .state = EndpointState::removed});
  EXPECT_EQ(host.submitRequests(2, 0), 0U);
}

TEST(RetryBudgetRule, LimitsRetriesToBudget) {
  FakeAdmissionHost host;
  host.deployment.retryBudgetMin = 2;
  host.deployment.retryBudgetRatio = 0.1;
  host.deployment.retryBudgetWindow = 10s;
  host.startController(4);
  for (int index = 0; index < 20; ++index) {
    host.submitRequest(0);
    host.advanceTime(50ms);
    host.finishAllAttempts(AttemptOutcome::unreachable);
  }
  host.finishAllAttempts(AttemptOutcome::unreachable);
  std::size_t retries = 0;
  for (const Request& request : host.requests)
    retries += request.attempts.empty() ? 0 : request.attempts.size() - 1;
  EXPECT_GE(retries, 2U);
  EXPECT_LE(retries, 4U);
}

// Counts like the rule: at each retry, the retries of the preceding 10 s (both ends included) against the
// requests that arrived in the same time (its start excluded). Bursts and pauses of irregular length exercise
// the bucket boundaries of the sliding windows.
TEST(RetryBudgetRule, LimitsRetriesInEverySlidingWindow) {
  std::size_t tightWindows = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    FakeAdmissionHost host;
    host.deployment.maxAttempts = 6;
    host.deployment.retryBudgetMin = 5;
    host.deployment.retryBudgetRatio = 0.1;
    host.deployment.retryBudgetWindow = 10s;
    host.startController(4, seed);
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(seed * 7919));
    for (int index = 0; index < 120; ++index) {
      host.submitRequests(static_cast<int>(generator() % 12), 0);
      host.advanceTime(host.deployment.tickDuration * (1 + generator() % (generator() % 9 ? 60 : 700)));
      host.finishAllAttempts(generator() % 2 ? AttemptOutcome::unreachable : AttemptOutcome::error);
    }
    std::vector<Duration> retries;
    for (const Attempt* startedAttempt : host.startedAttempts)
      if (startedAttempt->index > 0) retries.push_back(startedAttempt->sentAt);
    for (const Duration retryTime : retries) {
      const auto isWithinWindow = [&](Duration time) {
        return time >= retryTime - host.deployment.retryBudgetWindow && time <= retryTime;
      };
      const auto retryCount = std::count_if(retries.begin(), retries.end(), isWithinWindow);
      const auto requestCount =
          std::count_if(host.requests.begin(), host.requests.end(), [&](const Request& request) {
            return isWithinWindow(request.arrivedAt) &&
                   request.arrivedAt > retryTime - host.deployment.retryBudgetWindow;
          });
      const double budget = 5 + 0.1 * static_cast<double>(requestCount);
      EXPECT_LE(static_cast<double>(retryCount), budget) << seed << ' ' << retryTime.count();
      tightWindows += static_cast<double>(retryCount) > budget - 1;
    }
  }
  EXPECT_GT(tightWindows, 0U);  // some windows use the budget up to the limit
}

TEST(EndpointDiscovery, RequestsEndpointListAgainWhenDiscoveryFails) {
  FakeAdmissionHost host;
  host.deployment.requiresDiscoveryPolling = true;
  host.deployment.maxDiscoveryPollInterval = 6s;
  host.startController(1);
  host.controller->onDiscoveryFailed(host.now);
  host.advanceTime(2s);
  EXPECT_GE(std::count(host.actionLog.begin(), host.actionLog.end(), 'w'), 2);  // of "watch"
}

}  // namespace
}  // namespace paddletrack
