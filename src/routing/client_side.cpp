#include "routing/client_side.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <tuple>
#include <utility>

#include "fault/fault.hpp"
#include "protocol/statement.hpp"

namespace paddletrack::routing {
namespace {

namespace thrift = protocol::thrift;

constexpr std::size_t kUsualInput = 4 * 1024;
constexpr std::size_t kLoggedName = 40;  // bytes that a client names things with
constexpr std::size_t kLongestKey = 256;  // bytes of an idempotency key
constexpr std::size_t kMostOpen = 32;    // requests on one connection
// Whole messages that are known and not taken: withdrawals come on top of the requests.
constexpr std::size_t kMostAhead = kMostOpen * 8;
constexpr std::size_t kTurn = kMostOpen / 4;  // messages that one client has taken before others have a turn
// No dispatch begins later than 100 ms after its client has gone. Who has filled what is read ahead, and does
// not read its answers, could withdraw unseen: it is ended after half of that.
constexpr std::chrono::milliseconds kUnseen{50};

// A request may be read late and its last answer written late while this process waits for its core: a job's
// time ends so many slacks of the rule before its client's.
constexpr int kAheadSlacks = 3;

constexpr std::chrono::milliseconds kRoomRest{20};
// A request that crosses a close within 50 ms is sent again by its client: twice as long is read out, and no
// more bytes than a client's open requests have usually.
constexpr std::chrono::milliseconds kLinger{100};
constexpr std::size_t kLingerBytes = 64 * 1024;
// In a full house so many of the connections are kept for those that linger, lest each newcomer cut one
// short.
constexpr std::size_t kLingerParts = 16;
constexpr int kFreshParts = 8;  // of the time for a whole message: so long a connection counts as just come

// So many requests in a row that can't be used, and the connection is not one of a client.
constexpr int kMostUnusable = 8;

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// A figure of the request, within what can be meant.
double figure(std::string_view name, std::string_view text, double most) {
  const std::optional<double> read = number(text);
  if (!read || *read < 0 || *read > most)
    throw protocol::Unreadable(std::string(name), "'" + std::string(text.substr(0, 40)) + "' can't be used");
  return *read;
}

// It goes to executors as one of their fields, and must not bring others along.
std::string_view passable(std::string_view idempotencyKey) {
  if (idempotencyKey.size() > kLongestKey ||
      std::any_of(idempotencyKey.begin(), idempotencyKey.end(),
                  [](char each) { return each <= ' ' || each > '~' || each == ',' || each == '='; }))
    throw protocol::Unreadable("replay", "it can't be passed on");
  return idempotencyKey;
}

Span ofMilliseconds(double value) { return Span{std::llround(value * 1000)}; }

}  // namespace

// One connection of a client. The requests that are open on it when it ends have lost their client.
class ClientSide::Session final : private Exchange::Asker {
 public:
  Session(ClientSide& side, std::unique_ptr<transport::Descriptor> accepted)
      : side_(side),
        connection_(side.scheduler_, std::move(accepted), kUsualInput,
                    thrift::kFrameHead + side.bounds_.frame, side.unsent_) {
    place_ = side_.connected_.insert(side_.connected_.end(), this);
    ++side_.counts_.accepted;
  }
  ~Session() {
    while (!open_.empty()) leave(open_.begin()->first);
    (lingers_ ? side_.lingering_ : side_.connected_).erase(place_);
    side_.room_.set();
  }

  // What has come is known as soon as it is read, and taken in its order: withdrawals act at once, also on
  // requests that have not been taken. Nothing is taken from a client that has hung up.
  transport::Task<> run() {
    transport::Inbox& input = connection_.input();
    since_ = side_.scheduler_.now();
    for (;;) {
      if (backedUp()) {
        const bool stirs = co_await connection_.stirred(backedUpUntil());
        if (!stirs && side_.scheduler_.now() >= backedUpUntil()) {
          ++side_.counts_.unfinished;
          co_return;
        }
      }
      const bool more = co_await connection_.receive(ahead_.empty() ? patience() : side_.scheduler_.now());
      know();
      if (connection_.hungUp()) co_return;
      if (!connection_.dry() && !crowded()) continue;
      if (!more && ahead_.empty() && !input.full()) {
        const bool looked = std::exchange(looked_, false);
        if (ending_ && looked) {
          if (!side_.closing_) ++side_.counts_.pushedOut;
          co_return;
        }
        if (!ending_ && side_.scheduler_.now() < patience()) continue;
        if (looked) {
          ++(begun_ || !served_ ? side_.counts_.unfinished : side_.counts_.idle);
          co_return;
        }
        lookAgain();
        continue;
      }
      // What has come in the last moment is served, and its connection stays.
      if (std::exchange(ending_, false)) side_.room_.set();
      looked_ = false;
      takeSome();
    }
  }

