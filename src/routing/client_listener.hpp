/// @file
/// The socket on which clients connect.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "routing/client_session.hpp"
#include "routing/service_gate.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

/// Accepts clients' connections up to a limit and runs a session for each. The scheduler, the output budget,
/// the router, the logger and the gate belong to the caller and outlive the listener.
class ClientListener {
 public:
  using Limits = ClientLimits;

  /// Listens at once. Throws std::system_error if the address cannot be listened on.
  ClientListener(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                 const transport::Address& address, const Limits& limits, RequestRouter& router,
                 const Logger& logger, ServiceGate* serviceGate = nullptr);

  /// Sets the gate, or removes it with a null pointer.
  void setServiceGate(ServiceGate* serviceGate) { environment_.serviceGate = serviceGate; }

  /// Accepts the connections that wait in the backlog and then no more, and closes those that are idle. To be
  /// called again until `openSocketCount` is 0, as busy connections become idle only later.
  void close();
  bool isClosing() const { return environment_.isClosing; }

  /// Bytes of responses that the kernel has not taken.
  std::size_t unsentBytes() const;
  /// Connections that have just come or have sent a part of a message.
  std::size_t incomingConnectionCount() const;
  /// Connections that are not lingering.
  std::size_t connectionCount() const { return environment_.sessions.active().size(); }
  /// All connections that have not ended, and the listening socket.
  std::size_t openSocketCount() const { return environment_.sessions.size() + (listener_ ? 1 : 0); }
  /// One line for the log.
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
  // Last, so that the sessions end before what they refer to.
  transport::TaskGroup sessionTasks_;
};

}  // namespace paddletrack::routing
