// Several controller processes under simultaneous faults.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <system_error>

#include "fakes/fake_fleet.hpp"
#include "fakes/misbehaving_clients.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;

// The endpoint list goes silent, a SIGHUP reloads a truncated file or an endpoint list address without a
// listener, one engine accepts requests but never answers, one answers every request twice, clients
// misbehave, and meanwhile every controller is restarted in turn. Every request must get exactly one answer,
// and endpoint events published during the silence must take effect once the list responds again.
TEST(RollingRestart, LosesNoRequestWhenEndpointListIsSilentAndEnginesMisbehave) {
  TestScheduler loop;
  FakeFleetOptions options;
  options.program = PADDLETRACK_PROGRAM;
  options.engines = 6;
  options.controllers = 3;
  options.hasAdminSockets = false;
  std::optional<FakeFleet> startedFleet;
  for (options.subnet = 150; !startedFleet;) {  // the first unused subnet
    try {
      startedFleet.emplace(loop, loop.memoryBudget, options);
    } catch (const std::system_error&) {
      if (++options.subnet > 170) throw;
    }
  }
  FakeFleet& fleet = *startedFleet;
  const std::string network = "127.0." + std::to_string(options.subnet) + ".";
  LoadGenerator loadClients(loop, loop.memoryBudget, fleet.controllerAddresses(), 7);
  loadClients.setHeartbeatInterval(20ms);
  const auto areAllServing = [&] {
    for (std::size_t index = 0; index < options.controllers; ++index)
      if (!loadClients.isInService(index)) return false;
    return true;
  };
  ASSERT_TRUE(loop.runUntil(areAllServing));
  loadClients.start(150, {FakeFleet::lookUpProfile(9), {"report", "acme", 1, 100ms, 300ms, 2s}});
  MisbehavingClients misbehavingClients(loop, loop.memoryBudget, fleet.controllerAddresses().front(), 3);
  loop.runFor(300ms);
  fleet.endpointList().setSilent(true);
  fleet.engine(0).setFault(0, FakeEngine::Fault::unresponsive);
  fleet.engine(1).setFault(0, FakeEngine::Fault::duplicateAnswer);
  for (std::size_t index = 0; index < options.controllers; ++index) {
    const std::string path = fleet.directory() + "/config" + std::to_string(index) + ".json";
    std::ifstream file(path);
    std::string text(std::istreambuf_iterator<char>(file), {});
    const std::string listAddress = network + "250:18443";
    if (index == 0) {
      text.resize(text.size() / 2);
    } else {
      text.replace(text.find(listAddress), listAddress.size(), network + "251:18443");  // no listener
    }
    std::ofstream(path) << text;
    fleet.controller(index).sendSignal(SIGHUP);
  }
  loop.runFor(300ms);
  for (std::size_t index = 0; index < options.controllers; ++index) {
    fleet.controller(index).sendSignal(SIGTERM);
    ASSERT_TRUE(loop.runUntil([&] { return fleet.controller(index).exitCode().has_value(); }, 3700ms))
        << index;
    EXPECT_EQ(fleet.controller(index).exitCode(), 0);
    fleet.startController(index);
    ASSERT_TRUE(loop.runUntil([&] { return loadClients.isInService(index); }));
  }
  fleet.endpointList().publish({{"s-6", network + "6:18443", "left"}});
  fleet.endpointList().setSilent(false);
  loop.runFor(2s);  // a silent session is closed after 1.5 s
  const std::uint64_t attemptsBefore = fleet.engine(5).askCount();
  loop.runFor(500ms);
  EXPECT_EQ(fleet.engine(5).askCount(), attemptsBefore);
  EXPECT_GT(attemptsBefore, 0U);
  loadClients.stop();
  EXPECT_TRUE(loop.runUntil([&] { return loadClients.counters().open == 0; }, 5s));
  const LoadGenerator::Counters& loadCounters = loadClients.counters();
  EXPECT_EQ(loadCounters.lost, 0U);
  EXPECT_EQ(loadCounters.duplicateAnswers, 0U);
  EXPECT_EQ(loadCounters.unsolicitedAnswers, 0U);
  EXPECT_GT(loadCounters.answersByOutcome[0], loadCounters.sent * 3 / 4);
}

}  // namespace
}  // namespace paddletrack::fakes
