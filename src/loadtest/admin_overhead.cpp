// Measures the cost of the admin socket: instructions per request under callgrind, and memory, of the program
// with an idle admin socket, without one, and of an earlier build.
#include <csignal>
#include <cstdio>

#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;

// The difference of two runs excludes the cost of the start, which is the same in both.
constexpr std::size_t kFewRequests = 300;
constexpr std::size_t kManyRequests = 2300;

struct OverheadVariant {
  std::string name, program;
  bool adminEnabled;
};

void runRequests(TestScheduler& loop, LoadGenerator& loadGenerator, std::size_t requestCount) {
  loadGenerator.start(0, {{"look-up", "acme", 1, 1ms, 1ms, 20s}});
  for (std::size_t index = 0; index < requestCount; ++index) {
    loadGenerator.send(0, 0);
    loop.runUntil([&] { return loadGenerator.counters().open == 0; }, 20s);
  }
}

double countInstructions(const OverheadVariant& variant, std::size_t requestCount) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = variant.program;
  options.subnet = 71;
  options.hasAdminSockets = variant.adminEnabled;
  const fakes::TemporaryDirectory folder;
  const std::string callgrindFile = folder.path() + "/callgrind";
  options.launcher = {"/usr/bin/valgrind", "-q", "--tool=callgrind", "--callgrind-out-file=" + callgrindFile};
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 9);
  loadGenerator.setHeartbeatInterval(1000ms);
  if (!loop.runUntil([&] { return loadGenerator.isInService(0); }, 30s))
    throw std::runtime_error(variant.name +
                             ": the controller did not start serving within 30 s under callgrind");
  runRequests(loop, loadGenerator, requestCount);
  if (loadGenerator.counters().answersByOutcome[0] != requestCount)
    throw std::runtime_error(variant.name + ": not all requests were completed");
  fleet.controller(0).sendSignal(SIGTERM);
  loop.runUntil([&] { return fleet.controller(0).exitCode().has_value(); }, 30s);
  std::ifstream file(callgrindFile);
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("totals: ") || line.starts_with("summary: "))
      return std::stod(line.substr(line.find(' ') + 1));
  throw std::runtime_error("no totals in the callgrind output (is valgrind installed?)");
}

ResidentMemory measureMemory(const OverheadVariant& variant) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = variant.program;
  options.subnet = 72;
  options.hasAdminSockets = variant.adminEnabled;
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(), 9);
  if (!loop.runUntil([&] { return loadGenerator.isInService(0); }, 5s))
    throw std::runtime_error(variant.name + ": the controller did not start serving within 5 s");
  runRequests(loop, loadGenerator, 2000);
  return readResidentMemory(fleet.controller(0).pid());
}

}  // namespace

int measureAdminOverhead(const std::string& controllerProgram, const std::string& baselineProgram) {
  std::vector<OverheadVariant> variants;
  if (!baselineProgram.empty()) variants.push_back({"baseline", baselineProgram, false});
  variants.push_back({"admin off", controllerProgram, false});
  variants.push_back({"admin idle", controllerProgram, true});
  std::printf("%-12s %16s %10s %12s %12s\n", "", "instructions/req", "ratio", "resident MB", "anon MB");
  double baselineInstructions = 0;
  for (const OverheadVariant& variant : variants) {
    const double instructionsPerRequest =
        (countInstructions(variant, kManyRequests) - countInstructions(variant, kFewRequests)) /
        static_cast<double>(kManyRequests - kFewRequests);
    const ResidentMemory memory = measureMemory(variant);
    if (baselineInstructions <= 0) baselineInstructions = instructionsPerRequest;
    std::printf("%-12s %16.0f %10.4f %12.2f %12.2f\n", variant.name.c_str(), instructionsPerRequest,
                instructionsPerRequest / baselineInstructions, memory.totalMb, memory.anonymousMb);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace paddletrack::loadtest
