// Clients that disconnect, and connections that are closed, while something else happens.
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
#include "support/router_fixture.hpp"

namespace paddletrack::routing {
namespace {

constexpr int kSubnet = 181;
constexpr auto kMaxStartAfterDeparture = 100ms;  // no attempt may start later after its client is gone

enum class Departure { close, reset, halfClose, cancel };
constexpr std::array<Departure, 4> kDepartures{Departure::close, Departure::reset, Departure::halfClose,
                                               Departure::cancel};

// A client on a blocking socket, which acts at once, whether or not the controller's loop runs.
class RawClient {
 public:
  explicit RawClient(const RouterFixture& fixture, int receiveBufferSize = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const Address address(fixture.listenAddress);
    const int enabled = 1;
    if (receiveBufferSize > 0)
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBufferSize, sizeof receiveBufferSize);
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(fd_, address.nativeHandle(), address.length()) != 0) std::abort();
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  RawClient(RawClient&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~RawClient() { close(); }

  // Sends as many bytes as the kernel accepts.
  std::size_t send(std::string_view text) const {
    const ssize_t count = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  // Returns all bytes that have come, and how the connection ended if it did.
  std::string receive() const {
    std::string received;
    for (;;) {
      std::array<char, 16384> buffer;
      const ssize_t count = ::read(fd_, buffer.data(), buffer.size());
      if (count > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(count));
        continue;
      }
      if (count == 0) received += "<closed>";
      if (count < 0 && errno != EAGAIN) received += "<reset>";
      return received;
    }
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void depart(Departure departure, int sequence = 1) {
    const linger immediateReset{1, 0};
    if (departure == Departure::halfClose) ::shutdown(fd_, SHUT_WR);
    if (departure == Departure::cancel) send(encodeRevoke(sequence));
    if (departure == Departure::reset)
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediateReset, sizeof immediateReset);
    if (departure == Departure::close || departure == Departure::reset) close();
  }

 private:
  int fd_;
};

struct ClientDepartureFixture : RouterFixture {
  explicit ClientDepartureFixture(std::size_t connectionLimit = 10, const std::string& extraSettings = "")
      : RouterFixture(kBaseSettings + extraSettings, kSubnet, connectionLimit) {}
  bool runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds timeout = 5s) {
    for (const transport::TimePoint deadline = now() + timeout; now() < deadline; runFor(1ms))
      if (isDone()) return true;
    return isDone();
  }
  // Causes responses that this client does not read, until this many bytes are unsent in the controller.
  bool backUpOutput(const RawClient& rawClient, std::size_t minUnsentBytes = 65537) {
    const std::string message =
        encodeMessage(1, std::string(4000, 'x'), 9, encodeInteger(0, 1));  // the exception repeats it
    return runUntil([&] {
      if (clientListener.unsentBytes() >= minUnsentBytes) return true;
      for (int index = clientListener.unsentBytes() > 0 ? 1 : 8; index > 0; --index) rawClient.send(message);
      return false;
    });
  }
  // An engine with an established connection, which does not respond from now on.
  FakeEngine& addConnectedEngine() {
    FakeEngine& engine = addEngine(1, respondDone);
    updateEndpoints({1});
    EXPECT_TRUE(contains(exchangeBytes(encodeSubmit(9)), "r\to\tw\n"));
    engine.onCommand = ignoreCommand;
    engine.receivedCommands.clear();
    return engine;
  }
  // A request of its own for each number, from one client.
  static std::string encodeNumberedSubmit(int sequence, int timeoutMs = 3000) {
    std::array<char, 17> id;
    std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(sequence));
    return protocol::thrift::encodeSubmit(
        sequence, {{"service", "q"}, {"ref", id.data()}, {"allow", std::to_string(timeoutMs)}}, "select 1");
  }
};

