#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "model/deployment.hpp"
#include "model/engine.hpp"

namespace paddletrack {

// Spoilt: its connection brought what can't be used, or stood still midway, and was ended for it. It may have
// run.
enum class AttemptOutcome {
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
enum class ProgressKind { progress, spilling, waiting };

struct Request;

struct Attempt {
  Request* request = nullptr;
  Engine* engine = nullptr;
  std::uint8_t index = 0;
  Duration sentAt{0};
  Duration timesOutAt{0};
  Duration unobservedTime{0};  // while it was out its controller stood still for so long
  double threads = 0;
  double costTokens = 0;
  double memoryMb = 0;
  double progress = 0;
  bool inFlight = true;
  bool provenNotExecuted = false;
  bool cancelled = false;
  unsigned zone = 0, cell = 0;  // of its engine, as listed when it was sent
};

struct Request {
  std::uint32_t id = 0;
  const RequestClass* requestClass = nullptr;
  Duration arrivedAt{0};
  Duration deadline{0};
  std::optional<Duration> declaredCost;
  double declaredMemoryMb = 0;
  std::uint64_t key = 0;
  std::size_t tenantIndex = 0;
  std::uint32_t dataSet = 0;

  double costTokens = 0;        // estimated cost in seconds of one thread
  double admissionThreads = 0;  // threads, by what it costs for its type
  double randomDraw = 0;        // its one chance where shares are rounded
  bool overQuota = false;
  bool finished = false;
  bool queued = false;
  bool streaming = false;
  std::optional<Duration> queueDeadline;
  std::vector<std::unique_ptr<Attempt>> attempts;

  int inFlightCount() const {
    int count = 0;
    for (const auto& attempt : attempts) count += attempt->inFlight ? 1 : 0;
    return count;
  }
};

struct PeerEngineLoad {
  Engine* engine = nullptr;
  float threads = 0;
  float memoryMb = 0;
};

}  // namespace paddletrack
