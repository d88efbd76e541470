#include "transport/connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>

#include "base/error.hpp"
#include "failpoint/failpoint.hpp"

namespace paddletrack::transport {
namespace {

constexpr std::size_t kMaxSlicesPerWrite = 64;
constexpr std::chrono::milliseconds kAcceptRetryInterval{20};

// Memory of a queued slice in addition to its bytes: its place in the queue and its owner's control block.
constexpr std::size_t kSliceOverheadBytes = 96;

std::size_t chargedBytes(const BufferSlice& slice) {
  return kSliceOverheadBytes + (slice.isCounted() ? 0 : slice.size());
}

int openStreamSocket(int family) { return ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void disableNagle(int fd) {
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

int openListeningSocket(const Address& address) {
  const int fd = PADDLETRACK_CALL(-1, "front.socket", "EMFILE ENOMEM",
                                  openStreamSocket(address.nativeHandle()->sa_family));
  const int enabled = 1;
  if (fd < 0) throw ListenError(address.text(), "socket", errno);
  PADDLETRACK_IF_FAIL_POINTS(setRole(fd, "front"));
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (address.family() == AF_INET6) ::setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &enabled, sizeof enabled);
  if (PADDLETRACK_CALL(fd, "bind", "EADDRINUSE EADDRNOTAVAIL EACCES",
                       ::bind(fd, address.nativeHandle(), address.length())) != 0 ||
      PADDLETRACK_CALL(fd, "listen", "EADDRINUSE", ::listen(fd, 1024)) != 0) {
    const int error = errno;
    PADDLETRACK_IF_FAIL_POINTS(forgetDescriptor(fd));
    ::close(fd);
    throw ListenError(address.text(), "listen", error);
  }
  return fd;
}

}  // namespace

Address::Address(const std::string& text) {
  constexpr std::string_view kUnixPrefix = "unix:";
  if (text.starts_with(kUnixPrefix)) {
    auto& path = reinterpret_cast<sockaddr_un&>(storage_);
    const std::string name = text.substr(kUnixPrefix.size());
    if (!name.starts_with('/') || name.find('\0') != std::string::npos)
      throw std::invalid_argument("'" + text + "': path must be absolute");
    if (name.size() >= sizeof path.sun_path)
      throw std::invalid_argument("'" + text + "': a socket path may have " +
                                  std::to_string(sizeof path.sun_path - 1) + " bytes at most");
    path.sun_family = AF_UNIX;
    std::memcpy(path.sun_path, name.data(), name.size());
    length_ = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + name.size() + 1);
    return;
  }
  const std::size_t colon = text.rfind(':');
  unsigned port = 0;
  const char* end = text.data() + text.size();
  if (text.starts_with('[')) {
    auto& ipv6 = reinterpret_cast<sockaddr_in6&>(storage_);
    ipv6.sin6_family = AF_INET6;
    length_ = sizeof ipv6;
    if (colon == std::string::npos || colon < 3 || text[colon - 1] != ']' ||
        ::inet_pton(AF_INET6, text.substr(1, colon - 2).c_str(), &ipv6.sin6_addr) != 1 ||
        std::from_chars(text.data() + colon + 1, end, port).ptr != end || port == 0 || port > 65535) {
      throw std::invalid_argument("'" + text + "' is not an IPv6 address and port");
    }
    ipv6.sin6_port = htons(static_cast<std::uint16_t>(port));
    return;
  }
  auto& ipv4 = reinterpret_cast<sockaddr_in&>(storage_);
  ipv4.sin_family = AF_INET;
  length_ = sizeof ipv4;
  if (colon == std::string::npos ||
      ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &ipv4.sin_addr) != 1 ||
      std::from_chars(text.data() + colon + 1, end, port).ptr != end || port == 0 || port > 65535) {
    throw std::invalid_argument("'" + text + "' is not an IPv4 address and port");
  }
  ipv4.sin_port = htons(static_cast<std::uint16_t>(port));
}

std::string Address::text() const {
  if (family() == AF_UNIX)
    return std::string("unix:") + reinterpret_cast<const sockaddr_un&>(storage_).sun_path;
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (family() == AF_INET6) {
    const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(storage_);
    ::inet_ntop(AF_INET6, &ipv6.sin6_addr, host.data(), host.size());
    return "[" + std::string(host.data()) + "]:" + std::to_string(ntohs(ipv6.sin6_port));
  }
  const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(storage_);
  ::inet_ntop(AF_INET, &ipv4.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(ipv4.sin_port));
}

Connection::Connection(Scheduler& scheduler, std::unique_ptr<Descriptor> descriptor, std::size_t initialInput,
                       std::size_t maxInput, MemoryBudget& memoryBudget)
    : scheduler_(scheduler),
      descriptor_(std::move(descriptor)),
      input_(initialInput, maxInput, memoryBudget),
      memoryBudget_(memoryBudget),
      outputCharge_(memoryBudget),
      outputQueued_(scheduler),
      outputDrained_(scheduler),
      writeTask_(writeOutput()) {
  disableNagle(descriptor_->fd());  // Has no effect on a Unix socket, which does not need it.
  writeTask_.start();
}

