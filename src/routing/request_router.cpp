#include "routing/request_router.hpp"

#include <algorithm>
#include <exception>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {

namespace {

RequestContext& requestContextOf(Request& request) { return static_cast<RequestContext&>(request); }

}  // namespace

RequestRouter::RequestRouter(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                             const protocol::ControllerConfig& config, const Limits& limits,
                             std::uint64_t seed, const Logger& logger)
    : scheduler_(scheduler),
      config_(config),
      limits_(limits),
      logger_(logger),
      startedAt_(scheduler.now()),
      startedAtWallClock_(std::chrono::system_clock::now()),
      reportCancelledCall_(scheduler, [this] { reportCancelledAttempts(); }),
      wakeCall_(scheduler,
                [this] {
                  runDecision([this] { admissionController_.onTimer(now()); });
                  removeFinishedRequests();
                }),
      connectionPool_(scheduler, outputBudget, limits.connectionLimits, *this, logger),
      admissionController_(*this, config.deployment, seed, Duration{0}) {}

Duration RequestRouter::now() const {
  return std::chrono::duration_cast<Duration>(scheduler_.now() - startedAt_);
}

// The module decides in steps, each with calls back to here: one that breaks off leaves job, dispatches and
// counts at odds. Going on, or even taking all down in order, would answer from what is not so.
template <typename Step>
void RequestRouter::runDecision(Step step) {
  try {
    step();
  } catch (const std::exception& error) {
    if (fatalErrorHandler_) fatalErrorHandler_(toError(error, "a decision under way"));
    std::terminate();
  }
}

// ---- what comes in --------------------------------------------------------------------------------------

void RequestRouter::acceptRequest(std::unique_ptr<RequestContext> newContext) {
  RequestContext& context = *newContext;
  PADDLETRACK_TABLE("jobs");
  context.position = requests_.emplace(requests_.end());
  try {
    PADDLETRACK_TABLE("references");
    openRequestIds_.insert(context.requestId);
  } catch (const std::bad_alloc&) {
    requests_.erase(context.position);
    throw;
  }
  *context.position = std::move(newContext);
  if (finalDeadline_) context.deadline = std::min(context.deadline, *finalDeadline_);
  ++totals_.requests;
  runDecision([&] { admissionController_.onRequest(now(), context); });
  removeFinishedRequests();
}

void RequestRouter::onClientGone(RequestContext& context) {
  context.responseListener = nullptr;
  ++totals_.clientsGone;
  if (recorder_) recorder_->onRequestFinished(now(), context, false);
  markForCleanup(context);
  runDecision([&] { admissionController_.onClientGone(now(), context); });
  removeFinishedRequests();
}

void RequestRouter::onAttemptFinished(AttemptContext& attemptContext, AttemptOutcome outcome) {
  // Withdrawn since this end came up: that one is told in its turn, and only one end is.
  if (std::find(cancelledAttempts_.begin(), cancelledAttempts_.end(), &attemptContext) !=
      cancelledAttempts_.end())
    return;
  RequestContext& context = attemptContext.requestContext;
  if (outcome == AttemptOutcome::completed && !context.finished) {
    context.pages = std::move(attemptContext.pages);
    respond(context, RequestContext::ResponseKind::succeeded);
  }
  reportOutcome(attemptContext, outcome);
}

// At the end of its window for repeats what has not left whole is kept back; else at the end of its time.
void RequestRouter::onAttemptTimeout(AttemptContext& attemptContext) {
  if (scheduler_.now() < attemptContext.timesOutAt) {
    if (!recall(attemptContext.attempt)) attemptContext.timeoutCall.runAt(attemptContext.timesOutAt);
    return;
  }
  connectionPool_.abandonAttempt(attemptContext);
  reportOutcome(attemptContext, AttemptOutcome::timedOut);
}

void RequestRouter::reportCancelledAttempts() {
  for (AttemptContext* attemptContext : std::exchange(cancelledAttempts_, {}))
    reportOutcome(*attemptContext,
                  attemptContext->recalled ? AttemptOutcome::neverSent : AttemptOutcome::cancelled);
}

void RequestRouter::reportOutcome(AttemptContext& attemptContext, AttemptOutcome outcome) {
  attemptContext.timeoutCall.cancel();
  attemptContext.pages.clear();
  ++totals_.attemptOutcomes[static_cast<std::size_t>(outcome)];
  markForCleanup(attemptContext.requestContext);
  const bool requestFinished = attemptContext.requestContext.finished || outcome == AttemptOutcome::completed;
  runDecision([&] {
    admissionController_.onAttemptFinished(now(), attemptContext.attempt, outcome, requestFinished,
                                           std::nullopt, nullptr);
  });
  removeFinishedRequests();
}

