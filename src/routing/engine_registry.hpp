/// @file
/// The engines of the endpoint list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/logger.hpp"
#include "routing/engine_connection_pool.hpp"

namespace paddletrack::routing {

/// Owns the engines and assigns each a number. An engine that is removed from the endpoint list is kept until
/// no attempt refers to it and it has no connection.
class EngineRegistry {
 public:
  explicit EngineRegistry(const Logger& logger) : logger_(logger) {}

  /// Returns the engine with this id, or nullptr.
  EngineEndpoint* find(const std::string& engineId) const;
  /// Returns the engine with this id, and adds it if it is unknown. Throws std::bad_alloc.
  EngineEndpoint& findOrAdd(const std::string& engineId);

  void markListed(EngineEndpoint& endpoint) { removedEndpoints_.erase(&endpoint); }
  void markRemoved(EngineEndpoint& endpoint) { removedEndpoints_.insert(&endpoint); }

  bool isRemoved(EngineEndpoint& endpoint) const { return removedEndpoints_.contains(&endpoint); }

  bool empty() const { return endpoints_.empty(); }
  std::size_t size() const { return endpoints_.size(); }
  /// The number of engines added since the start.
  std::uint32_t totalAdded() const { return lastNumber_; }

  /// Calls `visit` with each engine, including those marked as removed.
  template <typename Visitor>
  void forEach(Visitor visit) const {
    for (const auto& [engineId, endpoint] : endpoints_) visit(*endpoint);
  }

  /// Destroys the engines that are marked as removed and unreferenced, and calls `onForget` with each before.
  template <typename ForgetHandler>
  void eraseUnreferenced(ForgetHandler onForget) {
    std::erase_if(removedEndpoints_, [&](EngineEndpoint* endpoint) {
      if (endpoint->referencedAttempts > 0 || !endpoint->connections.empty()) return false;
      onForget(*endpoint);
      endpoints_.erase(std::string(endpoint->id));
      return true;
    });
  }

 private:
  const Logger& logger_;
  std::unordered_map<std::string, std::unique_ptr<EngineEndpoint>> endpoints_;  // By engine id.
  std::unordered_set<EngineEndpoint*> removedEndpoints_;
  std::uint32_t lastNumber_ = 0;
};

}  // namespace paddletrack::routing
