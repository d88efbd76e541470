// Tests the endpoint watcher with discovery services that fall silent, lag behind, send invalid data or stop,
// and controller processes without a discovery service, while idle clients hold all descriptors or
// controllers are killed and restarted.
#include "routing/endpoint_watcher.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "fakes/fake_fleet.hpp"
#include "fakes/test_scheduler.hpp"
#include "fakes/unresponsive_listener.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using discovery::Duration;
using discovery::ReconnectSchedule;
using SessionEnd = ReconnectSchedule::SessionEnd;
using fakes::FakeEndpointList;

// Selects a subnet 127.N/256.N%256.0/24 for this process, so that parallel runs do not share addresses.
int networkNumber() { return 170 * 256 + ::getpid() % 4096; }
std::string hostAddress(unsigned host) {
  return "127." + std::to_string(networkNumber() / 256) + "." + std::to_string(networkNumber() % 256) + "." +
         std::to_string(host) + ":18443";
}

// Time after which a change of the endpoint list counts as visible to controllers, whether or not it was
// received.
constexpr Duration kVisibilityLimit{7s};
constexpr Duration kConnectTimeout{1s};  // Timeout of a connect that is never established.

// ---- ReconnectSchedule ----------------------------------------------------------------------------------

// A session falls silent and the next ones end as given in `endings`. Returns the time from the last line of
// the silent session to the start of the connect after them, which succeeds at once.
Duration reconnectTime(std::uint64_t seed, const std::vector<SessionEnd>& endings) {
  ReconnectSchedule schedule({}, true, seed, Duration{0});
  schedule.onSessionData();
  Duration now = schedule.silenceTimeout();
  schedule.onSessionEnded(now, SessionEnd::receivedData, true);
  for (const SessionEnd ending : endings) {
    now = schedule.nextConnectAt() +
          (ending == SessionEnd::unresponsive ? schedule.silenceTimeout() : kConnectTimeout);
    schedule.onSessionEnded(now, ending, true);
  }
  return schedule.nextConnectAt();
}

TEST(ReconnectSchedule, ReconnectsWithinVisibilityLimitWhenTwoConnectsFail) {
  Duration longest{0};
  for (std::uint64_t seed = 0; seed < 2000; ++seed)
    for (const auto& endings :
         std::vector<std::vector<SessionEnd>>{{SessionEnd::unresponsive, SessionEnd::unresponsive},
                                              {SessionEnd::unresponsive, SessionEnd::unreachable},
                                              {SessionEnd::unreachable, SessionEnd::unresponsive},
                                              {SessionEnd::unreachable, SessionEnd::unreachable}})
      longest = std::max(longest, reconnectTime(seed, endings));
  EXPECT_LE(longest, kVisibilityLimit - Duration(500ms));  // The rest is reserved for the round trip.
}

// ---- EndpointWatcher ------------------------------------------------------------------------------------

const std::string kControllerSettings =
    "balancers=1\nzones=hall\nmachineTypes=std-8\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name="
    "q\n"
    "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\n"
    "limits.mostTries=3\nlimits.streamsPerConn=4\nlimits.dialTimeoutUs=20000\nlimits.idleCloseUs=400000\n"
    "tickUs=5000\n";

std::vector<FakeEndpointList::Endpoint> makeEndpoints(unsigned count, const std::string& state = "active") {
  std::vector<FakeEndpointList::Endpoint> endpoints;
  for (unsigned index = 1; index <= count; ++index)
    endpoints.push_back({"s-" + std::to_string(index), hostAddress(index), state});
  return endpoints;
}

