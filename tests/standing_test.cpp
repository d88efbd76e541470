// Several controllers as processes, in troubles that come together.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <system_error>

#include "standin/loop.hpp"
#include "standin/site.hpp"
#include "standin/vandals.hpp"

namespace paddletrack::standin {
namespace {

using namespace std::chrono_literals;

// The change log falls silent, a SIGHUP names a file that is wrong or a log that is not there, one executor
// takes all and answers nothing, one answers all twice, clients mean no good, and in the middle of it every
// controller is restarted in turn. Every job gets one answer; what the log told meanwhile holds once it
// speaks.
TEST(Standing, RestartsWithoutAListAmongHungAndDoublingExecutorsLoseNothing) {
  Loop loop;
  SiteTerms terms;
  terms.program = PADDLETRACK_PROGRAM;
  terms.executors = 6;
  terms.controllers = 3;
  terms.doors = false;
  std::optional<Site> placed;
  for (terms.net = 150; !placed;) {  // the first net that nobody else uses
    try {
      placed.emplace(loop, loop.unsent, terms);
    } catch (const std::system_error&) {
      if (++terms.net > 170) throw;
    }
  }
  Site& site = *placed;
  const std::string net = "127.0." + std::to_string(terms.net) + ".";
  Load load(loop, loop.unsent, site.fronts(), 7);
  load.beats(20ms);
  const auto allServe = [&] {
    for (std::size_t each = 0; each < terms.controllers; ++each)
      if (!load.inService(each)) return false;
    return true;
  };
  ASSERT_TRUE(loop.until(allServe));
  load.begin(150, {Site::lookUps(9), {"report", "acme", 1, 100ms, 300ms, 2s}});
  Vandals vandals(loop, loop.unsent, site.fronts().front(), 3);
  loop.pass(300ms);
  site.changeLog().hush(true);
  site.executor(0).fail(0, Executor::Fault::deaf);
  site.executor(1).fail(0, Executor::Fault::twice);
  for (std::size_t each = 0; each < terms.controllers; ++each) {
    const std::string path = site.folder() + "/config" + std::to_string(each) + ".json";
    std::ifstream file(path);
    std::string text(std::istreambuf_iterator<char>(file), {});
    const std::string log = net + "250:18443";
    if (each == 0) {
      text.resize(text.size() / 2);
    } else {
      text.replace(text.find(log), log.size(), net + "251:18443");  // nobody is there
    }
    std::ofstream(path) << text;
    site.controller(each).signal(SIGHUP);
  }
  loop.pass(300ms);
  for (std::size_t each = 0; each < terms.controllers; ++each) {
    site.controller(each).signal(SIGTERM);
    ASSERT_TRUE(loop.until([&] { return site.controller(each).ended().has_value(); }, 3700ms)) << each;
    EXPECT_EQ(site.controller(each).ended(), 0);
    site.start(each);
    ASSERT_TRUE(loop.until([&] { return load.inService(each); }));
  }
  site.changeLog().tell({{"s-6", net + "6:18443", "left"}});
  site.changeLog().hush(false);
  loop.pass(2s);  // a silent session is given up after 1.5 s
  const std::uint64_t asked = site.executor(5).asked();
  loop.pass(500ms);
  EXPECT_EQ(site.executor(5).asked(), asked);
  EXPECT_GT(asked, 0U);
  load.end();
  EXPECT_TRUE(loop.until([&] { return load.books().open == 0; }, 5s));
  const Load::Books& books = load.books();
  EXPECT_EQ(books.lost, 0U);
  EXPECT_EQ(books.doubled, 0U);
  EXPECT_EQ(books.unasked, 0U);
  EXPECT_GT(books.answers[0], books.sent * 3 / 4);
}

}  // namespace
}  // namespace paddletrack::standin
