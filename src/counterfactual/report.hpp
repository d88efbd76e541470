// The counterfactual report for operators, computed from the fleet's statistics. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "counterfactual/fleet_statistics.hpp"

namespace paddletrack::counterfactual {

struct CounterfactualReport {
  struct PolicyReport {
    const char* name = "";
    double reachableRatio = 0;
    double unreachableRatio = 0;
    double effectiveSampleSize = 0;
    std::array<Estimate, kMeasureCount> value{};
    std::array<Estimate, kMeasureCount> improvement{};  // `value` minus the observed mean
  };
  struct ClassReport {
    std::string name;
    double requests = 0;
    double onTimeRatio = 0;
    double meanLatency = 0;  // seconds
    std::vector<PolicyReport> policies;
  };
  struct DestinationReport {
    std::string name;
    double requests = 0;  // that could have started there or at another destination
    std::array<Estimate, kMeasureCount> regret{};
  };
  std::size_t controllers = 0;
  bool isCalibrated = true;
  std::vector<ClassReport> classes;        // the first, with an empty name, is the total
  std::vector<DestinationReport> engines;  // by descending number of requests
  std::vector<DestinationReport> zones;
};
/// Maximum number of engines in a report. Those with the most requests are reported.
constexpr std::size_t kMaxReportedEngines = 64;

CounterfactualReport buildReport(const FleetStatistics& statistics);

}  // namespace paddletrack::counterfactual
