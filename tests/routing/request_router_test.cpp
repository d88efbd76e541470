// The controller with scripted clients, engines and endpoint lists, both valid and misbehaving.
#include "support/raw_client.hpp"
#include "support/router_fixture.hpp"

namespace paddletrack::routing {
namespace {

TEST(RequestRouter, AnswersHeartbeatPositivelyOnlyWhenEngineIsKnownAndGateIsOpen) {
  RouterFixture fixture;
  const std::string firstAnswer =
      fixture.exchangeBytes(encodeMessage(1, "heartbeat", 0, encodeInteger(0, 1)));
  EXPECT_EQ(firstAnswer[firstAnswer.size() - 3], 0);  // no engine is known yet
  fixture.updateEndpoints({1});
  const std::string openAnswer = fixture.exchangeBytes(encodeMessage(1, "heartbeat", 1, encodeInteger(0, 1)));
  struct : ServiceGate {
    bool onHeartbeat() override { return false; }
    std::optional<Duration> checkRejection() override { return 700ms; }
  } closedGate;
  fixture.clientListener.setServiceGate(&closedGate);
  const std::string closedAnswer =
      fixture.exchangeBytes(encodeMessage(1, "heartbeat", 2, encodeInteger(0, 1)));
  ASSERT_EQ(openAnswer.size(), closedAnswer.size());
  EXPECT_EQ(openAnswer[openAnswer.size() - 3], 1);
  EXPECT_EQ(closedAnswer[closedAnswer.size() - 3], 0);
  const std::string rejection =
      fixture.exchangeBytes(encodeSubmit(3));  // rejected at once, before the router sees it
  EXPECT_TRUE(fixture.contains(rejection, "cooldown") && fixture.contains(rejection, "700"));
  EXPECT_EQ(fixture.router.totals().requests, 0U);
}

TEST(RequestRouter, SendsPagesInOrderWhenTheyArriveOutOfOrder) {
  RouterFixture fixture;
  FakeEngine& engine = fixture.addEngine(
      1, [](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK") FakeEngine::sendReply(connection, {id, "200", "batches=3", "one\t\t\n"});
        if (command != "NEXT") return;
        static int requestedPages = 0;
        if (++requestedPages < 2) return;
        FakeEngine::sendReply(connection, {id, "chunk", "batch=2", "three\t\t\n"});
        FakeEngine::sendReply(connection, {id, "chunk", "batch=2", "again\t\t\n"});
        FakeEngine::sendReply(connection, {id, "chunk", "batch=1", "two\t\t\n"});
      });
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "one\t\t\ntwo\t\t\nthree\t\t\n"));
  EXPECT_EQ(engine.receivedCommands, "ASK NEXT 1 NEXT 2 ");
}

// If the engine has lost a page, the attempt fails and an idempotent request is retried.
TEST(RequestRouter, RetriesRequestWhenPageIsLost) {
  RouterFixture fixture;
  int attemptCount = 0;
  FakeEngine& engine = fixture.addEngine(
      1, [&](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK" && ++attemptCount == 1)
          return FakeEngine::sendReply(connection, {id, "200", "batches=2", "old\t\t\n"});
        if (command == "ASK") return FakeEngine::sendReply(connection, {id, "200", "batches=1", "new\t\t\n"});
        FakeEngine::sendReply(connection, {id, "500", "-", ""});
      });
  fixture.updateEndpoints({1});
  const std::string answer = fixture.exchangeBytes(encodeSubmit(1), 150ms);
  EXPECT_TRUE(fixture.contains(answer, "new\t\t\n"));
  EXPECT_FALSE(fixture.contains(answer, "old\t\t\n"));
  EXPECT_EQ(engine.connections.size(), 2U);  // an id is sent only once over a connection
}

TEST(RequestRouter, RetriesRequestWhenConnectIsRefusedOrConnectionIsReset) {
  RouterFixture fixture;
  int attemptCount = 0;
  fixture.addEngine(
      2, [&](FakeEngine& engine, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK" && ++attemptCount == 1) return connection.shutDown();
        respondDone(engine, connection, command, id);
      });
  fixture.updateEndpoints({1, 2});  // nothing listens at the first
  for (int index = 1; index <= 4; ++index)
    EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(index), 150ms), "r\to\tw\n")) << index;
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "unreachable"));
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 reset"));
}

