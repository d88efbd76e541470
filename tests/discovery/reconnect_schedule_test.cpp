// Many controllers that start together: the module by itself, and processes of the program against a list
// service that does badly.
#include "discovery/reconnect_schedule.hpp"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "fakes/fake_fleet.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using discovery::Duration;
using discovery::ReconnectSchedule;
using SessionEnd = ReconnectSchedule::SessionEnd;

// ---- the module -----------------------------------------------------------------------------------------

// How many dials of all fall in the fullest second, while each session ends so, from one cut on.
std::size_t maxConnectsPerSecond(unsigned controllers, SessionEnd end, Duration begin, Duration until) {
  std::vector<std::size_t> connectsPerSecond(static_cast<std::size_t>(until / 1s) + 1);
  for (unsigned value = 0; value < controllers; ++value) {
    ReconnectSchedule schedule({controllers, 20, 0, 60s}, true, 0x7a0 + value, Duration{0});
    schedule.onSessionEnded(Duration{0}, SessionEnd::receivedData, true);
    while (schedule.nextConnectAt() < until) {
      if (schedule.nextConnectAt() >= begin)
        ++connectsPerSecond[static_cast<std::size_t>(schedule.nextConnectAt() / 1s)];
      schedule.onSessionEnded(schedule.nextConnectAt(), end, true);
    }
  }
  return *std::max_element(connectsPerSecond.begin(), connectsPerSecond.end());
}

TEST(ReconnectSchedule, KeepsFleetConnectRateWhenSessionsEndInAnyWay) {
  for (const unsigned controllers : {50u, 200u, 500u})
    for (const SessionEnd how :
         {SessionEnd::unreachable, SessionEnd::refused, SessionEnd::unresponsive, SessionEnd::receivedData}) {
      const Duration from = how == SessionEnd::receivedData ? Duration(30s) : Duration(0);
      const std::size_t most = maxConnectsPerSecond(controllers, how, from, 60s);
      // Those that are told something each time come back after half a window in the mean.
      EXPECT_LE(most, how == SessionEnd::receivedData ? 62u : 42u) << controllers;
      EXPECT_GE(most, 10u) << controllers;
    }
}

TEST(ReconnectSchedule, BoundsBackoffWhenNoRatesAreConfigured) {
  ReconnectSchedule dials({300, 0, 0, 30s}, true, 5, Duration(7s));
  EXPECT_EQ(dials.nextConnectAt(), Duration(7s));
  Duration now = dials.nextConnectAt(), longest{0};
  for (int index = 0; index < 200; ++index) {
    dials.onSessionEnded(now, SessionEnd::unreachable, true);
    EXPECT_GE(dials.nextConnectAt() - now, Duration(100ms));
    longest = std::max(longest, dials.nextConnectAt() - now);
    now = dials.nextConnectAt();
  }
  EXPECT_LE(longest, Duration(800ms));
  EXPECT_GT(longest, Duration(500ms));
  EXPECT_EQ(dials.consecutiveFailures(), 200u);
  dials.onSessionEnded(now, SessionEnd::unreachable, true);
  const Duration due = dials.nextConnectAt();
  dials.expediteReconnect(now);
  EXPECT_EQ(dials.nextConnectAt(), due);
}

TEST(ReconnectSchedule, CapsDelayAndShortensItOnceWhenListIsDoubted) {
  Duration sum{0};
  for (unsigned value = 0; value < 100; ++value) {
    ReconnectSchedule dials({100000, 1, 1, 20s}, true, value, Duration{0});
    EXPECT_LE(dials.nextConnectAt(), Duration(20s));
    const Duration due = dials.nextConnectAt();
    dials.expediteReconnect(Duration{0});
    EXPECT_LE(dials.nextConnectAt(), due / 4);
    sum += dials.nextConnectAt();
    const Duration hurried = dials.nextConnectAt();
    dials.expediteReconnect(Duration{0});
    EXPECT_EQ(dials.nextConnectAt(), hurried);
    for (int times = 0; times < 10; ++times) {
      const Duration now = dials.nextConnectAt();
      dials.onSessionEnded(now, SessionEnd::refused, true);
      EXPECT_LE(dials.nextConnectAt() - now, Duration(20s));
    }
  }
  EXPECT_GT(sum / 100, Duration(500ms));  // and still scattered
}

