// Taking one controller out of service and bringing it back: what state it is in, and what follows from each
// thing that happens. No I/O and no clock: every call brings the time, the caller does what is returned.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace paddletrack::drain {

using Span = std::chrono::microseconds;

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
constexpr std::size_t kStates = 7;
const char* nameOf(State state);

// The operator's figures.
struct Terms {
  Span notice{std::chrono::milliseconds(800)};  // how long the front layer takes to act on a bad heartbeat
  Span deadline{std::chrono::seconds(20)};      // where none is asked for
  Span longest{std::chrono::hours(1)};          // that may be asked for
  Span comeBack{std::chrono::seconds(2)};       // that a throttled client is told, where none is asked for
};

// What the controller's books hold at one instant.
struct Books {
  std::size_t jobs = 0;    // taken and without a final answer
  std::size_t unsent = 0;  // bytes of answers that the kernel has not taken yet
  std::size_t coming = 0;  // clients that have just come or are midway in a message
  std::size_t connections = 0;  // of clients, those included that are about to end, and the listener
  std::array<std::uint64_t, 4>
      answers{};                 // since the start: left by their client, done, throttled, cancelled
  std::uint64_t turnedAway = 0;  // throttled by the drain itself, never taken
};

// Why something asked for is not done.
enum class Refusal { none, badDeadline, badComeBack, stopping, notDraining };

// One drain, from the ask to its end.
struct Course {
  std::uint64_t number = 0;  // counts up from 1 with each drain that begins
  Span asked{0}, deadline{0};
  Span comeBack{0};
  std::optional<Span> told;     // the first bad heartbeat
  std::optional<Span> drained;  // when nothing was owed any more
  bool missed = false;          // the deadline found jobs open
  bool cancelled = false;
  std::size_t endedByDeadline = 0;  // jobs
  Books before;                     // at the ask
};

class Drain {
 public:
  explicit Drain(const Terms& terms) : terms_(terms) {}

  // Of a drain under way: a new deadline (from now) or time to come back replaces the old one. One that is
  // past its deadline or drained stays as it is.
  Refusal ask(Span now, std::optional<Span> deadline, std::optional<Span> comeBack, const Books& books);
  Refusal cancel(Span now);
  // SIGTERM: the process is to end, as soon as nothing is owed once clients have stopped coming, and soon
  // enough for what ends it by force. Without a drain jobs are taken until then.
  void stop(Span now, Span longestJob);
  std::optional<Span> answersBy() const;  // once it is to end: nothing is awaited for longer

  bool beat(Span now);  // a heartbeat is being answered: is it good?
  // A request has come: none, and it is taken; else it is throttled and told to come back after so long.
  std::optional<Span> turnsAway() const;

  struct Act {
    bool endJobs = false;  // give each open job its final answer now
    bool close = false;    // the listener and, once nothing is open on it, each connection are to end
    bool exit = false;     // the process may end
  };
  // Moves on as far as time and books allow. To be called again when an act has been done, when a job has
  // ended, and at nextLook.
  Act look(Span now, const Books& books);
  std::optional<Span> nextLook(Span now) const;

  State state() const { return state_; }
  const Course* course() const { return course_ ? &*course_ : nullptr; }  // the latest, also when it is over
  bool underWay() const {
    return state_ == State::leaving || state_ == State::closing || state_ == State::ending;
  }
  bool stopping() const { return last_.has_value(); }
  const Terms& terms() const { return terms_; }
  void change(const Terms& terms) { terms_ = terms; }  // for drains asked from now on

 private:
  Span closesAt() const;

  Terms terms_;
  State state_ = State::serving;
  std::optional<Course> course_;
  std::uint64_t drains_ = 0;
  Span since_{0};                // the state
  std::optional<Span> last_;     // SIGTERM has come: the process ends then
  Span settledFrom_{0};          // and not before
  bool closes_ = false;          // connections are ending, what comes on one that has not yet is still served
  std::optional<Span> planned_;  // the next look since then
  Span readsUntil_{0};           // it stood still: no end before what came meanwhile is read
};

}  // namespace paddletrack::drain
