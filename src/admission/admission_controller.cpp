// Every decision of a controller is made in this file. The caller (src/simulator/simulator_adapter.cpp on the
// bench) tells a Controller what happens, one call an event, with the time; the Controller answers at once
// through its Host. Both interfaces are in choice.hpp, what is told of jobs, engines and the deployment in
// model/.
//
// A job passes the stages turn (order by key), room (class checks) and draw (an engine, or a short wait).
// What comes back runs the other way: settle (counts), learn (health, cost), judge (answer or back to draw),
// and the next in turn. Every dispatch passes guarded(), where the seven rules are kept.
#include "admission/admission_controller.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace paddletrack {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kTargetThreadsPerCore = 2.0;  // threads a core, the design's starting value
constexpr double kLimitToTargetRatio =
    1.5;  // class bounds reach this far over the mark, for starts by chance
constexpr double kTotalClassFloorRatio = 0.3;    // of a bound: all floors together
constexpr double kDataLoadCeiling = 0.5;         // of a bound: a load has no floor and at most this
constexpr double kMaxQueueTimeRatio = 1.0 / 20;  // of the job timeout: a queued job is throttled after this
constexpr double kWarmupSafetyFactor =
    0.5;  // of what the cold rule allows: speeds and costs are only estimates
constexpr double kMinWarmupRequests =
    8;  // at once are what a cold engine can do: their type is let in by chance
constexpr double kMinCostSamples = 20;  // of a type: their mean may still be far from its usual work
constexpr double kMinMemoryGrantRatio =
    1.1;  // of the expected need, at least: the scatter of a good estimate
constexpr double kMaxMemoryGrantRatio = 2.5;  // of the expected need: more than this an estimate hardly errs
constexpr double kEngineMemoryGrantRatio = 1.5;  // of the usual need: what engines grant where they decide
constexpr double kMaxMemoryUtilization = 0.85;   // of the memory: grants beyond wait or page
constexpr double kStragglerMultiple = 3;         // times the time expected of a dispatch: its plan is bad
constexpr int kLoadReportMaxAgeObjectives =
    2;  // SLA times of the shortest type: how long a load report is fresh
constexpr double kCostTokenHorizonRatio =
    0.6;                                 // of the longest usual SLA time: work that a thread may have ahead
constexpr double kMaxHedgeRatio = 0.05;  // of recent dispatches: second copies at most
constexpr double kMinLostResponses =
    4;  // dispatches without a sign, in 28 SLA times or a little more: answers get lost
constexpr double kEarlyRetryBudgetRatio =
    0.9;  // of the further dispatches: for what is given up by a time of its own
constexpr double kLimitDecreaseFactor = 0.9, kLimitIncreaseStep = 0.05, kMinLimitFactor = 0.3;
constexpr double kOthersLoadDecayMultiple =
    3;                                // times what the fleet held runs off: how fast its unheard mean fades
constexpr double kMinSubsetSize = 3;  // engines that a controller with thin shares chooses among
constexpr double kCrossZonePenaltyFactor =
    10;  // times its price: the part that it takes of the room left elsewhere
constexpr int kTrialIntervalObjectives =
    2;  // SLA times of the shortest type between trials of a doubted engine
constexpr double kEjectionFailureRatio = 0.3;  // of recent outcomes: an engine that fails more is doubted
constexpr double kMaxRejectionsPerSuccess =
    4;  // turned away for one done: one that turns away more is doubted as well

double toSeconds(Duration duration) { return Seconds(duration).count(); }
Duration toDuration(double secondCount) { return std::chrono::duration_cast<Duration>(Seconds(secondCount)); }

// A mean over the last hundred or so.
void updateMean(double& mean, double& sampleCount, double value) {
  sampleCount = std::min(sampleCount + 1, 100.0);
  mean += (value - mean) / sampleCount;
}

}  // namespace

AdmissionController::AdmissionController(AdmissionHost& host, const Deployment& deployment,
                                         std::uint64_t seed, Duration now)
    : host_(host),
      deployment_(deployment),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      now_(now),
      startedAt_(now),
      classStatistics_(deployment.requestClasses.size()),
      classFloors_(deployment.requestClasses.size()),
      tenantArrivals_(deployment.tenants.size(), SlidingWindowSum<double>(toDuration(1))),
      quotaArrivals_(toDuration(1)),
      arrivals_(deployment.retryBudgetWindow / 8),
      retries_(deployment.retryBudgetWindow / 7 + Duration{1}) {
  // Floors fall with the time and threads a type takes: the short, few-threaded hold the largest, loads none.
  double floorWeightSum = 0, maxCores = 1;
  int maxClassThreads = 1;
  for (const RequestClass& requestClass : deployment_.requestClasses) {
    const double classCost = toSeconds(requestClass.latencyObjective) * requestClass.threads;
    classStatistics_[requestClass.index].meanCost = classCost;
    classFloors_[requestClass.index] = requestClass.isDataLoad ? 0 : 1 / std::max(classCost, 1e-3);
    floorWeightSum += classFloors_[requestClass.index];
    maxClassThreads = std::max(maxClassThreads, requestClass.threads);
    if (!shortestClass_ || classCost < toSeconds(shortestClass_->latencyObjective) * shortestClass_->threads)
      shortestClass_ = &requestClass;
  }
  for (double& classFloor : classFloors_)
    classFloor *= floorWeightSum > 0 ? kTotalClassFloorRatio / floorWeightSum : 0;
  if (deployment_.requiresDiscoveryPolling) host_.requestEndpoints();
  nextDiscoveryAt_ = now + deployment_.maxDiscoveryPollInterval / 3;
  lostResponses_ = SlidingWindowSum<double>(shortestClass_->latencyObjective * 4);
  hedges_ = attemptsStarted_ = SlidingWindowSum<double>(shortestClass_->latencyObjective);
  selectionRounds_ = healthChecks_ = ownThreadSamples_ =
      SlidingWindowSum<double>(shortestClass_->latencyObjective / 2);
  for (const Tenant& tenant : deployment_.tenants) totalQuota_ += tenant.quotaPerSecond;
  for (const MachineType& machineType : deployment_.machineTypes)
    maxCores = std::max(maxCores, machineType.cores);
  hasLoadReports_ = deployment_.reportsLoadOnHealthCheck && deployment_.allowsHealthChecks;
  hasFractionalShares_ =
      maxCores * kTargetThreadsPerCore * kLimitToTargetRatio / deployment_.controllerCount < maxClassThreads;
}

// ---- events ---------------------------------------------------------------------------------------------

// A wake far behind its time shows that this controller stood still (stalled process, stolen cores). What it
// had out may have been answered meanwhile: that time is no evidence against an engine.
void AdmissionController::advanceClock(Duration now) {
  now_ = now;
  if (!nextTimerAt_ || now - *nextTimerAt_ <= 4 * deployment_.tickDuration) return;
  for (Attempt* inFlightAttempt : inFlightAttempts_) inFlightAttempt->unobservedTime += now - *nextTimerAt_;
  stallDuration_ = now - *nextTimerAt_;
  stallEndedAt_ = nextTimerAt_ = now;
}

// How long a dispatch has been out, as far as this controller was there to see it.
double AdmissionController::observedAge(const Attempt& attempt) const {
  return toSeconds(now_ - attempt.sentAt - attempt.unobservedTime);
}

