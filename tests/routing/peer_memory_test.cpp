// What peers can make the process hold in memory: results that never become complete, long requests that stop
// half way, and messages that cannot be received at all.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <list>
#include <string>
#include <thread>
#include <vector>

#ifdef __SANITIZE_ADDRESS__
// NOLINTNEXTLINE(bugprone-reserved-identifier): declared by the sanitizer, whose header may be absent.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

#include "program/resource_budget.hpp"
#include "support/raw_client.hpp"
#include "support/router_fixture.hpp"

namespace paddletrack::routing {
namespace {

constexpr int kSubnet = 183;
constexpr std::size_t kPageBytes = 1000;
constexpr int kRequestTimeoutMs = 1500;

std::size_t heapBytes() {
#ifdef __SANITIZE_ADDRESS__
  return ::__sanitizer_get_current_allocated_bytes();
#else
  const struct mallinfo2 usage = ::mallinfo2();
  return usage.uordblks + usage.hblkhd;
#endif
}

std::string makePage() {
  std::string page;
  while (page.size() < kPageBytes) page += "shelf\tbay\t" + std::string(39, 'x') + "\n";  // Rows of 50 bytes.
  return page;
}

struct PeerMemoryFixture : RouterFixture {
  explicit PeerMemoryFixture(std::size_t connectionLimit = 100)
      : RouterFixture(kBaseSettings +
                          "familyInfo.kindCores=64\nlimits.dialTimeoutUs=1000000\n"
                          "limits.idleCloseUs=9000000\n",
                      kSubnet, connectionLimit) {}
};

// An engine that sends the first page of each result and the others only on demand.
class PagingEngine {
 public:
  PagingEngine(PeerMemoryFixture& fixture, int pageCount) : fixture_(fixture) {
    const std::string pageCountField = "batches=" + std::to_string(pageCount);
    fixture.addEngine(1, [this, pageCountField](FakeEngine&, Connection& connection,
                                                const std::string& command, const std::string& id) {
      if (command == "FREE" || command == "QUIT")
        std::erase_if(results, [&](const Result& result) { return result.id == id; });
      if (command != "ASK") return;
      results.push_back({&connection, id});
      FakeEngine::sendReply(connection, {id, "200", pageCountField, page_});
    });
    fixture.updateEndpoints({1});
  }
  // Sends requests from the client. Returns whether the engine has received them all.
  bool receiveRequests(const RawClient& client, int count) {
    for (int sequence = 1; sequence <= count; ++sequence)
      client.send(encodeNumberedSubmit(sequence, kRequestTimeoutMs));
    return fixture_.runUntil([&] { return results.size() == static_cast<std::size_t>(count); });
  }
  // Each page arrives by itself, so that it is read by itself.
  void sendPage(int number) {
    const std::string numberField = "batch=" + std::to_string(number);
    for (const Result& result : results)
      FakeEngine::sendReply(*result.connection, {result.id, "chunk", numberField, page_});
    fixture_.runFor(2ms);
  }
  struct Result {
    Connection* connection = nullptr;
    std::string id;
  };
  std::vector<Result> results;

