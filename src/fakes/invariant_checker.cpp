#include "fakes/invariant_checker.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <initializer_list>
#include <map>
#include <optional>

namespace paddletrack::fakes {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::TimePoint;
using namespace std::chrono_literals;
using Kind = Event::Kind;

struct AttemptRecord {
  TimePoint receivedAt{};
  // Status of the answer or name of the event that ended the attempt; empty: in flight.
  std::string result{};
  std::string rows{};
};
struct RequestRecord {
  const Event* sent = nullptr;
  const Event* clientGone = nullptr;
  const Event* lost = nullptr;
  std::size_t lostEventIndex = 0;
  unsigned answerCount = 0;
  std::string outcome{};
  std::string retriedBy{};
  std::vector<std::uint64_t> attempts{};
};
struct EngineRecord {
  std::optional<TimePoint> drainingSince{};
  std::string state = "active";
};
struct KillInterval {
  TimePoint killedAt{};
  TimePoint exitedAt = TimePoint::max();
};
struct ProcessRecord {
  std::optional<TimePoint> stopRequestedAt{};
  std::optional<TimePoint> killedAt{};
  std::vector<KillInterval> killIntervals{};
  std::map<std::string, std::int64_t> startValues{};
};

// Replays the events and maintains the state of each request, attempt, engine and process.
class InvariantChecker {
 public:
  InvariantChecker(const std::vector<Event>& events, const InvariantOptions& options)
      : events_(events), options_(options) {}
  InvariantReport run() {
    for (const Event& event : events_)
      if (event.kind == Kind::cpuWaitMeasured)
        cumulativeCpuWaits_[event.controller].emplace(event.observedAt,
                                                      totalCpuWait(event.controller) + event.value);
    for (eventIndex_ = 0; eventIndex_ < events_.size(); ++eventIndex_) onEvent(events_[eventIndex_]);
    for (const auto& [reference, request] : requests_) checkUnanswered(reference, request);
    return std::move(report_);
  }

 private:
  std::int64_t totalCpuWait(std::size_t process) const {
    const auto found = cumulativeCpuWaits_.find(process);
    return found == cumulativeCpuWaits_.end() || found->second.empty() ? 0 : found->second.rbegin()->second;
  }
  // Total time that the processes waited for a processor core between two points in time.
  TimePoint::duration cpuWait(std::initializer_list<std::size_t> processes, TimePoint begin,
                              TimePoint until) const {
    std::int64_t sum = 0;
    for (const std::size_t process : processes) {
      const auto found = cumulativeCpuWaits_.find(process);
      if (found == cumulativeCpuWaits_.end() || found->second.empty()) continue;
      const auto& samples = found->second;
      const auto cumulativeAt = [&](TimePoint time) {
        const auto next = samples.upper_bound(time);
        return next == samples.begin() ? 0 : std::prev(next)->second;
      };
      // A wait is recorded when it ends, so the first sample at or after `until` is included.
      const auto last = samples.lower_bound(until);
      sum += (last == samples.end() ? samples.rbegin()->second : last->second) - cumulativeAt(begin);
    }
    return std::chrono::microseconds(sum);
  }
  void addViolation(Invariant invariant, const std::string& description) {
    report_.violations.push_back({invariant, description, eventIndex_});
  }
  void countCheck(Invariant invariant) { ++report_.checkCounts[static_cast<std::size_t>(invariant)]; }

