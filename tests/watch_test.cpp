// The watch on the list of engines: the follower against list services that fall silent, lag, lie or go, and
// processes whose list is away while idle clients hold every descriptor, or while they are killed.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "routing/follower.hpp"
#include "standin/loop.hpp"
#include "standin/site.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using coldstart::ListDials;
using coldstart::Span;
using End = ListDials::End;
using standin::ChangeLog;

// Of 127.NET/256.NET%256.0/24, one for this process: runs beside each other do not meet.
int net() { return 170 * 256 + ::getpid() % 4096; }
std::string at(unsigned host) {
  return "127." + std::to_string(net() / 256) + "." + std::to_string(net() % 256) + "." +
         std::to_string(host) + ":18443";
}

// What the list has to tell counts as told so long after, whether or not it arrived.
constexpr Span kCountsAsTold{7s};
constexpr Span kDialled{1s};  // until a dial that never comes up is given up

// ---- the module -----------------------------------------------------------------------------------------

// A session falls silent; the next ones end so, and the one after them tells at once. From the last line on.
Span until(std::uint64_t seed, const std::vector<End>& next) {
  ListDials dials({}, true, seed, Span{0});
  dials.told();
  Span now = dials.patience();
  dials.ended(now, End::told, true);
  for (const End how : next) {
    now = dials.due() + (how == End::silent ? dials.patience() : kDialled);
    dials.ended(now, how, true);
  }
  return dials.due();
}

TEST(Watch, AfterASilentOneTwoDialsThatTellNothingAreWithinWhatCountsAsTold) {
  Span worst{0};
  for (std::uint64_t seed = 0; seed < 2000; ++seed)
    for (const auto& next : std::vector<std::vector<End>>{{End::silent, End::silent},
                                                          {End::silent, End::unreachable},
                                                          {End::unreachable, End::silent},
                                                          {End::unreachable, End::unreachable}})
      worst = std::max(worst, until(seed, next));
  EXPECT_LE(worst, kCountsAsTold - Span(500ms));  // the rest is for the way there and back
}

// ---- the follower ---------------------------------------------------------------------------------------

const std::string kSite =
    "balancers=1\nzones=hall\nmachineTypes=std-8\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name="
    "q\n"
    "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\n"
    "limits.mostTries=3\nlimits.streamsPerConn=4\nlimits.dialTimeoutUs=20000\nlimits.idleCloseUs=400000\n"
    "tickUs=5000\n";

std::vector<ChangeLog::Server> engines(unsigned count, const std::string& state = "active") {
  std::vector<ChangeLog::Server> all;
  for (unsigned each = 1; each <= count; ++each)
    all.push_back({"s-" + std::to_string(each), at(each), state});
  return all;
}

// Two list services and a controller's desk that follows the first; both know of four engines.
struct Watch : standin::Loop {
  explicit Watch(const coldstart::Terms& terms = {}) : terms_(terms) {
    first.tell(engines(4), true);
    other.tell(engines(4), true);
  }
  void follow() { follower.emplace(*this, unsent, kFirst, 0, 7, desk, say, terms_); }
  bool follows() {
    return until([&] { return follower->view().following && follower->view().number >= 1; }, 4s);
  }
  std::size_t count(Standing standing) const {
    std::size_t count = 0;
    desk.eachExecutor([&](const routing::Executor& each) { count += each.listing.standing == standing; });
    return count;
  }
  bool logs(const std::string& what) const { return logged.find(what) != std::string::npos; }
  const coldstart::Terms terms_;
  const transport::Address kFirst{at(250)}, kOther{at(251)}, kDead{at(252)};
  ChangeLog first{*this, unsent, kFirst}, other{*this, unsent, kOther};
  std::string logged;
  const Say say{[this](const Said& said) { logged += std::string(said.topic) + ": " + said.line + "\n"; }};
  protocol::Told told = protocol::decode(protocol::pathsOfLines(kSite));
  routing::Desk desk{*this, unsent, told, {100, {told.sharedBy, 20, told.dialTimeout, told.idleClose, {}}},
                     7,     say};
  std::optional<routing::Follower> follower;
};

