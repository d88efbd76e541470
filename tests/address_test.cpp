// Engines with several addresses: stand-ins that listen on IPv4, IPv6 and Unix sockets, and every way in
// which one of these can fail.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "protocol/settings.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"
#include "standin/executor.hpp"
#include "standin/load.hpp"
#include "standin/loop.hpp"
#include "standin/site.hpp"

namespace paddletrack::standin {
namespace {

using namespace std::chrono_literals;
using transport::Address;
using Fault = Executor::Fault;

constexpr auto kDial = 100ms;  // of the settings here: a stagger is 20 ms

struct Front : Loop {
  explicit Front(std::size_t connections = 40, const std::string& more = "")
      : links(connections), rules(more), client(*this, unsent, {Address("127.0.84.9:18443")}, 3) {
    client.begin(0, {{"again", "", 1, 1ms, 1ms, 4000ms},
                     {"keyed", "", 1, 1ms, 1ms, 4000ms},
                     {"once", "", 1, 1ms, 1ms, 4000ms}});
  }
  void list(const std::vector<std::string>& addresses, const std::string& id = "s-1", bool whole = true,
            paddletrack::Standing standing = paddletrack::Standing::ready, std::int64_t startedMs = 0) {
    protocol::Change change;
    change.whole = whole;
    protocol::Entry entry{id, addresses.front(), "a", "m", 0, standing, startedMs};
    entry.more = addresses;
    change.entries.push_back(entry);
    desk.listed(change);
  }
  // One job, to its end; ms it took.
  double job(std::size_t kind = 0) {
    const std::size_t number = client.send(kind, 0);
    until([&] { return client.jobs()[number].answers > 0 || client.jobs()[number].lost; }, 5000ms);
    last = client.jobs()[number].what;
    return std::chrono::duration<double, std::milli>(client.jobs()[number].ended - client.jobs()[number].sent)
        .count();
  }
  bool logged(const std::string& part) const { return log.find(part) != std::string::npos; }