void AdmissionController::onRequest(Duration now, Request& request) {
  advanceClock(now);
  if (deployment_.retryBudgetWindow > Duration{0}) arrivals_.add(now, 1);
  ClassStatistics& statistics = classStatistics_[request.requestClass->index];
  request.randomDraw = drawUniform();
  selectionRounds_.add(now, 1);
  request.costTokens =
      request.declaredCost ? toSeconds(*request.declaredCost) * statistics.costBias : statistics.meanCost;
  // Each job of a type is worth the same, whatever its work: one that is told to take r times the work of all
  // that come needs the room of r, a thread at least. Refused alike at all sizes, a tenth took half of all
  // work.
  updateMean(statistics.meanArrivingCost, statistics.arrivalSampleCount, request.costTokens);
  const double relativeCost =
      deployment_.weightGrowsWithWork ? 1 : request.costTokens / std::max(statistics.meanArrivingCost, 1e-9);
  request.admissionThreads = std::max(1.0, request.requestClass->threads * relativeCost);
  // What a customer sends beyond its share is worth little: it gets idle room only. Where all send more than
  // this controller's part (another is away) nobody does, or half of what could run would be turned away.
  if (request.tenantIndex < tenantArrivals_.size()) {
    const double quota = deployment_.tenants[request.tenantIndex].quotaPerSecond;
    SlidingWindowSum<double>& arrivalWindow = tenantArrivals_[request.tenantIndex];
    arrivalWindow.add(now, 1);
    if (quota > 0) quotaArrivals_.add(now, 1);
    const double quotaShare =
        std::max(8.0 / deployment_.controllerCount, quotaArrivals_.sum(now) / std::max(totalQuota_, 1e-9));
    request.overQuota = quota > 0 && arrivalWindow.sum(now) > quota * quotaShare;
  }
  if (request.requestClass->ordered && request.key) orderingQueues_[request.key].requests.push_back(&request);
  runStages(request);
  runPeriodicWork();
}

void AdmissionController::runStages(Request& request) {
  static constexpr std::array<Stage, 3> kStages{&AdmissionController::waitForOrder,
                                                &AdmissionController::checkClassLimits,
                                                &AdmissionController::selectAndStart};
  for (const Stage stage : kStages) {
    const StageResult result = (this->*stage)(request);
    if (result == StageResult::reject) rejectOrFail(request);
    if (result != StageResult::pass) return;
  }
}

void AdmissionController::onAttemptFinished(Duration now, Attempt& attempt, AttemptOutcome outcome,
                                            bool requestFinished, std::optional<ActualCost> actualCost,
                                            const LoadReport* loadReport) {
  advanceClock(now);
  Request& request = *attempt.request;
  attempt.provenNotExecuted = outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::unreachable ||
                              outcome == AttemptOutcome::neverSent;
  releaseCapacity(attempt);
  if (loadReport) applyLoadReport(*attempt.engine, *loadReport);
  recordOutcome(attempt, outcome, actualCost);
  const bool mayStillExecute = outcome == AttemptOutcome::timedOut || outcome == AttemptOutcome::reset ||
                               outcome == AttemptOutcome::cancelled ||
                               outcome == AttemptOutcome::connectionAborted;
  if (request.requestClass->ordered && request.key && mayStillExecute)
    orderingQueues_[request.key].heldUntil = now + deployment_.orderingHold;
  if (requestFinished && !request.finished) finishRequest(request);
  if (!request.finished) retryOrReject(request);
  leaveOrderingQueue(request);
  runPeriodicWork();
}

void AdmissionController::onResponseStarted(Duration now, Attempt& attempt) {
  advanceClock(now);
  attempt.request->streaming = true;
  attempt.engine->lastAliveAt = now;
  runPeriodicWork();
}

void AdmissionController::onClientGone(Duration now, Request& request) {
  advanceClock(now);
  if (!request.finished) finishRequest(request);
  leaveOrderingQueue(request);
  runPeriodicWork();
}

void AdmissionController::onProgress(Duration now, Attempt& attempt, ProgressKind kind, double value) {
  advanceClock(now);
  if (kind == ProgressKind::progress && value > attempt.progress) {
    attempt.progress = value, attempt.engine->lastAliveAt = now;
    attempt.engine->nextTrialAt.reset();  // it lives; what it failed is still held against it
  }
  runPeriodicWork();
}

void AdmissionController::onHealthCheckResult(Duration now, Engine& engine, bool answered,
                                              const LoadReport* loadReport) {
  advanceClock(now);
  if (answered && loadReport) applyLoadReport(engine, *loadReport);
  runPeriodicWork();
}

void AdmissionController::onPeerReport(Duration now, unsigned peerIndex,
                                       const std::vector<PeerEngineLoad>& engineLoads) {
  advanceClock(now);
  if (peerIndex >= deployment_.controllerCount || !usesPeerReports()) return;
  for (Engine* engine : engines_) engine->peerLoads[peerIndex] = {0, 0, now};
  for (const PeerEngineLoad& engineLoad : engineLoads)
    engineLoad.engine->peerLoads[peerIndex] = {engineLoad.threads, engineLoad.memoryMb, now};
  for (Engine* engine : engines_) {
    engine->othersThreads = engine->othersMemoryMb = 0;
    engine->othersUpdatedAt = now;
    for (const Engine::PeerLoad& peerLoad : engine->peerLoads) {
      if (now - peerLoad.receivedAt > shortestClass_->latencyObjective * 3)
        continue;  // it is down; what it had out has run dry
      engine->othersThreads += peerLoad.threads;
      engine->othersMemoryMb += peerLoad.memoryMb;
    }
  }
  runPeriodicWork();
}

void AdmissionController::onEndpointUpdate(Duration now, bool isSnapshot, const EndpointRecords& records) {
  advanceClock(now);
  for (Engine* engine : engines_) engine->available = engine->available && !isSnapshot;
  for (const auto& [engine, endpoint] : records) {
    if (std::find(engines_.begin(), engines_.end(), engine) == engines_.end()) {
      // The order is of chance, the larger rather first.
      engine->selectionRank =
          -std::log(1 - 0.999 * drawUniform()) / deployment_.machineTypes[endpoint.machineType].cores;
      const auto ranksLater = [&](const Engine* engineRecord) {
        return engineRecord->selectionRank > engine->selectionRank;
      };
      engines_.insert(std::find_if(engines_.begin(), engines_.end(), ranksLater), engine);
      engine->inFlightByClass.resize(deployment_.requestClasses.size());
      if (usesPeerReports()) engine->peerLoads.resize(deployment_.controllerCount, {0, 0, now});
      const Duration bucketDuration = shortestClass_->latencyObjective * 4 / 7;
      for (auto* window : {&engine->successes, &engine->failures, &engine->rejections,
                           &engine->threadTimeSpent, &engine->workCompleted})
        *window = SlidingWindowSum<double>(bucketDuration);
      engine->warmupWorkSent = SlidingWindowSum<double>(deployment_.warmupWindow / 7 + Duration{1});
    }
    // A process started anew has none of the old one's faults, nor its data sets.
    if (endpoint.startedAt && endpoint.startedAt != engine->endpoint.startedAt) {
      engine->failures.clear(), engine->rejections.clear();
      engine->threadTimeSpent.clear();
      engine->workCompleted.clear();
      engine->cachedDataSets.clear();
      engine->othersThreads = engine->othersMemoryMb = 0;
      engine->nextTrialAt.reset();
    }
    engine->endpoint = endpoint;
    engine->available = endpoint.state == EndpointState::ready;
    updateEffectiveCores(*engine);
  }
  if (deployment_.requiresDiscoveryPolling) nextDiscoveryAt_ = now + deployment_.maxDiscoveryPollInterval / 3;
  runPeriodicWork();
}

void AdmissionController::onDiscoveryFailed(Duration now) {
  advanceClock(now);
  nextDiscoveryAt_ = now + deployment_.maxDiscoveryPollInterval / 8;
  runPeriodicWork();
}

void AdmissionController::onTimer(Duration now) {
  advanceClock(now);
  if (nextTimerAt_ && *nextTimerAt_ <= now) nextTimerAt_.reset();
  runPeriodicWork();
}

// Each gets its final answer before what that frees can start another.
void AdmissionController::rejectAll(Duration now, const std::vector<Request*>& requests) {
  advanceClock(now);
  for (Request* request : requests)
    if (!request->finished) rejectOrFail(*request);
  runPeriodicWork();
}

// ---- the way in -----------------------------------------------------------------------------------------

// Rule 5: jobs of one key run one at a time, in the order taken.
AdmissionController::StageResult AdmissionController::waitForOrder(Request& request) {
  if (!request.requestClass->ordered || !request.key) return StageResult::pass;
  const OrderingQueue& queue = orderingQueues_[request.key];
  if (queue.requests.front() == &request && now_ >= queue.heldUntil) return StageResult::pass;
  queueUntil(request, std::max(now_ + shortestClass_->latencyObjective / 40, queue.heldUntil));
  return StageResult::wait;
}

