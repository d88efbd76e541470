// Compares runs with and without placement plans while three of ten engines drain and three new ones join:
// the bytes that engines read again, and the share of requests that finish in time.
#include <unistd.h>

#include <cstdio>

#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

constexpr unsigned kInitialEngineCount = 10, kNewEngineCount = 3, kControllerCount = 3, kGroupCount = 60;
constexpr std::uint64_t kGroupBytes = 64 << 20;

struct RunResult {
  double rereadGb = 0, inTimeRatio = 0;  // gigabytes; share of requests
  std::uint64_t requests = 0, lost = 0, duplicateAnswers = 0, completed = 0, executedTwice = 0;
  std::uint64_t planLogLines = 0;  // log lines of the first controller that report the moves of a plan
};

RunResult runPlacement(const std::string& controllerProgram, bool plansEnabled, int networkIndex,
                       double requestsPerSecond, std::chrono::milliseconds phaseDuration) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = controllerProgram, options.subnet = networkIndex;
  options.engines = kInitialEngineCount + kNewEngineCount, options.controllers = kControllerCount;
  options.customizeEndpoint = [](fakes::FakeEndpointList::Endpoint& endpoint, unsigned engineIndex,
                                 const std::string&) {
    if (engineIndex >= kInitialEngineCount) endpoint.state = "left";
  };
  std::vector<std::string> peers;
  for (unsigned index = 0; index < kControllerCount; ++index)
    peers.push_back("127.0." + std::to_string(networkIndex) + "." + std::to_string(200 + index) + ":19446");
  options.operatorConfigOf = [=](unsigned controllerIndex) {
    if (!plansEnabled) return std::string();
    std::string peerList;
    for (const std::string& peer : peers) peerList += (peerList.empty() ? "\"" : ", \"") + peer + "\"";
    return "share {\n  listen = \"" + peers[controllerIndex] + "\"\n  peers = [" + peerList +
           "]\n  period = \"100ms\"\n}\nrebalance {\n  capacity = \"" +
           std::to_string(10 * (kGroupBytes >> 20)) + "MiB\"\n  group = \"" +
           std::to_string(kGroupBytes >> 20) + "MiB\"\n  period = \"4s\"\n  guard = \"200ms\"\n}\n";
  };
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  for (unsigned index = 0; index < options.engines; ++index)
    fleet.engine(index).configureCache({10, kGroupBytes, std::chrono::milliseconds(120)});
  fakes::LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 5);
  std::vector<fakes::LoadGenerator::RequestProfile> profiles;
  for (unsigned group = 1; group <= kGroupCount; ++group) {
    fakes::LoadGenerator::RequestProfile profile = fakes::FakeFleet::lookUpProfile(1.0 / (5 + group));
    profile.tableGroup = group;
    profiles.push_back(profile);
  }
  loop.runUntil([&] {
    for (unsigned index = 0; index < kControllerCount; ++index)
      if (!loadGenerator.isInService(index)) return false;
    return true;
  });
  loadGenerator.start(requestsPerSecond, profiles);
  loop.runFor(3 * phaseDuration);
  const auto totalBytesRead = [&] {
    std::uint64_t totalBytes = 0;
    for (unsigned index = 0; index < options.engines; ++index) totalBytes += fleet.engine(index).bytesRead();
    return totalBytes;
  };
  const std::uint64_t bytesBefore = totalBytesRead();
  const std::size_t firstRequest = loadGenerator.requests().size();
  const auto makeEndpoint = [&](unsigned engineIndex, const std::string& state, std::int64_t startedMs) {
    fakes::FakeEndpointList::Endpoint endpoint;
    endpoint.id = "s-" + std::to_string(engineIndex + 1);
    endpoint.address =
        "127.0." + std::to_string(networkIndex) + "." + std::to_string(1 + engineIndex) + ":18443";
    endpoint.state = state, endpoint.startedAtMs = startedMs;
    return endpoint;
  };
  const auto nowMs = [] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  };
  std::vector<fakes::FakeEndpointList::Endpoint> changedEndpoints;
  for (unsigned index = 0; index < kNewEngineCount; ++index)
    changedEndpoints.push_back(makeEndpoint(index, "leaving", 0));
  fleet.endpointList().publish(changedEndpoints);
  loop.runFor(2 * phaseDuration);
  changedEndpoints.clear();
  for (unsigned index = 0; index < kNewEngineCount; ++index) {
    changedEndpoints.push_back(makeEndpoint(index, "left", 0));
    changedEndpoints.push_back(makeEndpoint(kInitialEngineCount + index, "active", nowMs()));
  }
  fleet.endpointList().publish(changedEndpoints);
  loop.runFor(2 * phaseDuration);
  RunResult result;
  result.rereadGb = static_cast<double>(totalBytesRead() - bytesBefore) / 1e9;
  loadGenerator.stop();
  loop.runUntil([&] { return loadGenerator.counters().open == 0; }, 5s);
  std::uint64_t inTimeCount = 0;
  for (std::size_t index = firstRequest; index < loadGenerator.requests().size(); ++index) {
    const fakes::LoadGenerator::Request& request = loadGenerator.requests()[index];
    ++result.requests;
    const bool completed = request.outcome == fakes::Reply::Outcome::completed;
    result.completed += completed ? 1 : 0;
    inTimeCount += completed && request.endedAt - request.sentAt <= 600ms ? 1 : 0;
  }
  result.inTimeRatio =
      static_cast<double>(inTimeCount) / static_cast<double>(std::max<std::uint64_t>(1, result.requests));
  result.lost = loadGenerator.counters().lost,
  result.duplicateAnswers = loadGenerator.counters().duplicateAnswers,
  result.executedTwice = fleet.duplicateExecutionCount();
  std::ifstream log(fleet.logPath(0));
  for (std::string line; std::getline(log, line);) {
    result.planLogLines += line.find("moves") != std::string::npos ? 1 : 0;
    if (std::getenv("PADDLETRACK_SHOW") && line.find("rebalance") != std::string::npos)
      std::puts(line.c_str());
  }
  return result;
}

}  // namespace

