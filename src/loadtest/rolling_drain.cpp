// Compares the requests during a rolling drain of three controllers with those of the same load before it.
#include <cstdio>

#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;
using fakes::Reply;

struct IntervalStatistics {
  std::size_t requests = 0;
  std::size_t completed = 0;
  std::size_t rejected = 0;
  std::size_t otherOutcomes = 0;
  std::vector<double> latenciesMs;
};

IntervalStatistics summarizeInterval(const LoadGenerator& loadGenerator, transport::TimePoint begin,
                                     transport::TimePoint end) {
  IntervalStatistics result;
  for (const LoadGenerator::Request& request : loadGenerator.requests()) {
    if (request.sentAt < begin || request.sentAt >= end) continue;
    ++result.requests;
    if (request.outcome == Reply::Outcome::completed) {
      ++result.completed;
      result.latenciesMs.push_back(toMilliseconds(request.endedAt - request.sentAt));
    } else if (request.outcome == Reply::Outcome::rejected) {
      ++result.rejected;
    } else {
      ++result.otherOutcomes;
    }
  }
  return result;
}

}  // namespace

int measureRoll(const std::string& controllerProgram, double requestsPerSecond) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = controllerProgram;
  options.subnet = 70;
  options.controllers = 3;
  options.cores = 64;
  options.drainNotice = "300ms";
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 8);
  loadGenerator.setHeartbeatInterval(100ms);
  if (!loop.runUntil(
          [&] {
            return loadGenerator.isInService(0) && loadGenerator.isInService(1) &&
                   loadGenerator.isInService(2);
          },
          5s))
    throw std::runtime_error("the controllers did not start serving within 5 s");
  loadGenerator.start(requestsPerSecond,
                      {fakes::FakeFleet::lookUpProfile(90), {"report", "acme", 10, 200ms, 2000ms, 20s}});
  loop.runFor(2s);
  const transport::TimePoint undisturbedFrom = loop.now();
  loop.runFor(10s);
  const transport::TimePoint rollingFrom = loop.now();
  fakes::ServerProcess rollProcess(controllerProgram,
                                   {"roll", "--deadline", "10s", fleet.adminSocketPath(0),
                                    fleet.adminSocketPath(1), fleet.adminSocketPath(2)},
                                   fleet.directory() + "/roll");
  const bool finishedInTime = loop.runUntil([&] { return rollProcess.exitCode().has_value(); }, 60s);
  const transport::TimePoint rollingUntil = loop.now();
  loadGenerator.stop();
  loop.runUntil([&] { return loadGenerator.counters().open == 0; }, 25s);
  std::printf("%-10s %8s %8s %8s %10s %8s %8s %8s\n", "", "s", "requests", "complete", "rejected", "other",
              "p50 ms", "p99 ms");
  const auto printInterval = [&](const char* name, transport::TimePoint begin, transport::TimePoint end) {
    const IntervalStatistics interval = summarizeInterval(loadGenerator, begin, end);
    const double requestCount = static_cast<double>(std::max<std::size_t>(interval.requests, 1));
    std::printf("%-10s %8.1f %8zu %7.2f%% %9.2f%% %8zu %8.1f %8.1f\n", name,
                toMilliseconds(end - begin) / 1000, interval.requests,
                100 * static_cast<double>(interval.completed) / requestCount,
                100 * static_cast<double>(interval.rejected) / requestCount, interval.otherOutcomes,
                quantile(interval.latenciesMs, 0.5), quantile(interval.latenciesMs, 0.99));
  };
  printInterval("before", undisturbedFrom, rollingFrom);
  printInterval("drain", rollingFrom, rollingUntil);
  const LoadGenerator::Counters& statistics = loadGenerator.counters();
  std::printf("lost %llu, answered twice %llu, executed twice %llu; the rolling drain exited with %d\n",
              static_cast<unsigned long long>(statistics.lost),
              static_cast<unsigned long long>(statistics.duplicateAnswers),
              static_cast<unsigned long long>(fleet.duplicateExecutionCount()),
              finishedInTime ? *rollProcess.exitCode() : -1);
  const bool hasFaults = statistics.lost + statistics.duplicateAnswers + statistics.unsolicitedAnswers +
                             fleet.duplicateExecutionCount() >
                         0;
  const bool passed = finishedInTime && *rollProcess.exitCode() == 0 && !hasFaults;
  return passed ? 0 : 1;
}

}  // namespace paddletrack::loadtest
