// Two measurements of a drain: the delay from the end of the last open request until the controller reports
// that it has drained, and whether the counts in its progress reports agree with those of the clients and
// engines.
#include <cstdio>

#include "fakes/misbehaving_clients.hpp"
#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;

constexpr auto kShortDeadline = 600ms;  // Deadline of every second round.
constexpr auto kMaxDelayMs = 50.0;      // At the 99th percentile.

struct DrainCase {
  double requestsPerSecond;
  std::size_t reportCount;
  bool hasMisbehavingClients;
};

bool runDrainCase(const std::string& controllerProgram, const DrainCase& drainCase, unsigned roundCount,
                  int networkIndex) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = controllerProgram;
  options.subnet = networkIndex;
  options.cores = 256;
  options.drainNotice = "100ms";
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 5);
  loadGenerator.setHeartbeatInterval(20ms);
  if (!loop.runUntil([&] { return loadGenerator.isInService(0); }, 5s))
    throw std::runtime_error("the controller did not start serving within 5 s");
  AdminClient adminClient(loop, fleet.adminSocketPath(0));
  adminClient.sendRequest({{"do", "watch"}, {"every_ms", 100}});
  std::optional<fakes::MisbehavingClients> misbehavingClients;
  if (drainCase.hasMisbehavingClients)
    misbehavingClients.emplace(loop, loop.memoryBudget, fleet.controllerAddresses()[0], 60);
  loadGenerator.start(drainCase.requestsPerSecond,
                      {fakes::FakeFleet::lookUpProfile(), {"report", "acme", 0, 300ms, 1500ms, 30s}});
  std::vector<double> delaysAfterLastRequest, delaysAfterDeadline;
  std::uint64_t deadlineCount = 0;
  for (unsigned round = 0; round < roundCount; ++round) {
    loop.runFor(150ms);
    const std::size_t firstRequest = loadGenerator.requests().size();
    for (std::size_t index = 0; index < drainCase.reportCount; ++index) loadGenerator.send(1, 0);
    loop.runFor(30ms);
    const bool hasShortDeadline = round % 2 == 1;
    const transport::TimePoint requestedAt = loop.now();
    const Json response = adminClient.sendRequest(
        {{"do", "drain"}, {"deadline_ms", hasShortDeadline ? kShortDeadline.count() : 20000}});
    if (response.is_null() || response["ok"] != true || !adminClient.waitForState("drained", 30s))
      throw std::runtime_error("the controller did not drain: " + response.dump());
    const transport::TimePoint drainedAt = adminClient.stateChangedAt();
    // When the last accepted request got its answer.
    transport::TimePoint lastEndedAt = requestedAt;
    for (std::size_t requestIndex = firstRequest; requestIndex < loadGenerator.requests().size();
         ++requestIndex)
      if (loadGenerator.requests()[requestIndex].endedAt <= drainedAt)
        lastEndedAt = std::max(lastEndedAt, loadGenerator.requests()[requestIndex].endedAt);
    if (hasShortDeadline && lastEndedAt >= requestedAt + kShortDeadline - 5ms) {
      delaysAfterDeadline.push_back(toMilliseconds(drainedAt - requestedAt - kShortDeadline));
      ++deadlineCount;
    } else {
      delaysAfterLastRequest.push_back(toMilliseconds(drainedAt - lastEndedAt));
    }
    adminClient.sendRequest({{"do", "cancel"}});
    loop.runUntil([&] { return loadGenerator.isInService(0); }, 2s);
  }
  loadGenerator.stop();
  loop.runUntil([&] { return loadGenerator.counters().open == 0; }, 35s);
  const LoadGenerator::Counters& statistics = loadGenerator.counters();
  const bool passed = statistics.lost == 0 && statistics.duplicateAnswers == 0 &&
                      statistics.unsolicitedAnswers == 0 && fleet.duplicateExecutionCount() == 0 &&
                      quantile(delaysAfterLastRequest, 0.99) < kMaxDelayMs &&
                      quantile(delaysAfterDeadline, 0.99) < kMaxDelayMs;
  std::printf("%8.0f %8zu %11s %8u %10.1f %10.1f %12.1f %12.1f %9llu %6llu %10llu %s\n",
              drainCase.requestsPerSecond, drainCase.reportCount,
              drainCase.hasMisbehavingClients ? "60" : "-", roundCount, quantile(delaysAfterLastRequest, 0.5),
              quantile(delaysAfterLastRequest, 0.99), quantile(delaysAfterDeadline, 0.5),
              quantile(delaysAfterDeadline, 0.99), static_cast<unsigned long long>(statistics.sent),
              static_cast<unsigned long long>(statistics.lost),
              static_cast<unsigned long long>(statistics.duplicateAnswers), passed ? "" : " FAILED");
  std::fflush(stdout);
  return passed;
}

