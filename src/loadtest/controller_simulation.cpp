#include "loadtest/controller_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::loadtest {
namespace {

using namespace std::chrono_literals;
using counterfactual::Policy;

constexpr double kForcedStartCores = 1e12, kForcedWaitCores = 1e-9, kBlockingThreads = 1e9;
constexpr unsigned kControllerCount = 4;
constexpr double kCoresPerEngine = 8;
// Other controllers reject requests beyond this number of their threads on one engine.
constexpr double kMaxBackgroundThreads = 40;
constexpr Duration kLocalZoneLatency = 1ms, kRemoteZoneLatency = 12ms, kConnectTimeout = 100ms;

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
Duration toDuration(double seconds) { return Duration{std::llround(seconds * 1e6)}; }
std::size_t indexOf(const Engine& engine) { return engine.number; }

}  // namespace

const char* toString(ScenarioKind kind) {
  static constexpr const char* kScenarioNames[] = {"calm",      "hang",  "slow", "cold",
                                                   "partition", "burst", "mixed"};
  return kScenarioNames[static_cast<std::size_t>(kind)];
}

double ControllerSimulation::drawLognormal(std::mt19937_64& random, double sigma) {
  const double uniformRadius = drawUniform(random), uniformAngle = drawUniform(random);
  return std::exp(sigma * std::sqrt(-2 * std::log(1 - uniformRadius)) *
                  std::cos(6.283185307179586 * uniformAngle));
}

Duration ControllerSimulation::drawInterarrivalTime(std::mt19937_64& random, double requestsPerSecond) {
  return toDuration(-std::log(1 - drawUniform(random)) / requestsPerSecond) + Duration{1};
}

ControllerSimulation::ControllerSimulation(const SimulationOptions& options)
    : options_(options),
      scenarioRandom_(options.seed),
      backgroundRandom_(options.seed * 7919 + 1),
      forcingRandom_(options.seed * 104729 + 2) {
  deployment_.controllerCount = kControllerCount;
  deployment_.requestClasses.resize(2);
  deployment_.requestClasses[0] = {
      .latencyObjective = 400ms, .latencyObjectiveCostFactor = 2, .requestTimeout = 3s, .threads = 1};
  deployment_.requestClasses[1] = {.index = 1,
                                   .latencyObjective = 1500ms,
                                   .latencyObjectiveCostFactor = 1,
                                   .requestTimeout = 8s,
                                   .threads = 3};
  deployment_.machineTypes = {{kCoresPerEngine, 0}};
  deployment_.maxAttempts = 3;
  deployment_.allowsCancellation = true;
  deployment_.tickDuration = 5ms;
  deployment_.warmupTime = 6s;
  deployment_.initialCapacityRatio = 0.3;
  deployment_.warmupOverloadRatio = 3;
  deployment_.warmupWindow = 2s;
  deployment_.crossZoneCost = 0.04;
  controller_ = std::make_unique<AdmissionController>(*this, deployment_, options.seed, now_);
  controller_->enableDecisionTrace(true);
  recorder_ = std::make_unique<counterfactual::DecisionRecorder>(
      deployment_, counterfactual::DecisionRecorder::Options{16384, 1h});
  simulatedEngines_.resize(options.engineCount);
  EndpointRecords endpointRecords;
  for (unsigned engineIndex = 0; engineIndex < options.engineCount; ++engineIndex) {
    engines_.emplace_back().number = engineIndex;
    // Unknown to the controller.
    simulatedEngines_[engineIndex].speed = 0.75 + 0.5 * drawUniform(scenarioRandom_);
    endpointRecords.emplace_back(&engines_.back(), EndpointRecord{.zone = engineIndex % 2});
  }
  controller_->onEndpointUpdate(now_, true, endpointRecords);
  generateScenario();
}

