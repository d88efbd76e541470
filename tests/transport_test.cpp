// The loop, its timers and coroutines, and connections over socketpairs.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "transport/connection.hpp"

namespace paddletrack::transport {
namespace {

using namespace std::chrono_literals;

struct Loop : Scheduler {
  Unsent unsent{1 << 20, 0};
  std::string failure;
  Group group{*this, [this](const char* what) { failure = what; }};
  void runFor(std::chrono::milliseconds time) {
    Call end(*this, [this] { stop(); });
    end.at(now() + time);
    run();
  }
};

// A connection and the bare descriptor of its peer.
struct Pair {
  explicit Pair(Loop& loop, std::size_t most = 4096) : group(loop, [](const char*) {}) {
    int both[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, both) != 0) std::abort();
    peer = both[1];
    near = std::make_unique<Connection>(loop, std::make_unique<Descriptor>(loop, both[0]), 64, most,
                                        loop.unsent);
  }
  ~Pair() { hangUp(); }
  void hangUp() {
    if (peer >= 0) ::close(std::exchange(peer, -1));
  }
  void say(const std::string& text) {
    ASSERT_EQ(::write(peer, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  }
  std::string hear() {
    std::string text(1 << 20, '\0');
    const ssize_t got = ::read(peer, text.data(), text.size());
    text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return text;
  }
  int peer = -1;
  std::unique_ptr<Connection> near;
  Group group;  // of what reads from it: ends before it
};

Task<> readAll(Connection& connection, std::string& into) {
  for (;;) {
    const bool more = co_await connection.receive();
    if (!more) co_return;
    into += connection.input().view();
    connection.input().consume(connection.input().view().size());
  }
}

TEST(Scheduler, TimersComeInOrderAndCancelledOnesDoNot) {
  Loop loop;
  std::string story;
  Call late(loop, [&] { story += "late "; }), early(loop, [&] { story += "early "; }),
      never(loop, [&] { story += "never "; });
  late.at(loop.now() + 4ms);
  early.at(loop.now() + 1ms);
  never.at(loop.now() + 2ms);
  never.cancel();
  {
    Call gone(loop, [&] { story += "gone "; });
    gone.soon();
  }
  loop.runFor(10ms);
  EXPECT_EQ(story, "early late ");
}

TEST(Scheduler, ACallMayDestroyItself) {
  Loop loop;
  auto call = std::make_unique<Call>(loop);
  call->then([&] { call.reset(); });
  call->soon();
  loop.runFor(1ms);
  EXPECT_FALSE(call);
}

TEST(Scheduler, AlwaysReadyCallsDoNotStarveATimer) {
  Loop loop;
  Call busy(loop);
  busy.then([&] { busy.soon(); });
  busy.soon();
  bool fired = false;
  Call timer(loop, [&] { fired = true; });
  timer.at(loop.now() + 2ms);
  loop.runFor(20ms);
  EXPECT_TRUE(fired);
}

TEST(Scheduler, ACoroutineDestroyedWhileItWaitsIsNotResumed) {
  Loop loop;
  Signal signal(loop);
  bool resumed = false;
  const auto wait = [&](bool sleeps) -> Task<> {
    if (sleeps)
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

TEST(Scheduler, AGroupForgetsWhatEndedAndTellsWhatFailed) {
  Loop loop;
  const auto fails = []() -> Task<> {
    throw std::runtime_error("broken");
    co_return;
  };
  for (int each = 0; each < 1000; ++each) loop.group.spawn(fails());
  loop.runFor(300ms);
  EXPECT_EQ(loop.group.size(), 0U);
  EXPECT_EQ(loop.failure, "broken");
}

TEST(Connection, ReadsWhatCameBeforeTheEnd) {
  Loop loop;
  Pair pair(loop);
  std::string read;
  pair.group.spawn(readAll(*pair.near, read));
  pair.say("first ");
  loop.runFor(2ms);
  pair.say(std::string(1000, 'x'));
  pair.hangUp();  // the end comes with the last bytes: there will be no further sign
  loop.runFor(5ms);
  EXPECT_EQ(read, "first " + std::string(1000, 'x'));
  EXPECT_EQ(pair.near->end(), Connection::End::closed);
}

TEST(Connection, APartThatWasKeptOutlivesTheBuffer) {
  Loop loop;
  Pair pair(loop);
  Slice kept;
  const auto keep = [&]() -> Task<> {
    const bool more = co_await pair.near->receive();
    if (!more) co_return;
    kept = pair.near->input().keep(pair.near->input().view());
    pair.near->input().consume(kept.size());
    std::string rest;
    co_await readAll(*pair.near, rest);
  };
  pair.group.spawn(keep());
  pair.say("statement");
  loop.runFor(2ms);
  EXPECT_EQ(kept.view(), "statement");
}

TEST(Connection, AMessageLongerThanTheBoundEndsReading) {
  Loop loop;
  Pair pair(loop, 256);
  bool ended = false;
  const auto read = [&]() -> Task<> {
    for (bool more = true; more;) {
      more = co_await pair.near->receive();
      pair.near->input().expect(1 << 30);
    }
    ended = pair.near->input().full();
  };
  pair.group.spawn(read());
  pair.say(std::string(1000, 'x'));
  loop.runFor(5ms);
  EXPECT_TRUE(ended);
}

TEST(Connection, PiecesLeaveTogetherAndInOrder) {
  Loop loop;
  Pair pair(loop);
  std::string expected;
  for (int each = 0; each < 200; ++each) {
    pair.near->send({Slice(std::to_string(each) + " "), Slice::lasting("and ")});
    expected += std::to_string(each) + " and ";
  }
  loop.runFor(5ms);
  EXPECT_EQ(pair.hear(), expected);
  EXPECT_EQ(pair.near->unsent(), 0U);
}

// Guards against one slow reader that holds the memory of all.
TEST(Connection, ASlowReaderPassesItsBoundAndIsEnded) {
  Loop loop;
  loop.unsent.most = 256 << 10;
  Pair slow(loop), quick(loop);
  const Slice piece(std::string(64 << 10, 'x'));
  for (int each = 0; each < 64; ++each) {
    slow.near->send({piece});
    loop.runFor(0ms);
  }
  EXPECT_EQ(slow.near->end(), Connection::End::reset);
  EXPECT_LE(loop.unsent.held, loop.unsent.most + piece.size());
  quick.near->send({Slice(std::string("answer"))});
  loop.runFor(2ms);
  EXPECT_EQ(quick.hear(), "answer");
}

// A peer that reads nothing once held the coroutine that waited for it, and its descriptor, for good.
TEST(Connection, AWaitForAReaderEndsInTime) {
  Loop loop;
  loop.unsent.most = 64 << 20;
  Pair slow(loop);
  for (int each = 0; each < 16; ++each) slow.near->send({Slice(std::string(1 << 20, 'x'))});
  std::optional<bool> read;
  const auto waiting = [&]() -> Task<> { read = co_await slow.near->drained(1 << 20, loop.now() + 30ms); };
  loop.group.spawn(waiting());
  loop.runFor(60ms);
  EXPECT_EQ(read, false);
}

TEST(Dial, TellsARefusalAndASilence) {
  Loop loop;
  int refused = 0;
  const auto dialling = [&]() -> Task<> {
    const Dialled made = co_await dial(loop, Address("127.0.77.1:9"), loop.now() + 1s);
    refused = made.error;
  };
  loop.group.spawn(dialling());
  loop.runFor(20ms);
  EXPECT_EQ(refused, ECONNREFUSED);
  for (const char* wrong : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:70000", "host:80", "1.2.3.4:8x"})
    EXPECT_THROW(Address{wrong}, std::invalid_argument) << wrong;
}

}  // namespace
}  // namespace paddletrack::transport
