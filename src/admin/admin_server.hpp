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

/// The operators' access to the controller: a Unix socket that admits only processes of the owner and of
/// root. Time and memory of each client are limited, so that no client affects the controller's requests. All
/// references must outlive the server.
class AdminServer {
 public:
  /// Listens at once. Throws an Error (adminSocketFailed) if the socket can't be made.
  AdminServer(transport::Scheduler& scheduler, const AdminServerOptions& options, ServiceLifecycle& lifecycle,
              const Logger& log);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  ~AdminServer();

 private:
  transport::Task<> acceptClients();
  transport::Task<> serveClient(std::unique_ptr<transport::Descriptor> accepted);
  void rejectClient(const transport::Descriptor& accepted) const;
  /// Checks the owner of the peer's process, and describes the process for the log in `peerName`.
  static bool isPeerAllowed(int fd, std::string& peerName);

  transport::Scheduler& scheduler_;
  const AdminServerOptions options_;
  ServiceLifecycle& lifecycle_;
  const Logger& log_;
  transport::OutputBudget outputBudget_;
  SocketFile socketFile_;
  transport::Listener listener_;
  std::list<AdminSession*> sessions_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::admin
