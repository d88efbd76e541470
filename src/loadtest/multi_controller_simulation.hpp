// Simulates the rebalancing of many controllers that share a fleet, under faults, within one process and
// without I/O. Each controller has its own clock, endpoint list and reports of its peers. Time advances in
// seconds.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "rebalance/cluster_view_builder.hpp"
#include "rebalance/plan_agreement.hpp"
#include "rebalance/plan_follower.hpp"

namespace paddletrack::loadtest {

struct MultiControllerOptions {
  unsigned controllerCount = 9, engineCount = 8, groupCount = 48;
  bool requiresAgreement = true;  // otherwise each controller follows the plan of its own view
  int capacityShares = 2;
  int rebalanceThresholdPercent = 25;
  int initialCapacityPercent = 120;  // percent of the bytes that an engine holds initially on average
  int maxClockSkewSeconds = 0;       // maximum deviation of a clock in either direction
  std::uint64_t seed = 1;
};

class MultiControllerSimulation {
 public:
  struct Statistics {
    unsigned capacityViolations = 0;                // replicas started beyond the known capacity of an engine
    unsigned replicasStarted = 0;                   // replicas that an engine began to read
    unsigned plansStarted = 0, plansCompleted = 0;  // summed over the controllers
    rebalance::Bytes bytesMoved = 0;
    std::map<rebalance::PlanOutcome, unsigned> plansByOutcome;
    unsigned unservedGroupSeconds = 0;  // seconds x groups without a ready holder
  };

  explicit MultiControllerSimulation(const MultiControllerOptions& options)
      : options_(options), random_(options.seed) {
    for (unsigned index = 0; index < options.engineCount; ++index)
      engines_.emplace_back().name = "s-" + std::to_string(100 + index);
    for (unsigned group = 0; group < options.groupCount; ++group) {
      groups_.push_back({5 + drawBelow(40), 5 + drawBelow(60)});
      Engine& engine = engines_[group % options.engineCount];
      engine.lastReadByGroup[group] = 0;
    }
    for (Engine& engine : engines_)
      engine.capacity = engine.reportedCapacity = 6 * 25 * options.initialCapacityPercent / 100;
    for (unsigned index = 0; index < options.controllerCount; ++index) {
      controllers_.emplace_back().name = "c" + std::to_string(100 + index);
      controllers_.back().clockSkewSeconds =
          options.maxClockSkewSeconds > 0
              ? drawBelow(2 * options.maxClockSkewSeconds + 1) - options.maxClockSkewSeconds
              : 0;
      restartController(index);
      controllers_.back().endpointReport = buildEndpointReport();
    }
  }

  // Faults and other events.
  void removeEngine(unsigned engineIndex) {
    engines_[engineIndex].state = EndpointState::removed, engines_[engineIndex].lastReadByGroup.clear();
  }
  void drainEngine(unsigned engineIndex) { engines_[engineIndex].state = EndpointState::draining; }
  void restoreEngine(unsigned engineIndex) {
    Engine& target = engines_[engineIndex];
    target.state = EndpointState::ready, target.startedAt = now_ + 1, target.lastReadByGroup.clear();
  }
  void shrinkCapacity(unsigned engineIndex, int percent) {
    engines_[engineIndex].capacity = engines_[engineIndex].capacity * percent / 100,
    engines_[engineIndex].shrunkAt = now_;
  }
  /// Gossip reaches only controllers of the same partition. A null function heals the partition.
  void setPartition(std::function<unsigned(unsigned)> partitionOf) { partitionOf_ = std::move(partitionOf); }
  void setStopped(unsigned controllerIndex, bool stopped) { controllers_[controllerIndex].stopped = stopped; }
  void setStaleEndpoints(unsigned controllerIndex, bool isStale) {
    controllers_[controllerIndex].usesStaleEndpoints = isStale;
  }
  void restartController(unsigned controllerIndex) {
    Controller& controller = controllers_[controllerIndex];
    controller.peerReports.clear();
    controller.agreement = std::make_unique<rebalance::PlanAgreement>(
        options_.controllerCount, epochSchedule_, toDuration(now_ + controller.clockSkewSeconds));
    controller.planFollower =
        std::make_unique<rebalance::PlanFollower>(rebalance::MoveLimits{8, 2, std::chrono::seconds(8)});
    controller.snapshotEpoch = controller.plannedEpoch = 0;
  }
  template <typename RateFunction>
  void updateReadRates(RateFunction rateFunction) {
    for (unsigned index = 0; index < groups_.size(); ++index)
      groups_[index].readRate = rateFunction(index, groups_[index].readRate);
  }

