#include "admission/load_exchange.hpp"

namespace paddletrack {

void LoadExchange::update() {
  if (context_.deployment.controllerCount < 2) return;
  if (context_.usesPeerReports()) return sendPeerReport();
  if (load_.reportsOnHealthChecks()) checkStaleEngines();
}

void LoadExchange::sendPeerReport() {
  if (context_.now < nextPeerReportAt_) return;
  nextPeerReportAt_ = context_.now + context_.shortestObjective() / 3;
  host_.sendPeerReport(makePeerReport(context_.engines));
}

void LoadExchange::checkStaleEngines() {
  const Duration maxAge = load_.maxReportAge() * (context_.hasFractionalShares ? 2 : 1);
  const auto isRecent = [&](const std::optional<Duration>& time) {
    return time && context_.now - *time < maxAge;
  };
  double remainingEngines = load_.subsetSize();
  for (Engine* engine : context_.engines) {
    if (--remainingEngines < 0) return;
    if (2 * healthChecks_.sum(context_.now) >= load_.recentSelectionRounds()) return;
    const bool isFresh = isRecent(engine->othersUpdatedAt) || isRecent(engine->healthCheckSentAt);
    if (!engine->available || isFresh) continue;
    engine->healthCheckSentAt = context_.now;
    healthChecks_.add(context_.now, 1);
    host_.sendHealthCheck(*engine);
  }
}

}  // namespace paddletrack
