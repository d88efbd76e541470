#pragma once

#include <optional>

#include "model/request.hpp"

namespace paddletrack {

/// The actual cost of a completed attempt, as reported by its engine.
struct ActualCost {
  double threadSeconds = 0;
  double memoryMb = 0;
};

/// A mean over about the latest 100 samples. `mean` may be initialized with an estimate, which the first
/// sample replaces.
struct RunningMean {
  double mean = 0;
  double sampleCount = 0;

  void add(double sample);
};

/// Cost statistics of the requests of one admission class.
struct ClassStatistics {
  RunningMean cost;                              ///< Thread-seconds of completed requests.
  RunningMean memoryMb;                          ///< Memory needed by completed requests.
  RunningMean costBias{1, 0}, memoryBias{1, 0};  ///< Ratio of actual to declared value.
  RunningMean arrivingCost;                      ///< Estimated thread-seconds of all arriving requests.

  /// Adds a completed request that occupied its threads for `threadSeconds` in total.
  void addCompleted(const Request& request, double threadSeconds, const std::optional<ActualCost>& actual);
};

/// Statistics of the residency time, threads and memory of attempts on their engines. The sums decay
/// exponentially, so that they cover about the latest 100 attempts.
class ResidencyStatistics {
 public:
  /// Adds an attempt that occupied its threads for `threadSeconds` in total.
  void add(const Attempt& attempt, double threadSeconds);

  /// Mean number of threads used by `requestCount` requests in flight.
  double meanThreads(double requestCount) const { return requestCount * threadTime_ / time_; }

  /// Mean memory in MB held by requests that use `threads` threads together.
  double meanMemoryMb(double threads) const { return threads * memoryTime_ / threadTime_; }

  /// Seconds until most of the requests that hold `threads` threads have finished.
  double drainSeconds(double threads) const { return threads * squaredTime_ / threadTime_; }

 private:
  double time_ = 1e-3, threadTime_ = 1e-3, squaredTime_ = 1e-3, memoryTime_ = 0;
};

}  // namespace paddletrack
