#pragma once

#include <vector>

#include "admission/admission_context.hpp"
#include "admission/admission_host.hpp"
#include "admission/load_estimator.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack {

/// Requests load reports from engines, and reports this controller's load to its peers.
class LoadExchange {
 public:
  LoadExchange(const AdmissionContext& context, AdmissionHost& host, LoadEstimator& load)
      : context_(context), host_(host), load_(load), healthChecks_(context.shortestObjective() / 2) {}

  /// Sends the peer report or the health checks that are due.
  void update();

 private:
  void sendPeerReport();
  // Used if load reports come with the answers to health checks and there are no peer reports. Sends
  // health checks to the engines whose load report is stale (less often with fractional shares), at
  // most one per two requests. Each controller thus has fresh reports of different engines: when all
  // controllers saw the same idle engine, all sent their requests to it until the next check.
  void checkStaleEngines();

  const AdmissionContext& context_;
  AdmissionHost& host_;
  LoadEstimator& load_;
  SlidingWindowSum<double> healthChecks_;
  Duration nextPeerReportAt_{0};
};

}  // namespace paddletrack