// Regression: the controller did not read from a client whose responses were backed up. The client had
// disconnected, and its request went on.
TEST(ClientSession, AbandonsRequestWhenClientLeavesWithResponsesBackedUp) {
  for (const Departure way : kDepartures) {
    ClientDepartureFixture front;
    FakeEngine& peer = front.addConnectedEngine();
    RawClient caller(front, 4096);
    caller.send(encodeSubmit(1));
    ASSERT_TRUE(front.runUntil([&] { return peer.receivedCommands == "ASK "; }));
    ASSERT_TRUE(front.backUpOutput(caller));
    ASSERT_EQ(front.router.openRequestCount(), 1U);
    caller.depart(way);
    // Well before the idle timeout. The limit of 0.1 s is checked below, over many clients.
    EXPECT_TRUE(front.runUntil([&] { return front.router.totals().clientsGone == 1; }, 400ms))
        << static_cast<int>(way);
    EXPECT_TRUE(front.runUntil([&] { return front.router.openRequestCount() == 0; }))
        << static_cast<int>(way);
    peer.receivedCommands.clear();
    front.runFor(50ms);
    EXPECT_EQ(peer.receivedCommands.find("ASK"), std::string::npos) << static_cast<int>(way);
  }
}

// Regression: complete requests waited in the input for their turn and were then sent to engines before the
// revocations behind them were read.
TEST(ClientSession, DropsBufferedRequestWhenClientLeaves) {
  for (const Departure way : kDepartures) {
    ClientDepartureFixture front;
    FakeEngine& peer = front.addConnectedEngine();
    RawClient caller(front, 4096);
    ASSERT_TRUE(front.backUpOutput(caller));
    caller.send(encodeSubmit(1));
    front.runFor(5ms);
    caller.depart(way);
    front.runFor(5ms);
    if (way == Departure::cancel ||
        way == Departure::halfClose)  // it still reads: responses are written, and its request is handled
      front.runUntil([&] { return caller.receive().empty() && front.clientListener.unsentBytes() == 0; });
    front.runFor(20ms);
    EXPECT_EQ(peer.receivedCommands, "") << static_cast<int>(way);
    EXPECT_EQ(front.router.openRequestCount(), 0U);
  }
}

// A process that was kept from its core reads late and in several steps. By then the input says that the
// client is gone, though behind many other messages.
TEST(ClientSession, DropsRequestsWhenDepartureIsReadInSameDelayedTurn) {
  for (const Departure way : kDepartures) {
    ClientDepartureFixture front;
    FakeEngine& peer = front.addConnectedEngine();
    RawClient caller(front);
    front.runFor(5ms);
    std::string many;
    for (int index = 1; index <= 30; ++index) many += ClientDepartureFixture::encodeNumberedSubmit(index);
    for (int item = 31; item <= 60; ++item) many += encodeRevoke(item);
    ASSERT_GT(many.size(), 4096U);  // more than one read returns
    caller.send(many);
    if (way != Departure::cancel) caller.depart(way);
    for (int element = 1; way == Departure::cancel && element <= 30; ++element) caller.depart(way, element);
    std::this_thread::sleep_for(kMaxStartAfterDeparture + 20ms);  // the loop stands still
    front.runFor(20ms);
    EXPECT_EQ(peer.receivedCommands, "") << static_cast<int>(way);
    EXPECT_EQ(front.router.openRequestCount(), 0U);
  }
}

// A client that sends and never reads is disconnected soon, as its revocations could no longer be read. Other
// clients are served meanwhile, and its memory use is bounded.
TEST(ClientSession, ClosesConnectionWhenClientSendsButNeverReads) {
  ClientDepartureFixture front;
  front.addEngine(1, respondDone);
  front.updateEndpoints({1});
  RawClient pusher(front, 4096);
  ASSERT_TRUE(front.backUpOutput(pusher));
  const std::string much = encodeMessage(1, std::string(4000, 'x'), 9, encodeInteger(0, 1));
  std::size_t held = 0;
  int served = 0;
  EXPECT_TRUE(front.runUntil(
      [&] {
        pusher.send(much);
        held = std::max(held, front.clientListener.unsentBytes());
        served += front.contains(front.exchangeBytes(encodeSubmit(1 + served % 9), 5ms), "r\to\tw\n");
        return front.clientListener.connectionCount() == 1;
      },
      5s));
  EXPECT_TRUE(front.contains(front.clientListener.formatCounts(), "unfinished 1, idle 0"))
      << front.clientListener.formatCounts();
  EXPECT_GT(served, 2);
  EXPECT_LT(held, 32 * 4200U + 65536U);
}

