// Many controllers that start together: the peak load on the endpoint list and the engines, the time until
// the controllers are ready, and the outcome of the requests that arrive meanwhile.
#include <sys/resource.h>

#include <cmath>
#include <csignal>
#include <cstdio>

#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;
using transport::TimePoint;

constexpr double kCoresPerEngine = 16;
constexpr double kWarmupWindowSeconds = 3;
constexpr double kInitialCapacityRatio = 0.3;
constexpr int64_t kWarmupMs = 10000;

// The maximum number of the sorted times within any window of this length.
std::size_t peakWithinWindow(const std::vector<TimePoint>& times, std::chrono::milliseconds window) {
  std::size_t maxCount = 0, first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) ++first;
    maxCount = std::max(maxCount, last - first + 1);
  }
  return maxCount;
}

std::vector<TimePoint> sortedSince(std::vector<TimePoint> times, TimePoint begin) {
  std::erase_if(times, [&](TimePoint time) { return time < begin; });
  std::sort(times.begin(), times.end());
  return times;
}

class ColdStartRun {
 public:
  ColdStartRun(const ColdStartOptions& options, const std::string& controllerProgram,
               const std::string& operatorConfig, int networkIndex)
      : options_(options), startedAt_(options.controllerCount), readyAfterMs_(options.controllerCount) {
    fakes::FakeFleetOptions fleetOptions;
    fleetOptions.program = controllerProgram;
    fleetOptions.operatorConfig = operatorConfig;
    fleetOptions.hasAdminSockets = false;
    fleetOptions.subnet = networkIndex;
    fleetOptions.engines = options.engineCount;
    fleetOptions.controllers = options.controllerCount;
    fleetOptions.includesKnownEvents = options.configHasEndpoints;
    fleetOptions.startsControllers = false;
    fleetOptions.cores = static_cast<unsigned>(kCoresPerEngine);
    if (options.enginesWarmingUp) {
      fleetOptions.warmupMs = kWarmupMs;
      fleetOptions.initialCapacityRatio = kInitialCapacityRatio;
      fleetOptions.warmupOverloadRatio = 3;
      const auto wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
      fleetOptions.customizeEndpoint = [wallClock](fakes::FakeEndpointList::Endpoint& endpoint, unsigned,
                                                   const std::string&) {
        endpoint.startedAtMs = wallClock.count();
      };
    }
    warmupEndsAt_ = loop_.now() + std::chrono::milliseconds(kWarmupMs);
    fleet_.emplace(loop_, loop_.memoryBudget, fleetOptions);
    fleet_->endpointList().behavior.answerDuration = std::chrono::milliseconds(options.discoveryLatencyMs);
    loadGenerator_.emplace(loop_, loop_.memoryBudget, fleet_->controllerAddresses(), 11);
    loadGenerator_->setHeartbeatInterval(50ms);
    loadGenerator_->setDedicatedClients(!options.routesToServingControllers);
  }

  Json run() {
    const double rate = options_.requestsPerSecondPerController * options_.controllerCount;
    const std::vector<LoadGenerator::RequestProfile> profiles{fakes::FakeFleet::lookUpProfile(9),
                                                              {"report", "acme", 1, 100ms, 400ms, 10s}};
    std::vector<std::size_t> controllerIndexes(options_.controllerCount);
    for (std::size_t index = 0; index < controllerIndexes.size(); ++index) controllerIndexes[index] = index;
    if (options_.pattern != "all") {
      startControllers(controllerIndexes);
      if (!runUntil([&] { return countReady() == controllerIndexes.size(); }, 60s))
        throw std::runtime_error("not all controllers became ready within 60 s");
      loadGenerator_->start(rate, profiles);
      runUntil([] { return false; }, std::chrono::seconds(options_.settleSeconds));
    }
    const TimePoint startedAt = loop_.now();
    if (options_.discoveryOutageMs > 0) fleet_->endpointList().close();
    loadGenerator_->start(rate, profiles);
    if (options_.pattern == "tenths") {
      for (std::size_t batch = 0; batch < 10; ++batch) {
        std::vector<std::size_t> batchControllers;
        for (std::size_t controllerIndex = batch; controllerIndex < controllerIndexes.size();
             controllerIndex += 10)
          batchControllers.push_back(controllerIndex);
        killControllers(batchControllers, SIGTERM);
        startControllers(batchControllers);
        runUntil([] { return false; }, 1s);
      }
    } else if (options_.pattern == "seven") {
      std::vector<std::size_t> batchControllers;
      for (const std::size_t controllerIndex : controllerIndexes)
        if (controllerIndex % 10 < 7) batchControllers.push_back(controllerIndex);
      killControllers(batchControllers, SIGKILL);
      startControllers(batchControllers);
    } else {
      startControllers(controllerIndexes);
    }
    const TimePoint endsAt = startedAt + std::chrono::seconds(options_.durationSeconds);
    while (loop_.now() < endsAt) {
      runUntil([] { return false; }, 100ms);
      if (options_.discoveryOutageMs > 0 && !fleet_->endpointList().isOpen() &&
          loop_.now() >= startedAt + std::chrono::milliseconds(options_.discoveryOutageMs))
        fleet_->endpointList().open();
    }
    loadGenerator_->stop();
    loop_.runUntil([&] { return loadGenerator_->counters().open == 0; }, 12s);
    return buildReport(startedAt);
  }

