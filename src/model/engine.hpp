#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

enum class EndpointState { ready, draining, removed };

// What the list says of an engine.
struct EndpointRecord {
  unsigned zone = 0;
  unsigned machineType = 0;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  std::optional<Duration> startedAt{};  // absent: a long time back
};

struct LoadReport {
  std::optional<double> requestsInFlight{};
  std::optional<double> memoryGrantedRatio{};  // share of the memory
  std::optional<double> cpuUtilization{};      // share of the cores
  std::optional<double> diskUtilization{};     // share of the disks
};

// What one reservation type has in flight on one engine, by this controller's own count.
struct InFlightLoad {
  double threads = 0;
  double costTokens = 0;
  double memoryMb = 0;
};

// How far a mark has come down.
struct AdaptiveLimit {
  double factor = 1;  // the mark is multiplied by this
  std::optional<Duration> reducedAt{};
};

struct Attempt;

struct Engine {
  std::uint32_t number = 0;  // the same at every controller
  EndpointRecord endpoint;
  bool available = false;
  double effectiveCores = 1;  // as good as so many: fewer while cold or slow
  double selectionRank = 0;   // its place in this controller's own order

  std::vector<InFlightLoad> inFlightByClass;
  std::vector<Attempt*> inFlightAttempts;
  double threadsInFlight = 0;  // own, all types
  double memoryInFlightMb = 0;

  double othersThreads = 0, othersMemoryMb = 0;  // as last told by a report or by peers
  std::optional<Duration> othersUpdatedAt;
  struct PeerLoad {
    double threads = 0, memoryMb = 0;
    Duration receivedAt{0};
  };
  std::vector<PeerLoad> peerLoads;
  std::optional<Duration> healthCheckSentAt;

  SlidingWindowSum<double> successes, failures,
      rejections;  // outcomes; turned away: it never ran, and what did may run well
  SlidingWindowSum<double> threadTimeSpent, workCompleted;  // threads x latency against work: how slow it is
  SlidingWindowSum<double> warmupWorkSent;                  // work sent in the window of the cold rule
  AdaptiveLimit adaptiveLimit;
  std::optional<Duration> lastAliveAt, lastResetAt;
  std::optional<Duration> nextTrialAt;  // when a doubted engine may be tried next
  bool ejectionLogged = false;
  std::vector<std::uint32_t> cachedDataSets;  // data sets read last, latest first
};

}  // namespace paddletrack
