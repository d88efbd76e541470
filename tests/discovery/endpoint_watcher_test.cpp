// The watch on the list of engines: the follower against list services that fall silent, lag, lie or go, and
// processes whose list is away while idle clients hold every descriptor, or while they are killed.
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
using End = ReconnectSchedule::SessionEnd;
using fakes::FakeEndpointList;

// Of 127.NET/256.NET%256.0/24, one for this process: runs beside each other do not meet.
int networkNumber() { return 170 * 256 + ::getpid() % 4096; }
std::string hostAddress(unsigned host) {
  return "127." + std::to_string(networkNumber() / 256) + "." + std::to_string(networkNumber() % 256) + "." +
         std::to_string(host) + ":18443";
}

// What the list has to tell counts as told so long after, whether or not it arrived.
constexpr Duration kVisibilityLimit{7s};
constexpr Duration kConnectTimeout{1s};  // until a dial that never comes up is given up

// ---- the module -----------------------------------------------------------------------------------------

// A session falls silent; the next ones end so, and the one after them tells at once. From the last line on.
Duration reconnectTime(std::uint64_t seed, const std::vector<End>& endings) {
  ReconnectSchedule schedule({}, true, seed, Duration{0});
  schedule.onSessionData();
  Duration now = schedule.silenceTimeout();
  schedule.onSessionEnded(now, End::receivedData, true);
  for (const End ending : endings) {
    now = schedule.nextConnectAt() +
          (ending == End::unresponsive ? schedule.silenceTimeout() : kConnectTimeout);
    schedule.onSessionEnded(now, ending, true);
  }
  return schedule.nextConnectAt();
}

TEST(ReconnectSchedule, ReconnectsWithinVisibilityLimitWhenTwoConnectsFail) {
  Duration longest{0};
  for (std::uint64_t seed = 0; seed < 2000; ++seed)
    for (const auto& next : std::vector<std::vector<End>>{{End::unresponsive, End::unresponsive},
                                                          {End::unresponsive, End::unreachable},
                                                          {End::unreachable, End::unresponsive},
                                                          {End::unreachable, End::unreachable}})
      longest = std::max(longest, reconnectTime(seed, next));
  EXPECT_LE(longest, kVisibilityLimit - Duration(500ms));  // the rest is for the way there and back
}

// ---- the follower ---------------------------------------------------------------------------------------

const std::string kSiteSettings =
    "balancers=1\nzones=hall\nmachineTypes=std-8\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name="
    "q\n"
    "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\n"
    "limits.mostTries=3\nlimits.streamsPerConn=4\nlimits.dialTimeoutUs=20000\nlimits.idleCloseUs=400000\n"
    "tickUs=5000\n";

std::vector<FakeEndpointList::Endpoint> makeServers(unsigned count, const std::string& state = "active") {
  std::vector<FakeEndpointList::Endpoint> servers;
  for (unsigned value = 1; value <= count; ++value)
    servers.push_back({"s-" + std::to_string(value), hostAddress(value), state});
  return servers;
}

// Two list services and a controller's desk that follows the first; both know of four engines.
struct WatcherFixture : fakes::TestScheduler {
  explicit WatcherFixture(const discovery::ReconnectOptions& options = {}) : options_(options) {
    firstList.publish(makeServers(4), true);
    otherList.publish(makeServers(4), true);
  }
  void startWatcher() { watcher.emplace(*this, outputBudget, firstAddress, 0, 7, router, logger, options_); }
  bool waitUntilFollowing() {
    return runUntil([&] { return watcher->status().isWatching && watcher->status().lastEventNumber >= 1; },
                    4s);
  }
  std::size_t countEngines(EndpointState state) const {
    std::size_t count = 0;
    router.forEachEndpoint(
        [&](const routing::EngineEndpoint& fakeEngine) { count += fakeEngine.endpoint.state == state; });
    return count;
  }
  bool hasLogged(const std::string& text) const { return logText.find(text) != std::string::npos; }
  const discovery::ReconnectOptions options_;
  const transport::Address firstAddress{hostAddress(250)}, otherAddress{hostAddress(251)},
      unreachableAddress{hostAddress(252)};
  FakeEndpointList firstList{*this, outputBudget, firstAddress}, otherList{*this, outputBudget, otherAddress};
  std::string logText;
  const Logger logger{[this](const LogRecord& record) {
    logText += std::string(record.topic) + ": " + record.message + "\n";
  }};
  protocol::ControllerConfig config = protocol::decodeControllerConfig(protocol::flattenLines(kSiteSettings));
  routing::RequestRouter router{
      *this,  outputBudget,
      config, {100, {config.maxAttemptsPerConnection, 20, config.connectTimeout, config.idleTimeout, {}}},
      7,      logger};
  std::optional<routing::EndpointWatcher> watcher;
};

