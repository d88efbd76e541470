#include "routing/engine_connection_pool.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <tuple>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {
namespace {

using protocol::resp::AnswerKind;
using transport::Connection;

constexpr std::size_t kInitialInputBytes = 32 * 1024, kMaxInputBytes = 64 * 1024;
constexpr std::uint32_t kMaxPages = 64;
constexpr std::size_t kPendingConnectDivisor =
    4;  // of the connections: dials out at once that are not the first of theirs
constexpr std::size_t kConnectionReserveDivisor = 4;  // of the connections, for executors that have none
// In dial time-outs: so long without a byte, and a connection with work is asked whether it lives; so long
// asked while a younger one answers, and it is dead; so long midway in a message, and the rest never comes.
constexpr int kQuietConnectTimeouts = 1, kDeadConnectTimeouts = 2, kPartialMessageConnectTimeouts = 1;

}  // namespace

EngineConnectionPool::EngineConnectionPool(transport::Scheduler& scheduler,
                                           transport::OutputBudget& outputBudget, const Limits& limits,
                                           AttemptListener& listener, const Logger& logger)
    : scheduler_(scheduler),
      outputBudget_(outputBudget),
      limits_(limits),
      attemptListener_(listener),
      logger_(logger),
      connectOptions_{limits.connectTimeout, limits.familyPreference},
      connectLimiter_(limits.maxConnections),
      reportUnplacedCall_(scheduler,
                          [this] {
                            for (AttemptContext* attemptContext : std::exchange(unplacedAttempts_, {}))
                              attemptListener_.onAttemptFinished(*attemptContext,
                                                                 AttemptOutcome::unreachable);
                          }),
      connectionTasks_(scheduler, [this](const char* message) {
        logger_.warning("executor", Error(ErrorKind::unexpected, "", message));
      }) {}

void EngineConnectionPool::sendAttempt(AttemptContext& attemptContext) {
  EngineConnection* connection = selectConnection(attemptContext);
  if (!connection) {
    unplacedAttempts_.push_back(&attemptContext);
    return reportUnplacedCall_.runSoon();
  }
  attemptContext.connection = connection;
  attemptContext.connectionSerial = connection->serial;
  if (connection->established) {
    writeAttempt(*connection, attemptContext);
  } else {
    connection->queuedAttempts.push_back(&attemptContext);
  }
}

// An id goes over a connection once only: the end of an earlier dispatch of the same job, given up, may still
// be on its way there. A resting one midway in a message is in doubt: if the rest does not come it is ended,
// with whatever else is on it.
bool EngineConnectionPool::canCarry(const EngineConnection& connection,
                                    const AttemptContext& attemptContext) const {
  if (connection.draining || connection.unresponsive ||
      connection.attemptCount() >= limits_.maxAttemptsPerConnection)
    return false;
  if (connection.attemptCount() == 0 && connection.partialMessageSince) return false;
  if (connection.openAttempts.count(attemptContext.requestContext.requestId) > 0) return false;
  const auto& siblings = attemptContext.requestContext.attemptContexts;
  return std::none_of(siblings.begin(), siblings.end(), [&](const auto& sibling) {
    return sibling.get() != &attemptContext && sibling->connectionSerial == connection.serial;
  });
}

