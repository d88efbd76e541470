// Races between an attempt and its connection: the client leaves, the engine drains or restarts, the deadline
// passes or the response arrives at the same time. Each race is forced: either both events occur between two
// iterations of the loop, or a peer withholds its response.
#include <gtest/gtest.h>

#include "fakes/fake_engine.hpp"
#include "fakes/test_scheduler.hpp"
#include "fakes/unresponsive_listener.hpp"
#include "protocol/controller_config.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::routing {
namespace {

using namespace std::chrono_literals;
using transport::Address;
using transport::Connection;
using FakeEngine = fakes::FakeEngine;
using paddletrack::EndpointState;

constexpr std::size_t kIdempotent = 0, kIdempotentByKey = 1, kNotIdempotent = 2;  // Request classes.
constexpr std::size_t kLargerThanSocketBuffers = 32 << 20;
constexpr auto kIdempotencyWindow = 150ms;  // Of the idempotent-by-key class.
const std::string kAllowCancellation = "limits.cancelling=true\n";

std::string makeSettings(const std::string& extraLines) {
  std::string lines =
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=64\nprofiles.count=3\nlimits.mostTries=3\n"
      "limits.retryAfter=true\nlimits.maxRetryAfterUs=900000\nlimits.streamsPerConn=16\n"
      "limits.dialTimeoutUs=1000000\nlimits.idleCloseUs=9000000\ntickUs=5000\n";
  for (const auto& [index, idempotency] : {std::pair(0, "retryable"), {1, "dedup"}, {2, "fragile"}}) {
    const std::string prefix = "profiles." + std::to_string(index) + ".";
    lines += prefix + "name=t" + std::to_string(index) + "\n" + prefix + "idempotency=" + idempotency + "\n" +
             prefix + "onTimeUs=800000\n" + prefix + "giveUpUs=4000000\n" + prefix + "windowUs=150000\n";
  }
  return lines + extraLines;
}

struct EngineConnectionFixture : fakes::TestScheduler {
  explicit EngineConnectionFixture(const std::string& extraSettings = "", std::size_t connectionLimit = 40)
      : config(protocol::decodeControllerConfig(protocol::flattenLines(makeSettings(extraSettings)))),
        maxConnections(connectionLimit) {}

  struct RecordingListener : RequestContext::ResponseListener {
    void onResponseReady(RequestContext& context) override {
      responseKinds.push_back(context.responseKind);
      for (const BufferSlice& page : context.pages) receivedRows += page.view();
    }
    std::vector<RequestContext::ResponseKind> responseKinds;
    std::string receivedRows;
  };

  static std::string engineAddress(int host) { return "127.0.121." + std::to_string(host) + ":18443"; }
  FakeEngine& startEngine(int host, FakeEngine::CommandHandler script) {
    engines.push_back(std::make_unique<FakeEngine>(*this, memoryBudget, Address(engineAddress(host))));
    engines.back()->onCommand = std::move(script);
    return *engines.back();
  }
  void updateEndpoint(const std::vector<int>& hosts, EndpointState state = EndpointState::ready,
                      std::int64_t startedMs = 0, const std::string& id = "s", bool isSnapshot = false) {
    protocol::EndpointEvent event;
    event.isSnapshot = isSnapshot;
    protocol::EndpointEntry entry{id, engineAddress(hosts.front()), "a", "m", 0, state, startedMs};
    for (const int host : hosts) entry.addresses.push_back(engineAddress(host));
    event.entries.push_back(entry);
    router.onEndpointUpdate(event);
  }
  // An attempt has been started when this returns; the loop has not run in the meantime.
  RequestContext& submitRequest(std::size_t classIndex, Duration timeout = 2s,
                                BufferSlice statement = BufferSlice(std::string("select 1"))) {
    auto newContext = std::make_unique<RequestContext>();
    newContext->id = ++requestCount;
    newContext->requestClass = &config.deployment.requestClasses[classIndex];
    newContext->requestClassName = config.requestClassNames[classIndex];
    newContext->requestId = "00000000000000" + std::to_string(10 + requestCount);
    newContext->arrivedAt = router.now();
    newContext->deadline = newContext->arrivedAt + timeout;
    newContext->declaredCost = 1ms;
    newContext->statement = std::move(statement);
    newContext->responseListener = &listener;
    RequestContext& context = *newContext;
    router.acceptRequest(std::move(newContext));
    return context;
  }
  std::uint64_t countOutcomes(AttemptOutcome outcome) const {
    return router.totals().attemptOutcomes[static_cast<std::size_t>(outcome)];
  }
  bool waitUntilIdle(std::chrono::milliseconds timeout = 5s) {
    return runUntil([&] { return router.openRequestCount() == 0; }, timeout);
  }
  // Runs until everything in flight between sockets of this process has arrived.
  void drainSockets() {
    for (int index = 0; index < 5; ++index) runFor(1ms);
  }

