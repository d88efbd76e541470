#include "fakes/fake_endpoint_list.hpp"

#include <algorithm>
#include <charconv>

namespace paddletrack::fakes {

using transport::BufferSlice;

FakeEndpointList::FakeEndpointList(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                                   const transport::Address& address)
    : scheduler_(scheduler), unsent_(outputBudget), address_(address) {
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
  for (transport::Connection* subscriber : subscribers_)
    subscriber->send({BufferSlice(events_.back() + "\n")});
}

void FakeEndpointList::sendRaw(const std::string& bytes) {
  for (transport::Connection* subscriber : subscribers_) subscriber->send({BufferSlice(bytes)});
}

std::string FakeEndpointList::eventsAsJson() const {
  std::string output = R"({"seq":)" + std::to_string(events_.size()) + R"(,"results":[)";
  for (const std::string& event : events_) output += (output.back() == '[' ? "" : ",") + event;
  return output + "]}";
}

transport::Task<> FakeEndpointList::acceptConnections() {
  for (;;) {
    auto descriptor = co_await listener_->accept();
    acceptTimes.push_back(scheduler_.now());
    if (++connectionCount_ % 10 >= behavior.refusalsPerTen)
      sessionTasks_->spawn(serve(std::move(descriptor)));
  }
}

transport::Task<> FakeEndpointList::serve(std::unique_ptr<transport::Descriptor> descriptor) {
  transport::Connection connection(scheduler_, std::move(descriptor), 256, 4096, unsent_);
  std::size_t sequence = 0;
  for (std::string_view view; view.find('\n') == std::string_view::npos; view = connection.input().view()) {
    const bool received = co_await connection.receive(scheduler_.now() + std::chrono::seconds(2));
    if (!received) co_return;
  }
  std::string_view line = connection.input().view();  // "since N"
  line.remove_prefix(std::min<std::size_t>(6, line.size()));
  std::from_chars(line.data(), line.data() + line.size(), sequence);
  while (silent_ && connection.readEnd() == transport::Connection::ReadEnd::none) {
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + std::chrono::seconds(2));
    if (!silent_) co_return;
  }
  queryTimes.push_back(scheduler_.now());
  if (sequence == 0) snapshotQueryTimes.push_back(scheduler_.now());
  if (behavior.unansweredSessions > 0 || !behavior.replacementAnswer.empty()) {
    const std::string replacement =
        behavior.unansweredSessions > 0 ? std::string() : behavior.replacementAnswer;
    if (behavior.unansweredSessions > 0) --behavior.unansweredSessions;
    co_await serveReplacement(connection, replacement);
    co_return;
  }
  // One at a time, also for those who have gone meanwhile: the work is done before that is seen.
  if (behavior.answerDuration.count() > 0) {
    nextAnswerAt_ = std::max(nextAnswerAt_, scheduler_.now()) + behavior.answerDuration;
    co_await scheduler_.sleepUntil(nextAnswerAt_);
  }
  std::string answer;
  for (std::size_t index = sequence; index < visibleEventCount(); ++index) answer += events_[index] + "\n";
  if (behavior.truncateAfterBytes > 0 && answer.size() > behavior.truncateAfterBytes) {
    connection.send({BufferSlice(answer.substr(0, behavior.truncateAfterBytes))});
    co_await connection.waitUntilDrained(0, scheduler_.now() + std::chrono::seconds(1));
    co_return;
  }
  connection.send({BufferSlice(answer)});
  struct SubscriberGuard {
    std::list<transport::Connection*>& subscribers;
    std::list<transport::Connection*>::iterator position;
    ~SubscriberGuard() { subscribers.erase(position); }
  } entry{subscribers_, subscribers_.insert(subscribers_.end(), &connection)};
  while (connection.readEnd() == transport::Connection::ReadEnd::none) {
    if (!behavior.silentAfterAnswer && !silent_)
      connection.send({BufferSlice(std::to_string(visibleEventCount()) + "\n")});
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + std::chrono::seconds(1));
  }
}

// Until the other side has gone.
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
