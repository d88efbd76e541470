#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"
#include "model/request.hpp"

namespace paddletrack {

// An engine that was weighed for a job. It is taken where `score` times 1 to 1.1, by a chance of its own,
// comes out least; `starts` is the chance that the job then starts there at once.
struct Candidate {
  Engine* engine = nullptr;
  double score = 0, randomizedScore = 0;  // without its chance, and with it
  double utilization = 0;                 // of its mark, with this job
  double startProbability = 0;
};

// What a controller can do. It runs at once and never calls back into the controller.
class AdmissionHost {
 public:
  virtual ~AdmissionHost() = default;
  virtual void sendAttempt(Attempt&) = 0;
  virtual void assignResources(Request&, double memoryGrantMb, int priority) = 0;
  virtual void reject(Request&, Duration retryAfter) = 0;
  virtual void fail(Request&) = 0;
  virtual void cancel(Attempt&) = 0;
  // Keeps a dispatch from leaving; false: some of it may have. What was kept ends as never sent.
  virtual bool recall(Attempt&) { return false; }
  virtual void scheduleTimer(Duration) = 0;
  virtual void sendHealthCheck(Engine&) = 0;
  virtual void sendPeerReport(const std::vector<PeerEngineLoad>&) = 0;
  virtual void requestEndpoints() = 0;
  virtual void log(std::string_view) = 0;
  // Times an engine's score for a job: below 1 it is rather chosen (docs/rebalance.md).
  virtual double placementBias(const Request&, const Engine&) { return 1; }
  // Where tellWeighed is on: at each draw that has an engine to take, before the job starts or waits.
  virtual void traceDecision(const Request&, const std::vector<Candidate>&) {}
};

struct ActualCost {
  double threadSeconds = 0;
  double memoryMb = 0;
};

using EndpointRecords = std::vector<std::pair<Engine*, EndpointRecord>>;

// One controller: told what happens, in the order it happens; answers through its Host.
// Jobs and engines belong to the caller. A job stays valid until it is over and has no dispatch out, an
// engine until it is forgotten: off the list, and no valid job has ever been dispatched to it.
class AdmissionController {
 public:
  AdmissionController(AdmissionHost& host, const Deployment& deployment, std::uint64_t seed, Duration now);

  void onRequest(Duration now, Request& request);
  void onAttemptFinished(Duration now, Attempt& attempt, AttemptOutcome outcome, bool requestFinished,
                         std::optional<ActualCost> actualCost, const LoadReport* loadReport);
  void onResponseStarted(Duration now, Attempt& attempt);
  void onClientGone(Duration now, Request& request);  // the client has left
  void onProgress(Duration now, Attempt& attempt, ProgressKind kind, double value);
  void onHealthCheckResult(Duration now, Engine& engine, bool answered, const LoadReport* loadReport);
  void onPeerReport(Duration now, unsigned peerIndex, const std::vector<PeerEngineLoad>& engineLoads);
  void onEndpointUpdate(Duration now, bool isSnapshot, const EndpointRecords& records);
  void forgetEngine(Engine& engine) { std::erase(engines_, &engine); }
  void onDiscoveryFailed(Duration now);
  void onTimer(Duration now);
  void rejectAll(Duration now, const std::vector<Request*>& requests);  // they are wanted here no longer
  void enableDecisionTrace(bool enabled) { traceDecisions_ = enabled; }

 private:
  enum class StageResult { pass, wait, reject };
  using Stage = StageResult (AdmissionController::*)(Request&);

  // What is learned of a reservation type.
  struct ClassStatistics {
    double meanCost = 0, meanMemoryMb = 0, costBias = 1, memoryBias = 1;
    double costSampleCount = 0, memorySampleCount = 0, costBiasSampleCount = 0, memoryBiasSampleCount = 0;
    double meanArrivingCost = 0, arrivalSampleCount = 0;  // cost, of all that came
  };
  struct OrderingQueue {
    std::deque<Request*> requests;
    Duration heldUntil{0};
  };

  void runStages(Request& request);
  StageResult waitForOrder(Request& request);
  StageResult checkClassLimits(Request& request);
  StageResult selectAndStart(Request& request);

  void releaseCapacity(Attempt& attempt);
  void recordOutcome(Attempt& attempt, AttemptOutcome outcome, const std::optional<ActualCost>& actualCost);
  void adjustConcurrencyLimit(Attempt& attempt, AttemptOutcome outcome);
  void retryOrReject(Request& request);
  void finishRequest(Request& request);

  bool canAttempt(const Request& request) const;
  bool isRejectionSafe(const Request& request, Duration retryAfter) const;
  bool isRetrySafe(const Request& request, const Engine& engine) const;
  bool isPlacementAllowed(const Request& request, const Engine& engine) const;
  double warmupCost(const Request& request) const;
  bool isWithinWarmupBudget(const Request& request, Engine& engine);
  bool isWithinRetryBudget(const Request& request);
  double remainingRetryBudget(double budgetRatio);  // of the budget, or of a part of it
  Duration attemptTimeout(const Request& request);
  bool isAttemptAllowed(const Request& request, Engine& engine);
  bool isWarmingUp(const Engine& engine) const;

