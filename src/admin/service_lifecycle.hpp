#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admin/status.hpp"
#include "drain/completion_estimator.hpp"
#include "drain/drain_state_machine.hpp"
#include "routing/client_listener.hpp"
#include "routing/endpoint_watcher.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::admin {

/// Takes a controller out of service and brings it back: carries the decisions of the drain state machine to
/// the client listener and the request router, and reports the open work of these to the state machine.
class ServiceLifecycle final : public routing::ServiceGate {
 public:
  /// Registers itself as the client listener's gate. All references must outlive the object. `exit` is called
  /// when the process may end after onTerminate().
  ServiceLifecycle(transport::Scheduler& scheduler, routing::RequestRouter& router,
                   routing::ClientListener& clientListener, std::string name, const drain::Options& options,
                   const Logger& log, std::function<void()> exit);
  ServiceLifecycle(const ServiceLifecycle&) = delete;
  ServiceLifecycle& operator=(const ServiceLifecycle&) = delete;
  ~ServiceLifecycle() override;

  /// Starts a drain, or changes the deadline and the retry time of one that is under way. Both are spans from
  /// now; the configured values stand in for absent ones. `requestedBy` is for the log.
  drain::DrainError requestDrain(std::optional<Duration> deadline, std::optional<Duration> retryAfter,
                                 const std::string& requestedBy);
  /// Brings the controller back into service.
  drain::DrainError cancelDrain(const std::string& requestedBy);
  /// SIGTERM: the process ends as soon as nothing is open, or at the latest at the final deadline.
  void onTerminate();

  /// Options of drains that are requested from now on.
  void setDrainOptions(const drain::Options& options) { drain_.setOptions(options); }
  const drain::Options& drainOptions() const { return drain_.options(); }
  /// The order in which address families are tried from now on.
  void setFamilyPreference(std::vector<addresses::AddressFamily> families) {
    router_.setFamilyPreference(std::move(families));
  }

  ControllerStatus status() const;
  drain::State state() const { return drain_.state(); }
  /// Engines in the order of their ids, from `firstEngineId` on, at most `limit` of them.
  std::vector<EngineStatus> listEngines(const std::string& firstEngineId, std::size_t limit) const;
  /// Avoids or prefers an address of an engine for `overrideDuration`, and logs who requested it.
  routing::RequestRouter::AddressLookup setAddressOverride(
      const std::string& engine, const std::string& address,
      addresses::AddressTable::ManualOverride addressOverride, Duration overrideDuration,
      const std::string& requestedBy);

  /// Each source reports the status of a part that can be switched off; without one the part is absent.
  void setGossipSource(std::function<GossipStatus()> source) { gossipSource_ = std::move(source); }
  void setCounterfactualSource(std::function<CounterfactualStatus()> source) {
    counterfactualSource_ = std::move(source);
  }
  void setEndpointListSource(std::function<routing::EndpointWatcher::Status()> source) {
    endpointListSource_ = std::move(source);
  }
  /// Called after each change of the state.
  void setStateListener(std::function<void()> listener) { stateListener_ = std::move(listener); }
  /// Records the latency of responses from now on, for the estimate of when the open requests are completed.
  void enableCompletionEstimates();

 private:
  bool onHeartbeat() override;
  std::optional<Duration> checkRejection() override;
  drain::OpenWork countOpenWork() const;
  OpenWorkStatus openWorkStatus(Duration now) const;
  std::vector<drain::CompletionEstimator::OpenRequest> listOpenRequests(Duration now) const;
  RequestTotals requestTotals() const;
  DrainStatus drainStatus(const drain::DrainProgress& progress, Duration now) const;
  void advanceDrain();
  void onStateChanged(drain::State previousState);

  transport::Scheduler& scheduler_;
  routing::RequestRouter& router_;
  routing::ClientListener& clientListener_;
  const std::string name_;
  const Logger& log_;
  const std::function<void()> exit_;
  std::function<void()> stateListener_;
  std::function<GossipStatus()> gossipSource_;
  std::function<routing::EndpointWatcher::Status()> endpointListSource_;
  std::function<CounterfactualStatus()> counterfactualSource_;
  drain::DrainStateMachine drain_;
  drain::CompletionEstimator completionEstimator_;
  std::uint64_t rejectedByDrain_ = 0;
  transport::ScheduledCall advanceTimer_;
};

}  // namespace paddletrack::admin