TEST(Watch, OneSilentFromItsFirstSecondIsLeft) {
  Watch watch;
  watch.first.manner.unheard = 1;
  watch.follow();
  EXPECT_TRUE(watch.follows());
  EXPECT_EQ(watch.first.asked.size(), 2u);
  EXPECT_TRUE(watch.logs("silent: connecting anew"));
}

// Bytes that are no line of it are no news: neither one a second, nor half a line for ever, nor empty lines.
TEST(Watch, OneThatTellsNoWholeLineIsLeft) {
  struct Way {
    std::string instead;
    std::chrono::milliseconds drip;
  };
  for (const Way& way : {Way{std::string(60, '1'), 400ms}, Way{R"({"seq":)", 0ms},
                         Way{std::string(60, '\n'), 400ms}, Way{"0\n" + std::string(60, '\n'), 400ms}}) {
    Watch watch;
    watch.first.manner.instead = way.instead;
    watch.first.manner.drip = way.drip;
    watch.follow();
    EXPECT_TRUE(watch.until([&] { return watch.first.asked.size() == 1; }, 1s));
    watch.first.manner.instead.clear();
    EXPECT_TRUE(watch.follows()) << way.instead;
    EXPECT_EQ(watch.first.asked.size(), 2u);
  }
}

// After a good time; engines begin to drain and go unseen, and two sessions more say nothing.
TEST(Watch, WhatAnEngineDidUnseenIsKnownBeforeItCountsAsTold) {
  Watch watch;
  watch.follow();
  ASSERT_TRUE(watch.follows());
  watch.pass(1200ms);
  watch.first.manner.mute = true;
  watch.first.manner.unheard = 2;
  watch.first.tell(engines(1, "leaving"));
  watch.first.tell({{"s-2", at(2), "left"}});
  const transport::Moment told = watch.now();
  EXPECT_EQ(watch.count(Standing::ready), 4u);
  EXPECT_TRUE(watch.until([&] { return watch.count(Standing::ready) == 2; }, 10s));
  EXPECT_LE(watch.now() - told, kCountsAsTold);
  EXPECT_EQ(watch.count(Standing::draining), 1u);
  EXPECT_EQ(watch.first.asked.size(), 4u);
}

// In one turn: the list that is followed is none to go to, and goes on telling as it did.
TEST(Watch, MovedTwiceAtOnceAndBackItStaysAndADeadListDoesNotEndIt) {
  Watch watch;
  watch.follow();
  ASSERT_TRUE(watch.follows());
  EXPECT_TRUE(watch.follower->move(watch.kDead));
  EXPECT_TRUE(watch.follower->move(watch.kOther));
  EXPECT_TRUE(watch.follower->move(watch.kFirst));
  EXPECT_FALSE(watch.follower->move(watch.kFirst));
  watch.pass(300ms);
  EXPECT_EQ(watch.first.asked.size(), 1u);
  EXPECT_EQ(watch.other.asked.size(), 0u);
  EXPECT_TRUE(watch.follower->move(watch.kDead));
  EXPECT_TRUE(watch.until([&] { return watch.follower->view().failures >= 2; }, 4s));
  watch.first.tell(engines(1, "leaving"));  // told by the session from before
  EXPECT_TRUE(watch.until([&] { return watch.count(Standing::draining) == 1; }, 1s));
  EXPECT_TRUE(watch.follower->move(watch.kFirst));
  EXPECT_TRUE(watch.follows());
  EXPECT_TRUE(watch.until([&] { return watch.first.asked.size() == 2 && watch.first.sessions() == 1; }, 2s));
}