// The requests and the faults depend only on the seed, whatever the controller does.
void ControllerSimulation::generateScenario() {
  const auto drawTimeWithin = [&](double minFraction, double maxFraction) {
    return toDuration(toSeconds(options_.duration) *
                      (minFraction + (maxFraction - minFraction) * drawUniform(scenarioRandom_)));
  };
  const auto drawEngine = [&] {
    return static_cast<unsigned>(drawUniform(scenarioRandom_) * options_.engineCount);
  };
  const auto hasFault = [&](ScenarioKind kind) {
    return options_.kind == kind ||
           (options_.kind == ScenarioKind::mixed && drawUniform(scenarioRandom_) < 0.6);
  };
  if (hasFault(ScenarioKind::engineHang))
    for (int index = 0; index < 2; ++index) {
      const unsigned engineIndex = drawEngine();
      const Duration startsAt = drawTimeWithin(0.1, 0.8),
                     endsAt = startsAt + toDuration(0.5 + 2 * drawUniform(scenarioRandom_));
      schedule(startsAt, [this, engineIndex] {
        advanceEngine(simulatedEngines_[engineIndex], now_), simulatedEngines_[engineIndex].hung = true;
      });
      schedule(endsAt, [this, engineIndex] {
        advanceEngine(simulatedEngines_[engineIndex], now_), simulatedEngines_[engineIndex].hung = false;
      });
    }
  if (hasFault(ScenarioKind::slowEngine)) {
    const unsigned engineIndex = drawEngine();
    schedule(drawTimeWithin(0.05, 0.4),
             [this, engineIndex, speedFactor = 0.25 + 0.3 * drawUniform(scenarioRandom_)] {
               advanceEngine(simulatedEngines_[engineIndex], now_),
                   simulatedEngines_[engineIndex].speed *= speedFactor;
             });
  }
  if (hasFault(ScenarioKind::engineRestart))
    for (int item = 0; item < 2; ++item)
      schedule(drawTimeWithin(0.1, 0.7), [this, engineIndex = drawEngine()] { restartEngine(engineIndex); });
  if (hasFault(ScenarioKind::partition)) {
    const Duration startsAt = drawTimeWithin(0.2, 0.6);
    partitionWindow_ = {startsAt, startsAt + toDuration(1 + 2 * drawUniform(scenarioRandom_))};
  }
  if (hasFault(ScenarioKind::burst)) {
    const Duration startsAt = drawTimeWithin(0.1, 0.6);
    burstWindow_ = {startsAt, startsAt + toDuration(3 + 3 * drawUniform(scenarioRandom_))};
  }
  const auto burstFactor = [&](Duration time) {
    return time >= burstWindow_.first && time < burstWindow_.second ? 1.9 : 1.0;
  };
  for (Duration time{0}; time < options_.duration;) {
    time += drawInterarrivalTime(scenarioRandom_, options_.requestsPerSecond * burstFactor(time));
    const bool isReport = drawUniform(scenarioRandom_) < 0.08;
    Request& request = requests_.emplace_back();
    request.id = static_cast<std::uint32_t>(requests_.size() - 1);
    request.requestClass = &deployment_.requestClasses[isReport ? 1 : 0];
    request.arrivedAt = time;
    request.deadline = time + request.requestClass->requestTimeout;
    const double expectedSeconds = (isReport ? 0.9 : 0.1) * drawLognormal(scenarioRandom_, 0.5);
    request.declaredCost = toDuration(expectedSeconds);
    actualCost_.push_back(expectedSeconds * drawLognormal(scenarioRandom_, 0.4));
    schedule(time, [this, requestIndex = requests_.size() - 1] { submitRequest(requestIndex); });
  }
  outcomes_.resize(requests_.size());
  decided_.resize(requests_.size());
  for (unsigned engineIndex = 0; engineIndex < options_.engineCount; ++engineIndex)
    scheduleBackgroundRequest(engineIndex);
}

