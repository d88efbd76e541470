#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "admission/admission_controller.hpp"

namespace paddletrack {

using namespace std::chrono_literals;

// A small deployment with one controller. It records the actions of the controller as objects, and as one
// line per action in `actionLog`.
class FakeAdmissionHost : public AdmissionHost {
 public:
  Deployment deployment = [] {
    Deployment defaults;
    defaults.requestClasses.resize(2);
    defaults.requestClasses[0] = {
        .latencyObjective = 500ms, .latencyObjectiveCostFactor = 2, .requestTimeout = 4s, .threads = 1};
    defaults.requestClasses[1] = {.index = 1,
                                  .latencyObjective = 2s,
                                  .latencyObjectiveCostFactor = 2,
                                  .requestTimeout = 20s,
                                  .threads = 4};
    defaults.machineTypes = {{8, 0}, {8, 0}};
    defaults.maxAttempts = 3;
    defaults.tickDuration = 5ms;
    defaults.honorsRetryAfter = true;
    defaults.maxRetryAfter = 1s;
    defaults.warmupTime = 10s;
    defaults.initialCapacityRatio = 0.3;
    defaults.warmupOverloadRatio = 3;
    defaults.warmupWindow = 2s;
    return defaults;
  }();
  Duration now{0};
  std::deque<Engine> engines;
  std::deque<Request> requests;
  std::vector<Attempt*> startedAttempts, cancelledAttempts;
  std::vector<Request*> rejectedRequests, failedRequests;
  std::vector<Duration> retryAfters;
  std::vector<double> memoryGrantsMb;
  int peerReportCount = 0;
  std::vector<std::vector<Candidate>> decisionTraces;  // while the decision trace is enabled
  double requestMemoryMb = 0;                          // declared by the requests submitted next
  std::size_t requestTenantIndex = 0;                  // of the requests submitted next
  std::string actionLog;
  std::unique_ptr<AdmissionController> controller;

  FakeAdmissionHost() = default;
  explicit FakeAdmissionHost(int engineCount) { startController(engineCount); }
  void startController(int engineCount, std::uint64_t seed = 7) {
    controller = std::make_unique<AdmissionController>(*this, deployment, seed, now);
    EndpointRecords records;
    for (int index = 0; index < engineCount; ++index) {
      engines.emplace_back().number = static_cast<std::uint32_t>(index);
      records.emplace_back(&engines.back(), EndpointRecord{});
    }
    controller->onEndpointUpdate(now, true, records);
  }
  void updateEndpoint(int engineIndex, EndpointRecord record) {
    controller->onEndpointUpdate(now, false, {{&engines[engineIndex], record}});
  }

  Request& submitRequest(int classIndex, Duration cost = 100ms, std::uint64_t orderingKey = 0) {
    Request& request = requests.emplace_back();
    request.id = static_cast<std::uint32_t>(requests.size());
    request.requestClass = &deployment.requestClasses[classIndex];
    request.arrivedAt = now;
    request.deadline = now + request.requestClass->requestTimeout;
    request.declaredCost = cost;
    request.key = orderingKey;
    request.declaredMemoryMb = requestMemoryMb;
    request.tenantIndex = requestTenantIndex;
    controller->onRequest(now, request);
    return request;
  }
  std::size_t submitRequests(int count, int classIndex, Duration cost = 100ms) {
    const std::size_t startedBefore = startedAttempts.size();
    for (int index = 0; index < count; ++index) submitRequest(classIndex, cost);
    return startedAttempts.size() - startedBefore;
  }
  void finishAttempt(Attempt& attempt, AttemptOutcome outcome = AttemptOutcome::completed,
                     const LoadReport* report = nullptr) {
    controller->onAttemptFinished(now, attempt, outcome, outcome == AttemptOutcome::completed, std::nullopt,
                                  report);
  }
  void finishAllAttempts(AttemptOutcome outcome = AttemptOutcome::completed,
                         const LoadReport* report = nullptr) {
    for (Attempt* attempt : std::vector<Attempt*>(startedAttempts))
      if (attempt->inFlight) finishAttempt(*attempt, outcome, report);
  }
  void advanceTime(Duration duration) {
    for (const Duration end = now + duration; now < end;) {
      now += std::max(deployment.tickDuration, Duration{1ms});
      if (timerDueAt && *timerDueAt <= now) {
        timerDueAt.reset();
        controller->onTimer(now);
      }
    }
  }
  std::size_t countAttemptsTo(int engineIndex) const {
    return static_cast<std::size_t>(std::count_if(
        startedAttempts.begin(), startedAttempts.end(),
        [&](Attempt* startedAttempt) { return startedAttempt->engine == &engines[engineIndex]; }));
  }

  void sendAttempt(Attempt& attempt) override {
    startedAttempts.push_back(&attempt);
    appendAction("attempt", attempt.request->id, attempt.engine->number);
  }
  void assignResources(Request&, double grantMb, int) override { memoryGrantsMb.push_back(grantMb); }
  void reject(Request& request, Duration retryAfter) override {
    rejectedRequests.push_back(&request);
    retryAfters.push_back(retryAfter);
    appendAction("reject", request.id, static_cast<std::uint64_t>(retryAfter.count()));
  }
  void fail(Request& request) override {
    failedRequests.push_back(&request);
    appendAction("cancel", request.id, 0);
  }
  void cancel(Attempt& attempt) override { cancelledAttempts.push_back(&attempt); }
  void scheduleTimer(Duration time) override { timerDueAt = timerDueAt ? std::min(*timerDueAt, time) : time; }
  void sendHealthCheck(Engine& engine) override { appendAction("probe", engine.number, 0); }
  void sendPeerReport(const std::vector<PeerEngineLoad>&) override { ++peerReportCount; }
  void requestEndpoints() override { appendAction("watch", 0, 0); }
  void log(std::string_view) override {}
  void traceDecision(const Request&, const std::vector<Candidate>& candidates) override {
    decisionTraces.push_back(candidates);
  }

 private:
  void appendAction(const char* action, std::uint64_t subject, std::uint64_t argument) {
    actionLog += std::string(action) + ' ' + std::to_string(subject) + ' ' + std::to_string(argument) + ' ' +
                 std::to_string(now.count()) + '\n';
  }
  std::optional<Duration> timerDueAt;
};

}  // namespace paddletrack
