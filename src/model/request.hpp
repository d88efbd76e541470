#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"

namespace paddletrack {

/// How an attempt ended. `connectionAborted`: its connection brought an unusable response, or stalled midway,
/// and was closed for that; the request may have been executed.
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

/// True if the outcome proves that the engine did not execute the request.
bool provesNotExecuted(AttemptOutcome outcome);

/// True if the engine may still execute the request after the outcome.
bool mayStillExecute(AttemptOutcome outcome);

/// The kinds of progress notes that an engine sends while it holds an attempt.
enum class ProgressKind : std::uint8_t { progress, spilling, waiting };

struct Request;

/// One sending of a request to an engine. It belongs to its request.
struct Attempt {
  Attempt() = default;

  /// The next attempt of the request, sent to the engine as it is listed now.
  Attempt(Request& ownRequest, Engine& target, Duration now);

  Request* request = nullptr;
  Engine* engine = nullptr;
  std::uint8_t index = 0;  ///< Its position among the attempts of the request.
  Duration sentAt{0};
  Duration timesOutAt{0};
  Duration unobservedTime{0};  ///< How long its controller was stalled while it was in flight.
  double threads = 0;
  double costTokens = 0;
  double memoryMb = 0;
  double progress = 0;  ///< The part of the work that is done, as last reported.
  bool inFlight = true;
  bool provenNotExecuted = false;
  bool cancelled = false;
  unsigned zone = 0, cell = 0;  ///< Of its engine, as listed when it was sent.

  /// Seconds that it was in flight until `now`, without the time that its controller was stalled.
  double observedAge(Duration now) const;

  /// The work of the request in seconds, as estimated, on the threads that it uses.
  double estimatedSeconds() const { return costTokens / threads; }
};

/// A client's request. It belongs to the caller of AdmissionController.
struct Request {
  std::uint32_t id = 0;
  const RequestClass* requestClass = nullptr;
  Duration arrivedAt{0};
  Duration deadline{0};
  std::optional<Duration> declaredCost;  ///< Time of one thread.
  double declaredMemoryMb = 0;           ///< 0: not declared.
  std::uint64_t key = 0;                 ///< Requests of one key are ordered if their class is; 0: no key.
  std::size_t tenantIndex = 0;
  std::uint32_t dataSet = 0;

  double costTokens = 0;        ///< Estimated cost in thread-seconds.
  double admissionThreads = 0;  ///< Threads that it counts for at admission, by its cost within its class.
  double randomDraw = 0;        ///< Its one random number where shares are rounded at random.
  bool overQuota = false;
  bool finished = false;   ///< Its final answer has been given.
  bool queued = false;     ///< It waits for its next selection round.
  bool streaming = false;  ///< A part of its response has been passed on.
  std::optional<Duration> queueDeadline;
  std::vector<std::unique_ptr<Attempt>> attempts;

  int attemptCount() const { return static_cast<int>(attempts.size()); }
  int threads() const { return requestClass->threads; }
  bool isOrdered() const { return requestClass->ordered && key; }

  /// The number of its attempts that are in flight.
  int inFlightCount() const;

  /// Its latest attempt on the engine; null if there is none.
  const Attempt* lastAttemptOn(const Engine& engine) const;

  /// Its latency objective in seconds, but no more than the time that its client waits.
  double latencyObjectiveSeconds() const;
};

/// The load that one controller has on an engine, as it reports it to its peers.
struct PeerEngineLoad {
  Engine* engine = nullptr;
  float threads = 0;
  float memoryMb = 0;
};

/// The loads of all engines on which a controller has any.
using PeerReport = std::vector<PeerEngineLoad>;

/// The report of this controller's loads on the engines.
PeerReport makePeerReport(const std::vector<Engine*>& engines);

}  // namespace paddletrack
