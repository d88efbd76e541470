// Which address next, when, and what becomes of a dispatch whose connection has ended.
#include "reach/reach.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace paddletrack::reach {
namespace {

using namespace std::chrono_literals;

const Terms kTerms{250ms, {Family::local, Family::ipv6, Family::ipv4}};

Routes three() {
  Routes routes;
  routes.list({{"4", Family::ipv4}, {"6", Family::ipv6}, {"u", Family::local}}, false);
  return routes;
}

std::string order(const Routes& routes, Span now, const Terms& terms = kTerms) {
  std::string names;
  for (const std::size_t each : routes.order(now, terms)) names += routes.all()[each].name;
  return names;
}

TEST(Routes, LocalFirstThenTheFamiliesInTurnAsPreferred) {
  Routes routes;
  routes.list({{"a", Family::ipv4},
               {"b", Family::ipv4},
               {"C", Family::ipv6},
               {"D", Family::ipv6},
               {"u", Family::local}},
              false);
  EXPECT_EQ(order(routes, 0s), "uCaDb");
  EXPECT_EQ(order(routes, 0s, {250ms, {Family::ipv4, Family::local, Family::ipv6}}), "auCbD");
}

TEST(Routes, LastGoodBeforeUnknownBeforeFailedAndNoneLeftOut) {
  Routes routes = three();
  routes.learn(1s, "4", Lesson::good, 2ms, kTerms, 0.5);
  EXPECT_EQ(order(routes, 1s), "4u6");
  routes.learn(1s, "u", Lesson::refused, {}, kTerms, 0.5);
  EXPECT_EQ(order(routes, 1s), "46u");
  routes.learn(1s, "4", Lesson::noAnswer, {}, kTerms, 0.5);
  routes.learn(1s, "6", Lesson::noAnswer, {}, kTerms, 0.0);
  EXPECT_EQ(order(routes, 1s).size(), 3U);
  EXPECT_EQ(order(routes, 1s).substr(0, 1), "u");
  EXPECT_EQ(order(routes, 2500ms), "u64");  // all rests are over
  routes.learn(3s, "4", Lesson::good, 2ms, kTerms, 0.5);
  EXPECT_EQ(order(routes, 3s).substr(0, 1), "4");
  EXPECT_EQ(order(routes, 100s), "4u6");  // what failed long ago is as good as unknown
}

// A dispatch that must not run twice is not the one to find out.
TEST(Routes, OneThatIsPreferredIsTriedAgainWhenItIsDue) {
  Routes routes = three();
  routes.learn(0s, "4", Lesson::good, 2ms, kTerms, 0.5);
  routes.learn(0s, "u", Lesson::silent, {}, kTerms, 0.5);
  const auto first = [&](Span now, bool careful) {
    return routes.all()[routes.order(now, kTerms, careful)[0]].name;
  };
  EXPECT_EQ(first(999ms, false), "4");
  EXPECT_EQ(first(1s, false), "u");
  EXPECT_EQ(first(1s, true), "4");
  EXPECT_EQ(first(100s, false), "u");
  routes.learn(100s, "u", Lesson::good, 1ms, kTerms, 0.5);
  EXPECT_EQ(first(100s, true), "u");
  routes.learn(100s, "4", Lesson::refused, {}, kTerms, 0.5);
  EXPECT_EQ(first(110s, false), "u");  // what is preferred less need not be tried
}

TEST(Routes, RestsDoubleUpToABoundAndAreSpread) {
  Routes routes = three();
  Span now{0}, least = 1h, most{0};
  for (int each = 0; each < 12; ++each) {
    routes.learn(now, "u", Lesson::refused, {}, kTerms, each % 2 == 0 ? 0.0 : 1.0);
    const Route& route = routes.all()[2];
    const Span rest = route.restsUntil - now;
    EXPECT_TRUE(each != 0 || rest == 750ms);
    EXPECT_TRUE(each != 1 || rest == 2500ms);
    least = std::min(least, rest), most = std::max(most, rest);
    const Span until = route.restsUntil;
    routes.learn(now + 1ms, "u", Lesson::refused, {}, kTerms, 0.5);  // one of many that failed together
    EXPECT_EQ(route.restsUntil, until);
    now = route.restsUntil;
  }
  EXPECT_LE(most, 40s);
  routes.learn(now, "u", Lesson::good, 1ms, kTerms, 0);
  routes.learn(now, "u", Lesson::refused, {}, kTerms, 0);
  EXPECT_EQ(routes.all()[2].restsUntil - now, 750ms);  // it begins afresh
}

TEST(Routes, AListKeepsWhatIsKnownButNotOfAnotherProcess) {
  Routes routes = three();
  routes.learn(0s, "6", Lesson::silent, {}, kTerms, 0.5);
  EXPECT_TRUE(routes.doubted("6"));
  routes.list({{"6", Family::ipv6}, {"6", Family::ipv6}, {"n", Family::ipv4}}, false);
  ASSERT_EQ(routes.all().size(), 2U);
  EXPECT_TRUE(routes.doubted("6"));
  routes.learn(0s, "4", Lesson::refused, {}, kTerms, 0.5);  // it has gone
  routes.list({{"6", Family::ipv6}}, true);
  EXPECT_FALSE(routes.doubted("6"));
  std::vector<Routes::Named> many;
  for (int each = 0; each < 64; ++each) many.push_back({std::to_string(each), Family::ipv4});
  EXPECT_EQ(routes.list(many, false), 48U);
}

TEST(Routes, ByHandItEndsByItself) {
  Routes routes = three();
  EXPECT_TRUE(routes.set(0s, "u", Routes::ByHand::avoid, 10min));
  EXPECT_FALSE(routes.set(0s, "x", Routes::ByHand::avoid, 10min));
  EXPECT_EQ(order(routes, 9min), "64u");
  EXPECT_EQ(order(routes, 10min), "u64");
  routes.set(0s, "4", Routes::ByHand::use, 1min);
  EXPECT_EQ(order(routes, 1s), "46u");
  routes.set(0s, "4", Routes::ByHand::free, 0s);
  routes.set(0s, "u", Routes::ByHand::free, 0s);
  EXPECT_EQ(order(routes, 1s), "u64");
}

TEST(Race, TheNextBeginsAStaggerLaterOrAsSoonAsOneHasFailed) {
  Race race(kTerms, {"a", "b", "c"}, 0s);
  EXPECT_EQ(race.look(0s, true).dial, "a");
  const Race::Act waits = race.look(0s, true);
  EXPECT_FALSE(waits.dial);
  EXPECT_EQ(waits.next, 50ms);
  EXPECT_EQ(race.look(50ms, true).dial, "b");
  race.failed(60ms);
  EXPECT_EQ(race.look(60ms, true).dial, "c");
  race.failed(70ms);
  EXPECT_FALSE(race.look(70ms, true).over);  // a or b is still out
  EXPECT_TRUE(race.look(250ms, true).over);
  Race lonely(kTerms, {"a"}, 0s);
  EXPECT_EQ(lonely.look(0s, false).dial, "a");  // whatever the limits, its connection has its place
  lonely.failed(1ms);
  EXPECT_TRUE(lonely.look(1ms, true).over);
  Race full(kTerms, {"a", "b"}, 0s);  // no room beside it: the next goes in its place
  full.look(0s, false);
  EXPECT_FALSE(full.look(49ms, false).dial);
  const Race::Act next = full.look(50ms, false);
  EXPECT_TRUE(next.inPlace);
  EXPECT_EQ(next.dial, "b");
  EXPECT_EQ(full.out(), 1U);
  full.failed(60ms);
  EXPECT_TRUE(full.look(60ms, false).over);
  EXPECT_TRUE(full.slow(0ms, 50ms));
  EXPECT_FALSE(full.slow(10ms, 50ms));
}

TEST(Dials, AreBoundedForEachAndForAll) {
  Dials dials(48);
  EXPECT_TRUE(dials.may(0));
  EXPECT_FALSE(dials.may(8));
  for (int each = 0; each < 12; ++each) dials.begun();
  EXPECT_FALSE(dials.may(0));
  dials.ended();
  EXPECT_TRUE(dials.may(0));
}

TEST(Fate, TheBorderIsTheKernel) {
  EXPECT_EQ(fateOf({true, false, true, 0, 5s}, 3, kTerms), Fate::reset);
  EXPECT_EQ(fateOf({true, true, true, 0, 5s}, 3, kTerms), Fate::spoilt);
  EXPECT_EQ(fateOf({false, false, true, 0, 5s}, 3, kTerms), Fate::goesOn);
  EXPECT_EQ(fateOf({false, true, true, 1, 5s}, 3, kTerms), Fate::goesOn);
  EXPECT_EQ(fateOf({false, false, true, 2, 5s}, 3, kTerms), Fate::unreachable);
  EXPECT_EQ(fateOf({false, false, false, 0, 5s}, 3, kTerms), Fate::unreachable);  // it drains
  EXPECT_EQ(fateOf({false, false, true, 0, 40ms}, 3, kTerms), Fate::unreachable);
  EXPECT_EQ(fateOf({false, false, true, 0, 5s}, 1, kTerms), Fate::unreachable);  // as with one address ever
}

TEST(Fate, WhatHasNotLeftMayWhileItsJobItsEngineAndItsTimeAreStillThere) {
  EXPECT_TRUE(mayLeave({false, true, 1us}));
  EXPECT_FALSE(mayLeave({true, true, 1us}));
  EXPECT_FALSE(mayLeave({false, false, 1us}));
  EXPECT_FALSE(mayLeave({false, true, 0us}));
}

// Every order of what can happen to one dispatch over three addresses, eleven steps deep: dials that come up
// or fail, writes that stop midway or are whole, connections that end, time that passes, an address that
// leaves the list. Its bytes are never whole on two connections, it is never stuck, and no address is out for
// ever.
class Everything {
 public:
  struct World {
    Span now{0};
    Routes routes = three();
    std::optional<Race> race;
    std::vector<std::string> dialling;
    std::optional<std::string> on;  // up on this one
    unsigned moved = 0, whole = 0;
    bool written = false, over = false;
  };
  static constexpr int kDeep = 11;

