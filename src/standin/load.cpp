#include "standin/load.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <optional>

namespace paddletrack::standin {
namespace {

namespace thrift = protocol::thrift;

using transport::Connection;
using transport::Moment;
using transport::Slice;

constexpr std::size_t kMostOpen = 30;  // on one connection
constexpr milliseconds kIdle{3500};    // clients close what they do not use
constexpr milliseconds kCross{50};     // a job that crosses a close is sent once more
constexpr std::size_t kNoJob = static_cast<std::size_t>(-1);

const char* nameOf(Heard::What what) {
  static constexpr std::array kNames{"done", "throttled", "cancelled", "exception", "good", "bad"};
  return kNames[static_cast<std::size_t>(what)];
}

}  // namespace

// One connection to one controller.
class Load::Line {
 public:
  Line(Load& load, std::size_t controller) : load_(load), controller_(controller) {
    load_.controllers_[controller_].lines.push_back(this);
  }
  ~Line() {
    std::erase(load_.controllers_[controller_].lines, this);
    // A client that records closes over a job that is late alone: to the others on its connection it has
    // gone.
    const bool own = load_.events_ && end_ == How::late;
    for (const auto& [sequence, job] : std::exchange(open_, {})) {
      if (own && !late(job)) {
        load_.left(job, "closed");
      } else {
        load_.lose(job, !connection_ || connection_->written() < ends_[sequence] ? "unsent"
                        : own                                                    ? "timeout"
                                                                                 : "closed");
      }
    }
  }

  bool room() const { return open_.size() < kMostOpen && !ending_; }
  std::size_t open() const { return open_.size(); }
  void take(std::size_t job) {
    open_.emplace(++sequence_, job);
    used_ = load_.scheduler_.now();
    const Kind& kind = load_.kinds_[load_.jobs_[job].kind];
    const auto span = kind.most - kind.least;
    const auto ms =
        kind.least +
        milliseconds(span.count() > 0
                         ? static_cast<long>(load_.dice_() % static_cast<unsigned long>(span.count()))
                         : 0);
    // The estimate that goes with it is what it takes.
    thrift::Fields fields{{"service", kind.type},
                          {"ref", load_.jobs_[job].reference},
                          {"allow", std::to_string(kind.allow.count())},
                          {"effort", std::to_string(ms.count())},
                          {"ram", "16"}};
    if (!kind.customer.empty()) fields.emplace_back("project", kind.customer);
    const std::string sent = thrift::submit(sequence_, fields,
                                            "select * from s_" + std::to_string(kind.group) + ".t /* ms=" +
                                                std::to_string(ms.count()) + " " + kind.script + " */");
    connection_ ? connection_->send({Slice(sent)}) : held_.push_back(Slice(sent));
    ends_[sequence_] = given_ += sent.size();
  }

  bool has(std::size_t job) const {
    return connection_ &&
           std::any_of(open_.begin(), open_.end(), [&](const auto& each) { return each.second == job; });
  }
  bool leave(std::size_t job, Leave how) {
    if (end_ != How::none) return false;
    if (how == Leave::revokes) {
      const auto at =
          std::find_if(open_.begin(), open_.end(), [&](const auto& each) { return each.second == job; });
      const std::string sent = thrift::revoke(at->first);
      connection_->send({Slice(sent)});
      given_ += sent.size();
      done_.emplace(*at);
      open_.erase(at);
      load_.left(job, "revoked");
      return true;
    }
    if (connection_->unsent() > 0) return false;
    ending_ = true;
    if (how == Leave::halfCloses) {
      end_ = How::halfClosed;
      ::shutdown(fd_, SHUT_WR);
      for (const auto& [sequence, each] : open_) load_.left(each, "half-closed");
      return true;
    }
    end_ = how == Leave::resets ? How::reset : How::closed;
    connection_->shut();
    return true;
  }
  void rest() {
    if (open_.empty() && connection_) ending_ = true, connection_->shut();
  }

