#include "routing/engine_registry.hpp"

#include <utility>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {

EngineEndpoint* EngineRegistry::find(const std::string& engineId) const {
  const auto found = endpoints_.find(engineId);
  return found == endpoints_.end() ? nullptr : found->second.get();
}

EngineEndpoint& EngineRegistry::findOrAdd(const std::string& engineId) {
  if (EngineEndpoint* const known = find(engineId)) return *known;
  auto newEndpoint = std::make_unique<EngineEndpoint>();
  newEndpoint->id = engineId;
  PADDLETRACK_TABLE("executors");
  EngineEndpoint& endpoint = *endpoints_.emplace(engineId, std::move(newEndpoint)).first->second;
  endpoint.number = ++lastNumber_;
  const std::string number = std::to_string(endpoint.number);
  logger_.info("list", "engine " + number + " has id " + engineId,
               {{"engine", engineId}, {"number", number}});
  return endpoint;
}

}  // namespace paddletrack::routing
