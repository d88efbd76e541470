// Ordered record of what the fakes observed and did. checkInvariants() judges a run by it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "transport/scheduler.hpp"

namespace paddletrack::fakes {

/// One observation of a test run. Which of the fields are set, and what `detail`, `body` and `value` hold,
/// depends on the kind.
struct Event {
  /// Value of `controller` that stands for the process in which the fakes run.
  static constexpr std::size_t kTestProcess = static_cast<std::size_t>(-1);

  enum class Kind {
    /// A client sent a request. `detail` is its class, `timeout` the time it allows, `retryOf` the request
    /// that it repeats, if any.
    requestSent,
    /// A complete answer arrived. `detail` is done, throttled, cancelled or exception; `body` holds the rows.
    requestAnswered,
    /// A request will get no answer. `detail` is unsent, closed (its connection ended) or timeout.
    requestLost,
    /// The client of a request left. `detail` is revoked, closed, half-closed or reset.
    clientGone,
    /// An engine received a complete attempt. `observedAt` is the time of its first byte.
    attemptReceived,
    /// An engine writes the answer of an attempt. `detail` is its status, `body` holds the rows.
    attemptFinished,
    /// The controller cancelled an attempt.
    attemptCancelled,
    /// The connection of an attempt ended.
    attemptDisconnected,
    /// The endpoint list published a state of an engine. `detail` is the state.
    endpointUpdated,
    /// From now on not every controller can read the endpoint list.
    endpointListLost,
    /// All controllers can read the endpoint list again.
    endpointListRestored,
    /// A controller was sent the signal `value`.
    signalSent,
    /// A controller exited with the code `value`.
    processExited,
    /// A controller is in service after a start.
    serviceStarted,
    /// A resource of an idle controller was measured. `detail` names it (descriptors, memory, jobs), `value`
    /// is the amount.
    idleMeasured,
    /// Since the previous such event the process waited `value` microseconds for a processor core. The
    /// process is a controller or `kTestProcess`.
    cpuWaitMeasured,
  };

  Kind kind{};
  transport::TimePoint observedAt{};  ///< When the event was produced, or read from a socket.
  transport::TimePoint notBefore{};   ///< Earliest possible time: input may have waited before it was read.
  std::string reference{};            ///< Reference of the request, if there is one.
  std::size_t controller = 0;
  std::size_t engine = 0;
  std::uint64_t attempt = 0;  ///< Numbered from 1 over all engines; 0: the event concerns no attempt.
  std::string detail{};
  std::string body{};
  std::string retryOf{};
  std::chrono::milliseconds timeout{0};
  std::int64_t value = 0;
};

const char* nameOf(Event::Kind kind);
/// One line for a human reader, with the time in milliseconds since `origin`.
std::string formatEvent(const Event& event, transport::TimePoint origin);

/// All events of a run in the order in which they were appended. The log is kept in memory until the run
/// ends.
class EventLog {
 public:
  explicit EventLog(transport::Scheduler& scheduler)
      : scheduler_(scheduler), lastPollAt_(scheduler.now()), pollTimer_(scheduler, [this] { poll(); }) {
    poll();
  }
  /// Called with each event after it was appended, if set.
  std::function<void(const Event&)> onEvent;

  /// Appends `event`. Times that are not set are filled in: now, and the last poll.
  void append(Event event) {
    if (event.observedAt == transport::TimePoint{}) event.observedAt = scheduler_.now();
    if (event.notBefore == transport::TimePoint{}) event.notBefore = lastPollAt_;
    events_.push_back(std::move(event));
    // The handler gets a copy, because it may append further events.
    if (onEvent) onEvent(Event(events_.back()));
  }
  const std::vector<Event>& events() const { return events_; }
  /// Allots the next attempt number, from 1.
  std::uint64_t nextAttemptNumber() { return ++attemptCount_; }
  /// Everything that had arrived by this time has been read: later input arrived at this time or after it.
  transport::TimePoint lastPollAt() const { return lastPollAt_; }

 private:
  void poll() {
    lastPollAt_ = currentPollAt_;
    currentPollAt_ = scheduler_.now();
    pollTimer_.runAt(currentPollAt_ + std::chrono::milliseconds(1));
  }

  transport::Scheduler& scheduler_;
  // The poll before the current one: by the current poll its input has been read completely.
  transport::TimePoint lastPollAt_;
  transport::TimePoint currentPollAt_{lastPollAt_};
  std::vector<Event> events_;
  std::uint64_t attemptCount_ = 0;
  transport::ScheduledCall pollTimer_;
};

}  // namespace paddletrack::fakes
