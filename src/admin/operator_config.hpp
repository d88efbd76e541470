/// The operator's file (HCL): enables and configures the optional parts of the controller.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "addresses/address_table.hpp"
#include "admin/config_values.hpp"
#include "base/error.hpp"
#include "base/logger.hpp"
#include "discovery/reconnect_schedule.hpp"
#include "drain/drain_state_machine.hpp"
#include "hcl/parser.hpp"

namespace paddletrack::admin {

/// An error in the operator's file. The text is "FILE:LINE:COLUMN: KEY: what was expected"; its context is
/// all but the last part.
struct OperatorConfigError : ErrorOfKind<ErrorKind::invalidOperatorFile> {
  using ErrorOfKind::ErrorOfKind;
};

/// The admin server (block `door`).
struct AdminServerOptions {
  std::string socketPath;  // If empty, there is no admin server.
  std::size_t maxClients = 8;
  std::size_t maxLineBytes = 16 * 1024;     // Maximum length of a message from a client.
  std::size_t maxUnsentBytes = 256 * 1024;  // Maximum of unread response bytes per client.
  // Closes the connection of a client that completes no message or does not read for this long.
  std::chrono::microseconds idleTimeout{std::chrono::seconds(10)};
  bool operator==(const AdminServerOptions&) const = default;
};

/// Gossip with the other controllers (block `share`, docs/share.md).
struct GossipOptions {
  std::string listenAddress;       // IPv4 address and port. If empty, there is no gossip.
  std::vector<std::string> peers;  // IPv4 addresses and ports.
  std::chrono::microseconds interval{std::chrono::milliseconds(200)};
  std::string cluster = "paddletrack";
  std::chrono::microseconds retentionDuration{std::chrono::minutes(10)};
  bool operator==(const GossipOptions&) const = default;
};

/// Placement of table groups on engines (block `rebalance`, docs/rebalance.md).
struct RebalanceOptions {
  std::size_t engineCapacityBytes = 0;            // Groups kept warm per engine. 0 disables rebalancing.
  std::size_t groupBytes = std::size_t{1} << 30;  // Assumed size of a group.
  std::chrono::microseconds interval{std::chrono::seconds(20)};
  std::chrono::microseconds guardDuration{std::chrono::seconds(1)};
  // An engine's score counts by this percentage for requests whose group is placed on the engine.
  std::size_t placementBiasPercent = 50;
  bool operator==(const RebalanceOptions&) const = default;
};

/// Records of decisions for counterfactual reports (block `hindsight`, docs/hindsight.md).
struct CounterfactualOptions {
  std::size_t maxRecords = 0;  // 0 disables recording.
  std::chrono::microseconds window{std::chrono::minutes(5)};
  bool operator==(const CounterfactualOptions&) const = default;
};

enum class LogFormat { text, json };

/// All settings of the operator's file; absent keys have their default values.
struct OperatorConfig {
  AdminServerOptions adminServer;
  drain::Options drain;
  discovery::ReconnectOptions reconnect;  // Without `controllerCount`, which the node's configuration sets.
  std::vector<addresses::AddressFamily> familyPreference = addresses::ConnectOptions{}.familyPreference;
  GossipOptions gossip;
  RebalanceOptions rebalance;
  CounterfactualOptions counterfactual;
  LogFormat logFormat = LogFormat::text;
  LogLevel logLevel = LogLevel::info;
  std::map<std::string, LogLevel> topicLevels;

  /// A key with its effective value and the place where it was set: "FILE:LINE" or "default".
  struct Entry {
    std::string key, value, origin;
  };
  std::vector<Entry> entries;  // All keys, in the order of the reference documentation.
};

OperatorConfig defaultOperatorConfig();
/// Reads and checks a file. Throws FileReadError or OperatorConfigError.
OperatorConfig readOperatorConfig(const std::string& path);
/// Checks a parsed file; `path` appears in errors and origins. Throws OperatorConfigError.
OperatorConfig parseOperatorConfig(const hcl::Body& body, const std::string& path);

}  // namespace paddletrack::admin
