#include "protocol/thrift.hpp"

#include <charconv>
#include <utility>

#include "base/big_endian.hpp"

namespace paddletrack::protocol::thrift {
namespace {

constexpr std::uint32_t kStrictVersion = 0x80010000;
constexpr int kMaxDepth = 16;
enum FieldType : std::uint8_t {
  kStop = 0,
  kBool = 2,
  kByte = 3,
  kDouble = 4,
  kI16 = 6,
  kI32 = 8,
  kI64 = 10,
  kString = 11,
  kStruct = 12,
  kMap = 13,
  kSet = 14,
  kList = 15,
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint8_t readU8() { return static_cast<std::uint8_t>(readBytes(1)[0]); }
  std::uint16_t readU16() { return static_cast<std::uint16_t>(readNumber(2)); }
  std::uint32_t readU32() { return static_cast<std::uint32_t>(readNumber(4)); }
  std::string_view readString() { return readBytes(readU32()); }
  std::string_view remaining() const { return bytes_; }

  void skipValue(std::uint8_t type, int depth = 0) {
    if (depth > kMaxDepth) throw ParseError("nested too deep");
    switch (type) {
      case kBool:
      case kByte:
        readBytes(1);
        return;
      case kI16:
        readBytes(2);
        return;
      case kI32:
        readBytes(4);
        return;
      case kDouble:
      case kI64:
        readBytes(8);
        return;
      case kString:
        readString();
        return;
      case kStruct:
        while (const std::uint8_t field = readU8()) {
          readU16();
          skipValue(field, depth + 1);
        }
        return;
      case kMap: {
        const std::uint8_t key = readU8(), value = readU8();
        for (std::uint32_t count = readCount(); count > 0; --count)
          skipValue(key, depth + 1), skipValue(value, depth + 1);
        return;
      }
      case kSet:
      case kList: {
        const std::uint8_t element = readU8();
        for (std::uint32_t count = readCount(); count > 0; --count) skipValue(element, depth + 1);
        return;
      }
      default:
        throw ParseError("type " + std::to_string(type) + " is unknown");
    }
  }
  // Every element takes a byte at least: a false count must not keep us busy.
  std::uint32_t readCount() {
    const std::uint32_t count = readU32();
    if (count > bytes_.size()) throw ParseError("more elements than bytes");
    return count;
  }

 private:
  std::string_view readBytes(std::size_t count) {
    if (count > bytes_.size()) throw ParseError("the frame ends early");
    const std::string_view bytes = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return bytes;
  }
  std::uint64_t readNumber(std::size_t size) { return readBigEndian(readBytes(size)); }

