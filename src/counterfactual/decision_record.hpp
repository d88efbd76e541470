// The record of one request's placement decision: the candidate engines with their propensities, the actions
// of the alternative policies, and the outcome. See docs/hindsight.md.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "admission/admission_controller.hpp"

namespace paddletrack::counterfactual {

/// Alternative (target) policies for engine selection. The logging policy is that of the admission module.
/// All but the last policy start a request at the selected engine by the rule of the admission module.
enum class Policy : std::uint8_t {
  leastInFlight,  // fewest own threads in flight per core; the order of candidates breaks ties
  twoChoices,     // the one of two random candidates with fewer threads in flight per core
  nearest,        // the best score in the own zone, or the best of all candidates if none is in the zone
  noProbabilisticStart,  // the engine that the module selects, without starts above the concurrency target
};
constexpr std::size_t kPolicyCount = 4;
/// Returns the policy's name in reports.
const char* nameOf(Policy policy);

/// Maximum number of engines in a record. Those with the highest propensities are recorded.
constexpr std::size_t kMaxOptions = 8;
/// Engines that the logging policy selects with a lower probability are unreachable. This keeps importance
/// weights below 20.
constexpr double kMinProbability = 0.05;
/// Values of DecisionRecord::chosen: the first decision did not start the request, or started it at an engine
/// that is not among the options.
constexpr std::uint8_t kWaited = 0xff;
constexpr std::uint8_t kUnlistedEngine = 0xfe;

/// Action probabilities of a policy in one decision, as far as the logging policy could have taken the same
/// actions. With the remaining probability, asLoggedProbability, the policy is assumed to act as the logging
/// policy did.
struct PolicyAction {
  std::vector<double> startProbabilities;  // by candidate
  double waitProbability = 0;
  double asLoggedProbability = 1;     // the probabilities above and this one sum to 1
  double unreachableProbability = 0;  // part of asLoggedProbability that is a different, unreachable action
};
/// The probabilities of one decision under the logging policy and the alternative policies.
struct Decision {
  std::vector<double> selectionProbabilities;  // by candidate: that it is selected
  std::vector<double> startProbabilities;      // by candidate: that the request starts there at once
  double waitProbability = 0;
  std::array<PolicyAction, kPolicyCount> policyActions;
};
/// Computes the probabilities of a decision among `candidates` (not empty) for a controller in `zone`.
Decision analyzeDecision(const std::vector<Candidate>& candidates, unsigned zone);
/// Returns the index of the candidate that the policy selects. `loggedIndex` is the one that the admission
/// module (the logging policy) selected, `randomDraw` a random number in [0, 1).
std::size_t selectByPolicy(Policy policy, const std::vector<Candidate>& candidates, unsigned zone,
                           std::size_t loggedIndex, double randomDraw);

/// The first decision of a request and its outcome.
struct DecisionRecord {
  Duration arrivedAt{0};
  double latency = 0;  // seconds until the final response; at least the request timeout if it failed
  bool onTime = false;
  bool wasDiverted = false;  // it started at another engine than selected, so that its propensity is unknown
  std::uint8_t requestClass = 0;
  std::uint8_t optionCount = 0;
  std::uint8_t chosen = kWaited;  // index in `options`, kWaited or kUnlistedEngine
  float declaredCost = 0;         // in seconds of one thread
  struct Option {
    std::uint32_t engine = 0;  // Engine::number
    std::uint16_t zone = 0;
    float startProbability = 0;  // propensity of starting there in the first decision
    float utilization = 0;       // as a ratio of its concurrency target, this request included
  };
  std::array<Option, kMaxOptions> options{};
  float totalStartProbability = 0;  // over all candidates
  struct PolicyOutcome {
    std::array<float, kMaxOptions> startProbabilities{};
    float waitProbability = 0;
    float asLoggedProbability = 1;  // see PolicyAction
    float importanceWeight =
        0;  // of the first decision: the policy's probability of the action over its propensity
    float laterWeight = 1;             // product of the importance weights of all later decisions
    float unreachableProbability = 0;  // see PolicyAction
  };
  std::array<PolicyOutcome, kPolicyCount> policies{};  // by Policy
};

}  // namespace paddletrack::counterfactual