// Requests of the other controllers at one engine.
void ControllerSimulation::scheduleBackgroundRequest(unsigned engineIndex) {
  const double backgroundRate = options_.requestsPerSecond * (kControllerCount - 1) / options_.engineCount;
  const bool inBurst = now_ >= burstWindow_.first && now_ < burstWindow_.second;
  schedule(now_ + drawInterarrivalTime(backgroundRandom_, backgroundRate * (inBurst ? 1.6 : 1)),
           [this, engineIndex] {
             const bool isReport = drawUniform(backgroundRandom_) < 0.08;
             const double work = (isReport ? 0.9 : 0.1) * drawLognormal(backgroundRandom_, 0.64);
             SimulatedEngine& simulatedEngine = simulatedEngines_[engineIndex];
             double threads = 0;
             for (const Task& task : simulatedEngine.tasks) threads += task.attempt ? 0 : task.threads;
             advanceEngine(simulatedEngine, now_);
             if (threads < kMaxBackgroundThreads)
               simulatedEngine.tasks.push_back({nullptr, work, isReport ? 3.0 : 1.0});
             if (now_ < options_.duration + 12s) scheduleBackgroundRequest(engineIndex);
           });
}

double ControllerSimulation::executionRate(const SimulatedEngine& simulatedEngine) const {
  if (simulatedEngine.hung) return 0;
  double threads = 0;
  for (const Task& task : simulatedEngine.tasks) threads += task.threads;
  double speed = simulatedEngine.speed;
  if (simulatedEngine.restartedAt) {
    const double warmRatio = std::clamp(
        toSeconds(now_ - *simulatedEngine.restartedAt) / toSeconds(deployment_.warmupTime), 0.0, 1.0);
    speed *= deployment_.initialCapacityRatio + (1 - deployment_.initialCapacityRatio) * warmRatio;
  }
  return speed * std::min(1.0, kCoresPerEngine / std::max(threads, 1e-9));
}

void ControllerSimulation::advanceEngine(SimulatedEngine& simulatedEngine, Duration until) {
  const double secondsPerThread =
      executionRate(simulatedEngine) * toSeconds(until - simulatedEngine.updatedAt);
  for (Task& task : simulatedEngine.tasks) task.remainingThreadSeconds -= secondsPerThread * task.threads;
  simulatedEngine.updatedAt = until;
}

std::optional<Duration> ControllerSimulation::nextCompletionAt(const SimulatedEngine& simulatedEngine) const {
  const double rate = executionRate(simulatedEngine);
  std::optional<Duration> nextCompletion;
  if (rate <= 0) return nextCompletion;
  for (const Task& task : simulatedEngine.tasks) {
    const Duration completesAt =
        simulatedEngine.updatedAt +
        toDuration(std::max(0.0, task.remainingThreadSeconds) / (rate * task.threads)) + Duration{1};
    if (!nextCompletion || completesAt < *nextCompletion) nextCompletion = completesAt;
  }
  return nextCompletion;
}

void ControllerSimulation::restartEngine(unsigned engineIndex) {
  SimulatedEngine& simulatedEngine = simulatedEngines_[engineIndex];
  advanceEngine(simulatedEngine, now_);
  for (const Task& runningAttempt : std::exchange(simulatedEngine.tasks, {}))
    if (runningAttempt.attempt)
      schedule(now_, [this, attempt = runningAttempt.attempt] {
        finishAttempt(*attempt, paddletrack::AttemptOutcome::reset);
      });
  simulatedEngine.restartedAt = now_;
  EndpointRecord endpointRecord = engines_[engineIndex].endpoint;
  endpointRecord.startedAt = now_;
  notifyController([&] {
    controller_->onEndpointUpdate(now_, false, {{&engines_[engineIndex], endpointRecord}});
  });
}

void ControllerSimulation::notifyController(const std::function<void()>& event) {
  event();
  restoreEngineState();
}

void ControllerSimulation::submitRequest(std::size_t requestIndex) {
  ++openRequests_;
  notifyController([&] { controller_->onRequest(now_, requests_[requestIndex]); });
}

