// Many controllers over one fleet in one process: the pure parts of the rebalancing, each controller with its
// own clock, list and words of the others, under faults. Nothing is sent; time is counted in seconds.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "rebalance/agreement.hpp"
#include "rebalance/follower.hpp"
#include "rebalance/gather.hpp"

namespace paddletrack::rig {

struct ManyTerms {
  unsigned controllers = 9, engines = 8, groups = 48;
  bool agree = true;  // else each follows the plan of its own view
  int parts = 2;
  int act = 25;
  int room = 120;  // per cent of what an engine holds at first, in the mean
  int skew = 0;    // seconds that clocks differ at most, each way
  std::uint64_t seed = 1;
};

class Many {
 public:
  struct Books {
    unsigned over = 0;             // copies begun that an engine had no room for
    unsigned begun = 0;            // copies read anew
    unsigned plans = 0, done = 0;  // counted at controllers
    rebalance::Bytes bytes = 0;
    std::map<rebalance::Ended, unsigned> ends;
    unsigned unserved = 0;  // seconds x groups without a holder that is ready
  };

  explicit Many(const ManyTerms& terms) : terms_(terms), dice_(terms.seed) {
    for (unsigned each = 0; each < terms.engines; ++each)
      engines_.emplace_back().name = "s-" + std::to_string(100 + each);
    for (unsigned each = 0; each < terms.groups; ++each) {
      groups_.push_back({5 + some(40), 5 + some(60)});
      Engine& engine = engines_[each % terms.engines];
      engine.held[each] = 0;
    }
    for (Engine& each : engines_) each.capacity = each.capacityBefore = 6 * 25 * terms.room / 100;
    for (unsigned each = 0; each < terms.controllers; ++each) {
      controllers_.emplace_back().name = "c" + std::to_string(100 + each);
      controllers_.back().skew = terms.skew > 0 ? some(2 * terms.skew + 1) - terms.skew : 0;
      restart(each);
      controllers_.back().list = list();
    }
  }

  // Faults.
  void lose(unsigned engine) { engines_[engine].standing = Standing::gone, engines_[engine].held.clear(); }
  void drain(unsigned engine) { engines_[engine].standing = Standing::draining; }
  void bringBack(unsigned engine) {
    Engine& one = engines_[engine];
    one.standing = Standing::ready, one.started = now_ + 1, one.held.clear();
  }
  void shrink(unsigned engine, int percent) {
    engines_[engine].capacity = engines_[engine].capacity * percent / 100, engines_[engine].shrunk = now_;
  }
  void split(std::function<unsigned(unsigned)> side) { side_ = std::move(side); }  // none: healed
  void stop(unsigned controller, bool stopped) { controllers_[controller].stopped = stopped; }
  void oldList(unsigned controller, bool old) { controllers_[controller].old = old; }
  void restart(unsigned controller) {
    Controller& one = controllers_[controller];
    one.words.clear();
    one.agreement =
        std::make_unique<rebalance::Agreement>(terms_.controllers, windows_, span(now_ + one.skew));
    one.follower = std::make_unique<rebalance::Follower>(rebalance::Pace{8, 2, std::chrono::seconds(8)});
    one.takenFor = one.begun = 0;
  }
  template <typename To>
  void shift(To to) {  // reading changes
    for (unsigned each = 0; each < groups_.size(); ++each) groups_[each].rate = to(each, groups_[each].rate);
  }

  void pass(int seconds) {
    for (const int end = now_ + seconds; now_ < end; ++now_) second();
  }
  int now() const { return now_; }
  const Books& books() const { return books_; }
  bool held(unsigned group, unsigned engine) const { return engines_[engine].held.count(group) > 0; }
  std::vector<unsigned> holders(unsigned group) const {
    std::vector<unsigned> all;
    for (unsigned each = 0; each < engines_.size(); ++each)
      if (held(group, each) && engines_[each].standing == Standing::ready) all.push_back(each);
    return all;
  }
  const rebalance::Follower& follower(unsigned controller) const {
    return *controllers_[controller].follower;
  }
  rebalance::Bytes used(unsigned engine) const {
    rebalance::Bytes sum = 0;
    for (const auto& [group, read] : engines_[engine].held) sum += groups_[group].size;
    return sum;
  }

