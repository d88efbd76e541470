#pragma once

#include <bit>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/big_endian.hpp"

namespace paddletrack::simulator {

// What was read does not follow the wire page. The text says what and where.
struct WireFormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Big-endian fields, read in order from one stretch of bytes.
class WireReader {
 public:
  WireReader(std::string_view bytes, std::string_view description)
      : bytes_(bytes), description_(description) {}

  std::uint8_t readU8() { return static_cast<std::uint8_t>(readNumber(1)); }
  std::uint16_t readU16() { return static_cast<std::uint16_t>(readNumber(2)); }
  std::uint32_t readU32() { return static_cast<std::uint32_t>(readNumber(4)); }
  std::uint64_t readU64() { return readNumber(8); }
  float readF32() { return std::bit_cast<float>(readU32()); }
  std::string_view readBytes(std::size_t count) {
    if (count > bytes_.size()) {
      throw WireFormatError(description_ + ": " + std::to_string(count) + " bytes wanted, " +
                            std::to_string(bytes_.size()) + " left");
    }
    const std::string_view prefix = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return prefix;
  }
  std::size_t remainingSize() const { return bytes_.size(); }
  void expectEnd() const {
    if (!bytes_.empty())
      throw WireFormatError(description_ + ": " + std::to_string(bytes_.size()) + " bytes too many");
  }

 private:
  std::uint64_t readNumber(std::size_t size) { return readBigEndian(readBytes(size)); }

  std::string_view bytes_;
  std::string description_;
};

// The records of one reply. A record's length is filled in when the next one begins or the reply ends.
class ReplyWriter {
 public:
  ReplyWriter& beginRecord(std::uint8_t code, std::uint32_t instance) {
    finishRecord();
    writeU8(code);
    lengthOffset_ = body_.size();
    writeU32(0);
    ++recordCount_;
    return writeU32(instance);
  }
  ReplyWriter& writeU8(std::uint8_t value) { return append(value, 1); }
  ReplyWriter& writeU16(std::uint16_t value) { return append(value, 2); }
  ReplyWriter& writeU32(std::uint32_t value) { return append(value, 4); }
  ReplyWriter& writeU64(std::uint64_t value) { return append(value, 8); }
  ReplyWriter& writeF32(float value) { return writeU32(std::bit_cast<std::uint32_t>(value)); }
  ReplyWriter& writeText(std::string_view value) {
    value = value.substr(0, 0xffff);
    writeU16(static_cast<std::uint16_t>(value.size()));
    body_.append(value);
    return *this;
  }

  std::string takeReply(std::uint32_t batchId) {
    finishRecord();
    std::string message;
    message.reserve(body_.size() + 12);
    appendBigEndian(message, batchId, 4);
    appendBigEndian(message, recordCount_, 4);
    appendBigEndian(message, body_.size(), 4);
    message += body_;
    body_.clear();
    recordCount_ = 0;
    return message;
  }

 private:
  ReplyWriter& append(std::uint64_t value, int size) {
    appendBigEndian(body_, value, size);
    return *this;
  }
  void finishRecord() {
    if (lengthOffset_ == 0) return;
    const std::size_t length = body_.size() - lengthOffset_ - 4;
    std::string encodedLength;
    appendBigEndian(encodedLength, length, 4);
    body_.replace(lengthOffset_, 4, encodedLength);
    lengthOffset_ = 0;
  }

  std::string body_;
  std::size_t lengthOffset_ = 0;  // where the open record's length stands; 0: none is open
  std::uint32_t recordCount_ = 0;
};

}  // namespace paddletrack::simulator