Duration AdmissionController::computeQueueDeadline(const Request& request) const {
  return std::min(now_ + toDuration(toSeconds(request.requestClass->requestTimeout) * kMaxQueueTimeRatio),
                  request.deadline);
}

// Told to take more than the time left to it, as dispatches go of late: it would keep its threads from jobs
// that can still be done, and its client leaves before the end. How much they are missed goes by how much of
// its mark the engine drawn for it uses: idle threads are missed by nobody, and an estimate may be too high.
// With nothing out it is tried: how dispatches go is learned from them alone.
bool AdmissionController::cannotMeetDeadline(const Request& request, double loadFactor) const {
  const double expectedSeconds =
      request.costTokens / request.requestClass->threads * typicalSlowdown_ * loadFactor;
  return request.declaredCost && threadsInFlight_ > 0 && expectedSeconds > toSeconds(request.deadline - now_);
}

// The design's class checks: a job that fits on no engine is throttled at once, any other may queue.
AdmissionController::StageResult AdmissionController::checkClassLimits(Request& request) {
  if (request.queueDeadline) return StageResult::pass;
  request.queueDeadline = computeQueueDeadline(request);
  const bool fitsAnyEngine = std::any_of(engines_.begin(), engines_.end(), [&](Engine* engine) {
    return engine->available && isPlacementAllowed(request, *engine) && fitsClassLimits(request, *engine);
  });
  return fitsAnyEngine ? StageResult::pass : StageResult::reject;
}

// How many engines this controller looks at. One with thin shares keeps to a part of the fleet of its own,
// the first in its order of chance, as many as the jobs it takes in an SLA time: these it sees afresh.
double AdmissionController::subsetSize() {
  return hasFractionalShares_ ? std::max(kMinSubsetSize, selectionRounds_.sum(now_) / 4)
                              : static_cast<double>(engines_.size());
}

// The best fitting engine: least loaded for its cores, warm, near, not one that has failed this job. Never
// all engines excluded: the doubted count where no sound one may have the job.
Engine* AdmissionController::selectEngine(const Request& request) {
  Engine* bestEngine = nullptr;
  double bestScore = 0;
  bool anyHealthyCandidate = false;
  candidates_.clear();
  for (const bool healthyPass : {true, false}) {
    if (!healthyPass && anyHealthyCandidate) break;
    double remainingLooks = subsetSize();
    for (Engine* engine : engines_) {
      if (remainingLooks <= 0 && !isWarmingUp(*engine)) continue;
      // A trial is a short job, which costs least; a controller that has none sends what it has, later.
      const Duration trialDelay = request.requestClass == shortestClass_
                                      ? Duration{0}
                                      : shortestClass_->latencyObjective * 4 * kTrialIntervalObjectives;
      const bool trialDue = engine->nextTrialAt && now_ >= *engine->nextTrialAt + trialDelay;
      const bool unhealthy = isEjected(*engine) && !trialDue;
      if (!engine->available || unhealthy == healthyPass || !isAttemptAllowed(request, *engine)) continue;
      anyHealthyCandidate = true;
      const Attempt* previousAttempt = nullptr;
      for (const auto& attempt : request.attempts)
        previousAttempt = attempt->engine == engine ? attempt.get() : previousAttempt;
      --remainingLooks;
      if ((previousAttempt && previousAttempt->inFlight) || !fitsClassLimits(request, *engine))
        continue;  // a copy there would share its fate
      const auto& cachedDataSets = engine->cachedDataSets;
      const bool hasCachedDataSet =
          std::find(cachedDataSets.begin(), cachedDataSets.end(), request.dataSet) != cachedDataSets.end();
      // Where many guess alike, the room one job takes would send all to large engines; and what this
      // controller sent last is not what an engine read last.
      const double addedThreads =
          hasFractionalShares_ ? engine->effectiveCores : request.requestClass->threads;
      const double jitter = 1 + 0.1 * drawUniform();
      double engineUtilization = utilization(addedThreads, *engine);
      // Crossing has a price and gains nothing while there is room here: below its mark one elsewhere counts
      // as fuller than it is.
      const double headroom =
          1 +
          (addedThreads - request.requestClass->threads) / (engine->effectiveCores * kTargetThreadsPerCore) -
          engineUtilization;
      if (engine->endpoint.zone != deployment_.zone)
        engineUtilization +=
            std::max(0.0, headroom) * std::min(1.0, kCrossZonePenaltyFactor * deployment_.crossZoneCost);
      double score = engineUtilization * (hasCachedDataSet || hasFractionalShares_ ? 1 : 1.25) *
                     (previousAttempt ? 2 : 1) * jitter * host_.placementBias(request, *engine);
      // A load holds its data set on its engine, and jobs that read it stand still there: on half of the
      // engines, by a hash that all controllers share; what reads goes to the other half.
      if (deployment_.loadsBlockReaders &&
          (request.requestClass->isDataLoad || request.requestClass->waitsForDataLoads)) {
        const std::uint32_t dataSetHash = (engine->number ^ (request.dataSet * 2654435761U)) * 2654435769U;
        if ((dataSetHash >> 31 != 0) != request.requestClass->isDataLoad) score *= 2;
      }
      // One that turns some away costs so many dispatches a job, not the work of those that it takes: left
      // out whole, three of five that did so left theirs to two, which then had too much.
      score *= 1 + engine->rejections.sum(now_) / (engine->successes.sum(now_) + 1);
      if (traceDecisions_)
        candidates_.push_back({engine, score / jitter, score,
                               utilization(request.requestClass->threads, *engine),
                               startProbability(request, *engine)});
      if (bestEngine && score >= bestScore) continue;
      bestEngine = engine;
      bestScore = score;
    }
  }
  return bestEngine;
}

// How much of its mark an engine uses with so many threads more on it.
double AdmissionController::utilization(double addedThreads, Engine& engine) {
  const double totalThreads = engine.threadsInFlight + othersInFlight(engine).threads + addedThreads;
  return totalThreads / (engine.effectiveCores * kTargetThreadsPerCore * adaptiveLimit(engine).factor);
}

// That a job starts at once on an engine drawn for it.
double AdmissionController::startProbability(const Request& request, Engine& engine) {
  if (cannotMeetDeadline(request, utilization(request.requestClass->threads, engine))) return 0;
  const double excess = utilization(admissionThreads(request, engine), engine) - 1;
  const double classThreads = engine.inFlightByClass[request.requestClass->index].threads;
  const bool fitsClassFloor = classThreads + request.requestClass->threads <=
                              classFloorThreads(request, engine, othersInFlight(engine));
  return excess <= 0 || fitsClassFloor ? 1 : request.overQuota ? 0 : std::exp(-16 * excess) / 4;
}

// Start on a fitting engine under the mark, or above it by a falling chance; else draw again a little later.
AdmissionController::StageResult AdmissionController::selectAndStart(Request& request) {
  if (Engine* engine = selectEngine(request)) {
    if (traceDecisions_) host_.traceDecision(request, candidates_);
    const double probability = startProbability(request, *engine);
    if (probability <= 0 && cannotMeetDeadline(request, utilization(request.requestClass->threads, *engine)))
      return StageResult::reject;
    if (probability >= 1 || (!request.overQuota && drawUniform() < probability)) {
      startAttempt(request, *engine);
      return StageResult::pass;
    }
  }
  if (now_ >= *request.queueDeadline || (request.overQuota && request.attempts.empty()) ||
      cannotMeetDeadline(request, 1))
    return StageResult::reject;
  queueUntil(request, std::min(now_ + toDuration(toSeconds(shortestClass_->latencyObjective) / 40 *
                                                 (0.5 + drawUniform())),
                               *request.queueDeadline));
  return StageResult::wait;
}

// No wait outlasts the job: a key that rests past a job's time must not keep it from its answer. Nor is one
// drawn again in the same instant, whatever the settings leave at zero.
void AdmissionController::queueUntil(Request& request, Duration until) {
  if (request.queued)
    std::erase_if(queuedRequests_,
                  [&](const auto& queuedRequest) { return queuedRequest.second == &request; });
  request.queued = true;
  queuedRequests_.emplace(std::max(now_ + std::max(deployment_.tickDuration, Duration{1}),
                                   std::min(until, request.deadline - 2 * deployment_.tickDuration)),
                          &request);
}

