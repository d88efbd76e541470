// The scheduler, its timers and coroutines, and connections over socket pairs.
#include "transport/connection.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>

namespace paddletrack::transport {
namespace {

using namespace std::chrono_literals;

struct TestLoop : Scheduler {
  MemoryBudget memoryBudget{1 << 20, 0};
  std::string failure;
  TaskGroup tasks{*this, [this](const char* message) { failure = message; }};
  void runFor(std::chrono::milliseconds duration) {
    ScheduledCall stopTimer(*this, [this] { stop(); });
    stopTimer.runAt(now() + duration);
    run();
  }
};

// A connection and the raw descriptor of its peer.
struct SocketPairFixture {
  explicit SocketPairFixture(TestLoop& loop, std::size_t maxInputBytes = 4096)
      : tasks(loop, [](const char*) {}) {
    int descriptors[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, descriptors) != 0) std::abort();
    peerDescriptor = descriptors[1];
    connection = std::make_unique<Connection>(loop, std::make_unique<Descriptor>(loop, descriptors[0]), 64,
                                              maxInputBytes, loop.memoryBudget);
  }
  ~SocketPairFixture() { closePeer(); }
  void closePeer() {
    if (peerDescriptor >= 0) ::close(std::exchange(peerDescriptor, -1));
  }
  void writeFromPeer(const std::string& text) {
    ASSERT_EQ(::write(peerDescriptor, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  }
  std::string readFromPeer() {
    std::string text(1 << 20, '\0');
    const ssize_t bytesRead = ::read(peerDescriptor, text.data(), text.size());
    text.resize(bytesRead > 0 ? static_cast<std::size_t>(bytesRead) : 0);
    return text;
  }
  int peerDescriptor = -1;
  std::unique_ptr<Connection> connection;
  TaskGroup tasks;  // Its tasks read from the connection, so it is destroyed first.
};

Task<> readAll(Connection& connection, std::string& output) {
  for (;;) {
    const bool hasMore = co_await connection.receive();
    if (!hasMore) co_return;
    output += connection.input().view();
    connection.input().consume(connection.input().view().size());
  }
}

TEST(Scheduler, FiresTimersInOrderAndSkipsCancelledOnes) {
  TestLoop loop;
  std::string events;
  ScheduledCall lateTimer(loop, [&] { events += "late "; }), earlyTimer(loop, [&] { events += "early "; }),
      cancelledTimer(loop, [&] { events += "never "; });
  lateTimer.runAt(loop.now() + 4ms);
  earlyTimer.runAt(loop.now() + 1ms);
  cancelledTimer.runAt(loop.now() + 2ms);
  cancelledTimer.cancel();
  {
    ScheduledCall destroyedTimer(loop, [&] { events += "gone "; });
    destroyedTimer.runSoon();
  }
  loop.runFor(10ms);
  EXPECT_EQ(events, "early late ");
}

TEST(Scheduler, AllowsCallbackToDestroyItself) {
  TestLoop loop;
  auto call = std::make_unique<ScheduledCall>(loop);
  call->setAction([&] { call.reset(); });
  call->runSoon();
  loop.runFor(1ms);
  EXPECT_FALSE(call);
}

TEST(Scheduler, FiresTimerWhenCallbacksAreAlwaysReady) {
  TestLoop loop;
  ScheduledCall busyCallback(loop);
  busyCallback.setAction([&] { busyCallback.runSoon(); });
  busyCallback.runSoon();
  bool fired = false;
  ScheduledCall timer(loop, [&] { fired = true; });
  timer.runAt(loop.now() + 2ms);
  loop.runFor(20ms);
  EXPECT_TRUE(fired);
}

// Blocks the loop in its next iteration, as a process that is stopped does, and calls `event` meanwhile.
struct Stall {
  Stall(TestLoop& loop, std::chrono::milliseconds duration, std::function<void()> event)
      : call(loop, [&loop, duration, event = std::move(event)] {
          const TimePoint end = loop.now() + duration;
          event();
          while (loop.now() < end) continue;
        }) {
    call.runSoon();
  }
  ScheduledCall call;
};

// Regression: a timer that came due during a stall ran before the input of that time was read, here in 20
// reads.
TEST(Scheduler, ReadsAllInputBeforeTimersWhenBothArrivedDuringStall) {
  for (const std::chrono::milliseconds duration : {20ms, 80ms}) {
    TestLoop loop;
    SocketPairFixture fixture(loop, 64);
    const std::size_t byteCount = duration > StallRecovery::kStallThreshold ? 20 * 64 : 64;
    std::size_t bytesRead = 0;
    const auto countBytes = [&]() -> Task<> {
      while (co_await fixture.connection->receive()) {
        bytesRead += fixture.connection->input().view().size();
        fixture.connection->input().consume(fixture.connection->input().view().size());
      }
    };
    fixture.tasks.spawn(countBytes());
    loop.runFor(1ms);
    std::optional<std::size_t> bytesReadBeforeTimer;
    ScheduledCall timer(loop, [&] { bytesReadBeforeTimer = bytesRead; });
    timer.runAt(loop.now() + 5ms);
    Stall stall(loop, duration, [&] { fixture.writeFromPeer(std::string(byteCount, 'x')); });
    loop.runFor(duration + 20ms);
    EXPECT_EQ(bytesReadBeforeTimer, byteCount);
  }
}

// Guards the limit of the recovery: callbacks that are always ready must not hold up timers after a stall.
TEST(Scheduler, FiresTimerAfterStallWhenCallbacksAreAlwaysReady) {
  TestLoop loop;
  ScheduledCall busyCallback(loop);
  busyCallback.setAction([&] { busyCallback.runSoon(); });
  busyCallback.runSoon();
  std::optional<TimePoint> firedAt;
  ScheduledCall timer(loop, [&] { firedAt = loop.now(); });
  timer.runAt(loop.now() + 2ms);
  TimePoint stallEnd;
  Stall stall(loop, 80ms, [&] { stallEnd = loop.now() + 80ms; });
  loop.runFor(300ms);
  ASSERT_TRUE(firedAt);
  EXPECT_GE(*firedAt, stallEnd);
  EXPECT_FALSE(loop.isRecovering());
}

// Guards the same where each iteration of the loop takes longer than the threshold of a stall.
TEST(Scheduler, FiresTimersWhenEveryIterationIsLate) {
  TestLoop loop;
  ScheduledCall slowCallback(loop);
  slowCallback.setAction([&] {
    const TimePoint end = loop.now() + 60ms;
    while (loop.now() < end) continue;
    slowCallback.runSoon();
  });
  slowCallback.runSoon();
  std::optional<TimePoint> firedAt;
  ScheduledCall timer(loop, [&] { firedAt = loop.now(); });
  const TimePoint dueAt = loop.now() + 2ms;
  timer.runAt(dueAt);
  loop.runFor(400ms);  // Its end is a timer, too.
  ASSERT_TRUE(firedAt);
  EXPECT_LT(*firedAt - dueAt, 300ms);
}

TEST(Scheduler, DatesInputToBeginningOfStall) {
  TestLoop loop;
  SocketPairFixture fixture(loop);
  std::optional<TimePoint> earliestArrival;
  const auto readOnce = [&]() -> Task<> {
    co_await fixture.connection->receive();
    earliestArrival = loop.earliestArrival();
  };
  fixture.tasks.spawn(readOnce());
  loop.runFor(1ms);
  TimePoint stallStart;
  Stall stall(loop, 80ms, [&] {
    stallStart = loop.now();
    fixture.writeFromPeer("x");
  });
  loop.runFor(100ms);
  ASSERT_TRUE(earliestArrival);
  EXPECT_LE(*earliestArrival, stallStart);
  EXPECT_GE(*earliestArrival, stallStart - 20ms);
}

TEST(Scheduler, DoesNotResumeCoroutineWhenDestroyedWhileWaiting) {
  TestLoop loop;
  Signal signal(loop);
  bool resumed = false;
  const auto wait = [&](bool usesTimer) -> Task<> {
    if (usesTimer)
      co_await loop.sleepUntil(loop.now() + 1ms);
    else
      co_await signal.wait(loop.now() + 1ms);
    resumed = true;
  };
  {
    Task<> first = wait(true), second = wait(false);
    first.start();
    second.start();
    signal.set();
  }
  loop.runFor(5ms);
  EXPECT_FALSE(resumed);
}

TEST(TaskGroup, RemovesFinishedTasksAndReportsFailures) {
  TestLoop loop;
  const auto failingTask = []() -> Task<> {
    throw std::runtime_error("broken");
    co_return;
  };
  for (int index = 0; index < 1000; ++index) loop.tasks.spawn(failingTask());
  loop.runFor(300ms);
  EXPECT_EQ(loop.tasks.size(), 0U);
  EXPECT_EQ(loop.failure, "broken");
}

TEST(Connection, ReadsAllBytesWhenPeerCloses) {
  TestLoop loop;
  SocketPairFixture fixture(loop);
  std::string received;
  fixture.tasks.spawn(readAll(*fixture.connection, received));
  fixture.writeFromPeer("first ");
  loop.runFor(2ms);
  fixture.writeFromPeer(std::string(1000, 'x'));
  fixture.closePeer();  // The end arrives with the last bytes; no further event follows.
  loop.runFor(5ms);
  EXPECT_EQ(received, "first " + std::string(1000, 'x'));
  EXPECT_EQ(fixture.connection->readEnd(), Connection::ReadEnd::closed);
}

TEST(Connection, KeepsSliceValidWhenBufferIsConsumed) {
  TestLoop loop;
  SocketPairFixture fixture(loop);
  BufferSlice retained;
  const auto retainSlice = [&]() -> Task<> {
    const bool hasMore = co_await fixture.connection->receive();
    if (!hasMore) co_return;
    retained = fixture.connection->input().retain(fixture.connection->input().view());
    fixture.connection->input().consume(retained.size());
    std::string remainingInput;
    co_await readAll(*fixture.connection, remainingInput);
  };
  fixture.tasks.spawn(retainSlice());
  fixture.writeFromPeer("statement");
  loop.runFor(2ms);
  EXPECT_EQ(retained.view(), "statement");
}

TEST(Connection, StopsReadingWhenMessageExceedsInputLimit) {
  TestLoop loop;
  SocketPairFixture fixture(loop, 256);
  bool reachedLimit = false;
  const auto readUntilLimit = [&]() -> Task<> {
    for (bool hasMore = true; hasMore;) {
      hasMore = co_await fixture.connection->receive();
      fixture.connection->input().expectSize(1 << 30);
    }
    reachedLimit = fixture.connection->input().isFull();
  };
  fixture.tasks.spawn(readUntilLimit());
  fixture.writeFromPeer(std::string(1000, 'x'));
  loop.runFor(5ms);
  EXPECT_TRUE(reachedLimit);
}

TEST(Connection, WritesSlicesInOrder) {
  TestLoop loop;
  SocketPairFixture fixture(loop);
  std::string expected;
  for (int index = 0; index < 200; ++index) {
    fixture.connection->send({BufferSlice(std::to_string(index) + " "), BufferSlice::fromStatic("and ")});
    expected += std::to_string(index) + " and ";
  }
  loop.runFor(5ms);
  EXPECT_EQ(fixture.readFromPeer(), expected);
  EXPECT_EQ(fixture.connection->unsentBytes(), 0U);
}

// A slow reader must not use up the memory budget of all connections.
TEST(Connection, ResetsSlowReaderWhenMemoryBudgetIsExceeded) {
  TestLoop loop;
  loop.memoryBudget.maxBytes = 256 << 10;
  SocketPairFixture slowReader(loop), fastReader(loop);
  const BufferSlice slice(std::string(64 << 10, 'x'));
  for (int index = 0; index < 64; ++index) {
    slowReader.connection->send({slice});
    loop.runFor(0ms);
  }
  EXPECT_EQ(slowReader.connection->readEnd(), Connection::ReadEnd::reset);
  EXPECT_LE(loop.memoryBudget.usedBytes, loop.memoryBudget.maxBytes + slice.size());
  fastReader.connection->send({BufferSlice(std::string("answer"))});
  loop.runFor(2ms);
  EXPECT_EQ(fastReader.readFromPeer(), "answer");
}

// With a peer that read nothing, the waiting coroutine and its descriptor were never released.
TEST(Connection, EndsDrainWaitWhenDeadlinePasses) {
  TestLoop loop;
  loop.memoryBudget.maxBytes = 64 << 20;
  SocketPairFixture slowReader(loop);
  for (int index = 0; index < 16; ++index)
    slowReader.connection->send({BufferSlice(std::string(1 << 20, 'x'))});
  std::optional<bool> wasDrained;
  const auto waitForReader = [&]() -> Task<> {
    wasDrained = co_await slowReader.connection->waitUntilDrained(1 << 20, loop.now() + 30ms);
  };
  loop.tasks.spawn(waitForReader());
  loop.runFor(60ms);
  EXPECT_EQ(wasDrained, false);
}

TEST(Connect, ReportsRefusalAndRejectsInvalidAddresses) {
  TestLoop loop;
  int connectError = 0;
  const auto connectToClosedPort = [&]() -> Task<> {
    const ConnectResult connectResult = co_await connect(loop, Address("127.0.77.1:9"), loop.now() + 1s);
    connectError = connectResult.error;
  };
  loop.tasks.spawn(connectToClosedPort());
  loop.runFor(20ms);
  EXPECT_EQ(connectError, ECONNREFUSED);
  for (const char* invalidAddress :
       {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:70000", "host:80", "1.2.3.4:8x"})
    EXPECT_THROW(Address{invalidAddress}, std::invalid_argument) << invalidAddress;
}

}  // namespace
}  // namespace paddletrack::transport