  protocol::ControllerConfig config;
  const std::size_t maxConnections;
  std::uint32_t requestCount = 0;
  std::string logText;
  const Logger logger{[this](const LogRecord& record) {
    logText += std::string(record.topic) + ": " + record.message + "\n";
  }};
  RecordingListener listener;
  RequestRouter router{
      *this,
      memoryBudget,
      config,
      {100, {config.maxAttemptsPerConnection, maxConnections, config.connectTimeout, config.idleTimeout}},
      7,
      logger};
  std::vector<std::unique_ptr<FakeEngine>> engines;
};

void answerNormally(FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
  if (command == "NOOP") FakeEngine::sendReply(connection, {id, "alive", "-", ""});
  if (command == "ASK") FakeEngine::sendReply(connection, {id, "200", "batches=1", "r\to\tw\n"});
}

// Accepts one connection and reads nothing until startReading().
class StalledServer {
 public:
  StalledServer(EngineConnectionFixture& fixture, int host)
      : fixture_(fixture),
        listener_(std::in_place, fixture, Address(EngineConnectionFixture::engineAddress(host))) {
    tasks_.spawn(acceptConnection());
  }
  std::size_t bytesRead = 0;
  bool finished = false;
  bool hasAccepted() const { return descriptor_ || connection_; }
  void startReading() { tasks_.spawn(readUntilEnd()); }
  void disconnect() {
    descriptor_.reset();
    listener_.reset();
  }

 private:
  transport::Task<> acceptConnection() {
    auto accepted = co_await listener_->accept();
    descriptor_ = std::move(accepted);
  }
  transport::Task<> readUntilEnd() {
    connection_.emplace(fixture_, std::move(descriptor_), 1 << 20, 1 << 20, fixture_.memoryBudget);
    for (;;) {
      const bool hasMore = co_await connection_->receive();
      if (!hasMore) break;
      bytesRead += connection_->input().view().size();
      connection_->input().consume(connection_->input().view().size());
    }
    finished = true;
  }
  EngineConnectionFixture& fixture_;
  std::optional<transport::Listener> listener_;
  std::unique_ptr<transport::Descriptor> descriptor_;
  std::optional<Connection> connection_;
  transport::TaskGroup tasks_{fixture_, [](const char*) {}};
};

// Waits until the kernel accepts no more bytes of a partly written statement.
bool waitUntilWriteStalls(EngineConnectionFixture& fixture) {
  std::size_t previousBytes = 0;
  return fixture.runUntil([&] {
    const bool isUnchanged =
        fixture.memoryBudget.usedBytes > 0 && fixture.memoryBudget.usedBytes == previousBytes;
    previousBytes = fixture.memoryBudget.usedBytes;
    return isUnchanged && fixture.memoryBudget.usedBytes < kLargerThanSocketBuffers;
  });
}

// ---- Attempts that wait for a connection ---------------------------------------------------------------

TEST(EngineConnection, DoesNotWritePendingAttemptWhenClientHasGone) {
  for (const std::string& extraSettings : {std::string(), kAllowCancellation}) {
    EngineConnectionFixture fixture(extraSettings);
    FakeEngine& engine = fixture.startEngine(1, answerNormally);
    fixture.updateEndpoint({1});
    RequestContext& context = fixture.submitRequest(kIdempotent);
    fixture.router.onClientGone(context);  // Its connect has just started.
    EXPECT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    EXPECT_EQ(engine.receivedCommands, "") << extraSettings;
    EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::neverSent), 1U) << fixture.router.formatCounts();
    EXPECT_TRUE(fixture.listener.responseKinds.empty());
  }
}

