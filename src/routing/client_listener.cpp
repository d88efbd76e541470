#include "routing/client_listener.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <tuple>
#include <utility>

#include "failpoint/failpoint.hpp"
#include "protocol/statement.hpp"

namespace paddletrack::routing {
namespace {

namespace thrift = protocol::thrift;

constexpr std::size_t kInitialInputBytes = 4 * 1024;
constexpr std::size_t kMaxLoggedNameBytes = 40;       // bytes that a client names things with
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;  // bytes of an idempotency key
constexpr std::size_t kMaxOpenRequests = 32;          // requests on one connection
// Whole messages that are known and not taken: withdrawals come on top of the requests.
constexpr std::size_t kMaxPendingMessages = kMaxOpenRequests * 8;
constexpr std::size_t kMessagesPerTurn =
    kMaxOpenRequests / 4;  // messages that one client has taken before others have a turn
// No dispatch begins later than 100 ms after its client has gone. Who has filled what is read ahead, and does
// not read its answers, could withdraw unseen: it is ended after half of that.
constexpr std::chrono::milliseconds kInputFullTimeout{50};

// A request may be read late and its last answer written late while this process waits for its core: a job's
// time ends so many slacks of the rule before its client's.
constexpr int kDeadlineSlackFactor = 3;

constexpr std::chrono::milliseconds kSlotRetryInterval{20};
// A request that crosses a close within 50 ms is sent again by its client: twice as long is read out, and no
// more bytes than a client's open requests have usually.
constexpr std::chrono::milliseconds kLingerTimeout{100};
constexpr std::size_t kMaxLingerBytes = 64 * 1024;
// In a full house so many of the connections are kept for those that linger, lest each newcomer cut one
// short.
constexpr std::size_t kLingerReserveDivisor = 16;
constexpr int kRecentActivityDivisor =
    8;  // of the time for a whole message: so long a connection counts as just come

// So many requests in a row that can't be used, and the connection is not one of a client.
constexpr int kMaxConsecutiveInvalidRequests = 8;

std::optional<double> parseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// A figure of the request, within what can be meant.
double parseQuantity(std::string_view name, std::string_view text, double max) {
  const std::optional<double> parsed = parseNumber(text);
  if (!parsed || *parsed < 0 || *parsed > max)
    throw protocol::ParseError(std::string(name), "'" + std::string(text.substr(0, 40)) + "' can't be used");
  return *parsed;
}

// It goes to executors as one of their fields, and must not bring others along.
std::string_view validateIdempotencyKey(std::string_view idempotencyKey) {
  if (idempotencyKey.size() > kMaxIdempotencyKeyBytes ||
      std::any_of(idempotencyKey.begin(), idempotencyKey.end(), [](char character) {
        return character <= ' ' || character > '~' || character == ',' || character == '=';
      }))
    throw protocol::ParseError("replay", "it can't be passed on");
  return idempotencyKey;
}

Duration fromMilliseconds(double value) { return Duration{std::llround(value * 1000)}; }

}  // namespace

// One connection of a client. The requests that are open on it when it ends have lost their client.
class ClientListener::ClientSession final : private RequestContext::ResponseListener {
 public:
  ClientSession(ClientListener& clientListener, std::unique_ptr<transport::Descriptor> acceptedSocket)
      : clientListener_(clientListener),
        connection_(clientListener.scheduler_, std::move(acceptedSocket), kInitialInputBytes,
                    thrift::kFrameHeaderBytes + clientListener.limits_.maxFrameBytes,
                    clientListener.outputBudget_) {
    position_ = clientListener_.activeSessions_.insert(clientListener_.activeSessions_.end(), this);
    ++clientListener_.counts_.accepted;
  }
  ~ClientSession() {
    while (!openRequests_.empty()) abandonRequest(openRequests_.begin()->first);
    (isLingering_ ? clientListener_.lingeringSessions_ : clientListener_.activeSessions_).erase(position_);
    clientListener_.slotFreed_.set();
  }

