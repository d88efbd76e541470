#include "program/serve.hpp"

#include <fcntl.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>

#include "admin/admin_server.hpp"
#include "admin/service_lifecycle.hpp"
#include "command/admin_client.hpp"
#include "gossip/gossip_transport.hpp"
#include "program/log_writer.hpp"
#include "program/signal_receiver.hpp"
#include "rebalance/rebalance_executor.hpp"
#include "routing/client_listener.hpp"
#include "routing/endpoint_watcher.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::program {
namespace {

using std::chrono::milliseconds;

constexpr const char* kReloadRejected = "not taken, the old one stays: ";
constexpr milliseconds kCountsInterval{10000};  // between lines of counts

// How the limits told are shared out.
constexpr std::size_t kOutputMemoryDivisor = 4;  // of the memory: a fourth for bytes on their way out
constexpr std::size_t kInputMemoryDivisor = 8;   // an eighth for requests that are still coming in
constexpr std::size_t kOpenRequestBytes =
    8192;  // that an open request may cost, with its result; a fourth for all
constexpr std::size_t kMinSharedDescriptors = 14;  // descriptors, for clients and executors
// Standard streams, epoll, signals, listener, the change log and the one it moves to, a file that is read
// again, one to spare.
constexpr std::size_t kReservedDescriptors = 3 + 1 + 1 + 1 + 2 + 1 + 1;

// Those that whoever started this process left open beside the standard streams: none of them is to be had.
std::size_t countInheritedDescriptors(std::size_t limit) {
  constexpr std::size_t kFirstDescriptor = 3, kMaxChecked = 4096;
  std::size_t count = 0;
  for (std::size_t index = kFirstDescriptor; index < std::min(limit, kMaxChecked); ++index)
    count += ::fcntl(static_cast<int>(index), F_GETFD) >= 0 ? 1 : 0;
  return count;
}

transport::Task<> logCounts(transport::Scheduler& scheduler, const routing::RequestRouter& router,
                            const routing::ClientListener& clientListener, const Logger& log) {
  for (;;) {
    co_await scheduler.sleepUntil(scheduler.now() + kCountsInterval);
    const auto maxLatenessMs =
        std::chrono::duration_cast<milliseconds>(scheduler.takeMaxTimerLateness()).count();
    log.info("counts", clientListener.formatCounts());
    log.info("counts",
             router.formatCounts() + "; a timer " + std::to_string(maxLatenessMs) + " ms late at most");
  }
}

// Reads both files again by the same code and checks. What is wrong with one is said, and all of it stays as
// it was.
void reloadNodeConfig(const std::string& configPath, const NodeConfig& nodeConfig,
                      routing::EndpointWatcher& endpointWatcher, const Logger& log) {
  try {
    const NodeConfig newConfig = readNodeConfig(configPath);
    if (const std::string foreignKey = findForeignKey(nodeConfig, newConfig); !foreignKey.empty())
      throw ConfigurationError(configPath + ": " + foreignKey, "it is another controller's or customer's");
    const std::string restartOnlyKeys = listRestartOnlyChanges(nodeConfig, newConfig);
    if (!restartOnlyKeys.empty()) log.info("configuration", "only a restart changes " + restartOnlyKeys);
    log.info("configuration", endpointWatcher.switchTo(newConfig.endpointListAddress)
                                  ? "read again: the change log has moved"
                                  : "read again");
  } catch (const std::exception& error) {
    log.warning("configuration", toError(error, configPath), {}, kReloadRejected);
  }
}

void reloadOperatorConfig(OperatorOptions& operatorOptions, admin::ServiceLifecycle& lifecycle,
                          LogWriter& logWriter, const Logger& log) {
  if (operatorOptions.configPath.empty()) return;
  try {
    admin::OperatorConfig newConfig = admin::readOperatorConfig(operatorOptions.configPath);
    const auto& currentServer = operatorOptions.config.adminServer;
    if (newConfig.adminServer.socketPath != currentServer.socketPath ||
        newConfig.adminServer.maxClients != currentServer.maxClients ||
        newConfig.adminServer.maxLineBytes != currentServer.maxLineBytes ||
        newConfig.adminServer.maxUnsentBytes != currentServer.maxUnsentBytes ||
        newConfig.adminServer.idleTimeout != currentServer.idleTimeout) {
      log.info("configuration", "only a restart changes the door");
      newConfig.adminServer = currentServer;
    }
    if (newConfig.gossip != operatorOptions.config.gossip) {
      log.info("configuration", "only a restart changes what is shared");
      newConfig.gossip = operatorOptions.config.gossip;
    }
    const auto& currentReconnect = operatorOptions.config.reconnect;
    if (newConfig.reconnect.reconnectRate != currentReconnect.reconnectRate ||
        newConfig.reconnect.initialReadRate != currentReconnect.initialReadRate ||
        newConfig.reconnect.maxWaitDuration != currentReconnect.maxWaitDuration) {
      log.info("configuration", "only a restart changes coldstart");
      newConfig.reconnect = currentReconnect;
    }
    if (newConfig.rebalance != operatorOptions.config.rebalance) {
      log.info("configuration", "only a restart changes the rebalancing");
      newConfig.rebalance = operatorOptions.config.rebalance;
    }
    if (newConfig.counterfactual != operatorOptions.config.counterfactual) {
      log.info("configuration", "only a restart changes what is kept to look back at");
      newConfig.counterfactual = operatorOptions.config.counterfactual;
    }
    operatorOptions.config = std::move(newConfig);
    lifecycle.setDrainOptions(operatorOptions.config.drain);
    lifecycle.setFamilyPreference(operatorOptions.config.familyPreference);
    logWriter.configure(operatorOptions.logFormat(), operatorOptions.logLevel(),
                        operatorOptions.config.topicLevels);
    log.info("configuration", "the operator's file is read again");
  } catch (const std::exception& error) {
    log.warning("configuration", toError(error, operatorOptions.configPath), {}, kReloadRejected);
  }
}

std::optional<gossip::GossipTransportOptions> makeGossipOptions(const NodeConfig& nodeConfig,
                                                                const admin::GossipOptions& options) {
  if (options.listenAddress.empty()) return std::nullopt;
  if (nodeConfig.name.empty() || nodeConfig.name.size() > gossip::kMaxOwnerBytes)
    throw ConfigurationError("name: 1 to " + std::to_string(gossip::kMaxOwnerBytes) +
                             " bytes are wanted where the operator's file has share.listen");
  gossip::GossipTransportOptions gossipOptions{
      transport::Address(options.listenAddress), options.cluster, {}, {}};
  gossipOptions.storeOptions.owner = nodeConfig.name;
  // Later starts have later times; a clock that went back is noticed by what others hold.
  gossipOptions.storeOptions.incarnation = static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count(), 1));
  gossipOptions.storeOptions.retentionDuration = options.retentionDuration;
  gossipOptions.gossipOptions.period = options.interval;
  gossipOptions.gossipOptions.seed = nodeConfig.seed ^ gossipOptions.storeOptions.incarnation;
  for (const std::string& peer : options.peers)
    if (peer != options.listenAddress)
      gossipOptions.gossipOptions.peers.push_back(transport::packAddress(transport::Address(peer)));
  return gossipOptions;
}