 private:
  std::size_t countReady() const {
    return static_cast<std::size_t>(std::count_if(readyAfterMs_.begin(), readyAfterMs_.end(),
                                                  [](const auto& readyAfter) { return readyAfter; }));
  }
  bool runUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    return loop_.runUntil(
        [&] {
          for (std::size_t index = 0; index < startedAt_.size(); ++index)
            if (startedAt_[index] && !readyAfterMs_[index] && loadGenerator_->isInService(index))
              readyAfterMs_[index] = toMilliseconds(loop_.now() - *startedAt_[index]);
          return condition();
        },
        timeout);
  }
  void startControllers(const std::vector<std::size_t>& selectedControllers) {
    for (const std::size_t selectedController : selectedControllers) {
      startedAt_[selectedController] = loop_.now();
      readyAfterMs_[selectedController].reset();
      fleet_->startController(selectedController);
      runUntil([] { return false; }, 1ms);
    }
  }
  void markKilled(std::size_t controller) {
    startedAt_[controller].reset();
    killedAt_[controller] = loop_.now();
  }
  void killControllers(const std::vector<std::size_t>& selectedControllers, int signalNumber) {
    for (const std::size_t selectedController : selectedControllers)
      fleet_->controller(selectedController).sendSignal(signalNumber);
    for (const std::size_t selectedController : selectedControllers) markKilled(selectedController);
    const auto hasLeftService = [&](std::size_t index) {
      return fleet_->controller(index).exitCode() && !loadGenerator_->isInService(index);
    };
    loop_.runUntil(
        [&] { return std::all_of(selectedControllers.begin(), selectedControllers.end(), hasLeftService); },
        6s);
  }

  Json buildReport(TimePoint startedAt) {
    std::vector<TimePoint> discoveryConnections = sortedSince(fleet_->endpointList().acceptTimes, startedAt),
                           discoveryReads = sortedSince(fleet_->endpointList().queryTimes, startedAt),
                           discoverySnapshots =
                               sortedSince(fleet_->endpointList().snapshotQueryTimes, startedAt),
                           handshakes, engineRequests;
    std::size_t peakHandshakesPerEngine = 0, peakWarmupRequests = 0, enginesOverWarmupLimit = 0;
    // All controllers together may send an engine that is warming up the work of its initial capacity over
    // the window.
    double threadSeconds = 0;
    for (const LoadGenerator::Request& request : loadGenerator_->requests())
      threadSeconds += request.profile == 0 ? 0.0115 : 0.25;
    const double expectedWarmupRequests =
        kInitialCapacityRatio * kCoresPerEngine * kWarmupWindowSeconds /
        std::max(1e-3, threadSeconds /
                           static_cast<double>(std::max<std::size_t>(1, loadGenerator_->requests().size())));
    const double warmupRequestLimit = expectedWarmupRequests + 3 * std::sqrt(expectedWarmupRequests) + 3;
    for (unsigned engineIndex = 0; engineIndex < options_.engineCount; ++engineIndex) {
      const fakes::FakeEngine& engine = fleet_->engine(engineIndex);
      const std::vector<TimePoint> engineHandshakes = sortedSince(engine.acceptTimes, startedAt);
      peakHandshakesPerEngine = std::max(peakHandshakesPerEngine, peakWithinWindow(engineHandshakes, 1s));
      handshakes.insert(handshakes.end(), engineHandshakes.begin(), engineHandshakes.end());
      engineRequests.insert(engineRequests.end(), engine.askTimes.begin(), engine.askTimes.end());
      if (!options_.enginesWarmingUp) continue;
      std::vector<TimePoint> warmupRequests = sortedSince(engine.askTimes, startedAt);
      std::erase_if(warmupRequests, [&](TimePoint time) { return time >= warmupEndsAt_; });
      const std::size_t maxCount = peakWithinWindow(warmupRequests, 3s);
      peakWarmupRequests = std::max(peakWarmupRequests, maxCount);
      if (static_cast<double>(maxCount) > warmupRequestLimit) ++enginesOverWarmupLimit;
    }
    handshakes = sortedSince(handshakes, startedAt);
    engineRequests = sortedSince(engineRequests, startedAt);
    std::vector<double> readyAfterMs;
    for (std::size_t index = 0; index < startedAt_.size(); ++index)
      if (startedAt_[index] && *startedAt_[index] >= startedAt)
        readyAfterMs.push_back(readyAfterMs_[index].value_or(1000.0 * options_.durationSeconds));
    std::size_t completedWithinTenSeconds = 0, completed = 0, rejected = 0, lost = 0, lostWithKilled = 0;
    for (const LoadGenerator::Request& request : loadGenerator_->requests()) {
      const bool isCompleted = !request.lost && request.outcome == fakes::Reply::Outcome::completed &&
                               request.endedAt >= startedAt;
      if (isCompleted) ++completed;
      if (isCompleted && request.endedAt < startedAt + 10s) ++completedWithinTenSeconds;
      if (!request.lost && request.outcome == fakes::Reply::Outcome::rejected && request.endedAt >= startedAt)
        ++rejected;
      if (!request.lost) continue;
      // Until the next heartbeat clients still send to a controller that was killed.
      const auto killedEntry = killedAt_.find(request.controller);
      const bool sentToKilled = killedEntry != killedAt_.end() &&
                                request.sentAt <= *startedAt_[request.controller] &&
                                request.endedAt >= killedEntry->second;
      ++(sentToKilled ? lostWithKilled : lost);
    }
    double cpuSecondsTotal = 0, maxAnonymousMb = 0;
    for (std::size_t controllerIndex = 0; controllerIndex < startedAt_.size(); ++controllerIndex) {
      cpuSecondsTotal += readCpuSeconds(fleet_->controller(controllerIndex).pid());
      maxAnonymousMb =
          std::max(maxAnonymousMb, readResidentMemory(fleet_->controller(controllerIndex).pid()).anonymousMb);
    }
    const LoadGenerator::Counters& statistics = loadGenerator_->counters();
    return Json{{"controllers", options_.controllerCount},
                {"engines", options_.engineCount},
                {"pattern", options_.pattern},
                {"knows", options_.configHasEndpoints},
                {"cold", options_.enginesWarmingUp},
                {"list_ms", options_.discoveryLatencyMs},
                {"list_down_ms", options_.discoveryOutageMs},
                {"jobs_a_second", options_.requestsPerSecondPerController * options_.controllerCount},
                {"ready_ms_p50", quantile(readyAfterMs, 0.5)},
                {"ready_ms_p99", quantile(readyAfterMs, 0.99)},
                {"list",
                 {{"dials", discoveryConnections.size()},
                  {"reads", discoveryReads.size()},
                  {"whole", discoverySnapshots.size()},
                  {"peak_1s", peakWithinWindow(discoveryReads, 1s)},
                  {"peak_100ms", peakWithinWindow(discoveryReads, 100ms)},
                  {"dials_peak_1s", peakWithinWindow(discoveryConnections, 1s)}}},
                {"handshakes",
                 {{"all", handshakes.size()},
                  {"peak_1s", peakWithinWindow(handshakes, 1s)},
                  {"peak_100ms", peakWithinWindow(handshakes, 100ms)},
                  {"one_peak_1s", peakHandshakesPerEngine}}},
                {"requests",
                 {{"all", engineRequests.size()},
                  {"peak_1s", peakWithinWindow(engineRequests, 1s)},
                  {"peak_100ms", peakWithinWindow(engineRequests, 100ms)}}},
                {"cold_bound", warmupRequestLimit},
                {"cold_most", peakWarmupRequests},
                {"cold_over", enginesOverWarmupLimit},
                {"jobs",
                 {{"sent", statistics.sent},
                  {"done", completed},
                  {"done_10s", completedWithinTenSeconds},
                  {"throttled", rejected},
                  {"lost", lost},
                  {"lost_with_killed", lostWithKilled},
                  {"doubled", statistics.duplicateAnswers},
                  {"unasked", statistics.unsolicitedAnswers},
                  {"ran_twice", fleet_->duplicateExecutionCount()}}},
                {"cpu_seconds", cpuSecondsTotal},
                {"own_mb", maxAnonymousMb}};
  }

  const ColdStartOptions options_;
  TestScheduler loop_;
  std::optional<fakes::FakeFleet> fleet_;
  std::optional<LoadGenerator> loadGenerator_;
  std::vector<std::optional<TimePoint>> startedAt_;
  std::vector<std::optional<double>> readyAfterMs_;
  std::map<std::size_t, TimePoint> killedAt_;
  TimePoint warmupEndsAt_{};
};

}  // namespace

