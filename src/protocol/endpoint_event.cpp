#include "protocol/endpoint_event.hpp"

#include <charconv>

namespace paddletrack::protocol {

EndpointEvent parseEndpointEvent(const Json& event) {
  EndpointEvent parsedEvent;
  parsedEvent.sequence = event.getUnsigned("seq");
  const Json* fleet = event.find("fleet");
  if (!fleet) return parsedEvent;  // another kind of event
  parsedEvent.isSnapshot = fleet->getBool("full");
  for (const Json& server : fleet->getArray("servers")) {
    EndpointEntry entry;
    entry.id = server.getString("id");
    entry.address = server.getString("addr");
    if (const Json* addresses = server.find("addrs")) {
      const auto* elements = std::get_if<Json::Elements>(&addresses->value);
      if (!elements) throw ParseError("addrs", "a list is wanted");
      for (const Json& element : *elements) {
        const auto* text = std::get_if<std::string>(&element.value);
        entry.addresses.push_back(text ? *text : std::string());  // no text: named where addresses are read
      }
    }
    entry.zone = server.getString("zone");
    entry.machineType = server.getString("kind");
    entry.cell = static_cast<unsigned>(server.getUnsigned("cell"));
    const std::string& state = server.getString("state");
    if (state == "leaving") {
      entry.state = EndpointState::draining;
    } else if (state == "left") {
      entry.state = EndpointState::removed;
    } else if (state != "active") {
      throw ParseError("state", "'" + state + "' is unknown");
    }
    entry.startedAtMs = static_cast<std::int64_t>(server.getUnsigned("started_ms"));
    parsedEvent.entries.push_back(std::move(entry));
  }
  return parsedEvent;
}

EndpointListLine parseEndpointListLine(std::string_view line) {
  EndpointListLine parsedLine;
  if (line.starts_with('{')) {
    parsedLine.event = parseEndpointEvent(parseJson(line));
    parsedLine.sequence = parsedLine.event->sequence;
    return parsedLine;
  }
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), parsedLine.sequence);
  if (error != std::errc{} || end != line.data() + line.size())
    throw ParseError("'" + std::string(line.substr(0, 40)) + "' is neither an event nor a number");
  return parsedLine;
}

std::string encodeSince(std::uint64_t sequence) { return "since " + std::to_string(sequence) + "\n"; }

}  // namespace paddletrack::protocol
