// Tests of the invariant checker: for each invariant a trace that violates it, and similar traces that do
// not.
#include <gtest/gtest.h>

#include <csignal>

#include "fakes/fake_fleet.hpp"
#include "fakes/invariant_checker.hpp"
#include "fakes/test_scheduler.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;
using Kind = Event::Kind;

// The events of a run, written by the test. Times are in milliseconds.
struct RunTrace {
  std::vector<Event> events;
  Event& addEvent(int atMs, Kind kind, const std::string& reference = "", const std::string& detail = "") {
    Event event{.kind = kind, .reference = reference, .detail = detail, .timeout = 1000ms};
    event.observedAt = event.notBefore = transport::TimePoint(1h + milliseconds(atMs));
    return events.emplace_back(event);
  }
  void addAttempt(int atMs, const std::string& reference, std::uint64_t attemptId) {
    addEvent(atMs, Kind::attemptReceived, reference).attempt = attemptId;
  }
  void addAttemptResult(int atMs, std::uint64_t attemptId, const std::string& status,
                        const std::string& rows = "") {
    Event& event = addEvent(atMs, Kind::attemptFinished, "", status);
    event.attempt = attemptId;
    event.body = rows;
  }
  // All events of a request that is served correctly.
  void addServedRequest(const std::string& reference, int atMs, std::uint64_t attemptId,
                        const std::string& requestClass = "load") {
    addEvent(atMs, Kind::requestSent, reference, requestClass);
    addAttempt(atMs + 2, reference, attemptId);
    addAttemptResult(atMs + 10, attemptId, "200", "rows");
    addEvent(atMs + 12, Kind::requestAnswered, reference, "done").body = "rows";
  }
  void addSignal(int atMs, int signalNumber) { addEvent(atMs, Kind::signalSent).value = signalNumber; }
  // The names of the violated invariants in the order in which the violations were found.
  std::string violatedInvariants() const {
    std::string names;
    for (const Violation& violation : checkInvariants(events, {}).violations)
      names += std::string(names.empty() ? "" : ", ") + nameOf(violation.invariant);
    return names;
  }
};

TEST(TraceOracle, ReportsNoViolationWhenRunIsCorrect) {
  RunTrace trace;
  trace.addServedRequest("a", 0, 1);
  trace.addEvent(20, Kind::requestSent, "b", "report");
  trace.addEvent(30, Kind::clientGone, "b", "revoked");
  trace.addAttempt(170, "b", 2);  // Within the grace period and the timing slack.
  trace.addSignal(200, SIGTERM);
  trace.addEvent(400, Kind::processExited);
  EXPECT_EQ(trace.violatedInvariants(), "");
  EXPECT_EQ(checkInvariants(trace.events, {}).attemptsAfterClientGone, 1U);
}

TEST(TraceOracle, ReportsResponseViolationWhenResponseIsMissingDuplicateLateOrUnsolicited) {
  for (const char* violationText : {"missing", "lost", "twice", "late", "nothing", "after its end"}) {
    RunTrace trace;
    const std::string violation = violationText;
    if (violation == "missing" || violation == "lost") trace.addEvent(0, Kind::requestSent, "a", "report");
    if (violation == "lost") trace.addEvent(70, Kind::requestLost, "a", "closed");
    if (violation != "missing" && violation != "lost") trace.addServedRequest("a", 0, 1);
    if (violation == "twice") trace.addEvent(20, Kind::requestAnswered, "a", "throttled");
    if (violation == "late") trace.events.back().observedAt = trace.events.back().notBefore += 1400ms;
    if (violation == "nothing") trace.addEvent(20, Kind::requestAnswered, "", "cancelled");
    if (violation == "after its end") {
      trace.addEvent(11, Kind::requestLost, "a", "closed");
      std::swap(trace.events.rbegin()[0], trace.events.rbegin()[1]);
    }
    EXPECT_EQ(trace.violatedInvariants(), "one answer") << violationText;
  }
}