TEST(EndpointWatcher, ReconnectsWhenListIsSilentFromStart) {
  WatcherFixture watch;
  watch.firstList.behavior.unansweredSessions = 1;
  watch.startWatcher();
  EXPECT_TRUE(watch.waitUntilFollowing());
  EXPECT_EQ(watch.firstList.queryTimes.size(), 2u);
  EXPECT_TRUE(watch.hasLogged("silent: connecting anew"));
}

// Bytes that are no line of it are no news: neither one a second, nor half a line for ever, nor empty lines.
TEST(EndpointWatcher, ReconnectsWhenListSendsNoCompleteLine) {
  struct InputCase {
    std::string content;
    std::chrono::milliseconds interval;
  };
  for (const InputCase& input :
       {InputCase{std::string(60, '1'), 400ms}, InputCase{R"({"seq":)", 0ms},
        InputCase{std::string(60, '\n'), 400ms}, InputCase{"0\n" + std::string(60, '\n'), 400ms}}) {
    WatcherFixture watch;
    watch.firstList.behavior.replacementAnswer = input.content;
    watch.firstList.behavior.byteInterval = input.interval;
    watch.startWatcher();
    EXPECT_TRUE(watch.runUntil([&] { return watch.firstList.queryTimes.size() == 1; }, 1s));
    watch.firstList.behavior.replacementAnswer.clear();
    EXPECT_TRUE(watch.waitUntilFollowing()) << input.content;
    EXPECT_EQ(watch.firstList.queryTimes.size(), 2u);
  }
}

// After a good time; engines begin to drain and go unseen, and two sessions more say nothing.
TEST(EndpointWatcher, LearnsMissedChangesWithinVisibilityLimitWhenListFallsSilent) {
  WatcherFixture watch;
  watch.startWatcher();
  ASSERT_TRUE(watch.waitUntilFollowing());
  watch.runFor(1200ms);
  watch.firstList.behavior.silentAfterAnswer = true;
  watch.firstList.behavior.unansweredSessions = 2;
  watch.firstList.publish(makeServers(1, "leaving"));
  watch.firstList.publish({{"s-2", hostAddress(2), "left"}});
  const transport::TimePoint changedAt = watch.now();
  EXPECT_EQ(watch.countEngines(EndpointState::ready), 4u);
  EXPECT_TRUE(watch.runUntil([&] { return watch.countEngines(EndpointState::ready) == 2; }, 10s));
  EXPECT_LE(watch.now() - changedAt, kVisibilityLimit);
  EXPECT_EQ(watch.countEngines(EndpointState::draining), 1u);
  EXPECT_EQ(watch.firstList.queryTimes.size(), 4u);
}

// In one turn: the list that is followed is none to go to, and goes on telling as it did.
TEST(EndpointWatcher, KeepsSessionWhenMovedAwayAndBackAndNewListIsDead) {
  WatcherFixture watch;
  watch.startWatcher();
  ASSERT_TRUE(watch.waitUntilFollowing());
  EXPECT_TRUE(watch.watcher->switchTo(watch.unreachableAddress));
  EXPECT_TRUE(watch.watcher->switchTo(watch.otherAddress));
  EXPECT_TRUE(watch.watcher->switchTo(watch.firstAddress));
  EXPECT_FALSE(watch.watcher->switchTo(watch.firstAddress));
  watch.runFor(300ms);
  EXPECT_EQ(watch.firstList.queryTimes.size(), 1u);
  EXPECT_EQ(watch.otherList.queryTimes.size(), 0u);
  EXPECT_TRUE(watch.watcher->switchTo(watch.unreachableAddress));
  EXPECT_TRUE(watch.runUntil([&] { return watch.watcher->status().consecutiveFailures >= 2; }, 4s));
  watch.firstList.publish(makeServers(1, "leaving"));  // told by the session from before
  EXPECT_TRUE(watch.runUntil([&] { return watch.countEngines(EndpointState::draining) == 1; }, 1s));
  EXPECT_TRUE(watch.watcher->switchTo(watch.firstAddress));
  EXPECT_TRUE(watch.waitUntilFollowing());
  EXPECT_TRUE(watch.runUntil(
      [&] { return watch.firstList.queryTimes.size() == 2 && watch.firstList.subscriberCount() == 1; }, 2s));
}