  // From here on nothing that comes is taken: no answer could reach its client.
  transport::Task<> linger() {
    while (!open_.empty()) leave(open_.begin()->first);
    if (connection_.hungUp()) co_return;
    side_.lingering_.splice(side_.lingering_.end(), side_.connected_, place_);
    lingers_ = true;
    side_.room_.set();
    co_await connection_.linger(side_.scheduler_.now() + kLinger, kLingerBytes);
  }

  // With a request open, or an answer not yet written, it is never ended for another.
  std::size_t unsent() const { return connection_.unsent(); }
  bool spare() const { return open_.empty() && connection_.unsent() == 0 && !ending_; }
  // What could be missed least, lowest first: one that had time to ask and did not, then one that is idle.
  // One that has just come goes last, else connections that stay for good would keep all others out.
  auto worth() const { return std::tuple(!served_ && fresh(), served_, since_); }
  // Has shown nothing yet, or not all of a message, and is not late with it.
  bool coming() const { return (begun_ || !served_) && fresh(); }
  // After a last look at what may have come.
  void end() {
    ending_ = true;
    lookAgain();
  }
  void cut() { connection_.shut(); }
  // The process is to end, and nothing is owed here nor on its way.
  void parts() {
    if (!ending_ && open_.empty() && ahead_.empty() && !coming()) end();
  }

 private:
  // A whole message that has come and not had its turn.
  struct Ahead {
    std::size_t size = 0;
    std::int32_t sequence = 0;
    transport::Moment came{};
    bool settled = false;  // a withdrawal, which acted when it came, or a request that was withdrawn
  };

  // All that has come whole is known from here on; a message that can't be read ends it.
  void know() {
    transport::Inbox& input = connection_.input();
    const transport::Moment now = side_.scheduler_.now();
    while (ahead_.size() < kMostAhead) {
      const std::string_view rest = input.view().substr(known_);
      const auto length = thrift::frameLength(rest);
      if (!length) break;
      const std::size_t whole = thrift::kFrameHead + *length;
      if (whole > input.most())
        throw protocol::Unreadable("a frame of " + std::to_string(*length) + " bytes");
      if (rest.size() < whole) {
        input.expect(known_ + whole);
        break;
      }
      know(thrift::readMessage(rest.substr(thrift::kFrameHead, *length)), whole, now);
      known_ += whole;
      begun_ = false;
      since_ = now;
    }
    const bool part = input.view().size() > known_;
    if (part && !begun_) since_ = now;
    begun_ = part;
  }

  void know(const thrift::Message& message, std::size_t size, transport::Moment now) {
    PADDLETRACK_TABLE("ahead");
    Ahead& made = ahead_.emplace_back(size, message.sequence, now);
    const bool call = message.kind == thrift::Kind::call;
    if (message.method == "submit" && call) waiting_[message.sequence] = &made;
    if (message.method != "revoke" || (!call && message.kind != thrift::Kind::oneway)) return;
    try {
      const std::int32_t sequence = thrift::readRevoke(message.arguments);
      made.settled = true;
      leave(sequence);
      forgetOwed(sequence);
      if (const auto at = waiting_.find(sequence); at != waiting_.end()) at->second->settled = true;
    } catch (const protocol::Unreadable&) {  // it is judged in its turn
    }
  }

  // A turn's worth: one client with much to say does not keep the others waiting.
  void takeSome() {
    transport::Inbox& input = connection_.input();
    for (std::size_t taken = 0; taken < kTurn && !ahead_.empty() && !backedUp(); ++taken) {
      const Ahead next = ahead_.front();
      if (const auto at = waiting_.find(next.sequence); at != waiting_.end() && at->second == &ahead_.front())
        waiting_.erase(at);
      ahead_.pop_front();
      came_ = next.came;
      if (!next.settled) frame(input.view().substr(thrift::kFrameHead, next.size - thrift::kFrameHead));
      input.consume(next.size);
      known_ -= next.size;
      backedUpSince_.reset(), crowdedSince_.reset();
    }
  }