  const std::size_t links;
  const std::string rules;  // further settings
  std::string log;
  const Say say{[this](const Said& said) { log += std::string(said.topic) + ": " + said.line + "\n"; }};
  const protocol::Told told = protocol::decode(protocol::pathsOfLines(
      std::string(
          "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=64\nprofiles.count=3\nprofiles.0.name="
          "again\n"
          "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=800000\nprofiles.0.giveUpUs="
          "4000000\nprofiles.1."
          "name=keyed\n"
          "profiles.1.idempotency=dedup\nprofiles.1.group=all\nprofiles.1.windowUs=60000000\nprofiles.1."
          "onTimeUs="
          "800000\n"
          "profiles.1.giveUpUs=4000000\nprofiles.2.name=once\nprofiles.2.idempotency=fragile\nprofiles.2."
          "onTimeUs=800000\n"
          "profiles.2.giveUpUs=4000000\nlimits.mostTries=3\nlimits.cancelling=true\nlimits.retryAfter=true\n"
          "limits.maxRetryAfterUs=900000\nlimits.streamsPerConn=4\nlimits.dialTimeoutUs=100000\n"
          "limits.idleCloseUs=9000000\ntickUs=5000\n") +
      rules));
  routing::Desk desk{*this, unsent, told, {100, {told.sharedBy, links, told.dialTimeout, told.idleClose}},
                     7,     say};
  routing::ClientSide clients{*this, unsent, Address("127.0.84.9:18443"), {20, 40 << 20, 1 << 20}, desk, say};
  Folder folder;
  const std::string four = "127.0.84.1:18443", six = "[::1]:18484",
                    local = "unix:" + folder.path() + "/engine";
  Load client;
  Heard::What last = Heard::What::exception;
};

TEST(Addresses, OneGoodAmongRefusedIsFoundAtOnceWhicheverItIs) {
  for (int good = 0; good < 3; ++good) {
    Front front;
    const std::vector<std::string> all{front.local, front.six, front.four};
    Executor executor(front, front.unsent, Address(all[static_cast<std::size_t>(good)]));
    front.list(all);
    EXPECT_LT(front.job(2), 15) << good;
    EXPECT_EQ(front.last, Heard::What::done) << front.log;
    EXPECT_LT(front.job(2), 15) << good;
    EXPECT_EQ(executor.ran(), 2U);
    EXPECT_EQ(executor.ranTwice(), 0U);
    EXPECT_EQ(front.logged("unreachable"), false);
  }
}

TEST(Addresses, ASilentDialCostsOneStaggerAndIsNotFirstAgain) {
  Front front;
  const Mute mute(Address(front.six));
  Executor executor(front, front.unsent, Address(front.four));
  front.list({front.six, front.four});
  const double first = front.job(2);
  EXPECT_EQ(front.last, Heard::What::done) << front.log;
  EXPECT_GE(first, 19);
  EXPECT_LT(first, 40);
  EXPECT_TRUE(front.logged("no answer"));
  executor.cut();
  front.pass(5ms);
  EXPECT_LT(front.job(2), 15);
}

TEST(Addresses, WhatAcceptsAndStallsIsJudgedAndThenPassedOver) {
  Front front;
  Executor executor(front, front.unsent, Address(front.four));
  const std::size_t stalls = executor.also(Address(front.local));
  executor.fail(stalls, Fault::deaf);
  front.list({front.local, front.four});
  front.job(2);  // it had left whole: it may have run, and is not sent again
  EXPECT_EQ(front.last, Heard::What::cancelled);
  EXPECT_EQ(executor.ran(), 0U);
  EXPECT_TRUE(front.logged("silent"));
  EXPECT_LT(front.job(2), 60) << front.log;
  EXPECT_EQ(front.last, Heard::What::done);
  EXPECT_EQ(executor.ran(), 1U);
}

// The kernel takes a part of a long statement for a process that reads nothing: the same dispatch goes
// another way.
TEST(Addresses, AMessageThatIsNotTakenWholeGoesAnotherWay) {
  for (const std::size_t kind : {0U, 1U, 2U}) {
    Front front;
    Executor executor(front, front.unsent, Address(front.four));
    const std::size_t stalls = executor.also(Address(front.local));
    executor.fail(stalls, Fault::deaf);
    front.list({front.local, front.four});
    std::vector<Load::Kind> kinds(3, {"", "", 1, 1ms, 1ms, 4000ms, std::string(5 << 20, 'x')});
    kinds[0].type = "again", kinds[1].type = "keyed", kinds[2].type = "once";
    front.client.begin(0, kinds);
    front.client.send(kind, 0);
    front.until([&] { return front.client.books().open == 0; }, 3000ms);
    EXPECT_TRUE(front.logged("silent")) << front.log;
    EXPECT_TRUE(front.desk.counts().find("1 dispatches moved") != std::string::npos) << front.desk.counts();
    EXPECT_EQ(executor.askedAt(stalls), 0U);
    EXPECT_EQ(executor.askedAt(0), 1U);
    EXPECT_EQ(front.client.jobs()[0].what, Heard::What::done) << kind << front.log;
  }
}

TEST(Addresses, ResetsAreJudgedByWhetherItHadLeft) {
  for (const Fault fault : {Fault::reset, Fault::resetOnAsk, Fault::halfAnswer})
    for (const std::size_t kind : {0U, 2U}) {
      Front front;
      Executor executor(front, front.unsent, Address(front.four));
      const std::size_t bad = executor.also(Address(front.local));
      executor.fail(bad, fault);
      front.list({front.local, front.four});
      front.job(kind);
      const bool again = kind == 0;
      EXPECT_EQ(front.last, again ? Heard::What::done : Heard::What::cancelled)
          << static_cast<int>(fault) << front.log;
      EXPECT_LT(front.job(2), 130);
      EXPECT_EQ(front.last, Heard::What::done) << static_cast<int>(fault) << front.log;
      EXPECT_LE(executor.ranTwice(), again ? 1U : 0U);
    }
}

TEST(Addresses, OneThatLeavesTheListTakesNothingNewAndWhatIsOpenEnds) {
  Front front;
  Executor executor(front, front.unsent, Address(front.four));
  const std::size_t old = executor.also(Address(front.local));
  front.client.begin(0, {{"once", "", 1, 150ms, 150ms, 4000ms}, {"again", "", 1, 1ms, 1ms, 4000ms}});
  front.list({front.local, front.four});
  front.client.send(0, 0);
  front.pass(50ms);
  EXPECT_EQ(executor.askedAt(old), 1U);
  front.list({front.four});
  front.job(1);
  EXPECT_EQ(executor.askedAt(old), 1U);
  EXPECT_EQ(executor.askedAt(0), 1U);
  front.until([&] { return front.client.books().open == 0; }, 1000ms);
  EXPECT_EQ(front.client.jobs()[0].what, Heard::What::done);
  EXPECT_EQ(executor.ranTwice(), 0U);
  front.list({front.local}, "s-2", false);  // the same address is another engine's now
  front.list({front.four}, "s-1", false);
  EXPECT_LT(front.job(1), 30);
}

TEST(Addresses, AnAddressThatVanishesWithJobsInFlight) {
  for (const std::size_t kind : {0U, 1U, 2U}) {
    Front front;
    Executor executor(front, front.unsent, Address(front.four));
    const std::size_t gone = executor.also(Address(front.local));
    std::vector<Load::Kind> kinds(3, {"", "", 1, 120ms, 120ms, 4000ms});
    kinds[0].type = "again", kinds[1].type = "keyed", kinds[2].type = "once";
    front.client.begin(0, kinds);
    front.list({front.local, front.four});
    front.client.send(kind, 0);
    front.pass(40ms);
    executor.close(gone);
    ::unlink(front.local.substr(5).c_str());
    front.until([&] { return front.client.books().open == 0; }, 3000ms);
    EXPECT_EQ(front.client.jobs()[0].what, kind == 2 ? Heard::What::cancelled : Heard::What::done) << kind;
    EXPECT_EQ(executor.ranTwice(), 0U);  // the first was cut before its end
    EXPECT_EQ(executor.askedAt(0), kind == 2 ? 0U : 1U);
  }
}

// A preferred address that failed is found again by a job that may be repeated.
TEST(Addresses, APreferredOneIsTriedAgainOnceItsRestIsOver) {
  Front front;
  Executor executor(front, front.unsent, Address(front.four));
  front.list({front.local, front.four});
  front.job(0);
  const std::size_t back = executor.also(Address(front.local));
  EXPECT_TRUE(front.until(
      [&] {
        executor.cut();  // what is up would be used again
        front.job(0);
        return executor.askedAt(back) > 0;
      },
      3000ms));
  EXPECT_EQ(front.last, Heard::What::done);
  EXPECT_EQ(front.client.books().answers[0], front.client.books().sent);
}

TEST(Addresses, AllOfThemFailTheJobNeverRanAndTheEngineIsDoubted) {
  Front front;
  front.list({front.local, front.six, front.four});
  EXPECT_LT(front.job(2), 800);
  EXPECT_EQ(front.last, Heard::What::throttled) << front.log;
  Executor executor(front, front.unsent, Address(front.six));
  EXPECT_TRUE(front.until([&] { return front.job(0) > 0 && front.last == Heard::What::done; }, 8000ms));
}

// Rule 3: what waits for a dial, or for another way, does not reach an engine that drains by then.
TEST(Addresses, NothingGoesAnotherWayToAnEngineThatDrains) {
  for (const bool dialling : {true, false}) {
    Front front;
    std::optional<Mute> mute;
    if (dialling) mute.emplace(Address(front.six));
    Executor executor(front, front.unsent, Address(front.four));
    const std::string first = dialling ? front.six : front.local;
    if (!dialling) executor.fail(executor.also(Address(front.local)), Fault::deaf);
    front.client.begin(0, {{"once", "", 1, 1ms, 1ms, 4000ms, std::string(dialling ? 10 : 5 << 20, 'x')}});
    front.list({first, front.four});
    front.client.send(0, 0);
    front.until([&] { return front.desk.dispatchesOut() > 0; }, 500ms);
    front.pass(5ms);
    front.list({first, front.four}, "s-1", false, paddletrack::Standing::draining);
    front.until([&] { return front.client.books().open == 0; }, 4500ms);
    EXPECT_EQ(front.client.jobs()[0].what, Heard::What::throttled) << front.log;
    EXPECT_EQ(executor.asked(), 0U);
  }
}

// Descriptors: dials beside the first of a race count as connections do. With one connection busy and one
// left, an engine whose dials all hang holds one descriptor, not two; and one with a good second address is
// still reached.
TEST(Addresses, RacesKeepToTheDescriptors) {
  for (const bool good : {false, true}) {
    Front front(2);
    const Mute six(Address(front.six));
    std::optional<Mute> mute;
    std::optional<Executor> executor;
    if (good)
      executor.emplace(front, front.unsent, Address(front.four));
    else
      mute.emplace(Address(front.four));
    Executor busy(front, front.unsent, Address("127.0.84.2:18443"));
    front.client.begin(0, {{"again", "", 1, 900ms, 900ms, 4000ms}, {"again", "", 1, 1ms, 1ms, 4000ms}});
    front.list({"127.0.84.2:18443"}, "s-2", false);
    front.client.send(0, 0);
    front.until([&] { return busy.open() == 1; }, 500ms);
    front.list({front.six, front.four}, "s-1", false);
    const auto open = [] {
      std::size_t count = 0;
      for (const auto& each : std::filesystem::directory_iterator("/proc/self/fd"))
        count += each.path().empty() ? 0 : 1;
      return count;
    };
    const std::size_t before = open();
    const std::size_t job = front.client.send(1, 0);
    std::size_t most = 0;
    front.until([&] { return most = std::max(most, open()), false; }, 80ms);  // less than the race
    front.until([&] { return front.client.jobs()[job].answers > 0; }, 3000ms);
    EXPECT_EQ(front.client.jobs()[job].what, Heard::What::done) << front.log;
    EXPECT_EQ(most, before + (good ? 2 : 1)) << front.log;  // both ends, where there is another
    EXPECT_TRUE(front.logged("no answer"));
    EXPECT_EQ(good && executor->ran() == 1, good);
  }
}

// One that is known to stall shows no life when it is tried again: its race goes on a stagger later, and
// nothing has been sent there.
TEST(Addresses, OneThatStallsAgainCostsAStagger) {
  Front front;
  Executor executor(front, front.unsent, Address(front.four));
  const std::size_t stalls = executor.also(Address(front.local));
  front.list({front.local, front.four});
  front.job(0);
  executor.fail(stalls, Fault::deaf);
  front.client.send(0, 0);
  EXPECT_TRUE(front.until([&] { return front.logged("silent"); }, 2000ms));
  EXPECT_TRUE(front.until([&] { return front.client.books().open == 0; }, 5000ms));
  front.job(0);
  front.pass(700ms);  // its rest is over
  executor.cut();
  front.pass(5ms);
  const double took = front.job(0);
  EXPECT_EQ(front.last, Heard::What::done);
  EXPECT_GE(took, 19);
  EXPECT_LT(took, 60);
}

// Something else listens at the path; and one whose mode keeps this user out.
TEST(Addresses, APathThatAnotherTookOrThatIsForbidden) {
  Front front;
  Executor executor(front, front.unsent, Address(front.four)),
      other(front, front.unsent, Address(front.local));
  other.raw = [](Executor&, transport::Connection& to, const std::string&, const std::string&) {
    to.send({transport::Slice::lasting("HTTP/1.1 400 Bad Request\r\n\r\n")});
  };
  front.list({front.local, front.four});
  front.job(0);
  EXPECT_EQ(front.last, Heard::What::done) << front.log;
  EXPECT_LT(front.job(2), 60);
  EXPECT_EQ(front.last, Heard::What::done);
  EXPECT_TRUE(front.logged("reset early")) << front.log;
  if (::geteuid() != 0) return;  // to be kept out one has to be somebody else
  const std::string shut = front.local + "-shut";
  Executor kept(front, front.unsent, Address(shut)), open(front, front.unsent, Address("127.0.84.3:18443"));
  ::chmod(shut.substr(5).c_str(), 0600);
  ::chmod(front.folder.path().c_str(), 0755);
  front.list({shut, "127.0.84.3:18443"}, "s-3", true);
  ASSERT_EQ(::seteuid(65534), 0);
  front.job(2);
  ASSERT_EQ(::seteuid(0), 0);
  EXPECT_EQ(front.last, Heard::What::done) << front.log;
  EXPECT_TRUE(front.logged("Permission denied")) << front.log;
  EXPECT_EQ(kept.asked(), 0U);
}

// Rule 4: a cold engine gets no more over several addresses than its part, whichever of them serves.
TEST(Addresses, AColdEngineGetsItsPartAndNoMore) {
  Front front(
      40, "rules.coldUs=60000000\nrules.startCapacity=0.03\nrules.fallMultiple=3\nrules.fallUs=2000000\n");
  const Mute mute(Address(front.six));
  Executor executor(front, front.unsent, Address(front.four));
  front.client.begin(0, {{"again", "", 1, 300ms, 300ms, 4000ms}});
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  front.list({front.local, front.six, front.four}, "s-1", true, paddletrack::Standing::ready, now.count());
  for (int each = 0; each < 60; ++each) front.client.send(0, 0);
  front.pass(250ms);
  // 0.03 x 64 cores x 2 s x 3, half of it for safety: 5.76 s of work, in jobs of 0.8 s as long as none is
  // known.
  EXPECT_GT(executor.asked(), 0U);
  EXPECT_LE(executor.asked(), 7U);
  front.until([&] { return front.client.books().open == 0; }, 5000ms);
  EXPECT_EQ(front.client.books().lost + front.client.books().doubled, 0U);
}

// One family goes for all engines at once: each pays one refusal or one stagger, none is left out, and what
// came before on the others goes on.
TEST(Addresses, AFamilyThatGoesForAllEnginesAtOnce) {
  Front front;
  std::vector<std::unique_ptr<Executor>> executors;
  for (int each = 1; each <= 6; ++each) {
    const std::string four = "127.0.84." + std::to_string(10 + each) + ":18443",
                      local = front.local + std::to_string(each);
    executors.push_back(std::make_unique<Executor>(front, front.unsent, Address(four)));
    executors.back()->also(Address(local));
    front.list({local, four}, "s-" + std::to_string(each), false);
  }
  for (int each = 0; each < 30; ++each) front.client.send(2, 0);
  EXPECT_TRUE(front.until([&] { return front.client.books().open == 0; }, 1000ms));
  for (const auto& each : executors) each->close(1);
  for (int each = 0; each < 60; ++each) front.client.send(2, 0);
  EXPECT_TRUE(front.until([&] { return front.client.books().open == 0; }, 1000ms));
  EXPECT_EQ(front.client.books().answers[0], 90U) << front.log;
  for (const auto& each : executors) EXPECT_EQ(each->ranTwice(), 0U);
}

// Up and down faster than what is known of it fades: no job pays more than a stagger, none is lost.
TEST(Addresses, OneThatFlapsCostsNoJob) {
  Front front;
  Executor executor(front, front.unsent, Address(front.four));
  front.list({front.local, front.four});
  for (int each = 0; each < 30; ++each) {
    std::optional<Executor> flapping;
    if (each % 2 == 0) flapping.emplace(front, front.unsent, Address(front.local));
    EXPECT_LT(front.job(0), 60) << each;
    EXPECT_EQ(front.last, Heard::What::done) << each << front.log;
    flapping.reset();
    ::unlink(front.local.substr(5).c_str());
    if (each % 3 == 0) executor.cut();
    front.pass(20ms);
  }
  EXPECT_EQ(front.client.books().lost + front.client.books().doubled, 0U);
}

TEST(Addresses, FormsThatAreNotKnownAreNamedAndTheRestServes) {
  Front front;
  std::ofstream(front.local.substr(5)) << "no socket";
  Executor executor(front, front.unsent, Address(front.four));
  std::vector<std::string> all{
      front.local, "unix:relative", "host.example:80", "[::1", "", "unix:/" + std::string(200, 'x'),
      front.four,  front.four};
  for (int each = 2; each < 64; ++each) all.push_back("127.0.83." + std::to_string(each) + ":18443");
  front.list(all);
  EXPECT_LT(front.job(0), 40);
  EXPECT_EQ(front.last, Heard::What::done);
  for (const char* each :
       {"unix:relative", "host.example:80", "'[::1'", "107 bytes at most", "48 addresses too many"})
    EXPECT_TRUE(front.logged(each)) << each << front.log;
}

TEST(Addresses, ReadFromTheChangeLog) {
  const protocol::Line line = protocol::readLine(
      R"({"seq":2,"fleet":{"version":1,"full":true,"servers":[{"id":"s","addr":"1.2.3.4:5","addrs":["unix:/a","[::1]:5",7],)"
      R"("zone":"a","kind":"m","cell":0,"state":"active","weight":1,"started_ms":0}]}})");
  EXPECT_EQ(line.change->entries[0].more, (std::vector<std::string>{"unix:/a", "[::1]:5", ""}));
  EXPECT_THROW(protocol::readLine(
                   R"({"seq":2,"fleet":{"full":true,"servers":[{"id":"s","addr":"1.2.3.4:5","addrs":"x",)"
                   R"("zone":"a","kind":"m","cell":0,"state":"active","started_ms":0}]}})"),
               protocol::Unreadable);
}

}  // namespace
}  // namespace paddletrack::standin
