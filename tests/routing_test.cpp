// What the front makes of usual and unusual peers.
#include "front.hpp"

namespace paddletrack::routing {
namespace {

TEST(Routing, AHeartbeatIsGoodUntilTheProcessLeaves) {
  Front front;
  const std::string early = front.asked(frame(1, "heartbeat", 0, bytes(0, 1)));
  EXPECT_EQ(early[early.size() - 3], 0);  // no executor is known yet
  front.list({1});
  const std::string yes = front.asked(frame(1, "heartbeat", 1, bytes(0, 1)));
  struct : Gate {
    bool beat() override { return false; }
    std::optional<Span> turnsAway() override { return 700ms; }
  } shut;
  front.clients.guard(&shut);
  const std::string no = front.asked(frame(1, "heartbeat", 2, bytes(0, 1)));
  ASSERT_EQ(yes.size(), no.size());
  EXPECT_EQ(yes[yes.size() - 3], 1);
  EXPECT_EQ(no[no.size() - 3], 0);
  const std::string away = front.asked(submit(3));  // at once, and the desk has not seen it
  EXPECT_TRUE(front.has(away, "cooldown") && front.has(away, "700"));
  EXPECT_EQ(front.desk.totals().taken, 0U);
}

TEST(Routing, PagesComeInAnyOrderAndLeaveInTheirs) {
  Front front;
  Peer& peer = front.executor(1, [](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") Peer::say(to, {id, "200", "batches=3", "one\t\t\n"});
    if (word != "NEXT") return;
    static int asked = 0;
    if (++asked < 2) return;
    Peer::say(to, {id, "chunk", "batch=2", "three\t\t\n"});
    Peer::say(to, {id, "chunk", "batch=2", "again\t\t\n"});
    Peer::say(to, {id, "chunk", "batch=1", "two\t\t\n"});
  });
  front.list({1});
  EXPECT_TRUE(front.has(front.asked(submit(1)), "one\t\t\ntwo\t\t\nthree\t\t\n"));
  EXPECT_EQ(peer.heard, "ASK NEXT 1 NEXT 2 ");
}

// A page that its executor has lost: the whole dispatch has failed, and a restartable job is sent again.
TEST(Routing, ALostPageFailsTheDispatch) {
  Front front;
  int asks = 0;
  Peer& peer = front.executor(1, [&](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK" && ++asks == 1) return Peer::say(to, {id, "200", "batches=2", "old\t\t\n"});
    if (word == "ASK") return Peer::say(to, {id, "200", "batches=1", "new\t\t\n"});
    Peer::say(to, {id, "500", "-", ""});
  });
  front.list({1});
  const std::string answer = front.asked(submit(1), 150ms);
  EXPECT_TRUE(front.has(answer, "new\t\t\n"));
  EXPECT_FALSE(front.has(answer, "old\t\t\n"));
  EXPECT_EQ(peer.connections.size(), 2U);  // the id goes over a connection once
}

TEST(Routing, ARefusedDialIsUnrunAndAResetIsSentAgain) {
  Front front;
  int asks = 0;
  front.executor(2, [&](Peer& peer, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK" && ++asks == 1) return to.shut();
    answers(peer, to, word, id);
  });
  front.list({1, 2});  // nobody listens at the first
  for (int each = 1; each <= 4; ++each)
    EXPECT_TRUE(front.has(front.asked(submit(each), 150ms), "r\to\tw\n")) << each;
  EXPECT_TRUE(front.has(front.desk.counts(), "unreachable"));
  EXPECT_TRUE(front.has(front.desk.counts(), "1 reset"));
}

TEST(Routing, AFullExecutorIsPassedOver) {
  Front front;
  front.executor(1, [](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") Peer::say(to, {id, "503", "-", ""});
  });
  front.executor(2, answers);
  front.list({1, 2});
  for (int each = 1; each <= 4; ++each) EXPECT_TRUE(front.has(front.asked(submit(each)), "r\to\tw\n"));
}

TEST(Routing, AJobNotAnsweredInItsTimeIsQuitAndThrottledThen) {
  Front front;
  Peer& peer = front.executor(1, silence);
  front.list({1});
  EXPECT_FALSE(front.has(front.asked(submit(1, 150), 120ms), "cooldown"));
  EXPECT_TRUE(front.has(front.asked("", 60ms), "cooldown"));
  EXPECT_EQ(peer.heard, "ASK QUIT ");
  EXPECT_EQ(front.desk.open(), 0U);
}

// On a busy core requests are read and answers written some tens of milliseconds late: a few clients in ten
// thousand once got their last answer after the rule's time.
TEST(Routing, TheLastAnswerLeavesAheadOfTheClientsTime) {
  Front front(kSite + "rules.answerSlackUs=20000\n");
  front.executor(1, silence);
  front.list({1});
  EXPECT_FALSE(front.has(front.asked(submit(1, 320), 280ms), "cooldown"));
  EXPECT_TRUE(front.has(front.asked("", 36ms), "cooldown"));
}

TEST(Routing, ARevokedOrLostClientIsOwedNothing) {
  Front front;
  Peer& peer = front.executor(1, silence);
  front.list({1});
  front.asked(submit(1));
  EXPECT_EQ(front.asked(revoke(1)), "");
  EXPECT_EQ(peer.heard, "ASK QUIT ");
  EXPECT_EQ(front.asked(revoke(1) + revoke(7)), "");
  front.asked(submit(2));
  front.client->shut();
  front.pass(5ms);
  front.client.reset();
  front.pass(20ms);
  EXPECT_EQ(peer.heard, "ASK QUIT ASK QUIT ");
  EXPECT_EQ(front.desk.open(), 0U);
}

// Without it executors could not tell a keyed job's second dispatch from another job.
TEST(Routing, AnIdempotencyKeyGoesOnWithEachDispatchAndBringsNoOtherField) {
  Front front;
  std::string asked;
  Peer& peer = front.executor(1, [&](Peer& self, Connection& connection, const std::string& word,
                                     const std::string& id) {
    asked += connection.input().view();
    if (self.heard == "ASK ") return connection.shut();
    answers(self, connection, word, id);
  });
  front.list({1});
  const auto keyed = [](int sequence, const std::string& key) {
    return protocol::thrift::submit(
        sequence, {{"service", "q"}, {"ref", "00000000000000a1"}, {"allow", "2000"}, {"replay", key}}, "select 1");
  };
  EXPECT_TRUE(front.has(front.asked(keyed(1, "a76a927daf55dc95"), 200ms), "r\to\tw"));
  EXPECT_EQ(peer.heard, "ASK ASK ");
  const std::size_t first = asked.find(",once=a76a927daf55dc95\r\n");
  ASSERT_NE(first, std::string::npos);
  EXPECT_NE(asked.find(",once=a76a927daf55dc95\r\n", first + 1), std::string::npos);
  for (const std::string& bad : {std::string("a,class=r"), std::string("a=b"), std::string("a\r\n"),
                                 std::string(300, 'a')})
    EXPECT_TRUE(front.has(front.asked(keyed(2, bad)), "replay: it can't be passed on")) << bad;
  EXPECT_EQ(peer.heard, "ASK ASK ");
}

TEST(Routing, WhatCanBeTrustedGetsAnExceptionAndOthersGoOn) {
  Front front;
  front.executor(1, answers);
  front.list({1});
  EXPECT_TRUE(front.has(front.asked(frame(1, "drop", 1, bytes(0, 1))), "unknown method"));
  EXPECT_TRUE(front.has(front.asked(submit(2, 2000, "unknown")), "service: 'unknown' is unknown"));
  EXPECT_TRUE(front.has(front.asked(submit(3, -5)), "allow: '-5' can't be used"));
  EXPECT_TRUE(front.has(front.asked(submit(4, 2000, "q", "short")), "16 hex digits"));
  EXPECT_TRUE(front.has(front.asked(frame(1, "submit", 5, bytes(9, 1))), "the frame ends early"));
  EXPECT_TRUE(front.has(front.asked(submit(6)), "r\to\tw\n"));
}

TEST(Routing, WhatCantBeTrustedClosesItsConnectionAlone) {
  for (const std::string& bad : {text("GET / HTTP/1.1"), bytes(0x7fffffff, 4), submit(1) + submit(1),
                                 frame(2, "submit", 1, ""), frame(4, "revoke", 1, bytes(0, 1))}) {
    Front front;
    front.executor(1, silence);
    front.list({1});
    EXPECT_TRUE(front.has(front.asked(bad), "<closed>"));
    front.client.reset();
    EXPECT_FALSE(front.asked(frame(1, "heartbeat", 1, bytes(0, 1))).empty());
    EXPECT_EQ(front.desk.open(), 0U);
  }
}

// Silent connections once stayed for good, and a byte now and then kept half a message alive.
TEST(Routing, AConnectionWithoutAWholeMessageIsEndedInTime) {
  Front front;
  front.executor(1, answers);
  front.list({1});
  EXPECT_EQ(front.asked("", 60ms), "");
  EXPECT_EQ(front.asked("", 80ms), "<closed>");
  front.client.reset();
  EXPECT_TRUE(front.has(front.asked(submit(1)), "r\to\tw\n"));
  std::string dripped;
  for (const char each : text("0123")) dripped += front.asked(std::string(1, each), 30ms);
  EXPECT_EQ(dripped, "<closed>");
  front.client.reset();
  EXPECT_TRUE(front.has(front.asked(submit(2)), "r\to\tw\n"));
  EXPECT_EQ(front.asked("", 500ms), "");  // kept while clients keep theirs
  EXPECT_EQ(front.asked("", 300ms), "<closed>");
  EXPECT_TRUE(front.has(front.clients.counts(), "unfinished 2, idle 1"));
}

TEST(Routing, AFullHouseEndsWhoHasShownLeast) {
  Front front;
  front.executor(1, answers);
  front.list({1});
  EXPECT_TRUE(front.has(front.asked(submit(1)), "r\to\tw\n"));
  std::vector<std::unique_ptr<Connection>> silent;
  for (int each = 0; each < 12; ++each) silent.push_back(front.connected());
  EXPECT_TRUE(front.has(front.asked(submit(2)), "r\to\tw\n"));  // it came first, but it asked
  EXPECT_TRUE(front.has(front.clients.counts(), "for others 4"));
}

// Connections that asked once and were kept for good filled the house; each new one was ended as the one that
// had shown least, before it could ask.
TEST(Routing, AConnectionThatHasJustComeDoesNotGoForAnIdleOne) {
  Front front;
  front.executor(1, answers);
  front.list({1});
  for (int each = 1; each <= 14; ++each) {
    EXPECT_TRUE(front.has(front.asked(submit(each), 30ms), "r\to\tw\n")) << each;
    front.kept.push_back(std::move(front.client));
  }
}

// Executors call a second statement under an id an error, whichever connection it came over.
TEST(Routing, AReferenceInUseIsRefusedOnEveryConnection) {
  Front front;
  Peer& peer = front.executor(1, silence);
  front.list({1});
  front.asked(submit(1), 20ms);
  front.kept.push_back(std::move(front.client));
  EXPECT_TRUE(front.has(front.asked(submit(11), 20ms), "in use"));
  EXPECT_EQ(peer.heard, "ASK ");
  std::string many;
  for (int each = 1; each <= 9; ++each) many += submit(each * 10 + 1);
  EXPECT_TRUE(front.has(front.asked(many, 20ms), "<closed>"));  // the same again and again
}

TEST(Routing, AnExecutorThatCantBeReadLosesItsConnection) {
  Front front;
  int asks = 0;
  front.executor(1, [&](Peer& peer, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK" && ++asks == 1) return to.send({Slice(std::string("HTTP/1.1 200 OK\r\n\r\n"))});
    answers(peer, to, word, id);
  });
  front.list({1});
  EXPECT_TRUE(front.has(front.asked(submit(1), 150ms), "r\to\tw\n"));
  EXPECT_TRUE(front.has(front.logged, "connection given up"));
}

// Notes of progress, on which there is no page, once cost every connection that carried one.
TEST(Routing, AMessageWithoutAPageIsDropped) {
  Front front;
  front.executor(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
    Peer::say(to, {id, "status", "odd", ""});
    answers(self, to, word, id);
  });
  front.list({1});
  EXPECT_TRUE(front.has(front.asked(submit(1)), "r\to\tw\n"));
  EXPECT_TRUE(front.has(front.desk.counts(), "1 done; "));
}

// One spoilt answer leaves its connection of no more use, in silence or with noise. That is no evidence
// against the executor, and what shares a process but not the connection goes on.
TEST(Routing, WhatIsSpoiltEndsItsConnectionAndIsSentAgain) {
  using Words = std::vector<std::string>;
  for (const Words& bad :
       {Words{"200", "batches=many", ""}, Words{"2\x01\x7f", "-", ""}, Words{"200", "batches=0", ""},
        Words{"200", "-", "a\tb\n"}, Words{"200", "-", "a\tb\tc"}, Words{"200", "batches=65", "\t\t\n"},
        Words{"200", "-", std::string(6001, 'x')}, Words{"chunk", "-", ""}, Words{}}) {
    Front front;
    int asks = 0;
    front.executor(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
      if (word != "ASK") return;
      if (++asks == 1) return;  // still runs while the next is spoilt
      if (asks > 2) return answers(self, to, word, id);
      if (bad.empty()) return to.send({Slice("*4\r\n$16\r\n" + id)});  // and no more
      Peer::say(to, {id, bad[0], bad[1], bad[2]});
    });
    front.list({1});
    EXPECT_TRUE(front.has(front.asked(submit(1) + submit(2), 120ms), "r\to\tw\n"));
    EXPECT_TRUE(front.has(front.desk.counts(), "1 open")) << front.desk.counts();
    EXPECT_TRUE(front.has(front.desk.counts(), "1 done 1 spoilt")) << front.desk.counts();
    EXPECT_FALSE(front.has(front.logged, "doubted"));
  }
}

