// What is kept of one job's decision: who could have served it, with which chance, what other policies would
// have done, and what came of it. docs/hindsight.md.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "admission/admission_controller.hpp"

namespace paddletrack::counterfactual {

// Other ways to choose. Each starts by the module's own rule on the engine that it wants, but for the last.
enum class Policy : std::uint8_t {
  leastInFlight,  // fewest own threads in flight for its cores; the list's order breaks ties
  twoChoices,     // the better of two by that, drawn at random from those that fit
  nearest,        // of the own location where one fits, there by the module's score; else by the score alone
  noProbabilisticStart,  // the module's engine, but never a start by chance above the mark
};
constexpr std::size_t kPolicyCount = 4;
const char* nameOf(Policy policy);

constexpr std::size_t kMaxOptions = 8;  // engines of a record: those with the largest chance
constexpr double kMinProbability =
    0.05;                               // an engine taken more rarely is out of reach: weights stay below 20
constexpr std::uint8_t kWaited = 0xff;  // at its first draw it did not start
constexpr std::uint8_t kUnlistedEngine = 0xfe;  // on an engine that is not kept

// What a policy would have done at one draw, as far as chance could have done it as well. The rest of its
// wishes, `left`, is out of reach: there it is taken to do as the module did.
struct PolicyAction {
  std::vector<double> startProbabilities;  // chance to start at each engine weighed
  double waitProbability = 0;
  double asLoggedProbability = 1;     // starts, waits and left sum to 1
  double unreachableProbability = 0;  // of `left`: it wants another thing, out of reach
};
struct Decision {
  std::vector<double> selectionProbabilities;  // chance that each engine weighed is the one taken
  std::vector<double> startProbabilities;      // and that the job starts there at once
  double waitProbability = 0;
  std::array<PolicyAction, kPolicyCount> policyActions;
};
// Pure: of what the module told (not empty), for a controller in `location`.
Decision analyzeDecision(const std::vector<Candidate>& candidates, unsigned zone);
// The engine that a policy wants, by a chance from 0 to 1 of the caller's: an index into what was weighed.
// `taken`: as Draw::taken.
std::size_t selectByPolicy(Policy policy, const std::vector<Candidate>& candidates, unsigned zone,
                           std::size_t loggedIndex, double randomDraw);

struct DecisionRecord {
  Duration arrivedAt{0};  // taken
  double latency = 0;     // seconds until its final answer; not done: all the time that its client gave it
  bool onTime = false;
  bool wasDiverted = false;  // it went where the draw had not sent it: its chances are not known
  std::uint8_t requestClass = 0, optionCount = 0;
  std::uint8_t chosen = kWaited;  // of `engines`
  float declaredCost = 0;         // work, in seconds of one thread
  struct Option {
    std::uint32_t engine = 0;  // Engine::number
    std::uint16_t zone = 0;
    float startProbability = 0;  // chance that it is taken and the job started at the first draw
    float utilization = 0;       // of its mark, with this job
  };
  std::array<Option, kMaxOptions> options{};
  float totalStartProbability = 0;  // over all engines weighed
  struct PolicyOutcome {            // by policy
    std::array<float, kMaxOptions> startProbabilities{};
    float waitProbability = 0;
    float asLoggedProbability = 1;  // the part of its wishes that is as the module did
    float importanceWeight = 0;     // of what was done at the first draw: its chance there over the module's
    float laterWeight = 1;          // of all that was done at later draws
    float unreachableProbability = 0;  // the part of its wishes that is out of reach
  };
  std::array<PolicyOutcome, kPolicyCount> policies{};
};

}  // namespace paddletrack::counterfactual
