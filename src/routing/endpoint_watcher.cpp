#include "routing/endpoint_watcher.hpp"

#include <algorithm>
#include <cstring>
#include <exception>
#include <utility>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {
namespace {

using std::chrono::milliseconds;

// A snapshot is one line: at most a thousand bytes for each of a thousand engines.
constexpr std::size_t kInitialInputBytes = 8 * 1024, kMaxInputBytes = 1024 * 1024;
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kUnreachableCheckInterval{100};
constexpr std::size_t kMaxEarlierWatches = 2;  // Each holds a descriptor.
// A change counts as visible to all controllers this long after it was made, whether or not it was received.
constexpr milliseconds kVisibilityLimit{7000};
// A list whose lines are late by less than the visibility limit delivers the next one within this time.
constexpr milliseconds kSlowSessionTimeout = kVisibilityLimit + milliseconds{1500};
constexpr int kMaxInvalidSessions = 3;  // After these in a row, a gap in the event numbers is accepted.

std::string describeEndpointList(const transport::Address& listAddress) {
  return "endpoint list at " + listAddress.text();
}

}  // namespace

EndpointWatcher::EndpointWatcher(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                                 const transport::Address& listAddress, std::uint64_t lastKnownEvent,
                                 std::uint64_t seed, RequestRouter& router, const Logger& logger,
                                 const discovery::ReconnectOptions& options)
    : scheduler_(scheduler),
      memoryBudget_(memoryBudget),
      listAddress_(listAddress),
      lastEventNumber_(lastKnownEvent),
      router_(router),
      logger_(logger),
      reconnectSchedule_(options, router.isReady(), seed, router.now()) {
  startWatching();
}

void EndpointWatcher::logError(ErrorKind kind, const transport::Address& listAddress,
                               const std::string& message) {
  logger_.warning("changelog", Error(kind, describeEndpointList(listAddress), message));
}

void EndpointWatcher::startWatching() {
  currentWatch_ = std::make_unique<transport::TaskGroup>(
      scheduler_, [this](const char* message) { logError(ErrorKind::unexpected, listAddress_, message); });
  generation_ = ++lastGeneration_;
  currentWatch_->spawn(watch(generation_, listAddress_));
}

// Schedules the next connect after the current session has ended or fallen silent.
void EndpointWatcher::endWatch(SessionEnd sessionEnd) {
  reconnectSchedule_.onSessionEnded(router_.now(), hasReceivedData_ ? SessionEnd::receivedData : sessionEnd,
                                    router_.isReady());
  hasReceivedData_ = false;
  router_.onDiscoveryFailed();
}

// Called by the current session when it is silent. If the list is only slow, ending the session would discard
// the lines that are under way. Returns whether a new watch was started beside it.
bool EndpointWatcher::continueBesideNewWatch() {
  std::erase_if(earlierWatches_, [](const EarlierWatch& watch) { return watch.tasks->size() == 0; });
  if (earlierWatches_.size() >= kMaxEarlierWatches) return false;
  endWatch(SessionEnd::unresponsive);
  earlierWatches_.push_back({generation_, true, std::move(currentWatch_)});
  startWatching();
  return true;
}

EndpointWatcher::EarlierWatch* EndpointWatcher::findEarlierWatch(std::uint64_t generation) {
  const auto found = std::find_if(earlierWatches_.begin(), earlierWatches_.end(),
                                  [&](const EarlierWatch& watch) { return watch.generation == generation; });
  return found == earlierWatches_.end() ? nullptr : &*found;
}

// The watch has delivered a line before the current one did, so the list is slow. All others of the same list
// end, so that a slow list is not asked again and again.
void EndpointWatcher::makeCurrent(EarlierWatch& watch) {
  generation_ = watch.generation;
  currentWatch_ = std::move(watch.tasks);
  std::erase_if(earlierWatches_, [](const EarlierWatch& earlierWatch) { return earlierWatch.isSameList; });
  hasReceivedData_ = isBehind_ = isWaiting_ = false;
}

Duration EndpointWatcher::silenceTimeout(std::uint64_t generation) {
  const EarlierWatch* const earlierWatch = findEarlierWatch(generation);
  return earlierWatch && earlierWatch->isSameList ? kSlowSessionTimeout : reconnectSchedule_.silenceTimeout();
}

// The new address may be temporarily or permanently unreachable, so a session that has received data
// continues until the new one has caught up. If it ends earlier, it is not restarted.
bool EndpointWatcher::switchTo(const transport::Address& listAddress) {
  if (listAddress == (nextListAddress_ ? *nextListAddress_ : listAddress_)) return false;
  if (listAddress == listAddress_) {
    pendingSwitch_.reset();
    nextListAddress_.reset();
    return true;
  }
  nextListAddress_ = listAddress;
  switchAt_ = scheduler_.now() +
              (reconnectSchedule_.scheduleSwitch(router_.now(), router_.isReady()) - router_.now());
  pendingSwitch_.emplace(scheduler_, [this](const char* message) { logger_.info("changelog", message); });
  pendingSwitch_->spawn(switchAt(switchAt_));
  return true;
}