 private:
  PeerMemoryFixture& fixture_;
  const std::string page_ = makePage();
};

// Regression: each page of an incomplete result kept a whole input buffer, so that a process whose engines
// did not send the last pages of some results exceeded its memory limit and was killed.
TEST(PeerMemory, HoldsLittleMoreThanReceivedPagesWhenResultsStayIncomplete) {
  constexpr int kRequests = 16;
  constexpr int kPages = 40;
  PeerMemoryFixture fixture;
  PagingEngine engine(fixture, kPages);
  const RawClient client(fixture);
  ASSERT_TRUE(engine.receiveRequests(client, kRequests));
  fixture.runFor(5ms);
  const std::size_t heapBefore = heapBytes();
  for (int page = 1; page < kPages - 1; ++page) engine.sendPage(page);
  const std::size_t receivedBytes = kRequests * (kPages - 2) * kPageBytes;
  EXPECT_EQ(fixture.router.openRequestCount(), static_cast<std::size_t>(kRequests));
  EXPECT_LE(heapBytes(), heapBefore + 2 * receivedBytes);
}

// Guards the limit: when incomplete results use up the memory, new requests are rejected, and open ones end
// with one final response each instead of with the process.
TEST(PeerMemory, RejectsNewRequestsAndFinishesOpenOnesWhenResultsUseUpMemory) {
  constexpr int kRequests = 16;
  constexpr int kPages = 40;
  PeerMemoryFixture fixture;
  PagingEngine engine(fixture, kPages);
  const RawClient client(fixture);
  ASSERT_TRUE(engine.receiveRequests(client, kRequests));
  fixture.peerMemory.maxBytes = kRequests * kPages * kPageBytes / 2;
  int page = 1;
  for (; page < kPages && !fixture.router.isFull(); ++page) engine.sendPage(page);
  ASSERT_LT(page, kPages);
  ASSERT_EQ(fixture.router.openRequestCount(), static_cast<std::size_t>(kRequests));
  RawClient otherClient(fixture);
  otherClient.send(encodeNumberedSubmit(100));
  EXPECT_TRUE(fixture.runUntil([&] { return !otherClient.receive().empty(); }, 100ms));
  EXPECT_EQ(engine.results.size(), static_cast<std::size_t>(kRequests));
  std::size_t maxUsedBytes = 0;
  for (; page < kPages - 1; ++page) {
    engine.sendPage(page);
    maxUsedBytes = std::max(maxUsedBytes, fixture.peerMemory.usedBytes);
  }
  constexpr std::size_t kInputOfConnections = 20UL * 16 * 1024;
  EXPECT_LE(maxUsedBytes, fixture.peerMemory.maxBytes * 3 / 4 + kInputOfConnections);
  EXPECT_TRUE(fixture.contains(fixture.logText, "result dropped"));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.router.openRequestCount() == 0; }));
  const auto& responses = fixture.router.totals().responses;
  EXPECT_EQ(responses[1] + responses[2] + responses[3], static_cast<std::size_t>(kRequests));
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.peerMemory.usedBytes == 0; }, 1s))
      << fixture.peerMemory.usedBytes;
}

// ---- Messages that cannot be received -------------------------------------------------------------------

// A router's client listener with room for messages that are longer than a connection's share of the memory.
struct LongMessageFixture : PeerMemoryFixture {
  static ClientLimits limits() {
    ClientLimits clientLimits;
    clientLimits.maxConnections = 300;
    clientLimits.maxFrameBytes = 256UL * 1024;
    clientLimits.minInputBytes = 8UL * 1024;
    clientLimits.maxUnsentBytes = 8UL * 1024;
    return clientLimits;
  }
  const Address longMessageAddress{engineAddress(201)};
  ClientListener longMessageListener{*this, peerMemory, longMessageAddress, limits(), router, logger};
  std::string receiveUntil(const RawClient& rawClient, const std::string& part) {
    std::string receivedText;
    runUntil([&] { return contains(receivedText += rawClient.receive(), part); }, 2s);
    return receivedText;
  }
};

// Keeps the requests of an engine until the test answers them.
struct HeldRequests {
  std::vector<PagingEngine::Result> asks;
  FakeEngine::CommandHandler hold() {
    return [this](FakeEngine&, Connection& connection, const std::string& command, const std::string& id) {
      if (command == "ASK") asks.push_back({&connection, id});
    };
  }
  void answerAll() const {
    for (const PagingEngine::Result& ask : asks)
      FakeEngine::sendReply(*ask.connection, {ask.id, "200", "batches=1", "r\to\tw\n"});
  }
};

std::size_t countParts(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t found = text.find(part); found != std::string::npos; found = text.find(part, found + 1))
    ++count;
  return count;
}

