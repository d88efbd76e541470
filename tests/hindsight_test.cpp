// Looking back: propensities against brute force, estimates against worlds whose truth is known, and worlds
// made to fool them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "fake_host.hpp"
#include "hindsight/estimate.hpp"
#include "hindsight/fleet.hpp"
#include "hindsight/propensity.hpp"
#include "hindsight/recorder.hpp"

namespace paddletrack::hindsight {
namespace {

double chance(std::mt19937_64& dice) { return static_cast<double>(dice() >> 11) * 0x1p-53; }

RC_GTEST_PROP(Propensity, IsThatOfBruteForce, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 14);
  std::mt19937_64 dice(*rc::gen::arbitrary<std::uint32_t>());
  std::vector<double> scores, times(count);
  for (std::size_t each = 0; each < count; ++each) scores.push_back(1 + 0.15 * chance(dice));
  if (count > 3) scores[2] = scores[1];  // ties of the score are split by chance
  constexpr int kDraws = 2000;
  for (int draw = 0; draw < kDraws; ++draw) {
    std::size_t best = 0;
    double least = 1e9;
    for (std::size_t each = 0; each < count; ++each)
      if (const double drawn = scores[each] * (1 + kLuck * chance(dice)); drawn < least)
        least = drawn, best = each;
    times[best] += 1.0 / kDraws;
  }
  const std::vector<double> told = propensities(scores);
  double sum = 0;
  for (std::size_t each = 0; each < count; ++each) {
    sum += told[each];
    const double scatter = std::sqrt(told[each] * (1 - told[each]) / kDraws);
    RC_ASSERT(std::abs(told[each] - times[each]) <= 5 * scatter + 1e-3);
  }
  RC_ASSERT(std::abs(sum - 1) < 1e-9);
}

TEST(Propensity, KnownByHand) {
  EXPECT_EQ(propensities({}), std::vector<double>{});
  EXPECT_EQ(propensities({2, 3}), (std::vector<double>{1, 0}));  // out of chance's reach
  EXPECT_NEAR(propensities({1, 1.05})[1], 0.1190476, 1e-6);      // the integral of 1.1 - x, by hand
  for (const double each : propensities(std::vector<double>(200, 5.0))) EXPECT_NEAR(each, 1 / 200.0, 1e-3);
}

// A world of records alone: three engines, one of them slow. What each job would have come to is known.
struct World {
  std::mt19937_64 dice;
  std::vector<Record> records;
  double truth = 0, logged = 0;
  explicit World(std::uint64_t seed) : dice(seed) {}
  // `hidden` and `evade`: in stretches of jobs a state the record lacks makes engine 0 bad, and the choice
  // turns away from it then, whatever the chances say. `never`: engine 0 is not taken at all.
  void play(int jobs, bool evade = false, bool never = false) {
    bool bad = false;
    for (int each = 0; each < jobs; ++each) {
      if (each % 25 == 0) bad = chance(dice) < 0.5;
      Record record;
      record.at = Span{each * 1000};
      record.kept = never ? 2 : 3;
      const double first = never ? 0 : 0.2 + 0.3 * chance(dice);
      const std::array<double, 3> chances{first, (1 - first) / 2, (1 - first) / 2};
      double draw = chance(dice);
      std::size_t chosen = draw < chances[0] ? 0 : draw < chances[0] + chances[1] ? 1 : 2;
      if (evade && bad && chosen == 0) chosen = 1;
      if (evade && !bad && chosen == 1 && draw < 0.7) chosen = 0;
      const double size = 0.1 * std::exp(chance(dice));
      const auto comesTo = [&](std::size_t engine) {
        return size * (engine == 0 ? (evade ? (bad ? 6.0 : 1.0) : 3.0) : 1.0);
      };
      record.told = 0.1F;
      record.startsAny = 1;
      const std::size_t from = never ? 1 : 0;
      for (std::size_t at = from; at < 3; ++at) {
        record.options[at - from] = {static_cast<std::uint32_t>(at), 0, static_cast<float>(chances[at]),
                                     0.5F};
        if (at == chosen) record.chosen = static_cast<std::uint8_t>(at - from);
      }
      Record::Other& other = record.others[0];  // always engine 0
      if (never) {
        other.beyond = 1;
      } else {
        other.left = 0;
        other.starts[0] = 1;
        other.weight = chosen == 0 ? static_cast<float>(1 / chances[0]) : 0;
      }
      record.latency = comesTo(chosen);
      record.inTime = record.latency < 0.4;
      truth += comesTo(0) / jobs, logged += record.latency / jobs;
      records.push_back(record);
    }
  }
  Answer answer(Measure measure = Measure::latency) const {
    std::vector<const Record*> all;
    for (const Record& each : records) all.push_back(&each);
    const Summary summary = summarise(all);
    return judge(hindsight::all(summary), Policy::leastInFlight, measure,
                 explained(summary.pooled, summary.checks));
  }
};

TEST(Estimates, NineInTenIntervalsHoldTheTruth) {
  std::array<int, kMethods> held{};
  std::array<double, kMethods> error{};
  constexpr int kWorlds = 200;
  for (std::uint64_t seed = 0; seed < kWorlds; ++seed) {
    World world(seed);
    world.play(600);
    const Answer answer = world.answer();
    ASSERT_TRUE(answer.best().told());
    for (std::size_t method = 0; method < kMethods; ++method) {
      held[method] += world.truth >= answer.by[method].low && world.truth <= answer.by[method].high;
      error[method] += std::abs(world.truth - answer.by[method].value) / kWorlds;
    }
  }
  for (const std::size_t method : {0, 1, 3}) {
    EXPECT_GE(held[method], 0.85 * kWorlds) << method;
    EXPECT_LE(held[method], 0.96 * kWorlds) << method;
  }
  EXPECT_LT(error[3], error[0]);
}

// The weights know nothing of a state that the record lacks: the number is wrong, far outside its interval,
// and must not be told.
TEST(Estimates, WhatTheRecordLacksEndsInCannotTell) {
  int wrong = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    World world(seed);
    world.play(2000, true);
    const Answer answer = world.answer();
    for (const Estimate& each : answer.by) {
      EXPECT_EQ(each.verdict, Verdict::unexplained);
      wrong += world.truth > each.high;
    }
  }
  EXPECT_GT(wrong, 60);  // of 80: each method is fooled
}

