#include "routing/received_message_queue.hpp"

#include <algorithm>
#include <string>

#include "failpoint/failpoint.hpp"
#include "protocol/statement.hpp"

namespace paddletrack::routing {

namespace thrift = protocol::thrift;

namespace {

// Memory of an entry with its places in the queue and in the index.
constexpr std::size_t kEntryBytes = 96;

// A longer frame is taken for input that is not a message.
constexpr std::size_t kMaxPlausiblePayloadBytes = std::size_t{1} << 26;

}  // namespace

std::optional<thrift::Message> ReceivedMessageQueue::queueNext(transport::TimePoint earliestArrival) {
  discardArrived();
  if (entries_.size() >= limits_.maxMessages) return std::nullopt;
  const std::string_view unqueued = input_.view().substr(queuedBytes_);
  const std::optional<std::size_t> payloadLength = thrift::readFrameLength(unqueued);
  if (!payloadLength) return std::nullopt;
  const std::size_t frameSize = thrift::kFrameHeaderBytes + *payloadLength;
  if (*payloadLength > kMaxPlausiblePayloadBytes)
    throw protocol::ParseError("frame too long: " + std::to_string(*payloadLength) + " bytes");
  if (*payloadLength > limits_.maxPayloadBytes) return std::nullopt;
  if (unqueued.size() < frameSize) {
    if (frameSize > input_.maxSize())
      input_.extendLimit(queuedBytes_ + frameSize);
    else
      input_.expectSize(queuedBytes_ + frameSize);
    return std::nullopt;
  }
  const thrift::Message message =
      thrift::decodeMessage(unqueued.substr(thrift::kFrameHeaderBytes, *payloadLength));
  append(message, frameSize, earliestArrival);
  return message;
}

void ReceivedMessageQueue::append(const thrift::Message& message, std::size_t frameSize,
                                  transport::TimePoint earliestArrival) {
  PADDLETRACK_TABLE("ahead");
  Entry& entry = entries_.emplace_back(frameSize, message.sequence, earliestArrival);
  if (message.method == "submit" && message.type == thrift::MessageType::call)
    requestsBySequence_[message.sequence] = &entry;
  queuedBytes_ += frameSize;
  entryCharge_.add(kEntryBytes);
}

std::optional<ReceivedMessageQueue::DiscardedMessage> ReceivedMessageQueue::discardUnreceivable() {
  if (!entries_.empty() || bytesToDiscard_ > 0) return std::nullopt;
  const std::string_view unqueued = input_.view();
  const std::optional<std::size_t> payloadLength = thrift::readFrameLength(unqueued);
  if (!payloadLength) return std::nullopt;
  DiscardedMessage discarded;
  discarded.payloadLength = *payloadLength;
  if (*payloadLength > limits_.maxPayloadBytes)
    discarded.reason = DiscardedMessage::Reason::tooLong;
  else if (input_.wasGrowthRefused())
    discarded.reason = DiscardedMessage::Reason::outOfMemory;
  else
    return std::nullopt;
  const auto header = thrift::decodeMessageHeader(unqueued.substr(thrift::kFrameHeaderBytes));
  if (!header) return std::nullopt;
  discarded.header = *header;
  discarded.header.arguments = {};
  bytesToDiscard_ = thrift::kFrameHeaderBytes + *payloadLength;
  discardArrived();
  return discarded;
}

void ReceivedMessageQueue::discardArrived() {
  const std::size_t arrivedBytes = std::min(bytesToDiscard_, input_.view().size());
  if (arrivedBytes == 0) return;
  input_.consume(arrivedBytes);
  bytesToDiscard_ -= arrivedBytes;
}

void ReceivedMessageQueue::markRequestHandled(std::int32_t sequenceId) {
  if (const auto found = requestsBySequence_.find(sequenceId); found != requestsBySequence_.end())
    found->second->handled = true;
}

ReceivedMessageQueue::Entry ReceivedMessageQueue::popFront() {
  const Entry entry = entries_.front();
  // A later request may have the same sequence number; its entry must stay.
  if (const auto found = requestsBySequence_.find(entry.sequenceId);
      found != requestsBySequence_.end() && found->second == &entries_.front())
    requestsBySequence_.erase(found);
  entries_.pop_front();
  entryCharge_.remove(kEntryBytes);
  return entry;
}

std::string_view ReceivedMessageQueue::payload(const Entry& entry) const {
  return input_.view().substr(thrift::kFrameHeaderBytes, entry.size - thrift::kFrameHeaderBytes);
}

void ReceivedMessageQueue::consume(const Entry& entry) {
  input_.consume(entry.size);
  queuedBytes_ -= entry.size;
}

}  // namespace paddletrack::routing
