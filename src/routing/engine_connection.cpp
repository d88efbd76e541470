#include "routing/engine_connection.hpp"

#include <algorithm>
#include <chrono>
#include <new>
#include <utility>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {
namespace {

using addresses::ConnectOutcome;
using protocol::resp::AnswerKind;
using transport::Connection;

constexpr std::uint32_t kMaxPages = 64;

// The following are multiples of the connect timeout.
constexpr int kQuietConnectTimeouts = 1;  // Time without input before an engine with attempts is pinged.
constexpr int kDeadConnectTimeouts = 2;   // Longest unanswered ping while a newer connection responds.
constexpr int kPartialMessageConnectTimeouts = 1;  // Longest time for the rest of a message.

}  // namespace

bool canSend(const AttemptContext& attemptContext, transport::TimePoint now) {
  const auto& endpoint = *static_cast<const EngineEndpoint*>(attemptContext.attempt.engine);
  return addresses::canSend({attemptContext.requestContext.finished,
                             endpoint.available && endpoint.incarnation == attemptContext.incarnation,
                             std::chrono::duration_cast<Duration>(attemptContext.sendDeadline - now)});
}

// ---- State ----------------------------------------------------------------------------------------------

bool EngineConnection::isRetiring() const {
  return state_ == State::retiring || state_ == State::retiringSuspect ||
         state_ == State::retiringWhileConnecting;
}

void EngineConnection::enterSuspectState() {
  state_ = isRetiring() ? State::retiringSuspect : State::suspect;
}

void EngineConnection::leaveSuspectState() {
  if (isSuspect()) state_ = isRetiring() ? State::retiring : State::ready;
}

void EngineConnection::markFaulted() {
  if (hasFaulted_) return;
  hasFaulted_ = true;
  ++context_.faultedConnections;
}

bool EngineConnection::hasQueuedNonIdempotentAttempt() const {
  return std::any_of(queuedAttempts_.begin(), queuedAttempts_.end(), [](const AttemptContext* queuedAttempt) {
    return queuedAttempt->requestContext.requestClass->idempotency == Idempotency::notIdempotent;
  });
}

bool EngineConnection::canCarry(const AttemptContext& attemptContext, std::size_t maxAttempts) const {
  if (isRetiring() || isSuspect() || attemptCount() >= maxAttempts) return false;
  // If the rest of a partial message does not arrive, the connection closes with all attempts on it.
  if (attemptCount() == 0 && partialMessageSince_) return false;
  // A request id is used only once on a connection: the response to an earlier, abandoned attempt of the same
  // request may still arrive.
  if (openAttempts_.count(attemptContext.requestContext.requestId) > 0) return false;
  const auto& siblings = attemptContext.requestContext.attemptContexts;
  return std::none_of(siblings.begin(), siblings.end(), [&](const auto& sibling) {
    return sibling.get() != &attemptContext && sibling->connectionSerial == serial_;
  });
}

void EngineConnection::retire() {
  switch (state_) {
    case State::connecting:
      state_ = State::retiringWhileConnecting;
      break;
    case State::ready:
      state_ = State::retiring;
      break;
    case State::suspect:
      state_ = State::retiringSuspect;
      break;
    case State::retiringWhileConnecting:
    case State::retiring:
    case State::retiringSuspect:
    case State::closed:
      break;
  }
  if (stream_ && attemptCount() == 0) stream_->shutDown();
}

// ---- Attempts -------------------------------------------------------------------------------------------

void EngineConnection::submit(AttemptContext& attemptContext) {
  attemptContext.connection = this;
  attemptContext.connectionSerial = serial_;
  if (isConnecting()) {
    queuedAttempts_.push_back(&attemptContext);
  } else if (context_.scheduler.isRecovering()) {
    queuedAttempts_.push_back(&attemptContext);
    // Timers run once the recovery has ended.
    writeAfterRecoveryCall_.runAt(context_.scheduler.now());
  } else {
    writeAttempt(attemptContext);
  }
}

