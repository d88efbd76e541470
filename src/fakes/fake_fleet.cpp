#include "fakes/fake_fleet.hpp"

#include <csignal>
#include <fstream>

namespace paddletrack::fakes {
namespace {

constexpr unsigned kEngineHostsPerPort = 190;
constexpr unsigned kControllerHostsPerPort = 50;
constexpr unsigned kFirstControllerHost = 200;
constexpr unsigned kEndpointListHost = 250;
constexpr unsigned kBasePort = 18443;

std::string formatProfile(const char* name, const char* idempotency, int objectiveMs, int timeoutMs) {
  return std::string(R"({"name":")") + name + R"(","idempotency":")" + idempotency +
         R"(","group":"all","windowUs":60000000,"onTimeUs":)" + std::to_string(objectiveMs) +
         R"(000,"aimStretch":2.0,"giveUpUs":)" + std::to_string(timeoutMs) +
         R"(000,"lateWorth":0.3,"importance":1.0,"stream":false})";
}

}  // namespace

FakeFleet::FakeFleet(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                     const FakeFleetOptions& options)
    : options_(options),
      endpointList_(scheduler, memoryBudget, transport::Address(addressText(kEndpointListHost))) {
  for (unsigned engine = 0; engine < options.engines; ++engine) {
    const std::string address =
        addressText(1 + engine % kEngineHostsPerPort, kBasePort + engine / kEngineHostsPerPort);
    engines_.push_back(std::make_unique<FakeEngine>(scheduler, memoryBudget, transport::Address(address)));
    endpoints_.push_back({"s-" + std::to_string(engine + 1), address});
    if (options.customizeEndpoint) options.customizeEndpoint(endpoints_.back(), engine, directory_.path());
  }
  endpointList_.publish(endpoints_, true);
  processes_.resize(options.controllers);
  if (!options.startsControllers) return;
  for (std::size_t index = 0; index < options.controllers; ++index) startController(index);
}

std::string FakeFleet::addressText(unsigned host, unsigned port) const {
  return "127." + std::to_string(options_.subnet / 256) + "." + std::to_string(options_.subnet % 256) + "." +
         std::to_string(host) + ":" + std::to_string(port);
}

std::vector<transport::Address> FakeFleet::controllerAddresses() const {
  std::vector<transport::Address> addresses;
  for (unsigned controller = 0; controller < options_.controllers; ++controller)
    addresses.emplace_back(controllerAddress(controller));
  return addresses;
}

std::string FakeFleet::controllerAddress(std::size_t controller) const {
  const auto index = static_cast<unsigned>(controller);
  return addressText(kFirstControllerHost + index % kControllerHostsPerPort,
                     kBasePort + index / kControllerHostsPerPort);
}

void FakeFleet::changeEndpointList(std::size_t index, const std::string& address) const {
  std::string text = buildConfig(index);
  const std::string previous = "\"changelog\":\"" + addressText(kEndpointListHost) + "\"";
  text.replace(text.find(previous), previous.size(), "\"changelog\":\"" + address + "\"");
  std::ofstream(configPath(index)) << text;
  processes_[index]->sendSignal(SIGHUP);
}

void FakeFleet::startController(std::size_t index, const std::vector<std::string>& launcher) {
  std::ofstream(configPath(index)) << buildConfig(index);
  std::vector<std::string> arguments{"serve", "--config", configPath(index)};
  if (options_.hasAdminSockets || !options_.operatorConfig.empty() || options_.operatorConfigOf) {
    std::ofstream(operatorConfigPath(index)) << buildOperatorConfig(index);
    arguments.insert(arguments.end(), {"--operator", operatorConfigPath(index)});
  }
  processes_[index].reset();
  std::string program = options_.program;
  if (!launcher.empty()) {
    arguments.insert(arguments.begin(), program);
    arguments.insert(arguments.begin(), launcher.begin() + 1, launcher.end());
    program = launcher.front();
  }
  processes_[index] = std::make_unique<ServerProcess>(program, arguments, logPath(index));
}

std::string FakeFleet::buildOperatorConfig(std::size_t controller) const {
  std::string text;
  if (options_.hasAdminSockets) text += "door { socket = \"" + adminSocketPath(controller) + "\" }\n";
  text += "drain { notice = \"" + options_.drainNotice + "\" }\n" + options_.operatorConfig;
  if (options_.operatorConfigOf) text += options_.operatorConfigOf(static_cast<unsigned>(controller));
  return text;
}

std::uint64_t FakeFleet::duplicateExecutionCount() const {
  std::uint64_t duplicates = 0;
  for (const auto& engine : engines_) duplicates += engine->duplicateExecutionCount();
  return duplicates;
}

std::size_t FakeFleet::openAskCount() const {
  std::size_t total = 0;
  for (const auto& engine : engines_) total += engine->openAskCount();
  return total;
}

std::string FakeFleet::buildConfig(std::size_t controller) const {
  return R"({"name":"c)" + std::to_string(controller + 1) + R"(","listen":")" +
         controllerAddress(controller) + R"(","seed":"7a)" + std::to_string(controller) +
         R"(","limits":{"cores":1,"memory_mb":)" + std::to_string(options_.memoryMb) + R"(,"sockets":)" +
         std::to_string(options_.maxSockets) + R"(},"changelog":")" + addressText(kEndpointListHost) +
         R"(","known":)" +
         (options_.includesKnownEvents ? endpointList_.eventsAsJson()
                                       : std::string(R"({"seq":0,"results":[]})")) +
         R"(,"settings":{"balancers":)" + std::to_string(options_.controllers) +
         R"(,"zone":0,"zones":["hall"],"machineTypes":["std-8"],"familyInfo":{"kindCores":[)" +
         std::to_string(options_.cores) +
         R"(],"memoryByKindMb":[65536.0],"widthByClass":[1,1,1,1],"loads":[false,false,false,false],"memoryHeeded":false,)"
         R"("lanesCount":true,"progressPaceUs":0},"profiles":[)" +
         formatProfile("look-up", "retryable", 600, 3000) + "," +
         formatProfile("report", "retryable", 2000, 30000) + "," +
         formatProfile("order", "dedup", 2000, 30000) + "," + formatProfile("load", "fragile", 2000, 30000) +
         R"(],"tenants":[{"name":"acme","quotaPerS":0,"share":1.0}],"limits":{"cancelling":true,"parallelTries":false,)"
         R"("probes":false,"peers":false,"retryAfter":true,"maxRetryAfterUs":5000000,"mostTries":3,"maxOpen":40000,)"
         R"("streamsPerConn":32,"dialTimeoutUs":250000,"idleCloseUs":30000000},"registryMode":"pushed",)"
         R"("reporting":{"source":"off","names":[]},"rules":{"answerSlackUs":20000,"coldUs":)" +
         std::to_string(options_.warmupMs * 1000) + R"(,"drainGraceUs":1000000,"fallMultiple":)" +
         std::to_string(options_.warmupOverloadRatio) +
         R"(,"fallUs":3000000,"turnGapUs":200000,"mustAskInUs":10000000,"startCapacity":)" +
         std::to_string(options_.initialCapacityRatio) +
         R"(},)"
         R"("prices":{"crossZone":0.0},"tickUs":5000}})";
}

}  // namespace paddletrack::fakes
