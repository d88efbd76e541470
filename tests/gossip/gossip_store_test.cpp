// Gossip without a network: the store, its reconciliation, the wire format, and the protocol's schedule.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <tuple>

#include "gossip/codec.hpp"
#include "gossip/gossip_protocol.hpp"
#include "gossip/load_publisher.hpp"
#include "gossip/store.hpp"

namespace paddletrack::gossip {
namespace {

using namespace std::chrono_literals;

Store makeStore(const std::string& owner, std::uint64_t generation = 1, Duration retention = 10min) {
  StoreOptions options;
  options.owner = owner;
  options.incarnation = generation;
  options.retentionDuration = retention;
  return Store(options);
}

using StoreSnapshot = std::set<std::tuple<std::string, std::uint64_t, int, std::string, std::string>>;
StoreSnapshot snapshotOf(const Store& store, Duration now) {
  StoreSnapshot snapshot;
  for (Topic topic = 0; topic <= kMaxTopic; ++topic)
    store.visitEntries(
        now, topic,
        [&](const std::string& owner, std::uint64_t generation, const std::string& key,
            const std::string& value, Duration) { snapshot.emplace(owner, generation, topic, key, value); });
  return snapshot;
}
// Without the entries that only the owner may write.
StoreSnapshot snapshotOf(const Store& store, Duration now, const std::string& excludedOwner) {
  StoreSnapshot snapshot = snapshotOf(store, now);
  std::erase_if(snapshot, [&](const auto& item) { return std::get<0>(item) == excludedOwner; });
  return snapshot;
}

constexpr std::size_t kUnlimitedBytes = 1 << 20;
Delta fullDelta(const Store& store, Duration now) { return store.buildDelta(now, Digest{}, kUnlimitedBytes); }
void synchronize(Duration now, const Store& source, Store& target, std::size_t maxBytes = kUnlimitedBytes) {
  for (int round = 0; round < 1000; ++round) {
    const Delta delta = source.buildDelta(now, target.buildDigest(now, {}, kUnlimitedBytes), maxBytes);
    if (delta.ownerDeltas.empty()) return;
    target.merge(now, delta);
  }
  FAIL() << "it does not come to an end";
}

TEST(GossipStore, ReplicatesPutsAndRemovals) {
  Store firstStore = makeStore("one"), secondStore = makeStore("two");
  EXPECT_EQ(firstStore.put(1s, kLoadTopic, "a", "1"), Store::PutResult::stored);
  EXPECT_EQ(firstStore.put(2s, kLoadTopic, "a", "2"), Store::PutResult::stored);
  EXPECT_EQ(firstStore.put(2s, kCounterfactualTopic, "b", std::string("\0\xff", 2)),
            Store::PutResult::stored);
  synchronize(3s, firstStore, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 3s), snapshotOf(firstStore, 3s));
  std::size_t seen = 0;
  secondStore.visitEntries(4s, kLoadTopic,
                           [&](const std::string& owner, std::uint64_t, const std::string& key,
                               const std::string& value, Duration age) {
                             ++seen;
                             EXPECT_EQ(owner + key + value, "onea2");
                             EXPECT_EQ(age, 2s);
                           });
  EXPECT_EQ(seen, 1U);
  EXPECT_TRUE(firstStore.remove(4s, kLoadTopic, "a"));
  EXPECT_FALSE(firstStore.remove(4s, kLoadTopic, "a"));
  synchronize(5s, firstStore, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 5s).size(), 1U);
  EXPECT_EQ(secondStore.merge(5s, fullDelta(firstStore, 5s)).applied, 0U);
}