TEST(ReconnectSchedule, DoublesSilenceTimeoutUntilDataArrivesWhenServiceIsSilent) {
  ReconnectSchedule dials({}, false, 1, Duration{0});
  EXPECT_EQ(dials.silenceTimeout(), Duration(1500ms));
  for (const Duration patience : {Duration(3s), Duration(6s), Duration(6s)}) {
    dials.onSessionEnded(Duration{0}, SessionEnd::unresponsive, false);
    EXPECT_EQ(dials.silenceTimeout(), patience);
  }
  dials.onSessionEnded(Duration{0}, SessionEnd::unreachable, false);
  EXPECT_EQ(dials.silenceTimeout(), Duration(6s));  // that says nothing of how slow it is
  dials.onSessionData();
  EXPECT_EQ(dials.silenceTimeout(), Duration(1500ms));
}

// ---- processes ------------------------------------------------------------------------------------------

struct FleetStartFixture : fakes::TestScheduler {
  FleetStartFixture(int subnet, unsigned controllers, const std::string& rateSettings, bool hasCachedList) {
    options.program = PADDLETRACK_PROGRAM;
    options.subnet = subnet;
    options.controllers = controllers;
    options.engines = 6;
    options.includesKnownEvents = hasCachedList;
    options.startsControllers = false;
    options.hasAdminSockets = false;
    if (!rateSettings.empty()) options.operatorConfig = "coldstart {\n" + rateSettings + "\n}\n";
  }
  void startFakes() {
    fleet.emplace(*this, outputBudget, options);
    loadGenerator.emplace(*this, outputBudget, fleet->controllerAddresses(), 3);
    loadGenerator->setHeartbeatInterval(30ms);
    loadGenerator->setDedicatedClients(true);
  }
  void startControllers() {
    for (std::size_t index = 0; index < options.controllers; ++index) fleet->startController(index);
  }
  std::size_t countReady() {
    std::size_t count = 0;
    for (std::size_t index = 0; index < options.controllers; ++index)
      count += loadGenerator->isInService(index) ? 1 : 0;
    return count;
  }
  bool waitUntilAllReady(std::chrono::milliseconds timeout) {
    return runUntil([&] { return countReady() == options.controllers; }, timeout);
  }
  // A job at each; every one is done.
  void expectOneRequestServedEach() {
    loadGenerator->start(0, {fakes::FakeFleet::lookUpProfile()});
    const std::uint64_t doneBefore =
        loadGenerator->counters()
            .answersByOutcome[static_cast<std::size_t>(fakes::Reply::Outcome::completed)];
    for (std::size_t index = 0; index < options.controllers; ++index) loadGenerator->send(0, index);
    EXPECT_TRUE(runUntil([&] { return loadGenerator->counters().open == 0; }, 6s));
    EXPECT_EQ(loadGenerator->counters()
                      .answersByOutcome[static_cast<std::size_t>(fakes::Reply::Outcome::completed)] -
                  doneBefore,
              options.controllers);
    EXPECT_EQ(loadGenerator->counters().lost, 0u);
    EXPECT_EQ(loadGenerator->counters().duplicateAnswers, 0u);
    EXPECT_EQ(fleet->duplicateExecutionCount(), 0u);
  }
  std::string readLog(std::size_t controllerIndex) {
    std::ifstream file(fleet->logPath(controllerIndex));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  fakes::FakeEndpointList& listService() { return fleet->endpointList(); }
  fakes::FakeFleetOptions options;
  std::optional<fakes::FakeFleet> fleet;
  std::optional<fakes::LoadGenerator> loadGenerator;
};

std::size_t maxCountWithin(const std::vector<transport::TimePoint>& times, std::chrono::milliseconds window) {
  std::size_t maxCount = 0, first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) ++first;
    maxCount = std::max(maxCount, last - first + 1);
  }
  return maxCount;
}

nlohmann::json runLoadtest(const std::string& arguments) {
  std::FILE* pipe =
      ::popen((std::string(PADDLETRACK_LOADTEST) + " coldstart --json " + arguments).c_str(), "r");
  std::string output;
  std::array<char, 4096> buffer;
  while (const std::size_t count = std::fread(buffer.data(), 1, buffer.size(), pipe))
    output.append(buffer.data(), count);
  EXPECT_EQ(::pclose(pipe), 0);
  nlohmann::json results = nlohmann::json::array();
  for (std::size_t lineStart = 0, lineEnd; (lineEnd = output.find('\n', lineStart)) != std::string::npos;
       lineStart = lineEnd + 1)
    results.push_back(nlohmann::json::parse(output.substr(lineStart, lineEnd - lineStart)));
  return results;
}

