#include "admin/operator_config.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <numeric>
#include <optional>
#include <sstream>

#include "failpoint/failpoint.hpp"
#include "transport/connection.hpp"

namespace paddletrack::admin {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::array<std::pair<const char*, double>, 5> kTimeUnits{
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}};
constexpr std::array<std::pair<const char*, double>, 6> kSizeUnits{
    {{"", 1}, {"B", 1}, {"KiB", 1024}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1000}}};

// A figure with its unit behind it.
template <std::size_t N>
double parseWithUnit(const std::string& text, const std::array<std::pair<const char*, double>, N>& units,
                     const char* expectation) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const std::string unit(end, static_cast<const char*>(text.data() + text.size()));
  const auto knownUnit =
      std::find_if(units.begin(), units.end(), [&](const auto& item) { return unit == item.first; });
  if (error != std::errc{} || knownUnit == units.end() || !std::isfinite(value * knownUnit->second) ||
      std::abs(value * knownUnit->second) > 1e15)
    throw std::invalid_argument("'" + text.substr(0, 40) + "': " + expectation);
  return value * knownUnit->second;
}

std::string formatByteSize(std::size_t bytes) {
  for (const auto& [unit, factor] :
       {std::pair{"GiB", std::size_t{1} << 30}, {"MiB", std::size_t{1} << 20}, {"KiB", std::size_t{1} << 10}})
    if (bytes >= factor && bytes % factor == 0) return std::to_string(bytes / factor) + unit;
  return std::to_string(bytes) + "B";
}

// One key of the reference: how it is read and how it is shown.
struct ConfigKey {
  std::string block, name;
  std::function<void(OperatorConfig&, const hcl::Value&)> parse;
  std::function<std::string(const OperatorConfig&)> format;
  std::string fullName() const { return block + "." + name; }
};

const std::string& expectString(const hcl::Value& value) {
  if (const auto* text = std::get_if<std::string>(&value.value)) return *text;
  throw std::invalid_argument(std::string("a text is expected, not ") + value.kindName());
}

constexpr std::size_t kMaxPeers = 1024, kMaxClusterNameBytes = 32;

// Of the fleet's datagrams: IPv4 alone.
std::string expectGossipAddress(const hcl::Value& value) {
  const std::string& text = expectString(value);
  if (transport::Address(text).family() != AF_INET)
    throw std::invalid_argument("'" + text.substr(0, 40) + "' is not an IPv4 address and port");
  return text;
}

template <typename Accessor>
ConfigKey durationKey(const char* block, const char* name, microseconds minValue, microseconds maxValue,
                      Accessor accessor) {
  return {block, name,
          [=](OperatorConfig& config, const hcl::Value& value) {
            const microseconds parsed = parseDuration(expectString(value));
            if (parsed < minValue || parsed > maxValue)
              throw std::invalid_argument("from " + formatDuration(minValue) + " to " +
                                          formatDuration(maxValue) + " is expected");
            accessor(config) = parsed;
          },
          [=](const OperatorConfig& config) {
            return "\"" + formatDuration(accessor(const_cast<OperatorConfig&>(config))) + "\"";
          }};
}

template <typename Accessor>
ConfigKey byteSizeKey(const char* block, const char* name, std::size_t minValue, std::size_t maxValue,
                      Accessor accessor) {
  return {block, name,
          [=](OperatorConfig& config, const hcl::Value& value) {
            const std::size_t parsed = parseByteSize(expectString(value));
            if (parsed < minValue || parsed > maxValue)
              throw std::invalid_argument("from " + formatByteSize(minValue) + " to " +
                                          formatByteSize(maxValue) + " is expected");
            accessor(config) = parsed;
          },
          [=](const OperatorConfig& config) {
            return "\"" + formatByteSize(accessor(const_cast<OperatorConfig&>(config))) + "\"";
          }};
}

std::size_t expectInteger(const hcl::Value& value, std::size_t minValue, std::size_t maxValue) {
  const auto* number = std::get_if<double>(&value.value);
  if (!number || *number != std::floor(*number) || *number < static_cast<double>(minValue) ||
      *number > static_cast<double>(maxValue))
    throw std::invalid_argument("a whole number from " + std::to_string(minValue) + " to " +
                                std::to_string(maxValue) + " is expected" +
                                (number ? "" : std::string(", not ") + value.kindName()));
  return static_cast<std::size_t>(*number);
}

