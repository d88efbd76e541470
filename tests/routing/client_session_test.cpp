// Clients that disconnect, and connections that are closed, in races with other events.
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <list>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "admin/service_lifecycle.hpp"
#include "support/raw_client.hpp"
#include "support/router_fixture.hpp"

namespace paddletrack::routing {
namespace {

constexpr int kSubnet = 181;
constexpr auto kMaxStartAfterDeparture = 100ms;  // after its client is gone

struct ClientDepartureFixture : RouterFixture {
  explicit ClientDepartureFixture(std::size_t connectionLimit = 10, const std::string& extraSettings = "")
      : RouterFixture(kBaseSettings + extraSettings, kSubnet, connectionLimit) {}
  // Sends messages without reading the responses until at least `minUnsentBytes` are unsent in the
  // controller.
  bool backUpOutput(const RawClient& rawClient, std::size_t minUnsentBytes = 65537) {
    const std::string message =
        encodeMessage(1, std::string(4000, 'x'), 9, encodeInteger(0, 1));  // the exception repeats it
    return runUntil([&] {
      if (clientListener.unsentBytes() >= minUnsentBytes) return true;
      for (int index = clientListener.unsentBytes() > 0 ? 1 : 8; index > 0; --index) rawClient.send(message);
      return false;
    });
  }
  // Adds an engine that has an established connection and does not respond from now on.
  FakeEngine& addConnectedEngine() {
    FakeEngine& engine = addEngine(1, respondDone);
    updateEndpoints({1});
    EXPECT_TRUE(contains(exchangeBytes(encodeSubmit(9)), "r\to\tw\n"));
    engine.onCommand = ignoreCommand;
    engine.receivedCommands.clear();
    return engine;
  }
};

// Regression: the controller did not read from a client whose responses were backed up, so it did not notice
// that the client had disconnected and continued its request.
TEST(ClientSession, AbandonsRequestWhenClientLeavesWithResponsesBackedUp) {
  for (const Departure departure : kDepartures) {
    ClientDepartureFixture fixture;
    FakeEngine& engine = fixture.addConnectedEngine();
    RawClient client(fixture, 4096);
    client.send(encodeSubmit(1));
    ASSERT_TRUE(fixture.runUntil([&] { return engine.receivedCommands == "ASK "; }));
    ASSERT_TRUE(fixture.backUpOutput(client));
    ASSERT_EQ(fixture.router.openRequestCount(), 1U);
    client.depart(departure);
    // Well before the idle timeout. The limit of 0.1 s is checked below with many clients.
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.router.totals().clientsGone == 1; }, 400ms))
        << static_cast<int>(departure);
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.router.openRequestCount() == 0; }))
        << static_cast<int>(departure);
    engine.receivedCommands.clear();
    fixture.runFor(50ms);
    EXPECT_EQ(engine.receivedCommands.find("ASK"), std::string::npos) << static_cast<int>(departure);
  }
}

// Regression: complete requests that were queued in the input were sent to engines before the revocations
// behind them were read.
TEST(ClientSession, DropsBufferedRequestWhenClientLeaves) {
  for (const Departure departure : kDepartures) {
    ClientDepartureFixture fixture;
    FakeEngine& engine = fixture.addConnectedEngine();
    RawClient client(fixture, 4096);
    ASSERT_TRUE(fixture.backUpOutput(client));
    client.send(encodeSubmit(1));
    fixture.runFor(5ms);
    client.depart(departure);
    fixture.runFor(5ms);
    // After these the client still reads, so responses are written and its request is handled.
    if (departure == Departure::cancel || departure == Departure::halfClose)
      fixture.runUntil([&] { return client.receive().empty() && fixture.clientListener.unsentBytes() == 0; });
    fixture.runFor(20ms);
    EXPECT_EQ(engine.receivedCommands, "") << static_cast<int>(departure);
    EXPECT_EQ(fixture.router.openRequestCount(), 0U);
  }
}

