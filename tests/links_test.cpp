// Moments between a dispatch and its connection: what becomes of it when its client leaves, its engine drains
// or starts anew, its time ends or its answer comes just then. Each moment is forced, by doing both between
// two turns of the loop or by a peer that holds its word back.
#include <gtest/gtest.h>

#include "protocol/settings.hpp"
#include "routing/desk.hpp"
#include "standin/executor.hpp"
#include "standin/loop.hpp"

namespace paddletrack::routing {
namespace {

using namespace std::chrono_literals;
using transport::Address;
using transport::Connection;
using Peer = standin::Executor;
using paddletrack::Standing;

constexpr std::size_t kAgain = 0, kKeyed = 1, kOnce = 2;  // types, by effect
constexpr std::size_t kMoreThanAKernelTakes = 32 << 20;
constexpr auto kWindow = 150ms;  // of repeats, of the keyed type
const std::string kWithdrawing = "limits.cancelling=true\n";

std::string settings(const std::string& more) {
  std::string lines =
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=64\nprofiles.count=3\nlimits.mostTries=3\n"
      "limits.retryAfter=true\nlimits.maxRetryAfterUs=900000\nlimits.streamsPerConn=16\n"
      "limits.dialTimeoutUs=1000000\nlimits.idleCloseUs=9000000\ntickUs=5000\n";
  for (const auto& [number, effect] : {std::pair(0, "retryable"), {1, "dedup"}, {2, "fragile"}}) {
    const std::string at = "profiles." + std::to_string(number) + ".";
    lines += at + "name=t" + std::to_string(number) + "\n" + at + "idempotency=" + effect + "\n" + at +
             "onTimeUs=800000\n" + at + "giveUpUs=4000000\n" + at + "windowUs=150000\n";
  }
  return lines + more;
}

struct Front : standin::Loop {
  explicit Front(const std::string& more = "", std::size_t connections = 40)
      : told(protocol::decode(protocol::pathsOfLines(settings(more)))), links(connections) {}

  struct Client : Exchange::Asker {
    void answered(Exchange& exchange) override {
      all.push_back(exchange.answer);
      for (const Slice& page : exchange.pages) rows += page.view();
    }
    std::vector<Exchange::Answer> all;
    std::string rows;
  };

  static std::string at(int number) { return "127.0.121." + std::to_string(number) + ":18443"; }
  Peer& peer(int number, Peer::Raw script) {
    peers.push_back(std::make_unique<Peer>(*this, unsent, Address(at(number))));
    peers.back()->raw = std::move(script);
    return *peers.back();
  }
  void list(const std::vector<int>& numbers, Standing standing = Standing::ready, std::int64_t startedMs = 0,
            const std::string& id = "s", bool whole = false) {
    protocol::Change change;
    change.whole = whole;
    protocol::Entry entry{id, at(numbers.front()), "a", "m", 0, standing, startedMs};
    for (const int each : numbers) entry.more.push_back(at(each));
    change.entries.push_back(entry);
    desk.listed(change);
  }
  // A dispatch of it is out when this returns; no turn of the loop has passed.
  Exchange& take(std::size_t type, Span time = 2s, Slice statement = Slice(std::string("select 1"))) {
    auto made = std::make_unique<Exchange>();
    made->number = ++taken;
    made->type = &told.deployment.types[type];
    made->typeName = told.typeNames[type];
    made->reference = "00000000000000" + std::to_string(10 + taken);
    made->taken = desk.now();
    made->expires = made->taken + time;
    made->toldCost = 1ms;
    made->statement = std::move(statement);
    made->asker = &client;
    Exchange& exchange = *made;
    desk.take(std::move(made));
    return exchange;
  }
  std::uint64_t ends(Outcome outcome) const { return desk.totals().ends[static_cast<std::size_t>(outcome)]; }
  bool over(std::chrono::milliseconds most = 5s) {
    return until([&] { return desk.open() == 0; }, most);
  }
  void settle() {  // all that is on its way between sockets of this process has come
    for (int each = 0; each < 5; ++each) pass(1ms);
  }

