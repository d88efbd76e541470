#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"
#include "model/request.hpp"

namespace paddletrack {

/// Target number of running threads per core of an engine, before the adaptive limit is applied.
extern const double kTargetThreadsPerCore;

/// Ratio of an engine's thread limit to its concurrency target. It exceeds 1 because requests still start
/// above the target, with decreasing probability.
extern const double kLimitToTargetRatio;

/// The state shared by the parts of one AdmissionController: the deployment, the time of the current event,
/// the engines, the attempts in flight, and the only random number generator.
struct AdmissionContext {
  /// `description` must outlive the context.
  AdmissionContext(const Deployment& description, std::uint64_t seed, Duration startTime);

  /// Sets the time of the current event. An event far later than the scheduled timer shows that this process
  /// was stalled. Responses may have arrived during the stall, so its duration is added to the unobserved
  /// time of the attempts in flight and is not held against their engines.
  void advanceClock(Duration time);

  /// Returns the next random number, uniform in [0, 1].
  double drawUniform();

  /// Returns the seconds since the attempt was sent, not counting stalls of this controller.
  double observedAge(const Attempt& attempt) const { return attempt.observedAge(now); }

  /// Returns true if the engine's process was started less than the warm-up time ago.
  bool isWarmingUp(const Engine& engine) const {
    return engine.endpoint.startedAt && now - *engine.endpoint.startedAt < deployment.warmupTime;
  }

  const MachineType& machineType(const Engine& engine) const {
    return deployment.machineTypes[engine.endpoint.machineType];
  }
  Duration shortestObjective() const { return shortestClass->latencyObjective; }

  /// Returns true if the controllers exchange peer reports. With fractional shares they do not: each
  /// controller has less than one request in flight on most engines, so the reports carry little information,
  /// and their cost grows with the square of the number of controllers.
  bool usesPeerReports() const { return deployment.allowsPeerReports && !hasFractionalShares; }

  const Deployment& deployment;
  Duration now;                                 ///< The time of the current event.
  Duration startedAt = now;                     ///< When this controller started.
  const RequestClass* shortestClass = nullptr;  ///< The class with the lowest nominal cost.
  bool hasFractionalShares = false;             ///< A share of an engine is below the widest request.
  std::vector<Engine*> engines;  ///< In this controller's random order, which favors large engines.
  std::vector<Attempt*> inFlightAttempts;
  std::optional<Duration> nextTimerAt;   ///< Due time of the scheduled timer.
  std::optional<Duration> stallEndedAt;  ///< Time at which the latest stall was detected.
  Duration stallDuration{0};             ///< Duration of the latest stall.

 private:
  std::minstd_rand random_;
};

}  // namespace paddletrack
