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

/// Makes the decisions about all requests of one controller: whether a request starts, on which engine, and
/// whether it is retried, rejected or failed. It receives events in chronological order, each with its time,
/// and acts through its AdmissionHost before the call returns. It does no I/O, reads no clock, and is not
/// thread-safe. It only connects the parts of the module; each concern is implemented by a class of its own.
///
/// Requests and engines are owned by the caller. A request must stay valid until it is finished and has no
/// attempt in flight, and an engine until forgetEngine() is called, which is allowed once the engine is
/// removed from the endpoint list and no valid request has an attempt on it.
class AdmissionController {
 public:
  /// `host` and `deployment` must outlive the controller. The same seed and events lead to the same
  /// decisions.
  AdmissionController(AdmissionHost& host, const Deployment& deployment, std::uint64_t seed, Duration now);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// A request has arrived.
  void onRequest(Duration now, Request& request);

  /// An attempt has finished. `requestFinished` is true if its response was the final response to the
  /// request. `actualCost` and `loadReport` were reported by the engine with it; `loadReport` may be null.
  void onAttemptFinished(Duration now, Attempt& attempt, AttemptOutcome outcome, bool requestFinished,
                         std::optional<ActualCost> actualCost, const LoadReport* loadReport);

  /// The first part of a response has been forwarded to the client: the request can no longer be retried.
  void onResponseStarted(Duration now, Attempt& attempt);

  /// The client of the request has disconnected.
  void onClientGone(Duration now, Request& request);

  /// The engine has sent a progress notification; `value` is the completed share of the work.
  void onProgress(Duration now, Attempt& attempt, ProgressKind kind, double value);

  /// A health check has been answered or has failed; `loadReport` may be null.
  void onHealthCheckResult(Duration now, Engine& engine, bool answered, const LoadReport* loadReport);

  /// Another controller has reported its load per engine.
  void onPeerReport(Duration now, unsigned peerIndex, const PeerReport& report);

  /// The endpoint list has changed. A snapshot contains all engines; those missing from it become
  /// unavailable.
  void onEndpointUpdate(Duration now, bool isSnapshot, const EndpointRecords& records);

  /// Removes the engine, which may then be destroyed.
  void forgetEngine(Engine& engine) { std::erase(context_.engines, &engine); }

  /// The endpoint list could not be read. It is requested again soon.
  void onDiscoveryFailed(Duration now);

  /// The scheduled timer is due.
  void onTimer(Duration now);

  /// Rejects or fails all of the requests that are not finished, before any queued request can start on the
  /// capacity that this frees.
  void rejectAll(Duration now, const std::vector<Request*>& requests);

  /// Enables or disables the reporting of each selection's candidates to AdmissionHost::traceDecision.
  void enableDecisionTrace(bool enabled) { selector_.enableDecisionTrace(enabled); }

 private:
  // Starts, queues or rejects the request.
  void admitUnlessTooLate(Request& request);
  void admitRequest(Request& request);
  // Queues the request until `until`, but at most until shortly before its deadline, and for at least a tick,
  // so that its next selection round is not at the same time.
  void queueUntil(Request& request, Duration until);
  // Lets the next request of the ordering key proceed once this request is finished and has no attempt in
  // flight.
  void releaseOrderingKey(Request& request);
  // Returns true if the request fits the limits of its class on some engine. The check is made only in the
  // first selection round of the request; later rounds and retries return true.
  bool fitsAnyEngine(Request& request);
  // Returns false if the request can neither start nor be queued.
  bool startOrQueue(Request& request);
  void startAttempt(Request& request, Engine& engine);

  void recordOutcome(Attempt& attempt, AttemptOutcome outcome, const std::optional<ActualCost>& actualCost);
  void retryOrReject(Request& request);
  // Finishes the request at once: rejects it with a Retry-After if a retry by the client is safe, otherwise
  // fails it. Attempts that have not been sent yet are recalled first, because a recalled attempt is proven
  // not executed.
  void rejectOrFail(Request& request);
  void finishRequest(Request& request);
  Duration queueDeadline(const Request& request) const;

  // Adds an engine that is new to this controller at a random position; large engines tend to come first.
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