void RequestRouter::onEndpointUpdate(const protocol::EndpointEvent& update) {
  EndpointRecords records;
  for (const protocol::EndpointEntry& entry : update.entries) {
    EndpointRecord record;
    try {
      record.zone = static_cast<unsigned>(protocol::indexOfName(config_.zoneNames, entry.zone, "zone"));
      record.machineType =
          static_cast<unsigned>(protocol::indexOfName(config_.machineTypeNames, entry.machineType, "kind"));
      if (entry.addresses.empty()) transport::Address{entry.address};  // throws where it is none
    } catch (const std::exception& error) {
      logger_.warning("changelog",
                      Error(ErrorKind::invalidEndpointEntry, "executor " + entry.id,
                            std::string("passed over: ") + error.what()),
                      {{"engine", entry.id}});
      continue;
    }
    record.cell = entry.cell;
    record.state = entry.state;
    if (entry.startedAtMs > 0) {
      const std::chrono::system_clock::time_point startedAt{std::chrono::milliseconds(entry.startedAtMs)};
      record.startedAt = std::chrono::duration_cast<Duration>(startedAt - startedAtWallClock_);
    }
    auto position = endpoints_.find(entry.id);
    if (position == endpoints_.end()) {
      auto newEndpoint = std::make_unique<EngineEndpoint>();
      newEndpoint->id = entry.id;
      PADDLETRACK_TABLE("executors");
      position = endpoints_.emplace(entry.id, std::move(newEndpoint)).first;
      position->second->number = ++lastEndpointNumber_;
      logger_.info("list", "engine " + std::to_string(position->second->number) + " is executor " + entry.id,
                   {{"engine", entry.id}, {"number", std::to_string(position->second->number)}});
    }
    EngineEndpoint* const endpoint = position->second.get();
    // Another process answers there now, or none: what is open may still end, nothing new goes that way.
    const bool isSameProcess = endpoint->endpoint.startedAt == record.startedAt;
    if (record.state != EndpointState::ready || !isSameProcess) connectionPool_.drainConnections(*endpoint);
    std::vector<std::string> addressNames = entry.addresses;
    if (std::find(addressNames.begin(), addressNames.end(), entry.address) == addressNames.end())
      addressNames.insert(addressNames.begin(), entry.address);
    connectionPool_.updateAddresses(*endpoint, addressNames, !isSameProcess);
    removedEndpoints_.erase(endpoint);
    if (record.state == EndpointState::removed) removedEndpoints_.insert(endpoint);
    records.emplace_back(endpoint, record);
  }
  // What a whole list leaves out has gone as well.
  const auto isListed = [&](const EngineEndpoint* fakeEngine) {
    return std::any_of(records.begin(), records.end(),
                       [&](const auto& listedRecord) { return listedRecord.first == fakeEngine; });
  };
  for (const auto& [id, endpoint] : endpoints_) {
    if (!update.isSnapshot || isListed(endpoint.get())) continue;
    connectionPool_.drainConnections(*endpoint);
    removedEndpoints_.insert(endpoint.get());
  }
  runDecision([&] { admissionController_.onEndpointUpdate(now(), update.isSnapshot, records); });
  removeFinishedRequests();
}

void RequestRouter::onDiscoveryFailed() {
  if (!std::exchange(discoveryRequested_, false)) return;
  runDecision([&] { admissionController_.onDiscoveryFailed(now()); });
  removeFinishedRequests();
}

std::string RequestRouter::formatCounts() const {
  static constexpr std::array<const char*, 9> kOutcomeNames{"done",      "error",       "turned away",
                                                            "timed out", "unreachable", "reset",
                                                            "withdrawn", "never sent",  "spoilt"};
  std::string text = std::to_string(requests_.size()) + " open, " + std::to_string(totals_.requests) +
                     " taken, " + std::to_string(totals_.responses[1]) + " done, " +
                     std::to_string(totals_.responses[2]) + " throttled, " +
                     std::to_string(totals_.responses[3]) + " cancelled, " +
                     std::to_string(totals_.clientsGone) + " left; dispatches:";
  for (std::size_t index = 0; index < kOutcomeNames.size(); ++index)
    if (totals_.attemptOutcomes[index] > 0)
      text += " " + std::to_string(totals_.attemptOutcomes[index]) + " " + kOutcomeNames[index];
  return text + "; " + std::to_string(endpoints_.size()) + " executors known of " +
         std::to_string(lastEndpointNumber_) + ", " + connectionPool_.formatCounts();
}

