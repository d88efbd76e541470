#include "protocol/thrift.hpp"

#include <array>
#include <charconv>
#include <utility>

#include "base/big_endian.hpp"

namespace paddletrack::protocol::thrift {
namespace {

constexpr std::uint32_t kStrictVersion = 0x80010000;
// The version and type, a method name of up to 52 bytes with its length, and the sequence number.
constexpr std::size_t kMaxMessageHeaderBytes = 64;
constexpr int kMaxDepth = 16;  // Limits the recursion that input from peers can cause.

// Type codes of the binary protocol. A plain enum, because input may contain codes that are not listed.
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

// Reads the fields of one frame in order. Throws ParseError if the frame ends early.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  std::uint8_t readU8() { return static_cast<std::uint8_t>(readBytes(1)[0]); }
  std::uint16_t readU16() { return static_cast<std::uint16_t>(readNumber(2)); }
  std::uint32_t readU32() { return static_cast<std::uint32_t>(readNumber(4)); }
  std::string_view readString() { return readBytes(readU32()); }
  std::string_view remaining() const { return bytes_; }

  // Skips the value of an unknown field.
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
        while (const std::uint8_t fieldType = readU8()) {
          readU16();
          skipValue(fieldType, depth + 1);
        }
        return;
      case kMap: {
        const std::uint8_t keyType = readU8();
        const std::uint8_t valueType = readU8();
        for (std::uint32_t count = readCount(); count > 0; --count) {
          skipValue(keyType, depth + 1);
          skipValue(valueType, depth + 1);
        }
        return;
      }
      case kSet:
      case kList: {
        const std::uint8_t elementType = readU8();
        for (std::uint32_t count = readCount(); count > 0; --count) skipValue(elementType, depth + 1);
        return;
      }
      default:
        throw ParseError("type " + std::to_string(type) + " is unknown");
    }
  }
  // Reads the number of elements of a container. An element takes at least one byte, so a count that exceeds
  // the remaining bytes is invalid; it is rejected before any work is done for it.
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

void checkVersion(std::uint32_t header) {
  if ((header & 0xffffff00U) != kStrictVersion) throw ParseError("not the strict binary protocol");
}

using paddletrack::appendBigEndian;

void appendString(std::string& output, std::string_view text) {
  appendBigEndian(output, text.size(), 4);
  output += text;
}

void appendFieldHeader(std::string& output, FieldType type, std::uint16_t fieldId) {
  appendBigEndian(output, type, 1);
  appendBigEndian(output, fieldId, 2);
}

// Appends the header of a map from string to string, which its entries follow.
void appendStringMapHeader(std::string& output, std::size_t entryCount) {
  appendBigEndian(output, kString, 1);
  appendBigEndian(output, kString, 1);
  appendBigEndian(output, entryCount, 4);
}

// Calls `callback(name, value)` for each entry of a map from string to string.
template <typename Callback>
void forEachField(Reader& reader, Callback callback) {
  const std::uint8_t keyType = reader.readU8();
  const std::uint8_t valueType = reader.readU8();
  const std::uint32_t count = reader.readCount();
  if (count > 0 && (keyType != kString || valueType != kString)) throw ParseError("fields: text is wanted");
  for (std::uint32_t remaining = count; remaining > 0; --remaining) {
    const std::string_view name = reader.readString();
    callback(name, reader.readString());
  }
}

std::string buildAnswerTail(bool healthy) {
  std::string output;
  appendFieldHeader(output, kMap, 2);
  appendStringMapHeader(output, 0);
  appendFieldHeader(output, kBool, 3);
  appendBigEndian(output, healthy ? 1 : 0, 1);
  appendBigEndian(output, kStop, 1);  // End of the struct Answer.
  appendBigEndian(output, kStop, 1);  // End of the result struct.
  return output;
}