// Two discovery services and a request router whose watcher follows the first one; both services list four
// engines.
struct WatcherFixture : fakes::TestScheduler {
  explicit WatcherFixture(const discovery::ReconnectOptions& options = {}) : options_(options) {
    firstList.publish(makeEndpoints(4), true);
    otherList.publish(makeEndpoints(4), true);
  }
  void startWatcher() { watcher.emplace(*this, memoryBudget, firstAddress, 0, 7, router, logger, options_); }
  bool waitUntilFollowing() {
    return runUntil([&] { return watcher->status().isWatching && watcher->status().lastEventNumber >= 1; },
                    4s);
  }
  std::size_t countEngines(EndpointState state) const {
    std::size_t count = 0;
    router.forEachEndpoint([&](const routing::EngineEndpoint& engineEndpoint) {
      count += engineEndpoint.endpoint.state == state;
    });
    return count;
  }
  bool hasLogged(const std::string& text) const { return logText.find(text) != std::string::npos; }
  const discovery::ReconnectOptions options_;
  const transport::Address firstAddress{hostAddress(250)}, otherAddress{hostAddress(251)},
      unreachableAddress{hostAddress(252)};
  FakeEndpointList firstList{*this, memoryBudget, firstAddress}, otherList{*this, memoryBudget, otherAddress};
  std::string logText;
  const Logger logger{[this](const LogRecord& record) {
    logText += std::string(record.topic) + ": " + record.message + "\n";
  }};
  protocol::ControllerConfig config =
      protocol::decodeControllerConfig(protocol::flattenLines(kControllerSettings));
  routing::RequestRouter router{
      *this,  memoryBudget,
      config, {100, {config.maxAttemptsPerConnection, 20, config.connectTimeout, config.idleTimeout, {}}},
      7,      logger};
  std::optional<routing::EndpointWatcher> watcher;
};

TEST(EndpointWatcher, ReconnectsWhenListIsSilentFromStart) {
  WatcherFixture fixture;
  fixture.firstList.behavior.unansweredSessions = 1;
  fixture.startWatcher();
  EXPECT_TRUE(fixture.waitUntilFollowing());
  EXPECT_EQ(fixture.firstList.queryTimes.size(), 2u);
  EXPECT_TRUE(fixture.hasLogged("silent: reconnecting"));
}

// Only complete, non-empty lines count as data: not bytes that arrive one by one, an unfinished line or empty
// lines.
TEST(EndpointWatcher, ReconnectsWhenListSendsNoCompleteLine) {
  struct InputCase {
    std::string content;
    std::chrono::milliseconds interval;
  };
  for (const InputCase& input :
       {InputCase{std::string(60, '1'), 400ms}, InputCase{R"({"seq":)", 0ms},
        InputCase{std::string(60, '\n'), 400ms}, InputCase{"0\n" + std::string(60, '\n'), 400ms}}) {
    WatcherFixture fixture;
    fixture.firstList.behavior.replacementAnswer = input.content;
    fixture.firstList.behavior.byteInterval = input.interval;
    fixture.startWatcher();
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.firstList.queryTimes.size() == 1; }, 1s));
    fixture.firstList.behavior.replacementAnswer.clear();
    EXPECT_TRUE(fixture.waitUntilFollowing()) << input.content;
    EXPECT_EQ(fixture.firstList.queryTimes.size(), 2u);
  }
}

// The service falls silent after working normally; engines start to drain and are removed unnoticed, and the
// next two sessions are silent as well.
TEST(EndpointWatcher, LearnsMissedChangesWithinVisibilityLimitWhenListFallsSilent) {
  WatcherFixture fixture;
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  fixture.runFor(1200ms);
  fixture.firstList.behavior.silentAfterAnswer = true;
  fixture.firstList.behavior.unansweredSessions = 2;
  fixture.firstList.publish(makeEndpoints(1, "leaving"));
  fixture.firstList.publish({{"s-2", hostAddress(2), "left"}});
  const transport::TimePoint changedAt = fixture.now();
  EXPECT_EQ(fixture.countEngines(EndpointState::ready), 4u);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::ready) == 2; }, 10s));
  EXPECT_LE(fixture.now() - changedAt, kVisibilityLimit);
  EXPECT_EQ(fixture.countEngines(EndpointState::draining), 1u);
  EXPECT_EQ(fixture.firstList.queryTimes.size(), 4u);
}

