// Where groups should lie, with processes of the program: one view an epoch, whatever becomes of a
// controller.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <map>
#include <set>

#include "standin/loop.hpp"
#include "standin/site.hpp"

namespace paddletrack {
namespace {

using std::chrono::seconds, std::chrono::milliseconds;

struct Told {
  std::map<std::uint64_t, std::set<std::string>> views;  // by epoch, of all controllers
  std::uint64_t last = 0;                                // epoch of the one asked for
};
Told told(const standin::Site& site, std::size_t controllers, std::size_t of) {
  Told sum;
  for (std::size_t each = 0; each < controllers; ++each) {
    std::ifstream log(site.log(each));
    for (std::string line; std::getline(log, line);) {
      const std::size_t at = line.find("rebalance: epoch "), view = line.find("view ");
      if (at == std::string::npos || view == std::string::npos) continue;
      const std::uint64_t epoch = std::stoull(line.substr(at + 17));
      sum.views[epoch].insert(line.substr(view));
      if (each == of) sum.last = std::max(sum.last, epoch);
    }
  }
  return sum;
}

TEST(RebalanceFleet, OneViewAnEpochThroughADrainAKillAStopAndNoneWithoutMostOfThem) {
  constexpr unsigned kControllers = 3;
  constexpr int kNet = 117;
  standin::Loop loop;
  standin::SiteTerms terms;
  terms.program = PADDLETRACK_PROGRAM, terms.net = kNet, terms.executors = 4,
  terms.controllers = kControllers;
  terms.operatorsFileOf = [](unsigned which) {
    const auto at = [](unsigned each) {
      return "\"127.0." + std::to_string(kNet) + "." + std::to_string(200 + each) + ":19446\"";
    };
    return "share {\n  listen = " + at(which) + "\n  peers = [" + at(0) + ", " + at(1) + ", " + at(2) +
           "]\n  period = \"50ms\"\n}\nrebalance {\n  capacity = \"640MiB\"\n  group = \"64MiB\"\n"
           "  period = \"2s\"\n  guard = \"100ms\"\n}\n";
  };
  standin::Site site(loop, loop.unsent, terms);
  for (unsigned each = 0; each < terms.executors; ++each)
    site.executor(each).keepWarm({10, 64 << 20, milliseconds(30)});
  standin::Load load(loop, loop.unsent, site.fronts(), 3);
  std::vector<standin::Load::Kind> kinds;
  for (unsigned group = 1; group <= 12; ++group) {
    kinds.push_back(standin::Site::lookUps());
    kinds.back().group = group;
  }
  const auto ready = [&] { return load.inService(0) && load.inService(1) && load.inService(2); };
  ASSERT_TRUE(loop.until(ready));
  load.begin(120, kinds);
  const auto goesOn = [&](std::size_t who) {  // two epochs on from now
    const std::uint64_t now = told(site, kControllers, who).last;
    return loop.until([&] { return told(site, kControllers, who).last >= now + 2; }, seconds(20));
  };
  ASSERT_TRUE(goesOn(0));
  standin::ChangeLog::Server drained{"s-1", "127.0.117.1:18443"};
  drained.state = "leaving";
  site.changeLog().tell({drained});
  loop.pass(milliseconds(300));
  site.controller(2).signal(SIGKILL);  // midway
  EXPECT_TRUE(goesOn(0));              // two of three are most of them
  site.start(2);
  EXPECT_TRUE(goesOn(2));  // its log begins anew; it takes part again
  site.controller(1).signal(SIGSTOP);
  EXPECT_TRUE(goesOn(0));
  site.controller(2).signal(SIGKILL);  // one of three agrees on nothing
  loop.pass(seconds(2));
  const std::uint64_t alone = told(site, kControllers, 0).last;
  loop.pass(seconds(5));
  EXPECT_EQ(told(site, kControllers, 0).last, alone);
  site.controller(1).signal(SIGCONT);
  EXPECT_TRUE(goesOn(0));
  load.end();
  for (const auto& [epoch, views] : told(site, kControllers, 0).views) EXPECT_EQ(views.size(), 1U) << epoch;
  EXPECT_EQ(load.books().doubled, 0U);
  EXPECT_EQ(site.ranTwice(), 0U);
}

}  // namespace
}  // namespace paddletrack
