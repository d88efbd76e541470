#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/engine_health.hpp"
#include "admission/load_estimator.hpp"

namespace paddletrack {

/// The limits of the admission classes on each engine. In threads and in cost tokens, each class has a floor
/// and may borrow from the shared remainder up to its ceiling. A request must also fit into the engine's
/// memory.
class ClassLimits {
 public:
  /// The floor of a class is inversely proportional to its nominal cost. Data loads have no floor.
  ClassLimits(const AdmissionContext& context, const CostEstimator& costs, EngineHealth& health,
              const LoadEstimator& load)
      : context_(context),
        costs_(costs),
        health_(health),
        load_(load),
        classFloors_(context.deployment.requestClasses.size()) {
    computeClassFloors();
  }

  /// Returns true if the request fits the limits of its class on the engine.
  bool fitsClassLimits(const Request& request, Engine& engine);

  /// Returns true if the request fits into the threads of its class floor on the engine.
  bool fitsClassFloor(const Request& request, Engine& engine);

  /// Returns the used share of the engine's concurrency target, with `addedThreads` added to its load.
  double utilization(double addedThreads, Engine& engine);

  /// Returns the threads that the request counts for at its admission to the engine: at most the part of the
  /// target outside the class floors (but at least its real threads), so that a nearly idle engine accepts
  /// any request.
  double admissionThreads(const Request& request, const Engine& engine) const;

  /// Updates the cost tokens allowed per thread from the mean costs of the classes.
  void updateCostTokenHorizon();

 private:
  void computeClassFloors();
  // The larger of this controller's fair share of the engine's limit and the part of it that the other
  // controllers do not use: a busy controller among idle ones exceeds its share.
  double threadLimit(Engine& engine, const InFlightLoad& othersLoad);
  // The floor of the shortest class admits at least one request, however small the share. This does not apply
  // on an engine that is reported full, nor, without load reports, beyond this controller's share of all
  // targets.
  bool isShortestClassLimited(const Engine& engine, const InFlightLoad& othersLoad) const;
  // A class with nothing in flight on the engine may start one request below the target. Otherwise a share
  // smaller than a wide request, or a token budget smaller than a costly one, would exclude the class
  // permanently.
  bool canStartAlone(const Request& request, Engine& engine, const InFlightLoad& othersLoad);
  // Usage of the classes beyond their floors is borrowed from the shared remainder.
  bool fitsSharedRemainder(const Request& request, const Engine& engine, double threadLimit,
                           double tokenLimit) const;
  // Memory grants that exceed the memory make the engine page or its requests wait for grants. A request that
  // needs at most half of its threads' share of the memory is still admitted moderately above the memory
  // limit; an engine far above it gets no request at all.
  bool fitsMemory(const Request& request, const Engine& engine, const InFlightLoad& others) const;

  const AdmissionContext& context_;
  const CostEstimator& costs_;
  EngineHealth& health_;
  const LoadEstimator& load_;
  std::vector<double> classFloors_;  // Ratio to the engine's thread limit.
  double costTokenHorizon_ = 0;      // Seconds of work allowed in flight per thread.
};

}  // namespace paddletrack
