#pragma once

#include "admission/admission_context.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/load_estimator.hpp"

namespace paddletrack {

/// Judges engines by the outcomes of their attempts: outlier ejection with trials, the adaptive concurrency
/// limit, and the slowdown by which a slow engine counts for fewer cores. The figures of each engine are kept
/// in its `Engine`.
class EngineHealth {
 public:
  EngineHealth(const AdmissionContext& context, const CostEstimator& costs, const LoadEstimator& load)
      : context_(context), costs_(costs), load_(load) {}

  /// True if the outcome may say something of the engine, and not only of the connection or of this
  /// controller. A reset ends all attempts of a connection at once, which counts as a single outcome. An
  /// engine that has died shows with the attempts that are sent next.
  bool concernsEngine(const Attempt& attempt, AttemptOutcome outcome) const;

  /// Records an outcome that concerns the engine. Returns false if it is no evidence about the engine's load
  /// either: the response was lost, which an engine that has answered a later attempt shows, or the client
  /// gave the request less time than its work takes.
  bool recordOutcome(const Attempt& attempt, AttemptOutcome outcome);

  /// True if no answer and no progress note has come although a note was due: the response may be lost.
  bool lacksExpectedProgress(const Attempt& attempt) const;

  /// The engine shows progress: it may be tried again, but its failures still count.
  void onSignOfLife(Engine& engine) const {
    engine.lastAliveAt = context_.now;
    engine.nextTrialAt.reset();
  }

  /// True while the engine is ejected: it failed or rejected too much recently, or it holds an overdue
  /// attempt and has shown no sign of life since that was sent. It then gets one short request per trial
  /// interval, until one is completed.
  bool isEjected(Engine& engine) const;

  /// True if an ejected engine may be tried with the request. A trial should be a request of the shortest
  /// class, which costs least; others are sent only if none of these has come for a while.
  bool isTrialDue(const Engine& engine, const Request& request) const;

  /// Starts the interval until the next trial, if the engine is ejected.
  void onAttemptStarted(Engine& engine) const;

  /// The adaptive limit that holds for the engine. With fractional shares and without load reports it is one
  /// limit for the whole fleet.
  AdaptiveLimit& adaptiveLimit(Engine& engine) {
    return context_.hasFractionalShares && !load_.hasLoadReports() ? fleetLimit_ : engine.adaptiveLimit;
  }

  /// Threads that should run on the engine at most: the target for its effective cores times its adaptive
  /// limit.
  double concurrencyTarget(Engine& engine) {
    return engine.effectiveCores * kTargetThreadsPerCore * adaptiveLimit(engine).factor;
  }

  /// Updates the engine's effective cores and returns its slowdown. An engine that is warming up, or slower
  /// than the others, counts for fewer cores; if all are slow, none is an outlier.
  double updateEffectiveCores(Engine& engine) const;

  /// Updates the effective cores of all available engines and the typical slowdown, and logs each engine
  /// whose ejection state has changed.
  void updateEngines(AdmissionHost& host);

  /// The median over the engines of the time that work takes relative to its estimate.
  double typicalSlowdown() const { return typicalSlowdown_; }

 private:
  // Reduces the limit while attempts miss their latency objective, and raises it while they do not: the
  // target is too high for engines that are slow together.
  void adjustConcurrencyLimit(const Attempt& attempt, AttemptOutcome outcome);
  // Thread-seconds spent for the work done, with the attempts in flight that are overdue.
  double slowdownFactor(Engine& engine) const;
  Duration trialInterval() const;

  const AdmissionContext& context_;
  const CostEstimator& costs_;
  const LoadEstimator& load_;
  double typicalSlowdown_ = 1;
  AdaptiveLimit fleetLimit_;
};

}  // namespace paddletrack