ConfigKey rateKey(const char* name, double discovery::ReconnectOptions::*member) {
  return {"coldstart", name,
          [=](OperatorConfig& config, const hcl::Value& value) {
            config.reconnect.*member = static_cast<double>(expectInteger(value, 0, 100000));
          },
          [=](const OperatorConfig& config) {
            return std::to_string(static_cast<std::size_t>(config.reconnect.*member));
          }};
}

// The reference, in the order in which it is shown.
const std::vector<ConfigKey>& configKeys() {
  static const std::vector<ConfigKey> kKeys{
      {"door", "socket",
       [](OperatorConfig& config, const hcl::Value& value) {
         const std::string& path = expectString(value);
         if (!path.empty()) transport::Address("unix:" + path);
         config.adminServer.socketPath = path;
       },
       [](const OperatorConfig& config) { return "\"" + config.adminServer.socketPath + "\""; }},
      {"door", "clients",
       [](OperatorConfig& config, const hcl::Value& value) {
         config.adminServer.maxClients = expectInteger(value, 1, 64);
       },
       [](const OperatorConfig& config) { return std::to_string(config.adminServer.maxClients); }},
      byteSizeKey(
          "door", "line", 256, 1 << 20,
          [](OperatorConfig & s) -> auto& { return s.adminServer.maxLineBytes; }),
      byteSizeKey(
          "door", "unsent", 4096, 16 << 20,
          [](OperatorConfig & s) -> auto& { return s.adminServer.maxUnsentBytes; }),
      durationKey(
          "door", "idle", 100ms, 1h, [](OperatorConfig & s) -> auto& { return s.adminServer.idleTimeout; }),
      durationKey(
          "drain", "deadline", 0s, 24h, [](OperatorConfig & s) -> auto& { return s.drain.defaultDeadline; }),
      durationKey(
          "drain", "longest", 1s, 24h, [](OperatorConfig & s) -> auto& { return s.drain.maxDeadline; }),
      durationKey(
          "drain", "notice", 0s, 60s, [](OperatorConfig & s) -> auto& { return s.drain.noticeDuration; }),
      durationKey(
          "drain", "come_back", 0s, 1h, [](OperatorConfig & s) -> auto& { return s.drain.retryAfter; }),
      rateKey("follows", &discovery::ReconnectOptions::reconnectRate),
      rateKey("reads", &discovery::ReconnectOptions::initialReadRate),
      durationKey(
          "coldstart", "longest", 1s, 1h,
          [](OperatorConfig & s) -> auto& { return s.reconnect.maxWaitDuration; }),
      {"reach", "prefer",
       [](OperatorConfig& config, const hcl::Value& value) {
         static const std::string kExpectation =
             "a list of \"unix\", \"ipv6\" and \"ipv4\", each once, is expected";
         const auto* list = std::get_if<hcl::Value::List>(&value.value);
         if (!list || list->size() != addresses::kFamilyCount) throw std::invalid_argument(kExpectation);
         std::vector<addresses::AddressFamily> families;
         for (const hcl::Value& versionedSums : *list)
           for (const addresses::AddressFamily family :
                {addresses::AddressFamily::unixSocket, addresses::AddressFamily::ipv6,
                 addresses::AddressFamily::ipv4})
             if (expectString(versionedSums) == addresses::nameOf(family) &&
                 std::find(families.begin(), families.end(), family) == families.end())
               families.push_back(family);
         if (families.size() != addresses::kFamilyCount) throw std::invalid_argument(kExpectation);
         config.familyPreference = std::move(families);
       },
       [](const OperatorConfig& config) {
         std::string text;
         for (const addresses::AddressFamily addressFamily : config.familyPreference)
           text += (text.empty() ? "[\"" : ", \"") + std::string(addresses::nameOf(addressFamily)) + "\"";
         return text + "]";
       }},
      {"share", "listen",
       [](OperatorConfig& config, const hcl::Value& value) {
         config.gossip.listenAddress = expectGossipAddress(value);
       },
       [](const OperatorConfig& config) { return "\"" + config.gossip.listenAddress + "\""; }},
      {"share", "peers",
       [](OperatorConfig& config, const hcl::Value& value) {
         const auto* list = std::get_if<hcl::Value::List>(&value.value);
         if (!list || list->size() > kMaxPeers)
           throw std::invalid_argument("a list of " + std::to_string(kMaxPeers) +
                                       " addresses at most is expected");
         std::vector<std::string> addresses;
         for (const hcl::Value& versionedSums : *list) {
           addresses.push_back(expectGossipAddress(versionedSums));
           if (std::find(addresses.begin(), std::prev(addresses.end()), addresses.back()) !=
               std::prev(addresses.end()))
             throw std::invalid_argument("'" + addresses.back() + "' stands twice");
         }
         config.gossip.peers = std::move(addresses);
       },
       [](const OperatorConfig& config) {
         std::string text;
         for (const std::string& peer : config.gossip.peers)
           text += (text.empty() ? "\"" : ", \"") + peer + "\"";
         return "[" + text + "]";
       }},
      durationKey(
          "share", "period", 20ms, 60s, [](OperatorConfig & s) -> auto& { return s.gossip.interval; }),
      {"share", "cluster",
       [](OperatorConfig& config, const hcl::Value& value) {
         const std::string& name = expectString(value);
         if (name.empty() || name.size() > kMaxClusterNameBytes)
           throw std::invalid_argument("a name of 1 to " + std::to_string(kMaxClusterNameBytes) +
                                       " bytes is expected");
         config.gossip.cluster = name;
       },
       [](const OperatorConfig& config) { return "\"" + config.gossip.cluster + "\""; }},
      durationKey(
          "share", "keep", 1s, 24h, [](OperatorConfig & s) -> auto& { return s.gossip.retentionDuration; }),
      byteSizeKey(
          "rebalance", "capacity", 1, std::size_t{1} << 50,
          [](OperatorConfig & s) -> auto& { return s.rebalance.engineCapacityBytes; }),
      byteSizeKey(
          "rebalance", "group", 1, std::size_t{1} << 50,
          [](OperatorConfig & s) -> auto& { return s.rebalance.groupBytes; }),
      durationKey(
          "rebalance", "period", 1s, 1h, [](OperatorConfig & s) -> auto& { return s.rebalance.interval; }),
      durationKey(
          "rebalance", "guard", 10ms, 60s,
          [](OperatorConfig & s) -> auto& { return s.rebalance.guardDuration; }),
      {"rebalance", "lean",
       [](OperatorConfig& config, const hcl::Value& value) {
         config.rebalance.placementBiasPercent = expectInteger(value, 1, 100);
       },
       [](const OperatorConfig& config) { return std::to_string(config.rebalance.placementBiasPercent); }},
      {"hindsight", "records",
       [](OperatorConfig& config, const hcl::Value& value) {
         config.counterfactual.maxRecords = expectInteger(value, 0, 65536);
       },
       [](const OperatorConfig& config) { return std::to_string(config.counterfactual.maxRecords); }},
      durationKey(
          "hindsight", "window", 10s, 1h,
          [](OperatorConfig & s) -> auto& { return s.counterfactual.window; }),
      {"log", "form",
       [](OperatorConfig& config, const hcl::Value& value) {
         const std::string& format = expectString(value);
         if (format != "text" && format != "json")
           throw std::invalid_argument("\"text\" or \"json\" is expected");
         config.logFormat = format == "json" ? LogFormat::json : LogFormat::text;
       },
       [](const OperatorConfig& config) {
         return config.logFormat == LogFormat::json ? "\"json\"" : "\"text\"";
       }},
      {"log", "level",
       [](OperatorConfig& config, const hcl::Value& value) {
         config.logLevel = parseLogLevel(expectString(value));
       },
       [](const OperatorConfig& config) { return "\"" + std::string(nameOf(config.logLevel)) + "\""; }}};
  return kKeys;
}

