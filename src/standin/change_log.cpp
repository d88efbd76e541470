#include "standin/change_log.hpp"

#include <algorithm>
#include <charconv>

namespace paddletrack::standin {

using transport::Slice;

ChangeLog::ChangeLog(transport::Scheduler& scheduler, transport::Unsent& unsent,
                     const transport::Address& address)
    : scheduler_(scheduler), unsent_(unsent), address_(address) {
  open();
}

void ChangeLog::close() {
  accepting_.reset();
  running_.reset();
  listener_.reset();
}

void ChangeLog::open() {
  listener_.emplace(scheduler_, address_);
  running_.emplace(scheduler_, [](const char*) {});
  accepting_.emplace(scheduler_, [](const char*) {});
  accepting_->spawn(listen());
}

std::string ChangeLog::event(std::uint64_t number, bool full, const std::vector<Server>& servers) {
  const std::string at = std::to_string(number);
  std::string out = R"({"seq":)" + at + R"(,"fleet":{"version":)" + at + R"(,"full":)" +
                    (full ? "true" : "false") + R"(,"servers":[)";
  for (const Server& each : servers) {
    if (out.back() == '}') out += ",";
    out += R"({"id":")" + each.id + R"(","addr":")" + each.address + R"(","zone":")" + each.zone +
           R"(","kind":")" + each.kind + R"(","cell":0,"state":")" + each.state +
           R"(","weight":1,"started_ms":)" + std::to_string(each.startedMs);
    for (std::size_t more = 0; more < each.more.size(); ++more)
      out += (more == 0 ? R"(,"addrs":[")" : R"(",")") + each.more[more];
    out += each.more.empty() ? "}" : "\"]}";
  }
  return out + "]}}";
}

void ChangeLog::tell(const std::vector<Server>& servers, bool full) {
  events_.push_back(event(events_.size() + 1, full, servers));
  if (manner.endsAt || manner.mute || silent_) return;
  for (transport::Connection* each : told_) each->send({Slice(events_.back() + "\n")});
}

void ChangeLog::say(const std::string& bytes) {
  for (transport::Connection* each : told_) each->send({Slice(bytes)});
}

std::string ChangeLog::known() const {
  std::string out = R"({"seq":)" + std::to_string(events_.size()) + R"(,"results":[)";
  for (const std::string& each : events_) out += (out.back() == '[' ? "" : ",") + each;
  return out + "]}";
}

transport::Task<> ChangeLog::listen() {
  for (;;) {
    auto descriptor = co_await listener_->accept();
    accepted.push_back(scheduler_.now());
    if (++count_ % 10 >= manner.refusesOf10) running_->spawn(serve(std::move(descriptor)));
  }
}

transport::Task<> ChangeLog::serve(std::unique_ptr<transport::Descriptor> descriptor) {
  transport::Connection connection(scheduler_, std::move(descriptor), 256, 4096, unsent_);
  std::size_t from = 0;
  for (std::string_view view; view.find('\n') == std::string_view::npos; view = connection.input().view()) {
    const bool more = co_await connection.receive(scheduler_.now() + std::chrono::seconds(2));
    if (!more) co_return;
  }
  std::string_view line = connection.input().view();  // "since N"
  line.remove_prefix(std::min<std::size_t>(6, line.size()));
  std::from_chars(line.data(), line.data() + line.size(), from);
  while (silent_ && connection.end() == transport::Connection::End::none) {
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + std::chrono::seconds(2));
    if (!silent_) co_return;
  }
  asked.push_back(scheduler_.now());
  if (from == 0) askedAll.push_back(scheduler_.now());
  if (manner.unheard > 0 || !manner.instead.empty()) {
    const std::string instead = manner.unheard > 0 ? std::string() : manner.instead;
    if (manner.unheard > 0) --manner.unheard;
    co_await holdOff(connection, instead);
    co_return;
  }
  // One at a time, also for those who have gone meanwhile: the work is done before that is seen.
  if (manner.each.count() > 0) {
    free_ = std::max(free_, scheduler_.now()) + manner.each;
    co_await scheduler_.sleepUntil(free_);
  }
  std::string answer;
  for (std::size_t each = from; each < end(); ++each) answer += events_[each] + "\n";
  if (manner.cutAfter > 0 && answer.size() > manner.cutAfter) {
    connection.send({Slice(answer.substr(0, manner.cutAfter))});
    co_await connection.drained(0, scheduler_.now() + std::chrono::seconds(1));
    co_return;
  }
  connection.send({Slice(answer)});
  struct Entry {
    std::list<transport::Connection*>& all;
    std::list<transport::Connection*>::iterator place;
    ~Entry() { all.erase(place); }
  } entry{told_, told_.insert(told_.end(), &connection)};
  while (connection.end() == transport::Connection::End::none) {
    if (!manner.mute && !silent_) connection.send({Slice(std::to_string(end()) + "\n")});
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + std::chrono::seconds(1));
  }
}

// Until the other side has gone.
transport::Task<> ChangeLog::holdOff(transport::Connection& connection, const std::string& instead) {
  const std::size_t step = manner.drip.count() > 0 ? 1 : std::max<std::size_t>(instead.size(), 1);
  const std::chrono::milliseconds rest = manner.drip.count() > 0 ? manner.drip : std::chrono::seconds(1);
  for (std::size_t at = 0; connection.end() == transport::Connection::End::none; at += step) {
    if (at < instead.size()) connection.send({Slice(instead.substr(at, step))});
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + rest);
  }
}

}  // namespace paddletrack::standin
