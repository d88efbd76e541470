// Listener that never accepts a connection.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Listener whose backlog is full, so that a connection attempt gets no answer. The constructor throws
/// std::runtime_error if it cannot listen on `address`.
class UnresponsiveListener {
 public:
  explicit UnresponsiveListener(const transport::Address& address) {
    const int listener = ::socket(address.family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuseAddress = 1;
    sockets_.push_back(listener);
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof reuseAddress);
    if (::bind(listener, address.nativeHandle(), address.length()) != 0 || ::listen(listener, 0) != 0)
      throw std::runtime_error("cannot bind or listen on the address of the unresponsive listener");
    for (int index = 0; index < kBacklogConnections; ++index) {
      sockets_.push_back(::socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      // Does not block. The pending connection fills the backlog; its result does not matter.
      (void)!::connect(sockets_.back(), address.nativeHandle(), address.length());
    }
  }
  UnresponsiveListener(const UnresponsiveListener&) = delete;
  UnresponsiveListener& operator=(const UnresponsiveListener&) = delete;
  ~UnresponsiveListener() {
    for (const int socket : sockets_) ::close(socket);
  }

 private:
  static constexpr int kBacklogConnections = 4;
  std::vector<int> sockets_;
};

}  // namespace paddletrack::fakes
