#include "operating/keeper.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace paddletrack::operating {

Keeper::Keeper(transport::Scheduler& scheduler, routing::Desk& desk, routing::ClientSide& clients,
               std::string name, const drain::Terms& terms, const Say& say, std::function<void()> exit)
    : scheduler_(scheduler),
      desk_(desk),
      clients_(clients),
      name_(std::move(name)),
      say_(say),
      exit_(std::move(exit)),
      drain_(terms),
      outlook_(desk.told().deployment.types.size()),
      look_(scheduler, [this] { look(); }) {
  clients_.guard(this);
}

Keeper::~Keeper() {
  clients_.guard(nullptr);
  desk_.tellAnswered(nullptr);
}

void Keeper::learnLengths() {
  desk_.tellAnswered([this](const routing::Exchange& answered) {
    if (answered.answer == routing::Exchange::Answer::done)
      outlook_.done(answered.type->index, desk_.now() - answered.taken);
  });
}

drain::Refusal Keeper::ask(std::optional<Span> deadline, std::optional<Span> comeBack,
                           const std::string& by) {
  const drain::State before = drain_.state();
  const drain::Refusal refused = drain_.ask(desk_.now(), deadline, comeBack, books());
  if (refused != drain::Refusal::none) return refused;
  const drain::Course& course = *drain_.course();
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(course.deadline - desk_.now()).count();
  say_("drain",
       "drain " + std::to_string(course.number) + " asked by " + by + ", deadline in " +
           std::to_string(left) + " ms",
       {{"drain", std::to_string(course.number)}, {"by", by}, {"deadline_ms", std::to_string(left)}});
  if (drain_.state() != before) enters(before);
  look();
  return refused;
}

drain::Refusal Keeper::cancel(const std::string& by) {
  const drain::State before = drain_.state();
  const drain::Refusal refused = drain_.cancel(desk_.now());
  if (refused != drain::Refusal::none) return refused;
  say_("drain", "drain " + std::to_string(drain_.course()->number) + " cancelled by " + by,
       {{"drain", std::to_string(drain_.course()->number)}, {"by", by}});
  enters(before);
  look();
  return refused;
}

void Keeper::stop() {
  if (drain_.stopping()) return;
  Span longest{0};
  for (const ReservationType& type : desk_.told().deployment.types)
    longest = std::max(longest, type.jobTimeout);
  drain_.stop(desk_.now(), longest);
  const Span answersBy = *drain_.answersBy();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(answersBy - desk_.now()).count();
  say_("leaving", std::to_string(desk_.open()) + " requests open, " + std::to_string(left) + " ms at most");
  desk_.answerBy(answersBy);
  look();
}

bool Keeper::beat() {
  const drain::State before = drain_.state();
  const bool good = drain_.beat(desk_.now());
  if (drain_.state() != before) enters(before);
  if (before == drain::State::leaving) look();  // from the first bad one on its time runs
  return good;
}

std::optional<Span> Keeper::turnsAway() {
  const std::optional<Span> wait = drain_.turnsAway();
  if (!wait) return std::nullopt;
  ++turnedAway_;
  const Deployment& site = desk_.told().deployment;
  return site.comeBackHeard ? std::min(*wait, site.longestComeBack) : Span{0};
}

drain::Books Keeper::books() const {
  drain::Books books;
  desk_.eachOpen([&](const routing::Exchange&) { ++books.jobs; });
  books.unsent = clients_.unsent();
  books.coming = clients_.coming();
  books.connections = clients_.ending();
  books.answers = desk_.totals().answers;
  books.answers[0] = desk_.totals().left;
  books.turnedAway = turnedAway_;
  return books;
}

void Keeper::look() {
  for (int round = 0; round < 2; ++round) {
    const drain::State before = drain_.state();
    const drain::Drain::Act act = drain_.look(desk_.now(), books());
    if (drain_.state() != before) enters(before);
    if (act.close) clients_.close();
    if (act.exit) {
      say_("leaving", std::to_string(desk_.open()) + " requests open at the end");
      return exit_();
    }
    if (!act.endJobs) break;
    desk_.endAll();
  }
  if (const auto next = drain_.nextLook(desk_.now()))
    look_.at(scheduler_.now() + std::max(*next - desk_.now(), Span{1000}));
}

void Keeper::enters(drain::State before) {
  const drain::Course* course = drain_.course();
  std::string line = std::string(nameOf(before)) + " -> " + nameOf(drain_.state());
  if (drain_.state() == drain::State::drained) line += course->missed ? ", its deadline missed" : ", in time";
  if (drain_.state() == drain::State::ending && course->missed)
    line += ", " + std::to_string(course->endedByDeadline) + " jobs are ended by the deadline";
  say_("drain", line,
       {{"drain", std::to_string(course ? course->number : 0)}, {"state", nameOf(drain_.state())}});
  if (changed_) changed_();
}

