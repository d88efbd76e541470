#include "routing/request_router.hpp"

#include <algorithm>
#include <exception>
#include <unordered_set>
#include <utility>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {

namespace {

RequestContext& requestContextOf(Request& request) { return static_cast<RequestContext&>(request); }

AttemptContext& attemptContextOf(const Attempt& attempt) {
  return *requestContextOf(*attempt.request).attemptContexts[attempt.index];
}

EngineEndpoint& endpointOf(const Attempt& attempt) { return static_cast<EngineEndpoint&>(*attempt.engine); }

}  // namespace

RequestRouter::RequestRouter(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                             const protocol::ControllerConfig& config, const Limits& limits,
                             std::uint64_t seed, const Logger& logger)
    : scheduler_(scheduler),
      memoryBudget_(memoryBudget),
      config_(config),
      limits_(limits),
      logger_(logger),
      startedAt_(scheduler.now()),
      startedAtWallClock_(std::chrono::system_clock::now()),
      engineRegistry_(logger),
      reportCancelledCall_(scheduler, [this] { reportCancelledAttempts(); }),
      timerCall_(scheduler, [this] { onTimer(); }),
      connectionPool_(scheduler, memoryBudget, limits.connectionLimits, *this, logger),
      admissionController_(*this, config.deployment, seed, Duration{0}) {}

Duration RequestRouter::now() const {
  return std::chrono::duration_cast<Duration>(scheduler_.now() - startedAt_);
}

// The admission controller decides in steps and calls back into the router between them. An interrupted
// decision leaves the request, its attempts and the counts inconsistent, so that every later decision,
// including an orderly shutdown, would be based on inconsistent state.
template <typename Step>
void RequestRouter::runDecision(Step step) {
  try {
    step();
  } catch (const std::exception& error) {
    if (fatalErrorHandler_) fatalErrorHandler_(toError(error, "admission decision"));
    std::terminate();
  }
}

// ---- Requests -------------------------------------------------------------------------------------------

void RequestRouter::acceptRequest(std::unique_ptr<RequestContext> newContext) {
  RequestContext& context = *newContext;
  requestTable_.add(std::move(newContext));
  if (finalDeadline_) context.deadline = std::min(context.deadline, *finalDeadline_);
  ++totals_.requests;
  runDecision([&] { admissionController_.onRequest(now(), context); });
  removeFinishedRequests();
}

void RequestRouter::onClientGone(RequestContext& context) {
  context.responseListener = nullptr;
  ++totals_.clientsGone;
  if (recorder_) recorder_->onRequestFinished(now(), context, false);
  requestTable_.markForCleanup(context);
  runDecision([&] { admissionController_.onClientGone(now(), context); });
  removeFinishedRequests();
}

void RequestRouter::setFinalDeadline(Duration finalDeadline) {
  PADDLETRACK_TABLE("answer_by");
  finalDeadline_ = finalDeadline;
  requestTable_.forEach([&](RequestContext& context) {
    context.deadline = std::min(context.deadline, finalDeadline);
    for (const auto& attemptContext : context.attemptContexts)
      if (attemptContext->attempt.inFlight) limitAttemptTime(*attemptContext, toTimePoint(finalDeadline));
  });
}

void RequestRouter::limitAttemptTime(AttemptContext& attemptContext, transport::TimePoint finalTime) {
  attemptContext.timesOutAt = std::min(attemptContext.timesOutAt, finalTime);
  attemptContext.sendDeadline = std::min(attemptContext.sendDeadline, attemptContext.timesOutAt);
  attemptContext.timeoutCall.runAt(attemptContext.sendDeadline);
}

void RequestRouter::finishAllRequests() {
  std::vector<Request*> openRequests;
  requestTable_.forEach([&](RequestContext& context) {
    if (!context.finished) openRequests.push_back(&context);
  });
  runDecision([&] { admissionController_.rejectAll(now(), openRequests); });
  removeFinishedRequests();
}

void RequestRouter::onTimer() {
  runDecision([this] { admissionController_.onTimer(now()); });
  removeFinishedRequests();
}

