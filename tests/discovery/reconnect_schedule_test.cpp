// Tests controllers that start together: ReconnectSchedule in isolation, and controller processes with a
// failing discovery service.
#include "discovery/reconnect_schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
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

// ---- ReconnectSchedule ----------------------------------------------------------------------------------

// Returns the maximum number of connects of all controllers in any second from `begin` to `until`. All
// controllers lose a session with valid data at time 0, and each later session ends with `end`.
std::size_t maxConnectsPerSecond(unsigned controllers, SessionEnd end, Duration begin, Duration until) {
  std::vector<std::size_t> connectsPerSecond(static_cast<std::size_t>(until / 1s) + 1);
  for (unsigned index = 0; index < controllers; ++index) {
    ReconnectSchedule schedule({controllers, 20, 0, 60s}, true, 0x7a0 + index, Duration{0});
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
    for (const SessionEnd sessionEnd :
         {SessionEnd::unreachable, SessionEnd::refused, SessionEnd::unresponsive, SessionEnd::receivedData}) {
      const Duration begin = sessionEnd == SessionEnd::receivedData ? Duration(30s) : Duration(0);
      const std::size_t maxConnects = maxConnectsPerSecond(controllers, sessionEnd, begin, 60s);
      // After sessions with data, controllers reconnect after half a window on average.
      EXPECT_LE(maxConnects, sessionEnd == SessionEnd::receivedData ? 62u : 42u) << controllers;
      EXPECT_GE(maxConnects, 10u) << controllers;
    }
}

TEST(ReconnectSchedule, BoundsBackoffWhenNoRatesAreConfigured) {
  ReconnectSchedule schedule({300, 0, 0, 30s}, true, 5, Duration(7s));
  EXPECT_EQ(schedule.nextConnectAt(), Duration(7s));
  Duration now = schedule.nextConnectAt(), longest{0};
  for (int index = 0; index < 200; ++index) {
    schedule.onSessionEnded(now, SessionEnd::unreachable, true);
    EXPECT_GE(schedule.nextConnectAt() - now, Duration(100ms));
    longest = std::max(longest, schedule.nextConnectAt() - now);
    now = schedule.nextConnectAt();
  }
  EXPECT_LE(longest, Duration(800ms));
  EXPECT_GT(longest, Duration(500ms));
  EXPECT_EQ(schedule.consecutiveFailures(), 200u);
  schedule.onSessionEnded(now, SessionEnd::unreachable, true);
  const Duration scheduledAt = schedule.nextConnectAt();
  schedule.expediteReconnect(now);
  EXPECT_EQ(schedule.nextConnectAt(), scheduledAt);
}

// All controllers lose their lines at the same moment when the list is slow or stops.
TEST(ReconnectSchedule, SpreadsReconnectsOfThreeHundredControllersWhenNoRatesAreConfigured) {
  constexpr Duration kInterval = 100ms;
  std::array<std::size_t, 20> connectsByInterval{};
  for (unsigned index = 0; index < 300; ++index) {
    ReconnectSchedule schedule({300, 0, 0, 30s}, true, index, Duration{0});
    schedule.onSessionData();
    schedule.onSessionEnded(Duration{0}, SessionEnd::receivedData, true);
    ++connectsByInterval.at(static_cast<std::size_t>(schedule.nextConnectAt() / kInterval));
    EXPECT_LE(schedule.nextConnectAt(), 800ms);
  }
  EXPECT_LE(*std::max_element(connectsByInterval.begin(), connectsByInterval.end()), 300u / 4);
}

TEST(ReconnectSchedule, CapsWaitAndShortensItOnceWhenReconnectIsExpedited) {
  Duration sum{0};
  for (unsigned seed = 0; seed < 100; ++seed) {
    ReconnectSchedule schedule({100000, 1, 1, 20s}, true, seed, Duration{0});
    EXPECT_LE(schedule.nextConnectAt(), Duration(20s));
    const Duration scheduledAt = schedule.nextConnectAt();
    schedule.expediteReconnect(Duration{0});
    EXPECT_LE(schedule.nextConnectAt(), scheduledAt / 4);
    sum += schedule.nextConnectAt();
    const Duration expeditedAt = schedule.nextConnectAt();
    schedule.expediteReconnect(Duration{0});
    EXPECT_EQ(schedule.nextConnectAt(), expeditedAt);
    for (int sessionIndex = 0; sessionIndex < 10; ++sessionIndex) {
      const Duration now = schedule.nextConnectAt();
      schedule.onSessionEnded(now, SessionEnd::refused, true);
      EXPECT_LE(schedule.nextConnectAt() - now, Duration(20s));
    }
  }
  EXPECT_GT(sum / 100, Duration(500ms));  // Expedited connects are still spread.
}

TEST(ReconnectSchedule, DoublesSilenceTimeoutUntilDataArrivesWhenServiceIsSilent) {
  ReconnectSchedule schedule({}, false, 1, Duration{0});
  EXPECT_EQ(schedule.silenceTimeout(), Duration(1500ms));
  for (const Duration expectedTimeout : {Duration(3s), Duration(6s), Duration(6s)}) {
    schedule.onSessionEnded(Duration{0}, SessionEnd::unresponsive, false);
    EXPECT_EQ(schedule.silenceTimeout(), expectedTimeout);
  }
  schedule.onSessionEnded(Duration{0}, SessionEnd::unreachable, false);
  EXPECT_EQ(schedule.silenceTimeout(), Duration(6s));  // A failed connect does not indicate a slow service.
  schedule.onSessionData();
  EXPECT_EQ(schedule.silenceTimeout(), Duration(1500ms));
}

// ---- controller processes -------------------------------------------------------------------------------

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
    fleet.emplace(*this, memoryBudget, options);
    loadGenerator.emplace(*this, memoryBudget, fleet->controllerAddresses(), 3);
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
  // Sends one request to each controller and expects all to be completed.
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
  fakes::FakeEndpointList& endpointList() { return fleet->endpointList(); }
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

// Fifty controllers with a cached list start while all engines are cold and requests arrive; one run compares
// the default with a reconnect rate. The load test's exit code covers that no request is lost or executed
// twice and that no cold engine gets more than its capacity.
TEST(FleetStart, LimitsListReadsAndKeepsThroughputWhenFiftyControllersHaveCachedList) {
  const nlohmann::json results = runLoadtest(
      "--controllers 50 --engines 10 --seconds 7 --rate 1 --cold --with 'coldstart {\n follows = 10 \n}'");
  ASSERT_EQ(results.size(), 2u);
  const nlohmann::json &unlimited = results[0], &limited = results[1];
  EXPECT_GE(unlimited["list"]["reads"].get<int>(), 50);
  EXPECT_GE(limited["list"]["reads"].get<int>(), 50);
  EXPECT_EQ(limited["list"]["whole"], 0);
  EXPECT_LE(limited["list"]["peak_1s"].get<int>(), 25);  // The target is 10.
  EXPECT_GT(limited["jobs"]["done"].get<double>(), 0.5 * unlimited["jobs"]["done"].get<double>());
}

TEST(FleetStart, SpreadsConnectsWhenListServiceComesUpLate) {
  FleetStartFixture fixture(111, 24, "follows = 12\nreads = 12", false);  // Spread windows of 2 s.
  fixture.startFakes();
  fixture.endpointList().close();
  fixture.startControllers();
  fixture.runFor(2500ms);
  EXPECT_EQ(fixture.countReady(), 0u);
  fixture.endpointList().open();
  EXPECT_TRUE(fixture.waitUntilAllReady(10s));
  EXPECT_LE(maxCountWithin(fixture.endpointList().queryTimes, 500ms), 15u);  // The target is 6.
  fixture.expectOneRequestServedEach();
}

TEST(FleetStart, ServesFromCachedListWhenListServiceIsDown) {
  FleetStartFixture fixture(112, 4, "", true);
  fixture.startFakes();
  fixture.endpointList().close();
  fixture.startControllers();
  EXPECT_TRUE(fixture.waitUntilAllReady(8s));
  fixture.expectOneRequestServedEach();
}

// One response takes longer than the silence timeout of 1.5 heartbeat intervals. If every session were ended
// by it, no controller would ever get a list.
TEST(FleetStart, BecomesReadyWhenListServiceIsSlow) {
  FleetStartFixture fixture(113, 2, "", false);
  fixture.startFakes();
  fixture.endpointList().behavior.answerDuration = 1800ms;
  fixture.startControllers();
  EXPECT_TRUE(fixture.waitUntilAllReady(30s));
  fixture.expectOneRequestServedEach();
}

TEST(FleetStart, RequestsListAgainWhenResponseIsTruncated) {
  FleetStartFixture fixture(114, 4, "", false);
  fixture.startFakes();
  fixture.endpointList().behavior.truncateAfterBytes = 150;
  fixture.startControllers();
  fixture.runFor(1500ms);
  EXPECT_EQ(fixture.countReady(), 0u);
  EXPECT_GE(fixture.endpointList().snapshotQueryTimes.size(), 4u);
  EXPECT_LE(fixture.endpointList().snapshotQueryTimes.size(), 60u);
  fixture.endpointList().behavior.truncateAfterBytes = 0;
  EXPECT_TRUE(fixture.waitUntilAllReady(10s));
  fixture.expectOneRequestServedEach();
}

TEST(FleetStart, BecomesReadyWhenListServiceRefusesMostConnections) {
  FleetStartFixture fixture(115, 6, "reads = 12", false);  // A spread window of 0.5 s.
  fixture.startFakes();
  fixture.endpointList().behavior.refusalsPerTen = 8;
  fixture.startControllers();
  EXPECT_TRUE(fixture.waitUntilAllReady(40s));
  EXPECT_LE(maxCountWithin(fixture.endpointList().acceptTimes, 1s), 36u);
  fixture.expectOneRequestServedEach();
}

// The service returns to a state from before the first five engines were removed: the controllers keep the
// newer list, which has only the last engine.
TEST(FleetStart, KeepsNewerListWhenServiceReturnsOlderOne) {
  FleetStartFixture fixture(116, 2, "", true);
  fixture.startFakes();
  std::vector<fakes::FakeEndpointList::Endpoint> endpoints;
  for (unsigned index = 0; index < 5; ++index)
    endpoints.push_back({"s-" + std::to_string(index + 1), fixture.fleet->addressText(1 + index), "left"});
  fixture.endpointList().publish(endpoints);
  fixture.startControllers();
  EXPECT_TRUE(fixture.waitUntilAllReady(8s));
  fixture.endpointList().close();
  fixture.endpointList().behavior.lastVisibleSequence = 1;
  fixture.endpointList().open();
  EXPECT_TRUE(fixture.runUntil(
      [&] { return fixture.readLog(0).find("outdated endpoint list") != std::string::npos; }, 6s));
  fixture.expectOneRequestServedEach();
  EXPECT_EQ(fixture.fleet->engine(5).askCount(), 2u);
}

TEST(FleetStart, ReconnectsAndLearnsChangesWhenWatchFallsSilent) {
  FleetStartFixture fixture(117, 3, "follows = 6", true);
  fixture.startFakes();
  fixture.endpointList().behavior.silentAfterAnswer = true;
  fixture.startControllers();
  EXPECT_TRUE(fixture.waitUntilAllReady(8s));
  fixture.runFor(1s);
  std::vector<fakes::FakeEndpointList::Endpoint> endpoints;
  for (unsigned index = 1; index < 6; ++index)
    endpoints.push_back({"s-" + std::to_string(index + 1), fixture.fleet->addressText(1 + index), "left"});
  fixture.endpointList().publish(endpoints);  // No session reports it.
  const std::size_t queriesBefore = fixture.endpointList().queryTimes.size();
  fixture.endpointList().behavior.silentAfterAnswer = false;
  EXPECT_TRUE(
      fixture.runUntil([&] { return fixture.endpointList().queryTimes.size() >= queriesBefore + 3; }, 15s));
  fixture.runFor(500ms);
  fixture.expectOneRequestServedEach();
  EXPECT_EQ(fixture.fleet->engine(0).askCount(), 3u);
}

TEST(FleetStart, LosesNoRequestOfSurvivorsWhenHalfAreKilledDuringStart) {
  FleetStartFixture fixture(118, 10, "follows = 10\nreads = 10", false);
  fixture.startFakes();
  fixture.loadGenerator->start(50, {fakes::FakeFleet::lookUpProfile()});
  fixture.startControllers();
  fixture.runUntil([&] { return fixture.countReady() >= 3; }, 8s);
  for (std::size_t index = 0; index < 5; ++index) fixture.fleet->controller(index).sendSignal(SIGKILL);
  fixture.runUntil(
      [&] { return fixture.fleet->controller(0).exitCode() && fixture.fleet->controller(4).exitCode(); }, 2s);
  for (std::size_t index = 0; index < 5; ++index) fixture.fleet->startController(index);
  EXPECT_TRUE(fixture.waitUntilAllReady(15s));
  fixture.runFor(500ms);
  fixture.loadGenerator->stop();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator->counters().open == 0; }, 6s));
  for (const fakes::LoadGenerator::Request& request : fixture.loadGenerator->requests())
    EXPECT_FALSE(request.lost && request.controller >= 5);
  EXPECT_EQ(fixture.loadGenerator->counters().duplicateAnswers, 0u);
}

