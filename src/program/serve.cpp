#include "program/serve.hpp"

#include <csignal>

#include "program/log.hpp"
#include "program/signals.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"
#include "routing/follower.hpp"

namespace paddletrack::program {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCounted{10000};  // between lines of counts

// A planned restart: connections and requests go on coming for a while after SIGTERM, and SIGKILL comes no
// sooner than the longest job timeout, at most so long, and a last stretch.
constexpr milliseconds kStillComing{760}, kLongestRest{3000}, kLastStretch{700}, kMargin{300};

// How the limits told are shared out.
constexpr std::size_t kUnsentShare = 4;   // of the memory: a fourth for bytes on their way out
constexpr std::size_t kInputShare = 8;    // an eighth for requests that are still coming in
constexpr std::size_t kOpenBytes = 8192;  // that an open request may cost, with its result; a fourth for all
constexpr std::size_t kOwnDescriptors = 8;  // standard streams, epoll, signals, listener, change log, spare

transport::Task<> count(transport::Scheduler& scheduler, const routing::Desk& desk,
                        const routing::ClientSide& clients, const routing::Say& say) {
  for (;;) {
    co_await scheduler.sleepUntil(scheduler.now() + kCounted);
    const auto late = std::chrono::duration_cast<milliseconds>(scheduler.worstLateness()).count();
    say("counts", clients.counts());
    say("counts", desk.counts() + "; a timer " + std::to_string(late) + " ms late at most");
  }
}

transport::Task<> leave(transport::Scheduler& scheduler, const Node& node, routing::Desk& desk,
                        routing::ClientSide& clients, const routing::Say& say) {
  const transport::Moment told = scheduler.now();
  Span longest{0};
  for (const ReservationType& type : node.told.deployment.types) longest = std::max(longest, type.jobTimeout);
  const Span rest = std::min<Span>(longest, kLongestRest) + kLastStretch - kMargin;
  say("leaving",
      std::to_string(desk.open()) + " requests open, " + std::to_string(rest.count() / 1000) + " ms at most");
  clients.leave();
  desk.answerBy(desk.now() + rest - kMargin);
  while (scheduler.now() < told + rest) {
    if (scheduler.now() >= told + kStillComing && desk.open() == 0 && clients.unsent() == 0) break;
    co_await scheduler.sleepUntil(scheduler.now() + milliseconds(20));
  }
  say("leaving", std::to_string(desk.open()) + " requests open at the end");
  scheduler.stop();
}

// Reads the file again by the same code and checks. What is wrong with it is said, and all stays as it was.
void reload(const std::string& path, const Node& node, routing::Follower& follower, const routing::Say& say) {
  try {
    const Node read = readNode(path);
    const std::string fixed = fixedDifferences(node, read);
    if (!fixed.empty()) say("configuration", "only a restart changes " + fixed);
    say("configuration",
        follower.move(read.changeLog) ? "read again: the change log has moved" : "read again");
  } catch (const std::exception& error) {
    say("configuration", std::string("not taken, the old one stays: ") + error.what());
  }
}

transport::Task<> heed(Signals& signals, transport::Group& running,
                       std::function<transport::Task<>()> leaving, std::function<void()> reloading) {
  for (bool left = false;;) {
    const int signal = co_await signals.next();
    if (signal == SIGHUP) {
      reloading();
    } else if (!std::exchange(left, true)) {
      running.spawn(leaving());
    }
  }
}

}  // namespace

int serve(const Node& node, const std::string& path) {
  Log log;
  const routing::Say say = [&log](const char* topic, const std::string& line) { log.say(topic, line); };
  transport::Scheduler scheduler;
  transport::Unsent unsent{node.memoryBytes / kUnsentShare, 0};
  const Deployment& site = node.told.deployment;
  if (site.mayProbe || site.mayTellPeers || site.progressPace > Span{0})
    say("unsupported",
        "the settings allow probes, peers or notes: there is no message for these, they are not used");

  // Usual clients hold a third of the descriptors, executors are few: the rest is room for the others.
  const std::size_t connections = (node.descriptors - kOwnDescriptors) * 2 / 3;
  const std::size_t links = node.descriptors - kOwnDescriptors - connections;
  routing::Desk::Bounds bounds;
  bounds.open = std::min(node.told.mostOpen, node.memoryBytes / 4 / kOpenBytes);
  bounds.links = {node.told.sharedBy, links, node.told.dialTimeout, node.told.idleClose};
  routing::Desk desk(scheduler, unsent, node.told, bounds, node.seed, say);
  for (const protocol::Change& change : node.changes) desk.listed(change);
  const std::size_t frame = std::min<std::size_t>(1 << 20, node.memoryBytes / kInputShare / connections);
  routing::ClientSide clients(scheduler, unsent, node.listen, {connections, frame, frame}, desk, say);
  routing::Follower follower(scheduler, unsent, node.changeLog, node.known, node.seed, desk, say);

  Signals signals(scheduler);
  transport::Group running(scheduler, [&](const char* what) { say("leaving", what); });
  running.spawn(heed(
      signals, running, [&] { return leave(scheduler, node, desk, clients, say); },
      [&] { reload(path, node, follower, say); }));
  running.spawn(count(scheduler, desk, clients, say));
  say("serving", node.name + ", " + std::to_string(site.types.size()) + " reservation types, " +
                     std::to_string(node.changes.size()) + " known changes");
  scheduler.run();
  return 0;
}

}  // namespace paddletrack::program