  protocol::Told told;
  const std::size_t links;
  std::uint32_t taken = 0;
  std::string log;
  const Say say{[this](const Said& said) { log += std::string(said.topic) + ": " + said.line + "\n"; }};
  Client client;
  Desk desk{*this, unsent, told, {100, {told.sharedBy, links, told.dialTimeout, told.idleClose}}, 7, say};
  std::vector<std::unique_ptr<Peer>> peers;
};

void answers(Peer&, Connection& to, const std::string& word, const std::string& id) {
  if (word == "NOOP") Peer::say(to, {id, "alive", "-", ""});
  if (word == "ASK") Peer::say(to, {id, "200", "batches=1", "r\to\tw\n"});
}

// A listener that takes connections and reads nothing until it is told to.
class Stuffed {
 public:
  Stuffed(Front& front, int number)
      : front_(front), listener_(std::in_place, front, Address(Front::at(number))) {
    group_.spawn(listen());
  }
  std::size_t read = 0;  // bytes
  bool ended = false;
  bool taken() const { return descriptor_ || connection_; }
  void readOn() { group_.spawn(reading()); }
  void cut() { descriptor_.reset(), listener_.reset(); }

 private:
  transport::Task<> listen() {
    auto accepted = co_await listener_->accept();
    descriptor_ = std::move(accepted);
  }
  transport::Task<> reading() {
    connection_.emplace(front_, std::move(descriptor_), 1 << 20, 1 << 20, front_.unsent);
    for (;;) {
      const bool more = co_await connection_->receive();
      if (!more) break;
      read += connection_->input().view().size();
      connection_->input().consume(connection_->input().view().size());
    }
    ended = true;
  }
  Front& front_;
  std::optional<transport::Listener> listener_;
  std::unique_ptr<transport::Descriptor> descriptor_;
  std::optional<Connection> connection_;
  transport::Group group_{front_, [](const char*) {}};
};

// The kernel has taken all that it takes of a statement, and no more.
bool stuck(Front& front) {
  std::size_t before = 0;
  return front.until([&] {
    const bool still = front.unsent.held > 0 && front.unsent.held == before;
    before = front.unsent.held;
    return still && front.unsent.held < kMoreThanAKernelTakes;
  });
}

// ---- held for a dial ------------------------------------------------------------------------------------

TEST(Links, AHeldDispatchWhoseClientHasGoneIsNotWritten) {
  for (const std::string& more : {std::string(), kWithdrawing}) {
    Front front(more);
    Peer& peer = front.peer(1, answers);
    front.list({1});
    Exchange& exchange = front.take(kAgain);
    front.desk.left(exchange);  // its dial has just begun
    EXPECT_TRUE(front.over());
    front.settle();
    EXPECT_EQ(peer.heard, "") << more;
    EXPECT_EQ(front.ends(Outcome::neverSent), 1U) << front.desk.counts();
    EXPECT_TRUE(front.client.all.empty());
  }
}

TEST(Links, AHeldDispatchDoesNotReachAnotherIncarnation) {
  // A cold engine may have less than a job: nothing at all may be sent to the new process.
  for (const bool leaves : {false, true}) {
    Front front(
        "rules.coldUs=60000000\nrules.startCapacity=0.01\nrules.fallMultiple=1\nrules.fallUs=1000000\n");
    Peer& peer = front.peer(1, answers);
    front.list({1});
    front.take(kAgain);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    if (leaves) front.list({1}, Standing::gone);
    front.list({1}, Standing::ready, started);
    EXPECT_TRUE(front.over());
    front.settle();
    EXPECT_EQ(peer.heard, "") << leaves;
    EXPECT_EQ(front.ends(Outcome::neverSent), 1U) << front.desk.counts();
    EXPECT_EQ(front.client.all, std::vector{Exchange::Answer::throttled});
  }
}

TEST(Links, AHeldDispatchDoesNotReachAnEngineThatDrains) {
  for (const Standing standing : {Standing::draining, Standing::gone}) {
    Front front;
    Peer& peer = front.peer(1, answers);
    front.list({1});
    front.take(kOnce);
    front.list({1}, standing);
    EXPECT_TRUE(front.over());
    front.settle();
    EXPECT_EQ(peer.heard, "");
    EXPECT_EQ(front.client.all, std::vector{Exchange::Answer::throttled});  // it surely never ran
    const bool forgotten = front.until([&] { return !front.desk.ready(); }, 100ms);
    EXPECT_EQ(forgotten, standing == Standing::gone);
  }
}

// The loop stands still while its dial comes up, past its time.
TEST(Links, AHeldDispatchWhoseTimeIsOverIsNotWritten) {
  Front front;
  Peer& peer = front.peer(1, answers);
  front.list({1});
  front.take(kAgain, 30ms);
  const transport::Moment end = front.now() + 30ms;
  transport::Call stall(front, [&] {
    while (front.now() <= end) continue;
  });
  stall.soon();
  EXPECT_TRUE(front.over());
  front.settle();
  EXPECT_EQ(peer.heard, "");
  EXPECT_EQ(front.client.all.size(), 1U);
}

// Its first address ended it before it said a word, so it must show life before it takes anything; it holds
// that back until the window is over.
TEST(Links, AHeldRepeatIsNotWrittenPastItsRepeatWindow) {
  Front front;
  Connection* asked = nullptr;
  std::string tag;
  Peer& peer = front.peer(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") return self.heard == "ASK " ? to.shut() : answers(self, to, word, id);
    asked = &to, tag = id;
  });
  front.list({2, 1});  // nobody listens at the other
  front.take(kKeyed);
  const transport::Moment end = front.now() + kWindow;
  ASSERT_TRUE(front.until([&] { return asked != nullptr; }));
  ASSERT_LT(front.now(), end);  // the repeat is held, in good time
  ASSERT_TRUE(front.until([&] { return front.now() >= end; }));
  Peer::say(*asked, {tag, "alive", "-", ""});
  EXPECT_TRUE(front.over());
  front.settle();
  EXPECT_EQ(peer.heard, "ASK ");
  ASSERT_EQ(front.client.all.size(), 1U);
  EXPECT_NE(front.client.all[0], Exchange::Answer::done);
}

// ---- not whole at the kernel ----------------------------------------------------------------------------

TEST(Links, WhatIsNotWholeWhenItsClientGoesNeverComesWhole) {
  for (const std::string& more : {std::string(), kWithdrawing}) {
    Front front(more);
    Stuffed peer(front, 3);
    front.list({3});
    Exchange& exchange = front.take(kAgain, 2s, Slice(std::string(kMoreThanAKernelTakes, 's')));
    ASSERT_TRUE(stuck(front));
    front.desk.left(exchange);
    front.settle();
    peer.readOn();
    EXPECT_TRUE(front.until([&] { return peer.ended; }, 3s)) << more;
    EXPECT_GT(peer.read, 0U);
    EXPECT_LT(peer.read, kMoreThanAKernelTakes) << more;
    EXPECT_EQ(front.desk.open(), 0U);
  }
}

TEST(Links, WhatIsNotWholeMovesToNoOtherIncarnation) {
  for (const bool anew : {false, true}) {
    Front front(
        "rules.coldUs=60000000\nrules.startCapacity=0.01\nrules.fallMultiple=1\nrules.fallUs=1000000\n");
    Stuffed first(front, 3);
    Peer& second = front.peer(1, answers);
    front.list({3, 1});
    front.take(kOnce, 2s, Slice(std::string(kMoreThanAKernelTakes, 's')));
    ASSERT_TRUE(stuck(front));
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    if (anew) front.list({3, 1}, Standing::ready, started);
    first.cut();
    EXPECT_TRUE(front.over());
    front.settle();
    EXPECT_EQ(second.heard, anew ? "" : "ASK ") << front.desk.counts() << front.log;
    EXPECT_EQ(front.client.all, std::vector{anew ? Exchange::Answer::throttled : Exchange::Answer::done});
  }
}

// The repeat is stuck midway as its window ends: the rest of it never comes.
TEST(Links, ARepeatThatIsNotWholeAtItsWindowsEndNeverComesWhole) {
  Front front("profiles.1.windowUs=1000000\n");
  Peer& first = front.peer(1, [](Peer& self, Connection& to, const std::string& word, const std::string&) {
    if (word == "ASK") to.shut();
    if (word == "ASK") self.close(0);
  });
  Stuffed second(front, 3);
  front.list({1}, Standing::ready, 0, "one");
  front.take(kKeyed, 4s, Slice(std::string(kMoreThanAKernelTakes, 's')));
  const transport::Moment end = front.now() + 1s;
  front.list({3}, Standing::ready, 0, "two");
  ASSERT_TRUE(front.until([&] { return second.taken(); }));
  ASSERT_TRUE(stuck(front));
  ASSERT_LT(front.now(), end);
  ASSERT_TRUE(front.until([&] { return front.now() >= end; }));
  second.readOn();
  EXPECT_TRUE(front.until([&] { return second.ended; }, 2s));
  EXPECT_LT(second.read, kMoreThanAKernelTakes);
  EXPECT_EQ(first.heard, "ASK ");
  EXPECT_TRUE(front.over());
  ASSERT_EQ(front.client.all.size(), 1U);
  EXPECT_NE(front.client.all[0], Exchange::Answer::done);
}

// Nothing of it was taken on, by a bound of this process's own: it never ran, and a run-once job may go
// again.
TEST(Links, WhatABoundRefusedIsUnrun) {
  Front front(kWithdrawing, 1);  // one connection: all that is held waits for it
  front.peer(1, answers);
  front.list({1});
  for (int each = 0; each < 3; ++each) front.take(kOnce);
  const std::size_t held = std::exchange(front.unsent.held, 2 * front.unsent.most);
  ASSERT_TRUE(front.until([&] { return front.ends(Outcome::unreachable) >= 3; }, 500ms))
      << front.desk.counts();
  front.unsent.held -= 2 * front.unsent.most - held;
  EXPECT_TRUE(front.over());
  EXPECT_EQ(front.ends(Outcome::reset), 0U) << front.desk.counts();
  const auto& all = front.client.all;
  EXPECT_EQ(std::count(all.begin(), all.end(), Exchange::Answer::cancelled), 0);
}

// ---- ends and answers that cross ------------------------------------------------------------------------

// By how much of it the executor had: none (it closes the idle connection in the turn of the dispatch), a
// part, or all.
TEST(Links, ARunOnceStatementGoesAgainOnlyIfItWasNotWhole) {
  for (const bool closed : {true, false}) {
    Front front;
    int asks = 0;
    Peer& peer =
        front.peer(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
          asks += word == "ASK" ? 1 : 0;
          answers(self, to, word, id);
        });
    front.list({1});
    front.take(kOnce);
    ASSERT_TRUE(front.over());
    // Two turns after the cut its end is known to the poll, and this call comes before the link's own.
    transport::Call second(front, [&] { front.take(kOnce); });
    transport::Call first(front, [&] { second.soon(); });
    transport::Call cut(front, [&] {
      peer.cut();
      closed ? first.soon() : static_cast<void>(front.take(kOnce));
    });
    cut.soon();
    ASSERT_TRUE(front.until([&] { return front.taken == 2 && front.desk.open() == 0; }));
    EXPECT_EQ(asks, closed ? 2 : 1);  // written as it closes: it may have run, and is not sent twice
    EXPECT_EQ(front.client.all.back(), closed ? Exchange::Answer::done : Exchange::Answer::cancelled);
  }
  for (const bool whole : {false, true}) {
    Front front;
    Stuffed first(front, 3);
    Peer& second = front.peer(1, answers);
    front.list({3}, Standing::ready, 0, "one");
    front.take(kOnce, 2s, Slice(std::string(whole ? 10 : kMoreThanAKernelTakes, 's')));
    front.list({1}, Standing::ready, 0, "two");
    ASSERT_TRUE(whole ? front.until([&] { return first.taken() && front.unsent.held == 0; }) : stuck(front));
    front.settle();
    first.cut();
    EXPECT_TRUE(front.over());
    EXPECT_EQ(second.heard, whole ? "" : "ASK ") << front.desk.counts();
    EXPECT_EQ(front.client.all, std::vector{whole ? Exchange::Answer::cancelled : Exchange::Answer::done});
  }
}

