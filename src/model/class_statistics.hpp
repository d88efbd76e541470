#pragma once

#include <optional>

#include "model/request.hpp"

namespace paddletrack {

/// What an answered attempt cost, as reported by its engine.
struct ActualCost {
  double threadSeconds = 0;
  double memoryMb = 0;
};

/// A mean that covers about the latest hundred samples; `mean` may start with a guess.
struct RunningMean {
  double mean = 0;
  double sampleCount = 0;

  void add(double sample);
};

/// The costs of the requests of one class.
struct ClassStatistics {
  RunningMean cost;                              ///< Thread-seconds of completed requests.
  RunningMean memoryMb;                          ///< Need of completed requests.
  RunningMean costBias{1, 0}, memoryBias{1, 0};  ///< The actual value relative to the declared one.
  RunningMean arrivingCost;                      ///< Thread-seconds of all requests that arrived.

  /// Adds a completed request that took `threadSeconds` of its threads.
  void addCompleted(const Request& request, double threadSeconds, const std::optional<ActualCost>& actual);
};

/// How long, on how many threads and with how much memory attempts stay on their engines. The sums are
/// weighted so that they cover about the latest hundred attempts.
class ResidencyStatistics {
 public:
  /// Adds an attempt that took `threadSeconds` of its threads.
  void add(const Attempt& attempt, double threadSeconds);

  /// Threads that so many requests use on average.
  double threadsOf(double requestCount) const { return requestCount * threadTime_ / time_; }

  /// Memory in MB that requests with so many threads hold on average.
  double memoryMbOf(double threads) const { return threads * memoryTime_ / threadTime_; }

  /// Seconds until most of the requests that hold so many threads have finished.
  double drainSeconds(double threads) const { return threads * squaredTime_ / threadTime_; }

 private:
  double time_ = 1e-3, threadTime_ = 1e-3, squaredTime_ = 1e-3, memoryTime_ = 0;
};

}  // namespace paddletrack
