/// The table of keys in the operator's file.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admin/operator_config.hpp"
#include "hcl/parser.hpp"

namespace paddletrack::admin {

/// One key of the operator's file: how its value is read and how it is shown.
struct ConfigKey {
  std::string block;
  std::string name;
  /// Checks a value and stores it. Throws std::invalid_argument, which says what was expected.
  std::function<void(OperatorConfig& config, const hcl::Value& value)> parse;
  /// Shows the value in force as it would be written in the file.
  std::function<std::string(const OperatorConfig& config)> format;

  std::string fullName() const { return block + "." + name; }
};

/// All keys, in the order of the reference. The keys of a block are adjacent.
const std::vector<ConfigKey>& configKeys();

/// Returns the text of a value. Throws std::invalid_argument if it is of another kind.
const std::string& expectString(const hcl::Value& value);

}  // namespace paddletrack::admin
