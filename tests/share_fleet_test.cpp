// What controllers share, between processes of the program with faults between them.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <csignal>
#include <fstream>

#include "share/codec.hpp"
#include "standin/sharing.hpp"

namespace paddletrack::standin {
namespace {

using namespace std::chrono_literals;

struct Fleet : Loop, Sharing {
  using Json = Sharing::Json;
  using Loop::pass;
  Fleet(int net, unsigned members, std::function<void(SharingTerms&)> more = {})
      : Sharing(*static_cast<Loop*>(this), termsOf(net, members, std::move(more))) {}
  static SharingTerms termsOf(int net, unsigned members, std::function<void(SharingTerms&)> more) {
    SharingTerms terms;
    terms.program = PADDLETRACK_PROGRAM;
    terms.net = net;
    terms.members = members;
    if (more) more(terms);
    return terms;
  }
  std::string log(unsigned member) {
    std::ifstream file(site.log(member));
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  // Each of them sums the fleet's jobs up to this; how many ms until it did, -1: never.
  double agrees(const std::vector<unsigned>& members, std::uint64_t jobs_, milliseconds most = 8s) {
    const auto took = Sharing::until(
        members, [&](unsigned each) { return jobs(each) == jobs_; }, most);
    return took ? std::chrono::duration<double, std::milli>(*took).count() : -1;
  }
  std::uint64_t dropped(unsigned member, const char* reason) {
    return share(member)["dropped"][reason].get<std::uint64_t>();
  }
};

TEST(ShareFleet, APartitionThatHealsEndsInOneViewInBoundedTime) {
  Fleet fleet(161, 5);
  ASSERT_TRUE(fleet.start()) << fleet.log(0);
  fleet.work(0, 3);
  ASSERT_GE(fleet.agrees(fleet.all(), 3), 0);
  fleet.mesh.part({0, 1});
  fleet.pass(200ms);  // what was on its way
  fleet.work(0, 4);
  fleet.work(3, 10);
  EXPECT_GE(fleet.agrees({0, 1}, 7), 0);
  EXPECT_GE(fleet.agrees({2, 3, 4}, 13), 0);
  fleet.pass(1s);
  EXPECT_EQ(fleet.jobs(1), 7U);  // each side has its own news and no other
  EXPECT_EQ(fleet.jobs(4), 13U);
  fleet.mesh.heal();
  const double took = fleet.agrees(fleet.all(), 17);
  RecordProperty("healed_ms", std::to_string(took));
  EXPECT_GE(took, 0);
  EXPECT_LT(took, 4000);  // 40 periods; a loaded machine is allowed for
  for (const unsigned each : fleet.all()) EXPECT_EQ(fleet.dropped(each, "broken"), 0U);
}

TEST(ShareFleet, WithOneWayCutTheNewsGoesByAThird) {
  Fleet fleet(162, 3);
  ASSERT_TRUE(fleet.start()) << fleet.log(0);
  fleet.mesh.way(0, 1).cut = true;
  fleet.work(0, 5);
  fleet.work(1, 6);
  EXPECT_GE(fleet.agrees(fleet.all(), 11), 0);
  // Nothing of one member passes at all: the others go on without its news, and have it after.
  fleet.mesh.way(0, 2).cut = true;
  fleet.pass(200ms);
  fleet.work(0, 7);
  fleet.work(1, 2);
  EXPECT_GE(fleet.agrees({1, 2}, 13), 0);
  fleet.pass(1s);
  EXPECT_EQ(fleet.jobs(2), 13U);
  fleet.mesh.heal();
  EXPECT_GE(fleet.agrees(fleet.all(), 20), 0);
}

TEST(ShareFleet, LostDoubledReorderedAndLateDatagramsChangeNoSum) {
  Fleet fleet(163, 4);
  Faults faults;
  faults.most = 40ms;
  faults.drop = 0.3;
  faults.twice = 0.4;
  faults.late = 0.4;
  faults.lateBy = 300ms;
  fleet.mesh.all(faults);
  ASSERT_TRUE(fleet.start()) << fleet.log(0);
  std::uint64_t sum = 0;
  for (unsigned round = 0; round < 8; ++round) {
    fleet.work(round % 4, 1 + round);
    sum += 1 + round;
  }
  EXPECT_GE(fleet.agrees(fleet.all(), sum), 0);
  for (const unsigned each : fleet.all()) {
    const auto told = fleet.share(each);
    EXPECT_EQ(told["owners"], 4);
    EXPECT_EQ(told["fleet"]["live"], 4);
    std::uint64_t byEngine = 0;
    for (const auto& [name, load] : told["fleet"]["engines"].items())
      byEngine += load["jobs"].get<std::uint64_t>();
    EXPECT_EQ(byEngine, sum);
  }
}

TEST(ShareFleet, AKilledMembersNextLifeReplacesItsLast) {
  Fleet fleet(164, 3);
  ASSERT_TRUE(fleet.start()) << fleet.log(0);
  fleet.work(0, 5);
  fleet.work(1, 4);
  ASSERT_GE(fleet.agrees(fleet.all(), 9), 0);
  const auto generation = fleet.share(1)["generation"].get<std::uint64_t>();
  fleet.signal(1, SIGKILL);
  fleet.pass(300ms);
  EXPECT_EQ(fleet.jobs(0), 9U);  // a dead one keeps what it has shared, while it lasts
  fleet.site.start(1);
  ASSERT_TRUE(fleet.Loop::until([&] { return fleet.load.inService(1) && fleet.owners(1) == 3; }));
  EXPECT_GT(fleet.share(1)["generation"].get<std::uint64_t>(), generation);
  EXPECT_GE(fleet.agrees(fleet.all(), 5), 0);
  fleet.work(1, 2);
  EXPECT_GE(fleet.agrees(fleet.all(), 7), 0);
  EXPECT_EQ(fleet.share(0)["owners"], 3);
}

TEST(ShareFleet, AStoppedMemberIsNotLiveAndItsOldViewHarmsNobodyWhenItGoesOn) {
  Fleet fleet(165, 3);
  ASSERT_TRUE(fleet.start()) << fleet.log(0);
  fleet.work(2, 3);
  ASSERT_GE(fleet.agrees(fleet.all(), 3), 0);
  fleet.signal(2, SIGSTOP);
  fleet.work(0, 4);
  EXPECT_GE(fleet.agrees({0, 1}, 7), 0);
  const auto live = [&](unsigned each, int count) { return fleet.share(each)["fleet"]["live"] == count; };
  EXPECT_TRUE(fleet.Sharing::until(
      {0, 1}, [&](unsigned each) { return live(each, 2); }, 8s));
  EXPECT_EQ(fleet.jobs(0), 7U);
  fleet.work(0, 1);
  fleet.signal(2, SIGCONT);
  EXPECT_GE(fleet.agrees(fleet.all(), 8), 0);
  EXPECT_TRUE(fleet.Sharing::until(
      fleet.all(), [&](unsigned each) { return live(each, 3); }, 8s));
  EXPECT_EQ(fleet.share(2)["later_lives"], 0);
}

TEST(ShareFleet, ForeignBrokenAndOldDatagramsAreDroppedByKindAndNobodyFalls) {
  Fleet fleet(166, 3, [](SharingTerms& terms) {
    terms.clusterOf = [](unsigned member) { return std::string(member == 2 ? "another" : "test"); };
  });
  ASSERT_TRUE(fleet.Sharing::until(
      {0, 1}, [&](unsigned each) { return fleet.owners(each) == 2; }, 20s))
      << fleet.log(0);
  fleet.work(0, 3);
  fleet.work(2, 50);
  EXPECT_GE(fleet.agrees({0, 1}, 3), 0);
  EXPECT_TRUE(fleet.Sharing::until(
      {0, 1, 2}, [&](unsigned each) { return fleet.dropped(each, "foreign") > 0; }, 8s));
  EXPECT_EQ(fleet.owners(2), 1U);

  transport::Datagrams hand(fleet, transport::Address("127.0.166.99:17946"), 2000);
  const std::uint64_t to = transport::placeOf(fleet.mesh.real(0));
  share::Delta old;
  old.parts.push_back({"c2", 1, 0, 1, {{share::kLoad, "", "\x92\x01\x02", 1, false, 0s}}});
  std::string datagram = share::encode(share::Message(old), "test", "stranger");
  EXPECT_TRUE(hand.send(to, datagram));
  datagram[1] = '\x02';
  EXPECT_TRUE(hand.send(to, datagram));
  datagram[1] = '\x01', datagram[2] = '\x11';
  EXPECT_TRUE(hand.send(to, datagram));
  datagram[2] = '\x0f';
  EXPECT_TRUE(hand.send(to, datagram));
  EXPECT_TRUE(hand.send(to, share::encode(share::Message(old), "test", "c1")));
  EXPECT_TRUE(hand.send(to, std::string(1900, '\x91')));
  std::mt19937 dice(5);
  for (int each = 0; each < 500; ++each) {
    std::string noise(dice() % 1400, '\0');
    for (char& byte : noise) byte = static_cast<char>(dice());
    EXPECT_TRUE(hand.send(to, noise));
    if (each % 50 == 49) fleet.pass(20ms);
  }
  for (const char* reason : {"old", "version", "reserved", "unknown", "own", "oversized"})
    EXPECT_TRUE(fleet.Sharing::until(
        {0}, [&](unsigned) { return fleet.dropped(0, reason) == 1; }, 4s))
        << reason << fleet.share(0)["dropped"];
  EXPECT_TRUE(fleet.Sharing::until(
      {0}, [&](unsigned) { return fleet.dropped(0, "broken") >= 480; }, 4s));
  fleet.work(1, 2);
  EXPECT_GE(fleet.agrees({0, 1}, 5), 0);
}

TEST(ShareFleet, WithoutTheBlockNothingIsSaidOfSharing) {
  Loop loop;
  SiteTerms terms;
  terms.program = PADDLETRACK_PROGRAM;
  terms.net = 167;
  Site site(loop, loop.unsent, terms);
  Sharing::Json status;
  EXPECT_TRUE(loop.until([&] {
    DoorLine line(loop, loop.unsent, site.door(0));
    line.say("{\"v\":1,\"id\":1,\"do\":\"status\"}\n");
    loop.until([&] { return !line.heard.empty() || line.closed; }, 1s);
    if (line.heard.empty()) return false;
    status = Sharing::Json::parse(line.heard.front())["status"];
    return true;
  }));
  EXPECT_FALSE(status.contains("share"));
}

}  // namespace
}  // namespace paddletrack::standin
