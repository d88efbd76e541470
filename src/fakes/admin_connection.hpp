// A connection to a controller's admin socket.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Speaks the line protocol of the admin socket within the scheduler's loop.
class AdminConnection {
 public:
  /// Connects to the Unix socket at `path`. The scheduler and the output budget must outlive the connection.
  AdminConnection(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                  const std::string& path);
  /// Sends `line`, which ends with a line feed, as soon as the connection is established.
  void send(const std::string& line);

  std::vector<std::string> receivedLines;          ///< Complete lines without their line feeds.
  std::function<void(const std::string&)> onLine;  ///< Called with each line as it arrives, if set.
  bool isClosed = false;                           ///< Also true if the connection could not be established.

 private:
  transport::Task<> run(std::string path);
  void processLines();

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  std::optional<transport::Connection> connection_;
  std::string pendingOutput_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
