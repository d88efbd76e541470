#include "program/serve.hpp"

#include <csignal>
#include <cstdlib>

#include "command/call.hpp"
#include "operating/door.hpp"
#include "operating/keeper.hpp"
#include "program/log.hpp"
#include "program/signals.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"
#include "routing/follower.hpp"

namespace paddletrack::program {
namespace {

using std::chrono::milliseconds;

constexpr const char* kNotTaken = "not taken, the old one stays: ";
constexpr milliseconds kCounted{10000};  // between lines of counts

// How the limits told are shared out.
constexpr std::size_t kUnsentShare = 4;   // of the memory: a fourth for bytes on their way out
constexpr std::size_t kInputShare = 8;    // an eighth for requests that are still coming in
constexpr std::size_t kOpenBytes = 8192;  // that an open request may cost, with its result; a fourth for all
constexpr std::size_t kLeastShared = 16;  // descriptors, for clients and executors
constexpr std::size_t kOwnDescriptors = 8;  // standard streams, epoll, signals, listener, change log, spare

transport::Task<> count(transport::Scheduler& scheduler, const routing::Desk& desk,
                        const routing::ClientSide& clients, const Say& say) {
  for (;;) {
    co_await scheduler.sleepUntil(scheduler.now() + kCounted);
    const auto late = std::chrono::duration_cast<milliseconds>(scheduler.worstLateness()).count();
    say("counts", clients.counts());
    say("counts", desk.counts() + "; a timer " + std::to_string(late) + " ms late at most");
  }
}

// Reads both files again by the same code and checks. What is wrong with one is said, and all of it stays as
// it was.
void reload(const std::string& path, const Node& node, routing::Follower& follower, const Say& say) {
  try {
    const Node read = readNode(path);
    const std::string fixed = fixedDifferences(node, read);
    if (!fixed.empty()) say("configuration", "only a restart changes " + fixed);
    say("configuration",
        follower.move(read.changeLog) ? "read again: the change log has moved" : "read again");
  } catch (const std::exception& error) {
    say("configuration", typed(error, path), {}, Level::warning, kNotTaken);
  }
}

void reload(Operator& owner, operating::Keeper& keeper, Log& log, const Say& say) {
  if (owner.path.empty()) return;
  try {
    operating::Settings read = operating::readSettings(owner.path);
    const auto& was = owner.settings.door;
    if (read.door.socket != was.socket || read.door.clients != was.clients || read.door.line != was.line ||
        read.door.unsent != was.unsent || read.door.idle != was.idle) {
      say("configuration", "only a restart changes the door");
      read.door = was;
    }
    owner.settings = std::move(read);
    keeper.change(owner.settings.drain);
    keeper.prefer(owner.settings.prefer);
    log.change(owner.form(), owner.level(), owner.settings.topicLevels);
    say("configuration", "the operator's file is read again");
  } catch (const std::exception& error) {
    say("configuration", typed(error, owner.path), {}, Level::warning, kNotTaken);
  }
}

transport::Task<> heed(Signals& signals, std::function<void()> leaving, std::function<void()> reloading) {
  for (;;) {
    const int signal = co_await signals.next();
    try {
      signal == SIGHUP ? reloading() : leaving();
    } catch (const std::exception& error) {  // half told to end it would neither serve nor end
      std::_Exit(command::told(typed(error, "a signal's work")));
    }
  }
}

}  // namespace

int serve(const Node& node, const std::string& path, Operator owner) {
  Log log;
  log.change(owner.form(), owner.level(), owner.settings.topicLevels);
  const Say say([&log](const Said& said) { log.say(said); });
  transport::Scheduler scheduler;
  transport::Unsent unsent{node.memoryBytes / kUnsentShare, 0};
  const Deployment& site = node.told.deployment;
  if (site.mayProbe || site.mayTellPeers || site.progressPace > Span{0})
    say("unsupported",
        "the settings allow probes, peers or notes: there is no message for these, they are not used");

  // Usual clients hold a third of the descriptors, executors are few: the rest is room for the others.
  const bool hasDoor = !owner.settings.door.socket.empty();
  const std::size_t own = kOwnDescriptors + (hasDoor ? owner.settings.door.clients + 2 : 0);
  if (own + kLeastShared > node.descriptors)
    throw Misconfigured(owner.path + ": door.clients",
                        std::to_string(owner.settings.door.clients) + " leave too few of limits.sockets");
  const std::size_t connections = (node.descriptors - own) * 2 / 3;
  const std::size_t links = node.descriptors - own - connections;
  routing::Desk::Bounds bounds;
  bounds.open = std::min(node.told.mostOpen, node.memoryBytes / 4 / kOpenBytes);
  bounds.links = {node.told.sharedBy, links, node.told.dialTimeout, node.told.idleClose,
                  owner.settings.prefer};
  routing::Desk desk(scheduler, unsent, node.told, bounds, node.seed, say);
  desk.tellBroken([](const Error& error) { std::_Exit(command::told(error)); });
  for (const protocol::Change& change : node.changes) desk.listed(change);
  const std::size_t frame = std::min<std::size_t>(1 << 20, node.memoryBytes / kInputShare / connections);
  routing::ClientSide clients(scheduler, unsent, node.listen, {connections, frame, frame}, desk, say);
  routing::Follower follower(scheduler, unsent, node.changeLog, node.known, node.seed, desk, say);

  operating::Keeper keeper(scheduler, desk, clients, node.name, owner.settings.drain, say,
                           [&] { scheduler.stop(); });
  std::optional<operating::Door> door;
  if (hasDoor) {
    keeper.learnLengths();
    door.emplace(scheduler, owner.settings.door, keeper, say);
  }

  Signals signals(scheduler);
  transport::Group running(scheduler, [&](const char* what) {
    say("leaving", Error(ErrorKind::unexpected, "", what), {}, Level::error);
  });
  running.spawn(heed(
      signals, [&] { keeper.stop(); },
      [&] {
        reload(path, node, follower, say);
        reload(owner, keeper, log, say);
      }));
  running.spawn(count(scheduler, desk, clients, say));
  if (hasDoor) say("door", "open at " + owner.settings.door.socket);
  say("serving", node.name + ", " + std::to_string(site.types.size()) + " reservation types, " +
                     std::to_string(node.changes.size()) + " known changes");
  scheduler.run();
  return 0;
}

}  // namespace paddletrack::program
