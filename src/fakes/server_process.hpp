// Controller that runs as a child process.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace paddletrack::fakes {

/// Child process that is started as an operator starts `paddletrack serve`. Its output is appended to a log
/// file. The destructor kills the process with SIGKILL if it is still running. The kernel sends it SIGTERM
/// when its parent dies (PR_SET_PDEATHSIG), so that no controller outlives a load test that was killed.
class ServerProcess {
 public:
  ServerProcess(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& logPath);
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;
  ~ServerProcess();
  pid_t pid() const { return pid_; }
  void sendSignal(int signalNumber) const;
  /// Returns the exit code, or 128 plus the number of the signal that ended the process; std::nullopt while
  /// it is running.
  std::optional<int> exitCode();

 private:
  pid_t pid_ = -1;
  std::optional<int> exitCode_;
};

}  // namespace paddletrack::fakes
