#include "admin/admin_server.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "admin/admin_protocol.hpp"
#include "base/error.hpp"
#include "failpoint/failpoint.hpp"

namespace paddletrack::admin {
namespace {

using transport::BufferSlice;

constexpr int kBacklog = 16;
constexpr std::size_t kInitialInputBytes = 1024;

[[noreturn]] void throwSocketError(const std::string& path, const std::string& cause) {
  throw Error(ErrorKind::adminSocketFailed, "door.socket: " + path, cause);
}
[[noreturn]] void throwSystemError(const std::string& path, const char* what) {
  throw SystemErrorOfKind<ErrorKind::adminSocketFailed>("door.socket: " + path, what, errno);
}

struct FileDescriptor {
  int fd = -1;
  ~FileDescriptor() {
    if (fd >= 0) ::close(fd);
  }
};

// Whether a process listens there; a full backlog is a sign of one as well.
bool isListening(const transport::Address& address) {
  FileDescriptor probe{PADDLETRACK_CALL(-1, "socket_file.probe", "EMFILE",
                                        ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))};
  if (probe.fd < 0) return true;
  return PADDLETRACK_CALL(-1, "socket_file.connect", "again EACCES",
                          ::connect(probe.fd, address.nativeHandle(), address.length())) == 0 ||
         errno != ECONNREFUSED;
}

}  // namespace

SocketFile::SocketFile(const std::string& path) : path_(path) {
  const transport::Address address("unix:" + path);
  const std::size_t slash = path.rfind('/');
  // Two that start at once must not take each other's fresh socket for a dead one.
  FileDescriptor directory{PADDLETRACK_CALL(
      -1, "socket_file.folder", "EMFILE EACCES",
      ::open(slash == 0 ? "/" : path.substr(0, slash).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC))};
  if (directory.fd < 0) throwSystemError(path, "its folder");
  while (PADDLETRACK_CALL(-1, "socket_file.lock", "EINTR ENOMEM", ::flock(directory.fd, LOCK_EX)) != 0)
    if (errno != EINTR) throwSystemError(path, "its folder");
  struct stat fileStatus {};
  if (PADDLETRACK_CALL(-1, "socket_file.look", "EACCES", ::lstat(path.c_str(), &fileStatus)) == 0) {
    if (!S_ISSOCK(fileStatus.st_mode))
      throwSocketError(path, "something that is no socket stands there; it is left as it is");
    if (isListening(address)) throwSocketError(path, "another process listens there");
    if (PADDLETRACK_CALL(-1, "socket_file.take_over", "EACCES", ::unlink(path.c_str())) != 0)
      throwSystemError(path, "the dead socket there can't be removed");
  } else if (errno != ENOENT) {
    throwSystemError(path, "can't be looked at");
  }
  FileDescriptor listening{
      PADDLETRACK_CALL(-1, "socket_file.socket", "EMFILE ENOMEM",
                       ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))};
  if (listening.fd < 0) throwSystemError(path, "socket");
  const mode_t previousMask = ::umask(0177);
  const bool isBound = PADDLETRACK_CALL(-1, "socket_file.bind", "EADDRINUSE EACCES",
                                        ::bind(listening.fd, address.nativeHandle(), address.length())) == 0;
  const int savedErrno = errno;
  ::umask(previousMask);
  errno = savedErrno;
  if (!isBound) throwSystemError(path, "can't be made");
  if (PADDLETRACK_CALL(-1, "socket_file.look_again", "EACCES", ::lstat(path.c_str(), &fileStatus)) != 0 ||
      PADDLETRACK_CALL(-1, "socket_file.listen", "EADDRINUSE", ::listen(listening.fd, kBacklog)) != 0) {
    const int listenErrno = errno;
    ::unlink(path.c_str());
    errno = listenErrno;
    throwSystemError(path, "can't be listened at");
  }
  device_ = fileStatus.st_dev;
  inode_ = fileStatus.st_ino;
  fd_ = std::exchange(listening.fd, -1);
}

int SocketFile::release() { return std::exchange(fd_, -1); }