TEST(Watch, MovedWhileItIsSilentToOneThatNeverComesUpAndFromThereOn) {
  Watch watch;
  watch.follow();
  ASSERT_TRUE(watch.follows());
  const standin::Mute mute(watch.kDead);
  watch.first.manner.mute = true;
  EXPECT_TRUE(watch.follower->move(watch.kDead));
  EXPECT_TRUE(watch.until([&] { return watch.first.sessions() == 0; }, 4s));  // left, and not dialled again
  watch.pass(100ms);
  EXPECT_TRUE(watch.logs(watch.kFirst.text() + ": silent")) << watch.logged;
  EXPECT_FALSE(watch.logs(watch.kDead.text() + ": silent")) << watch.logged;
  watch.other.tell(engines(1, "leaving"));
  EXPECT_TRUE(watch.follower->move(watch.kOther));
  EXPECT_TRUE(watch.until([&] { return watch.count(Standing::draining) == 1; }, 2s));
  EXPECT_EQ(watch.first.asked.size(), 1u);
}

TEST(Watch, AsLongAsTheNewListLagsTheOldOneTells) {
  Watch watch;
  watch.first.tell(engines(1, "leaving"));
  watch.follow();
  ASSERT_TRUE(watch.follows());
  EXPECT_TRUE(watch.follower->move(watch.kOther));
  EXPECT_TRUE(watch.until([&] { return watch.follower->view().behind; }, 2s));
  watch.first.tell(engines(2, "leaving"));
  EXPECT_TRUE(watch.until([&] { return watch.count(Standing::draining) == 2; }, 2s));
  for (unsigned each = 1; each <= 2; ++each) watch.other.tell(engines(each, "leaving"));
  EXPECT_TRUE(watch.until([&] { return watch.first.sessions() == 0; }, 2s));  // now it is of no more use
  watch.other.tell(engines(3, "leaving"));
  EXPECT_TRUE(watch.until([&] { return watch.count(Standing::draining) == 3; }, 1s));
  EXPECT_EQ(watch.follower->view().number, 4u);
}

// The one's first line ends the other's session, whose own line has come in the same turn.
TEST(Watch, OldAndNewTellInOneTurn) {
  for (const bool oldFirst : {true, false}) {
    Watch watch;
    watch.follow();
    ASSERT_TRUE(watch.follows());
    watch.other.manner.mute = true;
    EXPECT_TRUE(watch.follower->move(watch.kOther));
    ASSERT_TRUE(watch.until([&] { return watch.other.sessions() == 1; }, 2s));
    const std::string same = ChangeLog::event(2, false, engines(1, "leaving")) + "\n";
    if (oldFirst) watch.first.say(same);
    watch.other.say(same);
    if (!oldFirst) watch.first.say(same);
    EXPECT_TRUE(watch.until([&] { return watch.first.sessions() == 0; }, 1s));
    EXPECT_EQ(watch.count(Standing::draining), 1u);
    EXPECT_EQ(watch.follower->view().number, 2u);
    EXPECT_EQ(watch.first.asked.size() + watch.other.asked.size(), 2u);
  }
}

// The old one's beats, one after each of them, are no word for what the new one tells.
TEST(Watch, ANewListThatCannotBeFollowedIsReadAfreshThoughTheOldOneBeats) {
  Watch watch;
  watch.follow();
  ASSERT_TRUE(watch.follows());
  watch.other.manner.instead = ChangeLog::event(9, false, engines(1, "leaving")) + "\n";
  EXPECT_TRUE(watch.follower->move(watch.kOther));
  for (std::size_t each = 1; each <= 4 && watch.other.askedAll.empty(); ++each) {
    ASSERT_TRUE(watch.until([&] { return watch.other.asked.size() >= each; }, 3s));
    watch.pass(20ms);
    watch.first.say("1\n");
  }
  EXPECT_GE(watch.other.askedAll.size(), 1u);
  EXPECT_TRUE(watch.until([&] { return watch.follower->view().number == 9; }, 3s));
  EXPECT_EQ(watch.count(Standing::draining), 1u);
}

