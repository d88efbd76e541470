// Tests of plan computation, view agreement and plan following: plans compared with the optimum, moves
// executed in random orders, and controllers with different views.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <set>

#include "loadtest/multi_controller_simulation.hpp"
#include "loadtest/optimal_placement.hpp"
#include "loadtest/random_fleet.hpp"
#include "rebalance/plan_agreement.hpp"
#include "rebalance/plan_follower.hpp"

namespace paddletrack::rebalance {
namespace {

using loadtest::RandomFleetOptions, loadtest::makeLargeFleet, loadtest::computeMinimumBytes,
    loadtest::makeRandomFleet;
using std::chrono::milliseconds, std::chrono::seconds;

// Models the actual engine state while moves start and finish. A replica takes up memory on its target from
// the start of its move.
class ClusterState {
 public:
  explicit ClusterState(const ClusterView& view)
      : view_(view),
        holders_(view.groups.size()),
        receivedBytes_(view.engines.size()),
        freedBytes_(receivedBytes_) {
    for (std::size_t index = 0; index < holders_.size(); ++index) {
      const auto& groupHolders = view.groups[index].holders;
      holders_[index].insert(groupHolders.begin(), groupHolders.end());
    }
  }
  void startMove(const Move& move) {
    if (move.target && holders_[move.group].insert(*move.target).second)
      receivedBytes_[*move.target] += view_.groups[move.group].size;
  }
  void finishMove(const Move& move) {
    if (move.source && holders_[move.group].erase(*move.source) > 0)
      freedBytes_[*move.source] += view_.groups[move.group].size;
  }
  bool exceedsHeadroom(int shareCount) const {
    for (std::size_t index = 0; index < receivedBytes_.size(); ++index)
      if (receivedBytes_[index] > 0 &&
          receivedBytes_[index] * shareCount > view_.engines[index].headroom + freedBytes_[index])
        return true;
    return false;
  }
  const std::set<std::uint32_t>& holders(std::uint32_t group) const { return holders_[group]; }
  Bytes receivedBytes(std::size_t engine) const { return receivedBytes_[engine]; }

 private:
  const ClusterView& view_;
  std::vector<std::set<std::uint32_t>> holders_;
  std::vector<Bytes> receivedBytes_, freedBytes_;
};

// Starts and finishes the moves of one plan in a random order that respects their dependencies.
class RandomMoveOrder {
 public:
  explicit RandomMoveOrder(const Plan& plan) : plan_(plan), moveStates_(plan.moves.size()) {}
  bool advance(ClusterState& cluster, std::mt19937& generator) {
    std::vector<std::uint32_t> runnable;
    for (std::uint32_t move = 0; move < moveStates_.size(); ++move) {
      const auto& predecessors = plan_.moves[move].dependencies;
      const bool isReady = std::all_of(predecessors.begin(), predecessors.end(),
                                       [&](auto predecessor) { return moveStates_[predecessor] == 2; });
      if (moveStates_[move] == 1 || (moveStates_[move] == 0 && isReady)) runnable.push_back(move);
    }
    if (runnable.empty()) return false;
    const std::uint32_t chosenMove = runnable[generator() % runnable.size()];
    ++moveStates_[chosenMove] == 1 ? cluster.startMove(plan_.moves[chosenMove])
                                   : cluster.finishMove(plan_.moves[chosenMove]);
    return true;
  }
  bool isFinished() const {
    return std::all_of(moveStates_.begin(), moveStates_.end(), [](int moveState) { return moveState == 2; });
  }

