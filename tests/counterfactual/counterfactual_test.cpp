// Tests of the counterfactual estimates: propensities against brute force, estimates against simulated worlds
// whose truth is known, and worlds that violate their assumptions.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "counterfactual/decision_recorder.hpp"
#include "counterfactual/estimate.hpp"
#include "counterfactual/fleet_statistics.hpp"
#include "counterfactual/propensity.hpp"
#include "support/fake_admission_host.hpp"

namespace paddletrack::counterfactual {
namespace {

double nextRandom(std::mt19937_64& generator) { return static_cast<double>(generator() >> 11) * 0x1p-53; }

RC_GTEST_PROP(PropensityProperty, MatchesSimulatedChoicesWhenScoresAreRandom, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 14);
  std::mt19937_64 randomEngine(*rc::gen::arbitrary<std::uint32_t>());
  std::vector<double> scores, times(count);
  for (std::size_t index = 0; index < count; ++index) scores.push_back(1 + 0.15 * nextRandom(randomEngine));
  if (count > 3) scores[2] = scores[1];  // equal scores have equal probabilities
  constexpr int kDraws = 2000;
  for (int sampleIndex = 0; sampleIndex < kDraws; ++sampleIndex) {
    std::size_t best = 0;
    double lowest = 1e9;
    for (std::size_t item = 0; item < count; ++item)
      if (const double randomizedScore = scores[item] * (1 + kScoreJitter * nextRandom(randomEngine));
          randomizedScore < lowest)
        lowest = randomizedScore, best = item;
    times[best] += 1.0 / kDraws;
  }
  const std::vector<double> propensities = computePropensities(scores);
  double sum = 0;
  for (std::size_t item = 0; item < count; ++item) {
    sum += propensities[item];
    const double scatter = std::sqrt(propensities[item] * (1 - propensities[item]) / kDraws);
    RC_ASSERT(std::abs(propensities[item] - times[item]) <= 5 * scatter + 1e-3);
  }
  RC_ASSERT(std::abs(sum - 1) < 1e-9);
}

TEST(Propensity, EqualsHandComputedValuesWhenScoresAreFixed) {
  EXPECT_EQ(computePropensities({}), std::vector<double>{});
  EXPECT_EQ(computePropensities({2, 3}), (std::vector<double>{1, 0}));  // beyond the jitter
  EXPECT_NEAR(computePropensities({1, 1.05})[1], 0.1190476,
              1e-6);  // the integral of 1.1 - x, solved manually
  for (const double value : computePropensities(std::vector<double>(200, 5.0)))
    EXPECT_NEAR(value, 1 / 200.0, 1e-3);
}

// Generates records only: three engines, one of them slow. The outcome of each request at each engine is
// known.
struct SimulatedWorld {
  std::mt19937_64 generator;
  std::vector<DecisionRecord> records;
  double trueMean = 0, loggedMean = 0;
  explicit SimulatedWorld(std::uint64_t seed) : generator(seed) {}
  // `avoidsHiddenState`: in some stretches of requests a state that the records lack makes engine 0 bad, and
  // the choice avoids it then, regardless of the recorded probabilities. `excludesFirstEngine`: engine 0 is
  // never chosen.
  void simulateRequests(int count, bool avoidsHiddenState = false, bool excludesFirstEngine = false) {
    bool firstEngineIsBad = false;
    for (int index = 0; index < count; ++index) {
      if (index % 25 == 0) firstEngineIsBad = nextRandom(generator) < 0.5;
      DecisionRecord record;
      record.arrivedAt = Duration{index * 1000};
      record.optionCount = excludesFirstEngine ? 2 : 3;
      const double firstProbability = excludesFirstEngine ? 0 : 0.2 + 0.3 * nextRandom(generator);
      const std::array<double, 3> probabilities{firstProbability, (1 - firstProbability) / 2,
                                                (1 - firstProbability) / 2};
      double uniformDraw = nextRandom(generator);
      std::size_t chosenEngine = uniformDraw < probabilities[0]                      ? 0
                                 : uniformDraw < probabilities[0] + probabilities[1] ? 1
                                                                                     : 2;
      if (avoidsHiddenState && firstEngineIsBad && chosenEngine == 0) chosenEngine = 1;
      if (avoidsHiddenState && !firstEngineIsBad && chosenEngine == 1 && uniformDraw < 0.7) chosenEngine = 0;
      const double work = 0.1 * std::exp(nextRandom(generator));
      const auto latencyOn = [&](std::size_t engine) {
        return work * (engine == 0 ? (avoidsHiddenState ? (firstEngineIsBad ? 6.0 : 1.0) : 3.0) : 1.0);
      };
      record.declaredCost = 0.1F;
      record.totalStartProbability = 1;
      const std::size_t firstEngine = excludesFirstEngine ? 1 : 0;
      for (std::size_t engine = firstEngine; engine < 3; ++engine) {
        record.options[engine - firstEngine] = {static_cast<std::uint32_t>(engine), 0,
                                                static_cast<float>(probabilities[engine]), 0.5F};
        if (engine == chosenEngine) record.chosen = static_cast<std::uint8_t>(engine - firstEngine);
      }
      DecisionRecord::PolicyOutcome& alternative = record.policies[0];  // selects engine 0 for all requests
      if (excludesFirstEngine) {
        alternative.unreachableProbability = 1;
      } else {
        alternative.asLoggedProbability = 0;
        alternative.startProbabilities[0] = 1;
        alternative.importanceWeight = chosenEngine == 0 ? static_cast<float>(1 / probabilities[0]) : 0;
      }
      record.latency = latencyOn(chosenEngine);
      record.onTime = record.latency < 0.4;
      trueMean += latencyOn(0) / count, loggedMean += record.latency / count;
      records.push_back(record);
    }
  }
  PolicyEstimate evaluate(Measure measure = Measure::latency) const {
    std::vector<const DecisionRecord*> recordPointers;
    for (const DecisionRecord& record : records) recordPointers.push_back(&record);
    const Summary summary = summarize(recordPointers);
    return estimatePolicy(counterfactual::sumClasses(summary), Policy::leastInFlight, measure,
                          isWellCalibrated(summary.pooledCalibration, summary.calibration));
  }
};

TEST(CounterfactualEstimate, CoversTrueValueInAboutNineOfTenWorldsWhenModelHolds) {
  std::array<int, kMethodCount> held{};
  std::array<double, kMethodCount> error{};
  constexpr int kWorlds = 200;
  for (std::uint64_t seed = 0; seed < kWorlds; ++seed) {
    SimulatedWorld world(seed);
    world.simulateRequests(600);
    const PolicyEstimate answer = world.evaluate();
    ASSERT_TRUE(answer.doublyRobust().isConclusive());
    for (std::size_t method = 0; method < kMethodCount; ++method) {
      held[method] +=
          world.trueMean >= answer.byMethod[method].low && world.trueMean <= answer.byMethod[method].high;
      error[method] += std::abs(world.trueMean - answer.byMethod[method].value) / kWorlds;
    }
  }
  for (const std::size_t method : {0, 1, 3}) {
    EXPECT_GE(held[method], 0.85 * kWorlds) << method;
    EXPECT_LE(held[method], 0.96 * kWorlds) << method;
  }
  EXPECT_LT(error[3], error[0]);
}

// The weights do not account for a state that the records lack. The estimate is wrong, far outside of its
// interval, and must not be reported as conclusive.
TEST(CounterfactualEstimate, IsUnexplainedWhenHiddenStateDrivesChoice) {
  int wrong = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SimulatedWorld world(seed);
    world.simulateRequests(2000, true);
    const PolicyEstimate answer = world.evaluate();
    for (const Estimate& estimate : answer.byMethod) {
      EXPECT_EQ(estimate.verdict, Verdict::miscalibrated);
      wrong += world.trueMean > estimate.high;
    }
  }
  EXPECT_GT(wrong, 60);  // of 80: each method is wrong
}

