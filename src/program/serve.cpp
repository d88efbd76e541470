#include "program/serve.hpp"

#include <fcntl.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>

#include "command/call.hpp"
#include "operating/door.hpp"
#include "operating/keeper.hpp"
#include "program/log.hpp"
#include "program/signals.hpp"
#include "rebalance/mover.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"
#include "routing/follower.hpp"
#include "share/post.hpp"

namespace paddletrack::program {
namespace {

using std::chrono::milliseconds;

constexpr const char* kNotTaken = "not taken, the old one stays: ";
constexpr milliseconds kCounted{10000};  // between lines of counts

// How the limits told are shared out.
constexpr std::size_t kUnsentShare = 4;   // of the memory: a fourth for bytes on their way out
constexpr std::size_t kInputShare = 8;    // an eighth for requests that are still coming in
constexpr std::size_t kOpenBytes = 8192;  // that an open request may cost, with its result; a fourth for all
constexpr std::size_t kLeastShared = 14;  // descriptors, for clients and executors
// Standard streams, epoll, signals, listener, the change log and the one it moves to, a file that is read
// again, one to spare.
constexpr std::size_t kOwnDescriptors = 3 + 1 + 1 + 1 + 2 + 1 + 1;

// Those that whoever started this process left open beside the standard streams: none of them is to be had.
std::size_t inherited(std::size_t bound) {
  constexpr std::size_t kFirst = 3, kLooked = 4096;
  std::size_t count = 0;
  for (std::size_t each = kFirst; each < std::min(bound, kLooked); ++each)
    count += ::fcntl(static_cast<int>(each), F_GETFD) >= 0 ? 1 : 0;
  return count;
}

transport::Task<> count(transport::Scheduler& scheduler, const routing::Desk& desk,
                        const routing::ClientSide& clients, const Say& say) {
  for (;;) {
    co_await scheduler.sleepUntil(scheduler.now() + kCounted);
    const auto late = std::chrono::duration_cast<milliseconds>(scheduler.worstLateness()).count();
    say("counts", clients.counts());
    say("counts", desk.counts() + "; a timer " + std::to_string(late) + " ms late at most");
  }
}

// Reads both files again by the same code and checks. What is wrong with one is said, and all of it stays as
// it was.
void reload(const std::string& path, const Node& node, routing::Follower& follower, const Say& say) {
  try {
    const Node read = readNode(path);
    if (const std::string key = anothers(node, read); !key.empty())
      throw Misconfigured(path + ": " + key, "it is another controller's or customer's");
    const std::string fixed = fixedDifferences(node, read);
    if (!fixed.empty()) say("configuration", "only a restart changes " + fixed);
    say("configuration",
        follower.move(read.changeLog) ? "read again: the change log has moved" : "read again");
  } catch (const std::exception& error) {
    say("configuration", typed(error, path), {}, Level::warning, kNotTaken);
  }
}

void reload(Operator& owner, operating::Keeper& keeper, Log& log, const Say& say) {
  if (owner.path.empty()) return;
  try {
    operating::Settings read = operating::readSettings(owner.path);
    const auto& was = owner.settings.door;
    if (read.door.socket != was.socket || read.door.clients != was.clients || read.door.line != was.line ||
        read.door.unsent != was.unsent || read.door.idle != was.idle) {
      say("configuration", "only a restart changes the door");
      read.door = was;
    }
    if (read.share != owner.settings.share) {
      say("configuration", "only a restart changes what is shared");
      read.share = owner.settings.share;
    }
    const auto& start = owner.settings.coldstart;
    if (read.coldstart.follows != start.follows || read.coldstart.reads != start.reads ||
        read.coldstart.longest != start.longest) {
      say("configuration", "only a restart changes coldstart");
      read.coldstart = start;
    }
    if (read.rebalance != owner.settings.rebalance) {
      say("configuration", "only a restart changes the rebalancing");
      read.rebalance = owner.settings.rebalance;
    }
    if (read.hindsight != owner.settings.hindsight) {
      say("configuration", "only a restart changes what is kept to look back at");
      read.hindsight = owner.settings.hindsight;
    }
    owner.settings = std::move(read);
    keeper.change(owner.settings.drain);
    keeper.prefer(owner.settings.prefer);
    log.change(owner.form(), owner.level(), owner.settings.topicLevels);
    say("configuration", "the operator's file is read again");
  } catch (const std::exception& error) {
    say("configuration", typed(error, owner.path), {}, Level::warning, kNotTaken);
  }
}

std::optional<share::PostTerms> sharing(const Node& node, const operating::ShareTerms& terms) {
  if (terms.listen.empty()) return std::nullopt;
  if (node.name.empty() || node.name.size() > share::kLongestOwner)
    throw Misconfigured("name: 1 to " + std::to_string(share::kLongestOwner) +
                        " bytes are wanted where the operator's file has share.listen");
  share::PostTerms made{transport::Address(terms.listen), terms.cluster, {}, {}};
  made.store.owner = node.name;
  // Later starts have later times; a clock that went back is noticed by what others hold.
  made.store.generation = static_cast<std::uint64_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch()).count(), 1));
  made.store.keep = terms.keep;
  made.gossip.period = terms.period;
  made.gossip.seed = node.seed ^ made.store.generation;
  for (const std::string& each : terms.peers)
    if (each != terms.listen) made.gossip.peers.push_back(transport::placeOf(transport::Address(each)));
  return made;
}

