#include "program/server.hpp"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <utility>

#include "command/admin_client.hpp"
#include "program/gossip_options.hpp"
#include "program/gossip_status.hpp"
#include "program/load_publishing.hpp"

namespace paddletrack::program {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCountsInterval{10000};  // Interval between log lines of counts.

rebalance::RebalanceOptions makeRebalanceOptions(const admin::RebalanceOptions& options) {
  return {static_cast<rebalance::Bytes>(options.engineCapacityBytes),
          static_cast<rebalance::Bytes>(options.groupBytes),
          {options.interval, options.guardDuration},
          static_cast<double>(options.placementBiasPercent) / 100};
}

}  // namespace

Server::Gossip::Gossip(transport::Scheduler& scheduler, gossip::GossipTransportOptions transportOptions,
                       const Logger& log)
    : options(std::move(transportOptions)),
      transport(scheduler, options, log),
      loadPublisher(transport.store()) {}

Server::Server(const NodeConfig& nodeConfig, const std::string& nodeConfigPath,
               OperatorOptions operatorOptions)
    : nodeConfig_(nodeConfig),
      operatorOptions_(std::move(operatorOptions)),
      inheritedDescriptors_(countInheritedDescriptors(nodeConfig.descriptorLimit)),
      log_([this](const LogRecord& record) { logWriter_.write(record); }),
      memoryBudget_{maxPeerBytes(nodeConfig), 0},
      tasks_(scheduler_,
             [this](const char* cause) { log_.error("leaving", Error(ErrorKind::unexpected, "", cause)); }) {
  configureLog();
  reportUnsupportedSettings();
  resourceBudget_ = computeResourceBudget(nodeConfig_, operatorOptions_, inheritedDescriptors_);
  startRouter();
  startClientListener();
  startEndpointWatcher();
  startLifecycle();
  startAdminServer();
  startGossip();
  startRebalancing();
  startCounterfactualReports();
  startSignalHandling(nodeConfigPath);
  tasks_.spawn(logCounts());
  reportStart();
}

void Server::run() { scheduler_.run(); }

void Server::configureLog() {
  logWriter_.configure(operatorOptions_.logFormat(), operatorOptions_.logLevel(),
                       operatorOptions_.config.topicLevels);
}

void Server::reportUnsupportedSettings() const {
  const Deployment& deployment = nodeConfig_.controllerConfig.deployment;
  if (deployment.allowsHealthChecks || deployment.allowsPeerReports ||
      deployment.progressInterval > Duration{0})
    log_.info("unsupported",
              "settings enable health checks, peer reports or progress reports; not supported by the "
              "protocol, ignored");
}

void Server::startRouter() {
  const protocol::ControllerConfig& config = nodeConfig_.controllerConfig;
  routing::RequestRouter::Limits limits;
  limits.maxOpenRequests = resourceBudget_.maxOpenRequests;
  limits.connectionLimits = {config.maxAttemptsPerConnection, resourceBudget_.maxEngineConnections,
                             config.connectTimeout, config.idleTimeout,
                             operatorOptions_.config.familyPreference};
  router_ = std::make_unique<routing::RequestRouter>(scheduler_, memoryBudget_, config, limits,
                                                     nodeConfig_.seed, log_);
  router_->setFatalErrorHandler([](const Error& error) { std::_Exit(command::reportError(error)); });
  for (const protocol::EndpointEvent& event : nodeConfig_.endpointEvents) router_->onEndpointUpdate(event);
}

void Server::startClientListener() {
  routing::ClientListener::Limits limits;
  limits.maxConnections = resourceBudget_.maxClientConnections;
  limits.maxFrameBytes = resourceBudget_.maxFrameBytes;
  limits.minInputBytes = resourceBudget_.minInputBytes;
  limits.maxUnsentBytes = resourceBudget_.minInputBytes;
  clientListener_ = std::make_unique<routing::ClientListener>(
      scheduler_, memoryBudget_, nodeConfig_.listenAddress, limits, *router_, log_);
}

void Server::startEndpointWatcher() {
  discovery::ReconnectOptions reconnectOptions = operatorOptions_.config.reconnect;
  reconnectOptions.controllerCount = nodeConfig_.controllerConfig.deployment.controllerCount;
  // Controllers that are configured with the same seed by mistake must still reconnect at different times.
  const std::uint64_t watcherSeed = nodeConfig_.seed ^ std::hash<std::string>()(nodeConfig_.name);
  endpointWatcher_ = std::make_unique<routing::EndpointWatcher>(
      scheduler_, memoryBudget_, nodeConfig_.endpointListAddress, nodeConfig_.knownSequence, watcherSeed,
      *router_, log_, reconnectOptions);
}

