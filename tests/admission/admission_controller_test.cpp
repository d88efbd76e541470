// The regular behaviour of the admission controller, and regression tests for observed failures.
#include <gtest/gtest.h>

#include "support/fake_admission_host.hpp"

namespace paddletrack {
namespace {

const LoadReport kIdleReport{.requestsInFlight = 0}, kFullReport{.requestsInFlight = 60};

TEST(ClassLimits, KeepsIdleClassFloorWhenWideRequestsBorrow) {
  FakeAdmissionHost host(1);
  for (int index = 0; index < 10; ++index) {
    host.submitRequests(10, 1, 2s);
    host.advanceTime(50ms);
  }
  const double wideThreads = host.engines[0].inFlightByClass[1].threads;
  EXPECT_GE(wideThreads, 12);
  EXPECT_LT(wideThreads, 24 * 0.8);          // the thread limit without the idle floor of the short class
  EXPECT_GE(host.submitRequests(4, 0), 2U);  // the floor is still available to it
}

TEST(ClassLimits, HoldsDataLoadsToClassCeilingWhenManyArrive) {
  FakeAdmissionHost host;
  host.deployment.requestClasses[1].isDataLoad = true;
  host.startController(1);
  host.submitRequests(40, 1);
  host.advanceTime(3s);
  EXPECT_LE(host.engines[0].inFlightByClass[1].threads, 12);
}

TEST(AdmissionController, QueuesThenRejectsRequestsWhenAboveConcurrencyTarget) {
  FakeAdmissionHost host(1);
  EXPECT_EQ(host.submitRequests(16, 0), 16U);  // 8 cores, 2 threads per core
  Request& queuedRequest = host.submitRequest(0);
  EXPECT_TRUE(queuedRequest.queued);
  host.submitRequests(60, 0);
  host.advanceTime(205ms);  // a twentieth of the request timeout, and a tick
  EXPECT_FALSE(host.rejectedRequests.empty());
  for (const Duration retryAfter : host.retryAfters) EXPECT_GT(retryAfter, 0ms);
  for (const Request& request : host.requests) EXPECT_FALSE(request.queued);
}

TEST(ClassLimits, AdmitsCheapButNotCostlyRequestWhenCostTokensAreShort) {
  FakeAdmissionHost host(1);
  EXPECT_EQ(host.submitRequests(3, 1, 14s), 2U);
  EXPECT_EQ(host.submitRequests(1, 1, 100ms), 1U);
}

// All requests of a class have the same value, but the costliest tenth took half of the work, so that as many
// cheap requests were rejected as costly ones.
TEST(ClassLimits, RequiresMoreRoomWhenRequestIsCostlyForClassUnlessValueFollowsWork) {
  for (const bool weightGrowsWithWork : {false, true}) {
    FakeAdmissionHost host;
    host.deployment.weightGrowsWithWork = weightGrowsWithWork;
    host.startController(1);
    for (int index = 0; index < 9; ++index) host.submitRequests(1, 1, 2s), host.finishAllAttempts();
    EXPECT_EQ(host.submitRequests(12, 0), 12U);  // leaves four of sixteen threads
    EXPECT_EQ(host.submitRequests(1, 1, 20s), weightGrowsWithWork ? 1U : 0U);
    EXPECT_EQ(host.submitRequests(1, 1, 2s), weightGrowsWithWork ? 0U : 1U);
  }
}

// The cheapest tenth of the wide requests, a hundredth of their work, was rejected as often as the others.
TEST(ClassLimits, RequiresLessRoomWhenRequestIsCheapForClass) {
  FakeAdmissionHost host(1);
  for (int index = 0; index < 9; ++index) host.submitRequests(1, 1, 2s), host.finishAllAttempts();
  EXPECT_EQ(host.submitRequests(14, 0), 14U);  // leaves two of sixteen threads; the next request runs on four
  EXPECT_EQ(host.submitRequests(1, 1, 2s), 0U);
  EXPECT_EQ(host.submitRequests(1, 1, 400ms), 1U);
}

// A request that counted for more threads than an engine's concurrency target was rejected on an idle fleet.
TEST(ClassLimits, AdmitsCostlyRequestWhenEngineIsNearlyIdle) {
  FakeAdmissionHost host(1);
  for (int index = 0; index < 9; ++index) host.submitRequests(1, 1, 500ms), host.finishAllAttempts();
  EXPECT_EQ(host.submitRequests(4, 0), 4U);
  EXPECT_EQ(host.submitRequests(1, 1, 5s), 1U);
}

// A data load locks its data set on its engine and blocks the short requests that read it until it ends: nine
// in ten late requests had waited for a data load, mostly one of another controller.
TEST(EngineSelection, KeepsDataLoadsAndReadersTheyBlockApartWhenControllersChooseIndependently) {
  std::vector<bool> hasDataLoad(8), hasReader(8);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    FakeAdmissionHost host;
    host.deployment.requestClasses[0].waitsForDataLoads = host.deployment.loadsBlockReaders =
        host.deployment.requestClasses[1].isDataLoad = true;
    host.startController(8, seed);
    for (int index = 0; index < 8; ++index) {
      host.submitRequests(2, index % 2);
      for (const Attempt* attempt : host.startedAttempts)
        if (attempt->inFlight) (index % 2 ? hasDataLoad : hasReader)[attempt->engine->number] = true;
      host.finishAllAttempts();
    }
  }
  for (std::size_t index = 0; index < 8; ++index) EXPECT_FALSE(hasDataLoad[index] && hasReader[index]);
}

TEST(AdmissionController, RejectsImmediatelyOnlyWhenRequestFitsNoEngine) {
  FakeAdmissionHost host(1);
  host.submitRequests(1, 1, 60s);
  host.submitRequest(1, 60s);
  EXPECT_EQ(host.rejectedRequests.size(), 1U);
  host.startController(1);  // adds an idle engine
  host.submitRequest(1, 60s);
  EXPECT_EQ(host.rejectedRequests.size(), 1U);
}

TEST(ClassLimits, ExceedsOwnShareWhenEngineReportsIdle) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 8;
  host.startController(1);
  host.submitRequests(1, 0);
  host.finishAttempt(*host.startedAttempts[0], AttemptOutcome::completed, &kIdleReport);
  host.advanceTime(100ms);
  EXPECT_EQ(host.submitRequests(12, 0), 12U);
}