transport::Task<> EndpointWatcher::switchAt(transport::TimePoint switchTime) {
  if (switchTime > scheduler_.now()) co_await scheduler_.sleepUntil(switchTime);
  listAddress_ = *nextListAddress_;
  nextListAddress_.reset();
  consecutiveInvalidSessions_ = 0;
  reconnectSchedule_.onSwitched(router_.now());
  // Silent sessions of the list that is left end; one of a list that was left before may go on.
  std::erase_if(earlierWatches_,
                [&](const EarlierWatch& watch) { return watch.isSameList || hasReceivedData_; });
  if (hasReceivedData_) earlierWatches_.push_back({generation_, false, std::move(currentWatch_)});
  hasReceivedData_ = isBehind_ = isWaiting_ = false;
  startWatching();
}

// During a long wait the known endpoints may become outdated. Unreachable engines indicate that and bring the
// next connect forward.
transport::Task<> EndpointWatcher::waitToReconnect() {
  isWaiting_ = true;
  for (Duration now = router_.now(); now < reconnectSchedule_.nextConnectAt(); now = router_.now()) {
    constexpr auto kUnreachable = static_cast<std::size_t>(AttemptOutcome::unreachable);
    const std::uint64_t unreachableBefore = router_.totals().attemptOutcomes[kUnreachable];
    co_await scheduler_.sleepUntil(
        scheduler_.now() +
        std::min<Duration>(reconnectSchedule_.nextConnectAt() - now, kUnreachableCheckInterval));
    if (router_.totals().attemptOutcomes[kUnreachable] > unreachableBefore)
      reconnectSchedule_.expediteReconnect(router_.now());
  }
  isWaiting_ = false;
}

transport::Task<> EndpointWatcher::watch(std::uint64_t generation, transport::Address listAddress) {
  for (;;) {
    co_await waitToReconnect();
    hasReceivedData_ = isBehind_ = false;
    ++connectCount_;
    SessionEnd sessionEnd = SessionEnd::refused;
    try {
      sessionEnd = co_await runSession(generation, listAddress);
    } catch (const protocol::ParseError& error) {
      logError(ErrorKind::discoveryProtocolError, listAddress,
               std::string(consecutiveInvalidSessions_ > 0 ? "reading from the start: " : "resuming: ") +
                   error.what());
      if (generation == generation_ && ++consecutiveInvalidSessions_ > 1) lastEventNumber_ = 0;
    } catch (const std::exception& error) {
      logger_.warning("changelog", toError(error, describeEndpointList(listAddress)));
    }
    if (generation != generation_) co_return;
    endWatch(sessionEnd);
  }
}

EndpointWatcher::Status EndpointWatcher::status() const {
  Status current{lastEventNumber_,
                 hasReceivedData_,
                 isBehind_,
                 connectCount_,
                 reconnectSchedule_.consecutiveFailures(),
                 {},
                 {}};
  if (isWaiting_)
    current.reconnectsIn = std::max(reconnectSchedule_.nextConnectAt() - router_.now(), Duration{0});
  if (nextListAddress_)
    current.switchesIn = std::chrono::duration_cast<Duration>(switchAt_ - scheduler_.now());
  return current;
}

transport::Task<EndpointWatcher::SessionEnd> EndpointWatcher::runSession(std::uint64_t generation,
                                                                         transport::Address listAddress) {
  PADDLETRACK_IF_FAIL_POINTS(setNextConnectRole("list"));
  transport::ConnectResult result =
      co_await transport::connect(scheduler_, listAddress, scheduler_.now() + kConnectTimeout);
  if (!result.descriptor) {
    logError(ErrorKind::discoveryUnreachable, listAddress,
             std::string("connect failed: ") + std::strerror(result.error));
    co_return SessionEnd::unreachable;
  }
  transport::Connection connection(scheduler_, std::move(result.descriptor), kInitialInputBytes,
                                   kMaxInputBytes, memoryBudget_);
  connection.send({BufferSlice(protocol::encodeSince(lastEventNumber_))});
  transport::InputBuffer& input = connection.input();
  // Only complete lines with content count: incomplete and empty lines do not extend the session. It ends
  // only after a read that found none of them past its deadline: after a stall of this process, the socket
  // may hold the lines of that time.
  transport::TimePoint lastDataAt = scheduler_.now();
  for (;;) {
    const transport::TimePoint deadline = lastDataAt + silenceTimeout(generation);
    const bool hasInput = co_await connection.receive(deadline);
    if (hasInput && handleLines(input, generation)) lastDataAt = scheduler_.now();
    if (input.isFull() || connection.readEnd() != transport::Connection::ReadEnd::none) break;
    if (scheduler_.now() < lastDataAt + silenceTimeout(generation)) continue;
    if (hasInput && scheduler_.isRecovering()) continue;
    if (generation != generation_ || !continueBesideNewWatch()) break;
    logSessionEnd(true, generation, listAddress);
  }
  if (input.isFull()) throw protocol::ParseError("line exceeds the size limit");
  const bool isSilent = connection.readEnd() == transport::Connection::ReadEnd::none;
  logSessionEnd(isSilent, generation, listAddress);
  co_return isSilent && !hasReceivedData_ ? SessionEnd::unresponsive : SessionEnd::refused;
}

