// Fake of a query engine that speaks the engine protocol and follows scripts.
#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/event_log.hpp"
#include "transport/connection.hpp"

namespace paddletrack::fakes {

using std::chrono::milliseconds;

enum class FakeEngineFault {
  none,
  unresponsive,     ///< Accepts connections and reads nothing.
  resetOnAccept,    ///< Ends each connection as soon as it is accepted.
  resetOnAsk,       ///< Ends the connection when an ASK command has been received, before it is executed.
  partialAnswer,    ///< Executes the statement and sends only the beginning of the answer.
  duplicateAnswer,  ///< Repeats each answer some milliseconds later with another page count.
};

/// How the engine treats one statement.
struct Script {
  milliseconds duration{0};    ///< Until the answer.
  unsigned pageCount = 1;      ///< Pages of the result.
  std::string status = "200";  ///< 200, 500, 503 or 504.
  bool firstPageOnly = false;  ///< The pages after the first are never sent.
  /// A fault of this statement alone (one of the last three); `none` means the fault of its address.
  FakeEngineFault fault = FakeEngineFault::none;
};

/// Reads the script from the comment of a statement: "select 1 /* ms=200 pages=3 answer=503 half */".
Script parseScript(std::string_view statement);

/// An engine that answers as the comment of a statement or its test says, and records what it was sent.
class FakeEngine {
 public:
  /// Listens on `address` at once. The scheduler and the output budget must outlive the engine.
  FakeEngine(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
             const transport::Address& address);

  /// Listens on a further address too. Returns its index; the constructor's address has the index 0.
  std::size_t addAddress(const transport::Address& address);
  using Fault = FakeEngineFault;
  /// Sets the fault of one address. A fault that affects accepting also ends the connections to that address.
  void setFault(std::size_t listening, Fault fault);
  /// Stops listening on one address and ends the connections to it.
  void closeAddress(std::size_t listening);

  /// Lets a test change the script of a statement after it was read, if set.
  std::function<void(Script&, const std::string& id)> overrideScript;
  std::vector<transport::TimePoint> acceptTimes;  ///< One for each connection.
  std::vector<transport::TimePoint> askTimes;     ///< One for each ASK command.
  /// Handles every command in place of the engine, if set. The commands are then recorded in
  /// `receivedCommands`, `noopCount` and `connections`.
  using CommandHandler = std::function<void(FakeEngine&, transport::Connection&, const std::string& word,
                                            const std::string& id)>;
  CommandHandler onCommand;
  std::string receivedCommands;
  int noopCount = 0;
  /// Identifies connections by address only: those that have ended are not removed.
  std::vector<const transport::Connection*> connections;
  static void sendReply(transport::Connection& connection,
                        std::initializer_list<std::string_view> bulkStrings);

  /// The engine caches the groups of tables that were read last. A group that is not cached is read again.
  struct CacheOptions {
    std::size_t capacity = 0;         ///< Groups that fit; 0: every group is always cached.
    std::uint64_t bytesPerGroup = 0;  ///< Read on each miss.
    milliseconds missPenalty{0};      ///< Added to the duration on a miss.
  };
  void configureCache(const CacheOptions& cacheOptions) {
    cacheOptions_ = cacheOptions;
    cachedGroups_.clear();
  }
  std::uint64_t bytesRead() const { return bytesRead_; }

  /// Statements that are neither answered, cancelled nor disconnected.
  std::size_t openAskCount() const { return openAsks_.size(); }
  std::uint64_t askCount() const { return askCount_; }
  std::uint64_t executionCount() const { return runCount_; }
  unsigned executionCount(const std::string& id) const {
    const auto entry = runsById_.find(id);
    return entry == runsById_.end() ? 0 : entry->second;
  }
  /// Ids whose statement was executed to its end more than once.
  std::uint64_t duplicateExecutionCount() const { return duplicateRunCount_; }
  std::uint64_t askCountAt(std::size_t listening) const { return listenings_[listening]->askCount; }
  /// Ends every connection, as when the process dies. The engine keeps listening.
  void disconnect();
  enum class ConnectionFilter { all, idle, withAttempt };
  /// Ends all connections, those on which no statement is open, or the one that carries `attempt`.
  /// `withReset` sends a TCP reset even if no input is unread.
  void disconnect(ConnectionFilter filter, bool withReset, std::uint64_t attempt = 0);
  /// Appends the engine's events to `events`, which must outlive it, under this number.
  void recordTo(EventLog& events, std::size_t engineNumber) {
    eventLog_ = &events;
    engineNumber_ = engineNumber;
  }

 private:
  class Session;
  struct Listening {
    Listening(transport::Scheduler& scheduler, const transport::Address& address)
        : listener(std::in_place, scheduler, address),
          acceptTasks(std::in_place, scheduler, [](const char*) {}) {}
    std::optional<transport::Listener> listener;
    Fault fault = Fault::none;
    std::uint64_t askCount = 0;
    std::optional<transport::TaskGroup> acceptTasks;  // Destroyed before the listener.
  };
  // Marks the group as read last. Returns whether it was cached.
  bool touchCachedGroup(std::uint32_t group);
  transport::Task<> acceptConnections(Listening& listening);
  transport::Task<> serve(Listening& listening, std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  EventLog* eventLog_ = nullptr;
  std::size_t engineNumber_ = 0;
  std::vector<std::unique_ptr<Listening>> listenings_;
  std::set<Session*> sessions_;
  std::set<std::pair<const Session*, std::string>> openAsks_;
  std::map<std::string, unsigned> runsById_;
  CacheOptions cacheOptions_;
  std::list<std::uint32_t> cachedGroups_;  // The one read last comes first.
  std::uint64_t bytesRead_ = 0;
  std::uint64_t askCount_ = 0;
  std::uint64_t runCount_ = 0;
  std::uint64_t duplicateRunCount_ = 0;
  transport::TaskGroup sessionTasks_;
};

}  // namespace paddletrack::fakes