// More than belongs to an answer harms nothing: the first whole one counts.
TEST(Routing, ASecondCopyOrAnAnswerAheadIsPassedOver) {
  Front front;
  front.executor(1, [](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word == "ASK") {
      Peer::say(to, {"00000000deadbeef", "200", "batches=1", "x\tx\tx\n"});
      Peer::say(to, {id, "200", "batches=2", "one\t\t\n"});
      Peer::say(to, {id, "200", "batches=2", "one\t\t\n"});
    } else if (word == "NEXT") {
      Peer::say(to, {id, "chunk", "batch=1", "two\t\t\n"});
      Peer::say(to, {id, "chunk", "batch=1", "two\t\t\n"});
    }
  });
  front.list({1});
  EXPECT_TRUE(front.has(front.asked(submit(1)), "one\t\t\ntwo\t\t\n"));
  EXPECT_TRUE(front.has(front.desk.counts(), "1 done; ")) << front.desk.counts();
}

// A second answer may come when its job has long been answered and its connection serves another.
TEST(Routing, ALateSecondAnswerHarmsNoOtherJobOnItsConnection) {
  Front front;
  std::string before;
  Peer& peer = front.executor(1, [&](Peer&, Connection& to, const std::string& word, const std::string& id) {
    if (word != "ASK") return;
    if (!before.empty()) {
      Peer::say(to, {before, "200", "batches=2", "late\t\t\n"});
      Peer::say(to, {before, "chunk", "batch=1", "later\t\t\n"});
      Peer::say(to, {before, "500", "-", ""});
    }
    Peer::say(to, {id, "200", "batches=1", id + "\t\t\n"});
    before = id;
  });
  front.list({1});
  for (int each = 1; each <= 3; ++each) {
    const std::string answer = front.asked(submit(each), 40ms);
    EXPECT_TRUE(front.has(answer, "00000000000000a" + std::to_string(each) + "\t\t\n"));
    EXPECT_FALSE(front.has(answer, "late"));
    EXPECT_EQ(front.asked("", 20ms), "");  // and no second one leaves
  }
  EXPECT_EQ(peer.connections.size(), 1U);
  EXPECT_EQ(peer.heard, "ASK ASK ASK ");
  EXPECT_TRUE(front.has(front.desk.counts(), "3 done; ")) << front.desk.counts();
}