// Handles the complete lines of the input. Returns whether one of them had content.
bool EndpointWatcher::handleLines(transport::InputBuffer& input, std::uint64_t generation) {
  bool hadContent = false;
  for (std::size_t lineEnd = input.view().find('\n'); lineEnd != std::string_view::npos;
       lineEnd = input.view().find('\n')) {
    if (handleLine(input.view().substr(0, lineEnd), generation)) hadContent = true;
    input.consume(lineEnd + 1);
  }
  if (input.view().size() > 0) input.expectSize(input.view().size() * 2);
  return hadContent;
}

void EndpointWatcher::logSessionEnd(bool isSilent, std::uint64_t generation,
                                    const transport::Address& listAddress) {
  const EarlierWatch* const earlierWatch = findEarlierWatch(generation);
  std::string nextAction = "another endpoint list is being watched";
  if (generation == generation_) nextAction = "reconnecting";
  if (earlierWatch && earlierWatch->isSameList) nextAction = "reconnecting beside it";
  if (isSilent)
    logError(ErrorKind::discoveryStalled, listAddress, "silent: " + nextAction);
  else
    logError(ErrorKind::discoveryInterrupted, listAddress, "connection closed: " + nextAction);
}

// Applies one line and returns whether it had content. Lines of a session from before the last switch are
// applied as long as they follow the last known event, but do not affect the state of the current session,
// which ends the previous one once it has caught up.
bool EndpointWatcher::handleLine(std::string_view text, std::uint64_t generation) {
  if (text.ends_with('\r')) text.remove_suffix(1);
  if (text.empty()) return false;
  const protocol::EndpointListLine parsedLine = protocol::parseEndpointListLine(text);
  const bool isNew = parsedLine.sequence > lastEventNumber_;
  if (isNew) checkApplicable(parsedLine, generation == generation_);
  EarlierWatch* const earlierWatch = findEarlierWatch(generation);
  if (earlierWatch && earlierWatch->isSameList && !hasReceivedData_) makeCurrent(*earlierWatch);
  const bool isCurrent = generation == generation_;
  if (isCurrent) {
    reconnectSchedule_.onSessionData();
    hasReceivedData_ = true;
  }
  if (isCurrent) warnIfBehind(parsedLine);
  if (isNew) {
    if (parsedLine.event) router_.onEndpointUpdate(*parsedLine.event);
    // Updated only after the event is applied, so that a failed event is requested again.
    lastEventNumber_ = parsedLine.sequence;
  } else if (isCurrent && parsedLine.sequence == lastEventNumber_ && !parsedLine.event) {
    consecutiveInvalidSessions_ = 0;
  }
  if (isCurrent && parsedLine.sequence == lastEventNumber_) earlierWatches_.clear();
  return true;
}

// Throws protocol::ParseError if events before the new line are missing, because one of them could be the
// removal of an engine. A gap that persists when the list is read from the start is a gap in the numbering,
// not missing events, and is accepted.
void EndpointWatcher::checkApplicable(const protocol::EndpointListLine& line, bool isCurrent) const {
  const bool isFirst = lastEventNumber_ == 0 && isCurrent;
  const bool isNext = line.sequence == lastEventNumber_ + 1;
  if (line.event && (isNext || isFirst || line.event->isSnapshot)) return;
  if (isCurrent && consecutiveInvalidSessions_ >= kMaxInvalidSessions) return;
  throw protocol::ParseError("expected event " + std::to_string(lastEventNumber_ + 1) + ", found event " +
                             std::to_string(line.sequence));
}

// Warns once per session that the list ends before the last known event.
void EndpointWatcher::warnIfBehind(const protocol::EndpointListLine& line) {
  if (line.event || line.sequence >= lastEventNumber_ || isBehind_) return;
  isBehind_ = true;
  logger_.warning("changelog", "outdated endpoint list: last event " + std::to_string(line.sequence) + ", " +
                                   std::to_string(lastEventNumber_) +
                                   " is already known; keeping the known endpoints");
}

}  // namespace paddletrack::routing
