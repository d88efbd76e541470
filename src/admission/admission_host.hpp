#pragma once

#include <string_view>
#include <utility>
#include <vector>

#include "model/class_statistics.hpp"
#include "model/engine.hpp"
#include "model/request.hpp"

namespace paddletrack {

/// An engine that was considered for a request. The engine with the lowest randomized score is selected.
struct Candidate {
  Engine* engine = nullptr;
  double score = 0;             ///< Without the random factor of 1 to 1.1.
  double randomizedScore = 0;   ///< With the random factor.
  double utilization = 0;       ///< Share of the engine's concurrency target in use, with this request.
  double startProbability = 0;  ///< Probability that the request starts there at once if it is selected.
};

/// Engines with their records in the endpoint list. The engines belong to the caller.
using EndpointRecords = std::vector<std::pair<Engine*, EndpointRecord>>;

/// The actions that an AdmissionController can take. Each call acts at once and never calls back into the
/// controller.
class AdmissionHost {
 public:
  virtual ~AdmissionHost() = default;

  /// Sends the attempt to its engine. The attempt belongs to its request.
  virtual void sendAttempt(Attempt& attempt) = 0;

  /// Sets the memory grant (0: the engine decides) and the priority that the request's next attempt asks for.
  virtual void assignResources(Request& request, double memoryGrantMb, int priority) = 0;

  /// Rejects the request; the client may retry after `retryAfter`.
  virtual void reject(Request& request, Duration retryAfter) = 0;

  /// Fails the request; the client must not retry, because the request may have been executed.
  virtual void fail(Request& request) = 0;

  /// Asks the attempt's engine to stop it. The attempt still finishes with an outcome.
  virtual void cancel(Attempt& attempt) = 0;

  /// Stops an attempt that has not been sent yet, and returns true if nothing of it was sent. It then
  /// finishes as `neverSent`. Returns false if some of it may have been sent.
  virtual bool recall(Attempt& /*attempt*/) { return false; }

  /// Asks for a call of AdmissionController::onTimer at the given time. A later call replaces an earlier one.
  virtual void scheduleTimer(Duration time) = 0;

  /// Asks the engine for a load report.
  virtual void sendHealthCheck(Engine& engine) = 0;

  /// Sends this controller's load per engine to all other controllers.
  virtual void sendPeerReport(const PeerReport& report) = 0;

  /// Asks for the endpoint list.
  virtual void requestEndpoints() = 0;

  virtual void log(std::string_view message) = 0;

  /// A factor on the engine's score for the request: below 1 the engine is preferred (docs/rebalance.md).
  virtual double placementBias(const Request& /*request*/, const Engine& /*engine*/) { return 1; }

  /// Called at each selection that found an engine, before the request starts or waits, while the decision
  /// trace is enabled.
  virtual void traceDecision(const Request& /*request*/, const std::vector<Candidate>& /*candidates*/) {}
};

}  // namespace paddletrack
