// The faults between processes, on loopback: relays that cut, delay, drop, double, reorder, let pass one way
// alone, and reset midway. Driven by a test while it runs; chance from its seed; bounded.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "transport/connection.hpp"
#include "transport/datagram_socket.hpp"

namespace paddletrack::fakes {

using std::chrono::milliseconds;

// Of one direction. May be changed at any moment; holds for what comes from then on.
struct NetworkFaults {
  bool blocked = false;                   // datagrams are lost, a stream's bytes wait until it is mended
  milliseconds minDelay{0}, maxDelay{0};  // each is late by this, evenly between the two
  double dropProbability = 0, duplicateProbability = 0, reorderProbability = 0;  // chances, of datagrams
  milliseconds reorderDelay{50};  // that a late one stays behind, others overtake it
  std::optional<std::size_t>
      resetAfterBytes{};  // so many bytes of a connection; then both its ends are reset
};

// Between two processes that talk by UDP. Each has its true address, and one at which the other finds it.
class UdpFaultProxy {
 public:
  struct Endpoint {
    transport::Address boundAddress, proxyAddress;
  };
  static constexpr std::size_t kMaxInFlight = 4096;  // datagrams on their way; past it they are lost
  UdpFaultProxy(transport::Scheduler& scheduler, const Endpoint& first, const Endpoint& second,
                std::uint64_t seed);

  NetworkFaults forwardFaults, reverseFaults;  // from the one to the other, and back
  struct Counts {
    std::uint64_t forwarded = 0, dropped = 0, duplicated = 0, bytes = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  transport::Task<> forwardDatagrams(transport::DatagramSocket& source, transport::DatagramSocket& sink,
                                     std::uint64_t destination, const NetworkFaults& faults);
  void deliverDue();

  transport::Scheduler& scheduler_;
  transport::DatagramSocket secondProxySocket_,
      firstProxySocket_;  // where the one finds the other, and the other way
  std::mt19937_64 random_;
  Counts counts_;
  struct InFlightDatagram {
    transport::DatagramSocket* socket;
    std::uint64_t destination;
    std::string bytes;
  };
  std::multimap<transport::TimePoint, InFlightDatagram> inFlight_;
  transport::ScheduledCall deliveryTimer_;
  transport::TaskGroup tasks_;
};

// Between clients and one TCP listener.
class TcpFaultProxy {
 public:
  static constexpr std::size_t kMaxConnections = 1024;  // past it they are reset
  TcpFaultProxy(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                const transport::Address& listenAddress, const transport::Address& target,
                std::uint64_t seed);
  ~TcpFaultProxy();

  NetworkFaults forwardFaults, reverseFaults;  // towards the listener, and from it
  bool refusesConnections = false;             // new connections are reset at once
  void resetAll();                             // all that are open
  struct Counts {
    std::uint64_t connections = 0, refused = 0, reset = 0, connectFailures = 0, forwardBytes = 0,
                  reverseBytes = 0;
  };
  const Counts& counts() const { return counts_; }
  std::size_t openConnections() const { return connections_.size(); }

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

// UDP relays between each two of so many members, on 127.0.NET.0/24.
class UdpProxyMesh {
 public:
  UdpProxyMesh(transport::Scheduler& scheduler, int subnet, unsigned members, std::uint64_t seed);
  transport::Address boundAddress(unsigned member) const;
  transport::Address proxyAddress(unsigned member, unsigned observer) const;  // where `by` finds it
  std::string boundAddressText(unsigned member) const;
  std::string peerListText(unsigned member) const;  // a list of texts, as the operator's file has it
  NetworkFaults& faultsBetween(unsigned source, unsigned target);
  void setAllFaults(const NetworkFaults& faults);
  // Members of the group are cut off from all others, or all are together again.
  void partition(const std::vector<unsigned>& group);
  void heal() { setAllFaults({}); }

 private:
  const int subnet_;
  const unsigned members_;
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<UdpFaultProxy>> proxies_;  // the lower number first
};

}  // namespace paddletrack::fakes