void publishLoad(gossip::LoadPublisher& loadPublisher, Duration now, const routing::RequestRouter& router) {
  if (now < loadPublisher.nextHeartbeatAt()) return;
  std::map<std::string, gossip::Load> engineLoads;
  gossip::Load totalLoad{0, router.totals().requests};
  router.forEachEndpoint([&](const routing::EngineEndpoint& fakeEngine) {
    const auto threads = static_cast<std::uint64_t>(std::max(fakeEngine.threadsInFlight, 0.0) + 0.5);
    engineLoads[fakeEngine.id] = {threads, fakeEngine.attemptsSent};
    totalLoad.threadsInFlight += threads;
  });
  loadPublisher.publish(now, engineLoads, totalLoad);
}

admin::Status::GossipStatus makeGossipStatus(gossip::GossipTransport& gossipTransport,
                                             const gossip::GossipTransportOptions& options) {
  admin::Status::GossipStatus status;
  const Duration now = gossipTransport.now();
  const gossip::Store& store = gossipTransport.store();
  const gossip::GossipProtocol& gossip = gossipTransport.gossipProtocol();
  status.cluster = options.cluster;
  status.controllerName = store.owner();
  status.incarnation = store.incarnation();
  status.laterIncarnations = gossip.incarnationConflicts();
  status.knownControllers = store.ownerCount();
  status.entries = store.entryCount();
  status.bytes = store.totalBytes();
  status.maxBytes = options.storeOptions.maxBytes;
  status.peerCount = options.gossipOptions.peers.size();
  status.activePeerCount = gossip.countActivePeersSince(now - gossip::FleetLoad::kLivenessTimeout);
  for (const gossip::PeerAddress peer : options.gossipOptions.peers) {
    if (status.peers.size() == status.kMaxPeers) break;
    auto& peerStatus = status.peers.emplace_back();
    peerStatus.address = transport::formatPackedAddress(peer);
    if (const gossip::GossipProtocol::LastMessage* lastMessage = gossip.lastMessageFrom(peer)) {
      peerStatus.controllerName = lastMessage->sender;
      peerStatus.lastMessageAgo = now - lastMessage->receivedAt;
    }
  }
  const gossip::GossipTransport::Traffic& traffic = gossipTransport.traffic();
  status.datagramsReceived = traffic.datagramsIn;
  status.bytesReceived = traffic.bytesIn;
  status.datagramsSent = traffic.datagramsOut;
  status.bytesSent = traffic.bytesOut;
  for (std::size_t index = 0; index < gossip::kDropReasonCount; ++index) {
    const auto reason = static_cast<gossip::DropReason>(index);
    status.droppedByReason.emplace_back(nameOf(reason), gossip.dropCount(reason));
  }
  const gossip::FleetLoad fleetLoad = gossip::sumFleetLoad(store, now);
  status.reportingControllers = fleetLoad.controllers;
  status.liveControllers = fleetLoad.liveControllers;
  status.totalLoad = {fleetLoad.total.threadsInFlight, fleetLoad.total.attempts};
  for (const auto& [name, load] : fleetLoad.engines) {
    if (status.engineLoads.size() == status.kMaxEngines) break;
    status.engineLoads.emplace_back(name,
                                    admin::Status::GossipStatus::Load{load.threadsInFlight, load.attempts});
  }
  return status;
}