// Regression: a session without a line for 1.5 s was closed with the late lines under way to it, and each new
// one as well, so that a change was not learned as long as the list was slow.
TEST(EndpointWatcher, AppliesEventsInTimeWhenListIsLateByLessThanVisibilityLimit) {
  WatcherFixture fixture;
  fixture.startWatcher();
  routing::RequestRouter otherRouter{
      fixture, fixture.memoryBudget, fixture.config, {100, {4, 20, Duration(20ms), Duration(400ms), {}}},
      7,       fixture.logger};
  routing::EndpointWatcher otherWatcher{fixture, fixture.memoryBudget, fixture.otherAddress, 0,
                                        8,       otherRouter,          fixture.logger};
  ASSERT_TRUE(fixture.waitUntilFollowing());
  ASSERT_TRUE(fixture.runUntil([&] { return otherWatcher.status().isWatching; }, 4s));
  fixture.firstList.setLateness(4s);
  fixture.otherList.setLateness(6900ms);
  fixture.runFor(100ms);
  fixture.firstList.publish(makeEndpoints(1, "leaving"));
  fixture.otherList.publish(makeEndpoints(2, "leaving"));
  const transport::TimePoint changedAt = fixture.now();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::draining) == 1; }, 7s));
  EXPECT_LE(fixture.now() - changedAt, 4100ms);
  EXPECT_TRUE(fixture.runUntil([&] { return otherWatcher.status().lastEventNumber == 2; }, 4s));
  EXPECT_LE(fixture.now() - changedAt, kVisibilityLimit);
  // A list that is known to be slow is not asked again.
  EXPECT_LE(fixture.firstList.acceptTimes.size(), 3u);
  EXPECT_LE(fixture.otherList.acceptTimes.size(), 4u);
  fixture.runFor(2s);
  EXPECT_TRUE(fixture.watcher->status().isWatching);
  EXPECT_LE(fixture.firstList.acceptTimes.size(), 3u);
  EXPECT_LE(fixture.otherList.acceptTimes.size(), 4u);
}

// Regression: after a stall of this process the session ended as silent, although the socket held events of
// that time, and the engine that one of them drains got requests until the watcher had connected again.
TEST(EndpointWatcher, AppliesEventsThatArrivedDuringStallLongerThanSilenceTimeout) {
  WatcherFixture fixture;
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  fixture.firstList.publish(makeEndpoints(1, "leaving"));  // Written in the next iteration, then it stalls.
  transport::ScheduledCall stallCall(fixture, [&] {
    for (const transport::TimePoint end = fixture.now() + 1600ms; fixture.now() < end;) continue;
  });
  stallCall.runSoon();
  fixture.runFor(1620ms);
  EXPECT_EQ(fixture.countEngines(EndpointState::draining), 1U);
  fixture.runFor(400ms);
  EXPECT_EQ(fixture.firstList.queryTimes.size(), 1U);
  EXPECT_FALSE(fixture.hasLogged("silent"));
}

// The watcher switches away and back within one event loop iteration: the service that it follows is no new
// target, and its session continues.
TEST(EndpointWatcher, KeepsSessionWhenSwitchedAwayAndBackAndNewListIsUnreachable) {
  WatcherFixture fixture;
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.unreachableAddress));
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.otherAddress));
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.firstAddress));
  EXPECT_FALSE(fixture.watcher->switchTo(fixture.firstAddress));
  fixture.runFor(300ms);
  EXPECT_EQ(fixture.firstList.queryTimes.size(), 1u);
  EXPECT_EQ(fixture.otherList.queryTimes.size(), 0u);
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.unreachableAddress));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.watcher->status().consecutiveFailures >= 2; }, 4s));
  fixture.firstList.publish(makeEndpoints(1, "leaving"));  // Reported by the old session.
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::draining) == 1; }, 1s));
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.firstAddress));
  EXPECT_TRUE(fixture.waitUntilFollowing());
  EXPECT_TRUE(fixture.runUntil(
      [&] { return fixture.firstList.queryTimes.size() == 2 && fixture.firstList.subscriberCount() == 1; },
      2s));
}

TEST(EndpointWatcher, LeavesSilentListAndMovesOnWhenNewListNeverConnects) {
  WatcherFixture fixture;
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  const fakes::UnresponsiveListener silentListener(fixture.unreachableAddress);
  fixture.firstList.behavior.silentAfterAnswer = true;
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.unreachableAddress));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.firstList.subscriberCount() == 0; },
                               4s));  // Closed and not reconnected.
  fixture.runFor(100ms);
  EXPECT_TRUE(fixture.hasLogged(fixture.firstAddress.text() + ": silent")) << fixture.logText;
  EXPECT_FALSE(fixture.hasLogged(fixture.unreachableAddress.text() + ": silent")) << fixture.logText;
  fixture.otherList.publish(makeEndpoints(1, "leaving"));
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.otherAddress));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::draining) == 1; }, 2s));
  EXPECT_EQ(fixture.firstList.queryTimes.size(), 1u);
}