// Where nothing can be withdrawn and answers get lost (dispatches ran out of time without a note or an
// answer, which one that runs or waits would have brought), a short dispatch gets a time of its own, so that
// another can still be in time: twice the part of its SLA time that they take of late, 0.6 of it at least.
// One in five gets none: only these tell whether answers are lost still.
Duration AdmissionController::attemptTimeout(const Request& request) {
  const double timeoutRatio = std::max(0.6, 2 * shortestLatencyRatio_);
  const bool canRetry = static_cast<int>(request.attempts.size()) + 1 < deployment_.maxAttempts &&
                        remainingRetryBudget(kEarlyRetryBudgetRatio) >= 1 &&
                        request.requestClass->idempotency == Idempotency::idempotent;
  if (deployment_.allowsCancellation || request.requestClass != shortestClass_ || !canRetry ||
      timeoutRatio >= 1)
    return request.deadline;
  if (lostResponses_.sum(now_) < kMinLostResponses || drawUniform() < 0.2) return request.deadline;
  return std::min(request.deadline, now_ + toDuration(timeoutRatio * latencyObjectiveSeconds(request)));
}

void AdmissionController::startAttempt(Request& request, Engine& engine) {
  auto attempt = std::make_unique<Attempt>();
  attempt->request = &request;
  attempt->engine = &engine;
  attempt->index = static_cast<std::uint8_t>(request.attempts.size());
  attempt->sentAt = now_;
  attempt->zone = engine.endpoint.zone, attempt->cell = engine.endpoint.cell;
  attempt->timesOutAt = attemptTimeout(request);
  attempt->threads = request.requestClass->threads;
  attempt->costTokens = request.costTokens;
  const double memoryGrant = memoryGrantMb(request, engine);
  attempt->memoryMb =
      deployment_.allowsMemoryOvercommit || memoryGrant <= 0 ? estimateMemoryMb(request) : memoryGrant;
  InFlightLoad& classLoad = engine.inFlightByClass[request.requestClass->index];
  classLoad.threads += attempt->threads;
  classLoad.costTokens += attempt->costTokens;
  engine.threadsInFlight += attempt->threads;
  engine.memoryInFlightMb += attempt->memoryMb;
  threadsInFlight_ += attempt->threads;
  shortestClassThreads_ += request.requestClass == shortestClass_ ? attempt->threads : 0;
  if (!hasLoadReports_)
    othersThreadsPerCore_ =
        std::max(othersThreadsPerCore_,
                 estimateOthersShare(threadsInFlight_ / kTargetThreadsPerCore));  // no burst after a stall
  engine.warmupWorkSent.add(now_, warmupCost(request));
  attemptsStarted_.add(now_, 1);
  if (!request.attempts.empty()) retries_.add(now_, 1);
  if (deployment_.honorsMemoryGrants || deployment_.honorsPriorities)
    host_.assignResources(request, memoryGrant, requestPriority(request));
  auto& cachedDataSets = engine.cachedDataSets;
  cachedDataSets.erase(std::remove(cachedDataSets.begin(), cachedDataSets.end(), request.dataSet),
                       cachedDataSets.end());
  cachedDataSets.insert(cachedDataSets.begin(), request.dataSet);
  if (cachedDataSets.size() > 3) cachedDataSets.pop_back();
  if (engine.nextTrialAt)
    engine.nextTrialAt = now_ + shortestClass_->latencyObjective * kTrialIntervalObjectives;
  inFlightAttempts_.push_back(attempt.get());
  engine.inFlightAttempts.push_back(attempt.get());
  request.attempts.push_back(std::move(attempt));
  host_.sendAttempt(*request.attempts.back());
}

// ---- the way back ---------------------------------------------------------------------------------------

void AdmissionController::releaseCapacity(Attempt& attempt) {
  Engine& engine = *attempt.engine;
  attempt.inFlight = false;
  InFlightLoad& classLoad = engine.inFlightByClass[attempt.request->requestClass->index];
  classLoad.threads -= attempt.threads;
  classLoad.costTokens -= attempt.costTokens;
  engine.threadsInFlight -= attempt.threads;
  engine.memoryInFlightMb -= attempt.memoryMb;
  threadsInFlight_ -= attempt.threads;
  shortestClassThreads_ -= attempt.request->requestClass == shortestClass_ ? attempt.threads : 0;
  std::erase(engine.inFlightAttempts, &attempt);
  std::erase(inFlightAttempts_, &attempt);
}

void AdmissionController::recordOutcome(Attempt& attempt, AttemptOutcome outcome,
                                        const std::optional<ActualCost>& actualCost) {
  Engine& engine = *attempt.engine;
  const Request& request = *attempt.request;
  ClassStatistics& statistics = classStatistics_[request.requestClass->index];
  // A bad connection is no bad engine: peers spoil what any engine says, and a reset takes all along that was
  // out there, which is one sign, not many. An engine that has died is told by what is dispatched next.
  if (outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::neverSent ||
      outcome == AttemptOutcome::connectionAborted)
    return;
  const auto previousResetAt =
      outcome == AttemptOutcome::reset ? std::exchange(engine.lastResetAt, now_) : std::nullopt;
  if (previousResetAt && now_ - *previousResetAt < deployment_.tickDuration) return;
  if (request.requestClass == shortestClass_ &&
      (outcome == AttemptOutcome::completed || outcome == AttemptOutcome::timedOut))
    shortestLatencyRatio_ +=
        (std::min(1.0, observedAge(attempt) / latencyObjectiveSeconds(request)) - shortestLatencyRatio_) / 50;
  // No answer and no note though time for one has passed, from an engine that has answered what was sent
  // later: the answer was lost, which is no fault of its and does not show it full.
  const bool hadEarlyTimeout = attempt.timesOutAt < request.deadline;
  const bool progressExpected = deployment_.progressInterval > Duration{0} &&
                                observedAge(attempt) > toSeconds(deployment_.progressInterval);
  if (outcome == AttemptOutcome::timedOut &&
      (hadEarlyTimeout || (progressExpected && attempt.progress <= 0))) {
    if (!hadEarlyTimeout) lostResponses_.add(now_, 1);
    if (engine.lastAliveAt && *engine.lastAliveAt > attempt.sentAt) return;
    if (hadEarlyTimeout) return engine.failures.add(now_, 1);
  }
  // Nor does it tell of an engine that a job was not done whose client gave it less than its own work takes.
  if (outcome == AttemptOutcome::timedOut &&
      observedAge(attempt) < request.costTokens / request.requestClass->threads)
    return;
  adjustConcurrencyLimit(attempt, outcome);
  if (outcome != AttemptOutcome::completed) {
    (outcome == AttemptOutcome::rejected ? engine.rejections : engine.failures).add(now_, 1);
    // Turned away, or not answered in all its time: as good as a report of a full engine.
    if (engine.othersUpdatedAt &&
        (outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::timedOut)) {
      const MachineType& machineType = deployment_.machineTypes[engine.endpoint.machineType];
      engine.othersThreads = machineType.cores * kTargetThreadsPerCore * kTargetThreadsPerCore;
      engine.othersMemoryMb = machineType.memoryMb;
      engine.othersUpdatedAt = now_;
    }
    return;
  }
  engine.successes.add(now_, 1);
  engine.lastAliveAt = now_, engine.nextTrialAt.reset();
  const double threadSeconds = observedAge(attempt) * attempt.threads;
  residencyTime_ = residencyTime_ * 0.99 + threadSeconds / attempt.threads;
  residencySquared_ = residencySquared_ * 0.99 + threadSeconds * threadSeconds / attempt.threads;
  residencyThreadTime_ = residencyThreadTime_ * 0.99 + threadSeconds;
  residencyMemory_ = residencyMemory_ * 0.99 + threadSeconds / attempt.threads * attempt.memoryMb;
  engine.threadTimeSpent.add(now_, threadSeconds);
  engine.workCompleted.add(now_, actualCost ? actualCost->threadSeconds : request.costTokens);
  const double declaredSeconds = request.declaredCost ? toSeconds(*request.declaredCost) : threadSeconds;
  updateMean(statistics.meanCost, statistics.costSampleCount,
             actualCost ? actualCost->threadSeconds : declaredSeconds);
  if (actualCost && request.declaredCost)
    updateMean(statistics.costBias, statistics.costBiasSampleCount,
               actualCost->threadSeconds / declaredSeconds);
  const double declaredMemoryMb = request.declaredMemoryMb;
  if (actualCost || declaredMemoryMb > 0)
    updateMean(statistics.meanMemoryMb, statistics.memorySampleCount,
               actualCost ? actualCost->memoryMb : declaredMemoryMb);
  if (actualCost && declaredMemoryMb > 0)
    updateMean(statistics.memoryBias, statistics.memoryBiasSampleCount,
               actualCost->memoryMb / declaredMemoryMb);
}

