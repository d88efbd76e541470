// A scheduler for tests and experiments that drive the loop themselves.
#pragma once

#include <chrono>
#include <functional>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Runs the loop for a time or until a condition holds. Owns an output budget that is never exhausted in
/// tests.
struct TestScheduler : transport::Scheduler {
  void runFor(std::chrono::milliseconds duration) {
    transport::ScheduledCall timer(*this, [this] { stop(); });
    timer.runAt(now() + duration);
    run();
  }

  /// Returns whether `predicate` held before the timeout. It is evaluated every millisecond.
  bool runUntil(const std::function<bool()>& predicate,
                std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    for (const transport::TimePoint deadline = now() + timeout; now() < deadline;
         runFor(std::chrono::milliseconds(1)))
      if (predicate()) return true;
    return predicate();
  }

  transport::OutputBudget outputBudget{256 << 20, 0};
};

}  // namespace paddletrack::fakes