// A connection that ends takes all along that is open on it, so dispatches share one only when descriptors
// run short: an idle one that is up and was used last (the others may end), else a new one while some are
// left for executors without, else the one with most room. Where the executor is silent one connection at a
// time finds out whether it answers; what finds no room there is not sent.
EngineConnection* EngineConnectionPool::selectConnection(AttemptContext& attemptContext) {
  auto& endpoint = *static_cast<EngineEndpoint*>(attemptContext.attempt.engine);
  EngineConnection* best = nullptr;
  bool hasUnresponsive = false, isConnecting = false;
  for (EngineConnection* connection : endpoint.connections) {
    hasUnresponsive = hasUnresponsive || connection->unresponsive;
    isConnecting = isConnecting || !connection->established;
    if (!canCarry(*connection, attemptContext)) continue;
    const auto rank = [](const EngineConnection& engineConnection) {
      return std::tuple(engineConnection.attemptCount(), !engineConnection.established,
                        -engineConnection.lastUsedAt.time_since_epoch());
    };
    if (!best || rank(*connection) < rank(*best)) best = connection;
  }
  if ((best && best->attemptCount() == 0) || (hasUnresponsive && isConnecting)) return best;
  if (best &&
      connections_.size() >= limits_.maxConnections - limits_.maxConnections / kConnectionReserveDivisor)
    return best;
  if (connections_.size() + parallelConnects_ >= limits_.maxConnections) {
    logger_.warning("descriptors",
                    Error(ErrorKind::outOfDescriptors, "executor " + endpoint.id,
                          "no connection is left for another dispatch"),
                    {{"engine", endpoint.id}});
    return nullptr;
  }
  PADDLETRACK_TABLE("links");
  connections_.emplace_front(endpoint, ++lastSerial_);
  best = &connections_.front();
  best->position = connections_.begin();
  endpoint.connections.push_back(best);
  connectionTasks_.spawn(runConnection(*best));
  return best;
}

// What may still run is the module's word of when it was dispatched: since then its job may have come to its
// end, its engine to a drain or another start, and its time or its window for repeats may be over.
bool EngineConnectionPool::canSend(const AttemptContext& attemptContext) const {
  const auto& endpoint = *static_cast<const EngineEndpoint*>(attemptContext.attempt.engine);
  return addresses::canSend(
      {attemptContext.requestContext.finished,
       endpoint.available && endpoint.incarnation == attemptContext.incarnation,
       std::chrono::duration_cast<Duration>(attemptContext.sendDeadline - scheduler_.now())});
}

// The moment at which what was held for a dial leaves, or does not any more.
void EngineConnectionPool::onEstablished(EngineConnection& connection) {
  connection.established = true;
  for (std::size_t index = 0;
       index < connection.queuedAttempts.size();) {  // what a failed one leaves is still held, and never ran
    AttemptContext& attemptContext = *connection.queuedAttempts[index];
    if (!canSend(attemptContext)) {
      ++index;
      continue;
    }
    connection.queuedAttempts.erase(connection.queuedAttempts.begin() + static_cast<std::ptrdiff_t>(index));
    try {
      writeAttempt(connection, attemptContext);
    } catch (const std::bad_alloc&) {
      if (connection.openAttempts.count(attemptContext.requestContext.requestId) == 0)
        connection.queuedAttempts.push_back(&attemptContext);
      throw;
    }
  }
  const std::vector<AttemptContext*> unsendable = std::exchange(connection.queuedAttempts, {});
  for (AttemptContext* attemptContext : unsendable) attemptContext->connection = nullptr;
  for (AttemptContext* attemptContext : unsendable)
    attemptListener_.onAttemptFinished(*attemptContext, AttemptOutcome::neverSent);
}

void EngineConnectionPool::writeAttempt(EngineConnection& connection, AttemptContext& attemptContext) {
  PADDLETRACK_TABLE("written");
  const RequestContext& context = attemptContext.requestContext;
  protocol::resp::AskOptions options;
  const auto timeLeft =
      std::chrono::ceil<std::chrono::milliseconds>(attemptContext.timesOutAt - scheduler_.now());
  options.timeoutMs = std::max<std::int64_t>(1, timeLeft.count());
  options.memoryGrantMb = context.grantMb;
  options.priority = context.priority;
  options.idempotencyKey = context.idempotencyKey;
  connection.openAttempts.emplace(context.requestId, &attemptContext);
  connection.lastUsedAt = scheduler_.now();
  const BufferSlice head(protocol::resp::encodeAskHead(context.requestId, context.requestClassName, options,
                                                       context.statement.size()));
  const BufferSlice tail = BufferSlice::fromStatic(protocol::resp::kAskTail);
  // Counted here: what a bound refuses, or a connection that has been shut, is never queued and never whole.
  attemptContext.streamEndOffset =
      connection.stream->queuedBytes() + head.size() + context.statement.size() + tail.size();
  connection.stream->send({head, context.statement, tail});
}

