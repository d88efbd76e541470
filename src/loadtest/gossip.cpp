// Measures the cost and the convergence time of gossip in fleets of controller processes with a fault proxy
// between each two, and compares the orders of owners in a delta in simulated time.
#include <sys/resource.h>

#include <cstdio>
#include <queue>

#include "fakes/gossip_cluster.hpp"
#include "gossip/gossip_protocol.hpp"
#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using fakes::GossipCluster;

// This process holds two sockets for each pair of members.
void raiseDescriptorLimit() {
  rlimit descriptorLimit{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptorLimit) != 0) return;
  descriptorLimit.rlim_cur = descriptorLimit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &descriptorLimit);
}

// Watches the status of all members through their admin sockets and keeps the last one of each.
class FleetStatusWatcher {
 public:
  FleetStatusWatcher(TestScheduler& loop, GossipCluster& fleet, unsigned memberCount)
      : loop_(loop), memberStatuses_(memberCount) {
    for (unsigned member = 0; member < memberCount; ++member) watchMember(fleet, member);
  }
  void watchMember(GossipCluster& fleet, unsigned member) {
    connections_.resize(memberStatuses_.size());
    memberStatuses_[member] = {};
    connections_[member] = std::make_unique<fakes::AdminConnection>(loop_, loop_.memoryBudget,
                                                                    fleet.fleet.adminSocketPath(member));
    connections_[member]->onLine = [this, member](const std::string& text) {
      const Json message = Json::parse(text);
      if (message.contains("status") && message["status"].contains("share"))
        memberStatuses_[member] = message["status"]["share"];
      connections_[member]->receivedLines.clear();
    };
    connections_[member]->send("{\"v\":1,\"id\":1,\"do\":\"watch\",\"every_ms\":20}\n");
  }
  const Json& memberStatus(unsigned member) const { return memberStatuses_[member]; }
  // Milliseconds until the predicate holds for all members; std::nullopt after the timeout.
  std::optional<double> measureTimeUntil(const std::function<bool(const Json&)>& predicate,
                                         std::chrono::milliseconds timeout) {
    const transport::TimePoint startedAt = loop_.now();
    const bool reached = loop_.runUntil(
        [&] {
          return std::all_of(memberStatuses_.begin(), memberStatuses_.end(),
                             [&](const Json& status) { return !status.is_null() && predicate(status); });
        },
        timeout);
    return reached ? std::optional(toMilliseconds(loop_.now() - startedAt)) : std::nullopt;
  }
  double totalBytesSent() const {
    double totalBytes = 0;
    for (const Json& status : memberStatuses_) totalBytes += status["out"]["bytes"].get<double>();
    return totalBytes;
  }
  double measureBytesPerSecond(std::chrono::milliseconds period) {
    const double bytesBefore = totalBytesSent();
    const transport::TimePoint startedAt = loop_.now();
    loop_.runFor(period);
    return (totalBytesSent() - bytesBefore) / toMilliseconds(loop_.now() - startedAt) * 1000 /
           static_cast<double>(memberStatuses_.size());
  }

 private:
  TestScheduler& loop_;
  std::vector<std::unique_ptr<fakes::AdminConnection>> connections_;
  std::vector<Json> memberStatuses_;
};

