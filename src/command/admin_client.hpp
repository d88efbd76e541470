#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/error.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack::command {

// Exit codes of all commands. They do not change from version to version.
constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitMisconfigured = 2;
constexpr int kExitDeadlineMissed = 3;
constexpr int kExitCancelled = 4;
constexpr int kExitNoResponse = 5;
constexpr int kExitRefused = 6;

using Json = nlohmann::ordered_json;
using Deadline = std::chrono::steady_clock::time_point;

/// The admin server does not answer, or its answer is not understood.
struct NoResponse : ErrorOfKind<ErrorKind::adminUnreachable> {
  using ErrorOfKind::ErrorOfKind;
};

/// Prints an error to standard error, with its kind and hint in a second line. Returns its exit code.
int reportError(const Error& error, const char* prefix = "");

/// A connection to a controller's admin server. It waits, but never past the deadline it is given. All
/// functions throw NoResponse if the connection breaks.
class AdminClient {
 public:
  /// Connects to the socket at `path`.
  explicit AdminClient(const std::string& path);
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;
  ~AdminClient();

  void send(const std::string& line, Deadline deadline);
  /// Returns the next message; none if the deadline came first.
  std::optional<Json> receive(Deadline deadline);
  /// Sends a request and returns its response. Progress events that come before it are skipped.
  Json call(const std::string& request);

 private:
  const std::string path_;
  int fd_ = -1;
  std::string input_;
};

}  // namespace paddletrack::command
