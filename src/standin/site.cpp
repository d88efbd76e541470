#include "standin/site.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace paddletrack::standin {

Folder::Folder() {
  const char* base = std::getenv("TMPDIR");
  path_ = std::string(base && *base ? base : "/tmp") + "/paddletrack.XXXXXX";
  if (!::mkdtemp(path_.data())) throw std::runtime_error(path_ + ": can't be made");
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log) {
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& each : arguments) argv.push_back(const_cast<char*>(each.c_str()));
  argv.push_back(nullptr);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = ::getpid();
  child_ = ::fork();
  if (child_ == 0) {
    // A child ends with its parent, as on SIGTERM, also where the parent is killed and runs no destructor.
    if (::prctl(PR_SET_PDEATHSIG, SIGTERM) != 0 || ::getppid() != parent) ::_exit(127);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::dup2(out, STDERR_FILENO);
    ::dup2(out, STDOUT_FILENO);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
  }
  ::close(out);
}

Process::~Process() {
  if (ended()) return;
  ::kill(child_, SIGKILL);
  ::waitpid(child_, nullptr, 0);
}

void Process::signal(int number) const { ::kill(child_, number); }

std::optional<int> Process::ended() {
  int status = 0;
  if (!code_ && ::waitpid(child_, &status, WNOHANG) == child_)
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return code_;
}

Site::Site(transport::Scheduler& scheduler, transport::Unsent& unsent, const SiteTerms& terms)
    : terms_(terms), changeLog_(scheduler, unsent, transport::Address(address(250))) {
  for (unsigned each = 0; each < terms.executors; ++each) {
    constexpr unsigned kHosts = 190;  // of one port
    const std::string at = address(1 + each % kHosts, 18443 + each / kHosts);
    executors_.push_back(std::make_unique<Executor>(scheduler, unsent, transport::Address(at)));
    listed_.push_back({"s-" + std::to_string(each + 1), at});
    if (terms.listed) terms.listed(listed_.back(), each, folder_.path());
  }
  changeLog_.tell(listed_, true);
  processes_.resize(terms.controllers);
  for (std::size_t each = 0; terms.starts && each < terms.controllers; ++each) start(each);
}

std::string Site::address(unsigned host, unsigned port) const {
  return "127." + std::to_string(terms_.net / 256) + "." + std::to_string(terms_.net % 256) + "." +
         std::to_string(host) + ":" + std::to_string(port);
}

std::vector<transport::Address> Site::fronts() const {
  std::vector<transport::Address> all;
  for (unsigned each = 0; each < terms_.controllers; ++each) all.emplace_back(front(each));
  return all;
}

std::string Site::front(std::size_t controller) const {
  constexpr unsigned kHosts = 50;  // of one port
  const auto number = static_cast<unsigned>(controller);
  return address(200 + number % kHosts, 18443 + number / kHosts);
}

void Site::moveList(std::size_t which, const std::string& to) const {
  std::string text = configuration(which);
  const std::string was = "\"changelog\":\"" + address(250) + "\"";
  text.replace(text.find(was), was.size(), "\"changelog\":\"" + to + "\"");
  std::ofstream(config(which)) << text;
  processes_[which]->signal(SIGHUP);
}

void Site::start(std::size_t which, const std::vector<std::string>& before) {
  std::ofstream(config(which)) << configuration(which);
  std::vector<std::string> arguments{"serve", "--config", config(which)};
  if (terms_.doors || !terms_.operatorsFile.empty() || terms_.operatorsFileOf) {
    const std::string doorBlock = terms_.doors ? "door { socket = \"" + door(which) + "\" }\n" : "";
    std::ofstream(operatorsFile(which))
        << doorBlock + "drain { notice = \"" + terms_.notice + "\" }\n" + terms_.operatorsFile
        << (terms_.operatorsFileOf ? terms_.operatorsFileOf(static_cast<unsigned>(which)) : std::string());
    arguments.insert(arguments.end(), {"--operator", operatorsFile(which)});
  }
  processes_[which].reset();
  std::string program = terms_.program;
  if (!before.empty()) {
    arguments.insert(arguments.begin(), program);
    arguments.insert(arguments.begin(), before.begin() + 1, before.end());
    program = before.front();
  }
  processes_[which] = std::make_unique<Process>(program, arguments, log(which));
}

