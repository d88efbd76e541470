#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "support/fake_admission_host.hpp"

// Rule 4 under the sum of what a whole fleet sends: many controllers on one fake clock against the same
// engines.
namespace paddletrack {
namespace {

using Seconds = std::chrono::duration<double>;

double toSeconds(Duration duration) { return Seconds(duration).count(); }
Duration toDuration(double seconds) { return std::chrono::duration_cast<Duration>(Seconds(seconds)); }

struct ClassWorkload {  // of one reservation type
  double meanWork, share;
  int threads;
  double latencyObjective, latencyStretch, timeout;
};

struct FleetScenario {
  const char* name;
  unsigned controllers;
  int warmEngines, coldEngines;
  double overloadRatio, windowSeconds, initialCapacityRatio;
  double offeredLoad;  // offered, of what all engines can do when warm
  std::vector<ClassWorkload> workloads;
  double lateUpdateRatio = 0.1;  // of the controllers are told up to 7 s late
  double restartRatio = 0;       // of them begin anew, 2 s after the cold engines do
  bool declaresCost = true;      // jobs tell their cost
  double burstFactor = 1;        // times the load, from 1 s before the cold engines start to 2 s after
  bool hasStall = false;  // nobody's jobs come for 1 s before the start is told, then all of them at once
};

constexpr double kColdStartAt = 8, kWarmupSeconds = 10, kSimulationEnd = 22;
constexpr Duration kTickInterval = 5ms;

struct FleetResult {
  double maxExcessDeviations =
      -1e9;  // most of (sent - N) / root of N in a window of the cold time, requests of mean work
  double maxBudgetRatio = 0;  // the same of sent / N
  double maxRatioPastWarmup =
      0;  // the same of windows that close after the cold time, told but not held to it
  int windowCount = 0, exceededWindows = 0;
  double budgetUtilization = 0;  // of N, over the cold time
  double warmedLoadShare = 0;    // of what a sound engine of before did in the 3 s after the cold time
  double completedRatio = 0;     // work done in all, of that offered
};

class RecordingHost
    : public FakeAdmissionHost {  // a controller, and what it has sent on since it was last asked
 public:
  std::vector<Attempt*> newAttempts;
  void sendAttempt(Attempt& attempt) override { newAttempts.push_back(&attempt); }
  void log(std::string_view) override {}
};

struct RunningAttempt {
  RecordingHost* host;
  Attempt* attempt;
  double remainingWork, totalWork;
};

struct EngineModel {
  std::vector<RunningAttempt> running;
  std::vector<std::pair<double, double>> startedWork;  // when, work
  double busyWork = 0;                                 // in the 3 s after the cold time
};

FleetResult simulateFleet(const FleetScenario& scenario, std::uint64_t seed) {
  std::mt19937_64 generator(seed);
  const auto nextRandom = [&] { return std::uniform_real_distribution<double>(0, 1)(generator); };
  Deployment deployment = FakeAdmissionHost().deployment;
  deployment.requestClasses.clear();
  double meanWork = 0;
  for (const ClassWorkload& workload : scenario.workloads) {
    RequestClass requestClass{.index = deployment.requestClasses.size(),
                              .latencyObjective = toDuration(workload.latencyObjective),
                              .latencyObjectiveCostFactor = workload.latencyStretch};
    requestClass.requestTimeout = toDuration(workload.timeout), requestClass.threads = workload.threads;
    deployment.requestClasses.push_back(requestClass);
    meanWork += workload.meanWork * workload.share;
  }
  deployment.controllerCount = scenario.controllers;
  deployment.machineTypes = {{8, 0}};
  deployment.tickDuration = kTickInterval;
  deployment.warmupTime = toDuration(kWarmupSeconds),
  deployment.initialCapacityRatio = scenario.initialCapacityRatio;
  deployment.warmupOverloadRatio = scenario.overloadRatio,
  deployment.warmupWindow = toDuration(scenario.windowSeconds);
  const int engineCount = scenario.warmEngines + scenario.coldEngines;
  const double arrivalRate = scenario.offeredLoad * scenario.warmEngines * 8 / meanWork;

  std::deque<RecordingHost> hosts;  // those that have ended stay, and are told nothing more
  std::vector<RecordingHost*> liveHosts(scenario.controllers);
  std::vector<double> trafficParts(scenario.controllers, 1), updateTimes(scenario.controllers);
  trafficParts[0] = 10;  // one sees ten times the mean of the others
  double totalParts = 9;
  totalParts += scenario.controllers;
  std::vector<EngineModel> models(static_cast<std::size_t>(engineCount));
  const EndpointRecord coldRecord{.startedAt = toDuration(kColdStartAt)};
  const auto announceColdEngines = [&](RecordingHost& host) {
    for (int index = scenario.warmEngines; index < engineCount; ++index)
      host.updateEndpoint(index, coldRecord);
  };
  const auto startController = [&](unsigned controllerIndex, double now) {
    RecordingHost& host = hosts.emplace_back();
    host.deployment = deployment;
    host.now = toDuration(now);
    host.startController(engineCount, seed * 1000 + controllerIndex + hosts.size() * 7919);
    for (int index = scenario.warmEngines; index < engineCount; ++index)
      host.updateEndpoint(index, {.state = EndpointState::removed});
    liveHosts[controllerIndex] = &host;
  };
  for (unsigned controllerIndex = 0; controllerIndex < scenario.controllers; ++controllerIndex) {
    startController(controllerIndex, 0);
    updateTimes[controllerIndex] =
        kColdStartAt + 0.3 * nextRandom() + (nextRandom() < scenario.lateUpdateRatio ? 7 * nextRandom() : 0);
  }
  std::vector<double> restartTimes(scenario.controllers, 1e9);
  for (double& restartTime : restartTimes)
    if (nextRandom() < scenario.restartRatio) restartTime = kColdStartAt + 2 + 2 * nextRandom();

  FleetResult result;
  double offeredWork = 0, completedWork = 0;
  std::vector<std::pair<unsigned, int>> heldRequests;  // what a stall keeps back: controller, type
  for (double now = 0; now < kSimulationEnd; now += toSeconds(kTickInterval)) {
    const bool stalled = scenario.hasStall && now > kColdStartAt - 0.5 && now < kColdStartAt + 0.5;
    const bool inBurst = now > kColdStartAt - 1 && now < kColdStartAt + 2;
    const double meanArrivals = arrivalRate * toSeconds(kTickInterval) * (inBurst ? scenario.burstFactor : 1);
    for (int count = std::poisson_distribution<int>(meanArrivals)(generator); count > 0; --count) {
      double controllerDraw = nextRandom() * totalParts;
      unsigned controllerIndex = 0;
      while (controllerIndex + 1 < scenario.controllers && controllerDraw >= trafficParts[controllerIndex])
        controllerDraw -= trafficParts[controllerIndex++];
      double classDraw = nextRandom();
      int classIndex = 0;
      while (classIndex + 1 < static_cast<int>(scenario.workloads.size()) &&
             classDraw >= scenario.workloads[classIndex].share)
        classDraw -= scenario.workloads[classIndex++].share;
      heldRequests.emplace_back(controllerIndex, classIndex);
    }
    for (unsigned controllerIndex = 0; controllerIndex < scenario.controllers; ++controllerIndex) {
      RecordingHost& host = *liveHosts[controllerIndex];
      if (!stalled) host.advanceTime(kTickInterval);
      host.now = toDuration(now);
      if (now >= restartTimes[controllerIndex]) {
        for (EngineModel& model : models)
          std::erase_if(model.running, [&](const RunningAttempt& runningAttempt) {
            return runningAttempt.host == liveHosts[controllerIndex];
          });
        startController(controllerIndex, now);
        if (now >= updateTimes[controllerIndex]) announceColdEngines(*liveHosts[controllerIndex]);
        restartTimes[controllerIndex] = 1e9;
      } else if (now >= updateTimes[controllerIndex] &&
                 now < updateTimes[controllerIndex] + toSeconds(kTickInterval)) {
        announceColdEngines(host);
      }
    }
    if (!stalled) {
      for (const auto& [controllerIndex, classIndex] : heldRequests) {
        const double cost =
            scenario.workloads[classIndex].meanWork * std::exponential_distribution<double>(1)(generator);
        Request& request = liveHosts[controllerIndex]->requests.emplace_back();
        request.requestClass = &liveHosts[controllerIndex]->deployment.requestClasses[classIndex];
        request.arrivedAt = toDuration(now);
        request.deadline = request.arrivedAt + request.requestClass->requestTimeout;
        if (scenario.declaresCost) request.declaredCost = toDuration(cost);
        request.id = static_cast<std::uint32_t>(cost * 1e6);  // its true work, for the engines alone
        offeredWork += cost;
        liveHosts[controllerIndex]->controller->onRequest(toDuration(now), request);
      }
      heldRequests.clear();
    }
    for (RecordingHost* host : liveHosts) {
      for (Attempt* attempt : std::exchange(host->newAttempts, {})) {
        EngineModel& model = models[attempt->engine->number];
        const double work = attempt->request->id * 1e-6;
        model.running.push_back({host, attempt, work, work});
        model.startedWork.emplace_back(now, work);
      }
    }
    for (int engineIndex = 0; engineIndex < engineCount; ++engineIndex) {
      EngineModel& model = models[engineIndex];
      const double warmth = engineIndex < scenario.warmEngines
                                ? 1
                                : std::clamp((now - kColdStartAt) / kWarmupSeconds, 0.0, 1.0);
      const double capacity =
          8 * (scenario.initialCapacityRatio + (1 - scenario.initialCapacityRatio) * warmth);
      double demand = 0;
      for (const RunningAttempt& runningAttempt : model.running) demand += runningAttempt.attempt->threads;
      const double speed = std::min(1.0, capacity / std::max(demand, 1e-9));
      if (now > kColdStartAt + kWarmupSeconds && now < kColdStartAt + kWarmupSeconds + 3)
        model.busyWork += std::min(capacity, demand);
      for (RunningAttempt& runningAttempt : model.running)
        runningAttempt.remainingWork -= speed * runningAttempt.attempt->threads * toSeconds(kTickInterval);
      std::vector<RunningAttempt> finished;
      std::erase_if(model.running, [&](const RunningAttempt& runningAttempt) {
        const bool isFinished =
            runningAttempt.remainingWork <= 0 || toDuration(now) >= runningAttempt.attempt->timesOutAt;
        if (isFinished) finished.push_back(runningAttempt);
        return isFinished;
      });
      for (const RunningAttempt& runningAttempt : finished) {
        const bool succeeded = runningAttempt.remainingWork <= 0;
        completedWork += succeeded ? runningAttempt.totalWork : 0;
        const std::optional<ActualCost> cost =
            succeeded ? std::optional<ActualCost>({runningAttempt.totalWork, 0}) : std::nullopt;
        runningAttempt.host->controller->onAttemptFinished(
            toDuration(now), *runningAttempt.attempt,
            succeeded ? AttemptOutcome::completed : AttemptOutcome::timedOut, succeeded, cost, nullptr);
      }
    }
  }

  double warmLoad = 0, warmedLoad = 0, usedWork = 0, allowedWork = 0;
  for (int engineIndex = 0; engineIndex < engineCount; ++engineIndex) {
    const EngineModel& model = models[engineIndex];
    (engineIndex < scenario.warmEngines ? warmLoad : warmedLoad) +=
        model.busyWork / (engineIndex < scenario.warmEngines ? scenario.warmEngines : scenario.coldEngines);
    if (engineIndex < scenario.warmEngines) continue;
    // Each window opens with a dispatch; what is allowed then is what the engine can do at its opening.
    for (std::size_t first = 0; first < model.startedWork.size(); ++first) {
      const double opensAt = model.startedWork[first].first;
      if (opensAt >= kColdStartAt + kWarmupSeconds) break;
      double work = 0;
      for (std::size_t index = first; index < model.startedWork.size(); ++index) {
        if (model.startedWork[index].first >= opensAt + scenario.windowSeconds) break;
        work += model.startedWork[index].second / meanWork;
      }
      const double warmth = (opensAt - kColdStartAt) / kWarmupSeconds;
      const double capacity =
          8 * (scenario.initialCapacityRatio + (1 - scenario.initialCapacityRatio) * warmth);
      const double budget = capacity * scenario.overloadRatio * scenario.windowSeconds / meanWork;
      usedWork += model.startedWork[first].second;
      if (opensAt + scenario.windowSeconds > kColdStartAt + kWarmupSeconds) {
        result.maxRatioPastWarmup = std::max(result.maxRatioPastWarmup, work / budget);
        continue;
      }
      result.maxExcessDeviations = std::max(result.maxExcessDeviations, (work - budget) / std::sqrt(budget));
      result.maxBudgetRatio = std::max(result.maxBudgetRatio, work / budget);
      result.windowCount += 1;
      result.exceededWindows += work > budget + 2 * std::sqrt(budget) + 2 ? 1 : 0;
    }
    allowedWork += 8 * (1 + scenario.initialCapacityRatio) / 2 * scenario.overloadRatio * kWarmupSeconds;
  }
  result.budgetUtilization = usedWork / allowedWork;
  result.warmedLoadShare = warmedLoad / std::max(warmLoad, 1e-9);
  result.completedRatio = completedWork / std::max(offeredWork, 1e-9);
  return result;
}

const std::vector<ClassWorkload> kTwoClasses{{0.15, 0.85, 1, 0.8, 2, 4}, {3.8, 0.15, 3, 1.5, 2.5, 20}};
const std::vector<ClassWorkload> kThreeClasses{
    {0.2, 0.8, 1, 1.2, 1.5, 5}, {1.5, 0.12, 2, 2, 2.5, 15}, {5, 0.08, 3, 4, 3, 25}};
const std::vector<ClassWorkload> kSmallRequests{{0.05, 0.9, 1, 0.4, 2, 3}, {0.3, 0.1, 2, 1, 2, 10}};
const std::vector<ClassWorkload> kShortObjective{{0.4, 1, 1, 0.1, 6, 8}};  // an SLA time far under the work
const std::vector<ClassWorkload> kLongTimeout{{0.15, 1, 1, 0.4, 3, 40}};   // all wait long where all is full
const std::vector<ClassWorkload> kMixedRequests{{0.05, 0.5, 1, 0.4, 2, 20}, {0.5, 0.5, 2, 0.4, 3, 20}};

std::vector<FleetScenario> fleetScenarios() {
  std::vector<FleetScenario> scenarios;
  for (const unsigned controllers : {3U, 20U, 30U}) {
    scenarios.push_back({"two", controllers, 8, 1, 3, 3, 0.3, 0.8, kTwoClasses});
    scenarios.push_back({"three, twice", controllers, 8, 2, 2, 2, 0.33, 0.8, kThreeClasses});
    scenarios.push_back(
        {"three, untold", controllers, 8, 2, 2, 2, 0.33, 0.8, kThreeClasses, 0.1, 0.3, false});
    scenarios.push_back({"three, restarts", controllers, 8, 3, 3, 2, 0.33, 0.8, kThreeClasses, 0.1, 0.7});
    scenarios.push_back({"small, full", controllers, 6, 2, 2, 1, 0.32, 1.3, kSmallRequests});
    scenarios.push_back({"small, restarts", controllers, 6, 4, 2.5, 2, 0.3, 0.8, kSmallRequests, 0.1, 0.7});
    scenarios.push_back(
        {"small, stalled", controllers, 6, 2, 2, 1, 0.3, 0.9, kSmallRequests, 0, 0, true, 1.5, true});
    scenarios.push_back({"stretched, restarts", controllers, 6, 1, 2, 3, 0.3, 0.9, kShortObjective, 0, 0.7});
    scenarios.push_back(
        {"stretched, untold", controllers, 6, 1, 2, 3, 0.3, 0.9, kShortObjective, 0, 0.7, false});
    scenarios.push_back({"patient, full", controllers, 6, 2, 2, 1, 0.3, 2, kLongTimeout, 0, 0});
    scenarios.push_back({"mixed, full", controllers, 6, 3, 2, 3, 0.3, 1.5, kMixedRequests, 0.3, 0.3});
    scenarios.push_back(
        {"mixed, four", controllers, 6, 2, 4, 1.5, 0.3, 1, kMixedRequests, 0.3, 0.3, true, 2});
  }
  return scenarios;
}

// COLD_FLEET_SEEDS asks for more seeds than the fifth, and for the table.
TEST(WarmupFleet, KeepsSumOfAttemptsWithinWarmupBudgetWhenManyControllersSend) {
  const char* asked = std::getenv("COLD_FLEET_SEEDS");
  const int seeds = asked ? std::atoi(asked) : 1, first = asked ? 1 : 5;
  if (asked)
    std::printf("%-20s %4s %7s %6s %6s %9s %6s %6s %6s %6s\n", "fleet", "ctl", "worst", "peak", "beyond",
                "over", "of", "used", "share", "done");
  for (const FleetScenario& fleet : fleetScenarios()) {
    if (!asked && fleet.workloads[0].meanWork < 0.2) continue;  // small jobs are many
    FleetResult sum;
    int broken = 0;
    for (int seed = first; seed < first + seeds; ++seed) {
      const FleetResult played = simulateFleet(fleet, static_cast<std::uint64_t>(seed));
      sum.maxExcessDeviations = std::max(sum.maxExcessDeviations, played.maxExcessDeviations),
      sum.maxBudgetRatio = std::max(sum.maxBudgetRatio, played.maxBudgetRatio);
      sum.maxRatioPastWarmup = std::max(sum.maxRatioPastWarmup, played.maxRatioPastWarmup);
      sum.budgetUtilization += played.budgetUtilization / seeds,
          sum.warmedLoadShare += played.warmedLoadShare / seeds,
          sum.completedRatio += played.completedRatio / seeds;
      sum.windowCount += played.windowCount, sum.exceededWindows += played.exceededWindows;
      broken += played.exceededWindows > 0 ? 1 : 0;
    }
    EXPECT_GT(sum.budgetUtilization, 0.01) << fleet.name << ' ' << fleet.controllers;
    EXPECT_GT(sum.warmedLoadShare, 0.4) << fleet.name << ' ' << fleet.controllers;
    EXPECT_EQ(broken, 0) << fleet.name << ' ' << fleet.controllers << ": worst " << sum.maxExcessDeviations;
    if (asked)
      std::printf("%-20s %4u %7.2f %6.2f %6.2f %4d/%-4d %6d %6.3f %6.2f %6.3f\n", fleet.name,
                  fleet.controllers, sum.maxExcessDeviations, sum.maxBudgetRatio, sum.maxRatioPastWarmup,
                  broken, seeds, sum.windowCount, sum.budgetUtilization, sum.warmedLoadShare,
                  sum.completedRatio);
  }
}

// All controllers of a site begin at once, long after the site has; nothing tells the first jobs' rate.
TEST(WarmupFleet, KeepsWarmupBudgetWhenAllControllersRestart) {
  double sent = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    FakeAdmissionHost host;
    host.deployment.controllerCount = 200;
    host.deployment.requestClasses.resize(1);
    host.deployment.requestClasses[0].latencyObjective = 2s;
    host.deployment.machineTypes = {{64, 0}};
    host.deployment.warmupWindow = 1s;
    host.now = 100s;
    host.startController(1, seed);
    host.updateEndpoint(0, {.startedAt = host.now});
    for (int index = 0; index < 3; ++index) {
      host.submitRequest(0, 2s);
      host.advanceTime(50ms);
    }
    sent += static_cast<double>(host.startedAttempts.size());
  }
  const double budget = 0.3 * 64 * 3 / 2;  // in jobs of two seconds
  EXPECT_LE(sent, budget + 2 * std::sqrt(budget) + 2);
}

// One cheap answer is all that a controller knows of a type; its jobs tell what they take, or do not.
TEST(WarmupFleet, WithholdsCostlyRequestsWhenOnlyCheapResponsesAreKnown) {
  for (const bool told : {true, false}) {
    double sent = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      FakeAdmissionHost host;
      host.deployment.controllerCount = 30;
      host.deployment.maxAttempts = 1;
      host.startController(2, seed);
      host.updateEndpoint(1, {.state = EndpointState::removed});
      const auto take = [&](double cost) -> Request& {
        if (told) return host.submitRequest(1, toDuration(cost));
        Request& job = host.requests.emplace_back();
        job.requestClass = &host.deployment.requestClasses[1];
        job.arrivedAt = host.now, job.deadline = host.now + 20s;
        host.controller->onRequest(host.now, job);
        return job;
      };
      host.controller->onAttemptFinished(host.now, *take(0.1).attempts.at(0), AttemptOutcome::completed, true,
                                         ActualCost{0.1, 0}, nullptr);
      host.updateEndpoint(0, {.state = EndpointState::removed});
      host.updateEndpoint(1, {.startedAt = host.now});
      for (int index = 0; index < 20; ++index) {
        take(5);
        host.advanceTime(100ms);
      }
      sent += static_cast<double>(host.countAttemptsTo(1));
    }
    EXPECT_EQ(sent, 0) << told;  // 5 s are over an eighth of the 4.8 s that it can do
  }
}

}  // namespace
}  // namespace paddletrack
