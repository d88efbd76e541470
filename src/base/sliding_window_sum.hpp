#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace paddletrack {

/// A span of time. A point in time is represented as the time since the controller started.
using Duration = std::chrono::microseconds;

/// The sum of the values that were added during a sliding window. The window is a ring of `Buckets` buckets:
/// memory is constant, and old values expire one bucket at a time. The times passed to an object must not
/// decrease.
template <typename Value, std::size_t Buckets = 8>
class SlidingWindowSum {
 public:
  /// A `bucketDuration` of less than one microsecond is raised to one microsecond.
  explicit SlidingWindowSum(Duration bucketDuration = Duration{1})
      : bucketDuration_(bucketDuration > Duration{0} ? bucketDuration : Duration{1}) {}

  void add(Duration now, Value value) {
    advanceTo(now);
    bucketSums_[static_cast<std::size_t>(latestBucket_ % Buckets)] += value;
  }

  /// Returns the sum over the window that ends at `now`. The window covers at least `Buckets - 1` full bucket
  /// durations.
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
