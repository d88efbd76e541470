#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

enum class EndpointState : std::uint8_t { ready, draining, removed };

/// What the endpoint list says of an engine.
struct EndpointRecord {
  unsigned zone = 0;
  unsigned machineType = 0;  ///< Index into Deployment::machineTypes.
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  std::optional<Duration> startedAt = std::nullopt;  ///< Absent if its process has been running for long.
};

/// An engine's report of its own load; absent figures are not reported.
struct LoadReport {
  std::optional<double> requestsInFlight = std::nullopt;
  std::optional<double> memoryGrantedRatio = std::nullopt;  ///< Part of the memory.
  std::optional<double> cpuUtilization = std::nullopt;      ///< Part of the cores.
  std::optional<double> diskUtilization = std::nullopt;     ///< Part of the disks.
};

/// Load that is in flight on one engine.
struct InFlightLoad {
  double threads = 0;
  double costTokens = 0;
  double memoryMb = 0;
};

/// A factor on a concurrency target that adapts to the latencies.
struct AdaptiveLimit {
  double factor = 1;
  std::optional<Duration> reducedAt = std::nullopt;
};

struct Attempt;
struct Deployment;

/// A query engine, with what one controller knows of it. It belongs to the caller of AdmissionController.
struct Engine {
  /// What another controller has in flight on it.
  struct PeerLoad {
    double threads = 0, memoryMb = 0;
    Duration receivedAt{0};
  };

  std::uint32_t number = 0;  ///< The same at every controller.
  EndpointRecord endpoint;
  bool available = false;     ///< It is listed as ready.
  double effectiveCores = 1;  ///< Fewer than it has while it is warming up or slow.
  double selectionRank = 0;   ///< Its position in this controller's own order.

  std::vector<InFlightLoad> inFlightByClass;  ///< This controller's own.
  std::vector<Attempt*> inFlightAttempts;
  double threadsInFlight = 0;  ///< This controller's own, of all classes.
  double memoryInFlightMb = 0;

  double othersThreads = 0, othersMemoryMb = 0;  ///< Of the other controllers, as last reported.
  std::optional<Duration> othersUpdatedAt;
  std::vector<PeerLoad> peerLoads;  ///< By controller.
  std::optional<Duration> healthCheckSentAt;

  SlidingWindowSum<double> successes, failures;             ///< Numbers of attempts, by outcome.
  SlidingWindowSum<double> rejections;                      ///< Attempts that were not executed.
  SlidingWindowSum<double> threadTimeSpent, workCompleted;  ///< Thread-seconds: their ratio is its slowdown.
  SlidingWindowSum<double> warmupWorkSent;                  ///< Thread-seconds, in the warm-up rule's window.
  AdaptiveLimit adaptiveLimit;
  std::optional<Duration> lastAliveAt, lastResetAt;
  std::optional<Duration> nextTrialAt;  ///< While it is ejected: when it may be tried.
  bool ejectionLogged = false;
  std::vector<std::uint32_t> cachedDataSets;  ///< The data sets that it read last, latest first.

  /// Adds the attempt's threads, cost and memory to the load in flight.
  void addAttempt(Attempt& attempt);

  /// Takes the attempt's threads, cost and memory off the load in flight.
  void removeAttempt(Attempt& attempt);

  /// The load and the number of the attempts that were sent by `time` at the latest.
  struct SentLoad {
    double attemptCount = 0, threads = 0, memoryMb = 0;
  };
  SentLoad loadSentBy(Duration time) const;

  void setOthersLoad(double threads, double memoryMb, Duration updatedAt);

  /// Sets the others' load to the sum of the peers' loads that were received within `maxAge`.
  void sumPeerLoads(Duration now, Duration maxAge);

  bool hasCachedDataSet(std::uint32_t dataSet) const;

  /// Notes that it has read the data set, and keeps the latest `maxCount`.
  void rememberDataSet(std::uint32_t dataSet, std::size_t maxCount);

  /// Prepares the figures for the classes of the deployment and, where peers report, its controllers, and
  /// starts the windows; those of the outcomes have buckets of `bucketDuration`.
  void initialize(const Deployment& deployment, bool usesPeerReports, Duration now, Duration bucketDuration);

  /// Adds the work of a completed attempt and the time that its threads took, both in thread-seconds.
  void addCompletedWork(Duration now, double threadSeconds, double workSeconds);

  /// Forgets what is known of its former process, which had faults, data sets and load of its own.
  void forgetProcess();

 private:
  void changeLoad(const Attempt& attempt, double sign);
};

}  // namespace paddletrack
