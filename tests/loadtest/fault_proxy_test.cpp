// Tests of the effects of the fault proxies on datagrams and streams.
#include <gtest/gtest.h>

#include "fakes/tcp_fault_proxy.hpp"
#include "fakes/test_scheduler.hpp"
#include "fakes/udp_fault_proxy.hpp"

namespace paddletrack::fakes {
namespace {

using namespace std::chrono_literals;
using transport::Address;

struct UdpProxyFixture : TestScheduler {
  Address clientAddress{"127.0.168.1:17946"}, serverAddress{"127.0.168.2:17946"};
  Address clientProxyAddress{"127.0.168.1:17947"}, serverProxyAddress{"127.0.168.2:17947"};
  transport::DatagramSocket clientSocket{*this, clientAddress, 2000},
      serverSocket{*this, serverAddress, 2000};
  UdpFaultProxy proxy;
  explicit UdpProxyFixture(std::uint64_t seed = 1)
      : proxy(*this, {clientAddress, clientProxyAddress}, {serverAddress, serverProxyAddress}, seed) {}
  void sendNumber(int number) {
    EXPECT_TRUE(clientSocket.send(transport::packAddress(serverProxyAddress), std::to_string(number)));
    runFor(1ms);
  }
  std::vector<int> receiveNumbers(milliseconds duration = 150ms) {
    runFor(duration);
    std::vector<int> numbers;
    while (const auto datagram = serverSocket.receive()) {
      EXPECT_EQ(datagram->sender, transport::packAddress(clientProxyAddress));
      numbers.push_back(std::stoi(std::string(datagram->bytes)));
    }
    return numbers;
  }
};

TEST(FaultProxy, ForwardsDatagramsBothWaysAndInjectsEachFault) {
  UdpProxyFixture fixture;
  fixture.sendNumber(1);
  fixture.sendNumber(2);
  EXPECT_EQ(fixture.receiveNumbers(), (std::vector<int>{1, 2}));
  fixture.proxy.forwardFaults.blocked = true;
  fixture.sendNumber(3);
  EXPECT_TRUE(fixture.serverSocket.send(transport::packAddress(fixture.clientProxyAddress), "back"));
  EXPECT_TRUE(fixture.receiveNumbers().empty());
  const auto reply = fixture.clientSocket.receive();
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->bytes, "back");
  EXPECT_EQ(reply->sender, transport::packAddress(fixture.serverProxyAddress));
  fixture.proxy.forwardFaults = {};
  fixture.proxy.forwardFaults.duplicateProbability = 1;
  fixture.sendNumber(4);
  EXPECT_EQ(fixture.receiveNumbers(), (std::vector<int>{4, 4}));
  fixture.proxy.forwardFaults = {};
  fixture.proxy.forwardFaults.reorderProbability = 1;
  fixture.sendNumber(5);
  fixture.proxy.forwardFaults = {};
  fixture.sendNumber(6);
  EXPECT_EQ(fixture.receiveNumbers(), (std::vector<int>{6, 5}));
  fixture.proxy.forwardFaults.minDelay = fixture.proxy.forwardFaults.maxDelay = 100ms;
  fixture.sendNumber(7);
  EXPECT_TRUE(fixture.receiveNumbers(50ms).empty());
  EXPECT_EQ(fixture.receiveNumbers(), (std::vector<int>{7}));
}

TEST(FaultProxy, DropsSameDatagramsWhenSeedIsSame) {
  const auto receiveWithSeed = [](std::uint64_t seed) {
    UdpProxyFixture fixture(seed);
    fixture.proxy.forwardFaults.dropProbability = 0.5;
    for (int index = 0; index < 40; ++index) fixture.sendNumber(index);
    return fixture.receiveNumbers();
  };
  const auto firstRun = receiveWithSeed(1);
  EXPECT_GT(firstRun.size(), 8U);
  EXPECT_LT(firstRun.size(), 32U);
  EXPECT_EQ(receiveWithSeed(1), firstRun);
  EXPECT_NE(receiveWithSeed(2), firstRun);
}

transport::Task<> readAll(transport::Connection& connection, std::string& output) {
  for (;;) {
    const bool hasMore = co_await connection.receive();
    if (!hasMore) co_return;
    output += connection.input().view();
    connection.input().consume(connection.input().view().size());
  }
}

struct TcpProxyFixture : TestScheduler {
  Address proxyAddress{"127.0.168.3:17948"}, serverAddress{"127.0.168.4:17948"};
  transport::Listener listener{*this, serverAddress};
  TcpFaultProxy proxy{*this, memoryBudget, proxyAddress, serverAddress, 3};
  std::optional<transport::Connection> clientConnection, serverConnection;
  transport::TaskGroup tasks{*this, [](const char*) {}};
  std::string clientReceived, serverReceived;
  transport::Task<> acceptConnection() {
    std::unique_ptr<transport::Descriptor> accepted = co_await listener.accept();
    serverConnection.emplace(*this, std::move(accepted), 4096, 65536, memoryBudget);
    co_await readAll(*serverConnection, serverReceived);
  }
  transport::Task<> connectClient() {
    transport::ConnectResult connectResult = co_await transport::connect(*this, proxyAddress, now() + 1s);
    if (!connectResult.descriptor) co_return;
    clientConnection.emplace(*this, std::move(connectResult.descriptor), 4096, 65536, memoryBudget);
    co_await readAll(*clientConnection, clientReceived);
  }
  bool openConnections() {
    tasks.spawn(acceptConnection());
    tasks.spawn(connectClient());
    return runUntil([&] { return clientConnection && serverConnection; }, 2s);
  }
};

TEST(FaultProxy, HoldsStreamWhenCutAndResumesAfterwards) {
  TcpProxyFixture fixture;
  ASSERT_TRUE(fixture.openConnections());
  fixture.clientConnection->send({transport::BufferSlice(std::string("hello"))});
  fixture.serverConnection->send({transport::BufferSlice(std::string("answer"))});
  EXPECT_TRUE(fixture.runUntil(
      [&] { return fixture.serverReceived == "hello" && fixture.clientReceived == "answer"; }, 2s));
  fixture.proxy.forwardFaults.blocked = true;  // One direction only.
  fixture.clientConnection->send({transport::BufferSlice(std::string(" again"))});
  fixture.serverConnection->send({transport::BufferSlice(std::string("s"))});
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.clientReceived == "answers"; }, 2s));
  fixture.runFor(50ms);
  EXPECT_EQ(fixture.serverReceived, "hello");
  fixture.proxy.forwardFaults = {};
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.serverReceived == "hello again"; }, 2s));
  fixture.proxy.forwardFaults.minDelay = fixture.proxy.forwardFaults.maxDelay = 80ms;
  const transport::TimePoint sentAt = fixture.now();
  fixture.clientConnection->send({transport::BufferSlice(std::string("!"))});
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.serverReceived == "hello again!"; }, 2s));
  EXPECT_GE(fixture.now() - sentAt, 80ms);
}