  // No more is known before some of it was taken.
  bool crowded() const { return connection_.input().full() || ahead_.size() >= kMostAhead; }

  // To its client a request is open until it has the answer: of those that are not written there are never
  // more than it may have open. Below that a request waits only while there is room to wait in.
  bool backedUp() {
    if (ahead_.empty() || ahead_.front().settled || connection_.unsent() == 0) return false;
    while (!owed_.empty() && owed_.front().second <= connection_.written()) owed_.pop_front();
    const bool many = !owed_.empty() && open_.size() + owed_.size() >= kMostOpen;
    if (!many && (connection_.unsent() <= side_.bounds_.unsent || crowded())) return false;
    const transport::Moment now = side_.scheduler_.now();
    if (!backedUpSince_) backedUpSince_ = now;
    if (!crowded())
      crowdedSince_.reset();
    else if (!crowdedSince_)
      crowdedSince_ = now;
    return true;
  }
  transport::Moment backedUpUntil() const {
    return crowdedSince_ ? *crowdedSince_ + kUnseen : *backedUpSince_ + side_.bounds_.idle;
  }
  void forgetOwed(std::int32_t sequence) {
    std::erase_if(owed_, [&](const auto& each) { return each.first == sequence; });
  }
  void owe(std::int32_t sequence) { owed_.emplace_back(sequence, connection_.queued()); }

  void lookAgain() {
    looked_ = true;
    connection_.lookAgain();
  }
  bool fresh() const { return side_.scheduler_.now() - since_ < side_.bounds_.whole / kFreshParts; }
  // Until when it may go on without a whole message. Bytes that drip in do not prolong it.
  transport::Moment patience() const {
    if (begun_) return since_ + side_.bounds_.whole;
    if (!open_.empty()) return side_.scheduler_.now() + side_.bounds_.whole;
    return since_ + (served_ ? side_.bounds_.idle : side_.bounds_.whole);
  }

  void frame(std::string_view bytes) {
    const thrift::Message message = thrift::readMessage(bytes);
    const bool call = message.kind == thrift::Kind::call;
    jobNamed_ = typeNamed_ = {};
    try {
      if (message.method == "submit" && call) {
        try {
          submit(message);
        } catch (const std::bad_alloc&) {  // no room for it: the client may try again, nothing has run
          open_.erase(message.sequence);
          side_.say_("request", Error(ErrorKind::outOfMemory, "a job", "no memory for it, throttled"));
          send(message.sequence, thrift::shed(message.sequence, std::nullopt));
        }
      } else if (message.method == "revoke" && (call || message.kind == thrift::Kind::oneway)) {
        leave(thrift::readRevoke(message.arguments));
      } else if (message.method == "heartbeat" && call) {
        served_ = true;
        const bool inService = !side_.gate_ || side_.gate_->beat();
        send(message.sequence, thrift::heartbeat(message.sequence, inService && side_.desk_.ready()));
      } else if (call) {
        send(message.sequence, thrift::exception(message.method, message.sequence,
                                                 thrift::Fault::unknownMethod, "unknown method"));
      } else {
        throw protocol::Unreadable("a message that no client sends");
      }
    } catch (const protocol::Unreadable& error) {
      if (!call || open_.count(message.sequence) > 0) throw;  // no answer could be told from another's
      if (++unusable_ > kMostUnusable) throw;
      ++side_.counts_.refused;
      side_.say_("request", Error(ErrorKind::jobRefused, error.where(), error.happened()),
                 {{"job", std::string(jobNamed_.substr(0, kLoggedName))},
                  {"reservation_type", std::string(typeNamed_.substr(0, kLoggedName))}},
                 Level::warning, "request not taken: ");
      send(message.sequence,
           thrift::exception(message.method, message.sequence, thrift::Fault::protocol, error.what()));
    }
  }

