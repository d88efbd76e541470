// What peers can make the process hold in memory: results that never become complete, long requests that stop
// half way, and messages that cannot be received at all.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <string>
#include <vector>

#ifdef __SANITIZE_ADDRESS__
// NOLINTNEXTLINE(bugprone-reserved-identifier): declared by the sanitizer, whose header may be absent.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

#include "support/raw_client.hpp"
#include "support/router_fixture.hpp"

namespace paddletrack::routing {
namespace {

constexpr int kSubnet = 183;
constexpr std::size_t kPageBytes = 1000;

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

std::string encodeNumberedSubmit(int sequence, const std::string& statement = "select 1") {
  std::array<char, 17> id;
  std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(sequence));
  return protocol::thrift::encodeSubmit(sequence, {{"service", "q"}, {"ref", id.data()}, {"allow", "1500"}},
                                        statement);
}

struct PeerMemoryFixture : RouterFixture {
  explicit PeerMemoryFixture(std::size_t connectionLimit = 100)
      : RouterFixture(kBaseSettings +
                          "familyInfo.kindCores=64\nlimits.dialTimeoutUs=1000000\n"
                          "limits.idleCloseUs=9000000\n",
                      kSubnet, connectionLimit) {}
  bool runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds timeout = 5s) {
    for (const transport::TimePoint deadline = now() + timeout; now() < deadline; runFor(1ms))
      if (isDone()) return true;
    return isDone();
  }
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
  RawClient client(fixture);
  for (int sequence = 1; sequence <= kRequests; ++sequence) client.send(encodeNumberedSubmit(sequence));
  ASSERT_TRUE(fixture.runUntil([&] { return engine.results.size() == kRequests; }));
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
  RawClient client(fixture);
  for (int sequence = 1; sequence <= kRequests; ++sequence) client.send(encodeNumberedSubmit(sequence));
  ASSERT_TRUE(fixture.runUntil([&] { return engine.results.size() == kRequests; }));
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

}  // namespace
}  // namespace paddletrack::routing