TEST(TraceOracle, ExcusesLostResponseWhenCloseCrossesOnceOrProcessIsKilled) {
  RunTrace trace;
  trace.addEvent(0, Kind::requestSent, "a", "report");
  trace.addEvent(40, Kind::requestLost, "a", "closed");
  EXPECT_EQ(trace.violatedInvariants(), "one answer");  // The request was not sent again.
  trace.addEvent(41, Kind::requestSent, "b", "report").retryOf = "a";
  trace.addEvent(60, Kind::requestLost, "b", "closed");
  EXPECT_EQ(trace.violatedInvariants(), "one answer");  // A second close loses b.
  RunTrace killedTrace;
  killedTrace.addEvent(0, Kind::requestSent, "a", "report");
  killedTrace.addSignal(500, SIGKILL);
  killedTrace.addEvent(501, Kind::requestLost, "a", "closed");
  killedTrace.addEvent(502, Kind::processExited).value = 128 + SIGKILL;
  EXPECT_EQ(killedTrace.violatedInvariants(), "");
  killedTrace.addEvent(600, Kind::serviceStarted);
  killedTrace.addEvent(700, Kind::requestSent, "b", "report");
  killedTrace.addEvent(800, Kind::requestLost, "b", "closed");
  EXPECT_EQ(killedTrace.violatedInvariants(), "one answer");
}

TEST(TraceOracle, ReportsViolationWhenRowsWereNotProducedByAnAttempt) {
  RunTrace trace;
  trace.addServedRequest("a", 0, 1);
  trace.events.back().body = "rows rows";
  EXPECT_EQ(trace.violatedInvariants(), "own rows");
}

TEST(TraceOracle, ReportsViolationWhenNonIdempotentRequestMayRunTwice) {
  for (const std::string firstResult : {"", "200", "500", "cut", "withdrawn", "503", "504"}) {
    RunTrace trace;
    trace.addEvent(0, Kind::requestSent, "a", "load");
    trace.addAttempt(2, "a", 1);
    if (firstResult == "cut" || firstResult == "withdrawn")
      trace.addEvent(5, firstResult == "cut" ? Kind::attemptDisconnected : Kind::attemptCancelled, "a")
          .attempt = 1;
    else if (!firstResult.empty())
      trace.addAttemptResult(5, 1, firstResult);
    trace.addAttempt(8, "a", 2);
    trace.addAttemptResult(10, 2, "200");
    trace.addEvent(11, Kind::requestAnswered, "a", "done");
    EXPECT_EQ(trace.violatedInvariants(),
              firstResult == "503" || firstResult == "504" ? "" : "no unsafe retry")
        << firstResult;
    trace.events.front().detail = "report";  // An idempotent class.
    EXPECT_EQ(trace.violatedInvariants(), "") << firstResult;
  }
}

TEST(TraceOracle, ReportsViolationWhenExecutedNonIdempotentRequestIsRejected) {
  RunTrace trace;
  trace.addServedRequest("a", 0, 1);
  trace.events.back().detail = "throttled";
  EXPECT_EQ(trace.violatedInvariants(), "rejected not executed");
}

TEST(TraceOracle, ReportsViolationWhenAttemptStartsAfterClientHasGone) {
  RunTrace trace;
  trace.addEvent(0, Kind::requestSent, "a", "report");
  trace.addEvent(10, Kind::clientGone, "a", "half-closed");
  trace.addAttempt(162, "a", 1);
  EXPECT_EQ(trace.violatedInvariants(), "gone");
  trace.addEvent(170, Kind::cpuWaitMeasured).value = 30'000;  // The process waited for a core.
  EXPECT_EQ(trace.violatedInvariants(), "");
}

