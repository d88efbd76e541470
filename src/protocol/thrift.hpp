#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json.hpp"

// Thrift, framed transport and strict binary protocol, as far as the service Front needs it. Parsers read
// in place: the views lie in the frame given.
namespace paddletrack::protocol::thrift {

constexpr std::size_t kFrameHeaderBytes = 4;

// The length of the frame that begins here, without its head; none while the head is not whole.
std::optional<std::size_t> readFrameLength(std::string_view input);

enum class MessageType : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

struct Message {
  MessageType type = MessageType::call;
  std::string_view method;
  std::int32_t sequence = 0;
  std::string_view arguments;
};
Message decodeMessage(std::string_view frame);

// A request as its client wrote it; a field that is absent is empty.
struct SubmitRequest {
  std::string_view requestClass, reference, timeoutMs, tenant, estimatedWork, memory, idempotencyKey,
      statement;
};
SubmitRequest decodeSubmit(std::string_view arguments);
std::int32_t decodeRevoke(std::string_view arguments);

// Codes of the application exception.
enum class ExceptionCode : std::int32_t {
  unknownMethod = 1,
  invalidMessage = 2,
  badSequenceId = 4,
  internalError = 6,
  protocolError = 7
};

// A whole frame; `outside` counts bytes of its body that follow in other pieces.
std::string encodeMessage(std::string_view method, MessageType kind, std::int32_t sequence,
                          std::string_view body, std::size_t trailingBytes = 0);

// ---- as a client writes and reads -----------------------------------------------------------------------

using Fields = std::vector<std::pair<std::string, std::string>>;
std::string encodeSubmit(std::int32_t sequence, const Fields& fields, std::string_view statement);
std::string encodeRevoke(std::int32_t sequence);
std::string encodeHeartbeatCall(std::int32_t sequence);

// What a controller answered.
struct Reply {
  enum class Outcome {
    completed,
    rejected,
    failed,
    exception,
    healthy,
    unhealthy
  };  // the last two: a heartbeat
  Outcome outcome = Outcome::exception;
  std::int32_t sequence = 0;
  std::string body;  // the rows, or an exception's text
  std::optional<std::int64_t> retryAfterMs;
};
Reply decodeReply(std::string_view frame);

// ---- as a controller writes -----------------------------------------------------------------------------

// Whole frames but for the first: an Answer's body of so many bytes belongs between its head and its tail.
std::string encodeAnswerHead(std::int32_t sequence, std::size_t body);
std::string_view encodeAnswerTail();
std::string encodeRejection(std::int32_t sequence, std::optional<std::int64_t> retryAfterMs);
std::string encodeFailure(std::int32_t sequence);
std::string encodeHeartbeatReply(std::int32_t sequence, bool healthy);
std::string encodeException(std::string_view method, std::int32_t sequence, ExceptionCode code,
                            std::string_view text);

}  // namespace paddletrack::protocol::thrift
