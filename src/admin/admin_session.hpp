#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admin/admin_protocol.hpp"
#include "admin/operator_config.hpp"
#include "admin/service_lifecycle.hpp"
#include "transport/connection.hpp"

namespace paddletrack::admin {

/// One client of the admin server: reads its requests, answers them and, if it watches, sends it progress.
/// Idle time, the length of a message and unread responses are limited. All references must outlive the
/// session.
class AdminSession {
 public:
  /// `peerName` names the client in the log.
  AdminSession(transport::Scheduler& scheduler, const AdminServerOptions& options,
               ServiceLifecycle& lifecycle, transport::OutputBudget& outputBudget,
               std::unique_ptr<transport::Descriptor> accepted, std::string peerName);

  /// Serves the client until it leaves or breaks a limit.
  transport::Task<> run();

  /// Sends the status to a client that watches. A client that has too much unread misses this event.
  void sendProgress();

 private:
  bool isAwaitingInput() const;
  bool hasTimedOut(transport::TimePoint now) const;
  transport::TimePoint nextDeadline(transport::TimePoint now) const;
  transport::Task<> rejectOversizedMessage();
  transport::Task<bool> handleInput();
  std::string handleLine(std::string_view line);
  std::string handleRequest(const AdminRequest& request);
  std::string handleAddressRequest(const AdminRequest& request);

  transport::Scheduler& scheduler_;
  const AdminServerOptions& options_;
  ServiceLifecycle& lifecycle_;
  const std::string peerName_;
  transport::Connection connection_;
  transport::TimePoint lastMessageAt_;     // The last complete message.
  transport::TimePoint lastDrainedAt_;     // When the client last had nothing left to read.
  std::optional<Duration> watchInterval_;  // Set if the client watches.
  transport::TimePoint nextProgressAt_{};
};

}  // namespace paddletrack::admin
