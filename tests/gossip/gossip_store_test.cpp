// Tests of gossip without a network: the store, its reconciliation, the wire format, and the protocol.
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

Store makeStore(const std::string& owner, std::uint64_t incarnation = 1, Duration retention = 10min) {
  StoreOptions options;
  options.owner = owner;
  options.incarnation = incarnation;
  options.retentionDuration = retention;
  return Store(options);
}

using StoreSnapshot = std::set<std::tuple<std::string, std::uint64_t, int, std::string, std::string>>;
StoreSnapshot snapshotOf(const Store& store, Duration now) {
  StoreSnapshot snapshot;
  for (Topic topic = 0; topic <= kMaxTopic; ++topic)
    store.visitEntries(
        now, topic,
        [&](const std::string& owner, std::uint64_t incarnation, const std::string& key,
            const std::string& value, Duration) { snapshot.emplace(owner, incarnation, topic, key, value); });
  return snapshot;
}
// Omits the entries of `excludedOwner`.
StoreSnapshot snapshotOf(const Store& store, Duration now, const std::string& excludedOwner) {
  StoreSnapshot snapshot = snapshotOf(store, now);
  std::erase_if(snapshot, [&](const auto& entry) { return std::get<0>(entry) == excludedOwner; });
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
  FAIL() << "synchronization did not finish within 1000 rounds";
}

TEST(GossipStore, ReplicatesPutsAndRemovals) {
  Store firstStore = makeStore("one"), secondStore = makeStore("two");
  EXPECT_EQ(firstStore.put(1s, kLoadTopic, "a", "1"), Store::PutResult::stored);
  EXPECT_EQ(firstStore.put(2s, kLoadTopic, "a", "2"), Store::PutResult::stored);
  EXPECT_EQ(firstStore.put(2s, kCounterfactualTopic, "b", std::string("\0\xff", 2)),
            Store::PutResult::stored);
  synchronize(3s, firstStore, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 3s), snapshotOf(firstStore, 3s));
  std::size_t visitedCount = 0;
  secondStore.visitEntries(4s, kLoadTopic,
                           [&](const std::string& owner, std::uint64_t, const std::string& key,
                               const std::string& value, Duration age) {
                             ++visitedCount;
                             EXPECT_EQ(owner + key + value, "onea2");
                             EXPECT_EQ(age, 2s);
                           });
  EXPECT_EQ(visitedCount, 1U);
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
            Store::PutResult::stored);  // replaces the previous value
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
  Store later = makeStore("one", 4);  // the clock went back
  later.put(1s, 1, "a", "new");
  synchronize(1s, later, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 1s), (StoreSnapshot{{"one", 9, 1, "a", "old"}}));
  later.buildDeltaRequest(1s, secondStore.buildDigest(1s, {}, kUnlimitedBytes),
                          kUnlimitedBytes);  // the digest shows the later incarnation
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
  synchronize(55s, secondStore, thirdStore);  // the age is replicated
  EXPECT_EQ(snapshotOf(thirdStore, 59s).size(), 1U);
  EXPECT_EQ(snapshotOf(thirdStore, 60s).size(), 0U);
  EXPECT_EQ(thirdStore.evictExpired(60s), 1U);
  EXPECT_EQ(thirdStore.ownerCount(), 1U);
  synchronize(60s, secondStore, thirdStore);  // the second store has not removed the entry yet
  EXPECT_EQ(thirdStore.entryCount(), 0U);
  EXPECT_EQ(secondStore.evictExpired(60s), 1U);
  firstStore.renewEntries(
      60s);  // late, because the process was stopped; no write renewed the entry meanwhile
  synchronize(61s, firstStore, secondStore);
  EXPECT_EQ(snapshotOf(secondStore, 61s), (StoreSnapshot{{"one", 1, 1, "a", "1"}}));
  const std::uint64_t previousChangeCount = secondStore.changeCount();
  firstStore.renewEntries(90s);
  synchronize(90s, firstStore, secondStore);
  EXPECT_EQ(secondStore.changeCount(), previousChangeCount);  // renewed, not changed
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
  const auto mergeOwner = [&](const std::string& name, Duration writtenAt, int entryCount) {
    Store otherStore = makeStore(name, 1, 100s);
    for (int index = 0; index < entryCount; ++index)
      otherStore.put(writtenAt, 1, std::to_string(index), value);
    return ownStore.merge(writtenAt, fullDelta(otherStore, writtenAt));
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
  int digestCount = 0;
  do {
    const Digest digest = secondStore.buildDigest(0s, cursor, 1000);
    for (const Delta& delta : {firstStore.buildDelta(0s, digest, kUnlimitedBytes)})
      secondStore.merge(0s, delta);
    cursor = digest.lastOwner.empty() ? "" : digest.lastOwner + '\0';
    ++digestCount;
  } while (!cursor.empty());
  EXPECT_GT(digestCount, 2);
  EXPECT_EQ(snapshotOf(secondStore, 0s, "two"), snapshotOf(firstStore, 0s, "one"));
}