TEST(EndpointWatcher, LeavesSilentListAndMovesOnWhenNewListNeverConnects) {
  WatcherFixture watch;
  watch.startWatcher();
  ASSERT_TRUE(watch.waitUntilFollowing());
  const fakes::UnresponsiveListener silentListener(watch.unreachableAddress);
  watch.firstList.behavior.silentAfterAnswer = true;
  EXPECT_TRUE(watch.watcher->switchTo(watch.unreachableAddress));
  EXPECT_TRUE(watch.runUntil([&] { return watch.firstList.subscriberCount() == 0; },
                             4s));  // left, and not dialled again
  watch.runFor(100ms);
  EXPECT_TRUE(watch.hasLogged(watch.firstAddress.text() + ": silent")) << watch.logText;
  EXPECT_FALSE(watch.hasLogged(watch.unreachableAddress.text() + ": silent")) << watch.logText;
  watch.otherList.publish(makeServers(1, "leaving"));
  EXPECT_TRUE(watch.watcher->switchTo(watch.otherAddress));
  EXPECT_TRUE(watch.runUntil([&] { return watch.countEngines(EndpointState::draining) == 1; }, 2s));
  EXPECT_EQ(watch.firstList.queryTimes.size(), 1u);
}

TEST(EndpointWatcher, FollowsOldListWhenNewListLagsBehind) {
  WatcherFixture watch;
  watch.firstList.publish(makeServers(1, "leaving"));
  watch.startWatcher();
  ASSERT_TRUE(watch.waitUntilFollowing());
  EXPECT_TRUE(watch.watcher->switchTo(watch.otherAddress));
  EXPECT_TRUE(watch.runUntil([&] { return watch.watcher->status().isBehind; }, 2s));
  watch.firstList.publish(makeServers(2, "leaving"));
  EXPECT_TRUE(watch.runUntil([&] { return watch.countEngines(EndpointState::draining) == 2; }, 2s));
  for (unsigned value = 1; value <= 2; ++value) watch.otherList.publish(makeServers(value, "leaving"));
  EXPECT_TRUE(watch.runUntil([&] { return watch.firstList.subscriberCount() == 0; },
                             2s));  // now it is of no more use
  watch.otherList.publish(makeServers(3, "leaving"));
  EXPECT_TRUE(watch.runUntil([&] { return watch.countEngines(EndpointState::draining) == 3; }, 1s));
  EXPECT_EQ(watch.watcher->status().lastEventNumber, 4u);
}

// The one's first line ends the other's session, whose own line has come in the same turn.
TEST(EndpointWatcher, AppliesEventOnceWhenOldAndNewListReportTogether) {
  for (const bool oldListFirst : {true, false}) {
    WatcherFixture watch;
    watch.startWatcher();
    ASSERT_TRUE(watch.waitUntilFollowing());
    watch.otherList.behavior.silentAfterAnswer = true;
    EXPECT_TRUE(watch.watcher->switchTo(watch.otherAddress));
    ASSERT_TRUE(watch.runUntil([&] { return watch.otherList.subscriberCount() == 1; }, 2s));
    const std::string same = FakeEndpointList::formatEvent(2, false, makeServers(1, "leaving")) + "\n";
    if (oldListFirst) watch.firstList.sendRaw(same);
    watch.otherList.sendRaw(same);
    if (!oldListFirst) watch.firstList.sendRaw(same);
    EXPECT_TRUE(watch.runUntil([&] { return watch.firstList.subscriberCount() == 0; }, 1s));
    EXPECT_EQ(watch.countEngines(EndpointState::draining), 1u);
    EXPECT_EQ(watch.watcher->status().lastEventNumber, 2u);
    EXPECT_EQ(watch.firstList.queryTimes.size() + watch.otherList.queryTimes.size(), 2u);
  }
}