// A valid client that reads slowly gets the responses to all of its 32 requests, however long they are backed
// up.
TEST(ClientSession, DeliversAllResponsesWhenClientReadsSlowly) {
  ClientDepartureFixture front(10, "familyInfo.kindCores=64\n");
  const std::string row = std::string(5990, 'v') + "\t\t\n";
  front.addEngine(1, [&](FakeEngine&, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") FakeEngine::sendReply(to, {id, "200", "batches=4", row});
    if (word == "NEXT")
      for (const char* character : {"batch=1", "batch=2", "batch=3"})
        FakeEngine::sendReply(to, {id, "chunk", character, row});
  });
  front.updateEndpoints({1});
  RawClient caller(front, 4096);
  std::string all;
  for (int index = 1; index <= 32; ++index) caller.send(ClientDepartureFixture::encodeNumberedSubmit(index));
  EXPECT_TRUE(front.runUntil([&] { return front.router.totals().responses[1] == 32; }))
      << front.router.formatCounts() << front.clientListener.formatCounts();
  const auto whole = [&] {
    std::size_t answers = 0, at = 0;
    while (const auto length = protocol::thrift::readFrameLength(std::string_view(all).substr(at))) {
      if (all.size() < at + 4 + *length) break;
      at += 4 + *length, ++answers;
    }
    return answers;
  };
  EXPECT_TRUE(front.runUntil([&] { return all += caller.receive(), whole() == 32; })) << whole();
}

// ---- Closes by the controller ---------------------------------------------------------------------------

std::string encodeHeartbeat() { return encodeMessage(1, "heartbeat", 90, encodeInteger(0, 1)); }

// Regression: the idle timeout had passed while a request was already in the socket, which met a reset.
TEST(ClientSession, ServesRequestWhenItArrivesAtIdleTimeout) {
  ClientDepartureFixture front;
  front.addEngine(1, respondDone);
  front.updateEndpoints({1});
  RawClient caller(front);
  caller.send(encodeHeartbeat());
  front.runFor(20ms);
  EXPECT_FALSE(caller.receive().empty());
  std::this_thread::sleep_for(720ms);  // the loop does not run until the idle timeout of 700 ms has passed
  caller.send(encodeSubmit(1));
  front.runFor(100ms);
  EXPECT_TRUE(front.contains(caller.receive(), "r\to\tw\n"));
}

// The same for a session that is evicted at the connection limit, in each turn of the loop in which that can
// happen.
TEST(ClientListener, ServesRequestAndEvictsOtherConnectionWhenItArrivesDuringEviction) {
  ClientDepartureFixture front;
  front.addEngine(1, respondDone);
  front.updateEndpoints({1});
  std::vector<std::unique_ptr<RawClient>> callers;
  for (int index = 0; index < 9; ++index) {
    callers.push_back(std::make_unique<RawClient>(front));
    callers.back()->send(encodeHeartbeat());
    front.runFor(5ms);
  }
  ASSERT_EQ(front.clientListener.connectionCount(), 9U);
  bool said = false;
  transport::ScheduledCall look(front);
  look.setAction([&] {
    if (!said && front.clientListener.connectionCount() == 10) said = true, callers[0]->send(encodeSubmit(1));
    look.runSoon();
  });
  look.runSoon();
  RawClient last(front);
  last.send(encodeHeartbeat());
  EXPECT_TRUE(front.runUntil([&] { return front.contains(callers[0]->receive(), "r\to\tw\n"); }));
  EXPECT_TRUE(front.runUntil([&] { return !last.receive().empty(); }));
  EXPECT_TRUE(said);
  EXPECT_TRUE(front.runUntil([&] { return front.contains(callers[1]->receive(), "<closed>"); }));
}

