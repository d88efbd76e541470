// A toy to try the front with: one executor that answers every statement with three rows, and a change log
// that has nothing to tell. Usage: toy_server EXECUTOR_ADDRESS CHANGELOG_ADDRESS
#include <cstdio>

#include "protocol/resp.hpp"
#include "transport/connection.hpp"

using namespace paddletrack;
using namespace std::chrono_literals;
using transport::Connection;
using transport::Slice;
using transport::Task;

namespace {

struct Toy {
  transport::Scheduler scheduler;
  transport::Unsent unsent{1 << 20, 0};
  transport::Group running{scheduler, [](const char* what) { std::fprintf(stderr, "toy: %s\n", what); }};

  Task<> executor(transport::Address address) {
    transport::Listener listener(scheduler, address);
    for (;;) {
      auto accepted = co_await listener.accept();
      running.spawn(answer(std::move(accepted)));
    }
  }
  Task<> answer(std::unique_ptr<transport::Descriptor> accepted) {
    Connection connection(scheduler, std::move(accepted), 4096, 1 << 20, unsent);
    for (;;) {
      const bool more = co_await connection.receive();
      if (!more) co_return;
      for (;;) {
        const protocol::resp::Array array = protocol::resp::read(connection.input().view());
        if (array.size == 0) break;
        const std::string_view word = array.words[0], id = array.words[1];
        std::printf("toy: %.*s %.*s %.*s\n", static_cast<int>(word.size()), word.data(),
                    static_cast<int>(id.size()), id.data(), static_cast<int>(array.words[2].size()),
                    array.words[2].data());
        std::fflush(stdout);
        if (word == "ASK")
          say(connection, {id, "200", "batches=1", "shelf\t12\t40\nshelf\t13\t7\nshelf\t14\t0\n"});
        if (word == "NOOP") say(connection, {id, "alive", "-", ""});
        connection.input().consume(array.size);
      }
    }
  }
  Task<> changeLog(transport::Address address) {
    transport::Listener listener(scheduler, address);
    for (;;) {
      auto accepted = co_await listener.accept();
      running.spawn(beat(std::move(accepted)));
    }
  }
  Task<> beat(std::unique_ptr<transport::Descriptor> accepted) {
    Connection connection(scheduler, std::move(accepted), 256, 4096, unsent);
    while (connection.end() == Connection::End::none) {
      connection.send({Slice::lasting("1\n")});
      co_await scheduler.sleepUntil(scheduler.now() + 1s);
    }
  }
  static void say(Connection& to, std::initializer_list<std::string_view> words) {
    to.send({Slice(protocol::resp::array(words))});
  }
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: toy_server EXECUTOR_ADDRESS CHANGELOG_ADDRESS\n", stderr);
    return 2;
  }
  try {
    Toy toy;
    toy.running.spawn(toy.executor(transport::Address(argv[1])));
    toy.running.spawn(toy.changeLog(transport::Address(argv[2])));
    toy.scheduler.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "toy_server: %s\n", error.what());
    return 1;
  }
}
