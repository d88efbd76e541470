#include "admin/service_lifecycle.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace paddletrack::admin {

ServiceLifecycle::ServiceLifecycle(transport::Scheduler& scheduler, routing::RequestRouter& router,
                                   routing::ClientListener& clientListener, std::string name,
                                   const drain::Options& options, const Logger& log,
                                   std::function<void()> exit)
    : scheduler_(scheduler),
      router_(router),
      clientListener_(clientListener),
      name_(std::move(name)),
      log_(log),
      exit_(std::move(exit)),
      drain_(options),
      completionEstimator_(router.config().deployment.requestClasses.size()),
      advanceTimer_(scheduler, [this] { advanceDrain(); }) {
  clientListener_.setServiceGate(this);
}

ServiceLifecycle::~ServiceLifecycle() {
  clientListener_.setServiceGate(nullptr);
  router_.setResponseCallback(nullptr);
}

void ServiceLifecycle::enableCompletionEstimates() {
  router_.setResponseCallback([this](const routing::RequestContext& context) {
    if (context.responseKind == routing::RequestContext::ResponseKind::succeeded)
      completionEstimator_.recordCompletion(context.requestClass->index, router_.now() - context.arrivedAt);
  });
}

drain::DrainError ServiceLifecycle::requestDrain(std::optional<Duration> deadline,
                                                 std::optional<Duration> retryAfter,
                                                 const std::string& requestedBy) {
  const drain::State previousState = drain_.state();
  const drain::DrainError drainError =
      drain_.requestDrain(router_.now(), deadline, retryAfter, countOpenWork());
  if (drainError != drain::DrainError::none) return drainError;
  const drain::DrainProgress& progress = *drain_.progress();
  const auto remainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(progress.deadline - router_.now()).count();
  log_.info("drain",
            "drain " + std::to_string(progress.number) + " asked by " + requestedBy + ", deadline in " +
                std::to_string(remainingMs) + " ms",
            {{"drain", std::to_string(progress.number)},
             {"by", requestedBy},
             {"deadline_ms", std::to_string(remainingMs)}});
  if (drain_.state() != previousState) onStateChanged(previousState);
  advanceDrain();
  return drainError;
}

drain::DrainError ServiceLifecycle::cancelDrain(const std::string& requestedBy) {
  const drain::State previousState = drain_.state();
  const drain::DrainError drainError = drain_.cancelDrain(router_.now());
  if (drainError != drain::DrainError::none) return drainError;
  log_.info("drain", "drain " + std::to_string(drain_.progress()->number) + " cancelled by " + requestedBy,
            {{"drain", std::to_string(drain_.progress()->number)}, {"by", requestedBy}});
  onStateChanged(previousState);
  advanceDrain();
  return drainError;
}

void ServiceLifecycle::onTerminate() {
  if (drain_.isStopping()) return;
  Duration maxRequestTimeout{0};
  for (const RequestClass& requestClass : router_.config().deployment.requestClasses)
    maxRequestTimeout = std::max(maxRequestTimeout, requestClass.requestTimeout);
  drain_.onTerminate(router_.now(), maxRequestTimeout);
  const Duration responseDeadline = *drain_.responseDeadline();
  const auto remainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(responseDeadline - router_.now()).count();
  log_.info("leaving", std::to_string(router_.openRequestCount()) + " requests open, " +
                           std::to_string(remainingMs) + " ms at most");
  router_.setFinalDeadline(responseDeadline);
  advanceDrain();
}

bool ServiceLifecycle::onHeartbeat() {
  const drain::State previousState = drain_.state();
  const bool isHealthy = drain_.onHeartbeat(router_.now());
  if (drain_.state() != previousState) onStateChanged(previousState);
  if (previousState == drain::State::leaving) advanceDrain();  // from the first bad one on its time runs
  return isHealthy;
}

std::optional<Duration> ServiceLifecycle::checkRejection() {
  const std::optional<Duration> retryAfter = drain_.rejectionRetryAfter();
  if (!retryAfter) return std::nullopt;
  ++rejectedByDrain_;
  const Deployment& deployment = router_.config().deployment;
  return deployment.honorsRetryAfter ? std::min(*retryAfter, deployment.maxRetryAfter) : Duration{0};
}

