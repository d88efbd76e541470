// What stand-ins saw and did, in order: the material of an oracle.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "transport/scheduler.hpp"

namespace paddletrack::fakes {

struct Event {
  static constexpr std::size_t kTestProcess = static_cast<std::size_t>(-1);
  enum class Kind {
    requestSent,  // a client sent a job; `what` its type, `span` the time it allows, `former` the job that it
                  // repeats
    requestAnswered,   // a whole answer came: `what` is done, throttled, cancelled or exception, `text` its
                       // rows
    requestLost,       // a job has no answer: `what` is unsent, closed (its connection ended) or timeout
    clientGone,        // its client left: `what` is revoked, closed, half-closed or reset
    attemptReceived,   // an attempt came whole to an executor; `at` is its first byte
    attemptFinished,   // an attempt's answer is being written: `what` its word, `text` its rows
    attemptCancelled,  // an attempt was given up
    attemptDisconnected,   // an attempt's connection ended
    endpointUpdated,       // the list tells of an executor: `what` its state
    endpointListLost,      // the list can't be heard from now on by all
    endpointListRestored,  // it can again
    signalSent,            // a controller got the signal `count`
    processExited,         // it ended with the code `count`
    serviceStarted,        // it is in service after a start
    idleMeasured,     // it has nothing to do: `what` names a measure (descriptors, memory, jobs), `count` the
                      // figure
    cpuWaitMeasured,  // `count` microseconds since this was told last it waited for a core; kSelf: the
                      // stand-ins did
  };
  Kind kind{};
  transport::TimePoint observedAt{};  // when it was done, or read
  transport::TimePoint notBefore{};   // it happened no earlier: what is read may have waited
  std::string reference{};            // of the job, if any
  std::size_t controller = 0, engine = 0;
  std::uint64_t attempt = 0;  // numbered from 1 over all executors
  std::string detail{}, body{}, retryOf{};
  std::chrono::milliseconds timeout{0};
  std::int64_t value = 0;
};

const char* nameOf(Event::Kind kind);
std::string formatEvent(const Event& event, transport::TimePoint origin);  // for people

// All events of a run. Bounded by the run.
class EventLog {
 public:
  explicit EventLog(transport::Scheduler& scheduler)
      : scheduler_(scheduler), lastPollAt_(scheduler.now()), pollTimer_(scheduler, [this] { poll(); }) {
    poll();
  }
  std::function<void(const Event&)> onEvent;  // told of every one as it comes

  void append(Event event) {
    event.observedAt = event.observedAt == transport::TimePoint{} ? scheduler_.now() : event.observedAt;
    event.notBefore = event.notBefore == transport::TimePoint{} ? lastPollAt_ : event.notBefore;
    events_.push_back(std::move(event));
    if (onEvent) onEvent(Event(events_.back()));  // a copy: more may be told meanwhile
  }
  const std::vector<Event>& events() const { return events_; }
  std::uint64_t nextAttemptNumber() { return ++attemptCount_; }
  // The loop has read all that had come then: what it reads later came after this moment, or in it.
  transport::TimePoint lastPollAt() const { return lastPollAt_; }

 private:
  void poll() {
    lastPollAt_ = currentPollAt_;
    currentPollAt_ = scheduler_.now();
    pollTimer_.runAt(currentPollAt_ + std::chrono::milliseconds(1));
  }

  transport::Scheduler& scheduler_;
  transport::TimePoint lastPollAt_,
      currentPollAt_{lastPollAt_};  // two rounds back: one has been read out by then
  std::vector<Event> events_;
  std::uint64_t attemptCount_ = 0;
  transport::ScheduledCall pollTimer_;
};

}  // namespace paddletrack::fakes
