#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace paddletrack::transport {

/// An IPv4 address and port packed into one number, the port in the low 16 bits.
std::uint64_t packAddress(const Address& address);  // Throws std::invalid_argument for other families.
std::string formatPackedAddress(std::uint64_t packedAddress);

/// A UDP socket over IPv4. The constructor throws std::system_error if the socket cannot be opened.
class DatagramSocket {
 public:
  DatagramSocket(Scheduler& scheduler, const Address& localAddress, std::size_t maxSize);

  struct Datagram {
    std::uint64_t sender = 0;
    std::string_view bytes;    ///< Valid until the next receive().
    bool isTruncated = false;  ///< The datagram was longer than the maximum size.
  };
  std::optional<Datagram> receive();  // std::nullopt if no datagram is available.
  auto waitUntilReadable() { return descriptor_.readable.wait(); }
  bool send(std::uint64_t packedDestination,
            std::string_view bytes);  // False if the kernel refused it; see errno.

 private:
  Descriptor descriptor_;
  std::string buffer_;
};

}  // namespace paddletrack::transport
