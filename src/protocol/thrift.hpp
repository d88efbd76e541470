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

constexpr std::size_t kFrameHead = 4;

// The length of the frame that begins here, without its head; none while the head is not whole.
std::optional<std::size_t> frameLength(std::string_view input);

enum class Kind : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

struct Message {
  Kind kind = Kind::call;
  std::string_view method;
  std::int32_t sequence = 0;
  std::string_view arguments;
};
Message readMessage(std::string_view frame);

// A request as its client wrote it; a field that is absent is empty.
struct Submit {
  std::string_view type, reference, allow, customer, effort, memory, idempotencyKey, statement;
};
Submit readSubmit(std::string_view arguments);
std::int32_t readRevoke(std::string_view arguments);

// Codes of the application exception.
enum class Fault : std::int32_t {
  unknownMethod = 1,
  invalidMessage = 2,
  badSequence = 4,
  internal = 6,
  protocol = 7
};

// A whole frame; `outside` counts bytes of its body that follow in other pieces.
std::string message(std::string_view method, Kind kind, std::int32_t sequence, std::string_view body,
                    std::size_t outside = 0);

// ---- as a client writes and reads -----------------------------------------------------------------------

using Fields = std::vector<std::pair<std::string, std::string>>;
std::string submit(std::int32_t sequence, const Fields& fields, std::string_view statement);
std::string revoke(std::int32_t open);
std::string heartbeatCall(std::int32_t sequence);

// What a controller answered.
struct Reply {
  enum class What { done, throttled, cancelled, exception, good, bad };  // the last two: a heartbeat
  What what = What::exception;
  std::int32_t sequence = 0;
  std::string body;  // the rows, or an exception's text
  std::optional<std::int64_t> comeBackMs;
};
Reply readReply(std::string_view frame);

// ---- as a controller writes -----------------------------------------------------------------------------

// Whole frames but for the first: an Answer's body of so many bytes belongs between its head and its tail.
std::string answerHead(std::int32_t sequence, std::size_t body);
std::string_view answerTail();
std::string shed(std::int32_t sequence, std::optional<std::int64_t> comeBackMs);
std::string fault(std::int32_t sequence);
std::string heartbeat(std::int32_t sequence, bool good);
std::string exception(std::string_view method, std::int32_t sequence, Fault code, std::string_view text);

}  // namespace paddletrack::protocol::thrift
