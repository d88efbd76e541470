#include "protocol/change_log.hpp"

#include <charconv>

namespace paddletrack::protocol {

Change readChange(const Json& event) {
  Change read;
  read.number = event.whole("seq");
  const Json* fleet = event.find("fleet");
  if (!fleet) return read;  // another kind of event
  read.whole = fleet->flag("full");
  for (const Json& server : fleet->list("servers")) {
    Entry entry;
    entry.id = server.text("id");
    entry.address = server.text("addr");
    if (const Json* more = server.find("addrs")) {
      const auto* all = std::get_if<Json::Elements>(&more->value);
      if (!all) throw Unreadable("addrs", "a list is wanted");
      for (const Json& each : *all) {
        const auto* text = std::get_if<std::string>(&each.value);
        entry.more.push_back(text ? *text : std::string());  // no text: named where addresses are read
      }
    }
    entry.location = server.text("zone");
    entry.kind = server.text("kind");
    entry.cell = static_cast<unsigned>(server.whole("cell"));
    const std::string& state = server.text("state");
    if (state == "leaving") {
      entry.standing = Standing::draining;
    } else if (state == "left") {
      entry.standing = Standing::gone;
    } else if (state != "active") {
      throw Unreadable("state", "'" + state + "' is unknown");
    }
    entry.startedMs = static_cast<std::int64_t>(server.whole("started_ms"));
    read.entries.push_back(std::move(entry));
  }
  return read;
}

Line readLine(std::string_view line) {
  Line read;
  if (line.starts_with('{')) {
    read.change = readChange(parseJson(line));
    read.number = read.change->number;
    return read;
  }
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), read.number);
  if (error != std::errc{} || end != line.data() + line.size())
    throw Unreadable("'" + std::string(line.substr(0, 40)) + "' is neither an event nor a number");
  return read;
}

std::string since(std::uint64_t number) { return "since " + std::to_string(number) + "\n"; }

}  // namespace paddletrack::protocol