TEST(GossipStore, ReportsReasonWhenLimitIsExceeded) {
  Store firstStore = makeStore("one");
  EXPECT_EQ(firstStore.put(0s, kMaxTopic + 1, "a", ""), Store::PutResult::invalidTopic);
  EXPECT_EQ(firstStore.put(0s, 1, std::string(kMaxKeyBytes + 1, 'k'), ""), Store::PutResult::keyTooLong);
  EXPECT_EQ(firstStore.put(0s, 1, "a", std::string(kMaxValueBytes + 1, 'v')), Store::PutResult::valueTooLong);
  int entryCount = 0;
  while (firstStore.put(0s, 1, std::to_string(entryCount), std::string(kMaxValueBytes, 'v')) ==
         Store::PutResult::stored)
    ++entryCount;
  EXPECT_GT(entryCount, 200);
  EXPECT_EQ(firstStore.put(0s, 1, "more", std::string(kMaxValueBytes, 'v')), Store::PutResult::ownerFull);
  EXPECT_EQ(firstStore.put(0s, 1, "0", std::string(kMaxValueBytes, 'w')),
            Store::PutResult::stored);  // it replaces the previous value
  EXPECT_LE(firstStore.totalBytes(), kMaxBytesPerOwner);
  EXPECT_EQ(firstStore.entryCount(), static_cast<std::size_t>(entryCount));
  EXPECT_THROW(makeStore(""), std::invalid_argument);
  EXPECT_THROW(makeStore("one", 0), std::invalid_argument);
  EXPECT_THROW(makeStore("one", kNumberLimit), std::invalid_argument);
}

TEST(GossipStore, ReplacesAllEntriesWhenOwnerHasLaterIncarnation) {
  Store earlier = makeStore("one", 5), secondStore = makeStore("two"), thirdStore = makeStore("three");
  earlier.put(0s, 1, "a", "old");
  earlier.put(0s, 1, "b", "old");
  synchronize(1s, earlier, secondStore);
  synchronize(1s, earlier, thirdStore);
  Store later = makeStore("one", 9);
  later.put(2s, 1, "a", "new");
  synchronize(2s, later, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 2s), (StoreSnapshot{{"one", 9, 1, "a", "new"}}));
  synchronize(3s, thirdStore, secondStore);  // a store without the tombstone does not restore the entry
  EXPECT_EQ(snapshotOf(secondStore, 3s), (StoreSnapshot{{"one", 9, 1, "a", "new"}}));
  EXPECT_EQ(secondStore.merge(3s, fullDelta(earlier, 3s)).stale, 2U);
  synchronize(3s, secondStore, thirdStore);
  EXPECT_EQ(snapshotOf(thirdStore, 3s), snapshotOf(secondStore, 3s));
}

TEST(GossipStore, RaisesIncarnationWhenPeersHoldLaterOne) {
  Store earlier = makeStore("one", 9), secondStore = makeStore("two");
  earlier.put(0s, 1, "a", "old");
  synchronize(0s, earlier, secondStore);
  Store later = makeStore("one", 4);  // its clock went back
  later.put(1s, 1, "a", "new");
  synchronize(1s, later, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 1s), (StoreSnapshot{{"one", 9, 1, "a", "old"}}));
  later.buildDeltaRequest(1s, secondStore.buildDigest(1s, {}, kUnlimitedBytes),
                          kUnlimitedBytes);  // it learns of its earlier incarnation
  EXPECT_EQ(later.incarnation(), 10U);
  synchronize(1s, later, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 1s), (StoreSnapshot{{"one", 10, 1, "a", "new"}}));
  Store third = makeStore("one", 4);
  EXPECT_TRUE(third.merge(2s, fullDelta(secondStore, 2s)).incarnationConflict);
  EXPECT_EQ(third.incarnation(), 11U);
}

