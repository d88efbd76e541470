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
  std::string result{};  // its answer's word, `withdrawn` or `cut`
  std::string rows{};
};
struct RequestRecord {  // one job
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
struct ProcessRecord {
  std::optional<TimePoint> stopRequestedAt{}, killedAt{};
  std::vector<std::pair<TimePoint, TimePoint>> killIntervals{};  // and the ends
  std::map<std::string, std::int64_t> startMeasures{};
};

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
  // How long processes had work and no core, between two moments.
  TimePoint::duration cpuWait(std::initializer_list<std::size_t> processes, TimePoint begin,
                              TimePoint until) const {
    std::int64_t sum = 0;
    for (const std::size_t process : processes) {
      const auto found = cumulativeCpuWaits_.find(process);
      if (found == cumulativeCpuWaits_.end() || found->second.empty()) continue;
      const auto& samples = found->second;
      const auto cumulativeAt = [&](TimePoint time) {  // all up to then
        const auto next = samples.upper_bound(time);
        return next == samples.begin() ? 0 : std::prev(next)->second;
      };
      const auto last = samples.lower_bound(until);  // a wait is told at its end
      sum += (last == samples.end() ? samples.rbegin()->second : last->second) - cumulativeAt(begin);
    }
    return std::chrono::microseconds(sum);
  }
  void addViolation(Invariant rule, const std::string& description) {
    report_.violations.push_back({rule, description, eventIndex_});
  }
  void countCheck(Invariant rule) { ++report_.checkCounts[static_cast<std::size_t>(rule)]; }

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
        if (!attempt.result.empty()) return;  // what an executor says twice is its own fault
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
        if (event.value == SIGKILL)
          process.killedAt = event.observedAt,
          process.killIntervals.emplace_back(event.observedAt, TimePoint::max());
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
      return addViolation(Invariant::answeredOnce, "an answer to nothing");
    RequestRecord& request = found->second;
    if (++request.answerCount > 1)
      return addViolation(Invariant::answeredOnce, event.reference + " is answered twice");
    if (request.lost)
      return addViolation(Invariant::answeredOnce,
                          event.reference + " is answered after its connection's end");
    request.outcome = event.detail;
    if (event.observedAt > request.sent->observedAt + request.sent->timeout + options_.timingSlack)
      ++report_.lateAnswers;
    if (!request.clientGone && event.notBefore > request.sent->observedAt + request.sent->timeout +
                                                     options_.timingSlack + options_.maxLateness +
                                                     cpuWait({request.sent->controller, Event::kTestProcess},
                                                             request.sent->observedAt, event.observedAt))
      addViolation(Invariant::answeredOnce, event.reference + " is answered too late");
    if (event.detail == "done") {
      countCheck(Invariant::rowsOfOwnAttempt);
      bool matches = false;
      for (const std::uint64_t attempt : request.attempts)
        matches = matches || (attempts_[attempt].result == "200" && attempts_[attempt].rows == event.body);
      if (!matches)
        addViolation(Invariant::rowsOfOwnAttempt,
                     event.reference + " is answered with rows that nobody made");
    }
    if (event.detail == "throttled" && request.sent->detail == options_.nonIdempotentClass) {
      countCheck(Invariant::rejectedNotExecuted);
      for (const std::uint64_t attempt : request.attempts)
        if (!provenNotExecuted(attempt))
          return addViolation(Invariant::rejectedNotExecuted, event.reference + " ran, and is told as unrun");
    }
  }

  bool provenNotExecuted(std::uint64_t attempt) const {
    const std::string& result = attempts_.at(attempt).result;
    return result == "503" || result == "504";
  }

  void onAttemptReceived(const Event& event) {
    ++report_.attempts;
    RequestRecord& request = requests_[event.reference];
    if (request.sent && request.sent->detail == options_.nonIdempotentClass && !request.attempts.empty()) {
      countCheck(Invariant::noUnsafeRetry);
      for (const std::uint64_t attempt : request.attempts)
        if (!provenNotExecuted(attempt)) {
          addViolation(Invariant::noUnsafeRetry,
                       event.reference + " came again, and the attempt before " +
                           (attempts_[attempt].result.empty() ? "is out" : "ended with ") +
                           attempts_[attempt].result);
          break;
        }
    }
    request.attempts.push_back(event.attempt);
    attempts_[event.attempt].receivedAt = event.observedAt;
    if (request.clientGone && event.observedAt > request.clientGone->observedAt) {
      countCheck(Invariant::noAttemptAfterClientGone);
      ++report_.attemptsAfterClientGone;
      const auto elapsed = duration_cast<milliseconds>(
          event.notBefore - request.clientGone->observedAt -
          cpuWait({request.sent->controller}, request.clientGone->observedAt, event.observedAt));
      report_.maxDelayAfterClientGone = std::max(report_.maxDelayAfterClientGone, elapsed);
      if (elapsed > options_.clientGoneGrace + options_.timingSlack)
        addViolation(Invariant::noAttemptAfterClientGone,
                     event.reference + " begins " + std::to_string(elapsed.count()) +
                         " ms after its client was " + request.clientGone->detail);
    }
    const EngineRecord& engine = engines_[event.engine];
    if (!engine.drainingSince) return;
    countCheck(Invariant::drainingEngineGetsNoAttempts);
    if (endpointListLost_) return;
    // What was told in a silence counts from when the list is heard again.
    const TimePoint effectiveAt =
        std::max(*engine.drainingSince,
                 listRestoredAt_ ? *listRestoredAt_ + options_.relistTimeout : *engine.drainingSince);
    const std::size_t controller = request.sent ? request.sent->controller : 0;
    const auto elapsed = duration_cast<milliseconds>(event.notBefore - effectiveAt -
                                                     cpuWait({controller}, effectiveAt, event.observedAt));
    if (elapsed > options_.drainGrace + options_.timingSlack)
      addViolation(Invariant::drainingEngineGetsNoAttempts,
                   "executor " + std::to_string(event.engine) + ", " + engine.state + ", gets " +
                       event.reference + " after " + std::to_string(elapsed.count()) + " ms");
  }

  void onProcessExited(const Event& event) {
    countCheck(Invariant::cleanExit);
    ProcessRecord& process = processes_[event.controller];
    const std::string name = "controller " + std::to_string(event.controller);
    if (process.killedAt) {
      process.killIntervals.back().second = event.observedAt;
      return;
    }
    if (!process.stopRequestedAt || event.value != 0)
      return addViolation(Invariant::cleanExit, name + " ends with " + std::to_string(event.value));
    const auto elapsed = duration_cast<milliseconds>(
        event.notBefore - *process.stopRequestedAt -
        cpuWait({event.controller, Event::kTestProcess}, *process.stopRequestedAt, event.observedAt));
    if (elapsed > options_.stopTimeout)
      addViolation(Invariant::cleanExit,
                   name + " ends " + std::to_string(elapsed.count()) + " ms after SIGTERM");
  }

  // The first of each measure is that of its start.
  void onIdleMeasured(const Event& event) {
    auto& atStart = processes_[event.controller].startMeasures;
    const auto [startValue, isFirst] = atStart.emplace(event.detail, event.value);
    if (isFirst) return;
    countCheck(Invariant::releasedWhenIdle);
    const std::int64_t allowance = event.detail == "memory"        ? options_.maxExtraMemoryKb
                                   : event.detail == "descriptors" ? options_.maxExtraDescriptors
                                                                   : 0;
    if (event.value > startValue->second + allowance)
      addViolation(Invariant::releasedWhenIdle, "controller " + std::to_string(event.controller) + ": " +
                                                    event.detail + " " + std::to_string(event.value) +
                                                    ", at its start " + std::to_string(startValue->second));
  }

  // No answer: its client has gone, its controller was killed, or it crossed a close and was sent again.
  void checkUnanswered(const std::string& reference, const RequestRecord& request) {
    if (!request.sent || request.answerCount > 0 || request.clientGone) return;
    eventIndex_ = request.lost ? request.lostEventIndex : events_.size();
    if (request.lost && request.lost->detail == "unsent") return void(++report_.unsent);
    const TimePoint lostAt = request.lost ? request.lost->observedAt : TimePoint::max();
    // From the kill until the process is gone, which may take a while, and its client has seen it.
    for (const auto& [killedAt, goneAt] : processes_[request.sent->controller].killIntervals) {
      const bool sentBeforeGone = request.sent->observedAt <=
                                  goneAt + options_.timingSlack +
                                      (goneAt < lostAt ? cpuWait({Event::kTestProcess}, goneAt, lostAt) : 0s);
      if (sentBeforeGone && killedAt <= lostAt) return void(++report_.killed);
    }
    const bool crossedClose =
        request.lost && request.lost->detail == "closed" &&
        request.lost->notBefore <= request.sent->observedAt + options_.crossedCloseWindow;
    if (crossedClose && request.sent->retryOf.empty() && !request.retriedBy.empty())
      return void(++report_.crossedClose);
    countCheck(Invariant::answeredOnce);
    addViolation(
        Invariant::answeredOnce,
        reference + " (" + request.sent->detail + " at controller " +
            std::to_string(request.sent->controller) + ") has no answer: " +
            (request.lost ? request.lost->detail + " after " +
                                std::to_string(
                                    duration_cast<milliseconds>(lostAt - request.sent->observedAt).count()) +
                                " ms"
                          : "it is open"));
  }

  const std::vector<Event>& events_;
  const InvariantOptions& options_;
  InvariantReport report_;
  std::size_t eventIndex_ = 0;
  std::map<std::string, RequestRecord> requests_;
  std::map<std::uint64_t, AttemptRecord> attempts_;
  std::map<std::size_t, EngineRecord> engines_;
  std::map<std::size_t, ProcessRecord> processes_;
  std::map<std::size_t, std::map<TimePoint, std::int64_t>> cumulativeCpuWaits_;  // summed up
  bool endpointListLost_ = false;
  std::optional<TimePoint> listRestoredAt_;
};

}  // namespace