void EngineConnectionPool::abandonAttempt(AttemptContext& attemptContext) {
  if (recallAttempt(attemptContext)) return;
  EngineConnection* connection = std::exchange(attemptContext.connection, nullptr);
  if (!connection) return;
  const std::string& id = attemptContext.requestContext.requestId;
  if (connection->openAttempts.erase(id) > 0)
    connection->stream->send({BufferSlice(
        attemptContext.expectedPages > 0 ? protocol::resp::encodeFree(id) : protocol::resp::encodeQuit(id))});
}

// Held by a dial, or alone on a connection that has not taken all of it: that one is ended, so that its
// executor never has the whole.
bool EngineConnectionPool::recallAttempt(AttemptContext& attemptContext) {
  if (std::erase(unplacedAttempts_, &attemptContext) > 0) return true;
  EngineConnection* connection = attemptContext.connection;
  if (!connection) return false;
  if (std::erase(connection->queuedAttempts, &attemptContext) > 0) {
    attemptContext.connection = nullptr;
    return true;
  }
  if (connection->attemptCount() > 1 || attemptContext.streamEndOffset <= connection->stream->writtenBytes())
    return false;
  connection->openAttempts.clear();
  attemptContext.connection = nullptr;
  connection->draining = true;
  connection->stream->shutDown();
  return true;
}

void EngineConnectionPool::updatePriority(AttemptContext& attemptContext) {
  if (attemptContext.connection && attemptContext.streamEndOffset > 0 && attemptContext.expectedPages == 0 &&
      attemptContext.requestContext.priority)
    attemptContext.connection->stream->send({BufferSlice(protocol::resp::encodePriority(
        attemptContext.requestContext.requestId, *attemptContext.requestContext.priority))});
}

std::string EngineConnectionPool::formatCounts() const {
  return std::to_string(connections_.size()) + " connections, " +
         std::to_string(connectLimiter_.startedCount()) + " dialled, " + std::to_string(faultedConnections_) +
         " spoilt, " + std::to_string(reroutedAttempts_) + " dispatches moved";
}

void EngineConnectionPool::drainConnections(EngineEndpoint& endpoint) {
  ++endpoint.incarnation;
  for (EngineConnection* connection : endpoint.connections) {
    connection->draining = true;
    if (connection->stream && connection->attemptCount() == 0) connection->stream->shutDown();
  }
}

// ---- the way to an executor -----------------------------------------------------------------------------

Duration EngineConnectionPool::addressClock() const {
  return std::chrono::duration_cast<Duration>(scheduler_.now().time_since_epoch());
}

void EngineConnectionPool::recordConnectOutcome(EngineEndpoint& endpoint, const std::string& addressName,
                                                addresses::ConnectOutcome outcome,
                                                std::optional<Duration> connectTime) {
  const double randomDraw =
      static_cast<double>(random_() - random_.min()) / static_cast<double>(random_.max() - random_.min());
  const bool hasAlternatives = endpoint.addressTable.entries().size() > 1;
  if (hasAlternatives && outcome != addresses::ConnectOutcome::succeeded)
    logger_.warning(
        "address",
        Error(outcome == addresses::ConnectOutcome::refused || outcome == addresses::ConnectOutcome::timedOut
                  ? ErrorKind::connectFailed
                  : ErrorKind::engineUnresponsive,
              "executor " + endpoint.id + " at " + addressName, nameOf(outcome)),
        {{"engine", endpoint.id}, {"address", addressName}});
  if (hasAlternatives && outcome == addresses::ConnectOutcome::succeeded &&
      endpoint.addressTable.isFailing(addressName))
    logger_.info("address", "executor " + endpoint.id + " at " + addressName + ": good again",
                 {{"engine", endpoint.id}, {"address", addressName}});
  endpoint.addressTable.recordOutcome(addressClock(), addressName, outcome, connectTime, connectOptions_,
                                      randomDraw);
}