TEST(GossipStore, ExpiresEntriesUnlessOwnerRenewsThem) {
  Store firstStore = makeStore("one", 1, 60s), secondStore = makeStore("two", 1, 60s),
        thirdStore = makeStore("three", 1, 60s);
  firstStore.put(0s, 1, "a", "1");
  synchronize(50s, firstStore, secondStore);
  synchronize(55s, secondStore, thirdStore);  // the age is transferred
  EXPECT_EQ(snapshotOf(thirdStore, 59s).size(), 1U);
  EXPECT_EQ(snapshotOf(thirdStore, 60s).size(), 0U);
  EXPECT_EQ(thirdStore.evictExpired(60s), 1U);
  EXPECT_EQ(thirdStore.ownerCount(), 1U);
  synchronize(60s, secondStore, thirdStore);  // it has not evicted the entry yet
  EXPECT_EQ(thirdStore.entryCount(), 0U);
  EXPECT_EQ(secondStore.evictExpired(60s), 1U);
  firstStore.renewEntries(60s);  // late, because its process was stopped; the entry was not written meanwhile
  synchronize(61s, firstStore, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 61s), (StoreSnapshot{{"one", 1, 1, "a", "1"}}));
  const std::uint64_t changes = secondStore.changeCount();
  firstStore.renewEntries(90s);
  synchronize(90s, firstStore, secondStore);
  EXPECT_EQ(secondStore.changeCount(), changes);  // renewed, not changed
  EXPECT_EQ(snapshotOf(secondStore, 119s).size(), 1U);
}

TEST(GossipStore, EvictsStaleOwnersWhenFull) {
  StoreOptions options;
  options.owner = "me";
  options.maxBytes = 2 * kMaxBytesPerOwner;
  options.retentionDuration = 100s;
  Store ownStore(options);
  ownStore.put(0s, 1, "mine", "1");
  const std::string value(kMaxValueBytes, 'v');
  const auto mergeOwner = [&](const std::string& name, Duration at, int entries) {
    Store otherStore = makeStore(name, 1, 100s);
    for (int index = 0; index < entries; ++index) otherStore.put(at, 1, std::to_string(index), value);
    return ownStore.merge(at, fullDelta(otherStore, at));
  };
  EXPECT_EQ(mergeOwner("dead", 0s, 100).rejected, 0U);
  EXPECT_EQ(mergeOwner("living", 60s, 100).rejected, 0U);
  EXPECT_FALSE(ownStore.buildDigest(60s, {}, kUnlimitedBytes).rejectsNewOwners);
  EXPECT_EQ(mergeOwner("new", 60s, 100).rejected, 0U);  // replaces the dead owner
  std::set<std::string> owners;
  ownStore.forEachOwner(60s, [&](const std::string& name, std::uint64_t, Duration) { owners.insert(name); });
  EXPECT_EQ(owners, (std::set<std::string>{"me", "living", "new"}));
  EXPECT_GT(mergeOwner("late", 60s, 100).rejected, 0U);
  EXPECT_TRUE(ownStore.buildDigest(60s, {}, kUnlimitedBytes).rejectsNewOwners);
  EXPECT_LE(ownStore.totalBytes(), options.maxBytes);
  EXPECT_EQ(ownStore.put(60s, 1, "more", value),
            Store::PutResult::stored);  // space for own entries is reserved
  // A peer that rejects new owners is sent no owners that its digest does not list.
  Store strangerStore = makeStore("stranger");
  strangerStore.put(60s, 1, "a", "1");
  EXPECT_TRUE(strangerStore.buildDelta(60s, ownStore.buildDigest(60s, {}, kUnlimitedBytes), kUnlimitedBytes)
                  .ownerDeltas.empty());
}

TEST(GossipStore, CoversAllOwnersWhenDigestIsPaged) {
  Store firstStore = makeStore("one"), secondStore = makeStore("two");
  for (int index = 0; index < 200; ++index) {
    Store otherStore = makeStore("owner-" + std::to_string(index));
    otherStore.put(0s, 1, "a", std::to_string(index));
    firstStore.merge(0s, fullDelta(otherStore, 0s));
    if (index % 3 == 0) secondStore.merge(0s, fullDelta(otherStore, 0s));
  }
  std::string cursor;
  int parts = 0;
  do {
    const Digest digest = secondStore.buildDigest(0s, cursor, 1000);
    for (const Delta& delta : {firstStore.buildDelta(0s, digest, kUnlimitedBytes)})
      secondStore.merge(0s, delta);
    cursor = digest.lastOwner.empty() ? "" : digest.lastOwner + '\0';
    ++parts;
  } while (!cursor.empty());
  EXPECT_GT(parts, 2);
  EXPECT_EQ(snapshotOf(secondStore, 0s, "two"), snapshotOf(firstStore, 0s, "one"));
}