// A second answer that says the contrary: it ran, whatever comes then.
TEST(Links, ALateRefusalOfWhatHasAnsweredIsNoProofThatItNeverRan) {
  for (const std::string& word : {std::string("503"), std::string("504")}) {
    Front front;
    Peer& peer = front.peer(1, [&](Peer&, Connection& to, const std::string& what, const std::string& id) {
      if (what == "ASK") Peer::say(to, {id, "200", "batches=2", "one\t\t\n"});
      if (what == "ASK") Peer::say(to, {id, word, "-", ""});
      if (what == "NEXT") Peer::say(to, {id, "chunk", "batch=1", "two\t\t\n"});
    });
    front.list({1});
    front.take(kOnce);
    EXPECT_TRUE(front.over());
    EXPECT_EQ(peer.heard, "ASK NEXT 1 ");
    EXPECT_EQ(front.client.rows, "one\t\t\ntwo\t\t\n");
  }
}

// The answer is at this process's kernel, and the loop comes to look only when the time is over, or when its
// client has gone.
TEST(Links, AnAnswerThatCrossesItsTimeOutOrItsClientsLeavingEndsItOnce) {
  for (const bool leaves : {false, true}) {
    Front front(kWithdrawing);
    Exchange* exchange = nullptr;
    transport::Moment end{};
    transport::Call cross(front, [&] {  // the peer has written: its turn came before
      if (leaves) return front.desk.left(*exchange);
      while (front.now() <= end) continue;
    });
    Peer& peer =
        front.peer(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
          answers(self, to, word, id);
          if (word == "ASK" && self.heard == "ASK ") cross.soon();
        });
    front.list({1});
    exchange = &front.take(kAgain, 300ms);
    end = front.now() + 300ms;
    EXPECT_TRUE(front.over());
    front.settle();
    EXPECT_EQ(front.client.all.size(), leaves ? 0U : 1U);
    EXPECT_EQ(front.ends(Outcome::done) + front.ends(Outcome::timedOut) + front.ends(Outcome::withdrawn), 1U)
        << front.desk.counts();
    const std::uint64_t before = front.ends(Outcome::done);
    front.take(kAgain);  // what comes next on that connection is its own
    EXPECT_TRUE(front.over());
    EXPECT_EQ(front.ends(Outcome::done), before + 1);
    EXPECT_EQ(peer.connections.size(), 1U);
  }
}

