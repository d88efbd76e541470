#include "admin/socket_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "base/error.hpp"
#include "failpoint/failpoint.hpp"
#include "transport/connection.hpp"

namespace paddletrack::admin {
namespace {

constexpr int kBacklog = 16;
constexpr mode_t kOwnerOnlyMask = 0177;

[[noreturn]] void throwSocketError(const std::string& path, const std::string& cause) {
  throw Error(ErrorKind::adminSocketFailed, "door.socket: " + path, cause);
}

[[noreturn]] void throwSystemError(const std::string& path, const char* what) {
  throw SystemErrorOfKind<ErrorKind::adminSocketFailed>("door.socket: " + path, what, errno);
}

// Owns a file descriptor and closes it at the end of the scope.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

// Returns whether a process listens at the address. Any error other than a refused connection, such as a full
// backlog, counts as a listening process.
bool isListening(const transport::Address& address) {
  const FileDescriptor probe(PADDLETRACK_CALL(
      -1, "socket_file.probe", "EMFILE", ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)));
  if (probe.get() < 0) return true;
  return PADDLETRACK_CALL(-1, "socket_file.connect", "again EACCES",
                          ::connect(probe.get(), address.nativeHandle(), address.length())) == 0 ||
         errno != ECONNREFUSED;
}

std::string directoryOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  return slash == 0 ? "/" : path.substr(0, slash);
}

int openDirectory(const std::string& path) {
  return PADDLETRACK_CALL(-1, "socket_file.folder", "EMFILE EACCES",
                          ::open(directoryOf(path).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}

void lockDirectory(const FileDescriptor& directory, const std::string& path) {
  while (PADDLETRACK_CALL(-1, "socket_file.lock", "EINTR ENOMEM", ::flock(directory.get(), LOCK_EX)) != 0)
    if (errno != EINTR) throwSystemError(path, "cannot lock its directory");
}

}  // namespace

SocketFile::SocketFile(const std::string& path) : path_(path) {
  // Throws if the path is invalid, before any file is changed.
  const transport::Address address("unix:" + path);
  // Without the lock, two processes that start at the same time could mistake each other's new socket, which
  // does not listen yet, for a dead one and remove it.
  const FileDescriptor directory(openDirectory(path));
  if (directory.get() < 0) throwSystemError(path, "cannot open its directory");
  lockDirectory(directory, path);
  removeDeadSocket(address);
  FileDescriptor listeningSocket(openBoundSocket(address));
  struct stat fileStatus {};
  if (PADDLETRACK_CALL(-1, "socket_file.look_again", "EACCES", ::lstat(path.c_str(), &fileStatus)) != 0 ||
      PADDLETRACK_CALL(-1, "socket_file.listen", "EADDRINUSE", ::listen(listeningSocket.get(), kBacklog)) !=
          0) {
    const int listenErrno = errno;
    ::unlink(path.c_str());
    errno = listenErrno;
    throwSystemError(path, "cannot listen on the socket");
  }
  device_ = fileStatus.st_dev;
  inode_ = fileStatus.st_ino;
  fd_ = listeningSocket.release();
}

void SocketFile::removeDeadSocket(const transport::Address& address) const {
  struct stat fileStatus {};
  if (PADDLETRACK_CALL(-1, "socket_file.look", "EACCES", ::lstat(path_.c_str(), &fileStatus)) != 0) {
    if (errno != ENOENT) throwSystemError(path_, "cannot read the status of the file");
    return;
  }
  if (!S_ISSOCK(fileStatus.st_mode))
    throwSocketError(path_, "the existing file is not a socket and was left unchanged");
  if (isListening(address)) throwSocketError(path_, "another process is listening on this socket");
  if (PADDLETRACK_CALL(-1, "socket_file.take_over", "EACCES", ::unlink(path_.c_str())) != 0)
    throwSystemError(path_, "cannot remove the dead socket");
}

int SocketFile::openBoundSocket(const transport::Address& address) const {
  FileDescriptor socket(PADDLETRACK_CALL(-1, "socket_file.socket", "EMFILE ENOMEM",
                                         ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)));
  if (socket.get() < 0) throwSystemError(path_, "socket");
  const mode_t previousMask = ::umask(kOwnerOnlyMask);
  const bool isBound = PADDLETRACK_CALL(-1, "socket_file.bind", "EADDRINUSE EACCES",
                                        ::bind(socket.get(), address.nativeHandle(), address.length())) == 0;
  const int bindErrno = errno;
  ::umask(previousMask);
  errno = bindErrno;
  if (!isBound) throwSystemError(path_, "cannot create the socket");
  return socket.release();
}

int SocketFile::release() { return std::exchange(fd_, -1); }

SocketFile::~SocketFile() {
  if (fd_ >= 0) ::close(fd_);
  struct stat fileStatus {};
  if (PADDLETRACK_CALL(-1, "socket_file.end", "EACCES", ::lstat(path_.c_str(), &fileStatus)) == 0 &&
      fileStatus.st_dev == device_ && fileStatus.st_ino == inode_)
    ::unlink(path_.c_str());
}

}  // namespace paddletrack::admin
