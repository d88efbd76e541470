#include "transport/datagram.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace paddletrack::transport {
namespace {

int bound(const Address& listen) {
  if (listen.family() != AF_INET) throw std::invalid_argument("an IPv4 address is expected");
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  if (::bind(fd, listen.raw(), listen.length()) != 0) {
    const int error = errno;
    ::close(fd);
    throw std::system_error(error, std::generic_category(), "bind");
  }
  return fd;
}

std::uint64_t placeOf(const sockaddr_in& address) {
  return std::uint64_t{ntohl(address.sin_addr.s_addr)} << 16 | ntohs(address.sin_port);
}

}  // namespace

std::uint64_t placeOf(const Address& address) {
  if (address.family() != AF_INET) throw std::invalid_argument("an IPv4 address is expected");
  return placeOf(*reinterpret_cast<const sockaddr_in*>(address.raw()));
}

std::string nameOf(std::uint64_t place) {
  const in_addr ip{htonl(static_cast<std::uint32_t>(place >> 16))};
  char text[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &ip, text, sizeof text);
  return std::string(text) + ":" + std::to_string(place & 0xffff);
}

Datagrams::Datagrams(Scheduler& scheduler, const Address& listen, std::size_t longest)
    : descriptor_(scheduler, bound(listen)), buffer_(longest, '\0') {}

std::optional<Datagrams::Got> Datagrams::read() {
  sockaddr_in from{};
  socklen_t length = sizeof from;
  for (;;) {
    const ssize_t got = ::recvfrom(descriptor_.fd(), buffer_.data(), buffer_.size(), MSG_TRUNC,
                                   reinterpret_cast<sockaddr*>(&from), &length);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return std::nullopt;
    const bool cut = static_cast<std::size_t>(got) > buffer_.size();
    return Got{placeOf(from), std::string_view(buffer_).substr(0, static_cast<std::size_t>(got)), cut};
  }
}

bool Datagrams::send(std::uint64_t to, std::string_view bytes) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(to >> 16));
  at.sin_port = htons(static_cast<std::uint16_t>(to & 0xffff));
  return ::sendto(descriptor_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                  reinterpret_cast<const sockaddr*>(&at), sizeof at) == static_cast<ssize_t>(bytes.size());
}

}  // namespace paddletrack::transport