// Executors under ever new ids once stayed known for good, to the desk and in every choice of the module.
TEST(Routing, AnExecutorThatHasLeftIsForgottenOnceNothingOfItIsOut) {
  Front front;
  front.executor(1, answers);
  front.executor(2, silence);
  front.list({1, 2});
  std::string many;
  for (int each = 1; each <= 6; ++each) many += submit(each, 600);
  front.asked(many);
  EXPECT_GT(front.desk.open(), 0U);  // at the silent one
  front.list({1}, false, Standing::gone);
  front.list({2}, false, Standing::gone);
  front.pass(100ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "1 executors known of 2"));
  front.pass(600ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "0 executors known of 2"));
  front.list({1});  // it comes back, as a new one
  EXPECT_TRUE(front.has(front.asked(submit(7)), "r\to\tw\n"));
  front.list({2});  // a whole list without it
  front.pass(100ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "1 executors known of 4"));
}

// A machine that vanished and came back says nothing on its old connections; a slow one says nothing at all.
TEST(Routing, ASilentConnectionIsGivenUpOnlyWhenItsExecutorAnswersElsewhere) {
  Front front;
  bool lively = false;
  Peer& peer =
      front.executor(1, [&](Peer& self, Connection& to, const std::string& word, const std::string& id) {
        if (!lively || &to == self.connections.front()) return;
        if (word == "NOOP") Peer::say(to, {id, "alive", "-", ""});
        answers(self, to, word, id);
      });
  front.list({1});
  front.asked(submit(1), 250ms);
  EXPECT_GT(peer.noops, 0);
  EXPECT_FALSE(front.has(front.desk.counts(), "reset"));
  lively = true;
  front.asked(submit(2), 600ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "1 spoilt"));
}

