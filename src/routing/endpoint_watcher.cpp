#include "routing/endpoint_watcher.hpp"

#include <algorithm>
#include <cstring>
#include <exception>
#include <utility>

#include "failpoint/failpoint.hpp"

namespace paddletrack::routing {
namespace {

using std::chrono::milliseconds;

// A whole list is one line: the most is a thousand bytes for each of a thousand engines.
constexpr std::size_t kInitialInputBytes = 8 * 1024, kMaxInputBytes = 1024 * 1024;
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kUnreachableCheckInterval{100};  // while it waits: whether engines can't be reached

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

// The new one may be out of reach, for a while or for good: a session that tells goes on until the new one
// has told as much as is known. One that ends earlier is not begun again.
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

// Where the wait is long what was known may be too old by now: engines that can't be reached tell.
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
  PADDLETRACK_MARK(setNextConnectRole("list"));
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
  // The last line that told something: neither bytes that drip in nor empty lines are news.
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
  const std::string nextAction = generation == generation_ ? "connecting anew" : "another is followed by now";
  isSilent ? logError(ErrorKind::discoveryStalled, listAddress, "silent: " + nextAction)
           : logError(ErrorKind::discoveryInterrupted, listAddress, "cut: " + nextAction);
  co_return isSilent && !hasReceivedData_ ? SessionEnd::unresponsive : SessionEnd::refused;
}

// What a session from before the last move tells is taken in as far as it follows; it says nothing of how the
// current one does. That one ends it once it has told as much.
bool EndpointWatcher::handleLine(std::string_view text, std::uint64_t generation) {
  if (text.ends_with('\r')) text.remove_suffix(1);
  if (text.empty()) return false;
  const protocol::EndpointListLine parsedLine = protocol::parseEndpointListLine(text);
  const bool isCurrent = generation == generation_;
  const bool isNew = parsedLine.sequence > lastEventNumber_;
  const bool isApplicable =
      parsedLine.event && (parsedLine.sequence == lastEventNumber_ + 1 ||
                           (lastEventNumber_ == 0 && isCurrent) || parsedLine.event->isSnapshot);
  if (isNew && !isApplicable && (consecutiveInvalidSessions_ < 3 || !isCurrent))
    throw protocol::ParseError("nothing of " + std::to_string(lastEventNumber_ + 1) + " before " +
                               std::to_string(parsedLine.sequence));
  if (isCurrent) {
    reconnectSchedule_.onSessionData();
    hasReceivedData_ = true;
  }
  // Told again after a break, or doubled: known. A gap would leave out an executor that has gone for good;
  // one that is there even when all is read afresh is of the numbers, not of the events.
  if (isCurrent && parsedLine.sequence < lastEventNumber_ && !parsedLine.event &&
      !std::exchange(isBehind_, true))
    logger_.warning("changelog", "an old list: it ends at " + std::to_string(parsedLine.sequence) + ", " +
                                     std::to_string(lastEventNumber_) + " is known; what is known stays");
  if (isNew) {
    if (parsedLine.event) router_.onEndpointUpdate(*parsedLine.event);
    lastEventNumber_ = parsedLine.sequence;  // not before: what could not be taken in is asked for again
  } else if (isCurrent && parsedLine.sequence == lastEventNumber_ && !parsedLine.event) {
    consecutiveInvalidSessions_ = 0;
  }
  if (isCurrent && parsedLine.sequence == lastEventNumber_) previousWatch_.reset();
  return true;
}

}  // namespace paddletrack::routing
