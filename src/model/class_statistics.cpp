#include "model/class_statistics.hpp"

#include <algorithm>

#include "model/time_conversion.hpp"

namespace paddletrack {

void RunningMean::add(double sample) {
  sampleCount = std::min(sampleCount + 1, 100.0);
  mean += (sample - mean) / sampleCount;
}

void ClassStatistics::addCompleted(const Request& request, double threadSeconds,
                                   const std::optional<ActualCost>& actual) {
  const double declaredSeconds = request.declaredCost ? toSeconds(*request.declaredCost) : threadSeconds;
  cost.add(actual ? actual->threadSeconds : declaredSeconds);
  if (actual && request.declaredCost) costBias.add(actual->threadSeconds / declaredSeconds);
  if (actual || request.declaredMemoryMb > 0)
    memoryMb.add(actual ? actual->memoryMb : request.declaredMemoryMb);
  if (actual && request.declaredMemoryMb > 0) memoryBias.add(actual->memoryMb / request.declaredMemoryMb);
}

void ResidencyStatistics::add(const Attempt& attempt, double threadSeconds) {
  const double retainedRatio = 0.99;
  time_ = time_ * retainedRatio + threadSeconds / attempt.threads;
  squaredTime_ = squaredTime_ * retainedRatio + threadSeconds * threadSeconds / attempt.threads;
  threadTime_ = threadTime_ * retainedRatio + threadSeconds;
  memoryTime_ = memoryTime_ * retainedRatio + threadSeconds / attempt.threads * attempt.memoryMb;
}

}  // namespace paddletrack
