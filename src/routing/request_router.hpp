/// @file
/// The router between clients, the admission controller and the engines.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_controller.hpp"
#include "counterfactual/decision_recorder.hpp"
#include "protocol/controller_config.hpp"
#include "protocol/endpoint_event.hpp"
#include "routing/engine_connection_pool.hpp"
#include "routing/engine_registry.hpp"
#include "routing/request_context.hpp"
#include "routing/request_table.hpp"

namespace paddletrack::routing {

/// Converts protocol events to calls of the admission controller, and the controller's decisions to messages.
/// It owns the requests and the engines. It is the only caller of the admission controller, and never calls
/// it from within one of the controller's own calls. All durations are on the router's clock, which starts at
/// its construction.
class RequestRouter final : private AdmissionHost, private EngineConnectionPool::AttemptListener {
 public:
  struct Limits {
    std::size_t maxOpenRequests = 1;
    EngineConnectionPool::Limits connectionLimits;
  };
  /// The references passed belong to the caller and outlive the router.
  RequestRouter(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                const protocol::ControllerConfig& config, const Limits& limits, std::uint64_t seed,
                const Logger& logger);

  const protocol::ControllerConfig& config() const { return config_; }
  Duration now() const;

  // ---- Requests ----
  std::size_t openRequestCount() const { return requestTable_.size(); }
  /// Whether a new request must be rejected, because too many are open or hold too much memory.
  bool isFull() const {
    return requestTable_.size() >= limits_.maxOpenRequests ||
           !memoryBudget_.allows(0, transport::MemoryBudget::Purpose::newRequest);
  }
  bool hasOpenRequest(const std::string& requestId) const { return requestTable_.containsId(requestId); }
  /// Whether a request with this id has ended whose effect must not occur a second time.
  bool mayHaveExecuted(const std::string& requestId) const {
    return requestTable_.mayHaveExecuted(requestId);
  }
  /// Passes the request to the admission controller. The response may be given within this call. Throws
  /// std::bad_alloc if there is no memory for the request, which is then discarded.
  void acceptRequest(std::unique_ptr<RequestContext> newContext);
  /// The client has revoked the request or disconnected. The context may be destroyed within this call.
  void onClientGone(RequestContext& context);
  /// Limits all deadlines and timeouts to this time, at which the process ends.
  void setFinalDeadline(Duration finalDeadline);
  /// Gives each open request its final response immediately.
  void finishAllRequests();
  std::size_t attemptsInFlight() const { return requestTable_.countAttemptsInFlight(); }
  /// Calls `visit` with each request that has no final response.
  template <typename Visitor>
  void forEachOpenRequest(Visitor visit) const {
    requestTable_.forEach([&](const RequestContext& context) {
      if (!context.finished) visit(context);
    });
  }
  /// Called for each request once its response has been passed to the client's session.
  using ResponseCallback = std::function<void(const RequestContext&)>;
  void setResponseCallback(ResponseCallback callback) { responseCallback_ = std::move(callback); }

  // ---- Engines ----
  /// Whether any engine is known.
  bool isReady() const { return !engineRegistry_.empty(); }
  /// Applies an endpoint event. Invalid entries are logged and skipped.
  void onEndpointUpdate(const protocol::EndpointEvent& update);
  void onDiscoveryFailed();
  template <typename Visitor>
  void forEachEndpoint(Visitor visit) const {
    engineRegistry_.forEach(visit);
  }
  /// Applies an operator's override to one address of an engine for the given duration.
  enum class AddressLookup { found, unknownEngine, unknownAddress };
  AddressLookup setAddressOverride(const std::string& engineId, const std::string& address,
                                   addresses::AddressTable::ManualOverride manualOverride, Duration duration);
  /// The clock of the address tables.
  Duration addressClock() const { return connectionPool_.addressClock(); }
  void setFamilyPreference(std::vector<addresses::AddressFamily> preference) {
    connectionPool_.setFamilyPreference(std::move(preference));
  }

  /// Provides the placement bias of engines for the requests of a data set, and is notified of each attempt.
  /// It must outlive its use by the router.
  class PlacementBiasSource {
   public:
    virtual ~PlacementBiasSource() = default;
    /// The factor by which the engine's score is multiplied; below 1 the engine is preferred.
    virtual double placementBias(std::uint32_t dataSet, const EngineEndpoint& endpoint) const = 0;
    virtual void onAttemptStarted(std::uint32_t dataSet, const EngineEndpoint& endpoint) = 0;
  };
  void setPlacementBiasSource(PlacementBiasSource* source) { placementBiasSource_ = source; }

