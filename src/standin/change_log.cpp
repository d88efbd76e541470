#include "standin/change_log.hpp"

#include <algorithm>
#include <charconv>

namespace paddletrack::standin {

using transport::Slice;

ChangeLog::ChangeLog(transport::Scheduler& scheduler, transport::Unsent& unsent,
                     const transport::Address& address)
    : scheduler_(scheduler),
      unsent_(unsent),
      listener_(scheduler, address),
      running_(scheduler, [](const char*) {}) {
  running_.spawn(listen());
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
  for (transport::Connection* each : told_)
    if (!silent_) each->send({Slice(events_.back() + "\n")});
}

std::string ChangeLog::known() const {
  std::string out = R"({"seq":)" + std::to_string(events_.size()) + R"(,"results":[)";
  for (const std::string& each : events_) out += (out.back() == '[' ? "" : ",") + each;
  return out + "]}";
}

transport::Task<> ChangeLog::listen() {
  for (;;) running_.spawn(serve(co_await listener_.accept()));
}

transport::Task<> ChangeLog::serve(std::unique_ptr<transport::Descriptor> accepted) {
  transport::Connection connection(scheduler_, std::move(accepted), 256, 4096, unsent_);
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
  for (std::size_t each = from; each < events_.size(); ++each) connection.send({Slice(events_[each] + "\n")});
  struct Entry {
    std::list<transport::Connection*>& all;
    std::list<transport::Connection*>::iterator place;
    ~Entry() { all.erase(place); }
  } entry{told_, told_.insert(told_.end(), &connection)};
  while (connection.end() == transport::Connection::End::none) {
    if (!silent_) connection.send({Slice(std::to_string(events_.size()) + "\n")});
    connection.input().consume(connection.input().view().size());
    co_await connection.receive(scheduler_.now() + std::chrono::seconds(1));
  }
}

}  // namespace paddletrack::standin