TEST(AdmissionController, RepeatsActionsExactlyWhenSeedAndEventsAreEqual) {
  const auto runController = [](std::uint64_t seed, bool traceEnabled = false) {
    FakeAdmissionHost host;
    host.startController(3, seed);
    host.controller->enableDecisionTrace(traceEnabled);
    for (int index = 0; index < 60; ++index) {
      host.submitRequests(3, index % 2);
      host.advanceTime(20ms);
      if (index % 5 == 0) host.finishAllAttempts();
    }
    EXPECT_EQ(host.decisionTraces.empty(), !traceEnabled);
    return host.actionLog;
  };
  EXPECT_EQ(runController(3), runController(3));
  EXPECT_EQ(runController(3), runController(3, true));  // the decision trace does not affect decisions
  EXPECT_NE(runController(3), runController(4));
}

TEST(LoadEstimation, UsesEngineAgainWhenItsFullLoadReportIsOld) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 4;
  host.startController(2);
  host.submitRequests(2, 0);
  ASSERT_EQ(host.countAttemptsTo(0), 1U);
  for (Attempt* startedAttempt : {host.startedAttempts[0], host.startedAttempts[1]})
    host.finishAttempt(*startedAttempt, AttemptOutcome::completed,
                       startedAttempt->engine == &host.engines[0] ? &kFullReport : &kIdleReport);
  host.advanceTime(100ms);
  host.submitRequests(4, 0);
  EXPECT_EQ(host.countAttemptsTo(0), 1U);
  for (int index = 0; index < 24; ++index) {  // only engine 1 reports; the load of engine 0 decays
    host.advanceTime(1s);
    host.finishAllAttempts(AttemptOutcome::completed, &kIdleReport);
    host.submitRequests(4, 0);
  }
  EXPECT_GT(host.countAttemptsTo(0), 1U);
}

// During releases, new engines stayed idle for all of their warm-up time, while the others ran 2 to 3 threads
// per core.
TEST(LoadEstimation, SendsToWarmingEngineWhenItReportsIdleAndOthersAreBusy) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 4;
  host.startController(2);
  host.advanceTime(1s);
  host.updateEndpoint(0, {.startedAt = host.now});
  for (int index = 0; index < 20; ++index) {
    const LoadReport busyReport{.requestsInFlight = 14};
    host.controller->onHealthCheckResult(host.now, host.engines[0], true, &kIdleReport);
    host.controller->onHealthCheckResult(host.now, host.engines[1], true, &busyReport);
    host.advanceTime(200ms);
    host.submitRequests(1, 0);
    host.finishAllAttempts();
  }
  EXPECT_GE(host.countAttemptsTo(0), 5U);
}

TEST(LoadEstimation, DoesNotSubtractLaterAttemptsWhenReportArrives) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 2;
  host.startController(1);
  host.submitRequests(1, 0);
  host.advanceTime(1s);
  host.submitRequests(6, 0);
  const LoadReport report{.requestsInFlight = 10};
  host.finishAttempt(*host.startedAttempts[0], AttemptOutcome::completed, &report);
  EXPECT_GE(host.engines[0].othersThreads, 9.9);
}

