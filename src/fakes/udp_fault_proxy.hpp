// UDP proxy that injects faults.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "fakes/network_faults.hpp"
#include "transport/datagram_socket.hpp"

namespace paddletrack::fakes {

/// Forwards datagrams between two processes. The seed determines all random draws.
class UdpFaultProxy {
 public:
  struct Endpoint {
    transport::Address boundAddress;  ///< The address to which the process binds its socket.
    transport::Address proxyAddress;  ///< The address to which the other process sends.
  };
  struct Counts {
    std::uint64_t forwarded = 0;
    std::uint64_t dropped = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t bytes = 0;
  };
  /// Delayed datagrams; beyond this limit datagrams are dropped.
  static constexpr std::size_t kMaxInFlight = 4096;

  UdpFaultProxy(transport::Scheduler& scheduler, const Endpoint& first, const Endpoint& second,
                std::uint64_t seed);

  const Counts& counts() const { return counts_; }

  NetworkFaults forwardFaults;  ///< From the first to the second process.
  NetworkFaults reverseFaults;  ///< From the second to the first process.

 private:
  struct InFlightDatagram {
    transport::DatagramSocket* socket;
    std::uint64_t destination;
    std::string bytes;
  };
  transport::Task<> forwardDatagrams(transport::DatagramSocket& source, transport::DatagramSocket& sink,
                                     std::uint64_t destination, const NetworkFaults& faults);
  void enqueue(transport::DatagramSocket& sink, std::uint64_t destination, std::string_view bytes,
               const NetworkFaults& faults);
  void deliverDue();

  transport::Scheduler& scheduler_;
  // The first process sends to this socket to reach the second.
  transport::DatagramSocket secondProxySocket_;
  transport::DatagramSocket firstProxySocket_;  // The second process sends to this socket to reach the first.
  std::mt19937_64 random_;
  Counts counts_;
  std::multimap<transport::TimePoint, InFlightDatagram> inFlight_;  // By delivery time.
  transport::ScheduledCall deliveryTimer_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
