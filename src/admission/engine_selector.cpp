#include "admission/engine_selector.hpp"

#include <algorithm>
#include <cmath>

#include "model/time_conversion.hpp"

namespace paddletrack {
constexpr double kJitter = 0.1;  // Maximum random increase of a score, relative to it.
// For an engine that has not cached the data set; that had an attempt of the request; in the other half.
constexpr double kUncachedPenalty = 1.25, kRepeatPenalty = 2, kNonPreferredHalfPenalty = 2;
constexpr double kCrossZonePenaltyFactor = 10;  // Share of the headroom per unit of cross-zone cost.

Engine* EngineSelector::selectEngine(const Request& request) {
  candidates_.clear();
  const Selection healthy = selectAmong(request, false);
  return healthy.hasCandidates ? healthy.engine : selectAmong(request, true).engine;
}

EngineSelector::Selection EngineSelector::selectAmong(const Request& request, bool selectEjected) {
  Selection best;
  double remainingEngines = load_.subsetSize();
  for (Engine* engine : context_.engines) {
    if (remainingEngines <= 0 && !context_.isWarmingUp(*engine)) continue;
    const bool trialDue = health_.isTrialDue(*engine, request);
    const bool excluded = health_.isEjected(*engine) && !trialDue;
    if (excluded != selectEjected || !rules_.isAttemptAllowed(request, *engine)) continue;
    best.hasCandidates = true;
    --remainingEngines;
    const Attempt* previous = request.lastAttemptOn(*engine);
    if ((previous && previous->inFlight) || !limits_.fitsClassLimits(request, *engine)) continue;
    const double jitter = 1 + kJitter * context_.drawUniform();
    const double engineScore = score(request, *engine, jitter, previous != nullptr);
    if (traceDecisions_)
      candidates_.push_back({engine, engineScore / jitter, engineScore,
                             limits_.utilization(request.threads(), *engine),
                             startProbability(request, *engine)});
    if (best.engine && engineScore >= best.score) continue;
    best.engine = engine;
    best.score = engineScore;
  }
  return best;
}

double EngineSelector::score(const Request& request, Engine& engine, double jitter, bool isRepeated) {
  const bool isCached = context_.hasFractionalShares || engine.hasCachedDataSet(request.dataSet);
  const double addedThreads = context_.hasFractionalShares ? engine.effectiveCores : request.threads();
  double utilization = limits_.utilization(addedThreads, engine);
  const double headroom =
      1 + (addedThreads - request.threads()) / (engine.effectiveCores * kTargetThreadsPerCore) - utilization;
  const double crossZonePenalty = std::min(1.0, kCrossZonePenaltyFactor * context_.deployment.crossZoneCost);
  if (engine.endpoint.zone != context_.deployment.zone)
    utilization += std::max(0.0, headroom) * crossZonePenalty;
  const double loadScore = utilization * (isCached ? 1 : kUncachedPenalty) *
                           (isRepeated ? kRepeatPenalty : 1) * jitter * host_.placementBias(request, engine) *
                           (isInNonPreferredHalf(request, engine) ? kNonPreferredHalfPenalty : 1);
  return loadScore * (1 + engine.rejections.sum(context_.now) / (engine.successes.sum(context_.now) + 1));
}

bool EngineSelector::isInNonPreferredHalf(const Request& request, const Engine& engine) const {
  const RequestClass& requestClass = *request.requestClass;
  const bool isPlacedByHalf = requestClass.isDataLoad || requestClass.waitsForDataLoads;
  const std::uint32_t hash = (engine.number ^ (request.dataSet * 2654435761U)) * 2654435769U;
  return context_.deployment.loadsBlockReaders && isPlacedByHalf &&
         (hash >> 31 != 0) != requestClass.isDataLoad;
}

bool EngineSelector::cannotMeetDeadline(const Request& request, double loadFactor) const {
  const double seconds = request.costTokens / request.threads() * health_.typicalSlowdown() * loadFactor;
  return request.declaredCost && load_.threadsInFlight() > 0 &&
         seconds > toSeconds(request.deadline - context_.now);
}

double EngineSelector::startProbability(const Request& request, Engine& engine) {
  if (cannotMeetDeadlineOn(request, engine)) return 0;
  const double excess = limits_.utilization(limits_.admissionThreads(request, engine), engine) - 1;
  if (excess <= 0 || limits_.fitsClassFloor(request, engine)) return 1;
  return request.overQuota ? 0 : std::exp(-16 * excess) / 4;
}

}  // namespace paddletrack