void EngineConnection::writeAttempt(AttemptContext& attemptContext) {
  PADDLETRACK_TABLE("written");
  const RequestContext& request = attemptContext.requestContext;
  const auto timeLeft =
      std::chrono::ceil<std::chrono::milliseconds>(attemptContext.timesOutAt - context_.scheduler.now());
  protocol::resp::AskOptions options;
  options.timeoutMs = std::max<std::int64_t>(1, timeLeft.count());
  options.memoryGrantMb = request.grantMb;
  options.priority = request.priority;
  options.idempotencyKey = request.idempotencyKey;
  openAttempts_.emplace(request.requestId, &attemptContext);
  lastUsedAt_ = context_.scheduler.now();
  const BufferSlice head(protocol::resp::encodeAskHead(request.requestId, request.requestClassName, options,
                                                       request.statement.size()));
  const BufferSlice tail = BufferSlice::fromStatic(protocol::resp::kAskTail);
  // The offset is computed before sending: a stream that is shut down, or whose memory budget is exhausted,
  // queues nothing, and then the attempt must never count as fully written.
  attemptContext.streamEndOffset =
      stream_->queuedBytes() + head.size() + request.statement.size() + tail.size();
  stream_->send({head, request.statement, tail});
}

bool EngineConnection::recall(AttemptContext& attemptContext) {
  if (std::erase(queuedAttempts_, &attemptContext) > 0) {
    attemptContext.connection = nullptr;
    return true;
  }
  if (attemptCount() > 1 || attemptContext.streamEndOffset <= stream_->writtenBytes()) return false;
  // The attempt is partly written and the only one on this connection: closing the stream ensures that the
  // engine never receives the rest.
  openAttempts_.clear();
  attemptContext.connection = nullptr;
  retire();
  return true;
}

void EngineConnection::abandon(AttemptContext& attemptContext) {
  attemptContext.connection = nullptr;
  const std::string& requestId = attemptContext.requestContext.requestId;
  const bool wasOpen = openAttempts_.erase(requestId) > 0;
  if (!wasOpen) return;
  const bool hasResult = attemptContext.expectedPages > 0;
  stream_->send({BufferSlice(hasResult ? protocol::resp::encodeFree(requestId)
                                       : protocol::resp::encodeQuit(requestId))});
}

void EngineConnection::updatePriority(const AttemptContext& attemptContext) {
  const RequestContext& request = attemptContext.requestContext;
  const bool isWritten = attemptContext.streamEndOffset > 0;
  const bool hasResult = attemptContext.expectedPages > 0;
  if (!isWritten || hasResult || !request.priority) return;
  stream_->send({BufferSlice(protocol::resp::encodePriority(request.requestId, *request.priority))});
}

void EngineConnection::finishAttempt(AttemptContext& attemptContext, AttemptOutcome outcome) {
  openAttempts_.erase(attemptContext.requestContext.requestId);
  attemptContext.connection = nullptr;
  context_.attemptListener.onAttemptFinished(attemptContext, outcome);
}

// ---- Life of the connection -----------------------------------------------------------------------------

void EngineConnection::onConnected(ConnectedStream connected) {
  addressName_ = std::move(connected.addressName);
  connectTime_ = connected.connectTime;
  stream_ = std::move(connected.stream);
  if (connected.hasInput) onBytesReceived();
}

transport::Task<> EngineConnection::serve() {
  onEstablished();
  bool hasReadAgain = false;
  for (;;) {
    readResponses();
    if (attemptCount() == 0 && isRetiring()) co_return;
    Duration quietTimeout = context_.connectTimeout * kQuietConnectTimeouts;
    if (!isMessageOverdue()) {
      hasReadAgain = false;
    } else if (hasReadAgain) {
      failOverdueMessage();
    } else {
      // This process may have been suspended: input that the kernel holds by the next poll still counts.
      hasReadAgain = true;
      co_await context_.scheduler.yield();
      quietTimeout = Duration{0};
    }
    const bool hasInput = co_await stream_->receive(context_.scheduler.now() + quietTimeout);
    if (hasInput) {
      onBytesReceived();
      continue;
    }
    if (stream_->readEnd() != Connection::ReadEnd::none || stream_->input().isFull()) co_return;
    if (onQuietPeriod() == IdleAction::close) co_return;
  }
}

