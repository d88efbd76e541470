#include "program/config_reloader.hpp"

#include <utility>

namespace paddletrack::program {
namespace {

constexpr const char* kReloadRejected = "rejected, keeping the current configuration: ";

bool haveSameReconnectRates(const discovery::ReconnectOptions& left,
                            const discovery::ReconnectOptions& right) {
  return left.reconnectRate == right.reconnectRate && left.initialReadRate == right.initialReadRate &&
         left.maxWaitDuration == right.maxWaitDuration;
}

}  // namespace

ConfigReloader::ConfigReloader(std::string nodeConfigPath, const NodeConfig& nodeConfig,
                               OperatorOptions& operatorOptions, routing::EndpointWatcher& endpointWatcher,
                               admin::ServiceLifecycle& lifecycle, LogWriter& logWriter, const Logger& log)
    : nodeConfigPath_(std::move(nodeConfigPath)),
      nodeConfig_(nodeConfig),
      operatorOptions_(operatorOptions),
      endpointWatcher_(endpointWatcher),
      lifecycle_(lifecycle),
      logWriter_(logWriter),
      log_(log) {}

void ConfigReloader::reload() {
  reloadNodeConfig();
  reloadOperatorConfig();
}

void ConfigReloader::reloadNodeConfig() {
  try {
    applyNodeConfig(readNodeConfig(nodeConfigPath_));
  } catch (const std::exception& error) {
    log_.warning("configuration", toError(error, nodeConfigPath_), {}, kReloadRejected);
  }
}

void ConfigReloader::applyNodeConfig(const NodeConfig& newConfig) {
  const std::string foreignKey = findForeignKey(nodeConfig_, newConfig);
  if (!foreignKey.empty())
    throw ConfigurationError(nodeConfigPath_ + ": " + foreignKey,
                             "the file belongs to another controller or site");
  const std::string restartOnlyKeys = listRestartOnlyChanges(nodeConfig_, newConfig);
  if (!restartOnlyKeys.empty())
    log_.info("configuration", "takes effect only after a restart: " + restartOnlyKeys);
  const bool hasSwitched = endpointWatcher_.switchTo(newConfig.endpointListAddress);
  log_.info("configuration", hasSwitched ? "reloaded: endpoint list address changed" : "reloaded");
}

void ConfigReloader::reloadOperatorConfig() {
  if (operatorOptions_.configPath.empty()) return;
  try {
    admin::OperatorConfig newConfig = admin::readOperatorConfig(operatorOptions_.configPath);
    keepRestartOnlySections(newConfig);
    applyOperatorConfig(std::move(newConfig));
    log_.info("configuration", "operator's file reloaded");
  } catch (const std::exception& error) {
    log_.warning("configuration", toError(error, operatorOptions_.configPath), {}, kReloadRejected);
  }
}

void ConfigReloader::keepRestartOnlySections(admin::OperatorConfig& newConfig) const {
  const admin::OperatorConfig& current = operatorOptions_.config;
  const auto keepCurrent = [this](auto& newSection, const auto& currentSection, bool isSame,
                                  const char* description) {
    if (isSame) return;
    log_.info("configuration", std::string("takes effect only after a restart: ") + description);
    newSection = currentSection;
  };
  keepCurrent(newConfig.adminServer, current.adminServer, newConfig.adminServer == current.adminServer,
              "admin server (door)");
  keepCurrent(newConfig.gossip, current.gossip, newConfig.gossip == current.gossip, "gossip (share)");
  keepCurrent(newConfig.reconnect, current.reconnect,
              haveSameReconnectRates(newConfig.reconnect, current.reconnect), "coldstart");
  keepCurrent(newConfig.rebalance, current.rebalance, newConfig.rebalance == current.rebalance,
              "rebalancing (rebalance)");
  keepCurrent(newConfig.counterfactual, current.counterfactual,
              newConfig.counterfactual == current.counterfactual, "decision records (hindsight)");
}

void ConfigReloader::applyOperatorConfig(admin::OperatorConfig newConfig) {
  operatorOptions_.config = std::move(newConfig);
  const admin::OperatorConfig& config = operatorOptions_.config;
  lifecycle_.setDrainOptions(config.drain);
  lifecycle_.setFamilyPreference(config.familyPreference);
  logWriter_.configure(operatorOptions_.logFormat(), operatorOptions_.logLevel(), config.topicLevels);
}

}  // namespace paddletrack::program
