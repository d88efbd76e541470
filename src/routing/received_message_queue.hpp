/// @file
/// The messages received from a client that have not been handled yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "protocol/thrift.hpp"
#include "transport/input_buffer.hpp"
#include "transport/scheduler.hpp"

namespace paddletrack::routing {

/// Splits a connection's input into messages and queues them in the order of arrival. A message's bytes
/// stay in the input buffer until `consume`. The buffer belongs to the connection, which outlives the queue.
///
/// A message that is too long, or for which there is no memory, is not queued. Once it is the first one in
/// the input, its header can be read, and the rest of it is discarded as it arrives.
class ReceivedMessageQueue {
 public:
  /// A complete received message.
  struct Entry {
    std::size_t size = 0;  ///< Bytes in the input buffer, including the frame header.
    std::int32_t sequenceId = 0;
    /// The earliest time at which its last byte can have arrived, which may be long before it was read.
    transport::TimePoint earliestArrival{};
    bool handled = false;  ///< Set for a revocation applied on arrival and for a revoked request.
  };

  /// A message that cannot be received; its views point into the input buffer until more is read.
  struct DiscardedMessage {
    enum class Reason : std::uint8_t { tooLong, outOfMemory };
    protocol::thrift::Message header;  ///< Without arguments.
    std::size_t payloadLength = 0;
    Reason reason = Reason::tooLong;
  };

  struct Limits {
    std::size_t maxMessages = 0;
    std::size_t maxPayloadBytes = 0;  ///< Of one message, without the frame header.
  };

  ReceivedMessageQueue(transport::InputBuffer& input, transport::MemoryBudget& budget, const Limits& limits)
      : input_(input), limits_(limits), entryCharge_(budget) {}

  /// Queues the next complete message of the input and returns it; its views point into the input buffer.
  /// Returns std::nullopt if no message is complete or the queue is full. Throws protocol::ParseError if the
  /// input is not a message, and std::bad_alloc.
  std::optional<protocol::thrift::Message> queueNext(transport::TimePoint earliestArrival);

  /// Begins to discard the first message of the input if it cannot be received, and returns its header.
  /// Returns std::nullopt if another message is queued before it or its header is incomplete. Throws
  /// protocol::ParseError if the input is not a message.
  std::optional<DiscardedMessage> discardUnreceivable();

  /// Marks the message that was queued last as handled.
  void markLastHandled() { entries_.back().handled = true; }
  /// Marks the queued request with this sequence number, if there is one, as handled.
  void markRequestHandled(std::int32_t sequenceId);

  bool empty() const { return entries_.empty(); }
  bool isFull() const { return input_.isFull() || entries_.size() >= limits_.maxMessages; }
  const Entry& front() const { return entries_.front(); }
  /// Whether the input holds bytes that are not queued: a partial message, or messages beyond the queue's
  /// limit.
  bool hasUnqueuedInput() const { return input_.view().size() > queuedBytes_ || bytesToDiscard_ > 0; }

  /// Removes the first entry. Its bytes stay at the start of the input until it is passed to `consume`.
  Entry popFront();
  /// The bytes of the entry that was popped last, without the frame header.
  std::string_view payload(const Entry& entry) const;
  /// Releases the bytes of the entry that was popped last.
  void consume(const Entry& entry);

 private:
  void append(const protocol::thrift::Message& message, std::size_t frameSize,
              transport::TimePoint earliestArrival);

  void discardArrived();

  transport::InputBuffer& input_;
  const Limits limits_;
  transport::MemoryCharge entryCharge_;
  std::deque<Entry> entries_;
  std::size_t queuedBytes_ = 0;     // Bytes of the input that belong to entries.
  std::size_t bytesToDiscard_ = 0;  // Of a message that cannot be received; nothing is queued meanwhile.
  std::unordered_map<std::int32_t, Entry*> requestsBySequence_;  // Points into `entries_`.
};

}  // namespace paddletrack::routing