void ControllerSimulation::run(const CompletionCallback& onFinished) {
  onRequestFinished_ = onFinished;
  while (now_ < options_.duration || openRequests_ > 0) {
    Duration nextEventAt = eventQueue_.empty() ? Duration::max() : eventQueue_.begin()->first;
    SimulatedEngine* nextEngine = nullptr;
    if (wakeUpAt_ && *wakeUpAt_ < nextEventAt) nextEventAt = *wakeUpAt_;
    for (SimulatedEngine& simulatedEngine : simulatedEngines_)
      if (const auto completesAt = nextCompletionAt(simulatedEngine);
          completesAt && *completesAt < nextEventAt)
        nextEventAt = *completesAt, nextEngine = &simulatedEngine;
    if (nextEventAt == Duration::max()) break;
    now_ = std::max(now_, nextEventAt);
    if (nextEngine) {
      advanceEngine(*nextEngine, now_);
      const auto finishedTask = std::min_element(
          nextEngine->tasks.begin(), nextEngine->tasks.end(),
          [](const auto& a, const auto& b) { return a.remainingThreadSeconds < b.remainingThreadSeconds; });
      if (finishedTask->remainingThreadSeconds > 1e-6) continue;  // The engine's speed has changed meanwhile.
      Attempt* attempt = finishedTask->attempt;
      nextEngine->tasks.erase(finishedTask);
      if (!attempt) continue;
      const bool isRemote = attempt->engine->endpoint.zone != deployment_.zone;
      Duration responseAt = now_ + (isRemote ? kRemoteZoneLatency : kLocalZoneLatency);
      if (isRemote && responseAt >= partitionWindow_.first && responseAt < partitionWindow_.second)
        responseAt = partitionWindow_.second;
      schedule(responseAt,
               [this, attempt] { finishAttempt(*attempt, paddletrack::AttemptOutcome::completed); });
    } else if (wakeUpAt_ && *wakeUpAt_ <= now_) {
      wakeUpAt_.reset();
      notifyController([&] { controller_->onTimer(now_); });
    } else {
      const auto event = std::move(eventQueue_.extract(eventQueue_.begin()).mapped());
      for (SimulatedEngine& simulatedEngine : simulatedEngines_)
        if (simulatedEngine.restartedAt)
          // The speed rises with time after a restart, which is integrated in small steps.
          advanceEngine(simulatedEngine, now_);
      event();
    }
  }
}

void ControllerSimulation::sendAttempt(Attempt& attempt) {
  if (forcedDecision_ && forcedDecision_->target) {
    Engine& target = *forcedDecision_->target;
    forcedDecision_->engine->effectiveCores = forcedDecision_->originalCores;
    if (&target != attempt.engine) moveAttempt(attempt, target);
    forcedDecision_.reset();
  }
  if (!forcedRequest_) recorder_->onAttemptStarted(attempt);
  Attempt* sentAttempt = &attempt;
  const bool isRemote = attempt.engine->endpoint.zone != deployment_.zone;
  const Duration arrivesAt = now_ + (isRemote ? kRemoteZoneLatency : kLocalZoneLatency);
  schedule(attempt.timesOutAt,
           [this, sentAttempt] { finishAttempt(*sentAttempt, paddletrack::AttemptOutcome::timedOut); });
  if (isRemote && arrivesAt >= partitionWindow_.first && arrivesAt < partitionWindow_.second)
    return schedule(now_ + kConnectTimeout, [this, sentAttempt] {
      finishAttempt(*sentAttempt, paddletrack::AttemptOutcome::unreachable);
    });
  schedule(arrivesAt, [this, sentAttempt] {
    if (!sentAttempt->inFlight) return;
    SimulatedEngine& simulatedEngine = simulatedEngines_[indexOf(*sentAttempt->engine)];
    advanceEngine(simulatedEngine, now_);
    simulatedEngine.tasks.push_back({sentAttempt, actualCost_[sentAttempt->request->id],
                                     static_cast<double>(sentAttempt->request->requestClass->threads)});
  });
}