// A process without CPU time reads late and in several steps. By then the input shows that the client is
// gone, but behind many other messages.
TEST(ClientSession, DropsRequestsWhenDepartureIsReadInSameDelayedTurn) {
  for (const Departure departure : kDepartures) {
    ClientDepartureFixture fixture;
    FakeEngine& engine = fixture.addConnectedEngine();
    RawClient client(fixture);
    fixture.runFor(5ms);
    std::string messages;
    for (int index = 1; index <= 30; ++index) messages += encodeNumberedSubmit(index);
    for (int index = 31; index <= 60; ++index) messages += encodeRevoke(index);
    ASSERT_GT(messages.size(), 4096U);  // more than one read can return
    client.send(messages);
    if (departure != Departure::cancel) client.depart(departure);
    for (int index = 1; departure == Departure::cancel && index <= 30; ++index)
      client.depart(departure, index);
    std::this_thread::sleep_for(kMaxStartAfterDeparture + 20ms);  // the loop is blocked
    fixture.runFor(20ms);
    EXPECT_EQ(engine.receivedCommands, "") << static_cast<int>(departure);
    EXPECT_EQ(fixture.router.openRequestCount(), 0U);
  }
}

// A client that sends and never reads is disconnected soon, because its revocations could no longer be read.
// Other clients are served in the meantime, and the memory for its responses is bounded.
TEST(ClientSession, ClosesConnectionWhenClientSendsButNeverReads) {
  ClientDepartureFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  RawClient sendingClient(fixture, 4096);
  ASSERT_TRUE(fixture.backUpOutput(sendingClient));
  const std::string message = encodeMessage(1, std::string(4000, 'x'), 9, encodeInteger(0, 1));
  std::size_t maxUnsentBytes = 0;
  int servedRequests = 0;
  EXPECT_TRUE(fixture.runUntil(
      [&] {
        sendingClient.send(message);
        maxUnsentBytes = std::max(maxUnsentBytes, fixture.clientListener.unsentBytes());
        servedRequests +=
            fixture.contains(fixture.exchangeBytes(encodeSubmit(1 + servedRequests % 9), 5ms), "r\to\tw\n");
        return fixture.clientListener.connectionCount() == 1;
      },
      5s));
  EXPECT_TRUE(fixture.contains(fixture.clientListener.formatCounts(), "incomplete 1, idle 0"))
      << fixture.clientListener.formatCounts();
  EXPECT_GT(servedRequests, 2);
  EXPECT_LT(maxUnsentBytes, 32 * 4200U + 65536U);
}

// A valid client that reads slowly gets the responses to all of its 32 requests, no matter how long they are
// backed up.
TEST(ClientSession, DeliversAllResponsesWhenClientReadsSlowly) {
  ClientDepartureFixture fixture(10, "familyInfo.kindCores=64\n");
  const std::string row = std::string(5990, 'v') + "\t\t\n";
  fixture.addEngine(
      1, [&](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
        if (command == "ASK") FakeEngine::sendReply(connection, {id, "200", "batches=4", row});
        if (command == "NEXT")
          for (const char* pageField : {"batch=1", "batch=2", "batch=3"})
            FakeEngine::sendReply(connection, {id, "chunk", pageField, row});
      });
  fixture.updateEndpoints({1});
  RawClient client(fixture, 4096);
  std::string received;
  for (int index = 1; index <= 32; ++index) client.send(encodeNumberedSubmit(index));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.router.totals().responses[1] == 32; }))
      << fixture.router.formatCounts() << fixture.clientListener.formatCounts();
  const auto countResponses = [&] {
    std::size_t responseCount = 0, offset = 0;
    while (const auto payloadLength =
               protocol::thrift::readFrameLength(std::string_view(received).substr(offset))) {
      if (received.size() < offset + 4 + *payloadLength) break;
      offset += 4 + *payloadLength, ++responseCount;
    }
    return responseCount;
  };
  EXPECT_TRUE(fixture.runUntil([&] { return received += client.receive(), countResponses() == 32; }))
      << countResponses();
}

// ---- Connections closed by the controller ---------------------------------------------------------------

std::string encodeHeartbeat() { return encodeMessage(1, "heartbeat", 90, encodeInteger(0, 1)); }