  double updateEffectiveCores(Engine& engine);  // and tells its slowness
  InFlightLoad othersInFlight(Engine& engine);
  double estimateOthersShare(double ownThreads) const {
    return ownThreads * (deployment_.controllerCount - 1) / std::max(1.0, totalCores_);
  }
  AdaptiveLimit& adaptiveLimit(Engine& engine) {
    return hasFractionalShares_ && !hasLoadReports_ ? fleetLimit_ : engine.adaptiveLimit;
  }
  double threadLimit(Engine& engine, const InFlightLoad& othersLoad);
  double classFloorThreads(const Request& request, Engine& engine, const InFlightLoad& othersLoad);
  double admissionThreads(const Request& request, const Engine& engine) const;
  bool fitsClassLimits(const Request& request, Engine& engine);
  bool isEjected(Engine& engine);
  double slowdownFactor(Engine& engine);
  // The peers' own counts tell little where each is less than a job, and cost the square of their number.
  bool usesPeerReports() const { return deployment_.allowsPeerReports && !hasFractionalShares_; }
  double subsetSize();
  void updateStatistics();
  Engine* selectEngine(const Request& request);
  double utilization(double addedThreads, Engine& engine);
  double startProbability(const Request& request, Engine& engine);
  void startAttempt(Request& request, Engine& engine);
  void rejectOrFail(Request& request);

  double latencyObjectiveSeconds(const Request& request) const;
  double meanCost(const RequestClass& requestClass) const;
  double estimateMemoryMb(const Request& request) const;
  double memoryGrantMb(const Request& request, Engine& engine);
  int requestPriority(const Request& request) const;
  void applyLoadReport(Engine& engine, const LoadReport& loadReport);
  void advanceClock(Duration now);
  double observedAge(const Attempt& attempt) const;
  void runPeriodicWork() { updateStatistics(), processQueue(); }
  void processQueue();
  void leaveOrderingQueue(Request& request);
  Duration computeQueueDeadline(const Request& request) const;
  bool cannotMeetDeadline(const Request& request, double loadFactor) const;
  void queueUntil(Request& request, Duration until);
  void hedgeOrCancelStragglers();
  void sendPeerReport();
  void checkStaleEngines();
  double drawUniform() {
    return static_cast<double>(random_() - random_.min()) /
           static_cast<double>(random_.max() - random_.min());
  }

  AdmissionHost& host_;
  const Deployment& deployment_;
  std::minstd_rand random_;
  Duration now_, startedAt_;
  std::vector<Engine*> engines_;
  std::vector<ClassStatistics> classStatistics_;
  std::vector<double> classFloors_;
  std::vector<SlidingWindowSum<double>> tenantArrivals_;
  SlidingWindowSum<double> quotaArrivals_;  // of all customers that have a quota, which come to this sum
  double totalQuota_ = 0;
  SlidingWindowSum<double> arrivals_, retries_;  // for the budget of further dispatches
  SlidingWindowSum<double> lostResponses_;       // dispatches that ran out of time without any sign
  double shortestLatencyRatio_ = 0.25;           // of the SLA time: what the shortest type takes of late
  SlidingWindowSum<double> hedges_, selectionRounds_, attemptsStarted_, healthChecks_;
  const RequestClass* shortestClass_ = nullptr;
  std::multimap<Duration, Request*> queuedRequests_;
  std::map<std::uint64_t, OrderingQueue> orderingQueues_;
  std::vector<Attempt*> inFlightAttempts_;
  double typicalSlowdown_ = 1;
  double costTokenHorizon_ = 0;       // seconds of work for each thread
  bool hasLoadReports_ = false;       // reports or peers have told of the others
  bool hasFractionalShares_ = false;  // a controller's share of an engine is less than the widest job
  double othersThreadsPerCore_ = 0,
         othersMemoryRatio_ = 0;  // of the others: threads a core, part of the memory
  double threadsInFlight_ = 0, shortestClassThreads_ = 0, totalCores_ = 0;  // own, on all engines
  SlidingWindowSum<double> ownThreadSamples_;
  AdaptiveLimit fleetLimit_;
  double residencyTime_ = 1e-3, residencyThreadTime_ = 1e-3, residencySquared_ = 1e-3, residencyMemory_ = 0;
  std::optional<Duration> nextTimerAt_, stallEndedAt_;
  Duration stallDuration_{0};
  Duration nextStatisticsAt_{0}, nextPeerReportAt_{0}, nextDiscoveryAt_{0};
  bool traceDecisions_ = false;
  std::vector<Candidate> candidates_;
};

}  // namespace paddletrack
