#include "model/engine.hpp"

#include <algorithm>

#include "model/request.hpp"

namespace paddletrack {

void Engine::changeLoad(const Attempt& attempt, double sign) {
  InFlightLoad& classLoad = inFlightByClass[attempt.request->requestClass->index];
  classLoad.threads += sign * attempt.threads;
  classLoad.costTokens += sign * attempt.costTokens;
  threadsInFlight += sign * attempt.threads;
  memoryInFlightMb += sign * attempt.memoryMb;
}

void Engine::addAttempt(Attempt& attempt) {
  changeLoad(attempt, 1);
  inFlightAttempts.push_back(&attempt);
}

void Engine::removeAttempt(Attempt& attempt) {
  changeLoad(attempt, -1);
  std::erase(inFlightAttempts, &attempt);
}

Engine::SentLoad Engine::loadSentBy(Duration time) const {
  SentLoad load;
  for (const Attempt* attempt : inFlightAttempts) {
    if (attempt->sentAt > time) continue;
    load.attemptCount += 1;
    load.threads += attempt->threads;
    load.memoryMb += attempt->memoryMb;
  }
  return load;
}

void Engine::setOthersLoad(double threads, double memoryMb, Duration updatedAt) {
  othersThreads = threads;
  othersMemoryMb = memoryMb;
  othersUpdatedAt = updatedAt;
}

void Engine::sumPeerLoads(Duration now, Duration maxAge) {
  setOthersLoad(0, 0, now);
  for (const PeerLoad& peerLoad : peerLoads) {
    if (now - peerLoad.receivedAt > maxAge) continue;
    othersThreads += peerLoad.threads;
    othersMemoryMb += peerLoad.memoryMb;
  }
}

bool Engine::hasCachedDataSet(std::uint32_t dataSet) const {
  return std::find(cachedDataSets.begin(), cachedDataSets.end(), dataSet) != cachedDataSets.end();
}

void Engine::rememberDataSet(std::uint32_t dataSet, std::size_t maxCount) {
  std::erase(cachedDataSets, dataSet);
  cachedDataSets.insert(cachedDataSets.begin(), dataSet);
  if (cachedDataSets.size() > maxCount) cachedDataSets.pop_back();
}

void Engine::initialize(const Deployment& deployment, bool usesPeerReports, Duration now,
                        Duration bucketDuration) {
  inFlightByClass.resize(deployment.requestClasses.size());
  if (usesPeerReports) peerLoads.resize(deployment.controllerCount, {0, 0, now});
  for (auto* window : {&successes, &failures, &rejections, &threadTimeSpent, &workCompleted})
    *window = SlidingWindowSum<double>(bucketDuration);
  // The current one of the eight buckets is incomplete: the seven complete ones cover slightly more than the
  // warm-up window.
  warmupWorkSent = SlidingWindowSum<double>(deployment.warmupWindow / 7 + Duration{1});
}

void Engine::addCompletedWork(Duration now, double threadSeconds, double workSeconds) {
  threadTimeSpent.add(now, threadSeconds);
  workCompleted.add(now, workSeconds);
}

void Engine::resetProcessState() {
  for (auto* window : {&failures, &rejections, &threadTimeSpent, &workCompleted}) window->clear();
  cachedDataSets.clear();
  othersThreads = othersMemoryMb = 0;
  nextTrialAt.reset();
}

}  // namespace paddletrack
