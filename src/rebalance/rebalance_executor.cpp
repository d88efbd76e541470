#include "rebalance/rebalance_executor.hpp"

#include <algorithm>

namespace paddletrack::rebalance {
namespace {

constexpr std::chrono::milliseconds kUpdateInterval{200};
constexpr Duration kReadIdleTimeout{
    std::chrono::milliseconds(1500)};        // no read there for so long: it has given way
constexpr int kRestEpochs = 3;               // epochs that a moved group rests
constexpr int kTriggerOverloadPercent = 40;  // per cent over the best load
constexpr int kHeadroomDivisor = 2;
constexpr int kWorkBudget = 200'000;  // it runs beside the jobs, on one thread

Duration systemWallTime() {
  return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}
std::int64_t engineStartTime(const routing::EngineEndpoint& engine, Duration now, Duration wallTime) {
  if (!engine.endpoint.startedAt) return 0;
  const Duration startedAt =
      wallTime - (now - *engine.endpoint.startedAt);  // the same at every controller but for a few ms
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
  auto counter = reads_.find(key);
  if (counter == reads_.end() && reads_.size() >= kMaxReadCounters) return;
  if (counter == reads_.end()) counter = reads_.emplace(key, ReadCounter{}).first;
  const std::int64_t engineStartedAt = engineStartTime(engine, router_.now(), wallTime());
  if (counter->second.engineStartedAt != engineStartedAt)
    counter->second = {0, 0, Duration{0}, engineStartedAt};
  ++counter->second.currentEpoch;
  counter->second.lastReadAt = router_.now();
}

ControllerReport RebalanceExecutor::buildReport(std::size_t epochCount) const {
  ControllerReport report;
  const Deployment& deployment = router_.config().deployment;
  const Duration now = router_.now();
  std::map<std::string, std::int64_t> startedAtByEngine;
  router_.forEachEndpoint([&](const routing::EngineEndpoint& fakeEngine) {
    const EndpointRecord& endpoint = fakeEngine.endpoint;
    const std::int64_t startedAt = engineStartTime(fakeEngine, now, wallTime());
    startedAtByEngine[fakeEngine.id] = startedAt;
    report.engines[fakeEngine.id] = {
        endpoint.state,
        startedAt,
        endpoint.startedAt && now - *endpoint.startedAt < deployment.warmupTime,
        endpoint.zone,
        endpoint.machineType,
        static_cast<std::int64_t>(deployment.machineTypes[endpoint.machineType].cores),
        options_.engineCapacity};
  });
  for (const auto& [key, reads] : reads_) {
    const std::int64_t readCount = reads.previousEpoch + (epochCount > 1 ? reads.currentEpoch : 0);
    const auto engineStart = startedAtByEngine.find(key.second);
    if (readCount == 0 || engineStart == startedAtByEngine.end() ||
        engineStart->second != reads.engineStartedAt)
      continue;
    ControllerReport::GroupReport& groupReport = report.groups[key.first];
    groupReport.size = options_.groupSize;
    groupReport.readsByEngine[key.second] = readCount;
    groupReport.recentlyMoved =
        follower_.isRecentlyMoved(wallTime(), key.first, kRestEpochs * options_.epochSchedule.epochDuration);
  }
  return report;
}

// The plan's engines and groups as they are now by this controller's own list and reads: a group has left
// where it gives way and none of its jobs has gone for a while, and has come where one has.
ClusterView RebalanceExecutor::observeCluster() const {
  ControllerReport report = buildReport(2);
  ClusterView observed = buildClusterView({{"", report}}, {});
  const ClusterView& plannedView = follower_.plannedView();
  const Duration now = router_.now();
  observed.groups = plannedView.groups;
  std::vector<Bytes> heldBytes(observed.engines.size());
  for (GroupSnapshot& group : observed.groups) {
    std::vector<std::uint32_t> holders;
    for (std::uint32_t value = 0; value < observed.engines.size(); ++value) {
      const auto counter = reads_.find({group.groupId, observed.engines[value].name});
      const bool isRecentlyRead =
          counter != reads_.end() && now - counter->second.lastReadAt < kReadIdleTimeout;
      const auto* preferredEngines = follower_.preferredEngines(group.groupId);
      const bool isPreferred =
          !preferredEngines ||
          std::ranges::find(*preferredEngines, observed.engines[value].name) != preferredEngines->end();
      const bool wasHolder = std::ranges::binary_search(group.holders, value);
      if (isRecentlyRead || (wasHolder && isPreferred))
        holders.push_back(value), heldBytes[value] += group.size;
    }
    group.holders = std::move(holders);
  }
  for (std::uint32_t value = 0; value < heldBytes.size(); ++value)
    observed.engines[value].headroom = observed.engines[value].capacity - heldBytes[value];
  return observed;
}

void RebalanceExecutor::onTimer() {
  timer_.runAt(scheduler_.now() + kUpdateInterval);
  const Duration wallNow = wallTime();
  const EpochSchedule& schedule = options_.epochSchedule;
  const std::uint64_t epoch = schedule.epochAt(wallNow);
  if (publishedEpoch_ < epoch) {
    for (auto counter = reads_.begin(); counter != reads_.end();) {
      counter->second.previousEpoch = std::exchange(counter->second.currentEpoch, 0);
      counter = counter->second.previousEpoch == 0 ? reads_.erase(counter) : std::next(counter);
    }
    const bool isFirstEpoch = publishedEpoch_ == 0;
    publishedEpoch_ = epoch;
    if (!isFirstEpoch) publishReport(store_, gossipClock_(), epoch, buildReport(1));
  }
  const bool isInPlanningWindow =
      wallNow >= schedule.snapshotAt(epoch) && wallNow < schedule.epochDeadline(epoch);
  if (isInPlanningWindow && startedEpoch_ < epoch) {
    const ReceivedReports received = readReports(store_, gossipClock_(), epoch);
    if (snapshotEpoch_ < epoch) {
      snapshotEpoch_ = epoch;
      view_ = buildClusterView(received.reports, {});
      viewDigest_ = computeDigest(view_);
      if (agreement_.tryPromise({epoch, viewDigest_}))
        publishPromise(store_, gossipClock_(), *agreement_.ownPromise());
    }
    for (const auto& [owner, promise] : received.promises)
      if (owner != store_.owner()) agreement_.onPromise(owner, promise);
    if (agreement_.hasMajority({epoch, viewDigest_})) {
      startedEpoch_ = epoch;
      PlanOptions options;
      options.triggerOverloadPercent = kTriggerOverloadPercent, options.headroomDivisor = kHeadroomDivisor,
      options.workBudget = kWorkBudget;
      Plan plan = computePlan(view_, options);
      logger_("rebalance", "epoch " + std::to_string(epoch) + ": " + std::to_string(plan.moves.size()) +
                               " moves, " + std::to_string(plan.totalBytes) + " bytes, " +
                               std::to_string(plan.forcedBytes) + " of them forced, " +
                               std::to_string(plan.unplacedReplicas + plan.deferredMoves) +
                               " left out; view " + std::to_string(viewDigest_));
      follower_.start(wallNow, view_, std::move(plan), schedule.epochDeadline(epoch));
    }
  }
  if (!follower_.isActive()) return;
  follower_.update(wallNow, observeCluster());
  if (!follower_.isActive() && follower_.outcome() != PlanOutcome::epochEnded)
    logger_("rebalance", std::string(nameOf(follower_.outcome())));
}

}  // namespace paddletrack::rebalance
