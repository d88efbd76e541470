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
  std::size_t maxFrameBytes = 0;  ///< Bytes of one message.
  /// Bytes of unwritten responses on a connection beyond which its next messages wait.
  std::size_t maxUnsentBytes = 0;
  /// A connection is closed when no complete message has come for this long, counted from its start or from a
  /// message's first byte.
  Duration messageTimeout{std::chrono::milliseconds(1500)};
  /// A connection of a known client is closed when it was idle for this long, which is longer than clients
  /// keep connections that they do not use.
  Duration idleTimeout{std::chrono::seconds(5)};
};

/// Why sessions ended and how many requests were not valid, for the log.
struct ClientCounts {
  std::uint64_t accepted = 0;
  std::uint64_t rejectedRequests = 0;
  std::uint64_t unreadable = 0;
  std::uint64_t incomplete = 0;
  std::uint64_t idle = 0;
  std::uint64_t evicted = 0;
};

/// What the sessions of one listener share. The listener owns it, and it outlives all sessions.
struct ClientSessionEnvironment {
  transport::Scheduler& scheduler;
  transport::OutputBudget& outputBudget;
  const ClientLimits limits;
  RequestRouter& router;
  const Logger& logger;
  ServiceGate* serviceGate = nullptr;
  ClientSessionList sessions;
  ClientCounts counts{};
  std::uint32_t lastRequestNumber = 0;
  bool isClosing = false;  ///< The listener is closing.
};

/// Reads the messages of one client's connection, hands its requests to the router and writes the responses.
///
/// A session is in one of these states:
///
///     reading ---> backedUp    the client does not read its responses, so its next message must wait
///     backedUp --> reading     the client has read some of them, or more input can be read meanwhile
///     reading ---> closing     a deadline passed, or the listener asked for the slot: one last read is made
///     closing ---> reading     the last read brought something
///     any -------> ended       the client has hung up, or the reason to close stands
///     ended -----> lingering   the connection is half-closed until the client has read what was written
///
/// Messages are parsed as soon as they are read, and handled in the order of their arrival. A revocation acts
/// on arrival, also on requests that are still queued. Requests that are open when the session ends are
/// reported to the router as requests whose client is gone.
class ClientSession final : private RequestContext::ResponseListener {
 public:
  /// Orders evictable sessions; the least one is missed least. That is one that had time to send a request
  /// and did not, then one that is idle. A connection that has just come is the last choice, else connections
  /// that stay for good would keep all new ones out.
  struct RetentionRank {
    bool isNewcomer = false;
    bool isKnownClient = false;
    transport::TimePoint lastActivityAt{};
    auto operator<=>(const RetentionRank&) const = default;
  };

  /// Adds itself to the environment's sessions and removes itself at its end.
  ClientSession(ClientSessionEnvironment& environment, std::unique_ptr<transport::Descriptor> acceptedSocket);
  ~ClientSession() override;
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  /// Serves the connection until it is to be closed. Throws protocol::ParseError if the client sends what
  /// cannot be answered. The task must not outlive the session.
  transport::Task<> run();

  /// Half-closes the connection and drops what still comes, after `run` is over. No response could reach the
  /// client for it. The task must not outlive the session.
  transport::Task<> linger();

  /// Asks the session to end after one last read; it stays if that read brings a message.
  void requestClose();
  /// Does `requestClose` if no request is open, queued or on its way.
  void closeIfIdle();
  void shutDown() { connection_.shutDown(); }

  std::size_t unsentBytes() const { return connection_.unsentBytes(); }
  /// Whether it may be closed to free a slot: no request is open and all responses are written.
  bool isEvictable() const;
  RetentionRank retentionRank() const;
  /// Whether the first message, or the rest of a message, is awaited and not late.
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

  // Messages on arrival.
  void queueReceivedMessages();
  void revokeOnArrival(const protocol::thrift::Message& message);
  bool isAwaitingMessage() const { return hasPartialMessage_ || !isKnownClient_; }
  bool isRecentlyActive() const;

  // Messages when their turn has come.
  void handlePayload(std::string_view payload);
  void handleMessage(const protocol::thrift::Message& message);
  void handleHeartbeat(const protocol::thrift::Message& message);
  void handleSubmit(const protocol::thrift::Message& message);
  void submitRequest(const protocol::thrift::Message& message);
  std::unique_ptr<RequestContext> createRequest(const protocol::thrift::Message& message);
  bool rejectIfUnavailable(std::int32_t sequenceId);
  bool canReportInvalidMessage(const protocol::thrift::Message& message);
  void reportInvalidMessage(const protocol::thrift::Message& message, const protocol::ParseError& error);

  // Open requests and their responses.
  void abandonRequest(std::int32_t sequenceId);
  void abandonAllRequests();
  void onResponseReady(RequestContext& context) override;
  void writeResponse(const RequestContext& context);
  void sendResultPages(const RequestContext& context);
  void sendResponse(std::int32_t sequenceId, std::string frame);
  void sendRejection(std::int32_t sequenceId, Duration retryAfter);

  transport::TimePoint now() const { return environment_.scheduler.now(); }

  ClientSessionEnvironment& environment_;
  transport::Connection connection_;
  ClientSessionList::Position position_;
  State state_ = State::reading;
  // Asked by the listener. Kept apart from the state, as a client that is backed up may be asked as well.
  bool closeRequested_ = false;
  std::unordered_map<std::int32_t, RequestContext*>
      openRequests_;  // By sequence number; owned by the router.
  ReceivedMessageQueue receivedMessages_;
  UnwrittenResponses unwrittenResponses_;
  std::optional<transport::TimePoint> backedUpSince_;
  std::optional<transport::TimePoint> inputFullSince_;  // While backed up.
  transport::TimePoint currentReceivedAt_{};            // Arrival of the message that is being handled.
  // When the session began, the last message or the first byte of an incomplete one came, or the last
  // response was given.
  transport::TimePoint lastActivityAt_{};
  bool hasPartialMessage_ = false;
  bool isKnownClient_ = false;  // It has sent a message that only clients send.
  int consecutiveInvalidRequests_ = 0;
  // As named by the request that is being handled, for the log. They lie in the input buffer.
  std::string_view currentRequestId_;
  std::string_view currentRequestClass_;
};

}  // namespace paddletrack::routing
