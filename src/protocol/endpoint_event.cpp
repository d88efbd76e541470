#include "protocol/endpoint_event.hpp"

#include <charconv>

namespace paddletrack::protocol {

namespace {

constexpr std::size_t kMaxQuotedBytes = 40;

EndpointState parseState(const std::string& state) {
  if (state == "active") return EndpointState::ready;
  if (state == "leaving") return EndpointState::draining;
  if (state == "left") return EndpointState::removed;
  throw ParseError("state", "'" + state + "' is unknown");
}

std::vector<std::string> parseAddresses(const Json& addresses) {
  const auto* elements = std::get_if<Json::Elements>(&addresses.value);
  if (!elements) throw ParseError("addrs", "an array is expected");
  std::vector<std::string> parsedAddresses;
  for (const Json& element : *elements) {
    // A value that is not a string becomes an empty address, which the parser of addresses reports.
    const auto* text = std::get_if<std::string>(&element.value);
    parsedAddresses.push_back(text ? *text : std::string());
  }
  return parsedAddresses;
}

EndpointEntry parseEntry(const Json& server) {
  EndpointEntry entry;
  entry.id = server.getString("id");
  entry.address = server.getString("addr");
  if (const Json* addresses = server.find("addrs")) entry.addresses = parseAddresses(*addresses);
  entry.zone = server.getString("zone");
  entry.machineType = server.getString("kind");
  entry.cell = static_cast<unsigned>(server.getUnsigned("cell"));
  entry.state = parseState(server.getString("state"));
  entry.startedAtMs = static_cast<std::int64_t>(server.getUnsigned("started_ms"));
  return entry;
}

}  // namespace

EndpointEvent parseEndpointEvent(const Json& event) {
  EndpointEvent parsedEvent;
  parsedEvent.sequence = event.getUnsigned("seq");
  const Json* fleet = event.find("fleet");
  if (!fleet) return parsedEvent;
  parsedEvent.isSnapshot = fleet->getBool("full");
  for (const Json& server : fleet->getArray("servers")) parsedEvent.entries.push_back(parseEntry(server));
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
    throw ParseError("'" + std::string(line.substr(0, kMaxQuotedBytes)) +
                     "' is neither an event nor a sequence number");
  return parsedLine;
}

std::string encodeSince(std::uint64_t sequence) { return "since " + std::to_string(sequence) + "\n"; }

}  // namespace paddletrack::protocol
