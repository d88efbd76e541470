#pragma once

#include <cstdint>
#include <string>

namespace paddletrack {

// One character, given by its code, as its bytes.
inline void putUtf8(std::string& out, std::uint32_t code) {
  const auto tail = [&](int shift) { out += static_cast<char>(0x80 | (code >> shift & 0x3f)); };
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xc0 | code >> 6), tail(0);
  } else if (code < 0x10000) {
    out += static_cast<char>(0xe0 | code >> 12), tail(6), tail(0);
  } else {
    out += static_cast<char>(0xf0 | code >> 18), tail(12), tail(6), tail(0);
  }
}

}  // namespace paddletrack
