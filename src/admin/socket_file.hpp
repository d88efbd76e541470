#pragma once

#include <sys/types.h>

#include <string>

#include "transport/connection.hpp"

namespace paddletrack::admin {

/// The file of a listening Unix socket. It is created with mode 0600, replaces the file of a dead process but
/// not that of a live one, and is removed by the destructor if it is still the same file.
class SocketFile {
 public:
  /// Throws an Error (adminSocketFailed) with the path and the cause.
  explicit SocketFile(const std::string& path);
  SocketFile(const SocketFile&) = delete;
  SocketFile& operator=(const SocketFile&) = delete;
  ~SocketFile();

  /// Passes the ownership of the listening descriptor to the caller.
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