// The first attempt answers after all, as the repeat is written: an id goes over a connection once, and the
// end of the first has been told.
TEST(Links, AnAnswerOfTheFirstAsTheRepeatIsWrittenCountsNoMore) {
  Front front;
  Connection* first = nullptr;
  Peer& peer = front.peer(1, [&](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word != "ASK") return;
    if (!first) {
      first = &to;
      return Peer::say(to, {id, "500", "-", ""});
    }
    Peer::say(*first, {id, "200", "batches=1", "old\t\t\n"});
    Peer::say(to, {id, "200", "batches=1", "new\t\t\n"});
  });
  front.list({1});
  front.take(kAgain);
  EXPECT_TRUE(front.over());
  front.settle();
  EXPECT_EQ(front.client.rows, "new\t\t\n");
  EXPECT_EQ(peer.connections.size(), 2U);
  EXPECT_EQ(front.ends(Outcome::done), 1U);
}

// All on one connection, which ends: each end sets off further dispatches while the others are still told.
TEST(Links, ManyEndsInOneTurnKeepToTheBudgetOfFurtherDispatches) {
  Front front(kWithdrawing + "rules.extraFloor=3\nrules.repeatRatio=0\nrules.budgetSpanUs=10000000\n", 1);
  int asks = 0;
  Peer& peer = front.peer(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
    if (word != "ASK") return;
    if (++asks == 10) to.shut();
    if (asks > 10) answers(self, to, word, id);
  });
  front.list({1});
  for (int each = 0; each < 10; ++each) front.take(kAgain);
  EXPECT_TRUE(front.over());
  front.settle();
  EXPECT_EQ(front.ends(Outcome::reset), 10U) << front.desk.counts();
  EXPECT_EQ(asks, 13);
  EXPECT_EQ(front.client.all.size(), 10U);
  EXPECT_EQ(peer.heard.size(), 13U * 4);
}

