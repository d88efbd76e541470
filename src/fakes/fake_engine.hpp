// Fake query engine that implements the engine protocol and answers according to scripts.
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
  unresponsive,     ///< Accepts connections but does not read from them.
  resetOnAccept,    ///< Closes each connection immediately after accepting it.
  resetOnAsk,       ///< Closes the connection when an ASK command arrives, without executing the statement.
  partialAnswer,    ///< Executes the statement but sends only the beginning of the answer.
  duplicateAnswer,  ///< Sends a second answer with another page count a few milliseconds after the first.
};

/// Scripted handling of one statement.
struct Script {
  milliseconds duration{0};    ///< From the receipt of the statement to the answer.
  unsigned pageCount = 1;      ///< Number of pages of the result.
  std::string status = "200";  ///< 200, 500, 503 or 504.
  bool firstPageOnly = false;  ///< The pages after the first are never sent.
  /// Fault of this statement alone (one of the last three enumerators). With `none` the fault of the address
  /// applies.
  FakeEngineFault fault = FakeEngineFault::none;
};

/// Parses the script in the comment of a statement, for example:
/// "select 1 /* ms=200 pages=3 answer=503 half */".
Script parseScript(std::string_view statement);

/// Answers each statement according to the script in its comment or set by the test, and records the commands
/// that it receives.
class FakeEngine {
 public:
  /// Listens on `address` at once. The scheduler and the memory budget must outlive the engine.
  FakeEngine(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
             const transport::Address& address);

  /// Also listens on `address`. Returns the index of the address; the constructor's address has the index 0.
  std::size_t addAddress(const transport::Address& address);
  using Fault = FakeEngineFault;
  /// Sets the fault of one address. `unresponsive` and `resetOnAccept` also end the connections to that
  /// address.
  void setFault(std::size_t addressIndex, Fault fault);
  /// Stops listening on one address and ends the connections to it.
  void closeAddress(std::size_t addressIndex);

  /// Called with the parsed script of each statement, which it may change, if set.
  std::function<void(Script&, const std::string& id)> overrideScript;
  std::vector<transport::TimePoint> acceptTimes;  ///< One time for each connection.
  /// One time for each ASK command, except those reset by `resetOnAsk`.
  std::vector<transport::TimePoint> askTimes;
  /// Handles every command in place of the engine, if set. The commands are then recorded in
  /// `receivedCommands`, `noopCount` and `connections`.
  using CommandHandler = std::function<void(FakeEngine&, transport::Connection&, const std::string& command,
                                            const std::string& id)>;
  CommandHandler onCommand;
  std::string receivedCommands;
  int noopCount = 0;
  /// Connections in the order in which they were accepted. Ended connections are not removed, so the pointers
  /// may dangle and serve only to compare identities.
  std::vector<const transport::Connection*> connections;
  static void sendReply(transport::Connection& connection,
                        std::initializer_list<std::string_view> bulkStrings);

  /// Cache of the most recently read table groups. A statement on a group that is not cached reads the group.
  struct CacheOptions {
    std::size_t capacity = 0;         ///< Maximum number of cached groups; 0: every group is always cached.
    std::uint64_t bytesPerGroup = 0;  ///< Bytes read on each miss.
    milliseconds missPenalty{0};      ///< Added to the duration of the statement on each miss.
  };
  void configureCache(const CacheOptions& cacheOptions) {
    cacheOptions_ = cacheOptions;
    cachedGroups_.clear();
  }
  std::uint64_t bytesRead() const { return bytesRead_; }

  /// Number of statements that are neither answered completely, cancelled nor disconnected.
  std::size_t openAskCount() const { return openStatements_.size(); }
  std::uint64_t askCount() const { return askCount_; }
  std::uint64_t executionCount() const { return executionCount_; }
  unsigned executionCount(const std::string& id) const {
    const auto entry = executionsById_.find(id);
    return entry == executionsById_.end() ? 0 : entry->second;
  }
  /// Number of ids whose statement was executed to completion more than once.
  std::uint64_t duplicateExecutionCount() const { return duplicateExecutionCount_; }
  std::uint64_t askCountAt(std::size_t addressIndex) const {
    return listenAddresses_[addressIndex]->askCount;
  }
  /// Ends every connection, as if the process had died. The engine continues to listen.
  void disconnect();
  enum class ConnectionFilter { all, idle, withAttempt };
  /// Ends all connections, those on which no statement is open, or the one that carries `attempt`.
  /// `withReset` sends a TCP reset even if no input is unread.
  void disconnect(ConnectionFilter filter, bool withReset, std::uint64_t attempt = 0);
  /// Appends the engine's events to `events`, with `engineNumber` as their engine. `events` must outlive the
  /// engine.
  void recordTo(EventLog& events, std::size_t engineNumber) {
    eventLog_ = &events;
    engineNumber_ = engineNumber;
  }

 private:
  class Session;
  struct ListenAddress {
    ListenAddress(transport::Scheduler& scheduler, const transport::Address& address)
        : listener(std::in_place, scheduler, address),
          acceptTasks(std::in_place, scheduler, [](const char*) {}) {}
    std::optional<transport::Listener> listener;
    Fault fault = Fault::none;
    std::uint64_t askCount = 0;
    std::optional<transport::TaskGroup> acceptTasks;  // Destroyed before the listener.
  };
  // Marks the group as most recently used. Returns whether it was cached.
  bool touchCachedGroup(std::uint32_t group);
  transport::Task<> acceptConnections(ListenAddress& listenAddress);
  transport::Task<> serve(ListenAddress& listenAddress, std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  EventLog* eventLog_ = nullptr;
  std::size_t engineNumber_ = 0;
  std::vector<std::unique_ptr<ListenAddress>> listenAddresses_;
  std::set<Session*> sessions_;
  std::set<std::pair<const Session*, std::string>> openStatements_;
  std::map<std::string, unsigned> executionsById_;
  CacheOptions cacheOptions_;
  std::list<std::uint32_t> cachedGroups_;  // Most recently used first.
  std::uint64_t bytesRead_ = 0;
  std::uint64_t askCount_ = 0;
  std::uint64_t executionCount_ = 0;
  std::uint64_t duplicateExecutionCount_ = 0;
  transport::TaskGroup sessionTasks_;
};

}  // namespace paddletrack::fakes
