#pragma once

#include <chrono>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Returns the duration in seconds.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Returns a duration of `seconds`, truncated to the resolution of Duration.
inline Duration toDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace paddletrack