SocketFile::~SocketFile() {
  if (fd_ >= 0) ::close(fd_);
  struct stat fileStatus {};
  if (PADDLETRACK_CALL(-1, "socket_file.end", "EACCES", ::lstat(path_.c_str(), &fileStatus)) == 0 &&
      fileStatus.st_dev == device_ && fileStatus.st_ino == inode_)
    ::unlink(path_.c_str());
}

class AdminServer::Session {
 public:
  Session(AdminServer& server, std::unique_ptr<transport::Descriptor> accepted, std::string peerName)
      : server_(server),
        peerName_(std::move(peerName)),
        connection_(server.scheduler_, std::move(accepted), kInitialInputBytes, server.options_.maxLineBytes,
                    server.outputBudget_) {
    position_ = server_.sessions_.insert(server_.sessions_.end(), this);
  }
  ~Session() { server_.sessions_.erase(position_); }

  transport::Task<> run() {
    transport::InputBuffer& input = connection_.input();
    transport::TimePoint lastMessageAt = server_.scheduler_.now();  // its last whole message
    transport::TimePoint lastDrainedAt = lastMessageAt;             // when it last had nothing left to read
    for (;;) {
      const transport::TimePoint now = server_.scheduler_.now();
      if (connection_.unsentBytes() == 0) lastDrainedAt = now;
      if (now >= lastDrainedAt + server_.options_.idleTimeout) co_return;
      const bool awaitsInput =
          !watchInterval_ || input.view().size() > 0;  // for the rest of a message, or for one at all
      if (awaitsInput && now >= lastMessageAt + server_.options_.idleTimeout) co_return;
      if (watchInterval_ && now >= nextProgressAt_) sendProgress();
      transport::TimePoint deadline =
          awaitsInput ? lastMessageAt + server_.options_.idleTimeout : now + server_.options_.idleTimeout;
      if (watchInterval_) deadline = std::min(deadline, nextProgressAt_);
      if (connection_.unsentBytes() > 0)
        deadline = std::min(deadline, lastDrainedAt + server_.options_.idleTimeout);
      const bool received = co_await connection_.receive(deadline);
      if (!received) {
        if (connection_.readEnd() != transport::Connection::ReadEnd::none) co_return;
        if (!input.isFull()) continue;
        connection_.send({BufferSlice(formatErrorReply(
            "null", "too_long",
            "a message has " + std::to_string(server_.options_.maxLineBytes) + " bytes at most"))});
        co_await connection_.waitUntilDrained(0,
                                              server_.scheduler_.now() + server_.options_.idleTimeout / 10);
        co_return;
      }
      for (std::size_t lineEnd = input.view().find('\n'); lineEnd != std::string_view::npos;
           lineEnd = input.view().find('\n')) {
        std::string_view line = input.view().substr(0, lineEnd);
        if (line.ends_with('\r')) line.remove_suffix(1);
        const std::string response = handleLine(line);
        input.consume(lineEnd + 1);
        lastMessageAt = server_.scheduler_.now();
        if (connection_.unsentBytes() + response.size() > server_.options_.maxUnsentBytes)
          co_return;  // it does not read
        connection_.send({BufferSlice(response)});
        co_await server_.scheduler_.yield();  // one that asks much does not hold up the jobs
        if (connection_.readEnd() != transport::Connection::ReadEnd::none) co_return;
      }
      if (input.view().size() > 0) input.expectSize(input.view().size() * 2);
    }
  }

  // A client that has not read the last one misses this one.
  void sendProgress() {
    if (!watchInterval_) return;
    nextProgressAt_ = server_.scheduler_.now() + *watchInterval_;
    const std::string event = formatProgressEvent(server_.lifecycle_.status());
    if (connection_.unsentBytes() + event.size() <= server_.options_.maxUnsentBytes)
      connection_.send({BufferSlice(event)});
  }