// This process stands still midway in an answer, for longer than an executor may: the rest lies in its
// kernel.
TEST(Links, AnAnswerWhoseRestCameWhileThisProcessStoodStillCounts) {
  Front front("limits.dialTimeoutUs=400000\n");
  Connection* to = nullptr;
  std::string rest;
  front.peer(1, [&](Peer&, Connection& asked, const std::string& word, const std::string& id) {
    if (word != "ASK") return;
    to = &asked;
    rest = "\r\n$3\r\n200\r\n$9\r\nbatches=1\r\n$6\r\nr\to\tw\n\r\n";
    asked.send({Slice("*4\r\n$16\r\n" + id)});
  });
  front.list({1});
  front.take(kOnce);
  ASSERT_TRUE(front.until([&] { return to != nullptr; }));
  front.settle();                     // it has the first half
  transport::Call stall(front, [&] {  // the peer's write has its turn before
    for (const transport::Moment end = front.now() + 900ms; front.now() < end;) continue;
  });
  to->send({Slice(rest)});
  stall.soon();
  EXPECT_TRUE(front.over());
  EXPECT_EQ(front.client.all, std::vector{Exchange::Answer::done}) << front.desk.counts();
}

// Half a line on a resting connection belongs to nobody's answer: what is sent there next would end with it.
// It harms no job that takes another, and a connection that is shut over it ends nothing else.
TEST(Links, HalfALineOnARestingConnectionCostsNoRunOnceJob) {
  for (const bool retired : {false, true}) {
    Front front;
    int asks = 0;
    Peer& peer =
        front.peer(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
          asks += word == "ASK" ? 1 : 0;
          answers(self, to, word, id);
          if (asks == 1) to.send({Slice("*4\r\n$16\r\n" + id)});
        });
    front.list({1});
    front.take(kOnce);
    ASSERT_TRUE(front.over());
    front.settle();
    if (retired) front.list({1}, Standing::draining);
    if (retired) front.list({1});
    front.take(kOnce);
    EXPECT_TRUE(front.over());
    EXPECT_EQ(front.client.all, (std::vector{Exchange::Answer::done, Exchange::Answer::done}));
    EXPECT_EQ(asks, 2);
    EXPECT_EQ(peer.connections.size(), 2U);
  }
}

