// Chronological log of the events that the fakes observe or cause. checkInvariants() evaluates it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "transport/scheduler.hpp"

namespace paddletrack::fakes {

/// One event of a test run. The kind determines which fields are set and what `detail`, `body` and `value`
/// hold.
struct Event {
  /// Value of `controller` that denotes the process in which the fakes run.
  static constexpr std::size_t kTestProcess = static_cast<std::size_t>(-1);

  enum class Kind {
    /// A client sent a request. `detail` is its request class, `timeout` its request timeout, `retryOf` the
    /// reference of the request that it repeats, if any.
    requestSent,
    /// A client received a complete answer. `detail` is done, throttled, cancelled or exception; `body` holds
    /// the rows.
    requestAnswered,
    /// A request will not be answered. `detail` is unsent, closed (its connection ended) or timeout.
    requestLost,
    /// The client abandoned a request. `detail` is revoked, closed, half-closed or reset.
    clientGone,
    /// An engine received an attempt completely. `observedAt` is when its first byte was read.
    attemptReceived,
    /// An engine sends the answer to an attempt. `detail` is its status, `body` holds the rows.
    attemptFinished,
    /// The controller cancelled an attempt.
    attemptCancelled,
    /// The connection that carried an attempt ended.
    attemptDisconnected,
    /// The endpoint list published the state of an engine, which is in `detail`.
    endpointUpdated,
    /// From now on at least one controller cannot read the endpoint list.
    endpointListLost,
    /// All controllers can read the endpoint list again.
    endpointListRestored,
    /// The signal `value` was sent to a controller.
    signalSent,
    /// A controller exited with the code `value`.
    processExited,
    /// A controller has started and is in service.
    serviceStarted,
    /// The use of a resource by an idle controller was measured. `detail` names the resource (descriptors,
    /// memory in KiB, jobs), `value` is the amount.
    idleMeasured,
    /// A process (a controller or `kTestProcess`) has waited `value` microseconds for a processor core since
    /// its previous event of this kind.
    cpuWaitMeasured,
  };

  Kind kind{};
  transport::TimePoint observedAt{};  ///< When the event occurred or its input was read from a socket.
  transport::TimePoint notBefore{};   ///< Earliest time at which the input may have arrived in the socket.
  std::string reference{};            ///< Reference of the request; empty if there is none.
  std::size_t controller = 0;
  std::size_t engine = 0;
  std::uint64_t attempt = 0;  ///< Numbered from 1 across all engines; 0 if no attempt is concerned.
  std::string detail{};
  std::string body{};
  std::string retryOf{};
  std::chrono::milliseconds timeout{0};
  std::int64_t value = 0;
};

const char* nameOf(Event::Kind kind);
/// Formats the event as one human-readable line, with the time in milliseconds since `origin`.
std::string formatEvent(const Event& event, transport::TimePoint origin);

/// All events of a run in the order in which they were appended. The log grows in memory until it is
/// destroyed.
class EventLog {
 public:
  explicit EventLog(transport::Scheduler& scheduler)
      : scheduler_(scheduler), lastPollAt_(scheduler.now()), pollTimer_(scheduler, [this] { poll(); }) {
    poll();
  }
  /// Called with each event after it has been appended, if set.
  std::function<void(const Event&)> onEvent;

  /// Appends `event`. `observedAt` defaults to the current time, `notBefore` to lastPollAt().
  void append(Event event) {
    if (event.observedAt == transport::TimePoint{}) event.observedAt = scheduler_.now();
    if (event.notBefore == transport::TimePoint{}) event.notBefore = lastPollAt_;
    events_.push_back(std::move(event));
    // The handler gets a copy, because it may append further events.
    if (onEvent) onEvent(Event(events_.back()));
  }
  const std::vector<Event>& events() const { return events_; }
  /// Returns the next attempt number, starting at 1.
  std::uint64_t nextAttemptNumber() { return ++attemptCount_; }
  /// Lower bound of the arrival time of input that has not been read yet: all input that arrived before this
  /// time has been read.
  transport::TimePoint lastPollAt() const { return lastPollAt_; }

 private:
  void poll() {
    lastPollAt_ = currentPollAt_;
    currentPollAt_ = scheduler_.now();
    pollTimer_.runAt(currentPollAt_ + std::chrono::milliseconds(1));
  }

  transport::Scheduler& scheduler_;
  // Time of the poll before the current one. All input that was pending then has been read by the current
  // poll.
  transport::TimePoint lastPollAt_;
  transport::TimePoint currentPollAt_{lastPollAt_};
  std::vector<Event> events_;
  std::uint64_t attemptCount_ = 0;
  transport::ScheduledCall pollTimer_;
};

}  // namespace paddletrack::fakes
