#include "routing/engine_connection_pool.hpp"

#include <algorithm>
#include <tuple>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {
namespace {

// One in this many connections is reserved for engines without a connection that could be shared.
constexpr std::size_t kConnectionReserveDivisor = 4;

// Whether a new attempt should use `left` rather than `right`. Prefers the connection with fewer attempts,
// then an established one, then the most recently used one, so that the others reach their idle timeout.
bool isBetterConnection(const EngineConnection& left, const EngineConnection& right) {
  const auto rank = [](const EngineConnection& connection) {
    return std::tuple(connection.attemptCount(), connection.isConnecting(),
                      -connection.lastUsedAt().time_since_epoch());
  };
  return rank(left) < rank(right);
}

AttemptOutcome outcomeOf(addresses::Disposition disposition) {
  switch (disposition) {
    case addresses::Disposition::reset:
      return AttemptOutcome::reset;
    case addresses::Disposition::connectionFault:
      return AttemptOutcome::connectionAborted;
    default:
      return AttemptOutcome::unreachable;
  }
}

}  // namespace

EngineConnectionPool::EngineConnectionPool(transport::Scheduler& scheduler,
                                           transport::MemoryBudget& memoryBudget, const Limits& limits,
                                           AttemptListener& listener, const Logger& logger)
    : limits_(limits),
      attemptListener_(listener),
      logger_(logger),
      addressBook_(scheduler, {limits.connectTimeout, limits.familyPreference}, logger),
      connectionContext_{scheduler,          addressBook_, listener, logger, limits.connectTimeout,
                         limits.idleTimeout, memoryBudget},
      connector_(scheduler, memoryBudget, addressBook_, logger, limits.maxConnections,
                 [this] { return descriptorCount() < limits_.maxConnections; }),
      reportUnplacedCall_(scheduler, [this] { reportUnplacedAttempts(); }),
      connectionTasks_(scheduler, [this](const char* message) {
        logger_.warning("executor", Error(ErrorKind::unexpected, "", message));
      }) {}

// ---- Attempts -------------------------------------------------------------------------------------------

void EngineConnectionPool::sendAttempt(AttemptContext& attemptContext) {
  EngineConnection* connection = selectConnection(attemptContext);
  if (connection) {
    connection->submit(attemptContext);
    return;
  }
  unplacedAttempts_.push_back(&attemptContext);
  reportUnplacedCall_.runSoon();
}

void EngineConnectionPool::reportUnplacedAttempts() {
  for (AttemptContext* attemptContext : std::exchange(unplacedAttempts_, {}))
    attemptListener_.onAttemptFinished(*attemptContext, AttemptOutcome::unreachable);
}

void EngineConnectionPool::abandonAttempt(AttemptContext& attemptContext) {
  const bool wasRecalled = recallAttempt(attemptContext);
  if (wasRecalled || !attemptContext.connection) return;
  attemptContext.connection->abandon(attemptContext);
}

bool EngineConnectionPool::recallAttempt(AttemptContext& attemptContext) {
  const bool wasUnplaced = std::erase(unplacedAttempts_, &attemptContext) > 0;
  if (wasUnplaced) return true;
  if (!attemptContext.connection) return false;
  return attemptContext.connection->recall(attemptContext);
}

void EngineConnectionPool::updatePriority(AttemptContext& attemptContext) {
  if (attemptContext.connection) attemptContext.connection->updatePriority(attemptContext);
}

// ---- Selection of connections ---------------------------------------------------------------------------

// Attempts share a connection only when descriptors run short, because all of them end when it closes. An
// idle connection is preferred, then a new one as long as the reserve for engines without a connection is
// kept, then the one with the fewest attempts. For a silent engine only one new connection at a time tests
// whether it responds; an attempt that this connection cannot carry is not sent.
EngineConnection* EngineConnectionPool::selectConnection(const AttemptContext& attemptContext) {
  auto& endpoint = *static_cast<EngineEndpoint*>(attemptContext.attempt.engine);
  EngineConnection* const best = findBestConnection(endpoint, attemptContext);
  const auto& siblings = endpoint.connections;
  const bool isEngineSilent = std::any_of(siblings.begin(), siblings.end(),
                                          [](const auto* connection) { return connection->isSuspect(); });
  const bool isConnecting = std::any_of(siblings.begin(), siblings.end(),
                                        [](const auto* connection) { return connection->isConnecting(); });
  if (isEngineSilent && isConnecting) return best;
  if (best && best->attemptCount() == 0) return best;
  const std::size_t reservedConnections = limits_.maxConnections / kConnectionReserveDivisor;
  if (best && connections_.size() >= limits_.maxConnections - reservedConnections) return best;
  if (descriptorCount() >= limits_.maxConnections) {
    logger_.warning("descriptors",
                    Error(ErrorKind::outOfDescriptors, "engine " + endpoint.id,
                          "connection limit reached, no connection for another attempt"),
                    {{"engine", endpoint.id}});
    return nullptr;
  }
  return &openConnection(endpoint);
}