// A history of a few owners with restarts, split into deltas that answer arbitrary digests.
struct UpdateHistory {
  std::vector<Delta> deltas;
  std::vector<Store> incarnations;
};
UpdateHistory randomHistory() {
  UpdateHistory history;
  const int ownerCount = *rc::gen::inRange(1, 4);
  std::vector<Store> relays;
  relays.push_back(gossip::makeStore("relay-1"));
  relays.push_back(gossip::makeStore("relay-2"));
  for (int owner = 0; owner < ownerCount; ++owner) {
    const int incarnationCount = *rc::gen::inRange(1, 4);
    for (int incarnation = 1; incarnation <= incarnationCount; ++incarnation) {
      Store& store = history.incarnations.emplace_back(
          gossip::makeStore("o" + std::to_string(owner), static_cast<unsigned>(incarnation)));
      store.put(0s, 1, "life", std::to_string(incarnation));
      const int stepCount = *rc::gen::inRange(0, 12);
      for (int step = 0; step < stepCount; ++step) {
        const std::string key = std::to_string(*rc::gen::inRange(0, 4));
        const auto topic = static_cast<Topic>(*rc::gen::inRange(1, 3));
        if (*rc::gen::inRange(0, 4) == 0) {
          store.remove(0s, topic, key);
        } else {
          store.put(0s, topic, key, std::to_string(*rc::gen::inRange(0, 9)));
        }
        Store& relay = relays[static_cast<std::size_t>(*rc::gen::inRange(0, 2))];
        const Delta delta = store.buildDelta(0s, relay.buildDigest(0s, {}, kUnlimitedBytes),
                                             static_cast<std::size_t>(*rc::gen::inRange(60, 400)));
        history.deltas.push_back(delta);
        if (*rc::gen::inRange(0, 2) == 0) relay.merge(0s, delta);
      }
      history.deltas.push_back(fullDelta(store, 0s));
    }
  }
  return history;
}

RC_GTEST_PROP(GossipMerge, IsIdempotentAndIndependentOfOrder, ()) {
  UpdateHistory history = randomHistory();
  std::mt19937 generator(static_cast<unsigned>(*rc::gen::inRange(0, 1 << 30)));
  const auto snapshotAfter = [&](std::vector<Delta> deltas) {
    Store reader = makeStore("reader");
    for (const Delta& delta : deltas) reader.merge(0s, delta);
    return snapshotOf(reader, 0s);
  };
  std::vector<Delta> repeatedDeltas = history.deltas;
  repeatedDeltas.insert(repeatedDeltas.end(), history.deltas.begin(), history.deltas.end());
  std::shuffle(repeatedDeltas.begin(), repeatedDeltas.end(), generator);
  const StoreSnapshot expected = snapshotAfter(history.deltas);
  RC_ASSERT(snapshotAfter(repeatedDeltas) == expected);
  // The result is the last incarnation of each owner as the owner sees it.
  StoreSnapshot latestLives;
  for (const Store& incarnation : history.incarnations) {
    std::erase_if(latestLives,
                  [&](const auto& element) { return std::get<0>(element) == incarnation.owner(); });
    latestLives.merge(snapshotOf(incarnation, 0s));
  }
  RC_ASSERT(expected == latestLives);
}

