#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json.hpp"

/// The subset of Thrift that the service `Front` needs, with the framed transport and the strict binary
/// protocol. Decoders throw ParseError and do not copy: the views that they return point into their input,
/// which must outlive the views.
namespace paddletrack::protocol::thrift {

constexpr std::size_t kFrameHeaderBytes = 4;

/// Returns the length of the frame at the start of `input` without its header, or std::nullopt while the
/// header is incomplete.
std::optional<std::size_t> readFrameLength(std::string_view input);

enum class MessageType : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

/// The message header of a frame; `arguments` are the bytes that follow it.
struct Message {
  MessageType type = MessageType::call;
  std::string_view method;
  std::int32_t sequence = 0;
  std::string_view arguments;
};

/// Decodes a frame without its length header.
Message decodeMessage(std::string_view frame);

/// Decodes the message header of a frame of which only `beginning` has arrived, without its length header.
/// Returns std::nullopt if more bytes are needed. Throws ParseError if it is not the beginning of a message,
/// or if its method name is longer than any known one.
std::optional<Message> decodeMessageHeader(std::string_view beginning);

/// The arguments of a submit call as the client wrote them; an absent field is empty.
struct SubmitRequest {
  std::string_view requestClass;
  std::string_view reference;
  std::string_view timeoutMs;
  std::string_view tenant;
  std::string_view estimatedWork;
  std::string_view memory;
  std::string_view idempotencyKey;
  std::string_view statement;
};

SubmitRequest decodeSubmit(std::string_view arguments);

/// Returns the sequence number of the submit call to revoke.
std::int32_t decodeRevoke(std::string_view arguments);

/// Codes of Thrift's application exception.
// NOLINTNEXTLINE(performance-enum-size): the codes are written as 32 bits.
enum class ExceptionCode : std::int32_t {
  unknownMethod = 1,
  invalidMessage = 2,
  badSequenceId = 4,
  internalError = 6,
  protocolError = 7
};

/// Encodes a frame with its length header. `trailingBytes` counts bytes that the caller sends after `body` as
/// part of the same frame.
std::string encodeMessage(std::string_view method, MessageType type, std::int32_t sequence,
                          std::string_view body, std::size_t trailingBytes = 0);

// ---- client side ----------------------------------------------------------------------------------------

using Fields = std::vector<std::pair<std::string, std::string>>;
std::string encodeSubmit(std::int32_t sequence, const Fields& fields, std::string_view statement);
std::string encodeRevoke(std::int32_t sequence);
std::string encodeHeartbeatCall(std::int32_t sequence);

/// The reply of a controller to a submit or heartbeat call.
struct Reply {
  /// Only heartbeats have the outcome `healthy`. Any answer without the healthy flag is `unhealthy`.
  enum class Outcome : std::uint8_t { completed, rejected, failed, exception, healthy, unhealthy };
  Outcome outcome = Outcome::exception;
  std::int32_t sequence = 0;
  /// The rows of the result, or the text of an exception.
  std::string body;
  /// Of a rejection: the delay in milliseconds after which the client may submit the request again.
  std::optional<std::int64_t> retryAfterMs;
};

/// Decodes a frame without its length header.
Reply decodeReply(std::string_view frame);

// ---- controller side ------------------------------------------------------------------------------------

/// An answer is sent in three parts, so that the rows are not copied: the head, `bodySize` bytes of rows, and
/// the tail. The other functions encode complete frames.
std::string encodeAnswerHead(std::int32_t sequence, std::size_t bodySize);
std::string_view encodeAnswerTail();
std::string encodeRejection(std::int32_t sequence, std::optional<std::int64_t> retryAfterMs);
std::string encodeFailure(std::int32_t sequence);
std::string encodeHeartbeatReply(std::int32_t sequence, bool healthy);
std::string encodeException(std::string_view method, std::int32_t sequence, ExceptionCode code,
                            std::string_view text);

}  // namespace paddletrack::protocol::thrift