  std::string_view bytes_;
};

using paddletrack::appendBigEndian;
void appendString(std::string& output, std::string_view text) {
  appendBigEndian(output, text.size(), 4);
  output += text;
}
void appendFieldHeader(std::string& output, FieldType type, std::uint16_t fieldId) {
  appendBigEndian(output, type, 1);
  appendBigEndian(output, fieldId, 2);
}

std::string encodeEmptyMap() {
  std::string output;
  appendBigEndian(output, kString, 1);
  appendBigEndian(output, kString, 1);
  appendBigEndian(output, 0, 4);
  return output;
}

// Each pair of a map of texts.
template <typename Each>
void forEachField(Reader& reader, Each callback) {
  const std::uint8_t key = reader.readU8(), value = reader.readU8();
  const std::uint32_t count = reader.readCount();
  if (count > 0 && (key != kString || value != kString)) throw ParseError("fields: text is wanted");
  for (std::uint32_t remaining = count; remaining > 0; --remaining) {
    const std::string_view name = reader.readString();
    callback(name, reader.readString());
  }
}

const std::string& answerTailFor(bool healthy) {
  static const auto encode = [](bool value) {
    std::string output;
    appendFieldHeader(output, kMap, 2);
    output += encodeEmptyMap();
    appendFieldHeader(output, kBool, 3);
    appendBigEndian(output, value ? 1 : 0, 1);
    appendBigEndian(output, kStop, 1);  // of the Answer
    appendBigEndian(output, kStop, 1);  // of the result
    return output;
  };
  static const std::string healthyTail = encode(true), unhealthyTail = encode(false);
  return healthy ? healthyTail : unhealthyTail;
}

std::string encodeAnswerPrefix(std::size_t body) {
  std::string output;
  appendFieldHeader(output, kStruct, 0);
  appendFieldHeader(output, kString, 1);
  appendBigEndian(output, body, 4);
  return output;
}

// A declared exception of submit, with one field at most.
std::string encodeDeclaredException(std::int32_t sequence, std::uint16_t id, std::string_view name,
                                    std::string_view value) {
  std::string output;
  appendFieldHeader(output, kStruct, id);
  appendFieldHeader(output, kMap, 1);
  if (name.empty()) {
    output += encodeEmptyMap();
  } else {
    appendBigEndian(output, kString, 1);
    appendBigEndian(output, kString, 1);
    appendBigEndian(output, 1, 4);
    appendString(output, name);
    appendString(output, value);
  }
  appendBigEndian(output, kStop, 1);
  appendBigEndian(output, kStop, 1);
  return encodeMessage("submit", MessageType::reply, sequence, output);
}

}  // namespace

std::optional<std::size_t> readFrameLength(std::string_view input) {
  if (input.size() < kFrameHeaderBytes) return std::nullopt;
  return Reader(input).readU32();
}

Message decodeMessage(std::string_view frame) {
  Reader reader(frame);
  const std::uint32_t header = reader.readU32();
  if ((header & 0xffffff00U) != kStrictVersion) throw ParseError("not the strict binary protocol");
  const std::uint32_t kind = header & 0xff;
  if (kind < 1 || kind > 4) throw ParseError("message type " + std::to_string(kind) + " is unknown");
  Message message;
  message.type = static_cast<MessageType>(kind);
  message.method = reader.readString();
  message.sequence = static_cast<std::int32_t>(reader.readU32());
  message.arguments = reader.remaining();
  return message;
}

SubmitRequest decodeSubmit(std::string_view arguments) {
  Reader reader(arguments);
  SubmitRequest submit;
  bool hasBody = false;
  while (const std::uint8_t type = reader.readU8()) {
    const std::uint16_t id = reader.readU16();
    if (id == 1 && type == kMap) {
      forEachField(reader, [&](std::string_view name, std::string_view value) {
        for (const auto& [wireName, target] : {std::pair("service", &submit.requestClass),
                                               {"ref", &submit.reference},
                                               {"allow", &submit.timeoutMs},
                                               {"project", &submit.tenant},
                                               {"effort", &submit.estimatedWork},
                                               {"ram", &submit.memory},
                                               {"replay", &submit.idempotencyKey}}) {
          if (name != wireName) continue;
          if (value.empty() || !target->empty()) throw ParseError("fields: each has one value");
          *target = value;
        }
      });
    } else if (id == 2 && type == kString && !hasBody) {
      submit.statement = reader.readString();
      hasBody = true;
    } else if (id == 1 || id == 2) {
      throw ParseError("argument " + std::to_string(id) + " has the wrong type");
    } else {
      reader.skipValue(type);
    }
  }
  if (submit.statement.empty()) throw ParseError("body: a statement is wanted");
  if (!reader.remaining().empty()) throw ParseError("more bytes than the message");
  return submit;
}

std::int32_t decodeRevoke(std::string_view arguments) {
  Reader reader(arguments);
  std::optional<std::int32_t> sequence;
  while (const std::uint8_t type = reader.readU8()) {
    if (reader.readU16() == 1 && type == kI32) {
      sequence = static_cast<std::int32_t>(reader.readU32());
    } else {
      reader.skipValue(type);
    }
  }
  if (!sequence) throw ParseError("seqid is missing");
  return *sequence;
}

std::string encodeMessage(std::string_view method, MessageType kind, std::int32_t sequence,
                          std::string_view body, std::size_t trailingBytes) {
  std::string output;
  const std::size_t length = 4 + 4 + method.size() + 4 + body.size();
  output.reserve(kFrameHeaderBytes + length);
  appendBigEndian(output, length + trailingBytes, 4);
  appendBigEndian(output, kStrictVersion | static_cast<std::uint32_t>(kind), 4);
  appendString(output, method);
  appendBigEndian(output, static_cast<std::uint32_t>(sequence), 4);
  return output += body;
}

std::string encodeSubmit(std::int32_t sequence, const Fields& fields, std::string_view statement) {
  std::string output;
  appendFieldHeader(output, kMap, 1);
  appendBigEndian(output, kString, 1);
  appendBigEndian(output, kString, 1);
  appendBigEndian(output, fields.size(), 4);
  for (const auto& [name, value] : fields)
    appendString(output, std::string_view(name)), appendString(output, std::string_view(value));
  appendFieldHeader(output, kString, 2);
  appendString(output, statement);
  appendBigEndian(output, kStop, 1);
  return encodeMessage("submit", MessageType::call, sequence, output);
}

std::string encodeRevoke(std::int32_t sequence) {
  std::string output;
  appendFieldHeader(output, kI32, 1);
  appendBigEndian(output, static_cast<std::uint32_t>(sequence), 4);
  appendBigEndian(output, kStop, 1);
  return encodeMessage("revoke", MessageType::oneway, 0, output);
}

std::string encodeHeartbeatCall(std::int32_t sequence) {
  return encodeMessage("heartbeat", MessageType::call, sequence, std::string(1, kStop));
}

Reply decodeReply(std::string_view frame) {
  const Message message = decodeMessage(frame);
  Reply reply;
  reply.sequence = message.sequence;
  Reader reader(message.arguments);
  const std::uint8_t outerType = reader.readU8();
  const std::uint16_t result = outerType == kStop ? 0 : reader.readU16();
  if (message.type == MessageType::exception) {
    if (outerType == kString) reply.body = std::string(reader.readString());
    return reply;
  }
  if (outerType != kStruct || result > 2) throw ParseError("an answer without a result");
  bool healthy = false;
  while (const std::uint8_t type = reader.readU8()) {
    const std::uint16_t id = reader.readU16();
    if (result == 0 && id == 1 && type == kString) {
      reply.body = std::string(reader.readString());
    } else if (result == 0 && id == 3 && type == kBool) {
      healthy = reader.readU8() != 0;
    } else if (result > 0 && id == 1 && type == kMap) {
      forEachField(reader, [&](std::string_view name, std::string_view value) {
        std::int64_t retryAfter = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), retryAfter);
        if (name != "cooldown") return;
        if (error != std::errc{} || end != value.data() + value.size())
          throw ParseError("cooldown: '" + std::string(value.substr(0, 20)) + "' can't be used");
        reply.retryAfterMs = retryAfter;
      });
    } else {
      reader.skipValue(type);
    }
  }
  const bool isHeartbeat = message.method == "heartbeat";
  reply.outcome = result == 1   ? Reply::Outcome::rejected
                  : result == 2 ? Reply::Outcome::failed
                  : !healthy    ? Reply::Outcome::unhealthy
                  : isHeartbeat ? Reply::Outcome::healthy
                                : Reply::Outcome::completed;
  return reply;
}

