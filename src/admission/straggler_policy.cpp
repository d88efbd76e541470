#include "admission/straggler_policy.hpp"

#include <algorithm>

#include "model/time_conversion.hpp"

namespace paddletrack {
using enum AttemptOutcome;

constexpr double kStragglerMultiple = 3;  // Of the expected time: beyond it, the query plan must be bad.
constexpr double kMaxHedgeRatio = 0.05;   // Of recent attempts.
constexpr double kMinLostResponses = 4;   // Within 28 latency objectives: responses get lost.
constexpr double kEarlyRetryBudgetRatio = 0.9;  // Of the retry budget: for retries after early timeouts.
constexpr double kEarlyTimeoutMultiple = 2,
                 kMinEarlyTimeoutRatio = 0.6;    // Of the mean latency; of the objective.
constexpr double kLateTimeoutProbability = 0.2;  // Of keeping the full timeout.

void StragglerPolicy::initialize() {
  shortestLatencyRatio_ = 0.25;
  lostResponses_ = SlidingWindowSum<double>(context_.shortestObjective() * 4);
  hedges_ = attemptsStarted_ = SlidingWindowSum<double>(context_.shortestObjective());
}

void StragglerPolicy::recordOutcome(const Attempt& attempt, AttemptOutcome outcome) {
  const Request& request = *attempt.request;
  if (request.requestClass == context_.shortestClass && (outcome == timedOut || outcome == completed)) {
    const double latencyRatio = context_.observedAge(attempt) / request.latencyObjectiveSeconds();
    shortestLatencyRatio_ += (std::min(1.0, latencyRatio) - shortestLatencyRatio_) / 50;
  }
  if (outcome == timedOut && attempt.timesOutAt >= request.deadline && health_.lacksExpectedProgress(attempt))
    lostResponses_.add(context_.now, 1);
}

Duration StragglerPolicy::attemptTimeout(const Request& request) {
  const Deployment& deployment = context_.deployment;
  const double timeoutRatio = std::max(kMinEarlyTimeoutRatio, kEarlyTimeoutMultiple * shortestLatencyRatio_);
  const bool canRetry = request.attemptCount() + 1 < deployment.maxAttempts &&
                        rules_.remainingRetryBudget(kEarlyRetryBudgetRatio) >= 1 &&
                        request.requestClass->idempotency == Idempotency::idempotent;
  if (deployment.allowsCancellation || request.requestClass != context_.shortestClass || !canRetry ||
      timeoutRatio >= 1 || lostResponses_.sum(context_.now) < kMinLostResponses ||
      context_.drawUniform() < kLateTimeoutProbability)
    return request.deadline;
  const Duration timeout = toDuration(timeoutRatio * request.latencyObjectiveSeconds());
  return std::min(request.deadline, context_.now + timeout);
}

StragglerAction StragglerPolicy::evaluate(const Attempt& attempt) {
  const Request& request = *attempt.request;
  const RequestClass& requestClass = *request.requestClass;
  if (attempt.cancelled || requestClass.idempotency == Idempotency::notIdempotent ||
      !rules_.canAttempt(request))
    return StragglerAction::none;
  const double expected = std::max(request.costTokens, costs_.meanCost(requestClass) / 4) /
                          requestClass.threads * health_.typicalSlowdown();
  const double elapsed = context_.observedAge(attempt);
  const double remaining = attempt.progress > 0 ? elapsed / attempt.progress - elapsed : elapsed;
  if (toSeconds(request.deadline - context_.now) < 2 * expected) return StragglerAction::none;
  const bool isLate = elapsed > expected * kStragglerMultiple / 2;
  if (context_.deployment.allowsCancellation &&
      (context_.deployment.progressInterval > Duration{0} || health_.isEjected(*attempt.engine))) {
    const bool isSlow = attempt.progress > 0 && isLate && remaining > expected * kStragglerMultiple;
    const bool isOverdue = elapsed >= kStragglerMultiple * expected && remaining >= 2 * expected;
    return isSlow || isOverdue ? StragglerAction::cancel : StragglerAction::none;
  }
  const bool canHedge = context_.deployment.allowsHedging && &requestClass == context_.shortestClass &&
                        request.inFlightCount() == 1 && isLate &&
                        elapsed > request.latencyObjectiveSeconds() / 2 &&
                        hedges_.sum(context_.now) < kMaxHedgeRatio * attemptsStarted_.sum(context_.now);
  return canHedge ? StragglerAction::hedge : StragglerAction::none;
}

}  // namespace paddletrack