// Keeps the last request that an engine received, so that a test can answer it later.
struct HeldRequest {
  Connection* connection = nullptr;
  std::string id;
  FakeEngine::CommandHandler hold() {
    return [this](FakeEngine&, Connection& engineConnection, const std::string& command,
                  const std::string& requestId) {
      if (command != "ASK") return;
      connection = &engineConnection;
      id = requestId;
    };
  }
  void answer() const { FakeEngine::sendReply(*connection, {id, "200", "batches=1", "r\to\tw\n"}); }
};

// Regression: the limit on the time of an incomplete message ended the session while a request was open on
// it, and that request never got its response.
TEST(ClientSession, KeepsOpenRequestWhenNextMessageArrivesSlowly) {
  ClientDepartureFixture fixture;
  HeldRequest held;
  fixture.addEngine(1, held.hold());
  fixture.updateEndpoints({1});
  RawClient client(fixture);
  client.send(encodeSubmit(1));
  ASSERT_TRUE(fixture.runUntil([&] { return held.connection != nullptr; }));
  const std::string slowMessage = encodeHeartbeat();
  const std::size_t pieceSize = slowMessage.size() / 4 + 1;
  for (std::size_t offset = 0; offset < slowMessage.size(); offset += pieceSize) {
    ASSERT_EQ(client.receive(), "");
    client.send(std::string_view(slowMessage).substr(offset, pieceSize));
    fixture.runFor(80ms);  // The limit is 100 ms for the whole message.
  }
  EXPECT_TRUE(fixture.contains(client.receive(), "heartbeat"));
  ASSERT_EQ(fixture.router.openRequestCount(), 1U);
  held.answer();
  fixture.runFor(20ms);
  EXPECT_TRUE(fixture.contains(client.receive(), "r\to\tw\n"));
}

// Guards the limit itself: an incomplete message ends the session once the last open request has its
// response.
TEST(ClientSession, ClosesConnectionWhenMessageStaysIncompleteAfterLastResponse) {
  ClientDepartureFixture fixture;
  HeldRequest held;
  fixture.addEngine(1, held.hold());
  fixture.updateEndpoints({1});
  RawClient client(fixture);
  client.send(encodeSubmit(1) + encodeSubmit(2).substr(0, 30));
  ASSERT_TRUE(fixture.runUntil([&] { return held.connection != nullptr; }));
  fixture.runFor(250ms);
  ASSERT_EQ(client.receive(), "");
  held.answer();
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.clientListener.connectionCount() == 0; }, 600ms));
  EXPECT_TRUE(fixture.contains(client.receive(), "r\to\tw\n"));
  EXPECT_TRUE(fixture.contains(fixture.clientListener.formatCounts(), "incomplete 1, idle 0"));
}

// Blocks the loop in its next iteration, as a process that is stopped does, and calls `event` meanwhile.
struct Stall {
  Stall(ClientDepartureFixture& fixture, std::chrono::milliseconds duration, std::function<void()> event)
      : call(fixture, [&fixture, duration, event = std::move(event)] {
          const transport::TimePoint end = fixture.now() + duration;
          event();
          while (fixture.now() < end) continue;
        }) {
    call.runSoon();
    fixture.runFor(duration + 1ms);
  }
  transport::ScheduledCall call;
};

// A client closes with more unread than the kernel holds on this side, so that its close is not visible until
// most of it is read. None of its requests may be sent on.
TEST(ClientSession, StartsNoRequestWhenClientLeftDuringStallWithMuchUnread) {
  for (const std::size_t statementBytes : {100UL, 3000UL}) {
    ClientDepartureFixture fixture;
    FakeEngine& engine = fixture.addConnectedEngine();
    RawClient client(fixture);
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.clientListener.connectionCount() == 2; }));
    std::size_t sentBytes = 0;
    const Stall stall(fixture, 400ms, [&] {
      const std::string revocations = encodeRevoke(99) + encodeRevoke(98);
      for (int index = 1; index <= 30; ++index) {
        std::string message = encodeNumberedSubmit(index, 3000, std::string(statementBytes, 'x'));
        while (message.size() < 30000) message += revocations;
        sentBytes += client.send(message);
      }
      client.close();
    });
    EXPECT_GE(sentBytes, 500000U);
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.clientListener.connectionCount() == 1; }));
    fixture.runFor(50ms);
    EXPECT_EQ(engine.receivedCommands, "") << statementBytes;
    EXPECT_EQ(fixture.router.openRequestCount(), 0U);
  }
}

