// Tests of the counterfactual estimates: propensities against simulated choices, estimates against simulated
// environments with known outcomes of all actions, and environments that violate the assumptions.
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
  std::vector<double> scores, frequencies(count);
  for (std::size_t index = 0; index < count; ++index) scores.push_back(1 + 0.15 * nextRandom(randomEngine));
  if (count > 3) scores[2] = scores[1];  // equal scores have equal probabilities
  constexpr int kDraws = 2000;
  for (int drawIndex = 0; drawIndex < kDraws; ++drawIndex) {
    std::size_t selectedIndex = 0;
    double lowestScore = 1e9;
    for (std::size_t index = 0; index < count; ++index)
      if (const double randomizedScore = scores[index] * (1 + kScoreJitter * nextRandom(randomEngine));
          randomizedScore < lowestScore)
        lowestScore = randomizedScore, selectedIndex = index;
    frequencies[selectedIndex] += 1.0 / kDraws;
  }
  const std::vector<double> propensities = computePropensities(scores);
  double sum = 0;
  for (std::size_t index = 0; index < count; ++index) {
    sum += propensities[index];
    const double standardDeviation = std::sqrt(propensities[index] * (1 - propensities[index]) / kDraws);
    RC_ASSERT(std::abs(propensities[index] - frequencies[index]) <= 5 * standardDeviation + 1e-3);
  }
  RC_ASSERT(std::abs(sum - 1) < 1e-9);
}

TEST(Propensity, EqualsHandComputedValuesWhenScoresAreFixed) {
  EXPECT_EQ(computePropensities({}), std::vector<double>{});
  EXPECT_EQ(computePropensities({2, 3}), (std::vector<double>{1, 0}));  // beyond the jitter
  EXPECT_NEAR(computePropensities({1, 1.05})[1], 0.1190476,
              1e-6);  // the integral of 1.1 - x, solved by hand
  for (const double propensity : computePropensities(std::vector<double>(200, 5.0)))
    EXPECT_NEAR(propensity, 1 / 200.0, 1e-3);
}

// Generates decision records for three engines, one of which is slow. The outcome of each request at each
// engine is known.
struct SimulatedEnvironment {
  std::mt19937_64 generator;
  std::vector<DecisionRecord> records;
  double trueMean = 0, loggedMean = 0;
  explicit SimulatedEnvironment(std::uint64_t seed) : generator(seed) {}
  // With `avoidsHiddenState`, a confounder that the records lack makes engine 0 slow for some runs of
  // requests, and the choice then avoids it, regardless of the recorded propensities. With
  // `excludesFirstEngine`, engine 0 is never chosen.
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

TEST(CounterfactualEstimate, CoversTrueMeanInAboutNinetyPercentOfRunsWhenModelHolds) {
  std::array<int, kMethodCount> coveredCounts{};
  std::array<double, kMethodCount> meanErrors{};
  constexpr int kEnvironmentCount = 200;
  for (std::uint64_t seed = 0; seed < kEnvironmentCount; ++seed) {
    SimulatedEnvironment environment(seed);
    environment.simulateRequests(600);
    const PolicyEstimate policyEstimate = environment.evaluate();
    ASSERT_TRUE(policyEstimate.doublyRobust().isConclusive());
    for (std::size_t method = 0; method < kMethodCount; ++method) {
      coveredCounts[method] += environment.trueMean >= policyEstimate.byMethod[method].low &&
                               environment.trueMean <= policyEstimate.byMethod[method].high;
      meanErrors[method] +=
          std::abs(environment.trueMean - policyEstimate.byMethod[method].value) / kEnvironmentCount;
    }
  }
  for (const std::size_t method : {0, 1, 3}) {
    EXPECT_GE(coveredCounts[method], 0.85 * kEnvironmentCount) << method;
    EXPECT_LE(coveredCounts[method], 0.96 * kEnvironmentCount) << method;
  }
  EXPECT_LT(meanErrors[3], meanErrors[0]);
}

// The importance weights do not account for a confounder that the records lack. The true mean is then far
// outside of the confidence interval, and the estimate must not be reported as conclusive.
TEST(CounterfactualEstimate, IsMiscalibratedWhenHiddenStateDrivesChoice) {
  int wrongCount = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SimulatedEnvironment environment(seed);
    environment.simulateRequests(2000, true);
    const PolicyEstimate policyEstimate = environment.evaluate();
    for (const Estimate& estimate : policyEstimate.byMethod) {
      EXPECT_EQ(estimate.verdict, Verdict::miscalibrated);
      wrongCount += environment.trueMean > estimate.high;
    }
  }
  EXPECT_GT(wrongCount, 60);  // of 80 estimates, by all four methods
}