 private:
  const Plan& plan_;
  std::vector<int> moveStates_;
};

bool isUsable(const ClusterView& view, std::uint32_t group, std::uint32_t engine) {
  return view.engines[engine].state != EndpointState::removed &&
         canHold(view.groups[group], view.engines[engine]);
}

TEST(PlacementSolver, KeepsHeadroomAndUsableReplicasInEveryMoveOrder) {
  RC_ASSERT(rc::check("every move order that respects the dependencies", [] {
    const int shareCount = *rc::gen::inRange(1, 3);
    const ClusterView view =
        makeRandomFleet(*rc::gen::inRange<std::uint64_t>(1, 100000), {3, 7, 4, 16, 0.9, 0.3, 0.2});
    PlanOptions options;
    options.headroomDivisor = shareCount, options.workBudget = 50'000;
    const Plan plan = computePlan(view, options);
    std::mt19937 generator(*rc::gen::inRange(1U, 1000U));
    ClusterState cluster(view);
    RandomMoveOrder moveOrder(plan);
    while (moveOrder.advance(cluster, generator)) {
      RC_ASSERT(!cluster.exceedsHeadroom(shareCount));
      for (std::uint32_t group = 0; group < view.groups.size(); ++group) {
        const auto& holdersBefore = view.groups[group].holders;
        const auto isUsableHolder = [&](std::uint32_t engine) { return isUsable(view, group, engine); };
        if (std::none_of(holdersBefore.begin(), holdersBefore.end(), isUsableHolder)) continue;
        const auto& holdersNow = cluster.holders(group);
        RC_ASSERT(std::any_of(holdersNow.begin(), holdersNow.end(), isUsableHolder));
      }
    }
    RC_ASSERT(moveOrder.isFinished());  // no move is blocked forever
    for (std::uint32_t group = 0; group < view.groups.size(); ++group)
      for (const std::uint32_t engine : plan.placements[group]) {
        RC_ASSERT(cluster.holders(group).count(engine) > 0);
        RC_ASSERT(isUsable(view, group, engine) && view.engines[engine].state == EndpointState::ready);
      }
  }));
}

TEST(PlacementSolver, MovesWithinFivePercentOfMinimumBytesOnAverage) {
  double excessRatioSum = 0;
  unsigned comparedPlans = 0;
  for (std::uint64_t seed = 20001; seed <= 20300; ++seed) {
    const ClusterView view = makeRandomFleet(seed);
    const auto minimumBytes = computeMinimumBytes(view, {});
    const Plan plan = computePlan(view, {});
    ASSERT_FALSE(!minimumBytes && plan.isComplete()) << seed;
    if (!minimumBytes) continue;
    if (!plan.isComplete()) {
      EXPECT_EQ(loadtest::hasFeasibleMoveOrder(view, {}, 300'000), false) << seed;
      continue;
    }
    ASSERT_GE(plan.totalBytes, *minimumBytes) << seed;
    excessRatioSum += static_cast<double>(plan.totalBytes - *minimumBytes) /
                      static_cast<double>(std::max<Bytes>(1, *minimumBytes));
    ++comparedPlans;
  }
  EXPECT_GT(comparedPlans, 200U);
  EXPECT_LE(excessRatioSum / comparedPlans, 0.05);
}

TEST(PlacementSolver, ReturnsSamePlanWhenViewIsShuffled) {
  RC_ASSERT(rc::check("shuffled engines, groups and holders", [] {
    const ClusterView view = makeRandomFleet(*rc::gen::inRange<std::uint64_t>(1, 100000));
    std::mt19937 generator(*rc::gen::inRange(1U, 1000U));
    std::vector<std::uint32_t> order(view.engines.size()), newIndices(order.size());
    for (std::uint32_t index = 0; index < order.size(); ++index) order[index] = index;
    std::shuffle(order.begin(), order.end(), generator);
    ClusterView shuffledView;
    for (std::uint32_t index = 0; index < order.size(); ++index)
      shuffledView.engines.push_back(view.engines[order[index]]), newIndices[order[index]] = index;
    shuffledView.groups = view.groups;
    for (GroupSnapshot& group : shuffledView.groups) {
      for (std::uint32_t& holder : group.holders) holder = newIndices[holder];
      std::shuffle(group.holders.begin(), group.holders.end(), generator);
    }
    std::shuffle(shuffledView.groups.begin(), shuffledView.groups.end(), generator);
    const ClusterView restoredView = canonicalize(shuffledView);
    RC_ASSERT(computeDigest(restoredView) == computeDigest(view));
    RC_ASSERT(computePlan(restoredView, {}).placements == computePlan(view, {}).placements);
    shuffledView.engines[0].headroom += 1;
    RC_ASSERT(computeDigest(canonicalize(shuffledView)) != computeDigest(view));
  }));
}

// During a network partition, both sides see the same engines but different read rates, engine states,
// replica counts and placement constraints, and each side follows its own plan as if it were the only one.
TEST(PlacementSolver, KeepsWithinHeadroomWhenTwoPlansWithHalfSharesRunTogether) {
  unsigned pairsWithMoves = 0, violationsWithFullShares = 0;
  for (const int shareCount : {2, 1}) {
    RC_ASSERT(rc::check("two views, every move order", [&] {
      const ClusterView firstView =
          makeRandomFleet(*rc::gen::inRange<std::uint64_t>(1, 100000), {3, 6, 4, 14, 0.8, 0.2, 0.2});
      std::mt19937 generator(*rc::gen::inRange(1U, 1000U));
      ClusterView secondView = firstView;
      for (GroupSnapshot& group : secondView.groups) {
        group.readRate = generator() % 900;
        if (generator() % 6 == 0) group.allowedZones.reset();
        if (generator() % 6 == 0) group.wantedReplicas = 3 - std::min(2U, group.wantedReplicas);
      }
      for (EngineSnapshot& engine : secondView.engines)
        if (generator() % 4 == 0 && engine.state != EndpointState::removed)
          engine.state =
              engine.state == EndpointState::ready ? EndpointState::draining : EndpointState::ready;
      PlanOptions options;
      options.headroomDivisor = shareCount, options.workBudget = 50'000;
      const Plan first = computePlan(firstView, options), second = computePlan(secondView, options);
      pairsWithMoves += !first.moves.empty() && !second.moves.empty() ? 1 : 0;
      ClusterState cluster(firstView);
      RandomMoveOrder firstOrder(first), secondOrder(second);
      for (bool hasMoves = true; hasMoves;) {
        const bool picksFirst = generator() % 2 == 0;
        hasMoves = picksFirst
                       ? firstOrder.advance(cluster, generator) || secondOrder.advance(cluster, generator)
                       : secondOrder.advance(cluster, generator) || firstOrder.advance(cluster, generator);
        if (shareCount == 1) violationsWithFullShares += cluster.exceedsHeadroom(1) ? 1 : 0;
        if (shareCount == 2) RC_ASSERT(!cluster.exceedsHeadroom(1));
      }
    }));
  }
  EXPECT_GT(pairsWithMoves, 100U);
  EXPECT_GT(violationsWithFullShares, 0U);  // two plans that each use the full headroom exceed it
}

// View agreement.

TEST(PlanAgreement, AcceptsAtMostOneViewPerEpochWhenPromisesAreLostOrLate) {
  RC_ASSERT(rc::check("lost and late promises, and restarts", [] {
    const unsigned controllers = *rc::gen::inRange(1U, 10U);
    std::mt19937 generator(*rc::gen::inRange(1U, 100000U));
    const EpochSchedule schedule;
    std::vector<PlanAgreement> agreements(controllers, PlanAgreement(controllers, schedule, Duration{0}));
    std::vector<std::optional<Promise>> promises(controllers);
    std::map<std::uint64_t, std::set<std::uint64_t>> viewsByEpoch;  // views with a majority, by epoch
    for (int step = 0; step < 400; ++step) {
      const std::uint64_t epoch = 1 + static_cast<std::uint64_t>(step) / 50;
      const std::size_t controller = generator() % controllers;
      if (generator() % 40 == 0)
        agreements[controller] =
            PlanAgreement(controllers, schedule, schedule.epochStart(epoch) + seconds(1));
      if (agreements[controller].tryPromise({epoch, generator() % 3}))
        promises[controller] = agreements[controller].ownPromise();
      const std::size_t receiver = generator() % controllers, sender = generator() % controllers;
      if (sender != receiver && promises[sender])
        agreements[receiver].onPromise("c" + std::to_string(sender), *promises[sender]);
      for (std::uint64_t digest = 0; digest < 3; ++digest)
        if (agreements[receiver].hasMajority({epoch, digest})) viewsByEpoch[epoch].insert(digest);
    }
    for (const auto& [epoch, views] : viewsByEpoch) RC_ASSERT(views.size() <= 1U);
  }));
}

TEST(PlanAgreement, RequiresMajorityOfControllers) {
  PlanAgreement agreement(4, {}, Duration{0});
  ASSERT_TRUE(agreement.tryPromise({5, 77}));
  EXPECT_FALSE(agreement.tryPromise({5, 78}));
  EXPECT_FALSE(agreement.tryPromise({4, 77}));
  agreement.onPromise("b", {5, 77});
  EXPECT_FALSE(agreement.hasMajority({5, 77}));
  agreement.onPromise("c", {5, 76});
  EXPECT_FALSE(agreement.hasMajority({5, 77}));
  agreement.onPromise("d", {5, 77});
  EXPECT_TRUE(agreement.hasMajority({5, 77}));
}

// Simulations of several controllers in one process.

using loadtest::MultiControllerSimulation, loadtest::MultiControllerOptions;

TEST(RebalanceSimulation, KeepsHeadroomUnderFaultsWhenControllersAgree) {
  unsigned completedMoves = 0, startedMoves = 0;
  struct Scenario {
    int headroom;
    unsigned controllers;
    std::uint64_t seed;
  };
  for (const Scenario& scenario : {Scenario{120, 5, 22}, {130, 5, 8}}) {
    MultiControllerOptions options;
    options.initialCapacityPercent = scenario.headroom, options.controllerCount = scenario.controllers,
    options.seed = scenario.seed;
    options.requiresAgreement = false, options.capacityShares = 1;
    EXPECT_GT(runRandomFaults(options, 20).capacityViolations, 0U)
        << scenario.seed;  // without agreement, the plans of several controllers exceed the capacity
    options.requiresAgreement = true;
    for (const int shareCount : {1, 2}) {
      options.capacityShares = shareCount, options.maxClockSkewSeconds = 1;
      const MultiControllerSimulation::Statistics statistics = runRandomFaults(options, 20);
      EXPECT_EQ(statistics.capacityViolations, 0U)
          << "seed " << scenario.seed << ", capacity shares " << shareCount;
      completedMoves += statistics.plansCompleted, startedMoves += statistics.replicasStarted;
    }
  }
  EXPECT_GT(completedMoves, 5U);
  EXPECT_GT(startedMoves, 20U);
}

// An engine is lost, and a second fault occurs while the resulting plan is being followed: another engine is
// lost or drains, the capacity of an engine shrinks, the lost engine returns without its data, a controller
// is killed and restarted or is stopped, the controllers are partitioned, or some of them see stale
// endpoints. Stops, partitions and stale endpoints are repaired later. In the end, every group has one ready
// holder, and no group was moved back and forth.
TEST(RebalanceSimulation, PlacesEveryGroupOnceWhenFaultInterruptsPlan) {
  enum Fault {
    noFault,
    engineLost,
    engineDrained,
    controllerRestarted,
    controllerStopped,
    controllersPartitioned,
    endpointsStale,
    capacityShrunk,
    engineRestoredCold
  };
  for (const Fault fault : {noFault, engineLost, engineDrained, controllerRestarted, controllerStopped,
                            controllersPartitioned, endpointsStale, capacityShrunk, engineRestoredCold}) {
    MultiControllerOptions options;
    options.controllerCount = 5, options.initialCapacityPercent = 200;
    MultiControllerSimulation simulation(options);
    simulation.advance(21);
    simulation.removeEngine(0);
    for (int secondsWaited = 0; secondsWaited < 60 && simulation.statistics().replicasStarted == 0;
         ++secondsWaited)
      simulation.advance(1);
    ASSERT_GT(simulation.statistics().replicasStarted, 0U);
    if (fault == engineLost) simulation.removeEngine(1);
    if (fault == engineDrained) simulation.drainEngine(1);
    if (fault == controllerRestarted) simulation.restartController(2);
    if (fault == controllerStopped) simulation.setStopped(2, true);
    if (fault == controllersPartitioned)
      simulation.setPartition([](unsigned controller) { return controller < 2 ? 0U : 1U; });
    if (fault == endpointsStale)
      for (unsigned controller = 0; controller < 3; ++controller)
        simulation.setStaleEndpoints(controller, true);
    if (fault == capacityShrunk) simulation.shrinkCapacity(2, 90);
    if (fault == engineRestoredCold) simulation.restoreEngine(0);
    simulation.advance(15);
    if (fault == endpointsStale) simulation.removeEngine(1);
    simulation.advance(60);
    simulation.setStopped(2, false), simulation.setPartition(nullptr);
    for (unsigned controller = 0; controller < 3; ++controller)
      simulation.setStaleEndpoints(controller, false);
    simulation.advance(120);
    EXPECT_EQ(simulation.statistics().capacityViolations, 0U) << fault;
    for (unsigned group = 0; group < options.groupCount; ++group)
      EXPECT_EQ(simulation.readyHolders(group).size(), 1U) << "fault " << fault << ", group " << group;
    const unsigned displacedGroups =
        6 * (fault == engineLost || fault == engineDrained || fault == endpointsStale ? 2 : 1);
    EXPECT_LE(simulation.statistics().replicasStarted, displacedGroups + 8)
        << fault;  // includes replicas of abandoned plans that were loaded again
  }
}

// Plan following.

ClusterView threeEngineView() {  // group 1 is on a, which drains; groups 2 and 3 are on b
  ClusterView view;
  for (const char* name : {"a", "b", "c"})
    view.engines.push_back({name, 100, 50, 8, EndpointState::ready, false, 0, 0});
  view.engines[0].state = EndpointState::draining, view.engines[2].headroom = 100;
  view.groups = {{1, 30, 10, 1, {0}}, {2, 10, 10, 1, {1}}, {3, 10, 10, 1, {1}}};
  return canonicalize(view);
}

TEST(PlanFollower, PrefersSourceUntilMoveOpens) {
  PlanFollower follower({8, 1, seconds(5)});
  ClusterView view = threeEngineView();
  PlanOptions options;
  options.maxOverloadPercent = 100;
  Plan plan = computePlan(view, options);
  ASSERT_EQ(plan.moves.size(), 1U);
  EXPECT_EQ(plan.moves[0].target, 2U);
  plan.moves.push_back({1, 1U, 2U, 10, {0}});  // a second move that depends on the first
  follower.start(Duration{0}, view, plan, seconds(15));
  EXPECT_EQ(*follower.preferredEngines(1), std::vector<std::string>{"c"});
  EXPECT_EQ(*follower.preferredEngines(2), std::vector<std::string>{"b"});
  view.groups[0].holders = {0, 2};  // on the target but also still on the source: the move is not done
  follower.update(seconds(1), view);
  EXPECT_EQ(*follower.preferredEngines(2), std::vector<std::string>{"b"});
  view.groups[0].holders = {2};
  follower.update(seconds(2), view);
  EXPECT_EQ(*follower.preferredEngines(2), std::vector<std::string>{"c"});
  EXPECT_EQ(follower.completedMoveCount(), 1U);
  EXPECT_TRUE(follower.isRecentlyMoved(seconds(3), 2, seconds(60)));
  EXPECT_FALSE(follower.isRecentlyMoved(seconds(3), 3, seconds(60)));
  follower.update(seconds(15), view);
  EXPECT_EQ(follower.outcome(), PlanOutcome::epochEnded);
  EXPECT_EQ(*follower.preferredEngines(1), std::vector<std::string>{"c"});  // the move is done
  EXPECT_EQ(*follower.preferredEngines(2),
            std::vector<std::string>{"b"});  // the target may not hold the group yet
}

TEST(PlanFollower, AbandonsPlanWhenFleetChangesOrMovesStall) {
  const auto outcomeAfter = [](auto changeView) {
    PlanFollower follower({8, 1, seconds(5)});
    ClusterView view = threeEngineView();
    follower.start(Duration{0}, view, computePlan(view, {}), seconds(60));
    EXPECT_TRUE(follower.isActive());
    changeView(view);
    follower.update(seconds(1), view);
    follower.update(seconds(7), view);
    return follower.outcome();
  };
  EXPECT_EQ(outcomeAfter([](ClusterView& view) { view.engines[1].state = EndpointState::draining; }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(outcomeAfter([](ClusterView& view) { view.engines[2].state = EndpointState::removed; }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(outcomeAfter([](ClusterView& view) { view.engines[2].warmingUp = true; }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(outcomeAfter([](ClusterView& view) {
              view.engines.push_back({"d", 1, 1, 1, EndpointState::ready, true, 0, 0});
            }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(outcomeAfter([](ClusterView& view) { view.engines[2].headroom = -1; }),
            PlanOutcome::insufficientHeadroom);
  EXPECT_EQ(outcomeAfter([](ClusterView& view) { view.engines[1].capacity -= 1; }),
            PlanOutcome::insufficientHeadroom);
  EXPECT_EQ(outcomeAfter([](ClusterView&) {}),
            PlanOutcome::moveTimedOut);  // the target never reports the group
}

TEST(ClusterViewBuilder, MergesReportsOfControllersIntoOneView) {
  const auto makeReport = [](EndpointState state, std::int64_t startedAt) {
    return ControllerReport::EngineReport{state, startedAt, startedAt > 0, 0, 0, 8, 100};
  };
  std::map<std::string, ControllerReport> reports;
  reports["a"].engines = {{"s-1", makeReport(EndpointState::ready, 0)},
                          {"s-2", makeReport(EndpointState::ready, 0)}};
  reports["a"].groups[7] = {30, {{"s-1", 5}, {"s-2", 2}, {"s-9", 4}}, false};
  reports["b"].engines = {{"s-1", makeReport(EndpointState::ready, 0)},
                          {"s-2", makeReport(EndpointState::draining, 50)}};
  reports["b"].groups[7] = {40, {{"s-1", 5}}, true};
  reports["c"].engines = {{"s-1", makeReport(EndpointState::removed, 0)},
                          {"s-2", makeReport(EndpointState::draining, 50)}};
  const ClusterView view = buildClusterView(reports, {});
  ASSERT_EQ(view.engines.size(), 2U);
  EXPECT_EQ(view.engines[0].state, EndpointState::ready);  // only one of three reports it as removed
  EXPECT_EQ(view.engines[1].state, EndpointState::draining);
  EXPECT_EQ(view.groups[0].holders,
            std::vector<std::uint32_t>{0});  // the data that "a" read from s-2's earlier process is lost
  EXPECT_EQ(view.groups[0].size, 40);
  EXPECT_EQ(view.groups[0].readRate, 12);
  EXPECT_TRUE(view.groups[0].recentlyMoved);
  EXPECT_EQ(view.engines[0].headroom, 60);
  EXPECT_EQ(view.engines[1].headroom, 100);
  EXPECT_EQ(buildClusterView(reports, {5, 4}).groups[0].wantedReplicas, 3U);
}

}  // namespace
}  // namespace paddletrack::rebalance
