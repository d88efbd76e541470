// Many controllers over one fleet in one process: the pure parts of the rebalancing, each controller with its
// own clock, list and words of the others, under faults. Nothing is sent; time is counted in seconds.
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
  bool requiresAgreement = true;  // else each follows the plan of its own view
  int capacityShares = 2;
  int rebalanceThresholdPercent = 25;
  int initialCapacityPercent = 120;  // per cent of what an engine holds at first, in the mean
  int maxClockSkewSeconds = 0;       // seconds that clocks differ at most, each way
  std::uint64_t seed = 1;
};

class MultiControllerSimulation {
 public:
  struct Statistics {
    unsigned capacityViolations = 0;                // copies begun that an engine had no room for
    unsigned replicasStarted = 0;                   // copies read anew
    unsigned plansStarted = 0, plansCompleted = 0;  // counted at controllers
    rebalance::Bytes bytesMoved = 0;
    std::map<rebalance::PlanOutcome, unsigned> planEnds;
    unsigned unservedGroupSeconds = 0;  // seconds x groups without a holder that is ready
  };

  explicit MultiControllerSimulation(const MultiControllerOptions& options)
      : options_(options), random_(options.seed) {
    for (unsigned value = 0; value < options.engineCount; ++value)
      engines_.emplace_back().name = "s-" + std::to_string(100 + value);
    for (unsigned item = 0; item < options.groupCount; ++item) {
      groups_.push_back({5 + drawBelow(40), 5 + drawBelow(60)});
      Engine& engine = engines_[item % options.engineCount];
      engine.lastReadByGroup[item] = 0;
    }
    for (Engine& engine : engines_)
      engine.capacity = engine.reportedCapacity = 6 * 25 * options.initialCapacityPercent / 100;
    for (unsigned element = 0; element < options.controllerCount; ++element) {
      controllers_.emplace_back().name = "c" + std::to_string(100 + element);
      controllers_.back().clockSkewSeconds =
          options.maxClockSkewSeconds > 0
              ? drawBelow(2 * options.maxClockSkewSeconds + 1) - options.maxClockSkewSeconds
              : 0;
      restartController(element);
      controllers_.back().endpointReport = buildEndpointReport();
    }
  }

  // Faults.
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
  void setPartition(std::function<unsigned(unsigned)> partitionOf) {
    partitionOf_ = std::move(partitionOf);
  }  // none: healed
  void setStopped(unsigned controllerIndex, bool stopped) { controllers_[controllerIndex].stopped = stopped; }
  void setStaleEndpoints(unsigned controllerIndex, bool isStale) {
    controllers_[controllerIndex].usesStaleEndpoints = isStale;
  }
  void restartController(unsigned controllerIndex) {
    Controller& controller = controllers_[controllerIndex];
    controller.peerReports.clear();
    controller.agreement = std::make_unique<rebalance::PlanAgreement>(
        options_.controllerCount, planningWindows_, toDuration(now_ + controller.clockSkewSeconds));
    controller.planExecutor =
        std::make_unique<rebalance::PlanFollower>(rebalance::MoveLimits{8, 2, std::chrono::seconds(8)});
    controller.snapshotEpoch = controller.plannedEpoch = 0;
  }
  template <typename RateFunction>
  void updateReadRates(RateFunction rateFunction) {  // reading changes
    for (unsigned value = 0; value < groups_.size(); ++value)
      groups_[value].readRate = rateFunction(value, groups_[value].readRate);
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
    for (unsigned value = 0; value < engines_.size(); ++value)
      if (isHeld(group, value) && engines_[value].state == EndpointState::ready)
        holderIndexes.push_back(value);
    return holderIndexes;
  }
  const rebalance::PlanFollower& planExecutor(unsigned controllerIndex) const {
    return *controllers_[controllerIndex].planExecutor;
  }
  rebalance::Bytes usedBytes(unsigned engineIndex) const {
    rebalance::Bytes totalBytes = 0;
    for (const auto& [group, read] : engines_[engineIndex].lastReadByGroup) totalBytes += groups_[group].size;
    return totalBytes;
  }

 private:
  static constexpr int kIdleReplicaTimeoutSeconds = 4;  // a copy that nobody reads goes after so many seconds
  static constexpr int kCapacityReportDelaySeconds =
      5;  // a capacity that has shrunk is known of after so many
  struct Engine {
    std::string name;
    EndpointState state = EndpointState::ready;
    std::int64_t startedAt = 0;
    rebalance::Bytes capacity = 0, reportedCapacity = 0;
    int shrunkAt = -100;
    std::map<unsigned, int> lastReadByGroup;  // and when it was last read
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
    rebalance::ControllerReport endpointReport;  // the engines as it knows them
    std::map<std::string, PeerReport> peerReports;
    std::unique_ptr<rebalance::PlanAgreement> agreement;
    std::unique_ptr<rebalance::PlanFollower> planExecutor;
    std::uint64_t snapshotEpoch = 0, plannedEpoch = 0;  // epochs
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
      groupReport.recentlyMoved = controller.planExecutor->isRecentlyMoved(
          toDuration(now_), group, 3 * planningWindows_.epochDuration);
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
    for (const auto& [owner, word] : controller.peerReports)
      if (word.epoch == epoch) reports[owner] = word.report;
    return reports;
  }