RC_GTEST_PROP(GossipMerge, IsAssociativeCommutativeAndIdempotentAcrossStores, ()) {
  const UpdateHistory history = randomHistory();
  const auto partialStore = [&](const std::string& name) {
    Store store = makeStore(name);
    for (const Delta& delta : history.deltas)
      if (*rc::gen::inRange(0, 2) == 0) store.merge(0s, delta);
    return store;
  };
  const Store a = partialStore("a"), b = partialStore("b"), c = partialStore("c");
  const auto join = [](std::vector<const Store*> stores) {
    Store joined = makeStore("into");
    for (const Store* store : stores) joined.merge(0s, fullDelta(*store, 0s));
    return joined;
  };
  const auto withoutReaders = [](const Store& store) {
    StoreSnapshot view = snapshotOf(store, 0s);
    std::erase_if(view, [](const auto& item) { return std::get<0>(item).size() == 1; });
    return view;
  };
  const Store ab = join({&a, &b}), bc = join({&b, &c});
  RC_ASSERT(withoutReaders(join({&ab, &c})) == withoutReaders(join({&a, &bc})));
  RC_ASSERT(withoutReaders(join({&a, &b})) == withoutReaders(join({&b, &a})));
  RC_ASSERT(withoutReaders(join({&a, &a})) == withoutReaders(a));
}

// A fleet in simulated time whose datagrams are lost, duplicated and delayed at random; then the faults end.
Duration convergenceTime(unsigned seed) {
  struct Member {
    std::unique_ptr<Store> store;
    std::unique_ptr<GossipProtocol> gossip;
  };
  std::mt19937 generator(seed);
  const std::size_t memberCount = 2 + generator() % 7;
  std::vector<Member> members(memberCount);
  const auto startMember = [&](std::size_t index, std::uint64_t generation) {
    GossipOptions options;
    for (std::size_t peer = 0; peer < memberCount; ++peer)
      if (peer != index) options.peers.push_back(peer);
    options.seed = index + 7 * generation;
    members[index].store = std::make_unique<Store>(makeStore("m" + std::to_string(index), generation));
    members[index].gossip = std::make_unique<GossipProtocol>(*members[index].store, options);
  };
  for (std::size_t index = 0; index < memberCount; ++index) startMember(index, 1);
  struct DatagramInFlight {
    Duration arrivesAt;
    std::size_t sender, receiver;
    std::string datagram;
  };
  std::vector<DatagramInFlight> datagramsInFlight;
  const int lossPercent = static_cast<int>(generator() % 90);
  constexpr Duration kLossEndsAt = 3s, kTimeLimit = 3s + 200ms * 40;
  Duration now{0};
  const auto send = [&](std::size_t sender, const GossipProtocol::OutboundMessages& messages) {
    for (const auto& message : messages) {
      const std::string datagram = encode(message.message, "c", members[sender].store->owner());
      EXPECT_LE(datagram.size(), kMaxDatagramBytes);
      for (int copy = 0; copy < (generator() % 5 == 0 ? 2 : 1); ++copy)
        if (now >= kLossEndsAt || static_cast<int>(generator() % 100) >= lossPercent)
          datagramsInFlight.push_back(
              {now + std::chrono::milliseconds(generator() % 60), sender, message.destination, datagram});
    }
  };
  for (; now < kTimeLimit; now += 5ms) {
    for (std::size_t item = 0; item < memberCount; ++item) {
      if (now < kLossEndsAt && generator() % 40 == 0)
        members[item].store->put(now, 1, std::to_string(generator() % 5), std::to_string(generator() % 1000));
      if (now < kLossEndsAt && generator() % 2000 == 0)
        startMember(item, members[item].store->incarnation() + 1);
      if (now >= members[item].gossip->nextRoundAt()) send(item, members[item].gossip->runRound(now));
    }
    std::vector<DatagramInFlight> arrived;
    std::partition_copy(datagramsInFlight.begin(), datagramsInFlight.end(), std::back_inserter(arrived),
                        datagramsInFlight.begin(), [&](const DatagramInFlight& datagramInFlight) {
                          return datagramInFlight.arrivesAt <= now;
                        });
    datagramsInFlight.resize(datagramsInFlight.size() - arrived.size());
    std::shuffle(arrived.begin(), arrived.end(), generator);
    for (const DatagramInFlight& datagramInFlight : arrived) {
      Member& receiver = members[datagramInFlight.receiver];
      const DecodeResult read = decode(datagramInFlight.datagram, "c", receiver.store->owner());
      send(datagramInFlight.receiver, receiver.gossip->onMessage(now, datagramInFlight.sender, read.sender,
                                                                 std::get<Message>(read.content)));
    }
    if (now < kLossEndsAt || now % 50ms != 0us) continue;
    const StoreSnapshot firstSnapshot = snapshotOf(*members[0].store, now);
    if (std::all_of(members.begin(), members.end(),
                    [&](const Member& member) { return snapshotOf(*member.store, now) == firstSnapshot; }))
      return now - kLossEndsAt;
  }
  ADD_FAILURE() << "seed " << seed << ": " << memberCount << " members do not agree";
  return kTimeLimit;
}