TEST(EndpointWatcher, FollowsOldListWhenNewListLagsBehind) {
  WatcherFixture fixture;
  fixture.firstList.publish(makeEndpoints(1, "leaving"));
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.otherAddress));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.watcher->status().isBehind; }, 2s));
  fixture.firstList.publish(makeEndpoints(2, "leaving"));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::draining) == 2; }, 2s));
  for (unsigned index = 1; index <= 2; ++index) fixture.otherList.publish(makeEndpoints(index, "leaving"));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.firstList.subscriberCount() == 0; },
                               2s));  // The old service is no longer needed.
  fixture.otherList.publish(makeEndpoints(3, "leaving"));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::draining) == 3; }, 1s));
  EXPECT_EQ(fixture.watcher->status().lastEventNumber, 4u);
}

// The first line of the new service ends the session of the old one, whose own line has arrived in the same
// event loop iteration.
TEST(EndpointWatcher, AppliesEventOnceWhenOldAndNewListReportTogether) {
  for (const bool oldListFirst : {true, false}) {
    WatcherFixture fixture;
    fixture.startWatcher();
    ASSERT_TRUE(fixture.waitUntilFollowing());
    fixture.otherList.behavior.silentAfterAnswer = true;
    EXPECT_TRUE(fixture.watcher->switchTo(fixture.otherAddress));
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.otherList.subscriberCount() == 1; }, 2s));
    const std::string eventLine = FakeEndpointList::formatEvent(2, false, makeEndpoints(1, "leaving")) + "\n";
    if (oldListFirst) fixture.firstList.sendRaw(eventLine);
    fixture.otherList.sendRaw(eventLine);
    if (!oldListFirst) fixture.firstList.sendRaw(eventLine);
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.firstList.subscriberCount() == 0; }, 1s));
    EXPECT_EQ(fixture.countEngines(EndpointState::draining), 1u);
    EXPECT_EQ(fixture.watcher->status().lastEventNumber, 2u);
    EXPECT_EQ(fixture.firstList.queryTimes.size() + fixture.otherList.queryTimes.size(), 2u);
  }
}

// The old service sends a heartbeat after each query to the new one; these heartbeats do not confirm the
// event that the new service sent.
TEST(EndpointWatcher, ReadsSnapshotWhenNewListCannotBeResumed) {
  WatcherFixture fixture;
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  fixture.otherList.behavior.replacementAnswer =
      FakeEndpointList::formatEvent(9, false, makeEndpoints(1, "leaving")) + "\n";
  EXPECT_TRUE(fixture.watcher->switchTo(fixture.otherAddress));
  for (std::size_t index = 1; index <= 4 && fixture.otherList.snapshotQueryTimes.empty(); ++index) {
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.otherList.queryTimes.size() >= index; }, 3s));
    fixture.runFor(20ms);
    fixture.firstList.sendRaw("1\n");
  }
  EXPECT_GE(fixture.otherList.snapshotQueryTimes.size(), 1u);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.watcher->status().lastEventNumber == 9; }, 3s));
  EXPECT_EQ(fixture.countEngines(EndpointState::draining), 1u);
}

// A snapshot is a single line: one with a thousand engines with ids of 500 bytes is accepted. A line above
// the limit is logged, and the known engines are kept.
TEST(EndpointWatcher, ReadsThousandEnginesAndKeepsThemWhenNextLineExceedsLimit) {
  const auto makeManyEndpoints = [](unsigned count) {
    std::vector<FakeEndpointList::Endpoint> endpoints;
    for (unsigned index = 0; index < count; ++index)
      endpoints.push_back({std::string(500, 'x') + std::to_string(index), hostAddress(1)});
    return endpoints;
  };
  WatcherFixture fixture;
  fixture.firstList.publish(makeManyEndpoints(1000), true);
  fixture.startWatcher();
  ASSERT_TRUE(fixture.waitUntilFollowing());
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.countEngines(EndpointState::ready) == 1000; }, 8s));
  fixture.firstList.publish(makeManyEndpoints(2000), true);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.hasLogged("line exceeds the size limit"); }, 8s));
  EXPECT_EQ(fixture.countEngines(EndpointState::ready), 1000u);
}

// ---- controller processes -------------------------------------------------------------------------------