Connection::~Connection() = default;

Task<bool> Connection::receive(std::optional<TimePoint> deadline) {
  if (!isInputDrained_) co_await scheduler_.yield();  // A busy peer must not starve the others.
  for (;;) {
    if (isShutDown_ || readEnd_ != ReadEnd::none || input_.isFull()) co_return false;
    // A read that did not fill its buffer has emptied the socket; another read would only return EAGAIN.
    if (isInputDrained_ && !descriptor_->isHungUp()) {
      input_.releaseIfEmpty();
      const bool isReadable = co_await descriptor_->readable.wait(deadline);
      if (!isReadable) co_return false;
      isInputDrained_ = false;
      continue;
    }
    const auto [destination, size] = input_.prepareSpace();
    if (size == 0) co_return false;
    const ssize_t received =
        PADDLETRACK_CALL(descriptor_->fd(), "read", "again short EINTR ECONNRESET",
                         ::read(descriptor_->fd(), destination, PADDLETRACK_IO_SIZE(size)));
    if (received > 0) {
      isReadForced_ = false;
      input_.commit(static_cast<std::size_t>(received));
      isInputDrained_ = static_cast<std::size_t>(received) < size;
      co_return true;
    }
    if (received == 0) {
      readEnd_ = ReadEnd::closed;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      isInputDrained_ = true;
      descriptor_->clearHangUp();  // The event predates the connect.
      if (std::exchange(isReadForced_, false)) co_return false;
    } else if (errno != EINTR) {
      readEnd_ = ReadEnd::reset;
    }
  }
}

void Connection::forceRead() {
  isInputDrained_ = false;
  isReadForced_ = true;
  descriptor_->readable.set();
}

Task<bool> Connection::waitForActivity(TimePoint deadline) {
  const std::uint64_t writtenBefore = writtenBytes_;
  isWaitingForActivity_ = true;
  bool wasSignaled = true;
  while (wasSignaled && !isShutDown_ && !isHungUp() && writtenBytes_ == writtenBefore &&
         (isInputDrained_ || input_.isFull())) {
    wasSignaled = co_await descriptor_->readable.wait(deadline);
    if (wasSignaled) isInputDrained_ = false;  // The signal is consumed, but its input is still unread.
  }
  isWaitingForActivity_ = false;
  co_return wasSignaled;
}

// A peer that reads has little unsent output. One that does not must not use up the budget of all.
bool Connection::isOutputAllowed(const BufferSlice& slice) const {
  const std::size_t fairShare = memoryBudget_.maxBytes / MemoryBudget::kFairShareDivisor;
  const bool exceedsFairShare = unsentBytes() + slice.size() > fairShare;
  return memoryBudget_.allows(
      chargedBytes(slice), exceedsFairShare ? MemoryBudget::Purpose::excess : MemoryBudget::Purpose::output);
}

void Connection::enqueue(const BufferSlice& slice) {
  if (isShutDown_ || slice.size() == 0) return;
  if (!isOutputAllowed(slice)) return shutDown();
  try {
    PADDLETRACK_TABLE("unsent");
    outputQueue_.push_back(slice);
  } catch (const std::bad_alloc&) {  // A partial message must not stay queued.
    return shutDown();
  }
  queuedBytes_ += slice.size();
  outputCharge_.add(chargedBytes(slice));
  outputQueued_.set();
}

void Connection::send(std::initializer_list<BufferSlice> slices) {
  for (const BufferSlice& slice : slices) enqueue(slice);
}

void Connection::send(const std::deque<BufferSlice>& slices) {
  for (const BufferSlice& slice : slices) enqueue(slice);
}

// The only function that writes to the socket. It ends with the connection or at the first error.
Task<> Connection::writeOutput() {
  for (;;) {
    while (outputQueue_.empty()) co_await outputQueued_.wait();
    if (isShutDown_) co_return;  // Unwritten output is discarded at shutdown.
    std::array<iovec, kMaxSlicesPerWrite> gathered;
    std::size_t count = 0;
    for (const BufferSlice& slice : outputQueue_) {
      if (count == kMaxSlicesPerWrite) break;
      const std::string_view unwritten = slice.view().substr(count == 0 ? firstSliceOffset_ : 0);
      gathered[count++] = {const_cast<char*>(unwritten.data()), unwritten.size()};
    }
    msghdr message{};
    message.msg_iov = gathered.data();
    message.msg_iovlen = count;
    const ssize_t sent = PADDLETRACK_CALL(
        descriptor_->fd(), "write", "again short EINTR EPIPE ECONNRESET",
        PADDLETRACK_TRUNCATED(message, ::sendmsg(descriptor_->fd(), &message, MSG_NOSIGNAL)));
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      co_await descriptor_->writable.wait();
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0) {
      shutDown();
      co_return;
    }
    writtenBytes_ += static_cast<std::uint64_t>(sent);
    removeWritten(static_cast<std::size_t>(sent));
    outputDrained_.set();
    if (isWaitingForActivity_) descriptor_->readable.set();
    if (!outputQueue_.empty()) co_await scheduler_.yield();
  }
}