TEST(CounterfactualEstimate, IsOutOfReachWhenEngineIsNeverChosen) {
  SimulatedWorld world(3);
  world.simulateRequests(2000, false, true);
  for (const Estimate& estimate : world.evaluate().byMethod)
    EXPECT_EQ(estimate.verdict, Verdict::unreachable);
}

TEST(CounterfactualEstimate, IsTooFewWhenRequestsOrLateOnesAreRare) {
  SimulatedWorld world(4);
  world.simulateRequests(60);
  EXPECT_EQ(world.evaluate().doublyRobust().verdict, Verdict::tooFewRequests);
  SimulatedWorld rare(5);  // hardly any request was late
  rare.simulateRequests(1000);
  for (DecisionRecord& record : rare.records) record.onTime = true;
  EXPECT_EQ(rare.evaluate(Measure::onTime).doublyRobust().verdict, Verdict::tooFewRequests);
}

TEST(CounterfactualEstimate, ShowsRegretWhenEngineIsSlow) {
  SimulatedWorld world(6);
  world.simulateRequests(2000);
  std::vector<const DecisionRecord*> all;
  for (const DecisionRecord& record : world.records) all.push_back(&record);
  const Summary summary = summarize(all);
  const Estimate slow = estimateRegret(summary.engines.at(0), Measure::latency, true);
  ASSERT_TRUE(slow.isConclusive());
  EXPECT_GT(slow.low, 0.1);  // twice the request's own time, 0.17 s on average
  EXPECT_LT(estimateRegret(summary.engines.at(1), Measure::latency, true).low, 0);
}

