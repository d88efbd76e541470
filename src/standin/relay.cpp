#include "standin/relay.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace paddletrack::standin {
namespace {

constexpr std::size_t kLongest = 65535;
constexpr std::size_t kUnread = 64 * 1024;  // of a stream, before its sender has to wait
constexpr milliseconds kLook{2};            // at a cut that may have been mended

bool happens(std::mt19937_64& dice, double chance) {
  return chance > 0 && std::uniform_real_distribution<double>(0, 1)(dice) < chance;
}
milliseconds delayOf(std::mt19937_64& dice, const Faults& faults) {
  const auto most = std::max(faults.least, faults.most);
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(faults.least.count(), most.count())(dice));
}

}  // namespace

UdpRelay::UdpRelay(transport::Scheduler& scheduler, const End& one, const End& other, std::uint64_t seed)
    : scheduler_(scheduler),
      atOther_(scheduler, other.seen, kLongest),
      atOne_(scheduler, one.seen, kLongest),
      dice_(seed),
      land_(scheduler, [this] { land(); }),
      running_(scheduler, [](const char*) {}) {
  running_.spawn(carry(atOther_, atOne_, transport::placeOf(other.real), there));
  running_.spawn(carry(atOne_, atOther_, transport::placeOf(one.real), back));
}

transport::Task<> UdpRelay::carry(transport::Datagrams& in, transport::Datagrams& out, std::uint64_t to,
                                  const Faults& faults) {
  for (;;) {
    const auto got = in.read();
    if (!got) {
      co_await in.readable();
      continue;
    }
    if (faults.cut || happens(dice_, faults.drop)) {
      ++counts_.lost;
      continue;
    }
    const int copies = happens(dice_, faults.twice) ? 2 : 1;
    counts_.doubled += static_cast<std::uint64_t>(copies - 1);
    for (int copy = 0; copy < copies; ++copy) {
      if (flying_.size() >= kMostHeld) {
        ++counts_.lost;
        continue;
      }
      milliseconds delay = delayOf(dice_, faults);
      if (happens(dice_, faults.late)) delay += faults.lateBy;
      flying_.emplace(scheduler_.now() + delay, Flying{&out, to, std::string(got->bytes)});
    }
    land();
    co_await scheduler_.turn();
  }
}

void UdpRelay::land() {
  while (!flying_.empty() && flying_.begin()->first <= scheduler_.now()) {
    const Flying& next = flying_.begin()->second;
    if (next.out->send(next.to, next.bytes)) {
      ++counts_.passed;
      counts_.bytes += next.bytes.size();
    } else {
      ++counts_.lost;
    }
    flying_.erase(flying_.begin());
  }
  if (!flying_.empty()) land_.at(flying_.begin()->first);
}

// ---- TCP
// ----------------------------------------------------------------------------------------------------

// One connection through the relay: both its sockets, and how it ends.
struct TcpRelay::Pair {
  Pair(TcpRelay& of, int nearFd, int farFd) : relay(of), fds{nearFd, farFd}, over(of.scheduler_) {
    place = relay.pairs_.insert(relay.pairs_.end(), this);
  }
  ~Pair() { relay.pairs_.erase(place); }
  void reset() {
    const linger now{1, 0};
    for (const int fd : fds) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ++relay.counts_.reset;
    over.set();
  }
  TcpRelay& relay;
  const std::array<int, 2> fds;
  transport::Signal over;
  std::list<Pair*>::iterator place;
};

TcpRelay::TcpRelay(transport::Scheduler& scheduler, transport::Unsent& unsent,
                   const transport::Address& listen, const transport::Address& to, std::uint64_t seed)
    : scheduler_(scheduler),
      unsent_(unsent),
      to_(to),
      dice_(seed),
      listener_(scheduler, listen),
      running_(scheduler, [](const char*) {}) {
  running_.spawn(this->listen());
}

TcpRelay::~TcpRelay() = default;

