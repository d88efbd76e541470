#include "fakes/fake_fleet.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace paddletrack::fakes {

TemporaryDirectory::TemporaryDirectory() {
  const char* baseDirectory = std::getenv("TMPDIR");
  path_ = std::string(baseDirectory && *baseDirectory ? baseDirectory : "/tmp") + "/paddletrack.XXXXXX";
  if (!::mkdtemp(path_.data())) throw std::runtime_error(path_ + ": can't be made");
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

ServerProcess::ServerProcess(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& logPath) {
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const int logFd = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    // A child ends with its parent, as on SIGTERM, also where the parent is killed and runs no destructor.
    if (::prctl(PR_SET_PDEATHSIG, SIGTERM) != 0 || ::getppid() != parent) ::_exit(127);
    sigset_t emptySet;
    sigemptyset(&emptySet);
    ::sigprocmask(SIG_SETMASK, &emptySet, nullptr);
    ::dup2(logFd, STDERR_FILENO);
    ::dup2(logFd, STDOUT_FILENO);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
  }
  ::close(logFd);
}

ServerProcess::~ServerProcess() {
  if (exitCode()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void ServerProcess::sendSignal(int signalNumber) const { ::kill(pid_, signalNumber); }

std::optional<int> ServerProcess::exitCode() {
  int status = 0;
  if (!exitCode_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return exitCode_;
}

FakeFleet::FakeFleet(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                     const FakeFleetOptions& options)
    : options_(options), endpointList_(scheduler, outputBudget, transport::Address(addressText(250))) {
  for (unsigned value = 0; value < options.engines; ++value) {
    constexpr unsigned kHosts = 190;  // of one port
    const std::string address = addressText(1 + value % kHosts, 18443 + value / kHosts);
    engines_.push_back(std::make_unique<FakeEngine>(scheduler, outputBudget, transport::Address(address)));
    endpoints_.push_back({"s-" + std::to_string(value + 1), address});
    if (options.customizeEndpoint) options.customizeEndpoint(endpoints_.back(), value, directory_.path());
  }
  endpointList_.publish(endpoints_, true);
  processes_.resize(options.controllers);
  for (std::size_t index = 0; options.startsControllers && index < options.controllers; ++index)
    startController(index);
}

std::string FakeFleet::addressText(unsigned host, unsigned port) const {
  return "127." + std::to_string(options_.subnet / 256) + "." + std::to_string(options_.subnet % 256) + "." +
         std::to_string(host) + ":" + std::to_string(port);
}

std::vector<transport::Address> FakeFleet::frontAddresses() const {
  std::vector<transport::Address> addresses;
  for (unsigned value = 0; value < options_.controllers; ++value) addresses.emplace_back(frontAddress(value));
  return addresses;
}

std::string FakeFleet::frontAddress(std::size_t controller) const {
  constexpr unsigned kHosts = 50;  // of one port
  const auto index = static_cast<unsigned>(controller);
  return addressText(200 + index % kHosts, 18443 + index / kHosts);
}

void FakeFleet::changeEndpointList(std::size_t index, const std::string& address) const {
  std::string text = buildConfig(index);
  const std::string previous = "\"changelog\":\"" + addressText(250) + "\"";
  text.replace(text.find(previous), previous.size(), "\"changelog\":\"" + address + "\"");
  std::ofstream(configPath(index)) << text;
  processes_[index]->sendSignal(SIGHUP);
}

void FakeFleet::startController(std::size_t index, const std::vector<std::string>& launcher) {
  std::ofstream(configPath(index)) << buildConfig(index);
  std::vector<std::string> arguments{"serve", "--config", configPath(index)};
  if (options_.hasAdminSockets || !options_.operatorConfig.empty() || options_.operatorConfigOf) {
    const std::string adminBlock =
        options_.hasAdminSockets ? "door { socket = \"" + adminSocketPath(index) + "\" }\n" : "";
    std::ofstream(operatorConfigPath(index))
        << adminBlock + "drain { notice = \"" + options_.drainNotice + "\" }\n" + options_.operatorConfig
        << (options_.operatorConfigOf ? options_.operatorConfigOf(static_cast<unsigned>(index))
                                      : std::string());
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

std::uint64_t FakeFleet::duplicateRunCount() const {
  std::uint64_t duplicates = 0;
  for (const auto& engine : engines_) duplicates += engine->duplicateRunCount();
  return duplicates;
}

std::size_t FakeFleet::openAskCount() const {
  std::size_t total = 0;
  for (const auto& engine : engines_) total += engine->openAskCount();
  return total;
}

std::string FakeFleet::buildConfig(std::size_t controller) const {
  const auto profile = [](const char* name, const char* idempotency, int objectiveMs, int timeoutMs) {
    return std::string(R"({"name":")") + name + R"(","idempotency":")" + idempotency +
           R"(","group":"all","windowUs":60000000,"onTimeUs":)" + std::to_string(objectiveMs) +
           R"(000,"aimStretch":2.0,"giveUpUs":)" + std::to_string(timeoutMs) +
           R"(000,"lateWorth":0.3,"importance":1.0,"stream":false})";
  };
  return R"({"name":"c)" + std::to_string(controller + 1) + R"(","listen":")" + frontAddress(controller) +
         R"(","seed":"7a)" + std::to_string(controller) + R"(","limits":{"cores":1,"memory_mb":)" +
         std::to_string(options_.memoryMb) + R"(,"sockets":)" + std::to_string(options_.maxSockets) +
         R"(},"changelog":")" + addressText(250) + R"(","known":)" +
         (options_.includesKnownEvents ? endpointList_.eventsAsJson()
                                       : std::string(R"({"seq":0,"results":[]})")) +
         R"(,"settings":{"balancers":)" + std::to_string(options_.controllers) +
         R"(,"zone":0,"zones":["hall"],"machineTypes":["std-8"],"familyInfo":{"kindCores":[)" +
         std::to_string(options_.cores) +
         R"(],"memoryByKindMb":[65536.0],"widthByClass":[1,1,1,1],"loads":[false,false,false,false],"memoryHeeded":false,)"
         R"("lanesCount":true,"progressPaceUs":0},"profiles":[)" +
         profile("look-up", "retryable", 600, 3000) + "," + profile("report", "retryable", 2000, 30000) +
         "," + profile("order", "dedup", 2000, 30000) + "," + profile("load", "fragile", 2000, 30000) +
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

AdminConnection::AdminConnection(transport::Scheduler& scheduler, transport::OutputBudget& outputBudget,
                                 const std::string& path)
    : scheduler_(scheduler), unsent_(outputBudget), tasks_(scheduler, [](const char*) {}) {
  tasks_.spawn(run(path));
}

void AdminConnection::send(const std::string& line) {
  connection_ ? connection_->send({transport::BufferSlice(line)}) : void(pendingOutput_ += line);
}

transport::Task<> AdminConnection::run(std::string path) {
  transport::ConnectResult connectResult = co_await transport::connect(
      scheduler_, transport::Address("unix:" + path), scheduler_.now() + milliseconds(500));
  if (connectResult.descriptor) {
    connection_.emplace(scheduler_, std::move(connectResult.descriptor), 4096, 1 << 20, unsent_);
    if (!pendingOutput_.empty()) connection_->send({transport::BufferSlice(pendingOutput_)});
    while (co_await connection_->receive()) {
      transport::InputBuffer& input = connection_->input();
      for (std::size_t lineEnd = input.view().find('\n'); lineEnd != std::string_view::npos;
           lineEnd = input.view().find('\n')) {
        receivedLines.emplace_back(input.view().substr(0, lineEnd));
        input.consume(lineEnd + 1);
        if (onLine) onLine(receivedLines.back());
      }
      if (input.view().size() > 0) input.expectSize(input.view().size() * 2);
    }
  }
  isClosed = true;
}

}  // namespace paddletrack::fakes
