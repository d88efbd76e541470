#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace paddletrack {

using Duration = std::chrono::microseconds;  // a time is a span since the controller's start

// Sums over the latest stretch of time, kept in fixed buckets that are used again in a ring.
template <typename Value, std::size_t Buckets = 8>
class SlidingWindowSum {
 public:
  explicit SlidingWindowSum(Duration bucketDuration = Duration{1})
      : bucketDuration_(bucketDuration > Duration{0} ? bucketDuration : Duration{1}) {}

  void add(Duration now, Value value) {
    advanceTo(now);
    bucketSums_[static_cast<std::size_t>(latestBucket_ % Buckets)] += value;
  }

  // Covers at least Buckets - 1 whole buckets before now, and never less.
  Value sum(Duration now) {
    advanceTo(now);
    Value total{};
    for (const Value& bucketSum : bucketSums_) total += bucketSum;
    return total;
  }

  void clear() { bucketSums_ = {}; }

 private:
  void advanceTo(Duration now) {
    const std::int64_t bucketIndex = now / bucketDuration_ + 1;
    if (bucketIndex - latestBucket_ >= static_cast<std::int64_t>(Buckets)) bucketSums_ = {};
    for (; latestBucket_ < bucketIndex; ++latestBucket_) {
      if (bucketIndex - latestBucket_ >= static_cast<std::int64_t>(Buckets)) latestBucket_ = bucketIndex - 1;
      bucketSums_[static_cast<std::size_t>((latestBucket_ + 1) % Buckets)] = Value{};
    }
  }

  Duration bucketDuration_;
  std::int64_t latestBucket_ = 0;
  std::array<Value, Buckets> bucketSums_{};
};

}  // namespace paddletrack
