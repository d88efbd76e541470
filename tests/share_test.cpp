// What controllers share, without a network: the table, its reconciliation, the datagrams, who is asked when.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <tuple>

#include "share/codec.hpp"
#include "share/gossip.hpp"
#include "share/load.hpp"
#include "share/store.hpp"

namespace paddletrack::share {
namespace {

using namespace std::chrono_literals;

Store made(const std::string& owner, std::uint64_t generation = 1, Span keep = 10min) {
  Terms terms;
  terms.owner = owner;
  terms.generation = generation;
  terms.keep = keep;
  return Store(terms);
}

using View = std::set<std::tuple<std::string, std::uint64_t, int, std::string, std::string>>;
View viewOf(const Store& store, Span now) {
  View view;
  for (Topic topic = 0; topic <= kMostTopic; ++topic)
    store.visit(now, topic,
                [&](const std::string& owner, std::uint64_t generation, const std::string& key,
                    const std::string& value, Span) { view.emplace(owner, generation, topic, key, value); });
  return view;
}
// Without what only its owner may say.
View viewOf(const Store& store, Span now, const std::string& butNot) {
  View view = viewOf(store, now);
  std::erase_if(view, [&](const auto& each) { return std::get<0>(each) == butNot; });
  return view;
}

constexpr std::size_t kAll = 1 << 20;
Delta allOf(const Store& store, Span now) { return store.delta(now, Digest{}, kAll); }
void exchange(Span now, const Store& from, Store& to, std::size_t most = kAll) {
  for (int round = 0; round < 1000; ++round) {
    const Delta delta = from.delta(now, to.digest(now, {}, kAll), most);
    if (delta.parts.empty()) return;
    to.merge(now, delta);
  }
  FAIL() << "it does not come to an end";
}

TEST(ShareStore, WhatIsPutIsSeenWhereItIsTakenTo) {
  Store one = made("one"), two = made("two");
  EXPECT_EQ(one.put(1s, kLoad, "a", "1"), Store::Put::done);
  EXPECT_EQ(one.put(2s, kLoad, "a", "2"), Store::Put::done);
  EXPECT_EQ(one.put(2s, kHindsight, "b", std::string("\0\xff", 2)), Store::Put::done);
  exchange(3s, one, two);
  EXPECT_EQ(viewOf(two, 3s), viewOf(one, 3s));
  std::size_t seen = 0;
  two.visit(4s, kLoad,
            [&](const std::string& owner, std::uint64_t, const std::string& key, const std::string& value,
                Span age) {
              ++seen;
              EXPECT_EQ(owner + key + value, "onea2");
              EXPECT_EQ(age, 2s);
            });
  EXPECT_EQ(seen, 1U);
  EXPECT_TRUE(one.remove(4s, kLoad, "a"));
  EXPECT_FALSE(one.remove(4s, kLoad, "a"));
  exchange(5s, one, two);
  EXPECT_EQ(viewOf(two, 5s).size(), 1U);
  EXPECT_EQ(two.merge(5s, allOf(one, 5s)).fresh, 0U);
}

TEST(ShareStore, BoundsAreAnsweredAndNothingIsLost) {
  Store one = made("one");
  EXPECT_EQ(one.put(0s, kMostTopic + 1, "a", ""), Store::Put::badTopic);
  EXPECT_EQ(one.put(0s, 1, std::string(kLongestKey + 1, 'k'), ""), Store::Put::keyTooLong);
  EXPECT_EQ(one.put(0s, 1, "a", std::string(kLongestValue + 1, 'v')), Store::Put::valueTooLong);
  int held = 0;
  while (one.put(0s, 1, std::to_string(held), std::string(kLongestValue, 'v')) == Store::Put::done) ++held;
  EXPECT_GT(held, 200);
  EXPECT_EQ(one.put(0s, 1, "more", std::string(kLongestValue, 'v')), Store::Put::full);
  EXPECT_EQ(one.put(0s, 1, "0", std::string(kLongestValue, 'w')), Store::Put::done);  // in its place
  EXPECT_LE(one.bytes(), kOwnerBytes);
  EXPECT_EQ(one.entries(), static_cast<std::size_t>(held));
  EXPECT_THROW(made(""), std::invalid_argument);
  EXPECT_THROW(made("one", 0), std::invalid_argument);
  EXPECT_THROW(made("one", kMostNumber), std::invalid_argument);
}

TEST(ShareStore, ALaterLifeReplacesTheEarlierWholly) {
  Store before = made("one", 5), two = made("two"), three = made("three");
  before.put(0s, 1, "a", "old");
  before.put(0s, 1, "b", "old");
  exchange(1s, before, two);
  exchange(1s, before, three);
  Store after = made("one", 9);
  after.put(2s, 1, "a", "new");
  exchange(2s, after, two);
  EXPECT_EQ(viewOf(two, 2s), (View{{"one", 9, 1, "a", "new"}}));
  exchange(3s, three, two);  // who has not heard of it does not bring the old one back
  EXPECT_EQ(viewOf(two, 3s), (View{{"one", 9, 1, "a", "new"}}));
  EXPECT_EQ(two.merge(3s, allOf(before, 3s)).old, 2U);
  exchange(3s, two, three);
  EXPECT_EQ(viewOf(three, 3s), viewOf(two, 3s));
}

TEST(ShareStore, AStartWithAnEarlierClockGoesOnAboveItsPast) {
  Store before = made("one", 9), two = made("two");
  before.put(0s, 1, "a", "old");
  exchange(0s, before, two);
  Store after = made("one", 4);  // its clock went back
  after.put(1s, 1, "a", "new");
  exchange(1s, after, two);
  EXPECT_EQ(viewOf(two, 1s), (View{{"one", 9, 1, "a", "old"}}));
  after.wants(1s, two.digest(1s, {}, kAll), kAll);  // it is told of its past
  EXPECT_EQ(after.generation(), 10U);
  exchange(1s, after, two);
  EXPECT_EQ(viewOf(two, 1s), (View{{"one", 10, 1, "a", "new"}}));
  Store third = made("one", 4);
  EXPECT_TRUE(third.merge(2s, allOf(two, 2s)).again);
  EXPECT_EQ(third.generation(), 11U);
}

TEST(ShareStore, EntriesAgeOutEverywhereUnlessTheirOwnerRenewsThem) {
  Store one = made("one", 1, 60s), two = made("two", 1, 60s), three = made("three", 1, 60s);
  one.put(0s, 1, "a", "1");
  exchange(50s, one, two);
  exchange(55s, two, three);  // its age goes along
  EXPECT_EQ(viewOf(three, 59s).size(), 1U);
  EXPECT_EQ(viewOf(three, 60s).size(), 0U);
  EXPECT_EQ(three.forget(60s), 1U);
  EXPECT_EQ(three.owners(), 1U);
  exchange(60s, two, three);  // which has not looked yet
  EXPECT_EQ(three.entries(), 0U);
  EXPECT_EQ(two.forget(60s), 1U);
  one.renew(60s);  // late, for it was stopped; nobody wrote it meanwhile
  exchange(61s, one, two);
  EXPECT_EQ(viewOf(two, 61s), (View{{"one", 1, 1, "a", "1"}}));
  const std::uint64_t changes = two.changes();
  one.renew(90s);
  exchange(90s, one, two);
  EXPECT_EQ(two.changes(), changes);  // renewed, not changed
  EXPECT_EQ(viewOf(two, 119s).size(), 1U);
}

TEST(ShareStore, PastItsBoundTheDeadGiveWayAndTheLivingStay) {
  Terms terms;
  terms.owner = "me";
  terms.mostBytes = 2 * kOwnerBytes;
  terms.keep = 100s;
  Store me(terms);
  me.put(0s, 1, "mine", "1");
  const std::string value(kLongestValue, 'v');
  const auto fill = [&](const std::string& name, Span at, int entries) {
    Store other = made(name, 1, 100s);
    for (int each = 0; each < entries; ++each) other.put(at, 1, std::to_string(each), value);
    return me.merge(at, allOf(other, at));
  };
  EXPECT_EQ(fill("dead", 0s, 100).refused, 0U);
  EXPECT_EQ(fill("living", 60s, 100).refused, 0U);
  EXPECT_FALSE(me.digest(60s, {}, kAll).closed);
  EXPECT_EQ(fill("new", 60s, 100).refused, 0U);  // in the place of the dead
  std::set<std::string> owners;
  me.eachOwner(60s, [&](const std::string& name, std::uint64_t, Span) { owners.insert(name); });
  EXPECT_EQ(owners, (std::set<std::string>{"me", "living", "new"}));
  EXPECT_GT(fill("late", 60s, 100).refused, 0U);
  EXPECT_TRUE(me.digest(60s, {}, kAll).closed);
  EXPECT_LE(me.bytes(), terms.mostBytes);
  EXPECT_EQ(me.put(60s, 1, "more", value), Store::Put::done);  // its own part is its own
  // Who is closed is sent nothing of those whom it does not name.
  Store stranger = made("stranger");
  stranger.put(60s, 1, "a", "1");
  EXPECT_TRUE(stranger.delta(60s, me.digest(60s, {}, kAll), kAll).parts.empty());
}

TEST(ShareStore, ADigestInPartsCoversAll) {
  Store one = made("one"), two = made("two");
  for (int each = 0; each < 200; ++each) {
    Store other = made("owner-" + std::to_string(each));
    other.put(0s, 1, "a", std::to_string(each));
    one.merge(0s, allOf(other, 0s));
    if (each % 3 == 0) two.merge(0s, allOf(other, 0s));
  }
  std::string from;
  int parts = 0;
  do {
    const Digest digest = two.digest(0s, from, 1000);
    for (const Delta& delta : {one.delta(0s, digest, kAll)}) two.merge(0s, delta);
    from = digest.last.empty() ? "" : digest.last + '\0';
    ++parts;
  } while (!from.empty());
  EXPECT_GT(parts, 2);
  EXPECT_EQ(viewOf(two, 0s, "two"), viewOf(one, 0s, "one"));
}

// A history of a few owners with restarts, cut into deltas that answer to any digests.
struct History {
  std::vector<Delta> deltas;
  std::vector<Store> lives;
};
History anyHistory() {
  History made;
  const int owners = *rc::gen::inRange(1, 4);
  std::vector<Store> relays;
  relays.push_back(share::made("relay-1"));
  relays.push_back(share::made("relay-2"));
  for (int owner = 0; owner < owners; ++owner) {
    const int lives = *rc::gen::inRange(1, 4);
    for (int life = 1; life <= lives; ++life) {
      Store& store =
          made.lives.emplace_back(share::made("o" + std::to_string(owner), static_cast<unsigned>(life)));
      store.put(0s, 1, "life", std::to_string(life));
      const int steps = *rc::gen::inRange(0, 12);
      for (int step = 0; step < steps; ++step) {
        const std::string key = std::to_string(*rc::gen::inRange(0, 4));
        const auto topic = static_cast<Topic>(*rc::gen::inRange(1, 3));
        if (*rc::gen::inRange(0, 4) == 0) {
          store.remove(0s, topic, key);
        } else {
          store.put(0s, topic, key, std::to_string(*rc::gen::inRange(0, 9)));
        }
        Store& relay = relays[static_cast<std::size_t>(*rc::gen::inRange(0, 2))];
        const Delta delta =
            store.delta(0s, relay.digest(0s, {}, kAll), static_cast<std::size_t>(*rc::gen::inRange(60, 400)));
        made.deltas.push_back(delta);
        if (*rc::gen::inRange(0, 2) == 0) relay.merge(0s, delta);
      }
      made.deltas.push_back(allOf(store, 0s));
    }
  }
  return made;
}

RC_GTEST_PROP(ShareMerge, AnyOrderAndAnyNumberOfTimesGiveTheSameView, ()) {
  History history = anyHistory();
  std::mt19937 dice(static_cast<unsigned>(*rc::gen::inRange(0, 1 << 30)));
  const auto after = [&](std::vector<Delta> deltas) {
    Store reader = made("reader");
    for (const Delta& each : deltas) reader.merge(0s, each);
    return viewOf(reader, 0s);
  };
  std::vector<Delta> other = history.deltas;
  other.insert(other.end(), history.deltas.begin(), history.deltas.end());
  std::shuffle(other.begin(), other.end(), dice);
  const View once = after(history.deltas);
  RC_ASSERT(after(other) == once);
  // And it is the last life of each owner as that one sees it.
  View last;
  for (const Store& each : history.lives) {
    std::erase_if(last, [&](const auto& one) { return std::get<0>(one) == each.owner(); });
    last.merge(viewOf(each, 0s));
  }
  RC_ASSERT(once == last);
}

RC_GTEST_PROP(ShareMerge, WhateverIsJoinedFirstTheViewIsTheSame, ()) {
  const History history = anyHistory();
  const auto some = [&](const std::string& name) {
    Store store = made(name);
    for (const Delta& each : history.deltas)
      if (*rc::gen::inRange(0, 2) == 0) store.merge(0s, each);
    return store;
  };
  const Store a = some("a"), b = some("b"), c = some("c");
  const auto join = [](std::vector<const Store*> of) {
    Store into = made("into");
    for (const Store* each : of) into.merge(0s, allOf(*each, 0s));
    return into;
  };
  const auto clean = [](const Store& store) {
    View view = viewOf(store, 0s);
    std::erase_if(view, [](const auto& each) { return std::get<0>(each).size() == 1; });
    return view;
  };
  const Store ab = join({&a, &b}), bc = join({&b, &c});
  RC_ASSERT(clean(join({&ab, &c})) == clean(join({&a, &bc})));
  RC_ASSERT(clean(join({&a, &b})) == clean(join({&b, &a})));
  RC_ASSERT(clean(join({&a, &a})) == clean(a));
}

// A fleet whose datagrams are lost, doubled and late at random, in simulated time; then the losses end.
Span agreesAfter(unsigned seed) {
  struct Member {
    std::unique_ptr<Store> store;
    std::unique_ptr<Gossip> gossip;
  };
  std::mt19937 dice(seed);
  const std::size_t count = 2 + dice() % 7;
  std::vector<Member> members(count);
  const auto begin = [&](std::size_t which, std::uint64_t generation) {
    GossipTerms terms;
    for (std::size_t other = 0; other < count; ++other)
      if (other != which) terms.peers.push_back(other);
    terms.seed = which + 7 * generation;
    members[which].store = std::make_unique<Store>(made("m" + std::to_string(which), generation));
    members[which].gossip = std::make_unique<Gossip>(*members[which].store, terms);
  };
  for (std::size_t each = 0; each < count; ++each) begin(each, 1);
  struct Flying {
    Span at;
    std::size_t from, to;
    std::string datagram;
  };
  std::vector<Flying> flying;
  const int loss = static_cast<int>(dice() % 90);
  constexpr Span kCalm = 3s, kEnd = 3s + 200ms * 40;
  Span now{0};
  const auto send = [&](std::size_t from, const Gossip::Letters& letters) {
    for (const auto& each : letters) {
      const std::string datagram = encode(each.message, "c", members[from].store->owner());
      EXPECT_LE(datagram.size(), kMostDatagram);
      for (int copy = 0; copy < (dice() % 5 == 0 ? 2 : 1); ++copy)
        if (now >= kCalm || static_cast<int>(dice() % 100) >= loss)
          flying.push_back({now + std::chrono::milliseconds(dice() % 60), from, each.to, datagram});
    }
  };
  for (; now < kEnd; now += 5ms) {
    for (std::size_t each = 0; each < count; ++each) {
      if (now < kCalm && dice() % 40 == 0)
        members[each].store->put(now, 1, std::to_string(dice() % 5), std::to_string(dice() % 1000));
      if (now < kCalm && dice() % 2000 == 0) begin(each, members[each].store->generation() + 1);
      if (now >= members[each].gossip->next()) send(each, members[each].gossip->turn(now));
    }
    std::vector<Flying> landed;
    std::partition_copy(flying.begin(), flying.end(), std::back_inserter(landed), flying.begin(),
                        [&](const Flying& each) { return each.at <= now; });
    flying.resize(flying.size() - landed.size());
    std::shuffle(landed.begin(), landed.end(), dice);
    for (const Flying& each : landed) {
      Member& to = members[each.to];
      const Read read = decode(each.datagram, "c", to.store->owner());
      send(each.to, to.gossip->heard(now, each.from, read.sender, std::get<Message>(read.what)));
    }
    if (now < kCalm || now % 50ms != 0us) continue;
    const View first = viewOf(*members[0].store, now);
    if (std::all_of(members.begin(), members.end(),
                    [&](const Member& each) { return viewOf(*each.store, now) == first; }))
      return now - kCalm;
  }
  ADD_FAILURE() << "seed " << seed << ": " << count << " members do not agree";
  return kEnd;
}

TEST(ShareGossip, AFleetAgreesAfterAnyLossesWithinABoundedNumberOfPeriods) {
  Span worst{0};
  for (unsigned seed = 1; seed <= 30; ++seed) worst = std::max(worst, agreesAfter(seed));
  EXPECT_LE(worst, 200ms * 20);
  RecordProperty("worst_ms", static_cast<int>(worst / 1ms));
}

TEST(ShareGossip, EachPeerHasItsTurnAndChanceComesFromTheSeed) {
  const auto order = [](std::uint64_t seed) {
    Store store = made("one");
    GossipTerms terms;
    terms.seed = seed;
    for (Where each = 1; each <= 10; ++each) terms.peers.push_back(each);
    Gossip gossip(store, terms);
    std::vector<Where> asked;
    for (int turn = 0; turn < 30; ++turn) {
      const Span now = gossip.next();
      const auto letters = gossip.turn(now);
      EXPECT_EQ(letters.size(), 1U);
      asked.push_back(letters.at(0).to);
      EXPECT_GE(gossip.next() - now, 150ms);
      EXPECT_LE(gossip.next() - now, 250ms);
    }
    for (int round = 0; round < 3; ++round)
      EXPECT_EQ(std::set<Where>(asked.begin() + 10 * round, asked.begin() + 10 * round + 10).size(), 10U);
    return asked;
  };
  EXPECT_EQ(order(1), order(1));
  EXPECT_NE(order(1), order(2));
}

TEST(ShareGossip, AFloodOfAsksIsAnsweredWithinABound) {
  Store one = made("one"), two = made("two");
  for (int each = 0; each < 200; ++each) one.put(0s, 1, std::to_string(each), std::string(1000, 'v'));
  GossipTerms terms;
  terms.peers = {2};
  Gossip gossip(one, terms);
  const Message ask(two.digest(0s, {}, kMostDigest));
  std::size_t answers = 0;
  for (int each = 0; each < 10000; ++each) answers += gossip.heard(1s, 77, "two", ask).size();
  EXPECT_EQ(answers, 64 * Gossip::kAnswers);
  EXPECT_EQ(gossip.drops(Drop::busy), 10000U - 64);
  EXPECT_FALSE(gossip.heard(1s + terms.period, 77, "two", ask).empty());
}

// ---- datagrams
// ----------------------------------------------------------------------------------------------

Delta largest() {
  Delta delta;
  delta.parts.push_back({std::string(kLongestOwner, 'o'), kMostNumber - 1, 0, kMostNumber - 1, {}});
  delta.parts[0].items.push_back({kMostTopic, std::string(kLongestKey, 'k'), std::string(kLongestValue, 'v'),
                                  kMostNumber - 1, false, 9min});
  return delta;
}
const std::string kLongName(kLongestOwner, 's'), kLongCluster(kLongestCluster, 'c');

TEST(ShareCodec, AnyMessageComesBackAsItWasAndTheLargestFits) {
  const std::string datagram = encode(Message(largest()), kLongCluster, kLongName);
  EXPECT_LE(datagram.size(), kMostDatagram);
  const Read read = decode(datagram, kLongCluster, "me");
  const auto& delta = std::get<Delta>(std::get<Message>(read.what));
  EXPECT_EQ(read.sender, kLongName);
  EXPECT_EQ(delta.parts.at(0).items.at(0).value, largest().parts[0].items[0].value);
  EXPECT_EQ(delta.parts[0].items[0].age, 9min);
  Store one(Terms{kLongName, kMostNumber - 1, 10min});
  one.put(0s, kMostTopic, std::string(kLongestKey, 'k'), std::string(kLongestValue, 'v'));
  EXPECT_EQ(one.delta(0s, Digest{}, kMostDelta).parts.size(), 1U);  // so every entry can travel
  for (int each = 0; each < 100; ++each) {
    Store other(Terms{std::to_string(each) + std::string(kLongestOwner - 2, 'o'), kMostNumber - 1, 10min});
    for (int entry = 0; entry < each % 7; ++entry) other.put(0s, 5, std::to_string(entry), "x");
    one.merge(0s, allOf(other, 0s));
  }
  std::size_t most = 0;
  Store other = made("other");
  for (std::string from;;) {
    const Digest digest = one.digest(0s, from, kMostDigest);
    most = std::max(most, encode(Message(digest), kLongCluster, kLongName).size());
    most = std::max(
        most, encode(Message(Wants{other.wants(0s, digest, kMostDigest)}), kLongCluster, kLongName).size());
    most = std::max(most,
                    encode(Message(one.delta(0s, Digest{digest.first, digest.last, false, {}}, kMostDelta)),
                           kLongCluster, kLongName)
                        .size());
    from = digest.last + '\0';
    if (digest.last.empty()) break;
  }
  EXPECT_LE(most, kMostDatagram);
  EXPECT_GT(most, kMostDatagram / 2);
}

Drop dropOf(std::string_view datagram) {
  const Read read = decode(datagram, "c", "me");
  const auto* why = std::get_if<Drop>(&read.what);
  EXPECT_TRUE(why) << datagram.size();
  return why ? *why : Drop::unsent;
}

TEST(ShareCodec, WhatIsNotOursIsDroppedByItsKind) {
  const Message delta(largest());
  std::string good = encode(delta, "c", "you");
  EXPECT_EQ(dropOf(encode(delta, "another", "you")), Drop::foreign);
  EXPECT_EQ(dropOf(encode(delta, "c", "me")), Drop::own);
  EXPECT_EQ(dropOf(std::string(kMostDatagram + 1, 'x')), Drop::oversized);
  EXPECT_EQ(dropOf(""), Drop::broken);
  EXPECT_EQ(dropOf(good + "x"), Drop::broken);
  good[1] = '\x02';
  EXPECT_EQ(dropOf(good), Drop::version);
  good[1] = '\x01', good[2] = '\x10';
  EXPECT_EQ(dropOf(good), Drop::reserved);
  good[2] = '\x09';
  EXPECT_EQ(dropOf(good), Drop::unknown);
  good[2] = '\x01';  // a digest's body is another
  EXPECT_EQ(dropOf(good), Drop::broken);
  EXPECT_EQ(dropOf("\xdd\xff\xff\xff\xff"), Drop::broken);     // a list of four billion
  EXPECT_EQ(dropOf(std::string(1000, '\x91')), Drop::broken);  // a thousand deep
  EXPECT_EQ(dropOf("\x95\x01\x02\xa1"
                   "c\xdb\xff\xff\xff\xff"),
            Drop::broken);  // a text of as much
}

RC_GTEST_PROP(ShareCodec, NoBytesAtAllDoHarm, ()) {
  std::string datagram = encode(Message(largest()), "c", "you");
  const int changes = *rc::gen::inRange(1, 8);
  for (int each = 0; each < changes; ++each)
    datagram[*rc::gen::inRange<std::size_t>(0, datagram.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  if (*rc::gen::inRange(0, 2) == 0) datagram.resize(*rc::gen::inRange<std::size_t>(0, datagram.size()));
  Store store = made("me");
  store.put(0s, 1, "mine", "1");
  Gossip gossip(store, {{1}, 200ms, 3});
  const Read read = decode(datagram, "c", "me");
  if (const auto* message = std::get_if<Message>(&read.what)) gossip.heard(1s, 1, read.sender, *message);
  RC_ASSERT(store.bytes() <= Terms{}.mostBytes);
  RC_ASSERT(viewOf(store, 1s).count({"me", store.generation(), 1, "mine", "1"}) == 1);
}

// ---- load
// ---------------------------------------------------------------------------------------------------

TEST(ShareLoad, TheFleetsSumHasEachOnceAndTheSilentHoldNoThreads) {
  Store one = made("one"), two = made("two");
  LoadShare ones(one), twos(two);
  ones.write(0s, {{"e1", {3, 10}}, {"e2", {0, 0}}}, {3, 9});
  twos.write(0s, {{"e1", {2, 5}}, {"e3", {1, 1}}}, {3, 6});
  exchange(0s, two, one);
  exchange(0s, two, one);
  FleetLoad sum = fleetLoad(one, 1s);
  EXPECT_EQ(sum.controllers, 2U);
  EXPECT_EQ(sum.live, 2U);
  EXPECT_EQ(sum.all, (Load{6, 15}));
  EXPECT_EQ(sum.engines, (std::map<std::string, Load>{{"e1", {5, 15}}, {"e3", {1, 1}}}));
  ones.write(8s, {{"e1", {3, 11}}}, {3, 10});
  sum = fleetLoad(one, 8s);  // nothing of the other for so long
  EXPECT_EQ(sum.live, 1U);
  EXPECT_EQ(sum.all, (Load{3, 16}));
  EXPECT_EQ(sum.engines.at("e1"), (Load{3, 16}));
  one.put(9s, kLoad, "e9", "nonsense");
  EXPECT_EQ(fleetLoad(one, 9s).unreadable, 1U);
}

}  // namespace
}  // namespace paddletrack::share
