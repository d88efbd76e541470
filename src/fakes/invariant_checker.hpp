// Checks a run against the invariants of a controller, by what the fakes observed.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "fakes/event_log.hpp"

namespace paddletrack::fakes {

enum class Invariant {
  answeredOnce,         ///< An accepted request gets one complete final answer in time and no second one.
  rowsOfOwnAttempt,     ///< "Done" carries the rows that an engine made for this request, all in order.
  noUnsafeRetry,        ///< A non-idempotent request is retried only if no earlier attempt was executed.
  rejectedNotExecuted,  ///< A non-idempotent request that is answered "throttled" was not executed.
  noAttemptAfterClientGone,      ///< No attempt begins once the client has gone.
  drainingEngineGetsNoAttempts,  ///< A draining engine gets no new attempts after the grace period.
  cleanExit,  ///< On SIGTERM the controller exits with code 0 in time; without a signal it does not exit.
  releasedWhenIdle,  ///< Idle, it holds no request, nor more descriptors and memory than after its start.
};
const char* nameOf(Invariant rule);

struct InvariantOptions {
  std::string nonIdempotentClass = "load";         ///< The request class that must not be repeated.
  std::chrono::milliseconds timingSlack{50};       ///< Added to each limit, for what the protocol allows.
  std::chrono::milliseconds clientGoneGrace{100};  ///< From the departure of a client.
  std::chrono::milliseconds maxLateness{
      350};  ///< Past a request's timeout an answer is late, past this lost.
  std::chrono::milliseconds drainGrace{1000};        ///< From the publication of the state.
  std::chrono::milliseconds relistTimeout{2000};     ///< Until the list is read again after it was lost.
  std::chrono::milliseconds crossedCloseWindow{50};  ///< A request lost this soon is sent once more.
  std::chrono::milliseconds stopTimeout{3700};       ///< From SIGTERM to the exit.
  std::int64_t maxExtraDescriptors = 0;              ///< Above the count after the start.
  std::int64_t maxExtraMemoryKb = 64 << 10;          ///< Above the amount after the start.
};

struct Violation {
  Invariant invariant;
  std::string description;
  std::size_t eventIndex;  ///< The event by which it was detected.
};

struct InvariantReport {
  std::vector<Violation> violations;
  std::array<std::uint64_t, 8> checkCounts{};  ///< Cases checked, by invariant.
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t lateAnswers = 0;   ///< Late, but within the allowed lateness.
  std::uint64_t crossedClose = 0;  ///< Requests without an answer that crossed a close and were sent again.
  std::uint64_t killed = 0;        ///< Requests without an answer whose controller was killed.
  std::uint64_t unsent = 0;        ///< Requests that never left the client.
  std::uint64_t clientsGone = 0;
  std::uint64_t attemptsAfterClientGone = 0;
  std::chrono::milliseconds maxDelayAfterClientGone{0};  ///< From a departure to an attempt after it.

  bool isClean() const { return violations.empty(); }
  /// The counts in one line, and one line for each violation.
  std::string summary() const;
};

/// Pure function of the events, so that tests can show for each invariant that a violation is detected.
InvariantReport checkInvariants(const std::vector<Event>& events, const InvariantOptions& options);

}  // namespace paddletrack::fakes