bool measureGossipFleet(const std::string& controllerProgram, unsigned memberCount, int networkIndex,
                        unsigned roundCount) {
  TestScheduler loop;
  fakes::GossipClusterOptions options;
  options.program = controllerProgram;
  options.subnet = networkIndex;
  options.members = memberCount;
  options.seed = memberCount;
  options.gossipInterval = "200ms";
  GossipCluster fleet(loop, options);
  if (!fleet.start(60s)) throw std::runtime_error("the controllers did not discover each other within 60 s");
  FleetStatusWatcher watcher(loop, fleet, memberCount);
  std::uint64_t expectedRequests = 0;
  const auto hasAllRequests = [&](const Json& status) { return status["fleet"]["jobs"] == expectedRequests; };
  std::vector<double> updateTimesMs, healTimesMs, restartTimesMs;
  const auto appendTime = [](std::vector<double>& times, const std::optional<double>& elapsed) {
    times.push_back(elapsed.value_or(1e9));
  };
  if (!watcher.measureTimeUntil(hasAllRequests, 10s))
    throw std::runtime_error("the controllers did not agree on the initial state within 10 s");
  for (unsigned round = 0; round < roundCount; ++round) {
    fleet.runRequests(round % memberCount, 1);
    ++expectedRequests;
    appendTime(updateTimesMs, watcher.measureTimeUntil(hasAllRequests, 30s));
  }
  std::vector<unsigned> firstHalf;
  for (unsigned memberIndex = 0; memberIndex < memberCount / 2; ++memberIndex)
    firstHalf.push_back(memberIndex);
  for (unsigned round = 0; round < roundCount / 2; ++round) {
    fleet.mesh.partition(firstHalf);
    loop.runFor(100ms);
    fleet.runRequests(0, 3);
    fleet.runRequests(memberCount - 1, 5);
    loop.runFor(3s);
    expectedRequests += 8;
    fleet.mesh.heal();
    appendTime(healTimesMs, watcher.measureTimeUntil(hasAllRequests, 30s));
  }
  const double idleBytesPerSecond = watcher.measureBytesPerSecond(5s);
  fleet.loadGenerator.start(20.0 * memberCount, {fakes::FakeFleet::lookUpProfile()});
  loop.runFor(1s);
  const double loadedBytesPerSecond = watcher.measureBytesPerSecond(5s);
  fleet.loadGenerator.stop();
  loop.runUntil([&] { return fleet.loadGenerator.counters().open == 0; }, 5s);
  for (unsigned round = 0; round < roundCount / 4; ++round) {
    const unsigned restartedMember = round % memberCount;
    fleet.sendSignal(restartedMember, SIGKILL);
    loop.runUntil([&] { return fleet.fleet.controller(restartedMember).exitCode().has_value(); }, 5s);
    const transport::TimePoint startedAt = loop.now();
    fleet.fleet.startController(restartedMember);
    loop.runUntil([&] { return fleet.memberCount(restartedMember) > 0; }, 10s);  // its admin socket responds
    watcher.watchMember(fleet, restartedMember);
    // From its start until it knows all owners and all members have the same sum.
    const bool allAgree =
        watcher
            .measureTimeUntil(
                [&](const Json& status) {
                  return status["owners"] == memberCount &&
                         !watcher.memberStatus(restartedMember).is_null() &&
                         status["fleet"]["jobs"] == watcher.memberStatus(restartedMember)["fleet"]["jobs"];
                },
                30s)
            .has_value();
    restartTimesMs.push_back(allAgree ? toMilliseconds(loop.now() - startedAt) : 1e9);
  }
  const Json& status = watcher.memberStatus(0);
  std::uint64_t malformedCount = 0;
  for (unsigned memberIndex = 0; memberIndex < memberCount; ++memberIndex)
    malformedCount += watcher.memberStatus(memberIndex)["dropped"]["broken"].get<std::uint64_t>();
  const double slowestMs =
      std::max({quantile(updateTimesMs, 1), quantile(healTimesMs, 1), quantile(restartTimesMs, 1)});
  std::printf("%8u %11.0f %9.0f %11.0f %9.0f %11.0f %9.0f %10.0f %10.0f %8llu %8llu%s\n", memberCount,
              quantile(updateTimesMs, 0.5), quantile(updateTimesMs, 1), quantile(healTimesMs, 0.5),
              quantile(healTimesMs, 1), quantile(restartTimesMs, 0.5), quantile(restartTimesMs, 1),
              idleBytesPerSecond, loadedBytesPerSecond, status["entries"].get<unsigned long long>(),
              status["bytes"].get<unsigned long long>(),
              slowestMs < 1e8 && malformedCount == 0 ? "" : "  FAILED");
  std::fflush(stdout);
  return slowestMs < 1e8 && malformedCount == 0;
}

