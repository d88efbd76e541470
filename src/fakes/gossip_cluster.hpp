// Controllers that share, each a process of its own, with relays between each two of them.
#pragma once

#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/fake_fleet.hpp"
#include "fakes/fault_proxy.hpp"
#include "fakes/load_generator.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack::fakes {

struct GossipClusterOptions {
  std::string program;
  int subnet = 0;  // and so much as in SiteTerms
  unsigned members = 3;
  std::uint64_t seed = 1;
  std::string gossipInterval = "100ms";
  std::string retention = "10m";
  std::function<std::string(unsigned member)> clusterOf{};
  std::string extraOperatorConfig{};  // of the operator's file
};

class GossipCluster {
 public:
  using Json = nlohmann::json;

  GossipCluster(TestScheduler& scheduler, GossipClusterOptions options)
      : scheduler_(scheduler),
        mesh(scheduler, options.subnet, options.members, options.seed),
        fleet(scheduler, scheduler.outputBudget, fleetOptions(options)),
        loadGenerator(scheduler, scheduler.outputBudget, fleet.frontAddresses(), options.seed),
        members_(options.members) {
    loadGenerator.setHeartbeatInterval(milliseconds(500));
    loadGenerator.start(
        0, {{"look-up", "acme", 1, milliseconds(1), milliseconds(2), milliseconds(3000), "ms=1"}});
  }

  // What a member's door tells, or null: nobody answers within so long.
  Json status(unsigned member, milliseconds timeout = milliseconds(2000)) {
    AdminConnection connection(scheduler_, scheduler_.outputBudget, fleet.adminSocketPath(member));
    connection.send("{\"v\":1,\"id\":1,\"do\":\"status\"}\n");
    scheduler_.runUntil([&] { return !connection.receivedLines.empty() || connection.isClosed; }, timeout);
    return connection.receivedLines.empty() ? Json()
                                            : Json::parse(connection.receivedLines.front())["status"];
  }
  Json gossipStatus(unsigned member) {
    const Json memberStatus = status(member);
    return memberStatus.is_null() || !memberStatus.contains("share") ? Json() : memberStatus["share"];
  }
  std::uint64_t memberCount(unsigned member) {
    const Json gossip = gossipStatus(member);
    return gossip.is_null() ? 0 : gossip["owners"].get<std::uint64_t>();
  }
  std::uint64_t fleetRequestCount(unsigned member) {
    const Json gossip = gossipStatus(member);
    return gossip.is_null() ? 0 : gossip["fleet"]["jobs"].get<std::uint64_t>();
  }

  // Jobs that are taken and answered.
  void runRequests(unsigned member, unsigned count) {
    for (unsigned value = 0; value < count; ++value) loadGenerator.send(0, member);
    scheduler_.runUntil([&] { return loadGenerator.counters().open == 0; }, milliseconds(5000));
  }

  // Until each of them says so; how long it took.
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
    for (unsigned value = 0; value < members_; ++value) members[value] = value;
    return members;
  }
  bool start(milliseconds timeout = milliseconds(20000)) {  // all serve, and know of each other
    return scheduler_.runUntil(
               [&] {
                 for (const unsigned allMember : allMembers())
                   if (!loadGenerator.isInService(allMember)) return false;
                 return true;
               },
               timeout) &&
           waitForMembers(
               allMembers(), [&](unsigned value) { return memberCount(value) == members_; }, timeout)
               .has_value();
  }
  void sendSignal(unsigned member, int signalNumber) { fleet.controller(member).sendSignal(signalNumber); }

 private:
  TestScheduler& scheduler_;
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