void EngineConnection::onEstablished() {
  state_ = isRetiring() ? State::retiring : State::ready;
  if (context_.scheduler.isRecovering())
    writeAfterRecoveryCall_.runAt(context_.scheduler.now());
  else
    sendQueuedAttempts();
}

void EngineConnection::writeAfterRecovery() {
  try {
    sendQueuedAttempts();
  } catch (const std::bad_alloc&) {
    markFaulted();
    stream_->shutDown();  // serve() ends, and the pool continues with the attempts.
  }
  if (attemptCount() == 0 && isRetiring()) stream_->shutDown();
}

// Writes the queued attempts that may still be sent, and reports the others.
void EngineConnection::sendQueuedAttempts() {
  writeQueuedAttempts();
  const std::vector<AttemptContext*> unsendable = std::exchange(queuedAttempts_, {});
  for (AttemptContext* attemptContext : unsendable) attemptContext->connection = nullptr;
  for (AttemptContext* attemptContext : unsendable)
    context_.attemptListener.onAttemptFinished(*attemptContext, AttemptOutcome::neverSent);
}

// Attempts that may no longer be sent stay in the queue. An attempt whose write failed before any of it was
// queued on the stream returns to the queue, so that it counts as never executed.
void EngineConnection::writeQueuedAttempts() {
  std::size_t index = 0;
  while (index < queuedAttempts_.size()) {
    AttemptContext& attemptContext = *queuedAttempts_[index];
    if (!canSend(attemptContext, context_.scheduler.now())) {
      ++index;
      continue;
    }
    queuedAttempts_.erase(queuedAttempts_.begin() + static_cast<std::ptrdiff_t>(index));
    try {
      writeAttempt(attemptContext);
    } catch (const std::bad_alloc&) {
      if (openAttempts_.count(attemptContext.requestContext.requestId) == 0)
        queuedAttempts_.push_back(&attemptContext);
      throw;
    }
  }
}

void EngineConnection::onBytesReceived() {
  pingSentAt_.reset();
  leaveSuspectState();
  shutDownDeadPeers();
}

// If an engine responds on this connection while an older one stays silent, the older one is dead: the engine
// has restarted or the network path has failed. An engine that responds on no connection may only be slow.
void EngineConnection::shutDownDeadPeers() {
  for (EngineConnection* peer : endpoint_.connections) {
    const bool isOlderAndSilent = peer->isSuspect() && peer->pingSentAt_ && peer->serial_ < serial_;
    if (!isOlderAndSilent) continue;
    const auto silentTime = context_.scheduler.now() - *peer->pingSentAt_;
    if (silentTime <= context_.connectTimeout * kDeadConnectTimeouts) continue;
    peer->markFaulted();
    peer->stream_->shutDown();
  }
}

// Called when no bytes have arrived for the quiet timeout. An idle connection closes before its engine closes
// it, because the engine's close would race with a new attempt. A connection with attempts pings its engine.
EngineConnection::IdleAction EngineConnection::onQuietPeriod() {
  if (attemptCount() == 0) {
    if (!isSuspect()) pingSentAt_.reset();
    const bool isFresh = context_.scheduler.now() - lastUsedAt_ < context_.idleTimeout / 2;
    return isFresh ? IdleAction::keep : IdleAction::close;
  }
  if (hasStalledWrite()) {
    recordOutcome(ConnectOutcome::unresponsive);
    return IdleAction::close;
  }
  checkPing();
  return IdleAction::keep;
}