// Engines that report only the utilization of their cores and disks: a controller with far more traffic than
// the others assumed that they had as much load as itself, and rejected requests that an idle fleet could
// have executed.
TEST(LoadEstimation, UsesCoreAndDiskUtilizationWhenReportLacksRequestCount) {
  for (const auto& [cpuUtilization, diskUtilization, minSent, maxSent] :
       {std::tuple(0.1, 0.1, 12U, 99U), {1.0, 0.1, 0U, 2U}, {0.1, 1.0, 0U, 2U}}) {
    FakeAdmissionHost host;
    host.deployment.controllerCount = 7;
    host.startController(1);
    host.submitRequest(0);
    const LoadReport report{.cpuUtilization = cpuUtilization, .diskUtilization = diskUtilization};
    host.finishAllAttempts(AttemptOutcome::completed, &report);
    const std::size_t sent = host.submitRequests(20, 0);
    EXPECT_GE(sent, minSent);
    EXPECT_LE(sent, maxSent);
  }
}

TEST(LoadEstimation, ChecksStaleEngineOnceAndHonorsReportWhenOnlyHealthChecksCarryReports) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 3;
  host.deployment.reportsLoadOnHealthCheck = host.deployment.allowsHealthChecks = true;
  host.startController(1);
  host.submitRequests(2, 0);
  host.finishAllAttempts();
  host.advanceTime(900ms);
  EXPECT_NE(host.actionLog.find("probe 0"), std::string::npos);
  EXPECT_EQ(host.actionLog.find("probe 0"),
            host.actionLog.rfind("probe 0"));  // once while its report is fresh
  host.controller->onHealthCheckResult(host.now, host.engines[0], true, &kFullReport);
  host.advanceTime(100ms);
  EXPECT_EQ(host.submitRequests(4, 1), 0U);
}

// Each of 22 controllers checked all of 16 engines once per second, 1.4 health checks per request, and all of
// them selected the same engines.
TEST(LoadEstimation, SpreadsHealthChecksOverEnginesWhenSeedsDiffer) {
  std::size_t hostsCheckingFirstEngine = 0, healthCheckCount = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeAdmissionHost host;
    host.deployment.controllerCount = 3;
    host.deployment.reportsLoadOnHealthCheck = host.deployment.allowsHealthChecks = true;
    host.startController(8, seed * 1000003);
    host.submitRequests(4, 0);
    host.finishAllAttempts();
    host.advanceTime(900ms);
    healthCheckCount += static_cast<std::size_t>(
        std::count(host.actionLog.begin(), host.actionLog.end(), 'b'));  // of "probe"
    hostsCheckingFirstEngine += host.actionLog.find("probe 0") != std::string::npos;
  }
  EXPECT_EQ(healthCheckCount, 40U);
  EXPECT_GT(hostsCheckingFirstEngine, 0U);
  EXPECT_LT(hostsCheckingFirstEngine, 15U);
}

TEST(MemoryLimits, AdmitsOnlyWideRequestsThatFitWhenMemoryIsLimited) {
  FakeAdmissionHost host;
  host.deployment.machineTypes[0].memoryMb = 4000;
  host.deployment.honorsMemoryGrants = true;
  host.startController(1);
  host.requestMemoryMb = 1500;
  host.submitRequests(6, 1);
  EXPECT_EQ(host.startedAttempts.size(), 2U);
}

// A memory grant of 1.25 times a rough estimate made a third of all requests spill and do up to 3.6 times
// their work.
TEST(MemoryGrants, RequestsMaximumGrantWhenOnlyUsedMemorySlowsEngine) {
  FakeAdmissionHost host;
  host.deployment.honorsMemoryGrants = host.deployment.allowsMemoryOvercommit = true;
  host.deployment.maxMemoryGrantMb = 4000;
  host.startController(1);
  host.requestMemoryMb = 10;
  host.submitRequest(0);
  EXPECT_EQ(host.memoryGrantsMb.back(), 4000);
  // Grants take memory from other requests: the engine decides.
  host.deployment.allowsMemoryOvercommit = false;
  host.submitRequest(0);
  EXPECT_EQ(host.memoryGrantsMb.back(), 0);
}

// If responses never report the memory need, the declared need is the only information: the grant that
// engines choose, a quarter above it, made one request in twelve spill although memory was free.
TEST(MemoryGrants, AddsShareOfFreeMemoryToDeclaredNeedWhenResponsesNeverReportNeed) {
  FakeAdmissionHost host;
  host.deployment.honorsMemoryGrants = host.deployment.lacksCostReports = true;
  host.deployment.machineTypes[0].memoryMb = 16000;
  host.startController(1);
  host.requestMemoryMb = 1000;
  host.submitRequest(0);
  EXPECT_NEAR(host.memoryGrantsMb.back(), 1000 + 15000.0 / 16, 1);  // its threads' share of the free memory
}