TEST(EngineConnection, DoesNotWritePendingAttemptWhenEngineHasRestarted) {
  // An engine that is warming up may have less capacity than one request needs, so nothing may be sent to the
  // new process.
  for (const bool clientLeaves : {false, true}) {
    EngineConnectionFixture fixture(
        "rules.coldUs=60000000\nrules.startCapacity=0.01\nrules.fallMultiple=1\nrules.fallUs=1000000\n");
    FakeEngine& engine = fixture.startEngine(1, answerNormally);
    fixture.updateEndpoint({1});
    fixture.submitRequest(kIdempotent);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    if (clientLeaves) fixture.updateEndpoint({1}, EndpointState::removed);
    fixture.updateEndpoint({1}, EndpointState::ready, started);
    EXPECT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    EXPECT_EQ(engine.receivedCommands, "") << clientLeaves;
    EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::neverSent), 1U) << fixture.router.formatCounts();
    EXPECT_EQ(fixture.listener.responseKinds, std::vector{RequestContext::ResponseKind::rejected});
  }
}

TEST(EngineConnection, DoesNotWritePendingAttemptWhenEngineIsDrainingOrRemoved) {
  for (const EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    EngineConnectionFixture fixture;
    FakeEngine& engine = fixture.startEngine(1, answerNormally);
    fixture.updateEndpoint({1});
    fixture.submitRequest(kNotIdempotent);
    fixture.updateEndpoint({1}, state);
    EXPECT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    EXPECT_EQ(engine.receivedCommands, "");
    EXPECT_EQ(fixture.listener.responseKinds,
              std::vector{RequestContext::ResponseKind::rejected});  // It was proven not executed.
    const bool isForgotten = fixture.runUntil([&] { return !fixture.router.isReady(); }, 100ms);
    EXPECT_EQ(isForgotten, state == EndpointState::removed);
  }
}

// The loop is blocked while the connect completes, until the deadline has passed.
TEST(EngineConnection, DoesNotWritePendingAttemptWhenRequestDeadlineHasPassed) {
  EngineConnectionFixture fixture;
  FakeEngine& engine = fixture.startEngine(1, answerNormally);
  fixture.updateEndpoint({1});
  fixture.submitRequest(kIdempotent, 30ms);
  const transport::TimePoint deadline = fixture.now() + 30ms;
  transport::ScheduledCall stallCallback(fixture, [&] {
    while (fixture.now() <= deadline) continue;
  });
  stallCallback.runSoon();
  EXPECT_TRUE(fixture.waitUntilIdle());
  fixture.drainSockets();
  EXPECT_EQ(engine.receivedCommands, "");
  EXPECT_EQ(fixture.listener.responseKinds.size(), 1U);
}

// Regression: after a stall of this process an attempt was written at once, although what had arrived
// meanwhile showed that its client had gone, its engine was draining or its engine had restarted.
TEST(EngineConnection, DoesNotWriteAttemptWhenInputOfStallForbidsIt) {
  for (const std::string lateInput : {"client gone", "engine draining", "engine restarted"}) {
    EngineConnectionFixture fixture;
    FakeEngine& engine = fixture.startEngine(1, answerNormally);
    fixture.updateEndpoint({1});
    fixture.submitRequest(kNotIdempotent);
    ASSERT_TRUE(fixture.waitUntilIdle());  // The connection to the engine is established.
    fixture.listener.responseKinds.clear();
    RequestContext* context = nullptr;
    transport::ScheduledCall lateInputCall(fixture, [&] {  // As a session that reads after the stall.
      if (lateInput == "client gone") fixture.router.onClientGone(*context);
      if (lateInput == "engine draining") fixture.updateEndpoint({1}, EndpointState::draining);
      if (lateInput == "engine restarted") fixture.updateEndpoint({1}, EndpointState::ready, 1700000000000);
    });
    transport::ScheduledCall stallCall(fixture, [&] {
      for (const transport::TimePoint end = fixture.now() + 80ms; fixture.now() < end;) continue;
      context = &fixture.submitRequest(kNotIdempotent);
      lateInputCall.runSoon();
    });
    stallCall.runSoon();
    fixture.runFor(90ms);
    EXPECT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    if (lateInput == "engine restarted") {
      EXPECT_EQ(engine.connections.size(), 2U);  // Sent to the new process only.
    } else {
      EXPECT_EQ(engine.receivedCommands, "ASK ") << lateInput;
    }
  }
}

// Guards the end of the wait: an attempt that starts after a stall is written once the input has been read.
TEST(EngineConnection, WritesAttemptAfterStallWhenNothingForbidsIt) {
  EngineConnectionFixture fixture;
  FakeEngine& engine = fixture.startEngine(1, answerNormally);
  fixture.updateEndpoint({1});
  fixture.submitRequest(kNotIdempotent);
  ASSERT_TRUE(fixture.waitUntilIdle());
  transport::ScheduledCall stallCall(fixture, [&] {
    for (const transport::TimePoint end = fixture.now() + 80ms; fixture.now() < end;) continue;
    fixture.submitRequest(kNotIdempotent);
    EXPECT_TRUE(fixture.isRecovering());
  });
  stallCall.runSoon();
  fixture.runFor(90ms);
  EXPECT_TRUE(fixture.waitUntilIdle(400ms));
  EXPECT_EQ(engine.receivedCommands, "ASK ASK ");
  EXPECT_EQ(engine.connections.size(), 1U);
}

