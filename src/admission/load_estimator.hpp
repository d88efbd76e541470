#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "base/sliding_window_sum.hpp"
#include "model/class_statistics.hpp"

namespace paddletrack {

/// Tracks this controller's load and estimates the load of the other controllers, from load reports, from the
/// reports of peers or, without either, from its own load.
class LoadEstimator {
 public:
  explicit LoadEstimator(AdmissionContext& context);

  /// Adds the attempt to the load of its engine and class. Without load reports the mean of the others is no
  /// less than this controller's own load, so that no burst is admitted after a stall.
  void onAttemptStarted(Attempt& attempt);

  /// Takes the attempt off the load of its engine and class.
  void onAttemptReleased(Attempt& attempt);

  /// Updates the residency statistics from a completed attempt that took `threadSeconds`.
  void onAttemptCompleted(const Attempt& attempt, double threadSeconds) {
    residency_.add(attempt, threadSeconds);
  }

  /// An engine that rejected an attempt, or did not answer it in time, counts as full until it reports again.
  void onEngineOverloaded(Engine& engine);

  /// Counts a request that asks for an engine: a new one, or one that is retried.
  void onSelectionRound() { selectionRounds_.add(context_.now, 1); }

  /// The number of requests that asked for an engine within the latest window.
  double recentSelectionRounds() { return selectionRounds_.sum(context_.now); }

  /// How many engines this controller considers. With fractional shares it keeps to a subset of the fleet,
  /// the first in its random order, as many as the requests it gets within a latency objective, so that its
  /// knowledge of these stays fresh.
  double subsetSize();

  /// Takes over the engine's load report. The report is some time old: attempts that were sent since are not
  /// in it and must not be subtracted from it as this controller's own. An engine whose cores or disks are
  /// busy all the time is taken to be at its concurrency target. A report that is read at the end of a stall
  /// may have waited for as long as the stall was.
  void applyLoadReport(Engine& engine, const LoadReport& report);

  /// Takes over the report of another controller. What a controller reported too long ago has finished since.
  void applyPeerReport(unsigned peerIndex, const PeerReport& report);

  /// Load of the other controllers on the engine. A report fades into the mean of the fleet at the rate at
  /// which the reported work finishes: an engine seen idle is soon taken to be as full as any, and one seen
  /// full stays so for long, but is not avoided for good because nobody looks again.
  /// An engine that is warming up has no such mean: its rule limits already what all controllers send to it.
  InFlightLoad othersInFlight(const Engine& engine) const;

  /// Updates the means over the fleet. Without fresh reports the old mean fades, because a controller that
  /// sheds load by an old report gets no new one; without any reports the other controllers are taken to have
  /// the load that this one had on average.
  void updateFleetMeans();

  /// How long a load report counts as fresh.
  Duration maxReportAge() const;

  /// True if the engines report their load when they are checked.
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
  // Threads per core of the others on the fleet if each has `ownThreads`.
  double estimateOthersShare(double ownThreads) const;

  AdmissionContext& context_;
  bool hasLoadReports_ = reportsOnHealthChecks();          // Or peers say what the others have in flight.
  double threadsInFlight_ = 0, shortestClassThreads_ = 0;  // This controller's own, on all engines.
  double totalCores_ = 0;                                  // Of the available engines.
  double othersThreadsPerCore_ = 0, othersMemoryRatio_ = 0;
  ResidencyStatistics residency_;
  SlidingWindowSum<double> ownThreadSamples_, selectionRounds_;
};

}  // namespace paddletrack
