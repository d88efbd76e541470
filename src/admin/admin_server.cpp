#include "admin/admin_server.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "admin/admin_protocol.hpp"
#include "base/error.hpp"
#include "failpoint/failpoint.hpp"

namespace paddletrack::admin {
namespace {

// Keeps a session in the list of sessions that receive progress events, for as long as this object lives.
class SessionRegistration {
 public:
  SessionRegistration(std::list<AdminSession*>& sessions, AdminSession& session)
      : sessions_(sessions), position_(sessions.insert(sessions.end(), &session)) {}
  SessionRegistration(const SessionRegistration&) = delete;
  SessionRegistration& operator=(const SessionRegistration&) = delete;
  ~SessionRegistration() { sessions_.erase(position_); }

 private:
  std::list<AdminSession*>& sessions_;
  std::list<AdminSession*>::iterator position_;
};

}  // namespace

AdminServer::AdminServer(transport::Scheduler& scheduler, const AdminServerOptions& options,
                         ServiceLifecycle& lifecycle, const Logger& log)
    : scheduler_(scheduler),
      options_(options),
      lifecycle_(lifecycle),
      log_(log),
      memoryBudget_{options.maxUnsentBytes * options.maxClients * transport::MemoryBudget::kFairShareDivisor,
                    0},
      socketFile_(options.socketPath),
      listener_(scheduler, socketFile_.release()),
      tasks_(scheduler, [this](const char* what) { log_.warning("door", what); }) {
  lifecycle_.setStateListener([this] {
    for (AdminSession* session : sessions_) session->sendProgress();
  });
  tasks_.spawn(acceptClients());
}

AdminServer::~AdminServer() { lifecycle_.setStateListener(nullptr); }

transport::Task<> AdminServer::acceptClients() {
  for (;;) {
    try {
      std::unique_ptr<transport::Descriptor> accepted = co_await listener_.accept();
      if (sessions_.size() >= options_.maxClients) {
        rejectClient(*accepted);
      } else {
        tasks_.spawn(serveClient(std::move(accepted)));
      }
    } catch (const std::exception& error) {
      log_.warning("door", Error(ErrorKind::acceptFailed, options_.socketPath, error.what()));
    }
    co_await scheduler_.yield();
  }
}

void AdminServer::rejectClient(const transport::Descriptor& accepted) const {
  log_.warning("door",
               Error(ErrorKind::adminConnectionLimit, options_.socketPath,
                     "connection limit reached: " + std::to_string(options_.maxClients) + " clients"));
  const std::string response =
      formatErrorReply("null", "busy", "the admin server has reached its connection limit (door.clients)");
  ::send(accepted.fd(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

bool AdminServer::isPeerAllowed(int fd, std::string& peerName) {
  ucred credentials{};
  socklen_t size = sizeof credentials;
  if (PADDLETRACK_CALL(fd, "credentials", "ENOMEM",
                       ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &credentials, &size)) != 0)
    return false;
  peerName = "user " + std::to_string(credentials.uid) + " process " + std::to_string(credentials.pid);
  return credentials.uid == ::geteuid() || credentials.uid == 0;
}

transport::Task<> AdminServer::serveClient(std::unique_ptr<transport::Descriptor> accepted) {
  std::string peerName = "unknown peer";
  if (!isPeerAllowed(accepted->fd(), peerName)) {
    log_.warning("door", Error(ErrorKind::permissionDenied, options_.socketPath,
                               peerName + " is not allowed to connect"));
    co_return;
  }
  AdminSession session(scheduler_, options_, lifecycle_, memoryBudget_, std::move(accepted),
                       std::move(peerName));
  const SessionRegistration registration(sessions_, session);
  co_await session.run();
}

}  // namespace paddletrack::admin