std::string encodeAnswerHead(std::int32_t sequence, std::size_t body) {
  return encodeMessage("submit", MessageType::reply, sequence, encodeAnswerPrefix(body),
                       body + answerTailFor(true).size());
}

std::string_view encodeAnswerTail() { return answerTailFor(true); }

std::string encodeRejection(std::int32_t sequence, std::optional<std::int64_t> retryAfterMs) {
  return encodeDeclaredException(sequence, 1, retryAfterMs ? "cooldown" : "",
                                 retryAfterMs ? std::to_string(*retryAfterMs) : "");
}

std::string encodeFailure(std::int32_t sequence) { return encodeDeclaredException(sequence, 2, "", ""); }

std::string encodeHeartbeatReply(std::int32_t sequence, bool healthy) {
  return encodeMessage("heartbeat", MessageType::reply, sequence,
                       encodeAnswerPrefix(0) + answerTailFor(healthy));
}

std::string encodeException(std::string_view method, std::int32_t sequence, ExceptionCode code,
                            std::string_view text) {
  std::string output;
  appendFieldHeader(output, kString, 1);
  appendString(output, text);
  appendFieldHeader(output, kI32, 2);
  appendBigEndian(output, static_cast<std::uint32_t>(code), 4);
  appendBigEndian(output, kStop, 1);
  return encodeMessage(method, MessageType::exception, sequence, output);
}

}  // namespace paddletrack::protocol::thrift
