#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "base/sliding_window_sum.hpp"
#include "model/class_statistics.hpp"

namespace paddletrack {

/// Tracks this controller's load, and estimates the load of the other controllers from load reports, from
/// peer reports or, without either, from its own load.
class LoadEstimator {
 public:
  explicit LoadEstimator(AdmissionContext& context);

  /// Adds the attempt to the load of its engine and class. Without load reports, the mean load of the other
  /// controllers is assumed to be at least this controller's own, so that no burst is admitted after a stall.
  void onAttemptStarted(Attempt& attempt);

  /// Subtracts the attempt from the load of its engine and class.
  void onAttemptReleased(Attempt& attempt);

  /// Updates the residency statistics from a completed attempt that occupied its threads for `threadSeconds`.
  void onAttemptCompleted(const Attempt& attempt, double threadSeconds) {
    residency_.add(attempt, threadSeconds);
  }

  /// Treats an engine that rejected an attempt or did not answer it in time as full until its next load
  /// report.
  void onEngineOverloaded(Engine& engine);

  /// Counts a request that needs an engine, either a new request or a retry.
  void onSelectionRound() { selectionRounds_.add(context_.now, 1); }

  /// Returns the number of requests that needed an engine within the latest window.
  double recentSelectionRounds() { return selectionRounds_.sum(context_.now); }

  /// Returns the number of engines that this controller considers. With fractional shares it uses a subset of
  /// the fleet, the first engines in its random order, about as many as the requests that it gets within a
  /// latency objective, so that its information about them stays fresh.
  double subsetSize();

  /// Applies a load report of the engine. The report has some age: attempts sent more recently are not
  /// included in it and must not be subtracted from it as this controller's own load. An engine whose cores
  /// or disks are busy all the time is assumed to be at its concurrency target. A report read at the end of a
  /// stall may be as old as the stall was long.
  void applyLoadReport(Engine& engine, const LoadReport& report);

  /// Applies the peer report of another controller. Peer reports that are too old are ignored, because the
  /// reported load has finished since.
  void applyPeerReport(unsigned peerIndex, const PeerReport& report);

  /// Returns the estimated load of the other controllers on the engine. The reported load decays to the mean
  /// of the fleet at the rate at which the reported work finishes: an engine reported idle is soon assumed to
  /// have the mean load, and one reported full is assumed to stay full for longer, but is not avoided
  /// permanently for lack of new reports. For an engine that is warming up the mean is 0, because the warm-up
  /// rule already limits the work that all controllers send to it.
  InFlightLoad othersInFlight(const Engine& engine) const;

  /// Updates the means over the fleet. Without fresh reports the old means decay, because a controller that
  /// rejects requests on the basis of an old report gets no new one. If there have never been reports, the
  /// other controllers are assumed to have this controller's mean load.
  void updateFleetMeans();

  /// Returns the maximum age of a fresh load report.
  Duration maxReportAge() const;

  /// Returns true if the engines answer health checks with load reports.
  bool reportsOnHealthChecks() const {
    return context_.deployment.reportsLoadOnHealthCheck && context_.deployment.allowsHealthChecks;
  }

  bool hasLoadReports() const { return hasLoadReports_; }
  double threadsInFlight() const { return threadsInFlight_; }
  double shortestClassThreads() const { return shortestClassThreads_; }
  double totalCores() const { return totalCores_; }

 private:
  void countThreads(const Attempt& attempt, double threads) {
    threadsInFlight_ += threads;
    if (attempt.request->requestClass == context_.shortestClass) shortestClassThreads_ += threads;
  }
  // Threads per core of the other controllers over the fleet if each has `ownThreads` in flight.
  double estimateOthersShare(double ownThreads) const;

  AdmissionContext& context_;
  bool hasLoadReports_ = reportsOnHealthChecks();          // Load or peer reports are available.
  double threadsInFlight_ = 0, shortestClassThreads_ = 0;  // Of this controller, on all engines.
  double totalCores_ = 0;                                  // Of the available engines.
  double othersThreadsPerCore_ = 0, othersMemoryRatio_ = 0;
  ResidencyStatistics residency_;
  SlidingWindowSum<double> ownThreadSamples_, selectionRounds_;
};

}  // namespace paddletrack
