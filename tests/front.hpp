// A whole front on loopback: client, executors and change log are scripted peers in the same loop.
#pragma once

#include <gtest/gtest.h>

#include "base/big_endian.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"
#include "routing/follower.hpp"
#include "standin/executor.hpp"
#include "standin/loop.hpp"

namespace paddletrack::routing {

using namespace std::chrono_literals;
using transport::Address;
using transport::Connection;
using transport::Task;

using Peer = standin::Executor;
using protocol::thrift::revoke;

inline std::string bytes(std::uint64_t value, int size) {
  std::string out;
  put(out, value, size);
  return out;
}
inline std::string text(const std::string& value) { return bytes(value.size(), 4) + value; }
inline std::string frame(int kind, const std::string& method, int sequence, const std::string& arguments) {
  return protocol::thrift::message(method, static_cast<protocol::thrift::Kind>(kind), sequence, arguments);
}

inline std::string submit(int sequence, int allowMs = 2000, const std::string& type = "q",
                          const std::string& reference = "00000000000000a") {
  return protocol::thrift::submit(sequence,
                                  {{"service", type},
                                   {"ref", reference + std::to_string(sequence % 10)},
                                   {"allow", std::to_string(allowMs)},
                                   {"effort", "20.5"}},
                                  "select * from s_3.t");
}

inline void answers(Peer&, Connection& connection, const std::string& word, const std::string& id) {
  if (word == "ASK") Peer::say(connection, {id, "200", "batches=1", "r\to\tw\n"});
}
inline void silence(Peer&, Connection&, const std::string&, const std::string&) {}

inline const std::string kSite =
    "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name=q\n"
    "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\n"
    "limits.mostTries=3\nlimits.retryAfter=true\nlimits.maxRetryAfterUs=1000000\nlimits.cancelling=true\n"
    "limits.streamsPerConn=4\nlimits.dialTimeoutUs=20000\nlimits.idleCloseUs=400000\ntickUs=5000\n";

struct Front : transport::Scheduler {
  explicit Front(const std::string& site = kSite, int on = 77, std::size_t connections = 10)
      : net(on), most(connections), told(protocol::decode(protocol::pathsOfLines(site))) {}

  Peer& executor(int number, Peer::Raw script) {
    peers.push_back(std::make_unique<Peer>(*this, unsent, Address(at(number))));
    peers.back()->raw = std::move(script);
    return *peers.back();
  }
  std::string at(int number) const {
    return "127.0." + std::to_string(net) + "." + std::to_string(number) + ":18443";
  }
  void list(std::initializer_list<int> numbers, bool whole = true, Standing standing = Standing::ready) {
    protocol::Change change;
    change.whole = whole;
    for (const int each : numbers)
      change.entries.push_back({"s-" + std::to_string(each), at(each), "a", "m", 0, standing, 0});
    desk.listed(change);
  }
  std::unique_ptr<Connection> connected() {
    std::unique_ptr<Connection> made;
    const auto dialling = [&]() -> Task<> {
      transport::Dialled dialled = co_await transport::dial(*this, Address(listen), now() + 1s);
      made = std::make_unique<Connection>(*this, std::move(dialled.descriptor), 4096, 65536, unsent);
    };
    group.spawn(dialling());
    for (const transport::Moment end = now() + 2s; !made && now() < end;) pass(5ms);
    return made;
  }
  // Says bytes as a client and waits for what comes back.
  std::string asked(const std::string& sent, std::chrono::milliseconds time = 60ms) {
    if (!client) {
      client = connected();
      group.spawn(hearing(*client));
    }
    client->send({Slice(sent)});
    pass(time);
    return std::exchange(heard, "");
  }
  Task<> hearing(Connection& from) {
    for (;;) {
      const bool more = co_await from.receive();
      if (!more) break;
      heard += from.input().view();
      from.input().consume(from.input().view().size());
    }
    heard += "<closed>";
  }
  void pass(std::chrono::milliseconds time) {
    transport::Call end(*this, [this] { stop(); });
    end.at(now() + time);
    run();
  }
  bool has(const std::string& answer, const std::string& part) {
    return answer.find(part) != std::string::npos;
  }

  const int net;           // of 127.0.NET.0/24, so that runs beside each other do not meet
  const std::size_t most;  // connections of clients
  const std::string listen = at(200);
  std::string logged;
  const Say say{[this](const Said& said) { logged += std::string(said.topic) + ": " + said.line + "\n"; }};
  transport::Unsent unsent{4 << 20, 0};
  protocol::Told told;
  Desk desk{*this, unsent, told, {100, {told.sharedBy, 20, told.dialTimeout, told.idleClose}}, 7, say};
  ClientSide clients{*this, unsent, Address(listen), {most, 4096, 65536, 100ms, 700ms}, desk, say};
  std::vector<std::unique_ptr<Peer>> peers;
  std::string heard;
  std::unique_ptr<Connection> client;
  std::vector<std::unique_ptr<Connection>> kept;  // clients from before
  transport::Group group{*this, [](const char*) {}};
};

}  // namespace paddletrack::routing