  // What has come is known as soon as it is read, and taken in its order: withdrawals act at once, also on
  // requests that have not been taken. Nothing is taken from a client that has hung up.
  transport::Task<> run() {
    transport::InputBuffer& input = connection_.input();
    lastActivityAt_ = clientListener_.scheduler_.now();
    for (;;) {
      if (isBackpressured()) {
        const bool wasActive = co_await connection_.waitForActivity(backpressureDeadline());
        if (!wasActive && clientListener_.scheduler_.now() >= backpressureDeadline()) {
          ++clientListener_.counts_.incomplete;
          co_return;
        }
      }
      const bool hasInput = co_await connection_.receive(
          pendingMessages_.empty() ? receiveDeadline() : clientListener_.scheduler_.now());
      parseReceivedMessages();
      if (connection_.isHungUp()) co_return;
      if (!connection_.isInputDrained() && !isInputFull()) continue;
      if (!hasInput && pendingMessages_.empty() && !input.isFull()) {
        const bool finalReadDone = std::exchange(finalReadRequested_, false);
        if (isClosing_ && finalReadDone) {
          if (!clientListener_.isClosing_) ++clientListener_.counts_.evicted;
          co_return;
        }
        if (!isClosing_ && clientListener_.scheduler_.now() < receiveDeadline()) continue;
        if (finalReadDone) {
          ++(hasPartialMessage_ || !isKnownClient_ ? clientListener_.counts_.incomplete
                                                   : clientListener_.counts_.idle);
          co_return;
        }
        requestFinalRead();
        continue;
      }
      // What has come in the last moment is served, and its connection stays.
      if (std::exchange(isClosing_, false)) clientListener_.slotFreed_.set();
      finalReadRequested_ = false;
      processPendingMessages();
    }
  }

  // From here on nothing that comes is taken: no answer could reach its client.
  transport::Task<> linger() {
    while (!openRequests_.empty()) abandonRequest(openRequests_.begin()->first);
    if (connection_.isHungUp()) co_return;
    clientListener_.lingeringSessions_.splice(clientListener_.lingeringSessions_.end(),
                                              clientListener_.activeSessions_, position_);
    isLingering_ = true;
    clientListener_.slotFreed_.set();
    co_await connection_.linger(clientListener_.scheduler_.now() + kLingerTimeout, kMaxLingerBytes);
  }

  // With a request open, or an answer not yet written, it is never ended for another.
  std::size_t unsentBytes() const { return connection_.unsentBytes(); }
  bool isEvictable() const { return openRequests_.empty() && connection_.unsentBytes() == 0 && !isClosing_; }
  // What could be missed least, lowest first: one that had time to ask and did not, then one that is idle.
  // One that has just come goes last, else connections that stay for good would keep all others out.
  auto retentionRank() const {
    return std::tuple(!isKnownClient_ && isRecentlyActive(), isKnownClient_, lastActivityAt_);
  }
  // Has shown nothing yet, or not all of a message, and is not late with it.
  bool isIncoming() const { return (hasPartialMessage_ || !isKnownClient_) && isRecentlyActive(); }
  // After a last look at what may have come.
  void beginClosing() {
    isClosing_ = true;
    requestFinalRead();
  }
  void shutDown() { connection_.shutDown(); }
  // The process is to end, and nothing is owed here nor on its way.
  void closeIfIdle() {
    if (!isClosing_ && openRequests_.empty() && pendingMessages_.empty() && !isIncoming()) beginClosing();
  }

 private:
  // A whole message that has come and not had its turn.
  struct PendingMessage {
    std::size_t size = 0;
    std::int32_t sequenceId = 0;
    transport::TimePoint receivedAt{};
    bool handled = false;  // a withdrawal, which acted when it came, or a request that was withdrawn
  };

  // All that has come whole is known from here on; a message that can't be read ends it.
  void parseReceivedMessages() {
    transport::InputBuffer& input = connection_.input();
    const transport::TimePoint now = clientListener_.scheduler_.now();
    while (pendingMessages_.size() < kMaxPendingMessages) {
      const std::string_view unparsed = input.view().substr(parsedBytes_);
      const auto payloadLength = thrift::readFrameLength(unparsed);
      if (!payloadLength) break;
      const std::size_t frameSize = thrift::kFrameHeaderBytes + *payloadLength;
      if (frameSize > input.maxSize())
        throw protocol::ParseError("a frame of " + std::to_string(*payloadLength) + " bytes");
      if (unparsed.size() < frameSize) {
        input.expectSize(parsedBytes_ + frameSize);
        break;
      }
      enqueueMessage(thrift::decodeMessage(unparsed.substr(thrift::kFrameHeaderBytes, *payloadLength)),
                     frameSize, now);
      parsedBytes_ += frameSize;
      hasPartialMessage_ = false;
      lastActivityAt_ = now;
    }
    const bool hasPartial = input.view().size() > parsedBytes_;
    if (hasPartial && !hasPartialMessage_) lastActivityAt_ = now;
    hasPartialMessage_ = hasPartial;
  }