// The tails are constant and are encoded only once, because one is sent with every answer.
const std::string& answerTailFor(bool healthy) {
  static const std::string kHealthyTail = buildAnswerTail(true);
  static const std::string kUnhealthyTail = buildAnswerTail(false);
  return healthy ? kHealthyTail : kUnhealthyTail;
}

std::string encodeAnswerPrefix(std::size_t bodySize) {
  std::string output;
  appendFieldHeader(output, kStruct, 0);
  appendFieldHeader(output, kString, 1);
  appendBigEndian(output, bodySize, 4);
  return output;
}

// Encodes an exception that `submit` declares, with one field, or without fields if `name` is empty.
std::string encodeDeclaredException(std::int32_t sequence, std::uint16_t exceptionId, std::string_view name,
                                    std::string_view value) {
  std::string output;
  appendFieldHeader(output, kStruct, exceptionId);
  appendFieldHeader(output, kMap, 1);
  if (name.empty()) {
    appendStringMapHeader(output, 0);
  } else {
    appendStringMapHeader(output, 1);
    appendString(output, name);
    appendString(output, value);
  }
  appendBigEndian(output, kStop, 1);
  appendBigEndian(output, kStop, 1);
  return encodeMessage("submit", MessageType::reply, sequence, output);
}

// Stores a field of a submit call in the corresponding member. Unknown fields are ignored.
void storeSubmitField(SubmitRequest& submit, std::string_view name, std::string_view value) {
  struct KnownField {
    std::string_view name;
    std::string_view SubmitRequest::*member;
  };
  static constexpr std::array<KnownField, 7> kKnownFields{{{"service", &SubmitRequest::requestClass},
                                                           {"ref", &SubmitRequest::reference},
                                                           {"allow", &SubmitRequest::timeoutMs},
                                                           {"project", &SubmitRequest::tenant},
                                                           {"effort", &SubmitRequest::estimatedWork},
                                                           {"ram", &SubmitRequest::memory},
                                                           {"replay", &SubmitRequest::idempotencyKey}}};
  for (const KnownField& field : kKnownFields) {
    if (field.name != name) continue;
    std::string_view& member = submit.*field.member;
    if (value.empty() || !member.empty()) throw ParseError("fields: each has one value");
    member = value;
  }
}

// Parses the retry delay of a rejection, in milliseconds. Returns std::nullopt for fields of other names.
std::optional<std::int64_t> parseRetryAfter(std::string_view name, std::string_view value) {
  if (name != "cooldown") return std::nullopt;
  std::int64_t retryAfterMs = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), retryAfterMs);
  if (error != std::errc{} || end != value.data() + value.size())
    throw ParseError("cooldown: '" + std::string(value.substr(0, 20)) + "' can't be used");
  return retryAfterMs;
}

// Field ids of the result of a call: the answer, or one of the declared exceptions.
constexpr std::uint16_t kAnswerResult = 0;
constexpr std::uint16_t kRejectedResult = 1;
constexpr std::uint16_t kFailedResult = 2;

// Decodes the fields of the result into `reply`. Returns whether the answer reports the controller as
// healthy.
bool decodeResult(Reader& reader, std::uint16_t resultId, Reply& reply) {
  const bool isAnswer = resultId == kAnswerResult;
  bool healthy = false;
  while (const std::uint8_t type = reader.readU8()) {
    const std::uint16_t id = reader.readU16();
    if (isAnswer && id == 1 && type == kString) {
      reply.body = std::string(reader.readString());
    } else if (isAnswer && id == 3 && type == kBool) {
      healthy = reader.readU8() != 0;
    } else if (!isAnswer && id == 1 && type == kMap) {
      forEachField(reader, [&](std::string_view name, std::string_view value) {
        if (const auto retryAfterMs = parseRetryAfter(name, value)) reply.retryAfterMs = retryAfterMs;
      });
    } else {
      reader.skipValue(type);
    }
  }
  return healthy;
}