// If responses report the memory need, a grant a tenth above a rough estimate made a quarter of all requests
// spill although memory was free; a grant far above it makes requests wait when memory is short.
TEST(MemoryGrants, AddsThreadShareOfFreeMemoryWhenResponsesReportNeed) {
  FakeAdmissionHost host;
  host.deployment.honorsMemoryGrants = true;
  host.deployment.machineTypes[0].memoryMb = 16000;
  host.startController(1);
  host.requestMemoryMb = 2000;
  const ActualCost cost{0.1, 2000};
  for (int index = 0; index < 12; ++index) {
    host.submitRequest(1);
    host.controller->onAttemptFinished(host.now, *host.startedAttempts.back(), AttemptOutcome::completed,
                                       true, cost, nullptr);
  }
  host.submitRequests(3, 1);
  const std::vector<double> latestGrantsMb(host.memoryGrantsMb.end() - 3, host.memoryGrantsMb.end());
  EXPECT_EQ(latestGrantsMb,
            (std::vector<double>{5000, 4250, 3187.5}));  // 2000 and a quarter of the free memory
  EXPECT_EQ(host.engines[0].memoryInFlightMb, 5000 + 4250 + 3187.5);
}

TEST(MemoryLimits, WithholdsShortRequestsWhenEngineIsFarOverItsMemory) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 2;
  host.deployment.machineTypes[0].memoryMb = 4000;
  host.startController(1);
  for (const double grantedRatio : {1.2, 1.6}) {
    EXPECT_EQ(host.submitRequests(1, 0), 1U);
    const LoadReport overcommittedReport{.requestsInFlight = 8, .memoryGrantedRatio = grantedRatio};
    host.finishAllAttempts(AttemptOutcome::completed, &overcommittedReport);
  }
  EXPECT_EQ(host.submitRequests(1, 0), 0U);
}

TEST(TenantQuota, QueuesRequestWhenTenantSendsShortBurst) {
  FakeAdmissionHost host;
  host.deployment.tenants = {{4}};
  host.startController(1);
  host.submitRequests(16, 0);  // up to the concurrency target, at the same time
  EXPECT_TRUE(host.submitRequest(0).queued);
}

// With one of three controllers down, all tenants exceeded a third of their quota at the other two
// controllers, which rejected requests that could have been executed.
TEST(TenantQuota, MarksOnlyHeavierTenantOverShareWhenAllExceedQuota) {
  FakeAdmissionHost host;
  host.deployment.tenants = {{4}, {4}};
  host.deployment.controllerCount = 3;
  host.startController(1);
  const auto submit = [&](std::size_t tenantIndex) -> Request& {
    host.requestTenantIndex = tenantIndex;
    return host.submitRequest(0, 1ms);
  };
  for (int index = 0; index < 20; ++index) {
    submit(0);
    EXPECT_FALSE(submit(1).overQuota);
  }
  for (int index = 0; index < 40; ++index) submit(0);
  EXPECT_TRUE(submit(0).overQuota);
  EXPECT_FALSE(submit(1).overQuota);
}

TEST(AdaptiveLimit, LowersConcurrencyTargetWhenAttemptsExceedLatencyObjective) {
  FakeAdmissionHost host(1);
  for (int index = 0; index < 4; ++index) {
    host.submitRequests(16, 0);
    host.advanceTime(2s);
    host.finishAllAttempts();
  }
  EXPECT_LT(host.submitRequests(16, 0), 14U);
}

// Lets the clients of short requests of 100 ms time out after `clientTimeout`.
void timeOutRequestsAfter(FakeAdmissionHost& host, Duration clientTimeout) {
  host.deployment.requestClasses[0].requestTimeout = clientTimeout;
  host.startController(1);
  for (int index = 0; index < 6; ++index) {
    host.submitRequests(8, 0);
    host.advanceTime(clientTimeout);
    host.finishAllAttempts(AttemptOutcome::timedOut);
  }
}

TEST(AdaptiveLimit, LowersConcurrencyTargetWhenClientsTimeOutBeforeResponses) {
  FakeAdmissionHost host;
  timeOutRequestsAfter(host, 100ms);  // well within the latency objective
  EXPECT_LT(host.engines[0].adaptiveLimit.factor, 0.75);
}

// In workloads with many joins, clients set timeouts that are shorter than their lookups take: the timeouts
// reduced the concurrency target of the whole fleet to a factor of 0.48, although its engines were as fast as
// before.
TEST(AdaptiveLimit, IgnoresTimeoutsWhenClientTimeoutIsShorterThanWork) {
  FakeAdmissionHost host;
  timeOutRequestsAfter(host, 60ms);
  EXPECT_EQ(host.engines[0].adaptiveLimit.factor, 1);
  EXPECT_EQ(host.engines[0].failures.sum(host.now), 0);
}

TEST(OutlierEjection, EjectsNoEngineWhenAllAreEquallySlow) {
  FakeAdmissionHost host(3);
  for (int index = 0; index < 5; ++index) {
    host.submitRequests(3, 0);
    host.advanceTime(1s);
    host.finishAllAttempts();
  }
  const std::size_t attemptsBefore = host.startedAttempts.size();
  host.submitRequests(12, 0);
  EXPECT_EQ(host.startedAttempts.size(), attemptsBefore + 12);
}

