#pragma once

#include <string>

#include "admin/service_lifecycle.hpp"
#include "base/logger.hpp"
#include "program/log_writer.hpp"
#include "program/node_config.hpp"
#include "program/operator_options.hpp"
#include "routing/endpoint_watcher.hpp"

namespace paddletrack::program {

/// Reloads both configuration files and applies the settings that can change without a restart. If a file is
/// invalid, the error is logged and its current settings are kept. All references must outlive the reloader.
class ConfigReloader {
 public:
  ConfigReloader(std::string nodeConfigPath, const NodeConfig& nodeConfig, OperatorOptions& operatorOptions,
                 routing::EndpointWatcher& endpointWatcher, admin::ServiceLifecycle& lifecycle,
                 LogWriter& logWriter, const Logger& log);

  /// Reloads the node's configuration and then the operator's file, if there is one.
  void reload();

 private:
  void reloadNodeConfig();
  void applyNodeConfig(const NodeConfig& newConfig);
  void reloadOperatorConfig();
  /// Restores the current value of every section in `newConfig` that can change only by a restart.
  void keepRestartOnlySections(admin::OperatorConfig& newConfig) const;
  void applyOperatorConfig(admin::OperatorConfig newConfig);

  const std::string nodeConfigPath_;
  const NodeConfig& nodeConfig_;
  OperatorOptions& operatorOptions_;
  routing::EndpointWatcher& endpointWatcher_;
  admin::ServiceLifecycle& lifecycle_;
  LogWriter& logWriter_;
  const Logger& log_;
};

}  // namespace paddletrack::program