// The old one's beats, one after each of them, are no word for what the new one tells.
TEST(EndpointWatcher, ReadsSnapshotWhenNewListCannotBeResumed) {
  WatcherFixture watch;
  watch.startWatcher();
  ASSERT_TRUE(watch.waitUntilFollowing());
  watch.otherList.behavior.replacementAnswer =
      FakeEndpointList::formatEvent(9, false, makeServers(1, "leaving")) + "\n";
  EXPECT_TRUE(watch.watcher->switchTo(watch.otherAddress));
  for (std::size_t index = 1; index <= 4 && watch.otherList.snapshotQueryTimes.empty(); ++index) {
    ASSERT_TRUE(watch.runUntil([&] { return watch.otherList.queryTimes.size() >= index; }, 3s));
    watch.runFor(20ms);
    watch.firstList.sendRaw("1\n");
  }
  EXPECT_GE(watch.otherList.snapshotQueryTimes.size(), 1u);
  EXPECT_TRUE(watch.runUntil([&] { return watch.watcher->status().lastEventNumber == 9; }, 3s));
  EXPECT_EQ(watch.countEngines(EndpointState::draining), 1u);
}

// All of a list is one line: a thousand engines with ids of 500 bytes go in; past its bound the line is said
// and what is known stays.
TEST(EndpointWatcher, ReadsThousandEnginesAndKeepsThemWhenNextLineExceedsLimit) {
  const auto makeManyServers = [](unsigned count) {
    std::vector<FakeEndpointList::Endpoint> servers;
    for (unsigned value = 0; value < count; ++value)
      servers.push_back({std::string(500, 'x') + std::to_string(value), hostAddress(1)});
    return servers;
  };
  WatcherFixture watch;
  watch.firstList.publish(makeManyServers(1000), true);
  watch.startWatcher();
  ASSERT_TRUE(watch.waitUntilFollowing());
  EXPECT_TRUE(watch.runUntil([&] { return watch.countEngines(EndpointState::ready) == 1000; }, 8s));
  watch.firstList.publish(makeManyServers(2000), true);
  EXPECT_TRUE(watch.runUntil([&] { return watch.hasLogged("a line without an end"); }, 8s));
  EXPECT_EQ(watch.countEngines(EndpointState::ready), 1000u);
}

// ---- processes ------------------------------------------------------------------------------------------

struct WatcherFleetFixture : fakes::TestScheduler {
  WatcherFleetFixture() {
    options.program = PADDLETRACK_PROGRAM;
    options.subnet = networkNumber();
    options.engines = 8;
    options.hasAdminSockets = options.startsControllers = false;
  }
  void launch() {
    site.emplace(*this, outputBudget, options);
    load.emplace(*this, outputBudget, site->controllerAddresses(), 3);
    load->setHeartbeatInterval(50ms);
    load->setDedicatedClients(true);
    for (std::size_t index = 0; index < options.controllers; ++index) site->startController(index);
  }
  std::size_t countReady() const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < options.controllers; ++index)
      count += load->isInService(index) ? 1 : 0;
    return count;
  }
  bool waitUntilReady(std::chrono::milliseconds timeout) {
    return runUntil([&] { return countReady() == options.controllers; }, timeout);
  }
  std::string readLog(std::size_t controller) const {
    std::ifstream file(site->logPath(controller));
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
    const std::filesystem::path directory("/proc/" + std::to_string(site->controller(0).pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(directory), {}));
  }
  FakeEndpointList& endpointList() { return site->endpointList(); }
  fakes::FakeFleetOptions options;
  std::optional<fakes::FakeFleet> site;
  std::optional<fakes::LoadGenerator> load;
  transport::TaskGroup idleClients{*this,
                                   [](const char*) {}};  // clients that ask for nothing, and come again
};

// All open watches fall silent at once; a quarter of the engines begin to drain right after.
TEST(EndpointWatcherProcess, SendsNothingToDrainingEnginesWhenListWasSilent) {
  WatcherFleetFixture fleet;
  fleet.options.controllers = 3;
  fleet.launch();
  ASSERT_TRUE(fleet.waitUntilReady(15s));
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.endpointList().subscriberCount() == 3; }, 5s));
  fleet.load->start(60, {fakes::FakeFleet::lookUpProfile()});
  fleet.endpointList().behavior.silentAfterAnswer = true;
  fleet.endpointList().publish(
      {{"s-1", fleet.site->addressText(1), "leaving"}, {"s-2", fleet.site->addressText(2), "leaving"}});
  const transport::TimePoint changedAt = fleet.now();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.endpointList().queryTimes.size() >= 6; }, 7s));
  EXPECT_LE(fleet.now() - changedAt, kVisibilityLimit);
  fleet.runFor(300ms);
  const std::uint64_t attemptsBefore = fleet.site->engine(0).askCount() + fleet.site->engine(1).askCount();
  const std::uint64_t sentBefore = fleet.load->counters().sent;
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.load->counters().sent >= sentBefore + 60; }, 10s));
  fleet.load->stop();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.load->counters().open == 0; }, 6s));
  EXPECT_EQ(fleet.site->engine(0).askCount() + fleet.site->engine(1).askCount(), attemptsBefore);
  EXPECT_EQ(fleet.load->counters().lost, 0u);
}

