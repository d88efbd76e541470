#include "standin/executor.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include "protocol/resp.hpp"
#include "protocol/statement.hpp"

namespace paddletrack::standin {
namespace {

using protocol::resp::Array;
using transport::Moment;

constexpr std::size_t kLongest = 32 << 20;  // of a statement

unsigned number(std::string_view text) {
  unsigned value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string rows(const std::string& id, unsigned page) {
  return id + "\t" + std::to_string(page) + "\trow\n";
}

}  // namespace

Script scriptOf(std::string_view statement) {
  Script script;
  const std::size_t begin = statement.find("/*");
  if (begin == std::string_view::npos) return script;
  std::string_view left = statement.substr(begin + 2, statement.find("*/", begin) - begin - 2);
  while (!left.empty()) {
    const std::size_t blank = std::min(left.find(' '), left.size());
    const std::string_view word = left.substr(0, blank);
    left.remove_prefix(std::min(blank + 1, left.size()));
    const std::size_t mark = std::min(word.find('='), word.size());
    const std::string_view name = word.substr(0, mark), value = word.substr(std::min(mark + 1, word.size()));
    if (name == "ms") script.after = milliseconds(number(value));
    if (name == "pages") script.pages = number(value);
    if (name == "answer") script.answer = value;
    if (name == "half") script.half = true;
  }
  return script;
}

class Executor::Session {
 public:
  Session(Executor& executor, Place& place, std::unique_ptr<transport::Descriptor> accepted)
      : executor_(executor),
        place_(place),
        fd_(accepted->fd()),
        connection_(executor.scheduler_, std::move(accepted), 16 * 1024, kLongest + 4096, executor.unsent_),
        working_(executor.scheduler_, [](const char*) {}) {
    executor_.sessions_.insert(this);
    if (executor_.raw) executor_.connections.push_back(&connection_);
  }
  ~Session() {
    executor_.sessions_.erase(this);
    for (const auto& [id, script] : scripts_) {
      executor_.open_.erase({this, id});
      told(Event::Kind::cut, id);
    }
  }

  const Place& place() const { return place_; }

  transport::Task<> run() {
    if (place_.fault == Fault::reset) co_return;
    for (;;) {
      if (place_.fault == Fault::deaf) co_await executor_.scheduler_.sleepUntil(transport::Moment::max());
      transport::Inbox& input = connection_.input();
      const bool fresh = input.view().empty();
      const bool more = co_await connection_.receive();
      if (!more) co_return;
      const Bounds read{executor_.scheduler_.now(),
                        executor_.events_ ? executor_.events_->polled() : Moment{}};
      if (fresh) began_ = read;
      for (;;) {
        const Array array = protocol::resp::read(input.view(), kLongest);
        if (array.size == 0) {
          if (array.wanted > 0) input.expect(array.wanted);
          break;
        }
        command(array);
        input.consume(array.size);
        began_ = read;
      }
    }
  }
  void cut() { connection_.shut(); }
  void cut(Which which, bool resets, std::uint64_t attempt) {
    const auto here = [&](const auto& each) { return each.second == attempt; };
    if (which == Which::idle && !scripts_.empty()) return;
    if (which == Which::one && std::none_of(attempts_.begin(), attempts_.end(), here)) return;
    const linger none{1, 0};
    if (resets) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    cut();
  }

 private:
  struct Bounds {
    Moment at{}, since{};
  };
  void told(Event::Kind kind, const std::string& id, std::string what = {}, std::string rows = {}) {
    if (!executor_.events_) return;
    Event event{.kind = kind, .reference = id, .executor = executor_.number_};
    if (kind == Event::Kind::came) {
      event.attempt = attempts_[id] = executor_.events_->attempt();
      event.at = began_.at, event.since = began_.since;
    } else if (const auto at = attempts_.find(id); at != attempts_.end()) {
      event.attempt = at->second;
      attempts_.erase(at);
    }
    event.what = std::move(what), event.text = std::move(rows);
    executor_.events_->tell(std::move(event));
  }
  void command(const Array& array) {
    const std::string word(array.words[0]), id(array.words[1]);
    if (executor_.raw) {
      word == "NOOP" ? void(++executor_.noops) : void(executor_.heard += word + " ");
      if (word == "NEXT") executor_.heard += std::string(array.words[2]) + " ";
      return executor_.raw(executor_, connection_, word, id);
    }
    if (word == "NOOP") return say(connection_, {id, "alive", "-", ""});
    if (word == "ASK") return ask(id, array.words[3]);
    const auto at = scripts_.find(id);
    if (word == "QUIT" || word == "FREE") {
      if (at == scripts_.end()) return;
      executor_.open_.erase({this, id});
      scripts_.erase(at);
      if (word == "QUIT") told(Event::Kind::withdrawn, id);
    } else if (word == "NEXT") {
      if (at == scripts_.end()) return say(connection_, {id, "500", "-", ""});
      if (!at->second.half) page(id, number(array.words[2]));
    }
  }