void tellLoad(share::LoadShare& loads, Span now, const routing::Desk& desk) {
  if (now < loads.next()) return;
  std::map<std::string, share::Load> engines;
  share::Load all{0, desk.totals().taken};
  desk.eachExecutor([&](const routing::Executor& each) {
    const auto threads = static_cast<std::uint64_t>(std::max(each.threads, 0.0) + 0.5);
    engines[each.id] = {threads, each.sent};
    all.threads += threads;
  });
  loads.write(now, engines, all);
}

operating::Status::Share shareStatus(share::Post& post, const share::PostTerms& terms) {
  operating::Status::Share told;
  const Span now = post.now();
  const share::Store& store = post.store();
  const share::Gossip& gossip = post.gossip();
  told.cluster = terms.cluster;
  told.owner = store.owner();
  told.generation = store.generation();
  told.laterLives = gossip.again();
  told.owners = store.owners();
  told.entries = store.entries();
  told.bytes = store.bytes();
  told.mostBytes = terms.store.mostBytes;
  told.peers = terms.gossip.peers.size();
  told.peersHeard = gossip.heardSince(now - share::FleetLoad::kLive);
  for (const share::Where peer : terms.gossip.peers) {
    if (told.each.size() == told.kMostPeers) break;
    auto& view = told.each.emplace_back();
    view.address = transport::nameOf(peer);
    if (const share::Gossip::Heard* heard = gossip.lastHeard(peer)) {
      view.owner = heard->sender;
      view.heardAgo = now - heard->at;
    }
  }
  const share::Post::Traffic& traffic = post.traffic();
  told.datagramsIn = traffic.datagramsIn;
  told.bytesIn = traffic.bytesIn;
  told.datagramsOut = traffic.datagramsOut;
  told.bytesOut = traffic.bytesOut;
  for (std::size_t each = 0; each < share::kDrops; ++each) {
    const auto why = static_cast<share::Drop>(each);
    told.dropped.emplace_back(nameOf(why), gossip.drops(why));
  }
  const share::FleetLoad fleet = share::fleetLoad(store, now);
  told.controllers = fleet.controllers;
  told.live = fleet.live;
  told.all = {fleet.all.threads, fleet.all.jobs};
  for (const auto& [name, load] : fleet.engines) {
    if (told.engines.size() == told.kMostEngines) break;
    told.engines.emplace_back(name, operating::Status::Share::Load{load.threads, load.jobs});
  }
  return told;
}

