// Gossip between controller processes whose network has faults.
#include "fakes/gossip_cluster.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <csignal>
#include <fstream>

#include "gossip/codec.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;

struct GossipClusterFixture : TestScheduler, GossipCluster {
  using Json = GossipCluster::Json;
  using TestScheduler::runFor;
  GossipClusterFixture(int network, unsigned memberCount,
                       std::function<void(GossipClusterOptions&)> adjustOptions = {})
      : GossipCluster(*static_cast<TestScheduler*>(this),
                      makeOptions(network, memberCount, std::move(adjustOptions))) {}
  static GossipClusterOptions makeOptions(int network, unsigned memberCount,
                                          std::function<void(GossipClusterOptions&)> adjustOptions) {
    GossipClusterOptions options;
    options.program = PADDLETRACK_PROGRAM;
    options.subnet = network;
    options.members = memberCount;
    if (adjustOptions) adjustOptions(options);
    return options;
  }
  std::string readLog(unsigned member) {
    std::ifstream file(fleet.logPath(member));
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  // Returns the milliseconds until all of the members count this number of requests in the fleet, or -1 if
  // they do not within the timeout.
  double convergenceMs(const std::vector<unsigned>& members, std::uint64_t expectedRequests,
                       milliseconds timeout = 8s) {
    const auto elapsed = GossipCluster::waitForMembers(
        members, [&](unsigned member) { return fleetRequestCount(member) == expectedRequests; }, timeout);
    return elapsed ? std::chrono::duration<double, std::milli>(*elapsed).count() : -1;
  }
  std::uint64_t droppedCount(unsigned member, const char* reason) {
    return gossipStatus(member)["dropped"][reason].get<std::uint64_t>();
  }
};

TEST(GossipCluster, ConvergesWithinTimeLimitWhenPartitionHeals) {
  GossipClusterFixture fleet(161, 5);
  ASSERT_TRUE(fleet.start()) << fleet.readLog(0);
  fleet.runRequests(0, 3);
  ASSERT_GE(fleet.convergenceMs(fleet.allMembers(), 3), 0);
  fleet.mesh.partition({0, 1});
  fleet.runFor(200ms);  // until datagrams in flight have arrived
  fleet.runRequests(0, 4);
  fleet.runRequests(3, 10);
  EXPECT_GE(fleet.convergenceMs({0, 1}, 7), 0);
  EXPECT_GE(fleet.convergenceMs({2, 3, 4}, 13), 0);
  fleet.runFor(1s);
  EXPECT_EQ(fleet.fleetRequestCount(1), 7U);  // each side has only its own updates
  EXPECT_EQ(fleet.fleetRequestCount(4), 13U);
  fleet.mesh.heal();
  const double healedMs = fleet.convergenceMs(fleet.allMembers(), 17);
  RecordProperty("healed_ms", std::to_string(healedMs));
  EXPECT_GE(healedMs, 0);
  EXPECT_LT(healedMs, 4000);  // 40 periods, which leaves room for a loaded machine
  for (const unsigned member : fleet.allMembers()) EXPECT_EQ(fleet.droppedCount(member, "broken"), 0U);
}

TEST(GossipCluster, RelaysThroughThirdMemberWhenOneDirectionIsCut) {
  GossipClusterFixture fleet(162, 3);
  ASSERT_TRUE(fleet.start()) << fleet.readLog(0);
  fleet.mesh.faultsBetween(0, 1).blocked = true;
  fleet.runRequests(0, 5);
  fleet.runRequests(1, 6);
  EXPECT_GE(fleet.convergenceMs(fleet.allMembers(), 11), 0);
  // All datagrams of member 0 are lost. The others converge without its updates and receive them after the
  // network has healed.
  fleet.mesh.faultsBetween(0, 2).blocked = true;
  fleet.runFor(200ms);
  fleet.runRequests(0, 7);
  fleet.runRequests(1, 2);
  EXPECT_GE(fleet.convergenceMs({1, 2}, 13), 0);
  fleet.runFor(1s);
  EXPECT_EQ(fleet.fleetRequestCount(2), 13U);
  fleet.mesh.heal();
  EXPECT_GE(fleet.convergenceMs(fleet.allMembers(), 20), 0);
}

TEST(GossipCluster, ConvergesToExactSumsWhenDatagramsAreLostDuplicatedReorderedOrLate) {
  GossipClusterFixture fleet(163, 4);
  NetworkFaults faults;
  faults.maxDelay = 40ms;
  faults.dropProbability = 0.3;
  faults.duplicateProbability = 0.4;
  faults.reorderProbability = 0.4;
  faults.reorderDelay = 300ms;
  fleet.mesh.setAllFaults(faults);
  ASSERT_TRUE(fleet.start()) << fleet.readLog(0);
  std::uint64_t sum = 0;
  for (unsigned round = 0; round < 8; ++round) {
    fleet.runRequests(round % 4, 1 + round);
    sum += 1 + round;
  }
  EXPECT_GE(fleet.convergenceMs(fleet.allMembers(), sum), 0);
  for (const unsigned member : fleet.allMembers()) {
    const auto status = fleet.gossipStatus(member);
    EXPECT_EQ(status["owners"], 4);
    EXPECT_EQ(status["fleet"]["live"], 4);
    std::uint64_t engineAttempts = 0;
    for (const auto& [name, load] : status["fleet"]["engines"].items())
      engineAttempts += load["jobs"].get<std::uint64_t>();
    EXPECT_EQ(engineAttempts, sum);
  }
}

TEST(GossipCluster, ReplacesPreviousIncarnationWhenKilledMemberRestarts) {
  GossipClusterFixture fleet(164, 3);
  ASSERT_TRUE(fleet.start()) << fleet.readLog(0);
  fleet.runRequests(0, 5);
  fleet.runRequests(1, 4);
  ASSERT_GE(fleet.convergenceMs(fleet.allMembers(), 9), 0);
  const auto generation = fleet.gossipStatus(1)["generation"].get<std::uint64_t>();
  fleet.sendSignal(1, SIGKILL);
  fleet.runFor(300ms);
  EXPECT_EQ(fleet.fleetRequestCount(0), 9U);  // the entries of a killed member remain until they expire
  fleet.fleet.startController(1);
  ASSERT_TRUE(fleet.TestScheduler::runUntil(
      [&] { return fleet.loadGenerator.isInService(1) && fleet.memberCount(1) == 3; }));
  EXPECT_GT(fleet.gossipStatus(1)["generation"].get<std::uint64_t>(), generation);
  EXPECT_GE(fleet.convergenceMs(fleet.allMembers(), 5), 0);
  fleet.runRequests(1, 2);
  EXPECT_GE(fleet.convergenceMs(fleet.allMembers(), 7), 0);
  EXPECT_EQ(fleet.gossipStatus(0)["owners"], 3);
}

TEST(GossipCluster, ExcludesStoppedMemberFromLiveCountAndConvergesWhenItResumes) {
  GossipClusterFixture fleet(165, 3);
  ASSERT_TRUE(fleet.start()) << fleet.readLog(0);
  fleet.runRequests(2, 3);
  ASSERT_GE(fleet.convergenceMs(fleet.allMembers(), 3), 0);
  fleet.sendSignal(2, SIGSTOP);
  fleet.runRequests(0, 4);
  EXPECT_GE(fleet.convergenceMs({0, 1}, 7), 0);
  const auto hasLiveCount = [&](unsigned member, int count) {
    return fleet.gossipStatus(member)["fleet"]["live"] == count;
  };
  EXPECT_TRUE(fleet.GossipCluster::waitForMembers(
      {0, 1}, [&](unsigned member) { return hasLiveCount(member, 2); }, 8s));
  EXPECT_EQ(fleet.fleetRequestCount(0), 7U);
  fleet.runRequests(0, 1);
  fleet.sendSignal(2, SIGCONT);
  EXPECT_GE(fleet.convergenceMs(fleet.allMembers(), 8), 0);
  EXPECT_TRUE(fleet.GossipCluster::waitForMembers(
      fleet.allMembers(), [&](unsigned member) { return hasLiveCount(member, 3); }, 8s));
  EXPECT_EQ(fleet.gossipStatus(2)["later_lives"], 0);
}

TEST(GossipCluster, DropsInvalidDatagramsByReasonAndKeepsConverging) {
  GossipClusterFixture fleet(166, 3, [](GossipClusterOptions& options) {
    options.clusterOf = [](unsigned member) { return std::string(member == 2 ? "another" : "test"); };
  });
  ASSERT_TRUE(fleet.GossipCluster::waitForMembers(
      {0, 1}, [&](unsigned member) { return fleet.memberCount(member) == 2; }, 20s))
      << fleet.readLog(0);
  fleet.runRequests(0, 3);
  fleet.runRequests(2, 50);
  EXPECT_GE(fleet.convergenceMs({0, 1}, 3), 0);
  EXPECT_TRUE(fleet.GossipCluster::waitForMembers(
      {0, 1, 2}, [&](unsigned member) { return fleet.droppedCount(member, "foreign") > 0; }, 8s));
  EXPECT_EQ(fleet.memberCount(2), 1U);

  transport::DatagramSocket rawSocket(fleet, transport::Address("127.0.166.99:17946"), 2000);
  const std::uint64_t target = transport::packAddress(fleet.mesh.boundAddress(0));
  gossip::Delta oldDelta;
  oldDelta.ownerDeltas.push_back({"c2", 1, 0, 1, {{gossip::kLoadTopic, "", "\x92\x01\x02", 1, false, 0s}}});
  std::string datagram = gossip::encode(gossip::Message(oldDelta), "test", "stranger");
  EXPECT_TRUE(rawSocket.send(target, datagram));
  datagram[1] = '\x02';
  EXPECT_TRUE(rawSocket.send(target, datagram));
  datagram[1] = '\x01', datagram[2] = '\x11';
  EXPECT_TRUE(rawSocket.send(target, datagram));
  datagram[2] = '\x0f';
  EXPECT_TRUE(rawSocket.send(target, datagram));
  EXPECT_TRUE(rawSocket.send(target, gossip::encode(gossip::Message(oldDelta), "test", "c1")));
  EXPECT_TRUE(rawSocket.send(target, std::string(1900, '\x91')));
  std::mt19937 generator(5);
  for (int index = 0; index < 500; ++index) {
    std::string randomBytes(generator() % 1400, '\0');
    for (char& byte : randomBytes) byte = static_cast<char>(generator());
    EXPECT_TRUE(rawSocket.send(target, randomBytes));
    if (index % 50 == 49) fleet.runFor(20ms);
  }
  for (const char* reason : {"old", "version", "reserved", "unknown", "own", "oversized"})
    EXPECT_TRUE(fleet.GossipCluster::waitForMembers(
        {0}, [&](unsigned) { return fleet.droppedCount(0, reason) == 1; }, 4s))
        << reason << fleet.gossipStatus(0)["dropped"];
  EXPECT_TRUE(fleet.GossipCluster::waitForMembers(
      {0}, [&](unsigned) { return fleet.droppedCount(0, "broken") >= 480; }, 4s));
  fleet.runRequests(1, 2);
  EXPECT_GE(fleet.convergenceMs({0, 1}, 5), 0);
}

TEST(GossipCluster, ExitsNamingAddressWhenListenAddressIsInUse) {
  TestScheduler scheduler;
  const transport::DatagramSocket occupyingSocket(scheduler, transport::Address("127.0.169.1:17946"), 100);
  FakeFleetOptions options;
  options.program = PADDLETRACK_PROGRAM;
  options.subnet = 169;
  options.operatorConfig = "share { listen = \"127.0.169.1:17946\" }\n";
  FakeFleet fleet(scheduler, scheduler.memoryBudget, options);
  ASSERT_TRUE(scheduler.runUntil([&] { return fleet.controller(0).exitCode().has_value(); }));
  EXPECT_EQ(fleet.controller(0).exitCode(), 1);
  std::ifstream file(fleet.logPath(0));
  const std::string logContent(std::istreambuf_iterator<char>(file), {});
  EXPECT_NE(logContent.find("share.listen: 127.0.169.1:17946: bind: Address already in use; set it"),
            std::string::npos)
      << logContent;
}

TEST(GossipCluster, OmitsGossipStatusWhenNotConfigured) {
  TestScheduler scheduler;
  FakeFleetOptions options;
  options.program = PADDLETRACK_PROGRAM;
  options.subnet = 167;
  FakeFleet fleet(scheduler, scheduler.memoryBudget, options);
  GossipCluster::Json status;
  EXPECT_TRUE(scheduler.runUntil([&] {
    AdminConnection adminConnection(scheduler, scheduler.memoryBudget, fleet.adminSocketPath(0));
    adminConnection.send("{\"v\":1,\"id\":1,\"do\":\"status\"}\n");
    scheduler.runUntil([&] { return !adminConnection.receivedLines.empty() || adminConnection.isClosed; },
                       1s);
    if (adminConnection.receivedLines.empty()) return false;
    status = GossipCluster::Json::parse(adminConnection.receivedLines.front())["status"];
    return true;
  }));
  EXPECT_FALSE(status.contains("share"));
}

}  // namespace
}  // namespace paddletrack::fakes
