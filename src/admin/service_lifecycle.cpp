#include "admin/service_lifecycle.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "admin/engine_status.hpp"

namespace paddletrack::admin {
namespace {

// Positions in drain::OpenWork::responseCounts.
constexpr std::size_t kAbandonedIndex = 0;
constexpr std::size_t kCompletedIndex = 1;
constexpr std::size_t kRejectedIndex = 2;
constexpr std::size_t kFailedIndex = 3;

constexpr int kMaxAdvanceRounds = 2;  // The second round follows the end of all requests.
constexpr Duration kMinAdvanceDelay{std::chrono::milliseconds(1)};

std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

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
  const std::int64_t remainingMs = toMilliseconds(progress.deadline - router_.now());
  log_.info("drain",
            "drain " + std::to_string(progress.number) + " requested by " + requestedBy + ", deadline in " +
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
  const std::int64_t remainingMs = toMilliseconds(responseDeadline - router_.now());
  log_.info("leaving", std::to_string(router_.openRequestCount()) + " requests open, exiting within " +
                           std::to_string(remainingMs) + " ms");
  router_.setFinalDeadline(responseDeadline);
  advanceDrain();
}

bool ServiceLifecycle::onHeartbeat() {
  const drain::State previousState = drain_.state();
  const bool isHealthy = drain_.onHeartbeat(router_.now());
  if (drain_.state() != previousState) onStateChanged(previousState);
  // The time in this state starts with the first unhealthy heartbeat response.
  if (previousState == drain::State::leaving) advanceDrain();
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
  work.responseCounts[kAbandonedIndex] = router_.totals().clientsGone;
  work.rejectedByDrain = rejectedByDrain_;
  return work;
}

void ServiceLifecycle::advanceDrain() {
  for (int round = 0; round < kMaxAdvanceRounds; ++round) {
    const drain::State previousState = drain_.state();
    const drain::DrainStateMachine::Actions actions = drain_.advance(router_.now(), countOpenWork());
    if (drain_.state() != previousState) onStateChanged(previousState);
    if (actions.shouldCloseConnections) clientListener_.close();
    if (actions.shouldExit) {
      log_.info("leaving", std::to_string(router_.openRequestCount()) + " requests open at the end");
      exit_();
      return;
    }
    if (!actions.shouldEndRequests) break;
    router_.finishAllRequests();
  }
  if (const auto nextAt = drain_.nextAdvanceAt(router_.now()))
    advanceTimer_.runAt(scheduler_.now() + std::max(*nextAt - router_.now(), kMinAdvanceDelay));
}

void ServiceLifecycle::onStateChanged(drain::State previousState) {
  const drain::DrainProgress* progress = drain_.progress();
  std::string message = std::string(nameOf(previousState)) + " -> " + nameOf(drain_.state());
  if (drain_.state() == drain::State::drained)
    message += progress->deadlineMissed ? ", deadline missed" : ", deadline met";
  if (drain_.state() == drain::State::ending && progress->deadlineMissed)
    message += ", " + std::to_string(progress->requestsEndedByDeadline) + " requests ended by the deadline";
  log_.info("drain", message,
            {{"drain", std::to_string(progress ? progress->number : 0)}, {"state", nameOf(drain_.state())}});
  if (stateListener_) stateListener_();
}

ControllerStatus ServiceLifecycle::status() const {
  const Duration now = router_.now();
  ControllerStatus status;
  status.name = name_;
  status.processId = static_cast<std::uint64_t>(::getpid());
  status.state = drain_.state();
  status.isStopping = drain_.isStopping();
  status.uptime = now;
  status.open = openWorkStatus(now);
  status.accepted = router_.totals().requests;
  status.totals = requestTotals();
  status.expectedCompletion = completionEstimator_.estimateCompletion(listOpenRequests(now));
  if (gossipSource_) status.gossip = gossipSource_();
  if (endpointListSource_) status.endpointList = endpointListSource_();
  if (counterfactualSource_) status.counterfactual = counterfactualSource_();
  if (const drain::DrainProgress* progress = drain_.progress()) {
    const DrainStatus& latestDrain = status.drain.emplace(drainStatus(*progress, now));
    // The deadline of a drain ends all requests that are still open.
    if (status.expectedCompletion && drain_.isDraining())
      status.expectedCompletion->remaining =
          std::min(status.expectedCompletion->remaining, std::max(latestDrain.deadlineIn, Duration{0}));
  }
  return status;
}

OpenWorkStatus ServiceLifecycle::openWorkStatus(Duration now) const {
  const std::vector<std::string>& classNames = router_.config().requestClassNames;
  OpenWorkStatus status;
  std::vector<std::size_t> countByClass(classNames.size());
  router_.forEachOpenRequest([&](const routing::RequestContext& context) {
    ++status.requests;
    ++countByClass[context.requestClass->index];
    status.maxRemaining = std::max(status.maxRemaining, context.deadline - now);
  });
  for (std::size_t index = 0; index < countByClass.size(); ++index)
    status.requestsByClass.emplace_back(classNames[index], countByClass[index]);
  status.attempts = router_.attemptsInFlight();
  status.unsentBytes = clientListener_.unsentBytes();
  status.connections = clientListener_.connectionCount();
  return status;
}

std::vector<drain::CompletionEstimator::OpenRequest> ServiceLifecycle::listOpenRequests(Duration now) const {
  std::vector<drain::CompletionEstimator::OpenRequest> openRequests;
  router_.forEachOpenRequest([&](const routing::RequestContext& context) {
    const Duration remaining = std::max(context.deadline - now, Duration{0});
    openRequests.push_back({context.requestClass->index, now - context.arrivedAt, remaining});
  });
  return openRequests;
}

RequestTotals ServiceLifecycle::requestTotals() const {
  const routing::RequestRouter::Totals& totals = router_.totals();
  return {totals.clientsGone, totals.responses[kCompletedIndex], totals.responses[kRejectedIndex],
          totals.responses[kFailedIndex], rejectedByDrain_};
}

DrainStatus ServiceLifecycle::drainStatus(const drain::DrainProgress& progress, Duration now) const {
  const drain::OpenWork& workAtStart = progress.workAtStart;
  const RequestTotals totals = requestTotals();
  DrainStatus status;
  status.number = progress.number;
  status.requestedAgo = now - progress.requestedAt;
  status.deadlineIn = progress.deadline - now;
  status.retryAfter = progress.retryAfter;
  status.frontLayerNotified = progress.firstUnhealthyAt.has_value();
  status.deadlineMissed = progress.deadlineMissed;
  status.cancelled = progress.cancelled;
  if (progress.drainedAt) status.drainedAfter = *progress.drainedAt - progress.requestedAt;
  status.requestsAtStart = workAtStart.openRequests;
  status.requestsEndedByDeadline = progress.requestsEndedByDeadline;
  status.totals = {totals.abandoned - workAtStart.responseCounts[kAbandonedIndex],
                   totals.completed - workAtStart.responseCounts[kCompletedIndex],
                   totals.rejected - workAtStart.responseCounts[kRejectedIndex],
                   totals.failed - workAtStart.responseCounts[kFailedIndex],
                   totals.rejectedByDrain - workAtStart.rejectedByDrain};
  return status;
}

std::vector<EngineStatus> ServiceLifecycle::listEngines(const std::string& firstEngineId,
                                                        std::size_t limit) const {
  return listEngineStatuses(router_, firstEngineId, limit);
}

routing::RequestRouter::AddressLookup ServiceLifecycle::setAddressOverride(
    const std::string& engine, const std::string& address,
    addresses::AddressTable::ManualOverride addressOverride, Duration overrideDuration,
    const std::string& requestedBy) {
  const routing::RequestRouter::AddressLookup result =
      router_.setAddressOverride(engine, address, addressOverride, overrideDuration);
  if (result == routing::RequestRouter::AddressLookup::found)
    log_.info("address", "engine " + engine + " at " + address + ": override changed by " + requestedBy,
              {{"engine", engine}, {"address", address}, {"by", requestedBy}});
  return result;
}

}  // namespace paddletrack::admin