// Whether the kernel has accepted no bytes of a partly written attempt since the last check. Such an attempt
// was not executed, so it can be rerouted to another address.
bool EngineConnection::hasStalledWrite() {
  const std::uint64_t writtenBytes = stream_->writtenBytes();
  const bool isWritePending = std::any_of(
      openAttempts_.begin(), openAttempts_.end(),
      [&](const auto& openAttempt) { return openAttempt.second->streamEndOffset > writtenBytes; });
  if (isWritePending && stalledAtByte_ == writtenBytes) return true;
  stalledAtByte_ = isWritePending ? std::optional(writtenBytes) : std::nullopt;
  return false;
}

void EngineConnection::checkPing() {
  if (!pingSentAt_) {
    pingSentAt_ = context_.scheduler.now();
    stream_->send({BufferSlice(protocol::resp::encodeNoop("is" + std::to_string(serial_)))});
    return;
  }
  if (isSuspect()) return;
  recordOutcome(ConnectOutcome::unresponsive);
  context_.logger.warning(
      "silent",
      Error(ErrorKind::engineUnresponsive, "engine " + endpoint_.id, "connection does not respond to a ping"),
      {{"engine", endpoint_.id}, {"address", addressName_}});
  enterSuspectState();
}

bool EngineConnection::wasResetEarly() const {
  return stream_ && !hasResponded_ && !openAttempts_.empty() && !isSuspect();
}

std::vector<AttemptDisposition> EngineConnection::close() {
  const std::uint64_t writtenBytes = stream_ ? stream_->writtenBytes() : 0;
  const std::size_t addressCount = endpoint_.addressTable.entries().size();
  std::vector<AttemptDisposition> dispositions;
  for (AttemptContext* queuedAttempt : queuedAttempts_)
    dispositions.push_back({queuedAttempt, addresses::Disposition::unreachable});
  for (const auto& [requestId, attemptContext] : openAttempts_) {
    const transport::TimePoint now = context_.scheduler.now();
    addresses::InterruptedAttempt interrupted;
    interrupted.fullyWritten = attemptContext->streamEndOffset <= writtenBytes;
    interrupted.connectionFaulted = hasFaulted_;
    interrupted.canBeSent = canSend(*attemptContext, now);
    interrupted.rerouteCount = attemptContext->rerouteCount;
    interrupted.timeLeft = std::chrono::duration_cast<Duration>(attemptContext->sendDeadline - now);
    dispositions.push_back(
        {attemptContext,
         addresses::classifyInterruption(interrupted, addressCount, context_.addressBook.connectOptions())});
  }
  for (const AttemptDisposition& entry : dispositions) entry.attemptContext->connection = nullptr;
  state_ = State::closed;
  return dispositions;
}

// ---- Responses ------------------------------------------------------------------------------------------

bool EngineConnection::isMessageOverdue() const {
  return partialMessageSince_ && context_.scheduler.now() - *partialMessageSince_ >
                                     context_.connectTimeout * kPartialMessageConnectTimeouts;
}

void EngineConnection::failOverdueMessage() {
  recordOutcome(ConnectOutcome::unresponsive);
  throw protocol::ParseError("message still incomplete after the connect timeout");
}

void EngineConnection::readResponses() {
  transport::InputBuffer& input = stream_->input();
  for (;;) {
    const protocol::resp::Array message = protocol::resp::parseArray(input.view());
    const bool isComplete = message.size > 0;
    if (!isComplete) {
      if (message.requiredSize > 0) announceMessage(message.requiredSize);
      if (!partialMessageSince_ && !input.view().empty()) partialMessageSince_ = context_.scheduler.now();
      return;
    }
    partialMessageSince_.reset();
    onResponse(protocol::resp::parseAnswer(message));
    input.consume(message.size);
  }
}

void EngineConnection::announceMessage(std::size_t size) {
  transport::InputBuffer& input = stream_->input();
  input.expectSize(size);
  if (size > input.maxSize()) input.extendLimit(size);
}

