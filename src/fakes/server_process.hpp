// A controller as a child process.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace paddletrack::fakes {

/// A child process that is started like an operator starts `paddletrack serve`, with its output appended to a
/// log file. It is killed by the destructor if it still runs. The kernel sends it SIGTERM when its parent
/// dies (PR_SET_PDEATHSIG), so that no controller outlives a load test that was killed.
class ServerProcess {
 public:
  ServerProcess(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& logPath);
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;
  ~ServerProcess();
  pid_t pid() const { return pid_; }
  void sendSignal(int signalNumber) const;
  /// The exit code, or 128 plus the signal that ended the process. Empty while it runs.
  std::optional<int> exitCode();

 private:
  pid_t pid_ = -1;
  std::optional<int> exitCode_;
};

}  // namespace paddletrack::fakes
