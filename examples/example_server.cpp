// A counterpart for trying out a controller: an engine that answers every statement, and an endpoint list
// that publishes this engine.
#include <cstdio>
#include <exception>

#include "fakes/fake_endpoint_list.hpp"
#include "fakes/fake_engine.hpp"

using namespace paddletrack;

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: example_server ENGINE_ADDRESS ENDPOINT_LIST_ADDRESS\n", stderr);
    return 2;
  }
  try {
    transport::Scheduler scheduler;
    transport::MemoryBudget memoryBudget{1 << 20, 0};
    fakes::FakeEngine engine(scheduler, memoryBudget, transport::Address(argv[1]));
    engine.overrideScript = [](fakes::Script& script, const std::string& id) {
      std::printf("example_server: %s: %s in %lld ms, %u pages\n", id.c_str(), script.status.c_str(),
                  static_cast<long long>(script.duration.count()), script.pageCount);
      std::fflush(stdout);
    };
    fakes::FakeEndpointList endpointList(scheduler, memoryBudget, transport::Address(argv[2]));
    endpointList.publish({{"s-1", argv[1]}}, true);
    scheduler.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "example_server: %s\n", error.what());
    return 1;
  }
}