TEST(Estimates, AnEngineNeverChosenEndsInCannotTell) {
  World world(3);
  world.play(2000, false, true);
  for (const Estimate& each : world.answer().by) EXPECT_EQ(each.verdict, Verdict::outOfReach);
}

TEST(Estimates, FewJobsEndInCannotTell) {
  World world(4);
  world.play(60);
  EXPECT_EQ(world.answer().best().verdict, Verdict::tooFew);
  World rare(5);  // hardly a job of them was late
  rare.play(1000);
  for (Record& each : rare.records) each.inTime = true;
  EXPECT_EQ(rare.answer(Measure::inTime).best().verdict, Verdict::tooFew);
}

TEST(Estimates, TheSlowEngineIsNamedByItsRegret) {
  World world(6);
  world.play(2000);
  std::vector<const Record*> all;
  for (const Record& each : world.records) all.push_back(&each);
  const Summary summary = summarise(all);
  const Estimate slow = regret(summary.engines.at(0), Measure::latency, true);
  ASSERT_TRUE(slow.told());
  EXPECT_GT(slow.low, 0.1);  // twice the job's own time, 0.17 s on the average
  EXPECT_LT(regret(summary.engines.at(1), Measure::latency, true).low, 0);
}

// ---- the fleet's ----------------------------------------------------------------------------------------

struct Said {
  std::string owner;
  std::uint64_t generation;
  Entry entry;
};

// Each controller tells several times, some start anew; whatever is lost of the earlier, doubled or
// reordered, of each the last word of its last generation is counted, once.
RC_GTEST_PROP(HindsightFleet, NothingIsCountedTwice, ()) {
  std::mt19937_64 dice(*rc::gen::arbitrary<std::uint32_t>());
  const Names names{{"look-up"}, {"here"}, {{0, "e0"}, {1, "e1"}, {2, "e2"}}};
  std::vector<Said> all;
  double jobs = 0, latency = 0;
  for (const std::string owner : {"n1", "n2"}) {
    const int generations = 1 + static_cast<int>(chance(dice) * 2), words = 2;
    for (int generation = 1; generation <= generations; ++generation)
      for (int word = 1; word <= words; ++word) {
        World world(dice());
        world.play(3 + static_cast<int>(chance(dice) * 5));
        std::vector<const Record*> records;
        for (const Record& each : world.records) records.push_back(&each);
        for (Entry& each : entriesOf(summarise(records), names, static_cast<std::uint64_t>(word))) {
          RC_ASSERT(each.value.size() <= 1024U);
          all.push_back({owner, static_cast<std::uint64_t>(generation), std::move(each)});
        }
        if (generation == generations && word == words) {
          jobs += static_cast<double>(records.size());
          for (const Record* each : records) latency += each->latency;
        }
      }
  }
  std::vector<Said> heard = all;
  for (const Said& each : all)
    if (chance(dice) < 0.5) heard.push_back(each);
  std::shuffle(heard.begin(), heard.end(), dice);
  hindsight::Fleet fleet;
  for (const Said& each : heard) fleet.hear(each.owner, each.generation, each.entry.key, each.entry.value);
  const auto view = fleet.view();
  RC_ASSERT(view.all.jobs == jobs);
  RC_ASSERT(std::abs(view.all.logged[1] - latency) < 1e-4);
  RC_ASSERT(view.pooled.jobs == jobs);
  for (const Said& each : heard)
    RC_ASSERT(!fleet.hear(each.owner, each.generation, each.entry.key, each.entry.value));
}

