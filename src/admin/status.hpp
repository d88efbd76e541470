/// The status of a controller that the admin server reports: one type for each part, filled by that part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/sliding_window_sum.hpp"
#include "counterfactual/report.hpp"
#include "drain/completion_estimator.hpp"
#include "drain/drain_state_machine.hpp"
#include "routing/endpoint_watcher.hpp"

namespace paddletrack::admin {

/// Requests without a final response, with their attempts, unsent bytes and connections.
struct OpenWorkStatus {
  std::size_t requests = 0;
  std::size_t attempts = 0;
  std::size_t unsentBytes = 0;
  std::size_t connections = 0;
  std::vector<std::pair<std::string, std::size_t>> requestsByClass;
  Duration maxRemaining{0};  // Until the last open request times out.
};

/// Final outcomes of requests, since the start of the process or of a drain.
struct RequestTotals {
  std::uint64_t abandoned = 0;  // The client disconnected before the response.
  std::uint64_t completed = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejectedByDrain = 0;  // Rejected because of a drain; never accepted.
};

/// The latest drain, including one that has ended.
struct DrainStatus {
  std::uint64_t number = 0;
  Duration requestedAgo{0};
  Duration deadlineIn{0};
  Duration retryAfter{0};
  bool frontLayerNotified = false;
  bool deadlineMissed = false;
  bool cancelled = false;
  std::optional<Duration> drainedAfter;
  std::size_t requestsAtStart = 0;
  std::size_t requestsEndedByDeadline = 0;
  RequestTotals totals;  // Since the drain was requested.
};

/// Load of an engine or of the whole fleet, as published by the controllers.
struct LoadStatus {
  std::uint64_t threads = 0;
  std::uint64_t requests = 0;
};

/// A controller that this one exchanges gossip with.
struct GossipPeerStatus {
  std::string address;
  std::string controllerName;  // Empty until a message from it has arrived.
  std::optional<Duration> lastMessageAgo;
};

/// The state of gossip with the other controllers.
struct GossipStatus {
  static constexpr std::size_t kMaxPeers = 64;
  static constexpr std::size_t kMaxEngines = 1024;

  std::string cluster;
  std::string controllerName;
  std::uint64_t incarnation = 0;
  std::uint64_t laterIncarnations = 0;  // Later incarnations seen under this controller's name.
  std::size_t knownControllers = 0;
  std::size_t entries = 0;
  std::size_t bytes = 0;
  std::size_t maxBytes = 0;
  std::size_t peerCount = 0;
  std::size_t activePeerCount = 0;      // Peers that sent a message within the last seconds.
  std::vector<GossipPeerStatus> peers;  // The first kMaxPeers.
  std::uint64_t datagramsReceived = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t datagramsSent = 0;
  std::uint64_t bytesSent = 0;
  std::vector<std::pair<const char*, std::uint64_t>> droppedByReason;
  std::size_t reportingControllers = 0;  // Controllers that publish their load.
  std::size_t liveControllers = 0;       // Reporting controllers that published their load recently.
  LoadStatus totalLoad;
  std::vector<std::pair<std::string, LoadStatus>> engineLoads;  // The first kMaxEngines by name.
};

/// The counterfactual evaluation of past decisions: of this controller and, with gossip, of the fleet.
struct CounterfactualStatus {
  Duration window{0};
  std::size_t maxRecords = 0;
  std::size_t recordCount = 0;
  std::size_t openRequests = 0;
  std::uint64_t finishedRequests = 0;
  std::uint64_t droppedRecords = 0;
  counterfactual::CounterfactualReport local;
  std::optional<counterfactual::CounterfactualReport> fleet;
};

/// The status of a controller at one instant. Disabled parts are std::nullopt.
struct ControllerStatus {
  std::string name;
  std::uint64_t processId = 0;
  drain::State state = drain::State::serving;
  bool isStopping = false;
  Duration uptime{0};
  OpenWorkStatus open;
  std::uint64_t accepted = 0;
  RequestTotals totals;  // Since the start of the process.
  std::optional<DrainStatus> drain;
  std::optional<drain::CompletionEstimator::Estimate> expectedCompletion;
  std::optional<GossipStatus> gossip;
  std::optional<routing::EndpointWatcher::Status> endpointList;
  std::optional<CounterfactualStatus> counterfactual;
};

/// An address of an engine and its observed health.
struct AddressStatus {
  std::string name;
  std::string family;
  std::string state;
  std::size_t connections = 0;
  std::optional<Duration> lastSuccessAgo;
  std::optional<Duration> lastFailureAgo;
  std::optional<Duration> connectDuration;
  std::optional<Duration> overrideRemaining;
  std::string lastFailure;
  Duration backoffRemaining{0};
};

/// An engine and its addresses.
struct EngineStatus {
  std::string id;
  std::string state;
  std::size_t connections = 0;
  std::size_t attempts = 0;
  std::size_t connecting = 0;
  std::vector<AddressStatus> addresses;
};

}  // namespace paddletrack::admin