  transport::Task<> run() {
    transport::Scheduler& scheduler = load_.scheduler_;
    transport::Dialled dialled = co_await transport::dial(scheduler, load_.controllers_[controller_].address,
                                                          scheduler.now() + milliseconds(2000));
    if (!dialled.descriptor) co_return;
    fd_ = dialled.descriptor->fd();
    connection_.emplace(scheduler, std::move(dialled.descriptor), 16 * 1024, 1 << 20, load_.unsent_);
    connection_->send(held_);
    while (co_await more()) {
      transport::Inbox& input = connection_->input();
      while (const auto length = thrift::frameLength(input.view())) {
        const std::size_t whole = thrift::kFrameHead + *length;
        if (input.view().size() < whole) {
          input.expect(whole);
          break;
        }
        const Heard heard = thrift::readReply(input.view().substr(thrift::kFrameHead, *length));
        input.consume(whole);
        const auto at = open_.find(heard.sequence);
        if (at == open_.end()) {
          const auto done = done_.find(heard.sequence);
          if (done == done_.end() || !load_.jobs_[done->second].gone)
            done != done_.end() ? ++load_.books_.doubled : ++load_.books_.unasked;
          done != done_.end() ? load_.answered(done->second, heard)
                              : load_.told(Event::Kind::answered, kNoJob, nameOf(heard.what));
          continue;
        }
        const std::size_t job = at->second;
        open_.erase(at);
        done_.emplace(heard.sequence, job);
        load_.ended(job, heard);
      }
    }
    if (end_ != How::closed && end_ != How::reset) co_return;
    const linger none{1, 0};
    if (end_ == How::reset) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    connection_.reset();  // only then it has gone
    for (const auto& [sequence, job] : std::exchange(open_, {}))
      load_.left(job, end_ == How::reset ? "reset" : "closed");
  }

 private:
  // Until there is more to read; false: the connection is of no more use.
  transport::Task<bool> more() {
    for (;;) {
      const Moment now = load_.scheduler_.now();
      if (open_.empty() && now >= used_ + kIdle) co_return false;
      if (!open_.empty() && now >= oldest() + load_.late_) {  // its jobs are lost
        if (end_ == How::none) end_ = How::late;
        co_return false;
      }
      const bool any = co_await connection_->receive(now + milliseconds(100));
      if (any) co_return true;
      if (connection_->end() != Connection::End::none) {
        ending_ = true;
        co_return false;
      }
    }
  }
  bool late(std::size_t job) const {
    return load_.scheduler_.now() >=
           load_.jobs_[job].sent + load_.kinds_[load_.jobs_[job].kind].allow + load_.late_;
  }
  // When the first of the open jobs has no time left.
  Moment oldest() const {
    Moment first = Moment::max();
    for (const auto& [sequence, job] : open_)
      first = std::min(first, load_.jobs_[job].sent + load_.kinds_[load_.jobs_[job].kind].allow);
    return first;
  }

  Load& load_;
  const std::size_t controller_;
  std::optional<Connection> connection_;
  std::deque<Slice> held_;  // until it is up
  std::map<std::int32_t, std::size_t> open_;
  std::map<std::int32_t, std::size_t> done_;    // answered or given up
  std::map<std::int32_t, std::uint64_t> ends_;  // of each in all that was given to the connection
  std::uint64_t given_ = 0;
  enum class How { none, late, halfClosed, closed, reset } end_ = How::none;  // by itself
  int fd_ = -1;                                                               // the connection's
  std::int32_t sequence_ = 0;
  Moment used_{};
  bool ending_ = false;
};

Load::Load(transport::Scheduler& scheduler, transport::Unsent& unsent,
           std::vector<transport::Address> controllers, std::uint64_t seed)
    : scheduler_(scheduler),
      unsent_(unsent),
      dice_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)),
      references_(seed << 32),
      running_(scheduler, [](const char* what) { std::fprintf(stderr, "load: %s\n", what); }) {
  for (const transport::Address& each : controllers) controllers_.push_back({each, false, 0, {}});
  for (std::size_t each = 0; each < controllers_.size(); ++each) running_.spawn(ask(each));
  running_.spawn(drive());
}

Load::~Load() { closing_ = true; }

void Load::begin(double perSecond, std::vector<Kind> kinds) {
  kinds_ = std::move(kinds);
  perSecond_ = perSecond;
}

// Jobs at random times, as many a second as are asked for, over the controllers that the front layer has in.
transport::Task<> Load::drive() {
  Moment next = scheduler_.now();
  for (;;) {
    if (perSecond_ <= 0) {
      co_await scheduler_.sleepUntil(scheduler_.now() + milliseconds(10));
      next = scheduler_.now();
      continue;
    }
    while (next <= scheduler_.now()) {
      next += std::chrono::duration_cast<Moment::duration>(
          std::chrono::duration<double>(std::exponential_distribution<double>(perSecond_)(dice_)));
      double weights = 0;
      for (const Kind& each : kinds_) weights += each.weight;
      double drawn = std::uniform_real_distribution<double>(0, weights)(dice_);
      std::size_t kind = 0;
      while (kind + 1 < kinds_.size() && (drawn -= kinds_[kind].weight) > 0) ++kind;
      for (std::size_t tried = 0; tried < controllers_.size(); ++tried) {
        const std::size_t at = ++turn_ % controllers_.size();
        if (!controllers_[at].good && own_) break;
        if (!controllers_[at].good) continue;
        send(kind, at);
        break;
      }
    }
    co_await scheduler_.sleepUntil(next);
  }
}

