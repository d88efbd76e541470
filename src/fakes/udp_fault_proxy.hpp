// A UDP proxy that injects faults.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "fakes/network_faults.hpp"
#include "transport/datagram_socket.hpp"

namespace paddletrack::fakes {

/// Sits between two processes that talk by UDP. Random choices follow from the seed.
class UdpFaultProxy {
 public:
  struct Endpoint {
    transport::Address boundAddress;  ///< The address to which the process itself is bound.
    transport::Address proxyAddress;  ///< The address at which the other process finds it.
  };
  struct Counts {
    std::uint64_t forwarded = 0;
    std::uint64_t dropped = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t bytes = 0;
  };
  static constexpr std::size_t kMaxInFlight = 4096;  ///< Delayed datagrams; further ones are dropped.

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
  transport::DatagramSocket secondProxySocket_;  // Where the first process finds the second.
  transport::DatagramSocket firstProxySocket_;   // Where the second process finds the first.
  std::mt19937_64 random_;
  Counts counts_;
  std::multimap<transport::TimePoint, InFlightDatagram> inFlight_;  // By the time of delivery.
  transport::ScheduledCall deliveryTimer_;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
