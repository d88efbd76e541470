#include "fakes/udp_fault_proxy.hpp"

namespace paddletrack::fakes {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65535;

}  // namespace

UdpFaultProxy::UdpFaultProxy(transport::Scheduler& scheduler, const Endpoint& first, const Endpoint& second,
                             std::uint64_t seed)
    : scheduler_(scheduler),
      secondProxySocket_(scheduler, second.proxyAddress, kMaxDatagramBytes),
      firstProxySocket_(scheduler, first.proxyAddress, kMaxDatagramBytes),
      random_(seed),
      deliveryTimer_(scheduler, [this] { deliverDue(); }),
      tasks_(scheduler, [](const char*) {}) {
  tasks_.spawn(forwardDatagrams(secondProxySocket_, firstProxySocket_,
                                transport::packAddress(second.boundAddress), forwardFaults));
  tasks_.spawn(forwardDatagrams(firstProxySocket_, secondProxySocket_,
                                transport::packAddress(first.boundAddress), reverseFaults));
}

transport::Task<> UdpFaultProxy::forwardDatagrams(transport::DatagramSocket& source,
                                                  transport::DatagramSocket& sink, std::uint64_t destination,
                                                  const NetworkFaults& faults) {
  for (;;) {
    const auto datagram = source.receive();
    if (!datagram) {
      co_await source.waitUntilReadable();
      continue;
    }
    if (faults.blocked || drawEvent(random_, faults.dropProbability)) {
      ++counts_.dropped;
      continue;
    }
    const int copies = drawEvent(random_, faults.duplicateProbability) ? 2 : 1;
    counts_.duplicated += static_cast<std::uint64_t>(copies - 1);
    for (int copy = 0; copy < copies; ++copy) enqueue(sink, destination, datagram->bytes, faults);
    deliverDue();
    co_await scheduler_.yield();
  }
}

void UdpFaultProxy::enqueue(transport::DatagramSocket& sink, std::uint64_t destination,
                            std::string_view bytes, const NetworkFaults& faults) {
  if (inFlight_.size() >= kMaxInFlight) {
    ++counts_.dropped;
    return;
  }
  milliseconds delay = drawDelay(random_, faults);
  if (drawEvent(random_, faults.reorderProbability)) delay += faults.reorderDelay;
  inFlight_.emplace(scheduler_.now() + delay, InFlightDatagram{&sink, destination, std::string(bytes)});
}

void UdpFaultProxy::deliverDue() {
  while (!inFlight_.empty() && inFlight_.begin()->first <= scheduler_.now()) {
    const InFlightDatagram& next = inFlight_.begin()->second;
    if (next.socket->send(next.destination, next.bytes)) {
      ++counts_.forwarded;
      counts_.bytes += next.bytes.size();
    } else {
      ++counts_.dropped;
    }
    inFlight_.erase(inFlight_.begin());
  }
  if (!inFlight_.empty()) deliveryTimer_.runAt(inFlight_.begin()->first);
}

}  // namespace paddletrack::fakes
