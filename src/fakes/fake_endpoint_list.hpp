// Fake of the service that publishes the endpoint list and its changes.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Serves an endpoint list: a subscriber gets the events after the sequence number that it queries, further
/// events as they are published, and a heartbeat every second. `Behavior` scripts faults. The times of all
/// queries are recorded.
class FakeEndpointList {
 public:
  /// Listens on `address` immediately. The scheduler and the memory budget must outlive the list.
  FakeEndpointList(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                   const transport::Address& address);

  struct Endpoint {
    std::string id;
    std::string address;
    std::string state = "active";
    std::string zone = "hall";
    std::string machineType = "std-8";
    std::int64_t startedAtMs = 0;
    std::vector<std::string> addresses{};  ///< Omitted from the event if empty.
  };
  /// Formats one event as a line of JSON, without a line feed.
  static std::string formatEvent(std::uint64_t sequence, bool isSnapshot,
                                 const std::vector<Endpoint>& servers);
  /// Appends an event and sends it to all subscribers.
  void publish(const std::vector<Endpoint>& servers, bool isSnapshot = false);
  /// While silent, the list sends nothing to subscribers or new sessions. Sessions that queried during the
  /// silence are closed when it ends.
  void setSilent(bool isSilent) { silent_ = isSilent; }
  /// From now on all that the list writes arrives this much later, in order and whole.
  void setLateness(std::chrono::milliseconds lateness) { lateness_ = lateness; }
  /// Sends `bytes` unchanged to all subscribers.
  void sendRaw(const std::string& bytes);
  std::uint64_t lastSequence() const { return events_.size(); }
  std::size_t subscriberCount() const { return subscribers_.size(); }
  /// Formats all events so far as the JSON of the field `known` in a controller's configuration.
  std::string eventsAsJson() const;

  struct Behavior {
    /// Time to prepare one answer; answers are prepared one at a time.
    std::chrono::milliseconds answerDuration{0};
    unsigned refusalsPerTen = 0;  ///< Of ten connections, the number closed immediately after accept.
    /// The connection ends after this many bytes of an answer; 0: never.
    std::size_t truncateAfterBytes = 0;
    std::optional<std::uint64_t> lastVisibleSequence{};  ///< Acts as a stale copy that lacks later events.
    bool silentAfterAnswer = false;   ///< Sends neither events nor heartbeats after the answer.
    unsigned unansweredSessions = 0;  ///< Number of further sessions that are sent nothing.
    std::string replacementAnswer{};  ///< Sent in place of the answer; the session does not subscribe.
    /// Interval between the bytes of the replacement; 0: sent at once.
    std::chrono::milliseconds byteInterval{0};
  };
  Behavior behavior;
  /// Stops listening and ends all connections.
  void close();
  /// Listens again after close().
  void open();
  bool isOpen() const { return listener_.has_value(); }

  std::vector<transport::TimePoint> acceptTimes;         ///< One time for each connection.
  std::vector<transport::TimePoint> queryTimes;          ///< One time for each "since" query.
  std::vector<transport::TimePoint> snapshotQueryTimes;  ///< Queries for the complete list (since 0).

 private:
  transport::Task<> acceptConnections();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> descriptor);
  transport::Task<std::optional<std::size_t>> receiveQuery(transport::Connection& connection);
  transport::Task<bool> waitWhileSilent(transport::Connection& connection);
  transport::Task<bool> sendAnswer(transport::Connection& connection, std::size_t since);
  void sendLine(transport::Connection& connection, const std::string& lines);
  transport::Task<> sendLate(std::uint64_t connectionNumber, std::string lines);
  transport::Task<> serveSubscriber(transport::Connection& connection);
  transport::Task<> serveReplacement(transport::Connection& connection, const std::string& replacement);
  std::uint64_t visibleEventCount() const {
    return std::min<std::uint64_t>(behavior.lastVisibleSequence.value_or(lastSequence()), lastSequence());
  }

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  const transport::Address address_;
  std::optional<transport::Listener> listener_;
  std::vector<std::string> events_;  // Sequence numbers start at 1.
  std::list<transport::Connection*> subscribers_;
  bool silent_ = false;
  std::chrono::milliseconds lateness_{0};
  std::map<std::uint64_t, transport::Connection*> openConnections_;  // By number, which is used once.
  transport::TimePoint nextAnswerAt_{};  // When all answers queued so far are prepared.
  std::uint64_t connectionCount_ = 0;
  std::optional<transport::TaskGroup> acceptTasks_;
  std::optional<transport::TaskGroup> sessionTasks_;
};

}  // namespace paddletrack::fakes