Status Keeper::status() const {
  Status told;
  const Span now = desk_.now();
  told.name = name_;
  told.process = static_cast<std::uint64_t>(::getpid());
  told.state = drain_.state();
  told.stopping = drain_.stopping();
  told.up = now;
  std::vector<std::size_t> byType(desk_.told().typeNames.size());
  std::vector<drain::Outlook::Open> open;
  desk_.eachOpen([&](const routing::Exchange& each) {
    ++told.open.jobs;
    ++byType[each.type->index];
    const Span left = std::max(each.expires - now, Span{0});
    told.open.longestLeft = std::max(told.open.longestLeft, left);
    open.push_back({each.type->index, now - each.taken, left});
  });
  for (std::size_t each = 0; each < byType.size(); ++each)
    told.open.byType.emplace_back(desk_.told().typeNames[each], byType[each]);
  told.open.dispatches = desk_.dispatchesOut();
  told.open.unsent = clients_.unsent();
  told.open.connections = clients_.connected();
  const routing::Desk::Totals& totals = desk_.totals();
  told.taken = totals.taken;
  told.left = totals.left;
  told.done = totals.answers[1];
  told.throttled = totals.answers[2];
  told.cancelled = totals.answers[3];
  told.turnedAway = turnedAway_;
  told.expectedEnd = outlook_.end(open);
  if (share_) told.share = share_();
  if (list_) told.list = list_();
  if (hindsight_) told.hindsight = hindsight_();
  if (const drain::Course* course = drain_.course()) {
    Status::Course& made = told.drain.emplace();
    made.number = course->number;
    made.askedAgo = now - course->asked;
    made.deadlineIn = course->deadline - now;
    made.comeBack = course->comeBack;
    made.frontTold = course->told.has_value();
    made.missed = course->missed;
    made.cancelled = course->cancelled;
    if (course->drained) made.drainedAfter = *course->drained - course->asked;
    made.openAtAsk = course->before.jobs;
    made.endedByDeadline = course->endedByDeadline;
    made.left = totals.left - course->before.answers[0];
    made.done = totals.answers[1] - course->before.answers[1];
    made.throttled = totals.answers[2] - course->before.answers[2];
    made.cancelledForGood = totals.answers[3] - course->before.answers[3];
    made.turnedAway = turnedAway_ - course->before.turnedAway;
    if (told.expectedEnd && drain_.underWay())  // the deadline ends what is open then
      told.expectedEnd->in = std::min(told.expectedEnd->in, std::max(made.deadlineIn, Span{0}));
  }
  return told;
}

std::vector<Keeper::EngineView> Keeper::engines(const std::string& from, std::size_t most) const {
  std::vector<const routing::Executor*> all;
  desk_.eachExecutor([&](const routing::Executor& each) {
    if (each.id >= from) all.push_back(&each);
  });
  std::sort(all.begin(), all.end(), [](const auto* one, const auto* other) { return one->id < other->id; });
  if (all.size() > most) all.resize(most);
  const Span now = desk_.reachClock();
  std::vector<EngineView> views;
  for (const routing::Executor* each : all) {
    static constexpr std::array<const char*, 3> kStandings{"ready", "draining", "gone"};
    EngineView& view = views.emplace_back();
    view.id = each->id;
    view.standing = kStandings[static_cast<std::size_t>(each->listing.standing)];
    view.connections = each->links.size();
    view.dispatches = each->out.size();
    view.dialling = each->dialling;
    for (const reach::Route& route : each->routes.all()) {
      EngineView::AddressView& address = view.addresses.emplace_back();
      address.name = route.name;
      address.family = nameOf(route.family);
      address.state = nameOf(reach::standing(route, now));
      address.connections = static_cast<std::size_t>(
          std::count_if(each->links.begin(), each->links.end(),
                        [&](const routing::Link* link) { return link->route == route.name; }));
      if (route.lastGood) address.lastGoodAgo = now - *route.lastGood;
      if (route.lastBad) {
        address.lastBadAgo = now - *route.lastBad;
        address.lastBad = nameOf(route.lesson);
      }
      address.roundTrip = route.roundTrip;
      address.restsFor = route.badInRow > 0 ? std::max(route.restsUntil - now, Span{0}) : Span{0};
      for (const auto& until : {route.avoidedUntil, route.wantedUntil})
        if (until && *until > now) address.byHandLeft = *until - now;
    }
  }
  return views;
}

routing::Desk::Found Keeper::setAddress(const std::string& engine, const std::string& address,
                                        reach::Routes::ByHand what, Span until, const std::string& by) {
  const routing::Desk::Found found = desk_.setAddress(engine, address, what, until);
  if (found == routing::Desk::Found::yes)
    say_("address", "executor " + engine + " at " + address + ": set by hand, by " + by,
         {{"engine", engine}, {"address", address}, {"by", by}});
  return found;
}

}  // namespace paddletrack::operating