  void advanceOneSecond() {
    for (Controller& controller : controllers_) {
      if (controller.stopped) continue;
      if (!controller.usesStaleEndpoints) controller.endpointReport = buildEndpointReport();
      runController(controller);
    }
    for (unsigned value = 0; value < controllers_.size(); ++value) {  // anti-entropy with two peers
      for (int round = 0; round < 2; ++round) {
        const auto peerIndex = static_cast<unsigned>(drawBelow(static_cast<int>(controllers_.size())));
        if (peerIndex == value || controllers_[value].stopped || controllers_[peerIndex].stopped) continue;
        if (partitionOf_ && partitionOf_(value) != partitionOf_(peerIndex)) continue;
        mergePeerReports(controllers_[value], controllers_[peerIndex]);
        mergePeerReports(controllers_[peerIndex], controllers_[value]);
      }
    }
    readGroups();
  }
  static void mergePeerReports(Controller& target, const Controller& source) {
    for (const auto& [owner, word] : source.peerReports) {
      if (owner == target.name) continue;
      const auto entry = target.peerReports.find(owner);
      if (entry == target.peerReports.end() || entry->second.version < word.version)
        target.peerReports[owner] = word;
    }
  }

  void runController(Controller& controller) {
    using namespace rebalance;
    const Duration wallClock = toDuration(now_ + controller.clockSkewSeconds);
    const std::uint64_t epoch = planningWindows_.epochAt(wallClock);
    PeerReport& ownReport = controller.peerReports[controller.name];
    if (ownReport.epoch < epoch) {
      ownReport.epoch = epoch, ownReport.report = buildReport(controller);
      ownReport.version = static_cast<std::uint64_t>(now_ + 1) * 4;
    }
    for (const auto& [owner, word] : controller.peerReports)
      if (owner != controller.name && word.promise) controller.agreement->onPromise(owner, *word.promise);
    const bool isWithinWindow =
        wallClock >= planningWindows_.snapshotAt(epoch) && wallClock < planningWindows_.epochDeadline(epoch);
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
        controller.planExecutor->start(wallClock, planningView, std::move(newPlan),
                                       planningWindows_.epochDeadline(epoch));
      }
    }
    if (controller.planExecutor->isActive()) {
      std::map<std::string, ControllerReport> observedReports{{controller.name, buildReport(controller)}};
      controller.planExecutor->update(wallClock, buildClusterView(observedReports, {}));
      if (controller.planExecutor->isActive() &&
          controller.planExecutor->completedMoveCount() == controller.planExecutor->plan().moves.size()) {
        ++statistics_.plansCompleted;
        controller.planExecutor->abandon(PlanOutcome::completed);
      }
      if (!controller.planExecutor->isActive()) ++statistics_.planEnds[controller.planExecutor->outcome()];
    }
  }

  // Each controller's jobs go where its plan says, else where a group is; a group that is nowhere is read
  // without being kept.
  void readGroups() {
    for (Controller& controller : controllers_) {
      if (controller.stopped) continue;
      for (unsigned group = 0; group < groups_.size(); ++group) {
        const std::vector<std::string>* plannedHomes =
            controller.planExecutor->isActive() ? controller.planExecutor->preferredEngines(group) : nullptr;
        for (unsigned engineIndex = 0; engineIndex < engines_.size(); ++engineIndex) {
          Engine& engineRecord = engines_[engineIndex];
          if (engineRecord.state == EndpointState::removed) continue;
          const bool isPlannedHome = plannedHomes && std::find(plannedHomes->begin(), plannedHomes->end(),
                                                               engineRecord.name) != plannedHomes->end();
          const auto entry = engineRecord.lastReadByGroup.find(group);
          if (entry != engineRecord.lastReadByGroup.end() && (isPlannedHome || !plannedHomes))
            entry->second = now_;
          if (entry != engineRecord.lastReadByGroup.end() || !isPlannedHome) continue;
          engineRecord.lastReadByGroup[group] = now_;
          ++statistics_.replicasStarted, statistics_.bytesMoved += groups_[group].size;
          const rebalance::Bytes knownCapacity = now_ - engineRecord.shrunkAt < kCapacityReportDelaySeconds
                                                     ? engineRecord.reportedCapacity
                                                     : engineRecord.capacity;
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
  const rebalance::EpochSchedule planningWindows_{std::chrono::seconds(20), std::chrono::seconds(2)};
  std::vector<Engine> engines_;
  std::vector<Group> groups_;
  std::vector<Controller> controllers_;
  std::map<std::string, rebalance::ClusterView> planningViews_;
  std::function<unsigned(unsigned)> partitionOf_;
  int now_ = 0;
  Statistics statistics_;
};

// A story of chance: engines lost, drained, back cold, shrunk; controllers split, stopped, restarted, on an
// old list. The same for every way of keeping plans apart.
inline MultiControllerSimulation::Statistics runRandomFaults(const MultiControllerOptions& options,
                                                             int faultCount) {
  MultiControllerSimulation simulation(options);
  std::mt19937_64 random(options.seed * 77 + 5);
  const auto drawBelow = [&](unsigned limit) { return static_cast<unsigned>(random() % limit); };
  simulation.advance(25);
  std::vector<unsigned> unavailableEngines;
  for (int item = 0; item < faultCount; ++item) {
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