// Regression: a request that was longer than the frame limit ended the connection, and all requests that were
// open on it got no answer.
TEST(PeerMemory, AnswersOpenRequestsWhenNextMessageIsTooLong) {
  LongMessageFixture fixture;
  HeldRequests held;
  fixture.addEngine(1, held.hold());
  fixture.updateEndpoints({1});
  RawClient client(fixture.longMessageAddress);
  for (int sequence = 1; sequence <= 10; ++sequence) client.send(encodeNumberedSubmit(sequence));
  ASSERT_TRUE(fixture.runUntil([&] { return held.asks.size() == 10; }));
  std::string longMessage = encodeNumberedSubmit(11, kRequestTimeoutMs, std::string(1 << 20, 'x'));
  longMessage += encodeNumberedSubmit(12);
  fixture.runUntil([&] {
    longMessage.erase(0, client.send(longMessage));
    return longMessage.empty();
  });
  EXPECT_TRUE(fixture.contains(fixture.receiveUntil(client, "frame too long"), "frame too long"));
  ASSERT_TRUE(fixture.runUntil([&] { return held.asks.size() == 11; }));  // The request after it is read.
  held.answerAll();
  std::string answers;
  EXPECT_TRUE(fixture.runUntil([&] { return countParts(answers += client.receive(), "r\to\tw\n") == 11; }))
      << answers;
}

// A message that is shorter than the limit for frames is rejected as soon as there is no memory for it.
TEST(PeerMemory, RejectsLongRequestAndKeepsOpenOnesWhenMemoryIsUsedUp) {
  LongMessageFixture fixture;
  HeldRequests held;
  fixture.addEngine(1, held.hold());
  fixture.updateEndpoints({1});
  RawClient client(fixture.longMessageAddress);
  const std::string longMessage =
      encodeNumberedSubmit(2, kRequestTimeoutMs, "select '" + std::string(100000, 'x') + "'");
  client.send(encodeNumberedSubmit(1));
  ASSERT_TRUE(fixture.runUntil([&] { return held.asks.size() == 1; }));
  {
    const transport::MemoryCharge otherMemory(fixture.peerMemory, fixture.peerMemory.maxBytes / 2);
    client.send(longMessage);
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.contains(fixture.logText, "rejected"); }));
    EXPECT_FALSE(fixture.receiveUntil(client, "submit").empty());
    EXPECT_EQ(held.asks.size(), 1U);
  }
  client.send(longMessage);  // Trying again is harmless, and now there is room.
  EXPECT_TRUE(fixture.runUntil([&] { return held.asks.size() == 2; }));
  held.answerAll();
  EXPECT_TRUE(fixture.contains(fixture.receiveUntil(client, "r\to\tw\n"), "r\to\tw\n"));
}

// Hundreds of clients stop half way through a long request, or send the beginning of one with very many short
// fields. The memory that they take is bounded, and other clients are served.
TEST(PeerMemory, ServesOtherClientsWhenHundredsStopWithinLongRequests) {
  std::string manyFields(200000, '\0');  // Empty names and values.
  for (const bool hasManyFields : {false, true}) {
    LongMessageFixture fixture;
    fixture.addEngine(1, respondDone);
    fixture.updateEndpoints({1});
    std::string message = encodeNumberedSubmit(1, kRequestTimeoutMs, std::string(200000, 'x'));
    if (hasManyFields)
      message = encodeMessage(1, "submit", 1,
                              std::string("\x0d\0\x01\x0b\x0b", 5) + encodeInteger(25000, 4) + manyFields);
    const std::size_t heapBefore = heapBytes();
    std::list<RawClient> slowClients;
    std::size_t maxUsedBytes = 0;
    std::size_t maxHeapBytes = 0;
    for (int index = 0; index < 200; ++index) {
      slowClients.emplace_back(fixture.longMessageAddress);
      slowClients.back().send(std::string_view(message).substr(0, 150000));
      fixture.runFor(1ms);
      maxUsedBytes = std::max(maxUsedBytes, fixture.peerMemory.usedBytes);
      maxHeapBytes = std::max(maxHeapBytes, heapBytes());
    }
    EXPECT_GE(fixture.longMessageListener.connectionCount(), 200U);
    EXPECT_LE(maxUsedBytes, fixture.peerMemory.maxBytes * 3 / 4);
    EXPECT_LE(maxHeapBytes, heapBefore + 3 * fixture.peerMemory.maxBytes);
    RawClient otherClient(fixture.longMessageAddress);
    otherClient.send(encodeNumberedSubmit(2));
    EXPECT_TRUE(fixture.contains(fixture.receiveUntil(otherClient, "r\to\tw\n"), "r\to\tw\n"));
    slowClients.clear();
    otherClient.close();
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.peerMemory.usedBytes == 0; }))
        << fixture.peerMemory.usedBytes;
  }
}