  void onEvent(const Event& event) {
    switch (event.kind) {
      case Kind::requestSent:
        ++report_.requests;
        requests_[event.reference].sent = &event;
        if (!event.retryOf.empty()) requests_[event.retryOf].retriedBy = event.reference;
        return;
      case Kind::requestAnswered:
        return onRequestAnswered(event);
      case Kind::requestLost:
        requests_[event.reference].lost = &event;
        requests_[event.reference].lostEventIndex = eventIndex_;
        return;
      case Kind::clientGone:
        ++report_.clientsGone;
        requests_[event.reference].clientGone = &event;
        return;
      case Kind::attemptReceived:
        return onAttemptReceived(event);
      case Kind::attemptFinished:
      case Kind::attemptCancelled:
      case Kind::attemptDisconnected: {
        AttemptRecord& attempt = attempts_[event.attempt];
        if (!attempt.result.empty()) return;  // The duplicateAnswer fault of the fake engine; no violation.
        attempt.result = event.kind == Kind::attemptFinished ? event.detail : nameOf(event.kind);
        attempt.rows = event.body;
        return;
      }
      case Kind::endpointUpdated: {
        EngineRecord& engine = engines_[event.engine];
        engine.state = event.detail;
        engine.drainingSince.reset();
        if (event.detail != "active") engine.drainingSince = event.observedAt;
        return;
      }
      case Kind::endpointListLost:
        endpointListLost_ = true;
        return;
      case Kind::endpointListRestored:
        endpointListLost_ = false;
        listRestoredAt_ = event.observedAt;
        return;
      case Kind::signalSent: {
        ProcessRecord& process = processes_[event.controller];
        if (event.value == SIGTERM && !process.stopRequestedAt) process.stopRequestedAt = event.observedAt;
        if (event.value == SIGKILL) {
          process.killedAt = event.observedAt;
          process.killIntervals.push_back({.killedAt = event.observedAt});
        }
        return;
      }
      case Kind::processExited:
        return onProcessExited(event);
      case Kind::serviceStarted:
        processes_[event.controller].stopRequestedAt.reset();
        processes_[event.controller].killedAt.reset();
        return;
      case Kind::idleMeasured:
        return onIdleMeasured(event);
      case Kind::cpuWaitMeasured:
        return;
    }
  }

  void onRequestAnswered(const Event& event) {
    countCheck(Invariant::answeredOnce);
    const auto found = requests_.find(event.reference);
    if (found == requests_.end() || !found->second.sent)
      return addViolation(Invariant::answeredOnce, "received an answer that matches no request");
    RequestRecord& request = found->second;
    ++request.answerCount;
    if (request.answerCount > 1)
      return addViolation(Invariant::answeredOnce, event.reference + " was answered twice");
    if (request.lost)
      return addViolation(Invariant::answeredOnce,
                          event.reference + " was answered after its connection ended");
    request.outcome = event.detail;
    checkAnswerTime(event, request);
    if (event.detail == "done") checkRows(event, request);
    if (event.detail == "throttled" && request.sent->detail == options_.nonIdempotentClass)
      checkNotExecuted(event, request);
  }

  void checkAnswerTime(const Event& event, const RequestRecord& request) {
    const TimePoint dueAt = request.sent->observedAt + request.sent->timeout + options_.timingSlack;
    if (event.observedAt > dueAt) ++report_.lateAnswers;
    if (request.clientGone) return;
    const TimePoint::duration waited =
        cpuWait({request.sent->controller, Event::kTestProcess}, request.sent->observedAt, event.observedAt);
    if (event.notBefore > dueAt + options_.maxLateness + waited)
      addViolation(Invariant::answeredOnce, event.reference + " was answered too late");
  }

  // The rows must equal those that one of the request's own attempts produced.
  void checkRows(const Event& event, const RequestRecord& request) {
    countCheck(Invariant::rowsOfOwnAttempt);
    const auto hasMatchingRows = [&](std::uint64_t attempt) {
      return attempts_[attempt].result == "200" && attempts_[attempt].rows == event.body;
    };
    if (std::none_of(request.attempts.begin(), request.attempts.end(), hasMatchingRows))
      addViolation(Invariant::rowsOfOwnAttempt,
                   event.reference + " was answered with rows that none of its attempts produced");
  }

  // The answer "throttled" guarantees the client that the request was not executed.
  void checkNotExecuted(const Event& event, const RequestRecord& request) {
    countCheck(Invariant::rejectedNotExecuted);
    for (const std::uint64_t attempt : request.attempts)
      if (!isProvenNotExecuted(attempt))
        return addViolation(Invariant::rejectedNotExecuted,
                            event.reference + " was executed, but answered \"throttled\"");
  }

  bool isProvenNotExecuted(std::uint64_t attempt) const {
    const std::string& result = attempts_.at(attempt).result;
    return result == "503" || result == "504";
  }

  void onAttemptReceived(const Event& event) {
    ++report_.attempts;
    RequestRecord& request = requests_[event.reference];
    if (request.sent && request.sent->detail == options_.nonIdempotentClass && !request.attempts.empty())
      checkRetry(event, request);
    request.attempts.push_back(event.attempt);
    attempts_[event.attempt].receivedAt = event.observedAt;
    if (request.clientGone && event.observedAt > request.clientGone->observedAt)
      checkAttemptAfterClientGone(event, request);
    checkAttemptAtDrainingEngine(event, request);
  }

