// Sends one statement to a controller and prints the rows that come back. Exit codes: 0 done, 1 no answer, 2
// wrong usage, 3 throttled, 4 cancelled for good, 5 not taken.
#include <cstdio>
#include <random>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

using namespace paddletrack;
using namespace std::chrono_literals;
using Reply = protocol::thrift::Reply;

namespace {

int printReply(const Reply& reply) {
  switch (reply.outcome) {
    case Reply::Outcome::completed:
      std::fputs(reply.body.c_str(), stdout);
      return 0;
    case Reply::Outcome::rejected:
      std::fprintf(stderr, "throttled: nothing has run%s\n",
                   reply.retryAfterMs
                       ? ("; come back in " + std::to_string(*reply.retryAfterMs) + " ms").c_str()
                       : "");
      return 3;
    case Reply::Outcome::failed:
      std::fputs("cancelled for good: it may have run\n", stderr);
      return 4;
    default:
      std::fprintf(stderr, "not taken: %s\n", reply.body.c_str());
      return 5;
  }
}

transport::Task<> runQuery(transport::Scheduler& scheduler, transport::Address address, std::string frame,
                           int& exitCode) {
  transport::OutputBudget outputBudget{1 << 20, 0};
  transport::ConnectResult connectResult =
      co_await transport::connect(scheduler, address, scheduler.now() + 1s);
  if (connectResult.descriptor) {
    transport::Connection connection(scheduler, std::move(connectResult.descriptor), 4096, 1 << 20,
                                     outputBudget);
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
    std::fputs("usage: ask ADDRESS TYPE CUSTOMER STATEMENT\n", stderr);
    return 2;
  }
  std::random_device random;
  char reference[17];
  std::snprintf(reference, sizeof reference, "%08x%08x", random(), random());
  int exitCode = -1;
  try {
    transport::Scheduler scheduler;
    transport::TaskGroup tasks(scheduler, [&](const char* message) {
      std::fprintf(stderr, "ask: %s\n", message);
      scheduler.stop();
    });
    tasks.spawn(runQuery(
        scheduler, transport::Address(argv[1]),
        protocol::thrift::encodeSubmit(
            1, {{"service", argv[2]}, {"ref", reference}, {"allow", "3000"}, {"project", argv[3]}}, argv[4]),
        exitCode));
    scheduler.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ask: %s\n", error.what());
    return 2;
  }
  return exitCode < 0 ? 1 : exitCode;
}
