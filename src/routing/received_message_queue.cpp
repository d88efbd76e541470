#include "routing/received_message_queue.hpp"

#include <string>

#include "failpoint/failpoint.hpp"
#include "protocol/statement.hpp"

namespace paddletrack::routing {

namespace thrift = protocol::thrift;

std::optional<thrift::Message> ReceivedMessageQueue::queueNext(transport::TimePoint earliestArrival) {
  if (entries_.size() >= maxMessages_) return std::nullopt;
  const std::string_view unqueued = input_.view().substr(queuedBytes_);
  const std::optional<std::size_t> payloadLength = thrift::readFrameLength(unqueued);
  if (!payloadLength) return std::nullopt;
  const std::size_t frameSize = thrift::kFrameHeaderBytes + *payloadLength;
  if (frameSize > input_.maxSize())
    throw protocol::ParseError("frame too long: " + std::to_string(*payloadLength) + " bytes");
  if (unqueued.size() < frameSize) {
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
