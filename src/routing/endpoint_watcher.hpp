/// @file
/// The connection to the service that publishes the endpoint list.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "discovery/reconnect_schedule.hpp"
#include "routing/request_router.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

/// Watches the endpoint list and passes its events to the router. After an interruption, an invalid line or a
/// gap it resumes after the last known event; after a second invalid session in a row it reads the list from
/// the start. After a switch to another address the previous session continues until the new one has caught
/// up with the last known event. A session that falls silent may only be slow: it continues beside a new one,
/// and the first of them that delivers a line becomes the current one. The references belong to the caller
/// and must outlive the watcher.
class EndpointWatcher {
 public:
  EndpointWatcher(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                  const transport::Address& listAddress, std::uint64_t lastKnownEvent, std::uint64_t seed,
                  RequestRouter& router, const Logger& logger,
                  const discovery::ReconnectOptions& options = {});

  /// Watches the list at another address, at once or after a delay that spreads the controllers' switches;
  /// the current list is watched until then. Returns whether the address differs from the last one requested.
  /// A switch back to the current address before the delay has passed cancels the switch.
  bool switchTo(const transport::Address& listAddress);

  struct Status {
    std::uint64_t lastEventNumber = 0;
    bool isWatching = false;  ///< A session is established and has received data.
    bool isBehind = false;    ///< That session's list ends before the last known event.
    std::uint64_t connectCount = 0;
    unsigned consecutiveFailures = 0;  ///< Sessions in a row that received no data.
    std::optional<Duration> reconnectsIn{}, switchesIn{};
  };
  Status status() const;

 private:
  using SessionEnd = discovery::ReconnectSchedule::SessionEnd;
  /// A watch whose session continues beside the current one.
  struct EarlierWatch {
    std::uint64_t generation = 0;
    bool isSameList = true;  ///< It was replaced because it was silent, not by a switch to another list.
    std::unique_ptr<transport::TaskGroup> tasks;
  };

  void startWatching();
  void endWatch(SessionEnd sessionEnd);
  bool continueBesideNewWatch();
  EarlierWatch* findEarlierWatch(std::uint64_t generation);
  void makeCurrent(EarlierWatch& watch);
  Duration silenceTimeout(std::uint64_t generation);
  transport::Task<> watch(std::uint64_t generation, transport::Address listAddress);
  transport::Task<> waitToReconnect();
  transport::Task<> switchAt(transport::TimePoint switchTime);
  transport::Task<SessionEnd> runSession(std::uint64_t generation, transport::Address listAddress);
  bool handleLines(transport::InputBuffer& input, std::uint64_t generation);
  bool handleLine(std::string_view text, std::uint64_t generation);
  void checkApplicable(const protocol::EndpointListLine& line, bool isCurrent) const;
  void warnIfBehind(const protocol::EndpointListLine& line);
  void logSessionEnd(bool isSilent, std::uint64_t generation, const transport::Address& listAddress);
  void logError(ErrorKind kind, const transport::Address& listAddress, const std::string& message);

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  transport::Address listAddress_;
  std::uint64_t lastEventNumber_;
  RequestRouter& router_;
  const Logger& logger_;
  discovery::ReconnectSchedule reconnectSchedule_;
  std::uint64_t connectCount_ = 0;
  bool isWaiting_ = false;        // Until the next connect.
  bool hasReceivedData_ = false;  // In the current session.
  bool isBehind_ = false;         // The current session's list ends before the last known event.
  int consecutiveInvalidSessions_ = 0;
  std::optional<transport::Address> nextListAddress_;
  transport::TimePoint switchAt_{};
  std::uint64_t generation_ = 0;  // Identifies the current watch.
  std::uint64_t lastGeneration_ = 0;
  std::unique_ptr<transport::TaskGroup> currentWatch_;
  std::vector<EarlierWatch> earlierWatches_;  // Until the current watch has caught up.
  std::optional<transport::TaskGroup> pendingSwitch_;
};

}  // namespace paddletrack::routing
