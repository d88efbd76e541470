#include "rebalance/rebalance_executor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace paddletrack::rebalance {
namespace {

constexpr std::chrono::milliseconds kUpdateInterval{200};
// An engine that has not read a group for this long is considered to have released it.
constexpr Duration kReadIdleTimeout{std::chrono::milliseconds(1500)};
constexpr int kMoveCooldownEpochs = 3;  // epochs for which a moved group is considered recently moved
constexpr int kTriggerOverloadPercent = 40;
constexpr int kHeadroomDivisor = 2;
constexpr int kWorkBudget = 200'000;  // bounds planning time, because requests are handled on the same thread

Duration systemWallTime() {
  return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

// Returns the start of the engine's process in seconds of the wall clock, or 0 if it is unknown. The value is
// rounded, because the controllers' values differ by a few milliseconds.
std::int64_t engineStartTime(const routing::EngineEndpoint& engine, Duration now, Duration wallTime) {
  if (!engine.endpoint.startedAt) return 0;
  const Duration startedAt = wallTime - (now - *engine.endpoint.startedAt);
  return std::chrono::duration_cast<std::chrono::seconds>(startedAt + std::chrono::milliseconds(500)).count();
}

}  // namespace

RebalanceExecutor::RebalanceExecutor(transport::Scheduler& scheduler, routing::RequestRouter& router,
                                     gossip::Store& store, std::function<Duration()> gossipClock,
                                     const RebalanceOptions& options, const Logger& logger)
    : scheduler_(scheduler),
      router_(router),
      store_(store),
      gossipClock_(std::move(gossipClock)),
      options_(options),
      logger_(logger),
      agreement_(router.config().deployment.controllerCount, options.epochSchedule, systemWallTime()),
      timer_(scheduler, [this] { onTimer(); }) {
  router_.setPlacementBiasSource(this);
  timer_.runAt(scheduler_.now() + kUpdateInterval);
}

RebalanceExecutor::~RebalanceExecutor() { router_.setPlacementBiasSource(nullptr); }

Duration RebalanceExecutor::wallTime() const { return systemWallTime(); }

double RebalanceExecutor::placementBias(std::uint32_t dataSet, const routing::EngineEndpoint& engine) const {
  const std::vector<std::string>* preferredEngines = follower_.preferredEngines(dataSet);
  if (!preferredEngines) return 1;
  return std::ranges::find(*preferredEngines, engine.id) != preferredEngines->end() ? options_.placementBias
                                                                                    : 1;
}

void RebalanceExecutor::onAttemptStarted(std::uint32_t dataSet, const routing::EngineEndpoint& engine) {
  const auto key = std::pair(dataSet, engine.id);
  auto counter = readCounters_.find(key);
  if (counter == readCounters_.end() && readCounters_.size() >= kMaxReadCounters) return;
  if (counter == readCounters_.end()) counter = readCounters_.emplace(key, ReadCounter{}).first;
  const std::int64_t engineStartedAt = engineStartTime(engine, router_.now(), wallTime());
  if (counter->second.engineStartedAt != engineStartedAt)
    counter->second = {0, 0, Duration{0}, engineStartedAt};
  ++counter->second.currentEpoch;
  counter->second.lastReadAt = router_.now();
}

ControllerReport RebalanceExecutor::buildReport(ReportPeriod period) const {
  ControllerReport report;
  const bool includesCurrentEpoch = period == ReportPeriod::previousAndCurrentEpoch;
  const Deployment& deployment = router_.config().deployment;
  const Duration now = router_.now();
  std::map<std::string, std::int64_t> startedAtByEngine;
  router_.forEachEndpoint([&](const routing::EngineEndpoint& engine) {
    const EndpointRecord& endpoint = engine.endpoint;
    const std::int64_t startedAt = engineStartTime(engine, now, wallTime());
    startedAtByEngine[engine.id] = startedAt;
    report.engines[engine.id] = {
        endpoint.state,
        startedAt,
        endpoint.startedAt && now - *endpoint.startedAt < deployment.warmupTime,
        endpoint.zone,
        endpoint.machineType,
        static_cast<std::int64_t>(deployment.machineTypes[endpoint.machineType].cores),
        options_.engineCapacity};
  });
  for (const auto& [key, reads] : readCounters_) {
    const std::int64_t readCount = reads.previousEpoch + (includesCurrentEpoch ? reads.currentEpoch : 0);
    const auto engineStart = startedAtByEngine.find(key.second);
    if (readCount == 0 || engineStart == startedAtByEngine.end() ||
        engineStart->second != reads.engineStartedAt)
      continue;
    ControllerReport::GroupReport& groupReport = report.groups[key.first];
    groupReport.size = options_.groupSize;
    groupReport.readsByEngine[key.second] = readCount;
    groupReport.recentlyMoved = follower_.isRecentlyMoved(
        wallTime(), key.first, kMoveCooldownEpochs * options_.epochSchedule.epochDuration);
  }
  return report;
}

// Returns the planned groups with their current holders according to this controller's own endpoint list and
// reads.
ClusterView RebalanceExecutor::observeCluster() const {
  const ControllerReport report = buildReport(ReportPeriod::previousAndCurrentEpoch);
  ClusterView observed = buildClusterView({{"", report}}, {});
  const Duration now = router_.now();
  observed.groups = follower_.plannedView().groups;
  for (EngineSnapshot& engine : observed.engines) engine.headroom = engine.capacity;
  for (GroupSnapshot& group : observed.groups) {
    std::vector<std::uint32_t> holders;
    for (std::uint32_t index = 0; index < observed.engines.size(); ++index) {
      EngineSnapshot& engine = observed.engines[index];
      if (!isObservedHolder(group, index, engine.name, now)) continue;
      holders.push_back(index);
      engine.headroom -= group.size;
    }
    group.holders = std::move(holders);
  }
  return observed;
}

// An engine counts as a holder once it has read the group. It counts as having released the group when it is
// no longer preferred for it and has not read it for kReadIdleTimeout.
bool RebalanceExecutor::isObservedHolder(const GroupSnapshot& group, std::uint32_t engineIndex,
                                         const std::string& engineName, Duration now) const {
  const auto counter = readCounters_.find({group.groupId, engineName});
  if (counter != readCounters_.end() && now - counter->second.lastReadAt < kReadIdleTimeout) return true;
  if (!std::ranges::binary_search(group.holders, engineIndex)) return false;
  const auto* preferredEngines = follower_.preferredEngines(group.groupId);
  return !preferredEngines || std::ranges::find(*preferredEngines, engineName) != preferredEngines->end();
}

void RebalanceExecutor::onTimer() {
  timer_.runAt(scheduler_.now() + kUpdateInterval);
  const Duration wallNow = wallTime();
  const EpochSchedule& schedule = options_.epochSchedule;
  const std::uint64_t epoch = schedule.epochAt(wallNow);
  if (publishedEpoch_ < epoch) startEpoch(epoch);
  const bool isInPlanningWindow =
      wallNow >= schedule.snapshotAt(epoch) && wallNow < schedule.epochDeadline(epoch);
  if (isInPlanningWindow && startedEpoch_ < epoch) agreeOnPlan(wallNow, epoch);
  if (follower_.isActive()) followPlan(wallNow);
}

// Reads before the first epoch boundary are not published, because they do not cover a full epoch.
void RebalanceExecutor::startEpoch(std::uint64_t epoch) {
  advanceReadCounters();
  const bool isFirstEpoch = publishedEpoch_ == 0;
  publishedEpoch_ = epoch;
  if (isFirstEpoch) return;
  publishReport(store_, gossipClock_(), epoch, buildReport(ReportPeriod::previousEpoch));
}

void RebalanceExecutor::advanceReadCounters() {
  for (auto counter = readCounters_.begin(); counter != readCounters_.end();) {
    counter->second.previousEpoch = std::exchange(counter->second.currentEpoch, 0);
    counter = counter->second.previousEpoch == 0 ? readCounters_.erase(counter) : std::next(counter);
  }
}

void RebalanceExecutor::agreeOnPlan(Duration wallNow, std::uint64_t epoch) {
  const ReceivedReports received = readReports(store_, gossipClock_(), epoch);
  if (snapshotEpoch_ < epoch) takeSnapshot(received, epoch);
  for (const auto& [owner, promise] : received.promises)
    if (owner != store_.owner()) agreement_.onPromise(owner, promise);
  if (agreement_.hasMajority({epoch, viewDigest_})) startPlan(wallNow, epoch);
}

void RebalanceExecutor::takeSnapshot(const ReceivedReports& received, std::uint64_t epoch) {
  snapshotEpoch_ = epoch;
  view_ = buildClusterView(received.reports, {});
  viewDigest_ = computeDigest(view_);
  if (agreement_.tryPromise({epoch, viewDigest_}))
    publishPromise(store_, gossipClock_(), *agreement_.ownPromise());
}

void RebalanceExecutor::startPlan(Duration wallNow, std::uint64_t epoch) {
  startedEpoch_ = epoch;
  PlanOptions options;
  options.triggerOverloadPercent = kTriggerOverloadPercent;
  options.headroomDivisor = kHeadroomDivisor;
  options.workBudget = kWorkBudget;
  Plan plan = computePlan(view_, options);
  logger_.info("rebalance", "epoch " + std::to_string(epoch) + ": " + std::to_string(plan.moves.size()) +
                                " moves, " + std::to_string(plan.totalBytes) + " bytes, " +
                                std::to_string(plan.forcedBytes) + " of them unavoidable, " +
                                std::to_string(plan.unplacedReplicas + plan.deferredMoves) +
                                " replicas unplaced or deferred; view " + std::to_string(viewDigest_));
  follower_.start(wallNow, view_, std::move(plan), options_.epochSchedule.epochDeadline(epoch));
}

void RebalanceExecutor::followPlan(Duration wallNow) {
  follower_.update(wallNow, observeCluster());
  const bool hasEndedEarly = !follower_.isActive() && follower_.outcome() != PlanOutcome::epochEnded;
  if (hasEndedEarly) logger_.info("rebalance", std::string(nameOf(follower_.outcome())));
}

}  // namespace paddletrack::rebalance
