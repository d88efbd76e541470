// A toy to try the front with: one executor that answers every statement, and a change log that tells of it.
// Usage: toy_server EXECUTOR_ADDRESS CHANGELOG_ADDRESS
#include <cstdio>
#include <exception>

#include "standin/change_log.hpp"
#include "standin/executor.hpp"

using namespace paddletrack;

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: toy_server EXECUTOR_ADDRESS CHANGELOG_ADDRESS\n", stderr);
    return 2;
  }
  try {
    transport::Scheduler scheduler;
    transport::Unsent unsent{1 << 20, 0};
    standin::Executor executor(scheduler, unsent, transport::Address(argv[1]));
    executor.over = [](standin::Script& script, const std::string& id) {
      std::printf("toy: %s: %s in %lld ms, %u pages\n", id.c_str(), script.answer.c_str(),
                  static_cast<long long>(script.after.count()), script.pages);
      std::fflush(stdout);
    };
    standin::ChangeLog changeLog(scheduler, unsent, transport::Address(argv[2]));
    changeLog.tell({{"s-1", argv[1]}}, true);
    scheduler.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "toy_server: %s\n", error.what());
    return 1;
  }
}