// The engine closes the first connection without a response, so it must answer a probe before it gets another
// attempt. It withholds that answer until the idempotency window has ended.
TEST(EngineConnection, DoesNotWritePendingRetryWhenIdempotencyWindowHasEnded) {
  EngineConnectionFixture fixture;
  Connection* pendingConnection = nullptr;
  std::string requestId;
  FakeEngine& engine = fixture.startEngine(
      1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK")
          return self.receivedCommands == "ASK " ? connection.shutDown()
                                                 : answerNormally(self, connection, command, id);
        pendingConnection = &connection;
        requestId = id;
      });
  fixture.updateEndpoint({2, 1});  // Nothing listens at the other address.
  fixture.submitRequest(kIdempotentByKey);
  const transport::TimePoint deadline = fixture.now() + kIdempotencyWindow;
  ASSERT_TRUE(fixture.runUntil([&] { return pendingConnection != nullptr; }));
  ASSERT_LT(fixture.now(), deadline);  // The retry is queued before the window ends.
  ASSERT_TRUE(fixture.runUntil([&] { return fixture.now() >= deadline; }));
  FakeEngine::sendReply(*pendingConnection, {requestId, "alive", "-", ""});
  EXPECT_TRUE(fixture.waitUntilIdle());
  fixture.drainSockets();
  EXPECT_EQ(engine.receivedCommands, "ASK ");
  ASSERT_EQ(fixture.listener.responseKinds.size(), 1U);
  EXPECT_NE(fixture.listener.responseKinds[0], RequestContext::ResponseKind::succeeded);
}

// ---- Attempts that are partly written ------------------------------------------------------------------

TEST(EngineConnection, NeverCompletesPartialStatementWhenClientGoes) {
  for (const std::string& extraSettings : {std::string(), kAllowCancellation}) {
    EngineConnectionFixture fixture(extraSettings);
    StalledServer engine(fixture, 3);
    fixture.updateEndpoint({3});
    RequestContext& context =
        fixture.submitRequest(kIdempotent, 2s, BufferSlice(std::string(kLargerThanSocketBuffers, 's')));
    ASSERT_TRUE(waitUntilWriteStalls(fixture));
    fixture.router.onClientGone(context);
    fixture.drainSockets();
    engine.startReading();
    EXPECT_TRUE(fixture.runUntil([&] { return engine.finished; }, 3s)) << extraSettings;
    EXPECT_GT(engine.bytesRead, 0U);
    EXPECT_LT(engine.bytesRead, kLargerThanSocketBuffers) << extraSettings;
    EXPECT_EQ(fixture.router.openRequestCount(), 0U);
  }
}

TEST(EngineConnection, DoesNotReroutePartialStatementWhenEngineHasRestarted) {
  for (const bool restarts : {false, true}) {
    EngineConnectionFixture fixture(
        "rules.coldUs=60000000\nrules.startCapacity=0.01\nrules.fallMultiple=1\nrules.fallUs=1000000\n");
    StalledServer firstEngine(fixture, 3);
    FakeEngine& secondEngine = fixture.startEngine(1, answerNormally);
    fixture.updateEndpoint({3, 1});
    fixture.submitRequest(kNotIdempotent, 2s, BufferSlice(std::string(kLargerThanSocketBuffers, 's')));
    ASSERT_TRUE(waitUntilWriteStalls(fixture));
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    if (restarts) fixture.updateEndpoint({3, 1}, EndpointState::ready, started);
    firstEngine.disconnect();
    EXPECT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    EXPECT_EQ(secondEngine.receivedCommands, restarts ? "" : "ASK ")
        << fixture.router.formatCounts() << fixture.logText;
    EXPECT_EQ(fixture.listener.responseKinds,
              std::vector{restarts ? RequestContext::ResponseKind::rejected
                                   : RequestContext::ResponseKind::succeeded});
  }
}