drain::OpenWork ServiceLifecycle::countOpenWork() const {
  drain::OpenWork work;
  router_.forEachOpenRequest([&](const routing::RequestContext&) { ++work.openRequests; });
  work.unsentBytes = clientListener_.unsentBytes();
  work.incomingClients = clientListener_.incomingConnectionCount();
  work.openConnections = clientListener_.openSocketCount();
  work.responseCounts = router_.totals().responses;
  work.responseCounts[0] = router_.totals().clientsGone;
  work.rejectedByDrain = rejectedByDrain_;
  return work;
}

void ServiceLifecycle::advanceDrain() {
  for (int round = 0; round < 2; ++round) {
    const drain::State previousState = drain_.state();
    const drain::DrainStateMachine::Actions actions = drain_.advance(router_.now(), countOpenWork());
    if (drain_.state() != previousState) onStateChanged(previousState);
    if (actions.shouldCloseConnections) clientListener_.close();
    if (actions.shouldExit) {
      log_.info("leaving", std::to_string(router_.openRequestCount()) + " requests open at the end");
      return exit_();
    }
    if (!actions.shouldEndRequests) break;
    router_.finishAllRequests();
  }
  if (const auto nextAt = drain_.nextAdvanceAt(router_.now()))
    advanceTimer_.runAt(scheduler_.now() + std::max(*nextAt - router_.now(), Duration{1000}));
}

void ServiceLifecycle::onStateChanged(drain::State previousState) {
  const drain::DrainProgress* progress = drain_.progress();
  std::string message = std::string(nameOf(previousState)) + " -> " + nameOf(drain_.state());
  if (drain_.state() == drain::State::drained)
    message += progress->deadlineMissed ? ", its deadline missed" : ", in time";
  if (drain_.state() == drain::State::ending && progress->deadlineMissed)
    message += ", " + std::to_string(progress->requestsEndedByDeadline) + " jobs are ended by the deadline";
  log_.info("drain", message,
            {{"drain", std::to_string(progress ? progress->number : 0)}, {"state", nameOf(drain_.state())}});
  if (stateListener_) stateListener_();
}

Status ServiceLifecycle::status() const {
  Status snapshot;
  const Duration now = router_.now();
  snapshot.name = name_;
  snapshot.processId = static_cast<std::uint64_t>(::getpid());
  snapshot.state = drain_.state();
  snapshot.isStopping = drain_.isStopping();
  snapshot.uptime = now;
  std::vector<std::size_t> countByClass(router_.config().requestClassNames.size());
  std::vector<drain::CompletionEstimator::OpenRequest> openRequests;
  router_.forEachOpenRequest([&](const routing::RequestContext& requestContext) {
    ++snapshot.open.requests;
    ++countByClass[requestContext.requestClass->index];
    const Duration remaining = std::max(requestContext.deadline - now, Duration{0});
    snapshot.open.maxRemaining = std::max(snapshot.open.maxRemaining, remaining);
    openRequests.push_back({requestContext.requestClass->index, now - requestContext.arrivedAt, remaining});
  });
  for (std::size_t index = 0; index < countByClass.size(); ++index)
    snapshot.open.requestsByClass.emplace_back(router_.config().requestClassNames[index],
                                               countByClass[index]);
  snapshot.open.attempts = router_.attemptsInFlight();
  snapshot.open.unsentBytes = clientListener_.unsentBytes();
  snapshot.open.connections = clientListener_.connectionCount();
  const routing::RequestRouter::Totals& totals = router_.totals();
  snapshot.accepted = totals.requests;
  snapshot.abandoned = totals.clientsGone;
  snapshot.completed = totals.responses[1];
  snapshot.rejected = totals.responses[2];
  snapshot.failed = totals.responses[3];
  snapshot.rejectedByDrain = rejectedByDrain_;
  snapshot.expectedCompletion = completionEstimator_.estimateCompletion(openRequests);
  if (gossipSource_) snapshot.gossip = gossipSource_();
  if (endpointListSource_) snapshot.endpointList = endpointListSource_();
  if (counterfactualSource_) snapshot.counterfactual = counterfactualSource_();
  if (const drain::DrainProgress* progress = drain_.progress()) {
    Status::DrainStatus& drainStatus = snapshot.drain.emplace();
    drainStatus.number = progress->number;
    drainStatus.requestedAgo = now - progress->requestedAt;
    drainStatus.deadlineIn = progress->deadline - now;
    drainStatus.retryAfter = progress->retryAfter;
    drainStatus.frontLayerNotified = progress->firstUnhealthyAt.has_value();
    drainStatus.deadlineMissed = progress->deadlineMissed;
    drainStatus.cancelled = progress->cancelled;
    if (progress->drainedAt) drainStatus.drainedAfter = *progress->drainedAt - progress->requestedAt;
    drainStatus.requestsAtStart = progress->workAtStart.openRequests;
    drainStatus.requestsEndedByDeadline = progress->requestsEndedByDeadline;
    drainStatus.abandoned = totals.clientsGone - progress->workAtStart.responseCounts[0];
    drainStatus.completed = totals.responses[1] - progress->workAtStart.responseCounts[1];
    drainStatus.rejected = totals.responses[2] - progress->workAtStart.responseCounts[2];
    drainStatus.failed = totals.responses[3] - progress->workAtStart.responseCounts[3];
    drainStatus.rejectedByDrain = rejectedByDrain_ - progress->workAtStart.rejectedByDrain;
    if (snapshot.expectedCompletion && drain_.isDraining())  // the deadline ends what is open then
      snapshot.expectedCompletion->remaining =
          std::min(snapshot.expectedCompletion->remaining, std::max(drainStatus.deadlineIn, Duration{0}));
  }
  return snapshot;
}

