#pragma once

#include <optional>
#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/load_estimator.hpp"
#include "model/class_statistics.hpp"

namespace paddletrack {

/// Learns the cost and memory need of each class's requests, and derives the cost estimates, memory grants
/// and priorities of requests from them.
class CostEstimator {
 public:
  CostEstimator(const AdmissionContext& context, const LoadEstimator& load);

  /// Sets the request's estimated cost and the threads that it counts for at admission. If the value of a
  /// request does not grow with its cost, all requests of a class have the same value, and a request of r
  /// times the mean cost of its class counts for r times its threads. Without this, the costliest tenth of
  /// the requests took half of all work.
  void estimateRequest(Request& request);

  /// Updates the statistics of the class from a completed request that occupied its threads for
  /// `threadSeconds`.
  void onRequestCompleted(const Request& request, double threadSeconds,
                          const std::optional<ActualCost>& actual) {
    classStatistics_[request.requestClass->index].addCompleted(request, threadSeconds, actual);
  }

  /// Returns the mean cost of the class in thread-seconds; before the first sample, its nominal cost.
  double meanCost(const RequestClass& requestClass) const {
    return classStatistics_[requestClass.index].cost.mean;
  }

  /// Returns the cost in thread-seconds that the request is charged to the warm-up budget: its estimated
  /// cost, but at least the mean cost of its class. Without a declared cost it is also at least the nominal
  /// cost until there are enough samples, because the mean of a few samples may be a tenth of the real mean.
  double warmupCost(const Request& request) const;

  /// Returns the memory in MB that the request is expected to be granted. Until the memory need of its class
  /// is known, a request wider than the shortest class counts with its threads' share of a machine's memory.
  double estimateMemoryMb(const Request& request) const;

  /// Returns the memory grant in MB to request; 0 leaves it to the engine. If an engine is slowed by memory
  /// in use but not by grants, a large grant does no harm and a small one makes the request spill, so it gets
  /// the maximum. If grants take memory from other requests, it gets its known need plus its threads' share
  /// of the free memory, because the estimate may be too low.
  double memoryGrantMb(const Request& request, const Engine& engine) const;

  /// Returns the priority to request: 3 for the shortest class, 2 for the cheaper requests of other classes,
  /// 1 for the rest.
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