void Connection::removeWritten(std::size_t writtenBytes) {
  while (writtenBytes > 0) {
    const BufferSlice& first = outputQueue_.front();
    const std::size_t writtenOfFirst = std::min(writtenBytes, first.size() - firstSliceOffset_);
    if (!first.isCounted()) outputCharge_.remove(writtenOfFirst);
    writtenBytes -= writtenOfFirst;
    firstSliceOffset_ += writtenOfFirst;
    if (firstSliceOffset_ < first.size()) return;
    firstSliceOffset_ = 0;
    outputCharge_.remove(kSliceOverheadBytes);
    outputQueue_.pop_front();
  }
}

Task<bool> Connection::waitUntilDrained(std::size_t maxUnsent, TimePoint deadline) {
  while (!isShutDown_ && unsentBytes() > maxUnsent) {
    const bool wasDrained = co_await outputDrained_.wait(deadline);
    if (!wasDrained) co_return false;
  }
  co_return true;
}

void Connection::shutDown() {
  isShutDown_ = true;
  if (readEnd_ == ReadEnd::none) readEnd_ = ReadEnd::reset;
  outputDrained_.set();
  descriptor_->readable.set();
}

Task<> Connection::linger(TimePoint deadline, std::size_t maxBytes) {
  const bool isDrained = co_await waitUntilDrained(0, deadline);
  if (!isDrained || isShutDown_) co_return;
  ::shutdown(descriptor_->fd(), SHUT_WR);
  std::size_t discarded = 0;
  for (bool hasInput = true; hasInput && discarded < maxBytes; hasInput = co_await receive(deadline)) {
    discarded += input_.view().size();
    input_.consume(input_.view().size());
  }
}

Listener::Listener(Scheduler& scheduler, const Address& address)
    : scheduler_(scheduler), descriptor_(scheduler, openListeningSocket(address)) {}

Listener::Listener(Scheduler& scheduler, int listeningFd)
    : scheduler_(scheduler), descriptor_(scheduler, listeningFd) {
  PADDLETRACK_IF_FAIL_POINTS(setRole(listeningFd, "door"));
}

Task<std::unique_ptr<Descriptor>> Listener::accept() {
  for (;;) {
    const int fd =
        PADDLETRACK_CALL(descriptor_.fd(), "accept", "again EMFILE ENOMEM ECONNABORTED EINTR",
                         ::accept4(descriptor_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    PADDLETRACK_IF_FAIL_POINTS(inheritRole(descriptor_.fd(), fd));
    if (fd >= 0) co_return std::make_unique<Descriptor>(scheduler_, fd);
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (isStopping_) co_return nullptr;
      co_await descriptor_.readable.wait();
    } else if (errno != EINTR && errno != ECONNABORTED) {
      // Out of descriptors or memory: connections wait in the backlog until resources are released.
      co_await scheduler_.sleepUntil(scheduler_.now() + kAcceptRetryInterval);
    }
  }
}

void Listener::stopAccepting() {
  isStopping_ = true;
  descriptor_.readable.set();
}

Task<ConnectResult> connect(Scheduler& scheduler, Address address, TimePoint deadline) {
  ConnectResult result;
  const int fd = PADDLETRACK_CALL(failpoint::kPendingConnect, "socket", "EMFILE ENOBUFS",
                                  openStreamSocket(address.nativeHandle()->sa_family));
  PADDLETRACK_IF_FAIL_POINTS(setRole(fd, nullptr));
  if (fd < 0) {
    result.error = errno;
    co_return result;
  }
  auto descriptor = std::make_unique<Descriptor>(scheduler, fd);
  const int connectStatus = PADDLETRACK_CALL(fd, "connect", "ECONNREFUSED EADDRNOTAVAIL ENETUNREACH EINTR",
                                             ::connect(fd, address.nativeHandle(), address.length()));
  if (connectStatus != 0 && errno != EINPROGRESS) {
    result.error = errno;
    co_return result;
  }
  for (bool isConnected = connectStatus == 0; !isConnected;) {
    const bool wasSignaled = co_await descriptor->writable.wait(deadline);
    socklen_t length = sizeof result.error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &result.error, &length);
    PADDLETRACK_ERRNO(fd, "connected", "ECONNREFUSED EHOSTUNREACH", result.error);
    if (!wasSignaled && result.error == 0) result.error = ETIMEDOUT;
    if (result.error != 0) co_return result;
    sockaddr_storage peer{};  // The event may predate the connect.
    socklen_t size = sizeof peer;
    isConnected = PADDLETRACK_CALL(fd, "getpeername", "ENOTCONN",
                                   ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size)) == 0;
  }
  result.descriptor = std::move(descriptor);
  co_return result;
}

}  // namespace paddletrack::transport
