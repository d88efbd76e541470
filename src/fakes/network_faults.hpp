// The faults that a proxy injects into one direction of the traffic between two processes.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <random>

namespace paddletrack::fakes {

using std::chrono::milliseconds;

/// May be changed at any time; applies to what arrives from then on.
struct NetworkFaults {
  bool blocked = false;      ///< Datagrams are lost; the bytes of a stream wait until it is false again.
  milliseconds minDelay{0};  ///< Each datagram or read is delayed by a time between the two, evenly drawn.
  milliseconds maxDelay{0};
  double dropProbability = 0;       ///< Of datagrams.
  double duplicateProbability = 0;  ///< Of datagrams.
  double reorderProbability = 0;    ///< Of datagrams.
  milliseconds reorderDelay{50};    ///< Further delay of a reordered datagram, so that others overtake it.
  /// After this count of bytes of a connection both its ends are reset.
  std::optional<std::size_t> resetAfterBytes{};
};

/// Draws whether an event of this probability happens. Draws nothing if the probability is 0.
inline bool drawEvent(std::mt19937_64& random, double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

/// Draws a delay between the two limits of `faults`.
inline milliseconds drawDelay(std::mt19937_64& random, const NetworkFaults& faults) {
  const auto maxDelay = std::max(faults.minDelay, faults.maxDelay);
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(faults.minDelay.count(), maxDelay.count())(random));
}

}  // namespace paddletrack::fakes