// Regression: a connection kept a record of each of its responses for as long as it lived, because the
// records of written ones were removed only while other output was unwritten.
TEST(PeerMemory, DoesNotGrowWhenOneConnectionSendsManySmallRequests) {
  constexpr int kRequests = 1500;
  PeerMemoryFixture fixture;
  RawClient client(fixture);
  const std::string heartbeat = encodeMessage(1, "heartbeat", 1, encodeInteger(0, 1));
  const auto exchange = [&] {
    client.send(heartbeat);
    return fixture.runUntil([&] { return !client.receive().empty(); });
  };
  ASSERT_TRUE(exchange());
  const std::size_t heapBefore = heapBytes();
  for (int index = 0; index < kRequests; ++index) ASSERT_TRUE(exchange());
  constexpr std::size_t kLeastRecordBytes = sizeof(std::uint64_t);
  EXPECT_LE(heapBytes(), heapBefore + kRequests * kLeastRecordBytes);
}

// One client sends small messages under ever new names at full speed; others are served in time.
TEST(PeerMemory, ServesOtherClientsInTimeWhenOneSendsAtFullSpeed) {
  constexpr auto kOnTime = 400ms;  // Of the class.
  PeerMemoryFixture fixture;
  fixture.addEngine(1, respondDone);
  fixture.updateEndpoints({1});
  std::atomic<bool> isStopped{false};
  std::atomic<std::size_t> floodReplyBytes{0};
  std::thread flood([&] {
    RawClient floodClient(fixture);
    for (int index = 0; !isStopped; ++index) {
      const std::string name = "method" + std::to_string(index);
      floodClient.send(encodeMessage(1, name, index, encodeInteger(0, 1)) + encodeRevoke(index));
      if (index % 16 == 0) floodReplyBytes += floodClient.receive().size();
    }
  });
  transport::Clock::duration longestWait{};
  std::size_t maxUsedBytes = 0;
  for (int sequence = 1; sequence <= 60; ++sequence) {
    RawClient client(fixture);
    const transport::TimePoint sentAt = fixture.now();
    client.send(encodeNumberedSubmit(sequence));
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.contains(client.receive(), "r\to\tw\n"); }, 2s));
    longestWait = std::max(longestWait, fixture.now() - sentAt);
    maxUsedBytes = std::max(maxUsedBytes, fixture.peerMemory.usedBytes);
    fixture.runFor(10ms);
  }
  isStopped = true;
  flood.join();
  EXPECT_LE(longestWait, kOnTime);
  EXPECT_GE(floodReplyBytes, 100000U);  // Over a thousand of its messages were answered meanwhile.
  EXPECT_LE(maxUsedBytes, fixture.peerMemory.maxBytes / 2);
}

// A usual statement is received at all limits that the deployment page allows for memory and descriptors.
TEST(ResourceBudget, AllowsLongStatementsAtAllLimits) {
  for (const std::size_t memoryMb : {32, 64, 192})
    for (const std::size_t descriptors : {256, 512, 1024}) {
      const Address unusedAddress("127.0.0.1:1");
      program::NodeConfig nodeConfig{"front", unusedAddress, unusedAddress, 0, 0, 0, 0, {}, {}, {}};
      nodeConfig.memoryLimitBytes = memoryMb << 20;
      nodeConfig.descriptorLimit = descriptors;
      const program::ResourceBudget budget = program::computeResourceBudget(nodeConfig, {}, 0);
      EXPECT_GE(budget.maxFrameBytes, std::size_t{1} << 20) << memoryMb << " MB, " << descriptors;
      EXPECT_LE(budget.minInputBytes * budget.maxClientConnections, program::maxPeerBytes(nodeConfig) / 4);
    }
}

}  // namespace
}  // namespace paddletrack::routing