std::vector<ServiceLifecycle::EngineStatus> ServiceLifecycle::listEngines(const std::string& firstEngineId,
                                                                          std::size_t limit) const {
  std::vector<const routing::EngineEndpoint*> engines;
  router_.forEachEndpoint([&](const routing::EngineEndpoint& fakeEngine) {
    if (fakeEngine.id >= firstEngineId) engines.push_back(&fakeEngine);
  });
  std::sort(engines.begin(), engines.end(),
            [](const auto* left, const auto* right) { return left->id < right->id; });
  if (engines.size() > limit) engines.resize(limit);
  const Duration now = router_.addressClock();
  std::vector<EngineStatus> statuses;
  for (const routing::EngineEndpoint* engine : engines) {
    static constexpr std::array<const char*, 3> kStateNames{"ready", "draining", "gone"};
    EngineStatus& engineStatus = statuses.emplace_back();
    engineStatus.id = engine->id;
    engineStatus.state = kStateNames[static_cast<std::size_t>(engine->endpoint.state)];
    engineStatus.connections = engine->connections.size();
    engineStatus.attempts = engine->inFlightAttempts.size();
    engineStatus.connecting = engine->pendingConnects;
    for (const addresses::AddressHealth& health : engine->addressTable.entries()) {
      EngineStatus::AddressStatus& addressStatus = engineStatus.addresses.emplace_back();
      addressStatus.name = health.name;
      addressStatus.family = nameOf(health.family);
      addressStatus.state = nameOf(addresses::evaluateState(health, now));
      addressStatus.connections =
          static_cast<std::size_t>(std::count_if(engine->connections.begin(), engine->connections.end(),
                                                 [&](const routing::EngineConnection* connection) {
                                                   return connection->addressName() == health.name;
                                                 }));
      if (health.lastSuccessAt) addressStatus.lastSuccessAgo = now - *health.lastSuccessAt;
      if (health.lastFailureAt) {
        addressStatus.lastFailureAgo = now - *health.lastFailureAt;
        addressStatus.lastFailure = nameOf(health.lastFailure);
      }
      addressStatus.connectDuration = health.meanConnectTime;
      addressStatus.backoffRemaining =
          health.consecutiveFailures > 0 ? std::max(health.backoffUntil - now, Duration{0}) : Duration{0};
      for (const auto& overrideEnd : {health.avoidedUntil, health.preferredUntil})
        if (overrideEnd && *overrideEnd > now) addressStatus.overrideRemaining = *overrideEnd - now;
    }
  }
  return statuses;
}

routing::RequestRouter::AddressLookup ServiceLifecycle::setAddressOverride(
    const std::string& engine, const std::string& address,
    addresses::AddressTable::ManualOverride addressOverride, Duration overrideDuration,
    const std::string& requestedBy) {
  const routing::RequestRouter::AddressLookup result =
      router_.setAddressOverride(engine, address, addressOverride, overrideDuration);
  if (result == routing::RequestRouter::AddressLookup::found)
    log_.info("address", "executor " + engine + " at " + address + ": set by hand, by " + requestedBy,
              {{"engine", engine}, {"address", address}, {"by", requestedBy}});
  return result;
}

}  // namespace paddletrack::admin
