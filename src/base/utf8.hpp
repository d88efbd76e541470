#pragma once

#include <cstdint>
#include <string>

namespace paddletrack {

/// Appends the UTF-8 encoding of a Unicode code point. `codePoint` must not be a surrogate.
inline void appendUtf8(std::string& output, std::uint32_t codePoint) {
  const auto appendContinuation = [&](int shift) {
    output += static_cast<char>(0x80 | ((codePoint >> shift) & 0x3f));
  };
  if (codePoint < 0x80) {
    output += static_cast<char>(codePoint);
    return;
  }
  if (codePoint < 0x800) {
    output += static_cast<char>(0xc0 | (codePoint >> 6));
  } else if (codePoint < 0x10000) {
    output += static_cast<char>(0xe0 | (codePoint >> 12));
    appendContinuation(6);
  } else {
    output += static_cast<char>(0xf0 | (codePoint >> 18));
    appendContinuation(12);
    appendContinuation(6);
  }
  appendContinuation(0);
}

}  // namespace paddletrack
