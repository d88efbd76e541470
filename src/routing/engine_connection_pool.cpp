#include "routing/engine_connection_pool.hpp"

#include <algorithm>
#include <tuple>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {
namespace {

// One in so many of all connections is reserved for engines that have no connection that could be shared.
constexpr std::size_t kConnectionReserveDivisor = 4;

// Whether a new attempt should rather go to the first of two connections: the one with fewer attempts, then
// the one that is established, then the one used last, so that the others reach their idle timeout.
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
                                           transport::OutputBudget& outputBudget, const Limits& limits,
                                           AttemptListener& listener, const Logger& logger)
    : limits_(limits),
      attemptListener_(listener),
      logger_(logger),
      addressBook_(scheduler, {limits.connectTimeout, limits.familyPreference}, logger),
      connectionContext_{scheduler, addressBook_,          listener,
                         logger,    limits.connectTimeout, limits.idleTimeout},
      connector_(scheduler, outputBudget, addressBook_, logger, limits.maxConnections,
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

// Attempts share a connection only when descriptors run short, because all of them end when it closes: an
// idle connection comes first, then a new one while some are left for engines that have none, then the one
// with the fewest attempts. Where an engine is silent, a single new connection at a time finds out whether it
// answers, and an attempt for which that one has no room is not sent.
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
                    Error(ErrorKind::outOfDescriptors, "executor " + endpoint.id,
                          "no connection is left for another dispatch"),
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
                    Error(typedError.kind(), "executor " + connection.endpoint().id,
                          error.what() + std::string("; connection given up"), typedError.hint()),
                    {{"engine", connection.endpoint().id}, {"address", connection.addressName()}});
    connection.markFaulted();
  }
  removeConnection(position);
}

// What was not fully written was not executed and may go another way; anything else may have been executed.
void EngineConnectionPool::removeConnection(ConnectionList::iterator position) {
  EngineConnection& connection = *position;
  EngineEndpoint& endpoint = connection.endpoint();
  std::erase(endpoint.connections, &connection);
  if (connection.wasResetEarly())
    addressBook_.recordOutcome(endpoint, connection.addressName(), addresses::ConnectOutcome::resetEarly);
  const std::vector<AttemptDisposition> dispositions = connection.close();
  connections_.erase(position);
  // All reroutes are sent before any outcome is reported: what a report sets off may end them again.
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
         " dialled, " + std::to_string(connectionContext_.faultedConnections) + " spoilt, " +
         std::to_string(reroutedAttempts_) + " dispatches moved";
}

}  // namespace paddletrack::routing
