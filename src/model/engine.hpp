#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/sliding_window_sum.hpp"

namespace paddletrack {

enum class EndpointState : std::uint8_t { ready, draining, removed };

/// The record of an engine in the endpoint list.
struct EndpointRecord {
  unsigned zone = 0;
  unsigned machineType = 0;  ///< Index into Deployment::machineTypes.
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  std::optional<Duration> startedAt = std::nullopt;  ///< std::nullopt: started long ago.
};

/// An engine's report of its own load. A figure that the engine does not report is std::nullopt.
struct LoadReport {
  std::optional<double> requestsInFlight = std::nullopt;
  std::optional<double> memoryGrantedRatio = std::nullopt;  ///< Ratio to the memory of the machine.
  std::optional<double> cpuUtilization = std::nullopt;      ///< Ratio to all cores.
  std::optional<double> diskUtilization = std::nullopt;     ///< Ratio to all disks.
};

/// The load in flight on one engine.
struct InFlightLoad {
  double threads = 0;
  double costTokens = 0;
  double memoryMb = 0;
};

/// A factor on a concurrency target, adapted to the measured latencies.
struct AdaptiveLimit {
  double factor = 1;
  std::optional<Duration> reducedAt = std::nullopt;
};

struct Attempt;
struct Deployment;

/// A query engine and the state that one controller keeps about it. It is owned by the caller of
/// AdmissionController.
struct Engine {
  /// The load that another controller has in flight on the engine.
  struct PeerLoad {
    double threads = 0, memoryMb = 0;
    Duration receivedAt{0};
  };

  std::uint32_t number = 0;  ///< Identifies the engine at all controllers.
  EndpointRecord endpoint;
  bool available = false;     ///< True if it is listed as ready.
  double effectiveCores = 1;  ///< Less than its cores while it is warming up or slow.
  double selectionRank = 0;   ///< Its position in this controller's random order.

  std::vector<InFlightLoad> inFlightByClass;  ///< Load of this controller, by class.
  std::vector<Attempt*> inFlightAttempts;
  double threadsInFlight = 0;  ///< Threads of this controller, in all classes.
  double memoryInFlightMb = 0;

  double othersThreads = 0, othersMemoryMb = 0;  ///< Load of the other controllers.
  std::optional<Duration> othersUpdatedAt;
  std::vector<PeerLoad> peerLoads;  ///< Indexed by controller.
  std::optional<Duration> healthCheckSentAt;

  SlidingWindowSum<double> successes, failures;             ///< Numbers of attempts by outcome.
  SlidingWindowSum<double> rejections;                      ///< Rejected attempts, which were not executed.
  SlidingWindowSum<double> threadTimeSpent, workCompleted;  ///< Thread-seconds; the ratio is the slowdown.
  SlidingWindowSum<double> warmupWorkSent;  ///< Thread-seconds sent within the warm-up window.
  AdaptiveLimit adaptiveLimit;
  std::optional<Duration> lastAliveAt, lastResetAt;
  std::optional<Duration> nextTrialAt;  ///< Set while it is ejected: time of the next trial.
  bool ejectionLogged = false;
  std::vector<std::uint32_t> cachedDataSets;  ///< The data sets read last, the latest one first.

  /// Adds the attempt's threads, cost and memory to the load in flight.
  void addAttempt(Attempt& attempt);

  /// Subtracts the attempt's threads, cost and memory from the load in flight.
  void removeAttempt(Attempt& attempt);

  /// The number and the load of the attempts sent at or before `time`.
  struct SentLoad {
    double attemptCount = 0, threads = 0, memoryMb = 0;
  };

  /// Returns the load of the attempts in flight that were sent at or before `time`.
  SentLoad loadSentBy(Duration time) const;

  /// Sets the load that the other controllers have on the engine, as known at `updatedAt`.
  void setOthersLoad(double threads, double memoryMb, Duration updatedAt);

  /// Sets the load of the other controllers to the sum of the peer loads received within `maxAge`.
  void sumPeerLoads(Duration now, Duration maxAge);

  bool hasCachedDataSet(std::uint32_t dataSet) const;

  /// Records that the engine has read the data set. Only the latest `maxCount` data sets are kept.
  void rememberDataSet(std::uint32_t dataSet, std::size_t maxCount);

  /// Allocates the loads for the classes of the deployment and, with peer reports, for its controllers, and
  /// starts the sliding windows. The windows of the outcomes have buckets of `bucketDuration`.
  void initialize(const Deployment& deployment, bool usesPeerReports, Duration now, Duration bucketDuration);

  /// Adds a completed attempt: the time spent by its threads and its work, both in thread-seconds.
  void addCompletedWork(Duration now, double threadSeconds, double workSeconds);

  /// Clears the state that belongs to the engine's previous process: its failures, cached data sets and load.
  void resetProcessState();

 private:
  void changeLoad(const Attempt& attempt, double sign);
};

}  // namespace paddletrack
