#pragma once

#include "admission/admission_context.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/load_estimator.hpp"

namespace paddletrack {

/// Evaluates the outcomes of attempts: outlier ejection with trials, the adaptive concurrency limit, and the
/// slowdown by which a slow engine counts for fewer cores. The state of each engine is kept in its `Engine`.
class EngineHealth {
 public:
  EngineHealth(const AdmissionContext& context, const CostEstimator& costs, const LoadEstimator& load)
      : context_(context), costs_(costs), load_(load) {}

  /// Returns true if the outcome may be evidence about the engine rather than only about the connection or
  /// this controller. A reset ends all attempts of a connection at once, which counts as a single outcome: a
  /// crashed engine is detected by the attempts sent next.
  bool concernsEngine(const Attempt& attempt, AttemptOutcome outcome) const;

  /// Records an outcome for which concernsEngine() is true. Returns false if it is no evidence about the
  /// engine's load: because the response was lost, as progress or a response that the engine has sent since
  /// the attempt shows, or because the request timeout is shorter than the request's execution time.
  bool recordOutcome(const Attempt& attempt, AttemptOutcome outcome);

  /// Returns true if a progress notification was due and none has arrived: the response may be lost.
  bool lacksExpectedProgress(const Attempt& attempt) const;

  /// Records that the engine has made progress or completed an attempt. This ends the wait for its next
  /// trial, but its recent failures still count.
  void recordLiveness(Engine& engine) const {
    engine.lastAliveAt = context_.now;
    engine.nextTrialAt.reset();
  }

  /// Returns true while the engine is ejected: it failed or rejected too many recent attempts, or it holds an
  /// overdue attempt and has shown no activity since that was sent. An ejected engine gets one short request
  /// per trial interval until one is completed.
  bool isEjected(Engine& engine) const;

  /// Returns true if the request may be sent to an ejected engine as a trial. Trials use the shortest class,
  /// which costs least; requests of other classes are used only if the trial has been due for four trial
  /// intervals.
  bool isTrialDue(const Engine& engine, const Request& request) const;

  /// Restarts the interval until the next trial if the engine is ejected.
  void onAttemptStarted(Engine& engine) const;

  /// Returns the adaptive limit of the engine. With fractional shares and without load reports, all engines
  /// share one limit.
  AdaptiveLimit& adaptiveLimit(Engine& engine) {
    return context_.hasFractionalShares && !load_.hasLoadReports() ? fleetLimit_ : engine.adaptiveLimit;
  }

  /// Returns the concurrency target in threads: the target for the engine's effective cores times its
  /// adaptive limit.
  double concurrencyTarget(Engine& engine) {
    return engine.effectiveCores * kTargetThreadsPerCore * adaptiveLimit(engine).factor;
  }

  /// Updates the engine's effective cores and returns its slowdown. An engine that is warming up or slower
  /// than the other engines counts for fewer cores. If all engines are slow, none is an outlier.
  double updateEffectiveCores(Engine& engine) const;

  /// Updates the effective cores of all available engines and the typical slowdown, and logs each engine
  /// whose ejection state has changed.
  void updateEngines(AdmissionHost& host);

  /// Returns the median slowdown of the engines: the time spent relative to the estimated cost of the work.
  double typicalSlowdown() const { return typicalSlowdown_; }

 private:
  // Reduces the limit while attempts miss their latency objective, and raises it while they meet it: the
  // target is too high for engines that are all slow.
  void adjustConcurrencyLimit(const Attempt& attempt, AttemptOutcome outcome);
  // Ratio of the thread-seconds spent to the work completed, including overdue attempts in flight.
  double slowdownFactor(Engine& engine) const;
  Duration trialInterval() const;

  const AdmissionContext& context_;
  const CostEstimator& costs_;
  const LoadEstimator& load_;
  double typicalSlowdown_ = 1;
  AdaptiveLimit fleetLimit_;
};

}  // namespace paddletrack
