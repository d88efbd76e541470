#include "program/node_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "failpoint/failpoint.hpp"

namespace paddletrack::program {
namespace {

constexpr std::size_t kMinDescriptors = 32;
constexpr std::size_t kMinMemoryMb = 16;
// The kernel's limit of descriptors, and a limit that keeps the memory size in bytes from overflowing.
constexpr std::size_t kMaxDescriptors = std::size_t{1} << 30;
constexpr std::size_t kMaxMemoryMb = std::size_t{1} << 40;
constexpr std::size_t kBytesPerMbShift = 20;
constexpr std::size_t kMaxQuotedBytes = 40;  // Of an invalid value in an error message.
// Clients specify times in milliseconds.
constexpr Duration kMinDuration = std::chrono::milliseconds(1);

transport::Address readAddress(const protocol::Json& object, const char* key) {
  try {
    return transport::Address(object.getString(key));
  } catch (const std::invalid_argument& error) {
    throw protocol::ParseError(key, error.what());
  }
}

std::size_t readBoundedInteger(std::size_t minValue, std::size_t maxValue, const protocol::Json& object,
                               const char* key) {
  object.getNumber(key);
  const std::string& sourceText = object.at(key).numberText;
  try {
    const std::size_t value = object.getUnsigned(key);
    if (value >= minValue && value <= maxValue) return value;
  } catch (const protocol::ParseError& error) {
    throw protocol::ParseError(key, "'" + sourceText + "': " + error.message());
  }
  throw protocol::ParseError(key, "'" + sourceText + "': expected a number from " + std::to_string(minValue) +
                                      " to " + std::to_string(maxValue) + " (inclusive)");
}

// Requests and endpoint events refer to these items by name, so that names must be non-empty and unique.
void checkNames(const std::vector<std::string>& names, const std::string& list, const std::string& key) {
  for (std::size_t index = 0; index < names.size(); ++index) {
    const std::string location =
        "settings: " + list + (key.empty() ? "" : "." + std::to_string(index) + "." + key);
    if (names[index].empty()) throw protocol::ParseError(location, "must not be empty, found ''");
    if (std::find(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(index), names[index]) !=
        names.begin() + static_cast<std::ptrdiff_t>(index))
      throw protocol::ParseError(location, "duplicate name '" + names[index] + "'");
  }
}

// Checks the required settings. A missing value has been decoded as 0 or as empty.
void checkRequiredSettings(const protocol::ControllerConfig& controllerConfig,
                           const protocol::FlatSettings& flatSettings) {
  const auto require = [&](const std::string& key, bool isValid) {
    if (isValid) return;
    const auto setting = flatSettings.find(key);
    throw protocol::ParseError("settings: " + key, setting == flatSettings.end()
                                                       ? "is missing"
                                                       : "'" + setting->second + "' is too small");
  };
  require("balancers", flatSettings.count("balancers") > 0);
  require("zones", !controllerConfig.zoneNames.empty());
  require("machineTypes", !controllerConfig.machineTypeNames.empty());
  require("limits.dialTimeoutUs", controllerConfig.connectTimeout > Duration{0});
  require("limits.idleCloseUs", controllerConfig.idleTimeout > Duration{0});
  for (const RequestClass& requestClass : controllerConfig.deployment.requestClasses) {
    const std::string prefix = "profiles." + std::to_string(requestClass.index) + ".";
    require(prefix + "onTimeUs", requestClass.latencyObjective >= kMinDuration);
    require(prefix + "giveUpUs", requestClass.requestTimeout >= kMinDuration);
  }
  checkNames(controllerConfig.requestClassNames, "profiles", "name");
  checkNames(controllerConfig.tenantNames, "tenants", "name");
  checkNames(controllerConfig.zoneNames, "zones", "");
  checkNames(controllerConfig.machineTypeNames, "machineTypes", "");
}

std::uint64_t parseSeed(const std::string& text) {
  constexpr int kHexBase = 16;
  std::uint64_t seed = 0;
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, seed, kHexBase);
  if (error != std::errc{} || end != textEnd)
    throw protocol::ParseError("seed",
                               "'" + text.substr(0, kMaxQuotedBytes) + "': expected up to 16 hex digits");
  return seed;
}

// Runs `parse` and adds the file and, if it is known, the key to its errors.
template <typename Parse>
auto withFileContext(const std::string& filePath, Parse parse) {
  try {
    return parse();
  } catch (const protocol::ParseError& error) {
    throw ConfigurationError(filePath + (error.context().empty() ? "" : ": " + error.context()),
                             error.message());
  }
}

// Runs `parse` and adds the name of the block to the key of its errors.
template <typename Parse>
void withBlockContext(const char* block, Parse parse) {
  try {
    parse();
  } catch (const protocol::ParseError& error) {
    throw protocol::ParseError(block + error.context(), error.message());
  }
}

}  // namespace

