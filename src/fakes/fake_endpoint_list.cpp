#include "fakes/fake_endpoint_list.hpp"

#include <algorithm>
#include <charconv>

namespace paddletrack::fakes {

using transport::BufferSlice;

namespace {

constexpr std::size_t kInputBytes = 256;
constexpr std::size_t kMaxInputBytes = 4096;
constexpr std::chrono::seconds kReceiveTimeout{2};
constexpr std::chrono::seconds kHeartbeatInterval{1};
constexpr std::string_view kQueryPrefix = "since ";

}  // namespace

FakeEndpointList::FakeEndpointList(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                                   const transport::Address& address)
    : scheduler_(scheduler), memoryBudget_(memoryBudget), address_(address) {
  open();
}

void FakeEndpointList::close() {
  acceptTasks_.reset();
  sessionTasks_.reset();
  listener_.reset();
}

void FakeEndpointList::open() {
  listener_.emplace(scheduler_, address_);
  sessionTasks_.emplace(scheduler_, [](const char*) {});
  acceptTasks_.emplace(scheduler_, [](const char*) {});
  acceptTasks_->spawn(acceptConnections());
}

std::string FakeEndpointList::formatEvent(std::uint64_t sequence, bool isSnapshot,
                                          const std::vector<Endpoint>& servers) {
  const std::string sequenceText = std::to_string(sequence);
  std::string output = R"({"seq":)" + sequenceText + R"(,"fleet":{"version":)" + sequenceText +
                       R"(,"full":)" + (isSnapshot ? "true" : "false") + R"(,"servers":[)";
  for (const Endpoint& server : servers) {
    if (output.back() == '}') output += ",";
    output += R"({"id":")" + server.id + R"(","addr":")" + server.address + R"(","zone":")" + server.zone +
              R"(","kind":")" + server.machineType + R"(","cell":0,"state":")" + server.state +
              R"(","weight":1,"started_ms":)" + std::to_string(server.startedAtMs);
    for (std::size_t index = 0; index < server.addresses.size(); ++index)
      output += (index == 0 ? R"(,"addrs":[")" : R"(",")") + server.addresses[index];
    output += server.addresses.empty() ? "}" : "\"]}";
  }
  return output + "]}}";
}

void FakeEndpointList::publish(const std::vector<Endpoint>& servers, bool isSnapshot) {
  events_.push_back(formatEvent(events_.size() + 1, isSnapshot, servers));
  if (behavior.lastVisibleSequence || behavior.silentAfterAnswer || silent_) return;
  for (transport::Connection* subscriber : subscribers_) sendLine(*subscriber, events_.back() + "\n");
}

void FakeEndpointList::sendRaw(const std::string& bytes) {
  for (transport::Connection* subscriber : subscribers_) subscriber->send({BufferSlice(bytes)});
}

std::string FakeEndpointList::eventsAsJson() const {
  std::string output = R"({"seq":)" + std::to_string(events_.size()) + R"(,"results":[)";
  for (const std::string& event : events_) {
    if (output.back() != '[') output += ",";
    output += event;
  }
  return output + "]}";
}

transport::Task<> FakeEndpointList::acceptConnections() {
  for (;;) {
    auto descriptor = co_await listener_->accept();
    acceptTimes.push_back(scheduler_.now());
    ++connectionCount_;
    if (connectionCount_ % 10 >= behavior.refusalsPerTen) sessionTasks_->spawn(serve(std::move(descriptor)));
  }
}

transport::Task<> FakeEndpointList::serve(std::unique_ptr<transport::Descriptor> descriptor) {
  transport::Connection connection(scheduler_, std::move(descriptor), kInputBytes, kMaxInputBytes,
                                   memoryBudget_);
  struct ConnectionGuard {
    std::map<std::uint64_t, transport::Connection*>& connections;
    std::uint64_t number;
    ~ConnectionGuard() { connections.erase(number); }
  };
  const ConnectionGuard guard{openConnections_, connectionCount_};
  openConnections_.emplace(connectionCount_, &connection);
  const std::optional<std::size_t> since = co_await receiveQuery(connection);
  if (!since) co_return;
  const bool wasSilenced = co_await waitWhileSilent(connection);
  if (wasSilenced) co_return;
  queryTimes.push_back(scheduler_.now());
  if (*since == 0) snapshotQueryTimes.push_back(scheduler_.now());
  if (behavior.unansweredSessions > 0) {
    --behavior.unansweredSessions;
    co_await serveReplacement(connection, "");
    co_return;
  }
  if (!behavior.replacementAnswer.empty()) {
    const std::string replacement = behavior.replacementAnswer;
    co_await serveReplacement(connection, replacement);
    co_return;
  }
  // Answers are prepared one at a time, also for clients that have disconnected meanwhile, because a real
  // service does the work before it notices the disconnect.
  if (behavior.answerDuration.count() > 0) {
    nextAnswerAt_ = std::max(nextAnswerAt_, scheduler_.now()) + behavior.answerDuration;
    co_await scheduler_.sleepUntil(nextAnswerAt_);
  }
  const bool isComplete = co_await sendAnswer(connection, *since);
  if (isComplete) co_await serveSubscriber(connection);
}

