// Fleet whose controllers gossip, with a fault proxy between each pair of them.
#pragma once

#include <csignal>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <vector>

#include "fakes/admin_connection.hpp"
#include "fakes/fake_fleet.hpp"
#include "fakes/load_generator.hpp"
#include "fakes/test_scheduler.hpp"
#include "fakes/udp_proxy_mesh.hpp"

namespace paddletrack::fakes {

struct GossipClusterOptions {
  std::string program;
  int subnet = 0;  ///< As in FakeFleetOptions.
  unsigned members = 3;
  std::uint64_t seed = 1;
  std::string gossipInterval = "100ms";
  std::string retention = "10m";
  /// Returns the name of the cluster to which a member belongs. If it is not set, all members share one
  /// cluster.
  std::function<std::string(unsigned member)> clusterOf{};
  std::string extraOperatorConfig{};  ///< Additional blocks of every operator's file.
};

/// Starts the controllers (members, numbered from 0) and reads their status.
class GossipCluster {
 public:
  using Json = nlohmann::json;

  GossipCluster(TestScheduler& scheduler, GossipClusterOptions options)
      : scheduler_(scheduler),
        mesh(scheduler, options.subnet, options.members, options.seed),
        fleet(scheduler, scheduler.memoryBudget, fleetOptions(options)),
        loadGenerator(scheduler, scheduler.memoryBudget, fleet.controllerAddresses(), options.seed),
        members_(options.members) {
    loadGenerator.setHeartbeatInterval(milliseconds(500));
    loadGenerator.start(
        0, {{"look-up", "acme", 1, milliseconds(1), milliseconds(2), milliseconds(3000), "ms=1"}});
  }

  /// Returns the status report of a member, or null JSON if the member does not answer within the timeout.
  Json status(unsigned member, milliseconds timeout = milliseconds(2000)) {
    AdminConnection connection(scheduler_, scheduler_.memoryBudget, fleet.adminSocketPath(member));
    connection.send("{\"v\":1,\"id\":1,\"do\":\"status\"}\n");
    scheduler_.runUntil([&] { return !connection.receivedLines.empty() || connection.isClosed; }, timeout);
    if (connection.receivedLines.empty()) return {};
    return Json::parse(connection.receivedLines.front())["status"];
  }
  /// Returns the gossip section of the status report, or null JSON if there is none.
  Json gossipStatus(unsigned member) {
    const Json memberStatus = status(member);
    if (memberStatus.is_null() || !memberStatus.contains("share")) return {};
    return memberStatus["share"];
  }
  /// Returns the number of members that `member` knows of, including itself; 0 if it does not answer.
  std::uint64_t memberCount(unsigned member) {
    const Json gossip = gossipStatus(member);
    return gossip.is_null() ? 0 : gossip["owners"].get<std::uint64_t>();
  }
  /// Returns the number of requests in the fleet that `member` knows of; 0 if it does not answer.
  std::uint64_t fleetRequestCount(unsigned member) {
    const Json gossip = gossipStatus(member);
    return gossip.is_null() ? 0 : gossip["fleet"]["jobs"].get<std::uint64_t>();
  }

  /// Sends requests to a member and waits until none is open, for at most five seconds.
  void runRequests(unsigned member, unsigned count) {
    for (unsigned request = 0; request < count; ++request) loadGenerator.send(0, member);
    scheduler_.runUntil([&] { return loadGenerator.counters().open == 0; }, milliseconds(5000));
  }

  /// Waits until `predicate` has held once for each of the members. Returns the time that took, or
  /// std::nullopt after the timeout.
  std::optional<transport::Clock::duration> waitForMembers(const std::vector<unsigned>& members,
                                                           const std::function<bool(unsigned)>& predicate,
                                                           milliseconds timeout) {
    const transport::TimePoint startedAt = scheduler_.now();
    for (const unsigned member : members)
      while (!predicate(member)) {
        if (scheduler_.now() - startedAt > timeout) return std::nullopt;
        scheduler_.runFor(milliseconds(2));
      }
    return scheduler_.now() - startedAt;
  }
  std::vector<unsigned> allMembers() const {
    std::vector<unsigned> members(members_);
    std::iota(members.begin(), members.end(), 0U);
    return members;
  }
  /// Waits until all members are in service and know each other. Returns false after the timeout.
  bool start(milliseconds timeout = milliseconds(20000)) {
    const bool areServing = scheduler_.runUntil([&] { return areAllInService(); }, timeout);
    if (!areServing) return false;
    const auto knowsAllMembers = [&](unsigned member) { return memberCount(member) == members_; };
    return waitForMembers(allMembers(), knowsAllMembers, timeout).has_value();
  }
  void sendSignal(unsigned member, int signalNumber) { fleet.controller(member).sendSignal(signalNumber); }

 private:
  TestScheduler& scheduler_;

  bool areAllInService() const {
    for (unsigned member = 0; member < members_; ++member)
      if (!loadGenerator.isInService(member)) return false;
    return true;
  }

  FakeFleetOptions fleetOptions(const GossipClusterOptions& options) {
    FakeFleetOptions result;
    result.program = options.program;
    result.subnet = options.subnet;
    result.engines = 2;
    result.controllers = options.members;
    result.operatorConfigOf = [this, options](unsigned member) {
      return "share {\n  listen = \"" + mesh.boundAddressText(member) +
             "\"\n  peers = " + mesh.peerListText(member) + "\n  period = \"" + options.gossipInterval +
             "\"\n  keep = \"" + options.retention + "\"\n  cluster = \"" +
             (options.clusterOf ? options.clusterOf(member) : std::string("test")) + "\"\n}\n" +
             options.extraOperatorConfig;
    };
    return result;
  }

 public:
  UdpProxyMesh mesh;
  FakeFleet fleet;
  LoadGenerator loadGenerator;

 private:
  const unsigned members_;
};

}  // namespace paddletrack::fakes