  void enqueueMessage(const thrift::Message& message, std::size_t size, transport::TimePoint now) {
    PADDLETRACK_TABLE("ahead");
    PendingMessage& pending = pendingMessages_.emplace_back(size, message.sequence, now);
    const bool isCall = message.type == thrift::MessageType::call;
    if (message.method == "submit" && isCall) pendingSubmits_[message.sequence] = &pending;
    if (message.method != "revoke" || (!isCall && message.type != thrift::MessageType::oneway)) return;
    try {
      const std::int32_t sequenceId = thrift::decodeRevoke(message.arguments);
      pending.handled = true;
      abandonRequest(sequenceId);
      dropUnwrittenResponse(sequenceId);
      if (const auto found = pendingSubmits_.find(sequenceId); found != pendingSubmits_.end())
        found->second->handled = true;
    } catch (const protocol::ParseError&) {  // it is judged in its turn
    }
  }

  // A turn's worth: one client with much to say does not keep the others waiting.
  void processPendingMessages() {
    transport::InputBuffer& input = connection_.input();
    for (std::size_t processed = 0;
         processed < kMessagesPerTurn && !pendingMessages_.empty() && !isBackpressured(); ++processed) {
      const PendingMessage pending = pendingMessages_.front();
      if (const auto found = pendingSubmits_.find(pending.sequenceId);
          found != pendingSubmits_.end() && found->second == &pendingMessages_.front())
        pendingSubmits_.erase(found);
      pendingMessages_.pop_front();
      currentReceivedAt_ = pending.receivedAt;
      if (!pending.handled)
        handleFrame(input.view().substr(thrift::kFrameHeaderBytes, pending.size - thrift::kFrameHeaderBytes));
      input.consume(pending.size);
      parsedBytes_ -= pending.size;
      backpressuredSince_.reset(), inputFullSince_.reset();
    }
  }

  // No more is known before some of it was taken.
  bool isInputFull() const {
    return connection_.input().isFull() || pendingMessages_.size() >= kMaxPendingMessages;
  }

  // To its client a request is open until it has the answer: of those that are not written there are never
  // more than it may have open. Below that a request waits only while there is room to wait in.
  bool isBackpressured() {
    if (pendingMessages_.empty() || pendingMessages_.front().handled || connection_.unsentBytes() == 0)
      return false;
    while (!unwrittenResponses_.empty() && unwrittenResponses_.front().second <= connection_.writtenBytes())
      unwrittenResponses_.pop_front();
    const bool hasTooManyUnwritten =
        !unwrittenResponses_.empty() && openRequests_.size() + unwrittenResponses_.size() >= kMaxOpenRequests;
    if (!hasTooManyUnwritten &&
        (connection_.unsentBytes() <= clientListener_.limits_.maxUnsentBytes || isInputFull()))
      return false;
    const transport::TimePoint now = clientListener_.scheduler_.now();
    if (!backpressuredSince_) backpressuredSince_ = now;
    if (!isInputFull())
      inputFullSince_.reset();
    else if (!inputFullSince_)
      inputFullSince_ = now;
    return true;
  }
  transport::TimePoint backpressureDeadline() const {
    return inputFullSince_ ? *inputFullSince_ + kInputFullTimeout
                           : *backpressuredSince_ + clientListener_.limits_.idleTimeout;
  }
  void dropUnwrittenResponse(std::int32_t sequenceId) {
    std::erase_if(unwrittenResponses_,
                  [&](const auto& unwrittenResponse) { return unwrittenResponse.first == sequenceId; });
  }
  void recordUnwrittenResponse(std::int32_t sequenceId) {
    unwrittenResponses_.emplace_back(sequenceId, connection_.queuedBytes());
  }

  void requestFinalRead() {
    finalReadRequested_ = true;
    connection_.forceRead();
  }
  bool isRecentlyActive() const {
    return clientListener_.scheduler_.now() - lastActivityAt_ <
           clientListener_.limits_.messageTimeout / kRecentActivityDivisor;
  }
  // Until when it may go on without a whole message. Bytes that drip in do not prolong it.
  transport::TimePoint receiveDeadline() const {
    if (hasPartialMessage_) return lastActivityAt_ + clientListener_.limits_.messageTimeout;
    if (!openRequests_.empty())
      return clientListener_.scheduler_.now() + clientListener_.limits_.messageTimeout;
    return lastActivityAt_ +
           (isKnownClient_ ? clientListener_.limits_.idleTimeout : clientListener_.limits_.messageTimeout);
  }