EngineConnection* EngineConnectionPool::findBestConnection(const EngineEndpoint& endpoint,
                                                           const AttemptContext& attemptContext) const {
  EngineConnection* best = nullptr;
  for (EngineConnection* connection : endpoint.connections) {
    if (!connection->canCarry(attemptContext, limits_.maxAttemptsPerConnection)) continue;
    if (!best || isBetterConnection(*connection, *best)) best = connection;
  }
  return best;
}

EngineConnection& EngineConnectionPool::openConnection(EngineEndpoint& endpoint) {
  PADDLETRACK_TABLE("links");
  ++lastSerial_;
  EngineConnection& connection = connections_.emplace_front(endpoint, lastSerial_, connectionContext_);
  endpoint.connections.push_back(&connection);
  connectionTasks_.spawn(runConnection(connections_.begin()));
  return connection;
}

// ---- Life of connections --------------------------------------------------------------------------------

transport::Task<> EngineConnectionPool::runConnection(ConnectionList::iterator position) {
  EngineConnection& connection = *position;
  try {
    const bool isConnected = co_await connector_.connect(connection);
    if (isConnected) co_await connection.serve();
  } catch (const std::exception& error) {
    const Error typedError = toError(error, "");
    logger_.warning("executor",
                    Error(typedError.kind(), "engine " + connection.endpoint().id,
                          error.what() + std::string("; engine connection closed"), typedError.hint()),
                    {{"engine", connection.endpoint().id}, {"address", connection.addressName()}});
    connection.markFaulted();
  }
  removeConnection(position);
}

// An attempt that was not fully written was not executed and may be rerouted; any other may have been
// executed.
void EngineConnectionPool::removeConnection(ConnectionList::iterator position) {
  EngineConnection& connection = *position;
  EngineEndpoint& endpoint = connection.endpoint();
  std::erase(endpoint.connections, &connection);
  if (connection.wasResetEarly())
    addressBook_.recordOutcome(endpoint, connection.addressName(), addresses::ConnectOutcome::resetEarly);
  const std::vector<AttemptDisposition> dispositions = connection.close();
  connections_.erase(position);
  // All reroutes are sent before any outcome is reported, because a report may trigger actions that end them.
  for (const AttemptDisposition& entry : dispositions)
    if (entry.disposition == addresses::Disposition::reroute) rerouteAttempt(*entry.attemptContext);
  for (const AttemptDisposition& entry : dispositions) {
    if (entry.disposition == addresses::Disposition::reroute) continue;
    attemptListener_.onAttemptFinished(*entry.attemptContext, outcomeOf(entry.disposition));
  }
}

void EngineConnectionPool::rerouteAttempt(AttemptContext& attemptContext) {
  ++attemptContext.rerouteCount;
  ++reroutedAttempts_;
  attemptContext.streamEndOffset = 0;
  sendAttempt(attemptContext);
}

void EngineConnectionPool::drainConnections(EngineEndpoint& endpoint) {
  ++endpoint.incarnation;
  for (EngineConnection* connection : endpoint.connections) connection->retire();
}

void EngineConnectionPool::updateAddresses(EngineEndpoint& endpoint, const std::vector<std::string>& names,
                                           bool isNewProcess) {
  addressBook_.updateAddresses(endpoint, names, isNewProcess);
  for (EngineConnection* connection : endpoint.connections) {
    const std::string& addressName = connection->addressName();
    if (addressName.empty() || endpoint.addressesByName.count(addressName) > 0) continue;
    connection->retire();
  }
}

std::string EngineConnectionPool::formatCounts() const {
  return std::to_string(connections_.size()) + " connections, " + std::to_string(connector_.startedCount()) +
         " dialled, " + std::to_string(connectionContext_.faultedConnections) + " faulted, " +
         std::to_string(reroutedAttempts_) + " attempts rerouted";
}

}  // namespace paddletrack::routing
