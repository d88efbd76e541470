// UDP fault proxies between all members of a cluster.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/udp_fault_proxy.hpp"

namespace paddletrack::fakes {

/// One UdpFaultProxy for each pair of members, on 127.0.SUBNET.0/24. Members are numbered from 0.
class UdpProxyMesh {
 public:
  UdpProxyMesh(transport::Scheduler& scheduler, int subnet, unsigned members, std::uint64_t seed);
  /// Returns the address to which a member binds.
  transport::Address boundAddress(unsigned member) const;
  std::string boundAddressText(unsigned member) const;
  /// Returns the address to which `observer` sends to reach `member`.
  transport::Address proxyAddress(unsigned member, unsigned observer) const;
  /// Returns the addresses of all peers of a member as an HCL list of strings for the operator's file.
  std::string peerListText(unsigned member) const;
  NetworkFaults& faultsBetween(unsigned source, unsigned target);
  void setAllFaults(const NetworkFaults& faults);
  /// Blocks all traffic between the members of the group and the other members.
  void partition(const std::vector<unsigned>& group);
  /// Removes all faults.
  void heal() { setAllFaults({}); }

 private:
  const int subnet_;
  const unsigned members_;
  // By member numbers, the lower number first.
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<UdpFaultProxy>> proxies_;
};

}  // namespace paddletrack::fakes
