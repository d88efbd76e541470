#include "drain/drain_state_machine.hpp"

#include <algorithm>

namespace paddletrack::drain {
namespace {

using std::chrono::milliseconds;

// Multiplies the notice duration if no heartbeat has arrived: the front layer may be late, or there is none.
constexpr int kNoHeartbeatNoticeFactor = 2;
// Time after the deadline for sending responses, in multiples of the notice duration. A client that reads
// more slowly does not delay the drain further.
constexpr int kFlushNoticeFactor = 1;

// In a planned restart, connections and requests continue to arrive for a while after SIGTERM. SIGKILL
// follows no earlier than after the longest request timeout (up to kMaxRequestWaitDuration) plus
// kShutdownReserveDuration.
constexpr milliseconds kTrailingTrafficDuration{760};
constexpr milliseconds kMaxRequestWaitDuration{3000};
constexpr milliseconds kShutdownReserveDuration{700};
constexpr milliseconds kShutdownMarginDuration{300};
// Part of the margin during which connections are half-closed and their remaining input is read.
constexpr milliseconds kHalfCloseDuration{150};

constexpr Duration kPollInterval =
    milliseconds(5);  // Interval between calls of advance() while a condition is pending.
// A call that is later than this indicates that the process was stalled and has not yet read the input that
// arrived in the meantime.
constexpr Duration kStallThresholdDuration = kPollInterval * 4;
constexpr Duration kStallRecoveryDuration = kPollInterval * 8;

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
  if (isNewDrain) startDrain(now, work);
  if (deadline) progress_->deadline = now + *deadline;
  if (retryAfter) progress_->retryAfter = *retryAfter;
  // The earlier of the drain deadline and the response deadline of the shutdown applies.
  if (exitDeadline_) progress_->deadline = std::min(progress_->deadline, *responseDeadline());
  return DrainError::none;
}

void DrainStateMachine::startDrain(Duration now, const OpenWork& work) {
  ++drainCount_;
  progress_ = DrainProgress{};
  progress_->number = drainCount_;
  progress_->requestedAt = now;
  progress_->deadline = now + options_.defaultDeadline;
  progress_->retryAfter = options_.retryAfter;
  progress_->workAtStart = work;
  enterState(State::leaving, now);
}

void DrainStateMachine::enterState(State state, Duration now) {
  state_ = state;
  stateEnteredAt_ = now;
}

DrainError DrainStateMachine::cancelDrain(Duration now) {
  if (exitDeadline_) return DrainError::stopping;
  if (!isDraining() && state_ != State::drained) return DrainError::notDraining;
  progress_->cancelled = true;
  enterState(State::comingBack, now);
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
    enterState(State::stopping, now);
  }
}

std::optional<Duration> DrainStateMachine::responseDeadline() const {
  return exitDeadline_ ? std::optional(*exitDeadline_ - kShutdownMarginDuration) : std::nullopt;
}

bool DrainStateMachine::onHeartbeat(Duration now) {
  if (state_ == State::leaving && !progress_->firstUnhealthyAt) progress_->firstUnhealthyAt = now;
  if (state_ == State::comingBack) enterState(State::serving, now);
  return state_ == State::serving;
}

std::optional<Duration> DrainStateMachine::rejectionRetryAfter() const {
  const bool isRejecting = state_ == State::closing || state_ == State::ending || state_ == State::drained;
  return isRejecting ? std::optional(progress_->retryAfter) : std::nullopt;
}

// The front layer is expected to react within one notice duration of the first unhealthy heartbeat.
Duration DrainStateMachine::stopAcceptingAt() const {
  const Duration noticedAt =
      progress_->firstUnhealthyAt
          ? *progress_->firstUnhealthyAt + options_.noticeDuration
          : progress_->requestedAt + options_.noticeDuration * kNoHeartbeatNoticeFactor;
  return std::min(noticedAt, progress_->deadline);
}

DrainStateMachine::Actions DrainStateMachine::advance(Duration now, const OpenWork& work) {
  Actions actions;
  if (state_ == State::comingBack &&
      now >= stateEnteredAt_ + options_.noticeDuration * kNoHeartbeatNoticeFactor)
    enterState(State::serving, now);
  if (state_ == State::leaving && now >= stopAcceptingAt()) enterState(State::closing, now);
  if (state_ == State::closing && now >= progress_->deadline) {
    progress_->deadlineMissed = work.openRequests > 0;
    progress_->requestsEndedByDeadline = work.openRequests;
    enterState(State::ending, now);
  }
  if (state_ == State::ending && work.openRequests > 0) {
    actions.shouldEndRequests = true;
    return actions;
  }
  const bool areResponsesSent = isFlushed(now, work);
  if ((state_ == State::closing || state_ == State::ending) && work.openRequests == 0 && areResponsesSent) {
    progress_->drainedAt = now;
    enterState(State::drained, now);
  }
  if (exitDeadline_) advanceExit(now, work, areResponsesSent, actions);
  return actions;
}

bool DrainStateMachine::isFlushed(Duration now, const OpenWork& work) const {
  if (work.unsentBytes == 0) return true;
  return state_ == State::ending && now >= progress_->deadline + options_.noticeDuration * kFlushNoticeFactor;
}

void DrainStateMachine::advanceExit(Duration now, const OpenWork& work, bool areResponsesSent,
                                    Actions& actions) {
  if (plannedAdvanceAt_ && now > *plannedAdvanceAt_ + kStallThresholdDuration)
    stallRecoveryDeadline_ = now + kStallRecoveryDuration;
  const bool isIdle = work.openRequests == 0 && work.incomingClients == 0 && areResponsesSent;
  const bool mayExit =
      now >= stallRecoveryDeadline_ && (now >= *exitDeadline_ || (now >= earliestExitAt_ && isIdle));
  closingConnections_ = closingConnections_ || mayExit;
  actions.shouldCloseConnections = closingConnections_;
  actions.shouldExit = mayExit && (work.openConnections == 0 || now >= *exitDeadline_ + kHalfCloseDuration);
  plannedAdvanceAt_ = nextAdvanceAt(now);
}

std::optional<Duration> DrainStateMachine::nextAdvanceAt(Duration now) const {
  std::optional<Duration> nextAt;
  const auto scheduleAt = [&](Duration time) { nextAt = nextAt ? std::min(*nextAt, time) : time; };
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