// ---- hand-overs -----------------------------------------------------------------------------------------

// Moved to a dial that hears nothing, where it ends in each way there is.
TEST(Links, AMovedDispatchEndsOnceInEachWay) {
  for (const std::string way : {"left", "time", "gone", "process"}) {
    Front front("limits.dialTimeoutUs=1200000\n" + (way == "left" ? kWithdrawing : ""));
    Stuffed first(front, 3);
    const standin::Mute mute(Address(Front::at(4)));
    front.list({3, 4});
    Exchange& exchange = front.take(kOnce, 900ms, Slice(std::string(kMoreThanAKernelTakes, 's')));
    ASSERT_TRUE(stuck(front));
    first.cut();
    ASSERT_TRUE(front.until([&] { return front.desk.counts().ends_with("1 dispatches moved"); }, 500ms))
        << way;
    if (way == "left") front.desk.left(exchange);
    if (way == "gone") front.list({3, 4}, Standing::gone);
    if (way == "process") front.desk.endAll();
    const bool later = way == "time" || way == "gone";
    EXPECT_TRUE(front.over(later ? 5000ms : 100ms)) << way << front.desk.counts();
    EXPECT_EQ(front.client.all.size(), way == "left" ? 0U : 1U) << way;
    std::uint64_t ends = 0;
    for (const std::uint64_t each : front.desk.totals().ends) ends += each;
    EXPECT_EQ(ends, 1U) << way << front.desk.counts();
    front.list({3, 4}, Standing::gone);  // its link goes with its dial, and then the engine is forgotten
    EXPECT_TRUE(
        front.until([&] { return front.desk.counts().find("; 0 executors") != std::string::npos; }, 5s))
        << way << front.desk.counts();
  }
}

// ---- answers without an end -----------------------------------------------------------------------------

TEST(Links, AnAnswerThatNeverEndsCostsItsConnectionByTimeOrByBytes) {
  for (const bool drips : {true, false}) {
    Front front("limits.dialTimeoutUs=50000\n");
    Connection* to = nullptr;
    transport::Call drip(front);
    drip.then([&] {
      to->send({Slice(drips ? std::string("x") : std::string(5990, 'x') + "\r\n$5990\r\n")});
      drip.at(front.now() + 2ms);
    });
    front.peer(1, [&](Peer& self, Connection& asked, const std::string& word, const std::string& id) {
      if (word != "ASK") return;
      if (to) return answers(self, asked, word, id);
      to = &asked;
      asked.send({Slice("*8\r\n$16\r\n" + id + "\r\n$3\r\n200\r\n$9\r\nbatches=1\r\n$5990\r\n")});
      drip.at(front.now());
    });
    front.list({1});
    front.take(kAgain);
    EXPECT_TRUE(
        front.until([&] { return front.ends(Outcome::spoilt) + front.ends(Outcome::reset) == 1; }, 1s))
        << front.desk.counts();
    drip.cancel();
    EXPECT_TRUE(front.over());
    EXPECT_EQ(front.client.rows, "r\to\tw\n");
  }
}

}  // namespace
}  // namespace paddletrack::routing