// The kernel takes what a standing process does not read. Thousands of statements once piled up there, and
// were read after their jobs had been answered otherwise.
TEST(Routing, NothingMoreIsWrittenToAnExecutorThatAnswersNowhere) {
  Front front;
  Peer& peer = front.executor(1, silence);
  front.list({1});
  front.asked(submit(1), 100ms);
  front.asked(submit(2) + submit(3) + submit(4), 100ms);
  EXPECT_EQ(peer.heard, "ASK ");
  EXPECT_TRUE(front.has(front.desk.counts(), "unreachable"));
}

TEST(Routing, IdleAndRetiredConnectionsAreGivenBack) {
  Front front;
  front.executor(1, answers);
  front.list({1});
  for (int each = 1; each <= 9; ++each) front.asked(submit(each), 10ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "1 connections, 1 dialled"));
  front.pass(400ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "0 connections"));
  front.asked(submit(1), 10ms);
  front.list({1}, false, Standing::gone);
  front.pass(10ms);
  EXPECT_TRUE(front.has(front.desk.counts(), "0 connections"));
}

TEST(Routing, WithoutADescriptorADispatchIsUnrunAndTheLoopGoesOn) {
  Front front(kSite + "limits.streamsPerConn=1\n");
  front.executor(1, silence);
  front.list({1});
  std::string many;
  for (int each = 1; each <= 30; ++each)
    many += submit(each, 300, "q", "0000000000000" + std::to_string(each / 10) + "b");
  front.asked(many, 30ms);
  EXPECT_EQ(front.asked(frame(1, "heartbeat", 90, bytes(0, 1)), 40ms).empty(), false);
  front.pass(500ms);
  EXPECT_EQ(front.desk.open(), 0U);
}

