#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstring>
#include <deque>
#include <initializer_list>
#include <memory>
#include <string>

#include "transport/scheduler.hpp"
#include "transport/slice.hpp"

namespace paddletrack::transport {

// Where a stream socket connects or listens: an IPv4 or IPv6 address and port as in "10.0.0.4:8443" and
// "[fd00::4]:8443", or a path as in "unix:/run/front.sock". Throws std::invalid_argument, which names the
// text.
class Address {
 public:
  explicit Address(const std::string& text);
  const sockaddr* raw() const { return reinterpret_cast<const sockaddr*>(&raw_); }
  socklen_t length() const { return length_; }
  std::string text() const;                      // as it was written
  int family() const { return raw_.ss_family; }  // AF_INET, AF_INET6 or AF_UNIX
  bool operator==(const Address& other) const {
    return length_ == other.length_ && std::memcmp(&raw_, &other.raw_, length_) == 0;
  }

 private:
  sockaddr_storage raw_{};
  socklen_t length_ = 0;
};

// Bytes that all connections of the process hold unsent, and the most they may. Once it is reached the
// connections that hold more than a fair part of it are ended: peers that do not read.
struct Unsent {
  static constexpr std::size_t kFairParts = 64;
  std::size_t most = 0;
  std::size_t held = 0;
};

// A stream socket with bounded buffers. Writes are gathered: all that is sent within a turn leaves together.
class Connection {
 public:
  // How reading came to its end.
  enum class End { none, closed, reset };

  Connection(Scheduler& scheduler, std::unique_ptr<Descriptor> descriptor, std::size_t usualInput,
             std::size_t mostInput, Unsent& unsent);
  ~Connection();

  // Waits for more input (until a moment at most) and says whether there is any.
  Task<bool> receive(std::optional<Moment> until = std::nullopt);
  Inbox& input() { return input_; }
  const Inbox& input() const { return input_; }
  End end() const { return end_; }
  // Of one that was accepted: whether the peer has ended its way here, though not all of it may be read.
  bool hungUp() const { return end_ != End::none || descriptor_->hungUp(); }
  bool dry() const { return dry_; }  // all that had come was read
  // The next receive reads, whatever signs there were, and returns also where nothing had come.
  void lookAgain();
  // Waits, without reading, until something has come that there is room for, the peer has hung up, or bytes
  // were written; false when the moment came first.
  Task<bool> stirred(Moment until);

  // Queued as it is; the bytes stay shared.
  void send(std::initializer_list<Slice> pieces);
  void send(const std::deque<Slice>& pieces);
  std::uint64_t queued() const { return queued_; }    // bytes ever given to send
  std::uint64_t written() const { return written_; }  // of these, taken by the kernel
  std::size_t unsent() const { return static_cast<std::size_t>(queued_ - written_); }
  // Until no more than so many bytes are unsent, or the end; false when the moment came first.
  Task<bool> drained(std::size_t most, Moment until);
  void shut();  // what comes and goes from now on is dropped; reading ends
  // Half-closes once all is written, then reads out and drops what still comes, up to a moment and so many
  // bytes: closed over unread bytes, a connection is reset, and takes answers along that are not read yet.
  Task<> linger(Moment until, std::size_t most);

 private:
  void queue(const Slice& piece);
  Task<> pump();

  Scheduler& scheduler_;
  std::unique_ptr<Descriptor> descriptor_;
  Inbox input_;
  Unsent& all_;
  End end_ = End::none;
  bool failed_ = false;
  bool dry_ = true;  // nothing to read until the next sign
  bool looksAgain_ = false, stirs_ = false;
  std::deque<Slice> pieces_;
  std::size_t offset_ = 0;  // of the first piece, already written
  std::uint64_t queued_ = 0, written_ = 0;
  Signal wanted_, drained_;
  Task<> pumping_;
};

// Where connections come in. Accepting survives a lack of descriptors: it rests for a while.
class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& address);
  Listener(Scheduler& scheduler, int listening);  // which it owns from now on
  Task<std::unique_ptr<Descriptor>> accept();  // none: it has finished, and nobody waited any more
  void finish();

 private:
  Scheduler& scheduler_;
  Descriptor descriptor_;
  bool finishing_ = false;
};

// A connected descriptor, or none and why not.
struct Dialled {
  std::unique_ptr<Descriptor> descriptor;
  int error = 0;  // ETIMEDOUT when the moment came first
};
Task<Dialled> dial(Scheduler& scheduler, Address address, Moment until);

}  // namespace paddletrack::transport