// Fifty that know the list, all executors cold, jobs knocking: off and on in one run. The rig's exit code
// holds that no job is lost or doubled, and that no cold executor gets more than it can do.
TEST(FleetStart, LimitsListReadsAndKeepsThroughputWhenFiftyControllersHaveCachedList) {
  const nlohmann::json told = runLoadtest(
      "--controllers 50 --engines 10 --seconds 7 --rate 1 --cold --with 'coldstart {\n follows = 10 \n}'");
  ASSERT_EQ(told.size(), 2u);
  const nlohmann::json &off = told[0], &on = told[1];
  EXPECT_GE(off["list"]["reads"].get<int>(), 50);
  EXPECT_GE(on["list"]["reads"].get<int>(), 50);
  EXPECT_EQ(on["list"]["whole"], 0);
  EXPECT_LE(on["list"]["peak_1s"].get<int>(), 25);  // 10 are meant
  EXPECT_GT(on["jobs"]["done"].get<double>(), 0.5 * off["jobs"]["done"].get<double>());
}

TEST(FleetStart, SpreadsConnectsWhenListServiceComesUpLate) {
  FleetStartFixture start(111, 24, "follows = 12\nreads = 12", false);  // windows of 2 s
  start.startFakes();
  start.listService().close();
  start.startControllers();
  start.runFor(2500ms);
  EXPECT_EQ(start.countReady(), 0u);
  start.listService().open();
  EXPECT_TRUE(start.waitUntilAllReady(10s));
  EXPECT_LE(maxCountWithin(start.listService().queryTimes, 500ms), 15u);  // 6 are meant
  start.expectOneRequestServedEach();
}

TEST(FleetStart, ServesFromCachedListWhenListServiceIsDown) {
  FleetStartFixture start(112, 4, "", true);
  start.startFakes();
  start.listService().close();
  start.startControllers();
  EXPECT_TRUE(start.waitUntilAllReady(8s));
  start.expectOneRequestServedEach();
}

// One answer takes longer than a beat and a half: taken for dead each time, nobody would ever have a list.
TEST(FleetStart, BecomesReadyWhenListServiceIsSlow) {
  FleetStartFixture start(113, 2, "", false);
  start.startFakes();
  start.listService().behavior.answerDuration = 1800ms;
  start.startControllers();
  EXPECT_TRUE(start.waitUntilAllReady(30s));
  start.expectOneRequestServedEach();
}

TEST(FleetStart, RequestsListAgainWhenResponseIsTruncated) {
  FleetStartFixture start(114, 4, "", false);
  start.startFakes();
  start.listService().behavior.truncateAfterBytes = 150;
  start.startControllers();
  start.runFor(1500ms);
  EXPECT_EQ(start.countReady(), 0u);
  EXPECT_GE(start.listService().snapshotQueryTimes.size(), 4u);
  EXPECT_LE(start.listService().snapshotQueryTimes.size(), 60u);
  start.listService().behavior.truncateAfterBytes = 0;
  EXPECT_TRUE(start.waitUntilAllReady(10s));
  start.expectOneRequestServedEach();
}

TEST(FleetStart, BecomesReadyWhenListServiceRefusesMostConnections) {
  FleetStartFixture start(115, 6, "reads = 12", false);  // a window of half a second
  start.startFakes();
  start.listService().behavior.refusalsPerTen = 8;
  start.startControllers();
  EXPECT_TRUE(start.waitUntilAllReady(40s));
  EXPECT_LE(maxCountWithin(start.listService().acceptTimes, 1s), 36u);
  start.expectOneRequestServedEach();
}