  void from(const World& world, int depth) {
    ++seen;
    ASSERT_LE(world.whole, 1U);
    ASSERT_EQ(world.routes.order(world.now, kTerms).size(), world.routes.all().size());
    if (world.over || depth == kDeep) return finish(world);
    if (!world.race && !world.on) return begin(world, depth);
    if (world.race) {
      for (std::size_t each = 0; each < world.dialling.size(); ++each) {
        World up = world;  // the first that is up wins, the others are closed
        up.on = up.dialling[each];
        up.dialling.clear();
        up.race.reset();
        from(up, depth + 1);
        World failed = world;
        failed.routes.learn(failed.now, failed.dialling[each], Lesson::refused, {}, kTerms, 0.5);
        failed.dialling.erase(failed.dialling.begin() + static_cast<std::ptrdiff_t>(each));
        failed.race->failed(failed.now);
        step(failed, depth);
      }
      World later = world;
      later.now = std::max(later.now + 1us, later.race->look(later.now, true).next);
      step(later, depth);
    } else {
      World whole = world;
      if (!whole.written) whole.written = true, ++whole.whole;
      from(whole, depth + 1);
      World ended = world;  // before or after it was whole
      part(ended, depth);
      World done = world;
      if (done.written) {
        done.routes.learn(done.now, *done.on, Lesson::good, 1ms, kTerms, 0.5);
        done.over = true;
        from(done, depth + 1);
      }
    }
    if (world.routes.all().size() > 1) {
      World gone = world;
      std::vector<Routes::Named> left;
      for (std::size_t each = 1; each < gone.routes.all().size(); ++each)
        left.push_back({gone.routes.all()[each].name, gone.routes.all()[each].family});
      gone.routes.list(left, false);
      from(gone, depth + 1);
    }
  }
  std::uint64_t seen = 0, ends = 0;

