#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/admission_rules.hpp"
#include "admission/class_limits.hpp"
#include "admission/engine_health.hpp"
#include "admission/load_estimator.hpp"

namespace paddletrack {

/// Selects the engine of an attempt, and tells how probably a request starts there at once.
class EngineSelector {
 public:
  EngineSelector(AdmissionContext& context, AdmissionHost& host, LoadEstimator& load, EngineHealth& health,
                 ClassLimits& limits, AdmissionRules& rules)
      : context_(context), host_(host), load_(load), health_(health), limits_(limits), rules_(rules) {}

  /// Returns the fitting engine with the lowest score: least loaded for its cores, near, with the data set
  /// cached, and not one that has failed this request. Ejected engines are considered only if no healthy one
  /// may have the request, so that never all engines are excluded. Null if no engine fits.
  Engine* selectEngine(const Request& request);

  /// Probability that the request starts at once on the engine: 1 below the concurrency target or within its
  /// class's floor, falling above it.
  double startProbability(const Request& request, Engine& engine);

  /// True if the request, by its declared cost times `loadFactor`, takes longer than it has left: it would
  /// keep its threads from requests that can still be answered. With nothing in flight it is tried, because
  /// the slowdown is learned from attempts alone.
  bool cannotMeetDeadline(const Request& request, double loadFactor) const;

  /// The same on an engine: its utilization is the factor, because idle threads are missed by nobody.
  bool cannotMeetDeadlineOn(const Request& request, Engine& engine) {
    return cannotMeetDeadline(request, limits_.utilization(request.threads(), engine));
  }

  /// Keeps the candidates of each selection for the decision trace.
  void enableDecisionTrace(bool enabled) { traceDecisions_ = enabled; }
  bool tracesDecisions() const { return traceDecisions_; }

  /// The candidates of the latest selection; empty while the decision trace is disabled.
  const std::vector<Candidate>& candidates() const { return candidates_; }

 private:
  struct Selection {
    Engine* engine = nullptr;
    double score = 0;
    bool hasCandidates = false;
  };

  // A hedge never goes to the engine of an attempt in flight, with which it would fail.
  Selection selectAmong(const Request& request, bool selectEjected);
  // Utilization with factors for a data set that is not cached, an engine that has failed the request, the
  // other zone and so on. Crossing zones has a price and gains nothing while there is room here: below its
  // target an engine elsewhere counts as fuller than it is. Rejections cost attempts, not the work that is
  // done: when three engines of five that rejected some of it were excluded, the other two were overloaded.
  // With fractional shares, many controllers guess alike: counting the threads of one request would send all
  // of them to the large engines. What this controller sent last is then not what the engine read last.
  double score(const Request& request, Engine& engine, double jitter, bool isRepeated);
  // A data load blocks the readers of its data set on its engine. Loads go to one half of the engines, by a
  // hash that all controllers share, and readers to the other.
  bool isInOtherHalf(const Request& request, const Engine& engine) const;

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
