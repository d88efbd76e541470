#include "admin/config_keys.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "admin/config_values.hpp"
#include "transport/connection.hpp"

namespace paddletrack::admin {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::size_t kMaxPeers = 1024;
constexpr std::size_t kMaxClusterNameBytes = 32;
constexpr std::size_t kMaxQuotedBytes = 40;  // Part of an invalid value that an error message quotes.
constexpr std::size_t kKiB = std::size_t{1} << 10;
constexpr std::size_t kMiB = std::size_t{1} << 20;
constexpr std::size_t kPiB = std::size_t{1} << 50;

std::string quote(const std::string& text) { return "\"" + text + "\""; }

// ---- keys with plain durations, sizes and numbers --------------------------------------------------------
// `section` and `member` identify the field of the configuration that the key sets.

template <typename Section>
ConfigKey durationKey(const char* block, const char* name, microseconds minValue, microseconds maxValue,
                      Section OperatorConfig::*section, microseconds Section::*member) {
  const auto parse = [=](OperatorConfig& config, const hcl::Value& value) {
    const microseconds parsed = parseDuration(expectString(value));
    if (parsed < minValue || parsed > maxValue)
      throw std::invalid_argument("must be from " + formatDuration(minValue) + " to " +
                                  formatDuration(maxValue) + " inclusive");
    config.*section.*member = parsed;
  };
  const auto format = [=](const OperatorConfig& config) {
    return quote(formatDuration(config.*section.*member));
  };
  return {block, name, parse, format};
}

template <typename Section>
ConfigKey byteSizeKey(const char* block, const char* name, std::size_t minValue, std::size_t maxValue,
                      Section OperatorConfig::*section, std::size_t Section::*member) {
  const auto parse = [=](OperatorConfig& config, const hcl::Value& value) {
    const std::size_t parsed = parseByteSize(expectString(value));
    if (parsed < minValue || parsed > maxValue)
      throw std::invalid_argument("must be from " + formatByteSize(minValue) + " to " +
                                  formatByteSize(maxValue) + " inclusive");
    config.*section.*member = parsed;
  };
  const auto format = [=](const OperatorConfig& config) {
    return quote(formatByteSize(config.*section.*member));
  };
  return {block, name, parse, format};
}

std::size_t expectInteger(const hcl::Value& value, std::size_t minValue, std::size_t maxValue) {
  const auto* number = std::get_if<double>(&value.value);
  if (!number || *number != std::floor(*number) || *number < static_cast<double>(minValue) ||
      *number > static_cast<double>(maxValue))
    throw std::invalid_argument("must be a whole number from " + std::to_string(minValue) + " to " +
                                std::to_string(maxValue) + " inclusive" +
                                (number ? "" : std::string("; found ") + value.kindName()));
  return static_cast<std::size_t>(*number);
}

template <typename Section, typename Number>
ConfigKey integerKey(const char* block, const char* name, std::size_t minValue, std::size_t maxValue,
                     Section OperatorConfig::*section, Number Section::*member) {
  const auto parse = [=](OperatorConfig& config, const hcl::Value& value) {
    config.*section.*member = static_cast<Number>(expectInteger(value, minValue, maxValue));
  };
  const auto format = [=](const OperatorConfig& config) {
    return std::to_string(static_cast<std::size_t>(config.*section.*member));
  };
  return {block, name, parse, format};
}

// ---- keys with special values ---------------------------------------------------------------------------

ConfigKey adminSocketKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    const std::string& path = expectString(value);
    if (!path.empty()) transport::Address("unix:" + path);  // Throws if the path is too long.
    config.adminServer.socketPath = path;
  };
  const auto format = [](const OperatorConfig& config) { return quote(config.adminServer.socketPath); };
  return {"door", "socket", parse, format};
}

std::vector<addresses::AddressFamily> parseFamilies(const hcl::Value& value) {
  static const std::string kExpectation =
      "must be a list of \"unix\", \"ipv6\" and \"ipv4\", each exactly once";
  static constexpr std::array<addresses::AddressFamily, addresses::kFamilyCount> kFamilies{
      addresses::AddressFamily::unixSocket, addresses::AddressFamily::ipv6, addresses::AddressFamily::ipv4};
  const auto* list = std::get_if<hcl::Value::List>(&value.value);
  if (!list || list->size() != addresses::kFamilyCount) throw std::invalid_argument(kExpectation);
  std::vector<addresses::AddressFamily> families;
  for (const hcl::Value& element : *list) {
    const std::string& name = expectString(element);
    const auto* family =
        std::find_if(kFamilies.begin(), kFamilies.end(),
                     [&](addresses::AddressFamily known) { return name == addresses::nameOf(known); });
    const bool isNew =
        family != kFamilies.end() && std::find(families.begin(), families.end(), *family) == families.end();
    if (isNew) families.push_back(*family);
  }
  if (families.size() != addresses::kFamilyCount) throw std::invalid_argument(kExpectation);
  return families;
}

ConfigKey familyPreferenceKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    config.familyPreference = parseFamilies(value);
  };
  const auto format = [](const OperatorConfig& config) {
    std::string text;
    for (const addresses::AddressFamily family : config.familyPreference)
      text += (text.empty() ? "[" : ", ") + quote(addresses::nameOf(family));
    return text + "]";
  };
  return {"reach", "prefer", parse, format};
}

// Gossip datagrams are sent over IPv4 only.
const std::string& expectGossipAddress(const hcl::Value& value) {
  const std::string& text = expectString(value);
  if (transport::Address(text).family() != AF_INET)
    throw std::invalid_argument("expected an IPv4 address and port, found '" +
                                text.substr(0, kMaxQuotedBytes) + "'");
  return text;
}

