// The relay that stands between processes in all tests: what it does to datagrams and to streams.
#include "standin/relay.hpp"

#include <gtest/gtest.h>

#include "standin/loop.hpp"

namespace paddletrack::standin {
namespace {

using namespace std::chrono_literals;
using transport::Address;

struct Udp : Loop {
  Address one{"127.0.168.1:17946"}, other{"127.0.168.2:17946"};
  Address oneSeen{"127.0.168.1:17947"}, otherSeen{"127.0.168.2:17947"};
  transport::Datagrams atOne{*this, one, 2000}, atOther{*this, other, 2000};
  UdpRelay relay;
  explicit Udp(std::uint64_t seed = 1) : relay(*this, {one, oneSeen}, {other, otherSeen}, seed) {}
  void say(int number) {
    EXPECT_TRUE(atOne.send(transport::placeOf(otherSeen), std::to_string(number)));
    pass(1ms);
  }
  std::vector<int> heard(milliseconds within = 150ms) {
    pass(within);
    std::vector<int> numbers;
    while (const auto got = atOther.read()) {
      EXPECT_EQ(got->from, transport::placeOf(oneSeen));
      numbers.push_back(std::stoi(std::string(got->bytes)));
    }
    return numbers;
  }
};

TEST(Relay, DatagramsPassBothWaysAndEachFault) {
  Udp udp;
  udp.say(1), udp.say(2);
  EXPECT_EQ(udp.heard(), (std::vector<int>{1, 2}));
  udp.relay.there.cut = true;
  udp.say(3);
  EXPECT_TRUE(udp.atOther.send(transport::placeOf(udp.oneSeen), "back"));
  EXPECT_TRUE(udp.heard().empty());
  const auto back = udp.atOne.read();
  ASSERT_TRUE(back);
  EXPECT_EQ(back->bytes, "back");
  EXPECT_EQ(back->from, transport::placeOf(udp.otherSeen));
  udp.relay.there = {};
  udp.relay.there.twice = 1;
  udp.say(4);
  EXPECT_EQ(udp.heard(), (std::vector<int>{4, 4}));
  udp.relay.there = {};
  udp.relay.there.late = 1;
  udp.say(5);
  udp.relay.there = {};
  udp.say(6);
  EXPECT_EQ(udp.heard(), (std::vector<int>{6, 5}));
  udp.relay.there.least = udp.relay.there.most = 100ms;
  udp.say(7);
  EXPECT_TRUE(udp.heard(50ms).empty());
  EXPECT_EQ(udp.heard(), (std::vector<int>{7}));
}

TEST(Relay, ItsChanceComesFromItsSeed) {
  const auto heard = [](std::uint64_t seed) {
    Udp udp(seed);
    udp.relay.there.drop = 0.5;
    for (int each = 0; each < 40; ++each) udp.say(each);
    return udp.heard();
  };
  const auto once = heard(1);
  EXPECT_GT(once.size(), 8U);
  EXPECT_LT(once.size(), 32U);
  EXPECT_EQ(heard(1), once);
  EXPECT_NE(heard(2), once);
}

transport::Task<> gather(transport::Connection& from, std::string& to) {
  for (;;) {
    const bool more = co_await from.receive();
    if (!more) co_return;
    to += from.input().view();
    from.input().consume(from.input().view().size());
  }
}

struct Tcp : Loop {
  Address front{"127.0.168.3:17948"}, real{"127.0.168.4:17948"};
  transport::Listener listener{*this, real};
  TcpRelay relay{*this, unsent, front, real, 3};
  std::optional<transport::Connection> near, far;
  transport::Group running{*this, [](const char*) {}};
  std::string nearHeard, farHeard;
  transport::Task<> accept() {
    std::unique_ptr<transport::Descriptor> accepted = co_await listener.accept();
    far.emplace(*this, std::move(accepted), 4096, 65536, unsent);
    co_await gather(*far, farHeard);
  }
  transport::Task<> connect() {
    transport::Dialled dialled = co_await transport::dial(*this, front, now() + 1s);
    if (!dialled.descriptor) co_return;
    near.emplace(*this, std::move(dialled.descriptor), 4096, 65536, unsent);
    co_await gather(*near, nearHeard);
  }
  bool open() {
    running.spawn(accept());
    running.spawn(connect());
    return until([&] { return near && far; }, 2s);
  }
};

TEST(Relay, AStreamPassesWaitsWhereItIsCutAndGoesOn) {
  Tcp tcp;
  ASSERT_TRUE(tcp.open());
  tcp.near->send({transport::Slice(std::string("hello"))});
  tcp.far->send({transport::Slice(std::string("answer"))});
  EXPECT_TRUE(tcp.until([&] { return tcp.farHeard == "hello" && tcp.nearHeard == "answer"; }, 2s));
  tcp.relay.there.cut = true;  // one way alone
  tcp.near->send({transport::Slice(std::string(" again"))});
  tcp.far->send({transport::Slice(std::string("s"))});
  EXPECT_TRUE(tcp.until([&] { return tcp.nearHeard == "answers"; }, 2s));
  tcp.pass(50ms);
  EXPECT_EQ(tcp.farHeard, "hello");
  tcp.relay.there = {};
  EXPECT_TRUE(tcp.until([&] { return tcp.farHeard == "hello again"; }, 2s));
  tcp.relay.there.least = tcp.relay.there.most = 80ms;
  const transport::Moment sent = tcp.now();
  tcp.near->send({transport::Slice(std::string("!"))});
  EXPECT_TRUE(tcp.until([&] { return tcp.farHeard == "hello again!"; }, 2s));
  EXPECT_GE(tcp.now() - sent, 80ms);
}

TEST(Relay, AConnectionIsResetMidwayAfterSoManyBytes) {
  Tcp tcp;
  tcp.relay.there.resetAfter = 10;
  ASSERT_TRUE(tcp.open());
  tcp.near->send({transport::Slice(std::string("0123456789abcdef"))});
  const auto reset = [](const transport::Connection& each) {
    return each.end() == transport::Connection::End::reset;
  };
  EXPECT_TRUE(tcp.until([&] { return reset(*tcp.near) && reset(*tcp.far); }, 2s));
  EXPECT_EQ(tcp.farHeard, "0123456789");
  EXPECT_EQ(tcp.relay.counts().reset, 1U);
  EXPECT_TRUE(tcp.until([&] { return tcp.relay.open() == 0; }, 2s));
}

TEST(Relay, ItRefusesAndResetsAllWhenTold) {
  Tcp tcp;
  ASSERT_TRUE(tcp.open());
  tcp.relay.resetAll();
  EXPECT_TRUE(tcp.until(
      [&] { return tcp.near->end() == transport::Connection::End::reset && tcp.relay.open() == 0; }, 2s));
  Tcp* again = &tcp;
  again->near.reset();
  again->relay.refuse = true;
  again->running.spawn(again->connect());
  EXPECT_TRUE(tcp.until([&] { return tcp.relay.counts().refused == 1; }, 2s));
}

}  // namespace
}  // namespace paddletrack::standin