TEST(GossipProtocol, ConvergesWithinTwentyIntervalsWhenLossesEnd) {
  Duration slowest{0};
  for (unsigned seed = 1; seed <= 30; ++seed) slowest = std::max(slowest, convergenceTime(seed));
  EXPECT_LE(slowest, 200ms * 20);
  RecordProperty("worst_ms", static_cast<int>(slowest / 1ms));
}

TEST(GossipProtocol, VisitsEveryPeerPerRoundInOrderGivenBySeed) {
  const auto visitOrder = [](std::uint64_t seed) {
    Store store = makeStore("one");
    GossipOptions options;
    options.seed = seed;
    for (PeerAddress peerAddress = 1; peerAddress <= 10; ++peerAddress) options.peers.push_back(peerAddress);
    GossipProtocol gossip(store, options);
    std::vector<PeerAddress> visited;
    for (int round = 0; round < 30; ++round) {
      const Duration now = gossip.nextRoundAt();
      const auto messages = gossip.runRound(now);
      EXPECT_EQ(messages.size(), 1U);
      visited.push_back(messages.at(0).destination);
      EXPECT_GE(gossip.nextRoundAt() - now, 150ms);
      EXPECT_LE(gossip.nextRoundAt() - now, 250ms);
    }
    for (int round = 0; round < 3; ++round)
      EXPECT_EQ(std::set<PeerAddress>(visited.begin() + 10 * round, visited.begin() + 10 * round + 10).size(),
                10U);
    return visited;
  };
  EXPECT_EQ(visitOrder(1), visitOrder(1));
  EXPECT_NE(visitOrder(1), visitOrder(2));
}

TEST(GossipProtocol, LimitsAnswersWhenFloodedWithDigests) {
  Store firstStore = makeStore("one"), secondStore = makeStore("two");
  for (int index = 0; index < 200; ++index)
    firstStore.put(0s, 1, std::to_string(index), std::string(1000, 'v'));
  GossipOptions options;
  options.peers = {2};
  GossipProtocol gossip(firstStore, options);
  const Message digestMessage(secondStore.buildDigest(0s, {}, kMaxDigestBytes));
  std::size_t answers = 0;
  for (int item = 0; item < 10000; ++item) answers += gossip.onMessage(1s, 77, "two", digestMessage).size();
  EXPECT_EQ(answers, 64 * GossipProtocol::kMaxAnswerDatagrams);
  EXPECT_EQ(gossip.dropCount(DropReason::rateLimited), 10000U - 64);
  EXPECT_FALSE(gossip.onMessage(1s + options.period, 77, "two", digestMessage).empty());
}

// ---- wire format ----------------------------------------------------------------------------------------

