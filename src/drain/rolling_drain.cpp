#include "drain/rolling_drain.hpp"

#include <utility>

namespace paddletrack::drain {

RollingDrain::Step RollingDrain::advance(Duration now) {
  switch (phase_) {
    case Phase::ready:
      return startNext(now);
    case Phase::draining:
      return awaitDrained(now);
    case Phase::inMaintenance:
      return awaitMaintenance(now);
    case Phase::resuming:
      return awaitServing(now);
    case Phase::rollingBack:
      return awaitRollback(now);
    case Phase::finished:
      break;
  }
  return {failureReason_.empty() ? Action::finished : Action::failed, currentIndex_};
}

RollingDrain::Step RollingDrain::startNext(Duration now) {
  if (currentIndex_ >= observations_.size()) {
    phase_ = Phase::finished;
    return {Action::finished, currentIndex_};
  }
  // A drain starts only while all controllers serve: two must never be out at once.
  for (std::size_t index = 0; index < observations_.size(); ++index) {
    if (isServing(index)) continue;
    const ControllerObservation& observation = observations_[index];
    if (observation.state == "coming-back" && now < phaseStartedAt_ + options_.resumeTimeout)
      return {Action::wait, index};
    currentIndex_ = index;
    return rollBack(
        now, observation.reachable ? "it is " + observation.state + ", not serving" : "it does not answer");
  }
  previousDrainNumber_ = observations_[currentIndex_].drainNumber;
  previousProcessId_ = observations_[currentIndex_].processId;
  maintenanceSucceeded_.reset();
  cancelRequested_ = false;
  enterPhase(Phase::draining, now);
  return {Action::startDrain, currentIndex_};
}

RollingDrain::Step RollingDrain::awaitDrained(Duration now) {
  const ControllerObservation& current = observations_[currentIndex_];
  if (current.reachable && current.processId != previousProcessId_)
    return rollBack(now, "it was started anew while it drained");
  const bool isOwnDrain = current.reachable && current.drainNumber == previousDrainNumber_ + 1;
  if (isOwnDrain && current.deadlineMissed) return rollBack(now, "its deadline found jobs open");
  if (isOwnDrain && (current.state == "coming-back" || current.state == "serving"))
    return rollBack(now, "somebody cancelled its drain");
  if (isOwnDrain && current.state == "drained") {
    enterPhase(Phase::inMaintenance, now);
    if (options_.hasMaintenance) return {Action::runMaintenance, currentIndex_};
    maintenanceSucceeded_ = true;
    return awaitMaintenance(now);
  }
  if (now >= phaseStartedAt_ + options_.drainTimeout + options_.graceDuration)
    return rollBack(
        now, current.reachable ? "it is not drained in time" : "it stopped answering while it drained");
  return {Action::wait, currentIndex_};
}

RollingDrain::Step RollingDrain::awaitMaintenance(Duration now) {
  if (!maintenanceSucceeded_) return {Action::wait, currentIndex_};
  if (!*maintenanceSucceeded_) return rollBack(now, "what was to be done to it failed");
  enterPhase(Phase::resuming, now);
  return awaitServing(now);
}

RollingDrain::Step RollingDrain::awaitServing(Duration now) {
  if (isServing(currentIndex_)) {
    ++completedCount_;
    ++currentIndex_;
    enterPhase(Phase::ready, now);
    return startNext(now);
  }
  if (now >= phaseStartedAt_ + options_.resumeTimeout) return rollBack(now, "it does not serve again");
  // A restarted controller serves by itself; one that was not restarted has to be asked, once.
  const ControllerObservation& current = observations_[currentIndex_];
  const bool isSameProcess = current.reachable && current.processId == previousProcessId_;
  if (isSameProcess && !cancelRequested_ && (current.state == "drained" || current.state == "ending")) {
    cancelRequested_ = true;
    return {Action::cancelDrain, currentIndex_};
  }
  return {Action::wait, currentIndex_};
}

RollingDrain::Step RollingDrain::awaitRollback(Duration now) {
  if (!isServing(currentIndex_) && now < phaseStartedAt_ + options_.resumeTimeout)
    return {Action::wait, currentIndex_};
  phase_ = Phase::finished;
  if (!isServing(currentIndex_)) failureReason_ += "; and it could not be brought back";
  return {Action::failed, currentIndex_};
}

// After a failure the controller that is out is brought back, and no further one is touched.
RollingDrain::Step RollingDrain::rollBack(Duration now, std::string reason) {
  failureReason_ = std::move(reason);
  const bool isControllerOut = phase_ != Phase::ready;
  enterPhase(isControllerOut ? Phase::rollingBack : Phase::finished, now);
  return {isControllerOut ? Action::cancelDrain : Action::failed, currentIndex_};
}

void RollingDrain::enterPhase(Phase phase, Duration now) {
  phase_ = phase;
  phaseStartedAt_ = now;
}

}  // namespace paddletrack::drain
