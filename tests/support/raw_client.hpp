/// @file
/// A client that a test drives by its socket.
#pragma once

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include "support/router_fixture.hpp"

namespace paddletrack::routing {

enum class Departure { close, reset, halfClose, cancel };
inline constexpr std::array<Departure, 4> kDepartures{Departure::close, Departure::reset,
                                                      Departure::halfClose, Departure::cancel};

// A client that uses its socket directly, so that it acts immediately, whether or not the controller's loop
// runs.
class RawClient {
 public:
  explicit RawClient(const RouterFixture& fixture, int receiveBufferSize = 0)
      : RawClient(Address(fixture.listenAddress), receiveBufferSize) {}
  explicit RawClient(const Address& address, int receiveBufferSize = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int enabled = 1;
    if (receiveBufferSize > 0)
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBufferSize, sizeof receiveBufferSize);
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(fd_, address.nativeHandle(), address.length()) != 0) std::abort();
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  RawClient(RawClient&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~RawClient() { close(); }

  // Sends as many bytes as the kernel accepts.
  std::size_t send(std::string_view text) const {
    const ssize_t count = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  // Returns all bytes that have arrived, followed by "<closed>" or "<reset>" if the connection has ended.
  std::string receive() const {
    std::string received;
    for (;;) {
      std::array<char, 16384> buffer;
      const ssize_t count = ::read(fd_, buffer.data(), buffer.size());
      if (count > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(count));
        continue;
      }
      if (count == 0) received += "<closed>";
      if (count < 0 && errno != EAGAIN) received += "<reset>";
      return received;
    }
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void depart(Departure departure, int sequence = 1) {
    const linger immediateReset{1, 0};
    if (departure == Departure::halfClose) ::shutdown(fd_, SHUT_WR);
    if (departure == Departure::cancel) send(encodeRevoke(sequence));
    if (departure == Departure::reset)
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediateReset, sizeof immediateReset);
    if (departure == Departure::close || departure == Departure::reset) close();
  }

 private:
  int fd_;
};

}  // namespace paddletrack::routing
