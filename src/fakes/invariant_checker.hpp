// Checks the events that the fakes observed in a run against the invariants of a controller.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "fakes/event_log.hpp"

namespace paddletrack::fakes {

enum class Invariant {
  answeredOnce,              ///< An accepted request gets exactly one complete final answer, and in time.
  rowsOfOwnAttempt,          ///< "Done" carries all rows that an engine produced for this request, in order.
  noUnsafeRetry,             ///< A non-idempotent request is retried only if no earlier attempt was executed.
  rejectedNotExecuted,       ///< A non-idempotent request that is answered "throttled" was not executed.
  noAttemptAfterClientGone,  ///< No attempt begins after the client abandoned the request.
  drainingEngineGetsNoAttempts,  ///< A draining engine gets no new attempts after the grace period.
  /// The controller exits in time and with code 0 on SIGTERM, and does not exit without a signal.
  cleanExit,
  /// An idle controller holds no requests and no more descriptors and memory than after its start.
  releasedWhenIdle,
};
const char* nameOf(Invariant invariant);

struct InvariantOptions {
  std::string nonIdempotentClass = "load";    ///< The request class that is not idempotent.
  std::chrono::milliseconds timingSlack{50};  ///< Added to the limits for delays that the protocol allows.
  /// After a client left, attempts may still begin for this time.
  std::chrono::milliseconds clientGoneGrace{100};
  /// An answer is late after the request timeout, and a violation when it is later by more than this.
  std::chrono::milliseconds maxLateness{350};
  /// After the state was published, attempts may still begin for this time.
  std::chrono::milliseconds drainGrace{1000};
  /// Until controllers have read the list after it was restored.
  std::chrono::milliseconds relistTimeout{2000};
  /// A request lost this soon after it was sent raced with a close.
  std::chrono::milliseconds crossedCloseWindow{50};
  std::chrono::milliseconds stopTimeout{3700};  ///< Maximum time from SIGTERM to the exit.
  std::int64_t maxExtraDescriptors = 0;         ///< Allowed increase over the count after the start.
  std::int64_t maxExtraMemoryKb = 64 << 10;     ///< Allowed increase over the amount after the start.
};

struct Violation {
  Invariant invariant;
  std::string description;
  std::size_t eventIndex;  ///< The event by which it was detected.
};

struct InvariantReport {
  std::vector<Violation> violations;
  std::array<std::uint64_t, 8> checkCounts{};  ///< Number of checks, indexed by Invariant.
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  /// Answers after the request timeout, including those within the allowed lateness.
  std::uint64_t lateAnswers = 0;
  std::uint64_t crossedClose = 0;  ///< Unanswered requests that raced with a close and were sent again.
  std::uint64_t killed = 0;        ///< Unanswered requests whose controller was killed.
  std::uint64_t unsent = 0;        ///< Requests that never left the client.
  std::uint64_t clientsGone = 0;
  std::uint64_t attemptsAfterClientGone = 0;
  /// From the client's leaving to an attempt that began later.
  std::chrono::milliseconds maxDelayAfterClientGone{0};

  bool isClean() const { return violations.empty(); }
  /// Formats the counts as one line, followed by one line for each violation.
  std::string summary() const;
};

/// Checks all invariants. The result depends on the arguments alone, so that tests can show for each
/// invariant that a violation is detected.
InvariantReport checkInvariants(const std::vector<Event>& events, const InvariantOptions& options);

}  // namespace paddletrack::fakes