 private:
  void begin(World world, int depth) {
    std::vector<std::string> names;
    for (const std::size_t each : world.routes.order(world.now, kTerms))
      names.push_back(world.routes.all()[each].name);
    world.race.emplace(kTerms, names, world.now);
    step(world, depth);
  }
  void step(World world, int depth) {
    for (;;) {
      const Race::Act act = world.race->look(world.now, true);
      if (act.over) {  // unreachable: it never ran
        ASSERT_EQ(world.whole, 0U);
        for (const std::string& each : world.dialling)
          world.routes.learn(world.now, each, Lesson::noAnswer, {}, kTerms, 0.5);
        world.over = true;
        return from(world, depth + 1);
      }
      if (!act.dial) break;
      world.dialling.push_back(*act.dial);
    }
    ASSERT_FALSE(world.dialling.empty());
    from(world, depth + 1);
  }
  void part(World world, int depth) {
    world.routes.learn(world.now, *world.on, Lesson::resetEarly, {}, kTerms, 0.5);
    const Fate fate =
        fateOf({world.written, false, true, world.moved, 5s}, world.routes.all().size(), kTerms);
    ASSERT_EQ(world.written, fate == Fate::reset);
    world.on.reset();
    if (fate == Fate::goesOn) {
      ++world.moved;
      from(world, depth + 1);
    } else {
      world.over = true;
      from(world, depth + 1);
    }
  }
  // Left alone, time ends it; and each address is first again some time later.
  void finish(const World& world) {
    ++ends;
    World left = world;
    ASSERT_TRUE(!left.race || left.race->look(left.race->end(), true).over);
    for (const Route& each : left.routes.all()) {
      ASSERT_LE(each.restsUntil, left.now + 41s);
      ASSERT_LE(left.moved, 2U);
    }
  }
};

TEST(Reach, EveryOrderOfEventsElevenStepsDeep) {
  Everything everything;
  everything.from({}, 0);
  EXPECT_GT(everything.seen, 20000U);
  EXPECT_GT(everything.ends, 5000U);
}

}  // namespace
}  // namespace paddletrack::reach
