// UDP proxies between all members of a cluster.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/udp_fault_proxy.hpp"

namespace paddletrack::fakes {

/// One UdpFaultProxy between each two members, on 127.0.SUBNET.0/24. Members are numbered from 0.
class UdpProxyMesh {
 public:
  UdpProxyMesh(transport::Scheduler& scheduler, int subnet, unsigned members, std::uint64_t seed);
  /// The address to which a member binds.
  transport::Address boundAddress(unsigned member) const;
  std::string boundAddressText(unsigned member) const;
  /// The address at which `observer` finds `member`.
  transport::Address proxyAddress(unsigned member, unsigned observer) const;
  /// The addresses of all peers of a member as a list of strings in the syntax of the operator's file.
  std::string peerListText(unsigned member) const;
  NetworkFaults& faultsBetween(unsigned source, unsigned target);
  void setAllFaults(const NetworkFaults& faults);
  /// Blocks the traffic between the members of the group and all others.
  void partition(const std::vector<unsigned>& group);
  /// Removes all faults.
  void heal() { setAllFaults({}); }

 private:
  const int subnet_;
  const unsigned members_;
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<UdpFaultProxy>>
      proxies_;  // The lower number first.
};

}  // namespace paddletrack::fakes