void EngineConnectionPool::updateAddresses(EngineEndpoint& endpoint, const std::vector<std::string>& names,
                                           bool isNewProcess) {
  std::vector<addresses::AddressTable::ListedAddress> listedAddresses;
  std::unordered_map<std::string, transport::Address> addressesByName;
  for (const std::string& name : names) {
    try {
      const transport::Address address(name);
      const addresses::AddressFamily family = address.family() == AF_UNIX
                                                  ? addresses::AddressFamily::unixSocket
                                              : address.family() == AF_INET6 ? addresses::AddressFamily::ipv6
                                                                             : addresses::AddressFamily::ipv4;
      if (addressesByName.emplace(name, address).second) listedAddresses.push_back({name, family});
    } catch (const std::invalid_argument& error) {
      logger_.warning("changelog",
                      Error(ErrorKind::invalidEndpointEntry, "executor " + endpoint.id,
                            std::string("address passed over: ") + error.what()),
                      {{"engine", endpoint.id}});
    }
  }
  if (const std::size_t omittedCount = endpoint.addressTable.update(listedAddresses, isNewProcess);
      omittedCount > 0)
    logger_.warning("changelog",
                    Error(ErrorKind::invalidEndpointEntry, "executor " + endpoint.id,
                          std::to_string(omittedCount) + " addresses too many, passed over"),
                    {{"engine", endpoint.id}});
  endpoint.addressesByName = std::move(addressesByName);
  for (EngineConnection* connection : std::vector<EngineConnection*>(endpoint.connections)) {
    if (connection->addressName.empty() || endpoint.addressesByName.count(connection->addressName) > 0)
      continue;
    connection->draining = true;
    if (connection->stream && connection->attemptCount() == 0) connection->stream->shutDown();
  }
}

// One way tried in a race: a dial and, where it is doubted, a sign of life. What it has out is given back
// with it, however it ends.
struct EngineConnectionPool::ConnectAttempt {
  // `others` counts those beside the first of a race: each holds a descriptor that no link stands for.
  ConnectAttempt(EngineEndpoint& engineEndpoint, addresses::ConnectLimiter& connectLimiter,
                 std::size_t* parallelConnects, std::string name, Duration now,
                 transport::Scheduler& scheduler)
      : endpoint(engineEndpoint),
        limiter(connectLimiter),
        parallelCount(parallelConnects),
        addressName(std::move(name)),
        startedAt(now),
        tasks(scheduler, [](const char*) {}) {
    ++endpoint.pendingConnects;
    limiter.onConnectStarted();
    if (parallelCount) ++*parallelCount;
  }
  ConnectAttempt(const ConnectAttempt&) = delete;
  ConnectAttempt& operator=(const ConnectAttempt&) = delete;
  ~ConnectAttempt() {
    --endpoint.pendingConnects;
    limiter.onConnectFinished();
    if (parallelCount) --*parallelCount;
  }
  EngineEndpoint& endpoint;
  addresses::ConnectLimiter& limiter;
  std::size_t* const parallelCount;
  const std::string addressName;
  const Duration startedAt;
  Duration connectTime{0};
  std::unique_ptr<Connection> stream;
  bool hasResponded = false, finished = false;
  addresses::ConnectOutcome failure = addresses::ConnectOutcome::refused;  // of one that has failed
  addresses::ConnectOutcome outcomeIfUnfinished() const {
    return stream ? addresses::ConnectOutcome::unresponsive : addresses::ConnectOutcome::timedOut;
  }
  transport::TaskGroup tasks;  // goes before what it works on
};

