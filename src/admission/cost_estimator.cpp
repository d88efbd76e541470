#include "admission/cost_estimator.hpp"

#include <algorithm>

#include "model/time_conversion.hpp"

namespace paddletrack {
constexpr double kMinCostSamples = 20;           // With fewer, a class's mean may be far from the real mean.
constexpr double kMinMemoryGrantRatio = 1.1;     // Of the estimated need: the scatter of a good estimate.
constexpr double kMaxMemoryGrantRatio = 2.5;     // Of the estimated need: larger estimation errors are rare.
constexpr double kEngineMemoryGrantRatio = 1.5;  // Of the mean need: the grant that engines choose.

CostEstimator::CostEstimator(const AdmissionContext& context, const LoadEstimator& load)
    : context_(context), load_(load), classStatistics_(context.deployment.requestClasses.size()) {
  for (const RequestClass& requestClass : context_.deployment.requestClasses)
    classStatistics_[requestClass.index].cost.mean = requestClass.nominalCost();
}

void CostEstimator::estimateRequest(Request& request) {
  ClassStatistics& classStatistics = classStatistics_[request.requestClass->index];
  request.costTokens = request.declaredCost ? toSeconds(*request.declaredCost) * classStatistics.costBias.mean
                                            : classStatistics.cost.mean;
  classStatistics.arrivingCost.add(request.costTokens);
  const double relativeCost = request.costTokens / std::max(classStatistics.arrivingCost.mean, 1e-9);
  const double weight = context_.deployment.weightGrowsWithWork ? 1 : relativeCost;
  request.admissionThreads = std::max(1.0, request.threads() * weight);
}

double CostEstimator::warmupCost(const Request& request) const {
  const RequestClass& requestClass = *request.requestClass;
  const bool isCostKnown = request.declaredCost || statistics(request).cost.sampleCount >= kMinCostSamples;
  return std::max({meanCost(requestClass), request.costTokens, isCostKnown ? 0 : requestClass.nominalCost()});
}

double CostEstimator::estimateMemoryMb(const Request& request) const {
  const ClassStatistics& classStatistics = statistics(request);
  if (request.declaredMemoryMb > 0) return request.declaredMemoryMb * classStatistics.memoryBias.mean;
  if (classStatistics.memoryMb.sampleCount > 0)
    return classStatistics.memoryMb.mean *
           (context_.deployment.honorsMemoryGrants ? 1 : kEngineMemoryGrantRatio);
  if (request.threads() <= context_.shortestClass->threads) return 0;
  const auto& [cores, memoryMb] = context_.deployment.machineTypes.front();
  return memoryMb * request.threads() / (cores * kTargetThreadsPerCore);
}

double CostEstimator::memoryGrantMb(const Request& request, const Engine& engine) const {
  const Deployment& deployment = context_.deployment;
  if (deployment.honorsMemoryGrants && deployment.allowsMemoryOvercommit) return deployment.maxMemoryGrantMb;
  const bool isNeedKnown = statistics(request).memoryBias.sampleCount >= 10 || deployment.lacksCostReports;
  if (!isNeedKnown || !deployment.honorsMemoryGrants || request.declaredMemoryMb <= 0) return 0;
  const auto& [cores, memoryMb] = context_.machineType(engine);
  const double neededMb = estimateMemoryMb(request);
  const double othersMb = load_.othersInFlight(engine).memoryMb;
  const double freeMb = std::max(0.0, memoryMb - engine.memoryInFlightMb - othersMb - neededMb);
  const double shareMb = freeMb * request.threads() / (cores * kTargetThreadsPerCore);
  return std::clamp(neededMb + shareMb, neededMb * kMinMemoryGrantRatio, neededMb * kMaxMemoryGrantRatio);
}

int CostEstimator::requestPriority(const Request& request) const {
  if (request.requestClass == context_.shortestClass) return 3;
  return request.costTokens < meanCost(*request.requestClass) / 2 ? 2 : 1;
}

}  // namespace paddletrack