TEST(CounterfactualEstimate, IsUnreachableWhenEngineIsNeverChosen) {
  SimulatedEnvironment environment(3);
  environment.simulateRequests(2000, false, true);
  for (const Estimate& estimate : environment.evaluate().byMethod)
    EXPECT_EQ(estimate.verdict, Verdict::unreachable);
}

TEST(CounterfactualEstimate, HasTooFewRequestsWhenAllOrLateOnesAreRare) {
  SimulatedEnvironment environment(4);
  environment.simulateRequests(60);
  EXPECT_EQ(environment.evaluate().doublyRobust().verdict, Verdict::tooFewRequests);
  SimulatedEnvironment environmentWithoutLateRequests(5);  // no request is late
  environmentWithoutLateRequests.simulateRequests(1000);
  for (DecisionRecord& record : environmentWithoutLateRequests.records) record.onTime = true;
  EXPECT_EQ(environmentWithoutLateRequests.evaluate(Measure::onTime).doublyRobust().verdict,
            Verdict::tooFewRequests);
}

TEST(CounterfactualEstimate, ShowsRegretWhenEngineIsSlow) {
  SimulatedEnvironment environment(6);
  environment.simulateRequests(2000);
  std::vector<const DecisionRecord*> recordPointers;
  for (const DecisionRecord& record : environment.records) recordPointers.push_back(&record);
  const Summary summary = summarize(recordPointers);
  const Estimate slowEngineRegret = estimateRegret(summary.engines.at(0), Measure::latency, true);
  ASSERT_TRUE(slowEngineRegret.isConclusive());
  EXPECT_GT(slowEngineRegret.low, 0.1);  // the slow engine adds twice the service time, 0.17 s on average
  EXPECT_LT(estimateRegret(summary.engines.at(1), Measure::latency, true).low, 0);
}

// ---- statistics of the fleet ----------------------------------------------------------------------------

struct FleetMessage {
  std::string owner;
  std::uint64_t incarnation;
  EncodedEntry entry;
};