// Regression: the time of a request that arrived during a stall of this process counted from the moment in
// which it was read, so its response came as much too late as the stall took.
TEST(ClientSession, CountsTimeoutFromArrivalWhenRequestArrivesDuringStall) {
  ClientDepartureFixture fixture;
  fixture.addConnectedEngine();  // It does not respond.
  RawClient client(fixture);
  client.send(encodeHeartbeat());
  fixture.runFor(20ms);
  EXPECT_FALSE(client.receive().empty());
  transport::TimePoint sentAt;
  Stall stall(fixture, 400ms, [&] {
    sentAt = fixture.now();
    client.send(encodeSubmit(1, 600));
  });
  std::string received;
  ASSERT_TRUE(fixture.runUntil([&] { return !(received += client.receive()).empty(); }));
  EXPECT_LT(fixture.now() - sentAt, 650ms);
  EXPECT_TRUE(fixture.contains(received, "submit"));
}

// Regression: as above, with a request whose time has ended before it is read. It was sent to an engine.
TEST(ClientSession, RejectsRequestAtOnceWhenItsTimeEndedDuringStall) {
  ClientDepartureFixture fixture;
  FakeEngine& engine = fixture.addConnectedEngine();
  RawClient client(fixture);
  client.send(encodeHeartbeat());
  fixture.runFor(20ms);
  EXPECT_FALSE(client.receive().empty());
  Stall stall(fixture, 300ms, [&] { client.send(encodeSubmit(1, 200)); });
  std::string received;
  ASSERT_TRUE(fixture.runUntil([&] { return !(received += client.receive()).empty(); }, 50ms));
  EXPECT_TRUE(fixture.contains(received, "submit"));
  EXPECT_EQ(engine.receivedCommands, "");
}

// Submits requests until some are queued, then stalls while the client revokes all of them. Returns the
// number of attempts that the engine got after that; std::nullopt if no request was queued when the engine
// had got all attempts.
std::optional<std::size_t> countAttemptsAfterRevocationInStall() {
  constexpr int kRequestCount = 32;
  ClientDepartureFixture fixture;
  FakeEngine& engine = fixture.addConnectedEngine();
  const auto countAttempts = [&] {
    return static_cast<std::size_t>(
        std::count(engine.receivedCommands.begin(), engine.receivedCommands.end(), 'A'));
  };
  RawClient client(fixture);
  for (int index = 1; index <= kRequestCount; ++index) client.send(encodeNumberedSubmit(index));
  const bool hasQueuedRequests = fixture.runUntil(
      [&] {
        const std::size_t inFlight = fixture.router.attemptsInFlight();
        return countAttempts() == inFlight && fixture.router.openRequestCount() > inFlight + 1;
      },
      100ms);
  if (!hasQueuedRequests) return std::nullopt;
  const std::size_t attemptsBefore = countAttempts();
  Stall stall(fixture, 500ms, [&] {
    for (int index = 1; index <= kRequestCount; ++index) client.depart(Departure::cancel, index);
  });
  fixture.runFor(50ms);
  EXPECT_EQ(fixture.router.openRequestCount(), 0U);
  return countAttempts() - attemptsBefore;
}

// Regression: after a stall, timers started queued requests before the revocations of that time were read.
TEST(ClientSession, StartsNoQueuedRequestThatWasRevokedDuringStall) {
  int playedCount = 0;
  for (int round = 0; round < 20 && playedCount < 3; ++round) {
    const std::optional<std::size_t> lateAttempts = countAttemptsAfterRevocationInStall();
    if (!lateAttempts) continue;
    ++playedCount;
    EXPECT_EQ(*lateAttempts, 0U);
  }
  EXPECT_EQ(playedCount, 3);
}

