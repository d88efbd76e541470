// Counterfactual statistics of a fleet of controller processes whose network has faults.
#include <gtest/gtest.h>

#include <csignal>

#include "fakes/gossip_cluster.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;

struct CounterfactualFixture : TestScheduler, GossipCluster {
  using TestScheduler::runFor;
  CounterfactualFixture(int subnet, unsigned members)
      : GossipCluster(
            *static_cast<TestScheduler*>(this),
            {PADDLETRACK_PROGRAM, subnet, members, 1, "100ms", "10m", {}, "hindsight { records = 512 }\n"}) {}
  // Number of requests in the sums of `scope`: "own" for those of the controller, "fleet" for those of all
  // controllers. -1 if the status has none.
  double countRequests(unsigned member, const char* scope) {
    const Json statusReport = status(member);
    if (statusReport.is_null() || !statusReport.contains("hindsight")) return -1;
    return statusReport["hindsight"][scope]["classes"][0]["jobs"].get<double>();
  }
  bool waitForFleetSum(const std::vector<unsigned>& members, double expected, milliseconds timeout = 12s) {
    return GossipCluster::waitForMembers(
               members, [&](unsigned member) { return countRequests(member, "fleet") == expected; }, timeout)
        .has_value();
  }
};

TEST(CounterfactualFleetProcesses, KeepsSumsOfKilledControllerAndCountsOnceWhenMessagesAreFaulty) {
  CounterfactualFixture fleet(171, 3);
  NetworkFaults faults;
  faults.maxDelay = 20ms;
  faults.duplicateProbability = 0.5;
  faults.reorderProbability = 0.3;
  faults.reorderDelay = 200ms;
  fleet.mesh.setAllFaults(faults);
  ASSERT_TRUE(fleet.start());
  for (const unsigned member : fleet.allMembers()) fleet.runRequests(member, 10 + member);
  ASSERT_TRUE(fleet.waitForFleetSum(fleet.allMembers(), 33)) << fleet.status(0).dump();
  EXPECT_EQ(fleet.countRequests(1, "own"), 11);
  fleet.sendSignal(0, SIGKILL);
  fleet.mesh.partition({1});
  fleet.runRequests(1, 5);
  fleet.runRequests(2, 7);
  EXPECT_TRUE(
      fleet.waitForFleetSum({1}, 38));  // each side has its own updates and the sums of the killed member
  EXPECT_TRUE(fleet.waitForFleetSum({2}, 40));
  fleet.mesh.heal();
  fleet.mesh.setAllFaults(faults);
  EXPECT_TRUE(fleet.waitForFleetSum({1, 2}, 45));
  fleet.runFor(3s);  // the same sums are published repeatedly
  EXPECT_EQ(fleet.countRequests(1, "fleet"), 45);
  EXPECT_EQ(fleet.countRequests(2, "fleet"), 45);
  const auto fleetReport = fleet.status(1)["hindsight"]["fleet"];
  EXPECT_EQ(fleetReport["controllers"], 3);
  EXPECT_EQ(fleetReport["classes"][0]["had_it_been"]["nearest"]["in_time"].is_string(),
            true);  // 45 requests are too few
}

}  // namespace
}  // namespace paddletrack::fakes
