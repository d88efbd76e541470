// What stand-ins saw and did, in order: the material of an oracle.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "transport/scheduler.hpp"

namespace paddletrack::standin {

struct Event {
  static constexpr std::size_t kSelf = static_cast<std::size_t>(-1);
  enum class Kind {
    sent,       // a client sent a job; `what` its type, `span` the time it allows, `former` the job that it
                // repeats
    answered,   // a whole answer came: `what` is done, throttled, cancelled or exception, `text` its rows
    lost,       // a job has no answer: `what` is unsent, closed (its connection ended) or timeout
    gone,       // its client left: `what` is revoked, closed, half-closed or reset
    came,       // an attempt came whole to an executor; `at` is its first byte
    finished,   // an attempt's answer is being written: `what` its word, `text` its rows
    withdrawn,  // an attempt was given up
    cut,        // an attempt's connection ended
    listed,     // the list tells of an executor: `what` its state
    unheard,    // the list can't be heard from now on by all
    heard,      // it can again
    signalled,  // a controller got the signal `count`
    exited,     // it ended with the code `count`
    served,     // it is in service after a start
    idle,  // it has nothing to do: `what` names a measure (descriptors, memory, jobs), `count` the figure
    busy,  // `count` microseconds since this was told last it waited for a core; kSelf: the stand-ins did
  };
  Kind kind{};
  transport::Moment at{};     // when it was done, or read
  transport::Moment since{};  // it happened no earlier: what is read may have waited
  std::string reference{};    // of the job, if any
  std::size_t controller = 0, executor = 0;
  std::uint64_t attempt = 0;  // numbered from 1 over all executors
  std::string what{}, text{}, former{};
  std::chrono::milliseconds span{0};
  std::int64_t count = 0;
};

const char* nameOf(Event::Kind kind);
std::string lineOf(const Event& event, transport::Moment from);  // for people

// All events of a run. Bounded by the run.
class Events {
 public:
  explicit Events(transport::Scheduler& scheduler)
      : scheduler_(scheduler), polled_(scheduler.now()), poll_(scheduler, [this] { look(); }) {
    look();
  }
  std::function<void(const Event&)> each;  // told of every one as it comes

  void tell(Event event) {
    event.at = event.at == transport::Moment{} ? scheduler_.now() : event.at;
    event.since = event.since == transport::Moment{} ? polled_ : event.since;
    all_.push_back(std::move(event));
    if (each) each(Event(all_.back()));  // a copy: more may be told meanwhile
  }
  const std::vector<Event>& all() const { return all_; }
  std::uint64_t attempt() { return ++attempts_; }
  // The loop has read all that had come then: what it reads later came after this moment, or in it.
  transport::Moment polled() const { return polled_; }

 private:
  void look() {
    polled_ = latest_;
    latest_ = scheduler_.now();
    poll_.at(latest_ + std::chrono::milliseconds(1));
  }

  transport::Scheduler& scheduler_;
  transport::Moment polled_, latest_{polled_};  // two rounds back: one has been read out by then
  std::vector<Event> all_;
  std::uint64_t attempts_ = 0;
  transport::Call poll_;
};

}  // namespace paddletrack::standin
