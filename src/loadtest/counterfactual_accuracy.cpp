// Measures the accuracy of the counterfactual estimates on simulated runs of the real admission module. The
// true outcome of each request under another policy comes from a forked copy of the run in which the policy
// is forced on that request alone; the estimates only see the records. Also simulates runs with the policy
// forced on all requests.
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "counterfactual/estimate.hpp"
#include "loadtest/controller_simulation.hpp"
#include "loadtest/experiments.hpp"

namespace paddletrack::loadtest {
namespace {

using counterfactual::kMeasureCount;
using counterfactual::kMethodCount;
using counterfactual::kPolicyCount;
using counterfactual::Measure;
using counterfactual::Policy;
using counterfactual::Verdict;

constexpr unsigned kForksPerRequest = 3;        // of a request whose policy is randomized
constexpr std::size_t kMaxConcurrentForks = 4;  // processes that run at once

// An array that a process shares with its forked copies.
template <typename Element>
class SharedArray {
 public:
  explicit SharedArray(std::size_t count)
      : sizeBytes_(std::max<std::size_t>(1, count) * sizeof(Element)),
        elements_(static_cast<Element*>(
            ::mmap(nullptr, sizeBytes_, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0))) {
    if (elements_ == MAP_FAILED)
      throw std::runtime_error("cannot map memory to share with forked copies of a run");
  }
  SharedArray(const SharedArray&) = delete;
  SharedArray& operator=(const SharedArray&) = delete;
  ~SharedArray() { ::munmap(elements_, sizeBytes_); }
  Element& operator[](std::size_t index) { return elements_[index]; }

