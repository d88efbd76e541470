#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "addresses/address_table.hpp"
#include "model/engine.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

class EngineConnection;

/// An engine together with its network addresses and its open connections. RequestRouter owns it and keeps it
/// until no attempt refers to it and it has no connection left.
struct EngineEndpoint : Engine {
  std::string id;
  addresses::AddressTable addressTable;                                 ///< Health of each listed address.
  std::unordered_map<std::string, transport::Address> addressesByName;  ///< Parsed addresses that are listed.
  std::size_t pendingConnects = 0;             ///< Connect attempts that have not finished.
  std::vector<EngineConnection*> connections;  ///< Owned by the connection pool; includes connecting ones.
  std::uint64_t incarnation = 0;       ///< Changes when the engine restarts or must not get new attempts.
  std::size_t referencedAttempts = 0;  ///< Attempts to this engine whose request contexts still exist.
  std::uint64_t attemptsSent = 0;      ///< Attempts sent to this engine since it was added.
};

}  // namespace paddletrack::routing
