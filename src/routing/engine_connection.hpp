#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "addresses/address_table.hpp"
#include "base/logger.hpp"
#include "protocol/resp.hpp"
#include "routing/engine_address_book.hpp"
#include "routing/engine_endpoint.hpp"
#include "routing/request_context.hpp"
#include "transport/connection.hpp"
#include "transport/task.hpp"

namespace paddletrack::routing {

/// Receives the outcome of each attempt that ends without being recalled or abandoned. The calls come from
/// the scheduler loop, never from within a call on the connection pool.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void onAttemptFinished(AttemptContext& attemptContext, AttemptOutcome outcome) = 0;
};

/// The state shared by the connections of one pool. The pool owns it; it outlives all of its connections.
struct ConnectionContext {
  transport::Scheduler& scheduler;
  EngineAddressBook& addressBook;
  AttemptListener& attemptListener;
  const Logger& logger;
  const Duration connectTimeout;
  const Duration idleTimeout;
  const transport::MemoryBudget& memoryBudget;
  std::uint64_t faultedConnections = 0;  ///< Connections closed by this process for invalid or missing input.
};

/// A connected stream to one address of an engine.
struct ConnectedStream {
  std::unique_ptr<transport::Connection> stream;
  std::string addressName;
  Duration connectTime{0};
  bool hasInput = false;  ///< The engine has already answered a probe on it.
};

/// An attempt that was on a connection when it closed, and how to continue with it.
struct AttemptDisposition {
  AttemptContext* attemptContext = nullptr;
  addresses::Disposition disposition = addresses::Disposition::unreachable;
};

/// Whether an attempt may still be written at `now`. Since admission started it, its request may have
/// finished, its engine may have restarted or begun to drain, or its send deadline may have passed.
bool canSend(const AttemptContext& attemptContext, transport::TimePoint now);

/// One connection to one engine, from before its first connect attempt until it is closed. It writes
/// attempts, reads their responses and checks that the engine still answers.
///
/// The pool owns it and selects which attempts it carries. Attempts are not owned; each refers back to its
/// connection while it is queued or open there.
class EngineConnection {
 public:
  /// A connection retires when it must not get new attempts but still has some open. It may retire in each
  /// stage of its life, and the stage still matters to the pool, so each has a retiring counterpart.
  ///
  ///     connecting ------------> ready <------> suspect
  ///         |                      |               |
  ///         v                      v               v
  ///     retiringWhileConnecting -> retiring <-> retiringSuspect      all -> closed
  enum class State : std::uint8_t {
    connecting,               ///< No stream yet; attempts are queued.
    retiringWhileConnecting,  ///< The same, but no new attempts are accepted.
    ready,                    ///< The engine answers; attempts are written at once.
    suspect,                  ///< A ping was not answered in time; no new attempts until bytes arrive.
    retiring,                 ///< No new attempts; closes when none is open.
    retiringSuspect,          ///< The same, and a ping was not answered in time.
    closed,                   ///< Final; about to be destroyed by the pool.
  };

  /// The endpoint and the context must outlive the connection. Serial numbers increase with age: a connection
  /// with a lower one is older.
  EngineConnection(EngineEndpoint& endpoint, std::uint64_t serial, ConnectionContext& context)
      : endpoint_(endpoint),
        serial_(serial),
        context_(context),
        writeAfterRecoveryCall_(context.scheduler, [this] { writeAfterRecovery(); }) {}
  EngineConnection(const EngineConnection&) = delete;
  EngineConnection& operator=(const EngineConnection&) = delete;