  void submit(const thrift::Message& message) {
    if (open_.count(message.sequence) > 0) throw protocol::Unreadable("a sequence number that is in use");
    if (open_.size() >= kMostOpen) throw protocol::Unreadable("too many open requests on a connection");
    const thrift::Submit read = thrift::readSubmit(message.arguments);
    jobNamed_ = read.reference;
    typeNamed_ = read.type;
    const protocol::Told& told = side_.desk_.told();
    PADDLETRACK_TABLE("exchange");
    auto made = std::make_unique<Exchange>();
    Exchange& exchange = *made;
    exchange.number = ++side_.taken_;
    exchange.type = &told.deployment.types[protocol::placeOf(told.typeNames, read.type, "service")];
    exchange.typeName = read.type;
    if (read.reference.size() != 16 ||
        read.reference.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
      throw protocol::Unreadable("ref", "16 hex digits are wanted");
    exchange.reference = read.reference;
    if (side_.desk_.holds(exchange.reference)) throw protocol::Unreadable("ref", "it is in use");
    if (!told.customerNames.empty())
      exchange.customer = protocol::placeOf(told.customerNames, read.customer, "project");
    // Its time runs from when it came, whether or not it had to wait here.
    exchange.taken = side_.desk_.now() - std::chrono::duration_cast<Span>(side_.scheduler_.now() - came_);
    constexpr double kDay = 86400e3, kTerabyte = 1 << 20;
    const Span allowed = ofMilliseconds(figure("allow", read.allow, kDay));
    exchange.expires = exchange.taken + allowed - std::min(allowed / 16, told.answerSlack * kAheadSlacks);
    if (!read.effort.empty()) exchange.toldCost = ofMilliseconds(figure("effort", read.effort, kDay));
    if (!read.memory.empty()) exchange.toldMemoryMb = figure("ram", read.memory, kTerabyte);
    exchange.dataSet = protocol::tableGroup(read.statement);
    exchange.idempotencyKey = passable(read.idempotencyKey);
    exchange.statement = connection_.input().keep(read.statement);
    exchange.sequence = message.sequence;
    if (const auto away = side_.gate_ ? side_.gate_->turnsAway() : std::nullopt) {
      served_ = true;
      return send(message.sequence, shed(message.sequence, *away));
    }
    // More than this process may hold: the client may try again, nothing has run.
    if (side_.desk_.full()) return send(message.sequence, thrift::shed(message.sequence, std::nullopt));
    served_ = true;
    unusable_ = 0;
    exchange.asker = this;
    PADDLETRACK_TABLE("open");
    open_.emplace(message.sequence, &exchange);
    side_.desk_.take(std::move(made));
  }

  void leave(std::int32_t sequence) {
    const auto at = open_.find(sequence);
    if (at == open_.end()) return;
    Exchange& left = *at->second;
    open_.erase(at);
    side_.desk_.left(left);
  }

  void answered(Exchange& exchange) override {
    open_.erase(exchange.sequence);
    since_ = side_.scheduler_.now();
    try {
      write(exchange);
    } catch (const std::bad_alloc&) {  // its client is told by the end of the connection
      connection_.shut();
    }
  }

  void write(const Exchange& exchange) {
    switch (exchange.answer) {
      case Exchange::Answer::done: {
        std::size_t size = 0;
        for (const Slice& page : exchange.pages) size += page.size();
        std::deque<Slice> pieces{Slice(thrift::answerHead(exchange.sequence, size))};
        pieces.insert(pieces.end(), exchange.pages.begin(), exchange.pages.end());
        pieces.push_back(Slice::lasting(thrift::answerTail()));
        connection_.send(pieces);
        return owe(exchange.sequence);
      }
      case Exchange::Answer::throttled: {
        return send(exchange.sequence, shed(exchange.sequence, exchange.comeBackIn));
      }
      default:
        return send(exchange.sequence, thrift::fault(exchange.sequence));
    }
  }

  void send(std::int32_t sequence, std::string frame) {
    connection_.send({Slice(std::move(frame))});
    owe(sequence);
  }
  static std::string shed(std::int32_t sequence, Span comeBackIn) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(comeBackIn).count();
    return thrift::shed(sequence, wait > 0 ? std::optional(wait) : std::nullopt);
  }