struct WatcherFleetFixture : fakes::TestScheduler {
  WatcherFleetFixture() {
    options.program = PADDLETRACK_PROGRAM;
    options.subnet = networkNumber();
    options.engines = 8;
    options.hasAdminSockets = options.startsControllers = false;
  }
  void launch() {
    fleet.emplace(*this, memoryBudget, options);
    loadGenerator.emplace(*this, memoryBudget, fleet->controllerAddresses(), 3);
    loadGenerator->setHeartbeatInterval(50ms);
    loadGenerator->setDedicatedClients(true);
    for (std::size_t index = 0; index < options.controllers; ++index) fleet->startController(index);
  }
  std::size_t countReady() const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < options.controllers; ++index)
      count += loadGenerator->isInService(index) ? 1 : 0;
    return count;
  }
  bool waitUntilReady(std::chrono::milliseconds timeout) {
    return runUntil([&] { return countReady() == options.controllers; }, timeout);
  }
  std::string readLog(std::size_t controller) const {
    std::ifstream file(fleet->logPath(controller));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::size_t countLogged(const std::string& text) const {
    const std::string logText = readLog(0);
    std::size_t count = 0;
    for (std::size_t position = 0; (position = logText.find(text, position)) != std::string::npos; ++position)
      ++count;
    return count;
  }
  std::size_t countDescriptors() {
    const std::filesystem::path directory("/proc/" + std::to_string(fleet->controller(0).pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(directory), {}));
  }
  FakeEndpointList& endpointList() { return fleet->endpointList(); }
  fakes::FakeFleetOptions options;
  std::optional<fakes::FakeFleet> fleet;
  std::optional<fakes::LoadGenerator> loadGenerator;
  transport::TaskGroup idleClients{*this,
                                   [](const char*) {}};  // Clients that send no requests and reconnect.
};

// All open sessions fall silent at once; a quarter of the engines start to drain right after.
TEST(EndpointWatcherProcess, SendsNothingToDrainingEnginesWhenListWasSilent) {
  WatcherFleetFixture fixture;
  fixture.options.controllers = 3;
  fixture.launch();
  ASSERT_TRUE(fixture.waitUntilReady(15s));
  ASSERT_TRUE(fixture.runUntil([&] { return fixture.endpointList().subscriberCount() == 3; }, 5s));
  fixture.loadGenerator->start(60, {fakes::FakeFleet::lookUpProfile()});
  fixture.endpointList().behavior.silentAfterAnswer = true;
  fixture.endpointList().publish(
      {{"s-1", fixture.fleet->addressText(1), "leaving"}, {"s-2", fixture.fleet->addressText(2), "leaving"}});
  const transport::TimePoint changedAt = fixture.now();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.endpointList().queryTimes.size() >= 6; }, 7s));
  EXPECT_LE(fixture.now() - changedAt, kVisibilityLimit);
  fixture.runFor(300ms);
  const std::uint64_t attemptsBefore =
      fixture.fleet->engine(0).askCount() + fixture.fleet->engine(1).askCount();
  const std::uint64_t sentBefore = fixture.loadGenerator->counters().sent;
  EXPECT_TRUE(
      fixture.runUntil([&] { return fixture.loadGenerator->counters().sent >= sentBefore + 60; }, 10s));
  fixture.loadGenerator->stop();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator->counters().open == 0; }, 6s));
  EXPECT_EQ(fixture.fleet->engine(0).askCount() + fixture.fleet->engine(1).askCount(), attemptsBefore);
  EXPECT_EQ(fixture.loadGenerator->counters().lost, 0u);
}

transport::Task<> runIdleClient(WatcherFleetFixture& fixture, bool sendsHeartbeat) {
  const std::string heartbeat = protocol::thrift::encodeMessage(
      "heartbeat", protocol::thrift::MessageType::call, 1, std::string("\2\0\1\0\0", 5));
  for (;;) {
    transport::ConnectResult connectResult =
        co_await transport::connect(fixture, fixture.fleet->controllerAddresses()[0], fixture.now() + 10s);
    if (connectResult.descriptor) {
      transport::Connection connection(fixture, std::move(connectResult.descriptor), 256, 4096,
                                       fixture.memoryBudget);
      if (sendsHeartbeat) connection.send({transport::BufferSlice(heartbeat)});
      for (bool hasMore = true; hasMore;) {
        hasMore = co_await connection.receive();
        connection.input().consume(connection.input().view().size());
      }
    }
    co_await fixture.sleepUntil(fixture.now() + 20ms);
  }
}

