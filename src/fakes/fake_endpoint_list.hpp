// A change log: it tells a list of executors and what changes in it, and beats each second. It may also be
// told to do badly, and counts what it is asked.
#pragma once

#include <list>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::fakes {

class FakeEndpointList {
 public:
  FakeEndpointList(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                   const transport::Address& address);

  struct Endpoint {
    std::string id, address, state = "active", zone = "hall", machineType = "std-8";
    std::int64_t startedAtMs = 0;
    std::vector<std::string> addresses{};  // addresses
  };
  static std::string formatEvent(std::uint64_t sequence, bool isSnapshot,
                                 const std::vector<Endpoint>& servers);
  void publish(const std::vector<Endpoint>& servers, bool isSnapshot = false);
  // Says nothing more, also to those that come anew, until it is told to; who came meanwhile is then cut off.
  void setSilent(bool isSilent) { silent_ = isSilent; }
  void sendRaw(const std::string& bytes);  // as they are, to all that are being told
  std::uint64_t lastSequence() const { return events_.size(); }
  std::size_t subscriberCount() const { return subscribers_.size(); }  // that are being told
  std::string eventsAsJson() const;  // all events so far, as a controller's configuration holds them

  struct Behavior {
    std::chrono::milliseconds answerDuration{0};  // one answer takes so long, and only one is made at a time
    unsigned refusalsPerTen = 0;                  // of ten connections: ended as soon as they are accepted
    std::size_t truncateAfterBytes = 0;  // bytes of an answer, then the connection ends; 0: none is cut
    std::optional<std::uint64_t> lastVisibleSequence{};  // an old copy: it knows of nothing after this number
    bool silentAfterAnswer = false;                      // after its answer it says nothing more
    unsigned unansweredSessions = 0;                     // so many of the next sessions are told not one byte
    std::string replacementAnswer{};  // all that the next sessions are told; what is told is not heard
    std::chrono::milliseconds byteInterval{0};  // its bytes come one by one, so far apart; 0: all at once
  };
  Behavior behavior;
  void close();  // down: listens no longer, all its connections end
  void open();   // up again
  bool isOpen() const { return listener_.has_value(); }

  // When each connection came, each "since", and each of these that asked for all of the list.
  std::vector<transport::TimePoint> acceptTimes, queryTimes, snapshotQueryTimes;

 private:
  transport::Task<> acceptConnections();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> descriptor);
  transport::Task<> serveReplacement(transport::Connection& connection, const std::string& replacement);
  std::uint64_t visibleEventCount() const {
    return std::min<std::uint64_t>(behavior.lastVisibleSequence.value_or(lastSequence()), lastSequence());
  }

  transport::Scheduler& scheduler_;
  transport::OutputBudget& unsent_;
  const transport::Address address_;
  std::optional<transport::Listener> listener_;
  std::vector<std::string> events_;  // from number 1 on
  std::list<transport::Connection*> subscribers_;
  bool silent_ = false;
  transport::TimePoint nextAnswerAt_{};  // the next answer is begun then
  std::uint64_t connectionCount_ = 0;    // of connections
  std::optional<transport::TaskGroup> acceptTasks_, sessionTasks_;
};

}  // namespace paddletrack::fakes