TEST(RequestRouter, UsesAnotherEngineWhenEngineIsFull) {
  RouterFixture fixture;
  fixture.addEngine(
      1, [](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK") FakeEngine::sendReply(connection, {id, "503", "-", ""});
      });
  fixture.addEngine(2, respondDone);
  fixture.updateEndpoints({1, 2});
  for (int index = 1; index <= 4; ++index)
    EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(index)), "r\to\tw\n"));
}

TEST(RequestRouter, CancelsAttemptAndRejectsRequestWhenDeadlinePasses) {
  RouterFixture fixture;
  FakeEngine& engine = fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  EXPECT_FALSE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1, 150), 120ms), "cooldown"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes("", 60ms), "cooldown"));
  EXPECT_EQ(engine.receivedCommands, "ASK QUIT ");
  EXPECT_EQ(fixture.router.openRequestCount(), 0U);
}

// Regression: on a busy core requests are read and responses written some tens of milliseconds late, so a few
// clients in ten thousand got their final response after the deadline.
TEST(RequestRouter, RejectsRequestBeforeClientTimeoutWhenAnswerSlackIsSet) {
  RouterFixture fixture(kBaseSettings + "rules.answerSlackUs=20000\n");
  fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  EXPECT_FALSE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1, 320), 280ms), "cooldown"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes("", 36ms), "cooldown"));
}

TEST(RequestRouter, CancelsAttemptWithoutAnswerWhenClientRevokesOrLeaves) {
  RouterFixture fixture;
  FakeEngine& engine = fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  fixture.exchangeBytes(encodeSubmit(1));
  EXPECT_EQ(fixture.exchangeBytes(encodeRevoke(1)), "");
  EXPECT_EQ(engine.receivedCommands, "ASK QUIT ");
  EXPECT_EQ(fixture.exchangeBytes(encodeRevoke(1) + encodeRevoke(7)), "");
  fixture.exchangeBytes(encodeSubmit(2));
  fixture.client->shutDown();
  fixture.runFor(5ms);
  fixture.client.reset();
  fixture.runFor(20ms);
  EXPECT_EQ(engine.receivedCommands, "ASK QUIT ASK QUIT ");
  EXPECT_EQ(fixture.router.openRequestCount(), 0U);
}

// Without the key, engines could not distinguish a second attempt from a different request.
TEST(RequestRouter, ForwardsIdempotencyKeyWithEachAttemptAndRejectsInvalidKeys) {
  RouterFixture fixture;
  std::string received;
  FakeEngine& engine = fixture.addEngine(
      1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
        received += connection.input().view();
        if (self.receivedCommands == "ASK ") return connection.shutDown();
        respondDone(self, connection, command, id);
      });
  fixture.updateEndpoints({1});
  const auto submitWithKey = [](int sequence, const std::string& key) {
    return protocol::thrift::encodeSubmit(
        sequence, {{"service", "q"}, {"ref", "00000000000000a1"}, {"allow", "2000"}, {"replay", key}},
        "select 1");
  };
  EXPECT_TRUE(
      fixture.contains(fixture.exchangeBytes(submitWithKey(1, "a76a927daf55dc95"), 200ms), "r\to\tw"));
  EXPECT_EQ(engine.receivedCommands, "ASK ASK ");
  const std::size_t firstPosition = received.find(",once=a76a927daf55dc95\r\n");
  ASSERT_NE(firstPosition, std::string::npos);
  EXPECT_NE(received.find(",once=a76a927daf55dc95\r\n", firstPosition + 1), std::string::npos);
  for (const std::string& invalidInput :
       {std::string("a,class=r"), std::string("a=b"), std::string("a\r\n"), std::string(300, 'a')})
    EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(submitWithKey(2, invalidInput)),
                                 "replay: it can't be passed on"))
        << invalidInput;
  EXPECT_EQ(engine.receivedCommands, "ASK ASK ");
}

TEST(ClientListener, AnswersWithExceptionWhenFrameIsReadableButRequestIsInvalid) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeMessage(1, "drop", 1, encodeInteger(0, 1))),
                               "unknown method"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(2, 2000, "unknown")),
                               "service: 'unknown' is unknown"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(3, -5)), "allow: '-5' can't be used"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(4, 2000, "q", "short")), "16 hex digits"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeMessage(1, "submit", 5, encodeInteger(9, 1))),
                               "the frame ends early"));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(6)), "r\to\tw\n"));
}