// Regression: the idle timeout passed while a request was already in the socket, and the connection was
// reset.
TEST(ClientSession, ServesRequestWhenItArrivesAtIdleTimeout) {
  ClientDepartureFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  RawClient client(fixture);
  client.send(encodeHeartbeat());
  fixture.runFor(20ms);
  EXPECT_FALSE(client.receive().empty());
  std::this_thread::sleep_for(720ms);  // the loop does not run until the idle timeout of 700 ms has passed
  client.send(encodeSubmit(1));
  fixture.runFor(100ms);
  EXPECT_TRUE(fixture.contains(client.receive(), "r\to\tw\n"));
}

// The same for a session that is evicted at the connection limit: the request is sent in the loop iteration
// in which the limit is reached.
TEST(ClientListener, ServesRequestAndEvictsOtherConnectionWhenItArrivesDuringEviction) {
  ClientDepartureFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int index = 0; index < 9; ++index) {
    clients.push_back(std::make_unique<RawClient>(fixture));
    clients.back()->send(encodeHeartbeat());
    fixture.runFor(5ms);
  }
  ASSERT_EQ(fixture.clientListener.connectionCount(), 9U);
  bool requestSent = false;
  transport::ScheduledCall sendRequestCall(fixture);
  sendRequestCall.setAction([&] {
    if (!requestSent && fixture.clientListener.connectionCount() == 10)
      requestSent = true, clients[0]->send(encodeSubmit(1));
    sendRequestCall.runSoon();
  });
  sendRequestCall.runSoon();
  RawClient newClient(fixture);
  newClient.send(encodeHeartbeat());
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.contains(clients[0]->receive(), "r\to\tw\n"); }));
  EXPECT_TRUE(fixture.runUntil([&] { return !newClient.receive().empty(); }));
  EXPECT_TRUE(requestSent);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.contains(clients[1]->receive(), "<closed>"); }));
}

// A request that crosses the close is not sent to an engine, and no response that the client has not yet read
// is lost.
TEST(ClientSession, DropsLateRequestsAndKeepsLastResponseWhenServerHalfCloses) {
  for (const bool sendsInvalidData : {false, true}) {
    ClientDepartureFixture fixture;
    FakeEngine& engine = fixture.addEngine(1, respondDone);
    fixture.updateEndpoints({1});
    RawClient client(fixture);
    client.send(encodeSubmit(1));
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.router.totals().responses[1] == 1; }));
    fixture.runFor(10ms);
    const std::string invalidData(48 * 1024, 'x');
    if (sendsInvalidData) {
      client.send(invalidData);
      fixture.runFor(10ms);
    } else {
      EXPECT_TRUE(fixture.runUntil([&] { return fixture.clientListener.connectionCount() == 0; }));
    }
    for (int index = 2; index <= 4; ++index) {
      client.send(encodeSubmit(index));
      fixture.runFor(5ms);
    }
    const std::string received = client.receive();
    EXPECT_TRUE(fixture.contains(received, "r\to\tw\n")) << sendsInvalidData;
    EXPECT_TRUE(fixture.contains(received, "<closed>")) << sendsInvalidData;
    EXPECT_EQ(engine.receivedCommands, "ASK ") << sendsInvalidData;
    EXPECT_TRUE(
        fixture.runUntil([&] { return fixture.clientListener.openSocketCount() == 1; }, 1s));  // the listener
  }
}

// ---- Shutdown -------------------------------------------------------------------------------------------

struct ShutdownFixture : ClientDepartureFixture {
  explicit ShutdownFixture(std::size_t connectionLimit = 60)
      : ClientDepartureFixture(connectionLimit, "familyInfo.kindCores=64\n"),
        lifecycle(*this, router, clientListener, "n", drain::Options{}, logger, [this] { onExit(); }) {
    addEngine(1, respondDone);
    updateEndpoints({1});
  }
  void onExit() {
    exited = true;
    connectionsAtExit = clientListener.connectionCount();
    openRequestsAtExit = router.openRequestCount();
    stop();
  }
  admin::ServiceLifecycle lifecycle;
  bool exited = false;
  std::size_t connectionsAtExit = 0, openRequestsAtExit = 0;
};