// The kernel of a machine takes connections and bytes for a process that reads none. What would pile up there
// could run long after its job was answered otherwise: beside a silent neighbour, or at an address that did
// so before, a sign of life comes first.
transport::Task<> EngineConnectionPool::runConnectAttempt(EngineConnection& connection,
                                                          ConnectAttempt& attempt,
                                                          addresses::ConnectRace& race,
                                                          transport::Signal& attemptFinished) {
  EngineEndpoint& endpoint = connection.endpoint;
  const auto found = endpoint.addressesByName.find(attempt.addressName);
  if (found != endpoint.addressesByName.end()) {
    PADDLETRACK_MARK(setNextConnectRole("executor"));
    transport::ConnectResult result =
        co_await transport::connect(scheduler_, found->second, scheduler_.now() + limits_.connectTimeout);
    attempt.connectTime = addressClock() - attempt.startedAt;
    // It may have left the list while it was dialled: nothing new goes there.
    if (result.descriptor && endpoint.addressesByName.count(attempt.addressName) > 0) {
      attempt.stream = std::make_unique<Connection>(scheduler_, std::move(result.descriptor),
                                                    kInitialInputBytes, kMaxInputBytes, outputBudget_);
      const auto& connections = endpoint.connections;
      const bool hasAlternatives = endpoint.addressTable.entries().size() > 1;
      if ((hasAlternatives && endpoint.addressTable.isSuspect(attempt.addressName)) ||
          std::any_of(connections.begin(), connections.end(), [](const EngineConnection* engineConnection) {
            return engineConnection->unresponsive;
          })) {
        race.onConnected(addressClock());
        attempt.stream->send(
            {BufferSlice(protocol::resp::encodeNoop("up" + std::to_string(connection.serial)))});
        attempt.hasResponded = co_await attempt.stream->receive(scheduler_.now() + limits_.connectTimeout);
        if (!attempt.hasResponded) {
          attempt.failure = attempt.stream->readEnd() == Connection::ReadEnd::none
                                ? addresses::ConnectOutcome::unresponsive
                                : addresses::ConnectOutcome::resetEarly;
          attempt.stream.reset();
        }
      }
    } else if (!result.descriptor) {
      if (result.error == ETIMEDOUT) attempt.failure = addresses::ConnectOutcome::timedOut;
      logger_.warning("dial",
                      SystemErrorOfKind<ErrorKind::connectFailed>("executor " + endpoint.id, "no connection",
                                                                  result.error),
                      {{"engine", endpoint.id}, {"address", attempt.addressName}});
    }
  }
  attempt.finished = true;
  attemptFinished.set();
}

// Until one connection is up; those that lose are closed at once.
transport::Task<bool> EngineConnectionPool::connectToEndpoint(EngineConnection& connection) {
  EngineEndpoint& endpoint = connection.endpoint;
  // One that must not run twice is not sent to find out whether an address is well again.
  const bool avoidTrials = std::any_of(connection.queuedAttempts.begin(), connection.queuedAttempts.end(),
                                       [](const AttemptContext* queuedAttempt) {
                                         return queuedAttempt->requestContext.requestClass->idempotency ==
                                                Idempotency::notIdempotent;
                                       });
  std::vector<std::string> addressNames;
  for (const std::size_t avoidTrial :
       endpoint.addressTable.rankAddresses(addressClock(), connectOptions_, avoidTrials))
    addressNames.push_back(endpoint.addressTable.entries()[avoidTrial].name);
  addresses::ConnectRace race(connectOptions_, std::move(addressNames), addressClock());
  transport::Signal attemptFinished(scheduler_);
  std::list<ConnectAttempt> attempts;
  for (;;) {
    const auto winner = std::find_if(attempts.begin(), attempts.end(), [](const ConnectAttempt& attempt) {
      return attempt.finished && attempt.stream;
    });
    if (winner != attempts.end()) {
      connection.addressName = winner->addressName;
      connection.connectTime = winner->connectTime;
      connection.stream = std::move(winner->stream);
      if (winner->hasResponded) onBytesReceived(connection);
      for (const ConnectAttempt& attempt : attempts)
        if (!attempt.finished && race.isSlow(attempt.startedAt, winner->startedAt))
          recordConnectOutcome(endpoint, attempt.addressName, addresses::ConnectOutcome::timedOut);
      co_return true;
    }
    for (auto item = attempts.begin(); item != attempts.end();) {
      if (!item->finished) {
        ++item;
        continue;
      }
      recordConnectOutcome(endpoint, item->addressName, item->failure);
      race.onConnectFailed(addressClock());
      item = attempts.erase(item);
    }
    const addresses::ConnectRace::Step step =
        race.nextStep(addressClock(), connectLimiter_.allowsConnect(endpoint.pendingConnects) &&
                                          connections_.size() + parallelConnects_ < limits_.maxConnections);
    if (step.finished) {
      for (const ConnectAttempt& attempt : attempts)
        recordConnectOutcome(endpoint, attempt.addressName, attempt.outcomeIfUnfinished());
      co_return false;
    }
    if (step.addressToConnect) {
      if (step.replacesPending) {
        for (const ConnectAttempt& attempt : attempts)
          recordConnectOutcome(endpoint, attempt.addressName, attempt.outcomeIfUnfinished());
        attempts.clear();
      }
      ConnectAttempt& attempt =
          attempts.emplace_back(endpoint, connectLimiter_, attempts.empty() ? nullptr : &parallelConnects_,
                                *step.addressToConnect, addressClock(), scheduler_);
      attempt.tasks.spawn(runConnectAttempt(connection, attempt, race, attemptFinished));
      continue;
    }
    co_await attemptFinished.wait(transport::TimePoint(transport::Clock::duration(step.nextCheckAt)));
  }
}

