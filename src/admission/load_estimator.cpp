#include "admission/load_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "model/time_conversion.hpp"

namespace paddletrack {
constexpr int kMaxReportAgeObjectives = 2;      // Maximum age of a fresh load report in latency objectives.
constexpr double kOthersLoadDecayMultiple = 3;  // Decay time of a stale fleet mean in mean residency times.
constexpr double kMinSubsetSize = 3;            // Minimum number of engines that a controller considers.

LoadEstimator::LoadEstimator(AdmissionContext& context)
    : context_(context),
      ownThreadSamples_(context.shortestObjective() / 2),
      selectionRounds_(context.shortestObjective() / 2) {}

void LoadEstimator::onAttemptStarted(Attempt& attempt) {
  attempt.engine->addAttempt(attempt);
  context_.inFlightAttempts.push_back(&attempt);
  countThreads(attempt, attempt.threads);
  const double equalShare = estimateOthersShare(threadsInFlight_ / kTargetThreadsPerCore);
  if (!hasLoadReports_) othersThreadsPerCore_ = std::max(othersThreadsPerCore_, equalShare);
}

void LoadEstimator::onAttemptReleased(Attempt& attempt) {
  attempt.inFlight = false;
  attempt.engine->removeAttempt(attempt);
  std::erase(context_.inFlightAttempts, &attempt);
  countThreads(attempt, -attempt.threads);
}

void LoadEstimator::onEngineOverloaded(Engine& engine) {
  const auto& [cores, memoryMb] = context_.machineType(engine);
  const double threads = cores * kTargetThreadsPerCore * kTargetThreadsPerCore;
  if (engine.othersUpdatedAt) engine.setOthersLoad(threads, memoryMb, context_.now);
}

double LoadEstimator::subsetSize() {
  return context_.hasFractionalShares ? std::max(kMinSubsetSize, recentSelectionRounds() / 4)
                                      : static_cast<double>(context_.engines.size());
}

void LoadEstimator::applyLoadReport(Engine& engine, const LoadReport& report) {
  if ((!report.requestsInFlight && !report.cpuUtilization) || context_.usesPeerReports()) return;
  const Engine::SentLoad ownLoad = engine.loadSentBy(context_.now - context_.shortestObjective());
  const auto& [cores, memoryMb] = context_.machineType(engine);
  const double busyRatio = std::max(report.cpuUtilization.value_or(0), report.diskUtilization.value_or(0));
  const double threads =
      report.requestsInFlight
          ? residency_.meanThreads(std::max(0.0, *report.requestsInFlight - ownLoad.attemptCount))
          : std::max(0.0, busyRatio * cores * kTargetThreadsPerCore - ownLoad.threads);
  const double othersMemoryMb = report.memoryGrantedRatio
                                    ? std::max(0.0, *report.memoryGrantedRatio * memoryMb - ownLoad.memoryMb)
                                    : residency_.meanMemoryMb(threads);
  const Duration delay = context_.now == context_.stallEndedAt ? context_.stallDuration : Duration{0};
  engine.setOthersLoad(threads, othersMemoryMb, context_.now - delay);
}

void LoadEstimator::applyPeerReport(unsigned peerIndex, const PeerReport& report) {
  for (Engine* engine : context_.engines) engine->peerLoads[peerIndex] = {0, 0, context_.now};
  for (const auto& [engine, threads, memoryMb] : report)
    engine->peerLoads[peerIndex] = {threads, memoryMb, context_.now};
  for (Engine* engine : context_.engines)
    engine->sumPeerLoads(context_.now, context_.shortestObjective() * 3);
}

InFlightLoad LoadEstimator::othersInFlight(const Engine& engine) const {
  const auto& [cores, memoryMb] = context_.machineType(engine);
  const double reportAge = engine.othersUpdatedAt ? toSeconds(context_.now - *engine.othersUpdatedAt) : 99;
  const double decaySeconds = residency_.drainSeconds(engine.othersThreads / cores);
  const double reportWeight = std::exp(-reportAge / std::max(decaySeconds, 1e-3));
  const auto interpolate = [&](double reported, double fleetMean) {
    return reportWeight * reported + (1 - reportWeight) * fleetMean;
  };
  const double fleetWeight = context_.isWarmingUp(engine) ? 0 : 1;
  return {interpolate(engine.othersThreads, othersThreadsPerCore_ * fleetWeight * cores), 0,
          interpolate(engine.othersMemoryMb, othersMemoryRatio_ * fleetWeight * memoryMb)};
}

double LoadEstimator::estimateOthersShare(double ownThreads) const {
  return ownThreads * (context_.deployment.controllerCount - 1) / std::max(1.0, totalCores_);
}

Duration LoadEstimator::maxReportAge() const {
  return context_.shortestObjective() * kMaxReportAgeObjectives;
}

void LoadEstimator::updateFleetMeans() {
  ownThreadSamples_.add(context_.now, threadsInFlight_);
  double othersThreads = 0, othersMemoryMb = 0, reportedCores = 0, reportedMemoryMb = 0;
  totalCores_ = 0;
  for (const Engine* engine : context_.engines) {
    if (!engine->available) continue;
    const auto& [cores, memoryMb] = context_.machineType(*engine);
    totalCores_ += cores;
    hasLoadReports_ = hasLoadReports_ || engine->othersUpdatedAt;
    if (!engine->othersUpdatedAt || context_.now - *engine->othersUpdatedAt > maxReportAge()) continue;
    othersThreads += engine->othersThreads;
    othersMemoryMb += engine->othersMemoryMb;
    reportedCores += cores;
    reportedMemoryMb += std::max(1.0, memoryMb);
  }
  if (reportedCores > 0) {
    othersThreadsPerCore_ = othersThreads / reportedCores;
    othersMemoryRatio_ = othersMemoryMb / reportedMemoryMb;
  } else if (hasLoadReports_) {
    const double drainSeconds = residency_.drainSeconds(kOthersLoadDecayMultiple * othersThreadsPerCore_);
    const double elapsedSeconds = toSeconds(context_.shortestObjective()) / 8;
    const double decay = std::exp(-elapsedSeconds / std::max(1e-3, drainSeconds));
    othersThreadsPerCore_ *= decay;
    othersMemoryRatio_ *= decay;
  } else {
    othersThreadsPerCore_ = estimateOthersShare(ownThreadSamples_.sum(context_.now) / 32);
  }
}

}  // namespace paddletrack