  void advance(int durationSeconds) {
    for (const int endsAt = now_ + durationSeconds; now_ < endsAt; ++now_) advanceOneSecond();
  }
  int now() const { return now_; }
  const Statistics& statistics() const { return statistics_; }
  bool isHeld(unsigned groupIndex, unsigned engineIndex) const {
    return engines_[engineIndex].lastReadByGroup.count(groupIndex) > 0;
  }
  std::vector<unsigned> readyHolders(unsigned group) const {
    std::vector<unsigned> holderIndexes;
    for (unsigned index = 0; index < engines_.size(); ++index)
      if (isHeld(group, index) && engines_[index].state == EndpointState::ready)
        holderIndexes.push_back(index);
    return holderIndexes;
  }
  const rebalance::PlanFollower& planFollower(unsigned controllerIndex) const {
    return *controllers_[controllerIndex].planFollower;
  }
  rebalance::Bytes usedBytes(unsigned engineIndex) const {
    rebalance::Bytes totalBytes = 0;
    for (const auto& [group, lastReadAt] : engines_[engineIndex].lastReadByGroup)
      totalBytes += groups_[group].size;
    return totalBytes;
  }

 private:
  // An engine drops a replica that is not read for this time.
  static constexpr int kIdleReplicaTimeoutSeconds = 4;
  // Time until a reduced capacity is reported.
  static constexpr int kCapacityReportDelaySeconds = 5;
  struct Engine {
    std::string name;
    EndpointState state = EndpointState::ready;
    std::int64_t startedAt = 0;
    rebalance::Bytes capacity = 0, reportedCapacity = 0;
    int shrunkAt = -100;
    std::map<unsigned, int> lastReadByGroup;  // the groups held, each with the time of its last read
  };
  struct Group {
    rebalance::Bytes size = 0;
    std::int64_t readRate = 0;
  };
  struct PeerReport {
    std::uint64_t epoch = 0, version = 0;
    rebalance::ControllerReport report;
    std::optional<rebalance::Promise> promise;
  };
  struct Controller {
    std::string name;
    int clockSkewSeconds = 0;
    bool stopped = false, usesStaleEndpoints = false;
    rebalance::ControllerReport endpointReport;  // the engines as this controller knows them
    std::map<std::string, PeerReport> peerReports;
    std::unique_ptr<rebalance::PlanAgreement> agreement;
    std::unique_ptr<rebalance::PlanFollower> planFollower;
    std::uint64_t snapshotEpoch = 0, plannedEpoch = 0;
  };

