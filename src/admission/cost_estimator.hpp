#pragma once

#include <optional>
#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/load_estimator.hpp"
#include "model/class_statistics.hpp"

namespace paddletrack {

/// Learns what the requests of each class cost and how much memory they need, and derives the estimates,
/// memory grants and priorities of requests from it.
class CostEstimator {
 public:
  CostEstimator(const AdmissionContext& context, const LoadEstimator& load);

  /// Sets the request's estimated cost and the threads that it counts for at admission. Where the weight of a
  /// request does not grow with its work, all requests of a class are worth the same: one that declares r
  /// times the mean work of its class counts for r times the threads. Otherwise a tenth of the requests, the
  /// largest, took half of all work.
  void estimateRequest(Request& request);

  /// Updates the statistics of the class from a completed request that took `threadSeconds`.
  void onRequestCompleted(const Request& request, double threadSeconds,
                          const std::optional<ActualCost>& actual) {
    classStatistics_[request.requestClass->index].addCompleted(request, threadSeconds, actual);
  }

  /// Mean cost of the class in thread-seconds; before the first sample, its nominal cost.
  double meanCost(const RequestClass& requestClass) const {
    return classStatistics_[requestClass.index].cost.mean;
  }

  /// The cost in thread-seconds that the warm-up rule counts a request with: its declared cost, but at least
  /// the mean of its class, because a mean of few samples may be a tenth of the real one. Without a declared
  /// cost it is at least the nominal cost until there are enough samples.
  double warmupCost(const Request& request) const;

  /// Memory in MB that the request will probably be granted. Until the need of its class is known, a wide
  /// request counts as its threads' part of a machine.
  double estimateMemoryMb(const Request& request) const;

  /// Memory grant in MB to ask for, or 0 to leave it to the engine. Where only memory in use slows an engine,
  /// a large grant harms nobody and a small one makes the request spill: it gets the maximum. Where grants
  /// take memory from other requests, it gets a little over the known need and its threads' part of what is
  /// free, because an estimate may be too low.
  double memoryGrantMb(const Request& request, const Engine& engine) const;

  /// The priority to ask for: 3 for the shortest class, 2 for the cheaper requests of other classes, else 1.
  int requestPriority(const Request& request) const;

 private:
  const ClassStatistics& statistics(const Request& request) const {
    return classStatistics_[request.requestClass->index];
  }

  const AdmissionContext& context_;
  const LoadEstimator& load_;
  std::vector<ClassStatistics> classStatistics_;
};

}  // namespace paddletrack
