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

/// Takes a controller out of service and returns it to service: applies the decisions of the drain state
/// machine to the client listener and the request router, and reports their open work to the state machine.
class ServiceLifecycle final : public routing::ServiceGate {
 public:
  /// Registers itself as the service gate of the client listener. All references must outlive the object.
  /// `exit` is called when the process may end after onTerminate().
  ServiceLifecycle(transport::Scheduler& scheduler, routing::RequestRouter& router,
                   routing::ClientListener& clientListener, std::string name, const drain::Options& options,
                   const Logger& log, std::function<void()> exit);
  ServiceLifecycle(const ServiceLifecycle&) = delete;
  ServiceLifecycle& operator=(const ServiceLifecycle&) = delete;
  ~ServiceLifecycle() override;

  /// Starts a drain, or changes the deadline and the Retry-After time of the current one. Both are durations
  /// from now; std::nullopt selects the configured value. `requestedBy` appears in the log.
  drain::DrainError requestDrain(std::optional<Duration> deadline, std::optional<Duration> retryAfter,
                                 const std::string& requestedBy);
  /// Cancels the drain and returns the controller to service.
  drain::DrainError cancelDrain(const std::string& requestedBy);
  /// Handles SIGTERM: the process ends as soon as no work is open, or at the final deadline at the latest.
  void onTerminate();

  /// Sets the options of drains that are requested from now on.
  void setDrainOptions(const drain::Options& options) { drain_.setOptions(options); }
  const drain::Options& drainOptions() const { return drain_.options(); }
  /// Sets the order in which address families are tried from now on.
  void setFamilyPreference(std::vector<addresses::AddressFamily> families) {
    router_.setFamilyPreference(std::move(families));
  }

  ControllerStatus status() const;
  drain::State state() const { return drain_.state(); }
  /// Returns the engines in the order of their ids, from `firstEngineId` on, at most `limit` of them.
  std::vector<EngineStatus> listEngines(const std::string& firstEngineId, std::size_t limit) const;
  /// Avoids or prefers an address of an engine for `overrideDuration`, or clears such an override. Logs
  /// `requestedBy`.
  routing::RequestRouter::AddressLookup setAddressOverride(
      const std::string& engine, const std::string& address,
      addresses::AddressTable::ManualOverride addressOverride, Duration overrideDuration,
      const std::string& requestedBy);

  /// Each source reports the status of an optional part; without a source the part is absent from status().
  void setGossipSource(std::function<GossipStatus()> source) { gossipSource_ = std::move(source); }
  void setCounterfactualSource(std::function<CounterfactualStatus()> source) {
    counterfactualSource_ = std::move(source);
  }
  void setEndpointListSource(std::function<routing::EndpointWatcher::Status()> source) {
    endpointListSource_ = std::move(source);
  }
  /// Sets the function that is called after each change of the drain state.
  void setStateListener(std::function<void()> listener) { stateListener_ = std::move(listener); }
  /// Records the latency of responses from now on, to estimate when the open requests will be completed.
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