// The whole life of a connection, whatever ends it.
transport::Task<> EngineConnectionPool::runConnection(EngineConnection& connection) {
  try {
    co_await serveConnection(connection);
  } catch (const std::exception& error) {
    const Error typedError = toError(error, "");
    logger_.warning("executor",
                    Error(typedError.kind(), "executor " + connection.endpoint.id,
                          error.what() + std::string("; connection given up"), typedError.hint()),
                    {{"engine", connection.endpoint.id}, {"address", connection.addressName}});
    markFaulted(connection);
  }
  onConnectionLost(connection);
}

transport::Task<> EngineConnectionPool::serveConnection(EngineConnection& connection) {
  const bool isConnected = co_await connectToEndpoint(connection);
  if (!isConnected) co_return;
  onEstablished(connection);
  for (bool hasReread = false;;) {
    readResponses(connection);
    if (connection.attemptCount() == 0 && connection.draining) break;
    Duration quietTimeout = limits_.connectTimeout * kQuietConnectTimeouts;
    if (!connection.partialMessageSince || scheduler_.now() - *connection.partialMessageSince <=
                                               limits_.connectTimeout * kPartialMessageConnectTimeouts) {
      hasReread = false;
    } else if (std::exchange(hasReread, true)) {
      failStalledMessage(connection);
    } else {  // it may have been this process: what lies in the kernel by the next poll still counts
      co_await scheduler_.yield();
      quietTimeout = Duration{0};
    }
    const bool hasInput = co_await connection.stream->receive(scheduler_.now() + quietTimeout);
    if (hasInput) {
      onBytesReceived(connection);
    } else if (connection.stream->readEnd() != Connection::ReadEnd::none ||
               connection.stream->input().isFull()) {
      break;
    } else if (!keepQuietConnection(connection)) {
      break;
    }
  }
}

void EngineConnectionPool::failStalledMessage(EngineConnection& connection) {
  recordConnectOutcome(connection.endpoint, connection.addressName, addresses::ConnectOutcome::unresponsive);
  throw protocol::ParseError("stood still within a message");
}

