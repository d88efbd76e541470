#pragma once

#include <optional>
#include <string>

#include "addresses/address_table.hpp"
#include "command/admin_client.hpp"

namespace paddletrack::command {

// Each returns an exit code and has said on standard error what went wrong.
int runEnginesCommand(const std::string& path, const std::string& engineId, bool json);

struct AddressOverrideRequest {
  std::string engine, address;
  addresses::AddressTable::ManualOverride addressOverride = addresses::AddressTable::ManualOverride::clear;
  Duration overrideDuration{0};
};
int runAddressCommand(const std::string& path, const AddressOverrideRequest& request);

}  // namespace paddletrack::command
