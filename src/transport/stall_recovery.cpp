#include "transport/stall_recovery.hpp"

namespace paddletrack::transport {

void StallRecovery::onLoopStarted(TimePoint now) {
  lastPollFinishedAt_ = now;
  stalledSince_.reset();
}

void StallRecovery::onLoopStopped() { lastPollFinishedAt_.reset(); }

void StallRecovery::onPollStarted(TimePoint now) {
  if (isLate(now)) startRecovery(now);
}

void StallRecovery::onPollFinished(TimePoint now, TimePoint expectedBy, bool foundNothing) {
  const bool wasStalled = now > expectedBy + kStallThreshold;
  const bool hasEnded = foundNothing || now >= detectedAt_ + kMaxDuration;
  if (wasStalled)
    startRecovery(now);
  else if (hasEnded)
    stalledSince_.reset();
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

// If the previous recovery has not ended, its input may be unread as well.
void StallRecovery::startRecovery(TimePoint now) {
  if (!stalledSince_) stalledSince_ = lastPollFinishedAt_;
  detectedAt_ = now;
}

}  // namespace paddletrack::transport