void ControllerSimulation::cancel(Attempt& attempt) {
  schedule(now_, [this, sentAttempt = &attempt] {
    finishAttempt(*sentAttempt, paddletrack::AttemptOutcome::cancelled);
  });
}

void ControllerSimulation::finishAttempt(Attempt& attempt, paddletrack::AttemptOutcome outcome) {
  if (!attempt.inFlight) return;
  SimulatedEngine& simulatedEngine = simulatedEngines_[indexOf(*attempt.engine)];
  advanceEngine(simulatedEngine, now_);
  std::erase_if(simulatedEngine.tasks, [&](const Task& task) { return task.attempt == &attempt; });
  const bool completed = outcome == paddletrack::AttemptOutcome::completed && !attempt.request->finished;
  if (completed) finishRequest(*attempt.request, true);
  const bool requestFinished = attempt.request->finished || completed;
  notifyController([&] {
    controller_->onAttemptFinished(now_, attempt, outcome, requestFinished, std::nullopt, nullptr);
  });
}

void ControllerSimulation::finishRequest(Request& request, bool completed) {
  if (!forcedRequest_) recorder_->onRequestFinished(now_, request, completed);
  const double elapsedSeconds = toSeconds(now_ - request.arrivedAt),
               timeoutSeconds = toSeconds(request.deadline - request.arrivedAt);
  const double objectiveSeconds =
      toSeconds(request.requestClass->latencyObjective) +
      request.requestClass->latencyObjectiveCostFactor * request.costTokens / request.requestClass->threads;
  outcomes_[request.id] = {completed ? elapsedSeconds : std::max(elapsedSeconds, timeoutSeconds),
                           completed && elapsedSeconds <= std::min(objectiveSeconds, timeoutSeconds)};
  --openRequests_;
  if (onRequestFinished_)
    onRequestFinished_(request.id, outcomes_[request.id].latencySeconds, outcomes_[request.id].inTime);
}

void ControllerSimulation::traceDecision(const Request& request, const std::vector<Candidate>& candidates) {
  if (forcedRequest_) {
    if (forcedRequest_->first == request.id && request.attempts.empty())
      forceDecision(request, candidates, forcedRequest_->second);
    return;
  }
  if (options_.forcedPolicy) {
    if (request.attempts.empty()) forceDecision(request, candidates, *options_.forcedPolicy);
    return;
  }
  recorder_->onDecision(request, candidates);
  if (!fork_ || !request.attempts.empty() || std::exchange(decided_[request.id], true)) return;
  const counterfactual::Decision decision = counterfactual::analyzeDecision(candidates, deployment_.zone);
  const auto bestIndex = static_cast<std::size_t>(
      std::min_element(candidates.begin(), candidates.end(),
                       [](const auto& a, const auto& b) { return a.randomizedScore < b.randomizedScore; }) -
      candidates.begin());
  for (std::size_t policy = 0; policy < counterfactual::kPolicyCount; ++policy) {
    const counterfactual::PolicyAction& policyAction = decision.policyActions[policy];
    if (candidates[bestIndex].startProbability >= 1 &&
        (policyAction.asLoggedProbability >= 1 || policyAction.startProbabilities[bestIndex] >= 1))
      continue;  // The policy acts as the admission module does.
    const auto likeliestStart =
        std::max_element(policyAction.startProbabilities.begin(), policyAction.startProbabilities.end());
    const Engine* certainEngine =
        *likeliestStart < 1
            ? nullptr
            : candidates[static_cast<std::size_t>(likeliestStart - policyAction.startProbabilities.begin())]
                  .engine;
    const unsigned forkIndex = fork_(request.id, static_cast<Policy>(policy), certainEngine);
    if (forkIndex == 0) continue;
    forcedRequest_ = {request.id, static_cast<Policy>(policy)};
    forcingRandom_.seed(options_.seed * 1000003 + (request.id * counterfactual::kPolicyCount + policy) * 64 +
                        forkIndex);
    return forceDecision(request, candidates, static_cast<Policy>(policy));
  }
}

