/// @file
/// A router with its client listener on loopback. Clients, engines and the endpoint list are scripted peers
/// in the same loop.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <functional>
#include <string>

#include "base/big_endian.hpp"
#include "fakes/fake_engine.hpp"
#include "fakes/test_scheduler.hpp"
#include "routing/client_listener.hpp"
#include "routing/endpoint_watcher.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::routing {

using namespace std::chrono_literals;
using transport::Address;
using transport::Connection;
using transport::Task;

using FakeEngine = fakes::FakeEngine;
using protocol::thrift::encodeRevoke;

inline std::string encodeInteger(std::uint64_t value, int size) {
  std::string encoded;
  appendBigEndian(encoded, value, size);
  return encoded;
}
inline std::string encodeString(const std::string& value) { return encodeInteger(value.size(), 4) + value; }
inline std::string encodeMessage(int messageType, const std::string& method, int sequence,
                                 const std::string& arguments) {
  return protocol::thrift::encodeMessage(method, static_cast<protocol::thrift::MessageType>(messageType),
                                         sequence, arguments);
}

inline std::string encodeSubmit(int sequence, int timeoutMs = 2000, const std::string& requestClass = "q",
                                const std::string& reference = "00000000000000a") {
  return protocol::thrift::encodeSubmit(sequence,
                                        {{"service", requestClass},
                                         {"ref", reference + std::to_string(sequence % 10)},
                                         {"allow", std::to_string(timeoutMs)},
                                         {"effort", "20.5"}},
                                        "select * from s_3.t");
}

// Encodes a request whose id is derived from its sequence number.
inline std::string encodeNumberedSubmit(int sequence, int timeoutMs = 3000,
                                        const std::string& statement = "select 1") {
  std::array<char, 17> id;
  std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(sequence));
  return protocol::thrift::encodeSubmit(
      sequence, {{"service", "q"}, {"ref", id.data()}, {"allow", std::to_string(timeoutMs)}}, statement);
}

inline void respondDone(FakeEngine&, Connection& connection, const std::string& command,
                        const std::string& id) {
  if (command == "ASK") FakeEngine::sendReply(connection, {id, "200", "batches=1", "r\to\tw\n"});
}
inline void ignoreCommand(FakeEngine&, Connection&, const std::string&, const std::string&) {}

inline const std::string kBaseSettings =
    "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name=q\n"
    "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=400000\nprofiles.0.giveUpUs=2000000\n"
    "limits.mostTries=3\nlimits.retryAfter=true\nlimits.maxRetryAfterUs=1000000\nlimits.cancelling=true\n"
    "limits.streamsPerConn=4\nlimits.dialTimeoutUs=20000\nlimits.idleCloseUs=400000\ntickUs=5000\n";

struct RouterFixture : transport::Scheduler {
  explicit RouterFixture(const std::string& settings = kBaseSettings, int subnetNumber = 77,
                         std::size_t connectionLimit = 10)
      : subnet(subnetNumber),
        maxConnections(connectionLimit),
        config(protocol::decodeControllerConfig(protocol::flattenLines(settings))) {}

  FakeEngine& addEngine(int number, FakeEngine::CommandHandler script) {
    engines.push_back(std::make_unique<FakeEngine>(*this, memoryBudget, Address(engineAddress(number))));
    engines.back()->onCommand = std::move(script);
    return *engines.back();
  }
  std::string engineAddress(int number) const {
    return "127.0." + std::to_string(subnet) + "." + std::to_string(number) + ":18443";
  }
  void updateEndpoints(std::initializer_list<int> numbers, bool isSnapshot = true,
                       EndpointState state = EndpointState::ready) {
    protocol::EndpointEvent event;
    event.isSnapshot = isSnapshot;
    for (const int number : numbers)
      event.entries.push_back({"s-" + std::to_string(number), engineAddress(number), "a", "m", 0, state, 0});
    router.onEndpointUpdate(event);
  }
  std::unique_ptr<Connection> connectClient() {
    std::unique_ptr<Connection> connection;
    const auto connectTask = [&]() -> Task<> {
      transport::ConnectResult connectResult =
          co_await transport::connect(*this, Address(listenAddress), now() + 1s);
      connection =
          std::make_unique<Connection>(*this, std::move(connectResult.descriptor), 4096, 65536, memoryBudget);
    };
    group.spawn(connectTask());
    for (const transport::TimePoint deadline = now() + 2s; !connection && now() < deadline;) runFor(5ms);
    return connection;
  }
  // Sends bytes as a client and returns the bytes received within the duration.
  std::string exchangeBytes(const std::string& request, std::chrono::milliseconds duration = 60ms) {
    if (!client) {
      client = connectClient();
      group.spawn(receiveAll(*client));
    }
    client->send({BufferSlice(request)});
    runFor(duration);
    return std::exchange(received, "");
  }
  Task<> receiveAll(Connection& connection) {
    for (;;) {
      const bool isOpen = co_await connection.receive();
      if (!isOpen) break;
      received += connection.input().view();
      connection.input().consume(connection.input().view().size());
    }
    received += "<closed>";
  }
  void runFor(std::chrono::milliseconds duration) {
    transport::ScheduledCall stopTimer(*this, [this] { stop(); });
    stopTimer.runAt(now() + duration);
    run();
  }
  bool runUntil(const std::function<bool()>& isDone, std::chrono::milliseconds timeout = 5s) {
    for (const transport::TimePoint deadline = now() + timeout; now() < deadline; runFor(1ms))
      if (isDone()) return true;
    return isDone();
  }
  bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  const int subnet;  // of 127.0.NET.0/24, so that tests that run in parallel do not use the same addresses
  const std::size_t maxConnections;  // of clients
  const std::string listenAddress = engineAddress(200);
  std::string logText;
  const Logger logger{[this](const LogRecord& record) {
    logText += std::string(record.topic) + ": " + record.message + "\n";
  }};
  transport::MemoryBudget memoryBudget{256 << 20, 0};  // of the scripted peers
  transport::MemoryBudget peerMemory{4 << 20, 0};      // of the router and its clients
  protocol::ControllerConfig config;
  RequestRouter router{
      *this,  peerMemory,
      config, {100, {config.maxAttemptsPerConnection, 20, config.connectTimeout, config.idleTimeout}},
      7,      logger};
  ClientListener clientListener{
      *this, peerMemory, Address(listenAddress), {maxConnections, 4096, 65536, 100ms, 700ms}, router, logger};
  std::vector<std::unique_ptr<FakeEngine>> engines;
  std::string received;
  std::unique_ptr<Connection> client;
  std::vector<std::unique_ptr<Connection>> earlierClients;  // kept open
  transport::TaskGroup group{*this, [](const char*) {}};
};

}  // namespace paddletrack::routing
