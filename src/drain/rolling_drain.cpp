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
  // A drain starts only while all controllers serve, so that no two are ever out of service at once.
  for (std::size_t index = 0; index < observations_.size(); ++index) {
    if (isServing(index)) continue;
    const ControllerObservation& observation = observations_[index];
    if (observation.state == "coming-back" && now < phaseStartedAt_ + options_.resumeTimeout)
      return {Action::wait, index};
    currentIndex_ = index;
    return rollBack(now, observation.reachable ? "expected state 'serving', found '" + observation.state + "'"
                                               : "controller does not respond");
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
    return rollBack(now, "controller restarted during its drain");
  const bool isOwnDrain = current.reachable && current.drainNumber == previousDrainNumber_ + 1;
  if (isOwnDrain && current.deadlineMissed)
    return rollBack(now, "requests were still open at the drain deadline");
  if (isOwnDrain && (current.state == "coming-back" || current.state == "serving"))
    return rollBack(now, "drain was cancelled by another client");
  if (isOwnDrain && current.state == "drained") {
    enterPhase(Phase::inMaintenance, now);
    if (options_.hasMaintenance) return {Action::runMaintenance, currentIndex_};
    maintenanceSucceeded_ = true;
    return awaitMaintenance(now);
  }
  if (now >= phaseStartedAt_ + options_.drainTimeout + options_.graceDuration)
    return rollBack(now, current.reachable ? "drain did not finish in time"
                                           : "controller stopped responding during its drain");
  return {Action::wait, currentIndex_};
}

RollingDrain::Step RollingDrain::awaitMaintenance(Duration now) {
  if (!maintenanceSucceeded_) return {Action::wait, currentIndex_};
  if (!*maintenanceSucceeded_) return rollBack(now, "maintenance command failed");
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
  if (now >= phaseStartedAt_ + options_.resumeTimeout)
    return rollBack(now, "controller did not return to service in time");
  // A restarted controller serves without a command; the drain of one that did not restart is cancelled once.
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
  if (!isServing(currentIndex_))
    failureReason_ += "; controller did not return to service after the drain was cancelled";
  return {Action::failed, currentIndex_};
}

// After a failure, returns the drained controller to service and drains no further controllers.
RollingDrain::Step RollingDrain::rollBack(Duration now, std::string reason) {
  failureReason_ = std::move(reason);
  const bool isOutOfService = phase_ != Phase::ready;
  enterPhase(isOutOfService ? Phase::rollingBack : Phase::finished, now);
  return {isOutOfService ? Action::cancelDrain : Action::failed, currentIndex_};
}

void RollingDrain::enterPhase(Phase phase, Duration now) {
  phase_ = phase;
  phaseStartedAt_ = now;
}

}  // namespace paddletrack::drain
