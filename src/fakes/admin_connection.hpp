// Client connection to a controller's admin socket.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Client of the admin protocol that runs in the scheduler's event loop.
class AdminConnection {
 public:
  /// Connects to the Unix socket at `path`. The scheduler and the memory budget must outlive the connection.
  AdminConnection(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                  const std::string& path);
  /// Sends `line`, which ends with a line feed, as soon as the connection is established.
  void send(const std::string& line);

  std::vector<std::string> receivedLines;          ///< Complete lines, without the line feeds.
  std::function<void(const std::string&)> onLine;  ///< Called with each complete line, if set.
  bool isClosed = false;                           ///< The connection ended or could not be established.

 private:
  transport::Task<> run(std::string path);
  void processLines();

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  std::optional<transport::Connection> connection_;
  std::string pendingOutput_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