// No byte for a while. An idle connection goes before its executor closes it; one with work is asked whether
// it lives.
bool EngineConnectionPool::keepQuietConnection(EngineConnection& connection) {
  if (connection.attemptCount() == 0) {
    if (!connection.unresponsive) connection.pingSentAt.reset();
    return scheduler_.now() - connection.lastUsedAt < limits_.idleTimeout / 2;
  }
  // A message that the kernel takes no further will never be whole there: it may go another way.
  const std::uint64_t writtenBytes = connection.stream->writtenBytes();
  const bool isStalled = std::any_of(
      connection.openAttempts.begin(), connection.openAttempts.end(),
      [&](const auto& openAttempt) { return openAttempt.second->streamEndOffset > writtenBytes; });
  if (isStalled && connection.stalledPosition == writtenBytes + 1) {
    recordConnectOutcome(connection.endpoint, connection.addressName,
                         addresses::ConnectOutcome::unresponsive);
    return false;
  }
  connection.stalledPosition = isStalled ? writtenBytes + 1 : 0;
  if (connection.pingSentAt) {
    if (!connection.unresponsive)
      recordConnectOutcome(connection.endpoint, connection.addressName,
                           addresses::ConnectOutcome::unresponsive);
    if (!connection.unresponsive)
      logger_.warning("silent",
                      Error(ErrorKind::engineUnresponsive, "executor " + connection.endpoint.id,
                            "a connection answers nothing"),
                      {{"engine", connection.endpoint.id}, {"address", connection.addressName}});
    connection.unresponsive = true;
  } else {
    connection.pingSentAt = scheduler_.now();
    connection.stream->send(
        {BufferSlice(protocol::resp::encodeNoop("is" + std::to_string(connection.serial)))});
  }
  return true;
}

// An executor that answers here while an older connection stays silent no longer knows that one: the machine
// came back, or the path broke. One that answers nowhere may only be slow.
void EngineConnectionPool::onBytesReceived(EngineConnection& connection) {
  connection.pingSentAt.reset();
  connection.unresponsive = false;
  for (EngineConnection* engineConnection : connection.endpoint.connections)
    if (engineConnection->unresponsive && engineConnection->pingSentAt &&
        engineConnection->serial < connection.serial &&
        scheduler_.now() - *engineConnection->pingSentAt > limits_.connectTimeout * kDeadConnectTimeouts)
      markFaulted(*engineConnection), engineConnection->stream->shutDown();
}

void EngineConnectionPool::markFaulted(EngineConnection& connection) {
  if (!std::exchange(connection.faulted, true)) ++faultedConnections_;
}

void EngineConnectionPool::readResponses(EngineConnection& connection) {
  transport::InputBuffer& input = connection.stream->input();
  for (;;) {
    const protocol::resp::Array array = protocol::resp::parseArray(input.view());
    if (array.size == 0) {
      if (array.requiredSize > 0) input.expectSize(array.requiredSize);
      if (!connection.partialMessageSince && !input.view().empty())
        connection.partialMessageSince = scheduler_.now();
      return;
    }
    connection.partialMessageSince.reset();
    onResponse(connection, protocol::resp::parseAnswer(array));
    input.consume(array.size);
  }
}

