// Where groups should lie, with processes of the program: one view an epoch, whatever becomes of a
// controller.
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
  std::map<std::uint64_t, std::set<std::string>> viewsByEpoch;  // by epoch, of all controllers
  std::uint64_t lastEpoch = 0;                                  // epoch of the one asked for
};
EpochViews readEpochViews(const fakes::FakeFleet& site, std::size_t controllerCount, std::size_t controller) {
  EpochViews result;
  for (std::size_t index = 0; index < controllerCount; ++index) {
    std::ifstream logFile(site.logPath(index));
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
  constexpr int kNetwork = 117;
  fakes::TestScheduler loop;
  fakes::FakeFleetOptions options;
  options.program = PADDLETRACK_PROGRAM, options.subnet = kNetwork, options.engines = 4,
  options.controllers = kControllers;
  options.operatorConfigOf = [](unsigned controller) {
    const auto peerAddress = [](unsigned value) {
      return "\"127.0." + std::to_string(kNetwork) + "." + std::to_string(200 + value) + ":19446\"";
    };
    return "share {\n  listen = " + peerAddress(controller) + "\n  peers = [" + peerAddress(0) + ", " +
           peerAddress(1) + ", " + peerAddress(2) +
           "]\n  period = \"50ms\"\n}\nrebalance {\n  capacity = \"640MiB\"\n  group = \"64MiB\"\n"
           "  period = \"2s\"\n  guard = \"100ms\"\n}\n";
  };
  fakes::FakeFleet site(loop, loop.outputBudget, options);
  for (unsigned value = 0; value < options.engines; ++value)
    site.engine(value).configureCache({10, 64 << 20, milliseconds(30)});
  fakes::LoadGenerator load(loop, loop.outputBudget, site.controllerAddresses(), 3);
  std::vector<fakes::LoadGenerator::RequestProfile> kinds;
  for (unsigned group = 1; group <= 12; ++group) {
    kinds.push_back(fakes::FakeFleet::lookUpProfile());
    kinds.back().tableGroup = group;
  }
  const auto areAllReady = [&] { return load.isInService(0) && load.isInService(1) && load.isInService(2); };
  ASSERT_TRUE(loop.runUntil(areAllReady));
  load.start(120, kinds);
  const auto advancesTwoEpochs = [&](std::size_t controller) {  // two epochs on from now
    const std::uint64_t now = readEpochViews(site, kControllers, controller).lastEpoch;
    return loop.runUntil([&] { return readEpochViews(site, kControllers, controller).lastEpoch >= now + 2; },
                         seconds(20));
  };
  ASSERT_TRUE(advancesTwoEpochs(0));
  fakes::FakeEndpointList::Endpoint drained{"s-1", "127.0.117.1:18443"};
  drained.state = "leaving";
  site.endpointList().publish({drained});
  loop.runFor(milliseconds(300));
  site.controller(2).sendSignal(SIGKILL);  // midway
  EXPECT_TRUE(advancesTwoEpochs(0));       // two of three are most of them
  site.startController(2);
  EXPECT_TRUE(advancesTwoEpochs(2));  // its log begins anew; it takes part again
  site.controller(1).sendSignal(SIGSTOP);
  EXPECT_TRUE(advancesTwoEpochs(0));
  site.controller(2).sendSignal(SIGKILL);  // one of three agrees on nothing
  loop.runFor(seconds(2));
  const std::uint64_t epochWithoutMajority = readEpochViews(site, kControllers, 0).lastEpoch;
  loop.runFor(seconds(5));
  EXPECT_EQ(readEpochViews(site, kControllers, 0).lastEpoch, epochWithoutMajority);
  site.controller(1).sendSignal(SIGCONT);
  EXPECT_TRUE(advancesTwoEpochs(0));
  load.stop();
  for (const auto& [epoch, views] : readEpochViews(site, kControllers, 0).viewsByEpoch)
    EXPECT_EQ(views.size(), 1U) << epoch;
  EXPECT_EQ(load.counters().duplicateAnswers, 0U);
  EXPECT_EQ(site.duplicateExecutionCount(), 0U);
}

}  // namespace
}  // namespace paddletrack
