/// @file
/// The messages that a client has sent and that were not handled yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "protocol/thrift.hpp"
#include "transport/buffer_slice.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::routing {

/// Splits a connection's input into messages and queues them in the order of their arrival. A message's bytes
/// stay in the input buffer until `consume`. The buffer belongs to the connection, which outlives the queue.
class ReceivedMessageQueue {
 public:
  /// A complete message that has arrived.
  struct Entry {
    std::size_t size = 0;  ///< Bytes in the input buffer, with the frame header.
    std::int32_t sequenceId = 0;
    transport::TimePoint receivedAt{};
    bool handled = false;  ///< A revocation that took effect on arrival, or a request that was revoked.
  };

  ReceivedMessageQueue(transport::InputBuffer& input, std::size_t maxMessages)
      : input_(input), maxMessages_(maxMessages) {}

  /// Queues the next complete message of the input and returns it; its views lie in the input buffer. Returns
  /// nothing if no message is complete or the queue is full. Throws protocol::ParseError if the input is not
  /// a message, and std::bad_alloc.
  std::optional<protocol::thrift::Message> queueNext(transport::TimePoint now);

  /// The message that was queued last takes no further handling.
  void markLastHandled() { entries_.back().handled = true; }
  /// The queued request of this sequence number, if there is one, takes no further handling.
  void markRequestHandled(std::int32_t sequenceId);

  bool empty() const { return entries_.empty(); }
  bool isFull() const { return input_.isFull() || entries_.size() >= maxMessages_; }
  const Entry& front() const { return entries_.front(); }
  /// Whether the input holds the first bytes of a message that is not complete, or that found the queue full.
  bool hasUnqueuedInput() const { return input_.view().size() > queuedBytes_; }

  /// Removes the first entry. Its bytes remain the first of the input until they are passed to `consume`.
  Entry popFront();
  /// The bytes of the entry that was popped last, without the frame header.
  std::string_view payload(const Entry& entry) const;
  /// Releases the bytes of the entry that was popped last.
  void consume(const Entry& entry);

 private:
  void append(const protocol::thrift::Message& message, std::size_t frameSize, transport::TimePoint now);

  transport::InputBuffer& input_;
  const std::size_t maxMessages_;
  std::deque<Entry> entries_;
  std::size_t queuedBytes_ = 0;                                  // Bytes of the input that entries stand for.
  std::unordered_map<std::int32_t, Entry*> requestsBySequence_;  // Points into `entries_`.
};

}  // namespace paddletrack::routing