void RequestRouter::setFinalDeadline(Duration finalDeadline) {
  PADDLETRACK_TABLE("answer_by");
  finalDeadline_ = finalDeadline;
  for (const auto& context : requests_) {
    context->deadline = std::min(context->deadline, finalDeadline);
    for (const auto& attemptContext : context->attemptContexts) {
      if (!attemptContext->attempt.inFlight) continue;
      attemptContext->timesOutAt = std::min(attemptContext->timesOutAt, toTimePoint(finalDeadline));
      attemptContext->sendDeadline = std::min(attemptContext->sendDeadline, attemptContext->timesOutAt);
      attemptContext->timeoutCall.runAt(attemptContext->sendDeadline);
    }
  }
}

void RequestRouter::finishAllRequests() {
  std::vector<Request*> openRequests;
  for (const auto& request : requests_)
    if (!request->finished) openRequests.push_back(request.get());
  runDecision([&] { admissionController_.rejectAll(now(), openRequests); });
  removeFinishedRequests();
}

std::size_t RequestRouter::attemptsInFlight() const {
  std::size_t count = 0;
  for (const auto& request : requests_) count += static_cast<std::size_t>(request->inFlightCount());
  return count;
}

RequestRouter::AddressLookup RequestRouter::setAddressOverride(
    const std::string& engineId, const std::string& address,
    addresses::AddressTable::ManualOverride manualOverride, Duration duration) {
  const auto found = endpoints_.find(engineId);
  if (found == endpoints_.end()) return AddressLookup::unknownEngine;
  return found->second->addressTable.setOverride(connectionPool_.addressClock(), address, manualOverride,
                                                 duration)
             ? AddressLookup::found
             : AddressLookup::unknownAddress;
}

// ---- what goes out --------------------------------------------------------------------------------------

void RequestRouter::sendAttempt(Attempt& attempt) {
  if (recorder_) recorder_->onAttemptStarted(attempt);
  PADDLETRACK_TABLE("dispatches");
  RequestContext& context = requestContextOf(*attempt.request);
  context.attemptContexts.push_back(std::make_unique<AttemptContext>(context, attempt, scheduler_));
  AttemptContext& attemptContext = *context.attemptContexts.back();
  attemptContext.timeoutCall.setAction([this, &attemptContext] { onAttemptTimeout(attemptContext); });
  attemptContext.timesOutAt = toTimePoint(attempt.timesOutAt);
  attemptContext.sendDeadline = sendDeadline(attempt);
  attemptContext.timeoutCall.runAt(attemptContext.sendDeadline);
  attemptContext.incarnation = static_cast<EngineEndpoint*>(attempt.engine)->incarnation;
  ++static_cast<EngineEndpoint*>(attempt.engine)->referencedAttempts;
  ++static_cast<EngineEndpoint*>(attempt.engine)->attemptsSent;
  if (placementBiasSource_)
    placementBiasSource_->onAttemptStarted(context.dataSet, *static_cast<EngineEndpoint*>(attempt.engine));
  connectionPool_.sendAttempt(attemptContext);
}

// The window in which the module repeats a keyed job, as it holds it: from when the first may have run.
transport::TimePoint RequestRouter::sendDeadline(const Attempt& attempt) const {
  Duration deadline = attempt.timesOutAt;
  const RequestClass& requestClass = *attempt.request->requestClass;
  if (requestClass.idempotency == Idempotency::idempotentByKey)
    for (const auto& item : attempt.request->attempts)
      if (item.get() != &attempt && !item->provenNotExecuted)
        deadline = std::min(deadline,
                            item->sentAt + requestClass.idempotencyWindow - config_.deployment.tickDuration);
  return toTimePoint(deadline);
}

void RequestRouter::assignResources(Request& request, double grantMb, int priority) {
  RequestContext& context = requestContextOf(request);
  context.grantMb = grantMb;
  if (std::exchange(context.priority, priority) == priority) return;
  for (const auto& attemptContext : context.attemptContexts)
    if (attemptContext->attempt.inFlight) connectionPool_.updatePriority(*attemptContext);
}

void RequestRouter::reject(Request& request, Duration retryAfter) {
  requestContextOf(request).retryAfter = retryAfter;
  respond(requestContextOf(request), RequestContext::ResponseKind::rejected);
}

