/// The protocol of the admin server, version 1: one JSON message per line. docs/operating/drain.md describes
/// it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "addresses/address_table.hpp"
#include "admin/status.hpp"
#include "base/error.hpp"

namespace paddletrack::admin {

constexpr int kProtocolVersion = 1;

/// A request that cannot be processed. The code is part of the protocol and must not change.
struct BadRequest : ErrorOfKind<ErrorKind::invalidAdminRequest> {
  BadRequest(const char* errorCode, const std::string& what) : ErrorOfKind(what), code(errorCode) {}
  BadRequest(const char* errorCode, const std::string& key, const std::string& what)
      : ErrorOfKind(key, what), code(errorCode) {}
  const char* code;
};

/// The command of a request (key `do`).
enum class Command { status, drain, cancel, watch, engines, address };
/// A request from a client. Only the members that belong to its command are set.
struct AdminRequest {
  std::string id = "null";  // JSON text, repeated in the reply.
  Command command = Command::status;
  std::optional<Duration> deadline;    // For `drain`: time from now.
  std::optional<Duration> retryAfter;  // For `drain`: time after which rejected clients may retry.
  Duration watchInterval{std::chrono::milliseconds(500)};  // For `watch`.
  std::string firstEngineId;                               // For `engines`: reports engines from this id on.
  std::string engine;                                      // For `address`, like the members below.
  std::string address;
  addresses::AddressTable::ManualOverride addressOverride = addresses::AddressTable::ManualOverride::clear;
  Duration overrideDuration{0};
};
/// Parses one message. Throws BadRequest. Sets `id` as soon as it has been read, so that an error reply can
/// repeat it.
AdminRequest parseAdminRequest(std::string_view line, std::string& id);

std::string formatStatusReply(const std::string& id, const ControllerStatus& status);
std::string formatProgressEvent(const ControllerStatus& status);
/// Maximum number of engines in a reply; if there are more, the reply names the id of the next one.
constexpr std::size_t kMaxEnginesPerReply = 64;
std::string formatEnginesReply(const std::string& id, const std::vector<EngineStatus>& engines);
std::string formatOkReply(const std::string& id);
std::string formatErrorReply(const std::string& id, const char* code, const std::string& message);
std::string formatDrainErrorReply(const std::string& id, drain::DrainError drainError,
                                  const drain::Options& options);

// Requests that the command line sends to an admin server.
std::string formatDrainRequest(std::optional<Duration> deadline, std::optional<Duration> retryAfter);
std::string formatCancelRequest();
std::string formatStatusRequest();
std::string formatWatchRequest(Duration interval);
std::string formatEnginesRequest(const std::string& firstEngineId);
std::string formatAddressRequest(const std::string& engine, const std::string& address,
                                 addresses::AddressTable::ManualOverride addressOverride,
                                 Duration overrideDuration);

}  // namespace paddletrack::admin
