#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json.hpp"

namespace paddletrack::protocol {

/// Settings by path, for example "profiles.0.name". Both forms of the settings, the lines of the simulator's
/// wire and nested JSON, are converted to it. A list of simple values is one entry, see `splitList`; a list
/// of objects has an entry "count" and a path for each member of each object.
using FlatSettings = std::map<std::string, std::string>;

/// Converts lines of the form path=value. A path that is repeated takes its last value.
FlatSettings flattenLines(std::string_view text);

/// Converts nested JSON. Throws ParseError if two members lead to the same path.
FlatSettings flattenJson(const Json& json);

/// Returns the elements of a list of simple values.
std::vector<std::string> splitList(std::string_view value);

}  // namespace paddletrack::protocol
