// A client's side of the Thrift service, as the stand-ins speak it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace paddletrack::standin {

using Fields = std::vector<std::pair<std::string, std::string>>;

// Whole frames.
std::string frame(int kind, const std::string& method, int sequence, const std::string& arguments);
std::string submit(int sequence, const Fields& fields, const std::string& statement);
std::string revoke(int sequence);
std::string heartbeat(int sequence);

std::string bytes(std::uint64_t value, int size);  // big-endian
std::string text(const std::string& value);        // with its length before it

// What a controller answered.
struct Heard {
  enum class What { done, throttled, cancelled, exception, good, bad };
  What what = What::exception;
  std::int32_t sequence = 0;
  std::string body;  // the rows, or an exception's text
  std::optional<std::int64_t> comeBackMs;
};
// The message in a frame, without the frame's head; throws protocol::Unreadable.
Heard read(std::string_view message);

const char* nameOf(Heard::What what);

}  // namespace paddletrack::standin