ConfigKey gossipListenKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    config.gossip.listenAddress = expectGossipAddress(value);
  };
  const auto format = [](const OperatorConfig& config) { return quote(config.gossip.listenAddress); };
  return {"share", "listen", parse, format};
}

std::vector<std::string> parsePeers(const hcl::Value& value) {
  const auto* list = std::get_if<hcl::Value::List>(&value.value);
  if (!list || list->size() > kMaxPeers)
    throw std::invalid_argument("must be a list of at most " + std::to_string(kMaxPeers) + " addresses");
  std::vector<std::string> peers;
  for (const hcl::Value& element : *list) {
    const std::string& peer = expectGossipAddress(element);
    if (std::find(peers.begin(), peers.end(), peer) != peers.end())
      throw std::invalid_argument("duplicate address '" + peer + "'");
    peers.push_back(peer);
  }
  return peers;
}

ConfigKey gossipPeersKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    config.gossip.peers = parsePeers(value);
  };
  const auto format = [](const OperatorConfig& config) {
    std::string text;
    for (const std::string& peer : config.gossip.peers) text += (text.empty() ? "" : ", ") + quote(peer);
    return "[" + text + "]";
  };
  return {"share", "peers", parse, format};
}

ConfigKey gossipClusterKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    const std::string& name = expectString(value);
    if (name.empty() || name.size() > kMaxClusterNameBytes)
      throw std::invalid_argument("must be a name of 1 to " + std::to_string(kMaxClusterNameBytes) +
                                  " bytes");
    config.gossip.cluster = name;
  };
  const auto format = [](const OperatorConfig& config) { return quote(config.gossip.cluster); };
  return {"share", "cluster", parse, format};
}

ConfigKey logFormatKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    const std::string& format = expectString(value);
    if (format != "text" && format != "json") throw std::invalid_argument("must be \"text\" or \"json\"");
    config.logFormat = format == "json" ? LogFormat::json : LogFormat::text;
  };
  const auto format = [](const OperatorConfig& config) {
    return quote(config.logFormat == LogFormat::json ? "json" : "text");
  };
  return {"log", "form", parse, format};
}

ConfigKey logLevelKey() {
  const auto parse = [](OperatorConfig& config, const hcl::Value& value) {
    config.logLevel = parseLogLevel(expectString(value));
  };
  const auto format = [](const OperatorConfig& config) { return quote(nameOf(config.logLevel)); };
  return {"log", "level", parse, format};
}

}  // namespace

const std::string& expectString(const hcl::Value& value) {
  if (const auto* text = std::get_if<std::string>(&value.value)) return *text;
  throw std::invalid_argument(std::string("expected a string, found ") + value.kindName());
}

const std::vector<ConfigKey>& configKeys() {
  using Config = OperatorConfig;
  using Admin = AdminServerOptions;
  using Drain = drain::Options;
  using Reconnect = discovery::ReconnectOptions;
  using Gossip = GossipOptions;
  using Rebalance = RebalanceOptions;
  using Counterfactual = CounterfactualOptions;
  // clang-format off
  static const std::vector<ConfigKey> kKeys{
      adminSocketKey(),
      integerKey("door", "clients", 1, 64, &Config::adminServer, &Admin::maxClients),
      byteSizeKey("door", "line", 256, kMiB, &Config::adminServer, &Admin::maxLineBytes),
      byteSizeKey("door", "unsent", 4 * kKiB, 16 * kMiB, &Config::adminServer, &Admin::maxUnsentBytes),
      durationKey("door", "idle", 100ms, 1h, &Config::adminServer, &Admin::idleTimeout),
      durationKey("drain", "deadline", 0s, 24h, &Config::drain, &Drain::defaultDeadline),
      durationKey("drain", "longest", 1s, 24h, &Config::drain, &Drain::maxDeadline),
      durationKey("drain", "notice", 0s, 60s, &Config::drain, &Drain::noticeDuration),
      durationKey("drain", "come_back", 0s, 1h, &Config::drain, &Drain::retryAfter),
      integerKey("coldstart", "follows", 0, 100000, &Config::reconnect, &Reconnect::reconnectRate),
      integerKey("coldstart", "reads", 0, 100000, &Config::reconnect, &Reconnect::initialReadRate),
      durationKey("coldstart", "longest", 1s, 1h, &Config::reconnect, &Reconnect::maxWaitDuration),
      familyPreferenceKey(),
      gossipListenKey(),
      gossipPeersKey(),
      durationKey("share", "period", 20ms, 60s, &Config::gossip, &Gossip::interval),
      gossipClusterKey(),
      durationKey("share", "keep", 1s, 24h, &Config::gossip, &Gossip::retentionDuration),
      byteSizeKey("rebalance", "capacity", 1, kPiB, &Config::rebalance, &Rebalance::engineCapacityBytes),
      byteSizeKey("rebalance", "group", 1, kPiB, &Config::rebalance, &Rebalance::groupBytes),
      durationKey("rebalance", "period", 1s, 1h, &Config::rebalance, &Rebalance::interval),
      durationKey("rebalance", "guard", 10ms, 60s, &Config::rebalance, &Rebalance::guardDuration),
      integerKey("rebalance", "lean", 1, 100, &Config::rebalance, &Rebalance::placementBiasPercent),
      integerKey("hindsight", "records", 0, 65536, &Config::counterfactual, &Counterfactual::maxRecords),
      durationKey("hindsight", "window", 10s, 1h, &Config::counterfactual, &Counterfactual::window),
      logFormatKey(),
      logLevelKey()};
  // clang-format on
  return kKeys;
}

}  // namespace paddletrack::admin