// Returns the sequence number of the first line ("since N"), or std::nullopt if no line arrives in time.
transport::Task<std::optional<std::size_t>> FakeEndpointList::receiveQuery(
    transport::Connection& connection) {
  for (std::string_view view; view.find('\n') == std::string_view::npos; view = connection.input().view()) {
    const bool received = co_await connection.receive(scheduler_.now() + kReceiveTimeout);
    if (!received) co_return std::nullopt;
  }
  std::string_view line = connection.input().view();
  line.remove_prefix(std::min(kQueryPrefix.size(), line.size()));
  std::size_t sequence = 0;
  std::from_chars(line.data(), line.data() + line.size(), sequence);
  co_return sequence;
}

// Returns true if the silence ended while this session waited; the caller then closes the session.
transport::Task<bool> FakeEndpointList::waitWhileSilent(transport::Connection& connection) {
  while (silent_ && connection.readEnd() == transport::Connection::ReadEnd::none) {
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + kReceiveTimeout);
    if (!silent_) co_return true;
  }
  co_return false;
}

// Sends the visible events after the sequence number `since`. Returns false if the answer was truncated.
transport::Task<bool> FakeEndpointList::sendAnswer(transport::Connection& connection, std::size_t since) {
  std::string answer;
  for (std::size_t index = since; index < visibleEventCount(); ++index) answer += events_[index] + "\n";
  if (behavior.truncateAfterBytes == 0 || answer.size() <= behavior.truncateAfterBytes) {
    sendLine(connection, answer);
    co_return true;
  }
  connection.send({BufferSlice(answer.substr(0, behavior.truncateAfterBytes))});
  co_await connection.waitUntilDrained(0, scheduler_.now() + std::chrono::seconds(1));
  co_return false;
}

void FakeEndpointList::sendLine(transport::Connection& connection, const std::string& lines) {
  if (lateness_.count() == 0) {
    connection.send({BufferSlice(lines)});
    return;
  }
  const auto open = std::find_if(openConnections_.begin(), openConnections_.end(),
                                 [&](const auto& entry) { return entry.second == &connection; });
  sessionTasks_->spawn(sendLate(open->first, lines));
}

transport::Task<> FakeEndpointList::sendLate(std::uint64_t connectionNumber, std::string lines) {
  co_await scheduler_.sleepUntil(scheduler_.now() + lateness_);
  const auto open = openConnections_.find(connectionNumber);
  if (open != openConnections_.end()) open->second->send({BufferSlice(lines)});
}

// Subscribes the connection to published events and sends heartbeats until the client disconnects.
transport::Task<> FakeEndpointList::serveSubscriber(transport::Connection& connection) {
  struct SubscriberGuard {
    std::list<transport::Connection*>& subscribers;
    std::list<transport::Connection*>::iterator position;
    ~SubscriberGuard() { subscribers.erase(position); }
  };
  const SubscriberGuard guard{subscribers_, subscribers_.insert(subscribers_.end(), &connection)};
  while (connection.readEnd() == transport::Connection::ReadEnd::none) {
    if (!behavior.silentAfterAnswer && !silent_)
      sendLine(connection, std::to_string(visibleEventCount()) + "\n");
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + kHeartbeatInterval);
  }
}

// Sends `replacement`, at once or byte by byte, and waits until the client disconnects.
transport::Task<> FakeEndpointList::serveReplacement(transport::Connection& connection,
                                                     const std::string& replacement) {
  const std::size_t step =
      behavior.byteInterval.count() > 0 ? 1 : std::max<std::size_t>(replacement.size(), 1);
  const std::chrono::milliseconds interval =
      behavior.byteInterval.count() > 0 ? behavior.byteInterval : std::chrono::seconds(1);
  for (std::size_t offset = 0; connection.readEnd() == transport::Connection::ReadEnd::none; offset += step) {
    if (offset < replacement.size()) connection.send({BufferSlice(replacement.substr(offset, step))});
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + interval);
  }
}

}  // namespace paddletrack::fakes
