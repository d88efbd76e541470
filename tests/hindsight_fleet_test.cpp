// Looking back over a fleet: processes of the program with faults between them.
#include <gtest/gtest.h>

#include <csignal>

#include "standin/sharing.hpp"

namespace paddletrack::standin {
namespace {

using namespace std::chrono_literals;

struct LookingBack : Loop, Sharing {
  using Loop::pass;
  LookingBack(int net, unsigned members)
      : Sharing(*static_cast<Loop*>(this),
                {PADDLETRACK_PROGRAM, net, members, 1, "100ms", "10m", {}, "hindsight { records = 512 }\n"}) {
  }
  // Jobs in the sums: its own, and those of all that share.
  double jobs(unsigned member, const char* of) {
    const Json told = status(member);
    if (told.is_null() || !told.contains("hindsight")) return -1;
    return told["hindsight"][of]["classes"][0]["jobs"].get<double>();
  }
  bool sum(const std::vector<unsigned>& members, double wanted, milliseconds most = 12s) {
    return Sharing::until(
               members, [&](unsigned each) { return jobs(each, "fleet") == wanted; }, most)
        .has_value();
  }
};

TEST(HindsightProcesses, ADeadControllersSumsStayAndNothingIsCountedTwice) {
  LookingBack fleet(171, 3);
  Faults faults;
  faults.most = 20ms;
  faults.twice = 0.5;
  faults.late = 0.3;
  faults.lateBy = 200ms;
  fleet.mesh.all(faults);
  ASSERT_TRUE(fleet.start());
  for (const unsigned each : fleet.all()) fleet.work(each, 10 + each);
  ASSERT_TRUE(fleet.sum(fleet.all(), 33)) << fleet.status(0).dump();
  EXPECT_EQ(fleet.jobs(1, "own"), 11);
  fleet.signal(0, SIGKILL);
  fleet.mesh.part({1});
  fleet.work(1, 5);
  fleet.work(2, 7);
  EXPECT_TRUE(fleet.sum({1}, 38));  // each side has its own news, and what the dead one had shared
  EXPECT_TRUE(fleet.sum({2}, 40));
  fleet.mesh.heal();
  fleet.mesh.all(faults);
  EXPECT_TRUE(fleet.sum({1, 2}, 45));
  fleet.pass(3s);  // tellings of the same sums again
  EXPECT_EQ(fleet.jobs(1, "fleet"), 45);
  EXPECT_EQ(fleet.jobs(2, "fleet"), 45);
  const auto told = fleet.status(1)["hindsight"]["fleet"];
  EXPECT_EQ(told["controllers"], 3);
  EXPECT_EQ(told["classes"][0]["had_it_been"]["nearest"]["in_time"].is_string(), true);  // 45 jobs: too few
}

}  // namespace
}  // namespace paddletrack::standin