TEST(ClientListener, ClosesOnlyTheConnectionWhenItsFramesAreInvalid) {
  for (const std::string& invalidInput :
       {encodeString("GET / HTTP/1.1"), encodeInteger(0x7fffffff, 4), encodeSubmit(1) + encodeSubmit(1),
        encodeMessage(2, "submit", 1, ""), encodeMessage(4, "revoke", 1, encodeInteger(0, 1))}) {
    RouterFixture fixture;
    fixture.addEngine(1, ignoreCommand);
    fixture.updateEndpoints({1});
    EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(invalidInput), "<closed>"));
    fixture.client.reset();
    EXPECT_FALSE(fixture.exchangeBytes(encodeMessage(1, "heartbeat", 1, encodeInteger(0, 1))).empty());
    EXPECT_EQ(fixture.router.openRequestCount(), 0U);
  }
}

// Regression: silent connections were never closed, and single bytes prolonged an incomplete message.
TEST(ClientListener, ClosesConnectionWhenMessageStaysIncompleteOrIdleTimeoutPasses) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  EXPECT_EQ(fixture.exchangeBytes("", 60ms), "");
  EXPECT_EQ(fixture.exchangeBytes("", 80ms), "<closed>");
  fixture.client.reset();
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "r\to\tw\n"));
  std::string received;
  for (const char character : encodeString("0123"))
    received += fixture.exchangeBytes(std::string(1, character), 30ms);
  EXPECT_EQ(received, "<closed>");
  fixture.client.reset();
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(2)), "r\to\tw\n"));
  EXPECT_EQ(fixture.exchangeBytes("", 500ms), "");  // kept open for as long as clients keep their connections
  EXPECT_EQ(fixture.exchangeBytes("", 300ms), "<closed>");
  EXPECT_TRUE(fixture.contains(fixture.clientListener.formatCounts(), "incomplete 2, idle 1"));
}

TEST(ClientListener, EvictsSilentConnectionsFirstWhenFull) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "r\to\tw\n"));
  std::vector<std::unique_ptr<Connection>> silentConnections;
  for (int index = 0; index < 12; ++index) silentConnections.push_back(fixture.connectClient());
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(2)),
                               "r\to\tw\n"));  // it connected first, but has sent a request
  EXPECT_TRUE(fixture.contains(fixture.clientListener.formatCounts(), "evicted 4"));
}

// Regression: connections that had sent one request and stayed open used up the limit, and each new one was
// evicted as the least active before it could send a request.
TEST(ClientListener, ServesNewConnectionWhenFullOfIdleOnes) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  for (int index = 1; index <= 14; ++index) {
    EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(index), 30ms), "r\to\tw\n")) << index;
    fixture.earlierClients.push_back(std::move(fixture.client));
  }
}

// Engines reject a second statement with the same id, no matter on which connection it arrives.
TEST(ClientListener, RejectsRequestWhenReferenceIsInUse) {
  RouterFixture fixture;
  FakeEngine& engine = fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  fixture.exchangeBytes(encodeSubmit(1), 20ms);
  fixture.earlierClients.push_back(std::move(fixture.client));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(11), 20ms), "in use"));
  EXPECT_EQ(engine.receivedCommands, "ASK ");
  std::string submits;
  for (int index = 1; index <= 9; ++index) submits += encodeSubmit(index * 10 + 1);
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(submits, 20ms),
                               "<closed>"));  // too many invalid requests in a row
}

TEST(EngineConnectionPool, ClosesConnectionAndRetriesWhenResponseIsUnreadable) {
  RouterFixture fixture;
  int attemptCount = 0;
  fixture.addEngine(
      1, [&](FakeEngine& engine, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK" && ++attemptCount == 1)
          return connection.send({BufferSlice(std::string("HTTP/1.1 200 OK\r\n\r\n"))});
        respondDone(engine, connection, command, id);
      });
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1), 150ms), "r\to\tw\n"));
  EXPECT_TRUE(fixture.contains(fixture.logText, "engine connection closed"));
}

// Regression: a progress message, which the protocol does not specify, closed its connection.
TEST(EngineConnectionPool, IgnoresMessagesOfUnknownType) {
  RouterFixture fixture;
  fixture.addEngine(
      1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
        FakeEngine::sendReply(connection, {id, "status", "odd", ""});
        respondDone(self, connection, command, id);
      });
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "r\to\tw\n"));
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 done; "));
}

