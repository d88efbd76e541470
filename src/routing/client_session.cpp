#include "routing/client_session.hpp"

#include <algorithm>
#include <deque>
#include <new>
#include <utility>

#include "failpoint/failpoint.hpp"
#include "protocol/statement.hpp"
#include "routing/submit_request.hpp"

namespace paddletrack::routing {
namespace {

namespace thrift = protocol::thrift;

constexpr std::size_t kInitialInputBytes = 4UL * 1024;
constexpr std::size_t kMaxLoggedNameBytes = 40;  // Longest logged prefix of a client's name.
constexpr std::size_t kMaxOpenRequests = 32;     // On one connection.
// Queued complete messages; more than the open requests, to leave room for revocations.
constexpr std::size_t kMaxQueuedMessages = kMaxOpenRequests * 8;
// Messages of one client that are handled before other clients are served.
constexpr std::size_t kMessagesPerTurn = kMaxOpenRequests / 4;
// No attempt may start later than 100 ms after its client has gone. If the input is full and the client does
// not read its responses, its revocations can no longer be read, so it is disconnected after half of that
// time.
constexpr std::chrono::milliseconds kInputFullTimeout{50};
// For the same reason no request is accepted if input has been unread for longer than this, because the end
// of the connection can be behind it.
constexpr std::chrono::milliseconds kMaxUndrainedTime{50};
// A client resends a request that crosses the close within 50 ms. Input is read and discarded for twice that
// time, up to the usual size of a client's open requests.
constexpr std::chrono::milliseconds kLingerTimeout{100};
constexpr std::size_t kMaxLingerBytes = 64UL * 1024;
// A connection counts as recently active for this fraction of the message timeout.
constexpr int kRecentActivityDivisor = 8;
// More consecutive invalid requests than this mean that the peer is not a client.
constexpr int kMaxConsecutiveInvalidRequests = 8;

std::size_t inputBytesOf(const ClientLimits& limits) {
  const std::size_t payloadBytes = limits.minInputBytes > 0 ? limits.minInputBytes : limits.maxFrameBytes;
  return thrift::kFrameHeaderBytes + payloadBytes;
}

bool isCall(const thrift::Message& message) { return message.type == thrift::MessageType::call; }

bool isRevocation(const thrift::Message& message) {
  return message.method == "revoke" && (isCall(message) || message.type == thrift::MessageType::oneway);
}

std::string encodeRejection(std::int32_t sequenceId, Duration retryAfter) {
  const auto retryAfterMs = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
  return thrift::encodeRejection(sequenceId, retryAfterMs > 0 ? std::optional(retryAfterMs) : std::nullopt);
}

}  // namespace

ClientSession::ClientSession(ClientSessionEnvironment& environment,
                             std::unique_ptr<transport::Descriptor> acceptedSocket)
    : environment_(environment),
      connection_(environment.scheduler, std::move(acceptedSocket), kInitialInputBytes,
                  inputBytesOf(environment.limits), environment.memoryBudget),
      receivedMessages_(connection_.input(), environment.memoryBudget,
                        {kMaxQueuedMessages, environment.limits.maxFrameBytes}) {
  position_ = environment_.sessions.add(*this);
  ++environment_.counts.accepted;
}

ClientSession::~ClientSession() {
  abandonAllRequests();
  if (state_ == State::lingering)
    environment_.sessions.removeLingering(position_);
  else
    environment_.sessions.removeActive(position_);
}

// ---- States ---------------------------------------------------------------------------------------------

transport::Task<> ClientSession::run() {
  lastActivityAt_ = now();
  while (state_ != State::ended) {
    if (updateBackedUp()) {
      state_ = State::backedUp;
      const bool wasActive = co_await connection_.waitForActivity(backedUpDeadline());
      onBackedUpWaitFinished(wasActive);
      if (state_ == State::ended) break;
    }
    const bool hasInput = co_await connection_.receive(receivedMessages_.empty() ? receiveDeadline() : now());
    queueReceivedMessages();
    rejectUnreceivableMessage();
    // No message is handled after the client has disconnected.
    if (connection_.isHungUp()) break;
    if (hasMoreToRead()) continue;
    if (!hasInput && receivedMessages_.empty() && !connection_.input().isFull())
      onNothingReceived();
    else
      handleQueuedMessages();
  }
  state_ = State::ended;
}

transport::Task<> ClientSession::linger() {
  state_ = State::ended;
  abandonAllRequests();
  if (connection_.isHungUp()) co_return;
  state_ = State::lingering;
  environment_.sessions.moveToLingering(position_);
  co_await connection_.linger(now() + kLingerTimeout, kMaxLingerBytes);
}

void ClientSession::requestClose() {
  closeRequested_ = true;
  beginLastRead();
}

void ClientSession::closeIfIdle() {
  if (!closeRequested_ && openRequests_.empty() && receivedMessages_.empty() && !isIncoming()) requestClose();
}

void ClientSession::beginLastRead() {
  state_ = State::closing;
  connection_.forceRead();
}

void ClientSession::end(std::uint64_t& reasonCount) {
  ++reasonCount;
  state_ = State::ended;
}

bool ClientSession::isEvictable() const {
  return openRequests_.empty() && connection_.unsentBytes() == 0 && !closeRequested_;
}

ClientSession::RetentionRank ClientSession::retentionRank() const {
  return {!isKnownClient_ && isRecentlyActive(), isKnownClient_, lastActivityAt_};
}

// ---- Backed up ------------------------------------------------------------------------------------------

// For a client, a request is open until its response is complete, so requests with unwritten responses count
// as open. Below that limit a message waits only while the input has room for more. Returns whether the first
// queued message must wait, and records since when.
bool ClientSession::updateBackedUp() {
  if (receivedMessages_.empty() || receivedMessages_.front().handled || connection_.unsentBytes() == 0)
    return false;
  unwrittenResponses_.removeWritten(connection_.writtenBytes());
  const bool hasTooManyUnwritten =
      !unwrittenResponses_.empty() && openRequests_.size() + unwrittenResponses_.size() >= kMaxOpenRequests;
  const bool hasTooManyUnsentBytes = connection_.unsentBytes() > environment_.limits.maxUnsentBytes;
  if (!hasTooManyUnwritten && (!hasTooManyUnsentBytes || receivedMessages_.isFull())) return false;
  const transport::TimePoint currentTime = now();
  if (!backedUpSince_) backedUpSince_ = currentTime;
  updateInputFullSince(currentTime);
  return true;
}

void ClientSession::updateInputFullSince(transport::TimePoint currentTime) {
  if (!receivedMessages_.isFull())
    inputFullSince_.reset();
  else if (!inputFullSince_)
    inputFullSince_ = currentTime;
}

transport::TimePoint ClientSession::backedUpDeadline() const {
  return inputFullSince_ ? *inputFullSince_ + kInputFullTimeout
                         : *backedUpSince_ + environment_.limits.idleTimeout;
}

void ClientSession::onBackedUpWaitFinished(bool wasActive) {
  if (!wasActive && now() >= backedUpDeadline()) {
    end(environment_.counts.incomplete);
    return;
  }
  // The listener may have requested the close during the wait.
  if (state_ == State::backedUp) state_ = State::reading;
}

// ---- Reading and closing --------------------------------------------------------------------------------

// The session ends if no complete message has arrived by this time. Single bytes do not extend it. Each open
// request is owed its response, so a session with open requests never ends here, whatever its client sends
// meanwhile: it only looks again after the message timeout.
transport::TimePoint ClientSession::receiveDeadline() const {
  const ClientLimits& limits = environment_.limits;
  if (!openRequests_.empty()) return now() + limits.messageTimeout;
  return lastActivityAt_ + (isAwaitingMessage() ? limits.messageTimeout : limits.idleTimeout);
}

// All available input is read before a message is handled, so that revocations take effect first.
bool ClientSession::hasMoreToRead() const {
  return !connection_.isInputDrained() && !receivedMessages_.isFull();
}

void ClientSession::onNothingReceived() {
  const bool wasLastRead = state_ == State::closing;
  state_ = State::reading;
  ClientCounts& counts = environment_.counts;
  if (closeRequested_ && wasLastRead) {
    // A session that closes because the listener closes does not count as evicted.
    if (!environment_.isClosing) ++counts.evicted;
    state_ = State::ended;
    return;
  }
  if (!closeRequested_ && now() < receiveDeadline()) return;
  if (wasLastRead)
    end(isAwaitingMessage() ? counts.incomplete : counts.idle);
  else
    beginLastRead();
}

// Handles a limited number of messages, so that a client with many messages does not delay other clients.
void ClientSession::handleQueuedMessages() {
  // A session that received data while closing stays open; the listener must choose another.
  if (std::exchange(closeRequested_, false)) environment_.sessions.notifySlotMayBeFree();
  state_ = State::reading;
  for (std::size_t handledCount = 0; handledCount < kMessagesPerTurn; ++handledCount) {
    if (receivedMessages_.empty() || updateBackedUp()) return;
    const ReceivedMessageQueue::Entry entry = receivedMessages_.popFront();
    currentArrivedAt_ = entry.earliestArrival;
    if (!entry.handled) handlePayload(receivedMessages_.payload(entry));
    receivedMessages_.consume(entry);
    backedUpSince_.reset();
    inputFullSince_.reset();
  }
}

// ---- Messages on arrival --------------------------------------------------------------------------------

void ClientSession::queueReceivedMessages() {
  const transport::TimePoint readAt = now();
  const transport::TimePoint earliestArrival = environment_.scheduler.earliestArrival();
  while (const std::optional<thrift::Message> message = receivedMessages_.queueNext(earliestArrival)) {
    if (isRevocation(*message)) revokeOnArrival(*message);
    hasPartialMessage_ = false;
    lastActivityAt_ = readAt;
  }
  updateUndrainedSince();
  const bool hasPartial = receivedMessages_.hasUnqueuedInput();
  if (hasPartial && !hasPartialMessage_) lastActivityAt_ = readAt;
  hasPartialMessage_ = hasPartial;
}

// Answers a message that cannot be received, so that the requests that are open on the connection do not end
// with it. Its request has not been accepted, so the client may send it again.
void ClientSession::rejectUnreceivableMessage() {
  using DiscardedMessage = ReceivedMessageQueue::DiscardedMessage;
  const std::optional<DiscardedMessage> discarded = receivedMessages_.discardUnreceivable();
  if (!discarded) return;
  const std::string length = std::to_string(discarded->payloadLength) + " bytes";
  const protocol::ParseError error("frame too long: " + length + ", at most " +
                                   std::to_string(environment_.limits.maxFrameBytes) + " are allowed");
  if (!isCall(discarded->header) || openRequests_.contains(discarded->header.sequence)) throw error;
  currentRequestId_ = {};
  currentRequestClass_ = {};
  const bool isSubmit = discarded->header.method == "submit";
  if (discarded->reason == DiscardedMessage::Reason::tooLong || !isSubmit) {
    if (!canReportInvalidMessage(discarded->header)) throw error;
    reportInvalidMessage(discarded->header, error);
    return;
  }
  environment_.logger.warning(
      "request", Error(ErrorKind::outOfMemory, "request", "no memory for " + length + ", rejected"));
  sendResponse(discarded->header.sequence, thrift::encodeRejection(discarded->header.sequence, std::nullopt));
}

void ClientSession::revokeOnArrival(const thrift::Message& message) {
  try {
    const std::int32_t sequenceId = thrift::decodeRevoke(message.arguments);
    receivedMessages_.markLastHandled();
    abandonRequest(sequenceId);
    unwrittenResponses_.drop(sequenceId);
    receivedMessages_.markRequestHandled(sequenceId);
  } catch (const protocol::ParseError&) {
    // The message stays in the queue; its error is reported when it is handled.
  }
}

bool ClientSession::isRecentlyActive() const {
  return now() - lastActivityAt_ < environment_.limits.messageTimeout / kRecentActivityDivisor;
}

// ---- Handling of queued messages ------------------------------------------------------------------------

void ClientSession::handlePayload(std::string_view payload) {
  const thrift::Message message = thrift::decodeMessage(payload);
  currentRequestId_ = {};
  currentRequestClass_ = {};
  try {
    handleMessage(message);
  } catch (const protocol::ParseError& error) {
    if (!canReportInvalidMessage(message)) throw;
    reportInvalidMessage(message, error);
  }
}

void ClientSession::handleMessage(const thrift::Message& message) {
  if (isRevocation(message))
    abandonRequest(thrift::decodeRevoke(message.arguments));
  else if (!isCall(message))
    throw protocol::ParseError("unexpected message type, expected a call");
  else if (message.method == "submit")
    handleSubmit(message);
  else if (message.method == "heartbeat")
    handleHeartbeat(message);
  else
    sendResponse(message.sequence,
                 thrift::encodeException(message.method, message.sequence,
                                         thrift::ExceptionCode::unknownMethod, "unknown method"));
}

void ClientSession::handleHeartbeat(const thrift::Message& message) {
  isKnownClient_ = true;
  const bool isInService = !environment_.serviceGate || environment_.serviceGate->onHeartbeat();
  const bool isHealthy = isInService && environment_.router.isReady();
  sendResponse(message.sequence, thrift::encodeHeartbeatReply(message.sequence, isHealthy));
}

void ClientSession::handleSubmit(const thrift::Message& message) {
  try {
    submitRequest(message);
  } catch (const std::bad_alloc&) {
    // No attempt has started, so the client may retry.
    openRequests_.erase(message.sequence);
    environment_.logger.warning("request",
                                Error(ErrorKind::outOfMemory, "request", "out of memory, rejected"));
    sendResponse(message.sequence, thrift::encodeRejection(message.sequence, std::nullopt));
  }
}

void ClientSession::submitRequest(const thrift::Message& message) {
  if (openRequests_.contains(message.sequence))
    throw protocol::ParseError("a sequence number that is in use");
  if (openRequests_.size() >= kMaxOpenRequests)
    throw protocol::ParseError("too many open requests on a connection");
  std::unique_ptr<RequestContext> context = createRequest(message);
  if (rejectIfUnavailable(message.sequence)) return;
  isKnownClient_ = true;
  consecutiveInvalidRequests_ = 0;
  context->responseListener = this;
  PADDLETRACK_TABLE("open");
  openRequests_.emplace(message.sequence, context.get());
  environment_.router.acceptRequest(std::move(context));
}

std::unique_ptr<RequestContext> ClientSession::createRequest(const thrift::Message& message) {
  const thrift::SubmitRequest submission = thrift::decodeSubmit(message.arguments);
  currentRequestId_ = submission.reference;
  currentRequestClass_ = submission.requestClass;
  PADDLETRACK_TABLE("exchange");
  auto context = std::make_unique<RequestContext>();
  context->id = ++environment_.lastRequestNumber;
  // The client's timeout counts from the arrival of the message, including its time in the socket and in the
  // queue.
  const auto waitedFor = std::chrono::duration_cast<Duration>(now() - currentArrivedAt_);
  fillRequestContext(*context, submission, environment_.router, environment_.router.now() - waitedFor);
  context->statement = connection_.input().retain(submission.statement);
  context->sequenceId = message.sequence;
  return context;
}

void ClientSession::updateUndrainedSince() {
  if (connection_.isInputDrained())
    undrainedSince_.reset();
  else if (!undrainedSince_)
    undrainedSince_ = environment_.scheduler.earliestArrival();
}

// A close is visible only when all input before it was read. If more is unread than the buffer can hold, the
// client may have left after any message since the input was drained.
bool ClientSession::mayHaveLeft() const {
  return undrainedSince_ && now() - *undrainedSince_ > kMaxUndrainedTime;
}

// Rejects a valid request that this process does not accept now. No attempt has started, so the client may
// retry.
bool ClientSession::rejectIfUnavailable(std::int32_t sequenceId) {
  if (environment_.serviceGate) {
    if (const std::optional<Duration> retryAfter = environment_.serviceGate->checkRejection()) {
      isKnownClient_ = true;
      sendRejection(sequenceId, *retryAfter);
      return true;
    }
  }
  if (!environment_.router.isFull() && !mayHaveLeft()) return false;
  sendResponse(sequenceId, thrift::encodeRejection(sequenceId, std::nullopt));
  return true;
}

bool ClientSession::canReportInvalidMessage(const thrift::Message& message) {
  // The client could not distinguish the error from the response to its open request.
  if (!isCall(message) || openRequests_.contains(message.sequence)) return false;
  ++consecutiveInvalidRequests_;
  return consecutiveInvalidRequests_ <= kMaxConsecutiveInvalidRequests;
}

void ClientSession::reportInvalidMessage(const thrift::Message& message, const protocol::ParseError& error) {
  ++environment_.counts.invalidRequests;
  environment_.logger.warning(
      "request", Error(ErrorKind::invalidRequest, error.context(), error.message()),
      {{"job", std::string(currentRequestId_.substr(0, kMaxLoggedNameBytes))},
       {"reservation_type", std::string(currentRequestClass_.substr(0, kMaxLoggedNameBytes))}},
      "request not taken: ");
  sendResponse(message.sequence, thrift::encodeException(message.method, message.sequence,
                                                         thrift::ExceptionCode::protocolError, error.what()));
}

// ---- Open requests and their responses ------------------------------------------------------------------

void ClientSession::abandonRequest(std::int32_t sequenceId) {
  const auto found = openRequests_.find(sequenceId);
  if (found == openRequests_.end()) return;
  RequestContext& abandoned = *found->second;
  openRequests_.erase(found);
  environment_.router.onClientGone(abandoned);
}

void ClientSession::abandonAllRequests() {
  while (!openRequests_.empty()) abandonRequest(openRequests_.begin()->first);
}

void ClientSession::onResponseReady(RequestContext& context) {
  openRequests_.erase(context.sequenceId);
  lastActivityAt_ = now();
  try {
    writeResponse(context);
  } catch (const std::bad_alloc&) {
    // The closed connection tells the client that there will be no response.
    connection_.shutDown();
  }
}

void ClientSession::writeResponse(const RequestContext& context) {
  switch (context.responseKind) {
    case RequestContext::ResponseKind::succeeded:
      sendResultPages(context);
      break;
    case RequestContext::ResponseKind::rejected:
      sendRejection(context.sequenceId, context.retryAfter);
      break;
    default:
      sendResponse(context.sequenceId, thrift::encodeFailure(context.sequenceId));
  }
}

void ClientSession::sendResultPages(const RequestContext& context) {
  std::size_t size = 0;
  for (const BufferSlice& page : context.pages) size += page.size();
  std::deque<BufferSlice> slices{BufferSlice(thrift::encodeAnswerHead(context.sequenceId, size))};
  slices.insert(slices.end(), context.pages.begin(), context.pages.end());
  slices.push_back(BufferSlice::fromStatic(thrift::encodeAnswerTail()));
  connection_.send(slices);
  recordUnwritten(context.sequenceId);
}

void ClientSession::sendResponse(std::int32_t sequenceId, std::string frame) {
  connection_.send({BufferSlice(std::move(frame))});
  recordUnwritten(sequenceId);
}

void ClientSession::recordUnwritten(std::int32_t sequenceId) {
  unwrittenResponses_.removeWritten(connection_.writtenBytes());
  unwrittenResponses_.add(sequenceId, connection_.queuedBytes());
}

void ClientSession::sendRejection(std::int32_t sequenceId, Duration retryAfter) {
  sendResponse(sequenceId, encodeRejection(sequenceId, retryAfter));
}

}  // namespace paddletrack::routing
