#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/load_estimator.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Asks engines for load reports, and reports this controller's load to its peers.
class LoadExchange {
 public:
  LoadExchange(const AdmissionContext& context, AdmissionHost& host, LoadEstimator& load)
      : context_(context), host_(host), load_(load), healthChecks_(context.shortestObjective() / 2) {}

  /// Sends the peer report or the health checks that are due.
  void update();

 private:
  void sendPeerReport();
  // Where only health checks bring load reports, checks the engines whose report is old (more rarely with
  // fractional shares), one for two requests at most. Each controller thus has fresh reports of other
  /// engines than the next one: where all saw the same idle engine, all went there until the next check.
  void checkStaleEngines();

  const AdmissionContext& context_;
  AdmissionHost& host_;
  LoadEstimator& load_;
  SlidingWindowSum<double> healthChecks_;
  Duration nextPeerReportAt_{0};
};

}  // namespace paddletrack
