#pragma once

#include <string_view>
#include <utility>
#include <vector>

#include "model/class_statistics.hpp"
#include "model/engine.hpp"
#include "model/request.hpp"

namespace paddletrack {

/// An engine considered for a request. The candidate with the lowest randomized score is selected.
struct Candidate {
  Engine* engine = nullptr;
  double score = 0;             ///< Without the random factor between 1 and 1.1.
  double randomizedScore = 0;   ///< With the random factor.
  double utilization = 0;       ///< Used share of the concurrency target, including this request.
  double startProbability = 0;  ///< Probability of an immediate start if the engine is selected.
};

/// Engines with their records in the endpoint list. The engines are owned by the caller.
using EndpointRecords = std::vector<std::pair<Engine*, EndpointRecord>>;

/// The actions of an AdmissionController. Each call acts immediately and must not call back into the
/// controller.
class AdmissionHost {
 public:
  virtual ~AdmissionHost() = default;

  /// Sends the attempt to its engine. The attempt is owned by its request.
  virtual void sendAttempt(Attempt& attempt) = 0;

  /// Sets the memory grant in MB (0: the engine decides) and the priority to request with the next attempt.
  virtual void assignResources(Request& request, double memoryGrantMb, int priority) = 0;

  /// Rejects the request; the client may retry after `retryAfter`.
  virtual void reject(Request& request, Duration retryAfter) = 0;

  /// Fails the request. The client must not retry it, because it may have been executed.
  virtual void fail(Request& request) = 0;

  /// Asks the engine to cancel the attempt. The attempt still finishes with an outcome.
  virtual void cancel(Attempt& attempt) = 0;

  /// Recalls an attempt that has not been sent yet. Returns true if nothing of it was sent; it then finishes
  /// as `neverSent`. Returns false if a part of it may have been sent.
  virtual bool recall(Attempt& /*attempt*/) { return false; }

  /// Schedules a call of AdmissionController::onTimer at `time`. A later call replaces an earlier one.
  virtual void scheduleTimer(Duration time) = 0;

  /// Sends a health check to the engine, whose answer may contain a load report.
  virtual void sendHealthCheck(Engine& engine) = 0;

  /// Sends this controller's load per engine to all other controllers.
  virtual void sendPeerReport(const PeerReport& report) = 0;

  /// Requests the endpoint list.
  virtual void requestEndpoints() = 0;

  virtual void log(std::string_view message) = 0;

  /// Returns the placement bias, a factor on the engine's score for the request: an engine with a factor
  /// below 1 is preferred (docs/rebalance.md).
  virtual double placementBias(const Request& /*request*/, const Engine& /*engine*/) { return 1; }

  /// Called while the decision trace is enabled, after each selection that found an engine and before the
  /// request starts or is queued.
  virtual void traceDecision(const Request& /*request*/, const std::vector<Candidate>& /*candidates*/) {}
};

}  // namespace paddletrack
