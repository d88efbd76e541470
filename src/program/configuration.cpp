#include "program/configuration.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

#include "fault/fault.hpp"

namespace paddletrack::program {
namespace {

constexpr std::size_t kLeastDescriptors = 32, kLeastMemoryMb = 16;

transport::Address address(const protocol::Json& from, const char* key) {
  try {
    return transport::Address(from.text(key));
  } catch (const std::invalid_argument& error) {
    throw protocol::Unreadable(key, error.what());
  }
}

std::size_t atLeast(std::size_t least, const protocol::Json& from, const char* key) {
  const std::size_t value = from.whole(key);
  if (value < least) throw protocol::Unreadable(key, "at least " + std::to_string(least) + " is wanted");
  return value;
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
      throw protocol::Unreadable("seed", "up to 16 hex digits are wanted");
    within("limits.", [&] {
      const protocol::Json& limits = read.at("limits");
      node.memoryBytes = atLeast(kLeastMemoryMb, limits, "memory_mb") << 20;
      node.descriptors = atLeast(kLeastDescriptors, limits, "sockets");
    });
    within("known.", [&] {
      const protocol::Json& known = read.at("known");
      node.known = known.whole("seq");
      for (const protocol::Json& each : known.list("results"))
        node.changes.push_back(protocol::readChange(each));
    });
    node.settings = protocol::pathsOfJson(read.at("settings"));
    node.told = protocol::decode(node.settings);
    if (node.told.dialTimeout <= Span{0})
      throw protocol::Unreadable("settings: limits.dialTimeoutUs", "is missing");
    if (node.told.idleClose <= Span{0})
      throw protocol::Unreadable("settings: limits.idleCloseUs", "is missing");
    return node;
  });
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
