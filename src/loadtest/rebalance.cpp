#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

#include "loadtest/experiments.hpp"
#include "loadtest/multi_controller_simulation.hpp"
#include "loadtest/random_fleet.hpp"
#include "rebalance/load_lower_bound.hpp"
#ifdef PADDLETRACK_EXACT
#include "loadtest/optimal_placement.hpp"
#endif

namespace paddletrack::loadtest {
namespace {

using namespace rebalance;

double elapsedMs(transport::Clock::time_point startedAt) {
  return toMilliseconds(transport::Clock::now() - startedAt);
}

#ifdef PADDLETRACK_EXACT
bool compareWithOptimum(unsigned fleetCount) {
  unsigned feasibleCount = 0, missedCount = 0, provenInfeasibleCount = 0, undecidedCount = 0, equalCount = 0,
           belowOptimumCount = 0, infeasibleCount = 0;
  double gapSum = 0, worstGap = 0, minimumBytes = 0, plannedBytes = 0, planningMs = 0, solverMs = 0;
  Bytes detourBytes = 0;
  for (unsigned seed = 1; seed <= fleetCount; ++seed) {
    const ClusterView view = makeRandomFleet(seed);
    const PlanOptions options;
    auto startedAt = transport::Clock::now();
    const auto minimum = computeMinimumBytes(view, options);
    solverMs += elapsedMs(startedAt);
    startedAt = transport::Clock::now();
    const Plan newPlan = computePlan(view, options);
    planningMs += elapsedMs(startedAt);
    const bool isComplete = newPlan.isComplete();
    if (!minimum) {
      ++infeasibleCount;
      if (isComplete) ++belowOptimumCount;  // contradicts GLPK
      continue;
    }
    ++feasibleCount;
    if (!isComplete) {
      const auto feasibleOrder = hasFeasibleMoveOrder(view, options, 300'000);
      if (feasibleOrder && !*feasibleOrder) {
        ++provenInfeasibleCount;
      } else {
        feasibleOrder ? ++missedCount : ++undecidedCount;
        std::printf("seed %u: balanced %d, unplaced replicas %zu, deferred moves %zu: %s\n", seed,
                    newPlan.isBalanced, newPlan.unplacedReplicas, newPlan.deferredMoves,
                    feasibleOrder ? "a move order exists" : "too many states to decide");
      }
      continue;
    }
    const double gap = static_cast<double>(newPlan.totalBytes - *minimum) /
                       static_cast<double>(std::max<Bytes>(1, *minimum));
    if (newPlan.totalBytes < *minimum) ++belowOptimumCount;
    if (newPlan.totalBytes == *minimum) ++equalCount;
    gapSum += gap, worstGap = std::max(worstGap, gap);
    minimumBytes += static_cast<double>(*minimum), plannedBytes += static_cast<double>(newPlan.totalBytes),
        detourBytes += newPlan.detourBytes;
  }
  const unsigned comparedCount = feasibleCount - missedCount - provenInfeasibleCount - undecidedCount;
  std::printf(
      "%u random fleets of 3 to 6 engines and 4 to 12 groups; %u have a placement within the load limit\n",
      fleetCount, feasibleCount);
  std::printf(
      "complete plans %u; no move order exists %u (proven by exhaustive search), missed %u, undecided %u\n",
      comparedCount, provenInfeasibleCount, missedCount, undecidedCount);
  std::printf(
      "bytes above the minimum: mean of fleets %.2f %%, of all bytes %.2f %%, worst fleet %.0f %%; equal in "
      "%u; below the minimum or complete where no placement exists: %u\n",
      100 * gapSum / std::max(1U, comparedCount), 100 * (plannedBytes / std::max(1.0, minimumBytes) - 1),
      100 * worstGap, equalCount, belowOptimumCount);
  std::printf("detour bytes %lld of %.0f; mean time: plan %.3f ms, GLPK %.3f ms\n\n",
              static_cast<long long>(detourBytes), plannedBytes, planningMs / fleetCount,
              solverMs / fleetCount);
  return missedCount == 0 && undecidedCount == 0 && belowOptimumCount == 0 &&
         gapSum / std::max(1U, comparedCount) <= 0.05;
}
#endif

// The peak resident memory of this process in MB.
double readPeakResidentMb() {
  std::ifstream file("/proc/self/status");
  for (std::string line, key; std::getline(file, line);) {
    double value = 0;
    if (std::istringstream fields(line); fields >> key >> value && key == "VmHWM:") return value / 1024;
  }
  return 0;
}

// A lower bound of the bytes that a plan copies: the forced moves, and what each engine above its load limit
// would have to move if groups could be split.
Bytes computeLowerBoundBytes(const ClusterView& view, Bytes forcedBytes) {
  const LoadLowerBound loadBound(view);
  double lowerBound = 0;
  for (std::uint32_t engine = 0; engine < view.engines.size(); ++engine) {
    if (view.engines[engine].state != EndpointState::ready) continue;
    std::vector<std::pair<double, double>> groupLoads;  // bytes per unit of load, and the load
    double engineLoad = 0;
    for (const GroupSnapshot& group : view.groups) {
      if (!std::binary_search(group.holders.begin(), group.holders.end(), engine)) continue;
      const auto loadShare = static_cast<double>(readRatePerReplica(group, group.wantedReplicas));
      groupLoads.emplace_back(static_cast<double>(group.size) / loadShare, loadShare);
      engineLoad += loadShare;
    }
    double excessLoad = engineLoad - static_cast<double>(loadBound.loadLimit(
                                         view.engines[engine], PlanOptions{}.maxOverloadPercent));
    std::sort(groupLoads.begin(), groupLoads.end());
    for (const auto& [bytes, loadShare] : groupLoads) {
      if (excessLoad <= 0) break;
      lowerBound += bytes * std::min(excessLoad, loadShare);
      excessLoad -= loadShare;
    }
  }
  return forcedBytes + static_cast<Bytes>(lowerBound);
}

// Measures and prints one row in a child process, so that its memory is measured separately.
bool measurePlanCost(int engineCount, int groupCount) {
  std::fflush(stdout);
  const pid_t child = ::fork();
  if (child == 0) {
    const ClusterView view = makeLargeFleet(7, engineCount, groupCount);
    ::malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";  // resets the peak
    const double memoryBeforeMb = readResidentMemory(::getpid()).totalMb;
    const auto startedAt = transport::Clock::now();
    const Plan newPlan = computePlan(view, {});
    const double elapsedPlanMs = elapsedMs(startedAt), peakGrowthMb = readPeakResidentMb() - memoryBeforeMb;
    const double lowerBound = static_cast<double>(computeLowerBoundBytes(view, newPlan.forcedBytes));
    std::printf("%8d %8d %9.1f %10.1f %7zu %9.2f %9.2f %10.2f %8.2f %9zu %8s\n", engineCount, groupCount,
                elapsedPlanMs, peakGrowthMb, newPlan.moves.size(),
                static_cast<double>(newPlan.totalBytes) / 1e9, static_cast<double>(newPlan.forcedBytes) / 1e9,
                lowerBound / 1e9, 100 * (static_cast<double>(newPlan.totalBytes) / lowerBound - 1),
                newPlan.deferredMoves + newPlan.unplacedReplicas + newPlan.overfullEngines,
                newPlan.isBalanced ? "yes" : "no");
    std::fflush(stdout);
    ::_exit(newPlan.isComplete() && elapsedPlanMs < 1000 ? 0 : 1);
  }
  int status = 1;
  ::waitpid(child, &status, 0);
  return status == 0;
}

bool measureScaling() {
  std::printf("%8s %8s %9s %10s %7s %9s %9s %10s %8s %9s %8s\n", "engines", "groups", "plan ms", "memory MB",
              "moves", "GB", "forced", "bound GB", "excess %", "deferred", "balanced");
  bool passed = true;
  for (const auto& [engines, groups] : {std::pair{10, 100},
                                        {30, 300},
                                        {100, 1000},
                                        {300, 3000},
                                        {1000, 10000},
                                        {1000, 30000},
                                        {3000, 30000}}) {
    const bool rowPassed = measurePlanCost(engines, groups);
    if (engines == 1000 && groups == 10000) passed = rowPassed;
  }
  std::printf("\n");
  return passed;
}

// Compares ways of coordinating plans that are computed from different views, over the same random faults.
bool measureAgreement(unsigned runCount) {
  std::printf("%u random sequences of 30 faults each, 9 controllers, 8 engines, 48 groups\n", runCount);
  std::printf("%-34s %8s %8s %8s %10s %8s %10s\n", "coordination", "plans", "complete", "copies", "bytes",
              "over cap", "unserved");
  bool passed = true;
  struct CoordinationMode {
    const char* name;
    bool requiresAgreement;
    int capacityShares, maxClockSkewSeconds;
    bool expectsNoViolations;
  };
  for (const CoordinationMode& mode : {CoordinationMode{"none", false, 1, 0, false},
                                       {"halves", false, 2, 0, false},
                                       {"agreement", true, 1, 0, true},
                                       {"agreement, clock skew 1 s", true, 1, 1, true},
                                       {"agreement, clock skew 5 s", true, 1, 5, false},
                                       {"agreement, halves", true, 2, 0, true},
                                       {"agreement, halves, clock skew 5 s", true, 2, 5, false}}) {
    MultiControllerSimulation::Statistics totals;
    for (unsigned seed = 1; seed <= runCount; ++seed) {
      MultiControllerOptions options;
      options.requiresAgreement = mode.requiresAgreement, options.capacityShares = mode.capacityShares,
      options.maxClockSkewSeconds = mode.maxClockSkewSeconds, options.seed = seed;
      const MultiControllerSimulation::Statistics statistics = runRandomFaults(options, 30);
      totals.capacityViolations += statistics.capacityViolations,
          totals.replicasStarted += statistics.replicasStarted,
          totals.plansStarted += statistics.plansStarted, totals.plansCompleted += statistics.plansCompleted;
      totals.bytesMoved += statistics.bytesMoved,
          totals.unservedGroupSeconds += statistics.unservedGroupSeconds;
    }
    std::printf("%-34s %8u %8u %8u %10lld %8u %10u\n", mode.name, totals.plansStarted, totals.plansCompleted,
                totals.replicasStarted, static_cast<long long>(totals.bytesMoved), totals.capacityViolations,
                totals.unservedGroupSeconds);
    passed = passed && (!mode.expectsNoViolations || totals.capacityViolations == 0);
  }
  std::printf("\n");
  return passed;
}

// Counts of simulateEngineChanges(). A move is voluntary if the group still has a holder. A returned move is
// a voluntary move to an engine that a voluntary move has left before.
struct MoveStatistics {
  unsigned moves = 0, voluntaryMoves = 0, returnedMoves = 0;
  Bytes bytesMoved = 0, minimumBytes = 0;
};

// Removes and adds ten engines in turn. Read rates change by up to a tenth in between, and each plan is
// carried out completely.
MoveStatistics simulateEngineChanges(std::uint64_t seed, int thresholdPercent, bool avoidsRecentMoves,
                                     bool placesFromScratch) {
  std::mt19937_64 random(seed);
  ClusterView view;
  for (int index = 0; index < 10; ++index)
    view.engines.push_back(
        {"s-" + std::to_string(100 + index), 3000, 3000, 8, EndpointState::ready, false, 0, 0});
  for (std::uint32_t groupIndex = 0; groupIndex < 100; ++groupIndex) {
    GroupSnapshot& group = view.groups.emplace_back();
    group.groupId = groupIndex + 1;
    group.size = 20 + static_cast<Bytes>(random() % 200);
    group.readRate = 100 + static_cast<std::int64_t>(random() % 900);
  }
  view.engines[9].state = view.engines[8].state = EndpointState::removed;
  MoveStatistics totals;
  std::map<std::pair<std::uint32_t, std::uint32_t>, bool> leftEngines;  // group, engine
  std::vector<int> movedAtEvent(view.groups.size(), -100);
  for (int event = -1; event < 20; ++event) {
    if (event >= 0) {
      const std::size_t engineNumber = static_cast<std::size_t>(event / 2 * 3 % 10);
      EngineSnapshot& engine = view.engines[event % 2 == 0 ? engineNumber : (engineNumber + 3) % 10];
      const bool removesEngine = event % 2 == 0 && engine.state == EndpointState::ready;
      engine.state = removesEngine ? EndpointState::removed : EndpointState::ready;
      if (!removesEngine) engine.warmingUp = true;
      const auto engineIndex = static_cast<std::uint32_t>(&engine - view.engines.data());
      for (GroupSnapshot& group : view.groups) {
        std::erase(group.holders, engineIndex);
        group.readRate = group.readRate * static_cast<std::int64_t>(90 + random() % 21) / 100;
      }
    }
    for (std::uint32_t index = 0; index < view.engines.size(); ++index) {
      view.engines[index].headroom = view.engines[index].capacity;
      for (const GroupSnapshot& group : view.groups)
        if (std::count(group.holders.begin(), group.holders.end(), index) > 0)
          view.engines[index].headroom -= group.size;
    }
    for (std::size_t group = 0; group < view.groups.size(); ++group)
      view.groups[group].recentlyMoved = avoidsRecentMoves && event - movedAtEvent[group] <= 3;
    ClusterView planningView = view;
    if (placesFromScratch)  // as if no engine held any group
      for (GroupSnapshot& group : planningView.groups) group.holders.clear();
    for (EngineSnapshot& engine : planningView.engines)
      if (placesFromScratch) engine.headroom = engine.capacity;
    PlanOptions options;
    options.triggerOverloadPercent = thresholdPercent;
    const Plan newPlan = computePlan(planningView, options);
    const Bytes lowerBound = computeLowerBoundBytes(view, computePlan(view, options).forcedBytes);
    if (event >= 0) totals.minimumBytes += lowerBound;
    for (std::uint32_t group = 0; group < view.groups.size(); ++group) {
      GroupSnapshot& groupView = view.groups[group];
      if (newPlan.placements[group].empty()) continue;
      for (const std::uint32_t engine : newPlan.placements[group]) {
        if (std::binary_search(groupView.holders.begin(), groupView.holders.end(), engine)) continue;
        if (event < 0) continue;
        ++totals.moves, totals.bytesMoved += groupView.size;
        const bool voluntary = !groupView.holders.empty();
        totals.voluntaryMoves += voluntary ? 1 : 0;
        totals.returnedMoves += voluntary && leftEngines[{group, engine}] ? 1 : 0;
        if (voluntary) leftEngines[{group, groupView.holders.front()}] = true, movedAtEvent[group] = event;
      }
      groupView.holders = newPlan.placements[group];
    }
  }
  return totals;
}

bool compareMoveRules(unsigned seedCount) {
  std::printf(
      "ten engine removals and ten additions in turn, 10 engines, 100 groups, %u seeds; excess %%: bytes\n"
      "above a lower bound of what is forced and what brings engines back within the load limit\n",
      seedCount);
  std::printf("%-36s %8s %10s %12s %12s %8s\n", "rule", "moves", "voluntary", "bytes", "excess %",
              "returned");
  bool passed = true;
  struct MoveRule {
    const char* name;
    int rebalanceThresholdPercent;
    bool avoidsRecentMoves, placesFromScratch;
  };
  for (const MoveRule& rule : {MoveRule{"placed from scratch each time", 25, false, true},
                               {"acts at the load limit", 25, false, false},
                               {"acts at 40 % overload", 40, false, false},
                               {"same, without recently moved groups", 40, true, false}}) {
    MoveStatistics totals;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
      const MoveStatistics seedResult = simulateEngineChanges(seed, rule.rebalanceThresholdPercent,
                                                              rule.avoidsRecentMoves, rule.placesFromScratch);
      totals.moves += seedResult.moves, totals.voluntaryMoves += seedResult.voluntaryMoves,
          totals.returnedMoves += seedResult.returnedMoves;
      totals.bytesMoved += seedResult.bytesMoved, totals.minimumBytes += seedResult.minimumBytes;
    }
    std::printf("%-36s %8u %10u %12lld %12.1f %8u\n", rule.name, totals.moves, totals.voluntaryMoves,
                static_cast<long long>(totals.bytesMoved),
                100 * (static_cast<double>(totals.bytesMoved) /
                           static_cast<double>(std::max<Bytes>(1, totals.minimumBytes)) -
                       1),
                totals.returnedMoves);
    if (rule.avoidsRecentMoves) passed = totals.returnedMoves == 0;
  }
  std::printf("\n");
  return passed;
}

}  // namespace

int measureRebalance(unsigned fleetCount) {
  bool passed = true;
#ifdef PADDLETRACK_EXACT
  passed = compareWithOptimum(fleetCount) && passed;
#else
  std::printf("built without GLPK: skipped the comparison of %u fleets with the minimum\n", fleetCount);
#endif
  passed = measureScaling() && passed;
  passed = compareMoveRules(50) && passed;
  passed = measureAgreement(20) && passed;
  return passed ? 0 : 1;
}

}  // namespace paddletrack::loadtest