TEST(TraceOracle, ReportsViolationWhenAttemptStartsOnDrainingEngine) {
  RunTrace trace;
  trace.addEvent(0, Kind::endpointUpdated, "", "leaving");
  trace.addServedRequest("a", 1000, 1);  // Within the grace period.
  EXPECT_EQ(trace.violatedInvariants(), "");
  trace.addServedRequest("b", 1100, 2);
  EXPECT_EQ(trace.violatedInvariants(), "drains");
  trace.events.resize(trace.events.size() - 4);
  trace.addEvent(1090, Kind::endpointUpdated, "", "active");  // Another engine at the same address.
  trace.addServedRequest("b", 1100, 2);
  EXPECT_EQ(trace.violatedInvariants(), "");
  // A change published while the endpoint list is unreachable counts once the controllers can have read the
  // list again.
  RunTrace outageTrace;
  outageTrace.addEvent(0, Kind::endpointListLost);
  outageTrace.addEvent(10, Kind::endpointUpdated, "", "left");
  outageTrace.addServedRequest("a", 2000, 1);
  outageTrace.addEvent(3000, Kind::endpointListRestored);
  outageTrace.addServedRequest("b", 6000, 2);
  EXPECT_EQ(outageTrace.violatedInvariants(), "");
  outageTrace.addServedRequest("c", 6100, 3);
  EXPECT_EQ(outageTrace.violatedInvariants(), "drains");
}

TEST(TraceOracle, ReportsViolationWhenExitIsLateUnrequestedOrNonZero) {
  for (const auto& [isStopped, exitAtMs, code] :
       {std::tuple(true, 3760, 0), std::tuple(true, 300, 1), std::tuple(false, 300, 0)}) {
    RunTrace trace;
    if (isStopped) trace.addSignal(0, SIGTERM);
    trace.addEvent(exitAtMs, Kind::processExited).value = code;
    EXPECT_EQ(trace.violatedInvariants(), "exits") << exitAtMs << " " << code;
  }
}

TEST(TraceOracle, ReportsViolationWhenIdleProcessHoldsMoreResources) {
  for (const auto& [resource, excess] :
       {std::pair("jobs", 1), std::pair("descriptors", 1), std::pair("memory", 65 << 10)}) {
    RunTrace trace;
    trace.addEvent(0, Kind::idleMeasured, "", resource).value = 12;
    trace.addEvent(9, Kind::idleMeasured, "", resource).value = 12;
    EXPECT_EQ(trace.violatedInvariants(), "");
    trace.addEvent(10, Kind::idleMeasured, "", resource).value = 12 + excess;
    EXPECT_EQ(trace.violatedInvariants(), "idle") << resource;
  }
}

// The events that the fake engine itself records show that it executed a non-idempotent request twice.
TEST(TraceOracle, ReportsViolationWhenFakeEngineRecordsSecondExecution) {
  TestScheduler loop;
  EventLog events(loop);
  FakeEngine engine(loop, loop.memoryBudget, transport::Address("127.0.188.1:18443"));
  engine.recordTo(events, 0);
  events.append({.kind = Kind::requestSent, .reference = "a", .detail = "load", .timeout = 1000ms});
  transport::TaskGroup running(loop, [](const char* message) { FAIL() << message; });
  running.spawn([](TestScheduler& eventLoop) -> transport::Task<> {
    transport::ConnectResult connectResult =
        co_await transport::connect(eventLoop, transport::Address("127.0.188.1:18443"), eventLoop.now() + 2s);
    transport::Connection connection(eventLoop, std::move(connectResult.descriptor), 4096, 4096,
                                     eventLoop.memoryBudget);
    for (int index = 0; index < 2; ++index) {  // The second is sent after the answer to the first.
      FakeEngine::sendReply(connection, {"ASK", "a", "-", "select 1"});
      (void)co_await connection.receive(eventLoop.now() + 2s);
    }
  }(loop));
  ASSERT_TRUE(loop.runUntil([&] { return engine.duplicateExecutionCount() == 1; }));
  const InvariantReport report = checkInvariants(events.events(), {});
  ASSERT_GE(report.violations.size(), 1U);
  EXPECT_EQ(report.violations.front().invariant, Invariant::noUnsafeRetry);
}

}  // namespace
}  // namespace paddletrack::fakes