// All of a list is one line: a thousand engines with ids of 500 bytes go in; past its bound the line is said
// and what is known stays.
TEST(Watch, AListOfAThousandEnginesIsReadAndOnePastTheBoundIsSaid) {
  const auto many = [](unsigned count) {
    std::vector<ChangeLog::Server> all;
    for (unsigned each = 0; each < count; ++each)
      all.push_back({std::string(500, 'x') + std::to_string(each), at(1)});
    return all;
  };
  Watch watch;
  watch.first.tell(many(1000), true);
  watch.follow();
  ASSERT_TRUE(watch.follows());
  EXPECT_TRUE(watch.until([&] { return watch.count(Standing::ready) == 1000; }, 8s));
  watch.first.tell(many(2000), true);
  EXPECT_TRUE(watch.until([&] { return watch.logs("a line without an end"); }, 8s));
  EXPECT_EQ(watch.count(Standing::ready), 1000u);
}

// ---- processes ------------------------------------------------------------------------------------------

struct Fleet : standin::Loop {
  Fleet() {
    terms.program = PADDLETRACK_PROGRAM;
    terms.net = net();
    terms.executors = 8;
    terms.doors = terms.starts = false;
  }
  void begin() {
    site.emplace(*this, unsent, terms);
    load.emplace(*this, unsent, site->fronts(), 3);
    load->beats(50ms);
    load->ownClients(true);
    for (std::size_t each = 0; each < terms.controllers; ++each) site->start(each);
  }
  std::size_t ready() const {
    std::size_t count = 0;
    for (std::size_t each = 0; each < terms.controllers; ++each) count += load->inService(each) ? 1 : 0;
    return count;
  }
  bool allReady(std::chrono::milliseconds most) {
    return until([&] { return ready() == terms.controllers; }, most);
  }
  std::string log(std::size_t which) const {
    std::ifstream file(site->log(which));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::size_t logs(const std::string& what) const {
    const std::string all = log(0);
    std::size_t count = 0;
    for (std::size_t at = 0; (at = all.find(what, at)) != std::string::npos; ++at) ++count;
    return count;
  }
  std::size_t descriptors() {
    const std::filesystem::path all("/proc/" + std::to_string(site->controller(0).id()) + "/fd");
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(all), {}));
  }
  ChangeLog& list() { return site->changeLog(); }
  standin::SiteTerms terms;
  std::optional<standin::Site> site;
  std::optional<standin::Load> load;
  transport::Group idle{*this, [](const char*) {}};  // clients that ask for nothing, and come again
};

// All open watches fall silent at once; a quarter of the engines begin to drain right after.
TEST(Watch, NoJobGoesToWhatBeganToDrainUnseen) {
  Fleet fleet;
  fleet.terms.controllers = 3;
  fleet.begin();
  ASSERT_TRUE(fleet.allReady(15s));
  ASSERT_TRUE(fleet.until([&] { return fleet.list().sessions() == 3; }, 5s));
  fleet.load->begin(60, {standin::Site::lookUps()});
  fleet.list().manner.mute = true;
  fleet.list().tell({{"s-1", fleet.site->address(1), "leaving"}, {"s-2", fleet.site->address(2), "leaving"}});
  const transport::Moment told = fleet.now();
  EXPECT_TRUE(fleet.until([&] { return fleet.list().asked.size() >= 6; }, 7s));
  EXPECT_LE(fleet.now() - told, kCountsAsTold);
  fleet.pass(300ms);
  const std::uint64_t before = fleet.site->executor(0).asked() + fleet.site->executor(1).asked();
  const std::uint64_t all = fleet.load->books().sent;
  EXPECT_TRUE(fleet.until([&] { return fleet.load->books().sent >= all + 60; }, 10s));
  fleet.load->end();
  EXPECT_TRUE(fleet.until([&] { return fleet.load->books().open == 0; }, 6s));
  EXPECT_EQ(fleet.site->executor(0).asked() + fleet.site->executor(1).asked(), before);
  EXPECT_EQ(fleet.load->books().lost, 0u);
}