// A request that crosses the close is not sent to an engine, and no response that the client has not read is
// lost.
TEST(ClientSession, DropsLateRequestsAndKeepsLastResponseWhenServerHalfCloses) {
  for (const bool unreadable : {false, true}) {
    ClientDepartureFixture front;
    FakeEngine& peer = front.addEngine(1, respondDone);
    front.updateEndpoints({1});
    RawClient caller(front);
    caller.send(encodeSubmit(1));
    EXPECT_TRUE(front.runUntil([&] { return front.router.totals().responses[1] == 1; }));
    front.runFor(10ms);
    const std::string much(48 * 1024, 'x');
    if (unreadable) {
      caller.send(much);
      front.runFor(10ms);
    } else {
      EXPECT_TRUE(front.runUntil([&] { return front.clientListener.connectionCount() == 0; }));
    }
    for (int index = 2; index <= 4; ++index) {
      caller.send(encodeSubmit(index));
      front.runFor(5ms);
    }
    const std::string heard = caller.receive();
    EXPECT_TRUE(front.contains(heard, "r\to\tw\n")) << unreadable;
    EXPECT_TRUE(front.contains(heard, "<closed>")) << unreadable;
    EXPECT_EQ(peer.receivedCommands, "ASK ") << unreadable;
    EXPECT_TRUE(
        front.runUntil([&] { return front.clientListener.openSocketCount() == 1; }, 1s));  // the listener
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

// Idle clients send a request around the moment at which the controller closes them, one each millisecond.
// Each gets its response, or finds its connection closed and its request not sent to an engine. None is
// reset.
TEST(ServiceLifecycle, AnswersRequestOrClosesCleanlyWhenItArrivesAtShutdown) {
  ShutdownFixture front;
  std::set<std::string> asked;
  front.engines[0]->onCommand = [&](FakeEngine& self, Connection& to, const std::string& word,
                                    const std::string& id) {
    if (word == "ASK") asked.insert(id);
    respondDone(self, to, word, id);
  };
  std::vector<std::unique_ptr<RawClient>> callers;
  std::vector<std::string> heard(40);
  for (int index = 0; index < 40; ++index) {
    callers.push_back(std::make_unique<RawClient>(front));
    callers.back()->send(encodeHeartbeat());
  }
  front.runFor(50ms);
  for (std::size_t item = 0; item < 40; ++item) EXPECT_FALSE(callers[item]->receive().empty());
  front.lifecycle.onTerminate();
  front.lifecycle.onTerminate();  // a second SIGTERM changes nothing
  const transport::TimePoint told = front.now();
  front.runFor(400ms);
  for (const auto& caller : callers) caller->send(encodeHeartbeat());  // so that they are not idle
  front.runFor(50ms);
  for (const auto& caller : callers) caller->receive();
  std::size_t next = 0;
  EXPECT_TRUE(front.runUntil([&] {
    if (front.now() > told + 740ms + 5ms * next && next < 40) {
      callers[next]->send(ClientDepartureFixture::encodeNumberedSubmit(static_cast<int>(next) + 1));
      ++next;
    }
    return front.exited;
  }));
  front.runFor(5ms);
  std::size_t answered = 0;
  for (std::size_t element = 0; element < 40; ++element) {
    heard[element] = callers[element]->receive();
    EXPECT_FALSE(front.contains(heard[element], "<reset>")) << element;
    const bool served = front.contains(heard[element], "r\to\tw\n");
    answered += served;
    EXPECT_TRUE(served || front.contains(heard[element], "<closed>")) << element;
  }
  EXPECT_EQ(asked.size(), answered);
  EXPECT_GT(answered, 0U);
  EXPECT_EQ(front.connectionsAtExit, 0U);
  EXPECT_EQ(front.openRequestsAtExit, 0U);
  EXPECT_TRUE(front.contains(front.logText, "0 requests open at the end"));
}

// A client that waits in the backlog at the connection limit when the shutdown begins is accepted and gets
// its response.
TEST(ServiceLifecycle, AnswersOrResetsBacklogConnectionAndLeavesNoOpenRequestWhenProcessEnds) {
  ShutdownFixture front;
  front.lifecycle.onTerminate();
  front.runFor(700ms);
  std::this_thread::sleep_for(10ms);
  std::optional<RawClient> late;
  transport::ScheduledCall look(front);  // in the turn of the loop in which the shutdown begins
  look.setAction([&] {
    if (front.clientListener.openSocketCount() == 1 && !late && front.clientListener.isClosing()) {
      late.emplace(front);
      late->send(encodeSubmit(1));
      return;
    }
    look.runSoon();
  });
  look.runSoon();
  std::string heard;
  EXPECT_TRUE(front.runUntil([&] {
    if (late) heard += late->receive();
    return front.exited;
  }));
  if (late) heard += late->receive();
  EXPECT_TRUE(front.contains(heard, "r\to\tw\n") || front.contains(heard, "<reset>")) << heard;
  EXPECT_EQ(front.openRequestsAtExit, 0U);
}

// Engines hang under long timeouts, a drain is in progress and a frame stays incomplete: the process still
// ends in time, and each request has its response before.
TEST(ServiceLifecycle, ShutsDownInTimeWhenEnginesHangAndDrainIsUnderWay) {
  ShutdownFixture front;
  front.engines[0]->onCommand = ignoreCommand;
  RawClient caller(front), half(front);
  caller.send(ClientDepartureFixture::encodeNumberedSubmit(1, 16000));
  half.send(encodeSubmit(2).substr(0, 30));
  front.runFor(30ms);
  EXPECT_EQ(front.lifecycle.requestDrain(Duration{20s}, std::nullopt, "test"), drain::DrainError::none);
  front.runFor(20ms);
  const transport::TimePoint asked = front.now();
  front.lifecycle.onTerminate();
  std::string heard;
  EXPECT_TRUE(front.runUntil([&] { return heard += caller.receive(), front.exited; }, 3s));
  EXPECT_LT(front.now() - asked,
            2700ms);  // SIGKILL comes after the longest request timeout, 2 s, and 0.7 s more
  heard += caller.receive();
  EXPECT_TRUE(front.contains(heard, "refused") || front.contains(heard, "cooldown") ||
              front.contains(heard, "failed"));
  EXPECT_TRUE(front.contains(heard, "<closed>"));
  EXPECT_EQ(front.openRequestsAtExit, 0U);
}

// ---- Overload -------------------------------------------------------------------------------------------

// Many clients connect at once, send many messages, some of them invalid, and disconnect. Other clients are
// served, and nothing of the former remains.
TEST(ClientListener, ServesOtherClientsWhenConnectionsFlood) {
  ClientDepartureFixture front(100);
  front.addEngine(1, respondDone);
  front.updateEndpoints({1});
  std::minstd_rand dice(5);
  transport::Clock::duration longest{};
  EXPECT_FALSE(front.exchangeBytes(encodeHeartbeat()).empty());
  for (int round = 0; round < 5; ++round) {
    std::vector<std::unique_ptr<RawClient>> flood;
    for (int index = 0; index < 150; ++index) {
      flood.push_back(std::make_unique<RawClient>(front));
      std::string much;
      for (int one = 1; one <= 60; ++one) {
        const auto what = dice() % 4;
        much += what == 0   ? encodeHeartbeat()
                : what == 1 ? encodeSubmit(one, -5)
                : what == 2 ? encodeSubmit(one % 30 + 1, 500, "q",
                                           "00000000" + std::to_string(1000000 + dice() % 999999))
                            : encodeRevoke(one);
      }
      flood.back()->send(much);
    }
    std::string answer = front.exchangeBytes(encodeSubmit(1 + round), 1ms);
    const transport::TimePoint from = front.now();
    EXPECT_TRUE(front.runUntil(
        [&] {
          EXPECT_LE(front.clientListener.openSocketCount(), 101U);
          return front.contains(answer += front.exchangeBytes("", 1ms), "r\to\tw\n");
        },
        2s))
        << round << answer << front.clientListener.formatCounts() << front.router.formatCounts();
    longest = std::max(longest, front.now() - from);
    for (auto& rawClient : flood) rawClient->depart(kDepartures[dice() % 3]);
    front.runFor(20ms);
  }
  EXPECT_TRUE(front.runUntil([&] {
    return front.clientListener.openSocketCount() <= 2 && front.router.openRequestCount() == 0;
  })) << front.clientListener.formatCounts();
  EXPECT_EQ(front.clientListener.unsentBytes(), 0U);
  RecordProperty("longest_ms", static_cast<int>(longest / 1ms));
  std::printf("the other client waited %ld ms at most\n", static_cast<long>(longest / 1ms));
}

// ---- Randomized -----------------------------------------------------------------------------------------

// Clients disconnect in every way at random moments, most of them with queued requests: no attempt starts
// later than 100 ms after that. PADDLETRACK_DEPARTURES=10000 runs the full count.
TEST(ClientSession, StartsNoAttemptAfterGracePeriodWhenClientsLeaveAtRandom) {
  const char* const told = std::getenv("PADDLETRACK_DEPARTURES");
  const int wanted = told ? std::atoi(told) : 800;
  ClientDepartureFixture front(100);
  std::minstd_rand dice(17);
  std::map<std::string, std::pair<transport::TimePoint, transport::Clock::duration>> gone;
  // Time in which the loop did not run, on a busy machine, is no delay of the controller and is subtracted.
  transport::Clock::duration stood{};
  transport::TimePoint ticked = front.now();
  transport::ScheduledCall tick(front);
  tick.setAction([&] {
    const auto gap = front.now() - std::exchange(ticked, front.now());
    if (gap > 20ms) stood += gap;
    tick.runAt(front.now() + 1ms);
  });
  tick.runSoon();
  std::map<std::string, int> asked;
  int late = 0, lateNow = 0;
  std::chrono::microseconds worst{0};
  front.addEngine(1, [&](FakeEngine& self, Connection& to, const std::string& word, const std::string& id) {
    if (word != "ASK") return;
    ++asked[id];
    if (const auto at = gone.find(id); at != gone.end()) {
      const auto after = std::chrono::duration_cast<std::chrono::microseconds>(
          front.now() - at->second.first - (stood - at->second.second));
      worst = std::max(worst, after);
      late += after > kMaxStartAfterDeparture;
      ++lateNow;
    }
    if (dice() % 4 == 0)
      respondDone(self, to, word, id);  // the others keep their threads until their timeout
  });
  front.updateEndpoints({1});
  struct One {
    RawClient caller;
    std::vector<std::string> ids;
    transport::TimePoint leaves;
    Departure way;
  };
  std::list<One> there, kept;
  int departed = 0, waited = 0;
  unsigned number = 0;
  const auto step = [&] {
    while (there.size() < 60 && departed + static_cast<int>(there.size()) < wanted) {
      One& made = there.emplace_back(One{RawClient(front),
                                         {},
                                         front.now() + std::chrono::milliseconds(dice() % 80),
                                         kDepartures[dice() % 4]});
      std::string many;
      for (int index = 1; index <= 2; ++index) {
        std::array<char, 17> id;
        std::snprintf(id.data(), id.size(), "%016x", ++number);
        made.ids.emplace_back(id.data());
        many += protocol::thrift::encodeSubmit(
            index, {{"service", "q"}, {"ref", id.data()}, {"allow", "1500"}}, "select 1");
      }
      made.caller.send(many);
    }
    for (auto item = there.begin(); item != there.end();) {
      if (front.now() < item->leaves) {
        ++item;
        continue;
      }
      item->caller.depart(item->way, 1);
      if (item->way == Departure::cancel) item->caller.depart(item->way, 2);
      for (const std::string& id : item->ids) {
        gone[id] = {front.now(), stood};
        waited += asked.count(id) == 0;
      }
      ++departed;
      const auto going = item++;  // a half-closed connection stays for a while
      kept.splice(kept.end(), there, going);
      if (kept.size() > 20) kept.pop_front();
    }
    return departed >= wanted;
  };
  EXPECT_TRUE(front.runUntil(step, 120s));
  EXPECT_TRUE(front.runUntil([&] { return front.router.openRequestCount() == 0; }));
  EXPECT_EQ(late, 0) << worst.count() << " us at worst";
  EXPECT_GT(waited, wanted / 4);
  std::printf(
      "%d departures, %d jobs not yet sent on, %d asks after one, the last %ld us after, %d too late\n",
      departed, waited, lateNow, static_cast<long>(worst.count()), late);
}

}  // namespace
}  // namespace paddletrack::routing