// Compares the progress reports, while 120 requests end one by one, with the counts of the load generator and
// the engines. A report is compared only if no request ended within some milliseconds of it, because the
// three see an answer at different times.
bool checkProgressReports(const std::string& controllerProgram) {
  constexpr auto kQuietMargin = 4ms;
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = controllerProgram;
  options.subnet = 69;
  options.cores = 256;
  options.drainNotice = "100ms";
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 6);
  if (!loop.runUntil([&] { return loadGenerator.isInService(0); }, 5s))
    throw std::runtime_error("the controller did not start serving within 5 s");
  // The answer to a heartbeat would briefly count as unsent bytes.
  loadGenerator.setHeartbeatInterval(20s);
  loop.runFor(200ms);
  struct ProgressSample {
    transport::TimePoint sampledAt;
    Json open;
    std::size_t requests, attempts;
  };
  std::vector<ProgressSample> samples;
  AdminClient adminClient(loop, fleet.adminSocketPath(0));
  adminClient.onProgress = [&](const Json& status) {
    samples.push_back({loop.now(), status["open"], loadGenerator.openRequestsAt(0), fleet.openAskCount()});
  };
  loadGenerator.start(0,
                      {{"report", "acme", 0, 300ms, 6000ms, 30s}, {"load", "acme", 0, 300ms, 6000ms, 30s}});
  for (std::size_t index = 0; index < 120; ++index) loadGenerator.send(index % 2, 0);
  loop.runFor(100ms);
  adminClient.sendRequest({{"do", "drain"}, {"deadline_ms", 20000}});
  adminClient.sendRequest({{"do", "watch"}, {"every_ms", 20}});
  loop.runUntil([&] { return loadGenerator.counters().open == 0; }, 20s);
  loop.runFor(100ms);
  std::size_t compared = 0, mismatched = 0;
  for (const ProgressSample& sample : samples) {
    const auto changedNearSample = [&](const LoadGenerator::Request& request) {
      return std::chrono::abs(request.endedAt - sample.sampledAt) < kQuietMargin;
    };
    if (std::any_of(loadGenerator.requests().begin(), loadGenerator.requests().end(), changedNearSample))
      continue;
    ++compared;
    const bool matches = sample.open["jobs"] == sample.requests &&
                         sample.open["dispatches"] == sample.attempts && sample.open["bytes_unsent"] == 0 &&
                         sample.open["by_type"]["report"].get<std::size_t>() +
                                 sample.open["by_type"]["load"].get<std::size_t>() ==
                             sample.requests;
    if (!matches) ++mismatched;
  }
  std::printf("\nprogress reports %zu, compared with clients and engines %zu, mismatched %zu%s\n",
              samples.size(), compared, mismatched, mismatched == 0 && compared > 50 ? "" : "  FAILED");
  return mismatched == 0 && compared > 50;
}

}  // namespace

int measureDrain(const std::string& controllerProgram, unsigned roundCount) {
  std::printf(
      "ms until a controller reports that it has drained, from the end of the last request (last) or, in\n"
      "every second round, from the deadline of %lld ms; report requests take 300 to 1500 ms at the fake\n"
      "engines\n\n",
      static_cast<long long>(kShortDeadline.count()));
  std::printf("%8s %8s %11s %8s %10s %10s %12s %12s %9s %6s %10s\n", "req/s", "reports", "misbehaving",
              "drains", "last p50", "last p99", "deadline p50", "deadline p99", "requests", "lost",
              "dup. reply");
  bool passed = true;
  int networkIndex = 62;
  for (const DrainCase& drainCase : {DrainCase{200, 1, false},
                                     {200, 10, false},
                                     {200, 100, false},
                                     {2000, 1, false},
                                     {2000, 10, false},
                                     {2000, 100, false},
                                     {2000, 10, true}})
    passed = runDrainCase(controllerProgram, drainCase, roundCount, networkIndex++) && passed;
  passed = checkProgressReports(controllerProgram) && passed;
  return passed ? 0 : 1;
}

}  // namespace paddletrack::loadtest
