// What sharing costs and how soon all know: fleets of controllers as processes, with relays between each two,
// and, in simulated time, the orders in which a delta may be filled.
#include <sys/resource.h>

#include <cstdio>
#include <queue>

#include "rig/rig.hpp"
#include "share/gossip.hpp"
#include "standin/sharing.hpp"

namespace paddletrack::rig {
namespace {

using standin::Sharing;

// Each two members have two sockets here.
void moreDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

// All doors watched at once: what each member tells last.
class Watch {
 public:
  Watch(Loop& loop, Sharing& fleet, unsigned members) : loop_(loop), told_(members) {
    for (unsigned each = 0; each < members; ++each) watch(fleet, each);
  }
  void watch(Sharing& fleet, unsigned member) {
    lines_.resize(told_.size());
    told_[member] = {};
    lines_[member] = std::make_unique<standin::DoorLine>(loop_, loop_.unsent, fleet.site.door(member));
    lines_[member]->each = [this, member](const std::string& line) {
      const Json read = Json::parse(line);
      if (read.contains("status") && read["status"].contains("share"))
        told_[member] = read["status"]["share"];
      lines_[member]->heard.clear();
    };
    lines_[member]->say("{\"v\":1,\"id\":1,\"do\":\"watch\",\"every_ms\":20}\n");
  }
  const Json& told(unsigned member) const { return told_[member]; }
  // How many ms until all say so; none within so long.
  std::optional<double> until(const std::function<bool(const Json&)>& says, std::chrono::milliseconds most) {
    const transport::Moment begun = loop_.now();
    const bool all = loop_.until(
        [&] {
          return std::all_of(told_.begin(), told_.end(),
                             [&](const Json& each) { return !each.is_null() && says(each); });
        },
        most);
    return all ? std::optional(milliseconds(loop_.now() - begun)) : std::nullopt;
  }
  double bytesOut() const {
    double sum = 0;
    for (const Json& each : told_) sum += each["out"]["bytes"].get<double>();
    return sum;
  }
  double bytesASecond(std::chrono::milliseconds over) {
    const double before = bytesOut();
    const transport::Moment begun = loop_.now();
    loop_.pass(over);
    return (bytesOut() - before) / milliseconds(loop_.now() - begun) * 1000 /
           static_cast<double>(told_.size());
  }