  EngineEndpoint& endpoint() const { return endpoint_; }
  std::uint64_t serial() const { return serial_; }
  State state() const { return state_; }
  /// The address in use; empty until a connect attempt has succeeded.
  const std::string& addressName() const { return addressName_; }
  /// When an attempt was last written.
  transport::TimePoint lastUsedAt() const { return lastUsedAt_; }
  std::size_t attemptCount() const { return queuedAttempts_.size() + openAttempts_.size(); }
  bool isConnecting() const {
    return state_ == State::connecting || state_ == State::retiringWhileConnecting;
  }
  bool isSuspect() const { return state_ == State::suspect || state_ == State::retiringSuspect; }
  bool isRetiring() const;
  /// Whether one of the queued attempts belongs to a request that is not idempotent.
  bool hasQueuedNonIdempotentAttempt() const;
  /// Whether the connection may carry the attempt in addition to its present ones, up to `maxAttempts` in
  /// total.
  bool canCarry(const AttemptContext& attemptContext, std::size_t maxAttempts) const;

  /// Writes the attempt, or queues it while connecting. After a stall of this process it is queued until all
  /// input of that time has been read, because a part of it may show that the attempt must not be sent.
  void submit(AttemptContext& attemptContext);
  /// Withdraws the attempt and returns true if the engine has not received and cannot receive all of it;
  /// otherwise returns false.
  bool recall(AttemptContext& attemptContext);
  /// Detaches an open attempt and notifies the engine to drop it.
  void abandon(AttemptContext& attemptContext);
  /// Sends the current priority of the attempt's request if the engine has the attempt and no result yet.
  void updatePriority(const AttemptContext& attemptContext);
  /// Accepts no new attempts; closes at once if it is connected and has none.
  void retire();

  /// Takes ownership of the stream of the connect attempt that won. serve() must be awaited next.
  void onConnected(ConnectedStream connected);
  /// Carries attempts until the stream ends or is no longer usable. Throws protocol::ParseError on malformed
  /// input, and std::bad_alloc. The connection must outlive the task.
  transport::Task<> serve();
  /// Counts the connection as faulted: it is closed because of the connection, not the engine.
  void markFaulted();
  /// Enters the final state and detaches all attempts. Returns the disposition of each.
  std::vector<AttemptDisposition> close();
  /// Whether the stream ended, with attempts open, before the engine responded to any.
  bool wasResetEarly() const;

 private:
  enum class IdleAction : std::uint8_t { keep, close };

  void enterSuspectState();
  void leaveSuspectState();
  void writeAttempt(AttemptContext& attemptContext);
  void onEstablished();
  void writeAfterRecovery();
  void sendQueuedAttempts();
  void writeQueuedAttempts();
  void onBytesReceived();
  void shutDownDeadPeers();
  IdleAction onQuietPeriod();
  bool hasStalledWrite();
  void checkPing();
  bool isMessageOverdue() const;
  [[noreturn]] void failOverdueMessage();
  void readResponses();
  void announceMessage(std::size_t size);
  void onResponse(const protocol::resp::Answer& answer);
  void onFirstPage(AttemptContext& attemptContext, const protocol::resp::Answer& answer);
  void storePage(AttemptContext& attemptContext, const protocol::resp::Answer& answer);
  void dropResult(AttemptContext& attemptContext);
  void finishAttempt(AttemptContext& attemptContext, AttemptOutcome outcome);
  void recordOutcome(addresses::ConnectOutcome outcome, std::optional<Duration> connectTime = {});

  EngineEndpoint& endpoint_;
  const std::uint64_t serial_;
  ConnectionContext& context_;
  State state_ = State::connecting;
  bool hasFaulted_ = false;  ///< Not a state but the reason for closing; see markFaulted().
  std::unique_ptr<transport::Connection> stream_;
  std::string addressName_;
  Duration connectTime_{0};
  bool hasResponded_ = false;  ///< A response to an attempt was received.
  std::vector<AttemptContext*> queuedAttempts_;
  std::unordered_map<std::string, AttemptContext*> openAttempts_;  ///< By request id.
  transport::ScheduledCall writeAfterRecoveryCall_;
  transport::TimePoint lastUsedAt_;
  std::optional<std::uint64_t> stalledAtByte_;      ///< Bytes written when a write was last found stalled.
  std::optional<transport::TimePoint> pingSentAt_;  ///< Set while a ping is unanswered.
  std::optional<transport::TimePoint> partialMessageSince_;  ///< Set while a message is incomplete.
};

}  // namespace paddletrack::routing
