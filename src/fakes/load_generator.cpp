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

constexpr std::size_t kMaxOpenPerConnection = 30;  // on one connection
constexpr milliseconds kIdleTimeout{3500};         // clients close what they do not use
constexpr milliseconds kResendWindow{50};          // a job that crosses a close is sent once more
constexpr std::size_t kNoRequest = static_cast<std::size_t>(-1);

const char* nameOf(Reply::Outcome outcome) {
  static constexpr std::array kNames{"done", "throttled", "cancelled", "exception", "good", "bad"};
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace

// One connection to one controller.
class LoadGenerator::ClientConnection {
 public:
  ClientConnection(LoadGenerator& generator, std::size_t controller)
      : generator_(generator), controller_(controller) {
    generator_.controllers_[controller_].connections.push_back(this);
  }
  ~ClientConnection() {
    std::erase(generator_.controllers_[controller_].connections, this);
    // A client that records closes over a job that is late alone: to the others on its connection it has
    // gone.
    const bool dedicated = generator_.eventLog_ && closeReason_ == CloseReason::timedOut;
    for (const auto& [sequence, request] : std::exchange(openRequests_, {})) {
      if (dedicated && !isLate(request)) {
        generator_.onClientGone(request, "closed");
      } else {
        generator_.onRequestLost(request, !connection_ || connection_->writtenBytes() < endOffsets_[sequence]
                                              ? "unsent"
                                          : dedicated ? "timeout"
                                                      : "closed");
      }
    }
  }

  bool hasCapacity() const { return openRequests_.size() < kMaxOpenPerConnection && !isClosing_; }
  std::size_t openRequestCount() const { return openRequests_.size(); }
  void sendRequest(std::size_t request) {
    openRequests_.emplace(++sequence_, request);
    lastUsedAt_ = generator_.scheduler_.now();
    const RequestProfile& profile = generator_.profiles_[generator_.requests_[request].profile];
    const auto range = profile.maxDuration - profile.minDuration;
    const auto duration =
        profile.minDuration +
        milliseconds(range.count() > 0
                         ? static_cast<long>(generator_.random_() % static_cast<unsigned long>(range.count()))
                         : 0);
    // The estimate that goes with it is what it takes.
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
    connection_ ? connection_->send({BufferSlice(message)}) : pendingOutput_.push_back(BufferSlice(message));
    endOffsets_[sequence_] = bytesQueued_ += message.size();
  }

  bool hasOpenRequest(std::size_t request) const {
    return connection_ && std::any_of(openRequests_.begin(), openRequests_.end(),
                                      [&](const auto& openRequest) { return openRequest.second == request; });
  }
  bool depart(std::size_t request, Departure departure) {
    if (closeReason_ != CloseReason::none) return false;
    if (departure == Departure::revoke) {
      const auto entry = std::find_if(openRequests_.begin(), openRequests_.end(),
                                      [&](const auto& openRequest) { return openRequest.second == request; });
      const std::string message = thrift::encodeRevoke(entry->first);
      connection_->send({BufferSlice(message)});
      bytesQueued_ += message.size();
      closedRequests_.emplace(*entry);
      openRequests_.erase(entry);
      generator_.onClientGone(request, "revoked");
      return true;
    }
    if (connection_->unsentBytes() > 0) return false;
    isClosing_ = true;
    if (departure == Departure::halfClose) {
      closeReason_ = CloseReason::halfClosed;
      ::shutdown(fd_, SHUT_WR);
      for (const auto& [sequence, item] : openRequests_) generator_.onClientGone(item, "half-closed");
      return true;
    }
    closeReason_ = departure == Departure::reset ? CloseReason::reset : CloseReason::closed;
    connection_->shutDown();
    return true;
  }
  void closeIfIdle() {
    if (openRequests_.empty() && connection_) isClosing_ = true, connection_->shutDown();
  }

  transport::Task<> run() {
    transport::Scheduler& scheduler = generator_.scheduler_;
    transport::ConnectResult connectResult = co_await transport::connect(
        scheduler, generator_.controllers_[controller_].address, scheduler.now() + milliseconds(2000));
    if (!connectResult.descriptor) co_return;
    fd_ = connectResult.descriptor->fd();
    connection_.emplace(scheduler, std::move(connectResult.descriptor), 16 * 1024, 1 << 20,
                        generator_.unsent_);
    connection_->send(pendingOutput_);
    while (co_await waitForInput()) {
      transport::InputBuffer& input = connection_->input();
      while (const auto length = thrift::readFrameLength(input.view())) {
        const std::size_t frameSize = thrift::kFrameHeaderBytes + *length;
        if (input.view().size() < frameSize) {
          input.expectSize(frameSize);
          break;
        }
        const Reply reply = thrift::decodeReply(input.view().substr(thrift::kFrameHeaderBytes, *length));
        input.consume(frameSize);
        const auto entry = openRequests_.find(reply.sequence);
        if (entry == openRequests_.end()) {
          const auto closedRequest = closedRequests_.find(reply.sequence);
          if (closedRequest == closedRequests_.end() ||
              !generator_.requests_[closedRequest->second].clientGone)
            closedRequest != closedRequests_.end() ? ++generator_.counters_.duplicateAnswers
                                                   : ++generator_.counters_.unsolicitedAnswers;
          closedRequest != closedRequests_.end()
              ? generator_.recordAnswer(closedRequest->second, reply)
              : generator_.recordEvent(Event::Kind::requestAnswered, kNoRequest, nameOf(reply.outcome));
          continue;
        }
        const std::size_t request = entry->second;
        openRequests_.erase(entry);
        closedRequests_.emplace(reply.sequence, request);
        generator_.onReply(request, reply);
      }
    }
    if (closeReason_ != CloseReason::closed && closeReason_ != CloseReason::reset) co_return;
    const linger lingerOptions{1, 0};
    if (closeReason_ == CloseReason::reset)
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
    connection_.reset();  // only then it has gone
    for (const auto& [sequence, request] : std::exchange(openRequests_, {}))
      generator_.onClientGone(request, closeReason_ == CloseReason::reset ? "reset" : "closed");
  }

 private:
  // Until there is more to read; false: the connection is of no more use.
  transport::Task<bool> waitForInput() {
    for (;;) {
      const TimePoint now = generator_.scheduler_.now();
      if (openRequests_.empty() && now >= lastUsedAt_ + kIdleTimeout) co_return false;
      if (!openRequests_.empty() &&
          now >= earliestDeadline() + generator_.lateTolerance_) {  // its jobs are lost
        if (closeReason_ == CloseReason::none) closeReason_ = CloseReason::timedOut;
        co_return false;
      }
      const bool received = co_await connection_->receive(now + milliseconds(100));
      if (received) co_return true;
      if (connection_->readEnd() != Connection::ReadEnd::none) {
        isClosing_ = true;
        co_return false;
      }
    }
  }
  bool isLate(std::size_t request) const {
    return generator_.scheduler_.now() >=
           generator_.requests_[request].sentAt +
               generator_.profiles_[generator_.requests_[request].profile].timeout +
               generator_.lateTolerance_;
  }
  // When the first of the open jobs has no time left.
  TimePoint earliestDeadline() const {
    TimePoint first = TimePoint::max();
    for (const auto& [sequence, request] : openRequests_)
      first = std::min(first, generator_.requests_[request].sentAt +
                                  generator_.profiles_[generator_.requests_[request].profile].timeout);
    return first;
  }

  LoadGenerator& generator_;
  const std::size_t controller_;
  std::optional<Connection> connection_;
  std::deque<BufferSlice> pendingOutput_;  // until it is up
  std::map<std::int32_t, std::size_t> openRequests_;
  std::map<std::int32_t, std::size_t> closedRequests_;  // answered or given up
  std::map<std::int32_t, std::uint64_t> endOffsets_;    // of each in all that was given to the connection
  std::uint64_t bytesQueued_ = 0;
  enum class CloseReason {
    none,
    timedOut,
    halfClosed,
    closed,
    reset
  } closeReason_ = CloseReason::none;  // by itself
  int fd_ = -1;                        // the connection's
  std::int32_t sequence_ = 0;
  TimePoint lastUsedAt_{};
  bool isClosing_ = false;
};

LoadGenerator::LoadGenerator(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                             std::vector<transport::Address> addresses, std::uint64_t seed)
    : scheduler_(scheduler),
      unsent_(outputBudget),
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

// Jobs at random times, as many a second as are asked for, over the controllers that the front layer has in.
transport::Task<> LoadGenerator::generateRequests() {
  TimePoint next = scheduler_.now();
  for (;;) {
    if (requestsPerSecond_ <= 0) {
      co_await scheduler_.sleepUntil(scheduler_.now() + milliseconds(10));
      next = scheduler_.now();
      continue;
    }
    while (next <= scheduler_.now()) {
      next += std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double>(std::exponential_distribution<double>(requestsPerSecond_)(random_)));
      double totalWeight = 0;
      for (const RequestProfile& profile : profiles_) totalWeight += profile.weight;
      double draw = std::uniform_real_distribution<double>(0, totalWeight)(random_);
      std::size_t profile = 0;
      while (profile + 1 < profiles_.size() && (draw -= profiles_[profile].weight) > 0) ++profile;
      for (std::size_t tries = 0; tries < controllers_.size(); ++tries) {
        const std::size_t controller = ++nextController_ % controllers_.size();
        if (!controllers_[controller].isInService && hasDedicatedClients_) break;
        if (!controllers_[controller].isInService) continue;
        send(profile, controller);
        break;
      }
    }
    co_await scheduler_.sleepUntil(next);
  }
}

