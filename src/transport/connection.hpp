#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstring>
#include <deque>
#include <initializer_list>
#include <memory>
#include <string>

#include "transport/input_buffer.hpp"
#include "transport/memory_budget.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::transport {

/// The address of a stream socket: an IPv4 or IPv6 address and port as in "10.0.0.4:8443" and
/// "[fd00::4]:8443", or a path as in "unix:/run/front.sock". The constructor throws std::invalid_argument,
/// whose message quotes the text.
class Address {
 public:
  explicit Address(const std::string& text);
  const sockaddr* nativeHandle() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  socklen_t length() const { return length_; }
  std::string text() const;                          ///< In the form that the constructor accepts.
  int family() const { return storage_.ss_family; }  ///< AF_INET, AF_INET6 or AF_UNIX.
  bool operator==(const Address& other) const {
    return length_ == other.length_ && std::memcmp(&storage_, &other.storage_, length_) == 0;
  }

 private:
  sockaddr_storage storage_{};
  socklen_t length_ = 0;
};

/// A stream socket with bounded buffers. Everything that is sent within one iteration of the event loop is
/// written together. The scheduler and the memory budget must outlive the connection.
class Connection {
 public:
  /// How the input ended.
  enum class ReadEnd { none, closed, reset };

  Connection(Scheduler& scheduler, std::unique_ptr<Descriptor> descriptor, std::size_t initialInput,
             std::size_t maxInput, MemoryBudget& memoryBudget);
  ~Connection();

  /// Waits for more input. Yields false at the deadline, at the end of input and when the input buffer is
  /// full.
  Task<bool> receive(std::optional<TimePoint> deadline = std::nullopt);
  InputBuffer& input() { return input_; }
  const InputBuffer& input() const { return input_; }
  ReadEnd readEnd() const { return readEnd_; }
  /// Whether the peer has closed its side, though not all of its input may be read yet. Reliable only on
  /// accepted connections.
  bool isHungUp() const { return readEnd_ != ReadEnd::none || descriptor_->isHungUp(); }
  bool isInputDrained() const { return isInputDrained_; }  ///< Whether all input that had arrived was read.
  /// The next receive() reads without waiting for a signal, and returns even if nothing had arrived.
  void forceRead();
  /// Waits, without reading, until input has arrived for which there is space, the peer has hung up, or bytes
  /// were written. Yields false if the deadline passes first.
  Task<bool> waitForActivity(TimePoint deadline);

  /// Queues the slices for writing; the bytes are shared, not copied. If the memory budget does not allow it,
  /// the connection is shut down: its peer does not read.
  void send(std::initializer_list<BufferSlice> slices);
  void send(const std::deque<BufferSlice>& slices);
  std::uint64_t queuedBytes() const { return queuedBytes_; }    ///< Total bytes that send() has queued.
  std::uint64_t writtenBytes() const { return writtenBytes_; }  ///< Of these, accepted by the kernel.
  std::size_t unsentBytes() const { return static_cast<std::size_t>(queuedBytes_ - writtenBytes_); }
  /// Waits until at most `maxUnsent` bytes are unsent, or until shutdown. Yields false if the deadline passes
  /// first.
  Task<bool> waitUntilDrained(std::size_t maxUnsent, TimePoint deadline);
  /// Discards all further input and output, and ends reading.
  void shutDown();
  /// Half-closes the socket once everything is written, then discards input until the deadline or `maxBytes`.
  /// Closing a socket with unread input resets it, which would lose responses that the peer has not read yet.
  Task<> linger(TimePoint deadline, std::size_t maxBytes);

 private:
  void enqueue(const BufferSlice& slice);
  bool isOutputAllowed(const BufferSlice& slice) const;
  void removeWritten(std::size_t writtenBytes);
  Task<> writeOutput();

  Scheduler& scheduler_;
  std::unique_ptr<Descriptor> descriptor_;
  InputBuffer input_;
  MemoryBudget& memoryBudget_;
  MemoryCharge outputCharge_;  ///< Of the queued slices.
  ReadEnd readEnd_ = ReadEnd::none;
  bool isShutDown_ = false;
  bool isInputDrained_ = true;  ///< There is nothing to read until the next signal.
  bool isReadForced_ = false, isWaitingForActivity_ = false;
  std::deque<BufferSlice> outputQueue_;
  std::size_t firstSliceOffset_ = 0;  ///< Bytes of the first slice that have been written.
  std::uint64_t queuedBytes_ = 0, writtenBytes_ = 0;
  Signal outputQueued_, outputDrained_;
  Task<> writeTask_;
};

/// Accepts connections. A lack of descriptors or memory only pauses accepting.
class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& address);
  Listener(Scheduler& scheduler, int listeningFd);  // Takes ownership.
  Task<std::unique_ptr<Descriptor>> accept();       // Null once stopped with an empty backlog.
  void stopAccepting();

 private:
  Scheduler& scheduler_;
  Descriptor descriptor_;
  bool isStopping_ = false;
};

/// A connected descriptor, or null and the error.
struct ConnectResult {
  std::unique_ptr<Descriptor> descriptor;
  int error = 0;  ///< An errno value; ETIMEDOUT if the deadline passed first.
};
Task<ConnectResult> connect(Scheduler& scheduler, Address address, TimePoint deadline);

}  // namespace paddletrack::transport