// After an invalid or incomplete response its connection is no longer usable. The engine itself is not
// considered faulty, and attempts on its other connections continue.
TEST(EngineConnectionPool, RetriesAttemptWhenResponseIsMalformed) {
  using ReplyFields = std::vector<std::string>;
  for (const ReplyFields& malformedReply :
       {ReplyFields{"200", "batches=many", ""}, ReplyFields{"2\x01\x7f", "-", ""},
        ReplyFields{"200", "batches=0", ""}, ReplyFields{"200", "-", "a\tb\n"},
        ReplyFields{"200", "-", "a\tb\tc"}, ReplyFields{"200", "batches=65", "\t\t\n"},
        ReplyFields{"200", "-", std::string(6001, 'x')}, ReplyFields{"chunk", "-", ""}, ReplyFields{}}) {
    RouterFixture fixture;
    int attemptCount = 0;
    fixture.addEngine(
        1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
          if (command != "ASK") return;
          if (++attemptCount == 1) return;  // still runs while the next response is invalid
          if (attemptCount > 2) return respondDone(self, connection, command, id);
          if (malformedReply.empty())
            return connection.send({BufferSlice("*4\r\n$16\r\n" + id)});  // and no more bytes
          FakeEngine::sendReply(connection, {id, malformedReply[0], malformedReply[1], malformedReply[2]});
        });
    fixture.updateEndpoints({1});
    EXPECT_TRUE(
        fixture.contains(fixture.exchangeBytes(encodeSubmit(1) + encodeSubmit(2), 120ms), "r\to\tw\n"));
    EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 open")) << fixture.router.formatCounts();
    EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 done 1 spoilt"))
        << fixture.router.formatCounts();
    EXPECT_FALSE(fixture.contains(fixture.logText, "doubted"));
  }
}

// Input after a complete response is harmless: the first complete response counts.
TEST(EngineConnectionPool, IgnoresDuplicateAndUnrequestedResponses) {
  RouterFixture fixture;
  fixture.addEngine(
      1, [](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK") {
          FakeEngine::sendReply(connection, {"00000000deadbeef", "200", "batches=1", "x\tx\tx\n"});
          FakeEngine::sendReply(connection, {id, "200", "batches=2", "one\t\t\n"});
          FakeEngine::sendReply(connection, {id, "200", "batches=2", "one\t\t\n"});
        } else if (command == "NEXT") {
          FakeEngine::sendReply(connection, {id, "chunk", "batch=1", "two\t\t\n"});
          FakeEngine::sendReply(connection, {id, "chunk", "batch=1", "two\t\t\n"});
        }
      });
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "one\t\t\ntwo\t\t\n"));
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 done; ")) << fixture.router.formatCounts();
}

// A second response may arrive long after its request has finished, when the connection serves another
// request.
TEST(EngineConnectionPool, KeepsOtherRequestsIntactWhenDuplicateResponseIsLate) {
  RouterFixture fixture;
  std::string previousId;
  FakeEngine& engine = fixture.addEngine(
      1, [&](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command != "ASK") return;
        if (!previousId.empty()) {
          FakeEngine::sendReply(connection, {previousId, "200", "batches=2", "late\t\t\n"});
          FakeEngine::sendReply(connection, {previousId, "chunk", "batch=1", "later\t\t\n"});
          FakeEngine::sendReply(connection, {previousId, "500", "-", ""});
        }
        FakeEngine::sendReply(connection, {id, "200", "batches=1", id + "\t\t\n"});
        previousId = id;
      });
  fixture.updateEndpoints({1});
  for (int index = 1; index <= 3; ++index) {
    const std::string answer = fixture.exchangeBytes(encodeSubmit(index), 40ms);
    EXPECT_TRUE(fixture.contains(answer, "00000000000000a" + std::to_string(index) + "\t\t\n"));
    EXPECT_FALSE(fixture.contains(answer, "late"));
    EXPECT_EQ(fixture.exchangeBytes("", 20ms), "");  // no second response is written
  }
  EXPECT_EQ(engine.connections.size(), 1U);
  EXPECT_EQ(engine.receivedCommands, "ASK ASK ASK ");
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "3 done; ")) << fixture.router.formatCounts();
}