transport::Task<> idles(Fleet& fleet, bool speaks) {
  const std::string beat =
      protocol::thrift::message("heartbeat", protocol::thrift::Kind::call, 1, std::string("\2\0\1\0\0", 5));
  for (;;) {
    transport::Dialled dialled = co_await transport::dial(fleet, fleet.site->fronts()[0], fleet.now() + 10s);
    if (dialled.descriptor) {
      transport::Connection connection(fleet, std::move(dialled.descriptor), 256, 4096, fleet.unsent);
      if (speaks) connection.send({transport::Slice(beat)});
      for (bool more = true; more;) {
        more = co_await connection.receive();
        connection.input().consume(connection.input().view().size());
      }
    }
    co_await fleet.sleepUntil(fleet.now() + 20ms);
  }
}

// As many descriptors as it is allowed and not one more; idle clients hold all they can get, jobs all the
// connections to engines.
TEST(Watch, IdleClientsInEveryDescriptorKeepNeitherTheListNorUsualClientsOut) {
  constexpr std::size_t kSockets = 64;
  Fleet fleet;
  fleet.terms.sockets = kSockets;
  fleet.terms.executors = 24;
  const std::string bound = std::to_string(kSockets);
  fleet.terms.before = {"/usr/bin/prlimit", "--nofile=" + bound + ":" + bound, "/bin/sh", "-c",
                        R"(exec 7</dev/null 8</dev/null 9</dev/null; exec "$0" "$@")"};  // it inherits three
  fleet.begin();
  ASSERT_TRUE(fleet.allReady(15s));
  ChangeLog other(fleet, fleet.unsent, transport::Address(fleet.site->address(251)));
  other.tell(fleet.site->listed(), true);
  other.manner.unheard = 100;  // up, and not a word: the first is followed beside it
  standin::Load::Kind slow = standin::Site::lookUps();
  slow.least = slow.most = 2500ms;
  fleet.load->begin(60, {slow});
  for (unsigned each = 0; each < 100; ++each) fleet.idle.spawn(idles(fleet, each % 2 == 0));
  std::size_t most = 0;
  const auto full = [&] { return (most = std::max(most, fleet.descriptors())) >= kSockets - 3; };
  EXPECT_TRUE(fleet.until(full, 8s)) << most;
  for (std::size_t each = 1; each <= 4; ++each) {  // two list connections are open at each second of these
    fleet.site->moveList(0, each % 2 == 1 ? fleet.site->address(251) : fleet.site->address(250));
    EXPECT_TRUE(fleet.until([&] { return fleet.logs("read again") >= each; }, 5s)) << each << fleet.log(0);
    const bool there = fleet.until(
        [&] {
          most = std::max(most, fleet.descriptors());
          return each % 2 == 1 ? other.asked.size() > each / 2 : fleet.list().asked.size() > each / 2;
        },
        5s);
    EXPECT_TRUE(there) << each;
  }
  EXPECT_EQ(fleet.logs("not taken"), 0u) << fleet.log(0);
  std::printf("descriptors: %zu of %zu at most\n", most, kSockets);
  // The list goes, its descriptor is anybody's; it comes back while as many clients knock as before.
  fleet.list().close();
  fleet.pass(2s);
  const std::size_t asked = fleet.list().asked.size();
  fleet.list().open();
  EXPECT_TRUE(fleet.until([&] { return fleet.list().asked.size() > asked; }, 3s));
  fleet.list().tell({{"s-1", fleet.site->address(1), "leaving"}});
  EXPECT_TRUE(fleet.until([&] { return fleet.list().sessions() == 1; }, 2s));
  // A usual client gets in and is served.
  fleet.load->end();
  EXPECT_TRUE(fleet.until([&] { return fleet.load->books().open == 0; }, 8s));
  fleet.load->begin(0, {standin::Site::lookUps()});
  const auto done = [&] {
    return fleet.load->books().answers[static_cast<std::size_t>(standin::Heard::What::done)];
  };
  const std::uint64_t before = done();
  EXPECT_TRUE(fleet.until([&] { return fleet.load->inService(0); }, 5s));
  for (int each = 0; each < 5; ++each) fleet.load->send(0, 0);
  EXPECT_TRUE(fleet.until([&] { return done() == before + 5; }, 5s));
  EXPECT_EQ(fleet.logs("Too many open files"), 0u) << fleet.log(0);
}

