// TCP proxy that injects faults.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <random>

#include "fakes/network_faults.hpp"
#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Forwards connections from clients to one TCP listener. The seed determines all random draws.
class TcpFaultProxy {
 public:
  struct Counts {
    std::uint64_t connections = 0;
    std::uint64_t refused = 0;
    std::uint64_t reset = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t forwardBytes = 0;
    std::uint64_t reverseBytes = 0;
  };
  static constexpr std::size_t kMaxConnections = 1024;  ///< Connections beyond this limit are reset.

  TcpFaultProxy(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                const transport::Address& listenAddress, const transport::Address& target,
                std::uint64_t seed);
  ~TcpFaultProxy();

  /// Resets all open connections.
  void resetAll();
  const Counts& counts() const { return counts_; }
  std::size_t openConnections() const { return connections_.size(); }

  NetworkFaults forwardFaults;      ///< From clients to the listener.
  NetworkFaults reverseFaults;      ///< From the listener to clients.
  bool refusesConnections = false;  ///< New connections are reset immediately.

 private:
  struct ProxiedConnection;
  transport::Task<> acceptConnections();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);
  transport::Task<> forwardStream(ProxiedConnection& proxiedConnection, transport::Connection& source,
                                  transport::Connection& sink, const NetworkFaults& faults,
                                  std::uint64_t& bytes);

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  const transport::Address target_;
  std::mt19937_64 random_;
  Counts counts_;
  std::list<ProxiedConnection*> connections_;
  transport::Listener listener_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