TEST(OutlierEjection, EjectsEngineAndTriesItLaterWhenItsAttemptsFail) {
  FakeAdmissionHost host(2);
  for (int index = 0; index < 40; ++index) {
    host.submitRequest(0);
    host.advanceTime(20ms);
    for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts)) {
      if (attempt->inFlight)
        host.finishAttempt(*attempt, attempt->engine == &host.engines[0] ? AttemptOutcome::error
                                                                         : AttemptOutcome::completed);
    }
  }
  EXPECT_LE(host.countAttemptsTo(0), 6U);
  EXPECT_TRUE(host.rejectedRequests.empty());  // each failed request was retried
  host.advanceTime(3s);
  const std::size_t attemptsBefore = host.countAttemptsTo(0);
  host.submitRequests(6, 0);
  EXPECT_GT(host.countAttemptsTo(0), attemptsBefore);
}

TEST(OutlierEjection, SendsAtMostOneTrialWhenEngineIsSilent) {
  FakeAdmissionHost host(2);
  host.submitRequests(2, 0);
  host.advanceTime(1s);
  for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts)) {
    if (attempt->engine == &host.engines[1]) host.finishAttempt(*attempt);
  }
  host.advanceTime(1s);
  const std::size_t attemptsBefore = host.countAttemptsTo(0);
  host.submitRequests(5, 0);
  EXPECT_LE(host.countAttemptsTo(0), attemptsBefore + 1);  // at most one trial
}

TEST(OutlierEjection, SendsOneShortTrialPerIntervalUntilSuccessWhenEngineIsEjected) {
  FakeAdmissionHost host(2);
  host.submitRequests(8, 0);
  host.advanceTime(100ms);
  for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts)) {
    host.finishAttempt(
        *attempt, attempt->engine == &host.engines[0] ? AttemptOutcome::timedOut : AttemptOutcome::completed);
  }
  const auto countNewAttempts = [&](Duration delay) {
    const std::size_t attemptsBefore = host.countAttemptsTo(0);
    host.advanceTime(delay);
    host.submitRequests(1, 1);
    host.submitRequests(6, 0);
    return host.countAttemptsTo(0) - attemptsBefore;
  };
  EXPECT_EQ(countNewAttempts(500ms), 0U);
  EXPECT_EQ(countNewAttempts(600ms), 1U);
  EXPECT_EQ(host.startedAttempts.back()->request->requestClass, &host.deployment.requestClasses[0]);
  host.finishAllAttempts();
  countNewAttempts(3s);
  host.finishAllAttempts();
  host.advanceTime(100ms);
  EXPECT_FALSE(host.engines[0].nextTrialAt);  // no longer ejected: its failures have left the window
}

// Three of five engines rejected most short requests and executed all others well. When they were excluded
// entirely, the other two engines were overloaded.
TEST(OutlierEjection, LimitsShortButNotWideRequestsWhenEngineRejectsShortOnes) {
  FakeAdmissionHost host(2);
  for (int index = 0; index < 12; ++index) {
    host.submitRequests(2, 0);
    for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts))
      if (attempt->inFlight)
        host.finishAttempt(*attempt, attempt->engine == &host.engines[0] && index % 3
                                         ? AttemptOutcome::rejected
                                         : AttemptOutcome::completed);
    host.advanceTime(20ms);
  }
  const std::size_t attemptsBefore = host.countAttemptsTo(0);
  host.submitRequests(4, 1, 2s);
  EXPECT_GT(host.countAttemptsTo(0), attemptsBefore);
  EXPECT_FALSE(host.engines[0].nextTrialAt);
  host.finishAllAttempts();
  const std::size_t sentBefore = host.countAttemptsTo(0);
  for (int index = 0; index < 40; ++index) {  // an engine that rejects everything is still avoided
    host.submitRequests(2, 0);
    for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts))
      if (attempt->inFlight)
        host.finishAttempt(*attempt, attempt->engine == &host.engines[0] ? AttemptOutcome::rejected
                                                                         : AttemptOutcome::completed);
  }
  EXPECT_LE(host.countAttemptsTo(0), sentBefore + 20);
}

// A closed connection ends all attempts in flight on it, and a corrupted one is evidence about the
// connection, not about the engine.
TEST(OutlierEjection, DoesNotEjectEngineWhenOneConnectionIsResetOrCorrupted) {
  for (const AttemptOutcome outcome : {AttemptOutcome::reset, AttemptOutcome::connectionAborted}) {
    FakeAdmissionHost host(2);
    host.submitRequests(8, 0);
    for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts))
      if (attempt->engine == &host.engines[0]) host.finishAttempt(*attempt, outcome);
    host.advanceTime(100ms);
    host.finishAllAttempts();
    const std::size_t attemptsBefore = host.countAttemptsTo(0);
    host.submitRequests(6, 0);
    EXPECT_GT(host.countAttemptsTo(0), attemptsBefore + 1);
    EXPECT_FALSE(host.engines[0].nextTrialAt);
  }
}

