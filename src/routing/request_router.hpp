#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/admission_controller.hpp"
#include "counterfactual/decision_recorder.hpp"
#include "protocol/controller_config.hpp"
#include "protocol/endpoint_event.hpp"
#include "routing/engine_connection_pool.hpp"
#include "routing/request_context.hpp"

namespace paddletrack::routing {

// Where events of the protocols become calls on the Controller, and its answers become messages. Owns the
// exchanges and the executors. The Controller is called from here only, and never from within its own call.
class RequestRouter final : private AdmissionHost, private EngineConnectionPool::AttemptListener {
 public:
  struct Limits {
    std::size_t maxOpenRequests = 1;  // requests at once
    EngineConnectionPool::Limits connectionLimits;
  };
  RequestRouter(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                const protocol::ControllerConfig& config, const Limits& limits, std::uint64_t seed,
                const Logger& logger);

  const protocol::ControllerConfig& config() const { return config_; }
  Duration now() const;
  std::size_t openRequestCount() const { return requests_.size(); }
  bool isReady() const { return !endpoints_.empty(); }  // it knows where jobs could go
  bool isFull() const { return requests_.size() >= limits_.maxOpenRequests; }
  bool hasOpenRequest(const std::string& requestId) const {
    return openRequestIds_.count(requestId) > 0;
  }  // a job of it is alive

  // Throws std::bad_alloc where there is no room for it: then it was never here.
  void acceptRequest(std::unique_ptr<RequestContext> newContext);
  void onClientGone(RequestContext& context);  // its client has
  void onEndpointUpdate(const protocol::EndpointEvent& update);
  void onDiscoveryFailed();
  std::string formatCounts() const;               // for the log
  void setFinalDeadline(Duration finalDeadline);  // this process ends then: nothing is awaited for longer
  void finishAllRequests();                       // each open job gets its final answer now

  void enableRecording(
      counterfactual::DecisionRecorder& recorder);  // keeps records of all decisions from here on
  // Told where a decision could not be brought to its end: nothing it holds can be trusted any more. It must
  // not return. Not set: std::terminate.
  void setFatalErrorHandler(std::function<void(const Error&)> handler) {
    fatalErrorHandler_ = std::move(handler);
  }

  // Told of each job that got one, as soon as that is on its way.
  using ResponseCallback = std::function<void(const RequestContext&)>;
  void setResponseCallback(ResponseCallback callback) { responseCallback_ = std::move(callback); }
  struct Totals {
    std::uint64_t requests = 0, clientsGone = 0;
    std::array<std::uint64_t, 4> responses{};        // as Exchange::Answer
    std::array<std::uint64_t, 9> attemptOutcomes{};  // of dispatches, as Outcome
  };
  const Totals& totals() const { return totals_; }
  template <typename Visitor>
  void forEachOpenRequest(Visitor visit) const {  // of the jobs without a final answer
    for (const auto& request : requests_)
      if (!request->finished) visit(*request);
  }
  std::size_t attemptsInFlight() const;
  template <typename Visitor>
  void forEachEndpoint(Visitor visit) const {
    for (const auto& [id, item] : endpoints_) visit(*item);
  }
  // By hand, for a while: whether there is such an engine and such an address of it.
  enum class AddressLookup { found, unknownEngine, unknownAddress };
  AddressLookup setAddressOverride(const std::string& engineId, const std::string& address,
                                   addresses::AddressTable::ManualOverride manualOverride, Duration duration);
  Duration addressClock() const { return connectionPool_.addressClock(); }  // of what is known of addresses
  // Who says where a group's jobs should rather go, and is told where each goes. It outlives its use here.
  class PlacementBiasSource {
   public:
    virtual ~PlacementBiasSource() = default;
    virtual double placementBias(std::uint32_t dataSet,
                                 const EngineEndpoint& endpoint) const = 0;  // times its score
    virtual void onAttemptStarted(std::uint32_t dataSet, const EngineEndpoint& endpoint) = 0;
  };
  void setPlacementBiasSource(PlacementBiasSource* source) { placementBiasSource_ = source; }
  void setFamilyPreference(std::vector<addresses::AddressFamily> preference) {
    connectionPool_.setFamilyPreference(std::move(preference));
  }

 private:
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
  double placementBias(const Request& request, const Engine& engine) override {
    return placementBiasSource_ ? placementBiasSource_->placementBias(
                                      request.dataSet, static_cast<const EngineEndpoint&>(engine))
                                : 1;
  }
  void traceDecision(const Request& request, const std::vector<Candidate>& candidates) override;

  void onAttemptFinished(AttemptContext& attemptContext, AttemptOutcome outcome) override;

  template <typename Step>
  void runDecision(Step step);
  void reportOutcome(AttemptContext& attemptContext, AttemptOutcome outcome);
  void onAttemptTimeout(AttemptContext& attemptContext);
  void reportCancelledAttempts();
  void respond(RequestContext& context, RequestContext::ResponseKind kind);
  void markForCleanup(RequestContext& context);
  transport::TimePoint sendDeadline(const Attempt& attempt) const;
  void removeFinishedRequests();
  transport::TimePoint toTimePoint(Duration sinceStart) const { return startedAt_ + sinceStart; }

  transport::Scheduler& scheduler_;
  const protocol::ControllerConfig& config_;
  const Limits limits_;
  const Logger& logger_;
  const transport::TimePoint startedAt_;
  const std::chrono::system_clock::time_point startedAtWallClock_;
  std::optional<Duration> finalDeadline_;
  bool discoveryRequested_ = false;  // for the list
  Totals totals_;
  ResponseCallback responseCallback_;
  PlacementBiasSource* placementBiasSource_ = nullptr;
  counterfactual::DecisionRecorder* recorder_ = nullptr;
  std::function<void(const Error&)> fatalErrorHandler_;
  std::list<std::unique_ptr<RequestContext>> requests_;
  std::unordered_set<std::string> openRequestIds_;  // their references
  std::unordered_map<std::string, std::unique_ptr<EngineEndpoint>> endpoints_;
  std::unordered_set<EngineEndpoint*>
      removedEndpoints_;                  // off the list, to be forgotten once nothing knows them any more
  std::uint32_t lastEndpointNumber_ = 0;  // of executors ever known
  std::vector<RequestContext*> cleanupCandidates_;
  std::vector<AttemptContext*> cancelledAttempts_;
  transport::ScheduledCall reportCancelledCall_, wakeCall_;
  EngineConnectionPool connectionPool_;
  AdmissionController admissionController_;
};

}  // namespace paddletrack::routing