// A random history of writes by a few owners that restart, split into deltas that answer arbitrary digests.
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
  // The result consists of the last incarnation of each owner, as its own store shows it.
  StoreSnapshot latestIncarnations;
  for (const Store& incarnation : history.incarnations) {
    std::erase_if(latestIncarnations,
                  [&](const auto& entry) { return std::get<0>(entry) == incarnation.owner(); });
    latestIncarnations.merge(snapshotOf(incarnation, 0s));
  }
  RC_ASSERT(expected == latestIncarnations);
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
  const auto mergeStores = [](std::vector<const Store*> stores) {
    Store merged = makeStore("into");
    for (const Store* store : stores) merged.merge(0s, fullDelta(*store, 0s));
    return merged;
  };
  const auto snapshotWithoutReaders = [](const Store& store) {
    StoreSnapshot snapshot = snapshotOf(store, 0s);
    std::erase_if(snapshot, [](const auto& entry) { return std::get<0>(entry).size() == 1; });
    return snapshot;
  };
  const Store ab = mergeStores({&a, &b}), bc = mergeStores({&b, &c});
  RC_ASSERT(snapshotWithoutReaders(mergeStores({&ab, &c})) == snapshotWithoutReaders(mergeStores({&a, &bc})));
  RC_ASSERT(snapshotWithoutReaders(mergeStores({&a, &b})) == snapshotWithoutReaders(mergeStores({&b, &a})));
  RC_ASSERT(snapshotWithoutReaders(mergeStores({&a, &a})) == snapshotWithoutReaders(a));
}

// Simulates a fleet whose datagrams are lost, duplicated and delayed at random. Returns the time from the end
// of the losses until all stores agree.
Duration convergenceTime(unsigned seed) {
  struct Member {
    std::unique_ptr<Store> store;
    std::unique_ptr<GossipProtocol> protocol;
  };
  std::mt19937 generator(seed);
  const std::size_t memberCount = 2 + generator() % 7;
  std::vector<Member> members(memberCount);
  const auto startMember = [&](std::size_t index, std::uint64_t incarnation) {
    GossipOptions options;
    for (std::size_t peer = 0; peer < memberCount; ++peer)
      if (peer != index) options.peers.push_back(peer);
    options.seed = index + 7 * incarnation;
    members[index].store = std::make_unique<Store>(makeStore("m" + std::to_string(index), incarnation));
    members[index].protocol = std::make_unique<GossipProtocol>(*members[index].store, options);
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
    for (std::size_t index = 0; index < memberCount; ++index) {
      if (now < kLossEndsAt && generator() % 40 == 0)
        members[index].store->put(now, 1, std::to_string(generator() % 5),
                                  std::to_string(generator() % 1000));
      if (now < kLossEndsAt && generator() % 2000 == 0)
        startMember(index, members[index].store->incarnation() + 1);
      if (now >= members[index].protocol->nextRoundAt()) send(index, members[index].protocol->runRound(now));
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
      const DecodeResult decoded = decode(datagramInFlight.datagram, "c", receiver.store->owner());
      send(datagramInFlight.receiver,
           receiver.protocol->onMessage(now, datagramInFlight.sender, decoded.sender,
                                        std::get<Message>(decoded.content)));
    }
    if (now < kLossEndsAt || now % 50ms != 0us) continue;
    const StoreSnapshot firstSnapshot = snapshotOf(*members[0].store, now);
    if (std::all_of(members.begin(), members.end(),
                    [&](const Member& member) { return snapshotOf(*member.store, now) == firstSnapshot; }))
      return now - kLossEndsAt;
  }
  ADD_FAILURE() << "seed " << seed << ": " << memberCount << " members did not converge";
  return kTimeLimit;
}

TEST(GossipProtocol, ConvergesWithinTwentyPeriodsWhenLossesEnd) {
  Duration slowest{0};
  for (unsigned seed = 1; seed <= 30; ++seed) slowest = std::max(slowest, convergenceTime(seed));
  EXPECT_LE(slowest, 200ms * 20);
  RecordProperty("worst_ms", static_cast<int>(slowest / 1ms));
}