class ConfigReader {
 public:
  explicit ConfigReader(const std::string& path) : path_(path) {}

  [[noreturn]] void failAt(hcl::SourceLocation location, const std::string& key,
                           const std::string& problem) const {
    throw OperatorConfigError(path_ + ":" + std::to_string(location.line) + ":" +
                                  std::to_string(location.column) + (key.empty() ? "" : ": " + key),
                              problem);
  }

  [[noreturn]] void failUnknownName(hcl::SourceLocation location, const std::string& kind,
                                    const std::string& name,
                                    const std::vector<std::string>& knownNames) const {
    const std::string closest = findClosestName(name, knownNames);
    failAt(location, name, "no such " + kind + (closest.empty() ? "" : "; '" + closest + "' is meant?"));
  }

  // Runs a reading of one value; what is wrong with it is told with its place and its key.
  template <typename Parse>
  void readValue(hcl::SourceLocation location, const std::string& key, Parse parse) const {
    try {
      parse();
    } catch (const std::invalid_argument& error) {
      failAt(location, key, error.what());
    }
  }

  std::string formatOrigin(hcl::SourceLocation location) const {
    return path_ + ":" + std::to_string(location.line);
  }

 private:
  const std::string& path_;
};

void parseTopicBlock(const ConfigReader& reader, const hcl::Block& block, OperatorConfig& config,
                     std::vector<OperatorConfig::Entry>& topicEntries) {
  if (block.labels.size() != 1)
    reader.failAt(block.location, "log.topic",
                  "one label is expected, the topic, as in topic \"dial\" { ... }");
  const std::string key = "log.topic." + block.labels.front();
  if (config.topicLevels.count(block.labels.front()) > 0)
    reader.failAt(block.location, key, "it stands twice");
  if (!block.body.blocks.empty())
    reader.failUnknownName(block.body.blocks.front().location, "block here", block.body.blocks.front().type,
                           {});
  std::optional<LogLevel> level;
  for (const hcl::Attribute& attribute : block.body.attributes) {
    if (attribute.name != "level")
      reader.failUnknownName(attribute.location, "key in log.topic", attribute.name, {"level"});
    reader.readValue(attribute.value.location, key + ".level",
                     [&] { level = parseLogLevel(expectString(attribute.value)); });
    topicEntries.push_back(
        {key + ".level", "\"" + std::string(nameOf(*level)) + "\"", reader.formatOrigin(attribute.location)});
  }
  if (!level) reader.failAt(block.location, key, "its level is expected");
  config.topicLevels.emplace(block.labels.front(), *level);
}

}  // namespace