Reply::Outcome outcomeOf(std::uint16_t resultId, bool healthy, bool isHeartbeat) {
  if (resultId == kRejectedResult) return Reply::Outcome::rejected;
  if (resultId == kFailedResult) return Reply::Outcome::failed;
  if (!healthy) return Reply::Outcome::unhealthy;
  return isHeartbeat ? Reply::Outcome::healthy : Reply::Outcome::completed;
}

}  // namespace

std::optional<std::size_t> readFrameLength(std::string_view input) {
  if (input.size() < kFrameHeaderBytes) return std::nullopt;
  return Reader(input).readU32();
}

Message decodeMessage(std::string_view frame) {
  Reader reader(frame);
  const std::uint32_t header = reader.readU32();
  checkVersion(header);
  const std::uint32_t typeCode = header & 0xff;
  if (typeCode < 1 || typeCode > 4)
    throw ParseError("message type " + std::to_string(typeCode) + " is unknown");
  Message message;
  message.type = static_cast<MessageType>(typeCode);
  message.method = reader.readString();
  message.sequence = static_cast<std::int32_t>(reader.readU32());
  message.arguments = reader.remaining();
  return message;
}

std::optional<Message> decodeMessageHeader(std::string_view beginning) {
  if (beginning.size() < sizeof kStrictVersion) return std::nullopt;
  checkVersion(Reader(beginning).readU32());
  if (beginning.size() < kMaxMessageHeaderBytes) return std::nullopt;
  return decodeMessage(beginning);
}

SubmitRequest decodeSubmit(std::string_view arguments) {
  Reader reader(arguments);
  SubmitRequest submit;
  bool hasBody = false;
  while (const std::uint8_t type = reader.readU8()) {
    const std::uint16_t id = reader.readU16();
    if (id == 1 && type == kMap) {
      forEachField(reader, [&](std::string_view name, std::string_view value) {
        storeSubmitField(submit, name, value);
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

std::string encodeMessage(std::string_view method, MessageType type, std::int32_t sequence,
                          std::string_view body, std::size_t trailingBytes) {
  std::string output;
  const std::size_t length = 4 + 4 + method.size() + 4 + body.size();
  output.reserve(kFrameHeaderBytes + length);
  appendBigEndian(output, length + trailingBytes, 4);
  appendBigEndian(output, kStrictVersion | static_cast<std::uint32_t>(type), 4);
  appendString(output, method);
  appendBigEndian(output, static_cast<std::uint32_t>(sequence), 4);
  return output += body;
}

std::string encodeSubmit(std::int32_t sequence, const Fields& fields, std::string_view statement) {
  std::string output;
  appendFieldHeader(output, kMap, 1);
  appendStringMapHeader(output, fields.size());
  for (const auto& [name, value] : fields) {
    appendString(output, name);
    appendString(output, value);
  }
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
  const std::uint16_t resultId = outerType == kStop ? kAnswerResult : reader.readU16();
  if (message.type == MessageType::exception) {
    if (outerType == kString) reply.body = std::string(reader.readString());
    return reply;
  }
  if (outerType != kStruct || resultId > kFailedResult) throw ParseError("reply has no result");
  const bool healthy = decodeResult(reader, resultId, reply);
  reply.outcome = outcomeOf(resultId, healthy, message.method == "heartbeat");
  return reply;
}

std::string encodeAnswerHead(std::int32_t sequence, std::size_t bodySize) {
  return encodeMessage("submit", MessageType::reply, sequence, encodeAnswerPrefix(bodySize),
                       bodySize + answerTailFor(true).size());
}

std::string_view encodeAnswerTail() { return answerTailFor(true); }

std::string encodeRejection(std::int32_t sequence, std::optional<std::int64_t> retryAfterMs) {
  if (!retryAfterMs) return encodeDeclaredException(sequence, kRejectedResult, "", "");
  return encodeDeclaredException(sequence, kRejectedResult, "cooldown", std::to_string(*retryAfterMs));
}

std::string encodeFailure(std::int32_t sequence) {
  return encodeDeclaredException(sequence, kFailedResult, "", "");
}

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