 private:
  std::size_t sizeBytes_;
  Element* elements_;
};

struct ForkedOutcomes {
  std::atomic<unsigned> forkCount{0};
  std::array<double, kForksPerRequest> latencySeconds{}, inTime{};
  double computeMean(const std::array<double, kForksPerRequest>& values) const {
    return std::accumulate(values.begin(), values.end(), 0.0) / forkCount;
  }
};

struct ScenarioResult {
  bool complete = false;
  double requestCount = 0, forkCount = 0;
  struct PolicyResult {
    std::array<double, kMeasureCount> trueMean{}, appliedToAll{}, loggedMean{};
    std::array<counterfactual::PolicyEstimate, kMeasureCount> estimates{};
    std::array<counterfactual::Estimate, kMeasureCount> differenceFromLogged{};
  };
  std::array<PolicyResult, kPolicyCount> policies{};
  std::array<std::array<counterfactual::Estimate, kMeasureCount>, counterfactual::kPairCount>
      policyDifferences{};
};

pid_t waitForProcess(pid_t child) {
  int status = 0;
  while (::waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
    throw std::runtime_error("a forked copy of a run failed");
  return child;
}

ScenarioResult runScenario(std::uint64_t seed) {
  SimulationOptions options;
  options.seed = seed;
  options.kind = static_cast<ScenarioKind>(seed % kScenarioKindCount);
  ControllerSimulation simulation(options);
  const std::size_t requestCount = simulation.outcomes().size();
  SharedArray<ForkedOutcomes> forkedOutcomes(requestCount * kPolicyCount);
  ScenarioResult result;
  bool isFork = false;
  std::size_t forkedRequest = 0, currentCell = 0;
  std::vector<pid_t> forkProcesses;
  // By cell, a pair of request and policy: the cell whose forks it shares.
  std::vector<std::size_t> sourceCell(requestCount * kPolicyCount);
  for (std::size_t index = 0; index < sourceCell.size(); ++index) sourceCell[index] = index;
  std::vector<std::pair<const Engine*, std::size_t>> cellsByEngine;  // of the current request
  std::size_t lastRequest = requestCount;
  const auto waitForForks = [&](std::size_t maxRunning) {
    for (; forkProcesses.size() > maxRunning; forkProcesses.erase(forkProcesses.begin()))
      waitForProcess(forkProcesses.front());
  };
  simulation.setForkFunction(
      [&](std::size_t requestIndex, Policy policy, const Engine* certainEngine) -> unsigned {
        if (std::exchange(lastRequest, requestIndex) != requestIndex) cellsByEngine.clear();
        currentCell = requestIndex * kPolicyCount + static_cast<std::size_t>(policy);
        for (const auto& [engine, knownCell] : cellsByEngine)
          if (engine == certainEngine) return sourceCell[currentCell] = knownCell, 0;
        if (certainEngine) cellsByEngine.emplace_back(certainEngine, currentCell);
        const unsigned forks = certainEngine || policy == Policy::noProbabilisticStart ? 1 : kForksPerRequest;
        for (unsigned forkNumber = 1; forkNumber <= forks; ++forkNumber) {
          waitForForks(kMaxConcurrentForks - 1);
          const pid_t child = ::fork();
          if (child < 0) throw std::runtime_error("cannot fork a copy of a run");
          if (child == 0) {
            isFork = true, forkedRequest = requestIndex;
            return forkNumber;
          }
          forkProcesses.push_back(child);
          ++result.forkCount;
        }
        return 0;
      });
  simulation.run([&](std::size_t requestIndex, double latencySeconds, bool inTime) {
    if (!isFork || requestIndex != forkedRequest) return;
    ForkedOutcomes& outcomes = forkedOutcomes[currentCell];
    const std::size_t slot = outcomes.forkCount.fetch_add(1);
    outcomes.latencySeconds[slot] = latencySeconds, outcomes.inTime[slot] = inTime ? 1 : 0;
    ::_exit(0);
  });
  if (isFork) ::_exit(1);
  waitForForks(0);
  const auto records = simulation.recorder().records(simulation.now());
  const counterfactual::Summary summary = counterfactual::summarize(records);
  const counterfactual::ClassSums sums = counterfactual::sumClasses(summary);
  const bool explained = counterfactual::isWellCalibrated(summary.pooledCalibration, summary.calibration);
  result.requestCount = sums.requests;
  // Requests without a record never had a decision, so that the policies do not affect them.
  std::array<double, kMeasureCount> unrecordedSums{};
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
    ScenarioResult::PolicyResult& policyResult = result.policies[policy];
    SimulationOptions forcedOptions = options;
    forcedOptions.forcedPolicy = static_cast<Policy>(policy);
    ControllerSimulation forcedRun(forcedOptions);
    forcedRun.run();
    std::array<double, kMeasureCount> forkedSums{}, appliedToAllSums{};
    for (std::size_t requestIndex = 0; requestIndex < requestCount; ++requestIndex) {
      const ForkedOutcomes& forkedOutcome = forkedOutcomes[sourceCell[requestIndex * kPolicyCount + policy]];
      const ControllerSimulation::RequestOutcome& loggedOutcome = simulation.outcomes()[requestIndex];
      forkedSums[0] += forkedOutcome.forkCount > 0 ? forkedOutcome.computeMean(forkedOutcome.inTime)
                                                   : loggedOutcome.inTime;
      forkedSums[1] += forkedOutcome.forkCount > 0 ? forkedOutcome.computeMean(forkedOutcome.latencySeconds)
                                                   : loggedOutcome.latencySeconds;
      if (policy == 0)
        unrecordedSums[0] += loggedOutcome.inTime, unrecordedSums[1] += loggedOutcome.latencySeconds;
      appliedToAllSums[0] += forcedRun.outcomes()[requestIndex].inTime,
          appliedToAllSums[1] += forcedRun.outcomes()[requestIndex].latencySeconds;
    }
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
      const double unrecordedSum = unrecordedSums[measure] - sums.logged[measure];
      policyResult.trueMean[measure] = (forkedSums[measure] - unrecordedSum) / result.requestCount;
      policyResult.appliedToAll[measure] = (appliedToAllSums[measure] - unrecordedSum) / result.requestCount;
      policyResult.loggedMean[measure] = sums.logged[measure] / result.requestCount;
      const auto measureKind = static_cast<Measure>(measure);
      policyResult.estimates[measure] =
          estimatePolicy(sums, static_cast<Policy>(policy), measureKind, explained);
      policyResult.differenceFromLogged[measure] =
          compareWithLogged(sums, static_cast<Policy>(policy), measureKind, explained);
      for (std::size_t otherPolicy = policy + 1; otherPolicy < kPolicyCount; ++otherPolicy)
        result.policyDifferences[pairIndex(static_cast<Policy>(policy), static_cast<Policy>(otherPolicy))]
                                [measure] = comparePolicies(
            sums, static_cast<Policy>(policy), static_cast<Policy>(otherPolicy), measureKind, explained);
    }
  }
  result.complete = true;
  return result;
}

const char* kMethodNames[] = {"weighted", "self-normalized", "direct", "doubly robust"};

}  // namespace

