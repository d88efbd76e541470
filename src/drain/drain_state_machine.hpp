#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace paddletrack::drain {

using Duration = std::chrono::microseconds;

/// A drain passes through the states from `leaving` to `drained`. Cancelling it leads from each of them to
/// `comingBack`, and SIGTERM ends the process from any state.
enum class State {
  serving,     // Heartbeats are healthy, requests are accepted.
  leaving,     // Heartbeats are unhealthy; requests are accepted until the front layer has noticed.
  closing,     // New requests are rejected; open ones continue.
  ending,      // The deadline has passed: all requests have responses, which are still being sent.
  drained,     // All responses are sent.
  comingBack,  // The drain was cancelled: requests are accepted, no healthy heartbeat has been sent yet.
  stopping,    // SIGTERM without a drain: heartbeats are unhealthy, requests are accepted to the end.
};
constexpr std::size_t kStateCount = 7;
const char* nameOf(State state);

/// The operator's settings of drains.
struct Options {
  // The time that the front layer takes to act on an unhealthy heartbeat.
  Duration noticeDuration{std::chrono::milliseconds(800)};
  Duration defaultDeadline{std::chrono::seconds(20)};  // Of a drain that is requested without one.
  Duration maxDeadline{std::chrono::hours(1)};
  // For clients that are rejected, if the drain was requested without one.
  Duration retryAfter{std::chrono::seconds(2)};
};

/// The work that the controller has open at one instant.
struct OpenWork {
  std::size_t openRequests = 0;     // Accepted and without a final response.
  std::size_t unsentBytes = 0;      // Of responses that the kernel has not accepted yet.
  std::size_t incomingClients = 0;  // Clients that have just connected or are sending a message.
  std::size_t openConnections = 0;  // Of clients, with those that are being closed, and the listener.
  // Since the start of the process: abandoned by the client, completed, rejected, failed.
  std::array<std::uint64_t, 4> responseCounts{};
  std::uint64_t rejectedByDrain = 0;  // Rejected by the drain itself and never accepted.
};

/// Why a request to drain or to cancel is refused.
enum class DrainError { none, invalidDeadline, invalidRetryAfter, stopping, notDraining };

/// One drain, from its request to its end. Times are spans since the start of the process.
struct DrainProgress {
  std::uint64_t number = 0;  // From 1, counted up with each drain that begins.
  Duration requestedAt{0};
  Duration deadline{0};
  Duration retryAfter{0};
  std::optional<Duration> firstUnhealthyAt;  // The first unhealthy heartbeat.
  std::optional<Duration> drainedAt;
  bool deadlineMissed = false;  // Requests were open at the deadline.
  bool cancelled = false;
  std::size_t requestsEndedByDeadline = 0;
  OpenWork workAtStart;  // When the drain was requested.
};

/// Decides how one controller is taken out of service and brought back. There is no I/O and no clock inside:
/// every call passes the time, as a span since the start of the process, and the caller performs the actions
/// that are returned.
class DrainStateMachine {
 public:
  explicit DrainStateMachine(const Options& options) : options_(options) {}

  /// Starts a drain. `deadline` is a span from now. In a drain that is under way, a new deadline or retry
  /// time replaces the old one; a drain that is past its deadline or finished stays as it is.
  DrainError requestDrain(Duration now, std::optional<Duration> deadline, std::optional<Duration> retryAfter,
                          const OpenWork& work);
  DrainError cancelDrain(Duration now);
  /// SIGTERM: the process is to end when clients have stopped connecting and all responses are sent, and in
  /// any case before it would be killed. Without a drain, requests are accepted until then.
  void onTerminate(Duration now, Duration maxRequestTimeout);
  /// The time by which all requests must have their responses; none before SIGTERM.
  std::optional<Duration> responseDeadline() const;

  /// Returns whether the heartbeat that is being answered is healthy.
  bool onHeartbeat(Duration now);
  /// Returns none if new requests are accepted, else the time after which a rejected client may retry.
  std::optional<Duration> rejectionRetryAfter() const;

  struct Actions {
    bool shouldEndRequests = false;  // Send each open request its final response now.
    // Close the listener, and each connection as soon as nothing is open on it.
    bool shouldCloseConnections = false;
    bool shouldExit = false;
  };
  /// Advances as far as the time and the open work allow. To be called again after an action was performed,
  /// when a request is finished, and at nextAdvanceAt().
  Actions advance(Duration now, const OpenWork& work);
  std::optional<Duration> nextAdvanceAt(Duration now) const;

  State state() const { return state_; }
  /// The latest drain, also when it is over; null before the first one.
  const DrainProgress* progress() const { return progress_ ? &*progress_ : nullptr; }
  bool isDraining() const {
    return state_ == State::leaving || state_ == State::closing || state_ == State::ending;
  }
  bool isStopping() const { return exitDeadline_.has_value(); }
  const Options& options() const { return options_; }
  /// Options of drains that are requested from now on.
  void setOptions(const Options& options) { options_ = options; }

 private:
  void enterState(State state, Duration now);
  void startDrain(Duration now, const OpenWork& work);
  Duration stopAcceptingAt() const;
  bool isFlushed(Duration now, const OpenWork& work) const;
  void advanceExit(Duration now, const OpenWork& work, bool areResponsesSent, Actions& actions);

  Options options_;
  State state_ = State::serving;
  std::optional<DrainProgress> progress_;
  std::uint64_t drainCount_ = 0;
  Duration stateEnteredAt_{0};
  std::optional<Duration> exitDeadline_;      // Set by SIGTERM: the process ends then at the latest.
  Duration earliestExitAt_{0};                // And then at the earliest.
  bool closingConnections_ = false;           // Requests on connections that are still open are served.
  std::optional<Duration> plannedAdvanceAt_;  // Since SIGTERM: when advance() is to be called next.
  // After a stall of the process: it does not end before this, so that pending input is read.
  Duration stallRecoveryDeadline_{0};
};

}  // namespace paddletrack::drain
