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
constexpr int kMaxInvalidSessions = 3;  // After these in a row, a gap in the event numbers is accepted.

std::string describeEndpointList(const transport::Address& listAddress) {
  return "the list at " + listAddress.text();
}

}  // namespace

EndpointWatcher::EndpointWatcher(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                                 const transport::Address& listAddress, std::uint64_t lastKnownEvent,
                                 std::uint64_t seed, RequestRouter& router, const Logger& logger,
                                 const discovery::ReconnectOptions& options)
    : scheduler_(scheduler),
      outputBudget_(outputBudget),
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
  currentWatch_->spawn(watch(++generation_, listAddress_));
}

// The new address may be unreachable, for a while or for good, so a session that has received data goes on
// until the new one has caught up. If it ends earlier it is not restarted.
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
  if (hasReceivedData_) previousWatch_ = std::move(currentWatch_);
  hasReceivedData_ = isBehind_ = isWaiting_ = false;
  startWatching();
}

// During a long wait the known list may become outdated. Engines that cannot be reached are a sign of that
// and bring the next connect forward.
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
      logError(
          ErrorKind::discoveryProtocolError, listAddress,
          std::string(consecutiveInvalidSessions_ > 0 ? "read afresh: " : "read again: ") + error.what());
      if (generation == generation_ && ++consecutiveInvalidSessions_ > 1) lastEventNumber_ = 0;
    } catch (const std::exception& error) {
      logger_.warning("changelog", toError(error, describeEndpointList(listAddress)));
    }
    if (generation != generation_) co_return;
    reconnectSchedule_.onSessionEnded(router_.now(), hasReceivedData_ ? SessionEnd::receivedData : sessionEnd,
                                      router_.isReady());
    hasReceivedData_ = false;
    router_.onDiscoveryFailed();
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
             std::string("out of reach: ") + std::strerror(result.error));
    co_return SessionEnd::unreachable;
  }
  transport::Connection connection(scheduler_, std::move(result.descriptor), kInitialInputBytes,
                                   kMaxInputBytes, outputBudget_);
  connection.send({BufferSlice(protocol::encodeSince(lastEventNumber_))});
  transport::InputBuffer& input = connection.input();
  // Only complete lines with content count: bytes that drip in and empty lines do not prolong the session.
  transport::TimePoint lastDataAt = scheduler_.now();
  while (scheduler_.now() < lastDataAt + reconnectSchedule_.silenceTimeout()) {
    const bool hasInput = co_await connection.receive(lastDataAt + reconnectSchedule_.silenceTimeout());
    if (!hasInput) break;
    for (std::size_t lineEnd = input.view().find('\n'); lineEnd != std::string_view::npos;
         lineEnd = input.view().find('\n')) {
      if (handleLine(input.view().substr(0, lineEnd), generation)) lastDataAt = scheduler_.now();
      input.consume(lineEnd + 1);
    }
    if (input.view().size() > 0) input.expectSize(input.view().size() * 2);
  }
  if (input.isFull()) throw protocol::ParseError("a line without an end");
  const bool isSilent = connection.readEnd() == transport::Connection::ReadEnd::none;
  logSessionEnd(isSilent, generation == generation_, listAddress);
  co_return isSilent && !hasReceivedData_ ? SessionEnd::unresponsive : SessionEnd::refused;
}

void EndpointWatcher::logSessionEnd(bool isSilent, bool isCurrent, const transport::Address& listAddress) {
  const std::string nextAction = isCurrent ? "connecting anew" : "another is followed by now";
  if (isSilent)
    logError(ErrorKind::discoveryStalled, listAddress, "silent: " + nextAction);
  else
    logError(ErrorKind::discoveryInterrupted, listAddress, "cut: " + nextAction);
}

// Applies one line and returns whether it had content. Lines of a session from before the last switch are
// applied as long as they continue what is known, but say nothing about the state of the current session,
// which ends the previous one as soon as it has caught up.
bool EndpointWatcher::handleLine(std::string_view text, std::uint64_t generation) {
  if (text.ends_with('\r')) text.remove_suffix(1);
  if (text.empty()) return false;
  const protocol::EndpointListLine parsedLine = protocol::parseEndpointListLine(text);
  const bool isCurrent = generation == generation_;
  const bool isNew = parsedLine.sequence > lastEventNumber_;
  if (isNew) checkApplicable(parsedLine, isCurrent);
  if (isCurrent) {
    reconnectSchedule_.onSessionData();
    hasReceivedData_ = true;
  }
  if (isCurrent) warnIfBehind(parsedLine);
  if (isNew) {
    if (parsedLine.event) router_.onEndpointUpdate(*parsedLine.event);
    // Only now, so that an event which could not be applied is requested again.
    lastEventNumber_ = parsedLine.sequence;
  } else if (isCurrent && parsedLine.sequence == lastEventNumber_ && !parsedLine.event) {
    consecutiveInvalidSessions_ = 0;
  }
  if (isCurrent && parsedLine.sequence == lastEventNumber_) previousWatch_.reset();
  return true;
}

// Throws protocol::ParseError if events are missing before the new line: among them could be the removal of
// an engine. A gap that is there even when the list is read from the start is one in the numbers, not in the
// events, and is accepted.
void EndpointWatcher::checkApplicable(const protocol::EndpointListLine& line, bool isCurrent) const {
  const bool isFirst = lastEventNumber_ == 0 && isCurrent;
  const bool isNext = line.sequence == lastEventNumber_ + 1;
  if (line.event && (isNext || isFirst || line.event->isSnapshot)) return;
  if (isCurrent && consecutiveInvalidSessions_ >= kMaxInvalidSessions) return;
  throw protocol::ParseError("nothing of " + std::to_string(lastEventNumber_ + 1) + " before " +
                             std::to_string(line.sequence));
}

// Warns once in a session that the list ends before what is known.
void EndpointWatcher::warnIfBehind(const protocol::EndpointListLine& line) {
  if (line.event || line.sequence >= lastEventNumber_ || isBehind_) return;
  isBehind_ = true;
  logger_.warning("changelog", "an old list: it ends at " + std::to_string(line.sequence) + ", " +
                                   std::to_string(lastEventNumber_) + " is known; what is known stays");
}

}  // namespace paddletrack::routing
