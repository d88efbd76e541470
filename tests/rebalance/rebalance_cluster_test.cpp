// Tests rebalancing with several controller processes: no two controllers follow different views in one
// epoch, even if controllers are killed, stopped or restarted.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <map>
#include <set>

#include "fakes/fake_fleet.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack {
namespace {

using std::chrono::seconds, std::chrono::milliseconds;

struct EpochViews {
  std::map<std::uint64_t, std::set<std::string>> viewsByEpoch;  // views in the logs of all controllers
  std::uint64_t lastEpoch = 0;  // last epoch in the log of the given controller
};
EpochViews readEpochViews(const fakes::FakeFleet& fleet, std::size_t controllerCount,
                          std::size_t controller) {
  EpochViews result;
  for (std::size_t index = 0; index < controllerCount; ++index) {
    std::ifstream logFile(fleet.logPath(index));
    for (std::string line; std::getline(logFile, line);) {
      const std::size_t epochPosition = line.find("rebalance: epoch "), viewPosition = line.find("view ");
      if (epochPosition == std::string::npos || viewPosition == std::string::npos) continue;
      const std::uint64_t epoch = std::stoull(line.substr(epochPosition + 17));
      result.viewsByEpoch[epoch].insert(line.substr(viewPosition));
      if (index == controller) result.lastEpoch = std::max(result.lastEpoch, epoch);
    }
  }
  return result;
}

TEST(RebalanceCluster, AgreesOnOneViewPerEpochOnlyWhenMajorityIsAlive) {
  constexpr unsigned kControllers = 3;
  constexpr int kSubnet = 117;
  fakes::TestScheduler scheduler;
  fakes::FakeFleetOptions options;
  options.program = PADDLETRACK_PROGRAM, options.subnet = kSubnet, options.engines = 4,
  options.controllers = kControllers;
  options.operatorConfigOf = [](unsigned controller) {
    const auto peerAddress = [](unsigned index) {
      return "\"127.0." + std::to_string(kSubnet) + "." + std::to_string(200 + index) + ":19446\"";
    };
    return "share {\n  listen = " + peerAddress(controller) + "\n  peers = [" + peerAddress(0) + ", " +
           peerAddress(1) + ", " + peerAddress(2) +
           "]\n  period = \"50ms\"\n}\nrebalance {\n  capacity = \"640MiB\"\n  group = \"64MiB\"\n"
           "  period = \"2s\"\n  guard = \"100ms\"\n}\n";
  };
  fakes::FakeFleet fleet(scheduler, scheduler.memoryBudget, options);
  for (unsigned engine = 0; engine < options.engines; ++engine)
    fleet.engine(engine).configureCache({10, 64 << 20, milliseconds(30)});
  fakes::LoadGenerator loadGenerator(scheduler, scheduler.memoryBudget, fleet.controllerAddresses(), 3);
  std::vector<fakes::LoadGenerator::RequestProfile> profiles;
  for (unsigned group = 1; group <= 12; ++group) {
    profiles.push_back(fakes::FakeFleet::lookUpProfile());
    profiles.back().tableGroup = group;
  }
  const auto areAllReady = [&] {
    return loadGenerator.isInService(0) && loadGenerator.isInService(1) && loadGenerator.isInService(2);
  };
  ASSERT_TRUE(scheduler.runUntil(areAllReady));
  loadGenerator.start(120, profiles);
  const auto advancesTwoEpochs = [&](std::size_t controller) {  // waits for two further epochs
    const std::uint64_t startEpoch = readEpochViews(fleet, kControllers, controller).lastEpoch;
    return scheduler.runUntil(
        [&] { return readEpochViews(fleet, kControllers, controller).lastEpoch >= startEpoch + 2; },
        seconds(20));
  };
  ASSERT_TRUE(advancesTwoEpochs(0));
  fakes::FakeEndpointList::Endpoint drained{"s-1", "127.0.117.1:18443"};
  drained.state = "leaving";
  fleet.endpointList().publish({drained});
  scheduler.runFor(milliseconds(300));
  fleet.controller(2).sendSignal(SIGKILL);  // while the plan is being followed
  EXPECT_TRUE(advancesTwoEpochs(0));        // two of three controllers are a majority
  fleet.startController(2);
  EXPECT_TRUE(advancesTwoEpochs(2));  // the restarted controller participates again; its log starts empty
  fleet.controller(1).sendSignal(SIGSTOP);
  EXPECT_TRUE(advancesTwoEpochs(0));
  fleet.controller(2).sendSignal(SIGKILL);  // one of three controllers is not a majority
  scheduler.runFor(seconds(2));
  const std::uint64_t epochWithoutMajority = readEpochViews(fleet, kControllers, 0).lastEpoch;
  scheduler.runFor(seconds(5));
  EXPECT_EQ(readEpochViews(fleet, kControllers, 0).lastEpoch, epochWithoutMajority);
  fleet.controller(1).sendSignal(SIGCONT);
  EXPECT_TRUE(advancesTwoEpochs(0));
  loadGenerator.stop();
  for (const auto& [epoch, views] : readEpochViews(fleet, kControllers, 0).viewsByEpoch)
    EXPECT_EQ(views.size(), 1U) << epoch;
  EXPECT_EQ(loadGenerator.counters().duplicateAnswers, 0U);
  EXPECT_EQ(fleet.duplicateExecutionCount(), 0U);
}

}  // namespace
}  // namespace paddletrack