std::uint64_t Site::ranTwice() const {
  std::uint64_t twice = 0;
  for (const auto& each : executors_) twice += each->ranTwice();
  return twice;
}

std::size_t Site::openAtExecutors() const {
  std::size_t open = 0;
  for (const auto& each : executors_) open += each->open();
  return open;
}

std::string Site::configuration(std::size_t controller) const {
  const auto profile = [](const char* name, const char* effect, int onTimeMs, int giveUpMs) {
    return std::string(R"({"name":")") + name + R"(","idempotency":")" + effect +
           R"(","group":"all","windowUs":60000000,"onTimeUs":)" + std::to_string(onTimeMs) +
           R"(000,"aimStretch":2.0,"giveUpUs":)" + std::to_string(giveUpMs) +
           R"(000,"lateWorth":0.3,"importance":1.0,"stream":false})";
  };
  return R"({"name":"c)" + std::to_string(controller + 1) + R"(","listen":")" + front(controller) +
         R"(","seed":"7a)" + std::to_string(controller) + R"(","limits":{"cores":1,"memory_mb":)" +
         std::to_string(terms_.memoryMb) + R"(,"sockets":)" + std::to_string(terms_.sockets) +
         R"(},"changelog":")" + address(250) + R"(","known":)" +
         (terms_.knows ? changeLog_.known() : std::string(R"({"seq":0,"results":[]})")) +
         R"(,"settings":{"balancers":)" + std::to_string(terms_.controllers) +
         R"(,"zone":0,"zones":["hall"],"machineTypes":["std-8"],"familyInfo":{"kindCores":[)" +
         std::to_string(terms_.cores) +
         R"(],"memoryByKindMb":[65536.0],"widthByClass":[1,1,1,1],"loads":[false,false,false,false],"memoryHeeded":false,)"
         R"("lanesCount":true,"progressPaceUs":0},"profiles":[)" +
         profile("look-up", "retryable", 600, 3000) + "," + profile("report", "retryable", 2000, 30000) +
         "," + profile("order", "dedup", 2000, 30000) + "," + profile("load", "fragile", 2000, 30000) +
         R"(],"tenants":[{"name":"acme","quotaPerS":0,"share":1.0}],"limits":{"cancelling":true,"parallelTries":false,)"
         R"("probes":false,"peers":false,"retryAfter":true,"maxRetryAfterUs":5000000,"mostTries":3,"maxOpen":40000,)"
         R"("streamsPerConn":32,"dialTimeoutUs":250000,"idleCloseUs":30000000},"registryMode":"pushed",)"
         R"("reporting":{"source":"off","names":[]},"rules":{"answerSlackUs":20000,"coldUs":)" +
         std::to_string(terms_.coldMs * 1000) + R"(,"drainGraceUs":1000000,"fallMultiple":)" +
         std::to_string(terms_.fallMultiple) +
         R"(,"fallUs":3000000,"turnGapUs":200000,"mustAskInUs":10000000,"startCapacity":)" +
         std::to_string(terms_.startCapacity) +
         R"(},)"
         R"("prices":{"crossZone":0.0},"tickUs":5000}})";
}

DoorLine::DoorLine(transport::Scheduler& scheduler, transport::Unsent& unsent, const std::string& path)
    : scheduler_(scheduler), unsent_(unsent), running_(scheduler, [](const char*) {}) {
  running_.spawn(run(path));
}

void DoorLine::say(const std::string& line) {
  connection_ ? connection_->send({transport::Slice(line)}) : void(held_ += line);
}

transport::Task<> DoorLine::run(std::string path) {
  transport::Dialled dialled = co_await transport::dial(scheduler_, transport::Address("unix:" + path),
                                                        scheduler_.now() + milliseconds(500));
  if (dialled.descriptor) {
    connection_.emplace(scheduler_, std::move(dialled.descriptor), 4096, 1 << 20, unsent_);
    if (!held_.empty()) connection_->send({transport::Slice(held_)});
    while (co_await connection_->receive()) {
      transport::Inbox& input = connection_->input();
      for (std::size_t end = input.view().find('\n'); end != std::string_view::npos;
           end = input.view().find('\n')) {
        heard.emplace_back(input.view().substr(0, end));
        input.consume(end + 1);
        if (each) each(heard.back());
      }
      if (input.view().size() > 0) input.expect(input.view().size() * 2);
    }
  }
  closed = true;
}

}  // namespace paddletrack::standin