// Controllers switch to the new service one by one and follow the old one until then.
TEST(FleetStart, SpreadsConnectsToNewListServiceWhenReloaded) {
  FleetStartFixture fixture(119, 12, "follows = 6", true);  // A spread window of 2 s.
  fixture.startFakes();
  fixture.startControllers();
  EXPECT_TRUE(fixture.waitUntilAllReady(8s));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.endpointList().queryTimes.size() >= 12; }, 8s));
  fakes::FakeEndpointList newService(fixture, fixture.memoryBudget,
                                     transport::Address(fixture.fleet->addressText(251)));
  std::vector<fakes::FakeEndpointList::Endpoint> endpoints;
  for (unsigned index = 0; index < 6; ++index)
    endpoints.push_back({"s-" + std::to_string(index + 1), fixture.fleet->addressText(1 + index)});
  newService.publish(endpoints, true);
  for (std::size_t index = 0; index < 12; ++index)
    fixture.fleet->changeEndpointList(index, fixture.fleet->addressText(251));
  EXPECT_TRUE(fixture.runUntil([&] { return newService.queryTimes.size() == 12; }, 8s));
  EXPECT_EQ(newService.snapshotQueryTimes.size(), 0u);  // All resume from their last event.
  EXPECT_LE(maxCountWithin(newService.queryTimes, 300ms), 8u);
  EXPECT_EQ(fixture.endpointList().queryTimes.size(), 12u);
  fixture.expectOneRequestServedEach();
}

}  // namespace
}  // namespace paddletrack
