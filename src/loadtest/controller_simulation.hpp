// Simulates one controller in virtual time: the real AdmissionController, simulated engines that share their
// cores among the running attempts, and the load of other controllers as background requests. Equal options
// give an equal run. A policy may be forced on one request or on all.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "admission/admission_controller.hpp"
#include "counterfactual/decision_recorder.hpp"

namespace paddletrack::loadtest {

enum class ScenarioKind { calm, engineHang, slowEngine, engineRestart, partition, burst, mixed };
constexpr unsigned kScenarioKindCount = 7;
const char* toString(ScenarioKind kind);

struct SimulationOptions {
  std::uint64_t seed = 1;
  ScenarioKind kind = ScenarioKind::calm;
  Duration duration{std::chrono::seconds(12)};
  double requestsPerSecond = 54;  // of this controller
  unsigned engineCount = 6;
  std::optional<counterfactual::Policy> forcedPolicy;  // on all requests
};

/// One run of the simulation, as the host of its admission controller.
class ControllerSimulation final : public AdmissionHost {
 public:
  explicit ControllerSimulation(const SimulationOptions& options);

  // Lets the caller fork the process to measure the outcome of a request under a policy that is forced on it
  // alone. Called at the request's first decision for each policy that may act differently from the admission
  // module and is reachable. Returns 0 in the process that continues the run, and in each copy another
  // number, which seeds the copy's own randomness. `certainEngine` is the engine at which the policy starts
  // the request with certainty.
  using ForkFunction = std::function<unsigned(std::size_t requestIndex, counterfactual::Policy policy,
                                              const Engine* certainEngine)>;
  void setForkFunction(ForkFunction forkFunction) { fork_ = std::move(forkFunction); }
  using CompletionCallback =
      std::function<void(std::size_t requestIndex, double latencySeconds, bool inTime)>;
  /// Runs until the end of the simulated duration and until all requests are finished.
  void run(const CompletionCallback& onFinished = nullptr);

  struct RequestOutcome {
    double latencySeconds = 0;
    bool inTime = false;
  };
  const std::vector<RequestOutcome>& outcomes() const { return outcomes_; }
  counterfactual::DecisionRecorder& recorder() { return *recorder_; }
  Duration now() const { return now_; }
  std::size_t forcedDecisionCount() const { return forcedDecisionCount_; }

 private:
  struct Task {
    Attempt* attempt = nullptr;         // null for a request of another controller
    double remainingThreadSeconds = 0;  // seconds of one thread
    double threads = 1;
  };
  struct SimulatedEngine {
    double speed = 1;
    bool hung = false;
    std::optional<Duration> restartedAt;
    std::vector<Task> tasks;
    Duration updatedAt{0};
  };

  void sendAttempt(Attempt& attempt) override;
  void assignResources(Request&, double, int) override {}
  void reject(Request& request, Duration) override { finishRequest(request, false); }
  void fail(Request& request) override { finishRequest(request, false); }
  void cancel(Attempt& attempt) override;
  void scheduleTimer(Duration time) override { wakeUpAt_ = wakeUpAt_ ? std::min(*wakeUpAt_, time) : time; }
  void sendHealthCheck(Engine&) override {}
  void sendPeerReport(const std::vector<PeerEngineLoad>&) override {}
  void requestEndpoints() override {}
  void log(std::string_view) override {}
  void traceDecision(const Request& request, const std::vector<Candidate>& candidates) override;

  void generateScenario();
  void schedule(Duration time, std::function<void()> action) { eventQueue_.emplace(time, std::move(action)); }
  void submitRequest(std::size_t requestIndex);
  void notifyController(const std::function<void()>& event);
  void finishAttempt(Attempt& attempt, paddletrack::AttemptOutcome outcome);
  void finishRequest(Request& request, bool completed);
  void advanceEngine(SimulatedEngine& simulatedEngine, Duration until);
  double executionRate(const SimulatedEngine& simulatedEngine) const;
  std::optional<Duration> nextCompletionAt(const SimulatedEngine& simulatedEngine) const;
  void scheduleBackgroundRequest(unsigned engineIndex);
  void restartEngine(unsigned engineIndex);
  void forceDecision(const Request& request, const std::vector<Candidate>& candidates,
                     counterfactual::Policy policy);
  void moveAttempt(Attempt& attempt, Engine& target);
  double drawUniform(std::mt19937_64& random) { return static_cast<double>(random() >> 11) * 0x1p-53; }
  double drawLognormal(std::mt19937_64& random, double sigma);  // lognormal, median 1
  // Exponentially distributed.
  Duration drawInterarrivalTime(std::mt19937_64& random, double requestsPerSecond);

  const SimulationOptions options_;
  Deployment deployment_;
  std::mt19937_64 scenarioRandom_, backgroundRandom_, forcingRandom_;
  Duration now_{0};
  std::deque<Engine> engines_;
  std::vector<SimulatedEngine> simulatedEngines_;
  std::deque<Request> requests_;
  std::vector<double> actualCost_;  // by request, in seconds of one thread
  std::vector<RequestOutcome> outcomes_;
  std::vector<char> decided_;  // by request: it had its first decision
  std::multimap<Duration, std::function<void()>> eventQueue_;
  std::optional<Duration> wakeUpAt_;
  std::pair<Duration, Duration> partitionWindow_{};  // the remote zone is unreachable
  std::pair<Duration, Duration> burstWindow_{};
  std::size_t openRequests_ = 0, forcedDecisionCount_ = 0;
  bool scenarioGenerated_ = false;
  CompletionCallback onRequestFinished_;
  ForkFunction fork_;

  // A forced decision, until the admission module has acted on it.
  std::optional<std::pair<std::size_t, counterfactual::Policy>> forcedRequest_;
  struct ForcedDecision {
    Engine* engine = nullptr;
    double originalCores = 0, forcedCores = 0;
    std::size_t requestClass = 0;
    double addedThreads = 0;
    std::vector<std::uint32_t> warmSets;
    std::optional<Duration> nextTrialAt;
    Engine* target = nullptr;
  };
  std::optional<ForcedDecision> forcedDecision_;
  void restoreEngineState();
  std::unique_ptr<counterfactual::DecisionRecorder> recorder_;
  std::unique_ptr<AdmissionController> controller_;
};

}  // namespace paddletrack::loadtest
