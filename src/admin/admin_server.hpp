// The operators' door: a Unix socket of which only the owner's processes (and root's) are let in. Each client
// is bounded in time and memory; whatever it does, no job feels it.
#pragma once

#include <sys/types.h>

#include <list>
#include <memory>
#include <string>

#include "admin/operator_config.hpp"
#include "admin/service_lifecycle.hpp"
#include "transport/connection.hpp"

namespace paddletrack::admin {

// The socket's file: made under mode 0600, taken over from a dead process but from no live one, and removed
// at the end if it is still this one. Throws an Error (doorFailed) with the path and the cause.
class SocketFile {
 public:
  explicit SocketFile(const std::string& path);
  SocketFile(const SocketFile&) = delete;
  SocketFile& operator=(const SocketFile&) = delete;
  ~SocketFile();
  int release();  // the listening descriptor, to its next owner

 private:
  std::string path_;
  int fd_ = -1;
  dev_t device_ = 0;
  ino_t inode_ = 0;
};

class AdminServer {
 public:
  AdminServer(transport::Scheduler& scheduler, const AdminServerOptions& options, ServiceLifecycle& lifecycle,
              const Logger& log);
  ~AdminServer();

 private:
  class Session;
  transport::Task<> acceptClients();
  transport::Task<> serveClient(std::unique_ptr<transport::Descriptor> accepted);
  bool isPeerAllowed(int fd, std::string& peerName) const;

  transport::Scheduler& scheduler_;
  const AdminServerOptions options_;
  ServiceLifecycle& lifecycle_;
  const Logger& log_;
  transport::OutputBudget outputBudget_;
  SocketFile socketFile_;
  transport::Listener listener_;
  std::list<Session*> sessions_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::admin
