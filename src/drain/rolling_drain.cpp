#include "drain/rolling_drain.hpp"

namespace paddletrack::drain {

// A miss: the one that is out is brought back, and no other is touched.
RollingDrain::Step RollingDrain::rollBack(Duration now, std::string reason) {
  failureReason_ = std::move(reason);
  const bool isControllerOut = phase_ != Phase::ready;
  phase_ = isControllerOut ? Phase::rollingBack : Phase::finished;
  phaseStartedAt_ = now;
  if (!isControllerOut) return {Action::failed, currentIndex_};
  return {Action::cancelDrain, currentIndex_};
}

RollingDrain::Step RollingDrain::advance(Duration now) {
  const ControllerObservation* current =
      currentIndex_ < observations_.size() ? &observations_[currentIndex_] : nullptr;
  switch (phase_) {
    case Phase::ready: {
      if (!current) {
        phase_ = Phase::finished;
        return {Action::finished, currentIndex_};
      }
      // Two out at once is what a roll is there to prevent.
      for (std::size_t index = 0; index < observations_.size(); ++index)
        if (!isServing(index)) {
          if (observations_[index].state == "coming-back" && now < phaseStartedAt_ + options_.resumeTimeout)
            return {Action::wait, index};
          currentIndex_ = index;
          return rollBack(now, observations_[index].reachable
                                   ? "it is " + observations_[index].state + ", not serving"
                                   : "it does not answer");
        }
      previousDrainNumber_ = current->drainNumber;
      previousProcessId_ = current->processId;
      maintenanceSucceeded_.reset();
      cancelRequested_ = false;
      phase_ = Phase::draining;
      phaseStartedAt_ = now;
      return {Action::startDrain, currentIndex_};
    }
    case Phase::draining: {
      const bool isOwnDrain = current->reachable && current->processId == previousProcessId_ &&
                              current->drainNumber == previousDrainNumber_ + 1;
      if (current->reachable && current->processId != previousProcessId_)
        return rollBack(now, "it was started anew while it drained");
      if (isOwnDrain && current->deadlineMissed) return rollBack(now, "its deadline found jobs open");
      if (isOwnDrain && (current->state == "coming-back" || current->state == "serving"))
        return rollBack(now, "somebody cancelled its drain");
      if (isOwnDrain && current->state == "drained") {
        phase_ = Phase::inMaintenance;
        phaseStartedAt_ = now;
        if (options_.hasMaintenance) return {Action::runMaintenance, currentIndex_};
        maintenanceSucceeded_ = true;
        return advance(now);
      }
      if (now >= phaseStartedAt_ + options_.drainTimeout + options_.graceDuration)
        return rollBack(
            now, current->reachable ? "it is not drained in time" : "it stopped answering while it drained");
      return {Action::wait, currentIndex_};
    }
    case Phase::inMaintenance: {
      if (!maintenanceSucceeded_) return {Action::wait, currentIndex_};
      if (!*maintenanceSucceeded_) return rollBack(now, "what was to be done to it failed");
      phase_ = Phase::resuming;
      phaseStartedAt_ = now;
      return advance(now);
    }
    case Phase::resuming: {
      if (isServing(currentIndex_)) {
        ++completedCount_, ++currentIndex_;
        phase_ = Phase::ready;
        phaseStartedAt_ = now;
        return advance(now);
      }
      if (now >= phaseStartedAt_ + options_.resumeTimeout) return rollBack(now, "it does not serve again");
      // One that was started anew comes back by itself; one that was not has to be asked, once.
      const bool isSameProcess = current->reachable && current->processId == previousProcessId_;
      if (isSameProcess && !cancelRequested_ && (current->state == "drained" || current->state == "ending")) {
        cancelRequested_ = true;
        return {Action::cancelDrain, currentIndex_};
      }
      return {Action::wait, currentIndex_};
    }
    case Phase::rollingBack: {
      if (isServing(currentIndex_) || now >= phaseStartedAt_ + options_.resumeTimeout) {
        phase_ = Phase::finished;
        if (!isServing(currentIndex_)) failureReason_ += "; and it could not be brought back";
        return {Action::failed, currentIndex_};
      }
      return {Action::wait, currentIndex_};
    }
    case Phase::finished:
      break;
  }
  return {failureReason_.empty() ? Action::finished : Action::failed, currentIndex_};
}

}  // namespace paddletrack::drain
