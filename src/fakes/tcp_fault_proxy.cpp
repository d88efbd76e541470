#include "fakes/tcp_fault_proxy.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace paddletrack::fakes {
namespace {

constexpr std::size_t kInputBytes = 16 * 1024;
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;  // Per direction; beyond this the sender has to wait.
constexpr milliseconds kPollInterval{2};  // Interval of checking whether a direction is still blocked.
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kDrainTimeout{5000};

// Makes the kernel send a TCP reset when the socket is closed.
void resetOnClose(int fd) {
  const linger lingerOptions{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
}

}  // namespace

// Connection through the proxy. `finished` is set when either side has ended.
struct TcpFaultProxy::ProxiedConnection {
  ProxiedConnection(TcpFaultProxy& owner, int clientFd, int serverFd)
      : proxy(owner), fds{clientFd, serverFd}, finished(owner.scheduler_) {
    position = proxy.connections_.insert(proxy.connections_.end(), this);
  }
  ~ProxiedConnection() { proxy.connections_.erase(position); }
  void reset() {
    for (const int fd : fds) resetOnClose(fd);
    ++proxy.counts_.reset;
    finished.set();
  }
  TcpFaultProxy& proxy;
  const std::array<int, 2> fds;  // Owned by the two connections.
  transport::Signal finished;
  std::list<ProxiedConnection*>::iterator position;
};

TcpFaultProxy::TcpFaultProxy(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                             const transport::Address& listenAddress, const transport::Address& target,
                             std::uint64_t seed)
    : scheduler_(scheduler),
      memoryBudget_(memoryBudget),
      target_(target),
      random_(seed),
      listener_(scheduler, listenAddress),
      tasks_(scheduler, [](const char*) {}) {
  tasks_.spawn(acceptConnections());
}

TcpFaultProxy::~TcpFaultProxy() = default;

transport::Task<> TcpFaultProxy::acceptConnections() {
  for (;;) {
    std::unique_ptr<transport::Descriptor> accepted = co_await listener_.accept();
    ++counts_.connections;
    if (refusesConnections || connections_.size() >= kMaxConnections) {
      resetOnClose(accepted->fd());
      ++counts_.refused;
      continue;
    }
    tasks_.spawn(serve(std::move(accepted)));
  }
}

transport::Task<> TcpFaultProxy::serve(std::unique_ptr<transport::Descriptor> accepted) {
  transport::ConnectResult connectResult =
      co_await transport::connect(scheduler_, target_, scheduler_.now() + kConnectTimeout);
  if (!connectResult.descriptor) {
    resetOnClose(accepted->fd());
    ++counts_.connectFailures;
    co_return;
  }
  ProxiedConnection proxiedConnection(*this, accepted->fd(), connectResult.descriptor->fd());
  transport::Connection client(scheduler_, std::move(accepted), kInputBytes, kMaxBufferedBytes,
                               memoryBudget_);
  transport::Connection server(scheduler_, std::move(connectResult.descriptor), kInputBytes,
                               kMaxBufferedBytes, memoryBudget_);
  transport::TaskGroup directions(scheduler_, [&](const char*) { proxiedConnection.finished.set(); });
  directions.spawn(forwardStream(proxiedConnection, client, server, forwardFaults, counts_.forwardBytes));
  directions.spawn(forwardStream(proxiedConnection, server, client, reverseFaults, counts_.reverseBytes));
  co_await proxiedConnection.finished.wait();
}

transport::Task<> TcpFaultProxy::forwardStream(ProxiedConnection& proxiedConnection,
                                               transport::Connection& source, transport::Connection& sink,
                                               const NetworkFaults& faults, std::uint64_t& bytes) {
  std::size_t forwardedBytes = 0;
  for (;;) {
    const bool received = co_await source.receive();
    if (!received) break;
    while (faults.blocked) co_await scheduler_.sleepUntil(scheduler_.now() + kPollInterval);
    if (const milliseconds delay = drawDelay(random_, faults); delay > milliseconds(0))
      co_await scheduler_.sleepUntil(scheduler_.now() + delay);
    std::string_view chunk = source.input().view();
    const bool reachesResetLimit =
        faults.resetAfterBytes && forwardedBytes + chunk.size() >= *faults.resetAfterBytes;
    if (reachesResetLimit)
      chunk = chunk.substr(0, *faults.resetAfterBytes - std::min(forwardedBytes, *faults.resetAfterBytes));
    if (!chunk.empty()) sink.send({transport::BufferSlice(std::string(chunk))});
    forwardedBytes += chunk.size();
    bytes += chunk.size();
    source.input().consume(chunk.size());
    co_await sink.waitUntilDrained(reachesResetLimit ? 0 : kMaxBufferedBytes,
                                   scheduler_.now() + kDrainTimeout);
    if (reachesResetLimit) {
      // Waits so that the reset does not overtake the data already written.
      co_await scheduler_.sleepUntil(scheduler_.now() + kPollInterval);
      proxiedConnection.reset();
      co_return;
    }
  }
  if (source.readEnd() == transport::Connection::ReadEnd::reset) {
    proxiedConnection.reset();
  } else {
    co_await sink.waitUntilDrained(0, scheduler_.now() + kDrainTimeout);
    proxiedConnection.finished.set();
  }
}

void TcpFaultProxy::resetAll() {
  for (ProxiedConnection* connection : connections_) connection->reset();
}

}  // namespace paddletrack::fakes
