#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/error.hpp"
#include "base/sliding_window_sum.hpp"

namespace paddletrack::command {

// Exit codes of all commands. They are stable across versions.
constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitMisconfigured = 2;
constexpr int kExitDeadlineMissed = 3;
constexpr int kExitCancelled = 4;
constexpr int kExitNoResponse = 5;
constexpr int kExitRefused = 6;

using Json = nlohmann::ordered_json;
using Deadline = std::chrono::steady_clock::time_point;

/// The admin server does not respond, or its response is invalid.
struct NoResponse : ErrorOfKind<ErrorKind::adminUnreachable> {
  using ErrorOfKind::ErrorOfKind;
};

/// Prints an error to standard error, with its kind and hint on a second line. Returns its exit code.
int reportError(const Error& error, const char* prefix = "");

/// A blocking connection to a controller's admin server. No call blocks past its deadline. All functions
/// throw NoResponse if the connection breaks.
class AdminClient {
 public:
  /// Connects to the socket at `path`.
  explicit AdminClient(const std::string& path);
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;
  ~AdminClient();

  /// Sends all of `line`; throws NoResponse if that is not possible before the deadline.
  void send(const std::string& line, Deadline deadline);
  /// Returns the next message, or std::nullopt if none arrives before the deadline.
  std::optional<Json> receive(Deadline deadline);
  /// Sends a request and returns its response. Progress events that arrive before it are skipped. Throws
  /// NoResponse if there is no response within 3 s.
  Json call(const std::string& request);

 private:
  const std::string path_;
  int fd_ = -1;
  std::string input_;
};

}  // namespace paddletrack::command