// Idle clients send requests, one client every 5 ms, around the time at which the controller closes their
// connections. Each request gets its response, or its connection is closed and it is not sent to an engine.
// No connection is reset.
TEST(ServiceLifecycle, AnswersRequestOrClosesCleanlyWhenItArrivesAtShutdown) {
  ShutdownFixture fixture;
  std::set<std::string> attemptIds;
  fixture.engines[0]->onCommand = [&](FakeEngine& self, Connection& connection, const std::string& command,
                                      const std::string& id) {
    if (command == "ASK") attemptIds.insert(id);
    respondDone(self, connection, command, id);
  };
  std::vector<std::unique_ptr<RawClient>> clients;
  std::vector<std::string> received(40);
  for (int index = 0; index < 40; ++index) {
    clients.push_back(std::make_unique<RawClient>(fixture));
    clients.back()->send(encodeHeartbeat());
  }
  fixture.runFor(50ms);
  for (std::size_t index = 0; index < 40; ++index) EXPECT_FALSE(clients[index]->receive().empty());
  fixture.lifecycle.onTerminate();
  fixture.lifecycle.onTerminate();  // a second SIGTERM changes nothing
  const transport::TimePoint terminatedAt = fixture.now();
  fixture.runFor(400ms);
  for (const auto& client : clients) client->send(encodeHeartbeat());  // keeps them from being idle
  fixture.runFor(50ms);
  for (const auto& client : clients) client->receive();
  std::size_t nextClient = 0;
  EXPECT_TRUE(fixture.runUntil([&] {
    if (fixture.now() > terminatedAt + 740ms + 5ms * nextClient && nextClient < 40) {
      clients[nextClient]->send(encodeNumberedSubmit(static_cast<int>(nextClient) + 1));
      ++nextClient;
    }
    return fixture.exited;
  }));
  fixture.runFor(5ms);
  std::size_t answeredRequests = 0;
  for (std::size_t index = 0; index < 40; ++index) {
    received[index] = clients[index]->receive();
    EXPECT_FALSE(fixture.contains(received[index], "<reset>")) << index;
    const bool isServed = fixture.contains(received[index], "r\to\tw\n");
    answeredRequests += isServed;
    EXPECT_TRUE(isServed || fixture.contains(received[index], "<closed>")) << index;
  }
  EXPECT_EQ(attemptIds.size(), answeredRequests);
  EXPECT_GT(answeredRequests, 0U);
  EXPECT_EQ(fixture.connectionsAtExit, 0U);
  EXPECT_EQ(fixture.openRequestsAtExit, 0U);
  EXPECT_TRUE(fixture.contains(fixture.logText, "0 requests open at the end"));
}

// A client that connects when the shutdown begins gets its response, or its connection is reset if it was
// still in the backlog. No request is open when the process ends.
TEST(ServiceLifecycle, AnswersOrResetsBacklogConnectionAndLeavesNoOpenRequestWhenProcessEnds) {
  ShutdownFixture fixture;
  fixture.lifecycle.onTerminate();
  fixture.runFor(700ms);
  std::this_thread::sleep_for(10ms);
  std::optional<RawClient> lateClient;
  transport::ScheduledCall connectCall(fixture);  // runs in the loop iteration in which the shutdown begins
  connectCall.setAction([&] {
    if (fixture.clientListener.openSocketCount() == 1 && !lateClient && fixture.clientListener.isClosing()) {
      lateClient.emplace(fixture);
      lateClient->send(encodeSubmit(1));
      return;
    }
    connectCall.runSoon();
  });
  connectCall.runSoon();
  std::string received;
  EXPECT_TRUE(fixture.runUntil([&] {
    if (lateClient) received += lateClient->receive();
    return fixture.exited;
  }));
  if (lateClient) received += lateClient->receive();
  EXPECT_TRUE(fixture.contains(received, "r\to\tw\n") || fixture.contains(received, "<reset>")) << received;
  EXPECT_EQ(fixture.openRequestsAtExit, 0U);
}

