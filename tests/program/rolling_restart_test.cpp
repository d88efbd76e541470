// Several controllers as processes, in troubles that come together.
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

// The change log falls silent, a SIGHUP names a file that is wrong or a log that is not there, one executor
// takes all and answers nothing, one answers all twice, clients mean no good, and in the middle of it every
// controller is restarted in turn. Every job gets one answer; what the log told meanwhile holds once it
// speaks.
TEST(RollingRestart, LosesNoRequestWhenEndpointListIsSilentAndEnginesMisbehave) {
  TestScheduler loop;
  FakeFleetOptions options;
  options.program = PADDLETRACK_PROGRAM;
  options.engines = 6;
  options.controllers = 3;
  options.hasAdminSockets = false;
  std::optional<FakeFleet> startedSite;
  for (options.subnet = 150; !startedSite;) {  // the first net that nobody else uses
    try {
      startedSite.emplace(loop, loop.outputBudget, options);
    } catch (const std::system_error&) {
      if (++options.subnet > 170) throw;
    }
  }
  FakeFleet& site = *startedSite;
  const std::string net = "127.0." + std::to_string(options.subnet) + ".";
  LoadGenerator loadClients(loop, loop.outputBudget, site.controllerAddresses(), 7);
  loadClients.setHeartbeatInterval(20ms);
  const auto areAllServing = [&] {
    for (std::size_t index = 0; index < options.controllers; ++index)
      if (!loadClients.isInService(index)) return false;
    return true;
  };
  ASSERT_TRUE(loop.runUntil(areAllServing));
  loadClients.start(150, {FakeFleet::lookUpProfile(9), {"report", "acme", 1, 100ms, 300ms, 2s}});
  MisbehavingClients vandals(loop, loop.outputBudget, site.controllerAddresses().front(), 3);
  loop.runFor(300ms);
  site.endpointList().setSilent(true);
  site.engine(0).setFault(0, FakeEngine::Fault::unresponsive);
  site.engine(1).setFault(0, FakeEngine::Fault::duplicateAnswer);
  for (std::size_t index = 0; index < options.controllers; ++index) {
    const std::string path = site.directory() + "/config" + std::to_string(index) + ".json";
    std::ifstream file(path);
    std::string text(std::istreambuf_iterator<char>(file), {});
    const std::string listAddress = net + "250:18443";
    if (index == 0) {
      text.resize(text.size() / 2);
    } else {
      text.replace(text.find(listAddress), listAddress.size(), net + "251:18443");  // nobody is there
    }
    std::ofstream(path) << text;
    site.controller(index).sendSignal(SIGHUP);
  }
  loop.runFor(300ms);
  for (std::size_t item = 0; item < options.controllers; ++item) {
    site.controller(item).sendSignal(SIGTERM);
    ASSERT_TRUE(loop.runUntil([&] { return site.controller(item).exitCode().has_value(); }, 3700ms)) << item;
    EXPECT_EQ(site.controller(item).exitCode(), 0);
    site.startController(item);
    ASSERT_TRUE(loop.runUntil([&] { return loadClients.isInService(item); }));
  }
  site.endpointList().publish({{"s-6", net + "6:18443", "left"}});
  site.endpointList().setSilent(false);
  loop.runFor(2s);  // a silent session is given up after 1.5 s
  const std::uint64_t attemptsBefore = site.engine(5).askCount();
  loop.runFor(500ms);
  EXPECT_EQ(site.engine(5).askCount(), attemptsBefore);
  EXPECT_GT(attemptsBefore, 0U);
  loadClients.stop();
  EXPECT_TRUE(loop.runUntil([&] { return loadClients.counters().open == 0; }, 5s));
  const LoadGenerator::Counters& books = loadClients.counters();
  EXPECT_EQ(books.lost, 0U);
  EXPECT_EQ(books.duplicateAnswers, 0U);
  EXPECT_EQ(books.unsolicitedAnswers, 0U);
  EXPECT_GT(books.answersByOutcome[0], books.sent * 3 / 4);
}

}  // namespace
}  // namespace paddletrack::fakes
