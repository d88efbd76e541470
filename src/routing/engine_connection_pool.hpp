#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <utility>
#include <vector>

#include "addresses/address_table.hpp"
#include "base/logger.hpp"
#include "routing/engine_address_book.hpp"
#include "routing/engine_connection.hpp"
#include "routing/engine_connector.hpp"
#include "routing/engine_endpoint.hpp"
#include "routing/request_context.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

/// Sends attempts to engines. Owns the connections to all engines, opens and closes them, and selects the
/// connection of each attempt. Reports each attempt that ends without being recalled or abandoned to the
/// listener, always from the scheduler loop and never from within a call on the pool.
class EngineConnectionPool {
 public:
  using AttemptListener = routing::AttemptListener;
  struct Limits {
    std::size_t maxAttemptsPerConnection = 1;
    std::size_t maxConnections = 1;  ///< To all engines together.
    Duration connectTimeout{0};      ///< Of a race between the addresses of an engine.
    Duration idleTimeout{0};         ///< After which engines close idle connections.
    std::vector<addresses::AddressFamily> familyPreference = addresses::ConnectOptions{}.familyPreference;
  };

  /// The references must outlive the pool, as must all endpoints and attempts that are passed to it.
  EngineConnectionPool(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                       const Limits& limits, AttemptListener& listener, const Logger& logger);

  /// Sends an attempt to its engine, immediately or as soon as a connection is established. Throws
  /// std::bad_alloc.
  void sendAttempt(AttemptContext& attemptContext);
  /// Ends an attempt that may have been sent; its outcome is not reported.
  void abandonAttempt(AttemptContext& attemptContext);
  /// Withdraws an attempt and returns true if its engine has not received and cannot receive all of it;
  /// otherwise returns false.
  bool recallAttempt(AttemptContext& attemptContext);
  /// Sends the current priority of the attempt's request to the engine, if it is on a connection.
  void updatePriority(AttemptContext& attemptContext);
  /// Counts of connections and reroutes, for the log.
  std::string formatCounts() const;
  /// Starts a new incarnation of the endpoint: its current connections carry no new attempts.
  void drainConnections(EngineEndpoint& endpoint);
  /// Replaces the addresses of an endpoint. Attempts that are open on a removed address may finish.
  void updateAddresses(EngineEndpoint& endpoint, const std::vector<std::string>& names, bool isNewProcess);
  /// The current time on the clock of the address tables.
  Duration addressClock() const { return addressBook_.now(); }
  void setFamilyPreference(std::vector<addresses::AddressFamily> preference) {
    addressBook_.setFamilyPreference(std::move(preference));
  }

 private:
  using ConnectionList = std::list<EngineConnection>;

  EngineConnection* selectConnection(const AttemptContext& attemptContext);
  EngineConnection* findBestConnection(const EngineEndpoint& endpoint,
                                       const AttemptContext& attemptContext) const;
  EngineConnection& openConnection(EngineEndpoint& endpoint);
  std::size_t descriptorCount() const { return connections_.size() + connector_.parallelConnects(); }
  transport::Task<> runConnection(ConnectionList::iterator position);
  void removeConnection(ConnectionList::iterator position);
  void rerouteAttempt(AttemptContext& attemptContext);
  void reportUnplacedAttempts();

  const Limits limits_;
  AttemptListener& attemptListener_;
  const Logger& logger_;
  EngineAddressBook addressBook_;
  ConnectionContext connectionContext_;
  EngineConnector connector_;
  ConnectionList connections_;
  std::uint64_t lastSerial_ = 0;
  std::uint64_t reroutedAttempts_ = 0;
  std::vector<AttemptContext*> unplacedAttempts_;  ///< Without a connection; reported as unreachable.
  transport::ScheduledCall reportUnplacedCall_;
  /// Declared last, so that it is destroyed first: the coroutines use the connections and the connector.
  transport::TaskGroup connectionTasks_;
};

}  // namespace paddletrack::routing
