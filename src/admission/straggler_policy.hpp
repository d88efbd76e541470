#pragma once

#include <cstdint>

#include "admission/admission_context.hpp"
#include "admission/admission_rules.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/engine_health.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack {

enum class StragglerAction : std::uint8_t { none, cancel, hedge };

/// Handles attempts that take too long, with an early timeout, a cancellation or a hedge.
class StragglerPolicy {
 public:
  StragglerPolicy(AdmissionContext& context, const CostEstimator& costs, const EngineHealth& health,
                  AdmissionRules& rules)
      : context_(context), costs_(costs), health_(health), rules_(rules) {
    initialize();
  }

  void onAttemptStarted() { attemptsStarted_.add(context_.now, 1); }
  void onHedgeStarted() { hedges_.add(context_.now, 1); }

  /// Updates the mean latency of the shortest class and the number of lost responses from an outcome for
  /// which EngineHealth::concernsEngine is true.
  void recordOutcome(const Attempt& attempt, AttemptOutcome outcome);

  /// Returns the time at which the request's next attempt times out. If attempts cannot be cancelled and
  /// responses are being lost, an attempt of the shortest class times out early, so that a retry can still
  /// succeed. One in five of these attempts keeps the full timeout, because only these show whether responses
  /// are still being lost.
  Duration attemptTimeout(const Request& request);

  /// Returns the action for the attempt. An attempt far behind its expected time is cancelled while a retry
  /// can still succeed. If an estimate is the only evidence, the attempt is not cancelled, but hedged if the
  /// deployment allows it, up to a small share of all attempts.
  StragglerAction evaluate(const Attempt& attempt);

 private:
  void initialize();

  AdmissionContext& context_;
  const CostEstimator& costs_;
  const EngineHealth& health_;
  AdmissionRules& rules_;
  double shortestLatencyRatio_ = 0;         // Mean latency of the shortest class relative to its objective.
  SlidingWindowSum<double> lostResponses_;  // Attempts that timed out without a response or progress.
  SlidingWindowSum<double> hedges_, attemptsStarted_;
};

}  // namespace paddletrack
