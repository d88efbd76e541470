// The operator's own file: what is switched on beside the platform's configuration, and how.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "addresses/address_table.hpp"
#include "base/error.hpp"
#include "base/logger.hpp"
#include "discovery/reconnect_schedule.hpp"
#include "drain/drain_state_machine.hpp"
#include "hcl/parser.hpp"

namespace paddletrack::admin {

// "FILE:LINE:COLUMN: KEY: what was expected"; its place is all but the last.
struct OperatorConfigError : ErrorOfKind<ErrorKind::invalidOperatorFile> {
  using ErrorOfKind::ErrorOfKind;
};

struct AdminServerOptions {
  std::string socketPath;  // path; empty: no door
  std::size_t maxClients = 8;
  std::size_t maxLineBytes = 16 * 1024;     // bytes of a message from a client
  std::size_t maxUnsentBytes = 256 * 1024;  // bytes that one client may leave unread
  std::chrono::microseconds idleTimeout{
      std::chrono::seconds(10)};  // without a whole message, or without reading
};

// What is shared with the other controllers, and with whom (docs/share.md).
struct GossipOptions {
  std::string listenAddress;       // IPv4 address and port; empty: nothing is shared
  std::vector<std::string> peers;  // likewise, up to 1024
  std::chrono::microseconds interval{std::chrono::milliseconds(200)};
  std::string cluster = "paddletrack";
  std::chrono::microseconds retentionDuration{std::chrono::minutes(10)};
  bool operator==(const GossipOptions&) const = default;
};

// Where groups of tables should lie (docs/rebalance.md).
struct RebalanceOptions {
  std::size_t engineCapacityBytes = 0;            // bytes of groups that an engine keeps warm; 0: off
  std::size_t groupBytes = std::size_t{1} << 30;  // what one counts
  std::chrono::microseconds interval{std::chrono::seconds(20)}, guardDuration{std::chrono::seconds(1)};
  std::size_t placementBiasPercent =
      50;  // per cent of its score that an engine counts for jobs whose group should be there
  bool operator==(const RebalanceOptions&) const = default;
};

// What is kept to look back at decisions (docs/hindsight.md).
struct CounterfactualOptions {
  std::size_t maxRecords = 0;  // 0: nothing is kept
  std::chrono::microseconds window{std::chrono::minutes(5)};
  bool operator==(const CounterfactualOptions&) const = default;
};

enum class LogFormat { text, json };

struct OperatorConfig {
  AdminServerOptions adminServer;
  drain::Options drain;
  discovery::ReconnectOptions reconnect;  // but for the number of controllers
  std::vector<addresses::AddressFamily> familyPreference = addresses::ConnectOptions{}.familyPreference;
  GossipOptions gossip;
  RebalanceOptions rebalance;
  CounterfactualOptions counterfactual;
  LogFormat logFormat = LogFormat::text;
  LogLevel logLevel = LogLevel::info;
  std::map<std::string, LogLevel> topicLevels;

  // Every key with its value in force and where that came from, in the order of the reference.
  struct Entry {
    std::string key, value, origin;
  };
  std::vector<Entry> entries;
};

OperatorConfig defaultOperatorConfig();
OperatorConfig readOperatorConfig(const std::string& path);
OperatorConfig parseOperatorConfig(const hcl::Body& body, const std::string& path);

// Also for the command line: "20s", "1.5m", "250ms"; throws std::invalid_argument.
std::chrono::microseconds parseDuration(const std::string& text);
std::string formatDuration(std::chrono::microseconds duration);
std::size_t parseByteSize(const std::string& text);  // "4MiB", "16KiB", "512"
LogLevel parseLogLevel(const std::string& name);
const char* nameOf(LogLevel level);

// The known name that is nearest to one that is not known; empty: none is near.
std::string findClosestName(const std::string& name, const std::vector<std::string>& candidates);

}  // namespace paddletrack::admin