TEST(FaultProxy, ResetsConnectionWhenByteLimitIsReached) {
  TcpProxyFixture fixture;
  fixture.proxy.forwardFaults.resetAfterBytes = 10;
  ASSERT_TRUE(fixture.openConnections());
  fixture.clientConnection->send({transport::BufferSlice(std::string("0123456789abcdef"))});
  const auto isReset = [](const transport::Connection& connection) {
    return connection.readEnd() == transport::Connection::ReadEnd::reset;
  };
  EXPECT_TRUE(fixture.runUntil(
      [&] { return isReset(*fixture.clientConnection) && isReset(*fixture.serverConnection); }, 2s));
  EXPECT_EQ(fixture.serverReceived, "0123456789");
  EXPECT_EQ(fixture.proxy.counts().reset, 1U);
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.proxy.openConnections() == 0; }, 2s));
}

TEST(FaultProxy, RefusesAndResetsConnectionsWhenRequested) {
  TcpProxyFixture fixture;
  ASSERT_TRUE(fixture.openConnections());
  fixture.proxy.resetAll();
  EXPECT_TRUE(fixture.runUntil(
      [&] {
        return fixture.clientConnection->readEnd() == transport::Connection::ReadEnd::reset &&
               fixture.proxy.openConnections() == 0;
      },
      2s));
  fixture.clientConnection.reset();
  fixture.proxy.refusesConnections = true;
  fixture.tasks.spawn(fixture.connectClient());
  EXPECT_TRUE(fixture.runUntil([&] { return fixture.proxy.counts().refused == 1; }, 2s));
}

}  // namespace
}  // namespace paddletrack::fakes
