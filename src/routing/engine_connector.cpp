#include "routing/engine_connector.hpp"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <optional>
#include <utility>

#include "failpoint/failpoint.hpp"
#include "protocol/resp.hpp"

namespace paddletrack::routing {
namespace {

using addresses::ConnectOutcome;
using transport::Connection;

// Room for two pages. A longer message is allowed if the memory budget has room for it.
constexpr std::size_t kInputBytes = 16UL * 1024;

}  // namespace

/// One connect attempt of a race: a connect and, if the address or engine is suspect, a probe. It counts
/// against the connect limits until it is destroyed, which also ends its coroutine.
class EngineConnector::ConnectAttempt {
 public:
  enum class State : std::uint8_t { connecting, probing, connected, failed };

  /// `parallelConnects` counts the streams in addition to the first of a race, because each holds a
  /// descriptor that the pool does not count as a connection. It is null for the first.
  ConnectAttempt(EngineEndpoint& engineEndpoint, addresses::ConnectLimiter& connectLimiter,
                 std::size_t* parallelConnects, std::string name, Duration now,
                 transport::Scheduler& scheduler)
      : addressName(std::move(name)),
        startedAt(now),
        tasks(scheduler, [](const char*) {}),
        endpoint_(engineEndpoint),
        limiter_(connectLimiter),
        parallelConnects_(parallelConnects) {
    ++endpoint_.pendingConnects;
    limiter_.onConnectStarted();
    if (parallelConnects_) ++*parallelConnects_;
  }
  ConnectAttempt(const ConnectAttempt&) = delete;
  ConnectAttempt& operator=(const ConnectAttempt&) = delete;
  ~ConnectAttempt() {
    --endpoint_.pendingConnects;
    limiter_.onConnectFinished();
    if (parallelConnects_) --*parallelConnects_;
  }

  bool isFinished() const { return state == State::connected || state == State::failed; }
  void fail(ConnectOutcome outcome) {
    state = State::failed;
    failure = outcome;
    stream.reset();
  }
  /// The outcome to record for the address if the race ends before this attempt.
  ConnectOutcome outcomeIfUnfinished() const {
    return state == State::probing ? ConnectOutcome::unresponsive : ConnectOutcome::timedOut;
  }

  State state = State::connecting;
  const std::string addressName;
  const Duration startedAt;
  Duration connectTime{0};
  std::unique_ptr<Connection> stream;
  bool hasInput = false;  ///< The probe was answered.
  ConnectOutcome failure = ConnectOutcome::refused;
  transport::TaskGroup tasks;  ///< Destroyed before the members above, which its coroutine uses.

