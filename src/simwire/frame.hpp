#pragma once

#include <bit>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/big_endian.hpp"

namespace paddletrack::simwire {

// What was read does not follow the wire page. The text says what and where.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Big-endian fields, read in order from one stretch of bytes.
class Reader {
 public:
  Reader(std::string_view bytes, std::string_view what) : bytes_(bytes), what_(what) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  float f32() { return std::bit_cast<float>(u32()); }
  std::string_view bytes(std::size_t count) {
    if (count > bytes_.size()) {
      throw Malformed(what_ + ": " + std::to_string(count) + " bytes wanted, " +
                      std::to_string(bytes_.size()) + " left");
    }
    const std::string_view taken = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return taken;
  }
  std::size_t left() const { return bytes_.size(); }
  void end() const {
    if (!bytes_.empty()) throw Malformed(what_ + ": " + std::to_string(bytes_.size()) + " bytes too many");
  }

 private:
  std::uint64_t number(std::size_t size) { return bigEndian(bytes(size)); }

  std::string_view bytes_;
  std::string what_;
};

// The records of one reply. A record's length is filled in when the next one begins or the reply ends.
class Writer {
 public:
  Writer& record(std::uint8_t code, std::uint32_t instance) {
    close();
    u8(code);
    open_ = body_.size();
    u32(0);
    ++count_;
    return u32(instance);
  }
  Writer& u8(std::uint8_t value) { return add(value, 1); }
  Writer& u16(std::uint16_t value) { return add(value, 2); }
  Writer& u32(std::uint32_t value) { return add(value, 4); }
  Writer& u64(std::uint64_t value) { return add(value, 8); }
  Writer& f32(float value) { return u32(std::bit_cast<std::uint32_t>(value)); }
  Writer& text(std::string_view value) {
    value = value.substr(0, 0xffff);
    u16(static_cast<std::uint16_t>(value.size()));
    body_.append(value);
    return *this;
  }

  std::string reply(std::uint32_t batch) {
    close();
    std::string whole;
    whole.reserve(body_.size() + 12);
    put(whole, batch, 4);
    put(whole, count_, 4);
    put(whole, body_.size(), 4);
    whole += body_;
    body_.clear();
    count_ = 0;
    return whole;
  }

 private:
  Writer& add(std::uint64_t value, int size) {
    put(body_, value, size);
    return *this;
  }
  void close() {
    if (open_ == 0) return;
    const std::size_t length = body_.size() - open_ - 4;
    std::string field;
    put(field, length, 4);
    body_.replace(open_, 4, field);
    open_ = 0;
  }

  std::string body_;
  std::size_t open_ = 0;  // where the open record's length stands; 0: none is open
  std::uint32_t count_ = 0;
};

}  // namespace paddletrack::simwire