 private:
  static constexpr int kDrop = 4;  // a copy that nobody reads goes after so many seconds
  static constexpr int kTold = 5;  // a capacity that has shrunk is known of after so many
  struct Engine {
    std::string name;
    Standing standing = Standing::ready;
    std::int64_t started = 0;
    rebalance::Bytes capacity = 0, capacityBefore = 0;
    int shrunk = -100;
    std::map<unsigned, int> held;  // and when it was last read
  };
  struct Group {
    rebalance::Bytes size = 0;
    std::int64_t rate = 0;
  };
  struct Word {
    std::uint64_t epoch = 0, version = 0;
    rebalance::Account account;
    std::optional<rebalance::Promise> promise;
  };
  struct Controller {
    std::string name;
    int skew = 0;
    bool stopped = false, old = false;
    rebalance::Account list;  // the engines as it knows them
    std::map<std::string, Word> words;
    std::unique_ptr<rebalance::Agreement> agreement;
    std::unique_ptr<rebalance::Follower> follower;
    std::uint64_t takenFor = 0, begun = 0;  // epochs
  };

  static Span span(int seconds) { return std::chrono::seconds(100'000 + seconds); }
  int some(int most) { return static_cast<int>(dice_() % static_cast<std::uint64_t>(most)); }

  rebalance::Account list() const {
    rebalance::Account made;
    for (const Engine& each : engines_)
      made.engines[each.name] = {
          each.standing, each.started, each.started > 0 && now_ - each.started < 20, 0, 0, 8, each.capacity};
    return made;
  }
  rebalance::Account words(const Controller& one) const {
    rebalance::Account made = one.list;
    for (unsigned group = 0; group < groups_.size(); ++group) {
      auto& word = made.groups[group];
      word.size = groups_[group].size;
      word.resting = one.follower->rests(span(now_), group, 3 * windows_.length);
      for (const Engine& each : engines_)
        if (each.held.count(group) > 0 && each.standing != Standing::gone)
          word.reads[each.name] = groups_[group].rate / static_cast<std::int64_t>(terms_.controllers) + 1;
    }
    return made;
  }
  std::map<std::string, rebalance::Account> accounts(const Controller& one, std::uint64_t epoch) const {
    std::map<std::string, rebalance::Account> all;
    for (const auto& [owner, word] : one.words)
      if (word.epoch == epoch) all[owner] = word.account;
    return all;
  }

  void second() {
    for (Controller& one : controllers_) {
      if (one.stopped) continue;
      if (!one.old) one.list = list();
      act(one);
    }
    for (unsigned each = 0; each < controllers_.size(); ++each) {  // anti-entropy with two peers
      for (int peers = 0; peers < 2; ++peers) {
        const auto other = static_cast<unsigned>(some(static_cast<int>(controllers_.size())));
        if (other == each || controllers_[each].stopped || controllers_[other].stopped) continue;
        if (side_ && side_(each) != side_(other)) continue;
        merge(controllers_[each], controllers_[other]);
        merge(controllers_[other], controllers_[each]);
      }
    }
    read();
  }
  static void merge(Controller& to, const Controller& from) {
    for (const auto& [owner, word] : from.words) {
      if (owner == to.name) continue;
      const auto at = to.words.find(owner);
      if (at == to.words.end() || at->second.version < word.version) to.words[owner] = word;
    }
  }

  void act(Controller& one) {
    using namespace rebalance;
    const Span wall = span(now_ + one.skew);
    const std::uint64_t epoch = windows_.epoch(wall);
    Word& mine = one.words[one.name];
    if (mine.epoch < epoch) {
      mine.epoch = epoch, mine.account = words(one);
      mine.version = static_cast<std::uint64_t>(now_ + 1) * 4;
    }
    for (const auto& [owner, word] : one.words)
      if (owner != one.name && word.promise) one.agreement->heard(owner, *word.promise);
    const bool inTime = wall >= windows_.taken(epoch) && wall < windows_.ends(epoch);
    if (inTime && one.takenFor < epoch) {
      one.takenFor = epoch;
      takenView_[one.name] = gather(accounts(one, epoch), {});
      if (one.agreement->promise({epoch, digest(takenView_[one.name])})) {
        mine.promise = one.agreement->own();
        mine.version = static_cast<std::uint64_t>(now_ + 1) * 4 + 1;
      }
    }
    const View& taken = takenView_[one.name];
    const bool may = !terms_.agree || one.agreement->agreed({epoch, digest(taken)});
    if (inTime && one.takenFor == epoch && one.begun < epoch && may) {
      one.begun = epoch;
      Terms terms;
      terms.parts = terms_.parts, terms.act = terms_.act, terms.work = 100'000;
      Plan made = plan(taken, terms);
      if (!made.moves.empty()) {
        ++books_.plans;
        one.follower->begin(wall, taken, std::move(made), windows_.ends(epoch));
      }
    }
    if (one.follower->following()) {
      std::map<std::string, Account> seen{{one.name, words(one)}};
      one.follower->look(wall, gather(seen, {}));
      if (one.follower->following() && one.follower->done() == one.follower->plan().moves.size()) {
        ++books_.done;
        one.follower->giveUp(Ended::done);
      }
      if (!one.follower->following()) ++books_.ends[one.follower->ended()];
    }
  }

  // Each controller's jobs go where its plan says, else where a group is; a group that is nowhere is read
  // without being kept.
  void read() {
    for (Controller& one : controllers_) {
      if (one.stopped) continue;
      for (unsigned group = 0; group < groups_.size(); ++group) {
        const std::vector<std::string>* homes = one.follower->following() ? one.follower->homes(group) : nullptr;
        for (unsigned place = 0; place < engines_.size(); ++place) {
          Engine& each = engines_[place];
          if (each.standing == Standing::gone) continue;
          const bool named = homes && std::find(homes->begin(), homes->end(), each.name) != homes->end();
          const auto at = each.held.find(group);
          if (at != each.held.end() && (named || !homes)) at->second = now_;
          if (at != each.held.end() || !named) continue;
          each.held[group] = now_;
          ++books_.begun, books_.bytes += groups_[group].size;
          const rebalance::Bytes known = now_ - each.shrunk < kTold ? each.capacityBefore : each.capacity;
          if (used(place) > known) ++books_.over;
        }
      }
    }
    for (Engine& each : engines_) {
      if (now_ - each.shrunk >= kTold) each.capacityBefore = each.capacity;
      std::erase_if(each.held, [&](const auto& at) { return now_ - at.second >= kDrop; });
    }
    for (unsigned group = 0; group < groups_.size(); ++group)
      books_.unserved += holders(group).empty() ? 1 : 0;
  }

  const ManyTerms terms_;
  std::mt19937_64 dice_;
  const rebalance::Windows windows_{std::chrono::seconds(20), std::chrono::seconds(2)};
  std::vector<Engine> engines_;
  std::vector<Group> groups_;
  std::vector<Controller> controllers_;
  std::map<std::string, rebalance::View> takenView_;
  std::function<unsigned(unsigned)> side_;
  int now_ = 0;
  Books books_;
};

// A story of chance: engines lost, drained, back cold, shrunk; controllers split, stopped, restarted, on an
// old list. The same for every way of keeping plans apart.
inline Many::Books story(const ManyTerms& terms, int faults) {
  Many many(terms);
  std::mt19937_64 dice(terms.seed * 77 + 5);
  const auto any = [&](unsigned of) { return static_cast<unsigned>(dice() % of); };
  many.pass(25);
  std::vector<unsigned> out;
  for (int each = 0; each < faults; ++each) {
    switch (any(9)) {
      case 0:
      case 1:
        if (out.size() < terms.engines / 3) {
          out.push_back(any(terms.engines));
          any(2) == 0 ? many.lose(out.back()) : many.drain(out.back());
        }
        break;
      case 2:
      case 3:
        if (!out.empty()) many.bringBack(out.back()), out.pop_back();
        break;
      case 4: {
        const unsigned cut = 1 + any(terms.controllers - 1), ways = 2 + any(3);
        many.split(
            [cut, ways](unsigned controller) { return controller < cut ? 0U : 1 + controller % (ways - 1); });
        break;
      }
      case 5:
        many.split(nullptr);
        break;
      case 6: {
        const unsigned old = any(2) == 0 ? terms.controllers / 2 : any(terms.controllers);
        for (unsigned one = 0; one < terms.controllers; ++one) many.oldList(one, one < old && any(3) > 0);
        break;
      }
      case 7: {
        const unsigned which = any(terms.controllers);
        const bool stopped = any(2) == 0;
        many.stop(which, stopped);
        if (!stopped && any(2) == 0) many.restart(which);
        break;
      }
      default:
        many.shift([&](unsigned, std::int64_t) { return static_cast<std::int64_t>(5 + any(60)); });
        if (any(3) == 0) many.shrink(any(terms.engines), 92);
    }
    many.pass(3 + static_cast<int>(any(30)));
  }
  return many.books();
}

}  // namespace paddletrack::rig