  // A request that is not idempotent may be retried only if no earlier attempt was executed.
  void checkRetry(const Event& event, const RequestRecord& request) {
    countCheck(Invariant::noUnsafeRetry);
    for (const std::uint64_t attempt : request.attempts) {
      if (isProvenNotExecuted(attempt)) continue;
      return addViolation(Invariant::noUnsafeRetry,
                          event.reference + " was retried although an earlier attempt " +
                              (attempts_[attempt].result.empty() ? "is in flight" : "ended with ") +
                              attempts_[attempt].result);
    }
  }

  void checkAttemptAfterClientGone(const Event& event, const RequestRecord& request) {
    countCheck(Invariant::noAttemptAfterClientGone);
    ++report_.attemptsAfterClientGone;
    const TimePoint goneAt = request.clientGone->observedAt;
    const auto elapsed = duration_cast<milliseconds>(
        event.notBefore - goneAt - cpuWait({request.sent->controller}, goneAt, event.observedAt));
    report_.maxDelayAfterClientGone = std::max(report_.maxDelayAfterClientGone, elapsed);
    if (elapsed > options_.clientGoneGrace + options_.timingSlack)
      addViolation(Invariant::noAttemptAfterClientGone,
                   event.reference + " got an attempt " + std::to_string(elapsed.count()) +
                       " ms after its client left: " + request.clientGone->detail);
  }

  void checkAttemptAtDrainingEngine(const Event& event, const RequestRecord& request) {
    const EngineRecord& engine = engines_[event.engine];
    if (!engine.drainingSince) return;
    countCheck(Invariant::drainingEngineGetsNoAttempts);
    if (endpointListLost_) return;
    // A change that was published while the list was unreachable takes effect once the list can be read
    // again.
    const TimePoint effectiveAt =
        std::max(*engine.drainingSince,
                 listRestoredAt_ ? *listRestoredAt_ + options_.relistTimeout : *engine.drainingSince);
    const std::size_t controller = request.sent ? request.sent->controller : 0;
    const auto elapsed = duration_cast<milliseconds>(event.notBefore - effectiveAt -
                                                     cpuWait({controller}, effectiveAt, event.observedAt));
    if (elapsed > options_.drainGrace + options_.timingSlack)
      addViolation(Invariant::drainingEngineGetsNoAttempts,
                   "engine " + std::to_string(event.engine) + ", " + engine.state + ", received " +
                       event.reference + " after " + std::to_string(elapsed.count()) + " ms");
  }

  void onProcessExited(const Event& event) {
    countCheck(Invariant::cleanExit);
    ProcessRecord& process = processes_[event.controller];
    const std::string name = "controller " + std::to_string(event.controller);
    if (process.killedAt) {
      process.killIntervals.back().exitedAt = event.observedAt;
      return;
    }
    if (!process.stopRequestedAt || event.value != 0)
      return addViolation(Invariant::cleanExit, name + " exited with code " + std::to_string(event.value));
    const auto elapsed = duration_cast<milliseconds>(
        event.notBefore - *process.stopRequestedAt -
        cpuWait({event.controller, Event::kTestProcess}, *process.stopRequestedAt, event.observedAt));
    if (elapsed > options_.stopTimeout)
      addViolation(Invariant::cleanExit,
                   name + " exited " + std::to_string(elapsed.count()) + " ms after SIGTERM");
  }

  // The first measurement of each resource, taken after the start, is the baseline of the later ones.
  void onIdleMeasured(const Event& event) {
    auto& startValues = processes_[event.controller].startValues;
    const auto [startValue, isFirst] = startValues.emplace(event.detail, event.value);
    if (isFirst) return;
    countCheck(Invariant::releasedWhenIdle);
    if (event.value > startValue->second + maxIncrease(event.detail))
      addViolation(Invariant::releasedWhenIdle, "controller " + std::to_string(event.controller) + ": " +
                                                    event.detail + " " + std::to_string(event.value) +
                                                    ", after its start " +
                                                    std::to_string(startValue->second));
  }

  std::int64_t maxIncrease(const std::string& resource) const {
    if (resource == "memory") return options_.maxExtraMemoryKb;
    if (resource == "descriptors") return options_.maxExtraDescriptors;
    return 0;
  }