TEST(Routing, AtTheEndOfTheProcessAllIsAnswered) {
  Front front;
  front.executor(1, silence);
  front.list({1});
  front.asked(submit(1, 2000));
  front.desk.answerBy(front.desk.now() + 50ms);
  EXPECT_TRUE(front.has(front.asked(submit(2, 2000), 100ms), "cooldown"));
  EXPECT_EQ(front.desk.open(), 0U);
}

TEST(ChangeLog, IsResumedAfterACutAGapOrNonsenseAndReadAfreshIfThatComesAgain) {
  Front front;
  const std::string server =
      R"("id":"s-1","addr":"127.0.77.1:18443","zone":"a","kind":"m","cell":0,"started_ms":0,"state":)";
  const auto event = [&](int seq, const char* state) {
    return "{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"version\":1,\"full\":false,\"servers\":[{" +
           server + "\"" + state + "\"}]}}\n";
  };
  std::vector<std::string> lines;
  transport::Listener listener(front, Address("127.0.77.100:18443"));
  const auto log = [&]() -> Task<> {
    for (const std::string& said : {event(4, "active") + event(4, "left") + "4\n", event(6, "active"),
                                    event(5, "active") + "nonsense\n", std::string("5\n")}) {
      auto accepted = co_await listener.accept();
      Connection connection(front, std::move(accepted), 4096, 65536, front.unsent);
      const bool asked = co_await connection.receive();
      if (asked) lines.emplace_back(connection.input().view());
      connection.send({Slice(said)});
      co_await front.sleepUntil(front.now() + 20ms);
    }
  };
  front.group.spawn(log());
  Follower follower(front, front.unsent, Address("127.0.77.100:18443"), 3, 7, front.desk, front.say);
  front.executor(1, answers);
  front.pass(100ms);
  EXPECT_TRUE(
      front.has(front.asked(submit(1)), "r\to\tw\n"));  // the repeat of 4 did not take the executor away
  front.pass(800ms);
  EXPECT_EQ(lines, (std::vector<std::string>{"since 3\n", "since 4\n", "since 4\n", "since 0\n"}));
  EXPECT_TRUE(front.has(front.logged, "nothing of 5 before 6"));
  EXPECT_TRUE(front.has(front.logged, "nonsense"));
}