// Looks back every kLooked at most, however often it is asked.
class LookBack {
 public:
  LookBack(const Node& node, const operating::HindsightTerms& terms, const routing::Desk& desk)
      : node_(node), desk_(desk), recorder_(node.told.deployment, {terms.records, terms.window}) {}
  hindsight::Recorder& recorder() { return recorder_; }

  void tell(share::Store& store, Span now) {
    look();
    if (std::exchange(told_, version_) != version_) hindsight::tell(store, now, share::kHindsight, entries_);
  }
  operating::Status::Hindsight status(const share::Store* store, Span now) {
    look();
    const auto counts = recorder_.counts();
    operating::Status::Hindsight told;
    told.window = recorder_.terms().window;
    told.records = recorder_.terms().records;
    told.held = held_;
    told.open = counts.open;
    told.finished = counts.finished;
    told.dropped = counts.dropped;
    hindsight::Fleet own;
    for (const hindsight::Entry& each : entries_) own.hear(node_.name, 1, each.key, each.value);
    told.own = hindsight::toldOf(own);
    if (store) told.fleet = hindsight::toldOf(hindsight::heard(*store, now, share::kHindsight));
    return told;
  }

 private:
  static constexpr Span kLooked{std::chrono::seconds(2)};
  void look() {
    const Span now = desk_.now();
    if (version_ > 0 && now - lookedAt_ < kLooked) return;
    lookedAt_ = now;
    const auto records = recorder_.records(now);
    held_ = records.size();
    hindsight::Names names{node_.told.typeNames, node_.told.locationNames, {}};
    desk_.eachExecutor([&](const routing::Executor& each) { names.engines[each.number] = each.id; });
    entries_ = hindsight::entriesOf(hindsight::summarise(records), names, ++version_);
  }

  const Node& node_;
  const routing::Desk& desk_;
  hindsight::Recorder recorder_;
  std::vector<hindsight::Entry> entries_;
  std::size_t held_ = 0;
  std::uint64_t version_ = 0, told_ = 0;  // told: to the others
  Span lookedAt_{0};
};

transport::Task<> heed(Signals& signals, std::function<void()> leaving, std::function<void()> reloading) {
  for (;;) {
    const int signal = co_await signals.next();
    try {
      signal == SIGHUP ? reloading() : leaving();
    } catch (const std::exception& error) {  // half told to end it would neither serve nor end
      std::_Exit(command::told(typed(error, "a signal's work")));
    }
  }
}

}  // namespace