// Looks back every kLooked at most, however often it is asked.
class CounterfactualReporter {
 public:
  CounterfactualReporter(const NodeConfig& nodeConfig, const admin::CounterfactualOptions& options,
                         const routing::RequestRouter& router)
      : nodeConfig_(nodeConfig),
        router_(router),
        recorder_(nodeConfig.controllerConfig.deployment, {options.maxRecords, options.window}) {}
  counterfactual::DecisionRecorder& recorder() { return recorder_; }

  void publish(gossip::Store& store, Duration now) {
    refresh();
    if (std::exchange(publishedVersion_, version_) != version_)
      counterfactual::publishEntries(store, now, gossip::kCounterfactual, entries_);
  }
  admin::Status::CounterfactualStatus status(const gossip::Store* store, Duration now) {
    refresh();
    const auto counts = recorder_.counts();
    admin::Status::CounterfactualStatus snapshot;
    snapshot.window = recorder_.options().window;
    snapshot.maxRecords = recorder_.options().maxRecords;
    snapshot.recordCount = recordCount_;
    snapshot.openRequests = counts.openRecords;
    snapshot.finishedRequests = counts.finished;
    snapshot.droppedRecords = counts.dropped;
    counterfactual::FleetStatistics localFleet;
    for (const counterfactual::EncodedEntry& entry : entries_)
      localFleet.mergeValue(nodeConfig_.name, 1, entry.key, entry.value);
    snapshot.local = counterfactual::buildReport(localFleet);
    if (store)
      snapshot.fleet = counterfactual::buildReport(
          counterfactual::collectFleetStatistics(*store, now, gossip::kCounterfactual));
    return snapshot;
  }

 private:
  static constexpr Duration kRefreshInterval{std::chrono::seconds(2)};
  void refresh() {
    const Duration now = router_.now();
    if (version_ > 0 && now - refreshedAt_ < kRefreshInterval) return;
    refreshedAt_ = now;
    const auto records = recorder_.records(now);
    recordCount_ = records.size();
    counterfactual::NameTable names{
        nodeConfig_.controllerConfig.requestClassNames, nodeConfig_.controllerConfig.zoneNames, {}};
    router_.forEachEndpoint(
        [&](const routing::EngineEndpoint& fakeEngine) { names.engines[fakeEngine.number] = fakeEngine.id; });
    entries_ = counterfactual::encodeSummary(counterfactual::summarize(records), names, ++version_);
  }

