#include "admission/engine_health.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "model/time_conversion.hpp"

namespace paddletrack {
using enum AttemptOutcome;

constexpr double kLimitDecreaseFactor = 0.9, kLimitIncreaseStep = 0.05, kMinLimitFactor = 0.3;
constexpr double kEjectionFailureRatio = 0.3;   // Share of recent outcomes; an engine above it is ejected.
constexpr double kMaxRejectionsPerSuccess = 4;  // An engine above it is ejected.
constexpr int kTrialIntervalObjectives = 2;     // Trial interval in latency objectives.
constexpr double kSlowEngineRatio = 1.5;        // To the typical slowdown; an engine above it loses cores.

bool EngineHealth::concernsEngine(const Attempt& attempt, AttemptOutcome outcome) const {
  if (outcome == cancelled || outcome == neverSent || outcome == connectionAborted) return false;
  if (outcome != reset) return true;
  const auto previousResetAt = std::exchange(attempt.engine->lastResetAt, context_.now);
  return !previousResetAt || context_.now - *previousResetAt >= context_.deployment.tickDuration;
}

bool EngineHealth::recordOutcome(const Attempt& attempt, AttemptOutcome outcome) {
  Engine& engine = *attempt.engine;
  if (outcome == timedOut) {
    const bool timedOutEarly = attempt.timesOutAt < attempt.request->deadline;
    const bool isPossiblyLost = timedOutEarly || lacksExpectedProgress(attempt);
    if (isPossiblyLost && engine.lastAliveAt && *engine.lastAliveAt > attempt.sentAt) return false;
    if (timedOutEarly) engine.failures.add(context_.now, 1);
    if (timedOutEarly || context_.observedAge(attempt) < attempt.estimatedSeconds()) return false;
  }
  adjustConcurrencyLimit(attempt, outcome);
  if (outcome == completed) recordLiveness(engine);
  SlidingWindowSum<double>& failures = outcome == rejected ? engine.rejections : engine.failures;
  (outcome == completed ? engine.successes : failures).add(context_.now, 1);
  return true;
}

bool EngineHealth::lacksExpectedProgress(const Attempt& attempt) const {
  const double dueSeconds = toSeconds(context_.deployment.progressInterval);
  return dueSeconds > 0 && context_.observedAge(attempt) > dueSeconds && attempt.progress <= 0;
}

void EngineHealth::adjustConcurrencyLimit(const Attempt& attempt, AttemptOutcome outcome) {
  AdaptiveLimit& limit = adaptiveLimit(*attempt.engine);
  const bool missedObjective =
      outcome == timedOut || context_.observedAge(attempt) > attempt.request->latencyObjectiveSeconds();
  if (outcome == completed && !missedObjective) {
    const double step = kLimitIncreaseStep * attempt.threads / attempt.engine->effectiveCores;
    limit.factor = std::min(1.0, limit.factor + step);
  } else if (missedObjective && (!limit.reducedAt || *limit.reducedAt < attempt.sentAt)) {
    limit.factor = std::max(kMinLimitFactor, limit.factor * kLimitDecreaseFactor);
    limit.reducedAt = context_.now;
  }
}

Duration EngineHealth::trialInterval() const {
  return context_.shortestObjective() * kTrialIntervalObjectives;
}

bool EngineHealth::isEjected(Engine& engine) const {
  const double failures = engine.failures.sum(context_.now);
  const double successes = engine.successes.sum(context_.now);
  const bool failsOften = failures >= 2 && failures > kEjectionFailureRatio * (failures + successes);
  bool unhealthy =
      failsOften || engine.rejections.sum(context_.now) > kMaxRejectionsPerSuccess * (successes + 1);
  for (const Attempt* attempt : engine.inFlightAttempts) {
    const bool isSilent = !engine.lastAliveAt || *engine.lastAliveAt < attempt->sentAt;
    const bool overdue = context_.observedAge(*attempt) > attempt->request->latencyObjectiveSeconds();
    unhealthy = unhealthy || (isSilent && overdue);
  }
  if (unhealthy && !engine.nextTrialAt) engine.nextTrialAt = context_.now + trialInterval();
  return engine.nextTrialAt.has_value();
}

bool EngineHealth::isTrialDue(const Engine& engine, const Request& request) const {
  const Duration delay = request.requestClass == context_.shortestClass ? Duration{0} : trialInterval() * 4;
  return engine.nextTrialAt && context_.now >= *engine.nextTrialAt + delay;
}

void EngineHealth::onAttemptStarted(Engine& engine) const {
  if (engine.nextTrialAt) engine.nextTrialAt = context_.now + trialInterval();
}

double EngineHealth::updateEffectiveCores(Engine& engine) const {
  const double initialRatio = context_.deployment.initialCapacityRatio;
  engine.effectiveCores = context_.machineType(engine).cores;
  if (const auto& startedAt = engine.endpoint.startedAt; startedAt && context_.isWarmingUp(engine)) {
    const double warmupSeconds = toSeconds(context_.deployment.warmupTime);
    const double progress = toSeconds(context_.now - *startedAt) / warmupSeconds;
    engine.effectiveCores *= initialRatio + (1 - initialRatio) * std::clamp(progress, 0.0, 1.0);
  }
  const double slowdown = slowdownFactor(engine);
  if (slowdown / typicalSlowdown_ > kSlowEngineRatio) engine.effectiveCores /= slowdown / typicalSlowdown_;
  return slowdown;
}

double EngineHealth::slowdownFactor(Engine& engine) const {
  double threadSeconds = engine.threadTimeSpent.sum(context_.now);
  double workSeconds = engine.workCompleted.sum(context_.now);
  for (const Attempt* attempt : engine.inFlightAttempts) {
    const double elapsed = context_.observedAge(*attempt) * attempt->threads;
    if (elapsed <= attempt->costTokens * 2 * typicalSlowdown_) continue;
    threadSeconds += elapsed;
    workSeconds += attempt->costTokens;
  }
  const double priorWork = costs_.meanCost(*context_.shortestClass) * 2;
  return (threadSeconds + priorWork * typicalSlowdown_) / (workSeconds + priorWork);
}

void EngineHealth::updateEngines(AdmissionHost& host) {
  std::vector<double> slowdowns;
  for (Engine* engine : context_.engines) {
    if (!engine->available) continue;
    const double slowdown = updateEffectiveCores(*engine);
    const bool ejected = isEjected(*engine);
    if (ejected != engine->ejectionLogged)
      host.log("engine " + std::to_string(engine->number) + (ejected ? " doubted" : " trusted"));
    engine->ejectionLogged = ejected;
    if (engine->workCompleted.sum(context_.now) > 0) slowdowns.push_back(slowdown);
  }
  if (slowdowns.empty()) return;
  const auto median = slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
  std::nth_element(slowdowns.begin(), median, slowdowns.end());
  typicalSlowdown_ = std::max(0.1, *median);
}

}  // namespace paddletrack
