#pragma once

#include <cstdint>

#include "admission/admission_context.hpp"
#include "admission/admission_rules.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/engine_health.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack {

enum class StragglerAction : std::uint8_t { none, cancel, hedge };

/// Decides what is done about attempts that take too long: an early timeout, a cancellation or a hedge.
class StragglerPolicy {
 public:
  StragglerPolicy(AdmissionContext& context, const CostEstimator& costs, const EngineHealth& health,
                  AdmissionRules& rules)
      : context_(context), costs_(costs), health_(health), rules_(rules) {
    initialize();
  }

  void onAttemptStarted() { attemptsStarted_.add(context_.now, 1); }
  void onHedgeStarted() { hedges_.add(context_.now, 1); }

  /// Updates the latency of the shortest class and the count of lost responses from an outcome that concerns
  /// its engine.
  void recordOutcome(const Attempt& attempt, AttemptOutcome outcome);

  /// When the request's next attempt times out. Where nothing can be cancelled and responses get lost, an
  /// attempt of the shortest class times out early, so that a retry can still succeed. One in five does not:
  /// only these show whether responses still get lost.
  Duration attemptTimeout(const Request& request);

  /// What is to be done about the attempt. One that is far behind its expected time is cancelled while a
  /// retry can still succeed. Where an estimate is the only evidence it is left alone, and hedged if the
  /// deployment allows that, within a small part of all attempts.
  StragglerAction evaluate(const Attempt& attempt);

 private:
  void initialize();

  AdmissionContext& context_;
  const CostEstimator& costs_;
  const EngineHealth& health_;
  AdmissionRules& rules_;
  double shortestLatencyRatio_ = 0;         // Mean latency of the shortest class relative to its objective.
  SlidingWindowSum<double> lostResponses_;  // Attempts that timed out without any sign.
  SlidingWindowSum<double> hedges_, attemptsStarted_;
};

}  // namespace paddletrack