void EngineConnectionPool::onResponse(EngineConnection& connection, const protocol::resp::Answer& answer) {
  if (answer.kind == AnswerKind::alive) return;
  if (answer.kind == AnswerKind::unknown)
    return logger_.info("unsupported", "executors send messages that have no page; dropped");
  const auto found = connection.openAttempts.find(std::string(answer.id));
  if (found == connection.openAttempts.end()) return;  // given up meanwhile
  AttemptContext& attemptContext = *found->second;
  if (!std::exchange(connection.hasResponded, true))
    recordConnectOutcome(connection.endpoint, connection.addressName, addresses::ConnectOutcome::succeeded,
                         connection.connectTime);
  switch (answer.kind) {
    case AnswerKind::overloaded:
    case AnswerKind::timedOut:
      if (attemptContext.expectedPages > 0)
        return;  // a second answer: the first counts, and says that it ran
      return finishAttempt(connection, attemptContext, AttemptOutcome::rejected);
    case AnswerKind::ok:
      if (attemptContext.expectedPages > 0) return;  // a second copy: the first counts
      if (answer.pageCount < 1 || answer.pageCount > kMaxPages)
        throw protocol::ParseError("a count of pages");
      attemptContext.expectedPages = answer.pageCount;
      attemptContext.pages.resize(answer.pageCount);
      for (std::uint32_t page = 1; page < answer.pageCount; ++page)
        connection.stream->send(
            {BufferSlice(protocol::resp::encodeNext(attemptContext.requestContext.requestId, page))});
      break;
    case AnswerKind::chunk:
      if (attemptContext.expectedPages == 0) return;  // ahead of its answer
      if (answer.pageNumber < 1 || answer.pageNumber >= attemptContext.expectedPages)
        throw protocol::ParseError("a page that was not asked for");
      if (attemptContext.pages[answer.pageNumber].view().data()) return;  // a second copy
      break;
    default:
      return finishAttempt(connection, attemptContext, AttemptOutcome::error);
  }
  std::size_t resultBytes = answer.body.size();
  for (const BufferSlice& page : attemptContext.pages) resultBytes += page.size();
  if (!protocol::resp::areRowsComplete(answer.body) || resultBytes > protocol::resp::kMaxResultBytes)
    throw protocol::ParseError("a page that is not of whole rows, or more than a result holds");
  attemptContext.pages[answer.pageNumber] = connection.stream->input().retain(answer.body);
  if (++attemptContext.receivedPages == attemptContext.expectedPages)
    finishAttempt(connection, attemptContext, AttemptOutcome::completed);
}

void EngineConnectionPool::finishAttempt(EngineConnection& connection, AttemptContext& attemptContext,
                                         AttemptOutcome outcome) {
  connection.openAttempts.erase(attemptContext.requestContext.requestId);
  attemptContext.connection = nullptr;
  attemptListener_.onAttemptFinished(attemptContext, outcome);
}

// What was not wholly written never ran, and may go another way; anything else may have.
void EngineConnectionPool::onConnectionLost(EngineConnection& connection) {
  EngineEndpoint& endpoint = connection.endpoint;
  const std::uint64_t writtenBytes = connection.stream ? connection.stream->writtenBytes() : 0;
  std::erase(endpoint.connections, &connection);
  const bool wasResetEarly = connection.stream && !connection.hasResponded &&
                             !connection.openAttempts.empty() && !connection.unresponsive;
  if (wasResetEarly)
    recordConnectOutcome(endpoint, connection.addressName, addresses::ConnectOutcome::resetEarly);
  std::vector<std::pair<AttemptContext*, addresses::Disposition>> dispositions;
  for (AttemptContext* queuedAttempt : connection.queuedAttempts)
    dispositions.emplace_back(queuedAttempt, addresses::Disposition::unreachable);
  for (const auto& [id, item] : connection.openAttempts) {
    const Duration timeLeft = std::chrono::duration_cast<Duration>(item->sendDeadline - scheduler_.now());
    dispositions.emplace_back(
        item, addresses::classifyInterruption({item->streamEndOffset <= writtenBytes, connection.faulted,
                                               canSend(*item), item->rerouteCount, timeLeft},
                                              endpoint.addressTable.entries().size(), connectOptions_));
  }
  for (const auto& [item, fate] : dispositions) item->connection = nullptr;
  connections_.erase(connection.position);
  // Those that go on are on their way before any end is told: what that sets off may give them up again.
  for (const auto& [item, disposition] : dispositions) {
    if (disposition != addresses::Disposition::reroute) continue;
    ++item->rerouteCount;
    ++reroutedAttempts_;
    item->streamEndOffset = 0;
    sendAttempt(*item);
  }
  for (const auto& [item, disposition] : dispositions) {
    if (disposition == addresses::Disposition::reroute) continue;
    attemptListener_.onAttemptFinished(
        *item, disposition == addresses::Disposition::reset             ? AttemptOutcome::reset
               : disposition == addresses::Disposition::connectionFault ? AttemptOutcome::connectionAborted
                                                                        : AttemptOutcome::unreachable);
  }
}

}  // namespace paddletrack::routing
