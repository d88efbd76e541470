// A fleet under load with a table of its state on the terminal.
#include <sys/ioctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "loadtest/experiments.hpp"
#include "program/signal_receiver.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::LoadGenerator;
using fakes::Reply;

// The requests of one controller that ended recently.
struct RecentStatistics {
  std::vector<double> latenciesMs;
  std::size_t completed = 0;
  std::size_t rejected = 0;
  std::size_t otherOutcomes = 0;
};

RecentStatistics summarizeRecent(const LoadGenerator& loadGenerator, std::size_t controller,
                                 transport::TimePoint begin) {
  RecentStatistics result;
  const auto& sentRequests = loadGenerator.requests();
  for (std::size_t index = sentRequests.size(); index > 0 && sentRequests[index - 1].sentAt > begin - 4s;
       --index) {
    const LoadGenerator::Request& request = sentRequests[index - 1];
    if (request.controller != controller || request.endedAt < begin) continue;
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

int runDemo(const std::string& controllerProgram, unsigned controllerCount, double requestsPerSecond,
            double durationSeconds) {
  TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = controllerProgram;
  options.subnet = 61;
  options.controllers = controllerCount;
  options.drainNotice = "800ms";
  fakes::FakeFleet fleet(loop, loop.memoryBudget, options);
  LoadGenerator loadGenerator(loop, loop.memoryBudget, fleet.controllerAddresses(),
                              static_cast<std::uint64_t>(::getpid()));
  loadGenerator.start(requestsPerSecond, {fakes::FakeFleet::lookUpProfile(85),
                                          {"report", "acme", 14, 200ms, 3s, 30s},
                                          {"load", "acme", 1, 1s, 4s, 30s}});

  bool interrupted = false;
  program::SignalReceiver signals(loop);
  transport::TaskGroup tasks(loop, [](const char* error) { std::fprintf(stderr, "%s\n", error); });
  const auto waitForSignal = [&]() -> transport::Task<> {
    co_await signals.receive();
    interrupted = true;
    loop.stop();
  };
  tasks.spawn(waitForSignal());

  const bool isTerminal = ::isatty(STDOUT_FILENO) == 1;
  const auto interval = isTerminal ? 500ms : 2000ms;
  const transport::TimePoint startedAt = loop.now();
  int exitStatus = 0;
  while (!interrupted && toMilliseconds(loop.now() - startedAt) < durationSeconds * 1000) {
    loop.runFor(interval);
    std::string output;
    char line[256];
    const auto append = [&](auto... values) {
      std::snprintf(line, sizeof line, values...);
      output += line;
    };
    append(
        "%.0f s, target %.0f requests per second; fake engines, all on loopback. Ctrl-C ends the demo.\n\n",
        toMilliseconds(loop.now() - startedAt) / 1000, requestsPerSecond);
    append("%-12s %-8s %8s %8s %10s %8s %9s %9s\n", "controller", "service", "open", "compl./s", "rejected/s",
           "other/s", "p50 ms", "p99 ms");
    for (unsigned index = 0; index < controllerCount; ++index) {
      if (const auto exitCode = fleet.controller(index).exitCode()) {
        append("c%-11u exited with %d\n", index + 1, *exitCode);
        if (!interrupted && *exitCode != 0) exitStatus = 1;
        continue;
      }
      const RecentStatistics recent = summarizeRecent(loadGenerator, index, loop.now() - 2s);
      append("c%-11u %-8s %8zu %8zu %10zu %8zu %9.1f %9.1f\n", index + 1,
             loadGenerator.isInService(index) ? "in" : "out", loadGenerator.openRequestsAt(index),
             recent.completed / 2, recent.rejected / 2, recent.otherOutcomes / 2,
             quantile(recent.latenciesMs, 0.5), quantile(recent.latenciesMs, 0.99));
    }
    append("\n%-12s %8s %8s\n", "engine", "open", "executed");
    for (unsigned index = 0; index < options.engines; ++index)
      append("s-%-10u %8zu %8llu\n", index + 1, fleet.engine(index).openAskCount(),
             static_cast<unsigned long long>(fleet.engine(index).executionCount()));
    const LoadGenerator::Counters& statistics = loadGenerator.counters();
    append("\nsent %llu, open %llu, lost %llu, answered twice %llu, executed twice %llu\n",
           static_cast<unsigned long long>(statistics.sent), static_cast<unsigned long long>(statistics.open),
           static_cast<unsigned long long>(statistics.lost),
           static_cast<unsigned long long>(statistics.duplicateAnswers),
           static_cast<unsigned long long>(fleet.duplicateExecutionCount()));
    output += "\nIn another terminal:\n";
    for (unsigned index = 0; index < controllerCount; ++index)
      output += "  " + controllerProgram + " drain --watch -s " + fleet.adminSocketPath(index) + "\n";
    output += "  " + controllerProgram + " drain --cancel -s " + fleet.adminSocketPath(0) + "\n  " +
              controllerProgram + " roll";
    for (unsigned index = 0; index < controllerCount; ++index) output += " " + fleet.adminSocketPath(index);
    std::printf("%s%s\n", isTerminal ? "\x1b[H\x1b[J" : "", output.c_str());
    std::fflush(stdout);
  }
  // A planned stop: SIGTERM lets the controllers answer the open requests.
  loadGenerator.stop();
  for (unsigned index = 0; index < controllerCount; ++index)
    if (!fleet.controller(index).exitCode()) fleet.controller(index).sendSignal(SIGTERM);
  loop.runUntil(
      [&] {
        for (unsigned index = 0; index < controllerCount; ++index)
          if (!fleet.controller(index).exitCode()) return false;
        return true;
      },
      6s);
  const LoadGenerator::Counters& statistics = loadGenerator.counters();
  std::printf("finished: %llu requests, %llu lost, %llu answered twice\n",
              static_cast<unsigned long long>(statistics.sent),
              static_cast<unsigned long long>(statistics.lost),
              static_cast<unsigned long long>(statistics.duplicateAnswers));
  return exitStatus != 0 || statistics.lost + statistics.duplicateAnswers > 0 ? 1 : 0;
}

}  // namespace paddletrack::loadtest