// The retry is partly written when its window ends: the rest must never be sent.
TEST(EngineConnection, NeverCompletesPartialRetryWhenIdempotencyWindowEnds) {
  EngineConnectionFixture fixture("profiles.1.windowUs=1000000\n");
  FakeEngine& firstEngine = fixture.startEngine(
      1, [](FakeEngine& self, Connection& connection, const std::string& command, const std::string&) {
        if (command == "ASK") connection.shutDown();
        if (command == "ASK") self.closeAddress(0);
      });
  StalledServer secondEngine(fixture, 3);
  fixture.updateEndpoint({1}, EndpointState::ready, 0, "one");
  fixture.submitRequest(kIdempotentByKey, 4s, BufferSlice(std::string(kLargerThanSocketBuffers, 's')));
  const transport::TimePoint deadline = fixture.now() + 1s;
  fixture.updateEndpoint({3}, EndpointState::ready, 0, "two");
  ASSERT_TRUE(fixture.runUntil([&] { return secondEngine.hasAccepted(); }));
  ASSERT_TRUE(waitUntilWriteStalls(fixture));
  ASSERT_LT(fixture.now(), deadline);
  ASSERT_TRUE(fixture.runUntil([&] { return fixture.now() >= deadline; }));
  secondEngine.startReading();
  EXPECT_TRUE(fixture.runUntil([&] { return secondEngine.finished; }, 2s));
  EXPECT_LT(secondEngine.bytesRead, kLargerThanSocketBuffers);
  EXPECT_EQ(firstEngine.receivedCommands, "ASK ");
  EXPECT_TRUE(fixture.waitUntilIdle());
  ASSERT_EQ(fixture.listener.responseKinds.size(), 1U);
  EXPECT_NE(fixture.listener.responseKinds[0], RequestContext::ResponseKind::succeeded);
}

// The memory budget of this process is exhausted, so the attempts are not executed and even non-idempotent
// requests may be retried.
TEST(EngineConnection, ReportsAttemptsUnreachableWhenMemoryBudgetRefusesThem) {
  EngineConnectionFixture fixture(kAllowCancellation, 1);  // All attempts wait for the only connection.
  fixture.startEngine(1, answerNormally);
  fixture.updateEndpoint({1});
  for (int index = 0; index < 3; ++index) fixture.submitRequest(kNotIdempotent);
  const std::size_t heldBytes =
      std::exchange(fixture.memoryBudget.usedBytes, 2 * fixture.memoryBudget.maxBytes);
  ASSERT_TRUE(
      fixture.runUntil([&] { return fixture.countOutcomes(AttemptOutcome::unreachable) >= 3; }, 500ms))
      << fixture.router.formatCounts();
  fixture.memoryBudget.usedBytes -= 2 * fixture.memoryBudget.maxBytes - heldBytes;
  EXPECT_TRUE(fixture.waitUntilIdle());
  EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::reset), 0U) << fixture.router.formatCounts();
  const auto& responseKinds = fixture.listener.responseKinds;
  EXPECT_EQ(std::count(responseKinds.begin(), responseKinds.end(), RequestContext::ResponseKind::failed), 0);
}

// ---- Outcomes and responses that race ------------------------------------------------------------------

// The engine has received none of the statement (it closes the idle connection in the loop iteration of the
// attempt), a part of it, or all of it.
TEST(EngineConnection, RetriesNonIdempotentRequestOnlyWhenStatementWasNotFullyWritten) {
  for (const bool closesBeforeSend : {true, false}) {
    EngineConnectionFixture fixture;
    int attemptCount = 0;
    FakeEngine& engine = fixture.startEngine(
        1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
          attemptCount += command == "ASK" ? 1 : 0;
          answerNormally(self, connection, command, id);
        });
    fixture.updateEndpoint({1});
    fixture.submitRequest(kNotIdempotent);
    ASSERT_TRUE(fixture.waitUntilIdle());
    // Two iterations after the disconnect the poll reports it, and this call runs before the connection's
    // coroutine does.
    transport::ScheduledCall secondCallback(fixture, [&] { fixture.submitRequest(kNotIdempotent); });
    transport::ScheduledCall firstCallback(fixture, [&] { secondCallback.runSoon(); });
    transport::ScheduledCall cutCallback(fixture, [&] {
      engine.disconnect();
      closesBeforeSend ? firstCallback.runSoon() : static_cast<void>(fixture.submitRequest(kNotIdempotent));
    });
    cutCallback.runSoon();
    ASSERT_TRUE(fixture.runUntil(
        [&] { return fixture.requestCount == 2 && fixture.router.openRequestCount() == 0; }));
    EXPECT_EQ(attemptCount,
              closesBeforeSend ? 2 : 1);  // Written while the engine closes: it may have been executed.
    EXPECT_EQ(fixture.listener.responseKinds.back(), closesBeforeSend
                                                         ? RequestContext::ResponseKind::succeeded
                                                         : RequestContext::ResponseKind::failed);
  }
  for (const bool isFullyWritten : {false, true}) {
    EngineConnectionFixture fixture;
    StalledServer firstEngine(fixture, 3);
    FakeEngine& secondEngine = fixture.startEngine(1, answerNormally);
    fixture.updateEndpoint({3}, EndpointState::ready, 0, "one");
    fixture.submitRequest(kNotIdempotent, 2s,
                          BufferSlice(std::string(isFullyWritten ? 10 : kLargerThanSocketBuffers, 's')));
    fixture.updateEndpoint({1}, EndpointState::ready, 0, "two");
    ASSERT_TRUE(isFullyWritten ? fixture.runUntil([&] {
      return firstEngine.hasAccepted() && fixture.memoryBudget.usedBytes == 0;
    })
                               : waitUntilWriteStalls(fixture));
    fixture.drainSockets();
    firstEngine.disconnect();
    EXPECT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(secondEngine.receivedCommands, isFullyWritten ? "" : "ASK ") << fixture.router.formatCounts();
    EXPECT_EQ(fixture.listener.responseKinds,
              std::vector{isFullyWritten ? RequestContext::ResponseKind::failed
                                         : RequestContext::ResponseKind::succeeded});
  }
}

