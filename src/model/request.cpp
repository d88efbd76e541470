#include "model/request.hpp"

#include <algorithm>

#include "model/time_conversion.hpp"

namespace paddletrack {

bool provesNotExecuted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::unreachable ||
         outcome == AttemptOutcome::neverSent;
}

bool mayStillExecute(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::timedOut || outcome == AttemptOutcome::reset ||
         outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::connectionAborted;
}

Attempt::Attempt(Request& parentRequest, Engine& target, Duration now)
    : request(&parentRequest),
      engine(&target),
      index(static_cast<std::uint8_t>(parentRequest.attempts.size())),
      sentAt(now),
      timesOutAt(parentRequest.deadline),
      threads(parentRequest.threads()),
      costTokens(parentRequest.costTokens),
      zone(target.endpoint.zone),
      cell(target.endpoint.cell) {}

double Attempt::observedAge(Duration now) const { return toSeconds(now - sentAt - unobservedTime); }

int Request::inFlightCount() const {
  int count = 0;
  for (const auto& attempt : attempts) count += attempt->inFlight ? 1 : 0;
  return count;
}

const Attempt* Request::lastAttemptOn(const Engine& engine) const {
  const Attempt* latest = nullptr;
  for (const auto& attempt : attempts)
    if (attempt->engine == &engine) latest = attempt.get();
  return latest;
}

PeerReport makePeerReport(const std::vector<Engine*>& engines) {
  PeerReport report;
  for (Engine* engine : engines)
    if (engine->threadsInFlight > 0)
      report.push_back({engine, static_cast<float>(engine->threadsInFlight),
                        static_cast<float>(engine->memoryInFlightMb)});
  return report;
}

double Request::latencyObjectiveSeconds() const {
  const double objective = toSeconds(requestClass->latencyObjective) +
                           requestClass->latencyObjectiveCostFactor * costTokens / requestClass->threads;
  return std::min(objective, toSeconds(deadline - arrivedAt));
}

}  // namespace paddletrack