// Time until a new member of a fleet with large state has the load records of half of the owners, of 90 % of
// them, and all entries.
struct CatchUpTimes {
  double halfMs = 0, ninetyPercentMs = 0, allMs = 0;
  std::uint64_t datagrams = 0;
};
CatchUpTimes simulateCatchUp(gossip::DeltaOrder order, unsigned memberCount, std::size_t largestTableBytes,
                             std::uint64_t seed) {
  using namespace gossip;
  struct Member {
    std::unique_ptr<Store> store;
    std::unique_ptr<GossipProtocol> gossip;
  };
  std::vector<Member> fleet(memberCount);
  Duration now{0};
  std::size_t tableRowCount = 0;
  for (unsigned memberIndex = 0; memberIndex < memberCount; ++memberIndex) {
    StoreOptions storeOptions;
    storeOptions.owner = "controller-" + std::to_string(memberIndex);
    storeOptions.deltaOrder = order;
    GossipOptions gossipOptions;
    for (unsigned peer = 0; peer < memberCount; ++peer)
      if (peer != memberIndex) gossipOptions.peers.push_back(peer);
    gossipOptions.seed = seed * 1000 + memberIndex;
    fleet[memberIndex] = {std::make_unique<Store>(storeOptions), nullptr};
    fleet[memberIndex].gossip = std::make_unique<GossipProtocol>(*fleet[memberIndex].store, gossipOptions);
    // The last member is new. The others hold a load record and tables of different sizes.
    if (memberIndex + 1 == memberCount) continue;
    for (std::size_t row = 0; row * 1000 < largestTableBytes * memberIndex / memberCount;
         ++row, ++tableRowCount)
      fleet[memberIndex].store->put(now, kRebalanceTopic, std::to_string(row), std::string(1000, 'r'));
  }
  const auto publishLoadRecords = [&] {
    for (Member& member : fleet) member.store->put(now, kLoadTopic, "", std::to_string(now.count()));
  };
  publishLoadRecords();
  for (unsigned receiver = 0; receiver + 1 < memberCount; ++receiver)
    for (unsigned sender = 0; sender + 1 < memberCount; ++sender)
      fleet[receiver].store->merge(
          now, fleet[sender].store->buildDelta(now, fleet[receiver].store->buildDigest(now, {}, 1 << 20),
                                               std::size_t{1} << 26));
  struct InFlightMessage {
    Duration arrivesAt;
    unsigned sender, receiver;
    Message message;
  };
  std::deque<InFlightMessage> inFlight;  // ordered by arrival, because each takes 1 ms
  CatchUpTimes result;
  const auto deliver = [&](unsigned sender, GossipProtocol::OutboundMessages outbound) {
    for (auto& outboundMessage : outbound) {
      const auto receiver = static_cast<unsigned>(outboundMessage.destination);
      if (receiver + 1 == memberCount) ++result.datagrams;
      inFlight.push_back({now + 1ms, sender, receiver, std::move(outboundMessage.message)});
    }
  };
  const auto countRecords = [&](Topic topic) {
    std::size_t recordCount = 0;
    fleet.back().store->visitEntries(now, topic, [&](auto&, auto, auto&, auto&, Duration) { ++recordCount; });
    return recordCount;
  };
  for (; now < 600s; now += 1ms) {
    if (now % 500ms == 0us) publishLoadRecords();
    for (; !inFlight.empty() && inFlight.front().arrivesAt <= now; inFlight.pop_front()) {
      const InFlightMessage& datagramInFlight = inFlight.front();
      deliver(datagramInFlight.receiver,
              fleet[datagramInFlight.receiver].gossip->onMessage(
                  now, datagramInFlight.sender, fleet[datagramInFlight.sender].store->owner(),
                  datagramInFlight.message));
    }
    for (unsigned memberIndex = 0; memberIndex < memberCount; ++memberIndex)
      if (now >= fleet[memberIndex].gossip->nextRoundAt())
        deliver(memberIndex, fleet[memberIndex].gossip->runRound(now));
    const std::size_t loadRecordCount = countRecords(kLoadTopic);
    const double elapsedMs = std::chrono::duration<double, std::milli>(now).count();
    if (result.halfMs == 0 && 2 * loadRecordCount >= memberCount) result.halfMs = elapsedMs;
    if (result.ninetyPercentMs == 0 && 10 * loadRecordCount >= 9 * memberCount)
      result.ninetyPercentMs = elapsedMs;
    if (now % 10ms == 0us && loadRecordCount == memberCount &&
        countRecords(kRebalanceTopic) == tableRowCount) {
      result.allMs = elapsedMs;
      break;
    }
  }
  return result;
}

