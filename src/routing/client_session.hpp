/// @file
/// One connection of a client.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/logger.hpp"
#include "protocol/thrift.hpp"
#include "routing/client_session_list.hpp"
#include "routing/received_message_queue.hpp"
#include "routing/request_context.hpp"
#include "routing/request_router.hpp"
#include "routing/service_gate.hpp"
#include "routing/unwritten_responses.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

struct ClientLimits {
  std::size_t maxConnections = 1;
  /// Bytes of one message. A longer one is answered with an exception.
  std::size_t maxFrameBytes = 0;
  /// If more bytes of responses than this are unwritten on a connection, its next messages wait.
  std::size_t maxUnsentBytes = 0;
  /// A connection without open requests is closed if no complete message has arrived for this long, counted
  /// from the start of the connection, from the first byte of a message or from the last response.
  Duration messageTimeout{std::chrono::milliseconds(1500)};
  /// A connection of a known client is closed after it has been idle for this long, which is longer than
  /// clients keep unused connections.
  Duration idleTimeout{std::chrono::seconds(5)};
  /// Bytes of messages that each connection can hold, whatever the others do. If the memory budget has no
  /// room for a message that is longer, the request is rejected. 0: as many as a message may have.
  std::size_t minInputBytes = 0;
};

/// Counts of accepted connections, invalid requests and closed sessions by reason, for the log.
struct ClientCounts {
  std::uint64_t accepted = 0;
  std::uint64_t invalidRequests = 0;
  std::uint64_t protocolErrors = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t idle = 0;
  std::uint64_t evicted = 0;
};

/// The state shared by the sessions of one listener. The listener owns it, and it outlives all sessions.
struct ClientSessionEnvironment {
  transport::Scheduler& scheduler;
  transport::MemoryBudget& memoryBudget;
  const ClientLimits limits;
  RequestRouter& router;
  const Logger& logger;
  ServiceGate* serviceGate = nullptr;
  ClientSessionList sessions;
  ClientCounts counts{};
  std::uint32_t lastRequestNumber = 0;
  bool isClosing = false;  ///< The listener is closing.
};

/// Reads the messages of one client connection, passes its requests to the router and writes the responses.
///
/// A session is in one of these states:
///
///     reading ---> backedUp    the client does not read its responses, so its next message waits
///     backedUp --> reading     the client has read some of them, or more input can be read
///     reading ---> closing     a deadline passed, or the listener requested the slot: one last read follows
///     closing ---> reading     the last read returned data
///     any -------> ended       the client has disconnected, or the last read returned nothing
///     ended -----> lingering   the connection is half-closed until the client has read the responses
///
/// Messages are parsed as soon as they are read, and handled in the order of arrival. A revocation takes
/// effect on arrival, also for requests that are still queued. When the session ends, its open requests are
/// reported to the router as requests whose client is gone.
class ClientSession final : private RequestContext::ResponseListener {
 public:
  /// Orders evictable sessions; the lowest rank is evicted first. First come sessions that had time to send a
  /// request and did not, then idle sessions of known clients. New connections are evicted last; otherwise
  /// long-lived connections would keep all new ones out.
  struct RetentionRank {
    bool isNewcomer = false;
    bool isKnownClient = false;
    transport::TimePoint lastActivityAt{};
    auto operator<=>(const RetentionRank&) const = default;
  };

  /// Adds the session to the environment's list; the destructor removes it.
  ClientSession(ClientSessionEnvironment& environment, std::unique_ptr<transport::Descriptor> acceptedSocket);
  ~ClientSession() override;
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  /// Serves the connection until it must be closed. Throws protocol::ParseError if the client sends a message
  /// that cannot be answered. The task must not outlive the session.
  transport::Task<> run();

  /// Half-closes the connection after `run` has ended and discards further input, since no response to it
  /// could reach the client. The task must not outlive the session.
  transport::Task<> linger();

