#include "routing/server_side.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <tuple>

#include "fault/fault.hpp"

namespace paddletrack::routing {
namespace {

using protocol::resp::Word;
using transport::Connection;

constexpr std::size_t kUsualInput = 32 * 1024, kMostInput = 64 * 1024;
constexpr std::uint32_t kMostPages = 64;
constexpr std::size_t kDialParts =
    4;  // of the connections: dials out at once that are not the first of theirs
constexpr std::size_t kSpareParts = 4;  // of the connections, for executors that have none
// In dial time-outs: so long without a byte, and a connection with work is asked whether it lives; so long
// asked while a younger one answers, and it is dead; so long midway in a message, and the rest never comes.
constexpr int kQuietDials = 1, kDeadDials = 2, kMidwayDials = 1;

}  // namespace

ServerSide::ServerSide(transport::Scheduler& scheduler, transport::Unsent& unsent, const Bounds& bounds,
                       Ends& ends, const Say& say)
    : scheduler_(scheduler),
      unsent_(unsent),
      bounds_(bounds),
      ends_(ends),
      say_(say),
      terms_{bounds.dialTimeout, bounds.prefer},
      dials_(bounds.links),
      tellUnplaced_(scheduler,
                    [this] {
                      for (Sending* each : std::exchange(unplaced_, {}))
                        ends_.ended(*each, Outcome::unreachable);
                    }),
      running_(scheduler,
               [this](const char* what) { say_("executor", Error(ErrorKind::unexpected, "", what)); }) {}

void ServerSide::send(Sending& sending) {
  Link* link = pick(sending);
  if (!link) {
    unplaced_.push_back(&sending);
    return tellUnplaced_.soon();
  }
  sending.link = link;
  sending.linkSerial = link->serial;
  if (link->proven) {
    write(*link, sending);
  } else {
    link->held.push_back(&sending);
  }
}

// An id goes over a connection once only: the end of an earlier dispatch of the same job, given up, may still
// be on its way there. A resting one midway in a message is in doubt: if the rest does not come it is ended,
// with whatever else is on it.
bool ServerSide::usable(const Link& link, const Sending& sending) const {
  if (link.retired || link.silent || link.load() >= bounds_.sharedBy) return false;
  if (link.load() == 0 && link.midway) return false;
  if (link.open.count(sending.exchange.reference) > 0) return false;
  const auto& before = sending.exchange.sendings;
  return std::none_of(before.begin(), before.end(), [&](const auto& each) {
    return each.get() != &sending && each->linkSerial == link.serial;
  });
}

// A connection that ends takes all along that is open on it, so dispatches share one only when descriptors
// run short: an idle one that is up and was used last (the others may end), else a new one while some are
// left for executors without, else the one with most room. Where the executor is silent one connection at a
// time finds out whether it answers; what finds no room there is not sent.
Link* ServerSide::pick(Sending& sending) {
  auto& executor = *static_cast<Executor*>(sending.dispatch.engine);
  Link* best = nullptr;
  bool silent = false, proving = false;
  for (Link* link : executor.links) {
    silent = silent || link->silent;
    proving = proving || !link->proven;
    if (!usable(*link, sending)) continue;
    const auto rank = [](const Link& each) {
      return std::tuple(each.load(), !each.proven, -each.used.time_since_epoch());
    };
    if (!best || rank(*link) < rank(*best)) best = link;
  }
  if ((best && best->load() == 0) || (silent && proving)) return best;
  if (best && links_.size() >= bounds_.links - bounds_.links / kSpareParts) return best;
  if (links_.size() + beside_ >= bounds_.links) {
    say_("descriptors",
         Error(ErrorKind::descriptorsShort, "executor " + executor.id,
               "no connection is left for another dispatch"),
         {{"engine", executor.id}});
    return nullptr;
  }
  PADDLETRACK_TABLE("links");
  links_.emplace_front(executor, ++serials_);
  best = &links_.front();
  best->place = links_.begin();
  executor.links.push_back(best);
  running_.spawn(run(*best));
  return best;
}

// What may still run is the module's word of when it was dispatched: since then its job may have come to its
// end, its engine to a drain or another start, and its time or its window for repeats may be over.
bool ServerSide::mayLeave(const Sending& sending) const {
  const auto& executor = *static_cast<const Executor*>(sending.dispatch.engine);
  return reach::mayLeave({sending.exchange.over,
                          executor.listed && executor.incarnation == sending.incarnation,
                          std::chrono::duration_cast<Span>(sending.leaveBy - scheduler_.now())});
}

// The moment at which what was held for a dial leaves, or does not any more.
void ServerSide::prove(Link& link) {
  link.proven = true;
  for (std::size_t at = 0; at < link.held.size();) {  // what a failed one leaves is still held, and never ran
    Sending& next = *link.held[at];
    if (!mayLeave(next)) {
      ++at;
      continue;
    }
    link.held.erase(link.held.begin() + static_cast<std::ptrdiff_t>(at));
    try {
      write(link, next);
    } catch (const std::bad_alloc&) {
      if (link.open.count(next.exchange.reference) == 0) link.held.push_back(&next);
      throw;
    }
  }
  const std::vector<Sending*> kept = std::exchange(link.held, {});
  for (Sending* each : kept) each->link = nullptr;
  for (Sending* each : kept) ends_.ended(*each, Outcome::neverSent);
}

void ServerSide::write(Link& link, Sending& sending) {
  PADDLETRACK_TABLE("written");
  const Exchange& exchange = sending.exchange;
  protocol::resp::Terms terms;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(sending.until - scheduler_.now());
  terms.waitMs = std::max<std::int64_t>(1, left.count());
  terms.grantMb = exchange.grantMb;
  terms.priority = exchange.priority;
  terms.idempotencyKey = exchange.idempotencyKey;
  link.open.emplace(exchange.reference, &sending);
  link.used = scheduler_.now();
  const Slice head(
      protocol::resp::askHead(exchange.reference, exchange.typeName, terms, exchange.statement.size()));
  const Slice tail = Slice::lasting(protocol::resp::kAskTail);
  // Counted here: what a bound refuses, or a connection that has been shut, is never queued and never whole.
  sending.wholeAt = link.connection->queued() + head.size() + exchange.statement.size() + tail.size();
  link.connection->send({head, exchange.statement, tail});
}

void ServerSide::giveUp(Sending& sending) {
  if (takeBack(sending)) return;
  Link* link = std::exchange(sending.link, nullptr);
  if (!link) return;
  const std::string& id = sending.exchange.reference;
  if (link->open.erase(id) > 0)
    link->connection->send(
        {Slice(sending.pagesWanted > 0 ? protocol::resp::free(id) : protocol::resp::quit(id))});
}

// Held by a dial, or alone on a connection that has not taken all of it: that one is ended, so that its
// executor never has the whole.
bool ServerSide::takeBack(Sending& sending) {
  if (std::erase(unplaced_, &sending) > 0) return true;
  Link* link = sending.link;
  if (!link) return false;
  if (std::erase(link->held, &sending) > 0) {
    sending.link = nullptr;
    return true;
  }
  if (link->load() > 1 || sending.wholeAt <= link->connection->written()) return false;
  link->open.clear();
  sending.link = nullptr;
  link->retired = true;
  link->connection->shut();
  return true;
}

void ServerSide::prioritise(Sending& sending) {
  if (sending.link && sending.wholeAt > 0 && sending.pagesWanted == 0 && sending.exchange.priority)
    sending.link->connection->send(
        {Slice(protocol::resp::prio(sending.exchange.reference, *sending.exchange.priority))});
}

std::string ServerSide::counts() const {
  return std::to_string(links_.size()) + " connections, " + std::to_string(dials_.ever()) + " dialled, " +
         std::to_string(spoilt_) + " spoilt, " + std::to_string(moved_) + " dispatches moved";
}

void ServerSide::retire(Executor& executor) {
  ++executor.incarnation;
  for (Link* link : executor.links) {
    link->retired = true;
    if (link->connection && link->load() == 0) link->connection->shut();
  }
}

// ---- the way to an executor -----------------------------------------------------------------------------

Span ServerSide::clock() const {
  return std::chrono::duration_cast<Span>(scheduler_.now().time_since_epoch());
}

void ServerSide::learn(Executor& executor, const std::string& route, reach::Lesson lesson,
                       std::optional<Span> roundTrip) {
  const double dice =
      static_cast<double>(dice_() - dice_.min()) / static_cast<double>(dice_.max() - dice_.min());
  const bool several = executor.routes.all().size() > 1;
  if (several && lesson != reach::Lesson::good)
    say_(
        "address",
        Error(lesson == reach::Lesson::refused || lesson == reach::Lesson::noAnswer ? ErrorKind::connectFailed
                                                                                    : ErrorKind::peerSilent,
              "executor " + executor.id + " at " + route, nameOf(lesson)),
        {{"engine", executor.id}, {"address", route}});
  if (several && lesson == reach::Lesson::good && executor.routes.failed(route))
    say_("address", "executor " + executor.id + " at " + route + ": good again",
         {{"engine", executor.id}, {"address", route}});
  executor.routes.learn(clock(), route, lesson, roundTrip, terms_, dice);
}

void ServerSide::readdress(Executor& executor, const std::vector<std::string>& names, bool another) {
  std::vector<reach::Routes::Named> named;
  std::unordered_map<std::string, transport::Address> addresses;
  for (const std::string& each : names) {
    try {
      const transport::Address address(each);
      const reach::Family family = address.family() == AF_UNIX    ? reach::Family::local
                                   : address.family() == AF_INET6 ? reach::Family::ipv6
                                                                  : reach::Family::ipv4;
      if (addresses.emplace(each, address).second) named.push_back({each, family});
    } catch (const std::invalid_argument& error) {
      say_("changelog",
           Error(ErrorKind::entryUnusable, "executor " + executor.id,
                 std::string("address passed over: ") + error.what()),
           {{"engine", executor.id}});
    }
  }
  if (const std::size_t leftOut = executor.routes.list(named, another); leftOut > 0)
    say_("changelog",
         Error(ErrorKind::entryUnusable, "executor " + executor.id,
               std::to_string(leftOut) + " addresses too many, passed over"),
         {{"engine", executor.id}});
  executor.addresses = std::move(addresses);
  for (Link* link : std::vector<Link*>(executor.links)) {
    if (link->route.empty() || executor.addresses.count(link->route) > 0) continue;
    link->retired = true;
    if (link->connection && link->load() == 0) link->connection->shut();
  }
}

// One way tried in a race: a dial and, where it is doubted, a sign of life. What it has out is given back
// with it, however it ends.
struct ServerSide::Attempt {
  // `others` counts those beside the first of a race: each holds a descriptor that no link stands for.
  Attempt(Executor& to, reach::Dials& all, std::size_t* others, std::string name, Span now,
          transport::Scheduler& scheduler)
      : executor(to),
        dials(all),
        beside(others),
        route(std::move(name)),
        begun(now),
        running(scheduler, [](const char*) {}) {
    ++executor.dialling;
    dials.begun();
    if (beside) ++*beside;
  }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt() {
    --executor.dialling;
    dials.ended();
    if (beside) --*beside;
  }
  Executor& executor;
  reach::Dials& dials;
  std::size_t* const beside;
  const std::string route;
  const Span begun;
  Span roundTrip{0};
  std::unique_ptr<Connection> connection;
  bool spoke = false, ended = false;
  reach::Lesson lesson = reach::Lesson::refused;  // of one that has failed
  reach::Lesson unheard() const { return connection ? reach::Lesson::silent : reach::Lesson::noAnswer; }
  transport::Group running;  // goes before what it works on
};

// The kernel of a machine takes connections and bytes for a process that reads none. What would pile up there
// could run long after its job was answered otherwise: beside a silent neighbour, or at an address that did
// so before, a sign of life comes first.
transport::Task<> ServerSide::attempt(Link& link, Attempt& made, reach::Race& race,
                                      transport::Signal& ended) {
  Executor& executor = link.executor;
  const auto at = executor.addresses.find(made.route);
  if (at != executor.addresses.end()) {
    PADDLETRACK_MARK(dials("executor"));
    transport::Dialled dialled =
        co_await transport::dial(scheduler_, at->second, scheduler_.now() + bounds_.dialTimeout);
    made.roundTrip = clock() - made.begun;
    // It may have left the list while it was dialled: nothing new goes there.
    if (dialled.descriptor && executor.addresses.count(made.route) > 0) {
      made.connection = std::make_unique<Connection>(scheduler_, std::move(dialled.descriptor), kUsualInput,
                                                     kMostInput, unsent_);
      const auto& all = executor.links;
      const bool several = executor.routes.all().size() > 1;
      if ((several && executor.routes.doubted(made.route)) ||
          std::any_of(all.begin(), all.end(), [](const Link* each) { return each->silent; })) {
        race.up(clock());
        made.connection->send({Slice(protocol::resp::noop("up" + std::to_string(link.serial)))});
        made.spoke = co_await made.connection->receive(scheduler_.now() + bounds_.dialTimeout);
        if (!made.spoke) {
          made.lesson = made.connection->end() == Connection::End::none ? reach::Lesson::silent
                                                                        : reach::Lesson::resetEarly;
          made.connection.reset();
        }
      }
    } else if (!dialled.descriptor) {
      if (dialled.error == ETIMEDOUT) made.lesson = reach::Lesson::noAnswer;
      say_("dial",
           SystemErrorOf<ErrorKind::connectFailed>("executor " + executor.id, "no connection", dialled.error),
           {{"engine", executor.id}, {"address", made.route}});
    }
  }
  made.ended = true;
  ended.set();
}

// Until one connection is up; those that lose are closed at once.
transport::Task<bool> ServerSide::reachOut(Link& link) {
  Executor& executor = link.executor;
  // One that must not run twice is not sent to find out whether an address is well again.
  const bool careful = std::any_of(link.held.begin(), link.held.end(), [](const Sending* each) {
    return each->exchange.type->effect == Effect::runOnce;
  });
  std::vector<std::string> order;
  for (const std::size_t each : executor.routes.order(clock(), terms_, careful))
    order.push_back(executor.routes.all()[each].name);
  reach::Race race(terms_, std::move(order), clock());
  transport::Signal ended(scheduler_);
  std::list<Attempt> attempts;
  for (;;) {
    const auto up = std::find_if(attempts.begin(), attempts.end(),
                                 [](const Attempt& each) { return each.ended && each.connection; });
    if (up != attempts.end()) {
      link.route = up->route;
      link.roundTrip = up->roundTrip;
      link.connection = std::move(up->connection);
      if (up->spoke) heard(link);
      for (const Attempt& each : attempts)
        if (!each.ended && race.slow(each.begun, up->begun))
          learn(executor, each.route, reach::Lesson::noAnswer);
      co_return true;
    }
    for (auto each = attempts.begin(); each != attempts.end();) {
      if (!each->ended) {
        ++each;
        continue;
      }
      learn(executor, each->route, each->lesson);
      race.failed(clock());
      each = attempts.erase(each);
    }
    const reach::Race::Act act =
        race.look(clock(), dials_.may(executor.dialling) && links_.size() + beside_ < bounds_.links);
    if (act.over) {
      for (const Attempt& each : attempts) learn(executor, each.route, each.unheard());
      co_return false;
    }
    if (act.dial) {
      if (act.inPlace) {
        for (const Attempt& each : attempts) learn(executor, each.route, each.unheard());
        attempts.clear();
      }
      Attempt& made = attempts.emplace_back(executor, dials_, attempts.empty() ? nullptr : &beside_,
                                            *act.dial, clock(), scheduler_);
      made.running.spawn(attempt(link, made, race, ended));
      continue;
    }
    co_await ended.wait(transport::Moment(transport::Clock::duration(act.next)));
  }
}

// The whole life of a connection, whatever ends it.
transport::Task<> ServerSide::run(Link& link) {
  try {
    co_await work(link);
  } catch (const std::exception& error) {
    const Error known = typed(error, "");
    say_("executor",
         Error(known.kind(), "executor " + link.executor.id,
               error.what() + std::string("; connection given up"), known.hint()),
         {{"engine", link.executor.id}, {"address", link.route}});
    spoil(link);
  }
  lose(link);
}

transport::Task<> ServerSide::work(Link& link) {
  const bool up = co_await reachOut(link);
  if (!up) co_return;
  prove(link);
  for (bool lookedAgain = false;;) {
    read(link);
    if (link.load() == 0 && link.retired) break;
    Span patience = bounds_.dialTimeout * kQuietDials;
    if (!link.midway || scheduler_.now() - *link.midway <= bounds_.dialTimeout * kMidwayDials) {
      lookedAgain = false;
    } else if (std::exchange(lookedAgain, true)) {
      stoodStill(link);
    } else {  // it may have been this process: what lies in the kernel by the next poll still counts
      co_await scheduler_.turn();
      patience = Span{0};
    }
    const bool more = co_await link.connection->receive(scheduler_.now() + patience);
    if (more) {
      heard(link);
    } else if (link.connection->end() != Connection::End::none || link.connection->input().full()) {
      break;
    } else if (!quiet(link)) {
      break;
    }
  }
}

void ServerSide::stoodStill(Link& link) {
  learn(link.executor, link.route, reach::Lesson::silent);
  throw protocol::Unreadable("stood still within a message");
}

// No byte for a while. An idle connection goes before its executor closes it; one with work is asked whether
// it lives.
bool ServerSide::quiet(Link& link) {
  if (link.load() == 0) {
    if (!link.silent) link.asked.reset();
    return scheduler_.now() - link.used < bounds_.idleClose / 2;
  }
  // A message that the kernel takes no further will never be whole there: it may go another way.
  const std::uint64_t written = link.connection->written();
  const bool stuck = std::any_of(link.open.begin(), link.open.end(),
                                 [&](const auto& each) { return each.second->wholeAt > written; });
  if (stuck && link.writtenThen == written + 1) {
    learn(link.executor, link.route, reach::Lesson::silent);
    return false;
  }
  link.writtenThen = stuck ? written + 1 : 0;
  if (link.asked) {
    if (!link.silent) learn(link.executor, link.route, reach::Lesson::silent);
    if (!link.silent)
      say_("silent",
           Error(ErrorKind::peerSilent, "executor " + link.executor.id, "a connection answers nothing"),
           {{"engine", link.executor.id}, {"address", link.route}});
    link.silent = true;
  } else {
    link.asked = scheduler_.now();
    link.connection->send({Slice(protocol::resp::noop("is" + std::to_string(link.serial)))});
  }
  return true;
}

// An executor that answers here while an older connection stays silent no longer knows that one: the machine
// came back, or the path broke. One that answers nowhere may only be slow.
void ServerSide::heard(Link& link) {
  link.asked.reset();
  link.silent = false;
  for (Link* each : link.executor.links)
    if (each->silent && each->asked && each->serial < link.serial &&
        scheduler_.now() - *each->asked > bounds_.dialTimeout * kDeadDials)
      spoil(*each), each->connection->shut();
}

void ServerSide::spoil(Link& link) {
  if (!std::exchange(link.spoilt, true)) ++spoilt_;
}

void ServerSide::read(Link& link) {
  transport::Inbox& input = link.connection->input();
  for (;;) {
    const protocol::resp::Array array = protocol::resp::read(input.view());
    if (array.size == 0) {
      if (array.wanted > 0) input.expect(array.wanted);
      if (!link.midway && !input.view().empty()) link.midway = scheduler_.now();
      return;
    }
    link.midway.reset();
    answered(link, protocol::resp::readAnswer(array));
    input.consume(array.size);
  }
}

void ServerSide::answered(Link& link, const protocol::resp::Answer& answer) {
  if (answer.word == Word::alive) return;
  if (answer.word == Word::other)
    return say_("unsupported", "executors send messages that have no page; dropped");
  const auto at = link.open.find(std::string(answer.id));
  if (at == link.open.end()) return;  // given up meanwhile
  Sending& sending = *at->second;
  if (!std::exchange(link.spoke, true)) learn(link.executor, link.route, reach::Lesson::good, link.roundTrip);
  switch (answer.word) {
    case Word::full:
    case Word::over:
      if (sending.pagesWanted > 0) return;  // a second answer: the first counts, and says that it ran
      return over(link, sending, Outcome::turnedAway);
    case Word::ok:
      if (sending.pagesWanted > 0) return;  // a second copy: the first counts
      if (answer.pages < 1 || answer.pages > kMostPages) throw protocol::Unreadable("a count of pages");
      sending.pagesWanted = answer.pages;
      sending.pages.resize(answer.pages);
      for (std::uint32_t page = 1; page < answer.pages; ++page)
        link.connection->send({Slice(protocol::resp::next(sending.exchange.reference, page))});
      break;
    case Word::chunk:
      if (sending.pagesWanted == 0) return;  // ahead of its answer
      if (answer.page < 1 || answer.page >= sending.pagesWanted)
        throw protocol::Unreadable("a page that was not asked for");
      if (sending.pages[answer.page].view().data()) return;  // a second copy
      break;
    default:
      return over(link, sending, Outcome::error);
  }
  std::size_t held = answer.body.size();
  for (const Slice& page : sending.pages) held += page.size();
  if (!protocol::resp::wholeRows(answer.body) || held > protocol::resp::kLongestResult)
    throw protocol::Unreadable("a page that is not of whole rows, or more than a result holds");
  sending.pages[answer.page] = link.connection->input().keep(answer.body);
  if (++sending.pagesHeld == sending.pagesWanted) over(link, sending, Outcome::done);
}

void ServerSide::over(Link& link, Sending& sending, Outcome outcome) {
  link.open.erase(sending.exchange.reference);
  sending.link = nullptr;
  ends_.ended(sending, outcome);
}

// What was not wholly written never ran, and may go another way; anything else may have.
void ServerSide::lose(Link& link) {
  Executor& executor = link.executor;
  const std::uint64_t written = link.connection ? link.connection->written() : 0;
  std::erase(executor.links, &link);
  const bool early = link.connection && !link.spoke && !link.open.empty() && !link.silent;
  if (early) learn(executor, link.route, reach::Lesson::resetEarly);
  std::vector<std::pair<Sending*, reach::Fate>> ends;
  for (Sending* each : link.held) ends.emplace_back(each, reach::Fate::unreachable);
  for (const auto& [id, each] : link.open) {
    const Span left = std::chrono::duration_cast<Span>(each->leaveBy - scheduler_.now());
    ends.emplace_back(
        each, reach::fateOf({each->wholeAt <= written, link.spoilt, mayLeave(*each), each->moved, left},
                            executor.routes.all().size(), terms_));
  }
  for (const auto& [each, fate] : ends) each->link = nullptr;
  links_.erase(link.place);
  // Those that go on are on their way before any end is told: what that sets off may give them up again.
  for (const auto& [each, fate] : ends) {
    if (fate != reach::Fate::goesOn) continue;
    ++each->moved;
    ++moved_;
    each->wholeAt = 0;
    send(*each);
  }
  for (const auto& [each, fate] : ends) {
    if (fate == reach::Fate::goesOn) continue;
    ends_.ended(*each, fate == reach::Fate::reset    ? Outcome::reset
                       : fate == reach::Fate::spoilt ? Outcome::spoilt
                                                     : Outcome::unreachable);
  }
}

}  // namespace paddletrack::routing