 private:
  std::string handleLine(std::string_view line) {
    std::string id = "null";
    try {
      const AdminRequest request = parseAdminRequest(line, id);
      ServiceLifecycle& lifecycle = server_.lifecycle_;
      drain::DrainError drainError = drain::DrainError::none;
      if (request.command == Command::drain)
        drainError = lifecycle.requestDrain(request.deadline, request.retryAfter, peerName_);
      if (request.command == Command::cancel) drainError = lifecycle.cancelDrain(peerName_);
      if (drainError != drain::DrainError::none)
        return formatDrainErrorReply(id, drainError, lifecycle.drainOptions());
      if (request.command == Command::engines)
        return formatEnginesReply(id, lifecycle.listEngines(request.firstEngineId, kMaxEnginesPerReply + 1));
      if (request.command == Command::address) {
        const auto result = lifecycle.setAddressOverride(
            request.engine, request.address, request.addressOverride, request.overrideDuration, peerName_);
        if (result == routing::RequestRouter::AddressLookup::unknownEngine)
          return formatErrorReply(id, "no_engine",
                                  "engine: '" + request.engine.substr(0, 60) + "' is not known");
        if (result == routing::RequestRouter::AddressLookup::unknownAddress)
          return formatErrorReply(
              id, "no_address", "address: '" + request.address.substr(0, 120) + "' is none of its addresses");
        return formatOkReply(id);
      }
      if (request.command == Command::watch) {
        watchInterval_ = request.watchInterval;
        nextProgressAt_ = server_.scheduler_.now() + request.watchInterval;
      }
      return formatStatusReply(id, lifecycle.status());
    } catch (const BadRequest& error) {
      return formatErrorReply(id, error.code, error.what());
    }
  }

  AdminServer& server_;
  const std::string peerName_;
  transport::Connection connection_;
  std::list<Session*>::iterator position_;
  std::optional<Duration> watchInterval_;  // it watches
  transport::TimePoint nextProgressAt_{};
};

AdminServer::AdminServer(transport::Scheduler& scheduler, const AdminServerOptions& options,
                         ServiceLifecycle& lifecycle, const Logger& log)
    : scheduler_(scheduler),
      options_(options),
      lifecycle_(lifecycle),
      log_(log),
      outputBudget_{options.maxUnsentBytes * options.maxClients * transport::OutputBudget::kFairShareDivisor,
                    0},
      socketFile_(options.socketPath),
      listener_(scheduler, socketFile_.release()),
      tasks_(scheduler, [this](const char* what) { log_.warning("door", what); }) {
  lifecycle_.setStateListener([this] {
    for (Session* session : sessions_) session->sendProgress();
  });
  tasks_.spawn(acceptClients());
}

AdminServer::~AdminServer() { lifecycle_.setStateListener(nullptr); }

transport::Task<> AdminServer::acceptClients() {
  for (;;) {
    try {
      std::unique_ptr<transport::Descriptor> accepted = co_await listener_.accept();
      if (sessions_.size() >= options_.maxClients) {
        log_.warning("door", Error(ErrorKind::adminConnectionLimit, options_.socketPath,
                                   "full: " + std::to_string(options_.maxClients) + " clients"));
        const std::string response =
            formatErrorReply("null", "busy", "the door has as many clients as it may (door.clients)");
        ::send(accepted->fd(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      } else {
        tasks_.spawn(serveClient(std::move(accepted)));
      }
    } catch (const std::exception& error) {
      log_.warning("door", Error(ErrorKind::acceptFailed, options_.socketPath, error.what()));
    }
    co_await scheduler_.yield();
  }
}

bool AdminServer::isPeerAllowed(int fd, std::string& peerName) const {
  ucred credentials{};
  socklen_t size = sizeof credentials;
  if (PADDLETRACK_CALL(fd, "credentials", "ENOMEM",
                       ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &credentials, &size)) != 0)
    return false;
  peerName = "user " + std::to_string(credentials.uid) + " process " + std::to_string(credentials.pid);
  return credentials.uid == ::geteuid() || credentials.uid == 0;
}

transport::Task<> AdminServer::serveClient(std::unique_ptr<transport::Descriptor> accepted) {
  std::string peerName = "somebody unknown";
  if (!isPeerAllowed(accepted->fd(), peerName)) {
    log_.warning("door",
                 Error(ErrorKind::permissionDenied, options_.socketPath, peerName + " is not let in"));
    co_return;
  }
  Session session(*this, std::move(accepted), std::move(peerName));
  co_await session.run();
}

}  // namespace paddletrack::admin
