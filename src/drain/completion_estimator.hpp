// How long open jobs will still take, from how long earlier ones took. An estimate, and told as one.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace paddletrack::drain {

using Duration = std::chrono::microseconds;

class CompletionEstimator {
 public:
  explicit CompletionEstimator(std::size_t classCount) : histograms_(classCount) {}

  void recordCompletion(std::size_t classIndex, Duration latency);

  // An open job, by its type's index: how old it is, and how long until its client's time is up.
  struct OpenRequest {
    std::size_t classIndex = 0;
    Duration age{0}, remaining{0};
  };
  struct Estimate {
    Duration remaining{0};  // until the last of them has ended
    std::uint64_t sampleCount =
        0;  // answers that the estimate rests on, of the job that decides; 0: its time-out
  };
  static constexpr double kQuantile = 0.9;  // of jobs like it end by then
  std::optional<Estimate> estimateCompletion(
      const std::vector<OpenRequest>& openRequests) const;  // none: nothing is open

 private:
  // Answers by time taken, four cells to a doubling from a millisecond on; halved together now and then, so
  // that what has changed shows.
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