void RequestRouter::respond(RequestContext& context, RequestContext::ResponseKind kind) {
  requestTable_.markForCleanup(context);
  context.responseKind = kind;
  if (recorder_)
    recorder_->onRequestFinished(now(), context, kind == RequestContext::ResponseKind::succeeded);
  ++totals_.responses[static_cast<std::size_t>(kind)];
  if (RequestContext::ResponseListener* listener = std::exchange(context.responseListener, nullptr))
    listener->onResponseReady(context);
  if (responseCallback_) responseCallback_(context);
  context.pages.clear();
}

void RequestRouter::removeFinishedRequests() {
  for (RequestContext* const context : requestTable_.takeMarked()) {
    if (!context->finished) continue;
    // If cancelling is not allowed, an attempt that was sent stays in flight; an unsent one is recalled.
    for (const auto& attemptContext : context->attemptContexts) recall(attemptContext->attempt);
    if (context->inFlightCount() > 0) continue;
    for (const auto& attemptContext : context->attemptContexts)
      --endpointOf(attemptContext->attempt).referencedAttempts;
    requestTable_.remove(*context);
  }
  engineRegistry_.eraseUnreferenced([this](EngineEndpoint& endpoint) {
    runDecision([&] { admissionController_.forgetEngine(endpoint); });
  });
}

// ---- Attempts -------------------------------------------------------------------------------------------

void RequestRouter::sendAttempt(Attempt& attempt) {
  if (recorder_) recorder_->onAttemptStarted(attempt);
  PADDLETRACK_TABLE("dispatches");
  RequestContext& context = requestContextOf(*attempt.request);
  EngineEndpoint& endpoint = endpointOf(attempt);
  context.attemptContexts.push_back(std::make_unique<AttemptContext>(context, attempt, scheduler_));
  AttemptContext& attemptContext = *context.attemptContexts.back();
  attemptContext.timeoutCall.setAction([this, &attemptContext] { onAttemptTimeout(attemptContext); });
  attemptContext.timesOutAt = toTimePoint(attempt.timesOutAt);
  attemptContext.sendDeadline = sendDeadline(attempt);
  attemptContext.timeoutCall.runAt(attemptContext.sendDeadline);
  attemptContext.incarnation = endpoint.incarnation;
  ++endpoint.referencedAttempts;
  ++endpoint.attemptsSent;
  if (placementBiasSource_) placementBiasSource_->onAttemptStarted(context.dataSet, endpoint);
  connectionPool_.sendAttempt(attemptContext);
}

// A request that is idempotent by key may be sent again only within the idempotency window, which the
// admission controller counts from the first attempt that may have been executed.
transport::TimePoint RequestRouter::sendDeadline(const Attempt& attempt) const {
  Duration deadline = attempt.timesOutAt;
  const RequestClass& requestClass = *attempt.request->requestClass;
  if (requestClass.idempotency != Idempotency::idempotentByKey) return toTimePoint(deadline);
  const Duration usableWindow = requestClass.idempotencyWindow - config_.deployment.tickDuration;
  for (const auto& earlierAttempt : attempt.request->attempts) {
    if (earlierAttempt.get() == &attempt || earlierAttempt->provenNotExecuted) continue;
    deadline = std::min(deadline, earlierAttempt->sentAt + usableWindow);
  }
  return toTimePoint(deadline);
}

void RequestRouter::onAttemptFinished(AttemptContext& attemptContext, AttemptOutcome outcome) {
  // The attempt was cancelled before this outcome was reported. Its cancellation is reported separately, and
  // an attempt has only one outcome.
  if (isCancelled(attemptContext)) return;
  RequestContext& context = attemptContext.requestContext;
  if (outcome == AttemptOutcome::completed && !context.finished) {
    context.pages = std::move(attemptContext.pages);
    respond(context, RequestContext::ResponseKind::succeeded);
  }
  reportOutcome(attemptContext, outcome);
}

