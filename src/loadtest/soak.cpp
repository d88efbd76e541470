// A long run of one controller under steady load. Its resident memory is sampled during the run, so that a
// table, queue or pool that grows shows as a slope. Every request has a new reference. This is a command and
// not a test, because it runs for minutes.
#include <cstdio>

#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {

// Returns 0 if the controller served throughout and its anonymous memory at the end is within a tenth and 1
// MB of what it was after the first quarter, when the allocations of the start are done.
int measureSoak(const std::string& controllerProgram, double requestsPerSecond, double durationMinutes) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = controllerProgram;
  options.subnet = 73;
  options.hasAdminSockets = false;
  options.memoryMb = 64;
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  fakes::LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 11);
  if (!loop.runUntil([&] { return loadGenerator.isInService(0); }, 5s))
    throw std::runtime_error("the controller did not start serving within 5 s");
  loadGenerator.start(requestsPerSecond,
                      {fakes::FakeFleet::lookUpProfile(8), {"report", "acme", 1, 20ms, 120ms, 5s}});
  const auto duration = std::chrono::duration_cast<transport::Clock::duration>(
      std::chrono::duration<double>(durationMinutes * 60));
  const auto interval = duration / 20;
  std::printf("%8s %10s %10s %8s %12s %8s\n", "minute", "requests", "completed", "lost", "resident MB",
              "anon MB");
  std::vector<ResidentMemory> samples;
  const transport::TimePoint startedAt = loop.now();
  for (int step = 1; step <= 20; ++step) {
    loop.runUntil([] { return false; }, std::chrono::duration_cast<std::chrono::milliseconds>(interval));
    if (fleet.controller(0).exitCode()) throw std::runtime_error("the controller exited during the run");
    samples.push_back(readResidentMemory(fleet.controller(0).pid()));
    const auto& statistics = loadGenerator.counters();
    std::printf("%8.1f %10llu %10llu %8llu %12.2f %8.2f\n", toMilliseconds(loop.now() - startedAt) / 60000,
                static_cast<unsigned long long>(statistics.sent),
                static_cast<unsigned long long>(statistics.answersByOutcome[0]),
                static_cast<unsigned long long>(statistics.lost), samples.back().totalMb,
                samples.back().anonymousMb);
    std::fflush(stdout);
  }
  loadGenerator.stop();
  const double quarterMb = samples[4].anonymousMb, finalMb = samples.back().anonymousMb;
  std::printf("anonymous memory after a quarter of the run %.2f MB, at the end %.2f MB: %+.2f MB\n",
              quarterMb, finalMb, finalMb - quarterMb);
  return finalMb <= quarterMb * 1.1 + 1 && loadGenerator.counters().lost == 0 ? 0 : 1;
}

}  // namespace paddletrack::loadtest