 private:
  Loop& loop_;
  std::vector<std::unique_ptr<standin::DoorLine>> lines_;
  std::vector<Json> told_;
};

bool fleetOf(const std::string& program, unsigned members, int net, unsigned rounds) {
  Loop loop;
  standin::SharingTerms terms;
  terms.program = program;
  terms.net = net;
  terms.members = members;
  terms.seed = members;
  terms.period = "200ms";
  Sharing fleet(loop, terms);
  if (!fleet.start(60s)) throw std::runtime_error("the controllers do not come to know each other");
  Watch watch(loop, fleet, members);
  std::uint64_t jobs = 0;
  const auto agrees = [&](const Json& told) { return told["fleet"]["jobs"] == jobs; };
  std::vector<double> news, healed, restarted;
  const auto keep = [](std::vector<double>& to, const std::optional<double>& took) {
    to.push_back(took.value_or(1e9));
  };
  if (!watch.until(agrees, 10s)) throw std::runtime_error("they do not agree on nothing");
  for (unsigned round = 0; round < rounds; ++round) {
    fleet.work(round % members, 1);
    ++jobs;
    keep(news, watch.until(agrees, 30s));
  }
  std::vector<unsigned> half;
  for (unsigned each = 0; each < members / 2; ++each) half.push_back(each);
  for (unsigned round = 0; round < rounds / 2; ++round) {
    fleet.mesh.part(half);
    loop.pass(100ms);
    fleet.work(0, 3);
    fleet.work(members - 1, 5);
    loop.pass(3s);
    jobs += 8;
    fleet.mesh.heal();
    keep(healed, watch.until(agrees, 30s));
  }
  const double idle = watch.bytesASecond(5s);
  fleet.load.begin(20.0 * members, {standin::Site::lookUps()});
  loop.pass(1s);
  const double loaded = watch.bytesASecond(5s);
  fleet.load.end();
  loop.until([&] { return fleet.load.books().open == 0; }, 5s);
  for (unsigned round = 0; round < rounds / 4; ++round) {
    const unsigned which = round % members;
    const std::string name = watch.told(which)["controller"];
    fleet.signal(which, SIGKILL);
    loop.until([&] { return fleet.site.controller(which).ended().has_value(); }, 5s);
    const transport::Moment begun = loop.now();
    fleet.site.start(which);
    loop.until([&] { return fleet.load.inService(which); }, 10s);
    watch.watch(fleet, which);
    // From its start until it knows all, and all sum the same as it does.
    const bool all = watch
                         .until(
                             [&](const Json& told) {
                               return told["owners"] == members &&
                                      told["fleet"]["jobs"] == watch.told(which)["fleet"]["jobs"];
                             },
                             30s)
                         .has_value();
    restarted.push_back(all ? milliseconds(loop.now() - begun) : 1e9);
  }
  const Json& told = watch.told(0);
  std::uint64_t broken = 0;
  for (unsigned each = 0; each < members; ++each)
    broken += watch.told(each)["dropped"]["broken"].get<std::uint64_t>();
  const double worst = std::max({quantile(news, 1), quantile(healed, 1), quantile(restarted, 1)});
  std::printf("%8u %9.0f %9.0f %9.0f %9.0f %9.0f %9.0f %10.0f %10.0f %8llu %8llu%s\n", members,
              quantile(news, 0.5), quantile(news, 1), quantile(healed, 0.5), quantile(healed, 1),
              quantile(restarted, 0.5), quantile(restarted, 1), idle, loaded,
              told["entries"].get<unsigned long long>(), told["bytes"].get<unsigned long long>(),
              worst < 1e8 && broken == 0 ? "" : "  NOT AS IT SHOULD BE");
  std::fflush(stdout);
  return worst < 1e8 && broken == 0;
}

// A newcomer to a fleet that holds much: how long until it has each owner's small record, and everything.
struct Caught {
  double small = 0, all = 0;
  std::uint64_t datagrams = 0;
};
Caught catchUp(share::Order order, unsigned members, std::size_t largest, std::uint64_t seed) {
  using namespace share;
  struct Member {
    std::unique_ptr<Store> store;
    std::unique_ptr<Gossip> gossip;
  };
  std::vector<Member> fleet(members);
  Span now{0};
  std::size_t wanted = 0;
  for (unsigned each = 0; each < members; ++each) {
    Terms terms;
    terms.owner = "controller-" + std::to_string(each);
    terms.order = order;
    GossipTerms gossip;
    for (unsigned other = 0; other < members; ++other)
      if (other != each) gossip.peers.push_back(other);
    gossip.seed = seed * 1000 + each;
    fleet[each] = {std::make_unique<Store>(terms), nullptr};
    fleet[each].gossip = std::make_unique<Gossip>(*fleet[each].store, gossip);
    // The last one is new; of the others each holds its small record and more or less of a table.
    if (each + 1 == members) continue;
    for (std::size_t row = 0; row * 1000 < largest * each / members; ++row, ++wanted)
      fleet[each].store->put(now, kRebalance, std::to_string(row), std::string(1000, 'r'));
  }
  const auto pulse = [&] {
    for (Member& each : fleet) each.store->put(now, kLoad, "", std::to_string(now.count()));
  };
  pulse();
  for (unsigned one = 0; one + 1 < members; ++one)
    for (unsigned other = 0; other + 1 < members; ++other)
      fleet[one].store->merge(now, fleet[other].store->delta(now, fleet[one].store->digest(now, {}, 1 << 20),
                                                             std::size_t{1} << 26));
  struct Flying {
    Span at;
    unsigned from, to;
    Message message;
  };
  std::deque<Flying> flying;  // all take a millisecond: in order
  Caught made;
  const auto send = [&](unsigned from, Gossip::Letters letters) {
    for (auto& each : letters) {
      const auto to = static_cast<unsigned>(each.to);
      if (to + 1 == members) ++made.datagrams;
      flying.push_back({now + 1ms, from, to, std::move(each.message)});
    }
  };
  const auto count = [&](Topic topic) {
    std::size_t held = 0;
    fleet.back().store->visit(now, topic, [&](auto&, auto, auto&, auto&, Span) { ++held; });
    return held;
  };
  for (; now < 600s; now += 1ms) {
    if (now % 500ms == 0us) pulse();
    for (; !flying.empty() && flying.front().at <= now; flying.pop_front()) {
      const Flying& each = flying.front();
      send(each.to,
           fleet[each.to].gossip->heard(now, each.from, fleet[each.from].store->owner(), each.message));
    }
    for (unsigned each = 0; each < members; ++each)
      if (now >= fleet[each].gossip->next()) send(each, fleet[each].gossip->turn(now));
    if (made.small == 0 && count(kLoad) == members)
      made.small = std::chrono::duration<double, std::milli>(now).count();
    if (now % 10ms == 0us && made.small > 0 && count(kRebalance) == wanted) {
      made.all = std::chrono::duration<double, std::milli>(now).count();
      break;
    }
  }
  return made;
}

bool orders() {
  std::printf(
      "\nA newcomer to 30 controllers of which the largest share 64 KB and 240 KB, simulated, 1 ms a "
      "datagram,\n"
      "5 seeds each: ms (median) until it has all small records and until it has all; datagrams to it\n\n");
  std::printf("%-8s %-8s %10s %10s %10s\n", "largest", "order", "small", "all", "datagrams");
  bool well = true;
  for (const std::size_t largest : {std::size_t{64000}, std::size_t{240000}})
    for (const auto& [name, order] : {std::pair{"least", share::Order::leastFirst},
                                      {"newest", share::Order::newestFirst},
                                      {"depth", share::Order::depthFirst}}) {
      std::vector<double> small, all, datagrams;
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Caught caught = catchUp(order, 30, largest, seed);
        small.push_back(caught.small), all.push_back(caught.all);
        datagrams.push_back(static_cast<double>(caught.datagrams));
        well = well && caught.all > 0;
      }
      std::printf("%-8zu %-8s %10.0f %10.0f %10.0f\n", largest, name, quantile(small, 0.5),
                  quantile(all, 0.5), quantile(datagrams, 0.5));
      std::fflush(stdout);
    }
  return well;
}

}  // namespace

int measureShare(const std::string& program, const std::vector<unsigned>& fleets, unsigned rounds) {
  moreDescriptors();
  std::printf(
      "Controllers on loopback, period 200 ms, load records every 500 ms. ms until all sum the same: after "
      "one\n"
      "job at one of them (news), after a partition of 3 s in two halves with jobs on both sides (healed), "
      "from\n"
      "the start of one that was killed (restarted); bytes a second that each sends, idle and at 20 jobs a\n"
      "second each; what one holds\n\n");
  std::printf("%8s %9s %9s %9s %9s %9s %9s %10s %10s %8s %8s\n", "members", "news p50", "max", "healed p50",
              "max", "restarted", "max", "idle B/s", "loaded B/s", "entries", "bytes");
  bool well = true;
  int net = 171;
  for (const unsigned each : fleets) well = fleetOf(program, each, net++, rounds) && well;
  return orders() && well ? 0 : 1;
}

}  // namespace paddletrack::rig
