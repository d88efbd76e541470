#include "program/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "fault/fault.hpp"

namespace paddletrack::program {
namespace {

constexpr std::size_t kLeastDescriptors = 32, kLeastMemoryMb = 16;
// No machine has more (a tebibyte of megabytes, the kernel's bound of descriptors): in bytes it still counts.
constexpr std::size_t kMostDescriptors = 1 << 30, kMostMemoryMb = std::size_t{1} << 40;
constexpr Span kLeastTime = std::chrono::milliseconds(1);  // clients tell their times in milliseconds

transport::Address address(const protocol::Json& from, const char* key) {
  try {
    return transport::Address(from.text(key));
  } catch (const std::invalid_argument& error) {
    throw protocol::Unreadable(key, error.what());
  }
}

std::size_t between(std::size_t least, std::size_t most, const protocol::Json& from, const char* key) {
  from.number(key);
  const std::string& written = from.at(key).written;
  try {
    const std::size_t value = from.whole(key);
    if (value >= least && value <= most) return value;
  } catch (const protocol::Unreadable& error) {
    throw protocol::Unreadable(key, "'" + written + "': " + error.happened());
  }
  throw protocol::Unreadable(
      key, "'" + written + "': from " + std::to_string(least) + " to " + std::to_string(most) + " is wanted");
}

// What all that is told refers to has a name, and one of its own.
void named(const std::vector<std::string>& names, const std::string& list, const std::string& key) {
  for (std::size_t each = 0; each < names.size(); ++each) {
    const std::string at = "settings: " + list + (key.empty() ? "" : "." + std::to_string(each) + "." + key);
    if (names[each].empty()) throw protocol::Unreadable(at, "'' is no name");
    if (std::find(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(each), names[each]) !=
        names.begin() + static_cast<std::ptrdiff_t>(each))
      throw protocol::Unreadable(at, "'" + names[each] + "' stands twice");
  }
}

// What a controller that serves clients and executors can't do without: a missing value reads as 0 or none.
void whole(const protocol::Told& told, const protocol::Paths& settings) {
  const auto present = [&](const std::string& key, bool is) {
    if (is) return;
    const auto at = settings.find(key);
    throw protocol::Unreadable("settings: " + key,
                               at == settings.end() ? "is missing" : "'" + at->second + "' is too little");
  };
  present("balancers", settings.count("balancers") > 0);  // its part of all is worked out from this
  present("zones", !told.locationNames.empty());
  present("machineTypes", !told.machineNames.empty());
  present("limits.dialTimeoutUs", told.dialTimeout > Span{0});
  present("limits.idleCloseUs", told.idleClose > Span{0});
  for (const ReservationType& each : told.deployment.types) {
    const std::string at = "profiles." + std::to_string(each.index) + ".";
    present(at + "onTimeUs", each.slaTime >= kLeastTime);  // looks at what waits come by parts of this
    present(at + "giveUpUs", each.jobTimeout >= kLeastTime);
  }
  named(told.typeNames, "profiles", "name");
  named(told.customerNames, "tenants", "name");
  named(told.locationNames, "zones", "");
  named(told.machineNames, "machineTypes", "");
}

// Runs a part of the reading; what goes wrong is told with where in the file that is.
template <typename Read>
auto inside(const std::string& where, Read read) {
  try {
    return read();
  } catch (const protocol::Unreadable& error) {
    throw Misconfigured(where + (error.where().empty() ? "" : ": " + error.where()), error.happened());
  }
}

// The same for a block of keys.
template <typename Read>
void within(const char* block, Read read) {
  try {
    read();
  } catch (const protocol::Unreadable& error) {
    throw protocol::Unreadable(block + error.where(), error.happened());
  }
}

}  // namespace

Node readNode(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (PADDLETRACK_CALL(-1, "configuration.open", "EMFILE ENOENT", 0) != 0 || !file || !(text << file.rdbuf()))
    throw FileUnreadable(path, "can't be read");
  return inside(path, [&] {
    const protocol::Json read = protocol::parseJson(text.str());
    Node node{read.text("name"), address(read, "listen"), address(read, "changelog"), 0, 0, 0, 0, {}, {}, {}};
    const std::string& seed = read.text("seed");
    const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), node.seed, 16);
    if (error != std::errc{} || end != seed.data() + seed.size())
      throw protocol::Unreadable("seed", "'" + seed.substr(0, 40) + "': up to 16 hex digits are wanted");
    within("limits.", [&] {
      const protocol::Json& limits = read.at("limits");
      node.memoryBytes = between(kLeastMemoryMb, kMostMemoryMb, limits, "memory_mb") << 20;
      node.descriptors = between(kLeastDescriptors, kMostDescriptors, limits, "sockets");
    });
    within("known.", [&] {
      const protocol::Json& known = read.at("known");
      node.known = known.whole("seq");
      for (const protocol::Json& each : known.list("results"))
        node.changes.push_back(protocol::readChange(each));
    });
    node.settings = protocol::pathsOfJson(read.at("settings"));
    node.told = protocol::decode(node.settings);
    whole(node.told, node.settings);
    return node;
  });
}

std::string anothers(const Node& before, const Node& now) {
  if (before.name != now.name) return "name: '" + now.name + "'";
  if (before.listen.text() != now.listen.text()) return "listen: '" + now.listen.text() + "'";
  if (before.told.locationNames != now.told.locationNames) return "settings: zones";
  if (before.told.machineNames != now.told.machineNames) return "settings: machineTypes";
  return "";
}

std::string fixedDifferences(const Node& before, const Node& now) {
  std::string differ;
  const auto note = [&](bool same, const std::string& key) {
    if (!same) differ += (differ.empty() ? "" : ", ") + key;
  };
  note(before.name == now.name, "name");
  note(before.listen == now.listen, "listen");
  note(before.memoryBytes == now.memoryBytes, "limits.memory_mb");
  note(before.descriptors == now.descriptors, "limits.sockets");
  for (const auto& [key, value] : before.settings) {
    const auto at = now.settings.find(key);
    note(at != now.settings.end() && at->second == value, "settings." + key);
  }
  for (const auto& [key, value] : now.settings) note(before.settings.count(key) > 0, "settings." + key);
  return differ;
}

}  // namespace paddletrack::program