// Engines hang, requests have long timeouts, a drain is in progress and a frame stays incomplete: the process
// still ends in time, after each request has got its response.
TEST(ServiceLifecycle, ShutsDownInTimeWhenEnginesHangAndDrainIsUnderWay) {
  ShutdownFixture fixture;
  fixture.engines[0]->onCommand = ignoreCommand;
  RawClient client(fixture), partialClient(fixture);
  client.send(encodeNumberedSubmit(1, 16000));
  partialClient.send(encodeSubmit(2).substr(0, 30));
  fixture.runFor(30ms);
  EXPECT_EQ(fixture.lifecycle.requestDrain(Duration{20s}, std::nullopt, "test"), drain::DrainError::none);
  fixture.runFor(20ms);
  const transport::TimePoint terminatedAt = fixture.now();
  fixture.lifecycle.onTerminate();
  std::string received;
  EXPECT_TRUE(fixture.runUntil([&] { return received += client.receive(), fixture.exited; }, 3s));
  EXPECT_LT(fixture.now() - terminatedAt,
            2700ms);  // SIGKILL comes after the longest request timeout, 2 s, and 0.7 s more
  received += client.receive();
  EXPECT_TRUE(fixture.contains(received, "refused") || fixture.contains(received, "cooldown") ||
              fixture.contains(received, "failed"));
  EXPECT_TRUE(fixture.contains(received, "<closed>"));
  EXPECT_EQ(fixture.openRequestsAtExit, 0U);
}

// ---- Overload -------------------------------------------------------------------------------------------

// Many clients connect at once, send many messages, some of them invalid, and disconnect. Other clients are
// still served, and no state of the disconnected clients remains.
TEST(ClientListener, ServesOtherClientsWhenConnectionsFlood) {
  ClientDepartureFixture fixture(100);
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  std::minstd_rand random(5);
  transport::Clock::duration longestWait{};
  EXPECT_FALSE(fixture.exchangeBytes(encodeHeartbeat()).empty());
  for (int round = 0; round < 5; ++round) {
    std::vector<std::unique_ptr<RawClient>> floodClients;
    for (int index = 0; index < 150; ++index) {
      floodClients.push_back(std::make_unique<RawClient>(fixture));
      std::string messages;
      for (int sequence = 1; sequence <= 60; ++sequence) {
        const auto messageKind = random() % 4;
        messages += messageKind == 0   ? encodeHeartbeat()
                    : messageKind == 1 ? encodeSubmit(sequence, -5)
                    : messageKind == 2
                        ? encodeSubmit(sequence % 30 + 1, 500, "q",
                                       "00000000" + std::to_string(1000000 + random() % 999999))
                        : encodeRevoke(sequence);
      }
      floodClients.back()->send(messages);
    }
    std::string received = fixture.exchangeBytes(encodeSubmit(1 + round), 1ms);
    const transport::TimePoint startedAt = fixture.now();
    EXPECT_TRUE(fixture.runUntil(
        [&] {
          EXPECT_LE(fixture.clientListener.openSocketCount(), 101U);
          return fixture.contains(received += fixture.exchangeBytes("", 1ms), "r\to\tw\n");
        },
        2s))
        << round << received << fixture.clientListener.formatCounts() << fixture.router.formatCounts();
    longestWait = std::max(longestWait, fixture.now() - startedAt);
    for (auto& rawClient : floodClients) rawClient->depart(kDepartures[random() % 3]);
    fixture.runFor(20ms);
  }
  EXPECT_TRUE(fixture.runUntil([&] {
    return fixture.clientListener.openSocketCount() <= 2 && fixture.router.openRequestCount() == 0;
  })) << fixture.clientListener.formatCounts();
  EXPECT_EQ(fixture.clientListener.unsentBytes(), 0U);
  RecordProperty("longest_ms", static_cast<int>(longestWait / 1ms));
  std::printf("longest wait of the other client: %ld ms\n", static_cast<long>(longestWait / 1ms));
}

// ---- Randomized -----------------------------------------------------------------------------------------

