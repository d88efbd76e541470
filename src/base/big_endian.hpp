#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace paddletrack {

/// Decodes an unsigned integer in network byte order. If the input is longer than eight bytes, only its last
/// eight are used.
inline std::uint64_t readBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = (value << 8) | static_cast<std::uint8_t>(byte);
  return value;
}

/// Appends the low `size` bytes of `value` in network byte order.
inline void appendBigEndian(std::string& output, std::uint64_t value, int size) {
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
    output.push_back(static_cast<char>((value >> shift) & 0xff));
}

}  // namespace paddletrack