// Regression: the router and the admission controller never removed engines, so engines that kept appearing
// with new ids accumulated.
TEST(EngineRegistry, ForgetsRemovedEngineWhenNoAttemptIsInFlight) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.addEngine(2, ignoreCommand);
  fixture.updateEndpoints({1, 2});
  std::string submits;
  for (int index = 1; index <= 6; ++index) submits += encodeSubmit(index, 600);
  fixture.exchangeBytes(submits);
  EXPECT_GT(fixture.router.openRequestCount(), 0U);  // on the silent engine
  fixture.updateEndpoints({1}, false, EndpointState::removed);
  fixture.updateEndpoints({2}, false, EndpointState::removed);
  fixture.runFor(100ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 engines known of 2"));
  fixture.runFor(600ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "0 engines known of 2"));
  fixture.updateEndpoints({1});  // it is added again as a new engine
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(7)), "r\to\tw\n"));
  fixture.updateEndpoints({2});  // a snapshot without it
  fixture.runFor(100ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 engines known of 4"));
}

protocol::EndpointEvent makeUpdate(const std::string& id, const std::string& address, EndpointState state) {
  protocol::EndpointEvent update;
  update.entries.push_back({id, address, "a", "m", 0, state, 0});
  return update;
}

// Regression: an engine was still sent requests after another one was listed at its address, so they went to
// the new process as if it were the old one, until the old one's removal was told.
TEST(EngineRegistry, RemovesEngineWhenAnotherIsListedAtItsAddress) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "r\to\tw\n"));
  FakeEngine& engine = *fixture.engines.front();
  const std::size_t oldConnections = engine.connections.size();
  fixture.router.onEndpointUpdate(makeUpdate("s-new", fixture.engineAddress(1), EndpointState::ready));
  std::vector<std::string> availableEngines;
  fixture.router.forEachEndpoint([&](const EngineEndpoint& endpoint) {
    if (endpoint.available) availableEngines.push_back(endpoint.id);
  });
  EXPECT_EQ(availableEngines, std::vector<std::string>{"s-new"});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(2)), "r\to\tw\n"));
  EXPECT_EQ(engine.connections.size(), oldConnections + 1);  // Not on a connection of the old engine.
  fixture.router.onEndpointUpdate(makeUpdate("s-1", fixture.engineAddress(1), EndpointState::removed));
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(3)), "r\to\tw\n"));
}

// Regression: an engine that had been removed and came back under its id, while one of its attempts was still
// open, kept the statistics of its previous process.
TEST(EngineRegistry, ForgetsProcessStateWhenRemovedEngineReturns) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "r\to\tw\n"));
  fixture.engines.front()->onCommand = ignoreCommand;
  fixture.exchangeBytes(encodeSubmit(2), 10ms);
  ASSERT_EQ(fixture.router.openRequestCount(), 1U);
  const auto cachedDataSetCount = [&] {
    std::size_t count = 0;
    fixture.router.forEachEndpoint([&](const EngineEndpoint& endpoint) {
      if (endpoint.id == "s-1") count = endpoint.cachedDataSets.size();
    });
    return count;
  };
  ASSERT_EQ(cachedDataSetCount(), 1U);
  fixture.updateEndpoints({1}, false, EndpointState::removed);
  fixture.updateEndpoints({1}, false);
  EXPECT_EQ(cachedDataSetCount(), 0U);
}

// Regression: a request that is not idempotent was executed a second time when its id came again after its
// client had left.
TEST(RequestRouter, RejectsIdOfNonIdempotentRequestWhenItComesAgainAfterClientLeft) {
  RouterFixture fixture(kBaseSettings + "profiles.0.idempotency=fragile\n");
  FakeEngine& engine = fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  RawClient client(fixture);
  client.send(encodeSubmit(1));
  fixture.runFor(20ms);
  ASSERT_EQ(engine.receivedCommands, "ASK ");
  client.close();
  fixture.runFor(20ms);
  ASSERT_EQ(fixture.router.openRequestCount(), 0U);
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)), "ref: it was used"));
  EXPECT_EQ(engine.receivedCommands, "ASK QUIT ");
}

// An engine on a machine that failed and recovered does not respond on its old connections; a slow one does
// not respond on any.
TEST(EngineConnectionPool, ClosesSilentConnectionOnlyWhenEngineAnswersOnAnother) {
  RouterFixture fixture;
  bool answersOnNewConnections = false;
  FakeEngine& engine = fixture.addEngine(
      1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
        if (!answersOnNewConnections || &connection == self.connections.front()) return;
        if (command == "NOOP") FakeEngine::sendReply(connection, {id, "alive", "-", ""});
        respondDone(self, connection, command, id);
      });
  fixture.updateEndpoints({1});
  fixture.exchangeBytes(encodeSubmit(1), 250ms);
  EXPECT_GT(engine.noopCount, 0);
  EXPECT_FALSE(fixture.contains(fixture.router.formatCounts(), "reset"));
  answersOnNewConnections = true;
  fixture.exchangeBytes(encodeSubmit(2), 600ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 faulted"));
}