void RequestRouter::fail(Request& request) {
  respond(requestContextOf(request), RequestContext::ResponseKind::failed);
}

void RequestRouter::respond(RequestContext& context, RequestContext::ResponseKind kind) {
  markForCleanup(context);
  context.responseKind = kind;
  if (recorder_)
    recorder_->onRequestFinished(now(), context, kind == RequestContext::ResponseKind::succeeded);
  ++totals_.responses[static_cast<std::size_t>(kind)];
  if (RequestContext::ResponseListener* listener = std::exchange(context.responseListener, nullptr))
    listener->onResponseReady(context);
  if (responseCallback_) responseCallback_(context);
  context.pages.clear();
}

// An end that is already on its way to be told stays what it is.
void RequestRouter::cancel(Attempt& attempt) {
  AttemptContext& attemptContext = *requestContextOf(*attempt.request).attemptContexts[attempt.index];
  if (!attemptContext.attempt.inFlight) return;
  if (std::find(cancelledAttempts_.begin(), cancelledAttempts_.end(), &attemptContext) !=
      cancelledAttempts_.end())
    return;
  attemptContext.recalled = connectionPool_.recallAttempt(attemptContext);
  if (!attemptContext.recalled) connectionPool_.abandonAttempt(attemptContext);
  attemptContext.timeoutCall.cancel();
  cancelledAttempts_.push_back(&attemptContext);
  reportCancelledCall_.runSoon();
}

bool RequestRouter::recall(Attempt& attempt) {
  AttemptContext& attemptContext = *requestContextOf(*attempt.request).attemptContexts[attempt.index];
  if (!attempt.inFlight || std::find(cancelledAttempts_.begin(), cancelledAttempts_.end(), &attemptContext) !=
                               cancelledAttempts_.end())
    return false;
  if (!connectionPool_.recallAttempt(attemptContext)) return false;
  attemptContext.recalled = true;
  attemptContext.timeoutCall.cancel();
  cancelledAttempts_.push_back(&attemptContext);
  reportCancelledCall_.runSoon();
  return true;
}

void RequestRouter::scheduleTimer(Duration timerAt) { wakeCall_.runAt(toTimePoint(timerAt)); }

void RequestRouter::sendHealthCheck(Engine&) {
  logger_.info("unsupported", "these pages have no message for probes");
}

void RequestRouter::sendPeerReport(const std::vector<PeerEngineLoad>&) {
  logger_.info("unsupported", "these pages have no message for peers");
}

// The change log is always followed; what may fail is told in its time.
void RequestRouter::requestEndpoints() { discoveryRequested_ = true; }

void RequestRouter::traceDecision(const Request& request, const std::vector<Candidate>& candidates) {
  if (recorder_) recorder_->onDecision(request, candidates);
}

void RequestRouter::enableRecording(counterfactual::DecisionRecorder& recorder) {
  recorder_ = &recorder;
  admissionController_.enableDecisionTrace(true);
}

void RequestRouter::log(std::string_view text) { logger_.info("module", std::string(text)); }

// ---- lives ----------------------------------------------------------------------------------------------

void RequestRouter::markForCleanup(RequestContext& context) {
  if (!std::exchange(context.markedForCleanup, true)) cleanupCandidates_.push_back(&context);
}

void RequestRouter::removeFinishedRequests() {
  for (RequestContext* requestContext : std::exchange(cleanupCandidates_, {})) {
    requestContext->markedForCleanup = false;
    if (!requestContext->finished) continue;
    // Where nothing may be withdrawn a dispatch stays out, but one that has not left does not leave any more.
    for (const auto& attemptContext : requestContext->attemptContexts) recall(attemptContext->attempt);
    if (requestContext->inFlightCount() > 0) continue;
    openRequestIds_.erase(requestContext->requestId);
    for (const auto& attemptContext : requestContext->attemptContexts)
      --static_cast<EngineEndpoint*>(attemptContext->attempt.engine)->referencedAttempts;
    requests_.erase(requestContext->position);
  }
  std::erase_if(removedEndpoints_, [this](EngineEndpoint* removedEndpoint) {
    if (removedEndpoint->referencedAttempts > 0 || !removedEndpoint->connections.empty()) return false;
    runDecision([&] { admissionController_.forgetEngine(*removedEndpoint); });
    endpoints_.erase(std::string(removedEndpoint->id));
    return true;
  });
}

}  // namespace paddletrack::routing