TEST(HindsightFleet, WhatCantBeReadIsRefusedAndCounted) {
  hindsight::Fleet fleet;
  const Entry good = entriesOf(Summary{}, {}, 1).front();
  for (const std::string& bad : {std::string(), std::string("\xc1"), std::string("\x92\x01\x01"),
                                 good.value.substr(0, good.value.size() - 1), std::string(2000, 'x')})
    EXPECT_FALSE(fleet.hear("n1", 1, "p", bad));
  EXPECT_FALSE(fleet.hear("n1", 1, "x", good.value));
  EXPECT_FALSE(fleet.hear("n1", 1, "clook-up", good.value));  // of another kind
  EXPECT_EQ(fleet.refused(), 7U);
  EXPECT_TRUE(fleet.hear("n1", 1, good.key, good.value));
}

// ---- the records, from the real module ------------------------------------------------------------------

class Listening : public FakeHost {
 public:
  Recorder recorder{site, {64, 5min}};
  void weighed(const Job& job, const std::vector<Weighed>& all) override {
    FakeHost::weighed(job, all);
    recorder.weighed(job, all);
  }
  void dispatch(Dispatch& made) override {
    FakeHost::dispatch(made);
    recorder.started(made);
  }
};

TEST(Records, ChosenAsOftenAsTheirChancesSay) {
  double chosen = 0, expected = 0, scatter = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Listening host;
    host.site.machines = {{8, 0}, {7.6, 0}};
    host.site.controllers = 8;
    host.open(4, seed);
    host.list(0, {.kind = 1});
    host.controller->tellWeighed(true);
    for (int each = 0; each < 20; ++each) {
      Job& job = host.take(0);
      host.pass(20ms);
      for (Dispatch* sent : std::vector<Dispatch*>(host.sent))
        if (sent->out && each % 3) host.end(*sent);
      host.recorder.over(host.now, job, true);
    }
    for (const Record* each : host.recorder.records(host.now)) {
      EXPECT_FALSE(each->moved);
      ASSERT_LT(each->chosen, each->kept);
      for (std::size_t at = 0; at < each->kept; ++at) {
        const Record::Option& option = each->options[at];
        if (option.engine != 0) continue;
        chosen += each->chosen == at, expected += option.starts;
        scatter += option.starts * (1 - option.starts);
      }
    }
  }
  EXPECT_GT(scatter, 20);
  EXPECT_LT(std::abs(chosen - expected), 4 * std::sqrt(scatter));
}

TEST(Records, AreBoundedAndTheOldestGo) {
  Listening host;
  host.open(2);
  host.controller->tellWeighed(true);
  for (int each = 0; each < 200; ++each) {
    Job& job = host.take(0, 1ms);
    for (Dispatch* sent : std::vector<Dispatch*>(host.sent))
      if (sent->out) host.end(*sent);
    host.recorder.over(host.now, job, true);
    host.now += 10ms;
  }
  const auto all = host.recorder.records(host.now);
  EXPECT_EQ(all.size(), 64U);
  EXPECT_EQ(all.back()->at, host.now - 10ms);
  EXPECT_EQ(host.recorder.counts().finished, 200U);
  for (int each = 0; each < 200; ++each) host.take(1, 60s);  // open ones are bounded as well
  EXPECT_LE(host.recorder.counts().open, 64U);
  EXPECT_TRUE(host.recorder.records(host.now + 10min).empty());
}

TEST(Records, AJobThatWentElsewhereThanItsDrawIsMarked) {
  FakeHost host(2);
  Recorder recorder(host.site, {64, 5min});
  Job& job = host.take(0);
  Job other;
  other.type = job.type, other.expires = 1s;
  std::vector<Weighed> all{{&host.engines[0], 1, 1.01, 0.1, 1}, {&host.engines[1], 1, 1.05, 0.1, 1}};
  recorder.weighed(other, all);
  Dispatch sent;
  sent.job = &other, sent.engine = &host.engines[1];
  recorder.started(sent);
  recorder.over(100ms, other, true);
  EXPECT_TRUE(recorder.records(1s).front()->moved);
}

}  // namespace
}  // namespace paddletrack::hindsight