const char* nameOf(Kind kind) {
  static constexpr std::array kNames{"sent",      "answered", "lost",   "gone",    "came",  "finished",
                                     "withdrawn", "cut",      "listed", "unheard", "heard", "signalled",
                                     "exited",    "served",   "idle",   "busy"};
  return kNames[static_cast<std::size_t>(kind)];
}

const char* nameOf(Invariant rule) {
  static constexpr std::array kNames{"one answer", "own rows", "runs once", "throttled unrun",
                                     "gone",       "drains",   "exits",     "idle"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::string formatEvent(const Event& event, TimePoint origin) {
  const auto microseconds = duration_cast<std::chrono::microseconds>(event.observedAt - origin).count();
  std::string line = std::to_string(microseconds / 1000) + "." +
                     std::to_string(std::abs(microseconds % 1000 / 100)) + " ms " + nameOf(event.kind);
  if (!event.reference.empty()) line += " " + event.reference;
  if (event.attempt > 0) line += " attempt " + std::to_string(event.attempt);
  line += " c" + std::to_string(event.controller) + " e" + std::to_string(event.engine);
  if (!event.detail.empty()) line += " " + event.detail;
  if (!event.retryOf.empty()) line += " again for " + event.retryOf;
  if (event.value != 0) line += " " + std::to_string(event.value);
  return line;
}

std::string InvariantReport::summary() const {
  std::string text = std::to_string(requests) + " jobs, " + std::to_string(attempts) + " attempts, " +
                     std::to_string(clientsGone) + " departed (" + std::to_string(attemptsAfterClientGone) +
                     " attempts began after, at most " + std::to_string(maxDelayAfterClientGone.count()) +
                     " ms), late " + std::to_string(lateAnswers) + ", crossed a close " +
                     std::to_string(crossedClose) + ", killed " + std::to_string(killed) + ", unsent " +
                     std::to_string(unsent) + "; cases:";
  for (std::size_t index = 0; index < checkCounts.size(); ++index)
    text += std::string(index ? ", " : " ") + nameOf(static_cast<Invariant>(index)) + " " +
            std::to_string(checkCounts[index]);
  for (const Violation& violation : violations)
    text += std::string("\n  BROKEN ") + nameOf(violation.invariant) + ": " + violation.description;
  return text;
}

InvariantReport checkInvariants(const std::vector<Event>& events, const InvariantOptions& options) {
  return InvariantChecker(events, options).run();
}

}  // namespace paddletrack::fakes