// Controllers publish repeatedly and some restart. If values are duplicated and reordered, only the last
// values of the last incarnation of each controller are counted, and exactly once.
RC_GTEST_PROP(CounterfactualFleetProperty, CountsLastReportOnceWhenReportsAreDuplicatedAndReordered, ()) {
  std::mt19937_64 randomEngine(*rc::gen::arbitrary<std::uint32_t>());
  const NameTable names{{"look-up"}, {"here"}, {{0, "e0"}, {1, "e1"}, {2, "e2"}}};
  std::vector<FleetMessage> published;
  double requests = 0, latency = 0;
  for (const std::string owner : {"n1", "n2"}) {
    const int incarnations = 1 + static_cast<int>(nextRandom(randomEngine) * 2), versions = 2;
    for (int incarnation = 1; incarnation <= incarnations; ++incarnation)
      for (int version = 1; version <= versions; ++version) {
        SimulatedEnvironment environment(randomEngine());
        environment.simulateRequests(3 + static_cast<int>(nextRandom(randomEngine) * 5));
        std::vector<const DecisionRecord*> records;
        for (const DecisionRecord& record : environment.records) records.push_back(&record);
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

TEST(CounterfactualFleet, RejectsAndCountsValueWhenItIsMalformed) {
  counterfactual::FleetStatistics fleet;
  const EncodedEntry validEntry = encodeSummary(Summary{}, {}, 1).front();
  for (const std::string& malformedValue :
       {std::string(), std::string("\xc1"), std::string("\x92\x01\x01"),
        validEntry.value.substr(0, validEntry.value.size() - 1), std::string(2000, 'x')})
    EXPECT_FALSE(fleet.mergeValue("n1", 1, "p", malformedValue));
  EXPECT_FALSE(fleet.mergeValue("n1", 1, "x", validEntry.value));
  EXPECT_FALSE(
      fleet.mergeValue("n1", 1, "clook-up", validEntry.value));  // the value belongs to another kind of key
  EXPECT_EQ(fleet.rejectedCount(), 7U);
  EXPECT_TRUE(fleet.mergeValue("n1", 1, validEntry.key, validEntry.value));
}

// ---- records of the admission module --------------------------------------------------------------------

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
  double chosenCount = 0, expectedCount = 0, variance = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RecordingHost host;
    host.deployment.machineTypes = {{8, 0}, {7.6, 0}};
    host.deployment.controllerCount = 8;
    host.startController(4, seed);
    host.updateEndpoint(0, {.machineType = 1});
    host.controller->enableDecisionTrace(true);
    for (int index = 0; index < 20; ++index) {
      Request& request = host.submitRequest(0);
      host.advanceTime(20ms);
      for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts))
        if (attempt->inFlight && index % 3) host.finishAttempt(*attempt);
      host.recorder.onRequestFinished(host.now, request, true);
    }
    for (const DecisionRecord* record : host.recorder.records(host.now)) {
      EXPECT_FALSE(record->wasDiverted);
      ASSERT_LT(record->chosen, record->optionCount);
      for (std::size_t optionIndex = 0; optionIndex < record->optionCount; ++optionIndex) {
        const DecisionRecord::Option& option = record->options[optionIndex];
        if (option.engine != 0) continue;
        chosenCount += record->chosen == optionIndex, expectedCount += option.startProbability;
        variance += option.startProbability * (1 - option.startProbability);
      }
    }
  }
  EXPECT_GT(variance, 20);
  EXPECT_LT(std::abs(chosenCount - expectedCount), 4 * std::sqrt(variance));
}

TEST(DecisionRecorder, DropsOldestWhenCapacityIsReached) {
  RecordingHost host;
  host.startController(2);
  host.controller->enableDecisionTrace(true);
  for (int index = 0; index < 200; ++index) {
    Request& request = host.submitRequest(0, 1ms);
    for (Attempt* attempt : std::vector<Attempt*>(host.startedAttempts))
      if (attempt->inFlight) host.finishAttempt(*attempt);
    host.recorder.onRequestFinished(host.now, request, true);
    host.now += 10ms;
  }
  const auto records = host.recorder.records(host.now);
  EXPECT_EQ(records.size(), 64U);
  EXPECT_EQ(records.back()->arrivedAt, host.now - 10ms);
  EXPECT_EQ(host.recorder.counts().finished, 200U);
  for (int index = 0; index < 200; ++index) host.submitRequest(1, 60s);  // open records are limited as well
  EXPECT_LE(host.recorder.counts().openRecords, 64U);
  EXPECT_TRUE(host.recorder.records(host.now + 10min).empty());
}

TEST(DecisionRecorder, MarksRequestAsDivertedWhenAttemptUsesOtherEngine) {
  FakeAdmissionHost host(2);
  DecisionRecorder recorder(host.deployment, {64, 5min});
  Request& submittedRequest = host.submitRequest(0);
  Request divertedRequest;
  divertedRequest.requestClass = submittedRequest.requestClass, divertedRequest.deadline = 1s;
  std::vector<Candidate> candidates{{&host.engines[0], 1, 1.01, 0.1, 1}, {&host.engines[1], 1, 1.05, 0.1, 1}};
  recorder.onDecision(divertedRequest, candidates);
  Attempt attempt;
  attempt.request = &divertedRequest, attempt.engine = &host.engines[1];
  recorder.onAttemptStarted(attempt);
  recorder.onRequestFinished(100ms, divertedRequest, true);
  EXPECT_TRUE(recorder.records(1s).front()->wasDiverted);
}

}  // namespace
}  // namespace paddletrack::counterfactual