// The mark is fixed in the design; under shared slowness, or where engines thrash below it, it shrinks here
// while dispatches take longer than their SLA time, and grows back while they do not.
void AdmissionController::adjustConcurrencyLimit(Attempt& attempt, AttemptOutcome outcome) {
  Engine& engine = *attempt.engine;
  AdaptiveLimit& limit = adaptiveLimit(engine);
  const bool missedObjective =
      outcome == AttemptOutcome::timedOut || observedAge(attempt) > latencyObjectiveSeconds(*attempt.request);
  if (outcome == AttemptOutcome::completed && !missedObjective) {
    limit.factor = std::min(1.0, limit.factor + kLimitIncreaseStep * attempt.threads / engine.effectiveCores);
  } else if (missedObjective && (!limit.reducedAt || *limit.reducedAt < attempt.sentAt)) {
    limit.factor = std::max(kMinLimitFactor, limit.factor * kLimitDecreaseFactor);
    limit.reducedAt = now_;
  }
}

// A dispatch has come back without an answer: another one if the rules and the time left allow it.
void AdmissionController::retryOrReject(Request& request) {
  if (request.inFlightCount() > 0 || request.queued) return;
  const bool objectiveMissed = toSeconds(now_ - request.arrivedAt) > latencyObjectiveSeconds(request) &&
                               request.requestClass->lateWeight <= 0;
  const bool retryPossible = std::any_of(engines_.begin(), engines_.end(), [&](const Engine* engine) {
    return engine->available && isRetrySafe(request, *engine) && isPlacementAllowed(request, *engine);
  });
  if (objectiveMissed || !retryPossible || !canAttempt(request) ||
      now_ + deployment_.tickDuration >= request.deadline)
    return rejectOrFail(request);
  request.queueDeadline = computeQueueDeadline(request);
  request.randomDraw = drawUniform();
  selectionRounds_.add(now_, 1);
  runStages(request);
}

// The final answer goes out at once, with a time to come back where the rules let the client try again.
void AdmissionController::rejectOrFail(Request& request) {
  const Duration desiredRetryAfter = toDuration(latencyObjectiveSeconds(request) / 4 * (0.5 + drawUniform()));
  const Duration retryAfter =
      deployment_.honorsRetryAfter ? std::min(desiredRetryAfter, deployment_.maxRetryAfter) : Duration{0};
  // What has not left (its connection is still dialled) can be kept from leaving, and is then proven unrun.
  for (const auto& attempt : request.attempts)
    if (attempt->inFlight && !isRejectionSafe(request, retryAfter))
      attempt->provenNotExecuted = host_.recall(*attempt);
  const bool rejectionSafe = isRejectionSafe(request, retryAfter);
  finishRequest(request);
  rejectionSafe ? host_.reject(request, retryAfter) : host_.fail(request);
  leaveOrderingQueue(request);
}

void AdmissionController::finishRequest(Request& request) {
  request.finished = true;
  if (request.queued)
    std::erase_if(queuedRequests_,
                  [&](const auto& queuedRequest) { return queuedRequest.second == &request; });
  request.queued = false;
  if (!deployment_.allowsCancellation || request.streaming) return;
  for (const auto& attempt : request.attempts)
    if (attempt->inFlight) host_.cancel(*attempt);
}

void AdmissionController::leaveOrderingQueue(Request& request) {
  if (!request.finished || request.inFlightCount() > 0 || !request.requestClass->ordered || !request.key)
    return;
  const auto queue = orderingQueues_.find(request.key);
  if (queue == orderingQueues_.end()) return;
  std::deque<Request*>& requests = queue->second.requests;
  std::erase(requests, &request);
  if (!requests.empty() && requests.front()->queued) queueUntil(*requests.front(), queue->second.heldUntil);
}

// ---- the seven rules ------------------------------------------------------------------------------------

bool AdmissionController::isAttemptAllowed(const Request& request, Engine& engine) {
  return canAttempt(request) && engine.available && isRetrySafe(request, engine) &&
         isPlacementAllowed(request, engine) && isWithinRetryBudget(request) &&
         isWithinWarmupBudget(request, engine);
}

// Rule 1, and the site's most dispatches.
bool AdmissionController::canAttempt(const Request& request) const {
  return !request.finished && !request.streaming && now_ < request.deadline &&
         static_cast<int>(request.attempts.size()) < deployment_.maxAttempts;
}

// Rule 2.
bool AdmissionController::isRetrySafe(const Request& request, const Engine& engine) const {
  if (!deployment_.allowsHedging && request.inFlightCount() > 0) return false;
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const auto& attempt) {
    if (attempt->provenNotExecuted || request.requestClass->idempotency == Idempotency::idempotent)
      return true;
    if (request.requestClass->idempotency == Idempotency::notIdempotent) return false;
    if (now_ + deployment_.tickDuration - attempt->sentAt >= request.requestClass->idempotencyWindow)
      return false;
    if (request.requestClass->retryScope == RetryScope::sameZone)
      return attempt->zone == engine.endpoint.zone;
    if (request.requestClass->retryScope == RetryScope::sameCell)
      return attempt->cell == engine.endpoint.cell;
    return true;
  });
}

// The client tries again once it may come back, which has to be within the window as well.
bool AdmissionController::isRejectionSafe(const Request& request, Duration retryAfter) const {
  if (request.requestClass->idempotency == Idempotency::idempotent) return true;
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const auto& attempt) {
    return attempt->provenNotExecuted || (request.requestClass->idempotency == Idempotency::idempotentByKey &&
                                          request.requestClass->retryScope == RetryScope::anyEngine &&
                                          now_ + deployment_.tickDuration + retryAfter - attempt->sentAt <
                                              request.requestClass->idempotencyWindow);
  });
}

// Rule 6.
bool AdmissionController::isPlacementAllowed(const Request& request, const Engine& engine) const {
  const auto isAllowed = [](const std::optional<std::vector<unsigned>>& allowed, unsigned value) {
    return !allowed || std::find(allowed->begin(), allowed->end(), value) != allowed->end();
  };
  return isAllowed(request.requestClass->allowedZones, engine.endpoint.zone) &&
         isAllowed(request.requestClass->allowedMachineTypes, engine.endpoint.machineType);
}

bool AdmissionController::isWarmingUp(const Engine& engine) const {
  return engine.endpoint.startedAt && now_ - *engine.endpoint.startedAt < deployment_.warmupTime;
}

// Rule 4: this controller's part of what all together may send a cold engine in any window. The engine counts
// as no warmer than at its start. A part that holds no whole job is rounded by chance: one draw a job, so
// that waiting wins nothing, and only for jobs so small against what the engine can do at its start that the
// sum keeps close to what is expected.
bool AdmissionController::isWithinWarmupBudget(const Request& request, Engine& engine) {
  if (!isWarmingUp(engine) || deployment_.warmupOverloadRatio <= 0) return true;
  const double machineCores = deployment_.machineTypes[engine.endpoint.machineType].cores,
               cost = warmupCost(request);
  const double initialCapacity =
      deployment_.initialCapacityRatio * machineCores * toSeconds(deployment_.warmupWindow);
  const double controllerShare =
      initialCapacity * deployment_.warmupOverloadRatio * kWarmupSafetyFactor / deployment_.controllerCount;
  if (cost <= controllerShare) return engine.warmupWorkSent.sum(now_) + cost <= controllerShare;
  const double observedSeconds =
      std::min(toSeconds(now_ - startedAt_), toSeconds(shortestClass_->latencyObjective) * 3.5);
  const double expectedDemand = (selectionRounds_.sum(now_) + 1) / std::max(observedSeconds, 1e-3) * cost *
                                toSeconds(deployment_.warmupWindow);
  const double engineDraw = std::fmod(request.randomDraw + engine.selectionRank * machineCores * 64, 1);
  return cost * kMinWarmupRequests <= initialCapacity && engineDraw * expectedDemand < controllerShare;
}