// ---- statistics of the fleet ----------------------------------------------------------------------------

struct FleetMessage {
  std::string owner;
  std::uint64_t incarnation;
  EncodedEntry entry;
};

// Controllers publish repeatedly and some restart. Whatever values are lost, duplicated or reordered, only
// the last values of the last incarnation of each controller are counted, and once.
RC_GTEST_PROP(CounterfactualFleetProperty, CountsLastReportOnceWhenReportsAreDuplicatedAndReordered, ()) {
  std::mt19937_64 randomEngine(*rc::gen::arbitrary<std::uint32_t>());
  const NameTable names{{"look-up"}, {"here"}, {{0, "e0"}, {1, "e1"}, {2, "e2"}}};
  std::vector<FleetMessage> published;
  double requests = 0, latency = 0;
  for (const std::string owner : {"n1", "n2"}) {
    const int incarnations = 1 + static_cast<int>(nextRandom(randomEngine) * 2), versions = 2;
    for (int incarnation = 1; incarnation <= incarnations; ++incarnation)
      for (int version = 1; version <= versions; ++version) {
        SimulatedWorld world(randomEngine());
        world.simulateRequests(3 + static_cast<int>(nextRandom(randomEngine) * 5));
        std::vector<const DecisionRecord*> records;
        for (const DecisionRecord& record : world.records) records.push_back(&record);
        for (EncodedEntry& entry :
             encodeSummary(summarize(records), names, static_cast<std::uint64_t>(version))) {
          RC_ASSERT(entry.value.size() <= 1024U);
          published.push_back({owner, static_cast<std::uint64_t>(incarnation), std::move(entry)});
        }
        if (incarnation == incarnations && version == versions) {
          requests += static_cast<double>(records.size());
          for (const DecisionRecord* record : records) latency += record->latency;
        }
      }
  }
  std::vector<FleetMessage> received = published;
  for (const FleetMessage& fleetMessage : published)
    if (nextRandom(randomEngine) < 0.5) received.push_back(fleetMessage);
  std::shuffle(received.begin(), received.end(), randomEngine);
  counterfactual::FleetStatistics fleet;
  for (const FleetMessage& fleetMessage : received)
    fleet.mergeValue(fleetMessage.owner, fleetMessage.incarnation, fleetMessage.entry.key,
                     fleetMessage.entry.value);
  const auto snapshot = fleet.snapshot();
  RC_ASSERT(snapshot.total.requests == requests);
  RC_ASSERT(std::abs(snapshot.total.logged[1] - latency) < 1e-4);
  RC_ASSERT(snapshot.pooledCalibration.requests == requests);
  for (const FleetMessage& fleetMessage : received)
    RC_ASSERT(!fleet.mergeValue(fleetMessage.owner, fleetMessage.incarnation, fleetMessage.entry.key,
                                fleetMessage.entry.value));
}

TEST(CounterfactualFleet, RefusesAndCountsReportWhenItIsMalformed) {
  counterfactual::FleetStatistics fleet;
  const EncodedEntry good = encodeSummary(Summary{}, {}, 1).front();
  for (const std::string& bad : {std::string(), std::string("\xc1"), std::string("\x92\x01\x01"),
                                 good.value.substr(0, good.value.size() - 1), std::string(2000, 'x')})
    EXPECT_FALSE(fleet.mergeValue("n1", 1, "p", bad));
  EXPECT_FALSE(fleet.mergeValue("n1", 1, "x", good.value));
  EXPECT_FALSE(fleet.mergeValue("n1", 1, "clook-up", good.value));  // the value of another kind of key
  EXPECT_EQ(fleet.rejectedCount(), 7U);
  EXPECT_TRUE(fleet.mergeValue("n1", 1, good.key, good.value));
}

