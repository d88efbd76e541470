/// The protocol of the admin server, version 1: JSON messages, one on a line. docs/operating/drain.md
/// describes it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "addresses/address_table.hpp"
#include "admin/status.hpp"
#include "base/error.hpp"

namespace paddletrack::admin {

constexpr int kProtocolVersion = 1;

/// A request that can't be processed. The code is part of the protocol and does not change.
struct BadRequest : ErrorOfKind<ErrorKind::invalidAdminRequest> {
  BadRequest(const char* errorCode, const std::string& what) : ErrorOfKind(what), code(errorCode) {}
  BadRequest(const char* errorCode, const std::string& key, const std::string& what)
      : ErrorOfKind(key, what), code(errorCode) {}
  const char* code;
};

/// What a request asks for (key `do`).
enum class Command { status, drain, cancel, watch, engines, address };
/// A request from a client. Only the members of its command are set.
struct AdminRequest {
  std::string id = "null";  // As it was written, for the reply.
  Command command = Command::status;
  std::optional<Duration> deadline;                        // Of `drain`, from now.
  std::optional<Duration> retryAfter;                      // Of `drain`.
  Duration watchInterval{std::chrono::milliseconds(500)};  // Of `watch`.
  std::string firstEngineId;                               // Of `engines`: only those from this id on.
  std::string engine;                                      // Of `address`, as the members below.
  std::string address;
  addresses::AddressTable::ManualOverride addressOverride = addresses::AddressTable::ManualOverride::clear;
  Duration overrideDuration{0};
};
/// Throws BadRequest. `id` is set as soon as it is read, so that the error reply has it too.
AdminRequest parseAdminRequest(std::string_view line, std::string& id);

std::string formatStatusReply(const std::string& id, const ControllerStatus& status);
std::string formatProgressEvent(const ControllerStatus& status);
/// A reply has at most this many engines and names the next one.
constexpr std::size_t kMaxEnginesPerReply = 64;
std::string formatEnginesReply(const std::string& id, const std::vector<EngineStatus>& engines);
std::string formatOkReply(const std::string& id);
std::string formatErrorReply(const std::string& id, const char* code, const std::string& message);
std::string formatDrainErrorReply(const std::string& id, drain::DrainError drainError,
                                  const drain::Options& options);

// Requests, for the commands that talk to an admin server.
std::string formatDrainRequest(std::optional<Duration> deadline, std::optional<Duration> retryAfter);
std::string formatCancelRequest();
std::string formatStatusRequest();
std::string formatWatchRequest(Duration interval);
std::string formatEnginesRequest(const std::string& firstEngineId);
std::string formatAddressRequest(const std::string& engine, const std::string& address,
                                 addresses::AddressTable::ManualOverride addressOverride,
                                 Duration overrideDuration);

}  // namespace paddletrack::admin
