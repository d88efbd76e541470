#include "fakes/fault_proxy.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace paddletrack::fakes {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65535;
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;  // of a stream, before its sender has to wait
constexpr milliseconds kPollInterval{2};              // at a cut that may have been mended

bool drawEvent(std::mt19937_64& random, double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}
milliseconds drawDelay(std::mt19937_64& random, const NetworkFaults& faults) {
  const auto maxDelay = std::max(faults.minDelay, faults.maxDelay);
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(faults.minDelay.count(), maxDelay.count())(random));
}

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
    for (int copy = 0; copy < copies; ++copy) {
      if (inFlight_.size() >= kMaxInFlight) {
        ++counts_.dropped;
        continue;
      }
      milliseconds delay = drawDelay(random_, faults);
      if (drawEvent(random_, faults.reorderProbability)) delay += faults.reorderDelay;
      inFlight_.emplace(scheduler_.now() + delay,
                        InFlightDatagram{&sink, destination, std::string(datagram->bytes)});
    }
    deliverDue();
    co_await scheduler_.yield();
  }
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

// ---- TCP
// ----------------------------------------------------------------------------------------------------

// One connection through the relay: both its sockets, and how it ends.
struct TcpFaultProxy::ProxiedConnection {
  ProxiedConnection(TcpFaultProxy& owner, int clientFd, int serverFd)
      : proxy(owner), fds{clientFd, serverFd}, finished(owner.scheduler_) {
    position = proxy.connections_.insert(proxy.connections_.end(), this);
  }
  ~ProxiedConnection() { proxy.connections_.erase(position); }
  void reset() {
    const linger lingerOptions{1, 0};
    for (const int fd : fds) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
    ++proxy.counts_.reset;
    finished.set();
  }
  TcpFaultProxy& proxy;
  const std::array<int, 2> fds;
  transport::Signal finished;
  std::list<ProxiedConnection*>::iterator position;
};

TcpFaultProxy::TcpFaultProxy(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                             const transport::Address& listenAddress, const transport::Address& target,
                             std::uint64_t seed)
    : scheduler_(scheduler),
      unsent_(outputBudget),
      target_(target),
      random_(seed),
      listener_(scheduler, listenAddress),
      tasks_(scheduler, [](const char*) {}) {
  tasks_.spawn(this->acceptConnections());
}

TcpFaultProxy::~TcpFaultProxy() = default;

transport::Task<> TcpFaultProxy::acceptConnections() {
  for (;;) {
    std::unique_ptr<transport::Descriptor> accepted = co_await listener_.accept();
    ++counts_.connections;
    if (refusesConnections || connections_.size() >= kMaxConnections) {
      const linger lingerOptions{1, 0};
      ::setsockopt(accepted->fd(), SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
      ++counts_.refused;
      continue;
    }
    tasks_.spawn(serve(std::move(accepted)));
  }
}

transport::Task<> TcpFaultProxy::serve(std::unique_ptr<transport::Descriptor> accepted) {
  transport::ConnectResult connectResult =
      co_await transport::connect(scheduler_, target_, scheduler_.now() + milliseconds(1000));
  if (!connectResult.descriptor) {
    const linger lingerOptions{1, 0};
    ::setsockopt(accepted->fd(), SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
    ++counts_.connectFailures;
    co_return;
  }
  ProxiedConnection pair(*this, accepted->fd(), connectResult.descriptor->fd());
  transport::Connection client(scheduler_, std::move(accepted), 16 * 1024, kMaxBufferedBytes, unsent_);
  transport::Connection server(scheduler_, std::move(connectResult.descriptor), 16 * 1024, kMaxBufferedBytes,
                               unsent_);
  transport::TaskGroup directions(scheduler_, [&](const char*) { pair.finished.set(); });
  directions.spawn(forwardStream(pair, client, server, forwardFaults, counts_.forwardBytes));
  directions.spawn(forwardStream(pair, server, client, reverseFaults, counts_.reverseBytes));
  co_await pair.finished.wait();
}

transport::Task<> TcpFaultProxy::forwardStream(ProxiedConnection& pair, transport::Connection& source,
                                               transport::Connection& sink, const NetworkFaults& faults,
                                               std::uint64_t& bytes) {
  std::size_t forwardedBytes = 0;
  for (;;) {
    const bool received = co_await source.receive();
    if (!received) break;
    while (faults.blocked) co_await scheduler_.sleepUntil(scheduler_.now() + kPollInterval);
    if (const milliseconds delay = drawDelay(random_, faults); delay > milliseconds(0))
      co_await scheduler_.sleepUntil(scheduler_.now() + delay);
    std::string_view chunk = source.input().view();
    const bool resetsHere =
        faults.resetAfterBytes && forwardedBytes + chunk.size() >= *faults.resetAfterBytes;
    if (resetsHere)
      chunk = chunk.substr(0, *faults.resetAfterBytes - std::min(forwardedBytes, *faults.resetAfterBytes));
    if (!chunk.empty()) sink.send({transport::BufferSlice(std::string(chunk))});
    forwardedBytes += chunk.size();
    bytes += chunk.size();
    source.input().consume(chunk.size());
    co_await sink.waitUntilDrained(resetsHere ? 0 : kMaxBufferedBytes, scheduler_.now() + milliseconds(5000));
    if (resetsHere) {
      co_await scheduler_.sleepUntil(scheduler_.now() +
                                     kPollInterval);  // a reset must not overtake what was written
      pair.reset();
      co_return;
    }
  }
  if (source.readEnd() == transport::Connection::ReadEnd::reset) {
    pair.reset();
  } else {
    co_await sink.waitUntilDrained(0, scheduler_.now() + milliseconds(5000));
    pair.finished.set();
  }
}

void TcpFaultProxy::resetAll() {
  for (ProxiedConnection* connection : connections_) connection->reset();
}

// ---- a mesh
// -------------------------------------------------------------------------------------------------

namespace {

std::string formatAddress(int subnet, unsigned host, unsigned port) {
  return "127.0." + std::to_string(subnet) + "." + std::to_string(host) + ":" + std::to_string(port);
}
constexpr unsigned kFirstHost = 100, kBoundPort = 17946, kProxyPort = 18000;

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
  for (unsigned peer = 0; peer < members_; ++peer)
    if (peer != member)
      peers += (peers.empty() ? "\"" : ", \"") +
               formatAddress(subnet_, kFirstHost + peer, kProxyPort + member) + "\"";
  return "[" + peers + "]";
}

NetworkFaults& UdpProxyMesh::faultsBetween(unsigned source, unsigned target) {
  UdpFaultProxy& proxy = *proxies_.at({std::min(source, target), std::max(source, target)});
  return source < target ? proxy.forwardFaults : proxy.reverseFaults;
}

void UdpProxyMesh::setAllFaults(const NetworkFaults& faults) {
  for (auto& [ends, proxy] : proxies_) proxy->forwardFaults = proxy->reverseFaults = faults;
}

void UdpProxyMesh::partition(const std::vector<unsigned>& group) {
  const auto isInGroup = [&](unsigned member) {
    return std::find(group.begin(), group.end(), member) != group.end();
  };
  for (auto& [ends, proxy] : proxies_)
    if (isInGroup(ends.first) != isInGroup(ends.second))
      proxy->forwardFaults.blocked = proxy->reverseFaults.blocked = true;
}

}  // namespace paddletrack::fakes