// A log that goes on with bytes but not with lines once counted as one that tells.
TEST(ChangeLog, OneThatDripsIsAskedAgain) {
  Front front;
  int asked = 0;
  transport::Listener listener(front, Address("127.0.77.100:18443"));
  const auto log = [&]() -> Task<> {
    for (;;) {
      auto accepted = co_await listener.accept();
      Connection connection(front, std::move(accepted), 4096, 65536, front.unsent);
      ++asked;
      for (int each = 0; each < 10; ++each) {
        connection.send({Slice(std::string("{"))});
        co_await front.sleepUntil(front.now() + 200ms);
      }
    }
  };
  front.group.spawn(log());
  Follower follower(front, front.unsent, Address("127.0.77.100:18443"), 3, 7, front.desk, front.say);
  front.pass(3s);
  EXPECT_EQ(asked, 2);
}

// An operator's file that named a change log out of reach once cost the list that was told until then.
TEST(ChangeLog, AMoveToOneOutOfReachKeepsTheOneThatTells) {
  Front front;
  front.executor(1, answers);
  const auto event = [](int seq, const char* state) {
    return "{\"seq\":" + std::to_string(seq) +
           R"(,"fleet":{"version":1,"full":false,"servers":[{"id":"s-1","addr":"127.0.77.1:18443","zone":"a",)"
           R"("kind":"m","cell":0,"started_ms":0,"state":")" +
           state + "\"}]}}\n";
  };
  bool firstClosed = false;
  std::string secondAsked;
  transport::Listener first(front, Address("127.0.77.100:18443"));
  std::optional<transport::Listener> second;
  const auto old = [&]() -> Task<> {
    auto accepted = co_await first.accept();
    Connection connection(front, std::move(accepted), 4096, 65536, front.unsent);
    connection.send({Slice(std::string("3\n"))});
    co_await front.sleepUntil(front.now() + 150ms);
    connection.send({Slice(event(4, "active"))});
    while (co_await connection.receive()) connection.input().consume(connection.input().view().size());
    firstClosed = true;
  };
  const auto next = [&]() -> Task<> {
    auto accepted = co_await second->accept();
    Connection connection(front, std::move(accepted), 4096, 65536, front.unsent);
    const bool asked = co_await connection.receive();
    if (asked) secondAsked = connection.input().view();
    connection.send({Slice(event(5, "left"))});
    co_await front.sleepUntil(front.now() + 5s);
  };
  front.group.spawn(old());
  Follower follower(front, front.unsent, Address("127.0.77.100:18443"), 3, 7, front.desk, front.say);
  front.pass(50ms);
  EXPECT_TRUE(follower.move(Address("127.0.77.101:18443")));  // nobody listens there
  front.pass(200ms);
  EXPECT_TRUE(front.has(front.asked(submit(1)), "r\to\tw\n"));  // 4 was told after the move
  EXPECT_FALSE(firstClosed);
  second.emplace(front, Address("127.0.77.101:18443"));
  front.group.spawn(next());
  front.pass(1s);
  EXPECT_EQ(secondAsked, "since 4\n");
  EXPECT_TRUE(firstClosed);
  EXPECT_FALSE(front.has(front.asked(submit(2, 100), 200ms), "r\to\tw\n"));  // 5 counts
}

}  // namespace
}  // namespace paddletrack::routing
