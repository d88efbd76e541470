// Fake of the service that publishes the list of engines and its changes (the change log).
#pragma once

#include <list>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Serves a list of engines: a subscriber gets the events after the number it names, further events as they
/// are published, and a heartbeat each second. Faults can be scripted (`Behavior`), and all queries are
/// recorded.
class FakeEndpointList {
 public:
  /// Listens on `address` at once.
  FakeEndpointList(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                   const transport::Address& address);

  struct Endpoint {
    std::string id;
    std::string address;
    std::string state = "active";
    std::string zone = "hall";
    std::string machineType = "std-8";
    std::int64_t startedAtMs = 0;
    std::vector<std::string> addresses{};  ///< Left out of the event if it is empty.
  };
  /// The JSON line of one event.
  static std::string formatEvent(std::uint64_t sequence, bool isSnapshot,
                                 const std::vector<Endpoint>& servers);
  /// Appends an event and sends it to all subscribers.
  void publish(const std::vector<Endpoint>& servers, bool isSnapshot = false);
  /// While silent, neither subscribers nor new sessions get a byte. Sessions that queried meanwhile are
  /// closed when it ends.
  void setSilent(bool isSilent) { silent_ = isSilent; }
  /// Sends `bytes` unchanged to all subscribers.
  void sendRaw(const std::string& bytes);
  std::uint64_t lastSequence() const { return events_.size(); }
  std::size_t subscriberCount() const { return subscribers_.size(); }
  /// All events so far, in the form in which a controller's configuration holds them.
  std::string eventsAsJson() const;

  struct Behavior {
    std::chrono::milliseconds answerDuration{0};  ///< Time to make one answer; answers are made in sequence.
    unsigned refusalsPerTen = 0;         ///< Connections out of ten that are closed as soon as accepted.
    std::size_t truncateAfterBytes = 0;  ///< The connection ends after this part of an answer; 0: never.
    std::optional<std::uint64_t> lastVisibleSequence{};  ///< A stale copy: later events are not served.
    bool silentAfterAnswer = false;                      ///< Sends nothing after the answer.
    unsigned unansweredSessions = 0;                     ///< Count of coming sessions that get no byte.
    std::string replacementAnswer{};  ///< Sent in place of the answer; the session stays no subscriber.
    std::chrono::milliseconds byteInterval{0};  ///< Interval between its bytes; 0: sent at once.
  };
  Behavior behavior;
  /// Stops listening and ends all connections.
  void close();
  /// Listens again.
  void open();
  bool isOpen() const { return listener_.has_value(); }

  std::vector<transport::TimePoint> acceptTimes;         ///< One for each connection.
  std::vector<transport::TimePoint> queryTimes;          ///< One for each "since" command.
  std::vector<transport::TimePoint> snapshotQueryTimes;  ///< Those that asked for the complete list.

 private:
  transport::Task<> acceptConnections();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> descriptor);
  transport::Task<std::optional<std::size_t>> receiveQuery(transport::Connection& connection);
  transport::Task<bool> waitWhileSilent(transport::Connection& connection);
  transport::Task<bool> sendAnswer(transport::Connection& connection, std::size_t since);
  transport::Task<> serveSubscriber(transport::Connection& connection);
  transport::Task<> serveReplacement(transport::Connection& connection, const std::string& replacement);
  std::uint64_t visibleEventCount() const {
    return std::min<std::uint64_t>(behavior.lastVisibleSequence.value_or(lastSequence()), lastSequence());
  }

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  const transport::Address address_;
  std::optional<transport::Listener> listener_;
  std::vector<std::string> events_;  // Sequence numbers start at 1.
  std::list<transport::Connection*> subscribers_;
  bool silent_ = false;
  transport::TimePoint nextAnswerAt_{};  // When the answers begun so far are finished.
  std::uint64_t connectionCount_ = 0;
  std::optional<transport::TaskGroup> acceptTasks_;
  std::optional<transport::TaskGroup> sessionTasks_;
};

}  // namespace paddletrack::fakes
