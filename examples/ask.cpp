// Sends one statement to a controller and prints what comes back. Usage: ask ADDRESS TYPE CUSTOMER STATEMENT
#include <cstdio>
#include <random>
#include <string>

#include "protocol/thrift.hpp"
#include "transport/connection.hpp"

using namespace paddletrack;
using namespace std::chrono_literals;
using transport::Slice;

namespace {

std::string number(std::uint64_t value, int size) {
  std::string out;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
  return out;
}
std::string text(const std::string& value) { return number(value.size(), 4) + value; }

std::string submit(const std::string& type, const std::string& customer, const std::string& statement) {
  std::random_device chance;
  char reference[17];
  std::snprintf(reference, sizeof reference, "%08x%08x", chance(), chance());
  std::string fields = number(13, 1) + number(1, 2) + number(11, 1) + number(11, 1) + number(4, 4);
  for (const auto& [name, value] : {std::pair<std::string, std::string>{"service", type},
                                    {"ref", reference},
                                    {"allow", "3000"},
                                    {"project", customer}})
    fields += text(name) + text(value);
  return text(number(0x80010001, 4) + text("submit") + number(1, 4) + fields + number(11, 1) + number(2, 2) +
              text(statement) + number(0, 1));
}

transport::Task<> ask(transport::Scheduler& scheduler, transport::Address address, std::string frame,
                      int& code) {
  transport::Unsent unsent{1 << 20, 0};
  transport::Dialled dialled = co_await transport::dial(scheduler, address, scheduler.now() + 1s);
  if (dialled.descriptor) {
    transport::Connection connection(scheduler, std::move(dialled.descriptor), 4096, 1 << 20, unsent);
    connection.send({Slice(std::move(frame))});
    for (bool more = true; more;) {
      more = co_await connection.receive(scheduler.now() + 4s);
      const auto length = protocol::thrift::frameLength(connection.input().view());
      if (!length || connection.input().view().size() < protocol::thrift::kFrameHead + *length) continue;
      // The text of the answer stands between bytes of the protocol: print what can be printed.
      for (const char each : connection.input().view().substr(protocol::thrift::kFrameHead, *length))
        if (each == '\n' || each == '\t' || (each >= ' ' && each <= '~')) std::fputc(each, stdout);
      std::fputc('\n', stdout);
      code = 0;
      break;
    }
  }
  if (code != 0) std::fputs("no answer\n", stderr);
  scheduler.stop();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fputs("usage: ask ADDRESS TYPE CUSTOMER STATEMENT\n", stderr);
    return 2;
  }
  int code = 1;
  transport::Scheduler scheduler;
  transport::Group running(scheduler, [](const char* what) { std::fprintf(stderr, "ask: %s\n", what); });
  running.spawn(ask(scheduler, transport::Address(argv[1]), submit(argv[2], argv[3], argv[4]), code));
  scheduler.run();
  return code;
}
