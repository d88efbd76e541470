#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "support/fake_admission_host.hpp"

// Checks rule 4 for the sum over all controllers: many controllers on one simulated clock send to the same
// engines.
namespace paddletrack {
namespace {

using Seconds = std::chrono::duration<double>;

double toSeconds(Duration duration) { return Seconds(duration).count(); }
Duration toDuration(double seconds) { return std::chrono::duration_cast<Duration>(Seconds(seconds)); }

struct ClassWorkload {  // the requests of one class; times in seconds
  double meanCost, share;
  int threads;
  double latencyObjective, latencyStretch, timeout;
};

struct FleetScenario {
  const char* name;
  unsigned controllerCount;
  int warmEngines, coldEngines;
  double overloadRatio, windowSeconds, initialCapacityRatio;
  double offeredLoad;  // relative to the capacity of the warm engines
  std::vector<ClassWorkload> workloads;
  double lateUpdateRatio = 0.1;  // share of controllers that get the endpoint update up to 7 s late
  double restartRatio = 0;       // share of controllers that restart 2 s to 4 s after the cold engines
  bool declaresCost = true;      // requests declare their cost
  double burstFactor = 1;        // load factor from 1 s before the start of the cold engines to 2 s after it
  bool hasStall = false;         // no requests arrive for 1 s around the cold start, then all of them at once
};

constexpr double kColdStartAt = 8, kWarmupSeconds = 10, kSimulationEnd = 22;
constexpr Duration kTickInterval = 5ms;

struct FleetResult {
  // Maximum of (sent - budget) / sqrt(budget) over the windows in the warm-up time, in requests of mean cost.
  double maxExcessDeviations = -1e9;
  double maxBudgetRatio = 0;      // maximum of sent / budget in the same windows
  double maxRatioPastWarmup = 0;  // the same for windows that end after the warm-up time; not checked
  int windowCount = 0, exceededWindows = 0;
  double budgetUtilization = 0;  // used share of the budget over the warm-up time
  // Load of a cold engine relative to a warm one in the 3 s after the warm-up time.
  double warmedLoadShare = 0;
  double completedRatio = 0;  // completed share of the offered work
};

// A host that collects the started attempts until the simulation takes them.
class RecordingHost : public FakeAdmissionHost {
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
  std::vector<std::pair<double, double>> startedWork;  // start time and cost
  double busyWork = 0;                                 // work done in the 3 s after the warm-up time
};

FleetResult simulateFleet(const FleetScenario& scenario, std::uint64_t seed) {
  std::mt19937_64 generator(seed);
  const auto nextRandom = [&] { return std::uniform_real_distribution<double>(0, 1)(generator); };
  Deployment deployment = FakeAdmissionHost().deployment;
  deployment.requestClasses.clear();
  double meanCost = 0;
  for (const ClassWorkload& workload : scenario.workloads) {
    RequestClass requestClass{.index = deployment.requestClasses.size(),
                              .latencyObjective = toDuration(workload.latencyObjective),
                              .latencyObjectiveCostFactor = workload.latencyStretch};
    requestClass.requestTimeout = toDuration(workload.timeout), requestClass.threads = workload.threads;
    deployment.requestClasses.push_back(requestClass);
    meanCost += workload.meanCost * workload.share;
  }
  deployment.controllerCount = scenario.controllerCount;
  deployment.machineTypes = {{8, 0}};
  deployment.tickDuration = kTickInterval;
  deployment.warmupTime = toDuration(kWarmupSeconds),
  deployment.initialCapacityRatio = scenario.initialCapacityRatio;
  deployment.warmupOverloadRatio = scenario.overloadRatio,
  deployment.warmupWindow = toDuration(scenario.windowSeconds);
  const int engineCount = scenario.warmEngines + scenario.coldEngines;
  const double arrivalRate = scenario.offeredLoad * scenario.warmEngines * 8 / meanCost;

  std::deque<RecordingHost> hosts;  // stopped controllers stay here, but receive no more events
  std::vector<RecordingHost*> liveHosts(scenario.controllerCount);
  std::vector<double> trafficWeights(scenario.controllerCount, 1), updateTimes(scenario.controllerCount);
  trafficWeights[0] = 10;  // one controller gets ten times the traffic of any other
  double totalWeight = 9;
  totalWeight += scenario.controllerCount;
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
  for (unsigned controllerIndex = 0; controllerIndex < scenario.controllerCount; ++controllerIndex) {
    startController(controllerIndex, 0);
    updateTimes[controllerIndex] =
        kColdStartAt + 0.3 * nextRandom() + (nextRandom() < scenario.lateUpdateRatio ? 7 * nextRandom() : 0);
  }
  std::vector<double> restartTimes(scenario.controllerCount, 1e9);
  for (double& restartTime : restartTimes)
    if (nextRandom() < scenario.restartRatio) restartTime = kColdStartAt + 2 + 2 * nextRandom();

  FleetResult result;
  double offeredWork = 0, completedWork = 0;
  std::vector<std::pair<unsigned, int>> pendingArrivals;  // controller and class; a stall delays them
  for (double now = 0; now < kSimulationEnd; now += toSeconds(kTickInterval)) {
    const bool stalled = scenario.hasStall && now > kColdStartAt - 0.5 && now < kColdStartAt + 0.5;
    const bool inBurst = now > kColdStartAt - 1 && now < kColdStartAt + 2;
    const double meanArrivals = arrivalRate * toSeconds(kTickInterval) * (inBurst ? scenario.burstFactor : 1);
    for (int count = std::poisson_distribution<int>(meanArrivals)(generator); count > 0; --count) {
      double controllerDraw = nextRandom() * totalWeight;
      unsigned controllerIndex = 0;
      while (controllerIndex + 1 < scenario.controllerCount &&
             controllerDraw >= trafficWeights[controllerIndex])
        controllerDraw -= trafficWeights[controllerIndex++];
      double classDraw = nextRandom();
      int classIndex = 0;
      while (classIndex + 1 < static_cast<int>(scenario.workloads.size()) &&
             classDraw >= scenario.workloads[classIndex].share)
        classDraw -= scenario.workloads[classIndex++].share;
      pendingArrivals.emplace_back(controllerIndex, classIndex);
    }
    for (unsigned controllerIndex = 0; controllerIndex < scenario.controllerCount; ++controllerIndex) {
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
      for (const auto& [controllerIndex, classIndex] : pendingArrivals) {
        const double cost =
            scenario.workloads[classIndex].meanCost * std::exponential_distribution<double>(1)(generator);
        Request& request = liveHosts[controllerIndex]->requests.emplace_back();
        request.requestClass = &liveHosts[controllerIndex]->deployment.requestClasses[classIndex];
        request.arrivedAt = toDuration(now);
        request.deadline = request.arrivedAt + request.requestClass->requestTimeout;
        if (scenario.declaresCost) request.declaredCost = toDuration(cost);
        // The real cost in microseconds, which only the engine models read.
        request.id = static_cast<std::uint32_t>(cost * 1e6);
        offeredWork += cost;
        liveHosts[controllerIndex]->controller->onRequest(toDuration(now), request);
      }
      pendingArrivals.clear();
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
      const double warmupProgress = engineIndex < scenario.warmEngines
                                        ? 1
                                        : std::clamp((now - kColdStartAt) / kWarmupSeconds, 0.0, 1.0);
      const double capacity =
          8 * (scenario.initialCapacityRatio + (1 - scenario.initialCapacityRatio) * warmupProgress);
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
    // Each window starts with an attempt. Its budget is computed from the engine's capacity at that time.
    for (std::size_t first = 0; first < model.startedWork.size(); ++first) {
      const double opensAt = model.startedWork[first].first;
      if (opensAt >= kColdStartAt + kWarmupSeconds) break;
      double work = 0;
      for (std::size_t index = first; index < model.startedWork.size(); ++index) {
        if (model.startedWork[index].first >= opensAt + scenario.windowSeconds) break;
        work += model.startedWork[index].second / meanCost;
      }
      const double warmupProgress = (opensAt - kColdStartAt) / kWarmupSeconds;
      const double capacity =
          8 * (scenario.initialCapacityRatio + (1 - scenario.initialCapacityRatio) * warmupProgress);
      const double budget = capacity * scenario.overloadRatio * scenario.windowSeconds / meanCost;
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
const std::vector<ClassWorkload> kShortObjective{{0.4, 1, 1, 0.1, 6, 8}};  // objective far below the cost
const std::vector<ClassWorkload> kLongTimeout{{0.15, 1, 1, 0.4, 3, 40}};  // clients wait long at full engines
const std::vector<ClassWorkload> kMixedRequests{{0.05, 0.5, 1, 0.4, 2, 20}, {0.5, 0.5, 2, 0.4, 3, 20}};

std::vector<FleetScenario> fleetScenarios() {
  std::vector<FleetScenario> scenarios;
  for (const unsigned controllerCount : {3U, 20U, 30U}) {
    scenarios.push_back({"two classes", controllerCount, 8, 1, 3, 3, 0.3, 0.8, kTwoClasses});
    scenarios.push_back({"three classes", controllerCount, 8, 2, 2, 2, 0.33, 0.8, kThreeClasses});
    scenarios.push_back(
        {"three, undeclared", controllerCount, 8, 2, 2, 2, 0.33, 0.8, kThreeClasses, 0.1, 0.3, false});
    scenarios.push_back({"three, restarts", controllerCount, 8, 3, 3, 2, 0.33, 0.8, kThreeClasses, 0.1, 0.7});
    scenarios.push_back({"small, overloaded", controllerCount, 6, 2, 2, 1, 0.32, 1.3, kSmallRequests});
    scenarios.push_back(
        {"small, restarts", controllerCount, 6, 4, 2.5, 2, 0.3, 0.8, kSmallRequests, 0.1, 0.7});
    scenarios.push_back(
        {"small, stalled", controllerCount, 6, 2, 2, 1, 0.3, 0.9, kSmallRequests, 0, 0, true, 1.5, true});
    scenarios.push_back(
        {"short obj, restarts", controllerCount, 6, 1, 2, 3, 0.3, 0.9, kShortObjective, 0, 0.7});
    scenarios.push_back(
        {"short, undeclared", controllerCount, 6, 1, 2, 3, 0.3, 0.9, kShortObjective, 0, 0.7, false});
    scenarios.push_back({"patient, overloaded", controllerCount, 6, 2, 2, 1, 0.3, 2, kLongTimeout, 0, 0});
    scenarios.push_back(
        {"mixed, overloaded", controllerCount, 6, 3, 2, 3, 0.3, 1.5, kMixedRequests, 0.3, 0.3});
    scenarios.push_back(
        {"mixed, burst", controllerCount, 6, 2, 4, 1.5, 0.3, 1, kMixedRequests, 0.3, 0.3, true, 2});
  }
  return scenarios;
}

// By default only seed 5 runs. COLD_FLEET_SEEDS=N runs the seeds 1 to N and prints a table of the results.
TEST(WarmupFleet, KeepsSumOfAttemptsWithinWarmupBudgetWhenManyControllersSend) {
  const char* seedSetting = std::getenv("COLD_FLEET_SEEDS");
  const int seedCount = seedSetting ? std::atoi(seedSetting) : 1, firstSeed = seedSetting ? 1 : 5;
  if (seedSetting)
    std::printf("%-20s %4s %7s %6s %6s %9s %6s %6s %6s %6s\n", "fleet", "ctrl", "excess", "peak", "after",
                "failed", "count", "used", "share", "done");
  for (const FleetScenario& scenario : fleetScenarios()) {
    if (!seedSetting && scenario.workloads[0].meanCost < 0.2)
      continue;  // small requests are many and take long to simulate
    FleetResult total;
    int failedSeedCount = 0;
    for (int seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
      const FleetResult result = simulateFleet(scenario, static_cast<std::uint64_t>(seed));
      total.maxExcessDeviations = std::max(total.maxExcessDeviations, result.maxExcessDeviations),
      total.maxBudgetRatio = std::max(total.maxBudgetRatio, result.maxBudgetRatio);
      total.maxRatioPastWarmup = std::max(total.maxRatioPastWarmup, result.maxRatioPastWarmup);
      total.budgetUtilization += result.budgetUtilization / seedCount,
          total.warmedLoadShare += result.warmedLoadShare / seedCount,
          total.completedRatio += result.completedRatio / seedCount;
      total.windowCount += result.windowCount, total.exceededWindows += result.exceededWindows;
      failedSeedCount += result.exceededWindows > 0 ? 1 : 0;
    }
    EXPECT_GT(total.budgetUtilization, 0.01) << scenario.name << ' ' << scenario.controllerCount;
    EXPECT_GT(total.warmedLoadShare, 0.4) << scenario.name << ' ' << scenario.controllerCount;
    EXPECT_EQ(failedSeedCount, 0) << scenario.name << ' ' << scenario.controllerCount << ": maximum excess "
                                  << total.maxExcessDeviations;
    if (seedSetting)
      std::printf("%-20s %4u %7.2f %6.2f %6.2f %4d/%-4d %6d %6.3f %6.2f %6.3f\n", scenario.name,
                  scenario.controllerCount, total.maxExcessDeviations, total.maxBudgetRatio,
                  total.maxRatioPastWarmup, failedSeedCount, seedCount, total.windowCount,
                  total.budgetUtilization, total.warmedLoadShare, total.completedRatio);
  }
}

// All controllers restart at the same time, long after the deployment started. The first requests arrive
// before any controller can estimate the request rate.
TEST(WarmupFleet, KeepsWarmupBudgetWhenAllControllersRestart) {
  double sentCount = 0;
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
    sentCount += static_cast<double>(host.startedAttempts.size());
  }
  const double budget = 0.3 * 64 * 3 / 2;  // in requests of two seconds
  EXPECT_LE(sentCount, budget + 2 * std::sqrt(budget) + 2);
}

// A single cheap response is the only sample of a class. Its mean must not let costly requests pass the
// warm-up rule, whether or not they declare their cost.
TEST(WarmupFleet, WithholdsCostlyRequestsWhenOnlyCheapResponsesAreKnown) {
  for (const bool isCostDeclared : {true, false}) {
    double sentCount = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      FakeAdmissionHost host;
      host.deployment.controllerCount = 30;
      host.deployment.maxAttempts = 1;
      host.startController(2, seed);
      host.updateEndpoint(1, {.state = EndpointState::removed});
      const auto submit = [&](double cost) -> Request& {
        if (isCostDeclared) return host.submitRequest(1, toDuration(cost));
        Request& request = host.requests.emplace_back();
        request.requestClass = &host.deployment.requestClasses[1];
        request.arrivedAt = host.now, request.deadline = host.now + 20s;
        host.controller->onRequest(host.now, request);
        return request;
      };
      host.controller->onAttemptFinished(host.now, *submit(0.1).attempts.at(0), AttemptOutcome::completed,
                                         true, ActualCost{0.1, 0}, nullptr);
      host.updateEndpoint(0, {.state = EndpointState::removed});
      host.updateEndpoint(1, {.startedAt = host.now});
      for (int index = 0; index < 20; ++index) {
        submit(5);
        host.advanceTime(100ms);
      }
      sentCount += static_cast<double>(host.countAttemptsTo(1));
    }
    // 5 s exceed an eighth of the 4.8 s that the engine can do in a window.
    EXPECT_EQ(sentCount, 0) << isCostDeclared;
  }
}

}  // namespace
}  // namespace paddletrack