  // A request may remain unanswered if it was never sent, if its client abandoned it, if its controller was
  // killed, or if it raced with the close of its connection and was sent again.
  void checkUnanswered(const std::string& reference, const RequestRecord& request) {
    if (!request.sent || request.answerCount > 0 || request.clientGone) return;
    eventIndex_ = request.lost ? request.lostEventIndex : events_.size();
    if (request.lost && request.lost->detail == "unsent") {
      ++report_.unsent;
    } else if (wasLostInKill(request)) {
      ++report_.killed;
    } else if (crossedClose(request)) {
      ++report_.crossedClose;
    } else {
      countCheck(Invariant::answeredOnce);
      addViolation(Invariant::answeredOnce, describeUnanswered(reference, request));
    }
  }

  static TimePoint lostAtOrMax(const RequestRecord& request) {
    return request.lost ? request.lost->observedAt : TimePoint::max();
  }

  // Returns whether the request was lost because its controller was killed. It may have been sent until the
  // clients noticed the exit of the process, which can follow the SIGKILL with a delay.
  bool wasLostInKill(const RequestRecord& request) {
    const TimePoint lostAt = lostAtOrMax(request);
    for (const KillInterval& interval : processes_[request.sent->controller].killIntervals) {
      const TimePoint::duration waited =
          interval.exitedAt < lostAt ? cpuWait({Event::kTestProcess}, interval.exitedAt, lostAt) : 0s;
      const bool sentBeforeExit =
          request.sent->observedAt <= interval.exitedAt + options_.timingSlack + waited;
      if (sentBeforeExit && interval.killedAt <= lostAt) return true;
    }
    return false;
  }

  // Returns whether the request raced with the close of its connection and was sent again.
  bool crossedClose(const RequestRecord& request) const {
    return request.lost && request.lost->detail == "closed" &&
           request.lost->notBefore <= request.sent->observedAt + options_.crossedCloseWindow &&
           request.sent->retryOf.empty() && !request.retriedBy.empty();
  }

  static std::string describeUnanswered(const std::string& reference, const RequestRecord& request) {
    std::string text = reference + " (" + request.sent->detail + " at controller " +
                       std::to_string(request.sent->controller) + ") was not answered: ";
    if (!request.lost) return text + "still open";
    const auto elapsed = duration_cast<milliseconds>(request.lost->observedAt - request.sent->observedAt);
    return text + request.lost->detail + " after " + std::to_string(elapsed.count()) + " ms";
  }

  const std::vector<Event>& events_;
  const InvariantOptions& options_;
  InvariantReport report_;
  std::size_t eventIndex_ = 0;
  std::map<std::string, RequestRecord> requests_;
  std::map<std::uint64_t, AttemptRecord> attempts_;
  std::map<std::size_t, EngineRecord> engines_;
  std::map<std::size_t, ProcessRecord> processes_;
  std::map<std::size_t, std::map<TimePoint, std::int64_t>> cumulativeCpuWaits_;  // By process.
  bool endpointListLost_ = false;
  std::optional<TimePoint> listRestoredAt_;
};

}  // namespace

const char* nameOf(Invariant invariant) {
  static constexpr std::array kNames{"one answer", "own rows", "no unsafe retry", "rejected not executed",
                                     "gone",       "drains",   "exits",           "idle"};
  return kNames[static_cast<std::size_t>(invariant)];
}

std::string InvariantReport::summary() const {
  std::string text = std::to_string(requests) + " requests, " + std::to_string(attempts) + " attempts, " +
                     std::to_string(clientsGone) + " abandoned (" + std::to_string(attemptsAfterClientGone) +
                     " attempts began afterwards, at most " +
                     std::to_string(maxDelayAfterClientGone.count()) + " ms later), late " +
                     std::to_string(lateAnswers) + ", raced with a close " + std::to_string(crossedClose) +
                     ", lost by a kill " + std::to_string(killed) + ", unsent " + std::to_string(unsent) +
                     "; checks:";
  for (std::size_t index = 0; index < checkCounts.size(); ++index)
    text += std::string(index ? ", " : " ") + nameOf(static_cast<Invariant>(index)) + " " +
            std::to_string(checkCounts[index]);
  for (const Violation& violation : violations)
    text += std::string("\n  VIOLATED ") + nameOf(violation.invariant) + ": " + violation.description;
  return text;
}

InvariantReport checkInvariants(const std::vector<Event>& events, const InvariantOptions& options) {
  return InvariantChecker(events, options).run();
}

}  // namespace paddletrack::fakes
