// Discovery is slow: all that it writes comes 4 s late. An executor begins to drain. The protocol counts that as told
// 7 s later at the latest; from then on, past the grace, nothing new may go to the executor.
#include "rig.hpp"

using namespace rig;

namespace {
constexpr int kExecutors = 4;
constexpr double kRate = 40, kRunsFor = 0.1;                      // Requests a second; seconds.
constexpr double kListLate = 4;                                   // Seconds.
constexpr double kTold = 7, kGrace = 1, kSlack = 0.05;            // Seconds, of the pages and the settings.
constexpr double kWatchedFor = 20;
}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = readArguments(argc, argv);
  Events events;
  std::vector<std::unique_ptr<Executor>> executors;
  std::vector<Server> servers;
  for (int number = 0; number < kExecutors; ++number) {
    executors.push_back(std::make_unique<Executor>("s-" + std::to_string(number)));
    Executor* executor = executors.back().get();
    servers.push_back({executor->id, executor->address()});
    executor->onAsk = [executor](const LinkPtr& link, const Ask& ask) {
      const std::string id = ask.id;
      RECORD("executor %s: runs %s", executor->id.c_str(), id.c_str());
      Timers::get().after(kRunsFor, [=] { executor->answer(link, id, {"shelf\tbay\t1\n"}); });
    };
  }
  events.add(true, servers);
  ChangeLog log("a", events);

  Deployment deployment;
  deployment.types = {{"look-up", "retryable", "all", 5000, 800, 4000, 1}};
  deployment.drainGraceMs = static_cast<int>(kGrace * 1000);
  deployment.dialTimeoutMs = 250;
  deployment.cores = 16;
  Controller controller(arguments.root, arguments.temporary, deployment);
  controller.writeConfig(log.address(), events.known());
  controller.start();
  controller.waitUntilReady();

  Client client(controller.ip(), controller.port());
  std::atomic<int> served{0}, other{0};
  client.onReply = [&](std::uint32_t, const Reply& reply) { ++(reply.kind == "served" ? served : other); };
  int count = 0;
  const auto sendUntil = [&](double until) {
    while (now() < until) {
      client.submit({{"service", "look-up"}, {"ref", newRef()}, {"allow", "4000"}, {"project", "acme"}, {"effort", "100.0"},
                     {"ram", "16"}},
                    "select * from stock_" + std::to_string(count % 40) + ".shelves");
      ++count;
      sleepUntil(std::min(until, now() + 1 / kRate));
    }
  };
  sendUntil(now() + 4);
  if (arguments.trouble) log.setLate(kListLate);
  sendUntil(now() + 0.2);

  // The executor that has had most begins to drain, and stays up.
  Executor* drained = executors[0].get();
  for (const auto& executor : executors)
    if (executor->asks().size() > drained->asks().size()) drained = executor.get();
  Server leaving{drained->id, drained->address()};
  leaving.state = "leaving";
  const double drainsAt = now();
  events.add(false, {leaving});
  sendUntil(drainsAt + kWatchedFor);
  sleepFor(1);

  const double lastAllowed = drainsAt + kTold + kGrace + kSlack;
  int late = 0;
  double last = 0;
  for (const Ask& ask : drained->asks()) {
    if (ask.at <= lastAllowed) continue;
    ++late;
    last = std::max(last, ask.at - drainsAt);
  }
  RECORD("sent %d, served %d, others %d; watches asked %d times; %d requests went to %s later than %.2f s after it began to "
         "drain, the last one after %.2f s",
         count, served.load(), other.load(), log.asked.load(), late, drained->id.c_str(), kTold + kGrace + kSlack, last);
  if (served == 0) cannotRun("nothing was served");
  char text[160];
  std::snprintf(text, sizeof text, "%d requests went to the draining executor after %.2f s, the last after %.2f s", late,
                kTold + kGrace + kSlack, last);
  finish(late == 0, text);
}