// Clients disconnect in every way at random times, most of them with queued requests: no attempt starts later
// than 100 ms after its client has gone. PADDLETRACK_DEPARTURES=10000 runs the full count.
TEST(ClientSession, StartsNoAttemptAfterGracePeriodWhenClientsLeaveAtRandom) {
  const char* const departuresSetting = std::getenv("PADDLETRACK_DEPARTURES");
  const int departureCount = departuresSetting ? std::atoi(departuresSetting) : 800;
  ClientDepartureFixture fixture(100);
  std::minstd_rand random(17);
  std::map<std::string, std::pair<transport::TimePoint, transport::Clock::duration>> departures;
  // Time in which the loop did not run on a busy machine is not a delay of the controller and is subtracted.
  transport::Clock::duration stalledTime{};
  transport::TimePoint lastTickAt = fixture.now();
  transport::ScheduledCall tickCall(fixture);
  tickCall.setAction([&] {
    const auto gap = fixture.now() - std::exchange(lastTickAt, fixture.now());
    if (gap > 20ms) stalledTime += gap;
    tickCall.runAt(fixture.now() + 1ms);
  });
  tickCall.runSoon();
  std::map<std::string, int> attemptCounts;
  int lateAttempts = 0, attemptsAfterDeparture = 0;
  std::chrono::microseconds longestDelay{0};
  fixture.addEngine(
      1, [&](FakeEngine& self, Connection& connection, const std::string& command, const std::string& id) {
        if (command != "ASK") return;
        ++attemptCounts[id];
        if (const auto departure = departures.find(id); departure != departures.end()) {
          const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(
              fixture.now() - departure->second.first - (stalledTime - departure->second.second));
          longestDelay = std::max(longestDelay, delay);
          lateAttempts += delay > kMaxStartAfterDeparture;
          ++attemptsAfterDeparture;
        }
        // The other requests hold their threads until they time out.
        if (random() % 4 == 0) respondDone(self, connection, command, id);
      });
  fixture.updateEndpoints({1});
  struct DepartingClient {
    RawClient client;
    std::vector<std::string> ids;
    transport::TimePoint departsAt;
    Departure departure;
  };
  std::list<DepartingClient> connectedClients, departedClients;
  int departedCount = 0, requestsWithoutAttempt = 0;
  unsigned lastRequestNumber = 0;
  const auto advanceClients = [&] {
    while (connectedClients.size() < 60 &&
           departedCount + static_cast<int>(connectedClients.size()) < departureCount) {
      DepartingClient& newClient = connectedClients.emplace_back(
          DepartingClient{RawClient(fixture),
                          {},
                          fixture.now() + std::chrono::milliseconds(random() % 80),
                          kDepartures[random() % 4]});
      std::string messages;
      for (int index = 1; index <= 2; ++index) {
        std::array<char, 17> id;
        std::snprintf(id.data(), id.size(), "%016x", ++lastRequestNumber);
        newClient.ids.emplace_back(id.data());
        messages += protocol::thrift::encodeSubmit(
            index, {{"service", "q"}, {"ref", id.data()}, {"allow", "1500"}}, "select 1");
      }
      newClient.client.send(messages);
    }
    for (auto position = connectedClients.begin(); position != connectedClients.end();) {
      if (fixture.now() < position->departsAt) {
        ++position;
        continue;
      }
      position->client.depart(position->departure, 1);
      if (position->departure == Departure::cancel) position->client.depart(position->departure, 2);
      for (const std::string& id : position->ids) {
        departures[id] = {fixture.now(), stalledTime};
        requestsWithoutAttempt += attemptCounts.count(id) == 0;
      }
      ++departedCount;
      const auto departing = position++;  // keeps a half-closed connection open for a while
      departedClients.splice(departedClients.end(), connectedClients, departing);
      if (departedClients.size() > 20) departedClients.pop_front();
    }
    return departedCount >= departureCount;
  };
  EXPECT_TRUE(fixture.runUntil(advanceClients, 120s));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.router.openRequestCount() == 0; }));
  EXPECT_EQ(lateAttempts, 0) << longestDelay.count() << " us is the longest delay";
  EXPECT_GT(requestsWithoutAttempt, departureCount / 4);
  std::printf(
      "%d departures, %d requests without an attempt, %d attempts after a departure, longest delay %ld us, "
      "%d too late\n",
      departedCount, requestsWithoutAttempt, attemptsAfterDeparture, static_cast<long>(longestDelay.count()),
      lateAttempts);
}

}  // namespace
}  // namespace paddletrack::routing