// A job counts as what it is told to take, its type's usual work at least: the usual, learned from a few
// answers, may be a tenth of what is. Where jobs tell nothing, no less than at the start until more have
// come.
double AdmissionController::warmupCost(const Request& request) const {
  const RequestClass& requestClass = *request.requestClass;
  const bool costKnown =
      request.declaredCost || classStatistics_[requestClass.index].costSampleCount >= kMinCostSamples;
  return std::max({meanCost(requestClass), request.costTokens,
                   costKnown ? 0 : toSeconds(requestClass.latencyObjective) * requestClass.threads});
}

// Rule 7.
bool AdmissionController::isWithinRetryBudget(const Request& request) {
  if (request.attempts.empty() || deployment_.retryBudgetWindow <= Duration{0}) return true;
  return remainingRetryBudget(1) >= 1;
}

double AdmissionController::remainingRetryBudget(double budgetRatio) {
  const double budget = deployment_.retryBudgetMin + deployment_.retryBudgetRatio * arrivals_.sum(now_);
  return deployment_.retryBudgetWindow > Duration{0} ? budgetRatio * budget - retries_.sum(now_)
                                                     : deployment_.maxAttempts;
}

// ---- what an engine can take ----------------------------------------------------------------------------

// A cold or slow engine counts for less. Slow is meant against the others: all slow together are not ill.
double AdmissionController::updateEffectiveCores(Engine& engine) {
  double& cores = engine.effectiveCores = deployment_.machineTypes[engine.endpoint.machineType].cores;
  if (isWarmingUp(engine)) {
    const double warmupProgress =
        toSeconds(now_ - *engine.endpoint.startedAt) / toSeconds(deployment_.warmupTime);
    cores *= deployment_.initialCapacityRatio +
             (1 - deployment_.initialCapacityRatio) * std::clamp(warmupProgress, 0.0, 1.0);
  }
  const double slowdown = slowdownFactor(engine);
  if (slowdown / typicalSlowdown_ > 1.5) cores /= slowdown / typicalSlowdown_;
  return slowdown;
}

// Threads for the work done, with what is out and overdue counted as it stands.
double AdmissionController::slowdownFactor(Engine& engine) {
  double threadSeconds = engine.threadTimeSpent.sum(now_), workSeconds = engine.workCompleted.sum(now_);
  for (const Attempt* inFlightAttempt : engine.inFlightAttempts) {
    const double elapsed = observedAge(*inFlightAttempt) * inFlightAttempt->threads;
    if (elapsed > inFlightAttempt->costTokens * 2 * typicalSlowdown_) {
      threadSeconds += elapsed;
      workSeconds += inFlightAttempt->costTokens;
    }
  }
  const double priorWork = meanCost(*shortestClass_) * 2;
  return (threadSeconds + priorWork * typicalSlowdown_) / (workSeconds + priorWork);
}

// What the other controllers have on an engine. A report or a peer's word fades into what is known of the
// whole fleet as what the engine held runs off: one seen idle is soon as full as any, one seen full stays so
// for long, but is not shut out for good because nobody looks again.
InFlightLoad AdmissionController::othersInFlight(Engine& engine) {
  const MachineType& machineType = deployment_.machineTypes[engine.endpoint.machineType];
  const double reportAge = engine.othersUpdatedAt ? toSeconds(now_ - *engine.othersUpdatedAt) : 99;
  const double decaySeconds =
      engine.othersThreads / machineType.cores * residencySquared_ / residencyThreadTime_;
  const double reportWeight = std::exp(-reportAge / std::max(decaySeconds, 1e-3));
  const auto interpolate = [&](double reported, double fleetMean) {
    return reportWeight * reported + (1 - reportWeight) * fleetMean;
  };
  const double fleetWeight = isWarmingUp(engine) ? 0 : 1;  // what all send a cold one is rationed already
  return {interpolate(engine.othersThreads, othersThreadsPerCore_ * fleetWeight * machineType.cores), 0,
          interpolate(engine.othersMemoryMb, othersMemoryRatio_ * fleetWeight * machineType.memoryMb)};
}

// The share of the mark, or all that the others are seen to leave of it: a busy controller among light ones
// passes its share below the mark.
double AdmissionController::threadLimit(Engine& engine, const InFlightLoad& othersLoad) {
  const double engineLimit =
      engine.effectiveCores * kTargetThreadsPerCore * adaptiveLimit(engine).factor * kLimitToTargetRatio;
  const double fairShare = engineLimit / deployment_.controllerCount;
  return std::max(fairShare, engineLimit - othersLoad.threads);
}

// The floor of the shortest type holds one job at least, however thin the share, but on no engine that all
// together are told to have filled past any bound, nor, untold, past this controller's part of all marks.
double AdmissionController::classFloorThreads(const Request& request, Engine& engine,
                                              const InFlightLoad& othersLoad) {
  const double floor = classFloors_[request.requestClass->index] * threadLimit(engine, othersLoad),
               requestedThreads = request.requestClass->threads;
  const bool limitReached = hasLoadReports_
                                ? othersLoad.threads + engine.threadsInFlight + requestedThreads >
                                      engine.effectiveCores * kTargetThreadsPerCore * kLimitToTargetRatio
                                : shortestClassThreads_ + requestedThreads >
                                      totalCores_ * kTargetThreadsPerCore / deployment_.controllerCount;
  return request.requestClass != shortestClass_ || limitReached ? floor : std::max(floor, requestedThreads);
}

// Threads that a job counts for where it asks to be let in: of a mark no more than is no floor, so that an
// engine that is all but idle takes any.
double AdmissionController::admissionThreads(const Request& request, const Engine& engine) const {
  return std::min(request.admissionThreads, std::max<double>(request.requestClass->threads,
                                                             engine.effectiveCores * kTargetThreadsPerCore *
                                                                 (1 - kTotalClassFloorRatio)));
}

// Floors first, then the shared remainder, in threads and in tokens.
bool AdmissionController::fitsClassLimits(const Request& request, Engine& engine) {
  const MachineType& machineType = deployment_.machineTypes[engine.endpoint.machineType];
  const std::size_t classIndex = request.requestClass->index;
  const InFlightLoad othersLoad = othersInFlight(engine);
  const double engineThreadLimit = threadLimit(engine, othersLoad);
  const double costTokenLimit = engineThreadLimit / kTargetThreadsPerCore * costTokenHorizon_;
  // A type with nothing in flight here may start one job below the mark: else a share thinner than a wide
  // job, or a budget smaller than a dear one, would shut it out for good.
  const double concurrencyTarget =
                   engine.effectiveCores * kTargetThreadsPerCore * adaptiveLimit(engine).factor,
               requestedThreads = admissionThreads(request, engine);
  const bool mayStartAlone =
      engine.inFlightByClass[classIndex].threads <= 0 &&
      (othersLoad.threads <= 0 ||
       engine.threadsInFlight + othersLoad.threads + requestedThreads <= concurrencyTarget);
  const InFlightLoad& ownLoad = engine.inFlightByClass[classIndex];
  const bool fitsClassFloor =
      ownLoad.threads + request.requestClass->threads <= classFloorThreads(request, engine, othersLoad) &&
      (ownLoad.threads <= 0 ||
       ownLoad.costTokens + request.costTokens <= classFloors_[classIndex] * costTokenLimit);
  if (!mayStartAlone && !fitsClassFloor) {
    double borrowedThreads = 0, borrowedTokens = 0;
    for (std::size_t index = 0; index < classFloors_.size(); ++index) {
      const InFlightLoad& classLoad = engine.inFlightByClass[index];
      const double requestedFactor = index == classIndex ? 1 : 0;
      borrowedThreads += std::max(0.0, classLoad.threads + requestedFactor * requestedThreads -
                                           classFloors_[index] * engineThreadLimit);
      borrowedTokens += std::max(0.0, classLoad.costTokens + requestedFactor * request.costTokens -
                                          classFloors_[index] * costTokenLimit);
    }
    const double classCeiling = request.requestClass->isDataLoad ? kDataLoadCeiling : 1;
    if (ownLoad.threads + requestedThreads > classCeiling * engineThreadLimit) return false;
    if (ownLoad.costTokens + request.costTokens > classCeiling * costTokenLimit) return false;
    if (std::max(borrowedThreads / engineThreadLimit, borrowedTokens / costTokenLimit) >
        1 - kTotalClassFloorRatio)
      return false;
  }
  // Grants past the memory make the engine page, or its queue stand: they count like threads. A job that
  // needs under half its threads' part does not crowd it; an engine far past its memory is left alone by all.
  const double neededMemoryMb = estimateMemoryMb(request),
               usedMemoryMb = engine.memoryInFlightMb + othersLoad.memoryMb;
  const double fairMemoryMb =
      machineType.memoryMb * request.requestClass->threads / (machineType.cores * kTargetThreadsPerCore) / 2;
  if (machineType.memoryMb <= 0 || usedMemoryMb <= 0) return true;
  return usedMemoryMb + neededMemoryMb <=
         machineType.memoryMb *
             (neededMemoryMb <= fairMemoryMb ? kEngineMemoryGrantRatio : kMaxMemoryUtilization);
}