// Seven in ten killed at once and started again, with clients that knock. PADDLETRACK_RESTARTS: so many
// processes in place of ten.
struct Restarted {
  bool knows;       // the configuration holds the list
  const char* how;  // the list service is at the start
  std::chrono::milliseconds down, each;
};

void restart(const Restarted& way) {
  const char* wanted = std::getenv("PADDLETRACK_RESTARTS");
  Fleet fleet;
  fleet.terms.controllers = wanted ? static_cast<unsigned>(std::stoul(wanted)) : 10;
  fleet.terms.knows = way.knows;
  fleet.begin();
  ASSERT_TRUE(fleet.allReady(60s));
  const std::size_t killed = fleet.terms.controllers * 7 / 10;
  fleet.load->begin(5.0 * fleet.terms.controllers, {standin::Site::lookUps()});
  if (way.down > 0ms) fleet.list().close();
  fleet.list().manner.each = way.each;
  for (std::size_t each = 0; each < killed; ++each) fleet.site->controller(each).signal(SIGKILL);
  const auto gone = [&] {
    for (std::size_t each = 0; each < killed; ++each)
      if (!fleet.site->controller(each).ended() || fleet.load->inService(each)) return false;
    return true;
  };
  ASSERT_TRUE(fleet.until(gone, 10s));
  const transport::Moment begun = fleet.now();
  for (std::size_t each = 0; each < killed; ++each) fleet.site->start(each);
  std::vector<std::chrono::milliseconds> ready;
  std::vector<bool> was(killed);
  const auto look = [&] {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now() - begun);
    if (!fleet.list().isOpen() && since >= way.down) fleet.list().open();
    for (std::size_t each = 0; each < killed; ++each)
      if (!was[each] && fleet.load->inService(each)) was[each] = true, ready.push_back(since);
    return ready.size() == killed;
  };
  const bool all = fleet.until(look, 30s);
  const std::size_t nine = (killed * 9 + 9) / 10;
  std::printf("%s, list %s: %zu of %zu ready; nine in ten after %lld ms, the last after %lld ms\n",
              way.knows ? "known" : "nothing known", way.how, ready.size(), killed,
              ready.size() < nine ? -1LL : static_cast<long long>(ready[nine - 1].count()),
              ready.empty() ? -1LL : static_cast<long long>(ready.back().count()));
  EXPECT_TRUE(all);
  ASSERT_GE(ready.size(), nine);
  EXPECT_LE(ready[nine - 1], 10s);
  // Whoever knows does not wait for the service: it was away till then, or had no time for half of them.
  if (way.knows && way.down > 0ms && !wanted) {
    EXPECT_LT(ready[nine - 1], way.down);
  }
}

TEST(Watch, NineInTenRestartedAreReadyInTimeWithTheListDown) { restart({true, "down", 6s, 0ms}); }
TEST(Watch, NineInTenRestartedAreReadyInTimeWithNothingKnownAndTheListDown) {
  restart({false, "down", 3s, 0ms});
}
TEST(Watch, NineInTenRestartedAreReadyInTimeWithNothingKnownAndASlowList) {
  restart({false, "slow", 0ms, 20ms});
}

}  // namespace
}  // namespace paddletrack
