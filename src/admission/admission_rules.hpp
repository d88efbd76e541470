#pragma once

#include "admission/admission_context.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/load_estimator.hpp"
#include "base/sliding_window_sum.hpp"
#include "model/ordering_queues.hpp"

namespace paddletrack {

/// The rules that every attempt must comply with.
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

  /// Adds an arriving request to the retry budget.
  void onRequest() {
    if (context_.deployment.retryBudgetWindow > Duration{0}) arrivals_.add(context_.now, 1);
  }

  /// Charges an attempt that is about to be added to the request to the warm-up and retry budgets.
  void onAttemptStarted(const Request& request, Engine& engine) {
    engine.warmupWorkSent.add(context_.now, costs_.warmupCost(request));
    if (!request.attempts.empty()) retries_.add(context_.now, 1);
  }

  /// Returns true if the rules allow an attempt for the request on the engine now. The order of requests
  /// (rule 5) is checked by isNextInOrder().
  bool isAttemptAllowed(const Request& request, Engine& engine);

  /// Rule 1: no attempt starts after the request is finished, its response has started or its deadline has
  /// passed, nor beyond the maximum number of attempts.
  bool canAttempt(const Request& request) const;

  /// Rule 2: a request that may have been executed is retried only on engines where its class allows it.
  bool isRetrySafe(const Request& request, const Engine& engine) const;

  /// Rule 2, applied to the client: the request may be rejected with a Retry-After only if a retry by the
  /// client is safe. That retry comes `retryAfter` from now, which must be within the idempotency window as
  /// well.
  bool isRejectionSafe(const Request& request, Duration retryAfter) const;

  /// Rule 4: the work sent to an engine that is warming up within any window stays within this controller's
  /// share of the warm-up budget of all controllers, computed from the engine's initial capacity. A share
  /// smaller than a request is rounded at random: with one random draw per request, so that a request does
  /// not improve its chances by waiting, and only for requests small enough that the sum over all controllers
  /// stays close to its expected value.
  bool isWithinWarmupBudget(const Request& request, Engine& engine);

  /// Rule 5: ordered requests of one key are executed one at a time, in the order of their arrival. After an
  /// attempt that may still be executing unobserved, the key is under an ordering hold.
  bool isNextInOrder(const Request& request) const;

  /// Rules 3 and 6: the engine is listed as ready, and its zone and machine type are allowed for the class.
  bool isPlacementAllowed(const Request& request, const Engine& engine) const;

  /// Rule 7: retries stay within the retry budget.
  bool isWithinRetryBudget(const Request& request);

  /// Returns the number of retries left if only `budgetRatio` of the retry budget may be used.
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
