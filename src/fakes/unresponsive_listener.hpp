// A listener that never accepts.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// A listener whose backlog is full, so that an attempt to connect to it gets no answer.
class UnresponsiveListener {
 public:
  explicit UnresponsiveListener(const transport::Address& address) {
    const int listener = ::socket(address.family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    sockets_.push_back(listener);
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, address.nativeHandle(), address.length()) != 0 || ::listen(listener, 0) != 0)
      throw std::runtime_error("no mute listener");
    for (int index = 0; index < kBacklogConnections; ++index) {
      sockets_.push_back(::socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      // Not blocking: only the pending connection is wanted, not its result.
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