TEST(OutlierEjection, StillSendsRequestWhenAllEnginesFail) {
  FakeAdmissionHost host(2);
  host.submitRequests(8, 0);
  host.finishAllAttempts(AttemptOutcome::error);
  host.finishAllAttempts(AttemptOutcome::error);
  EXPECT_EQ(host.submitRequests(1, 0), 1U);
}

// Two points in a hundred were lost by crossing zones without a benefit, while the local zone had free
// capacity.
TEST(EngineSelection, UsesOtherZoneOnlyWhenLocalZoneIsAboveConcurrencyTarget) {
  FakeAdmissionHost host;
  host.deployment.crossZoneCost = 0.05;
  host.startController(2);
  host.updateEndpoint(1, {.zone = 1});
  host.submitRequests(6, 0);
  EXPECT_EQ(host.countAttemptsTo(0), 6U);
  host.submitRequests(14, 0);
  EXPECT_GE(host.countAttemptsTo(1), 4U);
}

// Requests with a declared cost of 2.5 s per thread arrived with 4.7 s left to their deadline, ran at half
// speed and timed out: 941 requests in one day.
TEST(DeadlineCheck, RejectsRequestAtOnceWhenEstimateExceedsTimeLeft) {
  FakeAdmissionHost host(2);
  host.submitRequests(12, 0);
  host.deployment.requestClasses[1].requestTimeout = 2s;
  // 3.75 s on each of its four threads, at five eighths of the concurrency target.
  Request& request = host.submitRequest(1, 15s);
  EXPECT_EQ(host.startedAttempts.size(), 12U);
  ASSERT_EQ(host.rejectedRequests.size(), 1U);
  EXPECT_EQ(host.rejectedRequests[0], &request);
  EXPECT_GT(host.retryAfters[0], 0s);
  host.submitRequest(1, 6s);  // 1.5 s per thread: can be completed
  EXPECT_EQ(host.startedAttempts.size(), 13U);
}

// At low load, 6 % of the requests were rejected because of imprecise estimates, while most cores were idle.
TEST(DeadlineCheck, AdmitsRequestDespiteLongEstimateWhenCoresAreIdle) {
  FakeAdmissionHost host(2);
  host.submitRequests(4, 0);
  host.deployment.requestClasses[1].requestTimeout = 2s;
  host.submitRequest(1, 10s);
  EXPECT_EQ(host.startedAttempts.size(), 5U);
  host.submitRequests(10, 0);
  host.submitRequest(1, 10s);
  EXPECT_EQ(host.rejectedRequests.size(), 1U);
}

// The higher the utilization of the engine, the shorter the estimate must be: at half of the concurrency
// target it may be up to twice the time left.
TEST(DeadlineCheck, AllowsShorterEstimatesOnlyWhenMoreOfConcurrencyTargetIsUsed) {
  FakeAdmissionHost host(1);
  host.deployment.requestClasses[1].requestTimeout = 2s;
  host.submitRequests(4, 0);   // eight threads of sixteen, including the next request
  host.submitRequest(1, 15s);  // 3.75 s on each of its four threads, 2 s left
  EXPECT_EQ(host.startedAttempts.size(), 5U);
  host.finishAllAttempts();
  host.submitRequests(7, 0);  // eleven threads, including the next request
  host.submitRequest(1, 15s);
  EXPECT_EQ(host.rejectedRequests.size(), 1U);
  host.submitRequest(1, 11s);
  EXPECT_EQ(host.startedAttempts.size(), 13U);
}

TEST(DeadlineCheck, AdmitsRequestWhenNoOtherAttemptIsInFlight) {
  FakeAdmissionHost host(2);
  for (int index = 0; index < 12; ++index) {  // all much slower than estimated
    host.submitRequest(1, 4s);
    host.advanceTime(19s);
    host.finishAllAttempts();
  }
  const std::size_t attemptsBefore = host.startedAttempts.size();
  host.submitRequest(1, 8s);
  EXPECT_EQ(host.startedAttempts.size(), attemptsBefore + 1);
  host.submitRequests(12, 0);  // no core is idle
  host.submitRequest(1, 8s);
  EXPECT_EQ(host.startedAttempts.size(), attemptsBefore + 13);
}

// At low load, all 255 rejections of 12188 requests were caused by such estimates; the requests that were
// executed took a third of the declared cost.
TEST(DeadlineCheck, IgnoresUncorrectedEstimateWhenEnginesReportIdle) {
  for (const LoadReport* report : {&kIdleReport, &kFullReport}) {
    FakeAdmissionHost host;
    host.deployment.controllerCount = 2;
    host.deployment.reportsLoadOnHealthCheck = host.deployment.allowsHealthChecks = true;
    host.startController(2);
    host.submitRequest(0);
    for (Engine& engine : host.engines) host.controller->onHealthCheckResult(host.now, engine, true, report);
    host.advanceTime(100ms);
    host.submitRequest(1, 90s);
    EXPECT_EQ(host.startedAttempts.size(), report == &kIdleReport ? 2U : 1U);
  }
}

