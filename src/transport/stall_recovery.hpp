/// @file
/// Detection of stalls of this process, and the order of work after one.
#pragma once

#include <chrono>
#include <optional>

namespace paddletrack::transport {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Tells when the process has not polled its sockets for a while, because it was stopped, starved or busy,
/// and until when the input of that time is being read. Reads no clock: the event loop passes the time of
/// each poll.
///
///     inactive ---> recovering    a poll starts or ends later than expected by more than the threshold
///     recovering -> inactive      a poll finds no event while no call is ready, or the limit is reached
///
/// A poll that was itself late does not end the recovery, because its result may be older than the stall. At
/// the limit timers may run once even if the process has stalled again: they must not starve while each
/// iteration of the loop is late.
class StallRecovery {
 public:
  /// Lateness of a poll that counts as a stall. Clients and engines allow for input that is read this late.
  static constexpr std::chrono::milliseconds kStallThreshold{50};
  /// The limit of a recovery: this time has passed, and this many polls have been finished, since it began.
  static constexpr std::chrono::milliseconds kMaxDuration{50};
  static constexpr int kMinPolls = 2;

  /// The event loop starts, or starts again after it was stopped deliberately.
  void onLoopStarted(TimePoint now);
  /// The event loop was stopped deliberately.
  void onLoopStopped();
  void onPollStarted(TimePoint now);
  /// `expectedBy` is when the poll had to end without an event. `foundNothing` means that it reported no
  /// event and no call is ready to run.
  void onPollFinished(TimePoint now, TimePoint expectedBy, bool foundNothing);

  /// Whether input from the time of a stall may be unread.
  bool isActive(TimePoint now) const { return stalledSince_ || isLate(now); }
  /// Whether timers may run in this iteration of the loop.
  bool allowsTimers(TimePoint now) const { return isLimitReached_ || !isActive(now); }
  /// The earliest time at which input that is read at `now` can have arrived.
  TimePoint earliestArrival(TimePoint now) const;

 private:
  bool isLate(TimePoint now) const;
  void startRecovery(TimePoint stallStart, TimePoint now);
  bool hasReachedLimit(TimePoint now) const;

  std::optional<TimePoint> lastPollFinishedAt_;  // Unset while the loop is stopped.
  std::optional<TimePoint> stalledSince_;        // Set while recovering: the last poll before the stall.
  TimePoint startedAt_{};                        // Of the recovery, which is when the stall was detected.
  int finishedPolls_ = 0;                        // Since then.
  bool isLimitReached_ = false;                  // By the poll of this iteration.
  std::optional<TimePoint> iterationStall_;      // Beginning of the stall that this iteration detected.
};

}  // namespace paddletrack::transport