int serve(const Node& node, const std::string& path, Operator owner) {
  const std::size_t held = inherited(node.descriptors);
  Log log;
  log.change(owner.form(), owner.level(), owner.settings.topicLevels);
  const Say say([&log](const Said& said) { log.say(said); });
  transport::Scheduler scheduler;
  transport::Unsent unsent{node.memoryBytes / kUnsentShare, 0};
  const Deployment& site = node.told.deployment;
  if (site.mayProbe || site.mayTellPeers || site.progressPace > Span{0})
    say("unsupported",
        "the settings allow probes, peers or notes: there is no message for these, they are not used");

  // Usual clients hold a third of the descriptors, executors are few: the rest is room for the others.
  const bool hasDoor = !owner.settings.door.socket.empty();
  const std::size_t wanted = kOwnDescriptors + (hasDoor ? owner.settings.door.clients + 2 : 0) +
                             (owner.settings.share.listen.empty() ? 0 : 1);
  if (wanted + kLeastShared > node.descriptors)
    throw Misconfigured(owner.path + ": door.clients",
                        std::to_string(owner.settings.door.clients) + " leave too few of limits.sockets");
  // Many inherited ones are no reason not to start: they take no more than what is beyond the least.
  const std::size_t used = wanted + std::min(held, node.descriptors - wanted - kLeastShared);
  // However many descriptors there are, each connection has room for a request.
  const std::size_t connections =
      std::min((node.descriptors - used) * 2 / 3, node.memoryBytes / kInputShare / kOpenBytes);
  const std::size_t links = node.descriptors - used - connections;
  routing::Desk::Bounds bounds;
  bounds.open = std::min(node.told.mostOpen, node.memoryBytes / 4 / kOpenBytes);
  bounds.links = {node.told.sharedBy, links, node.told.dialTimeout, node.told.idleClose,
                  owner.settings.prefer};
  routing::Desk desk(scheduler, unsent, node.told, bounds, node.seed, say);
  desk.tellBroken([](const Error& error) { std::_Exit(command::told(error)); });
  for (const protocol::Change& change : node.changes) desk.listed(change);
  const std::size_t frame = std::min<std::size_t>(1 << 20, node.memoryBytes / kInputShare / connections);
  routing::ClientSide clients(scheduler, unsent, node.listen, {connections, frame, frame}, desk, say);
  coldstart::Terms start = owner.settings.coldstart;
  start.controllers = site.controllers;
  // Those that were given one seed by mistake do not come together for that.
  const std::uint64_t own = node.seed ^ std::hash<std::string>()(node.name);
  routing::Follower follower(scheduler, unsent, node.changeLog, node.known, own, desk, say, start);

  operating::Keeper keeper(scheduler, desk, clients, node.name, owner.settings.drain, say,
                           [&] { scheduler.stop(); });
  std::optional<operating::Door> door;
  if (hasDoor) {
    keeper.learnLengths();
    keeper.tellList([&follower] { return follower.view(); });
    door.emplace(scheduler, owner.settings.door, keeper, say);
  }

  const std::optional<share::PostTerms> shares = sharing(node, owner.settings.share);
  std::optional<share::Post> post;
  std::optional<share::LoadShare> loads;
  if (shares) {
    post.emplace(scheduler, *shares, say);
    loads.emplace(post->store());
    post->beforeTurns([&](Span now) { tellLoad(*loads, now, desk); });
    keeper.tellShare([&] { return shareStatus(*post, *shares); });
    say("share", "with " + std::to_string(shares->gossip.peers.size()) + " peers, at " +
                     owner.settings.share.listen + ", cluster " + shares->cluster);
  }

  std::optional<rebalance::Mover> mover;
  if (const auto& terms = owner.settings.rebalance; post && terms.capacity > 0)
    mover.emplace(
        scheduler, desk, post->store(), [&post] { return post->now(); },
        rebalance::MoverTerms{static_cast<rebalance::Bytes>(terms.capacity),
                              static_cast<rebalance::Bytes>(terms.group),
                              {terms.period, terms.guard},
                              static_cast<double>(terms.lean) / 100},
        say);
  std::optional<LookBack> lookBack;
  if (owner.settings.hindsight.records > 0) {
    lookBack.emplace(node, owner.settings.hindsight, desk);
    desk.lookBack(lookBack->recorder());
    if (post) post->beforeTurns([&](Span now) { lookBack->tell(post->store(), now); });
    keeper.tellHindsight(
        [&] { return lookBack->status(post ? &post->store() : nullptr, post ? post->now() : desk.now()); });
    say("hindsight", std::to_string(owner.settings.hindsight.records) + " records at most");
  }

  Signals signals(scheduler);
  transport::Group running(scheduler, [&](const char* what) {
    say("leaving", Error(ErrorKind::unexpected, "", what), {}, Level::error);
  });
  running.spawn(heed(
      signals, [&] { keeper.stop(); },
      [&] {
        reload(path, node, follower, say);
        reload(owner, keeper, log, say);
      }));
  running.spawn(count(scheduler, desk, clients, say));
  if (hasDoor) say("door", "open at " + owner.settings.door.socket);
  say("serving", node.name + ", " + std::to_string(site.types.size()) + " reservation types, " +
                     std::to_string(node.changes.size()) + " known changes");
  scheduler.run();
  return 0;
}

}  // namespace paddletrack::program