// The front layer's heartbeats, over a connection of their own.
transport::Task<> LoadGenerator::runHeartbeats(std::size_t controller) {
  Controller& state = controllers_[controller];
  for (;;) {
    transport::ConnectResult connectResult =
        co_await transport::connect(scheduler_, state.address, scheduler_.now() + milliseconds(500));
    if (connectResult.descriptor) {
      Connection connection(scheduler_, std::move(connectResult.descriptor), 1024, 4096, unsent_);
      for (std::int32_t sequence = 1; !isPaused_; ++sequence) {
        connection.send({BufferSlice(thrift::encodeHeartbeatCall(sequence))});
        const bool received = co_await connection.receive(scheduler_.now() + milliseconds(1000));
        if (!received) break;
        const auto length = thrift::readFrameLength(connection.input().view());
        if (!length || connection.input().view().size() < thrift::kFrameHeaderBytes + *length) break;
        state.isInService =
            thrift::decodeReply(connection.input().view().substr(thrift::kFrameHeaderBytes, *length))
                .outcome == Reply::Outcome::healthy;
        connection.input().consume(thrift::kFrameHeaderBytes + *length);
        co_await scheduler_.sleepUntil(scheduler_.now() + heartbeatInterval_);
      }
    }
    state.isInService = false;
    do {
      co_await scheduler_.sleepUntil(scheduler_.now() + heartbeatInterval_);
    } while (isPaused_);
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

bool LoadGenerator::departClient(std::size_t request, Departure departure) {
  for (ClientConnection* connection : controllers_[requests_[request].controller].connections)
    if (connection->hasOpenRequest(request)) return connection->depart(request, departure);
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
  if (index != kNoRequest) {
    event.reference = requests_[index].reference;
    event.controller = requests_[index].controller;
    event.timeout = profiles_[requests_[index].profile].timeout;
    if (kind == Event::Kind::requestSent) event.retryOf = retriedReference_;
  }
  eventLog_->append(std::move(event));
}

void LoadGenerator::assignConnection(std::size_t request) {
  const std::size_t controller = requests_[request].controller;
  ClientConnection* best = nullptr;
  for (ClientConnection* connection : controllers_[controller].connections)
    if (connection->hasCapacity() && (!best || connection->openRequestCount() < best->openRequestCount()))
      best = connection;
  if (!best || best->openRequestCount() >= kMaxOpenPerConnection / 2) {
    auto connection = std::make_unique<ClientConnection>(*this, controller);
    best = connection.get();
    tasks_.spawn(runConnection(std::move(connection)));
  }
  best->sendRequest(request);
}

transport::Task<> LoadGenerator::runConnection(std::unique_ptr<ClientConnection> connection) {
  co_await connection->run();
}

void LoadGenerator::recordAnswer(std::size_t index, const Reply& reply) {
  recordEvent(Event::Kind::requestAnswered, index, nameOf(reply.outcome), reply.body);
}

// Its client has gone: no answer is owed.
void LoadGenerator::onClientGone(std::size_t index, const char* reason) {
  Request& request = requests_[index];
  if (isDestroying_ || request.clientGone) return;
  request.clientGone = true;
  request.endedAt = scheduler_.now();
  --counters_.open;
  --controllers_[request.controller].openRequests;
  recordEvent(Event::Kind::clientGone, index, reason);
}

void LoadGenerator::onReply(std::size_t index, const Reply& reply) {
  Request& request = requests_[index];
  if (request.clientGone) return recordAnswer(index, reply);
  ++request.answerCount;
  request.endedAt = scheduler_.now();
  request.outcome = reply.outcome;
  request.retryAfterMs = reply.retryAfterMs;
  ++counters_.answersByOutcome[std::min<std::size_t>(static_cast<std::size_t>(reply.outcome), 3)];
  --counters_.open;
  --controllers_[request.controller].openRequests;
  recordAnswer(index, reply);
}

// Its connection ended. One that crossed an idle close is sent once more, on another.
void LoadGenerator::onRequestLost(std::size_t index, const char* reason) {
  Request& request = requests_[index];
  if (isDestroying_ || request.clientGone) return;
  if (!sendsOnce_ && !request.resent && scheduler_.now() - request.sentAt < kResendWindow) {
    request.resent = true;
    return assignConnection(index);
  }
  request.lost = true;
  request.endedAt = scheduler_.now();
  ++counters_.lost;
  --counters_.open;
  --controllers_[request.controller].openRequests;
  recordEvent(Event::Kind::requestLost, index, reason);
}

}  // namespace paddletrack::fakes
