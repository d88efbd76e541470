#include "admission/admission_rules.hpp"

#include <algorithm>
#include <cmath>

#include "model/time_conversion.hpp"

namespace paddletrack {
constexpr double kWarmupSafetyFactor = 0.5;  // Of the warm-up budget: speeds and costs are only estimates.
constexpr double kMinWarmupRequests = 8;     // A share is rounded at random if a window holds this many.

bool AdmissionRules::isAttemptAllowed(const Request& request, Engine& engine) {
  return canAttempt(request) && isRetrySafe(request, engine) && isPlacementAllowed(request, engine) &&
         isWithinRetryBudget(request) && isWithinWarmupBudget(request, engine);
}

bool AdmissionRules::canAttempt(const Request& request) const {
  return !request.finished && !request.streaming && context_.now < request.deadline &&
         request.attemptCount() < context_.deployment.maxAttempts;
}

bool AdmissionRules::isWithinIdempotencyWindow(const Attempt& attempt, Duration delay) const {
  return context_.now + context_.deployment.tickDuration + delay - attempt.sentAt <
         attempt.request->requestClass->idempotencyWindow;
}

bool AdmissionRules::isRepeatSafe(const Attempt& attempt, const Engine& engine) const {
  const RequestClass& requestClass = *attempt.request->requestClass;
  if (attempt.provenNotExecuted || requestClass.idempotency == Idempotency::idempotent) return true;
  if (requestClass.idempotency == Idempotency::notIdempotent) return false;
  if (!isWithinIdempotencyWindow(attempt, Duration{0})) return false;
  if (requestClass.retryScope == RetryScope::sameZone) return attempt.zone == engine.endpoint.zone;
  return requestClass.retryScope != RetryScope::sameCell || attempt.cell == engine.endpoint.cell;
}

bool AdmissionRules::isRetrySafe(const Request& request, const Engine& engine) const {
  if (!context_.deployment.allowsHedging && request.inFlightCount() > 0) return false;
  const auto isSafe = [&](const auto& attempt) { return isRepeatSafe(*attempt, engine); };
  return std::ranges::all_of(request.attempts, isSafe);
}

bool AdmissionRules::isRejectionSafe(const Request& request, Duration retryAfter) const {
  const RequestClass& requestClass = *request.requestClass;
  if (requestClass.idempotency == Idempotency::idempotent) return true;
  const bool isSafeByKey = requestClass.idempotency == Idempotency::idempotentByKey &&
                           requestClass.retryScope == RetryScope::anyEngine;
  return std::ranges::all_of(request.attempts, [&](const auto& attempt) {
    return attempt->provenNotExecuted || (isSafeByKey && isWithinIdempotencyWindow(*attempt, retryAfter));
  });
}

bool AdmissionRules::isWithinWarmupBudget(const Request& request, Engine& engine) {
  const Deployment& deployment = context_.deployment;
  if (!context_.isWarmingUp(engine) || deployment.warmupOverloadRatio <= 0) return true;
  const double cores = context_.machineType(engine).cores;
  const double cost = costs_.warmupCost(request);
  const double windowSeconds = toSeconds(deployment.warmupWindow);
  const double initialCapacity = deployment.initialCapacityRatio * cores * windowSeconds;
  const double share =
      initialCapacity * deployment.warmupOverloadRatio * kWarmupSafetyFactor / deployment.controllerCount;
  if (cost <= share) return engine.warmupWorkSent.sum(context_.now) + cost <= share;
  const double observedSeconds =
      std::min(toSeconds(context_.now - context_.startedAt), toSeconds(context_.shortestObjective()) * 3.5);
  const double requestRate = (load_.recentSelectionRounds() + 1) / std::max(observedSeconds, 1e-3);
  const double engineDraw = std::fmod(request.randomDraw + engine.selectionRank * cores * 64, 1);
  return cost * kMinWarmupRequests <= initialCapacity &&
         engineDraw * (requestRate * cost * windowSeconds) < share;
}

bool AdmissionRules::isNextInOrder(const Request& request) const {
  return ordering_.isFirst(request) && context_.now >= ordering_.heldUntil(request);
}

bool AdmissionRules::isPlacementAllowed(const Request& request, const Engine& engine) const {
  const auto isAllowed = [](const std::optional<std::vector<unsigned>>& allowed, unsigned value) {
    return !allowed || std::ranges::find(*allowed, value) != allowed->end();
  };
  return engine.available && isAllowed(request.requestClass->allowedZones, engine.endpoint.zone) &&
         isAllowed(request.requestClass->allowedMachineTypes, engine.endpoint.machineType);
}

bool AdmissionRules::isWithinRetryBudget(const Request& request) {
  return request.attempts.empty() || remainingRetryBudget(1) >= 1;
}

double AdmissionRules::remainingRetryBudget(double budgetRatio) {
  const Deployment& deployment = context_.deployment;
  if (deployment.retryBudgetWindow <= Duration{0}) return deployment.maxAttempts;
  const double variableBudget = deployment.retryBudgetRatio * arrivals_.sum(context_.now);
  return budgetRatio * (deployment.retryBudgetMin + variableBudget) - retries_.sum(context_.now);
}

}  // namespace paddletrack
