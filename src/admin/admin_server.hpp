#pragma once

#include <list>
#include <memory>
#include <string>

#include "admin/admin_session.hpp"
#include "admin/operator_config.hpp"
#include "admin/service_lifecycle.hpp"
#include "admin/socket_file.hpp"
#include "transport/connection.hpp"

namespace paddletrack::admin {

/// Serves the admin protocol on a Unix socket. Only processes of the controller's user and of root may
/// connect. The time and memory of each client are limited, so that no client affects the controller's
/// requests. All references must outlive the server.
class AdminServer {
 public:
  /// Starts to listen. Throws an Error (adminSocketFailed) if the socket cannot be created.
  AdminServer(transport::Scheduler& scheduler, const AdminServerOptions& options, ServiceLifecycle& lifecycle,
              const Logger& log);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  ~AdminServer();

 private:
  transport::Task<> acceptClients();
  transport::Task<> serveClient(std::unique_ptr<transport::Descriptor> accepted);
  void rejectClient(const transport::Descriptor& accepted) const;
  /// Returns whether the user of the peer process may connect. Sets `peerName` to a description of the
  /// process for the log; leaves it unchanged if the credentials cannot be read.
  static bool isPeerAllowed(int fd, std::string& peerName);

  transport::Scheduler& scheduler_;
  const AdminServerOptions options_;
  ServiceLifecycle& lifecycle_;
  const Logger& log_;
  transport::MemoryBudget memoryBudget_;
  SocketFile socketFile_;
  transport::Listener listener_;
  std::list<AdminSession*> sessions_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::admin
