// Faults that a proxy injects into one direction of the traffic between two processes.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <random>

namespace paddletrack::fakes {

using std::chrono::milliseconds;

/// May be changed at any time; changes apply to data that arrives afterwards.
struct NetworkFaults {
  bool blocked = false;             ///< Datagrams are dropped; stream data is held until this is false again.
  milliseconds minDelay{0};         ///< Lower bound of the uniformly drawn delay of each datagram or read.
  milliseconds maxDelay{0};         ///< Upper bound of that delay.
  double dropProbability = 0;       ///< Applies to datagrams.
  double duplicateProbability = 0;  ///< Applies to datagrams.
  double reorderProbability = 0;    ///< Applies to datagrams.
  milliseconds reorderDelay{50};    ///< Additional delay of a reordered datagram, so that others overtake it.
  /// Both ends of a connection are reset after it has forwarded this many bytes; std::nullopt: never.
  std::optional<std::size_t> resetAfterBytes{};
};

/// Returns true with the given probability. Draws no random number if the probability is 0.
inline bool drawEvent(std::mt19937_64& random, double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

/// Returns a uniformly drawn delay between the minimum and maximum delay of `faults`.
inline milliseconds drawDelay(std::mt19937_64& random, const NetworkFaults& faults) {
  const auto maxDelay = std::max(faults.minDelay, faults.maxDelay);
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(faults.minDelay.count(), maxDelay.count())(random));
}

}  // namespace paddletrack::fakes