// The engine that came last stays, though the service has gone back to before it; the first are away.
TEST(FleetStart, KeepsNewerListWhenServiceReturnsOlderOne) {
  FleetStartFixture start(116, 2, "", true);
  start.startFakes();
  std::vector<fakes::FakeEndpointList::Endpoint> away;
  for (unsigned value = 0; value < 5; ++value)
    away.push_back({"s-" + std::to_string(value + 1), start.fleet->addressText(1 + value), "left"});
  start.listService().publish(away);
  start.startControllers();
  EXPECT_TRUE(start.waitUntilAllReady(8s));
  start.listService().close();
  start.listService().behavior.lastVisibleSequence = 1;
  start.listService().open();
  EXPECT_TRUE(start.runUntil([&] { return start.readLog(0).find("an old list") != std::string::npos; }, 6s));
  start.expectOneRequestServedEach();
  EXPECT_EQ(start.fleet->engine(5).askCount(), 2u);
}

TEST(FleetStart, ReconnectsAndLearnsChangesWhenWatchFallsSilent) {
  FleetStartFixture start(117, 3, "follows = 6", true);
  start.startFakes();
  start.listService().behavior.silentAfterAnswer = true;
  start.startControllers();
  EXPECT_TRUE(start.waitUntilAllReady(8s));
  start.runFor(1s);
  std::vector<fakes::FakeEndpointList::Endpoint> away;
  for (unsigned value = 1; value < 6; ++value)
    away.push_back({"s-" + std::to_string(value + 1), start.fleet->addressText(1 + value), "left"});
  start.listService().publish(away);  // nobody is told
  const std::size_t before = start.listService().queryTimes.size();
  start.listService().behavior.silentAfterAnswer = false;
  EXPECT_TRUE(start.runUntil([&] { return start.listService().queryTimes.size() >= before + 3; }, 15s));
  start.runFor(500ms);
  start.expectOneRequestServedEach();
  EXPECT_EQ(start.fleet->engine(0).askCount(), 3u);
}

TEST(FleetStart, LosesNoRequestOfSurvivorsWhenHalfAreKilledDuringStart) {
  FleetStartFixture start(118, 10, "follows = 10\nreads = 10", false);
  start.startFakes();
  start.loadGenerator->start(50, {fakes::FakeFleet::lookUpProfile()});
  start.startControllers();
  start.runUntil([&] { return start.countReady() >= 3; }, 8s);
  for (std::size_t index = 0; index < 5; ++index) start.fleet->controller(index).sendSignal(SIGKILL);
  start.runUntil(
      [&] { return start.fleet->controller(0).exitCode() && start.fleet->controller(4).exitCode(); }, 2s);
  for (std::size_t item = 0; item < 5; ++item) start.fleet->startController(item);
  EXPECT_TRUE(start.waitUntilAllReady(15s));
  start.runFor(500ms);
  start.loadGenerator->stop();
  EXPECT_TRUE(start.runUntil([&] { return start.loadGenerator->counters().open == 0; }, 6s));
  for (const fakes::LoadGenerator::Request& job : start.loadGenerator->requests())
    EXPECT_FALSE(job.lost && job.controller >= 5);
  EXPECT_EQ(start.loadGenerator->counters().duplicateAnswers, 0u);
}

// They go to the other service one by one, and follow the old one until then.
TEST(FleetStart, SpreadsConnectsToNewListServiceWhenReloaded) {
  FleetStartFixture start(119, 12, "follows = 6", true);  // a window of 2 s
  start.startFakes();
  start.startControllers();
  EXPECT_TRUE(start.waitUntilAllReady(8s));
  EXPECT_TRUE(start.runUntil([&] { return start.listService().queryTimes.size() >= 12; }, 8s));
  fakes::FakeEndpointList other(start, start.outputBudget, transport::Address(start.fleet->addressText(251)));
  std::vector<fakes::FakeEndpointList::Endpoint> all;
  for (unsigned value = 0; value < 6; ++value)
    all.push_back({"s-" + std::to_string(value + 1), start.fleet->addressText(1 + value)});
  other.publish(all, true);
  for (std::size_t index = 0; index < 12; ++index)
    start.fleet->changeEndpointList(index, start.fleet->addressText(251));
  EXPECT_TRUE(start.runUntil([&] { return other.queryTimes.size() == 12; }, 8s));
  EXPECT_EQ(other.snapshotQueryTimes.size(), 0u);  // followed from where they were
  EXPECT_LE(maxCountWithin(other.queryTimes, 300ms), 8u);
  EXPECT_EQ(start.listService().queryTimes.size(), 12u);
  start.expectOneRequestServedEach();
}

}  // namespace
}  // namespace paddletrack
