#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"
#include "model/request.hpp"

namespace paddletrack {

/// Running threads per core that an engine should have: the design's starting value.
extern const double kTargetThreadsPerCore;

/// Thread limits of the classes relative to the concurrency target. They exceed it, because above the target
/// requests still start, with a falling probability.
extern const double kLimitToTargetRatio;

/// What the parts of one AdmissionController share: the deployment, the time of the current event, the
/// engines, the attempts in flight, and the only source of random numbers.
struct AdmissionContext {
  /// `description` has to outlive the context.
  AdmissionContext(const Deployment& description, std::uint64_t seed, Duration startTime);

  /// Sets the time of the event that is being handled. A call far later than the scheduled timer shows that
  /// this process was stalled. Its attempts may have been answered meanwhile, so the time of the stall is
  /// counted as unobserved and is no evidence against an engine.
  void advanceClock(Duration time);

  /// The next random number, uniform in [0, 1].
  double drawUniform();

  /// Seconds since the attempt was sent, as far as this controller observed them.
  double observedAge(const Attempt& attempt) const { return attempt.observedAge(now); }

  /// True while the engine's process is within the warm-up time after its start.
  bool isWarmingUp(const Engine& engine) const {
    return engine.endpoint.startedAt && now - *engine.endpoint.startedAt < deployment.warmupTime;
  }

  const MachineType& machineType(const Engine& engine) const {
    return deployment.machineTypes[engine.endpoint.machineType];
  }
  Duration shortestObjective() const { return shortestClass->latencyObjective; }

  /// False where shares are fractional: each controller then has less than a request in flight on most
  /// engines, so the reports say little, and their cost grows with the square of the number of controllers.
  bool usesPeerReports() const { return deployment.allowsPeerReports && !hasFractionalShares; }

  const Deployment& deployment;
  Duration now;                                 ///< The time of the event that is being handled.
  Duration startedAt = now;                     ///< When this controller started.
  const RequestClass* shortestClass = nullptr;  ///< The class with the lowest nominal cost.
  bool hasFractionalShares = false;  ///< One controller's share of an engine is below the widest request.
  std::vector<Engine*> engines;      ///< In this controller's own random order, larger ones rather first.
  std::vector<Attempt*> inFlightAttempts;
  std::optional<Duration> nextTimerAt;   ///< When the scheduled timer is due.
  std::optional<Duration> stallEndedAt;  ///< When the latest stall of this process was noticed.
  Duration stallDuration{0};             ///< How long that stall was.

 private:
  std::minstd_rand random_;
};

}  // namespace paddletrack