TEST(GossipProtocol, ContactsEachPeerOncePerCycleInOrderOfSeed) {
  const auto visitOrder = [](std::uint64_t seed) {
    Store store = makeStore("one");
    GossipOptions options;
    options.seed = seed;
    for (PeerAddress peerAddress = 1; peerAddress <= 10; ++peerAddress) options.peers.push_back(peerAddress);
    GossipProtocol protocol(store, options);
    std::vector<PeerAddress> visited;
    for (int round = 0; round < 30; ++round) {
      const Duration now = protocol.nextRoundAt();
      const auto messages = protocol.runRound(now);
      EXPECT_EQ(messages.size(), 1U);
      visited.push_back(messages.at(0).destination);
      EXPECT_GE(protocol.nextRoundAt() - now, 150ms);
      EXPECT_LE(protocol.nextRoundAt() - now, 250ms);
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
  GossipProtocol protocol(firstStore, options);
  const Message digestMessage(secondStore.buildDigest(0s, {}, kMaxDigestBytes));
  std::size_t answerCount = 0;
  for (int messageIndex = 0; messageIndex < 10000; ++messageIndex)
    answerCount += protocol.onMessage(1s, 77, "two", digestMessage).size();
  EXPECT_EQ(answerCount, 64 * GossipProtocol::kMaxAnswerDatagrams);
  EXPECT_EQ(protocol.dropCount(DropReason::rateLimited), 10000U - 64);
  EXPECT_FALSE(protocol.onMessage(1s + options.period, 77, "two", digestMessage).empty());
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
  const DecodeResult decoded = decode(datagram, kMaxLengthCluster, "me");
  const auto& delta = std::get<Delta>(std::get<Message>(decoded.content));
  EXPECT_EQ(decoded.sender, kMaxLengthName);
  EXPECT_EQ(delta.ownerDeltas.at(0).updates.at(0).value, largestDelta().ownerDeltas[0].updates[0].value);
  EXPECT_EQ(delta.ownerDeltas[0].updates[0].age, 9min);
  Store firstStore(StoreOptions{kMaxLengthName, kNumberLimit - 1, 10min});
  firstStore.put(0s, kMaxTopic, std::string(kMaxKeyBytes, 'k'), std::string(kMaxValueBytes, 'v'));
  EXPECT_EQ(firstStore.buildDelta(0s, Digest{}, kMaxDeltaBytes).ownerDeltas.size(),
            1U);  // every entry fits one datagram
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
  const DecodeResult decoded = decode(datagram, "c", "me");
  const auto* reason = std::get_if<DropReason>(&decoded.content);
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
  datagram[2] = '\x01';  // the body is not that of a digest
  EXPECT_EQ(dropReason(datagram), DropReason::malformed);
  EXPECT_EQ(dropReason("\xdd\xff\xff\xff\xff"), DropReason::malformed);  // an array of four billion elements
  EXPECT_EQ(dropReason(std::string(1000, '\x91')), DropReason::malformed);  // a nesting depth of 1000
  EXPECT_EQ(dropReason("\x95\x01\x02\xa1"
                       "c\xdb\xff\xff\xff\xff"),
            DropReason::malformed);  // a string of four billion bytes
}

RC_GTEST_PROP(GossipCodec, KeepsOwnEntriesAndByteLimitWhenDatagramIsCorrupted, ()) {
  std::string datagram = encode(Message(largestDelta()), "c", "you");
  const int changeCount = *rc::gen::inRange(1, 8);
  for (int index = 0; index < changeCount; ++index)
    datagram[*rc::gen::inRange<std::size_t>(0, datagram.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  if (*rc::gen::inRange(0, 2) == 0) datagram.resize(*rc::gen::inRange<std::size_t>(0, datagram.size()));
  Store store = makeStore("me");
  store.put(0s, 1, "mine", "1");
  GossipProtocol protocol(store, {{1}, 200ms, 3});
  const DecodeResult decoded = decode(datagram, "c", "me");
  if (const auto* message = std::get_if<Message>(&decoded.content))
    protocol.onMessage(1s, 1, decoded.sender, *message);
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
  FleetLoad fleetLoad = sumFleetLoad(firstStore, 1s);
  EXPECT_EQ(fleetLoad.controllers, 2U);
  EXPECT_EQ(fleetLoad.liveControllers, 2U);
  EXPECT_EQ(fleetLoad.total, (Load{6, 15}));
  EXPECT_EQ(fleetLoad.engines, (std::map<std::string, Load>{{"e1", {5, 15}}, {"e3", {1, 1}}}));
  firstPublisher.publish(8s, {{"e1", {3, 11}}}, {3, 10});
  fleetLoad = sumFleetLoad(firstStore, 8s);  // the other controller sent no heartbeat within the timeout
  EXPECT_EQ(fleetLoad.liveControllers, 1U);
  EXPECT_EQ(fleetLoad.total, (Load{3, 16}));
  EXPECT_EQ(fleetLoad.engines.at("e1"), (Load{3, 16}));
  firstStore.put(9s, kLoadTopic, "e9", "nonsense");
  EXPECT_EQ(sumFleetLoad(firstStore, 9s).unreadableValues, 1U);
}

}  // namespace
}  // namespace paddletrack::gossip
