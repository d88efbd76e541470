#include "fakes/udp_proxy_mesh.hpp"

#include <algorithm>

namespace paddletrack::fakes {
namespace {

constexpr unsigned kFirstHost = 100;
constexpr unsigned kBoundPort = 17946;
constexpr unsigned kProxyPort = 18000;  // For observer 0; the port increases with the number of the observer.

std::string formatAddress(int subnet, unsigned host, unsigned port) {
  return "127.0." + std::to_string(subnet) + "." + std::to_string(host) + ":" + std::to_string(port);
}

}  // namespace

UdpProxyMesh::UdpProxyMesh(transport::Scheduler& scheduler, int subnet, unsigned members, std::uint64_t seed)
    : subnet_(subnet), members_(members) {
  for (unsigned first = 0; first < members; ++first)
    for (unsigned second = first + 1; second < members; ++second)
      proxies_[{first, second}] = std::make_unique<UdpFaultProxy>(
          scheduler, UdpFaultProxy::Endpoint{boundAddress(first), proxyAddress(first, second)},
          UdpFaultProxy::Endpoint{boundAddress(second), proxyAddress(second, first)},
          seed + first * 1000 + second);
}

std::string UdpProxyMesh::boundAddressText(unsigned member) const {
  return formatAddress(subnet_, kFirstHost + member, kBoundPort);
}

transport::Address UdpProxyMesh::boundAddress(unsigned member) const {
  return transport::Address(boundAddressText(member));
}

transport::Address UdpProxyMesh::proxyAddress(unsigned member, unsigned observer) const {
  return transport::Address(formatAddress(subnet_, kFirstHost + member, kProxyPort + observer));
}

std::string UdpProxyMesh::peerListText(unsigned member) const {
  std::string peers;
  for (unsigned peer = 0; peer < members_; ++peer) {
    if (peer == member) continue;
    if (!peers.empty()) peers += ", ";
    peers += "\"" + formatAddress(subnet_, kFirstHost + peer, kProxyPort + member) + "\"";
  }
  return "[" + peers + "]";
}

NetworkFaults& UdpProxyMesh::faultsBetween(unsigned source, unsigned target) {
  UdpFaultProxy& proxy = *proxies_.at({std::min(source, target), std::max(source, target)});
  return source < target ? proxy.forwardFaults : proxy.reverseFaults;
}

void UdpProxyMesh::setAllFaults(const NetworkFaults& faults) {
  for (auto& [members, proxy] : proxies_) {
    proxy->forwardFaults = faults;
    proxy->reverseFaults = faults;
  }
}

void UdpProxyMesh::partition(const std::vector<unsigned>& group) {
  const auto isInGroup = [&](unsigned member) {
    return std::find(group.begin(), group.end(), member) != group.end();
  };
  for (auto& [members, proxy] : proxies_) {
    if (isInGroup(members.first) == isInGroup(members.second)) continue;
    proxy->forwardFaults.blocked = true;
    proxy->reverseFaults.blocked = true;
  }
}

}  // namespace paddletrack::fakes