bool compareDeltaOrders() {
  std::printf(
      "\nSimulated: a new member joins 30 controllers, of which the largest publish 64 KB and 240 KB; 1 ms\n"
      "per datagram, 5 seeds each: median ms until it has the load records of half of the owners, of 90 %%,\n"
      "and all entries; datagrams sent to it\n\n");
  std::printf("%-8s %-8s %10s %12s %10s %10s\n", "largest", "order", "half", "90 %", "all", "datagrams");
  bool passed = true;
  for (const std::size_t largestTableBytes : {std::size_t{64000}, std::size_t{240000}})
    for (const auto& [name, order] : {std::pair{"smallest", gossip::DeltaOrder::smallestFirst},
                                      {"newest", gossip::DeltaOrder::newestFirst},
                                      {"largest", gossip::DeltaOrder::largestFirst}}) {
      std::vector<double> halfMs, ninetyPercentMs, allMs, datagramCounts;
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const CatchUpTimes times = simulateCatchUp(order, 30, largestTableBytes, seed);
        halfMs.push_back(times.halfMs);
        ninetyPercentMs.push_back(times.ninetyPercentMs);
        allMs.push_back(times.allMs);
        datagramCounts.push_back(static_cast<double>(times.datagrams));
        passed = passed && times.allMs > 0;
      }
      std::printf("%-8zu %-8s %10.0f %12.0f %10.0f %10.0f\n", largestTableBytes, name, quantile(halfMs, 0.5),
                  quantile(ninetyPercentMs, 0.5), quantile(allMs, 0.5), quantile(datagramCounts, 0.5));
      std::fflush(stdout);
    }
  return passed;
}

}  // namespace

int measureGossip(const std::string& controllerProgram, const std::vector<unsigned>& fleetSizes,
                  unsigned roundCount) {
  raiseDescriptorLimit();
  std::printf(
      "Controllers on loopback, gossip period 200 ms, load records every 500 ms. ms until all report the\n"
      "same total: after one request at one of them (update), after a partition of 3 s into two halves with\n"
      "requests on both sides (heal), and from the start of one that was killed (restart); bytes per second\n"
      "that each sends, idle and at 20 requests per second each; entries and bytes that one member "
      "holds\n\n");
  std::printf("%8s %11s %9s %11s %9s %11s %9s %10s %10s %8s %8s\n", "members", "update p50", "max",
              "heal p50", "max", "restart p50", "max", "idle B/s", "loaded B/s", "entries", "bytes");
  bool passed = true;
  int networkIndex = 171;
  for (const unsigned fleetSize : fleetSizes)
    passed = measureGossipFleet(controllerProgram, fleetSize, networkIndex++, roundCount) && passed;
  return compareDeltaOrders() && passed ? 0 : 1;
}

}  // namespace paddletrack::loadtest
