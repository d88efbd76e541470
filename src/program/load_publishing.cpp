#include "program/load_publishing.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace paddletrack::program {
namespace {

std::uint64_t roundThreads(double threads) {
  return static_cast<std::uint64_t>(std::max(threads, 0.0) +
                                    0.5);  // NOLINT(bugprone-incorrect-roundings): never negative
}

}  // namespace

void publishLoad(gossip::LoadPublisher& loadPublisher, Duration now, const routing::RequestRouter& router) {
  if (now < loadPublisher.nextHeartbeatAt()) return;
  std::map<std::string, gossip::Load> engineLoads;
  gossip::Load totalLoad{0, router.totals().requests};
  router.forEachEndpoint([&](const routing::EngineEndpoint& engine) {
    const std::uint64_t threads = roundThreads(engine.threadsInFlight);
    engineLoads[engine.id] = {threads, engine.attemptsSent};
    totalLoad.threadsInFlight += threads;
  });
  loadPublisher.publish(now, engineLoads, totalLoad);
}

}  // namespace paddletrack::program
