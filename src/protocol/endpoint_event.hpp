#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/engine.hpp"
#include "protocol/json.hpp"

namespace paddletrack::protocol {

/// An engine in an event of the endpoint list. Zone and machine type are names as received, not yet resolved
/// to indices.
struct EndpointEntry {
  std::string id;
  std::string address;
  std::string zone;
  std::string machineType;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  /// When the process started, in milliseconds since the Unix epoch; 0 if it started long ago.
  std::int64_t startedAtMs = 0;
  /// All addresses, the preferred one first; empty if the list names only `address`.
  std::vector<std::string> addresses{};
};

/// A change of the endpoint list. A snapshot replaces the list; any other event changes only the engines that
/// it names.
struct EndpointEvent {
  std::uint64_t sequence = 0;
  bool isSnapshot = false;
  std::vector<EndpointEntry> entries;
};

/// Decodes an event. An event of an unknown kind yields its sequence number and no entries. Throws ParseError
/// if a field is missing or invalid.
EndpointEvent parseEndpointEvent(const Json& event);

/// A line of the endpoint list: an event or, as a heartbeat, the sequence number of the last event.
struct EndpointListLine {
  std::uint64_t sequence = 0;
  std::optional<EndpointEvent> event;
};

EndpointListLine parseEndpointListLine(std::string_view line);

/// Encodes the request for all events after `sequence`.
std::string encodeSince(std::uint64_t sequence);

}  // namespace paddletrack::protocol