// Doubted: it failed much of late, or holds overdue work and has shown no sign of life since that was sent.
// From then on it gets one short job a pause as a trial, until one comes back done.
bool AdmissionController::isEjected(Engine& engine) {
  const double failureCount = engine.failures.sum(now_), successCount = engine.successes.sum(now_);
  bool unhealthy =
      (failureCount >= 2 && failureCount > kEjectionFailureRatio * (failureCount + successCount)) ||
      engine.rejections.sum(now_) > kMaxRejectionsPerSuccess * (successCount + 1);
  for (const Attempt* inFlightAttempt : engine.inFlightAttempts) {
    const bool noSignOfLife = !engine.lastAliveAt || *engine.lastAliveAt < inFlightAttempt->sentAt;
    unhealthy = unhealthy || (noSignOfLife && observedAge(*inFlightAttempt) >
                                                  latencyObjectiveSeconds(*inFlightAttempt->request));
  }
  if (unhealthy && !engine.nextTrialAt)
    engine.nextTrialAt = now_ + shortestClass_->latencyObjective * kTrialIntervalObjectives;
  return engine.nextTrialAt.has_value();
}

// ---- estimates ------------------------------------------------------------------------------------------

double AdmissionController::meanCost(const RequestClass& requestClass) const {
  return classStatistics_[requestClass.index].meanCost;
}

double AdmissionController::latencyObjectiveSeconds(const Request& request) const {
  const double objective =
      toSeconds(request.requestClass->latencyObjective) +
      request.requestClass->latencyObjectiveCostFactor * request.costTokens / request.requestClass->threads;
  return std::min(objective, toSeconds(request.deadline -
                                       request.arrivedAt));  // a client that leaves early is late early
}

// Memory a job will be granted. Until a type's need is known a wide job counts as its threads' part.
double AdmissionController::estimateMemoryMb(const Request& request) const {
  const ClassStatistics& statistics = classStatistics_[request.requestClass->index];
  if (request.declaredMemoryMb > 0) return request.declaredMemoryMb * statistics.memoryBias;
  if (statistics.memorySampleCount > 0)
    return statistics.meanMemoryMb * (deployment_.honorsMemoryGrants ? 1 : kEngineMemoryGrantRatio);
  const MachineType& machineType = deployment_.machineTypes.front();
  const bool isWide = request.requestClass->threads > shortestClass_->threads;
  return isWide ? machineType.memoryMb * request.requestClass->threads /
                      (machineType.cores * kTargetThreadsPerCore)
                : 0;
}

// Where only memory in use slows an engine, what a grant has over the need costs nobody, and one below it
// makes the job spill and do its work several times: the most that one job gets. Where grants take memory
// from others and the need is known, by answers or as well as it ever will be, a little over it, and of what
// is free there its threads' part: an estimate may be too low. Elsewhere the engine's own choice.
double AdmissionController::memoryGrantMb(const Request& request, Engine& engine) {
  const ClassStatistics& statistics = classStatistics_[request.requestClass->index];
  if (deployment_.honorsMemoryGrants && deployment_.allowsMemoryOvercommit)
    return deployment_.maxMemoryGrantMb;
  const bool needKnown = statistics.memoryBiasSampleCount >= 10 || deployment_.lacksCostReports;
  if (!needKnown || !deployment_.honorsMemoryGrants || request.declaredMemoryMb <= 0) return 0;
  const double neededMemoryMb = estimateMemoryMb(request),
               machineMemoryMb = deployment_.machineTypes[engine.endpoint.machineType].memoryMb;
  const double freeMemoryMb = std::max(
      0.0, machineMemoryMb - engine.memoryInFlightMb - othersInFlight(engine).memoryMb - neededMemoryMb);
  const double shareMb =
      freeMemoryMb * request.requestClass->threads /
      (deployment_.machineTypes[engine.endpoint.machineType].cores * kTargetThreadsPerCore);
  return std::clamp(neededMemoryMb + shareMb, neededMemoryMb * kMinMemoryGrantRatio,
                    neededMemoryMb * kMaxMemoryGrantRatio);
}

int AdmissionController::requestPriority(const Request& request) const {
  return request.requestClass == shortestClass_                     ? 3
         : request.costTokens < meanCost(*request.requestClass) / 2 ? 2
                                                                    : 1;
}

// A report is from a while back: what was sent since is not in it, and must not be taken off it as own.
void AdmissionController::applyLoadReport(Engine& engine, const LoadReport& loadReport) {
  if ((!loadReport.requestsInFlight && !loadReport.cpuUtilization) || usesPeerReports()) return;
  double requestCount = 0, ownThreads = 0, ownMemoryMb = 0;
  for (const Attempt* inFlightAttempt : engine.inFlightAttempts) {
    if (now_ - inFlightAttempt->sentAt < shortestClass_->latencyObjective) continue;
    requestCount += 1;
    ownThreads += inFlightAttempt->threads;
    ownMemoryMb += inFlightAttempt->memoryMb;
  }
  const MachineType& machineType = deployment_.machineTypes[engine.endpoint.machineType];
  const double grantedMemoryMb = loadReport.memoryGrantedRatio.value_or(0) * machineType.memoryMb;
  // An engine whose cores or disks are busy all the time stands at its mark, as far as is told.
  const double engineBusyRatio =
      std::max(loadReport.cpuUtilization.value_or(0), loadReport.diskUtilization.value_or(0));
  engine.othersThreads =
      loadReport.requestsInFlight
          ? std::max(0.0, *loadReport.requestsInFlight - requestCount) * residencyThreadTime_ / residencyTime_
          : std::max(0.0, engineBusyRatio * machineType.cores * kTargetThreadsPerCore - ownThreads);
  engine.othersMemoryMb = loadReport.memoryGrantedRatio
                              ? std::max(0.0, grantedMemoryMb - ownMemoryMb)
                              : engine.othersThreads * residencyMemory_ / residencyThreadTime_;
  engine.othersUpdatedAt =
      now_ == stallEndedAt_ ? now_ - stallDuration_ : now_;  // it may have waited as long
}

// ---- by the clock ---------------------------------------------------------------------------------------

