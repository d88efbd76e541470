#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json.hpp"

namespace paddletrack::protocol {

/// Settings by path, for example "profiles.0.name". Both input formats, the lines of the simulator's wire and
/// nested JSON, are converted to this form. A list of simple values is one entry, see `splitList`. A list of
/// objects has an entry "count" and a path for each member of each object.
using FlatSettings = std::map<std::string, std::string>;

/// Converts lines of the form path=value. If a path is repeated, its last value applies. Throws ParseError
/// for a line of another form.
FlatSettings flattenLines(std::string_view text);

/// Converts nested JSON. Throws ParseError if two members have the same path, and for a list within a list.
FlatSettings flattenJson(const Json& json);

/// Splits an entry that is a list of simple values into its elements.
std::vector<std::string> splitList(std::string_view value);

}  // namespace paddletrack::protocol