Delta largestDelta() {
  Delta delta;
  delta.ownerDeltas.push_back({std::string(kMaxOwnerBytes, 'o'), kNumberLimit - 1, 0, kNumberLimit - 1, {}});
  delta.ownerDeltas[0].updates.push_back({kMaxTopic, std::string(kMaxKeyBytes, 'k'),
                                          std::string(kMaxValueBytes, 'v'), kNumberLimit - 1, false, 9min});
  return delta;
}
const std::string kMaxLengthName(kMaxOwnerBytes, 's'), kMaxLengthCluster(kMaxClusterBytes, 'c');

TEST(GossipCodec, RoundTripsLargestDeltaWithinDatagramLimit) {
  const std::string datagram = encode(Message(largestDelta()), kMaxLengthCluster, kMaxLengthName);
  EXPECT_LE(datagram.size(), kMaxDatagramBytes);
  const DecodeResult read = decode(datagram, kMaxLengthCluster, "me");
  const auto& delta = std::get<Delta>(std::get<Message>(read.content));
  EXPECT_EQ(read.sender, kMaxLengthName);
  EXPECT_EQ(delta.ownerDeltas.at(0).updates.at(0).value, largestDelta().ownerDeltas[0].updates[0].value);
  EXPECT_EQ(delta.ownerDeltas[0].updates[0].age, 9min);
  Store firstStore(StoreOptions{kMaxLengthName, kNumberLimit - 1, 10min});
  firstStore.put(0s, kMaxTopic, std::string(kMaxKeyBytes, 'k'), std::string(kMaxValueBytes, 'v'));
  EXPECT_EQ(firstStore.buildDelta(0s, Digest{}, kMaxDeltaBytes).ownerDeltas.size(),
            1U);  // so that every entry fits one datagram
  for (int index = 0; index < 100; ++index) {
    Store otherStore(
        StoreOptions{std::to_string(index) + std::string(kMaxOwnerBytes - 2, 'o'), kNumberLimit - 1, 10min});
    for (int entry = 0; entry < index % 7; ++entry) otherStore.put(0s, 5, std::to_string(entry), "x");
    firstStore.merge(0s, fullDelta(otherStore, 0s));
  }
  std::size_t largestSize = 0;
  Store otherStore = makeStore("other");
  for (std::string cursor;;) {
    const Digest digest = firstStore.buildDigest(0s, cursor, kMaxDigestBytes);
    largestSize = std::max(largestSize, encode(Message(digest), kMaxLengthCluster, kMaxLengthName).size());
    largestSize = std::max(
        largestSize, encode(Message(DeltaRequest{otherStore.buildDeltaRequest(0s, digest, kMaxDigestBytes)}),
                            kMaxLengthCluster, kMaxLengthName)
                         .size());
    largestSize = std::max(
        largestSize, encode(Message(firstStore.buildDelta(
                                0s, Digest{digest.firstOwner, digest.lastOwner, false, {}}, kMaxDeltaBytes)),
                            kMaxLengthCluster, kMaxLengthName)
                         .size());
    cursor = digest.lastOwner + '\0';
    if (digest.lastOwner.empty()) break;
  }
  EXPECT_LE(largestSize, kMaxDatagramBytes);
  EXPECT_GT(largestSize, kMaxDatagramBytes / 2);
}

DropReason dropReason(std::string_view datagram) {
  const DecodeResult read = decode(datagram, "c", "me");
  const auto* reason = std::get_if<DropReason>(&read.content);
  EXPECT_TRUE(reason) << datagram.size();
  return reason ? *reason : DropReason::sendFailed;
}