// The controller uses all descriptors that its limit allows and no more: idle clients hold as many
// connections as they can get, and requests hold all connections to engines.
TEST(EndpointWatcherProcess, FollowsListAndServesClientsWhenIdleClientsHoldDescriptors) {
  constexpr std::size_t kSockets = 64;
  WatcherFleetFixture fixture;
  fixture.options.maxSockets = kSockets;
  fixture.options.engines = 24;
  const std::string descriptorLimit = std::to_string(kSockets);
  fixture.options.launcher = {
      "/usr/bin/prlimit", "--nofile=" + descriptorLimit + ":" + descriptorLimit, "/bin/sh", "-c",
      R"(exec 7</dev/null 8</dev/null 9</dev/null; exec "$0" "$@")"};  // It inherits three descriptors.
  fixture.launch();
  ASSERT_TRUE(fixture.waitUntilReady(15s));
  FakeEndpointList otherList(fixture, fixture.memoryBudget,
                             transport::Address(fixture.fleet->addressText(251)));
  otherList.publish(fixture.fleet->endpoints(), true);
  otherList.behavior.unansweredSessions =
      100;  // Accepts but never responds: the old service is followed meanwhile.
  fakes::LoadGenerator::RequestProfile slowProfile = fakes::FakeFleet::lookUpProfile();
  slowProfile.minDuration = slowProfile.maxDuration = 2500ms;
  fixture.loadGenerator->start(60, {slowProfile});
  for (unsigned index = 0; index < 100; ++index)
    fixture.idleClients.spawn(runIdleClient(fixture, index % 2 == 0));
  std::size_t peakDescriptors = 0;
  const auto isFull = [&] {
    return (peakDescriptors = std::max(peakDescriptors, fixture.countDescriptors())) >= kSockets - 3;
  };
  EXPECT_TRUE(fixture.runUntil(isFull, 8s)) << peakDescriptors;
  for (std::size_t index = 1; index <= 4;
       ++index) {  // Every second switch leaves two connections to discovery services open.
    fixture.fleet->changeEndpointList(
        0, index % 2 == 1 ? fixture.fleet->addressText(251) : fixture.fleet->addressText(250));
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.countLogged("reloaded") >= index; }, 5s))
        << index << fixture.readLog(0);
    const bool isFollowed = fixture.runUntil(
        [&] {
          peakDescriptors = std::max(peakDescriptors, fixture.countDescriptors());
          return index % 2 == 1 ? otherList.queryTimes.size() > index / 2
                                : fixture.endpointList().queryTimes.size() > index / 2;
        },
        5s);
    EXPECT_TRUE(isFollowed) << index;
  }
  EXPECT_EQ(fixture.countLogged("rejected, keeping") + fixture.countLogged("not taken"), 0u)
      << fixture.readLog(0);
  std::printf("peak descriptors: %zu, limit %zu\n", peakDescriptors, kSockets);
  // The discovery service stops, which frees its descriptor for other uses, and restarts while the same
  // number of clients keeps connecting.
  fixture.endpointList().close();
  fixture.runFor(2s);
  const std::size_t connectsBefore = fixture.endpointList().queryTimes.size();
  fixture.endpointList().open();
  EXPECT_TRUE(
      fixture.runUntil([&] { return fixture.endpointList().queryTimes.size() > connectsBefore; }, 3s));
  fixture.endpointList().publish({{"s-1", fixture.fleet->addressText(1), "leaving"}});
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.endpointList().subscriberCount() == 1; }, 2s));
  // A regular client connects and is served.
  fixture.loadGenerator->stop();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator->counters().open == 0; }, 8s));
  fixture.loadGenerator->start(0, {fakes::FakeFleet::lookUpProfile()});
  const auto completedRequests = [&] {
    return fixture.loadGenerator->counters()
        .answersByOutcome[static_cast<std::size_t>(fakes::Reply::Outcome::completed)];
  };
  const std::uint64_t completedBefore = completedRequests();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.loadGenerator->isInService(0); }, 5s));
  for (int index = 0; index < 5; ++index) fixture.loadGenerator->send(0, 0);
  EXPECT_TRUE(fixture.runUntil([&] { return completedRequests() == completedBefore + 5; }, 5s));
  EXPECT_EQ(fixture.countLogged("Too many open files"), 0u) << fixture.readLog(0);
}

