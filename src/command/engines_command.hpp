#pragma once

#include <optional>
#include <string>

#include "addresses/address_table.hpp"
#include "command/admin_client.hpp"

namespace paddletrack::command {

/// Prints all engines, or only `engineId` if it is not empty. Returns the exit code; prints errors.
int runEnginesCommand(const std::string& path, const std::string& engineId, bool json);

/// The options of `address`.
struct AddressOverrideRequest {
  std::string engine;
  std::string address;
  addresses::AddressTable::ManualOverride addressOverride = addresses::AddressTable::ManualOverride::clear;
  Duration overrideDuration{0};
};
/// Sets or clears a manual override of an address. Returns the exit code; prints errors.
int runAddressCommand(const std::string& path, const AddressOverrideRequest& request);

}  // namespace paddletrack::command
