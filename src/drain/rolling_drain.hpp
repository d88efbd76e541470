// Taking several controllers out in turn, one at a time. No I/O and no clock, as the drain.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "drain/drain_state_machine.hpp"

namespace paddletrack::drain {

// What a controller's door last told of it.
struct ControllerObservation {
  bool reachable = false;
  std::string state;              // as nameOf
  std::uint64_t drainNumber = 0;  // the number of its latest drain; 0: none
  bool deadlineMissed = false;    // that drain's deadline found jobs open
  std::uint64_t processId = 0;
};

class RollingDrain {
 public:
  struct Options {
    Duration drainTimeout{std::chrono::seconds(20)};  // of each drain
    Duration graceDuration{
        std::chrono::seconds(2)};  // past it, until the controller must say that it is drained
    Duration resumeTimeout{std::chrono::seconds(30)};  // from then on, until it must serve again
    bool hasMaintenance = false;  // something is done to each while it is out, which may start it anew
  };
  RollingDrain(std::size_t controllerCount, const Options& options)
      : options_(options), observations_(controllerCount) {}

  void recordObservation(std::size_t controllerIndex, ControllerObservation observation) {
    observations_[controllerIndex] = std::move(observation);
  }
  void onMaintenanceFinished(bool succeeded) {
    maintenanceSucceeded_ = succeeded;
  }  // what was done to the one that is out has ended

  enum class Action { wait, startDrain, runMaintenance, cancelDrain, finished, failed };
  struct Step {
    Action action = Action::wait;
    std::size_t controllerIndex = 0;
  };
  // What to do now. Each is to be done once, and what then is seen to be told by saw or worked.
  Step advance(Duration now);

  std::size_t completedCount() const { return completedCount_; }  // so many have been out and serve again
  const std::string& failureReason() const { return failureReason_; }

 private:
  enum class Phase { ready, draining, inMaintenance, resuming, rollingBack, finished };
  Step rollBack(Duration now, std::string reason);
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
