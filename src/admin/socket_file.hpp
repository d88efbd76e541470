#pragma once

#include <sys/types.h>

#include <string>

#include "transport/connection.hpp"

namespace paddletrack::admin {

/// The file of a listening Unix socket. The constructor creates it with mode 0600; it replaces the socket of
/// a dead process, but not that of a live one. The destructor removes the file if it is still the same file.
class SocketFile {
 public:
  /// Throws an Error (adminSocketFailed) that states the path and the cause.
  explicit SocketFile(const std::string& path);
  SocketFile(const SocketFile&) = delete;
  SocketFile& operator=(const SocketFile&) = delete;
  ~SocketFile();

  /// Transfers ownership of the listening descriptor to the caller.
  int release();

 private:
  void removeDeadSocket(const transport::Address& address) const;
  int openBoundSocket(const transport::Address& address) const;

  std::string path_;
  int fd_ = -1;
  dev_t device_ = 0;
  ino_t inode_ = 0;
};

}  // namespace paddletrack::admin
