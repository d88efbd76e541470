// A TCP proxy that injects faults.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <random>

#include "fakes/network_faults.hpp"
#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Sits between clients and one TCP listener. Random choices follow from the seed.
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
  static constexpr std::size_t kMaxConnections = 1024;  ///< Further ones are reset.

  TcpFaultProxy(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                const transport::Address& listenAddress, const transport::Address& target,
                std::uint64_t seed);
  ~TcpFaultProxy();

  /// Resets all open connections.
  void resetAll();
  const Counts& counts() const { return counts_; }
  std::size_t openConnections() const { return connections_.size(); }

  NetworkFaults forwardFaults;      ///< Towards the listener.
  NetworkFaults reverseFaults;      ///< From the listener.
  bool refusesConnections = false;  ///< New connections are reset at once.

 private:
  struct ProxiedConnection;
  transport::Task<> acceptConnections();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);
  transport::Task<> forwardStream(ProxiedConnection& pair, transport::Connection& source,
                                  transport::Connection& sink, const NetworkFaults& faults,
                                  std::uint64_t& bytes);

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  const transport::Address target_;
  std::mt19937_64 random_;
  Counts counts_;
  std::list<ProxiedConnection*> connections_;
  transport::Listener listener_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