// Exits with 0 if there are 200 conclusive pairs, the doubly robust 90 % intervals cover the truth in 85 to
// 95 % of them, the better of two policies is named correctly in nine of ten cases, and the doubly robust
// error is below that of the other methods. With fewer pairs only the last two conditions are checked.
int measureCounterfactualAccuracy(unsigned scenarioCount, unsigned workerCount, std::uint64_t seed) {
  SharedArray<ScenarioResult> results(scenarioCount);
  std::vector<pid_t> workerProcesses;
  for (unsigned workerIndex = 0; workerIndex < workerCount; ++workerIndex) {
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error("cannot fork a worker process");
    if (child > 0) {
      workerProcesses.push_back(child);
      continue;
    }
    try {
      for (unsigned index = workerIndex; index < scenarioCount; index += workerCount)
        results[index] = runScenario(seed + index);
    } catch (const std::exception& error) {
      std::fprintf(stderr, "paddletrack_loadtest: %s\n", error.what());
      ::_exit(1);
    }
    ::_exit(0);
  }
  for (const pid_t workerProcess : workerProcesses) waitForProcess(workerProcess);
  std::printf("%-10s %5s %8s %7s  %s\n", "scenario", "seed", "requests", "forks",
              "in time, seconds; per policy: reachable, truth minus logged, estimate minus truth");
  for (unsigned index = 0; index < scenarioCount; ++index) {
    const ScenarioResult& result = results[index];
    std::printf("%-10s %5llu %8.0f %7.0f  %.3f %.3f;",
                toString(static_cast<ScenarioKind>((seed + index) % kScenarioKindCount)),
                static_cast<unsigned long long>(seed + index), result.requestCount, result.forkCount,
                result.policies[0].loggedMean[0], result.policies[0].loggedMean[1]);
    for (const auto& policyResult : result.policies)
      std::printf(" %2.0f%% %+.4f%+.4f %+.3f%+.3f%c", policyResult.estimates[0].reachableRatio * 100,
                  policyResult.trueMean[0] - policyResult.loggedMean[0],
                  policyResult.estimates[0].doublyRobust().value - policyResult.trueMean[0],
                  policyResult.trueMean[1] - policyResult.loggedMean[1],
                  policyResult.estimates[1].doublyRobust().value - policyResult.trueMean[1],
                  policyResult.estimates[1].doublyRobust().isConclusive() ? ' ' : '-');
    std::printf("\n");
  }
  bool passed = true;
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
    std::printf("\n%s\n%-16s %6s %8s %10s %12s\n", measure == 0 ? "share in time" : "latency, seconds", "",
                "pairs", "covered", "mean error", "mean width");
    std::array<double, kMethodCount> errorSums{};
    double pairCount = 0, coverage = 0;
    for (std::size_t method = 0; method < kMethodCount; ++method) {
      double estimateCount = 0, coveredCount = 0, widthSum = 0, appliedToAllCoveredCount = 0,
             appliedToAllGapSum = 0, policyEffectSum = 0;
      std::map<Verdict, int> verdicts;
      for (unsigned index = 0; index < scenarioCount; ++index)
        for (const auto& policy : results[index].policies) {
          const counterfactual::Estimate& estimate = policy.estimates[measure].byMethod[method];
          ++verdicts[estimate.verdict];
          if (!estimate.isConclusive()) continue;
          estimateCount += 1;
          coveredCount +=
              policy.trueMean[measure] >= estimate.low && policy.trueMean[measure] <= estimate.high;
          appliedToAllCoveredCount +=
              policy.appliedToAll[measure] >= estimate.low && policy.appliedToAll[measure] <= estimate.high;
          errorSums[method] += std::abs(policy.trueMean[measure] - estimate.value);
          policyEffectSum += std::abs(policy.trueMean[measure] - policy.loggedMean[measure]);
          appliedToAllGapSum += std::abs(policy.trueMean[measure] - policy.appliedToAll[measure]);
          widthSum += estimate.high - estimate.low;
        }
      const double divisor = std::max(estimateCount, 1.0);
      std::printf("%-16s %6.0f %7.1f%% %10.5f %12.5f\n", kMethodNames[method], estimateCount,
                  100 * coveredCount / divisor, errorSums[method] / divisor, widthSum / divisor);
      if (static_cast<counterfactual::Method>(method) != counterfactual::Method::doublyRobust) continue;
      pairCount = estimateCount, coverage = coveredCount / divisor;
      std::printf(
          "policy forced on all requests: covered %.1f%%, differs by %.5f from the policy forced on single\n"
          "requests, which differs by %.5f from the logged outcome\n",
          100 * appliedToAllCoveredCount / divisor, appliedToAllGapSum / divisor, policyEffectSum / divisor);
      for (const auto& [verdict, count] : verdicts) std::printf("  %d %s\n", count, describeVerdict(verdict));
      for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
        double policyEstimateCount = 0, policyCoveredCount = 0, biasSum = 0;
        for (unsigned index = 0; index < scenarioCount; ++index) {
          const auto& policyResult = results[index].policies[policy];
          const counterfactual::Estimate& estimate = policyResult.estimates[measure].doublyRobust();
          if (!estimate.isConclusive()) continue;
          policyEstimateCount += 1, policyCoveredCount += policyResult.trueMean[measure] >= estimate.low &&
                                                          policyResult.trueMean[measure] <= estimate.high;
          biasSum += estimate.value - policyResult.trueMean[measure];
        }
        std::printf("  %s: %.0f conclusive, %.0f covered, mean of estimate minus truth %+.5f\n",
                    nameOf(static_cast<Policy>(policy)), policyEstimateCount, policyCoveredCount,
                    biasSum / std::max(policyEstimateCount, 1.0));
      }
    }
    double decidedCount = 0, correctCount = 0, comparisonCount = 0;
    for (unsigned index = 0; index < scenarioCount; ++index) {
      const ScenarioResult& result = results[index];
      for (std::size_t firstPolicy = 0; firstPolicy < kPolicyCount; ++firstPolicy) {
        const auto& firstResult = result.policies[firstPolicy];
        const auto countComparison = [&](const counterfactual::Estimate& estimate, double truth) {
          comparisonCount += 1;
          if (!estimate.isConclusive()) return;
          decidedCount += 1;
          correctCount += estimate.value * truth > 0;
        };
        countComparison(firstResult.differenceFromLogged[measure],
                        firstResult.trueMean[measure] - firstResult.loggedMean[measure]);
        for (std::size_t secondPolicy = firstPolicy + 1; secondPolicy < kPolicyCount; ++secondPolicy)
          countComparison(result.policyDifferences[pairIndex(static_cast<Policy>(firstPolicy),
                                                             static_cast<Policy>(secondPolicy))][measure],
                          firstResult.trueMean[measure] - result.policies[secondPolicy].trueMean[measure]);
      }
    }
    std::printf("better of two policies: %.0f comparisons, %.0f conclusive, %.1f%% of these correct\n",
                comparisonCount, decidedCount, 100 * correctCount / std::max(decidedCount, 1.0));
    passed = passed && correctCount >= 0.9 * decidedCount &&
             (pairCount < 200 || (coverage >= 0.85 && coverage <= 0.95));
    passed = passed && errorSums[3] < errorSums[0] && errorSums[3] < errorSums[2];
  }
  return passed ? 0 : 1;
}

}  // namespace paddletrack::loadtest
