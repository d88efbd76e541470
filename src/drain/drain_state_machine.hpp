// Taking one controller out of service and bringing it back: what state it is in, and what follows from each
// thing that happens. No I/O and no clock: every call brings the time, the caller does what is returned.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace paddletrack::drain {

using Duration = std::chrono::microseconds;

// The way goes from top to bottom. From each of the drain's states a cancel leads to comingBack, and SIGTERM
// leads out of the process.
enum class State {
  serving,  // heartbeats are good, jobs are taken
  leaving,  // heartbeats are bad; jobs are still taken until the front layer has noticed
  closing,  // new jobs are throttled at once; open ones run on
  ending,   // the deadline has passed: all jobs have their answers, the last bytes of these are on their way
  drained,  // nothing is owed to anybody
  comingBack,  // cancelled: jobs are taken, no good heartbeat has been told yet
  stopping,    // SIGTERM without a drain: heartbeats are bad, jobs are taken to the end
};
constexpr std::size_t kStateCount = 7;
const char* nameOf(State state);

// The operator's figures.
struct Options {
  Duration noticeDuration{
      std::chrono::milliseconds(800)};  // how long the front layer takes to act on a bad heartbeat
  Duration defaultDeadline{std::chrono::seconds(20)};  // where none is asked for
  Duration maxDeadline{std::chrono::hours(1)};         // that may be asked for
  Duration retryAfter{std::chrono::seconds(2)};  // that a throttled client is told, where none is asked for
};

// What the controller's books hold at one instant.
struct OpenWork {
  std::size_t openRequests = 0;     // taken and without a final answer
  std::size_t unsentBytes = 0;      // bytes of answers that the kernel has not taken yet
  std::size_t incomingClients = 0;  // clients that have just come or are midway in a message
  std::size_t openConnections = 0;  // of clients, those included that are about to end, and the listener
  std::array<std::uint64_t, 4>
      responseCounts{};               // since the start: left by their client, done, throttled, cancelled
  std::uint64_t rejectedByDrain = 0;  // throttled by the drain itself, never taken
};

// Why something asked for is not done.
enum class DrainError { none, invalidDeadline, invalidRetryAfter, stopping, notDraining };

// One drain, from the ask to its end.
struct DrainProgress {
  std::uint64_t number = 0;  // counts up from 1 with each drain that begins
  Duration requestedAt{0}, deadline{0};
  Duration retryAfter{0};
  std::optional<Duration> firstUnhealthyAt;  // the first bad heartbeat
  std::optional<Duration> drainedAt;         // when nothing was owed any more
  bool deadlineMissed = false;               // the deadline found jobs open
  bool cancelled = false;
  std::size_t requestsEndedByDeadline = 0;  // jobs
  OpenWork workAtStart;                     // at the ask
};

class DrainStateMachine {
 public:
  explicit DrainStateMachine(const Options& options) : options_(options) {}

  // Of a drain under way: a new deadline (from now) or time to come back replaces the old one. One that is
  // past its deadline or drained stays as it is.
  DrainError requestDrain(Duration now, std::optional<Duration> deadline, std::optional<Duration> retryAfter,
                          const OpenWork& work);
  DrainError cancelDrain(Duration now);
  // SIGTERM: the process is to end, as soon as nothing is owed once clients have stopped coming, and soon
  // enough for what ends it by force. Without a drain jobs are taken until then.
  void onTerminate(Duration now, Duration maxRequestTimeout);
  std::optional<Duration> responseDeadline() const;  // once it is to end: nothing is awaited for longer

  bool onHeartbeat(Duration now);  // a heartbeat is being answered: is it good?
  // A request has come: none, and it is taken; else it is throttled and told to come back after so long.
  std::optional<Duration> rejectionRetryAfter() const;

  struct Actions {
    bool shouldEndRequests = false;  // give each open job its final answer now
    bool shouldCloseConnections =
        false;                // the listener and, once nothing is open on it, each connection are to end
    bool shouldExit = false;  // the process may end
  };
  // Moves on as far as time and books allow. To be called again when an act has been done, when a job has
  // ended, and at nextLook.
  Actions advance(Duration now, const OpenWork& work);
  std::optional<Duration> nextAdvanceAt(Duration now) const;

  State state() const { return state_; }
  const DrainProgress* progress() const {
    return progress_ ? &*progress_ : nullptr;
  }  // the latest, also when it is over
  bool isDraining() const {
    return state_ == State::leaving || state_ == State::closing || state_ == State::ending;
  }
  bool isStopping() const { return exitDeadline_.has_value(); }
  const Options& options() const { return options_; }
  void setOptions(const Options& options) { options_ = options; }  // for drains asked from now on

 private:
  Duration stopAcceptingAt() const;

  Options options_;
  State state_ = State::serving;
  std::optional<DrainProgress> progress_;
  std::uint64_t drainCount_ = 0;
  Duration stateEnteredAt_{0};            // the state
  std::optional<Duration> exitDeadline_;  // SIGTERM has come: the process ends then
  Duration earliestExitAt_{0};            // and not before
  bool closingConnections_ =
      false;  // connections are ending, what comes on one that has not yet is still served
  std::optional<Duration> plannedAdvanceAt_;  // the next look since then
  Duration stallRecoveryDeadline_{0};         // it stood still: no end before what came meanwhile is read
};

}  // namespace paddletrack::drain
