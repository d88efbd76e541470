#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "discovery/reconnect_schedule.hpp"
#include "routing/request_router.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Follows the change log: resumes after any cut where it was, and after what can't be read or is missing; if
// that comes again it starts afresh. Moved elsewhere, it keeps the session that tells until the new one has
// told as much as is known.
class EndpointWatcher {
 public:
  EndpointWatcher(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                  const transport::Address& listAddress, std::uint64_t lastKnownEvent, std::uint64_t seed,
                  RequestRouter& router, const Logger& logger,
                  const discovery::ReconnectOptions& options = {});

  // Followed there soon, where it is not spread at once; until then the old one is. Whether it is another
  // than was last asked for; back to the one that is still followed, and that one stays.
  bool switchTo(const transport::Address& listAddress);

  struct Status {
    std::uint64_t lastEventNumber = 0;  // of the last change that is known
    bool isWatching = false;            // a session is up and has told something
    bool isBehind = false;              // and it knows less than is known here
    std::uint64_t connectCount = 0;
    unsigned consecutiveFailures = 0;  // sessions in a row that told nothing
    std::optional<Duration> reconnectsIn{}, switchesIn{};
  };
  Status status() const;

 private:
  using SessionEnd = discovery::ReconnectSchedule::SessionEnd;
  void startWatching();
  transport::Task<> watch(std::uint64_t generation, transport::Address listAddress);
  transport::Task<> waitToReconnect();
  transport::Task<> switchAt(transport::TimePoint switchTime);
  transport::Task<SessionEnd> runSession(std::uint64_t generation, transport::Address listAddress);
  bool handleLine(std::string_view text, std::uint64_t generation);  // whether it told something
  void logError(ErrorKind kind, const transport::Address& listAddress, const std::string& message);

  transport::Scheduler& scheduler_;
  transport::OutputBudget& outputBudget_;
  transport::Address listAddress_;
  std::uint64_t lastEventNumber_;
  RequestRouter& router_;
  const Logger& logger_;
  discovery::ReconnectSchedule reconnectSchedule_;
  std::uint64_t connectCount_ = 0;
  bool isWaiting_ = false, hasReceivedData_ = false, isBehind_ = false;  // this session, if any
  int consecutiveInvalidSessions_ = 0;  // sessions in a row that told what can't be used
  std::optional<transport::Address> nextListAddress_;
  transport::TimePoint switchAt_{};
  std::uint64_t generation_ = 0;  // counts up with each move: the one that is followed
  std::unique_ptr<transport::TaskGroup> currentWatch_;
  std::unique_ptr<transport::TaskGroup>
      previousWatch_;  // the session of the one before, until this one tells
  std::optional<transport::TaskGroup> pendingSwitch_;
};

}  // namespace paddletrack::routing
