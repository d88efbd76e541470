#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace paddletrack::transport {

// An IPv4 address and port as one number.
std::uint64_t packAddress(
    const Address& address);  // throws std::invalid_argument where it is no IPv4 address
std::string formatPackedAddress(std::uint64_t packedAddress);

// A UDP socket over IPv4. Throws std::system_error where it can't be had.
class DatagramSocket {
 public:
  DatagramSocket(Scheduler& scheduler, const Address& localAddress, std::size_t maxSize);

  struct Datagram {
    std::uint64_t sender = 0;
    std::string_view bytes;    // until the next read
    bool isTruncated = false;  // it was longer than the longest
  };
  std::optional<Datagram> receive();  // none: nothing waits
  auto waitUntilReadable() { return descriptor_.readable.wait(); }
  bool send(std::uint64_t packedDestination,
            std::string_view bytes);  // false: the kernel does not take it; errno says why

 private:
  Descriptor descriptor_;
  std::string buffer_;
};

}  // namespace paddletrack::transport