TEST(GossipCodec, DropsDatagramWithReasonWhenInvalid) {
  const Message delta(largestDelta());
  std::string datagram = encode(delta, "c", "you");
  EXPECT_EQ(dropReason(encode(delta, "another", "you")), DropReason::otherCluster);
  EXPECT_EQ(dropReason(encode(delta, "c", "me")), DropReason::ownMessage);
  EXPECT_EQ(dropReason(std::string(kMaxDatagramBytes + 1, 'x')), DropReason::oversized);
  EXPECT_EQ(dropReason(""), DropReason::malformed);
  EXPECT_EQ(dropReason(datagram + "x"), DropReason::malformed);
  datagram[1] = '\x02';
  EXPECT_EQ(dropReason(datagram), DropReason::unsupportedVersion);
  datagram[1] = '\x01', datagram[2] = '\x10';
  EXPECT_EQ(dropReason(datagram), DropReason::reservedKind);
  datagram[2] = '\x09';
  EXPECT_EQ(dropReason(datagram), DropReason::unknownKind);
  datagram[2] = '\x01';  // the body of a digest differs
  EXPECT_EQ(dropReason(datagram), DropReason::malformed);
  EXPECT_EQ(dropReason("\xdd\xff\xff\xff\xff"), DropReason::malformed);     // a list of four billion
  EXPECT_EQ(dropReason(std::string(1000, '\x91')), DropReason::malformed);  // a nesting depth of a thousand
  EXPECT_EQ(dropReason("\x95\x01\x02\xa1"
                       "c\xdb\xff\xff\xff\xff"),
            DropReason::malformed);  // a string of the same size
}

RC_GTEST_PROP(GossipCodec, KeepsOwnEntriesAndByteLimitWhenDatagramIsCorrupted, ()) {
  std::string datagram = encode(Message(largestDelta()), "c", "you");
  const int changes = *rc::gen::inRange(1, 8);
  for (int index = 0; index < changes; ++index)
    datagram[*rc::gen::inRange<std::size_t>(0, datagram.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  if (*rc::gen::inRange(0, 2) == 0) datagram.resize(*rc::gen::inRange<std::size_t>(0, datagram.size()));
  Store store = makeStore("me");
  store.put(0s, 1, "mine", "1");
  GossipProtocol gossip(store, {{1}, 200ms, 3});
  const DecodeResult read = decode(datagram, "c", "me");
  if (const auto* message = std::get_if<Message>(&read.content))
    gossip.onMessage(1s, 1, read.sender, *message);
  RC_ASSERT(store.totalBytes() <= StoreOptions{}.maxBytes);
  RC_ASSERT(snapshotOf(store, 1s).count({"me", store.incarnation(), 1, "mine", "1"}) == 1);
}

// ---- load publisher -------------------------------------------------------------------------------------

TEST(FleetLoad, SumsEachLiveControllerOnceAndExcludesSilentOnes) {
  Store firstStore = makeStore("one"), secondStore = makeStore("two");
  LoadPublisher firstPublisher(firstStore), secondPublisher(secondStore);
  firstPublisher.publish(0s, {{"e1", {3, 10}}, {"e2", {0, 0}}}, {3, 9});
  secondPublisher.publish(0s, {{"e1", {2, 5}}, {"e3", {1, 1}}}, {3, 6});
  synchronize(0s, secondStore, firstStore);
  synchronize(0s, secondStore, firstStore);
  FleetLoad sum = sumFleetLoad(firstStore, 1s);
  EXPECT_EQ(sum.controllers, 2U);
  EXPECT_EQ(sum.liveControllers, 2U);
  EXPECT_EQ(sum.total, (Load{6, 15}));
  EXPECT_EQ(sum.engines, (std::map<std::string, Load>{{"e1", {5, 15}}, {"e3", {1, 1}}}));
  firstPublisher.publish(8s, {{"e1", {3, 11}}}, {3, 10});
  sum = sumFleetLoad(firstStore, 8s);  // no heartbeat of the other within the timeout
  EXPECT_EQ(sum.liveControllers, 1U);
  EXPECT_EQ(sum.total, (Load{3, 16}));
  EXPECT_EQ(sum.engines.at("e1"), (Load{3, 16}));
  firstStore.put(9s, kLoadTopic, "e9", "nonsense");
  EXPECT_EQ(sumFleetLoad(firstStore, 9s).unreadableValues, 1U);
}

}  // namespace
}  // namespace paddletrack::gossip