microseconds parseDuration(const std::string& text) {
  const double value =
      parseWithUnit(text, kTimeUnits, "a duration is expected, as in \"250ms\", \"20s\" or \"1.5m\"");
  return microseconds{std::llround(value)};
}

std::size_t parseByteSize(const std::string& text) {
  const double value = parseWithUnit(text, kSizeUnits, "a size is expected, as in \"16KiB\" or \"4MiB\"");
  if (value < 0) throw std::invalid_argument("'" + text + "': a size is not negative");
  return static_cast<std::size_t>(std::llround(value));
}

std::string formatDuration(microseconds duration) {
  const std::int64_t value = duration.count();
  for (const auto& [unit, factor] :
       {std::pair{"h", 3600000000LL}, {"m", 60000000LL}, {"s", 1000000LL}, {"ms", 1000LL}})
    if (value != 0 && value % factor == 0) return std::to_string(value / factor) + unit;
  return value == 0 ? "0s" : std::to_string(value) + "us";
}

LogLevel parseLogLevel(const std::string& name) {
  for (const LogLevel logLevel : {LogLevel::debug, LogLevel::info, LogLevel::warning, LogLevel::error})
    if (name == nameOf(logLevel)) return logLevel;
  throw std::invalid_argument("'" + name.substr(0, 40) +
                              "': \"debug\", \"info\", \"warning\" or \"error\" is expected");
}

