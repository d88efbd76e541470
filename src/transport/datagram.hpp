#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "transport/connection.hpp"

namespace paddletrack::transport {

// An IPv4 address and port as one number.
std::uint64_t placeOf(const Address& address);  // throws std::invalid_argument where it is no IPv4 address
std::string nameOf(std::uint64_t place);

// A UDP socket over IPv4. Throws std::system_error where it can't be had.
class Datagrams {
 public:
  Datagrams(Scheduler& scheduler, const Address& listen, std::size_t longest);

  struct Got {
    std::uint64_t from = 0;
    std::string_view bytes;  // until the next read
    bool cut = false;        // it was longer than the longest
  };
  std::optional<Got> read();  // none: nothing waits
  auto readable() { return descriptor_.readable.wait(); }
  bool send(std::uint64_t to, std::string_view bytes);  // false: the kernel does not take it; errno says why

 private:
  Descriptor descriptor_;
  std::string buffer_;
};

}  // namespace paddletrack::transport
