#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace paddletrack::drain {

using Duration = std::chrono::microseconds;

/// Estimates when the open requests will be completed, from the latencies of earlier requests of their class.
/// The caller passes times and latencies; there is no clock inside.
class CompletionEstimator {
 public:
  explicit CompletionEstimator(std::size_t classCount) : histograms_(classCount) {}

  /// Records a request that was completed.
  void recordCompletion(std::size_t classIndex, Duration latency);

  /// A request without a final response.
  struct OpenRequest {
    std::size_t classIndex = 0;
    Duration age{0};
    Duration remaining{0};  // Until the request times out.
  };
  struct Estimate {
    Duration remaining{0};  // Until the last open request is completed.
    // Latencies behind the estimate of that request. 0: there were none, and its timeout is the estimate.
    std::uint64_t sampleCount = 0;
  };
  /// The share of comparable requests that were completed within the estimate.
  static constexpr double kQuantile = 0.9;
  /// Returns none if nothing is open.
  std::optional<Estimate> estimateCompletion(const std::vector<OpenRequest>& openRequests) const;

 private:
  // Latencies in exponential buckets, four to a doubling, from a millisecond on. All counts are halved when
  // there are kMaxSamples, so that recent latencies weigh more.
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
