#include "drain/drain_state_machine.hpp"

#include <algorithm>

namespace paddletrack::drain {
namespace {

// Where nobody asks for heartbeats there may be no front layer, or one that is late: so many notices.
constexpr int kNoHeartbeatNoticeFactor = 2;
// In notices: what is answered may take so long to leave past the deadline. Who reads more slowly does not
// hold the drain.
constexpr int kFlushNoticeFactor = 1;
// A planned restart: connections and requests go on coming for a while after SIGTERM, and SIGKILL comes no
// sooner than the longest job timeout, at most so long, and a last stretch.
using std::chrono::milliseconds;
constexpr milliseconds kTrailingTrafficDuration{760}, kMaxRequestWaitDuration{3000},
    kShutdownReserveDuration{700}, kShutdownMarginDuration{300};
// Of the margin, for connections to be half-closed and read out at the very end.
constexpr milliseconds kHalfCloseDuration{150};

constexpr Duration kPollInterval = std::chrono::milliseconds(5);  // between looks while one is awaited
// A look that comes so late means that the process stood still: what came meanwhile has not been read yet.
constexpr Duration kStallThresholdDuration = kPollInterval * 4, kStallRecoveryDuration = kPollInterval * 8;

}  // namespace

const char* nameOf(State state) {
  static constexpr std::array<const char*, kStateCount> kNames{"serving", "leaving",     "closing", "ending",
                                                               "drained", "coming-back", "stopping"};
  return kNames[static_cast<std::size_t>(state)];
}

DrainError DrainStateMachine::requestDrain(Duration now, std::optional<Duration> deadline,
                                           std::optional<Duration> retryAfter, const OpenWork& work) {
  if (deadline && (*deadline < Duration{0} || *deadline > options_.maxDeadline))
    return DrainError::invalidDeadline;
  if (retryAfter && (*retryAfter < Duration{0} || *retryAfter > options_.maxDeadline))
    return DrainError::invalidRetryAfter;
  if (state_ == State::ending || state_ == State::drained) return DrainError::none;
  const bool isNewDrain = !isDraining();
  if (isNewDrain) {
    progress_ = DrainProgress{};
    progress_->number = ++drainCount_;
    progress_->requestedAt = now;
    progress_->deadline = now + deadline.value_or(options_.defaultDeadline);
    progress_->retryAfter = retryAfter.value_or(options_.retryAfter);
    progress_->workAtStart = work;
    state_ = State::leaving;
    stateEnteredAt_ = now;
  }
  if (deadline) progress_->deadline = now + *deadline;
  if (retryAfter) progress_->retryAfter = *retryAfter;
  if (exitDeadline_)
    progress_->deadline = std::min(progress_->deadline, *responseDeadline());  // the earlier end holds
  return DrainError::none;
}

DrainError DrainStateMachine::cancelDrain(Duration now) {
  if (exitDeadline_) return DrainError::stopping;
  if (!isDraining() && state_ != State::drained) return DrainError::notDraining;
  progress_->cancelled = true;
  state_ = State::comingBack;
  stateEnteredAt_ = now;
  return DrainError::none;
}

void DrainStateMachine::onTerminate(Duration now, Duration maxRequestTimeout) {
  if (exitDeadline_) return;
  exitDeadline_ = now + std::min<Duration>(maxRequestTimeout, kMaxRequestWaitDuration) +
                  kShutdownReserveDuration - kShutdownMarginDuration;
  earliestExitAt_ = now + kTrailingTrafficDuration;
  if (isDraining()) {
    progress_->deadline = std::min(progress_->deadline, *responseDeadline());
  } else if (state_ != State::drained) {
    state_ = State::stopping;
    stateEnteredAt_ = now;
  }
}

std::optional<Duration> DrainStateMachine::responseDeadline() const {
  return exitDeadline_ ? std::optional(*exitDeadline_ - kShutdownMarginDuration) : std::nullopt;
}

bool DrainStateMachine::onHeartbeat(Duration now) {
  if (state_ == State::leaving && !progress_->firstUnhealthyAt) progress_->firstUnhealthyAt = now;
  if (state_ == State::comingBack) state_ = State::serving, stateEnteredAt_ = now;
  return state_ == State::serving;
}

std::optional<Duration> DrainStateMachine::rejectionRetryAfter() const {
  const bool isRejecting = state_ == State::closing || state_ == State::ending || state_ == State::drained;
  return isRejecting ? std::optional(progress_->retryAfter) : std::nullopt;
}

// The front layer has noticed a notice after the first bad heartbeat.
Duration DrainStateMachine::stopAcceptingAt() const {
  const Duration noticedAt =
      progress_->firstUnhealthyAt
          ? *progress_->firstUnhealthyAt + options_.noticeDuration
          : progress_->requestedAt + options_.noticeDuration * kNoHeartbeatNoticeFactor;
  return std::min(noticedAt, progress_->deadline);
}

DrainStateMachine::Actions DrainStateMachine::advance(Duration now, const OpenWork& work) {
  Actions actions;
  const auto enterState = [&](State nextState) { state_ = nextState, stateEnteredAt_ = now; };
  if (state_ == State::comingBack &&
      now >= stateEnteredAt_ + options_.noticeDuration * kNoHeartbeatNoticeFactor)
    enterState(State::serving);
  if (state_ == State::leaving && now >= stopAcceptingAt()) enterState(State::closing);
  if (state_ == State::closing && now >= progress_->deadline) {
    progress_->deadlineMissed = work.openRequests > 0;
    progress_->requestsEndedByDeadline = work.openRequests;
    enterState(State::ending);
  }
  if (state_ == State::ending && work.openRequests > 0) {
    actions.shouldEndRequests = true;
    return actions;
  }
  const bool isFlushed =
      work.unsentBytes == 0 ||
      (state_ == State::ending && now >= progress_->deadline + options_.noticeDuration * kFlushNoticeFactor);
  if ((state_ == State::closing || state_ == State::ending) && work.openRequests == 0 && isFlushed) {
    progress_->drainedAt = now;
    enterState(State::drained);
  }
  if (exitDeadline_) {
    if (plannedAdvanceAt_ && now > *plannedAdvanceAt_ + kStallThresholdDuration)
      stallRecoveryDeadline_ = now + kStallRecoveryDuration;
    const bool isIdle = work.openRequests == 0 && work.incomingClients == 0 && isFlushed;
    const bool mayExit =
        now >= stallRecoveryDeadline_ && (now >= *exitDeadline_ || (now >= earliestExitAt_ && isIdle));
    closingConnections_ = closingConnections_ || mayExit;
    actions.shouldCloseConnections = closingConnections_;
    actions.shouldExit = mayExit && (work.openConnections == 0 || now >= *exitDeadline_ + kHalfCloseDuration);
    plannedAdvanceAt_ = nextAdvanceAt(now);
  }
  return actions;
}

std::optional<Duration> DrainStateMachine::nextAdvanceAt(Duration now) const {
  std::optional<Duration> nextAt;
  const auto scheduleAt = [&](Duration instant) { nextAt = nextAt ? std::min(*nextAt, instant) : instant; };
  if (state_ == State::comingBack)
    scheduleAt(stateEnteredAt_ + options_.noticeDuration * kNoHeartbeatNoticeFactor);
  if (state_ == State::leaving) scheduleAt(stopAcceptingAt());
  if (state_ == State::closing || state_ == State::ending) scheduleAt(now + kPollInterval);
  if (state_ == State::closing) scheduleAt(progress_->deadline);
  if (exitDeadline_) {
    const Duration regularAt = std::max(std::min(now + kPollInterval * 4, *exitDeadline_),
                                        std::min(earliestExitAt_, *exitDeadline_));
    scheduleAt(std::max(regularAt, stallRecoveryDeadline_));
    if (closingConnections_) scheduleAt(std::max(now + kPollInterval, stallRecoveryDeadline_));
  }
  return nextAt;
}

}  // namespace paddletrack::drain