int measurePlacementEffect(const std::string& controllerProgram, unsigned roundCount,
                           double requestsPerSecond, unsigned phaseSeconds) {
  std::printf(
      "%u controllers, %u engines of which %u drain and %u new ones join, %u groups of 64 MiB; an engine "
      "caches 10\n",
      kControllerCount, kInitialEngineCount, kNewEngineCount, kNewEngineCount, kGroupCount);
  std::printf("%-6s %10s %10s %8s %9s %6s %10s %10s %9s\n", "plans", "GB reread", "in time", "requests",
              "completed", "lost", "dup. reply", "run twice", "plan logs");
  double rereadWithoutPlans = 0, rereadWithPlans = 0, inTimeWithoutPlans = 0, inTimeWithPlans = 0;
  bool passed = true;
  for (unsigned round = 0; round < roundCount; ++round)
    for (const bool plansEnabled : {false, true}) {
      const RunResult result = runPlacement(controllerProgram, plansEnabled,
                                            90 + static_cast<int>(2 * round + (plansEnabled ? 1 : 0)) % 20,
                                            requestsPerSecond, std::chrono::seconds(phaseSeconds));
      std::printf("%-6s %10.2f %10.4f %8llu %9llu %6llu %10llu %10llu %9llu\n", plansEnabled ? "on" : "off",
                  result.rereadGb, result.inTimeRatio, static_cast<unsigned long long>(result.requests),
                  static_cast<unsigned long long>(result.completed),
                  static_cast<unsigned long long>(result.lost),
                  static_cast<unsigned long long>(result.duplicateAnswers),
                  static_cast<unsigned long long>(result.executedTwice),
                  static_cast<unsigned long long>(result.planLogLines));
      std::fflush(stdout);
      (plansEnabled ? rereadWithPlans : rereadWithoutPlans) += result.rereadGb;
      (plansEnabled ? inTimeWithPlans : inTimeWithoutPlans) += result.inTimeRatio;
      passed = passed && result.lost == 0 && result.duplicateAnswers == 0;
    }
  std::printf("bytes read again with plans: %.2f of those without; share in time %+.4f\n",
              rereadWithPlans / std::max(rereadWithoutPlans, 1e-9),
              (inTimeWithPlans - inTimeWithoutPlans) / roundCount);
  return passed && rereadWithPlans <= rereadWithoutPlans / 2 &&
                 inTimeWithPlans >= inTimeWithoutPlans - 0.001 * roundCount
             ? 0
             : 1;
}

}  // namespace paddletrack::loadtest
