// Many controllers that start together: the module by itself, and processes of the program against a list
// service that does badly.
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "coldstart/list_dials.hpp"
#include "standin/loop.hpp"
#include "standin/site.hpp"

namespace paddletrack {
namespace {

using namespace std::chrono_literals;
using coldstart::ListDials;
using coldstart::Span;
using End = ListDials::End;

// ---- the module -----------------------------------------------------------------------------------------

// How many dials of all fall in the fullest second, while each session ends so, from one cut on.
std::size_t fullestSecond(unsigned controllers, End how, Span from, Span to) {
  std::vector<std::size_t> seconds(static_cast<std::size_t>(to / 1s) + 1);
  for (unsigned each = 0; each < controllers; ++each) {
    ListDials dials({controllers, 20, 0, 60s}, true, 0x7a0 + each, Span{0});
    dials.ended(Span{0}, End::told, true);
    while (dials.due() < to) {
      if (dials.due() >= from) ++seconds[static_cast<std::size_t>(dials.due() / 1s)];
      dials.ended(dials.due(), how, true);
    }
  }
  return *std::max_element(seconds.begin(), seconds.end());
}

TEST(ListDials, AllTogetherKeepTheirRateAtAnySizeAndThroughAnyEnd) {
  for (const unsigned controllers : {50u, 200u, 500u})
    for (const End how : {End::unreachable, End::refused, End::silent, End::told}) {
      const Span from = how == End::told ? Span(30s) : Span(0);
      const std::size_t most = fullestSecond(controllers, how, from, 60s);
      // Those that are told something each time come back after half a window in the mean.
      EXPECT_LE(most, how == End::told ? 62u : 42u) << controllers;
      EXPECT_GE(most, 10u) << controllers;
    }
}

TEST(ListDials, WithoutRatesWaitsAreShortAndBounded) {
  ListDials dials({300, 0, 0, 30s}, true, 5, Span(7s));
  EXPECT_EQ(dials.due(), Span(7s));
  Span now = dials.due(), longest{0};
  for (int each = 0; each < 200; ++each) {
    dials.ended(now, End::unreachable, true);
    EXPECT_GE(dials.due() - now, Span(100ms));
    longest = std::max(longest, dials.due() - now);
    now = dials.due();
  }
  EXPECT_LE(longest, Span(800ms));
  EXPECT_GT(longest, Span(500ms));
  EXPECT_EQ(dials.failures(), 200u);
  dials.ended(now, End::unreachable, true);
  const Span due = dials.due();
  dials.doubt(now);
  EXPECT_EQ(dials.due(), due);
}

TEST(ListDials, NoWaitIsLongerThanTheLongestAndADoubtShortensItOnce) {
  Span sum{0};
  for (unsigned each = 0; each < 100; ++each) {
    ListDials dials({100000, 1, 1, 20s}, true, each, Span{0});
    EXPECT_LE(dials.due(), Span(20s));
    const Span due = dials.due();
    dials.doubt(Span{0});
    EXPECT_LE(dials.due(), due / 4);
    sum += dials.due();
    const Span hurried = dials.due();
    dials.doubt(Span{0});
    EXPECT_EQ(dials.due(), hurried);
    for (int times = 0; times < 10; ++times) {
      const Span now = dials.due();
      dials.ended(now, End::refused, true);
      EXPECT_LE(dials.due() - now, Span(20s));
    }
  }
  EXPECT_GT(sum / 100, Span(500ms));  // and still scattered
}

TEST(ListDials, OneThatSaysNothingIsWaitedForLongerUntilItSpeaks) {
  ListDials dials({}, false, 1, Span{0});
  EXPECT_EQ(dials.patience(), Span(1500ms));
  for (const Span patience : {Span(3s), Span(6s), Span(6s)}) {
    dials.ended(Span{0}, End::silent, false);
    EXPECT_EQ(dials.patience(), patience);
  }
  dials.ended(Span{0}, End::unreachable, false);
  EXPECT_EQ(dials.patience(), Span(6s));  // that says nothing of how slow it is
  dials.told();
  EXPECT_EQ(dials.patience(), Span(1500ms));
}

// ---- processes ------------------------------------------------------------------------------------------

struct Start : standin::Loop {
  Start(int net, unsigned controllers, const std::string& rates, bool knows) {
    terms.program = PADDLETRACK_PROGRAM;
    terms.net = net;
    terms.controllers = controllers;
    terms.executors = 6;
    terms.knows = knows;
    terms.starts = false;
    terms.doors = false;
    if (!rates.empty()) terms.operatorsFile = "coldstart {\n" + rates + "\n}\n";
  }
  void begin() {
    site.emplace(*this, unsent, terms);
    load.emplace(*this, unsent, site->fronts(), 3);
    load->beats(30ms);
    load->ownClients(true);
  }
  void startAll() {
    for (std::size_t each = 0; each < terms.controllers; ++each) site->start(each);
  }
  std::size_t ready() {
    std::size_t count = 0;
    for (std::size_t each = 0; each < terms.controllers; ++each) count += load->inService(each) ? 1 : 0;
    return count;
  }
  bool allReady(std::chrono::milliseconds most) {
    return until([&] { return ready() == terms.controllers; }, most);
  }
  // A job at each; every one is done.
  void oneEach() {
    load->begin(0, {standin::Site::lookUps()});
    const std::uint64_t before = load->books().answers[static_cast<std::size_t>(standin::Heard::What::done)];
    for (std::size_t each = 0; each < terms.controllers; ++each) load->send(0, each);
    EXPECT_TRUE(until([&] { return load->books().open == 0; }, 6s));
    EXPECT_EQ(load->books().answers[static_cast<std::size_t>(standin::Heard::What::done)] - before,
              terms.controllers);
    EXPECT_EQ(load->books().lost, 0u);
    EXPECT_EQ(load->books().doubled, 0u);
    EXPECT_EQ(site->ranTwice(), 0u);
  }
  std::string log(std::size_t which) {
    std::ifstream file(site->log(which));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  standin::ChangeLog& list() { return site->changeLog(); }
  standin::SiteTerms terms;
  std::optional<standin::Site> site;
  std::optional<standin::Load> load;
};

std::size_t within(const std::vector<transport::Moment>& moments, std::chrono::milliseconds window) {
  std::size_t most = 0, from = 0;
  for (std::size_t to = 0; to < moments.size(); ++to) {
    while (moments[to] - moments[from] >= window) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}

nlohmann::json rig(const std::string& arguments) {
  std::FILE* pipe = ::popen((std::string(PADDLETRACK_RIG) + " coldstart --json " + arguments).c_str(), "r");
  std::string out;
  std::array<char, 4096> part;
  while (const std::size_t read = std::fread(part.data(), 1, part.size(), pipe))
    out.append(part.data(), read);
  EXPECT_EQ(::pclose(pipe), 0);
  nlohmann::json all = nlohmann::json::array();
  for (std::size_t at = 0, end; (end = out.find('\n', at)) != std::string::npos; at = end + 1)
    all.push_back(nlohmann::json::parse(out.substr(at, end - at)));
  return all;
}

// Fifty that know the list, all executors cold, jobs knocking: off and on in one run. The rig's exit code
// holds that no job is lost or doubled, and that no cold executor gets more than it can do.
TEST(ColdStart, FiftyThatKnowTheListSpareItsServiceAndServeAsMuch) {
  const nlohmann::json told = rig(
      "--controllers 50 --engines 10 --seconds 7 --rate 1 --cold --with 'coldstart {\n follows = 10 \n}'");
  ASSERT_EQ(told.size(), 2u);
  const nlohmann::json &off = told[0], &on = told[1];
  EXPECT_GE(off["list"]["reads"].get<int>(), 50);
  EXPECT_GE(on["list"]["reads"].get<int>(), 50);
  EXPECT_EQ(on["list"]["whole"], 0);
  EXPECT_LE(on["list"]["peak_1s"].get<int>(), 25);  // 10 are meant
  EXPECT_GT(on["jobs"]["done"].get<double>(), 0.5 * off["jobs"]["done"].get<double>());
}

TEST(ColdStart, AListServiceThatIsDownAtFirstIsNotRushedWhenItComesBack) {
  Start start(111, 24, "follows = 12\nreads = 12", false);  // windows of 2 s
  start.begin();
  start.list().close();
  start.startAll();
  start.pass(2500ms);
  EXPECT_EQ(start.ready(), 0u);
  start.list().open();
  EXPECT_TRUE(start.allReady(10s));
  EXPECT_LE(within(start.list().asked, 500ms), 15u);  // 6 are meant
  start.oneEach();
}

TEST(ColdStart, WhoKnowsTheListServesWithoutItsService) {
  Start start(112, 4, "", true);
  start.begin();
  start.list().close();
  start.startAll();
  EXPECT_TRUE(start.allReady(8s));
  start.oneEach();
}

// One answer takes longer than a beat and a half: taken for dead each time, nobody would ever have a list.
TEST(ColdStart, ASlowListServiceIsWaitedFor) {
  Start start(113, 2, "", false);
  start.begin();
  start.list().manner.each = 1800ms;
  start.startAll();
  EXPECT_TRUE(start.allReady(30s));
  start.oneEach();
}

TEST(ColdStart, AnAnswerCutInItsMiddleTellsNothingAndIsAskedForAgain) {
  Start start(114, 4, "", false);
  start.begin();
  start.list().manner.cutAfter = 150;
  start.startAll();
  start.pass(1500ms);
  EXPECT_EQ(start.ready(), 0u);
  EXPECT_GE(start.list().askedAll.size(), 4u);
  EXPECT_LE(start.list().askedAll.size(), 60u);
  start.list().manner.cutAfter = 0;
  EXPECT_TRUE(start.allReady(10s));
  start.oneEach();
}

TEST(ColdStart, AListServiceThatRefusesEightOfTenIsReachedAllTheSame) {
  Start start(115, 6, "reads = 12", false);  // a window of half a second
  start.begin();
  start.list().manner.refusesOf10 = 8;
  start.startAll();
  EXPECT_TRUE(start.allReady(40s));
  EXPECT_LE(within(start.list().accepted, 1s), 36u);
  start.oneEach();
}

// The engine that came last stays, though the service has gone back to before it; the first are away.
TEST(ColdStart, AnOldListDoesNotReplaceWhatIsKnown) {
  Start start(116, 2, "", true);
  start.begin();
  std::vector<standin::ChangeLog::Server> away;
  for (unsigned each = 0; each < 5; ++each)
    away.push_back({"s-" + std::to_string(each + 1), start.site->address(1 + each), "left"});
  start.list().tell(away);
  start.startAll();
  EXPECT_TRUE(start.allReady(8s));
  start.list().close();
  start.list().manner.endsAt = 1;
  start.list().open();
  EXPECT_TRUE(start.until([&] { return start.log(0).find("an old list") != std::string::npos; }, 6s));
  start.oneEach();
  EXPECT_EQ(start.site->executor(5).asked(), 2u);
}

TEST(ColdStart, AWatchThatFallsSilentIsLeftAndWhatChangedIsHeard) {
  Start start(117, 3, "follows = 6", true);
  start.begin();
  start.list().manner.mute = true;
  start.startAll();
  EXPECT_TRUE(start.allReady(8s));
  start.pass(1s);
  std::vector<standin::ChangeLog::Server> away;
  for (unsigned each = 1; each < 6; ++each)
    away.push_back({"s-" + std::to_string(each + 1), start.site->address(1 + each), "left"});
  start.list().tell(away);  // nobody is told
  const std::size_t before = start.list().asked.size();
  start.list().manner.mute = false;
  EXPECT_TRUE(start.until([&] { return start.list().asked.size() >= before + 3; }, 15s));
  start.pass(500ms);
  start.oneEach();
  EXPECT_EQ(start.site->executor(0).asked(), 3u);
}

TEST(ColdStart, HalfOfThemKilledWhileTheyStartComeUpAndNoJobOfTheOthersIsLost) {
  Start start(118, 10, "follows = 10\nreads = 10", false);
  start.begin();
  start.load->begin(50, {standin::Site::lookUps()});
  start.startAll();
  start.until([&] { return start.ready() >= 3; }, 8s);
  for (std::size_t each = 0; each < 5; ++each) start.site->controller(each).signal(SIGKILL);
  start.until([&] { return start.site->controller(0).ended() && start.site->controller(4).ended(); }, 2s);
  for (std::size_t each = 0; each < 5; ++each) start.site->start(each);
  EXPECT_TRUE(start.allReady(15s));
  start.pass(500ms);
  start.load->end();
  EXPECT_TRUE(start.until([&] { return start.load->books().open == 0; }, 6s));
  for (const standin::Load::Job& job : start.load->jobs()) EXPECT_FALSE(job.lost && job.controller >= 5);
  EXPECT_EQ(start.load->books().doubled, 0u);
}

// They go to the other service one by one, and follow the old one until then.
TEST(ColdStart, SighupToAnotherListServiceIsSpreadAndTheOldOneIsFollowedMeanwhile) {
  Start start(119, 12, "follows = 6", true);  // a window of 2 s
  start.begin();
  start.startAll();
  EXPECT_TRUE(start.allReady(8s));
  EXPECT_TRUE(start.until([&] { return start.list().asked.size() >= 12; }, 8s));
  standin::ChangeLog other(start, start.unsent, transport::Address(start.site->address(251)));
  std::vector<standin::ChangeLog::Server> all;
  for (unsigned each = 0; each < 6; ++each)
    all.push_back({"s-" + std::to_string(each + 1), start.site->address(1 + each)});
  other.tell(all, true);
  for (std::size_t each = 0; each < 12; ++each) start.site->moveList(each, start.site->address(251));
  EXPECT_TRUE(start.until([&] { return other.asked.size() == 12; }, 8s));
  EXPECT_EQ(other.askedAll.size(), 0u);  // followed from where they were
  EXPECT_LE(within(other.asked, 300ms), 8u);
  EXPECT_EQ(start.list().asked.size(), 12u);
  start.oneEach();
}

}  // namespace
}  // namespace paddletrack
