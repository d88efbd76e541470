#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/admission_rules.hpp"
#include "admission/class_limits.hpp"
#include "admission/engine_health.hpp"
#include "admission/load_estimator.hpp"

namespace paddletrack {

/// Selects the engine of an attempt, and computes the start probability of a request on it.
class EngineSelector {
 public:
  EngineSelector(AdmissionContext& context, AdmissionHost& host, LoadEstimator& load, EngineHealth& health,
                 ClassLimits& limits, AdmissionRules& rules)
      : context_(context), host_(host), load_(load), health_(health), limits_(limits), rules_(rules) {}

  /// Returns the fitting engine with the lowest score, or null if no engine fits. The score prefers engines
  /// with low utilization, in the local zone, with the data set cached, and without an earlier attempt of
  /// this request. Ejected engines are considered only if the rules allow no healthy one, so that the engines
  /// are never all excluded.
  Engine* selectEngine(const Request& request);

  /// Returns the probability that the request starts immediately on the engine: 1 below the concurrency
  /// target or within its class floor, decreasing above it. It is 0 if the request cannot meet its deadline
  /// there.
  double startProbability(const Request& request, Engine& engine);

  /// Returns true if the request, by its estimate from a declared cost times `loadFactor`, takes longer than
  /// the time to its deadline: it would take threads from requests that can still complete in time. Returns
  /// false if nothing is in flight, because the slowdown can be learned only from attempts.
  bool cannotMeetDeadline(const Request& request, double loadFactor) const;

  /// Applies cannotMeetDeadline() to an engine, with its utilization as the factor: idle threads are not
  /// taken from other requests.
  bool cannotMeetDeadlineOn(const Request& request, Engine& engine) {
    return cannotMeetDeadline(request, limits_.utilization(request.threads(), engine));
  }

  /// Enables or disables the recording of each selection's candidates for the decision trace.
  void enableDecisionTrace(bool enabled) { traceDecisions_ = enabled; }
  bool tracesDecisions() const { return traceDecisions_; }

  /// Returns the candidates of the latest selection; empty while the decision trace is disabled.
  const std::vector<Candidate>& candidates() const { return candidates_; }

 private:
  struct Selection {
    Engine* engine = nullptr;
    double score = 0;
    bool hasCandidates = false;
  };

  // A hedge is never sent to the engine of an attempt in flight, because both would fail together.
  Selection selectAmong(const Request& request, bool selectEjected);
  // Returns the engine's utilization times factors for a data set that is not cached, an earlier attempt of
  // the request on the engine, the placement bias and so on.
  //
  // Crossing zones has a cost and no benefit while the local zone has free capacity, so an engine in another
  // zone that is below its target counts with a higher utilization than it has.
  //
  // Rejections raise the score instead of excluding the engine, because they cost attempts, not completed
  // work: when three of five engines were excluded for rejecting a part of their requests, the other two were
  // overloaded.
  //
  // With fractional shares, many controllers make the same estimate, and counting the threads of one request
  // would send the requests of all of them to the large engines. The data sets that this controller sent last
  // are then not those that the engine read last, so the cache is not considered.
  double score(const Request& request, Engine& engine, double jitter, bool isRepeated);
  // A data load blocks the readers of its data set on its engine. Therefore data loads prefer one half of the
  // engines and readers the other half, determined by a hash that is the same at all controllers.
  bool isInNonPreferredHalf(const Request& request, const Engine& engine) const;

  AdmissionContext& context_;
  AdmissionHost& host_;
  LoadEstimator& load_;
  EngineHealth& health_;
  ClassLimits& limits_;
  AdmissionRules& rules_;
  bool traceDecisions_ = false;
  std::vector<Candidate> candidates_;
};

}  // namespace paddletrack
