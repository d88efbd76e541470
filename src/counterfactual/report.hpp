// What an operator is told of looking back: plain figures out of a view of sums. Pure.
#pragma once

#include <string>
#include <vector>

#include "counterfactual/fleet_statistics.hpp"

namespace paddletrack::counterfactual {

struct CounterfactualReport {
  struct PolicyReport {  // policy
    const char* name = "";
    double reachableRatio = 0, unreachableRatio = 0, effectiveSampleSize = 0;
    std::array<Estimate, kMeasureCount> value{},
        improvement{};  // better: less what happened, told where it is sure
  };
  struct ClassReport {
    std::string name;
    double requests = 0, onTimeRatio = 0, meanLatency = 0;
    std::vector<PolicyReport> policies;
  };
  struct DestinationReport {
    std::string name;
    double requests = 0;  // that could have gone there or elsewhere
    std::array<Estimate, kMeasureCount> regret{};
  };
  std::size_t controllers = 0;
  bool isCalibrated = true;
  std::vector<ClassReport> classes;  // all of them together first, with an empty name
  std::vector<DestinationReport> engines, zones;
};
constexpr std::size_t kMaxReportedEngines = 64;  // those with the most jobs

CounterfactualReport buildReport(const FleetStatistics& statistics);

}  // namespace paddletrack::counterfactual
