// Keeps one controller in or out of service: brings the drain's decisions to the client side and the desk,
// and what these hold to the drain.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "counterfactual/report.hpp"
#include "drain/completion_estimator.hpp"
#include "drain/drain_state_machine.hpp"
#include "routing/client_listener.hpp"
#include "routing/endpoint_watcher.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::admin {

// What is to be told of a controller at one instant; figures are those of its books, but for the expected
// end.
struct Status {
  std::string name;
  std::uint64_t processId = 0;
  drain::State state = drain::State::serving;
  bool isStopping = false;
  Duration uptime{0};
  struct OpenWork {
    std::size_t requests = 0, attempts = 0, unsentBytes = 0, connections = 0;
    std::vector<std::pair<std::string, std::size_t>> requestsByClass;
    Duration maxRemaining{0};  // until the last open job's time is up
  } open;
  std::uint64_t accepted = 0, abandoned = 0, completed = 0, rejected = 0, failed = 0, rejectedByDrain = 0;
  struct DrainStatus {
    std::uint64_t number = 0;
    Duration requestedAgo{0}, deadlineIn{0}, retryAfter{0};
    bool frontLayerNotified = false, deadlineMissed = false, cancelled = false;
    std::optional<Duration> drainedAfter;
    std::size_t requestsAtStart = 0, requestsEndedByDeadline = 0;
    std::uint64_t abandoned = 0, completed = 0, rejected = 0, failed = 0,
                  rejectedByDrain = 0;  // since the ask
  };
  std::optional<DrainStatus> drain;
  std::optional<drain::CompletionEstimator::Estimate> expectedCompletion;  // an estimate

  // What is shared among controllers, where that is switched on.
  struct GossipStatus {
    std::string cluster, controllerName;
    std::uint64_t incarnation = 0, laterIncarnations = 0;  // met under its own name
    std::size_t knownControllers = 0, entries = 0, bytes = 0, maxBytes = 0;
    std::size_t peerCount = 0, activePeerCount = 0;  // heard within the last seconds
    struct Peer {
      std::string address, controllerName;
      std::optional<Duration> lastMessageAgo;
    };
    std::vector<Peer> peers;  // kMostPeers at most
    static constexpr std::size_t kMaxPeers = 64;
    std::uint64_t datagramsReceived = 0, bytesReceived = 0, datagramsSent = 0, bytesSent = 0;
    std::vector<std::pair<const char*, std::uint64_t>> droppedByReason;  // by reason
    struct Load {
      std::uint64_t threads = 0, requests = 0;
    };
    std::size_t reportingControllers = 0,
                liveControllers = 0;  // that tell of their load, and those heard of lately
    Load totalLoad;
    std::vector<std::pair<std::string, Load>> engineLoads;  // kMostEngines at most, by name
    static constexpr std::size_t kMaxEngines = 1024;
  };
  std::optional<GossipStatus> gossip;
  std::optional<routing::EndpointWatcher::Status> endpointList;

  // What looking back tells, where that is switched on: of this controller, and of all that share.
  struct CounterfactualStatus {
    Duration window{0};
    std::size_t maxRecords = 0, recordCount = 0, openRequests = 0;
    std::uint64_t finishedRequests = 0, droppedRecords = 0;
    counterfactual::CounterfactualReport local;
    std::optional<counterfactual::CounterfactualReport> fleet;
  };
  std::optional<CounterfactualStatus> counterfactual;
};

class ServiceLifecycle final : public routing::ServiceGate {
 public:
  ServiceLifecycle(transport::Scheduler& scheduler, routing::RequestRouter& router,
                   routing::ClientListener& clientListener, std::string name, const drain::Options& options,
                   const Logger& log, std::function<void()> exit);
  ~ServiceLifecycle();

  drain::DrainError requestDrain(std::optional<Duration> deadline, std::optional<Duration> retryAfter,
                                 const std::string& requestedBy);
  drain::DrainError cancelDrain(const std::string& requestedBy);
  void onTerminate();  // SIGTERM
  void setDrainOptions(const drain::Options& options) { drain_.setOptions(options); }
  void setFamilyPreference(std::vector<addresses::AddressFamily> families) {
    router_.setFamilyPreference(std::move(families));
  }
  const drain::Options& drainOptions() const { return drain_.options(); }

  Status status() const;
  drain::State state() const { return drain_.state(); }

  // Engines by id, from one on, so many at most.
  struct EngineStatus {
    std::string id, state;
    std::size_t connections = 0, attempts = 0, connecting = 0;
    struct AddressStatus {
      std::string name, family, state;
      std::size_t connections = 0;
      std::optional<Duration> lastSuccessAgo, lastFailureAgo, connectDuration, overrideRemaining;
      std::string lastFailure;
      Duration backoffRemaining{0};
    };
    std::vector<AddressStatus> addresses;
  };
  std::vector<EngineStatus> listEngines(const std::string& firstEngineId, std::size_t limit) const;
  routing::RequestRouter::AddressLookup setAddressOverride(
      const std::string& engine, const std::string& address,
      addresses::AddressTable::ManualOverride addressOverride, Duration overrideDuration,
      const std::string& requestedBy);
  void setGossipSource(std::function<Status::GossipStatus()> source) { gossipSource_ = std::move(source); }
  void setCounterfactualSource(std::function<Status::CounterfactualStatus()> source) {
    counterfactualSource_ = std::move(source);
  }
  void setStateListener(std::function<void()> listener) {
    stateListener_ = std::move(listener);
  }  // of the state
  void setEndpointListSource(std::function<routing::EndpointWatcher::Status()> source) {
    endpointListSource_ = std::move(source);
  }
  void enableCompletionEstimates();  // of jobs, for the expected end

 private:
  bool onHeartbeat() override;
  std::optional<Duration> checkRejection() override;
  drain::OpenWork countOpenWork() const;
  void advanceDrain();
  void onStateChanged(drain::State previousState);

  transport::Scheduler& scheduler_;
  routing::RequestRouter& router_;
  routing::ClientListener& clientListener_;
  const std::string name_;
  const Logger& log_;
  const std::function<void()> exit_;
  std::function<void()> stateListener_;
  std::function<Status::GossipStatus()> gossipSource_;
  std::function<routing::EndpointWatcher::Status()> endpointListSource_;
  std::function<Status::CounterfactualStatus()> counterfactualSource_;
  drain::DrainStateMachine drain_;
  drain::CompletionEstimator completionEstimator_;
  std::uint64_t rejectedByDrain_ = 0;
  transport::ScheduledCall advanceTimer_;
};

}  // namespace paddletrack::admin
