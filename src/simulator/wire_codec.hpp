#pragma once

#include <bit>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/big_endian.hpp"
#include "simulator/wire_codes.hpp"

namespace paddletrack::simulator {

/// Thrown for input that does not follow the simulator's wire format. The message states the error and its
/// position.
struct WireFormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads big-endian fields in order. Does not own the bytes. Error messages begin with `description`.
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
  /// Throws WireFormatError if bytes remain, that is, if a record is longer than its fields.
  void expectEnd() const {
    if (!bytes_.empty())
      throw WireFormatError(description_ + ": " + std::to_string(bytes_.size()) + " bytes too many");
  }

 private:
  std::uint64_t readNumber(std::size_t size) { return readBigEndian(readBytes(size)); }

  std::string_view bytes_;
  std::string description_;
};

/// Collects the commands of a reply. The length of a command is written when the next command begins or the
/// reply is taken.
class ReplyWriter {
 public:
  ReplyWriter& beginRecord(CommandCode code, std::uint32_t instance) {
    finishRecord();
    writeU8(static_cast<std::uint8_t>(code));
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
  /// Writes the length and the text, truncated to the maximum length of the wire format.
  ReplyWriter& writeText(std::string_view value) {
    value = value.substr(0, kMaxTextBytes);
    writeU16(static_cast<std::uint16_t>(value.size()));
    body_.append(value);
    return *this;
  }

  /// Returns the reply to a batch and starts the next one.
  std::string takeReply(std::uint32_t batchId) {
    finishRecord();
    std::string message;
    message.reserve(body_.size() + kReplyHeaderBytes);
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
    const std::size_t length = body_.size() - lengthOffset_ - sizeof(std::uint32_t);
    std::string encodedLength;
    appendBigEndian(encodedLength, length, sizeof(std::uint32_t));
    body_.replace(lengthOffset_, sizeof(std::uint32_t), encodedLength);
    lengthOffset_ = 0;
  }

  static constexpr std::size_t kReplyHeaderBytes = 12;
  static constexpr std::size_t kMaxTextBytes = 0xffff;

  std::string body_;
  std::size_t lengthOffset_ = 0;  // Offset of the open record's length in `body_`; 0 if no record is open.
  std::uint32_t recordCount_ = 0;
};

}  // namespace paddletrack::simulator