transport::Task<> runIdleClient(WatcherFleetFixture& fleet, bool sendsHeartbeat) {
  const std::string heartbeat = protocol::thrift::encodeMessage(
      "heartbeat", protocol::thrift::MessageType::call, 1, std::string("\2\0\1\0\0", 5));
  for (;;) {
    transport::ConnectResult connectResult =
        co_await transport::connect(fleet, fleet.site->controllerAddresses()[0], fleet.now() + 10s);
    if (connectResult.descriptor) {
      transport::Connection connection(fleet, std::move(connectResult.descriptor), 256, 4096,
                                       fleet.outputBudget);
      if (sendsHeartbeat) connection.send({transport::BufferSlice(heartbeat)});
      for (bool hasMore = true; hasMore;) {
        hasMore = co_await connection.receive();
        connection.input().consume(connection.input().view().size());
      }
    }
    co_await fleet.sleepUntil(fleet.now() + 20ms);
  }
}

// As many descriptors as it is allowed and not one more; idle clients hold all they can get, jobs all the
// connections to engines.
TEST(EndpointWatcherProcess, FollowsListAndServesClientsWhenIdleClientsHoldDescriptors) {
  constexpr std::size_t kSockets = 64;
  WatcherFleetFixture fleet;
  fleet.options.maxSockets = kSockets;
  fleet.options.engines = 24;
  const std::string descriptorLimit = std::to_string(kSockets);
  fleet.options.launcher = {
      "/usr/bin/prlimit", "--nofile=" + descriptorLimit + ":" + descriptorLimit, "/bin/sh", "-c",
      R"(exec 7</dev/null 8</dev/null 9</dev/null; exec "$0" "$@")"};  // it inherits three
  fleet.launch();
  ASSERT_TRUE(fleet.waitUntilReady(15s));
  FakeEndpointList otherList(fleet, fleet.outputBudget, transport::Address(fleet.site->addressText(251)));
  otherList.publish(fleet.site->endpoints(), true);
  otherList.behavior.unansweredSessions = 100;  // up, and not a word: the first is followed beside it
  fakes::LoadGenerator::RequestProfile slowKind = fakes::FakeFleet::lookUpProfile();
  slowKind.minDuration = slowKind.maxDuration = 2500ms;
  fleet.load->start(60, {slowKind});
  for (unsigned value = 0; value < 100; ++value)
    fleet.idleClients.spawn(runIdleClient(fleet, value % 2 == 0));
  std::size_t peakDescriptors = 0;
  const auto isFull = [&] {
    return (peakDescriptors = std::max(peakDescriptors, fleet.countDescriptors())) >= kSockets - 3;
  };
  EXPECT_TRUE(fleet.runUntil(isFull, 8s)) << peakDescriptors;
  for (std::size_t index = 1; index <= 4; ++index) {  // two list connections are open at each second of these
    fleet.site->changeEndpointList(
        0, index % 2 == 1 ? fleet.site->addressText(251) : fleet.site->addressText(250));
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.countLogged("read again") >= index; }, 5s))
        << index << fleet.readLog(0);
    const bool isFollowed = fleet.runUntil(
        [&] {
          peakDescriptors = std::max(peakDescriptors, fleet.countDescriptors());
          return index % 2 == 1 ? otherList.queryTimes.size() > index / 2
                                : fleet.endpointList().queryTimes.size() > index / 2;
        },
        5s);
    EXPECT_TRUE(isFollowed) << index;
  }
  EXPECT_EQ(fleet.countLogged("not taken"), 0u) << fleet.readLog(0);
  std::printf("descriptors: %zu of %zu at most\n", peakDescriptors, kSockets);
  // The list goes, its descriptor is anybody's; it comes back while as many clients knock as before.
  fleet.endpointList().close();
  fleet.runFor(2s);
  const std::size_t connectsBefore = fleet.endpointList().queryTimes.size();
  fleet.endpointList().open();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.endpointList().queryTimes.size() > connectsBefore; }, 3s));
  fleet.endpointList().publish({{"s-1", fleet.site->addressText(1), "leaving"}});
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.endpointList().subscriberCount() == 1; }, 2s));
  // A usual client gets in and is served.
  fleet.load->stop();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.load->counters().open == 0; }, 8s));
  fleet.load->start(0, {fakes::FakeFleet::lookUpProfile()});
  const auto completedRequests = [&] {
    return fleet.load->counters()
        .answersByOutcome[static_cast<std::size_t>(fakes::Reply::Outcome::completed)];
  };
  const std::uint64_t completedBefore = completedRequests();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.load->isInService(0); }, 5s));
  for (int item = 0; item < 5; ++item) fleet.load->send(0, 0);
  EXPECT_TRUE(fleet.runUntil([&] { return completedRequests() == completedBefore + 5; }, 5s));
  EXPECT_EQ(fleet.countLogged("Too many open files"), 0u) << fleet.readLog(0);
}