  ClientSide& side_;
  transport::Connection connection_;
  std::unordered_map<std::int32_t, Exchange*> open_;
  std::deque<Ahead> ahead_;
  std::size_t known_ = 0;                                    // bytes of the input that these stand for
  std::unordered_map<std::int32_t, Ahead*> waiting_;         // the requests among them
  std::deque<std::pair<std::int32_t, std::uint64_t>> owed_;  // answers, until the stream is written so far
  std::optional<transport::Moment> backedUpSince_, crowdedSince_;
  transport::Moment came_{};  // the message whose turn it is
  std::list<Session*>::iterator place_;
  transport::Moment since_{};  // its start, the first byte of what is not whole, or its last sign
  bool begun_ = false;         // a message is not whole
  bool served_ = false;        // something that only clients send has come
  bool ending_ = false, looked_ = false, lingers_ = false;
  int unusable_ = 0;                       // requests in a row
  std::string_view jobNamed_, typeNamed_;  // by the request that is being read, for the log
};

ClientSide::ClientSide(transport::Scheduler& scheduler, transport::Unsent& unsent,
                       const transport::Address& address, const Bounds& bounds, Desk& desk, const Say& say,
                       Gate* gate)
    : scheduler_(scheduler),
      unsent_(unsent),
      bounds_(bounds),
      desk_(desk),
      say_(say),
      gate_(gate),
      listener_(std::in_place, scheduler, address),
      room_(scheduler),
      sessions_(scheduler, [this](const char* what) {
        say_("client", Error(ErrorKind::unexpected, "a client's connection", what));
      }) {
  sessions_.spawn(listen());
}

transport::Task<> ClientSide::listen() {
  for (;;) {
    if (crowded()) makeRoom(true);
    while (connected_.size() + lingering_.size() >= bounds_.connections) {
      if (!lingering_.empty()) {
        lingering_.front()->cut();  // it has had its answers, and the longest time to read them
      } else {
        makeRoom(false);
      }
      co_await room_.wait(scheduler_.now() + kRoomRest);  // or until one has become idle
    }
    try {
      std::unique_ptr<transport::Descriptor> accepted = co_await listener_->accept();
      if (!accepted) {
        listener_.reset();
        co_return;
      }
      sessions_.spawn(serve(std::move(accepted)));
    } catch (const std::exception& error) {  // one connection could not be had: the next may
      say_("client", Error(ErrorKind::acceptFailed, "a client's connection", error.what()));
    }
    co_await scheduler_.turn();
  }
}

void ClientSide::close() {
  closing_ = true;
  if (listener_) listener_->finish();
  for (Session* each : connected_) each->parts();
}

bool ClientSide::crowded() const {
  const std::size_t kept = bounds_.connections / kLingerParts;
  return kept > lingering_.size() && connected_.size() + kept >= bounds_.connections;
}

// A full house must not keep usual clients in the backlog.
void ClientSide::makeRoom(bool ahead) {
  Session* least = nullptr;
  for (Session* each : connected_) {
    if (!each->spare()) continue;
    if (!least || each->worth() < least->worth()) least = each;
  }
  if (least && !(ahead && least->coming())) least->end();
}

std::size_t ClientSide::unsent() const {
  std::size_t bytes = 0;
  for (const Session* each : connected_) bytes += each->unsent();
  return bytes;
}

std::size_t ClientSide::coming() const {
  return static_cast<std::size_t>(std::count_if(connected_.begin(), connected_.end(),
                                                [](const Session* each) { return each->coming(); }));
}

std::string ClientSide::counts() const {
  return "clients: " + std::to_string(connected_.size()) + " connected of " +
         std::to_string(counts_.accepted) + ", requests refused " + std::to_string(counts_.refused) +
         ", closed unreadable " + std::to_string(counts_.unreadable) + ", unfinished " +
         std::to_string(counts_.unfinished) + ", idle " + std::to_string(counts_.idle) + ", for others " +
         std::to_string(counts_.pushedOut);
}

transport::Task<> ClientSide::serve(std::unique_ptr<transport::Descriptor> accepted) {
  try {
    Session session(*this, std::move(accepted));
    try {
      co_await session.run();
    } catch (const protocol::Unreadable& error) {
      ++counts_.unreadable;
      say_("client", Error(ErrorKind::clientUnreadable, error.where(), error.happened()), {}, Level::warning,
           "connection closed: ");
    }
    co_await session.linger();
  } catch (const std::exception& error) {
    say_("client", typed(error, "a client's connection"), {}, Level::warning, "connection closed: ");
  }
}

}  // namespace paddletrack::routing