// Runs first at the send deadline and recalls an attempt that was not fully sent. Otherwise it runs again at
// the attempt's timeout.
void RequestRouter::onAttemptTimeout(AttemptContext& attemptContext) {
  if (scheduler_.now() < attemptContext.timesOutAt) {
    if (!recall(attemptContext.attempt)) attemptContext.timeoutCall.runAt(attemptContext.timesOutAt);
    return;
  }
  connectionPool_.abandonAttempt(attemptContext);
  reportOutcome(attemptContext, AttemptOutcome::timedOut);
}

void RequestRouter::reportOutcome(AttemptContext& attemptContext, AttemptOutcome outcome) {
  attemptContext.timeoutCall.cancel();
  attemptContext.pages.clear();
  ++totals_.attemptOutcomes[static_cast<std::size_t>(outcome)];
  requestTable_.markForCleanup(attemptContext.requestContext);
  const bool requestFinished = attemptContext.requestContext.finished || outcome == AttemptOutcome::completed;
  runDecision([&] {
    admissionController_.onAttemptFinished(now(), attemptContext.attempt, outcome, requestFinished,
                                           std::nullopt, nullptr);
  });
  removeFinishedRequests();
}

void RequestRouter::cancel(Attempt& attempt) {
  AttemptContext& attemptContext = attemptContextOf(attempt);
  if (!canCancel(attemptContext)) return;
  attemptContext.recalled = connectionPool_.recallAttempt(attemptContext);
  if (!attemptContext.recalled) connectionPool_.abandonAttempt(attemptContext);
  scheduleCancelledReport(attemptContext);
}

bool RequestRouter::recall(Attempt& attempt) {
  AttemptContext& attemptContext = attemptContextOf(attempt);
  if (!canCancel(attemptContext) || !connectionPool_.recallAttempt(attemptContext)) return false;
  attemptContext.recalled = true;
  scheduleCancelledReport(attemptContext);
  return true;
}

bool RequestRouter::canCancel(const AttemptContext& attemptContext) const {
  return attemptContext.attempt.inFlight && !isCancelled(attemptContext);
}

bool RequestRouter::isCancelled(const AttemptContext& attemptContext) const {
  return std::find(cancelledAttempts_.begin(), cancelledAttempts_.end(), &attemptContext) !=
         cancelledAttempts_.end();
}

// The report is deferred to the next loop iteration, because the admission controller cancels within its own
// call.
void RequestRouter::scheduleCancelledReport(AttemptContext& attemptContext) {
  attemptContext.timeoutCall.cancel();
  cancelledAttempts_.push_back(&attemptContext);
  reportCancelledCall_.runSoon();
}

void RequestRouter::reportCancelledAttempts() {
  for (AttemptContext* const attemptContext : std::exchange(cancelledAttempts_, {})) {
    const bool recalled = attemptContext->recalled;
    reportOutcome(*attemptContext, recalled ? AttemptOutcome::neverSent : AttemptOutcome::cancelled);
  }
}

// ---- Engines --------------------------------------------------------------------------------------------

void RequestRouter::onEndpointUpdate(const protocol::EndpointEvent& update) {
  EndpointRecords records;
  for (const protocol::EndpointEntry& entry : update.entries) {
    const std::optional<EndpointRecord> record = readRecord(entry);
    if (!record) continue;
    EngineEndpoint& endpoint = updateEngine(entry, *record);
    records.emplace_back(&endpoint, *record);
  }
  if (update.isSnapshot)
    removeUnlistedEngines(records);
  else
    removeReplacedEngines(records);
  runDecision([&] { admissionController_.onEndpointUpdate(now(), update.isSnapshot, records); });
  removeFinishedRequests();
}