void AdmissionController::updateStatistics() {
  if (now_ < nextStatisticsAt_) return;
  nextStatisticsAt_ = now_ + shortestClass_->latencyObjective / 8;
  ownThreadSamples_.add(now_, threadsInFlight_);
  std::vector<double> slowdowns;
  double othersThreads = 0, othersMemoryMb = 0, reportedCores = 0, reportedMemoryMb = 0;
  totalCores_ = 0;
  for (Engine* engine : engines_) {
    if (!engine->available) continue;
    totalCores_ += deployment_.machineTypes[engine->endpoint.machineType].cores;
    const double slowdown = updateEffectiveCores(*engine);
    const bool ejected = isEjected(*engine);
    if (ejected != engine->ejectionLogged)
      host_.log("engine " + std::to_string(engine->number) + (ejected ? " doubted" : " trusted"));
    engine->ejectionLogged = ejected;
    if (engine->workCompleted.sum(now_) > 0) slowdowns.push_back(slowdown);
    hasLoadReports_ = hasLoadReports_ || engine->othersUpdatedAt;
    if (!engine->othersUpdatedAt ||
        now_ - *engine->othersUpdatedAt > shortestClass_->latencyObjective * kLoadReportMaxAgeObjectives)
      continue;
    othersThreads += engine->othersThreads;
    othersMemoryMb += engine->othersMemoryMb;
    reportedCores += deployment_.machineTypes[engine->endpoint.machineType].cores;
    reportedMemoryMb += std::max(1.0, deployment_.machineTypes[engine->endpoint.machineType].memoryMb);
  }
  if (reportedCores > 0) {
    othersThreadsPerCore_ = othersThreads / reportedCores;
    othersMemoryRatio_ = othersMemoryMb / reportedMemoryMb;
  } else if (hasLoadReports_) {
    // Who sheds by an old word hears no new one: it fades, more slowly than what the fleet held runs off.
    const double decaySeconds = std::max(
        1e-3, kOthersLoadDecayMultiple * othersThreadsPerCore_ * residencySquared_ / residencyThreadTime_);
    const double decay = std::exp(-toSeconds(shortestClass_->latencyObjective) / 8 / decaySeconds);
    othersThreadsPerCore_ *= decay, othersMemoryRatio_ *= decay;
  } else {
    // Nobody tells of the others: they do as this one did over a while. Its memory out is too little to tell.
    othersThreadsPerCore_ =
        estimateOthersShare(ownThreadSamples_.sum(now_) / 32);  // so many looks are summed
  }
  if (!slowdowns.empty()) {
    std::nth_element(slowdowns.begin(), slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2),
                     slowdowns.end());
    typicalSlowdown_ = std::max(0.1, slowdowns[slowdowns.size() / 2]);
  }
  costTokenHorizon_ = 0;
  for (const RequestClass& requestClass : deployment_.requestClasses) {
    const double meanStretch =
        requestClass.latencyObjectiveCostFactor * meanCost(requestClass) / requestClass.threads;
    costTokenHorizon_ = std::max(
        costTokenHorizon_, kCostTokenHorizonRatio * (toSeconds(requestClass.latencyObjective) + meanStretch));
  }
  std::erase_if(orderingQueues_, [&](const auto& entry) {
    return entry.second.requests.empty() && now_ >= entry.second.heldUntil;
  });
  hedgeOrCancelStragglers();
  sendPeerReport();
  checkStaleEngines();
  // Where the list must be asked for, one long unasked counts as told of all listed since: ask in time.
  if (!deployment_.requiresDiscoveryPolling || now_ < nextDiscoveryAt_) return;
  nextDiscoveryAt_ = now_ + deployment_.maxDiscoveryPollInterval / 3;
  host_.requestEndpoints();
}

// Where only probes bring load reports and no peer tells, an engine is probed when its last report has aged
// (of a thin share's part of the fleet, more rarely), one probe for two jobs at most. So each controller sees
// other engines afresh than the next: where all saw the same idle one, all went there until the next probe.
void AdmissionController::checkStaleEngines() {
  if (!deployment_.reportsLoadOnHealthCheck || !deployment_.allowsHealthChecks || usesPeerReports() ||
      deployment_.controllerCount < 2)
    return;
  const Duration maxAge =
      shortestClass_->latencyObjective * kLoadReportMaxAgeObjectives * (hasFractionalShares_ ? 2 : 1);
  double remainingLooks = subsetSize();
  for (Engine* engine : engines_) {
    if (--remainingLooks < 0 || 2 * healthChecks_.sum(now_) >= selectionRounds_.sum(now_)) return;
    const auto isRecent = [&](const std::optional<Duration>& checkedAt) {
      return checkedAt && now_ - *checkedAt < maxAge;
    };
    if (!engine->available || isRecent(engine->othersUpdatedAt) || isRecent(engine->healthCheckSentAt))
      continue;
    engine->healthCheckSentAt = now_;
    healthChecks_.add(now_, 1);
    host_.sendHealthCheck(*engine);
  }
}

// A dispatch far behind what its job should take (a bad plan, an engine that hangs or crawls, an answer lost)
// is withdrawn while another can still answer in time. Where an estimate is the only evidence it is left
// alone, and a second copy sent if the site allows one: to an engine under its mark, and a few in a hundred
// jobs at most.
void AdmissionController::hedgeOrCancelStragglers() {
  const std::vector<Attempt*> attempts = inFlightAttempts_;
  for (Attempt* attempt : attempts) {
    Request& request = *attempt->request;
    if (attempt->cancelled || request.finished || request.streaming ||
        request.requestClass->idempotency == Idempotency::notIdempotent || !canAttempt(request))
      continue;
    const double expectedSeconds = std::max(request.costTokens, meanCost(*request.requestClass) / 4) /
                                   request.requestClass->threads * typicalSlowdown_;
    const double elapsedSeconds = observedAge(*attempt);
    const double remainingSeconds =
        attempt->progress > 0 ? elapsedSeconds / attempt->progress - elapsedSeconds : elapsedSeconds;
    if (toSeconds(request.deadline - now_) < 2 * expectedSeconds) continue;
    if (deployment_.allowsCancellation &&
        (deployment_.progressInterval > Duration{0} || isEjected(*attempt->engine))) {
      const bool progressIsSlow = attempt->progress > 0 &&
                                  elapsedSeconds > expectedSeconds * kStragglerMultiple / 2 &&
                                  remainingSeconds > expectedSeconds * kStragglerMultiple;
      if (!progressIsSlow &&
          (elapsedSeconds < kStragglerMultiple * expectedSeconds || remainingSeconds < 2 * expectedSeconds))
        continue;
      attempt->cancelled = true;
      host_.cancel(*attempt);
    } else if (deployment_.allowsHedging && request.requestClass == shortestClass_ &&
               request.inFlightCount() == 1 && elapsedSeconds > latencyObjectiveSeconds(request) / 2 &&
               elapsedSeconds > expectedSeconds * kStragglerMultiple / 2 &&
               hedges_.sum(now_) < kMaxHedgeRatio * attemptsStarted_.sum(now_)) {
      Engine* hedgeEngine = selectEngine(request);
      if (!hedgeEngine || utilization(request.requestClass->threads, *hedgeEngine) > 1) continue;
      hedges_.add(now_, 1);
      startAttempt(request, *hedgeEngine);
    }
  }
}

void AdmissionController::sendPeerReport() {
  if (!usesPeerReports() || deployment_.controllerCount < 2 || now_ < nextPeerReportAt_) return;
  nextPeerReportAt_ = now_ + shortestClass_->latencyObjective / 3;
  std::vector<PeerEngineLoad> engineLoads;
  for (Engine* engine : engines_)
    if (engine->threadsInFlight > 0)
      engineLoads.push_back({engine, static_cast<float>(engine->threadsInFlight),
                             static_cast<float>(engine->memoryInFlightMb)});
  host_.sendPeerReport(engineLoads);
}

void AdmissionController::processQueue() {
  while (!queuedRequests_.empty() && queuedRequests_.begin()->first <= now_) {
    Request& request = *queuedRequests_.begin()->second;
    queuedRequests_.erase(queuedRequests_.begin());
    request.queued = false;
    now_ + 2 * deployment_.tickDuration >= request.deadline ? rejectOrFail(request) : runStages(request);
  }
  Duration nextTimer = nextStatisticsAt_;
  if (!queuedRequests_.empty()) nextTimer = std::min(nextTimer, queuedRequests_.begin()->first);
  if (nextTimerAt_ && *nextTimerAt_ <= nextTimer) return;
  nextTimerAt_ = nextTimer;
  host_.scheduleTimer(nextTimer);
}

}  // namespace paddletrack
