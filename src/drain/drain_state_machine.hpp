#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace paddletrack::drain {

using Duration = std::chrono::microseconds;

/// A drain passes through the states from `leaving` to `drained`. Cancelling it changes any of these states
/// to `comingBack`. SIGTERM leads to the end of the process from any state.
enum class State {
  serving,     // Heartbeats are healthy, requests are accepted.
  leaving,     // Heartbeats are unhealthy; requests are accepted until the front layer has reacted.
  closing,     // New requests are rejected; open ones continue.
  ending,      // The deadline has passed: open requests are ended, their responses are being sent.
  drained,     // All responses have been sent.
  comingBack,  // The drain was cancelled: requests are accepted, no healthy heartbeat has been sent yet.
  stopping,    // SIGTERM without a drain: heartbeats are unhealthy, requests are accepted until exit.
};
constexpr std::size_t kStateCount = 7;
const char* nameOf(State state);

/// Operator settings for drains.
struct Options {
  // Time within which the front layer reacts to an unhealthy heartbeat.
  Duration noticeDuration{std::chrono::milliseconds(800)};
  Duration defaultDeadline{std::chrono::seconds(20)};  // For a drain requested without a deadline.
  Duration maxDeadline{std::chrono::hours(1)};
  // For rejected clients, if the drain was requested without a Retry-After.
  Duration retryAfter{std::chrono::seconds(2)};
};

/// A snapshot of the controller's open work.
struct OpenWork {
  std::size_t openRequests = 0;     // Accepted, without a final response.
  std::size_t unsentBytes = 0;      // Response bytes that the kernel has not accepted yet.
  std::size_t incomingClients = 0;  // Clients that have just connected or are sending a message.
  std::size_t openConnections = 0;  // Client connections, including those being closed, and the listener.
  // Since the start of the process: abandoned by the client, completed, rejected, failed.
  std::array<std::uint64_t, 4> responseCounts{};
  std::uint64_t rejectedByDrain = 0;  // Rejected because of the drain, never accepted.
};

/// Why a drain or cancel command is refused.
enum class DrainError { none, invalidDeadline, invalidRetryAfter, stopping, notDraining };

/// The progress of one drain. Times are relative to the start of the process.
struct DrainProgress {
  std::uint64_t number = 0;  // Starts at 1 and increases with each new drain.
  Duration requestedAt{0};
  Duration deadline{0};
  Duration retryAfter{0};
  std::optional<Duration> firstUnhealthyAt;  // Time of the first unhealthy heartbeat.
  std::optional<Duration> drainedAt;
  bool deadlineMissed = false;  // Requests were still open at the deadline.
  bool cancelled = false;
  std::size_t requestsEndedByDeadline = 0;
  OpenWork workAtStart;  // Open work when the drain was requested.
};

/// Decides how a controller is taken out of service and returned to it. Performs no I/O and reads no clock:
/// the caller passes the time, relative to the start of the process, with every call and performs the
/// returned actions.
class DrainStateMachine {
 public:
  explicit DrainStateMachine(const Options& options) : options_(options) {}

  /// Starts a drain. `deadline` is relative to `now`. During a drain, a new deadline or Retry-After replaces
  /// the previous one; a drain that is past its deadline or finished does not change.
  DrainError requestDrain(Duration now, std::optional<Duration> deadline, std::optional<Duration> retryAfter,
                          const OpenWork& work);
  DrainError cancelDrain(Duration now);
  /// Handles SIGTERM: the process exits when clients have stopped connecting and all responses have been
  /// sent, and in any case before SIGKILL. Without a drain, requests are accepted until then.
  void onTerminate(Duration now, Duration maxRequestTimeout);
  /// The time by which all requests must have their responses; std::nullopt before SIGTERM.
  std::optional<Duration> responseDeadline() const;

  /// Handles a heartbeat and returns whether to report healthy.
  bool onHeartbeat(Duration now);
  /// The Retry-After of rejected requests; std::nullopt if new requests are accepted.
  std::optional<Duration> rejectionRetryAfter() const;

  struct Actions {
    bool shouldEndRequests = false;  // Send a final response to each open request now.
    // Close the listener, and each connection as soon as it has no open request.
    bool shouldCloseConnections = false;
    bool shouldExit = false;
  };
  /// Advances the state as far as the time and the open work allow. Call it again after performing an action,
  /// when a request has finished, and at nextAdvanceAt().
  Actions advance(Duration now, const OpenWork& work);
  std::optional<Duration> nextAdvanceAt(Duration now) const;

  State state() const { return state_; }
  /// The latest drain, whether or not it has ended; null before the first one.
  const DrainProgress* progress() const { return progress_ ? &*progress_ : nullptr; }
  bool isDraining() const {
    return state_ == State::leaving || state_ == State::closing || state_ == State::ending;
  }
  bool isStopping() const { return exitDeadline_.has_value(); }
  const Options& options() const { return options_; }
  /// Sets the options of subsequent drains.
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
  std::optional<Duration> exitDeadline_;      // Set by SIGTERM: the latest time of exit.
  Duration earliestExitAt_{0};                // After SIGTERM: the earliest time of exit.
  bool closingConnections_ = false;           // Requests on open connections are still served.
  std::optional<Duration> plannedAdvanceAt_;  // After SIGTERM: due time of the next advance().
  // After a stall of the process: earliest time of exit, so that pending input is read first.
  Duration stallRecoveryDeadline_{0};
};

}  // namespace paddletrack::drain
