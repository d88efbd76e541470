#include "admission/class_limits.hpp"

#include <algorithm>

#include "model/time_conversion.hpp"

namespace paddletrack {
constexpr double kTotalClassFloorRatio = 0.3;   // Of a limit: all class floors together.
constexpr double kDataLoadCeiling = 0.5;        // Of a limit: the ceiling of data loads, which have no floor.
constexpr double kCostTokenHorizonRatio = 0.6;  // Of the longest mean latency objective.
constexpr double kSmallRequestMemoryRatio = 1.5;  // Of the memory: limit for requests that need little.
constexpr double kMaxMemoryUtilization = 0.85;    // Of the memory: grants above it wait or cause paging.

void ClassLimits::computeClassFloors() {
  double weightSum = 0;
  for (const RequestClass& requestClass : context_.deployment.requestClasses) {
    const double weight = requestClass.isDataLoad ? 0 : 1 / std::max(requestClass.nominalCost(), 1e-3);
    classFloors_[requestClass.index] = weight;
    weightSum += weight;
  }
  for (double& classFloor : classFloors_) classFloor *= weightSum > 0 ? kTotalClassFloorRatio / weightSum : 0;
}

double ClassLimits::utilization(double addedThreads, Engine& engine) {
  const double totalThreads = engine.threadsInFlight + load_.othersInFlight(engine).threads + addedThreads;
  return totalThreads / health_.concurrencyTarget(engine);
}

double ClassLimits::threadLimit(Engine& engine, const InFlightLoad& othersLoad) {
  const double engineLimit = health_.concurrencyTarget(engine) * kLimitToTargetRatio;
  return std::max(engineLimit / context_.deployment.controllerCount, engineLimit - othersLoad.threads);
}

bool ClassLimits::isShortestClassLimited(const Engine& engine, const InFlightLoad& othersLoad) const {
  const double threads = context_.shortestClass->threads;
  if (load_.hasLoadReports())
    return othersLoad.threads + engine.threadsInFlight + threads >
           engine.effectiveCores * kTargetThreadsPerCore * kLimitToTargetRatio;
  return load_.shortestClassThreads() + threads >
         load_.totalCores() * kTargetThreadsPerCore / context_.deployment.controllerCount;
}

bool ClassLimits::fitsClassFloor(const Request& request, Engine& engine) {
  const InFlightLoad othersLoad = load_.othersInFlight(engine);
  const std::size_t classIndex = request.requestClass->index;
  double floorThreads = classFloors_[classIndex] * threadLimit(engine, othersLoad);
  if (request.requestClass == context_.shortestClass && !isShortestClassLimited(engine, othersLoad))
    floorThreads = std::max<double>(floorThreads, request.threads());
  return engine.inFlightByClass[classIndex].threads + request.threads() <= floorThreads;
}

double ClassLimits::admissionThreads(const Request& request, const Engine& engine) const {
  const double sharedThreads = engine.effectiveCores * kTargetThreadsPerCore * (1 - kTotalClassFloorRatio);
  return std::min(request.admissionThreads, std::max<double>(request.threads(), sharedThreads));
}

bool ClassLimits::canStartAlone(const Request& request, Engine& engine, const InFlightLoad& othersLoad) {
  if (engine.inFlightByClass[request.requestClass->index].threads > 0) return false;
  const double threads = engine.threadsInFlight + othersLoad.threads + admissionThreads(request, engine);
  return othersLoad.threads <= 0 || threads <= health_.concurrencyTarget(engine);
}

bool ClassLimits::fitsClassLimits(const Request& request, Engine& engine) {
  const InFlightLoad othersLoad = load_.othersInFlight(engine);
  const InFlightLoad& ownLoad = engine.inFlightByClass[request.requestClass->index];
  const double limit = threadLimit(engine, othersLoad);
  const double tokenLimit = limit / kTargetThreadsPerCore * costTokenHorizon_;
  const double tokenFloor = classFloors_[request.requestClass->index] * tokenLimit;
  const bool fitsTokenFloor = ownLoad.threads <= 0 || ownLoad.costTokens + request.costTokens <= tokenFloor;
  return ((fitsTokenFloor && fitsClassFloor(request, engine)) || canStartAlone(request, engine, othersLoad) ||
          fitsSharedRemainder(request, engine, limit, tokenLimit)) &&
         fitsMemory(request, engine, othersLoad);
}

bool ClassLimits::fitsSharedRemainder(const Request& request, const Engine& engine, double threadLimit,
                                      double tokenLimit) const {
  const double threads = admissionThreads(request, engine);
  double borrowedThreads = 0, borrowedTokens = 0;
  for (std::size_t index = 0; index < classFloors_.size(); ++index) {
    const InFlightLoad& load = engine.inFlightByClass[index];
    const double factor = index == request.requestClass->index ? 1 : 0;
    borrowedThreads += std::max(0.0, load.threads + factor * threads - classFloors_[index] * threadLimit);
    borrowedTokens +=
        std::max(0.0, load.costTokens + factor * request.costTokens - classFloors_[index] * tokenLimit);
  }
  const InFlightLoad& ownLoad = engine.inFlightByClass[request.requestClass->index];
  const double ceiling = request.requestClass->isDataLoad ? kDataLoadCeiling : 1;
  const double borrowedRatio = std::max(borrowedThreads / threadLimit, borrowedTokens / tokenLimit);
  return ownLoad.threads + threads <= ceiling * threadLimit &&
         ownLoad.costTokens + request.costTokens <= ceiling * tokenLimit &&
         borrowedRatio <= 1 - kTotalClassFloorRatio;
}

bool ClassLimits::fitsMemory(const Request& request, const Engine& engine, const InFlightLoad& others) const {
  const auto& [cores, memoryMb] = context_.machineType(engine);
  const double neededMb = costs_.estimateMemoryMb(request);
  const double usedMb = engine.memoryInFlightMb + others.memoryMb;
  const double fairMb = memoryMb * request.threads() / (cores * kTargetThreadsPerCore) / 2;
  const double maxUtilization = neededMb <= fairMb ? kSmallRequestMemoryRatio : kMaxMemoryUtilization;
  return memoryMb <= 0 || usedMb <= 0 || usedMb + neededMb <= memoryMb * maxUtilization;
}

void ClassLimits::updateCostTokenHorizon() {
  costTokenHorizon_ = 0;
  for (const RequestClass& requestClass : context_.deployment.requestClasses) {
    const double meanStretch =
        requestClass.latencyObjectiveCostFactor * costs_.meanCost(requestClass) / requestClass.threads;
    const double meanObjective = toSeconds(requestClass.latencyObjective) + meanStretch;
    costTokenHorizon_ = std::max(costTokenHorizon_, kCostTokenHorizonRatio * meanObjective);
  }
}

}  // namespace paddletrack