std::optional<EndpointRecord> RequestRouter::readRecord(const protocol::EndpointEntry& entry) const {
  EndpointRecord record;
  try {
    record.zone = static_cast<unsigned>(protocol::indexOfName(config_.zoneNames, entry.zone, "zone"));
    record.machineType =
        static_cast<unsigned>(protocol::indexOfName(config_.machineTypeNames, entry.machineType, "kind"));
    // The constructor throws if the only address is invalid.
    if (entry.addresses.empty()) static_cast<void>(transport::Address(entry.address));
  } catch (const std::exception& error) {
    logger_.warning(
        "changelog",
        Error(ErrorKind::invalidEndpointEntry, "engine " + entry.id, std::string("skipped: ") + error.what()),
        {{"engine", entry.id}});
    return std::nullopt;
  }
  record.cell = entry.cell;
  record.state = entry.state;
  if (entry.startedAtMs > 0) {
    const std::chrono::system_clock::time_point startedAt{std::chrono::milliseconds(entry.startedAtMs)};
    record.startedAt = std::chrono::duration_cast<Duration>(startedAt - startedAtWallClock_);
  }
  return record;
}

EngineEndpoint& RequestRouter::updateEngine(const protocol::EndpointEntry& entry,
                                            const EndpointRecord& record) {
  EngineEndpoint& endpoint = engineRegistry_.findOrAdd(entry.id);
  // If the engine has restarted or is not ready, open attempts may finish, but new ones do not use its
  // current connections.
  const bool hasReturned = engineRegistry_.isRemoved(endpoint) && record.state != EndpointState::removed;
  const bool isSameProcess = endpoint.endpoint.startedAt == record.startedAt && !hasReturned;
  if (hasReturned) endpoint.resetProcessState();
  if (record.state != EndpointState::ready || !isSameProcess) connectionPool_.drainConnections(endpoint);
  std::vector<std::string> addressNames = entry.addresses;
  if (std::find(addressNames.begin(), addressNames.end(), entry.address) == addressNames.end())
    addressNames.insert(addressNames.begin(), entry.address);
  connectionPool_.updateAddresses(endpoint, addressNames, !isSameProcess);
  if (record.state == EndpointState::removed)
    engineRegistry_.markRemoved(endpoint);
  else
    engineRegistry_.markListed(endpoint);
  return endpoint;
}

// A snapshot lists all engines, so an engine that is not in it has been removed.
void RequestRouter::removeUnlistedEngines(EndpointRecords& records) {
  std::unordered_set<const Engine*> listedEngines;
  for (const auto& [engine, record] : records) listedEngines.insert(engine);
  engineRegistry_.forEach([&](EngineEndpoint& endpoint) {
    if (!listedEngines.contains(&endpoint)) removeEngine(endpoint, records);
  });
}

// A new engine may have the address of one that has gone and whose removal is told later. What is sent to
// that address reaches the new engine, so the old one must not get anything there.
void RequestRouter::removeReplacedEngines(EndpointRecords& records) {
  std::unordered_set<std::string> readyAddresses;
  std::unordered_set<const Engine*> updatedEngines;
  for (const auto& [engine, record] : records) {
    updatedEngines.insert(engine);
    if (record.state != EndpointState::ready) continue;
    for (const auto& [name, address] : static_cast<const EngineEndpoint*>(engine)->addressesByName)
      readyAddresses.insert(name);
  }
  if (readyAddresses.empty()) return;
  engineRegistry_.forEach([&](EngineEndpoint& endpoint) {
    if (updatedEngines.contains(&endpoint) || engineRegistry_.isRemoved(endpoint)) return;
    const auto& addresses = endpoint.addressesByName;
    const bool isReplaced =
        !addresses.empty() && std::all_of(addresses.begin(), addresses.end(), [&](const auto& entry) {
          return readyAddresses.contains(entry.first);
        });
    if (isReplaced) removeEngine(endpoint, records);
  });
}

void RequestRouter::removeEngine(EngineEndpoint& endpoint, EndpointRecords& records) {
  connectionPool_.drainConnections(endpoint);
  engineRegistry_.markRemoved(endpoint);
  EndpointRecord removedRecord = endpoint.endpoint;
  removedRecord.state = EndpointState::removed;
  records.emplace_back(&endpoint, removedRecord);
}

void RequestRouter::onDiscoveryFailed() {
  if (!std::exchange(discoveryRequested_, false)) return;
  runDecision([&] { admissionController_.onDiscoveryFailed(now()); });
  removeFinishedRequests();
}

