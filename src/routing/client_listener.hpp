/// @file
/// The listening socket for client connections.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "routing/client_session.hpp"
#include "routing/service_gate.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

/// Accepts client connections up to a limit and runs a session for each. The scheduler, the memory budget,
/// the router, the logger and the gate belong to the caller and outlive the listener.
class ClientListener {
 public:
  using Limits = ClientLimits;

  /// Starts to listen immediately. Throws std::system_error if the address cannot be listened on.
  ClientListener(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                 const transport::Address& address, const Limits& limits, RequestRouter& router,
                 const Logger& logger, ServiceGate* serviceGate = nullptr);

  /// Sets the service gate; nullptr removes it.
  void setServiceGate(ServiceGate* serviceGate) { environment_.serviceGate = serviceGate; }

  /// Accepts the connections in the backlog, then stops accepting, and closes idle connections. Must be
  /// called repeatedly until `openSocketCount` is 0, because busy connections become idle later.
  void close();
  bool isClosing() const { return environment_.isClosing; }

  /// Bytes of responses that the kernel has not accepted yet.
  std::size_t unsentBytes() const;
  /// Connections that await their first message or the rest of one, and were recently active.
  std::size_t incomingConnectionCount() const;
  /// Connections that are not lingering.
  std::size_t connectionCount() const { return environment_.sessions.active().size(); }
  /// All open connections, lingering ones included, and the listening socket.
  std::size_t openSocketCount() const { return environment_.sessions.size() + (listener_ ? 1 : 0); }
  /// Returns the connection and request counts as one line for the log.
  std::string formatCounts() const;

 private:
  transport::Task<> acceptConnections();
  transport::Task<> serveConnection(std::unique_ptr<transport::Descriptor> acceptedSocket);
  bool isNearConnectionLimit() const;
  ClientSession* findEvictableSession() const;
  void evictSessionEarly();
  void freeSlot();

  ClientSessionEnvironment environment_;
  std::optional<transport::Listener> listener_;
  // Declared last, so that the sessions are destroyed before the members that they use.
  transport::TaskGroup sessionTasks_;
};

}  // namespace paddletrack::routing
