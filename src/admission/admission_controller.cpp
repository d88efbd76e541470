#include "admission/admission_controller.hpp"

#include <algorithm>
#include <cmath>

#include "model/time_conversion.hpp"

namespace paddletrack {
using enum AttemptOutcome;

constexpr double kMaxQueueTimeRatio = 1.0 / 20;  // Of the request timeout.
constexpr int kSelectionsPerObjective = 40;  // Selection rounds of a queued request per latency objective.

AdmissionController::AdmissionController(AdmissionHost& host, const Deployment& deployment,
                                         std::uint64_t seed, Duration now)
    : host_(host), context_(deployment, seed, now) {
  if (deployment.requiresDiscoveryPolling) pollDiscovery();
}

void AdmissionController::onRequest(Duration now, Request& request) {
  context_.advanceClock(now);
  rules_.onRequest();
  request.randomDraw = context_.drawUniform();
  load_.onSelectionRound();
  costs_.estimateRequest(request);
  quotas_.onRequest(request);
  ordering_.add(request);
  admitUnlessTooLate(request);
  runPeriodicWork();
}

void AdmissionController::onAttemptFinished(Duration now, Attempt& attempt, AttemptOutcome outcome,
                                            bool requestFinished, std::optional<ActualCost> actualCost,
                                            const LoadReport* loadReport) {
  context_.advanceClock(now);
  Request& request = *attempt.request;
  attempt.provenNotExecuted = provesNotExecuted(outcome);
  load_.onAttemptReleased(attempt);
  if (loadReport) load_.applyLoadReport(*attempt.engine, *loadReport);
  recordOutcome(attempt, outcome, actualCost);
  if (mayStillExecute(outcome)) ordering_.hold(request, now + context_.deployment.orderingHold);
  if (requestFinished && !request.finished) finishRequest(request);
  if (!request.finished) retryOrReject(request);
  releaseOrderingKey(request);
  runPeriodicWork();
}

void AdmissionController::onResponseStarted(Duration now, Attempt& attempt) {
  context_.advanceClock(now);
  attempt.request->streaming = true;
  attempt.engine->lastAliveAt = now;
  runPeriodicWork();
}

void AdmissionController::onClientGone(Duration now, Request& request) {
  context_.advanceClock(now);
  if (!request.finished) finishRequest(request);
  releaseOrderingKey(request);
  runPeriodicWork();
}

void AdmissionController::onProgress(Duration now, Attempt& attempt, ProgressKind kind, double value) {
  context_.advanceClock(now);
  if (kind == ProgressKind::progress && value > attempt.progress) {
    attempt.progress = value;
    health_.recordLiveness(*attempt.engine);
  }
  runPeriodicWork();
}

void AdmissionController::onHealthCheckResult(Duration now, Engine& engine, bool answered,
                                              const LoadReport* loadReport) {
  context_.advanceClock(now);
  if (answered && loadReport) load_.applyLoadReport(engine, *loadReport);
  runPeriodicWork();
}

void AdmissionController::onPeerReport(Duration now, unsigned peerIndex, const PeerReport& report) {
  context_.advanceClock(now);
  if (peerIndex >= context_.deployment.controllerCount || !context_.usesPeerReports()) return;
  load_.applyPeerReport(peerIndex, report);
  runPeriodicWork();
}

void AdmissionController::onEndpointUpdate(Duration now, bool isSnapshot, const EndpointRecords& records) {
  context_.advanceClock(now);
  for (Engine* engine : context_.engines) engine->available = engine->available && !isSnapshot;
  for (const auto& [engine, endpoint] : records) {
    registerEngine(*engine, endpoint);
    if (endpoint.startedAt && endpoint.startedAt != engine->endpoint.startedAt) engine->resetProcessState();
    engine->endpoint = endpoint;
    engine->available = endpoint.state == EndpointState::ready;
    health_.updateEffectiveCores(*engine);
  }
  nextDiscoveryAt_ = now + context_.deployment.maxDiscoveryPollInterval / 3;
  runPeriodicWork();
}

void AdmissionController::registerEngine(Engine& engine, const EndpointRecord& endpoint) {
  std::vector<Engine*>& engines = context_.engines;
  if (std::ranges::find(engines, &engine) != engines.end()) return;
  const double cores = context_.deployment.machineTypes[endpoint.machineType].cores;
  engine.selectionRank = -std::log(1 - 0.999 * context_.drawUniform()) / cores;
  const auto ranksLater = [&](const Engine* known) { return known->selectionRank > engine.selectionRank; };
  engines.insert(std::ranges::find_if(engines, ranksLater), &engine);
  const Duration bucketDuration = context_.shortestObjective() * 4 / 7;
  engine.initialize(context_.deployment, context_.usesPeerReports(), context_.now, bucketDuration);
}

void AdmissionController::onDiscoveryFailed(Duration now) {
  context_.advanceClock(now);
  nextDiscoveryAt_ = now + context_.deployment.maxDiscoveryPollInterval / 8;
  runPeriodicWork();
}

void AdmissionController::onTimer(Duration now) {
  context_.advanceClock(now);
  if (context_.nextTimerAt && *context_.nextTimerAt <= now) context_.nextTimerAt.reset();
  runPeriodicWork();
}

void AdmissionController::rejectAll(Duration now, const std::vector<Request*>& requests) {
  context_.advanceClock(now);
  for (Request* request : requests)
    if (!request->finished) rejectOrFail(*request);
  runPeriodicWork();
}

// A request can be too late when it arrives, because it may have waited while this process was stalled.
void AdmissionController::admitUnlessTooLate(Request& request) {
  const bool isTooLate = context_.now + 2 * context_.deployment.tickDuration >= request.deadline;
  isTooLate ? rejectOrFail(request) : admitRequest(request);
}

void AdmissionController::admitRequest(Request& request) {
  if (!rules_.isNextInOrder(request)) {
    const Duration nextCheckAt = context_.now + context_.shortestObjective() / kSelectionsPerObjective;
    queueUntil(request, std::max(nextCheckAt, ordering_.heldUntil(request)));
  } else if (!fitsAnyEngine(request) || !startOrQueue(request)) {
    rejectOrFail(request);
  }
}

void AdmissionController::queueUntil(Request& request, Duration until) {
  const Duration tick = context_.deployment.tickDuration;
  const Duration latest = std::min(until, request.deadline - 2 * tick);
  queue_.enqueue(request, std::max(context_.now + std::max(tick, Duration{1}), latest));
}

void AdmissionController::releaseOrderingKey(Request& request) {
  if (!request.finished || request.inFlightCount() > 0) return;
  Request* next = ordering_.remove(request);
  if (next && next->queued) queueUntil(*next, ordering_.heldUntil(request));
}

Duration AdmissionController::queueDeadline(const Request& request) const {
  const double maxSeconds = toSeconds(request.requestClass->requestTimeout) * kMaxQueueTimeRatio;
  return std::min(context_.now + toDuration(maxSeconds), request.deadline);
}

bool AdmissionController::fitsAnyEngine(Request& request) {
  if (request.queueDeadline) return true;
  request.queueDeadline = queueDeadline(request);
  return std::ranges::any_of(context_.engines, [&](Engine* engine) {
    return rules_.isPlacementAllowed(request, *engine) && limits_.fitsClassLimits(request, *engine);
  });
}

bool AdmissionController::startOrQueue(Request& request) {
  if (Engine* engine = selector_.selectEngine(request)) {
    if (selector_.tracesDecisions()) host_.traceDecision(request, selector_.candidates());
    const double probability = selector_.startProbability(request, *engine);
    if (probability <= 0 && selector_.cannotMeetDeadlineOn(request, *engine)) return false;
    if (probability >= 1 || (!request.overQuota && context_.drawUniform() < probability)) {
      startAttempt(request, *engine);
      return true;
    }
  }
  if (context_.now >= *request.queueDeadline || (request.overQuota && request.attempts.empty()) ||
      selector_.cannotMeetDeadline(request, 1))
    return false;
  const double meanDelay = toSeconds(context_.shortestObjective()) / kSelectionsPerObjective;
  const Duration until = context_.now + toDuration(meanDelay * (0.5 + context_.drawUniform()));
  queueUntil(request, std::min(until, *request.queueDeadline));
  return true;
}

void AdmissionController::startAttempt(Request& request, Engine& engine) {
  const Deployment& deployment = context_.deployment;
  auto attempt = std::make_unique<Attempt>(request, engine, context_.now);
  attempt->timesOutAt = stragglers_.attemptTimeout(request);
  const double memoryGrantMb = costs_.memoryGrantMb(request, engine);
  const bool countsGrantAsUsed = !deployment.allowsMemoryOvercommit && memoryGrantMb > 0;
  attempt->memoryMb = countsGrantAsUsed ? memoryGrantMb : costs_.estimateMemoryMb(request);
  load_.onAttemptStarted(*attempt);
  rules_.onAttemptStarted(request, engine);
  health_.onAttemptStarted(engine);
  stragglers_.onAttemptStarted();
  if (deployment.honorsMemoryGrants || deployment.honorsPriorities)
    host_.assignResources(request, memoryGrantMb, costs_.requestPriority(request));
  engine.rememberDataSet(request.dataSet, 3);
  request.attempts.push_back(std::move(attempt));
  host_.sendAttempt(*request.attempts.back());
}

void AdmissionController::recordOutcome(Attempt& attempt, AttemptOutcome outcome,
                                        const std::optional<ActualCost>& actualCost) {
  if (!health_.concernsEngine(attempt, outcome)) return;
  stragglers_.recordOutcome(attempt, outcome);
  if (!health_.recordOutcome(attempt, outcome)) return;
  if (outcome == rejected || outcome == timedOut) load_.onEngineOverloaded(*attempt.engine);
  if (outcome != completed) return;
  const double threadSeconds = context_.observedAge(attempt) * attempt.threads;
  load_.onAttemptCompleted(attempt, threadSeconds);
  const double workSeconds = actualCost ? actualCost->threadSeconds : attempt.costTokens;
  attempt.engine->addCompletedWork(context_.now, threadSeconds, workSeconds);
  costs_.onRequestCompleted(*attempt.request, threadSeconds, actualCost);
}

void AdmissionController::retryOrReject(Request& request) {
  if (request.inFlightCount() > 0 || request.queued) return;
  const double age = toSeconds(context_.now - request.arrivedAt);
  const bool isLate = age > request.latencyObjectiveSeconds() && request.requestClass->lateWeight <= 0;
  const bool hasAllowedEngine = std::ranges::any_of(context_.engines, [&](const Engine* engine) {
    return rules_.isRetrySafe(request, *engine) && rules_.isPlacementAllowed(request, *engine);
  });
  if (isLate || !hasAllowedEngine || !rules_.canAttempt(request) ||
      context_.now + context_.deployment.tickDuration >= request.deadline)
    return rejectOrFail(request);
  request.queueDeadline = queueDeadline(request);
  request.randomDraw = context_.drawUniform();
  load_.onSelectionRound();
  admitRequest(request);
}

void AdmissionController::rejectOrFail(Request& request) {
  const Deployment& deployment = context_.deployment;
  const Duration maxRetryAfter = deployment.honorsRetryAfter ? deployment.maxRetryAfter : Duration{0};
  const double desiredSeconds = request.latencyObjectiveSeconds() / 4 * (0.5 + context_.drawUniform());
  const Duration retryAfter = std::min(toDuration(desiredSeconds), maxRetryAfter);
  for (const auto& attempt : request.attempts)
    if (attempt->inFlight && !rules_.isRejectionSafe(request, retryAfter))
      attempt->provenNotExecuted = host_.recall(*attempt);
  const bool rejectionSafe = rules_.isRejectionSafe(request, retryAfter);
  finishRequest(request);
  rejectionSafe ? host_.reject(request, retryAfter) : host_.fail(request);
  releaseOrderingKey(request);
}

void AdmissionController::finishRequest(Request& request) {
  request.finished = true;
  queue_.dequeue(request);
  if (!context_.deployment.allowsCancellation || request.streaming) return;
  for (const auto& attempt : request.attempts)
    if (attempt->inFlight) host_.cancel(*attempt);
}

void AdmissionController::runPeriodicWork() {
  if (context_.now >= nextStatisticsAt_) updateStatistics();
  while (Request* request = queue_.takeDue(context_.now)) admitUnlessTooLate(*request);
  const Duration nextTimer = std::min(nextStatisticsAt_, queue_.nextDueAt().value_or(nextStatisticsAt_));
  if (context_.nextTimerAt && *context_.nextTimerAt <= nextTimer) return;
  context_.nextTimerAt = nextTimer;
  host_.scheduleTimer(nextTimer);
}

void AdmissionController::updateStatistics() {
  nextStatisticsAt_ = context_.now + context_.shortestObjective() / 8;
  health_.updateEngines(host_);
  load_.updateFleetMeans();
  limits_.updateCostTokenHorizon();
  ordering_.dropIdleKeys(context_.now);
  hedgeOrCancelStragglers();
  exchange_.update();
  if (context_.deployment.requiresDiscoveryPolling && context_.now >= nextDiscoveryAt_) pollDiscovery();
}

void AdmissionController::pollDiscovery() {
  nextDiscoveryAt_ = context_.now + context_.deployment.maxDiscoveryPollInterval / 3;
  host_.requestEndpoints();
}

void AdmissionController::hedgeOrCancelStragglers() {
  const std::vector<Attempt*> attempts = context_.inFlightAttempts;
  for (Attempt* attempt : attempts) {
    const StragglerAction action = stragglers_.evaluate(*attempt);
    if (action == StragglerAction::cancel) {
      attempt->cancelled = true;
      host_.cancel(*attempt);
    } else if (action == StragglerAction::hedge) {
      Request& request = *attempt->request;
      Engine* engine = selector_.selectEngine(request);
      if (!engine || limits_.utilization(request.threads(), *engine) > 1) continue;
      stragglers_.onHedgeStarted();
      startAttempt(request, *engine);
    }
  }
}

}  // namespace paddletrack