  /// Requests that the session end after one last read; the session stays if that read returns data.
  void requestClose();
  /// Calls `requestClose` unless a request is open, queued or expected.
  void closeIfIdle();
  void shutDown() { connection_.shutDown(); }

  std::size_t unsentBytes() const { return connection_.unsentBytes(); }
  /// Whether the session may be closed to free a slot: no request is open, all responses are written and no
  /// close has been requested.
  bool isEvictable() const;
  RetentionRank retentionRank() const;
  /// Whether the first message, or the rest of a partial one, is awaited and the client was recently active.
  bool isIncoming() const { return isAwaitingMessage() && isRecentlyActive(); }

 private:
  enum class State : std::uint8_t { reading, backedUp, closing, ended, lingering };

  // Steps of `run`.
  bool updateBackedUp();
  void updateInputFullSince(transport::TimePoint currentTime);
  transport::TimePoint backedUpDeadline() const;
  void onBackedUpWaitFinished(bool wasActive);
  transport::TimePoint receiveDeadline() const;
  bool hasMoreToRead() const;
  void onNothingReceived();
  void beginLastRead();
  void end(std::uint64_t& reasonCount);
  void handleQueuedMessages();

  // Processing of messages on arrival.
  void queueReceivedMessages();
  void rejectUnreceivableMessage();
  void revokeOnArrival(const protocol::thrift::Message& message);
  bool isAwaitingMessage() const { return hasPartialMessage_ || !isKnownClient_; }
  bool isRecentlyActive() const;

  // Handling of queued messages.
  void handlePayload(std::string_view payload);
  void handleMessage(const protocol::thrift::Message& message);
  void handleHeartbeat(const protocol::thrift::Message& message);
  void handleSubmit(const protocol::thrift::Message& message);
  void submitRequest(const protocol::thrift::Message& message);
  std::unique_ptr<RequestContext> createRequest(const protocol::thrift::Message& message);
  bool rejectIfUnavailable(std::int32_t sequenceId);
  void updateUndrainedSince();
  bool mayHaveLeft() const;
  bool canReportInvalidMessage(const protocol::thrift::Message& message);
  void reportInvalidMessage(const protocol::thrift::Message& message, const protocol::ParseError& error);

  // Open requests and their responses.
  void abandonRequest(std::int32_t sequenceId);
  void abandonAllRequests();
  void onResponseReady(RequestContext& context) override;
  void writeResponse(const RequestContext& context);
  void sendResultPages(const RequestContext& context);
  void sendResponse(std::int32_t sequenceId, std::string frame);
  void recordUnwritten(std::int32_t sequenceId);
  void sendRejection(std::int32_t sequenceId, Duration retryAfter);

  transport::TimePoint now() const { return environment_.scheduler.now(); }

  ClientSessionEnvironment& environment_;
  transport::Connection connection_;
  ClientSessionList::Position position_;
  State state_ = State::reading;
  // Set by the listener. Separate from the state, because a backed-up session can be requested to close, too.
  bool closeRequested_ = false;
  std::unordered_map<std::int32_t, RequestContext*>
      openRequests_;  // By sequence number; owned by the router.
  ReceivedMessageQueue receivedMessages_;
  UnwrittenResponses unwrittenResponses_;
  std::optional<transport::TimePoint> backedUpSince_;
  std::optional<transport::TimePoint> inputFullSince_;  // While backed up.
  // Earliest arrival of the input after that which was read completely for the last time.
  std::optional<transport::TimePoint> undrainedSince_;
  transport::TimePoint currentArrivedAt_{};  // Earliest arrival of the message that is being handled.
  // When the session started, the last message or the first byte of a partial one arrived, or the last
  // response was ready.
  transport::TimePoint lastActivityAt_{};
  bool hasPartialMessage_ = false;
  bool isKnownClient_ = false;  // It has sent a valid heartbeat or request.
  int consecutiveInvalidRequests_ = 0;
  // Fields of the request that is being handled, for the log; views into the input buffer.
  std::string_view currentRequestId_;
  std::string_view currentRequestClass_;
};

}  // namespace paddletrack::routing
