// Executors give results in pages, and of 12 in 100 results the last page never arrives. What the controller
// holds of these until their time is up must stay under its limit of memory.
#include "rig.hpp"

using namespace rig;

namespace {
constexpr int kExecutors = 10;         // Of 16 cores.
constexpr int kPages = 48;             // Of 1,000 bytes: a result of 48,000 bytes.
constexpr double kRate = 500;          // Requests a second.
constexpr double kRunsFor = 0.1;       // Seconds that a request runs.
constexpr double kWarmUp = 3, kTrouble = 10, kAllow = 4;  // Seconds.
constexpr double kLate = 0.5;          // After its time a request without an answer is lost.
constexpr unsigned kShortPercent = 12;
constexpr double kPageGap = 0.002;     // Seconds between the pages of a result, with and without the disruption.
constexpr int kMemoryMb = 32, kSockets = 1024;

std::string makePage() {
  std::string page;
  while (page.size() < 1000) page += "shelf-0042\tbay-17\t" + std::string(31, 'x') + "\n";  // Rows of 50 bytes.
  return page;
}

struct Sent {
  double at = 0;
  bool answered = false;
  std::string kind;
};
}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = readArguments(argc, argv);
  const std::vector<std::string> result(kPages, makePage());
  std::string whole;
  for (const std::string& page : result) whole += page;
  Events events;
  std::vector<std::unique_ptr<Executor>> executors;
  std::vector<Server> servers;
  std::atomic<bool> stopsShort{false};
  std::atomic<int> shortResults{0};
  for (int number = 0; number < kExecutors; ++number) {
    executors.push_back(std::make_unique<Executor>("s-" + std::to_string(number)));
    Executor* executor = executors.back().get();
    servers.push_back({executor->id, executor->address()});
    executor->onAsk = [executor, &result](const LinkPtr& link, const Ask& ask) {
      const std::string id = ask.id;
      Timers::get().after(kRunsFor, [=, &result] { executor->answer(link, id, result); });
    };
    executor->onNext = [executor, &stopsShort, &shortResults](const LinkPtr& link, const std::string& id, int page) {
      const bool isShort = std::hash<std::string>{}(id) % 100 < kShortPercent;
      if (page == kPages - 1 && isShort && stopsShort) {
        ++shortResults;
        return;
      }
      Timers::get().after(kPageGap * page, [=] { executor->sendPage(link, id, page); });
    };
  }
  events.add(true, servers);
  ChangeLog log("a", events);

  Deployment deployment;
  deployment.types = {{"look-up", "retryable", "all", 5000, 800, static_cast<int>(kAllow * 1000), 1}};
  deployment.memoryMb = kMemoryMb;
  deployment.sockets = kSockets;
  deployment.cores = 16;
  deployment.dialTimeoutMs = 250;
  Controller controller(arguments.root, arguments.temporary, deployment);
  controller.writeConfig(log.address(), events.known());
  controller.start();
  controller.waitUntilReady();

  std::mutex mutex;
  std::map<std::pair<int, std::uint32_t>, Sent> sent;
  std::map<std::string, int> kinds;
  int wrong = 0;
  std::vector<std::unique_ptr<Client>> clients;
  for (int number = 0; number < 40; ++number) {
    clients.push_back(std::make_unique<Client>(controller.ip(), controller.port()));
    clients.back()->onReply = [&, number](std::uint32_t sequence, const Reply& reply) {
      std::lock_guard lock(mutex);
      Sent& request = sent[{number, sequence}];
      request.answered = true;
      request.kind = reply.kind;
      ++kinds[reply.kind];
      if (reply.kind == "served" && reply.body != whole) ++wrong;
    };
  }

  const double start = now();
  long peakKb = 0;
  bool killed = false;
  for (int count = 0; now() < start + kWarmUp + kTrouble; ++count) {
    const bool trouble = arguments.trouble && now() >= start + kWarmUp;
    if (trouble && !stopsShort.exchange(true))
      RECORD("executors: the last page of %u in 100 results never arrives from now on", kShortPercent);
    const int number = count % static_cast<int>(clients.size());
    {
      std::lock_guard lock(mutex);  // The answer must not come before the request is noted.
      const std::uint32_t sequence = clients[static_cast<std::size_t>(number)]->submit(
          {{"service", "look-up"}, {"ref", newRef()}, {"allow", std::to_string(static_cast<int>(kAllow * 1000))},
           {"project", "acme"}, {"effort", "100.0"}, {"ram", "16"}},
          "select * from stock_" + std::to_string(count % 40) + ".shelves");
      if (sequence) sent[{number, sequence}].at = now();
    }
    // The platform: over `memory_mb` the controller is killed. Only anonymous memory is counted.
    if (count % 5 == 0) {
      const long residentKb = controller.residentKb();
      peakKb = std::max(peakKb, residentKb);
      if (residentKb > kMemoryMb * 1024L) {
        std::lock_guard lock(mutex);
        int open = 0;
        for (const auto& [key, request] : sent) open += request.answered ? 0 : 1;
        RECORD("platform: the controller holds %ld kB, over its limit of %d MB: killed, with %d requests open", residentKb,
               kMemoryMb, open);
        controller.kill(SIGKILL);
        killed = true;
      }
    }
    if (killed || !controller.isRunning()) break;
    if (count % 250 == 0) {
      std::lock_guard lock(mutex);
      RECORD("sent %d, served %d, refused %d, failed %d, short results %d, controller holds %ld kB", count, kinds["served"],
             kinds["shed"], kinds["fault"], shortResults.load(), controller.residentKb());
    }
    sleepUntil(start + (count + 1) / kRate);
  }
  const bool crashed = !killed && !controller.isRunning();
  if (!killed && !crashed) sleepFor(kAllow + kLate);
  std::lock_guard lock(mutex);
  int lost = 0;
  for (const auto& [key, request] : sent) lost += request.answered ? 0 : 1;
  RECORD("sent %zu, served %d (%d with wrong rows), refused %d, failed %d, without an answer %d; most memory %ld kB", sent.size(),
         kinds["served"], wrong, kinds["shed"], kinds["fault"], lost, peakKb);
  finish(!killed && !crashed && lost == 0 && wrong == 0,
         "most anonymous memory " + std::to_string(peakKb) + " kB of " + std::to_string(kMemoryMb * 1024) +
             ", requests without an answer " + std::to_string(lost) + (killed ? ", killed for memory" : "") +
             (crashed ? ", the controller has ended" : ""));
}
