// Clients that violate the protocol.
#pragma once

#include <random>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

namespace paddletrack::fakes {

/// Runs `count` clients. Each connects repeatedly and sends random bytes, wrong lengths, truncated messages,
/// invalid fields or nothing.
class MisbehavingClients {
 public:
  MisbehavingClients(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                     const transport::Address& target, unsigned count)
      : scheduler_(scheduler),
        memoryBudget_(memoryBudget),
        target_(target),
        tasks_(scheduler, [](const char*) {}) {
    for (unsigned client = 0; client < count; ++client) tasks_.spawn(runClient());
  }
  /// Number of connections that the target answered or closed.
  std::uint64_t closedCount() const { return closedCount_; }

 private:
  std::string nextMalformedInput() {
    namespace thrift = protocol::thrift;
    switch (random_() % 6) {
      case 0:
        return std::string(400, static_cast<char>(random_() % 256));
      case 1:
        return "\x7f\xff\xff\xffx";
      case 2:
        return thrift::encodeSubmit(1, {{"service", "nothing"}, {"ref", "short"}, {"allow", "-1"}},
                                    "select 1");
      case 3:
        return thrift::encodeSubmit(1, {{"service", "look-up"}}, std::string(2000, 'y')).substr(0, 700);
      case 4:
        return thrift::encodeMessage("revoke", thrift::MessageType::oneway, 1, std::string(1, '\0')) +
               thrift::encodeMessage("what", static_cast<thrift::MessageType>(9), 1, "");
      default:
        return "";
    }
  }
  transport::Task<> runClient() {
    for (;;) {
      transport::ConnectResult connectResult =
          co_await transport::connect(scheduler_, target_, scheduler_.now() + std::chrono::milliseconds(300));
      if (connectResult.descriptor) {
        transport::Connection connection(scheduler_, std::move(connectResult.descriptor), 1024, 8192,
                                         memoryBudget_);
        connection.send({transport::BufferSlice(nextMalformedInput())});
        const bool received = co_await connection.receive(scheduler_.now() + std::chrono::milliseconds(200));
        if (received || connection.readEnd() != transport::Connection::ReadEnd::none) ++closedCount_;
      }
      co_await scheduler_.sleepUntil(scheduler_.now() + std::chrono::milliseconds(5));
    }
  }

  transport::Scheduler& scheduler_;
  transport::MemoryBudget& memoryBudget_;
  const transport::Address target_;
  std::minstd_rand random_{11};
  std::uint64_t closedCount_ = 0;
  transport::TaskGroup tasks_;
};

}  // namespace paddletrack::fakes
