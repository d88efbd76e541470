#include "fakes/load_generator.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <optional>

namespace paddletrack::fakes {
namespace {

namespace thrift = protocol::thrift;

using transport::BufferSlice;
using transport::Connection;
using transport::TimePoint;

constexpr std::size_t kMaxOpenPerConnection = 30;
constexpr milliseconds kIdleTimeout{3500};  // After this time clients close an unused connection.
constexpr milliseconds kResendWindow{50};   // A request sent less than this before a close is resent.
constexpr milliseconds kConnectTimeout{2000};
constexpr milliseconds kReceiveInterval{100};
constexpr milliseconds kHeartbeatConnectTimeout{500};
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kIdlePollInterval{10};  // Interval of checking the rate while it is 0.
constexpr std::size_t kUnknownRequest = static_cast<std::size_t>(-1);

const char* nameOf(Reply::Outcome outcome) {
  static constexpr std::array kNames{"done", "throttled", "cancelled", "exception", "good", "bad"};
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace

// One connection to a controller and the requests that are open on it.
class LoadGenerator::ClientConnection {
 public:
  ClientConnection(LoadGenerator& generator, std::size_t controller)
      : generator_(generator), controller_(controller) {
    generator_.controllers_[controller_].connections.push_back(this);
  }
  ~ClientConnection() {
    std::erase(generator_.controllers_[controller_].connections, this);
    // With an event log, only the late requests count as timed out when the client closes the connection; its
    // other requests count as abandoned by the client.
    const bool isRecordedTimeout = generator_.eventLog_ && closeReason_ == CloseReason::timedOut;
    for (const auto& [sequence, request] : std::exchange(openRequests_, {})) {
      if (isRecordedTimeout && !isLate(request)) {
        generator_.onClientGone(request, "closed");
      } else if (!connection_ || connection_->writtenBytes() < endOffsets_[sequence]) {
        generator_.onRequestLost(request, "unsent");
      } else {
        generator_.onRequestLost(request, isRecordedTimeout ? "timeout" : "closed");
      }
    }
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  bool hasCapacity() const { return openRequests_.size() < kMaxOpenPerConnection && !isClosing_; }
  std::size_t openRequestCount() const { return openRequests_.size(); }
  void sendRequest(std::size_t request) {
    openRequests_.emplace(++sequence_, request);
    lastUsedAt_ = generator_.scheduler_.now();
    const RequestProfile& profile = profileOf(request);
    const milliseconds duration = drawDuration(profile);
    // The declared cost of the request equals its execution time.
    thrift::Fields fields{{"service", profile.requestClass},
                          {"ref", generator_.requests_[request].reference},
                          {"allow", std::to_string(profile.timeout.count())},
                          {"effort", std::to_string(duration.count())},
                          {"ram", "16"}};
    if (!profile.tenant.empty()) fields.emplace_back("project", profile.tenant);
    const std::string message = thrift::encodeSubmit(sequence_, fields,
                                                     "select * from s_" + std::to_string(profile.tableGroup) +
                                                         ".t /* ms=" + std::to_string(duration.count()) +
                                                         " " + profile.extraScript + " */");
    if (connection_) {
      connection_->send({BufferSlice(message)});
    } else {
      pendingOutput_.emplace_back(message);
    }
    bytesQueued_ += message.size();
    endOffsets_[sequence_] = bytesQueued_;
  }

  bool hasOpenRequest(std::size_t request) const {
    return connection_ && std::any_of(openRequests_.begin(), openRequests_.end(),
                                      [&](const auto& openRequest) { return openRequest.second == request; });
  }
  bool abandon(std::size_t request, AbandonMode mode) {
    if (closeReason_ != CloseReason::none) return false;
    if (mode == AbandonMode::revoke) {
      revoke(request);
      return true;
    }
    if (connection_->unsentBytes() > 0) return false;
    isClosing_ = true;
    if (mode == AbandonMode::halfClose) {
      closeReason_ = CloseReason::halfClosed;
      ::shutdown(fd_, SHUT_WR);
      for (const auto& [sequence, item] : openRequests_) generator_.onClientGone(item, "half-closed");
      return true;
    }
    closeReason_ = mode == AbandonMode::reset ? CloseReason::reset : CloseReason::closed;
    connection_->shutDown();
    return true;
  }
  void closeIfIdle() {
    if (!openRequests_.empty() || !connection_) return;
    isClosing_ = true;
    connection_->shutDown();
  }

  transport::Task<> run() {
    transport::Scheduler& scheduler = generator_.scheduler_;
    transport::ConnectResult connectResult = co_await transport::connect(
        scheduler, generator_.controllers_[controller_].address, scheduler.now() + kConnectTimeout);
    if (!connectResult.descriptor) co_return;
    fd_ = connectResult.descriptor->fd();
    connection_.emplace(scheduler, std::move(connectResult.descriptor), 16 * 1024, 1 << 20,
                        generator_.memoryBudget_);
    connection_->send(pendingOutput_);
    while (co_await waitForInput()) processReplies();
    if (closeReason_ != CloseReason::closed && closeReason_ != CloseReason::reset) co_return;
    const linger lingerOptions{1, 0};
    if (closeReason_ == CloseReason::reset)
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
    connection_.reset();  // Closes the socket, which is when the client is gone.
    for (const auto& [sequence, request] : std::exchange(openRequests_, {}))
      generator_.onClientGone(request, closeReason_ == CloseReason::reset ? "reset" : "closed");
  }

 private:
  enum class CloseReason { none, timedOut, halfClosed, closed, reset };

  const RequestProfile& profileOf(std::size_t request) const {
    return generator_.profiles_[generator_.requests_[request].profile];
  }

  milliseconds drawDuration(const RequestProfile& profile) {
    const milliseconds range = profile.maxDuration - profile.minDuration;
    if (range.count() <= 0) return profile.minDuration;
    const auto draw = generator_.random_() % static_cast<unsigned long>(range.count());
    return profile.minDuration + milliseconds(static_cast<long>(draw));
  }

  void revoke(std::size_t request) {
    const auto entry = std::find_if(openRequests_.begin(), openRequests_.end(),
                                    [&](const auto& openRequest) { return openRequest.second == request; });
    const std::string message = thrift::encodeRevoke(entry->first);
    connection_->send({BufferSlice(message)});
    bytesQueued_ += message.size();
    closedRequests_.emplace(*entry);
    openRequests_.erase(entry);
    generator_.onClientGone(request, "revoked");
  }

  // Handles all complete replies in the input.
  void processReplies() {
    transport::InputBuffer& input = connection_->input();
    while (const auto length = thrift::readFrameLength(input.view())) {
      const std::size_t frameSize = thrift::kFrameHeaderBytes + *length;
      if (input.view().size() < frameSize) {
        input.expectSize(frameSize);
        return;
      }
      const Reply reply = thrift::decodeReply(input.view().substr(thrift::kFrameHeaderBytes, *length));
      input.consume(frameSize);
      const auto entry = openRequests_.find(reply.sequence);
      if (entry == openRequests_.end()) {
        onUnexpectedReply(reply);
        continue;
      }
      const std::size_t request = entry->second;
      openRequests_.erase(entry);
      closedRequests_.emplace(reply.sequence, request);
      generator_.onReply(request, reply);
    }
  }

  // Handles a reply to a request that is not open. Such a reply is valid only if the client abandoned the
  // request.
  void onUnexpectedReply(const Reply& reply) {
    const auto closedRequest = closedRequests_.find(reply.sequence);
    if (closedRequest == closedRequests_.end()) {
      ++generator_.counters_.unsolicitedAnswers;
      generator_.recordEvent(Event::Kind::requestAnswered, kUnknownRequest, nameOf(reply.outcome));
      return;
    }
    if (!generator_.requests_[closedRequest->second].clientGone) ++generator_.counters_.duplicateAnswers;
    generator_.recordAnswer(closedRequest->second, reply);
  }

  // Waits for input. Returns false if the caller must close the connection.
  transport::Task<bool> waitForInput() {
    for (;;) {
      const TimePoint now = generator_.scheduler_.now();
      if (openRequests_.empty() && now >= lastUsedAt_ + kIdleTimeout) co_return false;
      // After the tolerance, late requests count as lost.
      if (!openRequests_.empty() && now >= earliestDeadline() + generator_.lateTolerance_) {
        if (closeReason_ == CloseReason::none) closeReason_ = CloseReason::timedOut;
        co_return false;
      }
      const bool received = co_await connection_->receive(now + kReceiveInterval);
      if (received) co_return true;
      if (connection_->readEnd() != Connection::ReadEnd::none) {
        isClosing_ = true;
        co_return false;
      }
    }
  }

  TimePoint deadlineOf(std::size_t request) const {
    return generator_.requests_[request].sentAt + profileOf(request).timeout;
  }
  bool isLate(std::size_t request) const {
    return generator_.scheduler_.now() >= deadlineOf(request) + generator_.lateTolerance_;
  }
  TimePoint earliestDeadline() const {
    TimePoint earliest = TimePoint::max();
    for (const auto& [sequence, request] : openRequests_) earliest = std::min(earliest, deadlineOf(request));
    return earliest;
  }

  LoadGenerator& generator_;
  const std::size_t controller_;
  std::optional<Connection> connection_;
  std::deque<BufferSlice> pendingOutput_;  // Sent once the connection is established.
  std::map<std::int32_t, std::size_t> openRequests_;
  std::map<std::int32_t, std::size_t> closedRequests_;  // Answered or revoked.
  // End of each request in the output stream, by sequence.
  std::map<std::int32_t, std::uint64_t> endOffsets_;
  std::uint64_t bytesQueued_ = 0;
  CloseReason closeReason_ = CloseReason::none;  // `none` unless the client closes the connection.
  int fd_ = -1;                                  // Owned by `connection_`.
  std::int32_t sequence_ = 0;
  TimePoint lastUsedAt_{};
  bool isClosing_ = false;
};

LoadGenerator::LoadGenerator(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                             std::vector<transport::Address> addresses, std::uint64_t seed)
    : scheduler_(scheduler),
      memoryBudget_(memoryBudget),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      lastReference_(seed << 32),
      tasks_(scheduler, [](const char* error) { std::fprintf(stderr, "load: %s\n", error); }) {
  for (const transport::Address& address : addresses) controllers_.push_back({address, false, 0, {}});
  for (std::size_t index = 0; index < controllers_.size(); ++index) tasks_.spawn(runHeartbeats(index));
  tasks_.spawn(generateRequests());
}

LoadGenerator::~LoadGenerator() { isDestroying_ = true; }

void LoadGenerator::start(double requestsPerSecond, std::vector<RequestProfile> profiles) {
  profiles_ = std::move(profiles);
  requestsPerSecond_ = requestsPerSecond;
}

// Sends requests at exponentially distributed intervals with the requested mean rate.
transport::Task<> LoadGenerator::generateRequests() {
  TimePoint next = scheduler_.now();
  for (;;) {
    if (requestsPerSecond_ <= 0) {
      co_await scheduler_.sleepUntil(scheduler_.now() + kIdlePollInterval);
      next = scheduler_.now();
      continue;
    }
    while (next <= scheduler_.now()) {
      next += std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double>(std::exponential_distribution<double>(requestsPerSecond_)(random_)));
      sendToNextController(drawProfile());
    }
    co_await scheduler_.sleepUntil(next);
  }
}

std::size_t LoadGenerator::drawProfile() {
  double totalWeight = 0;
  for (const RequestProfile& profile : profiles_) totalWeight += profile.weight;
  double remainingWeight = std::uniform_real_distribution<double>(0, totalWeight)(random_);
  for (std::size_t profile = 0; profile + 1 < profiles_.size(); ++profile) {
    remainingWeight -= profiles_[profile].weight;
    if (remainingWeight <= 0) return profile;
  }
  return profiles_.empty() ? 0 : profiles_.size() - 1;
}

// Sends to the next controller in round-robin order that is in service.
void LoadGenerator::sendToNextController(std::size_t profile) {
  for (std::size_t tries = 0; tries < controllers_.size(); ++tries) {
    ++nextController_;
    const std::size_t controller = nextController_ % controllers_.size();
    if (controllers_[controller].isInService) {
      send(profile, controller);
      return;
    }
    if (hasDedicatedClients_) return;
  }
}

// Heartbeats use a separate connection. A controller is in service while it answers them as healthy.
transport::Task<> LoadGenerator::runHeartbeats(std::size_t controller) {
  Controller& state = controllers_[controller];
  for (;;) {
    transport::ConnectResult connectResult =
        co_await transport::connect(scheduler_, state.address, scheduler_.now() + kHeartbeatConnectTimeout);
    if (connectResult.descriptor) {
      Connection connection(scheduler_, std::move(connectResult.descriptor), 1024, 4096, memoryBudget_);
      co_await exchangeHeartbeats(connection, state);
    }
    state.isInService = false;
    do {
      co_await scheduler_.sleepUntil(scheduler_.now() + heartbeatInterval_);
    } while (isPaused_);
  }
}

// Returns when the connection ends, an answer is missing or incomplete, or the clients are paused.
transport::Task<> LoadGenerator::exchangeHeartbeats(Connection& connection, Controller& controller) {
  for (std::int32_t sequence = 1; !isPaused_; ++sequence) {
    connection.send({BufferSlice(thrift::encodeHeartbeatCall(sequence))});
    const bool received = co_await connection.receive(scheduler_.now() + kHeartbeatTimeout);
    if (!received) co_return;
    transport::InputBuffer& input = connection.input();
    const auto length = thrift::readFrameLength(input.view());
    if (!length || input.view().size() < thrift::kFrameHeaderBytes + *length) co_return;
    const Reply reply = thrift::decodeReply(input.view().substr(thrift::kFrameHeaderBytes, *length));
    controller.isInService = reply.outcome == Reply::Outcome::healthy;
    input.consume(thrift::kFrameHeaderBytes + *length);
    co_await scheduler_.sleepUntil(scheduler_.now() + heartbeatInterval_);
  }
}

std::size_t LoadGenerator::send(std::size_t profile, std::size_t controller) {
  char reference[17];
  std::snprintf(reference, sizeof reference, "%016llx", static_cast<unsigned long long>(++lastReference_));
  Request& request = requests_.emplace_back();
  request.reference = reference;
  request.profile = profile;
  request.controller = controller;
  request.sentAt = scheduler_.now();
  ++counters_.sent;
  ++counters_.open;
  ++controllers_[controller].openRequests;
  const std::size_t index = requests_.size() - 1;
  recordEvent(Event::Kind::requestSent, index, profiles_[profile].requestClass.c_str());
  assignConnection(index);
  return index;
}

std::size_t LoadGenerator::resend(std::size_t request, std::size_t controller) {
  retriedReference_ = requests_[request].reference;
  const std::size_t index = send(requests_[request].profile, controller);
  retriedReference_.clear();
  return index;
}

bool LoadGenerator::abandonRequest(std::size_t request, AbandonMode mode) {
  for (ClientConnection* connection : controllers_[requests_[request].controller].connections)
    if (connection->hasOpenRequest(request)) return connection->abandon(request, mode);
  return false;
}

void LoadGenerator::pauseClients() {
  isPaused_ = true;
  for (Controller& controller : controllers_)
    for (ClientConnection* connection : controller.connections) connection->closeIfIdle();
}

void LoadGenerator::recordEvent(Event::Kind kind, std::size_t index, const char* detail, std::string body) {
  if (!eventLog_) return;
  Event event{.kind = kind, .detail = detail, .body = std::move(body)};
  if (index != kUnknownRequest) {
    event.reference = requests_[index].reference;
    event.controller = requests_[index].controller;
    event.timeout = profiles_[requests_[index].profile].timeout;
    if (kind == Event::Kind::requestSent) event.retryOf = retriedReference_;
  }
  eventLog_->append(std::move(event));
}

void LoadGenerator::assignConnection(std::size_t request) {
  const std::size_t controller = requests_[request].controller;
  ClientConnection* leastLoaded = nullptr;
  for (ClientConnection* connection : controllers_[controller].connections)
    if (connection->hasCapacity() &&
        (!leastLoaded || connection->openRequestCount() < leastLoaded->openRequestCount()))
      leastLoaded = connection;
  if (!leastLoaded || leastLoaded->openRequestCount() >= kMaxOpenPerConnection / 2) {
    auto connection = std::make_unique<ClientConnection>(*this, controller);
    leastLoaded = connection.get();
    tasks_.spawn(runConnection(std::move(connection)));
  }
  leastLoaded->sendRequest(request);
}

transport::Task<> LoadGenerator::runConnection(std::unique_ptr<ClientConnection> connection) {
  co_await connection->run();
}

void LoadGenerator::recordAnswer(std::size_t index, const Reply& reply) {
  recordEvent(Event::Kind::requestAnswered, index, nameOf(reply.outcome), reply.body);
}

void LoadGenerator::closeRequest(Request& request) {
  request.endedAt = scheduler_.now();
  --counters_.open;
  --controllers_[request.controller].openRequests;
}

// Closes a request that the client abandoned; no answer is expected from now on.
void LoadGenerator::onClientGone(std::size_t index, const char* reason) {
  Request& request = requests_[index];
  if (isDestroying_ || request.clientGone) return;
  request.clientGone = true;
  closeRequest(request);
  recordEvent(Event::Kind::clientGone, index, reason);
}

void LoadGenerator::onReply(std::size_t index, const Reply& reply) {
  Request& request = requests_[index];
  if (request.clientGone) return recordAnswer(index, reply);
  ++request.answerCount;
  request.outcome = reply.outcome;
  request.retryAfterMs = reply.retryAfterMs;
  ++counters_.answersByOutcome[std::min<std::size_t>(static_cast<std::size_t>(reply.outcome), 3)];
  closeRequest(request);
  recordAnswer(index, reply);
}

// Handles a connection that ended without an answer. A request that raced with the close of an idle
// connection is resent once on another connection.
void LoadGenerator::onRequestLost(std::size_t index, const char* reason) {
  Request& request = requests_[index];
  if (isDestroying_ || request.clientGone) return;
  if (!isResendDisabled_ && !request.resent && scheduler_.now() - request.sentAt < kResendWindow) {
    request.resent = true;
    return assignConnection(index);
  }
  request.lost = true;
  ++counters_.lost;
  closeRequest(request);
  recordEvent(Event::Kind::requestLost, index, reason);
}

}  // namespace paddletrack::fakes