int measureColdStart(const std::string& controllerProgram, const ColdStartOptions& options) {
  rlimit descriptorLimit{};
  ::getrlimit(RLIMIT_NOFILE, &descriptorLimit);
  descriptorLimit.rlim_cur = descriptorLimit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &descriptorLimit);
  struct Variant {
    const char* name;
    std::string program, operatorConfig;
  };
  std::vector<Variant> variants;
  if (!options.baselineProgram.empty()) variants.push_back({"before", options.baselineProgram, ""});
  variants.push_back({"off", controllerProgram, ""});
  if (!options.operatorConfig.empty()) variants.push_back({"on", controllerProgram, options.operatorConfig});
  if (!options.printsJson)
    std::printf(
        "%-7s %5s %5s | %9s %9s | %6s %6s %6s %6s | %6s %6s %6s %6s | %7s | %7s %8s %8s %5s %6s | %10s | "
        "%6s\n",
        "", "contr", "eng", "ready p50", "ready p99", "reads", "full", "/s", "/100ms", "conns", "/s",
        "/100ms", "eng/s", "req/s", "in 10 s", "complete", "rejected", "lost", "reruns", "over limit",
        "cpu s");
  bool passed = true;
  int networkIndex = 90;
  for (const Variant& variant : variants) {
    Json report = ColdStartRun(options, variant.program, variant.operatorConfig, networkIndex++).run();
    report["variant"] = variant.name;
    passed = passed && report["jobs"]["lost"] == 0 && report["jobs"]["doubled"] == 0 &&
             report["jobs"]["ran_twice"] == 0 && (report["variant"] == "before" || report["cold_over"] == 0);
    if (options.printsJson) {
      std::printf("%s\n", report.dump().c_str());
    } else {
      const auto count = [&](const char* section, const char* key) {
        return report[section][key].get<unsigned>();
      };
      std::printf(
          "%-7s %5u %5u | %9.0f %9.0f | %6u %6u %6u %6u | %6u %6u %6u %6u | %7u | %7u %8u %8u %5u %6u | %4u "
          "(%u/%.0f) | %6.1f\n",
          variant.name, options.controllerCount, options.engineCount, report["ready_ms_p50"].get<double>(),
          report["ready_ms_p99"].get<double>(), count("list", "reads"), count("list", "whole"),
          count("list", "peak_1s"), count("list", "peak_100ms"), count("handshakes", "all"),
          count("handshakes", "peak_1s"), count("handshakes", "peak_100ms"),
          count("handshakes", "one_peak_1s"), count("requests", "peak_1s"), count("jobs", "done_10s"),
          count("jobs", "done"), count("jobs", "throttled"), count("jobs", "lost"),
          count("jobs", "ran_twice"), report["cold_over"].get<unsigned>(),
          report["cold_most"].get<unsigned>(), report["cold_bound"].get<double>(),
          report["cpu_seconds"].get<double>());
    }
    std::fflush(stdout);
  }
  return passed ? 0 : 1;
}

}  // namespace paddletrack::loadtest
