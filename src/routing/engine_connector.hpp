#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "addresses/address_table.hpp"
#include "base/logger.hpp"
#include "routing/engine_address_book.hpp"
#include "routing/engine_connection.hpp"
#include "transport/connection.hpp"
#include "transport/task.hpp"

namespace paddletrack::routing {

/// Connects engine connections: races the addresses of an engine against each other, as RFC 8305 describes,
/// until one stream is established.
class EngineConnector {
 public:
  /// `maxConnections` limits the connections to all engines together. `allowsParallelConnect` returns whether
  /// a descriptor is available for one more stream in addition to the first of a race. The references must
  /// outlive the connector, and the connector must outlive the tasks of connect().
  EngineConnector(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                  EngineAddressBook& addressBook, const Logger& logger, std::size_t maxConnections,
                  std::function<bool()> allowsParallelConnect);

  /// Calls connection.onConnected() and returns true once a stream is established; returns false if no
  /// address can be reached in time. Attempts that lose the race are closed. The connection must outlive the
  /// task.
  transport::Task<bool> connect(EngineConnection& connection);

  /// Streams that are being connected in addition to the first of their race.
  std::size_t parallelConnects() const { return parallelConnects_; }
  /// Connect attempts started since the process began.
  std::uint64_t startedCount() const { return connectLimiter_.startedCount(); }

 private:
  class ConnectAttempt;
  using ConnectAttempts = std::list<ConnectAttempt>;

  std::vector<std::string> rankAddresses(const EngineConnection& connection) const;
  transport::Task<> runConnectAttempt(EngineConnection& connection, ConnectAttempt& attempt,
                                      addresses::ConnectRace& race, transport::Signal& attemptFinished);
  static bool needsProbe(const EngineEndpoint& endpoint, const std::string& addressName);
  transport::Task<> probe(EngineConnection& connection, ConnectAttempt& attempt,
                          addresses::ConnectRace& race);
  void adoptWinner(EngineConnection& connection, ConnectAttempts& attempts, ConnectAttempt& winner,
                   const addresses::ConnectRace& race);
  void removeFailedAttempts(EngineEndpoint& endpoint, ConnectAttempts& attempts,
                            addresses::ConnectRace& race);
  void recordUnfinishedAttempts(EngineEndpoint& endpoint, const ConnectAttempts& attempts);

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  EngineAddressBook& addressBook_;
  const Logger& logger_;
  addresses::ConnectLimiter connectLimiter_;
  const std::function<bool()> allowsParallelConnect_;
  std::size_t parallelConnects_ = 0;
};

}  // namespace paddletrack::routing