// The front layer's heartbeats, over a connection of their own.
transport::Task<> Load::ask(std::size_t controller) {
  Controller& one = controllers_[controller];
  for (;;) {
    transport::Dialled dialled =
        co_await transport::dial(scheduler_, one.address, scheduler_.now() + milliseconds(500));
    if (dialled.descriptor) {
      Connection connection(scheduler_, std::move(dialled.descriptor), 1024, 4096, unsent_);
      for (std::int32_t sequence = 1; !rests_; ++sequence) {
        connection.send({Slice(thrift::heartbeatCall(sequence))});
        const bool more = co_await connection.receive(scheduler_.now() + milliseconds(1000));
        if (!more) break;
        const auto length = thrift::frameLength(connection.input().view());
        if (!length || connection.input().view().size() < thrift::kFrameHead + *length) break;
        one.good = thrift::readReply(connection.input().view().substr(thrift::kFrameHead, *length)).what ==
                   Heard::What::good;
        connection.input().consume(thrift::kFrameHead + *length);
        co_await scheduler_.sleepUntil(scheduler_.now() + beat_);
      }
    }
    one.good = false;
    do {
      co_await scheduler_.sleepUntil(scheduler_.now() + beat_);
    } while (rests_);
  }
}

std::size_t Load::send(std::size_t kind, std::size_t controller) {
  char reference[17];
  std::snprintf(reference, sizeof reference, "%016llx", static_cast<unsigned long long>(++references_));
  Job& job = jobs_.emplace_back();
  job.reference = reference;
  job.kind = kind;
  job.controller = controller;
  job.sent = scheduler_.now();
  ++books_.sent;
  ++books_.open;
  ++controllers_[controller].open;
  const std::size_t made = jobs_.size() - 1;
  told(Event::Kind::sent, made, kinds_[kind].type.c_str());
  place(made);
  return made;
}

std::size_t Load::sendAgain(std::size_t job, std::size_t controller) {
  former_ = jobs_[job].reference;
  const std::size_t made = send(jobs_[job].kind, controller);
  former_.clear();
  return made;
}

bool Load::leave(std::size_t job, Leave how) {
  for (Line* each : controllers_[jobs_[job].controller].lines)
    if (each->has(job)) return each->leave(job, how);
  return false;
}

void Load::rest() {
  rests_ = true;
  for (Controller& each : controllers_)
    for (Line* line : each.lines) line->rest();
}

void Load::told(Event::Kind kind, std::size_t number, const char* what, std::string text) {
  if (!events_) return;
  Event event{.kind = kind, .what = what, .text = std::move(text)};
  if (number != kNoJob) {
    event.reference = jobs_[number].reference;
    event.controller = jobs_[number].controller;
    event.span = kinds_[jobs_[number].kind].allow;
    if (kind == Event::Kind::sent) event.former = former_;
  }
  events_->tell(std::move(event));
}

void Load::place(std::size_t job) {
  const std::size_t controller = jobs_[job].controller;
  Line* best = nullptr;
  for (Line* each : controllers_[controller].lines)
    if (each->room() && (!best || each->open() < best->open())) best = each;
  if (!best || best->open() >= kMostOpen / 2) {
    auto made = std::make_unique<Line>(*this, controller);
    best = made.get();
    running_.spawn(hold(std::move(made)));
  }
  best->take(job);
}

transport::Task<> Load::hold(std::unique_ptr<Line> line) { co_await line->run(); }

void Load::answered(std::size_t number, const Heard& heard) {
  told(Event::Kind::answered, number, nameOf(heard.what), heard.body);
}

// Its client has gone: no answer is owed.
void Load::left(std::size_t number, const char* how) {
  Job& job = jobs_[number];
  if (closing_ || job.gone) return;
  job.gone = true;
  job.ended = scheduler_.now();
  --books_.open;
  --controllers_[job.controller].open;
  told(Event::Kind::gone, number, how);
}

void Load::ended(std::size_t number, const Heard& heard) {
  Job& job = jobs_[number];
  if (job.gone) return answered(number, heard);
  ++job.answers;
  job.ended = scheduler_.now();
  job.what = heard.what;
  job.comeBackMs = heard.comeBackMs;
  ++books_.answers[std::min<std::size_t>(static_cast<std::size_t>(heard.what), 3)];
  --books_.open;
  --controllers_[job.controller].open;
  answered(number, heard);
}

// Its connection ended. One that crossed an idle close is sent once more, on another.
void Load::lose(std::size_t number, const char* how) {
  Job& job = jobs_[number];
  if (closing_ || job.gone) return;
  if (!once_ && !job.again && scheduler_.now() - job.sent < kCross) {
    job.again = true;
    return place(number);
  }
  job.lost = true;
  job.ended = scheduler_.now();
  ++books_.lost;
  --books_.open;
  --controllers_[job.controller].open;
  told(Event::Kind::lost, number, how);
}

}  // namespace paddletrack::standin