  void handleFrame(std::string_view frameBytes) {
    const thrift::Message message = thrift::decodeMessage(frameBytes);
    const bool isCall = message.type == thrift::MessageType::call;
    currentRequestId_ = currentRequestClass_ = {};
    try {
      if (message.method == "submit" && isCall) {
        try {
          handleSubmit(message);
        } catch (const std::bad_alloc&) {  // no room for it: the client may try again, nothing has run
          openRequests_.erase(message.sequence);
          clientListener_.logger_.warning(
              "request", Error(ErrorKind::outOfMemory, "a job", "no memory for it, throttled"));
          sendResponse(message.sequence, thrift::encodeRejection(message.sequence, std::nullopt));
        }
      } else if (message.method == "revoke" && (isCall || message.type == thrift::MessageType::oneway)) {
        abandonRequest(thrift::decodeRevoke(message.arguments));
      } else if (message.method == "heartbeat" && isCall) {
        isKnownClient_ = true;
        const bool isInService = !clientListener_.serviceGate_ || clientListener_.serviceGate_->onHeartbeat();
        sendResponse(
            message.sequence,
            thrift::encodeHeartbeatReply(message.sequence, isInService && clientListener_.router_.isReady()));
      } else if (isCall) {
        sendResponse(message.sequence,
                     thrift::encodeException(message.method, message.sequence,
                                             thrift::ExceptionCode::unknownMethod, "unknown method"));
      } else {
        throw protocol::ParseError("a message that no client sends");
      }
    } catch (const protocol::ParseError& error) {
      if (!isCall || openRequests_.count(message.sequence) > 0)
        throw;  // no answer could be told from another's
      if (++consecutiveInvalidRequests_ > kMaxConsecutiveInvalidRequests) throw;
      ++clientListener_.counts_.rejectedRequests;
      clientListener_.logger_.warning(
          "request", Error(ErrorKind::invalidRequest, error.context(), error.message()),
          {{"job", std::string(currentRequestId_.substr(0, kMaxLoggedNameBytes))},
           {"reservation_type", std::string(currentRequestClass_.substr(0, kMaxLoggedNameBytes))}},
          "request not taken: ");
      sendResponse(message.sequence,
                   thrift::encodeException(message.method, message.sequence,
                                           thrift::ExceptionCode::protocolError, error.what()));
    }
  }

