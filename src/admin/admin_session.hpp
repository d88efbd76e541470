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

/// The connection of one admin client: reads and answers its requests and, if it watches, sends it progress
/// events. Idle time, message length and the bytes of unread responses are limited. All references must
/// outlive the session.
class AdminSession {
 public:
  /// `peerName` identifies the client in the log.
  AdminSession(transport::Scheduler& scheduler, const AdminServerOptions& options,
               ServiceLifecycle& lifecycle, transport::MemoryBudget& memoryBudget,
               std::unique_ptr<transport::Descriptor> accepted, std::string peerName);

  /// Serves the client until it disconnects or exceeds a limit.
  transport::Task<> run();

  /// Sends the status to a client that watches. Skips the event if the client has too many unread bytes.
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
  transport::TimePoint lastMessageAt_;     // When the last complete message arrived.
  transport::TimePoint lastDrainedAt_;     // When the client had last read everything sent to it.
  std::optional<Duration> watchInterval_;  // Set if the client watches.
  transport::TimePoint nextProgressAt_{};
};

}  // namespace paddletrack::admin
