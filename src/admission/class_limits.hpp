#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/engine_health.hpp"
#include "admission/load_estimator.hpp"

namespace paddletrack {

/// The limits of the admission classes on each engine: each class has a floor, may borrow from the shared
/// remainder up to its ceiling, in threads and in cost tokens, and has to fit into the engine's memory.
class ClassLimits {
 public:
  /// Floors are inversely proportional to the nominal cost of a class; data loads have none.
  ClassLimits(const AdmissionContext& context, const CostEstimator& costs, EngineHealth& health,
              const LoadEstimator& load)
      : context_(context),
        costs_(costs),
        health_(health),
        load_(load),
        classFloors_(context.deployment.requestClasses.size()) {
    computeClassFloors();
  }

  /// True if the request fits the limits of its class on the engine.
  bool fitsClassLimits(const Request& request, Engine& engine);

  /// True if the request fits the threads of its class's floor on the engine.
  bool fitsClassFloor(const Request& request, Engine& engine);

  /// Share of the engine's concurrency target in use with `addedThreads` more.
  double utilization(double addedThreads, Engine& engine);

  /// Threads that the request counts for when it is admitted to the engine: no more than the part of the
  /// target outside the floors, so that an engine that is nearly idle accepts any request.
  double admissionThreads(const Request& request, const Engine& engine) const;

  /// Updates the cost tokens per thread from the mean costs.
  void updateCostTokenHorizon();

 private:
  void computeClassFloors();
  // The fair share of the engine's limit, or all that the others leave of it: a busy controller among idle
  // ones exceeds its share.
  double threadLimit(Engine& engine, const InFlightLoad& othersLoad);
  // The floor of the shortest class holds at least one request, however small the share, but not on an engine
  // that is reported full, nor, without reports, beyond this controller's part of all targets.
  bool isShortestClassLimited(const Engine& engine, const InFlightLoad& othersLoad) const;
  // A class with nothing in flight here may start one request below the target: else a share below a wide
  // request, or a budget below an expensive one, would exclude the class for good.
  bool mayStartAlone(const Request& request, Engine& engine, const InFlightLoad& othersLoad);
  // What the classes use beyond their floors is borrowed from the shared remainder.
  bool fitsSharedRemainder(const Request& request, const Engine& engine, double threadLimit,
                           double tokenLimit) const;
  // Grants beyond the memory make the engine page or its queue wait. A request that needs less than half of
  // its threads' part of the memory does not crowd it; an engine far beyond its memory gets no request at
  // all.
  bool fitsMemory(const Request& request, const Engine& engine, const InFlightLoad& others) const;

  const AdmissionContext& context_;
  const CostEstimator& costs_;
  EngineHealth& health_;
  const LoadEstimator& load_;
  std::vector<double> classFloors_;  // As a part of the engine's thread limit.
  double costTokenHorizon_ = 0;      // Seconds of work that each thread may have ahead.
};

}  // namespace paddletrack