NodeConfig readNodeConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (PADDLETRACK_CALL(-1, "configuration.open", "EMFILE ENOENT", 0) != 0 || !file || !(text << file.rdbuf()))
    throw FileReadError(path, "cannot be read");
  return withFileContext(path, [&] {
    const protocol::Json document = protocol::parseJson(text.str());
    NodeConfig config{document.getString("name"),
                      readAddress(document, "listen"),
                      readAddress(document, "changelog"),
                      0,
                      0,
                      0,
                      0,
                      {},
                      {},
                      {}};
    config.seed = parseSeed(document.getString("seed"));
    withBlockContext("limits.", [&] {
      const protocol::Json& limits = document.at("limits");
      config.memoryLimitBytes = readBoundedInteger(kMinMemoryMb, kMaxMemoryMb, limits, "memory_mb")
                                << kBytesPerMbShift;
      config.descriptorLimit = readBoundedInteger(kMinDescriptors, kMaxDescriptors, limits, "sockets");
    });
    withBlockContext("known.", [&] {
      const protocol::Json& knownBlock = document.at("known");
      config.knownSequence = knownBlock.getUnsigned("seq");
      for (const protocol::Json& json : knownBlock.getArray("results"))
        config.endpointEvents.push_back(protocol::parseEndpointEvent(json));
    });
    config.flatSettings = protocol::flattenJson(document.at("settings"));
    config.controllerConfig = protocol::decodeControllerConfig(config.flatSettings);
    checkRequiredSettings(config.controllerConfig, config.flatSettings);
    return config;
  });
}

std::string findForeignKey(const NodeConfig& current, const NodeConfig& candidate) {
  if (current.name != candidate.name) return "name: '" + candidate.name + "'";
  if (current.listenAddress.text() != candidate.listenAddress.text())
    return "listen: '" + candidate.listenAddress.text() + "'";
  if (current.controllerConfig.zoneNames != candidate.controllerConfig.zoneNames) return "settings: zones";
  if (current.controllerConfig.machineTypeNames != candidate.controllerConfig.machineTypeNames)
    return "settings: machineTypes";
  return "";
}

std::string listRestartOnlyChanges(const NodeConfig& current, const NodeConfig& candidate) {
  std::string differingKeys;
  const auto addIfDifferent = [&](bool isSame, const std::string& key) {
    if (!isSame) differingKeys += (differingKeys.empty() ? "" : ", ") + key;
  };
  addIfDifferent(current.name == candidate.name, "name");
  addIfDifferent(current.listenAddress == candidate.listenAddress, "listen");
  addIfDifferent(current.memoryLimitBytes == candidate.memoryLimitBytes, "limits.memory_mb");
  addIfDifferent(current.descriptorLimit == candidate.descriptorLimit, "limits.sockets");
  for (const auto& [key, value] : current.flatSettings) {
    const auto candidateSetting = candidate.flatSettings.find(key);
    addIfDifferent(candidateSetting != candidate.flatSettings.end() && candidateSetting->second == value,
                   "settings." + key);
  }
  for (const auto& [key, value] : candidate.flatSettings)
    addIfDifferent(current.flatSettings.count(key) > 0, "settings." + key);
  return differingKeys;
}

}  // namespace paddletrack::program
