#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"

namespace paddletrack {

/// How an attempt ended. `connectionAborted`: its connection was closed because it delivered an unusable
/// response or stalled in the middle of one; the request may have been executed.
enum class AttemptOutcome : std::uint8_t {
  completed,
  error,
  rejected,
  timedOut,
  unreachable,
  reset,
  cancelled,
  neverSent,
  connectionAborted
};

/// Returns true if the outcome proves that the engine did not execute the request.
bool provesNotExecuted(AttemptOutcome outcome);

/// Returns true if the engine may still be executing the request after the outcome.
bool mayStillExecute(AttemptOutcome outcome);

/// The kinds of progress notifications that an engine sends while it holds an attempt.
enum class ProgressKind : std::uint8_t { progress, spilling, waiting };

struct Request;

/// One attempt to execute a request on an engine. It is owned by its request.
struct Attempt {
  Attempt() = default;

  /// Creates the next attempt of the request, with the engine's current zone and cell.
  Attempt(Request& parentRequest, Engine& target, Duration now);

  Request* request = nullptr;
  Engine* engine = nullptr;
  std::uint8_t index = 0;  ///< Its position among the attempts of the request.
  Duration sentAt{0};
  Duration timesOutAt{0};
  Duration unobservedTime{0};  ///< Time in flight during which its controller was stalled.
  double threads = 0;
  double costTokens = 0;
  double memoryMb = 0;
  double progress = 0;  ///< Completed share of the work, as last reported.
  bool inFlight = true;
  bool provenNotExecuted = false;
  bool cancelled = false;
  unsigned zone = 0, cell = 0;  ///< Of its engine at the time of sending.

  /// Seconds in flight until `now`, not counting the time during which its controller was stalled.
  double observedAge(Duration now) const;

  /// Estimated execution time of the request in seconds on the threads that it uses.
  double estimatedSeconds() const { return costTokens / threads; }
};

/// A client's request. It is owned by the caller of AdmissionController.
struct Request {
  std::uint32_t id = 0;
  const RequestClass* requestClass = nullptr;
  Duration arrivedAt{0};
  Duration deadline{0};
  std::optional<Duration> declaredCost;  ///< Cost as the time of a single thread.
  double declaredMemoryMb = 0;           ///< 0: not declared.
  std::uint64_t key = 0;                 ///< Ordering key, used if its class is ordered; 0: no key.
  std::size_t tenantIndex = 0;
  std::uint32_t dataSet = 0;

  double costTokens = 0;        ///< Estimated cost in thread-seconds.
  double admissionThreads = 0;  ///< Threads counted at admission, by its cost relative to its class.
  double randomDraw = 0;        ///< Its random draw for the rounding of fractional shares.
  bool overQuota = false;
  bool finished = false;   ///< The client has got its final response, or has disconnected.
  bool queued = false;     ///< It is waiting for its next selection round.
  bool streaming = false;  ///< A part of its response has been forwarded to the client.
  std::optional<Duration> queueDeadline;
  std::vector<std::unique_ptr<Attempt>> attempts;

  int attemptCount() const { return static_cast<int>(attempts.size()); }
  int threads() const { return requestClass->threads; }
  bool isOrdered() const { return requestClass->ordered && key; }

  /// Returns the number of its attempts in flight.
  int inFlightCount() const;

  /// Returns its latest attempt on the engine, or null if there is none.
  const Attempt* lastAttemptOn(const Engine& engine) const;

  /// Returns its latency objective in seconds, but at most the time from its arrival to its deadline.
  double latencyObjectiveSeconds() const;
};

/// The load that one controller has on an engine, as reported to its peers.
struct PeerEngineLoad {
  Engine* engine = nullptr;
  float threads = 0;
  float memoryMb = 0;
};

/// The loads of all engines on which a controller has requests in flight.
using PeerReport = std::vector<PeerEngineLoad>;

/// Returns the report of this controller's load on each of the engines.
PeerReport makePeerReport(const std::vector<Engine*>& engines);

}  // namespace paddletrack
