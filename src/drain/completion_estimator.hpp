#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace paddletrack::drain {

using Duration = std::chrono::microseconds;

/// Estimates when the open requests will be completed, from the latencies of earlier requests of their class.
/// Reads no clock: the caller passes times and latencies.
class CompletionEstimator {
 public:
  explicit CompletionEstimator(std::size_t classCount) : histograms_(classCount) {}

  /// Records the latency of a completed request.
  void recordCompletion(std::size_t classIndex, Duration latency);

  /// A request without a final response.
  struct OpenRequest {
    std::size_t classIndex = 0;
    Duration age{0};
    Duration remaining{0};  // Until its timeout.
  };
  struct Estimate {
    Duration remaining{0};  // Until the last open request is completed.
    // Latencies on which the estimate is based; 0 if there were none and it is the request's timeout.
    std::uint64_t sampleCount = 0;
  };
  /// The quantile of the latencies of comparable requests that is used as the estimate.
  static constexpr double kQuantile = 0.9;
  /// Returns std::nullopt if `openRequests` is empty.
  std::optional<Estimate> estimateCompletion(const std::vector<OpenRequest>& openRequests) const;

 private:
  // Latencies in exponential buckets, four per doubling, starting at 1 ms. All counts are halved when there
  // are kMaxSamples, so that recent latencies have more weight.
  static constexpr std::size_t kBucketCount = 96;
  static constexpr std::uint32_t kMaxSamples = 4096;
  struct DurationHistogram {
    std::array<std::uint32_t, kBucketCount> buckets{};
    std::uint32_t count = 0;
  };
  static std::size_t bucketIndex(Duration latency);
  static Duration bucketUpperBound(std::size_t bucket);
  Estimate estimateRequest(const OpenRequest& request) const;

  std::vector<DurationHistogram> histograms_;
};

}  // namespace paddletrack::drain