void Server::startLifecycle() {
  lifecycle_ = std::make_unique<admin::ServiceLifecycle>(scheduler_, *router_, *clientListener_,
                                                         nodeConfig_.name, operatorOptions_.config.drain,
                                                         log_, [this] { scheduler_.stop(); });
}

void Server::startAdminServer() {
  const admin::AdminServerOptions& options = operatorOptions_.config.adminServer;
  if (options.socketPath.empty()) return;
  lifecycle_->enableCompletionEstimates();
  lifecycle_->setEndpointListSource([this] { return endpointWatcher_->status(); });
  adminServer_ = std::make_unique<admin::AdminServer>(scheduler_, options, *lifecycle_, log_);
}

void Server::startGossip() {
  auto options = makeGossipOptions(nodeConfig_, operatorOptions_.config.gossip);
  if (!options) return;
  gossip_ = std::make_unique<Gossip>(scheduler_, std::move(*options), log_);
  gossip_->transport.addBeforeRoundHook(
      [this](Duration now) { publishLoad(gossip_->loadPublisher, now, *router_); });
  lifecycle_->setGossipSource([this] { return makeGossipStatus(gossip_->transport, gossip_->options); });
  log_.info("share", "gossip with " + std::to_string(gossip_->options.gossipOptions.peers.size()) +
                         " peers, listening on " + operatorOptions_.config.gossip.listenAddress +
                         ", cluster " + gossip_->options.cluster);
}

void Server::startRebalancing() {
  const admin::RebalanceOptions& options = operatorOptions_.config.rebalance;
  if (!gossip_ || options.engineCapacityBytes == 0) return;
  rebalanceExecutor_ = std::make_unique<rebalance::RebalanceExecutor>(
      scheduler_, *router_, gossip_->transport.store(), [this] { return gossip_->transport.now(); },
      makeRebalanceOptions(options), log_);
}

void Server::startCounterfactualReports() {
  const admin::CounterfactualOptions& options = operatorOptions_.config.counterfactual;
  if (options.maxRecords == 0) return;
  counterfactualReporter_ = std::make_unique<CounterfactualReporter>(nodeConfig_, options, *router_);
  router_->enableRecording(counterfactualReporter_->recorder());
  if (gossip_)
    gossip_->transport.addBeforeRoundHook(
        [this](Duration now) { counterfactualReporter_->publish(gossip_->transport.store(), now); });
  lifecycle_->setCounterfactualSource([this] { return counterfactualStatus(); });
  log_.info("hindsight", std::to_string(options.maxRecords) + " decision records at most");
}

admin::CounterfactualStatus Server::counterfactualStatus() {
  if (!gossip_) return counterfactualReporter_->status(nullptr, router_->now());
  return counterfactualReporter_->status(&gossip_->transport.store(), gossip_->transport.now());
}

void Server::startSignalHandling(const std::string& nodeConfigPath) {
  signalReceiver_ = std::make_unique<SignalReceiver>(scheduler_);
  configReloader_ = std::make_unique<ConfigReloader>(nodeConfigPath, nodeConfig_, operatorOptions_,
                                                     *endpointWatcher_, *lifecycle_, logWriter_, log_);
  tasks_.spawn(handleSignals());
}

transport::Task<> Server::handleSignals() {
  for (;;) {
    const int signal = co_await signalReceiver_->receive();
    try {
      handleSignal(signal);
    } catch (const std::exception& error) {
      // A server that has handled a signal only partly would neither serve nor stop.
      std::_Exit(command::reportError(toError(error, "a signal's work")));
    }
  }
}

void Server::handleSignal(int signal) {
  if (signal == SIGHUP) {
    configReloader_->reload();
  } else {
    lifecycle_->onTerminate();
  }
}

transport::Task<> Server::logCounts() {
  for (;;) {
    co_await scheduler_.sleepUntil(scheduler_.now() + kCountsInterval);
    const auto maxLatenessMs =
        std::chrono::duration_cast<milliseconds>(scheduler_.takeMaxTimerLateness()).count();
    log_.info("counts", clientListener_->formatCounts());
    log_.info("counts",
              router_->formatCounts() + "; timers up to " + std::to_string(maxLatenessMs) + " ms late");
  }
}

void Server::reportStart() const {
  if (adminServer_)
    log_.info("door", "admin server listening on " + operatorOptions_.config.adminServer.socketPath);
  const std::size_t classCount = nodeConfig_.controllerConfig.deployment.requestClasses.size();
  log_.info("serving", nodeConfig_.name + ", " + std::to_string(classCount) + " request classes, " +
                           std::to_string(nodeConfig_.endpointEvents.size()) + " known endpoint events");
}

}  // namespace paddletrack::program
