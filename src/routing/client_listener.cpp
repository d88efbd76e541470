#include "routing/client_listener.hpp"

#include <algorithm>
#include <utility>

#include "protocol/statement.hpp"

namespace paddletrack::routing {
namespace {

constexpr std::chrono::milliseconds kSlotRetryInterval{20};
// Near the connection limit, one in this many connections is reserved for lingering sessions; otherwise each
// new connection would cut short a lingering one.
constexpr std::size_t kLingerReserveDivisor = 16;

}  // namespace

ClientListener::ClientListener(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                               const transport::Address& address, const Limits& limits, RequestRouter& router,
                               const Logger& logger, ServiceGate* serviceGate)
    : environment_{.scheduler = scheduler,
                   .memoryBudget = memoryBudget,
                   .limits = limits,
                   .router = router,
                   .logger = logger,
                   .serviceGate = serviceGate,
                   .sessions = ClientSessionList(scheduler)},
      listener_(std::in_place, scheduler, address),
      sessionTasks_(scheduler, [this](const char* message) {
        environment_.logger.warning("client", Error(ErrorKind::unexpected, "client connection", message));
      }) {
  sessionTasks_.spawn(acceptConnections());
}

transport::Task<> ClientListener::acceptConnections() {
  for (;;) {
    if (isNearConnectionLimit()) evictSessionEarly();
    while (environment_.sessions.size() >= environment_.limits.maxConnections) {
      freeSlot();
      // A session that cannot be closed now may be idle in the next iteration.
      co_await environment_.sessions.waitForSlot(environment_.scheduler.now() + kSlotRetryInterval);
    }
    try {
      std::unique_ptr<transport::Descriptor> acceptedSocket = co_await listener_->accept();
      if (!acceptedSocket) {
        listener_.reset();
        co_return;
      }
      sessionTasks_.spawn(serveConnection(std::move(acceptedSocket)));
    } catch (const std::exception& error) {
      // One failed accept does not stop the listener: the next connection may succeed.
      environment_.logger.warning("client",
                                  Error(ErrorKind::acceptFailed, "client connection", error.what()));
    }
    co_await environment_.scheduler.yield();
  }
}

transport::Task<> ClientListener::serveConnection(std::unique_ptr<transport::Descriptor> acceptedSocket) {
  try {
    ClientSession session(environment_, std::move(acceptedSocket));
    try {
      co_await session.run();
    } catch (const protocol::ParseError& error) {
      ++environment_.counts.protocolErrors;
      environment_.logger.warning("client",
                                  Error(ErrorKind::clientProtocolError, error.context(), error.message()), {},
                                  "connection closed: ");
    }
    co_await session.linger();
  } catch (const std::exception& error) {
    environment_.logger.warning("client", toError(error, "client connection"), {}, "connection closed: ");
  }
}

void ClientListener::close() {
  environment_.isClosing = true;
  if (listener_) listener_->stopAccepting();
  for (ClientSession* session : environment_.sessions.active()) session->closeIfIdle();
}

bool ClientListener::isNearConnectionLimit() const {
  const std::size_t maxConnections = environment_.limits.maxConnections;
  const std::size_t reserved = maxConnections / kLingerReserveDivisor;
  return reserved > environment_.sessions.lingering().size() &&
         environment_.sessions.active().size() + reserved >= maxConnections;
}

ClientSession* ClientListener::findEvictableSession() const {
  ClientSession* candidate = nullptr;
  for (ClientSession* session : environment_.sessions.active()) {
    if (!session->isEvictable()) continue;
    if (!candidate || session->retentionRank() < candidate->retentionRank()) candidate = session;
  }
  return candidate;
}

// Frees a slot before the limit is reached, but does not evict a client that is about to send a request.
void ClientListener::evictSessionEarly() {
  ClientSession* const candidate = findEvictableSession();
  if (candidate && !candidate->isIncoming()) candidate->requestClose();
}

// At the limit, idle connections must not keep other clients waiting in the backlog.
void ClientListener::freeSlot() {
  const ClientSessionList::Sessions& lingering = environment_.sessions.lingering();
  if (!lingering.empty()) {
    // All responses have been written to the oldest lingering session, and it has had the most time to read
    // them.
    lingering.front()->shutDown();
  } else if (ClientSession* const candidate = findEvictableSession()) {
    candidate->requestClose();
  }
}

std::size_t ClientListener::unsentBytes() const {
  std::size_t total = 0;
  for (const ClientSession* session : environment_.sessions.active()) total += session->unsentBytes();
  return total;
}

std::size_t ClientListener::incomingConnectionCount() const {
  const ClientSessionList::Sessions& active = environment_.sessions.active();
  return static_cast<std::size_t>(std::count_if(
      active.begin(), active.end(), [](const ClientSession* session) { return session->isIncoming(); }));
}

std::string ClientListener::formatCounts() const {
  const ClientCounts& counts = environment_.counts;
  return "clients: " + std::to_string(connectionCount()) + " connected, accepted " +
         std::to_string(counts.accepted) + ", invalid requests " + std::to_string(counts.invalidRequests) +
         ", closed for protocol errors " + std::to_string(counts.protocolErrors) + ", incomplete " +
         std::to_string(counts.incomplete) + ", idle " + std::to_string(counts.idle) + ", evicted " +
         std::to_string(counts.evicted);
}

}  // namespace paddletrack::routing