transport::Task<> TcpRelay::listen() {
  for (;;) {
    std::unique_ptr<transport::Descriptor> accepted = co_await listener_.accept();
    ++counts_.connections;
    if (refuse || pairs_.size() >= kMostConnections) {
      const linger now{1, 0};
      ::setsockopt(accepted->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      ++counts_.refused;
      continue;
    }
    running_.spawn(serve(std::move(accepted)));
  }
}

transport::Task<> TcpRelay::serve(std::unique_ptr<transport::Descriptor> accepted) {
  transport::Dialled dialled =
      co_await transport::dial(scheduler_, to_, scheduler_.now() + milliseconds(1000));
  if (!dialled.descriptor) {
    const linger now{1, 0};
    ::setsockopt(accepted->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ++counts_.unreached;
    co_return;
  }
  Pair pair(*this, accepted->fd(), dialled.descriptor->fd());
  transport::Connection near(scheduler_, std::move(accepted), 16 * 1024, kUnread, unsent_);
  transport::Connection far(scheduler_, std::move(dialled.descriptor), 16 * 1024, kUnread, unsent_);
  transport::Group both(scheduler_, [&](const char*) { pair.over.set(); });
  both.spawn(carry(pair, near, far, there, counts_.bytesThere));
  both.spawn(carry(pair, far, near, back, counts_.bytesBack));
  co_await pair.over.wait();
}

transport::Task<> TcpRelay::carry(Pair& pair, transport::Connection& in, transport::Connection& out,
                                  const Faults& faults, std::uint64_t& bytes) {
  std::size_t passed = 0;
  for (;;) {
    const bool more = co_await in.receive();
    if (!more) break;
    while (faults.cut) co_await scheduler_.sleepUntil(scheduler_.now() + kLook);
    if (const milliseconds delay = delayOf(dice_, faults); delay > milliseconds(0))
      co_await scheduler_.sleepUntil(scheduler_.now() + delay);
    std::string_view held = in.input().view();
    const bool cutsOff = faults.resetAfter && passed + held.size() >= *faults.resetAfter;
    if (cutsOff) held = held.substr(0, *faults.resetAfter - std::min(passed, *faults.resetAfter));
    if (!held.empty()) out.send({transport::Slice(std::string(held))});
    passed += held.size();
    bytes += held.size();
    in.input().consume(held.size());
    co_await out.drained(cutsOff ? 0 : kUnread, scheduler_.now() + milliseconds(5000));
    if (cutsOff) {
      co_await scheduler_.sleepUntil(scheduler_.now() + kLook);  // a reset must not overtake what was written
      pair.reset();
      co_return;
    }
  }
  if (in.end() == transport::Connection::End::reset) {
    pair.reset();
  } else {
    co_await out.drained(0, scheduler_.now() + milliseconds(5000));
    pair.over.set();
  }
}

void TcpRelay::resetAll() {
  for (Pair* each : pairs_) each->reset();
}

// ---- a mesh
// -------------------------------------------------------------------------------------------------

namespace {

std::string textOf(int net, unsigned host, unsigned port) {
  return "127.0." + std::to_string(net) + "." + std::to_string(host) + ":" + std::to_string(port);
}
constexpr unsigned kFirstHost = 100, kRealPort = 17946, kSeenPort = 18000;

}  // namespace

Mesh::Mesh(transport::Scheduler& scheduler, int net, unsigned members, std::uint64_t seed)
    : net_(net), members_(members) {
  for (unsigned one = 0; one < members; ++one)
    for (unsigned other = one + 1; other < members; ++other)
      relays_[{one, other}] =
          std::make_unique<UdpRelay>(scheduler, UdpRelay::End{real(one), seen(one, other)},
                                     UdpRelay::End{real(other), seen(other, one)}, seed + one * 1000 + other);
}

std::string Mesh::realText(unsigned member) const { return textOf(net_, kFirstHost + member, kRealPort); }
transport::Address Mesh::real(unsigned member) const { return transport::Address(realText(member)); }
transport::Address Mesh::seen(unsigned member, unsigned by) const {
  return transport::Address(textOf(net_, kFirstHost + member, kSeenPort + by));
}

std::string Mesh::peersText(unsigned member) const {
  std::string all;
  for (unsigned other = 0; other < members_; ++other)
    if (other != member)
      all += (all.empty() ? "\"" : ", \"") + textOf(net_, kFirstHost + other, kSeenPort + member) + "\"";
  return "[" + all + "]";
}

Faults& Mesh::way(unsigned from, unsigned to) {
  UdpRelay& relay = *relays_.at({std::min(from, to), std::max(from, to)});
  return from < to ? relay.there : relay.back;
}

void Mesh::all(const Faults& faults) {
  for (auto& [ends, relay] : relays_) relay->there = relay->back = faults;
}

void Mesh::part(const std::vector<unsigned>& group) {
  const auto in = [&](unsigned member) {
    return std::find(group.begin(), group.end(), member) != group.end();
  };
  for (auto& [ends, relay] : relays_)
    if (in(ends.first) != in(ends.second)) relay->there.cut = relay->back.cut = true;
}

}  // namespace paddletrack::standin
