#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstring>
#include <deque>
#include <initializer_list>
#include <memory>
#include <string>

#include "transport/buffer_slice.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::transport {

// Where a stream socket connects or listens: an IPv4 or IPv6 address and port as in "10.0.0.4:8443" and
// "[fd00::4]:8443", or a path as in "unix:/run/front.sock". Throws std::invalid_argument, which names the
// text.
class Address {
 public:
  explicit Address(const std::string& text);
  const sockaddr* nativeHandle() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  socklen_t length() const { return length_; }
  std::string text() const;                          // as it was written
  int family() const { return storage_.ss_family; }  // AF_INET, AF_INET6 or AF_UNIX
  bool operator==(const Address& other) const {
    return length_ == other.length_ && std::memcmp(&storage_, &other.storage_, length_) == 0;
  }

 private:
  sockaddr_storage storage_{};
  socklen_t length_ = 0;
};

// Bytes that all connections of the process hold unsent, and the most they may. Once it is reached the
// connections that hold more than a fair part of it are ended: peers that do not read.
struct OutputBudget {
  static constexpr std::size_t kFairShareDivisor = 64;
  std::size_t maxBytes = 0;
  std::size_t usedBytes = 0;
};

// A stream socket with bounded buffers. Writes are gathered: all that is sent within a turn leaves together.
class Connection {
 public:
  // How reading came to its end.
  enum class ReadEnd { none, closed, reset };

  Connection(Scheduler& scheduler, std::unique_ptr<Descriptor> descriptor, std::size_t initialInput,
             std::size_t maxInput, OutputBudget& outputBudget);
  ~Connection();

  // Waits for more input (until a moment at most) and says whether there is any.
  Task<bool> receive(std::optional<TimePoint> deadline = std::nullopt);
  InputBuffer& input() { return input_; }
  const InputBuffer& input() const { return input_; }
  ReadEnd readEnd() const { return readEnd_; }
  // Of one that was accepted: whether the peer has ended its way here, though not all of it may be read.
  bool isHungUp() const { return readEnd_ != ReadEnd::none || descriptor_->isHungUp(); }
  bool isInputDrained() const { return isInputDrained_; }  // all that had come was read
  // The next receive reads, whatever signs there were, and returns also where nothing had come.
  void forceRead();
  // Waits, without reading, until something has come that there is room for, the peer has hung up, or bytes
  // were written; false when the moment came first.
  Task<bool> waitForActivity(TimePoint deadline);

  // Queued as it is; the bytes stay shared.
  void send(std::initializer_list<BufferSlice> slices);
  void send(const std::deque<BufferSlice>& slices);
  std::uint64_t queuedBytes() const { return queuedBytes_; }    // bytes ever given to send
  std::uint64_t writtenBytes() const { return writtenBytes_; }  // of these, taken by the kernel
  std::size_t unsentBytes() const { return static_cast<std::size_t>(queuedBytes_ - writtenBytes_); }
  // Until no more than so many bytes are unsent, or the end; false when the moment came first.
  Task<bool> waitUntilDrained(std::size_t maxUnsent, TimePoint deadline);
  void shutDown();  // what comes and goes from now on is dropped; reading ends
  // Half-closes once all is written, then reads out and drops what still comes, up to a moment and so many
  // bytes: closed over unread bytes, a connection is reset, and takes answers along that are not read yet.
  Task<> linger(TimePoint deadline, std::size_t maxBytes);

 private:
  void enqueue(const BufferSlice& slice);
  Task<> writeOutput();

  Scheduler& scheduler_;
  std::unique_ptr<Descriptor> descriptor_;
  InputBuffer input_;
  OutputBudget& outputBudget_;
  ReadEnd readEnd_ = ReadEnd::none;
  bool isShutDown_ = false;
  bool isInputDrained_ = true;  // nothing to read until the next sign
  bool isReadForced_ = false, isWaitingForActivity_ = false;
  std::deque<BufferSlice> outputQueue_;
  std::size_t firstSliceOffset_ = 0;  // of the first piece, already written
  std::uint64_t queuedBytes_ = 0, writtenBytes_ = 0;
  Signal outputQueued_, outputDrained_;
  Task<> writeTask_;
};

// Where connections come in. Accepting survives a lack of descriptors: it rests for a while.
class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& address);
  Listener(Scheduler& scheduler, int listeningFd);  // which it owns from now on
  Task<std::unique_ptr<Descriptor>> accept();       // none: it has finished, and nobody waited any more
  void stopAccepting();

 private:
  Scheduler& scheduler_;
  Descriptor descriptor_;
  bool isStopping_ = false;
};

// A connected descriptor, or none and why not.
struct ConnectResult {
  std::unique_ptr<Descriptor> descriptor;
  int error = 0;  // ETIMEDOUT when the moment came first
};
Task<ConnectResult> connect(Scheduler& scheduler, Address address, TimePoint deadline);

}  // namespace paddletrack::transport
