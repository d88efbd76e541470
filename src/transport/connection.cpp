#include "transport/connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>

#include "base/error.hpp"
#include "fault/fault.hpp"

namespace paddletrack::transport {
namespace {

constexpr std::size_t kGathered = 64;  // pieces of one write
constexpr std::chrono::milliseconds kAcceptRest{20};

int streamSocket(int family) { return ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void noDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int listening(const Address& address) {
  const int fd =
      PADDLETRACK_CALL(-1, "front.socket", "EMFILE ENOMEM", streamSocket(address.raw()->sa_family));
  const int on = 1;
  if (fd < 0) throw ListenFailed(address.text(), "socket", errno);
  PADDLETRACK_MARK(role(fd, "front"));
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (address.family() == AF_INET6) ::setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on);
  if (PADDLETRACK_CALL(fd, "bind", "EADDRINUSE EADDRNOTAVAIL EACCES",
                       ::bind(fd, address.raw(), address.length())) != 0 ||
      PADDLETRACK_CALL(fd, "listen", "EADDRINUSE", ::listen(fd, 1024)) != 0) {
    const int error = errno;
    PADDLETRACK_MARK(forget(fd));
    ::close(fd);
    throw ListenFailed(address.text(), "listen", error);
  }
  return fd;
}

}  // namespace

Address::Address(const std::string& text) {
  constexpr std::string_view kLocal = "unix:";
  if (text.starts_with(kLocal)) {
    auto& path = reinterpret_cast<sockaddr_un&>(raw_);
    const std::string name = text.substr(kLocal.size());
    if (!name.starts_with('/') || name.find('\0') != std::string::npos)
      throw std::invalid_argument("'" + text + "': a path from the root is wanted");
    if (name.size() >= sizeof path.sun_path)
      throw std::invalid_argument("'" + text + "': a socket's path has " +
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
    auto& six = reinterpret_cast<sockaddr_in6&>(raw_);
    six.sin6_family = AF_INET6;
    length_ = sizeof six;
    if (colon == std::string::npos || colon < 3 || text[colon - 1] != ']' ||
        ::inet_pton(AF_INET6, text.substr(1, colon - 2).c_str(), &six.sin6_addr) != 1 ||
        std::from_chars(text.data() + colon + 1, end, port).ptr != end || port == 0 || port > 65535) {
      throw std::invalid_argument("'" + text + "' is not an IPv6 address and port");
    }
    six.sin6_port = htons(static_cast<std::uint16_t>(port));
    return;
  }
  auto& ip = reinterpret_cast<sockaddr_in&>(raw_);
  ip.sin_family = AF_INET;
  length_ = sizeof ip;
  if (colon == std::string::npos || ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip.sin_addr) != 1 ||
      std::from_chars(text.data() + colon + 1, end, port).ptr != end || port == 0 || port > 65535) {
    throw std::invalid_argument("'" + text + "' is not an IPv4 address and port");
  }
  ip.sin_port = htons(static_cast<std::uint16_t>(port));
}

std::string Address::text() const {
  if (family() == AF_UNIX) return std::string("unix:") + reinterpret_cast<const sockaddr_un&>(raw_).sun_path;
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (family() == AF_INET6) {
    const auto& six = reinterpret_cast<const sockaddr_in6&>(raw_);
    ::inet_ntop(AF_INET6, &six.sin6_addr, host.data(), host.size());
    return "[" + std::string(host.data()) + "]:" + std::to_string(ntohs(six.sin6_port));
  }
  const auto& ip = reinterpret_cast<const sockaddr_in&>(raw_);
  ::inet_ntop(AF_INET, &ip.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(ip.sin_port));
}

Connection::Connection(Scheduler& scheduler, std::unique_ptr<Descriptor> descriptor, std::size_t usualInput,
                       std::size_t mostInput, Unsent& unsent)
    : scheduler_(scheduler),
      descriptor_(std::move(descriptor)),
      input_(usualInput, mostInput),
      all_(unsent),
      wanted_(scheduler),
      drained_(scheduler),
      pumping_(pump()) {
  noDelay(descriptor_->fd());  // which a local socket does not know, nor need
  pumping_.start();
}

Connection::~Connection() { all_.held -= unsent(); }

Task<bool> Connection::receive(std::optional<Moment> until) {
  if (!dry_) co_await scheduler_.turn();  // one peer with much to say does not starve the others
  for (;;) {
    if (failed_ || end_ != End::none || input_.full()) co_return false;
    // A read that did not fill its room has emptied the socket: no second one only to be told so.
    if (dry_ && !descriptor_->hungUp()) {
      input_.rest();
      const bool more = co_await descriptor_->readable.wait(until);
      if (!more) co_return false;
      dry_ = false;
      continue;
    }
    const auto [at, size] = input_.space();
    const ssize_t got = PADDLETRACK_CALL(descriptor_->fd(), "read", "again short EINTR ECONNRESET",
                                         ::read(descriptor_->fd(), at, PADDLETRACK_SIZE(size)));
    if (got > 0) {
      looksAgain_ = false;
      input_.grew(static_cast<std::size_t>(got));
      dry_ = static_cast<std::size_t>(got) < size;
      co_return true;
    }
    if (got == 0) {
      end_ = End::closed;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      dry_ = true;
      descriptor_->clearHungUp();  // a sign from before it was connected
      if (std::exchange(looksAgain_, false)) co_return false;
    } else if (errno != EINTR) {
      end_ = End::reset;
    }
  }
}

void Connection::lookAgain() {
  dry_ = false;
  looksAgain_ = true;
  descriptor_->readable.set();
}

Task<bool> Connection::stirred(Moment until) {
  const std::uint64_t before = written_;
  stirs_ = true;
  bool stirs = true;
  while (stirs && !failed_ && !hungUp() && written_ == before && (dry_ || input_.full())) {
    stirs = co_await descriptor_->readable.wait(until);
    if (stirs) dry_ = false;  // the sign is used up, and what it told of is still to be read
  }
  stirs_ = false;
  co_return stirs;
}

void Connection::queue(const Slice& piece) {
  if (failed_ || piece.size() == 0) return;
  const bool unfair = unsent() + piece.size() > all_.most / Unsent::kFairParts;
  if (all_.held + piece.size() > (unfair ? all_.most : 2 * all_.most)) return shut();
  try {
    PADDLETRACK_TABLE("unsent");
    pieces_.push_back(piece);
  } catch (const std::bad_alloc&) {  // half a message is none: the peer is told by the end
    return shut();
  }
  queued_ += piece.size();
  all_.held += piece.size();
  wanted_.set();
}

void Connection::send(std::initializer_list<Slice> pieces) {
  for (const Slice& piece : pieces) queue(piece);
}

void Connection::send(const std::deque<Slice>& pieces) {
  for (const Slice& piece : pieces) queue(piece);
}

// The one place where bytes leave. It ends with the connection or at the first error.
Task<> Connection::pump() {
  for (;;) {
    while (pieces_.empty()) co_await wanted_.wait();
    if (failed_) co_return;  // what was not written when it was shut never is
    std::array<iovec, kGathered> gathered;
    std::size_t count = 0;
    for (const Slice& piece : pieces_) {
      if (count == kGathered) break;
      const std::string_view rest = piece.view().substr(count == 0 ? offset_ : 0);
      gathered[count++] = {const_cast<char*>(rest.data()), rest.size()};
    }
    msghdr message{};
    message.msg_iov = gathered.data();
    message.msg_iovlen = count;
    const ssize_t sent =
        PADDLETRACK_CALL(descriptor_->fd(), "write", "again short EINTR EPIPE ECONNRESET",
                         PADDLETRACK_CUT(message, ::sendmsg(descriptor_->fd(), &message, MSG_NOSIGNAL)));
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      co_await descriptor_->writable.wait();
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0) {
      shut();
      co_return;
    }
    written_ += static_cast<std::uint64_t>(sent);
    all_.held -= static_cast<std::size_t>(sent);
    for (std::size_t left = static_cast<std::size_t>(sent); left > 0;) {
      const std::size_t first = pieces_.front().size() - offset_;
      if (left < first) {
        offset_ += left;
        break;
      }
      left -= first;
      offset_ = 0;
      pieces_.pop_front();
    }
    drained_.set();
    if (stirs_) descriptor_->readable.set();
    if (!pieces_.empty()) co_await scheduler_.turn();
  }
}

