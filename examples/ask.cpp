// Sends one statement to a controller and prints the rows that come back. Exit codes: 0 done, 1 no answer, 2
// wrong usage, 3 throttled, 4 cancelled for good, 5 not taken.
#include <cstdio>
#include <random>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

using namespace paddletrack;
using namespace std::chrono_literals;
using Heard = protocol::thrift::Reply;

namespace {

int told(const Heard& heard) {
  switch (heard.what) {
    case Heard::What::done:
      std::fputs(heard.body.c_str(), stdout);
      return 0;
    case Heard::What::throttled:
      std::fprintf(
          stderr, "throttled: nothing has run%s\n",
          heard.comeBackMs ? ("; come back in " + std::to_string(*heard.comeBackMs) + " ms").c_str() : "");
      return 3;
    case Heard::What::cancelled:
      std::fputs("cancelled for good: it may have run\n", stderr);
      return 4;
    default:
      std::fprintf(stderr, "not taken: %s\n", heard.body.c_str());
      return 5;
  }
}

transport::Task<> ask(transport::Scheduler& scheduler, transport::Address address, std::string frame,
                      int& code) {
  transport::Unsent unsent{1 << 20, 0};
  transport::Dialled dialled = co_await transport::dial(scheduler, address, scheduler.now() + 1s);
  if (dialled.descriptor) {
    transport::Connection connection(scheduler, std::move(dialled.descriptor), 4096, 1 << 20, unsent);
    connection.send({transport::Slice(std::move(frame))});
    while (code < 0 && co_await connection.receive(scheduler.now() + 4s)) {
      const auto length = protocol::thrift::frameLength(connection.input().view());
      const std::size_t whole = protocol::thrift::kFrameHead + length.value_or(0);
      if (!length || connection.input().view().size() < whole) {
        connection.input().expect(whole);
        continue;
      }
      code = told(protocol::thrift::readReply(
          connection.input().view().substr(protocol::thrift::kFrameHead, *length)));
    }
  }
  if (code < 0) std::fputs("no answer\n", stderr);
  scheduler.stop();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fputs("usage: ask ADDRESS TYPE CUSTOMER STATEMENT\n", stderr);
    return 2;
  }
  std::random_device chance;
  char reference[17];
  std::snprintf(reference, sizeof reference, "%08x%08x", chance(), chance());
  int code = -1;
  try {
    transport::Scheduler scheduler;
    transport::Group running(scheduler, [&](const char* what) {
      std::fprintf(stderr, "ask: %s\n", what);
      scheduler.stop();
    });
    running.spawn(ask(
        scheduler, transport::Address(argv[1]),
        protocol::thrift::submit(
            1, {{"service", argv[2]}, {"ref", reference}, {"allow", "3000"}, {"project", argv[3]}}, argv[4]),
        code));
    scheduler.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ask: %s\n", error.what());
    return 2;
  }
  return code < 0 ? 1 : code;
}
