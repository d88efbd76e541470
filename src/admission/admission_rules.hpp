#pragma once

#include "admission/admission_context.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/load_estimator.hpp"
#include "base/sliding_window_sum.hpp"
#include "model/ordering_queues.hpp"

namespace paddletrack {

/// The rules that every attempt has to keep, in one place.
class AdmissionRules {
 public:
  AdmissionRules(const AdmissionContext& context, const CostEstimator& costs, LoadEstimator& load,
                 const OrderingQueues& ordering)
      : context_(context),
        costs_(costs),
        load_(load),
        ordering_(ordering),
        arrivals_(context.deployment.retryBudgetWindow / 8),
        retries_(context.deployment.retryBudgetWindow / 7 + Duration{1}) {}

  /// Counts an arriving request for the retry budget.
  void onRequest() {
    if (context_.deployment.retryBudgetWindow > Duration{0}) arrivals_.add(context_.now, 1);
  }

  /// Counts the attempt, which is about to be added to the request, for the warm-up and retry budgets.
  void onAttemptStarted(const Request& request, Engine& engine) {
    engine.warmupWorkSent.add(context_.now, costs_.warmupCost(request));
    if (!request.attempts.empty()) retries_.add(context_.now, 1);
  }

  /// True if all rules allow an attempt for the request on the engine now.
  bool isAttemptAllowed(const Request& request, Engine& engine);

  /// Rule 1: no attempt after the final answer, the start of the response or the deadline, and no more than
  /// the maximum of attempts.
  bool canAttempt(const Request& request) const;

  /// Rule 2: a request that may have been executed is attempted again only where its class allows it.
  bool isRetrySafe(const Request& request, const Engine& engine) const;

  /// Rule 2, for the client: it may be told to retry only where that is safe. It does so `retryAfter` from
  /// now, which has to be within the idempotency window as well.
  bool isRejectionSafe(const Request& request, Duration retryAfter) const;

  /// Rule 4: the work sent to an engine that is warming up keeps to this controller's share of what all
  /// together may send within any window, with the engine's capacity taken as at its start. A share that is
  /// smaller than a request is rounded at random, with one draw per request, so that a request gains nothing
  /// by waiting, and only for requests so small that the sum stays close to its expectation.
  bool isWithinWarmupBudget(const Request& request, Engine& engine);

  /// Rule 5: requests of one key are executed one at a time, in the order of their arrival; after an attempt
  /// that may still be executed though nobody observes it, the key is held back.
  bool isNextInOrder(const Request& request) const;

  /// Rules 3 and 6: the engine is listed as ready, and its zone and machine type are allowed for the class.
  bool isPlacementAllowed(const Request& request, const Engine& engine) const;

  /// Rule 7: retries keep to a budget.
  bool isWithinRetryBudget(const Request& request);

  /// Retries left of `budgetRatio` of the retry budget.
  double remainingRetryBudget(double budgetRatio);

 private:
  bool isRepeatSafe(const Attempt& attempt, const Engine& engine) const;
  bool isWithinIdempotencyWindow(const Attempt& attempt, Duration delay) const;

  const AdmissionContext& context_;
  const CostEstimator& costs_;
  LoadEstimator& load_;
  const OrderingQueues& ordering_;
  SlidingWindowSum<double> arrivals_, retries_;
};

}  // namespace paddletrack
