#include "rebalance/mover.hpp"

#include <algorithm>

namespace paddletrack::rebalance {
namespace {

constexpr std::chrono::milliseconds kLook{200};
constexpr Span kLeft{std::chrono::milliseconds(1500)};  // no read there for so long: it has given way
constexpr int kRest = 3;                                // epochs that a moved group rests
constexpr int kAct = 40;                                // per cent over the best load
constexpr int kParts = 2;
constexpr int kWork = 200'000;  // it runs beside the jobs, on one thread

Span onWall() {
  return std::chrono::duration_cast<Span>(std::chrono::system_clock::now().time_since_epoch());
}
std::int64_t startOf(const routing::Executor& engine, Span now, Span wall) {
  if (!engine.listing.started) return 0;
  const Span at = wall - (now - *engine.listing.started);  // the same at every controller but for a few ms
  return std::chrono::duration_cast<std::chrono::seconds>(at + std::chrono::milliseconds(500)).count();
}

}  // namespace

Mover::Mover(transport::Scheduler& scheduler, routing::Desk& desk, share::Store& store,
             std::function<Span()> shared, const MoverTerms& terms, const Say& say)
    : scheduler_(scheduler),
      desk_(desk),
      store_(store),
      shared_(std::move(shared)),
      terms_(terms),
      say_(say),
      agreement_(desk.told().deployment.controllers, terms.windows, onWall()),
      look_(scheduler, [this] { look(); }) {
  desk_.lean(this);
  look_.at(scheduler_.now() + kLook);
}

Mover::~Mover() { desk_.lean(nullptr); }

Span Mover::wall() const { return onWall(); }

double Mover::leaning(std::uint32_t dataSet, const routing::Executor& engine) const {
  const std::vector<std::string>* homes = follower_.homes(dataSet);
  if (!homes) return 1;
  return std::find(homes->begin(), homes->end(), engine.id) != homes->end() ? terms_.lean : 1;
}

void Mover::dispatched(std::uint32_t dataSet, const routing::Executor& engine) {
  const auto key = std::pair(dataSet, engine.id);
  auto at = reads_.find(key);
  if (at == reads_.end() && reads_.size() >= kMostReads) return;
  if (at == reads_.end()) at = reads_.emplace(key, Reads{}).first;
  const std::int64_t started = startOf(engine, desk_.now(), wall());
  if (at->second.started != started) at->second = {0, 0, Span{0}, started};
  ++at->second.now;
  at->second.last = desk_.now();
}

Account Mover::account(std::size_t epochs) const {
  Account made;
  const Deployment& site = desk_.told().deployment;
  const Span now = desk_.now();
  std::map<std::string, std::int64_t> started;
  desk_.eachExecutor([&](const routing::Executor& each) {
    const Listing& listing = each.listing;
    const std::int64_t start = startOf(each, now, wall());
    started[each.id] = start;
    made.engines[each.id] = {
        listing.standing, start,        listing.started && now - *listing.started < site.coldFor,
        listing.location, listing.kind, static_cast<std::int64_t>(site.machines[listing.kind].cores),
        terms_.capacity};
  });
  for (const auto& [key, reads] : reads_) {
    const std::int64_t count = reads.before + (epochs > 1 ? reads.now : 0);
    const auto at = started.find(key.second);
    if (count == 0 || at == started.end() || at->second != reads.started) continue;
    Account::GroupWord& word = made.groups[key.first];
    word.size = terms_.group;
    word.reads[key.second] = count;
    word.resting = follower_.rests(wall(), key.first, kRest * terms_.windows.length);
  }
  return made;
}

// The plan's engines and groups as they are now by this controller's own list and reads: a group has left
// where it gives way and none of its jobs has gone for a while, and has come where one has.
View Mover::seen() const {
  Account words = account(2);
  View seen = gather({{"", words}}, {});
  const View& planned = follower_.planned();
  const Span now = desk_.now();
  seen.groups = planned.groups;
  std::vector<Bytes> held(seen.engines.size());
  for (GroupView& group : seen.groups) {
    std::vector<std::uint32_t> holders;
    for (std::uint32_t each = 0; each < seen.engines.size(); ++each) {
      const auto at = reads_.find({group.number, seen.engines[each].name});
      const bool lately = at != reads_.end() && now - at->second.last < kLeft;
      const auto* homes = follower_.homes(group.number);
      const bool home =
          !homes || std::find(homes->begin(), homes->end(), seen.engines[each].name) != homes->end();
      const bool before = std::binary_search(group.holders.begin(), group.holders.end(), each);
      if (lately || (before && home)) holders.push_back(each), held[each] += group.size;
    }
    group.holders = std::move(holders);
  }
  for (std::uint32_t each = 0; each < held.size(); ++each)
    seen.engines[each].headroom = seen.engines[each].capacity - held[each];
  return seen;
}

void Mover::look() {
  look_.at(scheduler_.now() + kLook);
  const Span clock = wall();
  const Windows& windows = terms_.windows;
  const std::uint64_t epoch = windows.epoch(clock);
  if (epoch_ < epoch) {
    for (auto at = reads_.begin(); at != reads_.end();) {
      at->second.before = std::exchange(at->second.now, 0);
      at = at->second.before == 0 ? reads_.erase(at) : std::next(at);
    }
    const bool first = epoch_ == 0;
    epoch_ = epoch;
    if (!first) put(store_, shared_(), epoch, account(1));
  }
  const bool inTime = clock >= windows.taken(epoch) && clock < windows.ends(epoch);
  if (inTime && begun_ < epoch) {
    const Words words = read(store_, shared_(), epoch);
    if (taken_ < epoch) {
      taken_ = epoch;
      view_ = gather(words.accounts, {});
      digest_ = digest(view_);
      if (agreement_.promise({epoch, digest_})) put(store_, shared_(), *agreement_.own());
    }
    for (const auto& [owner, promise] : words.promises)
      if (owner != store_.owner()) agreement_.heard(owner, promise);
    if (agreement_.agreed({epoch, digest_})) {
      begun_ = epoch;
      Terms terms;
      terms.act = kAct, terms.parts = kParts, terms.work = kWork;
      Plan made = plan(view_, terms);
      say_("rebalance",
           "epoch " + std::to_string(epoch) + ": " + std::to_string(made.moves.size()) + " moves, " +
               std::to_string(made.bytes) + " bytes, " + std::to_string(made.forced) + " of them forced, " +
               std::to_string(made.homeless + made.putOff) + " left out; view " + std::to_string(digest_));
      follower_.begin(clock, view_, std::move(made), windows.ends(epoch));
    }
  }
  if (!follower_.following()) return;
  follower_.look(clock, seen());
  if (!follower_.following() && follower_.ended() != Ended::time)
    say_("rebalance", std::string(nameOf(follower_.ended())));
}

}  // namespace paddletrack::rebalance
