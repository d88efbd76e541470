// A scripted executor: it answers as a job's own statement or its test says, and keeps books of all it was
// sent.
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
  unresponsive,     // accepts, reads nothing
  resetOnAccept,    // ends each connection as soon as it has accepted it
  resetOnAsk,       // ends the connection when an ask has come whole, before it runs
  partialAnswer,    // runs, writes the half of its answer, and nothing more
  duplicateAnswer,  // says each answer again some milliseconds later, with another page count
};

// What becomes of one statement: "select 1 /* ms=200 pages=3 answer=503 */". Words: `ms` until the answer,
// `pages` in all, `answer` (200, 500, 503, 504), `half` (the first page comes, no other).
struct Script {
  milliseconds duration{0};
  unsigned pageCount = 1;
  std::string status = "200";
  bool firstPageOnly = false;
  FakeEngineFault fault = FakeEngineFault::none;  // of this ask alone, else that of its place: the last three
};
Script parseScript(std::string_view statement);

class FakeEngine {
 public:
  FakeEngine(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
             const transport::Address& address);

  // Further addresses of the same engine; places are numbered from 0, the first is the constructor's.
  std::size_t addAddress(const transport::Address& address);
  using Fault = FakeEngineFault;
  void setFault(std::size_t listening, Fault fault);
  void closeAddress(std::size_t listening);  // listens there no longer, and ends what is connected there

  // Said by a test over what statements say.
  std::function<void(Script&, const std::string& id)> overrideScript;
  std::vector<transport::TimePoint> acceptTimes, askTimes;  // each connection, each ask, as they came
  // A test's own way with every command, in place of all else; what came is then kept.
  using CommandHandler = std::function<void(FakeEngine&, transport::Connection&, const std::string& word,
                                            const std::string& id)>;
  CommandHandler onCommand;
  std::string receivedCommands;
  int noopCount = 0;
  std::vector<const transport::Connection*> connections;  // to be told apart by; not all of them still are
  static void sendReply(transport::Connection& connection, std::initializer_list<std::string_view> words);

  // Groups of tables that it keeps warm, the latest read; another is read anew, which takes longer.
  struct CacheOptions {
    std::size_t capacity = 0;         // 0: all are warm
    std::uint64_t bytesPerGroup = 0;  // of each
    milliseconds missPenalty{0};      // that a cold read takes longer
  };
  void configureCache(const CacheOptions& cacheOptions) {
    cacheOptions_ = cacheOptions, cachedGroups_.clear();
  }
  std::uint64_t bytesRead() const { return bytesRead_; }

  std::size_t openAskCount() const {
    return openAsks_.size();
  }  // asks that are neither answered, quit, nor cut off
  std::uint64_t askCount() const { return askCount_; }
  std::uint64_t runCount() const { return runCount_; }
  unsigned runCount(const std::string& id) const {
    const auto entry = runsById_.find(id);
    return entry == runsById_.end() ? 0 : entry->second;
  }
  std::uint64_t duplicateRunCount() const {
    return duplicateRunCount_;
  }  // ids whose work came to its end more than once
  std::uint64_t askCountAt(std::size_t listening) const { return listenings_[listening]->askCount; }
  void disconnect();  // every connection, as a process that dies; it listens on
  enum class ConnectionFilter { all, idle, withAttempt };
  // As cut, of those on which nothing is open, or of the one that has the attempt; `resets` closes them with
  // a reset also where nothing is unread.
  void disconnect(ConnectionFilter filter, bool withReset, std::uint64_t attempt = 0);
  void recordTo(EventLog& events, std::size_t engineNumber) {
    eventLog_ = &events, engineNumber_ = engineNumber;
  }  // under this number

 private:
  class Session;
  struct Listening {
    Listening(transport::Scheduler& scheduler, const transport::Address& address)
        : listener(std::in_place, scheduler, address),
          acceptTasks(std::in_place, scheduler, [](const char*) {}) {}
    std::optional<transport::Listener> listener;
    Fault fault = Fault::none;
    std::uint64_t askCount = 0;
    std::optional<transport::TaskGroup> acceptTasks;  // goes before its listener
  };
  bool touchCachedGroup(std::uint32_t group);  // whether it was warm
  transport::Task<> acceptConnections(Listening& listening);
  transport::Task<> serve(Listening& listening, std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  EventLog* eventLog_ = nullptr;
  std::size_t engineNumber_ = 0;
  std::vector<std::unique_ptr<Listening>> listenings_;
  std::set<Session*> sessions_;
  std::set<std::pair<const Session*, std::string>> openAsks_;
  std::map<std::string, unsigned> runsById_;  // that it ran, by id
  CacheOptions cacheOptions_;
  std::list<std::uint32_t> cachedGroups_;  // the latest first
  std::uint64_t bytesRead_ = 0;
  std::uint64_t askCount_ = 0, runCount_ = 0, duplicateRunCount_ = 0;
  transport::TaskGroup sessionTasks_;
};

}  // namespace paddletrack::fakes
