#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace paddletrack {

using Span = std::chrono::microseconds;  // a time is a span since the controller's start

// Sums over the latest stretch of time, kept in fixed buckets that are used again in a ring.
template <typename Value, std::size_t Buckets = 8>
class BucketRing {
 public:
  explicit BucketRing(Span bucket = Span{1}) : bucket_(bucket > Span{0} ? bucket : Span{1}) {}

  void add(Span now, Value value) {
    turn(now);
    sums_[static_cast<std::size_t>(latest_ % Buckets)] += value;
  }

  // Covers at least Buckets - 1 whole buckets before now, and never less.
  Value sum(Span now) {
    turn(now);
    Value total{};
    for (const Value& each : sums_) total += each;
    return total;
  }

  void clear() { sums_ = {}; }

 private:
  void turn(Span now) {
    const std::int64_t at = now / bucket_ + 1;
    if (at - latest_ >= static_cast<std::int64_t>(Buckets)) sums_ = {};
    for (; latest_ < at; ++latest_) {
      if (at - latest_ >= static_cast<std::int64_t>(Buckets)) latest_ = at - 1;
      sums_[static_cast<std::size_t>((latest_ + 1) % Buckets)] = Value{};
    }
  }

  Span bucket_;
  std::int64_t latest_ = 0;
  std::array<Value, Buckets> sums_{};
};

}  // namespace paddletrack