// Kills and restarts 70% of the controllers at once while clients keep connecting. PADDLETRACK_RESTARTS sets
// the number of controllers (default 10).
struct RestartCase {
  bool listIsKnown;          // The configuration contains the endpoint list.
  const char* serviceState;  // State of the discovery service at the start.
  std::chrono::milliseconds downTime, delayPerSession;
};

void checkRestart(const RestartCase& restartCase) {
  const char* controllerCountText = std::getenv("PADDLETRACK_RESTARTS");
  WatcherFleetFixture fixture;
  fixture.options.controllers =
      controllerCountText ? static_cast<unsigned>(std::stoul(controllerCountText)) : 10;
  fixture.options.includesKnownEvents = restartCase.listIsKnown;
  fixture.launch();
  ASSERT_TRUE(fixture.waitUntilReady(60s));
  const std::size_t killedCount = fixture.options.controllers * 7 / 10;
  fixture.loadGenerator->start(5.0 * fixture.options.controllers, {fakes::FakeFleet::lookUpProfile()});
  if (restartCase.downTime > 0ms) fixture.endpointList().close();
  fixture.endpointList().behavior.answerDuration = restartCase.delayPerSession;
  for (std::size_t index = 0; index < killedCount; ++index)
    fixture.fleet->controller(index).sendSignal(SIGKILL);
  const auto areAllStopped = [&] {
    for (std::size_t index = 0; index < killedCount; ++index)
      if (!fixture.fleet->controller(index).exitCode() || fixture.loadGenerator->isInService(index))
        return false;
    return true;
  };
  ASSERT_TRUE(fixture.runUntil(areAllStopped, 10s));
  const transport::TimePoint startedAt = fixture.now();
  for (std::size_t index = 0; index < killedCount; ++index) fixture.fleet->startController(index);
  std::vector<std::chrono::milliseconds> readyTimes;
  std::vector<bool> isReady(killedCount);
  const auto pollReadiness = [&] {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now() - startedAt);
    if (!fixture.endpointList().isOpen() && elapsed >= restartCase.downTime) fixture.endpointList().open();
    for (std::size_t index = 0; index < killedCount; ++index)
      if (!isReady[index] && fixture.loadGenerator->isInService(index))
        isReady[index] = true, readyTimes.push_back(elapsed);
    return readyTimes.size() == killedCount;
  };
  const bool becameReady = fixture.runUntil(pollReadiness, 30s);
  const std::size_t ninetyPercentCount = (killedCount * 9 + 9) / 10;
  std::printf(
      "endpoint list %s, discovery service %s: %zu of %zu controllers ready; 90%% after %lld ms, the last "
      "after %lld ms\n",
      restartCase.listIsKnown ? "known" : "not known", restartCase.serviceState, readyTimes.size(),
      killedCount,
      readyTimes.size() < ninetyPercentCount
          ? -1LL
          : static_cast<long long>(readyTimes[ninetyPercentCount - 1].count()),
      readyTimes.empty() ? -1LL : static_cast<long long>(readyTimes.back().count()));
  EXPECT_TRUE(becameReady);
  ASSERT_GE(readyTimes.size(), ninetyPercentCount);
  EXPECT_LE(readyTimes[ninetyPercentCount - 1], 10s);
  // Controllers with a known list do not wait for the service, which was down until then or too slow for half
  // of them.
  if (restartCase.listIsKnown && restartCase.downTime > 0ms && !controllerCountText) {
    EXPECT_LT(readyTimes[ninetyPercentCount - 1], restartCase.downTime);
  }
}

TEST(EndpointWatcherProcess, BecomesReadyInTimeWhenRestartedWithKnownListAndServiceDown) {
  checkRestart({true, "down", 6s, 0ms});
}
TEST(EndpointWatcherProcess, BecomesReadyInTimeWhenRestartedWithoutKnownListAndServiceDown) {
  checkRestart({false, "down", 3s, 0ms});
}
TEST(EndpointWatcherProcess, BecomesReadyInTimeWhenRestartedWithoutKnownListAndServiceSlow) {
  checkRestart({false, "slow", 0ms, 20ms});
}

}  // namespace
}  // namespace paddletrack