void EngineConnection::onResponse(const protocol::resp::Answer& answer) {
  if (answer.kind == AnswerKind::alive) return;
  if (answer.kind == AnswerKind::unknown) {
    context_.logger.info("unsupported", "dropped an engine message of unknown type");
    return;
  }
  const auto found = openAttempts_.find(std::string(answer.id));
  if (found == openAttempts_.end()) return;  // The attempt was abandoned.
  AttemptContext& attemptContext = *found->second;
  if (!std::exchange(hasResponded_, true)) recordOutcome(ConnectOutcome::succeeded, connectTime_);
  const bool hasResult = attemptContext.expectedPages > 0;
  switch (answer.kind) {
    case AnswerKind::overloaded:
    case AnswerKind::timedOut:
      // After a result this is a second response: the first one counts, and proves that the attempt ran.
      if (!hasResult) finishAttempt(attemptContext, AttemptOutcome::rejected);
      return;
    case AnswerKind::ok:
      if (hasResult) return;  // A duplicate.
      onFirstPage(attemptContext, answer);
      break;
    case AnswerKind::chunk:
      if (!hasResult) return;  // A page that precedes its result.
      if (answer.pageNumber < 1 || answer.pageNumber >= attemptContext.expectedPages)
        throw protocol::ParseError("received a page that was not requested");
      if (attemptContext.pages[answer.pageNumber].view().data()) return;  // A duplicate.
      break;
    default:
      finishAttempt(attemptContext, AttemptOutcome::error);
      return;
  }
  storePage(attemptContext, answer);
}

void EngineConnection::onFirstPage(AttemptContext& attemptContext, const protocol::resp::Answer& answer) {
  if (answer.pageCount < 1 || answer.pageCount > kMaxPages)
    throw protocol::ParseError("page count is out of range");
  attemptContext.expectedPages = answer.pageCount;
  attemptContext.pages.resize(answer.pageCount);
  for (std::uint32_t page = 1; page < answer.pageCount; ++page)
    stream_->send({BufferSlice(protocol::resp::encodeNext(attemptContext.requestContext.requestId, page))});
}

void EngineConnection::storePage(AttemptContext& attemptContext, const protocol::resp::Answer& answer) {
  std::size_t resultBytes = answer.body.size();
  for (const BufferSlice& page : attemptContext.pages) resultBytes += page.size();
  if (!protocol::resp::areRowsComplete(answer.body) || resultBytes > protocol::resp::kMaxResultBytes)
    throw protocol::ParseError("page ends within a row, or the result exceeds its size limit");
  if (!context_.memoryBudget.allows(answer.body.size(), transport::MemoryBudget::Purpose::openRequest))
    return dropResult(attemptContext);
  attemptContext.pages[answer.pageNumber] = stream_->input().retain(answer.body);
  ++attemptContext.receivedPages;
  if (attemptContext.receivedPages == attemptContext.expectedPages)
    finishAttempt(attemptContext, AttemptOutcome::completed);
}

// There is no memory for the rest of the result. That is no fault of the engine's.
void EngineConnection::dropResult(AttemptContext& attemptContext) {
  context_.logger.warning("request",
                          Error(ErrorKind::outOfMemory, "engine " + endpoint_.id,
                                "the memory for peers is used up, result dropped"),
                          {{"engine", endpoint_.id}, {"address", addressName_}});
  attemptContext.pages.clear();
  stream_->send({BufferSlice(protocol::resp::encodeFree(attemptContext.requestContext.requestId))});
  finishAttempt(attemptContext, AttemptOutcome::connectionAborted);
}

void EngineConnection::recordOutcome(ConnectOutcome outcome, std::optional<Duration> connectTime) {
  context_.addressBook.recordOutcome(endpoint_, addressName_, outcome, connectTime);
}

}  // namespace paddletrack::routing
