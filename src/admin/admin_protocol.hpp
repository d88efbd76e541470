// What is said at the operators' door: JSON, a message a line, version 1.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "addresses/address_table.hpp"
#include "admin/status.hpp"
#include "base/error.hpp"

namespace paddletrack::admin {

constexpr int kProtocolVersion = 1;

// A message that can't be used, with a code that stays the same through versions.
struct BadRequest : ErrorOfKind<ErrorKind::invalidAdminRequest> {
  BadRequest(const char* errorCode, const std::string& what) : ErrorOfKind(what), code(errorCode) {}
  BadRequest(const char* errorCode, const std::string& key, const std::string& what)
      : ErrorOfKind(key, what), code(errorCode) {}
  const char* code;
};

enum class Command { status, drain, cancel, watch, engines, address };
struct AdminRequest {
  std::string id = "null";  // as it was written, for the reply
  Command command = Command::status;
  std::optional<Duration> deadline, retryAfter;            // of a drain
  Duration watchInterval{std::chrono::milliseconds(500)};  // of a watch
  std::string firstEngineId;                               // of engines: those from this id on
  std::string engine, address;                             // of address
  addresses::AddressTable::ManualOverride addressOverride = addresses::AddressTable::ManualOverride::clear;
  Duration overrideDuration{0};
};
// On failure `id` is filled in as far as it could be read.
AdminRequest parseAdminRequest(std::string_view line, std::string& id);

std::string formatStatusReply(const std::string& id, const ControllerStatus& status);
std::string formatProgressEvent(const ControllerStatus& status);
constexpr std::size_t kMaxEnginesPerReply = 64;  // in one reply, which names the next
std::string formatEnginesReply(const std::string& id, const std::vector<EngineStatus>& engines);
std::string formatOkReply(const std::string& id);  // done
std::string formatErrorReply(const std::string& id, const char* code, const std::string& message);
std::string formatDrainErrorReply(const std::string& id, drain::DrainError drainError,
                                  const drain::Options& options);

// The commands' side.
std::string formatDrainRequest(std::optional<Duration> deadline, std::optional<Duration> retryAfter);
std::string formatCancelRequest();
std::string formatStatusRequest();
std::string formatWatchRequest(Duration interval);
std::string formatEnginesRequest(const std::string& firstEngineId);
std::string formatAddressRequest(const std::string& engine, const std::string& address,
                                 addresses::AddressTable::ManualOverride addressOverride,
                                 Duration overrideDuration);

}  // namespace paddletrack::admin
