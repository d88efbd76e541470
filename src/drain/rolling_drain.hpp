#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "drain/drain_state_machine.hpp"

namespace paddletrack::drain {

/// The state last reported by a controller's admin server.
struct ControllerObservation {
  bool reachable = false;
  std::string state;              // As returned by nameOf().
  std::uint64_t drainNumber = 0;  // Of its latest drain; 0 if there was none.
  bool deadlineMissed = false;    // Of that drain.
  std::uint64_t processId = 0;
};

/// Drains several controllers one at a time and stops at the first failure. Performs no I/O and reads no
/// clock: the caller passes observations and times and performs the returned steps.
class RollingDrain {
 public:
  struct Options {
    Duration drainTimeout{std::chrono::seconds(20)};  // The deadline of each drain.
    // Time after the deadline for the controller to report that it is drained.
    Duration graceDuration{std::chrono::seconds(2)};
    // Time after the drain and the maintenance for the controller to return to service.
    Duration resumeTimeout{std::chrono::seconds(30)};
    bool hasMaintenance = false;  // Run maintenance on each drained controller, which may restart it.
  };
  RollingDrain(std::size_t controllerCount, const Options& options)
      : options_(options), observations_(controllerCount) {}

  void recordObservation(std::size_t controllerIndex, ControllerObservation observation) {
    observations_[controllerIndex] = std::move(observation);
  }
  /// Reports that the maintenance of the drained controller has ended.
  void onMaintenanceFinished(bool succeeded) { maintenanceSucceeded_ = succeeded; }

  enum class Action { wait, startDrain, runMaintenance, cancelDrain, finished, failed };
  struct Step {
    Action action = Action::wait;
    std::size_t controllerIndex = 0;
  };
  /// Returns the next step. The caller performs each step once and reports its effect with
  /// recordObservation() or onMaintenanceFinished().
  Step advance(Duration now);

  /// The number of controllers that were drained and have returned to service.
  std::size_t completedCount() const { return completedCount_; }
  const std::string& failureReason() const { return failureReason_; }

 private:
  // One function per phase.
  Step startNext(Duration now);
  Step awaitDrained(Duration now);
  Step awaitMaintenance(Duration now);
  Step awaitServing(Duration now);
  Step awaitRollback(Duration now);

  enum class Phase { ready, draining, inMaintenance, resuming, rollingBack, finished };
  Step rollBack(Duration now, std::string reason);
  void enterPhase(Phase phase, Duration now);
  bool isServing(std::size_t controllerIndex) const {
    return observations_[controllerIndex].reachable && observations_[controllerIndex].state == "serving";
  }

  Options options_;
  std::vector<ControllerObservation> observations_;
  std::size_t currentIndex_ = 0, completedCount_ = 0;
  Phase phase_ = Phase::ready;
  Duration phaseStartedAt_{0};
  std::uint64_t previousDrainNumber_ = 0, previousProcessId_ = 0;
  std::optional<bool> maintenanceSucceeded_;
  bool cancelRequested_ = false;
  std::string failureReason_;
};

}  // namespace paddletrack::drain
