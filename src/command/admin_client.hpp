// A command's line to a controller's door; it waits, but never for longer than it is told.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/error.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack::command {

// Exit codes of all commands; they do not change from version to version.
constexpr int kExitSuccess = 0, kExitFailure = 1, kExitMisconfigured = 2, kExitDeadlineMissed = 3,
              kExitCancelled = 4, kExitNoResponse = 5, kExitRefused = 6;

using Json = nlohmann::ordered_json;
using Deadline = std::chrono::steady_clock::time_point;

// Nobody answers at the door, or what answers is not understood.
struct NoResponse : ErrorOfKind<ErrorKind::adminUnreachable> {
  using ErrorOfKind::ErrorOfKind;
};

// Says an error on standard error, with its kind and hint in a second line; its exit code.
int reportError(const Error& error, const char* prefix = "");

class AdminClient {
 public:
  explicit AdminClient(const std::string& path);
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;
  ~AdminClient();

  void send(const std::string& line, Deadline deadline);
  std::optional<Json> receive(Deadline deadline);  // the next message; none: the time came first
  // The answer to what is asked; progress that comes before it is passed over. Throws NoAnswer.
  Json call(const std::string& request);

 private:
  const std::string path_;
  int fd_ = -1;
  std::string input_;
};

}  // namespace paddletrack::command