// ---- records of the real admission module ---------------------------------------------------------------

class RecordingHost : public FakeAdmissionHost {
 public:
  DecisionRecorder recorder{deployment, {64, 5min}};
  void traceDecision(const Request& request, const std::vector<Candidate>& candidates) override {
    FakeAdmissionHost::traceDecision(request, candidates);
    recorder.onDecision(request, candidates);
  }
  void sendAttempt(Attempt& attempt) override {
    FakeAdmissionHost::sendAttempt(attempt);
    recorder.onAttemptStarted(attempt);
  }
};

TEST(DecisionRecorder, RecordsPropensitiesMatchingChoiceFrequencyWhenEngineIsSelected) {
  double chosen = 0, expected = 0, scatter = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RecordingHost host;
    host.deployment.machineTypes = {{8, 0}, {7.6, 0}};
    host.deployment.controllerCount = 8;
    host.startController(4, seed);
    host.updateEndpoint(0, {.machineType = 1});
    host.controller->enableDecisionTrace(true);
    for (int index = 0; index < 20; ++index) {
      Request& job = host.submitRequest(0);
      host.advanceTime(20ms);
      for (Attempt* sent : std::vector<Attempt*>(host.startedAttempts))
        if (sent->inFlight && index % 3) host.finishAttempt(*sent);
      host.recorder.onRequestFinished(host.now, job, true);
    }
    for (const DecisionRecord* record : host.recorder.records(host.now)) {
      EXPECT_FALSE(record->wasDiverted);
      ASSERT_LT(record->chosen, record->optionCount);
      for (std::size_t at = 0; at < record->optionCount; ++at) {
        const DecisionRecord::Option& option = record->options[at];
        if (option.engine != 0) continue;
        chosen += record->chosen == at, expected += option.startProbability;
        scatter += option.startProbability * (1 - option.startProbability);
      }
    }
  }
  EXPECT_GT(scatter, 20);
  EXPECT_LT(std::abs(chosen - expected), 4 * std::sqrt(scatter));
}

TEST(DecisionRecorder, DropsOldestWhenCapacityIsReached) {
  RecordingHost host;
  host.startController(2);
  host.controller->enableDecisionTrace(true);
  for (int index = 0; index < 200; ++index) {
    Request& job = host.submitRequest(0, 1ms);
    for (Attempt* sent : std::vector<Attempt*>(host.startedAttempts))
      if (sent->inFlight) host.finishAttempt(*sent);
    host.recorder.onRequestFinished(host.now, job, true);
    host.now += 10ms;
  }
  const auto all = host.recorder.records(host.now);
  EXPECT_EQ(all.size(), 64U);
  EXPECT_EQ(all.back()->arrivedAt, host.now - 10ms);
  EXPECT_EQ(host.recorder.counts().finished, 200U);
  for (int item = 0; item < 200; ++item) host.submitRequest(1, 60s);  // open records are limited as well
  EXPECT_LE(host.recorder.counts().openRecords, 64U);
  EXPECT_TRUE(host.recorder.records(host.now + 10min).empty());
}

TEST(DecisionRecorder, MarksRequestAsMovedWhenAttemptUsesOtherEngine) {
  FakeAdmissionHost host(2);
  DecisionRecorder recorder(host.deployment, {64, 5min});
  Request& job = host.submitRequest(0);
  Request other;
  other.requestClass = job.requestClass, other.deadline = 1s;
  std::vector<Candidate> all{{&host.engines[0], 1, 1.01, 0.1, 1}, {&host.engines[1], 1, 1.05, 0.1, 1}};
  recorder.onDecision(other, all);
  Attempt sent;
  sent.request = &other, sent.engine = &host.engines[1];
  recorder.onAttemptStarted(sent);
  recorder.onRequestFinished(100ms, other, true);
  EXPECT_TRUE(recorder.records(1s).front()->wasDiverted);
}

}  // namespace
}  // namespace paddletrack::counterfactual