  void ask(const std::string& id, std::string_view statement) {
    ++place_.asked;
    told(Event::Kind::came, id);
    Script script = scriptOf(statement);
    if (executor_.over) executor_.over(script, id);
    if (script.fault == Fault::none) script.fault = place_.fault;
    if (script.fault == Fault::resetOnAsk) {
      told(Event::Kind::cut, id);
      return connection_.shut();
    }
    ++executor_.asked_;
    executor_.asks.push_back(executor_.scheduler_.now());
    if (executor_.warmth_.groups > 0 && !executor_.warms(protocol::tableGroup(statement)))
      script.after += executor_.warmth_.cold;
    executor_.open_.emplace(this, id);
    scripts_[id] = script;
    working_.spawn(work(id, std::move(script)));
  }

  transport::Task<> work(std::string id, Script script) {
    if (script.after > milliseconds(0))
      co_await executor_.scheduler_.sleepUntil(executor_.scheduler_.now() + script.after);
    if (scripts_.count(id) == 0) co_return;  // quit: it stopped
    if (script.answer == "200") {
      ++executor_.ran_;
      if (++executor_.times_[id] == 2) ++executor_.ranTwice_;
    }
    if (script.fault == Fault::halfAnswer) {
      connection_.send({transport::Slice::lasting("*4\r\n$16\r\n")});
      co_return;
    }
    std::string all;
    for (unsigned each = 0; script.answer == "200" && each < script.pages; ++each) all += rows(id, each);
    told(Event::Kind::finished, id, script.answer, std::move(all));
    if (script.answer == "200") {
      say(connection_, {id, "200", "batches=" + std::to_string(script.pages), rows(id, 0)});
      if (script.pages > 1) co_return;  // it keeps them until they are fetched
    } else {
      say(connection_, {id, script.answer, "-", ""});
    }
    executor_.open_.erase({this, id});
    scripts_.erase(id);
    if (script.fault != Fault::twice) co_return;
    co_await executor_.scheduler_.sleepUntil(executor_.scheduler_.now() + milliseconds(7));
    say(connection_, {id, "200", "batches=2", rows(id, 0)});
    say(connection_, {id, "chunk", "batch=1", rows(id, 1)});
  }

  void page(const std::string& id, unsigned number) {
    const auto at = scripts_.find(id);
    say(connection_, {id, "chunk", "batch=" + std::to_string(number), rows(id, number)});
    if (++sent_[id] + 1 < at->second.pages) return;
    sent_.erase(id);
    executor_.open_.erase({this, id});
    scripts_.erase(at);
  }

  Executor& executor_;
  Place& place_;
  const int fd_;  // the connection's
  transport::Connection connection_;
  Bounds began_;                                   // when the first byte was read of what comes next
  std::map<std::string, std::uint64_t> attempts_;  // that are out, by id, where they are recorded
  std::map<std::string, Script> scripts_;          // of what is open here
  std::map<std::string, unsigned> sent_;           // pages, by id
  transport::Group working_;
};

Executor::Executor(transport::Scheduler& scheduler, transport::Unsent& unsent,
                   const transport::Address& address)
    : scheduler_(scheduler), unsent_(unsent), running_(scheduler, [](const char*) {}) {
  also(address);
}

bool Executor::warms(std::uint32_t group) {
  const auto at = std::find(warm_.begin(), warm_.end(), group);
  const bool was = at != warm_.end();
  if (was) warm_.erase(at);
  if (!was) bytesRead_ += warmth_.bytes;
  warm_.push_front(group);
  if (warm_.size() > warmth_.groups) warm_.pop_back();
  return was;
}

void Executor::say(transport::Connection& to, std::initializer_list<std::string_view> words) {
  to.send({transport::Slice(protocol::resp::array(words))});
}

std::size_t Executor::also(const transport::Address& address) {
  places_.push_back(std::make_unique<Place>(scheduler_, address));
  places_.back()->accepting->spawn(listen(*places_.back()));
  return places_.size() - 1;
}

void Executor::fail(std::size_t place, Fault fault) {
  places_[place]->fault = fault;
  if (fault != Fault::deaf && fault != Fault::reset) return;
  for (Session* each : sessions_)
    if (&each->place() == places_[place].get()) each->cut();
}

void Executor::close(std::size_t place) {
  places_[place]->accepting.reset();
  places_[place]->listener.reset();
  for (Session* each : sessions_)
    if (&each->place() == places_[place].get()) each->cut();
}

transport::Task<> Executor::listen(Place& place) {
  for (;;) {
    auto descriptor = co_await place.listener->accept();
    accepted.push_back(scheduler_.now());
    running_.spawn(serve(place, std::move(descriptor)));
  }
}

transport::Task<> Executor::serve(Place& place, std::unique_ptr<transport::Descriptor> descriptor) {
  Session session(*this, place, std::move(descriptor));
  co_await session.run();
}

void Executor::cut(Which which, bool resets, std::uint64_t attempt) {
  for (Session* each : sessions_) each->cut(which, resets, attempt);
}

void Executor::cut() {
  for (Session* each : sessions_) each->cut();
}

}  // namespace paddletrack::standin
