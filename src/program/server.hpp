#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "admin/admin_server.hpp"
#include "admin/service_lifecycle.hpp"
#include "base/logger.hpp"
#include "gossip/gossip_transport.hpp"
#include "gossip/load_publisher.hpp"
#include "program/config_reloader.hpp"
#include "program/counterfactual_reporter.hpp"
#include "program/log_writer.hpp"
#include "program/node_config.hpp"
#include "program/operator_options.hpp"
#include "program/resource_budget.hpp"
#include "program/signal_receiver.hpp"
#include "rebalance/rebalance_executor.hpp"
#include "routing/client_listener.hpp"
#include "routing/endpoint_watcher.hpp"
#include "routing/request_router.hpp"
#include "transport/connection.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::program {

/// The controller that runs in this process. The members are its components in the order of construction;
/// each refers only to components above it. A component that the operator's file does not enable is null.
class Server {
 public:
  /// Starts all components. `nodeConfig` must outlive the server. Throws ConfigurationError or another Error
  /// if the configuration, the system or an address prevents the start.
  Server(const NodeConfig& nodeConfig, const std::string& nodeConfigPath, OperatorOptions operatorOptions);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() = default;

  /// Serves until SIGTERM or SIGINT; SIGHUP reloads both configuration files.
  void run();

 private:
  /// The components that share state with other controllers.
  struct Gossip {
    Gossip(transport::Scheduler& scheduler, gossip::GossipTransportOptions transportOptions,
           const Logger& log);
    const gossip::GossipTransportOptions options;
    gossip::GossipTransport transport;
    gossip::LoadPublisher loadPublisher;
  };

  void configureLog();
  void reportUnsupportedSettings() const;
  void startRouter();
  void startClientListener();
  void startEndpointWatcher();
  void startLifecycle();
  void startAdminServer();
  void startGossip();
  void startRebalancing();
  void startCounterfactualReports();
  void startSignalHandling(const std::string& nodeConfigPath);
  void reportStart() const;

  admin::CounterfactualStatus counterfactualStatus();
  transport::Task<> handleSignals();
  void handleSignal(int signal);
  transport::Task<> logCounts();

  const NodeConfig& nodeConfig_;
  OperatorOptions operatorOptions_;
  const std::size_t inheritedDescriptors_;
  LogWriter logWriter_;
  const Logger log_;
  transport::Scheduler scheduler_;
  transport::MemoryBudget memoryBudget_;
  ResourceBudget resourceBudget_;
  std::unique_ptr<routing::RequestRouter> router_;
  std::unique_ptr<routing::ClientListener> clientListener_;
  std::unique_ptr<routing::EndpointWatcher> endpointWatcher_;
  std::unique_ptr<admin::ServiceLifecycle> lifecycle_;
  std::unique_ptr<admin::AdminServer> adminServer_;
  std::unique_ptr<Gossip> gossip_;
  std::unique_ptr<rebalance::RebalanceExecutor> rebalanceExecutor_;
  std::unique_ptr<CounterfactualReporter> counterfactualReporter_;
  std::unique_ptr<SignalReceiver> signalReceiver_;
  std::unique_ptr<ConfigReloader> configReloader_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::program