TEST(Stragglers, CancelsAndRetriesAttemptWhenProgressReportsAreTooSlow) {
  FakeAdmissionHost host;
  host.deployment.allowsCancellation = true;
  host.deployment.progressInterval = 1s;
  host.startController(2);
  Request& request = host.submitRequest(1, 2s);
  host.advanceTime(1500ms);
  host.controller->onProgress(host.now, *host.startedAttempts[0], ProgressKind::progress, 0.05);
  host.advanceTime(700ms);  // more than four times the expected half second
  ASSERT_EQ(host.cancelledAttempts.size(), 1U);
  host.finishAttempt(*host.startedAttempts[0], AttemptOutcome::cancelled);
  EXPECT_EQ(request.attempts.size(), 2U);
}

TEST(Stragglers, HedgesShortRequestAndCancelsLoserWhenResponseIsLate) {
  FakeAdmissionHost host;
  host.deployment.allowsCancellation = true;
  host.deployment.allowsHedging = true;
  host.startController(2);
  for (int index = 0; index < 25; ++index) {
    Request& fastRequest = host.submitRequest(0);
    host.advanceTime(100ms);
    host.finishAttempt(*fastRequest.attempts[0]);
  }
  Request& request = host.submitRequest(0, 100ms);
  Request& wideRequest = host.submitRequest(1, 8s);  // too costly to execute twice
  host.advanceTime(450ms);  // not overdue yet, but past half of its latency objective
  ASSERT_EQ(request.attempts.size(), 2U);
  EXPECT_NE(request.attempts[0]->engine, request.attempts[1]->engine);
  EXPECT_EQ(wideRequest.attempts.size(), 1U);
  host.finishAttempt(*request.attempts[1]);
  ASSERT_EQ(host.cancelledAttempts.size(), 1U);
  EXPECT_EQ(host.cancelledAttempts[0], request.attempts[0].get());
}

TEST(Stragglers, CancelsNothingWhenOnlyEstimateIsExceeded) {
  FakeAdmissionHost host;
  host.deployment.allowsCancellation = true;  // but no progress notifications
  host.startController(2);
  host.submitRequest(1, 2s);
  host.submitRequests(10, 0);
  host.advanceTime(400ms);
  for (std::size_t index = 1; index < 11; ++index) host.finishAttempt(*host.startedAttempts[index]);
  host.advanceTime(3s);
  EXPECT_TRUE(host.cancelledAttempts.empty());
}

// 29 of 53 engines kept executing requests, but up to a third of their responses were lost. The affected
// engines were treated as full and unhealthy, and the lost attempts stayed in flight until their clients
// timed out.
TEST(AttemptTimeout, ExpiresEarlyWithoutLoweringLimitsWhenResponsesAreLostWithoutProgress) {
  for (const bool reportsProgress : {false, true}) {
    FakeAdmissionHost host;
    host.deployment.progressInterval = 1s;
    host.deployment.requestClasses[0].requestTimeout = 2s;
    host.startController(4);
    for (int index = 0; index < 4; ++index) {
      host.submitRequest(0);
      Attempt& timedOutAttempt = *host.startedAttempts.back();
      host.advanceTime(100ms);
      host.submitRequests(12, 0);
      host.advanceTime(100ms);
      for (Attempt* otherAttempt : std::vector<Attempt*>(host.startedAttempts))
        if (otherAttempt->inFlight && otherAttempt != &timedOutAttempt) host.finishAttempt(*otherAttempt);
      host.advanceTime(900ms);
      if (reportsProgress)
        host.controller->onProgress(host.now, timedOutAttempt, ProgressKind::progress, 0.5);
      host.advanceTime(895ms);
      host.controller->onAttemptFinished(host.now, timedOutAttempt, AttemptOutcome::timedOut, true,
                                         std::nullopt, nullptr);
    }
    double minLimitFactor = 1;
    for (const Engine& engine : host.engines)
      minLimitFactor = std::min(minLimitFactor, engine.adaptiveLimit.factor);
    EXPECT_EQ(minLimitFactor < 1, reportsProgress);
    const std::size_t attemptsBefore = host.startedAttempts.size();
    host.submitRequests(20, 0);
    std::size_t earlyTimeoutCount = 0;
    for (std::size_t index = attemptsBefore; index < host.startedAttempts.size(); ++index) {
      const Attempt& attempt = *host.startedAttempts[index];
      EXPECT_GE(attempt.timesOutAt - attempt.sentAt, 400ms);  // 0.6 of 500 ms plus twice 100 ms
      earlyTimeoutCount += attempt.timesOutAt < attempt.request->deadline;
    }
    ASSERT_EQ(earlyTimeoutCount > 8, !reportsProgress);
    // Some attempts keep the full timeout, to detect the end of the losses.
    EXPECT_LT(earlyTimeoutCount, host.startedAttempts.size() - attemptsBefore);
    if (reportsProgress) continue;
    Attempt& earlyTimeout =
        **std::find_if(host.startedAttempts.begin() + static_cast<std::ptrdiff_t>(attemptsBefore),
                       host.startedAttempts.end(), [](const Attempt* startedAttempt) {
                         return startedAttempt->timesOutAt < startedAttempt->request->deadline;
                       });
    host.advanceTime(420ms);
    host.finishAttempt(earlyTimeout, AttemptOutcome::timedOut);
    EXPECT_EQ(earlyTimeout.request->attempts.size(), 2U);
  }
}

