// Judges a run by what the stand-ins saw: a pure function, so that each rule can be shown to break.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "fakes/event_log.hpp"

namespace paddletrack::fakes {

enum class Invariant {
  answeredOnce,         // a job that was taken gets one whole final answer in time, and no second
  rowsOfOwnAttempt,     // an answer 'done' holds the rows that an executor made for this job, all in order
  noUnsafeRetry,        // a run-once job is attempted again only where the attempt before never ran
  rejectedNotExecuted,  // a run-once job that is answered 'throttled' has not run
  noAttemptAfterClientGone,      // no attempt begins once its client has gone
  drainingEngineGetsNoAttempts,  // an executor gets nothing new after the grace of its drain
  cleanExit,                     // SIGTERM: it ends with code 0, in time; without a signal it does not end
  releasedWhenIdle,  // with nothing to do it holds no job, no more descriptors and memory than at its start
};
const char* nameOf(Invariant rule);

struct InvariantOptions {
  std::string nonIdempotentClass = "load";         // the type that may not be repeated
  std::chrono::milliseconds timingSlack{50};       // of the protocol, on each time limit
  std::chrono::milliseconds clientGoneGrace{100};  // from a client's end on
  std::chrono::milliseconds maxLateness{
      350};  // after its time: an answer is late, past it and the slack lost
  std::chrono::milliseconds drainGrace{1000};        // from when the list told
  std::chrono::milliseconds relistTimeout{2000};     // after a silence of the list: by then it is heard again
  std::chrono::milliseconds crossedCloseWindow{50};  // a job whose connection ends so soon is sent once more
  std::chrono::milliseconds stopTimeout{3700};       // SIGTERM to the end
  std::int64_t maxExtraDescriptors = 0, maxExtraMemoryKb = 64 << 10;  // more than at its start
};

struct Violation {
  Invariant invariant;
  std::string description;
  std::size_t eventIndex;  // by which it was seen
};

struct InvariantReport {
  std::vector<Violation> violations;
  // Cases looked at, by rule; and what is allowed but worth telling.
  std::array<std::uint64_t, 8> checkCounts{};
  std::uint64_t requests = 0, attempts = 0, lateAnswers = 0, crossedClose = 0, killed = 0, unsent = 0,
                clientsGone = 0, attemptsAfterClientGone = 0;
  std::chrono::milliseconds maxDelayAfterClientGone{
      0};  // from a client's end to an attempt that began after it
  bool isClean() const { return violations.empty(); }
  std::string summary() const;
};
InvariantReport checkInvariants(const std::vector<Event>& events, const InvariantOptions& options);

}  // namespace paddletrack::fakes
