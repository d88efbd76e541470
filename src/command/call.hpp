// A command's line to a controller's door; it waits, but never for longer than it is told.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/bucket_ring.hpp"
#include "base/error.hpp"

namespace paddletrack::command {

// Exit codes of all commands; they do not change from version to version.
constexpr int kWell = 0, kBroken = 1, kMisconfigured = 2, kMissed = 3, kCancelled = 4, kNoAnswer = 5,
              kRefused = 6;

using Json = nlohmann::ordered_json;
using Until = std::chrono::steady_clock::time_point;

// Nobody answers at the door, or what answers is not understood.
struct NoAnswer : ErrorOf<ErrorKind::noAnswer> {
  using ErrorOf::ErrorOf;
};

// Says an error on standard error, with its kind and hint in a second line; its exit code.
int told(const Error& error, const char* before = "");

class Call {
 public:
  explicit Call(const std::string& path);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call();

  void say(const std::string& line, Until until);
  std::optional<Json> hear(Until until);  // the next message; none: the time came first
  // The answer to what is asked; progress that comes before it is passed over. Throws NoAnswer.
  Json ask(const std::string& line);

 private:
  const std::string path_;
  int fd_ = -1;
  std::string input_;
};

}  // namespace paddletrack::command