// Regression: the kernel accepts bytes that a stopped process does not read. Thousands of statements were
// queued there and were read after their requests had been finished in another way.
TEST(EngineConnectionPool, WritesNothingMoreWhenEngineAnswersNowhere) {
  RouterFixture fixture;
  FakeEngine& engine = fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  fixture.exchangeBytes(encodeSubmit(1), 100ms);
  fixture.exchangeBytes(encodeSubmit(2) + encodeSubmit(3) + encodeSubmit(4), 100ms);
  EXPECT_EQ(engine.receivedCommands, "ASK ");
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "unreachable"));
}

TEST(EngineConnectionPool, ClosesConnectionsWhenIdleOrEngineIsRemoved) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  for (int index = 1; index <= 9; ++index) fixture.exchangeBytes(encodeSubmit(index), 10ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "1 connections, 1 dialled"));
  fixture.runFor(400ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "0 connections"));
  fixture.exchangeBytes(encodeSubmit(1), 10ms);
  fixture.updateEndpoints({1}, false, EndpointState::removed);
  fixture.runFor(10ms);
  EXPECT_TRUE(fixture.contains(fixture.router.formatCounts(), "0 connections"));
}

TEST(EngineConnectionPool, KeepsLoopRunningWhenDescriptorsAreExhausted) {
  RouterFixture fixture(kBaseSettings + "limits.streamsPerConn=1\n");
  fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  std::string submits;
  for (int index = 1; index <= 30; ++index)
    submits += encodeSubmit(index, 300, "q", "0000000000000" + std::to_string(index / 10) + "b");
  fixture.exchangeBytes(submits, 30ms);
  EXPECT_EQ(fixture.exchangeBytes(encodeMessage(1, "heartbeat", 90, encodeInteger(0, 1)), 40ms).empty(),
            false);
  fixture.runFor(500ms);
  EXPECT_EQ(fixture.router.openRequestCount(), 0U);
}

TEST(RequestRouter, RejectsOpenRequestsWhenShutdownDeadlinePasses) {
  RouterFixture fixture;
  fixture.addEngine(1, ignoreCommand);
  fixture.updateEndpoints({1});
  fixture.exchangeBytes(encodeSubmit(1, 2000));
  fixture.router.setFinalDeadline(fixture.router.now() + 50ms);
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(2, 2000), 100ms), "cooldown"));
  EXPECT_EQ(fixture.router.openRequestCount(), 0U);
}

TEST(EndpointWatcher, ResumesAfterFaultAndReadsSnapshotWhenFaultRecurs) {
  RouterFixture fixture;
  const std::string entryPrefix =
      R"("id":"s-1","addr":"127.0.77.1:18443","zone":"a","kind":"m","cell":0,"started_ms":0,"state":)";
  const auto event = [&](int seq, const char* state) {
    return "{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"version\":1,\"full\":false,\"servers\":[{" +
           entryPrefix + "\"" + state + "\"}]}}\n";
  };
  std::vector<std::string> requestLines;
  transport::Listener listener(fixture, Address("127.0.77.100:18443"));
  const auto serveList = [&]() -> Task<> {
    for (const std::string& lines : {event(4, "active") + event(4, "left") + "4\n", event(6, "active"),
                                     event(5, "active") + "nonsense\n", std::string("5\n")}) {
      auto accepted = co_await listener.accept();
      Connection connection(fixture, std::move(accepted), 4096, 65536, fixture.memoryBudget);
      const bool hasRequest = co_await connection.receive();
      if (hasRequest) requestLines.emplace_back(connection.input().view());
      connection.send({BufferSlice(lines)});
      co_await fixture.sleepUntil(fixture.now() + 20ms);
    }
  };
  fixture.group.spawn(serveList());
  EndpointWatcher watcher(fixture, fixture.memoryBudget, Address("127.0.77.100:18443"), 3, 7, fixture.router,
                          fixture.logger);
  fixture.addEngine(1, respondDone);
  fixture.runFor(100ms);
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)),
                               "r\to\tw\n"));  // the repeated event 4 did not remove the engine
  fixture.runFor(800ms);
  EXPECT_EQ(requestLines, (std::vector<std::string>{"since 3\n", "since 4\n", "since 4\n", "since 0\n"}));
  EXPECT_TRUE(fixture.contains(fixture.logText, "expected event 5, found event 6"));
  EXPECT_TRUE(fixture.contains(fixture.logText, "nonsense"));
}

