#include "admin/engine_status.hpp"

#include <algorithm>
#include <array>

namespace paddletrack::admin {
namespace {

const char* nameOfEndpointState(const routing::EngineEndpoint& engine) {
  static constexpr std::array<const char*, 3> kStateNames{"ready", "draining", "gone"};
  return kStateNames[static_cast<std::size_t>(engine.endpoint.state)];
}

std::size_t countConnections(const routing::EngineEndpoint& engine, const std::string& addressName) {
  const auto usesAddress = [&](const routing::EngineConnection* connection) {
    return connection->addressName() == addressName;
  };
  return static_cast<std::size_t>(
      std::count_if(engine.connections.begin(), engine.connections.end(), usesAddress));
}

AddressStatus makeAddressStatus(const routing::EngineEndpoint& engine, const addresses::AddressHealth& health,
                                Duration now) {
  AddressStatus status;
  status.name = health.name;
  status.family = nameOf(health.family);
  status.state = nameOf(addresses::evaluateState(health, now));
  status.connections = countConnections(engine, health.name);
  if (health.lastSuccessAt) status.lastSuccessAgo = now - *health.lastSuccessAt;
  if (health.lastFailureAt) {
    status.lastFailureAgo = now - *health.lastFailureAt;
    status.lastFailure = nameOf(health.lastFailure);
  }
  status.connectDuration = health.meanConnectTime;
  if (health.consecutiveFailures > 0)
    status.backoffRemaining = std::max(health.backoffUntil - now, Duration{0});
  for (const auto& overrideEnd : {health.avoidedUntil, health.preferredUntil})
    if (overrideEnd && *overrideEnd > now) status.overrideRemaining = *overrideEnd - now;
  return status;
}

EngineStatus makeEngineStatus(const routing::EngineEndpoint& engine, Duration now) {
  EngineStatus status;
  status.id = engine.id;
  status.state = nameOfEndpointState(engine);
  status.connections = engine.connections.size();
  status.attempts = engine.inFlightAttempts.size();
  status.connecting = engine.pendingConnects;
  for (const addresses::AddressHealth& health : engine.addressTable.entries())
    status.addresses.push_back(makeAddressStatus(engine, health, now));
  return status;
}

}  // namespace

std::vector<EngineStatus> listEngineStatuses(const routing::RequestRouter& router,
                                             const std::string& firstEngineId, std::size_t limit) {
  std::vector<const routing::EngineEndpoint*> engines;
  router.forEachEndpoint([&](const routing::EngineEndpoint& engine) {
    if (engine.id >= firstEngineId) engines.push_back(&engine);
  });
  std::sort(engines.begin(), engines.end(),
            [](const auto* left, const auto* right) { return left->id < right->id; });
  if (engines.size() > limit) engines.resize(limit);
  const Duration now = router.addressClock();
  std::vector<EngineStatus> statuses;
  for (const routing::EngineEndpoint* engine : engines) statuses.push_back(makeEngineStatus(*engine, now));
  return statuses;
}

}  // namespace paddletrack::admin