// A second response contradicts the first, which has already proven that the attempt was executed.
TEST(EngineConnection, IgnoresRejectionWhenAttemptHasAlreadyResponded) {
  for (const std::string& rejectionCode : {std::string("503"), std::string("504")}) {
    EngineConnectionFixture fixture;
    FakeEngine& engine = fixture.startEngine(
        1, [&](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
          if (command == "ASK") FakeEngine::sendReply(connection, {id, "200", "batches=2", "one\t\t\n"});
          if (command == "ASK") FakeEngine::sendReply(connection, {id, rejectionCode, "-", ""});
          if (command == "NEXT") FakeEngine::sendReply(connection, {id, "chunk", "batch=1", "two\t\t\n"});
        });
    fixture.updateEndpoint({1});
    fixture.submitRequest(kNotIdempotent);
    EXPECT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(engine.receivedCommands, "ASK NEXT 1 ");
    EXPECT_EQ(fixture.listener.receivedRows, "one\t\t\ntwo\t\t\n");
  }
}

// The response is in the receiving kernel, and the loop reads it only after the timeout or after the client
// has gone.
TEST(EngineConnection, EndsAttemptOnceWhenResponseRacesTimeoutOrClientDeparture) {
  for (const bool clientLeaves : {false, true}) {
    EngineConnectionFixture fixture(kAllowCancellation);
    RequestContext* context = nullptr;
    transport::TimePoint deadline{};
    transport::ScheduledCall raceCallback(fixture,
                                          [&] {  // The peer wrote its response earlier in this iteration.
                                            if (clientLeaves) return fixture.router.onClientGone(*context);
                                            while (fixture.now() <= deadline) continue;
                                          });
    FakeEngine& engine = fixture.startEngine(
        1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
          answerNormally(self, connection, command, id);
          if (command == "ASK" && self.receivedCommands == "ASK ") raceCallback.runSoon();
        });
    fixture.updateEndpoint({1});
    context = &fixture.submitRequest(kIdempotent, 300ms);
    deadline = fixture.now() + 300ms;
    EXPECT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    EXPECT_EQ(fixture.listener.responseKinds.size(), clientLeaves ? 0U : 1U);
    EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::completed) +
                  fixture.countOutcomes(AttemptOutcome::timedOut) +
                  fixture.countOutcomes(AttemptOutcome::cancelled),
              1U)
        << fixture.router.formatCounts();
    const std::uint64_t completedBefore = fixture.countOutcomes(AttemptOutcome::completed);
    fixture.submitRequest(kIdempotent);  // The next response on that connection belongs to this request.
    EXPECT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::completed), completedBefore + 1);
    EXPECT_EQ(engine.connections.size(), 1U);
  }
}