// Hundreds of controllers with dozens of engines: a controller's share of an engine is smaller than one
// request.
struct FractionalShareHost : FakeAdmissionHost {
  FractionalShareHost() {
    deployment.controllerCount = 150;
    startController(20);
  }
  auto countUsedEngines() const {
    return std::count_if(engines.begin(), engines.end(),
                         [](const Engine& engine) { return !engine.cachedDataSets.empty(); });
  }
};

TEST(FractionalShare, LimitsAttemptsByExtrapolatedFleetLoadWhenShareIsBelowOneRequest) {
  FractionalShareHost host, burst;
  EXPECT_LE(burst.submitRequests(6, 1), 3U);  // all at the same time, before the mean includes them
  EXPECT_EQ(host.submitRequests(1, 1), 1U);
  host.advanceTime(2s);  // if all 150 controllers do the same, 20 engines of 8 cores have 600 threads
  EXPECT_EQ(host.submitRequests(1, 1), 0U);
  EXPECT_EQ(host.rejectedRequests.size(), 1U);
  EXPECT_EQ(host.submitRequests(2, 0), 2U);  // the floor of short requests stays open despite the estimate
  EXPECT_EQ(host.submitRequests(9, 0), 0U);  // but ends at its share of all targets: 20 x 8 x 2 / 150
  host.finishAllAttempts();
  host.advanceTime(5s);  // its mean load has decayed
  EXPECT_EQ(host.submitRequests(1, 1), 1U);
}

TEST(FractionalShare, UsesSmallerEngineSubsetWhenTrafficIsLight) {
  FractionalShareHost light, heavy;
  for (int index = 0; index < 20; ++index)
    for (FractionalShareHost* host : {&light, &heavy}) {
      host->submitRequests(host == &light ? 1 : 30, 0);
      host->advanceTime(500ms);
      host->finishAllAttempts();
    }
  EXPECT_LE(light.countUsedEngines(), 6);
  EXPECT_GT(heavy.countUsedEngines(), 15);
}

TEST(FractionalShare, SendsAgainWhenFullLoadReportIsStale) {
  FractionalShareHost host;
  for (int index = 0; index < 10; ++index) {
    host.submitRequests(1, 0);
    host.advanceTime(100ms);
    host.finishAllAttempts(AttemptOutcome::completed, &kFullReport);
  }
  EXPECT_EQ(host.submitRequests(1, 1), 0U);
  host.advanceTime(60s);  // no requests, no reports
  EXPECT_EQ(host.submitRequests(1, 1), 1U);
}

TEST(FractionalShare, SendsNoPeerReportsAndChecksHealthOnlyAfterRequestsWhenShareIsBelowOneRequest) {
  FractionalShareHost host;
  host.deployment.allowsPeerReports = host.deployment.allowsHealthChecks =
      host.deployment.reportsLoadOnHealthCheck = true;
  host.advanceTime(5s);
  EXPECT_EQ(host.actionLog, "");  // no requests, no health checks
  host.submitRequests(4, 0);
  host.advanceTime(2s);
  EXPECT_EQ(std::count(host.actionLog.begin(), host.actionLog.end(), 'b'), 2);  // of "probe"
  EXPECT_EQ(host.peerReportCount, 0);
}

TEST(OutlierEjection, DoesNotBlameEngineWhenControllerItselfStalled) {
  FakeAdmissionHost host(1);
  host.submitRequests(4, 0);
  host.advanceTime(100ms);
  host.now += 2s;  // the controller is stalled, then gets all responses at once
  host.finishAllAttempts();
  EXPECT_EQ(host.engines[0].adaptiveLimit.factor, 1);
  EXPECT_FALSE(host.engines[0].nextTrialAt);
}

TEST(LoadEstimation, TreatsEngineAsFullWhenItRejectsAttempt) {
  FakeAdmissionHost host;
  host.deployment.controllerCount = 2;
  host.startController(2);
  host.submitRequests(4, 0);
  host.finishAllAttempts(AttemptOutcome::completed, &kIdleReport);
  host.submitRequest(0);
  Engine* rejectingEngine = host.startedAttempts.back()->engine;
  host.finishAttempt(*host.startedAttempts.back(), AttemptOutcome::rejected);
  EXPECT_GT(rejectingEngine->othersThreads, 16);
}

}  // namespace
}  // namespace paddletrack