  void handleSubmit(const thrift::Message& message) {
    if (openRequests_.count(message.sequence) > 0)
      throw protocol::ParseError("a sequence number that is in use");
    if (openRequests_.size() >= kMaxOpenRequests)
      throw protocol::ParseError("too many open requests on a connection");
    const thrift::SubmitRequest submission = thrift::decodeSubmit(message.arguments);
    currentRequestId_ = submission.reference;
    currentRequestClass_ = submission.requestClass;
    const protocol::ControllerConfig& config = clientListener_.router_.config();
    PADDLETRACK_TABLE("exchange");
    auto newContext = std::make_unique<RequestContext>();
    RequestContext& context = *newContext;
    context.id = ++clientListener_.requestCount_;
    context.requestClass = &config.deployment.requestClasses[protocol::indexOfName(
        config.requestClassNames, submission.requestClass, "service")];
    context.requestClassName = submission.requestClass;
    if (submission.reference.size() != 16 ||
        submission.reference.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
      throw protocol::ParseError("ref", "16 hex digits are wanted");
    context.requestId = submission.reference;
    if (clientListener_.router_.hasOpenRequest(context.requestId))
      throw protocol::ParseError("ref", "it is in use");
    if (!config.tenantNames.empty())
      context.tenantIndex = protocol::indexOfName(config.tenantNames, submission.tenant, "project");
    // Its time runs from when it came, whether or not it had to wait here.
    context.arrivedAt =
        clientListener_.router_.now() -
        std::chrono::duration_cast<Duration>(clientListener_.scheduler_.now() - currentReceivedAt_);
    constexpr double kDay = 86400e3, kTerabyte = 1 << 20;
    const Duration timeAllowed = fromMilliseconds(parseQuantity("allow", submission.timeoutMs, kDay));
    context.deadline = context.arrivedAt + timeAllowed -
                       std::min(timeAllowed / 16, config.responseSlack * kDeadlineSlackFactor);
    if (!submission.estimatedWork.empty())
      context.declaredCost = fromMilliseconds(parseQuantity("effort", submission.estimatedWork, kDay));
    if (!submission.memory.empty())
      context.declaredMemoryMb = parseQuantity("ram", submission.memory, kTerabyte);
    context.dataSet = protocol::parseTableGroup(submission.statement);
    context.idempotencyKey = validateIdempotencyKey(submission.idempotencyKey);
    context.statement = connection_.input().retain(submission.statement);
    context.sequenceId = message.sequence;
    if (const auto rejection =
            clientListener_.serviceGate_ ? clientListener_.serviceGate_->checkRejection() : std::nullopt) {
      isKnownClient_ = true;
      return sendResponse(message.sequence, encodeRejection(message.sequence, *rejection));
    }
    // More than this process may hold: the client may try again, nothing has run.
    if (clientListener_.router_.isFull())
      return sendResponse(message.sequence, thrift::encodeRejection(message.sequence, std::nullopt));
    isKnownClient_ = true;
    consecutiveInvalidRequests_ = 0;
    context.responseListener = this;
    PADDLETRACK_TABLE("open");
    openRequests_.emplace(message.sequence, &context);
    clientListener_.router_.acceptRequest(std::move(newContext));
  }

  void abandonRequest(std::int32_t sequenceId) {
    const auto found = openRequests_.find(sequenceId);
    if (found == openRequests_.end()) return;
    RequestContext& abandoned = *found->second;
    openRequests_.erase(found);
    clientListener_.router_.onClientGone(abandoned);
  }

  void onResponseReady(RequestContext& context) override {
    openRequests_.erase(context.sequenceId);
    lastActivityAt_ = clientListener_.scheduler_.now();
    try {
      writeResponse(context);
    } catch (const std::bad_alloc&) {  // its client is told by the end of the connection
      connection_.shutDown();
    }
  }

  void writeResponse(const RequestContext& context) {
    switch (context.responseKind) {
      case RequestContext::ResponseKind::succeeded: {
        std::size_t size = 0;
        for (const BufferSlice& page : context.pages) size += page.size();
        std::deque<BufferSlice> slices{BufferSlice(thrift::encodeAnswerHead(context.sequenceId, size))};
        slices.insert(slices.end(), context.pages.begin(), context.pages.end());
        slices.push_back(BufferSlice::fromStatic(thrift::encodeAnswerTail()));
        connection_.send(slices);
        return recordUnwrittenResponse(context.sequenceId);
      }
      case RequestContext::ResponseKind::rejected: {
        return sendResponse(context.sequenceId, encodeRejection(context.sequenceId, context.retryAfter));
      }
      default:
        return sendResponse(context.sequenceId, thrift::encodeFailure(context.sequenceId));
    }
  }

  void sendResponse(std::int32_t sequenceId, std::string frame) {
    connection_.send({BufferSlice(std::move(frame))});
    recordUnwrittenResponse(sequenceId);
  }
  static std::string encodeRejection(std::int32_t sequenceId, Duration retryAfter) {
    const auto retryAfterMs = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return thrift::encodeRejection(sequenceId, retryAfterMs > 0 ? std::optional(retryAfterMs) : std::nullopt);
  }

  ClientListener& clientListener_;
  transport::Connection connection_;
  std::unordered_map<std::int32_t, RequestContext*> openRequests_;
  std::deque<PendingMessage> pendingMessages_;
  std::size_t parsedBytes_ = 0;  // bytes of the input that these stand for
  std::unordered_map<std::int32_t, PendingMessage*> pendingSubmits_;  // the requests among them
  std::deque<std::pair<std::int32_t, std::uint64_t>>
      unwrittenResponses_;  // answers, until the stream is written so far
  std::optional<transport::TimePoint> backpressuredSince_, inputFullSince_;
  transport::TimePoint currentReceivedAt_{};  // the message whose turn it is
  std::list<ClientSession*>::iterator position_;
  transport::TimePoint lastActivityAt_{};  // its start, the first byte of what is not whole, or its last sign
  bool hasPartialMessage_ = false;         // a message is not whole
  bool isKnownClient_ = false;             // something that only clients send has come
  bool isClosing_ = false, finalReadRequested_ = false, isLingering_ = false;
  int consecutiveInvalidRequests_ = 0;                       // requests in a row
  std::string_view currentRequestId_, currentRequestClass_;  // by the request that is being read, for the log
};

ClientListener::ClientListener(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                               const transport::Address& address, const Limits& limits, RequestRouter& router,
                               const Logger& logger, ServiceGate* serviceGate)
    : scheduler_(scheduler),
      outputBudget_(outputBudget),
      limits_(limits),
      router_(router),
      logger_(logger),
      serviceGate_(serviceGate),
      listener_(std::in_place, scheduler, address),
      slotFreed_(scheduler),
      sessionTasks_(scheduler, [this](const char* message) {
        logger_.warning("client", Error(ErrorKind::unexpected, "a client's connection", message));
      }) {
  sessionTasks_.spawn(acceptConnections());
}

transport::Task<> ClientListener::acceptConnections() {
  for (;;) {
    if (isNearConnectionLimit()) evictIdleSession(true);
    while (activeSessions_.size() + lingeringSessions_.size() >= limits_.maxConnections) {
      if (!lingeringSessions_.empty()) {
        lingeringSessions_.front()->shutDown();  // it has had its answers, and the longest time to read them
      } else {
        evictIdleSession(false);
      }
      co_await slotFreed_.wait(scheduler_.now() + kSlotRetryInterval);  // or until one has become idle
    }
    try {
      std::unique_ptr<transport::Descriptor> acceptedSocket = co_await listener_->accept();
      if (!acceptedSocket) {
        listener_.reset();
        co_return;
      }
      sessionTasks_.spawn(serveConnection(std::move(acceptedSocket)));
    } catch (const std::exception& error) {  // one connection could not be had: the next may
      logger_.warning("client", Error(ErrorKind::acceptFailed, "a client's connection", error.what()));
    }
    co_await scheduler_.yield();
  }
}

void ClientListener::close() {
  isClosing_ = true;
  if (listener_) listener_->stopAccepting();
  for (ClientSession* activeSession : activeSessions_) activeSession->closeIfIdle();
}

bool ClientListener::isNearConnectionLimit() const {
  const std::size_t reserved = limits_.maxConnections / kLingerReserveDivisor;
  return reserved > lingeringSessions_.size() && activeSessions_.size() + reserved >= limits_.maxConnections;
}

// A full house must not keep usual clients in the backlog.
void ClientListener::evictIdleSession(bool early) {
  ClientSession* candidate = nullptr;
  for (ClientSession* activeSession : activeSessions_) {
    if (!activeSession->isEvictable()) continue;
    if (!candidate || activeSession->retentionRank() < candidate->retentionRank()) candidate = activeSession;
  }
  if (candidate && !(early && candidate->isIncoming())) candidate->beginClosing();
}

std::size_t ClientListener::unsentBytes() const {
  std::size_t total = 0;
  for (const ClientSession* activeSession : activeSessions_) total += activeSession->unsentBytes();
  return total;
}

std::size_t ClientListener::incomingConnectionCount() const {
  return static_cast<std::size_t>(
      std::count_if(activeSessions_.begin(), activeSessions_.end(),
                    [](const ClientSession* activeSession) { return activeSession->isIncoming(); }));
}

std::string ClientListener::formatCounts() const {
  return "clients: " + std::to_string(activeSessions_.size()) + " connected of " +
         std::to_string(counts_.accepted) + ", requests refused " + std::to_string(counts_.rejectedRequests) +
         ", closed unreadable " + std::to_string(counts_.unreadable) + ", unfinished " +
         std::to_string(counts_.incomplete) + ", idle " + std::to_string(counts_.idle) + ", for others " +
         std::to_string(counts_.evicted);
}

transport::Task<> ClientListener::serveConnection(std::unique_ptr<transport::Descriptor> acceptedSocket) {
  try {
    ClientSession session(*this, std::move(acceptedSocket));
    try {
      co_await session.run();
    } catch (const protocol::ParseError& error) {
      ++counts_.unreadable;
      logger_.warning("client", Error(ErrorKind::clientProtocolError, error.context(), error.message()), {},
                      "connection closed: ");
    }
    co_await session.linger();
  } catch (const std::exception& error) {
    logger_.warning("client", toError(error, "a client's connection"), {}, "connection closed: ");
  }
}

}  // namespace paddletrack::routing