// The response to the first attempt arrives after its retry has been written. A request id is used only once
// on a connection, and the outcome of the first attempt has already been reported.
TEST(EngineConnection, IgnoresFirstAttemptsResponseWhenRetryHasBeenWritten) {
  EngineConnectionFixture fixture;
  Connection* firstConnection = nullptr;
  FakeEngine& engine = fixture.startEngine(
      1, [&](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command != "ASK") return;
        if (!firstConnection) {
          firstConnection = &connection;
          return FakeEngine::sendReply(connection, {id, "500", "-", ""});
        }
        FakeEngine::sendReply(*firstConnection, {id, "200", "batches=1", "old\t\t\n"});
        FakeEngine::sendReply(connection, {id, "200", "batches=1", "new\t\t\n"});
      });
  fixture.updateEndpoint({1});
  fixture.submitRequest(kIdempotent);
  EXPECT_TRUE(fixture.waitUntilIdle());
  fixture.drainSockets();
  EXPECT_EQ(fixture.listener.receivedRows, "new\t\t\n");
  EXPECT_EQ(engine.connections.size(), 2U);
  EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::completed), 1U);
}

// All attempts share one connection, which closes: each outcome triggers retries while others are being
// reported.
TEST(EngineConnection, KeepsToRetryBudgetWhenManyAttemptsEndInOneLoopIteration) {
  EngineConnectionFixture fixture(
      kAllowCancellation + "rules.extraFloor=3\nrules.repeatRatio=0\nrules.budgetSpanUs=10000000\n", 1);
  int attemptCount = 0;
  FakeEngine& engine = fixture.startEngine(
      1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
        if (command != "ASK") return;
        if (++attemptCount == 10) connection.shutDown();
        if (attemptCount > 10) answerNormally(self, connection, command, id);
      });
  fixture.updateEndpoint({1});
  for (int index = 0; index < 10; ++index) fixture.submitRequest(kIdempotent);
  EXPECT_TRUE(fixture.waitUntilIdle());
  fixture.drainSockets();
  EXPECT_EQ(fixture.countOutcomes(AttemptOutcome::reset), 10U) << fixture.router.formatCounts();
  EXPECT_EQ(attemptCount, 13);
  EXPECT_EQ(fixture.listener.responseKinds.size(), 10U);
  EXPECT_EQ(engine.receivedCommands.size(), 13U * 4);
}

// This process is suspended in the middle of a response for longer than an engine may pause. The rest of the
// response is already in the receiving kernel.
TEST(EngineConnection, AcceptsResponseWhenItsRestArrivedDuringProcessStall) {
  EngineConnectionFixture fixture("limits.dialTimeoutUs=400000\n");
  Connection* firstConnection = nullptr;
  std::string remainder;
  fixture.startEngine(
      1, [&](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command != "ASK") return;
        firstConnection = &connection;
        remainder = "\r\n$3\r\n200\r\n$9\r\nbatches=1\r\n$6\r\nr\to\tw\n\r\n";
        connection.send({BufferSlice("*4\r\n$16\r\n" + id)});
      });
  fixture.updateEndpoint({1});
  fixture.submitRequest(kNotIdempotent);
  ASSERT_TRUE(fixture.runUntil([&] { return firstConnection != nullptr; }));
  fixture.drainSockets();                                // The first half has arrived.
  transport::ScheduledCall stallCallback(fixture, [&] {  // The peer writes earlier in this iteration.
    for (const transport::TimePoint deadline = fixture.now() + 900ms; fixture.now() < deadline;) continue;
  });
  firstConnection->send({BufferSlice(remainder)});
  stallCallback.runSoon();
  EXPECT_TRUE(fixture.waitUntilIdle());
  EXPECT_EQ(fixture.listener.responseKinds, std::vector{RequestContext::ResponseKind::succeeded})
      << fixture.router.formatCounts();
}

// A partial message on an idle connection belongs to no attempt, and an attempt sent there would be lost with
// the connection. So the next attempt uses another connection, and closing the first one affects nothing
// else.
TEST(EngineConnection, CompletesNonIdempotentRequestWhenIdleConnectionHoldsPartialLine) {
  for (const bool drainsBetween : {false, true}) {
    EngineConnectionFixture fixture;
    int attemptCount = 0;
    FakeEngine& engine = fixture.startEngine(
        1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
          attemptCount += command == "ASK" ? 1 : 0;
          answerNormally(self, connection, command, id);
          if (attemptCount == 1) connection.send({BufferSlice("*4\r\n$16\r\n" + id)});
        });
    fixture.updateEndpoint({1});
    fixture.submitRequest(kNotIdempotent);
    ASSERT_TRUE(fixture.waitUntilIdle());
    fixture.drainSockets();
    if (drainsBetween) fixture.updateEndpoint({1}, EndpointState::draining);
    if (drainsBetween) fixture.updateEndpoint({1});
    fixture.submitRequest(kNotIdempotent);
    EXPECT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(fixture.listener.responseKinds, (std::vector{RequestContext::ResponseKind::succeeded,
                                                           RequestContext::ResponseKind::succeeded}));
    EXPECT_EQ(attemptCount, 2);
    EXPECT_EQ(engine.connections.size(), 2U);
  }
}

