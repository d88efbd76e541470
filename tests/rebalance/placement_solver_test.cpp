// Where groups should lie: plans against the least, every order of their steps, several views at once.
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

// Engines as they are in truth while moves begin and end. A copy has its room from the begin of its move on.
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

// One plan's moves in an order of chance that keeps what waits for what.
class RandomMoveOrder {
 public:
  explicit RandomMoveOrder(const Plan& plan) : plan_(plan), moveStates_(plan.moves.size()) {}
  bool advance(ClusterState& cluster, std::mt19937& generator) {
    std::vector<std::uint32_t> runnable;
    for (std::uint32_t value = 0; value < moveStates_.size(); ++value) {
      const auto& predecessors = plan_.moves[value].dependencies;
      const bool isReady = std::all_of(predecessors.begin(), predecessors.end(),
                                       [&](auto predecessor) { return moveStates_[predecessor] == 2; });
      if (moveStates_[value] == 1 || (moveStates_[value] == 0 && isReady)) runnable.push_back(value);
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

TEST(PlacementSolver, KeepsHeadroomAndUsableCopiesInEveryMoveOrder) {
  RC_ASSERT(rc::check("every order that keeps what waits for what", [] {
    const int shareCount = *rc::gen::inRange(1, 3);
    const ClusterView view =
        makeRandomFleet(*rc::gen::inRange<std::uint64_t>(1, 100000), {3, 7, 4, 16, 0.9, 0.3, 0.2});
    PlanOptions options;
    options.headroomDivisor = shareCount, options.workBudget = 50'000;
    const Plan solution = computePlan(view, options);
    std::mt19937 generator(*rc::gen::inRange(1U, 1000U));
    ClusterState cluster(view);
    RandomMoveOrder moveOrder(solution);
    while (moveOrder.advance(cluster, generator)) {
      RC_ASSERT(!cluster.exceedsHeadroom(shareCount));
      for (std::uint32_t group = 0; group < view.groups.size(); ++group) {
        const auto& holdersBefore = view.groups[group].holders;
        const auto isUsableHolder = [&](std::uint32_t value) { return isUsable(view, group, value); };
        if (std::none_of(holdersBefore.begin(), holdersBefore.end(), isUsableHolder)) continue;
        const auto& holdersNow = cluster.holders(group);
        RC_ASSERT(std::any_of(holdersNow.begin(), holdersNow.end(), isUsableHolder));
      }
    }
    RC_ASSERT(moveOrder.isFinished());  // nothing waits for ever
    for (std::uint32_t group = 0; group < view.groups.size(); ++group)
      for (const std::uint32_t home : solution.placements[group]) {
        RC_ASSERT(cluster.holders(group).count(home) > 0);
        RC_ASSERT(isUsable(view, group, home) && view.engines[home].state == EndpointState::ready);
      }
  }));
}

TEST(PlacementSolver, MovesWithinFivePercentOfMinimumBytesOnAverage) {
  double excessRatioSum = 0;
  unsigned compared = 0;
  for (std::uint64_t seed = 20001; seed <= 20300; ++seed) {
    const ClusterView view = makeRandomFleet(seed);
    const auto minimumBytes = computeMinimumBytes(view, {});
    const Plan solution = computePlan(view, {});
    ASSERT_FALSE(!minimumBytes && solution.isComplete()) << seed;
    if (!minimumBytes) continue;
    if (!solution.isComplete()) {
      EXPECT_EQ(loadtest::hasFeasibleMoveOrder(view, {}, 300'000), false) << seed;
      continue;
    }
    ASSERT_GE(solution.totalBytes, *minimumBytes) << seed;
    excessRatioSum += static_cast<double>(solution.totalBytes - *minimumBytes) /
                      static_cast<double>(std::max<Bytes>(1, *minimumBytes));
    ++compared;
  }
  EXPECT_GT(compared, 200U);
  EXPECT_LE(excessRatioSum / compared, 0.05);
}

TEST(PlacementSolver, ReturnsSamePlanWhenViewIsShuffled) {
  RC_ASSERT(rc::check("shuffled parts", [] {
    const ClusterView view = makeRandomFleet(*rc::gen::inRange<std::uint64_t>(1, 100000));
    std::mt19937 generator(*rc::gen::inRange(1U, 1000U));
    std::vector<std::uint32_t> order(view.engines.size()), newIndex(order.size());
    for (std::uint32_t value = 0; value < order.size(); ++value) order[value] = value;
    std::shuffle(order.begin(), order.end(), generator);
    ClusterView shuffledView;
    for (std::uint32_t item = 0; item < order.size(); ++item)
      shuffledView.engines.push_back(view.engines[order[item]]), newIndex[order[item]] = item;
    shuffledView.groups = view.groups;
    for (GroupSnapshot& group : shuffledView.groups) {
      for (std::uint32_t& holder : group.holders) holder = newIndex[holder];
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

// Both sides of a split see the same engines, but not the same reading, standing, groups or placement, and
// each follows its own plan as if it were alone.
TEST(PlacementSolver, KeepsWithinHeadroomWhenTwoPlansWithHalfSharesRunTogether) {
  unsigned pairsWithMoves = 0, violationsWithFullShares = 0;
  for (const int shareCount : {2, 1}) {
    RC_ASSERT(rc::check("two views, each order", [&] {
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
  EXPECT_GT(violationsWithFullShares, 0U);  // with whole headrooms they do
}

// ---- agreement
// ----------------------------------------------------------------------------------------------

TEST(ViewAgreement, AcceptsAtMostOneViewPerEpochWhenPromisesAreLostOrLate) {
  RC_ASSERT(rc::check("promises, lost and late, restarts", [] {
    const unsigned controllers = *rc::gen::inRange(1U, 10U);
    std::mt19937 generator(*rc::gen::inRange(1U, 100000U));
    const EpochSchedule windows;
    std::vector<PlanAgreement> agreements(controllers, PlanAgreement(controllers, windows, Duration{0}));
    std::vector<std::optional<Promise>> promises(controllers);
    std::map<std::uint64_t, std::set<std::uint64_t>> agreed;  // views, by epoch
    for (int step = 0; step < 400; ++step) {
      const std::uint64_t epoch = 1 + static_cast<std::uint64_t>(step) / 50;
      const std::size_t promiser = generator() % controllers;
      if (generator() % 40 == 0)
        agreements[promiser] = PlanAgreement(controllers, windows, windows.epochStart(epoch) + seconds(1));
      if (agreements[promiser].tryPromise({epoch, generator() % 3}))
        promises[promiser] = agreements[promiser].ownPromise();
      const std::size_t listener = generator() % controllers, sender = generator() % controllers;
      if (sender != listener && promises[sender])
        agreements[listener].onPromise("c" + std::to_string(sender), *promises[sender]);
      for (std::uint64_t view = 0; view < 3; ++view)
        if (agreements[listener].hasMajority({epoch, view})) agreed[epoch].insert(view);
    }
    for (const auto& [epoch, views] : agreed) RC_ASSERT(views.size() <= 1U);
  }));
}

TEST(ViewAgreement, RequiresMajorityOfControllers) {
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

// ---- many controllers, in one process
// ------------------------------------------------------------------------

using loadtest::MultiControllerSimulation, loadtest::MultiControllerOptions;

TEST(RebalanceSimulation, KeepsHeadroomUnderFaultsWhenControllersAgree) {
  unsigned completedMoves = 0, startedMoves = 0;
  struct Story {
    int headroom;
    unsigned controllers;
    std::uint64_t seed;
  };
  for (const Story& runTrace : {Story{120, 5, 22}, {130, 5, 8}}) {
    MultiControllerOptions options;
    options.initialCapacityPercent = runTrace.headroom, options.controllerCount = runTrace.controllers,
    options.seed = runTrace.seed;
    options.requiresAgreement = false, options.capacityShares = 1;
    EXPECT_GT(runRandomFaults(options, 20).capacityViolations, 0U)
        << runTrace.seed;  // where each follows its own plan it is passed
    options.requiresAgreement = true;
    for (const int shareCount : {1, 2}) {
      options.capacityShares = shareCount, options.maxClockSkewSeconds = 1;
      const MultiControllerSimulation::Statistics books = runRandomFaults(options, 20);
      EXPECT_EQ(books.capacityViolations, 0U) << "seed " << runTrace.seed << ", parts " << shareCount;
      completedMoves += books.plansCompleted, startedMoves += books.replicasStarted;
    }
  }
  EXPECT_GT(completedMoves, 5U);
  EXPECT_GT(startedMoves, 20U);
}

// An engine is lost; midway through the plan that follows another drains, or a controller is killed, stopped
// or cut off and healed. Everything lies where it may in the end, and nothing went to and fro.
TEST(RebalanceSimulation, PlacesEveryGroupOnceWhenFaultInterruptsPlan) {
  enum Fault { none, engineLost, engineDrained, killed, stopped, cutOff, halfOld, shrunk, backCold };
  for (const Fault fault :
       {none, engineLost, engineDrained, killed, stopped, cutOff, halfOld, shrunk, backCold}) {
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
    if (fault == killed) simulation.restartController(2);
    if (fault == stopped) simulation.setStopped(2, true);
    if (fault == cutOff)
      simulation.setPartition([](unsigned controller) { return controller < 2 ? 0U : 1U; });
    if (fault == halfOld)
      for (unsigned value = 0; value < 3; ++value) simulation.setStaleEndpoints(value, true);
    if (fault == shrunk) simulation.shrinkCapacity(2, 90);
    if (fault == backCold) simulation.restoreEngine(0);
    simulation.advance(15);
    if (fault == halfOld) simulation.removeEngine(1);
    simulation.advance(60);
    simulation.setStopped(2, false), simulation.setPartition(nullptr);
    for (unsigned item = 0; item < 3; ++item) simulation.setStaleEndpoints(item, false);
    simulation.advance(120);
    EXPECT_EQ(simulation.statistics().capacityViolations, 0U) << fault;
    for (unsigned group = 0; group < options.groupCount; ++group)
      EXPECT_EQ(simulation.readyHolders(group).size(), 1U) << "fault " << fault << ", group " << group;
    const unsigned displacedGroups =
        6 * (fault == engineLost || fault == engineDrained || fault == halfOld ? 2 : 1);
    EXPECT_LE(simulation.statistics().replicasStarted, displacedGroups + 8)
        << fault;  // copies read anew, those of plans cut short counted
  }
}

// ---- the follower
// ----------------------------------------------------------------------------------------------

ClusterView threeEngineView() {  // group 1 at a, which drains; 2 and 3 at b
  ClusterView view;
  for (const char* character : {"a", "b", "c"})
    view.engines.push_back({character, 100, 50, 8, EndpointState::ready, false, 0, 0});
  view.engines[0].state = EndpointState::draining, view.engines[2].headroom = 100;
  view.groups = {{1, 30, 10, 1, {0}}, {2, 10, 10, 1, {1}}, {3, 10, 10, 1, {1}}};
  return canonicalize(view);
}

TEST(MoveScheduler, ServesGroupAtSourceUntilMoveCompletes) {
  PlanFollower follower({8, 1, seconds(5)});
  ClusterView view = threeEngineView();
  PlanOptions options;
  options.maxOverloadPercent = 100;
  Plan solution = computePlan(view, options);
  ASSERT_EQ(solution.moves.size(), 1U);
  EXPECT_EQ(solution.moves[0].target, 2U);
  solution.moves.push_back({1, 1U, 2U, 10, {0}});  // one more, after it
  follower.start(Duration{0}, view, solution, seconds(15));
  EXPECT_EQ(*follower.preferredEngines(1), std::vector<std::string>{"c"});
  EXPECT_EQ(*follower.preferredEngines(2), std::vector<std::string>{"b"});
  view.groups[0].holders = {0, 2};  // it has come, and has not yet gone: not done
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
  EXPECT_EQ(*follower.preferredEngines(1), std::vector<std::string>{"c"});  // it is there
  EXPECT_EQ(*follower.preferredEngines(2), std::vector<std::string>{"b"});  // and this one may not have come
}

TEST(MoveScheduler, AbandonsPlanWhenFleetChangesOrMovesStall) {
  const auto endAfter = [](auto changeView) {
    PlanFollower follower({8, 1, seconds(5)});
    ClusterView view = threeEngineView();
    follower.start(Duration{0}, view, computePlan(view, {}), seconds(60));
    EXPECT_TRUE(follower.isActive());
    changeView(view);
    follower.update(seconds(1), view);
    follower.update(seconds(7), view);
    return follower.outcome();
  };
  EXPECT_EQ(endAfter([](ClusterView& view) { view.engines[1].state = EndpointState::draining; }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(endAfter([](ClusterView& view) { view.engines[2].state = EndpointState::removed; }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(endAfter([](ClusterView& view) { view.engines[2].warmingUp = true; }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(endAfter([](ClusterView& view) {
              view.engines.push_back({"d", 1, 1, 1, EndpointState::ready, true, 0, 0});
            }),
            PlanOutcome::engineStateChanged);
  EXPECT_EQ(endAfter([](ClusterView& view) { view.engines[2].headroom = -1; }),
            PlanOutcome::insufficientHeadroom);
  EXPECT_EQ(endAfter([](ClusterView& view) { view.engines[1].capacity -= 1; }),
            PlanOutcome::insufficientHeadroom);
  EXPECT_EQ(endAfter([](ClusterView&) {}), PlanOutcome::moveTimedOut);  // what it waits for does not come
}

TEST(ClusterViewBuilder, MergesReportsOfControllersIntoOneView) {
  const auto makeReport = [](EndpointState standing, std::int64_t started) {
    return ControllerReport::EngineReport{standing, started, started > 0, 0, 0, 8, 100};
  };
  std::map<std::string, ControllerReport> accounts;
  accounts["a"].engines = {{"s-1", makeReport(EndpointState::ready, 0)},
                           {"s-2", makeReport(EndpointState::ready, 0)}};
  accounts["a"].groups[7] = {30, {{"s-1", 5}, {"s-2", 2}, {"s-9", 4}}, false};
  accounts["b"].engines = {{"s-1", makeReport(EndpointState::ready, 0)},
                           {"s-2", makeReport(EndpointState::draining, 50)}};
  accounts["b"].groups[7] = {40, {{"s-1", 5}}, true};
  accounts["c"].engines = {{"s-1", makeReport(EndpointState::removed, 0)},
                           {"s-2", makeReport(EndpointState::draining, 50)}};
  const ClusterView view = buildClusterView(accounts, {});
  ASSERT_EQ(view.engines.size(), 2U);
  EXPECT_EQ(view.engines[0].state, EndpointState::ready);  // one of three holds it for gone
  EXPECT_EQ(view.engines[1].state, EndpointState::draining);
  EXPECT_EQ(view.groups[0].holders,
            std::vector<std::uint32_t>{0});  // what "a" read at s-2's old process is gone
  EXPECT_EQ(view.groups[0].size, 40);
  EXPECT_EQ(view.groups[0].readRate, 12);
  EXPECT_TRUE(view.groups[0].recentlyMoved);
  EXPECT_EQ(view.engines[0].headroom, 60);
  EXPECT_EQ(view.engines[1].headroom, 100);
  EXPECT_EQ(buildClusterView(accounts, {5, 4}).groups[0].wantedReplicas, 3U);
}

}  // namespace
}  // namespace paddletrack::rebalance