Task<bool> Connection::drained(std::size_t most, Moment until) {
  while (!failed_ && unsent() > most) {
    const bool more = co_await drained_.wait(until);
    if (!more) co_return false;
  }
  co_return true;
}

void Connection::shut() {
  failed_ = true;
  if (end_ == End::none) end_ = End::reset;
  drained_.set();
  descriptor_->readable.set();
}

Task<> Connection::linger(Moment until, std::size_t most) {
  const bool out = co_await drained(0, until);
  if (!out || failed_) co_return;
  ::shutdown(descriptor_->fd(), SHUT_WR);
  std::size_t dropped = 0;
  for (bool more = true; more && dropped < most; more = co_await receive(until)) {
    dropped += input_.view().size();
    input_.consume(input_.view().size());
  }
}

Listener::Listener(Scheduler& scheduler, const Address& address)
    : scheduler_(scheduler), descriptor_(scheduler, listening(address)) {}

Listener::Listener(Scheduler& scheduler, int listening)
    : scheduler_(scheduler), descriptor_(scheduler, listening) {
  PADDLETRACK_MARK(role(listening, "door"));
}

Task<std::unique_ptr<Descriptor>> Listener::accept() {
  for (;;) {
    const int fd =
        PADDLETRACK_CALL(descriptor_.fd(), "accept", "again EMFILE ENOMEM ECONNABORTED EINTR",
                         ::accept4(descriptor_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    PADDLETRACK_MARK(heir(descriptor_.fd(), fd));
    if (fd >= 0) co_return std::make_unique<Descriptor>(scheduler_, fd);
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (finishing_) co_return nullptr;
      co_await descriptor_.readable.wait();
    } else if (errno != EINTR && errno != ECONNABORTED) {
      // Out of descriptors or memory: what waits in the backlog stays there until some are given back.
      co_await scheduler_.sleepUntil(scheduler_.now() + kAcceptRest);
    }
  }
}

void Listener::finish() {
  finishing_ = true;
  descriptor_.readable.set();
}

Task<Dialled> dial(Scheduler& scheduler, Address address, Moment until) {
  Dialled made;
  const int fd =
      PADDLETRACK_CALL(fault::kDial, "socket", "EMFILE ENOBUFS", streamSocket(address.raw()->sa_family));
  PADDLETRACK_MARK(role(fd, nullptr));
  if (fd < 0) {
    made.error = errno;
    co_return made;
  }
  auto descriptor = std::make_unique<Descriptor>(scheduler, fd);
  const int begun = PADDLETRACK_CALL(fd, "connect", "ECONNREFUSED EADDRNOTAVAIL ENETUNREACH EINTR",
                                     ::connect(fd, address.raw(), address.length()));
  if (begun != 0 && errno != EINPROGRESS) {
    made.error = errno;
    co_return made;
  }
  for (bool up = begun == 0; !up;) {
    const bool told = co_await descriptor->writable.wait(until);
    socklen_t length = sizeof made.error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &made.error, &length);
    PADDLETRACK_VALUE(fd, "connected", "ECONNREFUSED EHOSTUNREACH", made.error);
    if (!told && made.error == 0) made.error = ETIMEDOUT;
    if (made.error != 0) co_return made;
    sockaddr_storage peer{};  // an edge may tell of the time before the connect
    socklen_t size = sizeof peer;
    up = PADDLETRACK_CALL(fd, "getpeername", "ENOTCONN",
                          ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size)) == 0;
  }
  made.descriptor = std::move(descriptor);
  co_return made;
}

}  // namespace paddletrack::transport