// ---- Rerouted attempts ---------------------------------------------------------------------------------

// The attempt is rerouted to a connect that gets no reply, and is interrupted there in each possible way.
TEST(EngineConnection, EndsReroutedAttemptOnceWhenInterruptedBeforeReconnecting) {
  for (const std::string interruption : {"left", "time", "gone", "process"}) {
    EngineConnectionFixture fixture("limits.dialTimeoutUs=1200000\n" +
                                    (interruption == "left" ? kAllowCancellation : ""));
    StalledServer firstEngine(fixture, 3);
    const fakes::UnresponsiveListener silentListener(Address(EngineConnectionFixture::engineAddress(4)));
    fixture.updateEndpoint({3, 4});
    RequestContext& context =
        fixture.submitRequest(kNotIdempotent, 900ms, BufferSlice(std::string(kLargerThanSocketBuffers, 's')));
    ASSERT_TRUE(waitUntilWriteStalls(fixture));
    firstEngine.disconnect();
    ASSERT_TRUE(fixture.runUntil(
        [&] { return fixture.router.formatCounts().ends_with("1 attempts rerouted"); }, 500ms))
        << interruption;
    if (interruption == "left") fixture.router.onClientGone(context);
    if (interruption == "gone") fixture.updateEndpoint({3, 4}, EndpointState::removed);
    if (interruption == "process") fixture.router.finishAllRequests();
    const bool endsLater = interruption == "time" || interruption == "gone";
    EXPECT_TRUE(fixture.waitUntilIdle(endsLater ? 5000ms : 100ms))
        << interruption << fixture.router.formatCounts();
    EXPECT_EQ(fixture.listener.responseKinds.size(), interruption == "left" ? 0U : 1U) << interruption;
    std::uint64_t outcomeCount = 0;
    for (const std::uint64_t attemptOutcome : fixture.router.totals().attemptOutcomes)
      outcomeCount += attemptOutcome;
    EXPECT_EQ(outcomeCount, 1U) << interruption << fixture.router.formatCounts();
    // The connection closes when its connect ends, and then the engine is forgotten.
    fixture.updateEndpoint({3, 4}, EndpointState::removed);
    EXPECT_TRUE(fixture.runUntil(
        [&] { return fixture.router.formatCounts().find("; 0 engines") != std::string::npos; }, 5s))
        << interruption << fixture.router.formatCounts();
  }
}

// ---- Responses that never complete ---------------------------------------------------------------------

TEST(EngineConnection, ClosesWhenResponseNeverCompletes) {
  for (const bool sendsSlowly : {true, false}) {
    EngineConnectionFixture fixture("limits.dialTimeoutUs=50000\n");
    Connection* firstConnection = nullptr;
    transport::ScheduledCall sendTimer(fixture);
    sendTimer.setAction([&] {
      firstConnection->send(
          {BufferSlice(sendsSlowly ? std::string("x") : std::string(5990, 'x') + "\r\n$5990\r\n")});
      sendTimer.runAt(fixture.now() + 2ms);
    });
    fixture.startEngine(1, [&](FakeEngine& self, Connection& connection, const std::string& command,
                               const std::string& id) {
      if (command != "ASK") return;
      if (firstConnection) return answerNormally(self, connection, command, id);
      firstConnection = &connection;
      connection.send({BufferSlice("*8\r\n$16\r\n" + id + "\r\n$3\r\n200\r\n$9\r\nbatches=1\r\n$5990\r\n")});
      sendTimer.runAt(fixture.now());
    });
    fixture.updateEndpoint({1});
    fixture.submitRequest(kIdempotent);
    EXPECT_TRUE(fixture.runUntil(
        [&] {
          return fixture.countOutcomes(AttemptOutcome::connectionAborted) +
                     fixture.countOutcomes(AttemptOutcome::reset) ==
                 1;
        },
        1s))
        << fixture.router.formatCounts();
    sendTimer.cancel();
    EXPECT_TRUE(fixture.waitUntilIdle());
    EXPECT_EQ(fixture.listener.receivedRows, "r\to\tw\n");
  }
}

}  // namespace
}  // namespace paddletrack::routing
