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
struct EndpointEntry {
  std::string id, address, zone, machineType;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  std::int64_t startedAtMs = 0;          // Unix; 0: a long time back
  std::vector<std::string> addresses{};  // addresses, the first preferred, if the list names several
};

struct EndpointEvent {
  std::uint64_t sequence = 0;
  bool isSnapshot = false;
  std::vector<EndpointEntry> entries;
};

EndpointEvent parseEndpointEvent(const Json& event);

// A line is an event or, each second, the last number alone.
struct EndpointListLine {
  std::uint64_t sequence = 0;
  std::optional<EndpointEvent> event;
};
EndpointListLine parseEndpointListLine(std::string_view line);

std::string encodeSince(std::uint64_t sequence);

}  // namespace paddletrack::protocol
