/// The table of keys in the operator's file.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admin/operator_config.hpp"
#include "hcl/parser.hpp"

namespace paddletrack::admin {

/// One key of the operator's file, with the functions that read and format its value.
struct ConfigKey {
  std::string block;
  std::string name;
  /// Checks a value and stores it. Throws std::invalid_argument whose text says what was expected.
  std::function<void(OperatorConfig& config, const hcl::Value& value)> parse;
  /// Formats the effective value as it would be written in the file.
  std::function<std::string(const OperatorConfig& config)> format;

  std::string fullName() const { return block + "." + name; }
};

/// All keys, in the order of the reference documentation. The keys of a block are adjacent.
const std::vector<ConfigKey>& configKeys();

/// Returns the string that a value holds. Throws std::invalid_argument if the value has another type.
const std::string& expectString(const hcl::Value& value);

}  // namespace paddletrack::admin
