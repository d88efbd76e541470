// Sends a statement to a controller and prints the result rows.
// Exit codes: 0 completed, 1 no answer, 2 invalid usage, 3 rejected (the client may retry), 4 failed (the
// statement may have run), 5 not accepted.
#include <array>
#include <cstdio>
#include <exception>
#include <random>
#include <string>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

using namespace paddletrack;
using namespace std::chrono_literals;
using Reply = protocol::thrift::Reply;

namespace {

constexpr int kExitCompleted = 0;
constexpr int kExitNoAnswer = 1;
constexpr int kExitInvalidUsage = 2;
constexpr int kExitRejected = 3;
constexpr int kExitFailed = 4;
constexpr int kExitNotAccepted = 5;

int printReply(const Reply& reply) {
  switch (reply.outcome) {
    case Reply::Outcome::completed:
      std::fputs(reply.body.c_str(), stdout);
      return kExitCompleted;
    case Reply::Outcome::rejected: {
      const std::string retryAfter =
          reply.retryAfterMs ? "; retry after " + std::to_string(*reply.retryAfterMs) + " ms" : "";
      std::fprintf(stderr, "rejected: the statement has not run%s\n", retryAfter.c_str());
      return kExitRejected;
    }
    case Reply::Outcome::failed:
      std::fputs("failed: the statement may have run\n", stderr);
      return kExitFailed;
    default:
      std::fprintf(stderr, "not accepted: %s\n", reply.body.c_str());
      return kExitNotAccepted;
  }
}

// Submits `frame` and sets `exitCode` when a reply arrives; it stays negative if none does. Stops the
// scheduler.
transport::Task<> runQuery(transport::Scheduler& scheduler, transport::Address address, std::string frame,
                           int& exitCode) {
  transport::MemoryBudget memoryBudget{1 << 20, 0};
  transport::ConnectResult connectResult =
      co_await transport::connect(scheduler, address, scheduler.now() + 1s);
  if (connectResult.descriptor) {
    transport::Connection connection(scheduler, std::move(connectResult.descriptor), 4096, 1 << 20,
                                     memoryBudget);
    connection.send({transport::BufferSlice(std::move(frame))});
    while (exitCode < 0 && co_await connection.receive(scheduler.now() + 4s)) {
      const auto length = protocol::thrift::readFrameLength(connection.input().view());
      const std::size_t frameSize = protocol::thrift::kFrameHeaderBytes + length.value_or(0);
      if (!length || connection.input().view().size() < frameSize) {
        connection.input().expectSize(frameSize);
        continue;
      }
      exitCode = printReply(protocol::thrift::decodeReply(
          connection.input().view().substr(protocol::thrift::kFrameHeaderBytes, *length)));
    }
  }
  if (exitCode < 0) std::fputs("no answer\n", stderr);
  scheduler.stop();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fputs("usage: example_client ADDRESS CLASS TENANT STATEMENT\n", stderr);
    return kExitInvalidUsage;
  }
  std::random_device random;
  std::array<char, 17> reference{};
  std::snprintf(reference.data(), reference.size(), "%08x%08x", random(), random());
  int exitCode = -1;
  try {
    transport::Scheduler scheduler;
    transport::TaskGroup tasks(scheduler, [&](const char* message) {
      std::fprintf(stderr, "example_client: %s\n", message);
      scheduler.stop();
    });
    tasks.spawn(runQuery(
        scheduler, transport::Address(argv[1]),
        protocol::thrift::encodeSubmit(
            1, {{"service", argv[2]}, {"ref", reference.data()}, {"allow", "3000"}, {"project", argv[3]}},
            argv[4]),
        exitCode));
    scheduler.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "example_client: %s\n", error.what());
    return kExitInvalidUsage;
  }
  return exitCode < 0 ? kExitNoAnswer : exitCode;
}