RequestRouter::AddressLookup RequestRouter::setAddressOverride(
    const std::string& engineId, const std::string& address,
    addresses::AddressTable::ManualOverride manualOverride, Duration duration) {
  EngineEndpoint* const endpoint = engineRegistry_.find(engineId);
  if (!endpoint) return AddressLookup::unknownEngine;
  const bool isKnownAddress =
      endpoint->addressTable.setOverride(connectionPool_.addressClock(), address, manualOverride, duration);
  return isKnownAddress ? AddressLookup::found : AddressLookup::unknownAddress;
}

// ---- Other decisions of the admission controller --------------------------------------------------------

void RequestRouter::assignResources(Request& request, double grantMb, int priority) {
  RequestContext& context = requestContextOf(request);
  context.grantMb = grantMb;
  if (std::exchange(context.priority, priority) == priority) return;
  for (const auto& attemptContext : context.attemptContexts)
    if (attemptContext->attempt.inFlight) connectionPool_.updatePriority(*attemptContext);
}

void RequestRouter::reject(Request& request, Duration retryAfter) {
  RequestContext& context = requestContextOf(request);
  context.retryAfter = retryAfter;
  respond(context, RequestContext::ResponseKind::rejected);
}

void RequestRouter::fail(Request& request) {
  respond(requestContextOf(request), RequestContext::ResponseKind::failed);
}

void RequestRouter::scheduleTimer(Duration timerAt) { timerCall_.runAt(toTimePoint(timerAt)); }

double RequestRouter::placementBias(const Request& request, const Engine& engine) {
  if (!placementBiasSource_) return 1;
  return placementBiasSource_->placementBias(request.dataSet, static_cast<const EngineEndpoint&>(engine));
}

// The endpoint list is always watched, so there is nothing to request; only a failure is reported back.
void RequestRouter::requestEndpoints() { discoveryRequested_ = true; }

void RequestRouter::sendHealthCheck(Engine&) {
  logger_.info("unsupported", "the protocol has no health check message");
}

void RequestRouter::sendPeerReport(const std::vector<PeerEngineLoad>&) {
  logger_.info("unsupported", "the protocol has no peer report message");
}

// ---- Observation ----------------------------------------------------------------------------------------

void RequestRouter::traceDecision(const Request& request, const std::vector<Candidate>& candidates) {
  if (recorder_) recorder_->onDecision(request, candidates);
}

void RequestRouter::enableRecording(counterfactual::DecisionRecorder& recorder) {
  recorder_ = &recorder;
  admissionController_.enableDecisionTrace(true);
}

void RequestRouter::log(std::string_view text) { logger_.info("module", std::string(text)); }

std::string RequestRouter::formatCounts() const {
  static constexpr std::array<const char*, 9> kOutcomeNames{
      "done", "error", "rejected", "timed out", "unreachable", "reset", "withdrawn", "never sent", "spoilt"};
  const auto responseCount = [this](RequestContext::ResponseKind kind) {
    return std::to_string(totals_.responses[static_cast<std::size_t>(kind)]);
  };
  using ResponseKind = RequestContext::ResponseKind;
  std::string text = std::to_string(requestTable_.size()) + " open, " + std::to_string(totals_.requests) +
                     " accepted, " + responseCount(ResponseKind::succeeded) + " succeeded, " +
                     responseCount(ResponseKind::rejected) + " rejected, " +
                     responseCount(ResponseKind::failed) + " failed, " + std::to_string(totals_.clientsGone) +
                     " clients gone; attempts:";
  for (std::size_t index = 0; index < kOutcomeNames.size(); ++index)
    if (totals_.attemptOutcomes[index] > 0)
      text += " " + std::to_string(totals_.attemptOutcomes[index]) + " " + kOutcomeNames[index];
  return text + "; " + std::to_string(engineRegistry_.size()) + " engines known of " +
         std::to_string(engineRegistry_.totalAdded()) + ", " + connectionPool_.formatCounts();
}

}  // namespace paddletrack::routing