  // ---- Observation ----
  /// Records all decisions from now on. The recorder outlives the router.
  void enableRecording(counterfactual::DecisionRecorder& recorder);
  /// Sets the handler for a decision that an exception interrupted, after which the router's state is
  /// inconsistent. The handler must not return. Without a handler, std::terminate is called.
  void setFatalErrorHandler(std::function<void(const Error&)> handler) {
    fatalErrorHandler_ = std::move(handler);
  }
  struct Totals {
    std::uint64_t requests = 0;
    std::uint64_t clientsGone = 0;
    std::array<std::uint64_t, 4> responses{};        ///< Indexed by RequestContext::ResponseKind.
    std::array<std::uint64_t, 9> attemptOutcomes{};  ///< Indexed by AttemptOutcome.
  };
  const Totals& totals() const { return totals_; }
  /// Returns the counts of requests, attempts and engines as one line for the log.
  std::string formatCounts() const;

 private:
  // AdmissionHost
  void sendAttempt(Attempt& attempt) override;
  void assignResources(Request& request, double grantMb, int priority) override;
  void reject(Request& request, Duration retryAfter) override;
  void fail(Request& request) override;
  void cancel(Attempt& attempt) override;
  bool recall(Attempt& attempt) override;
  void scheduleTimer(Duration timerAt) override;
  void sendHealthCheck(Engine& engine) override;
  void sendPeerReport(const std::vector<PeerEngineLoad>& reports) override;
  void requestEndpoints() override;
  void log(std::string_view text) override;
  double placementBias(const Request& request, const Engine& engine) override;
  void traceDecision(const Request& request, const std::vector<Candidate>& candidates) override;

  // EngineConnectionPool::AttemptListener
  void onAttemptFinished(AttemptContext& attemptContext, AttemptOutcome outcome) override;

  template <typename Step>
  void runDecision(Step step);
  void onTimer();
  void respond(RequestContext& context, RequestContext::ResponseKind kind);
  void removeFinishedRequests();

  void onAttemptTimeout(AttemptContext& attemptContext);
  void reportOutcome(AttemptContext& attemptContext, AttemptOutcome outcome);
  bool canCancel(const AttemptContext& attemptContext) const;
  bool isCancelled(const AttemptContext& attemptContext) const;
  void scheduleCancelledReport(AttemptContext& attemptContext);
  void reportCancelledAttempts();
  transport::TimePoint sendDeadline(const Attempt& attempt) const;
  void limitAttemptTime(AttemptContext& attemptContext, transport::TimePoint finalTime);

  std::optional<EndpointRecord> readRecord(const protocol::EndpointEntry& entry) const;
  EngineEndpoint& updateEngine(const protocol::EndpointEntry& entry, const EndpointRecord& record);
  void removeUnlistedEngines(EndpointRecords& records);
  void removeReplacedEngines(EndpointRecords& records);
  void removeEngine(EngineEndpoint& endpoint, EndpointRecords& records);

  transport::TimePoint toTimePoint(Duration sinceStart) const { return startedAt_ + sinceStart; }

  transport::Scheduler& scheduler_;
  const transport::MemoryBudget& memoryBudget_;
  const protocol::ControllerConfig& config_;
  const Limits limits_;
  const Logger& logger_;
  const transport::TimePoint startedAt_;
  const std::chrono::system_clock::time_point startedAtWallClock_;
  std::optional<Duration> finalDeadline_;
  bool discoveryRequested_ = false;  // The admission controller has requested the endpoint list.
  Totals totals_;
  ResponseCallback responseCallback_;
  PlacementBiasSource* placementBiasSource_ = nullptr;
  counterfactual::DecisionRecorder* recorder_ = nullptr;
  std::function<void(const Error&)> fatalErrorHandler_;
  RequestTable requestTable_;
  EngineRegistry engineRegistry_;
  std::vector<AttemptContext*> cancelledAttempts_;  // Not reported to the admission controller yet.
  transport::ScheduledCall reportCancelledCall_;
  transport::ScheduledCall timerCall_;
  EngineConnectionPool connectionPool_;
  AdmissionController admissionController_;
};

}  // namespace paddletrack::routing