 private:
  EngineEndpoint& endpoint_;
  addresses::ConnectLimiter& limiter_;
  std::size_t* const parallelConnects_;
};

EngineConnector::EngineConnector(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                                 EngineAddressBook& addressBook, const Logger& logger,
                                 std::size_t maxConnections, std::function<bool()> allowsParallelConnect)
    : scheduler_(scheduler),
      memoryBudget_(memoryBudget),
      addressBook_(addressBook),
      logger_(logger),
      connectLimiter_(maxConnections),
      allowsParallelConnect_(std::move(allowsParallelConnect)) {}

transport::Task<bool> EngineConnector::connect(EngineConnection& connection) {
  EngineEndpoint& endpoint = connection.endpoint();
  addresses::ConnectRace race(addressBook_.connectOptions(), rankAddresses(connection), addressBook_.now());
  transport::Signal attemptFinished(scheduler_);
  ConnectAttempts attempts;  // Declared last: the coroutines of the attempts use the race and the signal.
  for (;;) {
    const auto winner = std::find_if(attempts.begin(), attempts.end(), [](const ConnectAttempt& attempt) {
      return attempt.state == ConnectAttempt::State::connected;
    });
    if (winner != attempts.end()) {
      adoptWinner(connection, attempts, *winner, race);
      co_return true;
    }
    removeFailedAttempts(endpoint, attempts, race);
    const bool allowsParallel =
        connectLimiter_.allowsConnect(endpoint.pendingConnects) && allowsParallelConnect_();
    const addresses::ConnectRace::Step step = race.nextStep(addressBook_.now(), allowsParallel);
    if (step.finished) {
      recordUnfinishedAttempts(endpoint, attempts);
      co_return false;
    }
    if (!step.addressToConnect) {
      co_await attemptFinished.wait(transport::TimePoint(transport::Clock::duration(step.nextCheckAt)));
      continue;
    }
    if (step.replacesPending) {
      recordUnfinishedAttempts(endpoint, attempts);
      attempts.clear();
    }
    std::size_t* const parallelConnects = attempts.empty() ? nullptr : &parallelConnects_;
    ConnectAttempt& attempt = attempts.emplace_back(endpoint, connectLimiter_, parallelConnects,
                                                    *step.addressToConnect, addressBook_.now(), scheduler_);
    attempt.tasks.spawn(runConnectAttempt(connection, attempt, race, attemptFinished));
  }
}

std::vector<std::string> EngineConnector::rankAddresses(const EngineConnection& connection) const {
  const addresses::AddressTable& addressTable = connection.endpoint().addressTable;
  // A non-idempotent request is not used to test whether an address has recovered.
  const bool avoidTrials = connection.hasQueuedNonIdempotentAttempt();
  std::vector<std::string> addressNames;
  for (const std::size_t index :
       addressTable.rankAddresses(addressBook_.now(), addressBook_.connectOptions(), avoidTrials))
    addressNames.push_back(addressTable.entries()[index].name);
  return addressNames;
}

void EngineConnector::adoptWinner(EngineConnection& connection, ConnectAttempts& attempts,
                                  ConnectAttempt& winner, const addresses::ConnectRace& race) {
  connection.onConnected({std::move(winner.stream), winner.addressName, winner.connectTime, winner.hasInput});
  for (const ConnectAttempt& attempt : attempts) {
    if (attempt.isFinished() || !race.isSlow(attempt.startedAt, winner.startedAt)) continue;
    addressBook_.recordOutcome(connection.endpoint(), attempt.addressName, ConnectOutcome::timedOut);
  }
}

void EngineConnector::removeFailedAttempts(EngineEndpoint& endpoint, ConnectAttempts& attempts,
                                           addresses::ConnectRace& race) {
  for (auto attempt = attempts.begin(); attempt != attempts.end();) {
    if (!attempt->isFinished()) {
      ++attempt;
      continue;
    }
    addressBook_.recordOutcome(endpoint, attempt->addressName, attempt->failure);
    race.onConnectFailed(addressBook_.now());
    attempt = attempts.erase(attempt);
  }
}

void EngineConnector::recordUnfinishedAttempts(EngineEndpoint& endpoint, const ConnectAttempts& attempts) {
  for (const ConnectAttempt& attempt : attempts)
    addressBook_.recordOutcome(endpoint, attempt.addressName, attempt.outcomeIfUnfinished());
}

transport::Task<> EngineConnector::runConnectAttempt(EngineConnection& connection, ConnectAttempt& attempt,
                                                     addresses::ConnectRace& race,
                                                     transport::Signal& attemptFinished) {
  EngineEndpoint& endpoint = connection.endpoint();
  const Duration connectTimeout = addressBook_.connectOptions().connectTimeout;
  const auto found = endpoint.addressesByName.find(attempt.addressName);
  if (found == endpoint.addressesByName.end()) {
    attempt.fail(ConnectOutcome::refused);
    attemptFinished.set();
    co_return;
  }
  PADDLETRACK_IF_FAIL_POINTS(setNextConnectRole("executor"));
  transport::ConnectResult result =
      co_await transport::connect(scheduler_, found->second, scheduler_.now() + connectTimeout);
  attempt.connectTime = addressBook_.now() - attempt.startedAt;
  if (!result.descriptor) {
    attempt.fail(result.error == ETIMEDOUT ? ConnectOutcome::timedOut : ConnectOutcome::refused);
    logger_.warning(
        "dial",
        SystemErrorOfKind<ErrorKind::connectFailed>("engine " + endpoint.id, "connect failed", result.error),
        {{"engine", endpoint.id}, {"address", attempt.addressName}});
  } else if (endpoint.addressesByName.count(attempt.addressName) == 0) {
    attempt.fail(ConnectOutcome::refused);  // Removed during the connect: gets no new attempts.
  } else {
    attempt.stream = std::make_unique<Connection>(scheduler_, std::move(result.descriptor), kInputBytes,
                                                  kInputBytes, memoryBudget_);
    if (needsProbe(endpoint, attempt.addressName)) {
      co_await probe(connection, attempt, race);
    } else {
      attempt.state = ConnectAttempt::State::connected;
    }
  }
  attemptFinished.set();
}

// The kernel accepts connections and bytes for a process that does not read. Statements that accumulate there
// could be executed long after their requests have been answered by another attempt. So if another connection
// of the engine is silent, or the address was silent before, the engine must answer a probe before it gets an
// attempt.
bool EngineConnector::needsProbe(const EngineEndpoint& endpoint, const std::string& addressName) {
  const bool hasAlternatives = endpoint.addressTable.entries().size() > 1;
  if (hasAlternatives && endpoint.addressTable.isSuspect(addressName)) return true;
  return std::any_of(endpoint.connections.begin(), endpoint.connections.end(),
                     [](const EngineConnection* connection) { return connection->isSuspect(); });
}

transport::Task<> EngineConnector::probe(EngineConnection& connection, ConnectAttempt& attempt,
                                         addresses::ConnectRace& race) {
  attempt.state = ConnectAttempt::State::probing;
  race.onConnected(addressBook_.now());
  attempt.stream->send({BufferSlice(protocol::resp::encodeNoop("up" + std::to_string(connection.serial())))});
  attempt.hasInput =
      co_await attempt.stream->receive(scheduler_.now() + addressBook_.connectOptions().connectTimeout);
  if (attempt.hasInput) {
    attempt.state = ConnectAttempt::State::connected;
    co_return;
  }
  const bool isSilent = attempt.stream->readEnd() == Connection::ReadEnd::none;
  attempt.fail(isSilent ? ConnectOutcome::unresponsive : ConnectOutcome::resetEarly);
}

}  // namespace paddletrack::routing
