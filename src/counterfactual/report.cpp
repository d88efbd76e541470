#include "counterfactual/report.hpp"

#include <algorithm>

namespace paddletrack::counterfactual {
namespace {

CounterfactualReport::ClassReport buildClassReport(const std::string& name, const ClassSums& sums,
                                                   bool isCalibrated) {
  CounterfactualReport::ClassReport report;
  report.name = name;
  report.requests = sums.requests;
  report.onTimeRatio = sums.logged[0] / std::max(sums.requests, 1.0);
  report.meanLatency = sums.logged[1] / std::max(sums.requests, 1.0);
  for (std::size_t policy = 0; policy < kPolicyCount; ++policy) {
    const auto policyValue = static_cast<Policy>(policy);
    CounterfactualReport::PolicyReport& policyReport = report.policies.emplace_back();
    policyReport.name = nameOf(policyValue);
    for (std::size_t measure = 0; measure < kMeasureCount; ++measure) {
      const PolicyEstimate policyEstimate =
          estimatePolicy(sums, policyValue, static_cast<Measure>(measure), isCalibrated);
      policyReport.reachableRatio = policyEstimate.reachableRatio;
      policyReport.unreachableRatio = policyEstimate.unreachableRatio;
      policyReport.effectiveSampleSize = policyEstimate.effectiveSampleSize;
      policyReport.value[measure] = policyEstimate.doublyRobust();
      policyReport.improvement[measure] =
          compareWithLogged(sums, policyValue, static_cast<Measure>(measure), isCalibrated);
    }
  }
  return report;
}

CounterfactualReport::DestinationReport buildDestinationReport(const std::string& name,
                                                               const DestinationSums& sums,
                                                               bool isCalibrated) {
  CounterfactualReport::DestinationReport report{name, sums.requests, {}};
  for (std::size_t measure = 0; measure < kMeasureCount; ++measure)
    report.regret[measure] = estimateRegret(sums, static_cast<Measure>(measure), isCalibrated);
  return report;
}

}  // namespace

CounterfactualReport buildReport(const FleetStatistics& statistics) {
  const FleetStatistics::Snapshot snapshot = statistics.snapshot();
  CounterfactualReport report;
  report.controllers = statistics.ownerCount();
  report.isCalibrated = snapshot.isCalibrated;
  report.classes.push_back(buildClassReport("", snapshot.total, snapshot.isCalibrated));
  for (const auto& [name, sums] : snapshot.classes)
    report.classes.push_back(buildClassReport(name, sums, snapshot.isCalibrated));
  for (const auto& [name, engineStatistics] : snapshot.engines)
    report.engines.push_back(buildDestinationReport(name, engineStatistics.sums, snapshot.isCalibrated));
  std::stable_sort(report.engines.begin(), report.engines.end(),
                   [](const auto& left, const auto& right) { return left.requests > right.requests; });
  if (report.engines.size() > kMaxReportedEngines) report.engines.resize(kMaxReportedEngines);
  for (const auto& [name, sums] : snapshot.zones)
    report.zones.push_back(buildDestinationReport(name, sums, snapshot.isCalibrated));
  return report;
}

}  // namespace paddletrack::counterfactual
