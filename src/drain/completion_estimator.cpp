#include "drain/completion_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::drain {
namespace {

constexpr double kFirstBucketMs = 1;
constexpr double kBucketsPerDoubling = 4;
constexpr double kMicrosecondsPerMs = 1000;

}  // namespace

std::size_t CompletionEstimator::bucketIndex(Duration latency) {
  const double ms = static_cast<double>(latency.count()) / kMicrosecondsPerMs;
  if (ms <= kFirstBucketMs) return 0;
  const double index = std::ceil(std::log2(ms / kFirstBucketMs) * kBucketsPerDoubling);
  return std::min(static_cast<std::size_t>(index), kBucketCount - 1);
}

Duration CompletionEstimator::bucketUpperBound(std::size_t bucket) {
  return Duration{std::llround(kFirstBucketMs * kMicrosecondsPerMs *
                               std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling))};
}

void CompletionEstimator::recordCompletion(std::size_t classIndex, Duration latency) {
  DurationHistogram& histogram = histograms_[classIndex];
  ++histogram.buckets[bucketIndex(latency)];
  ++histogram.count;
  if (histogram.count < kMaxSamples) return;
  histogram.count = 0;
  for (std::uint32_t& bucket : histogram.buckets) {
    bucket /= 2;
    histogram.count += bucket;
  }
}

// Uses the earlier requests of the same class that took longer than the request's current age. The estimate
// of a request that is older than all of them is its timeout, for lack of comparable requests.
CompletionEstimator::Estimate CompletionEstimator::estimateRequest(const OpenRequest& request) const {
  const DurationHistogram& histogram = histograms_[request.classIndex];
  std::uint64_t longerCount = 0;
  const std::size_t firstBucket = bucketIndex(request.age) + 1;
  for (std::size_t bucket = firstBucket; bucket < kBucketCount; ++bucket)
    longerCount += histogram.buckets[bucket];
  const auto quantileCount =
      static_cast<std::uint64_t>(std::ceil(static_cast<double>(longerCount) * kQuantile));
  std::uint64_t cumulativeCount = 0;
  for (std::size_t bucket = firstBucket; longerCount > 0 && bucket < kBucketCount; ++bucket) {
    cumulativeCount += histogram.buckets[bucket];
    if (cumulativeCount < quantileCount) continue;
    const Duration remaining = bucketUpperBound(bucket) - request.age;
    if (remaining < request.remaining) return {std::max(remaining, Duration{0}), longerCount};
    break;
  }
  return {std::max(request.remaining, Duration{0}), 0};
}

std::optional<CompletionEstimator::Estimate> CompletionEstimator::estimateCompletion(
    const std::vector<OpenRequest>& openRequests) const {
  std::optional<Estimate> latest;
  for (const OpenRequest& openRequest : openRequests) {
    const Estimate estimate = estimateRequest(openRequest);
    if (!latest || estimate.remaining > latest->remaining) latest = estimate;
  }
  return latest;
}

}  // namespace paddletrack::drain