// Makes the admission module start or queue the request regardless of its start probability, by a temporary
// change of the engine's state. The attempt is then moved to the engine that the policy selects.
void ControllerSimulation::forceDecision(const Request& request, const std::vector<Candidate>& candidates,
                                         Policy policy) {
  restoreEngineState();
  const counterfactual::Decision decision = counterfactual::analyzeDecision(candidates, deployment_.zone);
  const counterfactual::PolicyAction& policyAction = decision.policyActions[static_cast<std::size_t>(policy)];
  double policyDraw = drawUniform(forcingRandom_);
  const Candidate* bestCandidate = &candidates.front();
  for (const Candidate& candidate : candidates)
    if (candidate.randomizedScore < bestCandidate->randomizedScore) bestCandidate = &candidate;
  Engine& bestEngine = *bestCandidate->engine;
  if (policyAction.waitProbability > 0 && (policyDraw -= policyAction.waitProbability) < 0) {
    forcedDecision_ = ForcedDecision{&bestEngine,
                                     bestEngine.effectiveCores,
                                     kForcedWaitCores,
                                     request.requestClass->index,
                                     kBlockingThreads,
                                     {},
                                     {},
                                     nullptr};
  } else {
    for (std::size_t index = 0; index < candidates.size() && policyDraw >= 0; ++index) {
      if (policyAction.startProbabilities[index] <= 0 ||
          (policyDraw -= policyAction.startProbabilities[index]) >= 0)
        continue;
      forcedDecision_ = ForcedDecision{
          &bestEngine, bestEngine.effectiveCores, kForcedStartCores,      request.requestClass->index,
          0,           bestEngine.cachedDataSets, bestEngine.nextTrialAt, candidates[index].engine};
    }
    if (policyDraw >= 0)
      return;  // The choice is unreachable, so the policy acts as the admission module does.
  }
  ++forcedDecisionCount_;
  bestEngine.effectiveCores = forcedDecision_->forcedCores;
  bestEngine.inFlightByClass[forcedDecision_->requestClass].threads += forcedDecision_->addedThreads;
}

void ControllerSimulation::restoreEngineState() {
  if (!forcedDecision_) return;
  Engine& engine = *forcedDecision_->engine;
  if (engine.effectiveCores == forcedDecision_->forcedCores)
    engine.effectiveCores = forcedDecision_->originalCores;
  engine.inFlightByClass[forcedDecision_->requestClass].threads -= forcedDecision_->addedThreads;
  forcedDecision_.reset();
}

void ControllerSimulation::moveAttempt(Attempt& attempt, Engine& target) {
  Engine& source = *attempt.engine;
  const std::size_t requestClass = attempt.request->requestClass->index;
  source.inFlightByClass[requestClass].threads -= attempt.threads,
      target.inFlightByClass[requestClass].threads += attempt.threads;
  source.inFlightByClass[requestClass].costTokens -= attempt.costTokens,
      target.inFlightByClass[requestClass].costTokens += attempt.costTokens;
  source.threadsInFlight -= attempt.threads, target.threadsInFlight += attempt.threads;
  source.memoryInFlightMb -= attempt.memoryMb, target.memoryInFlightMb += attempt.memoryMb;
  source.warmupWorkSent.add(now_, -attempt.costTokens), target.warmupWorkSent.add(now_, attempt.costTokens);
  std::erase(source.inFlightAttempts, &attempt), target.inFlightAttempts.push_back(&attempt);
  source.cachedDataSets = forcedDecision_->warmSets, source.nextTrialAt = forcedDecision_->nextTrialAt;
  attempt.engine = &target;
}

}  // namespace paddletrack::loadtest