  static Duration toDuration(int durationSeconds) { return std::chrono::seconds(100'000 + durationSeconds); }
  int drawBelow(int limit) { return static_cast<int>(random_() % static_cast<std::uint64_t>(limit)); }

  rebalance::ControllerReport buildEndpointReport() const {
    rebalance::ControllerReport report;
    for (const Engine& engine : engines_)
      report.engines[engine.name] = {
          engine.state,   engine.startedAt, engine.startedAt > 0 && now_ - engine.startedAt < 20, 0, 0, 8,
          engine.capacity};
    return report;
  }
  rebalance::ControllerReport buildReport(const Controller& controller) const {
    rebalance::ControllerReport report = controller.endpointReport;
    for (unsigned group = 0; group < groups_.size(); ++group) {
      auto& groupReport = report.groups[group];
      groupReport.size = groups_[group].size;
      groupReport.recentlyMoved =
          controller.planFollower->isRecentlyMoved(toDuration(now_), group, 3 * epochSchedule_.epochDuration);
      for (const Engine& engine : engines_)
        if (engine.lastReadByGroup.count(group) > 0 && engine.state != EndpointState::removed)
          groupReport.readsByEngine[engine.name] =
              groups_[group].readRate / static_cast<std::int64_t>(options_.controllerCount) + 1;
    }
    return report;
  }
  std::map<std::string, rebalance::ControllerReport> collectReports(const Controller& controller,
                                                                    std::uint64_t epoch) const {
    std::map<std::string, rebalance::ControllerReport> reports;
    for (const auto& [owner, peerReport] : controller.peerReports)
      if (peerReport.epoch == epoch) reports[owner] = peerReport.report;
    return reports;
  }

  void advanceOneSecond() {
    for (Controller& controller : controllers_) {
      if (controller.stopped) continue;
      if (!controller.usesStaleEndpoints) controller.endpointReport = buildEndpointReport();
      runController(controller);
    }
    for (unsigned index = 0; index < controllers_.size(); ++index) {  // each gossips with two random peers
      for (int round = 0; round < 2; ++round) {
        const auto peerIndex = static_cast<unsigned>(drawBelow(static_cast<int>(controllers_.size())));
        if (peerIndex == index || controllers_[index].stopped || controllers_[peerIndex].stopped) continue;
        if (partitionOf_ && partitionOf_(index) != partitionOf_(peerIndex)) continue;
        mergePeerReports(controllers_[index], controllers_[peerIndex]);
        mergePeerReports(controllers_[peerIndex], controllers_[index]);
      }
    }
    readGroups();
  }
  static void mergePeerReports(Controller& target, const Controller& source) {
    for (const auto& [owner, peerReport] : source.peerReports) {
      if (owner == target.name) continue;
      const auto entry = target.peerReports.find(owner);
      if (entry == target.peerReports.end() || entry->second.version < peerReport.version)
        target.peerReports[owner] = peerReport;
    }
  }

  void runController(Controller& controller) {
    using namespace rebalance;
    const Duration wallClock = toDuration(now_ + controller.clockSkewSeconds);
    const std::uint64_t epoch = epochSchedule_.epochAt(wallClock);
    PeerReport& ownReport = controller.peerReports[controller.name];
    if (ownReport.epoch < epoch) {
      ownReport.epoch = epoch, ownReport.report = buildReport(controller);
      ownReport.version = static_cast<std::uint64_t>(now_ + 1) * 4;
    }
    for (const auto& [owner, peerReport] : controller.peerReports)
      if (owner != controller.name && peerReport.promise)
        controller.agreement->onPromise(owner, *peerReport.promise);
    const bool isWithinWindow =
        wallClock >= epochSchedule_.snapshotAt(epoch) && wallClock < epochSchedule_.epochDeadline(epoch);
    if (isWithinWindow && controller.snapshotEpoch < epoch) {
      controller.snapshotEpoch = epoch;
      planningViews_[controller.name] = buildClusterView(collectReports(controller, epoch), {});
      if (controller.agreement->tryPromise({epoch, computeDigest(planningViews_[controller.name])})) {
        ownReport.promise = controller.agreement->ownPromise();
        ownReport.version = static_cast<std::uint64_t>(now_ + 1) * 4 + 1;
      }
    }
    const ClusterView& planningView = planningViews_[controller.name];
    const bool isPlanAllowed = !options_.requiresAgreement ||
                               controller.agreement->hasMajority({epoch, computeDigest(planningView)});
    if (isWithinWindow && controller.snapshotEpoch == epoch && controller.plannedEpoch < epoch &&
        isPlanAllowed) {
      controller.plannedEpoch = epoch;
      PlanOptions planOptions;
      planOptions.headroomDivisor = options_.capacityShares,
      planOptions.triggerOverloadPercent = options_.rebalanceThresholdPercent,
      planOptions.workBudget = 100'000;
      Plan newPlan = computePlan(planningView, planOptions);
      if (!newPlan.moves.empty()) {
        ++statistics_.plansStarted;
        controller.planFollower->start(wallClock, planningView, std::move(newPlan),
                                       epochSchedule_.epochDeadline(epoch));
      }
    }
    if (controller.planFollower->isActive()) {
      std::map<std::string, ControllerReport> observedReports{{controller.name, buildReport(controller)}};
      controller.planFollower->update(wallClock, buildClusterView(observedReports, {}));
      if (controller.planFollower->isActive() &&
          controller.planFollower->completedMoveCount() == controller.planFollower->plan().moves.size()) {
        ++statistics_.plansCompleted;
        controller.planFollower->abandon(PlanOutcome::completed);
      }
      if (!controller.planFollower->isActive())
        ++statistics_.plansByOutcome[controller.planFollower->outcome()];
    }
  }

  // The requests of each controller read a group from the engines of its plan, otherwise from the current
  // holders. A group without a holder is read without being kept.
  void readGroups() {
    for (Controller& controller : controllers_) {
      if (controller.stopped) continue;
      for (unsigned group = 0; group < groups_.size(); ++group) {
        const std::vector<std::string>* plannedEngines =
            controller.planFollower->isActive() ? controller.planFollower->preferredEngines(group) : nullptr;
        for (unsigned engineIndex = 0; engineIndex < engines_.size(); ++engineIndex) {
          Engine& engine = engines_[engineIndex];
          if (engine.state == EndpointState::removed) continue;
          const bool isPlannedEngine =
              plannedEngines &&
              std::find(plannedEngines->begin(), plannedEngines->end(), engine.name) != plannedEngines->end();
          const auto entry = engine.lastReadByGroup.find(group);
          if (entry != engine.lastReadByGroup.end() && (isPlannedEngine || !plannedEngines))
            entry->second = now_;
          if (entry != engine.lastReadByGroup.end() || !isPlannedEngine) continue;
          engine.lastReadByGroup[group] = now_;
          ++statistics_.replicasStarted, statistics_.bytesMoved += groups_[group].size;
          const rebalance::Bytes knownCapacity = now_ - engine.shrunkAt < kCapacityReportDelaySeconds
                                                     ? engine.reportedCapacity
                                                     : engine.capacity;
          if (usedBytes(engineIndex) > knownCapacity) ++statistics_.capacityViolations;
        }
      }
    }
    for (Engine& engine : engines_) {
      if (now_ - engine.shrunkAt >= kCapacityReportDelaySeconds) engine.reportedCapacity = engine.capacity;
      std::erase_if(engine.lastReadByGroup,
                    [&](const auto& entry) { return now_ - entry.second >= kIdleReplicaTimeoutSeconds; });
    }
    for (unsigned group = 0; group < groups_.size(); ++group)
      statistics_.unservedGroupSeconds += readyHolders(group).empty() ? 1 : 0;
  }

  const MultiControllerOptions options_;
  std::mt19937_64 random_;
  const rebalance::EpochSchedule epochSchedule_{std::chrono::seconds(20), std::chrono::seconds(2)};
  std::vector<Engine> engines_;
  std::vector<Group> groups_;
  std::vector<Controller> controllers_;
  std::map<std::string, rebalance::ClusterView> planningViews_;
  std::function<unsigned(unsigned)> partitionOf_;
  int now_ = 0;
  Statistics statistics_;
};

// Runs a random sequence of faults: engines are removed, drained, restarted without data or lose capacity,
// and controllers are partitioned, stopped, restarted or use a stale endpoint list. The sequence depends on
// the seed only, so that it is the same for every way of coordinating the plans.
inline MultiControllerSimulation::Statistics runRandomFaults(const MultiControllerOptions& options,
                                                             int faultCount) {
  MultiControllerSimulation simulation(options);
  std::mt19937_64 random(options.seed * 77 + 5);
  const auto drawBelow = [&](unsigned limit) { return static_cast<unsigned>(random() % limit); };
  simulation.advance(25);
  std::vector<unsigned> unavailableEngines;
  for (int fault = 0; fault < faultCount; ++fault) {
    switch (drawBelow(9)) {
      case 0:
      case 1:
        if (unavailableEngines.size() < options.engineCount / 3) {
          unavailableEngines.push_back(drawBelow(options.engineCount));
          drawBelow(2) == 0 ? simulation.removeEngine(unavailableEngines.back())
                            : simulation.drainEngine(unavailableEngines.back());
        }
        break;
      case 2:
      case 3:
        if (!unavailableEngines.empty())
          simulation.restoreEngine(unavailableEngines.back()), unavailableEngines.pop_back();
        break;
      case 4: {
        const unsigned partitionStart = 1 + drawBelow(options.controllerCount - 1),
                       partitionCount = 2 + drawBelow(3);
        simulation.setPartition([partitionStart, partitionCount](unsigned controllerIndex) {
          return controllerIndex < partitionStart ? 0U : 1 + controllerIndex % (partitionCount - 1);
        });
        break;
      }
      case 5:
        simulation.setPartition(nullptr);
        break;
      case 6: {
        const unsigned staleCount =
            drawBelow(2) == 0 ? options.controllerCount / 2 : drawBelow(options.controllerCount);
        for (unsigned index = 0; index < options.controllerCount; ++index)
          simulation.setStaleEndpoints(index, index < staleCount && drawBelow(3) > 0);
        break;
      }
      case 7: {
        const unsigned controllerIndex = drawBelow(options.controllerCount);
        const bool stopped = drawBelow(2) == 0;
        simulation.setStopped(controllerIndex, stopped);
        if (!stopped && drawBelow(2) == 0) simulation.restartController(controllerIndex);
        break;
      }
      default:
        simulation.updateReadRates(
            [&](unsigned, std::int64_t) { return static_cast<std::int64_t>(5 + drawBelow(60)); });
        if (drawBelow(3) == 0) simulation.shrinkCapacity(drawBelow(options.engineCount), 92);
    }
    simulation.advance(3 + static_cast<int>(drawBelow(30)));
  }
  return simulation.statistics();
}

}  // namespace paddletrack::loadtest