const char* nameOf(LogLevel level) {
  static constexpr std::array<const char*, 4> kNames{"debug", "info", "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

// By the least number of letters put in, left out or changed, at most a third of the name.
std::string findClosestName(const std::string& name, const std::vector<std::string>& candidates) {
  std::string closest;
  std::size_t minDistance = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : candidates) {
    std::vector<std::size_t> distances(candidate.size() + 1);
    std::iota(distances.begin(), distances.end(), std::size_t{0});
    for (std::size_t i = 1; i <= name.size(); ++i) {
      std::size_t diagonal = std::exchange(distances[0], i);
      for (std::size_t j = 1; j <= candidate.size(); ++j) {
        const std::size_t substituted = diagonal + (name[i - 1] == candidate[j - 1] ? 0 : 1);
        diagonal = distances[j];
        distances[j] = std::min({substituted, distances[j] + 1, distances[j - 1] + 1});
      }
    }
    if (distances.back() < minDistance) minDistance = distances.back(), closest = candidate;
  }
  return closest;
}

OperatorConfig parseOperatorConfig(const hcl::Body& body, const std::string& path) {
  const ConfigReader reader(path);
  OperatorConfig config;
  std::map<std::string, std::string> origins;
  std::vector<OperatorConfig::Entry> topicEntries;
  std::vector<std::string> blockTypes;
  for (const ConfigKey& configKey : configKeys())
    if (blockTypes.empty() || blockTypes.back() != configKey.block) blockTypes.push_back(configKey.block);
  if (!body.attributes.empty())
    reader.failUnknownName(body.attributes.front().location, "key outside of blocks",
                           body.attributes.front().name, blockTypes);
  std::map<std::string, std::size_t> blockLines;
  for (const hcl::Block& block : body.blocks) {
    if (std::find(blockTypes.begin(), blockTypes.end(), block.type) == blockTypes.end())
      reader.failUnknownName(block.location, "block", block.type, blockTypes);
    if (!block.labels.empty()) reader.failAt(block.location, block.type, "no label is expected");
    if (const auto [firstLine, inserted] = blockLines.emplace(block.type, block.location.line); !inserted)
      reader.failAt(block.location, block.type,
                    "it stands twice, first in line " + std::to_string(firstLine->second));
    for (const hcl::Block& innerBlock : block.body.blocks) {
      if (block.type != "log" || innerBlock.type != "topic")
        reader.failUnknownName(
            innerBlock.location, "block in " + block.type, innerBlock.type,
            block.type == "log" ? std::vector<std::string>{"topic"} : std::vector<std::string>{});
      parseTopicBlock(reader, innerBlock, config, topicEntries);
    }
    for (const hcl::Attribute& attribute : block.body.attributes) {
      const auto configKey =
          std::find_if(configKeys().begin(), configKeys().end(), [&](const ConfigKey& candidate) {
            return candidate.block == block.type && candidate.name == attribute.name;
          });
      if (configKey == configKeys().end()) {
        std::vector<std::string> knownNames;
        for (const ConfigKey& knownKey : configKeys())
          if (knownKey.block == block.type) knownNames.push_back(knownKey.name);
        reader.failUnknownName(attribute.location, "key in " + block.type, attribute.name, knownNames);
      }
      reader.readValue(attribute.value.location, configKey->fullName(),
                       [&] { configKey->parse(config, attribute.value); });
      origins[configKey->fullName()] = reader.formatOrigin(attribute.location);
    }
  }
  const auto locationOf = [&](const std::string& name) {
    for (const hcl::Block& block : body.blocks)
      for (const hcl::Attribute& attribute : block.body.attributes)
        if (block.type + "." + attribute.name == name) return attribute.value.location;
    return hcl::SourceLocation{};
  };
  if (config.drain.defaultDeadline > config.drain.maxDeadline)
    reader.failAt(locationOf(origins.count("drain.deadline") ? "drain.deadline" : "drain.longest"),
                  "drain.deadline",
                  "it is " + formatDuration(config.drain.defaultDeadline) + ", drain.longest " +
                      formatDuration(config.drain.maxDeadline));
  if (config.gossip.listenAddress.empty())
    for (const char* key : {"share.peers", "share.period", "share.cluster", "share.keep"})
      if (origins.count(key) > 0)
        reader.failAt(locationOf(key), key, "share.listen is expected where share has other keys");
  for (const char* key :
       {"rebalance.capacity", "rebalance.group", "rebalance.period", "rebalance.guard", "rebalance.lean"}) {
    if (origins.count(key) == 0) continue;
    if (config.gossip.listenAddress.empty())
      reader.failAt(locationOf(key), "share.listen", "it is expected where there is a block rebalance");
    if (config.rebalance.engineCapacityBytes == 0)
      reader.failAt(locationOf(key), "rebalance.capacity", "it is expected where rebalance has other keys");
    if (config.rebalance.guardDuration * 4 > config.rebalance.interval)
      reader.failAt(locationOf(key), "rebalance.guard", "a fourth of rebalance.period at most is expected");
  }
  if (config.counterfactual.maxRecords == 0 && origins.count("hindsight.window") > 0)
    reader.failAt(locationOf("hindsight.window"), "hindsight.records",
                  "it is expected where there is a window");
  for (const ConfigKey& configKey : configKeys())
    config.entries.push_back(
        {configKey.fullName(), configKey.format(config),
         origins.count(configKey.fullName()) > 0 ? origins[configKey.fullName()] : "default"});
  config.entries.insert(config.entries.end(), topicEntries.begin(), topicEntries.end());
  return config;
}

OperatorConfig defaultOperatorConfig() { return parseOperatorConfig({}, ""); }

OperatorConfig readOperatorConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (PADDLETRACK_CALL(-1, "operators_file.open", "EMFILE ENOENT", 0) != 0 || !file ||
      !(text << file.rdbuf()))
    throw FileReadError(path, "can't be read");
  try {
    return parseOperatorConfig(hcl::parse(text.str()), path);
  } catch (const hcl::ParseError& error) {
    throw OperatorConfigError(
        path + ":" + std::to_string(error.location.line) + ":" + std::to_string(error.location.column),
        error.what());
  }
}

}  // namespace paddletrack::admin
