#include "transport/stall_recovery.hpp"

namespace paddletrack::transport {

void StallRecovery::onLoopStarted(TimePoint now) {
  lastPollFinishedAt_ = now;
  stalledSince_.reset();
  isLimitReached_ = false;
}

void StallRecovery::onLoopStopped() { lastPollFinishedAt_.reset(); }

void StallRecovery::onPollStarted(TimePoint now) {
  isLimitReached_ = false;
  iterationStall_.reset();
  if (isLate(now)) iterationStall_ = lastPollFinishedAt_;
  if (iterationStall_) startRecovery(*iterationStall_, now);
}

void StallRecovery::onPollFinished(TimePoint now, TimePoint expectedBy, bool foundNothing) {
  const bool wasStalled = now > expectedBy + kStallThreshold;
  if (wasStalled && !iterationStall_) iterationStall_ = lastPollFinishedAt_;
  ++finishedPolls_;
  isLimitReached_ = hasReachedLimit(now);
  if (isLimitReached_ || (foundNothing && !wasStalled)) stalledSince_.reset();
  // At the limit of one recovery, the input of a stall that ended just now is still unread.
  if (wasStalled || (isLimitReached_ && iterationStall_)) startRecovery(*iterationStall_, now);
  lastPollFinishedAt_ = now;
}

TimePoint StallRecovery::earliestArrival(TimePoint now) const {
  if (stalledSince_) return *stalledSince_;
  return isLate(now) ? *lastPollFinishedAt_ : now;
}

// Whether the process has run on without a poll for too long. A wait within a poll is no part of that.
bool StallRecovery::isLate(TimePoint now) const {
  return lastPollFinishedAt_ && now > *lastPollFinishedAt_ + kStallThreshold;
}

// A stall during a recovery prolongs nothing: what is unread dates from the first one.
void StallRecovery::startRecovery(TimePoint stallStart, TimePoint now) {
  if (stalledSince_) return;
  stalledSince_ = stallStart;
  startedAt_ = now;
  finishedPolls_ = 0;
}

bool StallRecovery::hasReachedLimit(TimePoint now) const {
  return stalledSince_ && finishedPolls_ >= kMinPolls && now >= startedAt_ + kMaxDuration;
}

}  // namespace paddletrack::transport
