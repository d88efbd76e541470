#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/engine.hpp"
#include "protocol/json.hpp"

namespace paddletrack::protocol {

// One executor as an event of the change log tells of it, names still as written.
struct Entry {
  std::string id, address, location, kind;
  unsigned cell = 0;
  Standing standing = Standing::ready;
  std::int64_t startedMs = 0;  // Unix; 0: a long time back
  std::vector<std::string> more{};  // addresses, the first preferred, if the list names several
};

struct Change {
  std::uint64_t number = 0;
  bool whole = false;
  std::vector<Entry> entries;
};

Change readChange(const Json& event);

// A line is an event or, each second, the last number alone.
struct Line {
  std::uint64_t number = 0;
  std::optional<Change> change;
};
Line readLine(std::string_view line);

std::string since(std::uint64_t number);

}  // namespace paddletrack::protocol
