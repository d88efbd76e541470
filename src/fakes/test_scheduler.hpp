// Scheduler for tests and load tests that drive the event loop themselves.
#pragma once

#include <chrono>
#include <functional>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Runs the event loop for a given time or until a condition holds. Owns a memory budget that is large
/// enough not to be exhausted in tests.
struct TestScheduler : transport::Scheduler {
  void runFor(std::chrono::milliseconds duration) {
    transport::ScheduledCall timer(*this, [this] { stop(); });
    timer.runAt(now() + duration);
    run();
  }

  /// Runs the loop until `predicate`, which is evaluated every millisecond, holds. Returns false if it did
  /// not hold by the timeout.
  bool runUntil(const std::function<bool()>& predicate,
                std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    for (const transport::TimePoint deadline = now() + timeout; now() < deadline;
         runFor(std::chrono::milliseconds(1)))
      if (predicate()) return true;
    return predicate();
  }

  transport::MemoryBudget memoryBudget{256 << 20, 0};
};

}  // namespace paddletrack::fakes