// Seven in ten killed at once and started again, with clients that knock. PADDLETRACK_RESTARTS: so many
// processes in place of ten.
struct RestartCase {
  bool listIsKnown;       // the configuration holds the list
  const char* listState;  // the list service is at the start
  std::chrono::milliseconds downTime, delayPerSession;
};

void checkRestart(const RestartCase& restartCase) {
  const char* controllerCountText = std::getenv("PADDLETRACK_RESTARTS");
  WatcherFleetFixture fleet;
  fleet.options.controllers =
      controllerCountText ? static_cast<unsigned>(std::stoul(controllerCountText)) : 10;
  fleet.options.includesKnownEvents = restartCase.listIsKnown;
  fleet.launch();
  ASSERT_TRUE(fleet.waitUntilReady(60s));
  const std::size_t killedCount = fleet.options.controllers * 7 / 10;
  fleet.load->start(5.0 * fleet.options.controllers, {fakes::FakeFleet::lookUpProfile()});
  if (restartCase.downTime > 0ms) fleet.endpointList().close();
  fleet.endpointList().behavior.answerDuration = restartCase.delayPerSession;
  for (std::size_t index = 0; index < killedCount; ++index) fleet.site->controller(index).sendSignal(SIGKILL);
  const auto areAllStopped = [&] {
    for (std::size_t item = 0; item < killedCount; ++item)
      if (!fleet.site->controller(item).exitCode() || fleet.load->isInService(item)) return false;
    return true;
  };
  ASSERT_TRUE(fleet.runUntil(areAllStopped, 10s));
  const transport::TimePoint startedAt = fleet.now();
  for (std::size_t item = 0; item < killedCount; ++item) fleet.site->startController(item);
  std::vector<std::chrono::milliseconds> readyTimes;
  std::vector<bool> isReady(killedCount);
  const auto pollReadiness = [&] {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now() - startedAt);
    if (!fleet.endpointList().isOpen() && elapsed >= restartCase.downTime) fleet.endpointList().open();
    for (std::size_t element = 0; element < killedCount; ++element)
      if (!isReady[element] && fleet.load->isInService(element))
        isReady[element] = true, readyTimes.push_back(elapsed);
    return readyTimes.size() == killedCount;
  };
  const bool becameReady = fleet.runUntil(pollReadiness, 30s);
  const std::size_t ninetyPercentCount = (killedCount * 9 + 9) / 10;
  std::printf("%s, list %s: %zu of %zu ready; nine in ten after %lld ms, the last after %lld ms\n",
              restartCase.listIsKnown ? "known" : "nothing known", restartCase.listState, readyTimes.size(),
              killedCount,
              readyTimes.size() < ninetyPercentCount
                  ? -1LL
                  : static_cast<long long>(readyTimes[ninetyPercentCount - 1].count()),
              readyTimes.empty() ? -1LL : static_cast<long long>(readyTimes.back().count()));
  EXPECT_TRUE(becameReady);
  ASSERT_GE(readyTimes.size(), ninetyPercentCount);
  EXPECT_LE(readyTimes[ninetyPercentCount - 1], 10s);
  // Whoever knows does not wait for the service: it was away till then, or had no time for half of them.
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
