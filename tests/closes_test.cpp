// Clients that go, and connections that are closed, in the moment in which something else happens.
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

#include "front.hpp"
#include "operating/keeper.hpp"

namespace paddletrack::routing {
namespace {

constexpr int kNet = 181;
constexpr auto kGone = 100ms;  // the rule's: no dispatch begins later than this after its client has gone

enum class Way { close, reset, halfClose, revoke };
constexpr std::array<Way, 4> kWays{Way::close, Way::reset, Way::halfClose, Way::revoke};

// A client by hand: what it does, it does at once, whether or not the front's loop runs.
class Caller {
 public:
  explicit Caller(const Front& front, int receives = 0) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const Address to(front.listen);
    const int on = 1;
    if (receives > 0) ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receives, sizeof receives);
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd_, to.raw(), to.length()) != 0) std::abort();
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  Caller(Caller&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~Caller() { close(); }

  // So much of it as the kernel takes.
  std::size_t say(std::string_view text) const {
    const ssize_t sent = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  // All that has come; how it ended, if it did.
  std::string hear() const {
    std::string all;
    for (;;) {
      std::array<char, 16384> part;
      const ssize_t got = ::read(fd_, part.data(), part.size());
      if (got > 0) {
        all.append(part.data(), static_cast<std::size_t>(got));
        continue;
      }
      if (got == 0) all += "<closed>";
      if (got < 0 && errno != EAGAIN) all += "<reset>";
      return all;
    }
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void go(Way way, int sequence = 1) {
    const linger none{1, 0};
    if (way == Way::halfClose) ::shutdown(fd_, SHUT_WR);
    if (way == Way::revoke) say(revoke(sequence));
    if (way == Way::reset) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    if (way == Way::close || way == Way::reset) close();
  }

 private:
  int fd_;
};

struct Closes : Front {
  explicit Closes(std::size_t connections = 10, const std::string& more = "")
      : Front(kSite + more, kNet, connections) {}
  bool until(const std::function<bool()>& done, std::chrono::milliseconds longest = 5s) {
    for (const transport::Moment end = now() + longest; now() < end; pass(1ms))
      if (done()) return true;
    return done();
  }
  // Has the front say much that this client does not read, until so many bytes of it are backed up there.
  bool backUp(const Caller& caller, std::size_t bytesUnsent = 65537) {
    const std::string much = frame(1, std::string(4000, 'x'), 9, bytes(0, 1));  // it is told back
    return until([&] {
      if (clients.unsent() >= bytesUnsent) return true;
      for (int each = clients.unsent() > 0 ? 1 : 8; each > 0; --each) caller.say(much);
      return false;
    });
  }
  // An engine with a connection that is up, which answers nothing from now on.
  Peer& warm() {
    Peer& peer = executor(1, answers);
    list({1});
    EXPECT_TRUE(has(asked(submit(9)), "r\to\tw\n"));
    peer.raw = silence;
    peer.heard.clear();
    return peer;
  }
  // A job of its own for each number, from one client.
  static std::string numbered(int sequence, int allowMs = 3000) {
    std::array<char, 17> id;
    std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(sequence));
    return protocol::thrift::submit(
        sequence, {{"service", "q"}, {"ref", id.data()}, {"allow", std::to_string(allowMs)}}, "select 1");
  }
};

// The front once read nothing of a client whose answers were backed up: it had gone, and its job went on.
TEST(Closes, AClientThatGoesWhileItsAnswersAreBackedUpIsNoticed) {
  for (const Way way : kWays) {
    Closes front;
    Peer& peer = front.warm();
    Caller caller(front, 4096);
    caller.say(submit(1));
    ASSERT_TRUE(front.until([&] { return peer.heard == "ASK "; }));
    ASSERT_TRUE(front.backUp(caller));
    ASSERT_EQ(front.desk.open(), 1U);
    caller.go(way);
    // Well before the idle time would end it; the rule's 0.1 s is held below, over many.
    EXPECT_TRUE(front.until([&] { return front.desk.totals().left == 1; }, 400ms)) << static_cast<int>(way);
    EXPECT_TRUE(front.until([&] { return front.desk.open() == 0; })) << static_cast<int>(way);
    peer.heard.clear();
    front.pass(50ms);
    EXPECT_EQ(peer.heard.find("ASK"), std::string::npos) << static_cast<int>(way);
  }
}

// Whole requests waited in the input for their turn, and were sent on in it before what stood behind them was
// read.
TEST(Closes, ARequestThatWaitsInTheInputIsNotSentOnOnceItsClientHasGone) {
  for (const Way way : kWays) {
    Closes front;
    Peer& peer = front.warm();
    Caller caller(front, 4096);
    ASSERT_TRUE(front.backUp(caller));
    caller.say(submit(1));
    front.pass(5ms);
    caller.go(way);
    front.pass(5ms);
    if (way == Way::revoke || way == Way::halfClose)  // it reads on: answers leave, its request's turn comes
      front.until([&] { return caller.hear().empty() && front.clients.unsent() == 0; });
    front.pass(20ms);
    EXPECT_EQ(peer.heard, "") << static_cast<int>(way);
    EXPECT_EQ(front.desk.open(), 0U);
  }
}

// A process held off its core reads late, and not all at once: what has come by then tells that the client
// has gone, though it stands behind much else.
TEST(Closes, WhatIsReadLateIsNotSentOnWhereTheClientsEndIsThereToo) {
  for (const Way way : kWays) {
    Closes front;
    Peer& peer = front.warm();
    Caller caller(front);
    front.pass(5ms);
    std::string many;
    for (int each = 1; each <= 30; ++each) many += Closes::numbered(each);
    for (int each = 31; each <= 60; ++each) many += revoke(each);
    ASSERT_GT(many.size(), 4096U);  // more than one read takes
    caller.say(many);
    if (way != Way::revoke) caller.go(way);
    for (int each = 1; way == Way::revoke && each <= 30; ++each) caller.go(way, each);
    std::this_thread::sleep_for(kGone + 20ms);  // the loop stands still
    front.pass(20ms);
    EXPECT_EQ(peer.heard, "") << static_cast<int>(way);
    EXPECT_EQ(front.desk.open(), 0U);
  }
}

// One that pushes and never reads is ended soon, as its withdrawals could no longer be read; others are
// served all the while, and what it costs is bounded.
TEST(Closes, WhoPushesAndNeverReadsIsEnded) {
  Closes front;
  front.executor(1, answers);
  front.list({1});
  Caller pusher(front, 4096);
  ASSERT_TRUE(front.backUp(pusher));
  const std::string much = frame(1, std::string(4000, 'x'), 9, bytes(0, 1));
  std::size_t held = 0;
  int served = 0;
  EXPECT_TRUE(front.until(
      [&] {
        pusher.say(much);
        held = std::max(held, front.clients.unsent());
        served += front.has(front.asked(submit(1 + served % 9), 5ms), "r\to\tw\n");
        return front.clients.connected() == 1;
      },
      5s));
  EXPECT_TRUE(front.has(front.clients.counts(), "unfinished 1, idle 0")) << front.clients.counts();
  EXPECT_GT(served, 2);
  EXPECT_LT(held, 32 * 4200U + 65536U);
}

// A usual client reads slowly: all of its 32 requests are answered, however its answers are backed up.
TEST(Closes, WhoReadsSlowlyGetsAllOfItsAnswers) {
  Closes front(10, "familyInfo.kindCores=64\n");
  const std::string row = std::string(5990, 'v') + "\t\t\n";
  front.executor(1, [&](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") Peer::say(to, {id, "200", "batches=4", row});
    if (word == "NEXT")
      for (const char* each : {"batch=1", "batch=2", "batch=3"}) Peer::say(to, {id, "chunk", each, row});
  });
  front.list({1});
  Caller caller(front, 4096);
  std::string all;
  for (int each = 1; each <= 32; ++each) caller.say(Closes::numbered(each));
  EXPECT_TRUE(front.until([&] { return front.desk.totals().answers[1] == 32; }))
      << front.desk.counts() << front.clients.counts();
  const auto whole = [&] {
    std::size_t answers = 0, at = 0;
    while (const auto length = protocol::thrift::frameLength(std::string_view(all).substr(at))) {
      if (all.size() < at + 4 + *length) break;
      at += 4 + *length, ++answers;
    }
    return answers;
  };
  EXPECT_TRUE(front.until([&] { return all += caller.hear(), whole() == 32; })) << whole();
}

// ---- closes from this side ------------------------------------------------------------------------------

std::string beat() { return frame(1, "heartbeat", 90, bytes(0, 1)); }

// The idle end was due, and a request was already in the socket: it met a reset.
TEST(Closes, ARequestInTheMomentOfTheIdleEndIsServed) {
  Closes front;
  front.executor(1, answers);
  front.list({1});
  Caller caller(front);
  caller.say(beat());
  front.pass(20ms);
  EXPECT_FALSE(caller.hear().empty());
  std::this_thread::sleep_for(720ms);  // the loop stands still past the 700 ms
  caller.say(submit(1));
  front.pass(100ms);
  EXPECT_TRUE(front.has(caller.hear(), "r\to\tw\n"));
}

// The same for the one that a full house ends for another, in each turn of the loop at which it can happen.
TEST(Closes, ARequestInTheMomentOfAPushOutIsServedAndAnotherGoes) {
  Closes front;
  front.executor(1, answers);
  front.list({1});
  std::vector<std::unique_ptr<Caller>> callers;
  for (int each = 0; each < 9; ++each) {
    callers.push_back(std::make_unique<Caller>(front));
    callers.back()->say(beat());
    front.pass(5ms);
  }
  ASSERT_EQ(front.clients.connected(), 9U);
  bool said = false;
  transport::Call look(front);
  look.then([&] {
    if (!said && front.clients.connected() == 10) said = true, callers[0]->say(submit(1));
    look.soon();
  });
  look.soon();
  Caller last(front);
  last.say(beat());
  EXPECT_TRUE(front.until([&] { return front.has(callers[0]->hear(), "r\to\tw\n"); }));
  EXPECT_TRUE(front.until([&] { return !last.hear().empty(); }));
  EXPECT_TRUE(said);
  EXPECT_TRUE(front.until([&] { return front.has(callers[1]->hear(), "<closed>"); }));
}

// What crosses a close is not sent on, and takes no answer along that the client has not read.
TEST(Closes, WhatComesAfterTheHalfCloseIsDroppedAndTheLastAnswerStays) {
  for (const bool unreadable : {false, true}) {
    Closes front;
    Peer& peer = front.executor(1, answers);
    front.list({1});
    Caller caller(front);
    caller.say(submit(1));
    EXPECT_TRUE(front.until([&] { return front.desk.totals().answers[1] == 1; }));
    front.pass(10ms);
    const std::string much(48 * 1024, 'x');
    if (unreadable) {
      caller.say(much);
      front.pass(10ms);
    } else {
      EXPECT_TRUE(front.until([&] { return front.clients.connected() == 0; }));
    }
    for (int each = 2; each <= 4; ++each) {
      caller.say(submit(each));
      front.pass(5ms);
    }
    const std::string heard = caller.hear();
    EXPECT_TRUE(front.has(heard, "r\to\tw\n")) << unreadable;
    EXPECT_TRUE(front.has(heard, "<closed>")) << unreadable;
    EXPECT_EQ(peer.heard, "ASK ") << unreadable;
    EXPECT_TRUE(front.until([&] { return front.clients.ending() == 1; }, 1s));  // the listener
  }
}

// ---- the process's end ----------------------------------------------------------------------------------

struct Leaving : Closes {
  explicit Leaving(std::size_t connections = 60)
      : Closes(connections, "familyInfo.kindCores=64\n"),
        keeper(*this, desk, clients, "n", drain::Terms{}, say, [this] { atExit(); }) {
    executor(1, answers);
    list({1});
  }
  void atExit() {
    over = true;
    connectedAtExit = clients.connected();
    openAtExit = desk.open();
    stop();
  }
  operating::Keeper keeper;
  bool over = false;
  std::size_t connectedAtExit = 0, openAtExit = 0;
};

// Clients that rest until the controller ends them, and speak around that moment, one each millisecond: each
// has its answer, or finds its connection closed with nothing of it sent on. None is reset.
TEST(Shutdown, ARequestInTheMomentOfTheEndIsAnsweredOrMeetsACleanClose) {
  Leaving front;
  std::set<std::string> asked;
  front.peers[0]->raw = [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") asked.insert(id);
    answers(self, to, word, id);
  };
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::string> heard(40);
  for (int each = 0; each < 40; ++each) {
    callers.push_back(std::make_unique<Caller>(front));
    callers.back()->say(beat());
  }
  front.pass(50ms);
  for (std::size_t each = 0; each < 40; ++each) EXPECT_FALSE(callers[each]->hear().empty());
  front.keeper.stop();
  front.keeper.stop();  // a second SIGTERM changes nothing
  const transport::Moment told = front.now();
  front.pass(400ms);
  for (const auto& each : callers) each->say(beat());  // else they would be idle
  front.pass(50ms);
  for (const auto& each : callers) each->hear();
  std::size_t next = 0;
  EXPECT_TRUE(front.until([&] {
    if (front.now() > told + 740ms + 5ms * next && next < 40) {
      callers[next]->say(Closes::numbered(static_cast<int>(next) + 1));
      ++next;
    }
    return front.over;
  }));
  front.pass(5ms);
  std::size_t answered = 0;
  for (std::size_t each = 0; each < 40; ++each) {
    heard[each] = callers[each]->hear();
    EXPECT_FALSE(front.has(heard[each], "<reset>")) << each;
    const bool served = front.has(heard[each], "r\to\tw\n");
    answered += served;
    EXPECT_TRUE(served || front.has(heard[each], "<closed>")) << each;
  }
  EXPECT_EQ(asked.size(), answered);
  EXPECT_GT(answered, 0U);
  EXPECT_EQ(front.connectedAtExit, 0U);
  EXPECT_EQ(front.openAtExit, 0U);
  EXPECT_TRUE(front.has(front.logged, "0 requests open at the end"));
}

// One waits in the backlog of a full house as the process decides to end: it is let in and answered.
TEST(Shutdown, WhoWaitsInTheBacklogAtTheEndIsLetInAndAnswered) {
  Leaving front;
  front.keeper.stop();
  front.pass(700ms);
  std::this_thread::sleep_for(10ms);
  std::optional<Caller> late;
  transport::Call look(front);  // in the very turn in which the end is decided
  look.then([&] {
    if (front.clients.ending() == 1 && !late && front.clients.closing()) {
      late.emplace(front);
      late->say(submit(1));
      return;
    }
    look.soon();
  });
  look.soon();
  std::string heard;
  EXPECT_TRUE(front.until([&] {
    if (late) heard += late->hear();
    return front.over;
  }));
  if (late) heard += late->hear();
  EXPECT_TRUE(front.has(heard, "r\to\tw\n") || front.has(heard, "<reset>")) << heard;
  EXPECT_EQ(front.openAtExit, 0U);
}

// Executors hang under long time-outs, a drain is under way, half a frame never becomes whole: it ends in
// time all the same, with each job answered before.
TEST(Shutdown, HungExecutorsAndADrainDoNotHoldItPastItsTime) {
  Leaving front;
  front.peers[0]->raw = silence;
  Caller caller(front), half(front);
  caller.say(Closes::numbered(1, 16000));
  half.say(submit(2).substr(0, 30));
  front.pass(30ms);
  EXPECT_EQ(front.keeper.ask(Span{20s}, std::nullopt, "test"), drain::Refusal::none);
  front.pass(20ms);
  const transport::Moment asked = front.now();
  front.keeper.stop();
  std::string heard;
  EXPECT_TRUE(front.until([&] { return heard += caller.hear(), front.over; }, 3s));
  EXPECT_LT(front.now() - asked, 2700ms);  // SIGKILL: the longest job, 2 s, and 0.7 s more
  heard += caller.hear();
  EXPECT_TRUE(front.has(heard, "refused") || front.has(heard, "cooldown") || front.has(heard, "failed"));
  EXPECT_TRUE(front.has(heard, "<closed>"));
  EXPECT_EQ(front.openAtExit, 0U);
}

// ---- floods ---------------------------------------------------------------------------------------------

// Many come at once, say much at once, part of it unusable, and go: others are served, and nothing stays.
TEST(Floods, ManyThatSayMuchAndGoKeepNobodyOut) {
  Closes front(100);
  front.executor(1, answers);
  front.list({1});
  std::minstd_rand dice(5);
  transport::Clock::duration longest{};
  EXPECT_FALSE(front.asked(beat()).empty());
  for (int round = 0; round < 5; ++round) {
    std::vector<std::unique_ptr<Caller>> flood;
    for (int each = 0; each < 150; ++each) {
      flood.push_back(std::make_unique<Caller>(front));
      std::string much;
      for (int one = 1; one <= 60; ++one) {
        const auto what = dice() % 4;
        much += what == 0   ? beat()
                : what == 1 ? submit(one, -5)
                : what == 2
                    ? submit(one % 30 + 1, 500, "q", "00000000" + std::to_string(1000000 + dice() % 999999))
                    : revoke(one);
      }
      flood.back()->say(much);
    }
    std::string answer = front.asked(submit(1 + round), 1ms);
    const transport::Moment from = front.now();
    EXPECT_TRUE(front.until(
        [&] {
          EXPECT_LE(front.clients.ending(), 101U);
          return front.has(answer += front.asked("", 1ms), "r\to\tw\n");
        },
        2s))
        << round << answer << front.clients.counts() << front.desk.counts();
    longest = std::max(longest, front.now() - from);
    for (auto& each : flood) each->go(kWays[dice() % 3]);
    front.pass(20ms);
  }
  EXPECT_TRUE(front.until([&] { return front.clients.ending() <= 2 && front.desk.open() == 0; }))
      << front.clients.counts();
  EXPECT_EQ(front.clients.unsent(), 0U);
  RecordProperty("longest_ms", static_cast<int>(longest / 1ms));
  std::printf("the other client waited %ld ms at most\n", static_cast<long>(longest / 1ms));
}

// ---- at random ------------------------------------------------------------------------------------------

// Departures in every way at random moments, most with jobs that wait for room: no dispatch begins later than
// the rule's 100 ms. PADDLETRACK_DEPARTURES=10000 for the full count.
TEST(Closes, NoDispatchBeginsLongAfterItsClientHasGone) {
  const char* const told = std::getenv("PADDLETRACK_DEPARTURES");
  const int wanted = told ? std::atoi(told) : 800;
  Closes front(100);
  std::minstd_rand dice(17);
  std::map<std::string, std::pair<transport::Moment, transport::Clock::duration>> gone;
  // What the whole loop stood still, on a busy machine, tells nothing of the front: it is taken off.
  transport::Clock::duration stood{};
  transport::Moment ticked = front.now();
  transport::Call tick(front);
  tick.then([&] {
    const auto gap = front.now() - std::exchange(ticked, front.now());
    if (gap > 20ms) stood += gap;
    tick.at(front.now() + 1ms);
  });
  tick.soon();
  std::map<std::string, int> asked;
  int late = 0, lateNow = 0;
  std::chrono::microseconds worst{0};
  front.executor(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
    if (word != "ASK") return;
    ++asked[id];
    if (const auto at = gone.find(id); at != gone.end()) {
      const auto after = std::chrono::duration_cast<std::chrono::microseconds>(
          front.now() - at->second.first - (stood - at->second.second));
      worst = std::max(worst, after);
      late += after > kGone;
      ++lateNow;
    }
    if (dice() % 4 == 0)
      answers(self, to, word, id);  // the others hold their threads until they are given up
  });
  front.list({1});
  struct One {
    Caller caller;
    std::vector<std::string> ids;
    transport::Moment leaves;
    Way way;
  };
  std::list<One> there, kept;
  int departed = 0, waited = 0;
  unsigned number = 0;
  const auto step = [&] {
    while (there.size() < 60 && departed + static_cast<int>(there.size()) < wanted) {
      One& made = there.emplace_back(
          One{Caller(front), {}, front.now() + std::chrono::milliseconds(dice() % 80), kWays[dice() % 4]});
      std::string many;
      for (int each = 1; each <= 2; ++each) {
        std::array<char, 17> id;
        std::snprintf(id.data(), id.size(), "%016x", ++number);
        made.ids.emplace_back(id.data());
        many += protocol::thrift::submit(each, {{"service", "q"}, {"ref", id.data()}, {"allow", "1500"}},
                                         "select 1");
      }
      made.caller.say(many);
    }
    for (auto each = there.begin(); each != there.end();) {
      if (front.now() < each->leaves) {
        ++each;
        continue;
      }
      each->caller.go(each->way, 1);
      if (each->way == Way::revoke) each->caller.go(each->way, 2);
      for (const std::string& id : each->ids) {
        gone[id] = {front.now(), stood};
        waited += asked.count(id) == 0;
      }
      ++departed;
      const auto going = each++;  // with a way back left open it stays for a while
      kept.splice(kept.end(), there, going);
      if (kept.size() > 20) kept.pop_front();
    }
    return departed >= wanted;
  };
  EXPECT_TRUE(front.until(step, 120s));
  EXPECT_TRUE(front.until([&] { return front.desk.open() == 0; }));
  EXPECT_EQ(late, 0) << worst.count() << " us at worst";
  EXPECT_GT(waited, wanted / 4);
  std::printf(
      "%d departures, %d jobs not yet sent on, %d asks after one, the last %ld us after, %d too late\n",
      departed, waited, lateNow, static_cast<long>(worst.count()), late);
}

}  // namespace
}  // namespace paddletrack::routing