// Regression: an endpoint list connection that sent bytes but no complete line counted as alive.
TEST(EndpointWatcher, ReconnectsWhenListSendsBytesButNoLine) {
  RouterFixture fixture;
  int connectCount = 0;
  transport::Listener listener(fixture, Address("127.0.77.100:18443"));
  const auto serveList = [&]() -> Task<> {
    for (;;) {
      auto accepted = co_await listener.accept();
      Connection connection(fixture, std::move(accepted), 4096, 65536, fixture.memoryBudget);
      ++connectCount;
      for (int index = 0; index < 10; ++index) {
        connection.send({BufferSlice(std::string("{"))});
        co_await fixture.sleepUntil(fixture.now() + 200ms);
      }
    }
  };
  fixture.group.spawn(serveList());
  EndpointWatcher watcher(fixture, fixture.memoryBudget, Address("127.0.77.100:18443"), 3, 7, fixture.router,
                          fixture.logger);
  fixture.runFor(3s);
  EXPECT_EQ(connectCount, 2);
}

// Regression: an operator's file with the address of an unreachable list ended the watch of the current list.
TEST(EndpointWatcher, KeepsCurrentListWhenNewListIsUnreachable) {
  RouterFixture fixture;
  fixture.addEngine(1, respondDone);
  const auto event = [](int seq, const char* state) {
    return "{\"seq\":" + std::to_string(seq) +
           R"(,"fleet":{"version":1,"full":false,"servers":[{"id":"s-1","addr":"127.0.77.1:18443","zone":"a",)"
           R"("kind":"m","cell":0,"started_ms":0,"state":")" +
           state + "\"}]}}\n";
  };
  bool firstClosed = false;
  std::string secondRequestLine;
  transport::Listener firstListener(fixture, Address("127.0.77.100:18443"));
  std::optional<transport::Listener> secondListener;
  const auto serveFirstList = [&]() -> Task<> {
    auto accepted = co_await firstListener.accept();
    Connection connection(fixture, std::move(accepted), 4096, 65536, fixture.memoryBudget);
    connection.send({BufferSlice(std::string("3\n"))});
    co_await fixture.sleepUntil(fixture.now() + 150ms);
    connection.send({BufferSlice(event(4, "active"))});
    while (co_await connection.receive()) connection.input().consume(connection.input().view().size());
    firstClosed = true;
  };
  const auto serveSecondList = [&]() -> Task<> {
    auto accepted = co_await secondListener->accept();
    Connection connection(fixture, std::move(accepted), 4096, 65536, fixture.memoryBudget);
    const bool hasRequest = co_await connection.receive();
    if (hasRequest) secondRequestLine = connection.input().view();
    connection.send({BufferSlice(event(5, "left"))});
    co_await fixture.sleepUntil(fixture.now() + 5s);
  };
  fixture.group.spawn(serveFirstList());
  EndpointWatcher watcher(fixture, fixture.memoryBudget, Address("127.0.77.100:18443"), 3, 7, fixture.router,
                          fixture.logger);
  fixture.runFor(50ms);
  EXPECT_TRUE(watcher.switchTo(Address("127.0.77.101:18443")));  // nothing listens there
  fixture.runFor(200ms);
  EXPECT_TRUE(fixture.contains(fixture.exchangeBytes(encodeSubmit(1)),
                               "r\to\tw\n"));  // event 4 came after the switch
  EXPECT_FALSE(firstClosed);
  secondListener.emplace(fixture, Address("127.0.77.101:18443"));
  fixture.group.spawn(serveSecondList());
  fixture.runFor(1s);
  EXPECT_EQ(secondRequestLine, "since 4\n");
  EXPECT_TRUE(firstClosed);
  EXPECT_FALSE(fixture.contains(fixture.exchangeBytes(encodeSubmit(2, 100), 200ms),
                                "r\to\tw\n"));  // event 5 was applied
}

}  // namespace
}  // namespace paddletrack::routing
