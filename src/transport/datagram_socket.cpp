#include "transport/datagram_socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace paddletrack::transport {
namespace {

int openBoundSocket(const Address& localAddress) {
  if (localAddress.family() != AF_INET) throw std::invalid_argument("an IPv4 address is expected");
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  if (::bind(fd, localAddress.nativeHandle(), localAddress.length()) != 0) {
    const int error = errno;
    ::close(fd);
    throw std::system_error(error, std::generic_category(), "bind");
  }
  return fd;
}

std::uint64_t packAddress(const sockaddr_in& address) {
  return std::uint64_t{ntohl(address.sin_addr.s_addr)} << 16 | ntohs(address.sin_port);
}

}  // namespace

std::uint64_t packAddress(const Address& address) {
  if (address.family() != AF_INET) throw std::invalid_argument("an IPv4 address is expected");
  return packAddress(*reinterpret_cast<const sockaddr_in*>(address.nativeHandle()));
}

std::string formatPackedAddress(std::uint64_t packedAddress) {
  const in_addr ipv4{htonl(static_cast<std::uint32_t>(packedAddress >> 16))};
  char text[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &ipv4, text, sizeof text);
  return std::string(text) + ":" + std::to_string(packedAddress & 0xffff);
}

DatagramSocket::DatagramSocket(Scheduler& scheduler, const Address& localAddress, std::size_t maxSize)
    : descriptor_(scheduler, openBoundSocket(localAddress)), buffer_(maxSize, '\0') {}

std::optional<DatagramSocket::Datagram> DatagramSocket::receive() {
  sockaddr_in sender{};
  socklen_t length = sizeof sender;
  for (;;) {
    const ssize_t received = ::recvfrom(descriptor_.fd(), buffer_.data(), buffer_.size(), MSG_TRUNC,
                                        reinterpret_cast<sockaddr*>(&sender), &length);
    if (received < 0 && errno == EINTR) continue;
    if (received < 0) return std::nullopt;
    const bool isTruncated = static_cast<std::size_t>(received) > buffer_.size();
    return Datagram{packAddress(sender),
                    std::string_view(buffer_).substr(0, static_cast<std::size_t>(received)), isTruncated};
  }
}

bool DatagramSocket::send(std::uint64_t packedDestination, std::string_view bytes) {
  sockaddr_in destination{};
  destination.sin_family = AF_INET;
  destination.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(packedDestination >> 16));
  destination.sin_port = htons(static_cast<std::uint16_t>(packedDestination & 0xffff));
  return ::sendto(descriptor_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                  reinterpret_cast<const sockaddr*>(&destination),
                  sizeof destination) == static_cast<ssize_t>(bytes.size());
}

}  // namespace paddletrack::transport