  const NodeConfig& nodeConfig_;
  const routing::RequestRouter& router_;
  counterfactual::DecisionRecorder recorder_;
  std::vector<counterfactual::EncodedEntry> entries_;
  std::size_t recordCount_ = 0;
  std::uint64_t version_ = 0, publishedVersion_ = 0;  // told: to the others
  Duration refreshedAt_{0};
};

transport::Task<> handleSignals(SignalReceiver& signalReceiver, std::function<void()> onTerminate,
                                std::function<void()> onReload) {
  for (;;) {
    const int signal = co_await signalReceiver.receive();
    try {
      signal == SIGHUP ? onReload() : onTerminate();
    } catch (const std::exception& error) {  // half told to end it would neither serve nor end
      std::_Exit(command::reportError(toError(error, "a signal's work")));
    }
  }
}

}  // namespace

int serve(const NodeConfig& nodeConfig, const std::string& configPath, OperatorOptions operatorOptions) {
  const std::size_t inheritedDescriptors = countInheritedDescriptors(nodeConfig.descriptorLimit);
  LogWriter logWriter;
  logWriter.configure(operatorOptions.logFormat(), operatorOptions.logLevel(),
                      operatorOptions.config.topicLevels);
  const Logger log([&logWriter](const LogRecord& record) { logWriter.write(record); });
  transport::Scheduler scheduler;
  transport::OutputBudget outputBudget{nodeConfig.memoryLimitBytes / kOutputMemoryDivisor, 0};
  const Deployment& deployment = nodeConfig.controllerConfig.deployment;
  if (deployment.allowsHealthChecks || deployment.allowsPeerReports ||
      deployment.progressInterval > Duration{0})
    log.info("unsupported",
             "the settings allow probes, peers or notes: there is no message for these, they are not used");

  // Usual clients hold a third of the descriptors, executors are few: the rest is room for the others.
  const bool hasAdminServer = !operatorOptions.config.adminServer.socketPath.empty();
  const std::size_t requiredDescriptors =
      kReservedDescriptors + (hasAdminServer ? operatorOptions.config.adminServer.maxClients + 2 : 0) +
      (operatorOptions.config.gossip.listenAddress.empty() ? 0 : 1);
  if (requiredDescriptors + kMinSharedDescriptors > nodeConfig.descriptorLimit)
    throw ConfigurationError(
        operatorOptions.configPath + ": door.clients",
        std::to_string(operatorOptions.config.adminServer.maxClients) + " leave too few of limits.sockets");
  // Many inherited ones are no reason not to start: they take no more than what is beyond the least.
  const std::size_t usedDescriptors =
      requiredDescriptors + std::min(inheritedDescriptors, nodeConfig.descriptorLimit - requiredDescriptors -
                                                               kMinSharedDescriptors);
  // However many descriptors there are, each connection has room for a request.
  const std::size_t maxClientConnections =
      std::min((nodeConfig.descriptorLimit - usedDescriptors) * 2 / 3,
               nodeConfig.memoryLimitBytes / kInputMemoryDivisor / kOpenRequestBytes);
  const std::size_t maxEngineConnections =
      nodeConfig.descriptorLimit - usedDescriptors - maxClientConnections;
  routing::RequestRouter::Limits limits;
  limits.maxOpenRequests = std::min(nodeConfig.controllerConfig.maxOpenRequests,
                                    nodeConfig.memoryLimitBytes / 4 / kOpenRequestBytes);
  limits.connectionLimits = {nodeConfig.controllerConfig.maxAttemptsPerConnection, maxEngineConnections,
                             nodeConfig.controllerConfig.connectTimeout,
                             nodeConfig.controllerConfig.idleTimeout,
                             operatorOptions.config.familyPreference};
  routing::RequestRouter router(scheduler, outputBudget, nodeConfig.controllerConfig, limits, nodeConfig.seed,
                                log);
  router.setFatalErrorHandler([](const Error& error) { std::_Exit(command::reportError(error)); });
  for (const protocol::EndpointEvent& event : nodeConfig.endpointEvents) router.onEndpointUpdate(event);
  const std::size_t maxFrameBytes = std::min<std::size_t>(
      1 << 20, nodeConfig.memoryLimitBytes / kInputMemoryDivisor / maxClientConnections);
  routing::ClientListener clientListener(scheduler, outputBudget, nodeConfig.listenAddress,
                                         {maxClientConnections, maxFrameBytes, maxFrameBytes}, router, log);
  discovery::ReconnectOptions reconnectOptions = operatorOptions.config.reconnect;
  reconnectOptions.controllerCount = deployment.controllerCount;
  // Those that were given one seed by mistake do not come together for that.
  const std::uint64_t watcherSeed = nodeConfig.seed ^ std::hash<std::string>()(nodeConfig.name);
  routing::EndpointWatcher endpointWatcher(scheduler, outputBudget, nodeConfig.endpointListAddress,
                                           nodeConfig.knownSequence, watcherSeed, router, log,
                                           reconnectOptions);

  admin::ServiceLifecycle lifecycle(scheduler, router, clientListener, nodeConfig.name,
                                    operatorOptions.config.drain, log, [&] { scheduler.stop(); });
  std::optional<admin::AdminServer> adminServer;
  if (hasAdminServer) {
    lifecycle.enableCompletionEstimates();
    lifecycle.setEndpointListSource([&endpointWatcher] { return endpointWatcher.status(); });
    adminServer.emplace(scheduler, operatorOptions.config.adminServer, lifecycle, log);
  }

  const std::optional<gossip::GossipTransportOptions> gossipOptions =
      makeGossipOptions(nodeConfig, operatorOptions.config.gossip);
  std::optional<gossip::GossipTransport> gossipTransport;
  std::optional<gossip::LoadPublisher> loadPublisher;
  if (gossipOptions) {
    gossipTransport.emplace(scheduler, *gossipOptions, log);
    loadPublisher.emplace(gossipTransport->store());
    gossipTransport->addBeforeRoundHook([&](Duration now) { publishLoad(*loadPublisher, now, router); });
    lifecycle.setGossipSource([&] { return makeGossipStatus(*gossipTransport, *gossipOptions); });
    log.info("share", "with " + std::to_string(gossipOptions->gossipOptions.peers.size()) + " peers, at " +
                          operatorOptions.config.gossip.listenAddress + ", cluster " +
                          gossipOptions->cluster);
  }

  std::optional<rebalance::RebalanceExecutor> rebalanceExecutor;
  if (const auto& rebalanceOptions = operatorOptions.config.rebalance;
      gossipTransport && rebalanceOptions.engineCapacityBytes > 0)
    rebalanceExecutor.emplace(
        scheduler, router, gossipTransport->store(), [&gossipTransport] { return gossipTransport->now(); },
        rebalance::RebalanceOptions{static_cast<rebalance::Bytes>(rebalanceOptions.engineCapacityBytes),
                                    static_cast<rebalance::Bytes>(rebalanceOptions.groupBytes),
                                    {rebalanceOptions.interval, rebalanceOptions.guardDuration},
                                    static_cast<double>(rebalanceOptions.placementBiasPercent) / 100},
        log);
  std::optional<CounterfactualReporter> counterfactualReporter;
  if (operatorOptions.config.counterfactual.maxRecords > 0) {
    counterfactualReporter.emplace(nodeConfig, operatorOptions.config.counterfactual, router);
    router.enableRecording(counterfactualReporter->recorder());
    if (gossipTransport)
      gossipTransport->addBeforeRoundHook(
          [&](Duration now) { counterfactualReporter->publish(gossipTransport->store(), now); });
    lifecycle.setCounterfactualSource([&] {
      return counterfactualReporter->status(gossipTransport ? &gossipTransport->store() : nullptr,
                                            gossipTransport ? gossipTransport->now() : router.now());
    });
    log.info("hindsight",
             std::to_string(operatorOptions.config.counterfactual.maxRecords) + " records at most");
  }

  SignalReceiver signalReceiver(scheduler);
  transport::TaskGroup tasks(
      scheduler, [&](const char* cause) { log.error("leaving", Error(ErrorKind::unexpected, "", cause)); });
  tasks.spawn(handleSignals(
      signalReceiver, [&] { lifecycle.onTerminate(); },
      [&] {
        reloadNodeConfig(configPath, nodeConfig, endpointWatcher, log);
        reloadOperatorConfig(operatorOptions, lifecycle, logWriter, log);
      }));
  tasks.spawn(logCounts(scheduler, router, clientListener, log));
  if (hasAdminServer) log.info("door", "open at " + operatorOptions.config.adminServer.socketPath);
  log.info("serving", nodeConfig.name + ", " + std::to_string(deployment.requestClasses.size()) +
                          " reservation types, " + std::to_string(nodeConfig.endpointEvents.size()) +
                          " known changes");
  scheduler.run();
  return 0;
}

}  // namespace paddletrack::program
