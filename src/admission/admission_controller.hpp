#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/admission_rules.hpp"
#include "admission/class_limits.hpp"
#include "admission/cost_estimator.hpp"
#include "admission/engine_health.hpp"
#include "admission/engine_selector.hpp"
#include "admission/load_estimator.hpp"
#include "admission/load_exchange.hpp"
#include "admission/straggler_policy.hpp"
#include "admission/tenant_quotas.hpp"
#include "model/deployment.hpp"
#include "model/engine.hpp"
#include "model/ordering_queues.hpp"
#include "model/request.hpp"
#include "model/request_queue.hpp"

namespace paddletrack {

/// Decides about every request of one controller: whether it starts, on which engine, whether it is retried,
/// rejected or failed. It is told of the events in their order, each with its time, and answers through its
/// AdmissionHost before the call returns. It does no I/O, reads no clock, and is not thread-safe. It only
/// wires the parts of the module: each concern has a class of its own.
///
/// Requests and engines belong to the caller. A request has to stay valid until it is finished and has no
/// attempt in flight; an engine until it is forgotten, which is allowed once it is removed from the endpoint
/// list and no valid request has an attempt on it.
class AdmissionController {
 public:
  /// `host` and `deployment` have to outlive the controller. The same seed and events give the same
  /// decisions.
  AdmissionController(AdmissionHost& host, const Deployment& deployment, std::uint64_t seed, Duration now);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// A request has arrived.
  void onRequest(Duration now, Request& request);

  /// An attempt has finished. `requestFinished` is true if its response was the final answer of the request.
  /// `actualCost` and `loadReport` are what the engine reported with it; `loadReport` may be null.
  void onAttemptFinished(Duration now, Attempt& attempt, AttemptOutcome outcome, bool requestFinished,
                         std::optional<ActualCost> actualCost, const LoadReport* loadReport);

  /// The first part of a response has been passed on to the client: the request cannot be retried any more.
  void onResponseStarted(Duration now, Attempt& attempt);

  /// The client of the request has disconnected.
  void onClientGone(Duration now, Request& request);

  /// The engine has sent a progress note; `value` is the part of the work that is done.
  void onProgress(Duration now, Attempt& attempt, ProgressKind kind, double value);

  /// A health check has been answered or has failed; `loadReport` may be null.
  void onHealthCheckResult(Duration now, Engine& engine, bool answered, const LoadReport* loadReport);

  /// Another controller has reported its load per engine.
  void onPeerReport(Duration now, unsigned peerIndex, const PeerReport& report);

  /// The endpoint list has changed. A snapshot names all engines; those that it leaves out are unavailable.
  void onEndpointUpdate(Duration now, bool isSnapshot, const EndpointRecords& records);

  /// Drops the engine, which may then be destroyed.
  void forgetEngine(Engine& engine) { std::erase(context_.engines, &engine); }

  /// The endpoint list could not be read; it is asked for again soon.
  void onDiscoveryFailed(Duration now);

  /// The scheduled timer is due.
  void onTimer(Duration now);

  /// Gives each of the requests its final answer, before the capacity that this frees can start another one.
  void rejectAll(Duration now, const std::vector<Request*>& requests);

  /// Reports the candidates of each selection to AdmissionHost::traceDecision.
  void enableDecisionTrace(bool enabled) { selector_.enableDecisionTrace(enabled); }

 private:
  // Starts, queues or rejects the request.
  void admitRequest(Request& request);
  // Queues the request until `until`, but no longer than it can still be answered, and at least a tick, so
  // that it is not selected again at the same time.
  void queueUntil(Request& request, Duration until);
  // Lets the next request of the key proceed once this one is finished and has no attempt in flight.
  void leaveOrder(Request& request);
  // True if the request fits its class's limits on some engine, or was found to do so earlier.
  bool fitsAnyEngine(Request& request);
  // False if the request can neither start nor wait.
  bool startOrQueue(Request& request);
  void startAttempt(Request& request, Engine& engine);

  void recordOutcome(Attempt& attempt, AttemptOutcome outcome, const std::optional<ActualCost>& actualCost);
  void retryOrReject(Request& request);
  // The final answer is sent at once, with the time after which the client may retry where that is safe.
  // Attempts that have not been sent yet are recalled first: they are then proven not executed.
  void rejectOrFail(Request& request);
  void finishRequest(Request& request);
  Duration queueDeadline(const Request& request) const;

  // Adds an engine that is new to this controller, at a random position: larger ones rather first.
  void registerEngine(Engine& engine, const EndpointRecord& endpoint);
  void runPeriodicWork();
  void updateStatistics();
  void hedgeOrCancelStragglers();
  void pollDiscovery();

  AdmissionHost& host_;
  AdmissionContext context_;
  LoadEstimator load_{context_};
  CostEstimator costs_{context_, load_};
  EngineHealth health_{context_, costs_, load_};
  ClassLimits limits_{context_, costs_, health_, load_};
  OrderingQueues ordering_;
  AdmissionRules rules_{context_, costs_, load_, ordering_};
  EngineSelector selector_{context_, host_, load_, health_, limits_, rules_};
  StragglerPolicy stragglers_{context_, costs_, health_, rules_};
  TenantQuotas quotas_{context_};
  RequestQueue queue_;
  LoadExchange exchange_{context_, host_, load_};
  Duration nextStatisticsAt_{0}, nextDiscoveryAt_{0};
};

}  // namespace paddletrack
