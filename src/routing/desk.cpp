#include "routing/desk.hpp"

#include <algorithm>
#include <exception>

#include "fault/fault.hpp"

namespace paddletrack::routing {

namespace {

Exchange& exchangeOf(Job& job) { return static_cast<Exchange&>(job); }

}  // namespace

Desk::Desk(transport::Scheduler& scheduler, transport::Unsent& unsent, const protocol::Told& told,
           const Bounds& bounds, std::uint64_t seed, const Say& say)
    : scheduler_(scheduler),
      told_(told),
      bounds_(bounds),
      say_(say),
      start_(scheduler.now()),
      startOnClock_(std::chrono::system_clock::now()),
      tellWithdrawn_(scheduler, [this] { tellWithdrawn(); }),
      wake_(scheduler,
            [this] {
              decide([this] { controller_.woken(now()); });
              forgetEnded();
            }),
      servers_(scheduler, unsent, bounds.links, *this, say),
      controller_(*this, told.deployment, seed, Span{0}) {}

Span Desk::now() const { return std::chrono::duration_cast<Span>(scheduler_.now() - start_); }

// The module decides in steps, each with calls back to here: one that breaks off leaves job, dispatches and
// counts at odds. Going on, or even taking all down in order, would answer from what is not so.
template <typename Step>
void Desk::decide(Step step) {
  try {
    step();
  } catch (const std::exception& error) {
    if (broken_) broken_(typed(error, "a decision under way"));
    std::terminate();
  }
}

// ---- what comes in --------------------------------------------------------------------------------------

void Desk::take(std::unique_ptr<Exchange> taken) {
  Exchange& exchange = *taken;
  PADDLETRACK_TABLE("jobs");
  exchange.place = exchanges_.emplace(exchanges_.end());
  try {
    PADDLETRACK_TABLE("references");
    held_.insert(exchange.reference);
  } catch (const std::bad_alloc&) {
    exchanges_.erase(exchange.place);
    throw;
  }
  *exchange.place = std::move(taken);
  if (end_) exchange.expires = std::min(exchange.expires, *end_);
  ++counts_.taken;
  decide([&] { controller_.take(now(), exchange); });
  forgetEnded();
}

void Desk::left(Exchange& exchange) {
  exchange.asker = nullptr;
  ++counts_.left;
  if (recorder_) recorder_->over(now(), exchange, false);
  touch(exchange);
  decide([&] { controller_.gaveUp(now(), exchange); });
  forgetEnded();
}

void Desk::ended(Sending& sending, Outcome outcome) {
  // Withdrawn since this end came up: that one is told in its turn, and only one end is.
  if (std::find(withdrawn_.begin(), withdrawn_.end(), &sending) != withdrawn_.end()) return;
  Exchange& exchange = sending.exchange;
  if (outcome == Outcome::done && !exchange.over) {
    exchange.pages = std::move(sending.pages);
    answer(exchange, Exchange::Answer::done);
  }
  tell(sending, outcome);
}

// At the end of its window for repeats what has not left whole is kept back; else at the end of its time.
void Desk::timedOut(Sending& sending) {
  if (scheduler_.now() < sending.until) {
    if (!takeBack(sending.dispatch)) sending.timeout.at(sending.until);
    return;
  }
  servers_.giveUp(sending);
  tell(sending, Outcome::timedOut);
}

void Desk::tellWithdrawn() {
  for (Sending* each : std::exchange(withdrawn_, {}))
    tell(*each, each->takenBack ? Outcome::neverSent : Outcome::withdrawn);
}

void Desk::tell(Sending& sending, Outcome outcome) {
  sending.timeout.cancel();
  sending.pages.clear();
  ++counts_.ends[static_cast<std::size_t>(outcome)];
  touch(sending.exchange);
  const bool over = sending.exchange.over || outcome == Outcome::done;
  decide([&] { controller_.ended(now(), sending.dispatch, outcome, over, std::nullopt, nullptr); });
  forgetEnded();
}

void Desk::listed(const protocol::Change& change) {
  Listings listings;
  for (const protocol::Entry& entry : change.entries) {
    Listing listing;
    try {
      listing.location =
          static_cast<unsigned>(protocol::placeOf(told_.locationNames, entry.location, "zone"));
      listing.kind = static_cast<unsigned>(protocol::placeOf(told_.machineNames, entry.kind, "kind"));
      if (entry.more.empty()) transport::Address{entry.address};  // throws where it is none
    } catch (const std::exception& error) {
      say_("changelog",
           Error(ErrorKind::entryUnusable, "executor " + entry.id,
                 std::string("passed over: ") + error.what()),
           {{"engine", entry.id}});
      continue;
    }
    listing.cell = entry.cell;
    listing.standing = entry.standing;
    if (entry.startedMs > 0) {
      const std::chrono::system_clock::time_point started{std::chrono::milliseconds(entry.startedMs)};
      listing.started = std::chrono::duration_cast<Span>(started - startOnClock_);
    }
    auto at = executors_.find(entry.id);
    if (at == executors_.end()) {
      auto made = std::make_unique<Executor>();
      made->id = entry.id;
      PADDLETRACK_TABLE("executors");
      at = executors_.emplace(entry.id, std::move(made)).first;
      at->second->number = ++numbers_;
      say_("list", "engine " + std::to_string(at->second->number) + " is executor " + entry.id,
           {{"engine", entry.id}, {"number", std::to_string(at->second->number)}});
    }
    Executor* const known = at->second.get();
    // Another process answers there now, or none: what is open may still end, nothing new goes that way.
    const bool same = known->listing.started == listing.started;
    if (listing.standing != Standing::ready || !same) servers_.retire(*known);
    std::vector<std::string> names = entry.more;
    if (std::find(names.begin(), names.end(), entry.address) == names.end())
      names.insert(names.begin(), entry.address);
    servers_.readdress(*known, names, !same);
    gone_.erase(known);
    if (listing.standing == Standing::gone) gone_.insert(known);
    listings.emplace_back(known, listing);
  }
  // What a whole list leaves out has gone as well.
  const auto named = [&](const Executor* each) {
    return std::any_of(listings.begin(), listings.end(), [&](const auto& at) { return at.first == each; });
  };
  for (const auto& [id, known] : executors_) {
    if (!change.whole || named(known.get())) continue;
    servers_.retire(*known);
    gone_.insert(known.get());
  }
  decide([&] { controller_.listed(now(), change.whole, listings); });
  forgetEnded();
}

void Desk::listFailed() {
  if (!std::exchange(asked_, false)) return;
  decide([&] { controller_.listFailed(now()); });
  forgetEnded();
}

std::string Desk::counts() const {
  static constexpr std::array<const char*, 9> kEnds{"done",      "error",       "turned away",
                                                    "timed out", "unreachable", "reset",
                                                    "withdrawn", "never sent",  "spoilt"};
  std::string line = std::to_string(exchanges_.size()) + " open, " + std::to_string(counts_.taken) +
                     " taken, " + std::to_string(counts_.answers[1]) + " done, " +
                     std::to_string(counts_.answers[2]) + " throttled, " +
                     std::to_string(counts_.answers[3]) + " cancelled, " + std::to_string(counts_.left) +
                     " left; dispatches:";
  for (std::size_t each = 0; each < kEnds.size(); ++each)
    if (counts_.ends[each] > 0) line += " " + std::to_string(counts_.ends[each]) + " " + kEnds[each];
  return line + "; " + std::to_string(executors_.size()) + " executors known of " + std::to_string(numbers_) +
         ", " + servers_.counts();
}

void Desk::answerBy(Span end) {
  PADDLETRACK_TABLE("answer_by");
  end_ = end;
  for (const auto& exchange : exchanges_) {
    exchange->expires = std::min(exchange->expires, end);
    for (const auto& sending : exchange->sendings) {
      if (!sending->dispatch.out) continue;
      sending->until = std::min(sending->until, outside(end));
      sending->leaveBy = std::min(sending->leaveBy, sending->until);
      sending->timeout.at(sending->leaveBy);
    }
  }
}

void Desk::endAll() {
  std::vector<Job*> jobs;
  for (const auto& each : exchanges_)
    if (!each->over) jobs.push_back(each.get());
  decide([&] { controller_.letGo(now(), jobs); });
  forgetEnded();
}

std::size_t Desk::dispatchesOut() const {
  std::size_t out = 0;
  for (const auto& each : exchanges_) out += static_cast<std::size_t>(each->out());
  return out;
}

Desk::Found Desk::setAddress(const std::string& engine, const std::string& address,
                             reach::Routes::ByHand what, Span until) {
  const auto at = executors_.find(engine);
  if (at == executors_.end()) return Found::noEngine;
  return at->second->routes.set(servers_.clock(), address, what, until) ? Found::yes : Found::noAddress;
}

// ---- what goes out --------------------------------------------------------------------------------------

void Desk::dispatch(Dispatch& made) {
  if (recorder_) recorder_->started(made);
  PADDLETRACK_TABLE("dispatches");
  Exchange& exchange = exchangeOf(*made.job);
  exchange.sendings.push_back(std::make_unique<Sending>(exchange, made, scheduler_));
  Sending& sending = *exchange.sendings.back();
  sending.timeout.then([this, &sending] { timedOut(sending); });
  sending.until = outside(made.until);
  sending.leaveBy = leaveBy(made);
  sending.timeout.at(sending.leaveBy);
  sending.incarnation = static_cast<Executor*>(made.engine)->incarnation;
  ++static_cast<Executor*>(made.engine)->known;
  ++static_cast<Executor*>(made.engine)->sent;
  if (leaning_) leaning_->dispatched(exchange.dataSet, *static_cast<Executor*>(made.engine));
  servers_.send(sending);
}

// The window in which the module repeats a keyed job, as it holds it: from when the first may have run.
transport::Moment Desk::leaveBy(const Dispatch& made) const {
  Span by = made.until;
  const ReservationType& type = *made.job->type;
  if (type.effect == Effect::keyed)
    for (const auto& each : made.job->dispatches)
      if (each.get() != &made && !each->provenUnrun)
        by = std::min(by, each->sent + type.repeatWindow - told_.deployment.tick);
  return outside(by);
}

void Desk::terms(Job& job, double grantMb, int priority) {
  Exchange& exchange = exchangeOf(job);
  exchange.grantMb = grantMb;
  if (std::exchange(exchange.priority, priority) == priority) return;
  for (const auto& each : exchange.sendings)
    if (each->dispatch.out) servers_.prioritise(*each);
}

void Desk::throttle(Job& job, Span comeBackIn) {
  exchangeOf(job).comeBackIn = comeBackIn;
  answer(exchangeOf(job), Exchange::Answer::throttled);
}

void Desk::cancelForGood(Job& job) { answer(exchangeOf(job), Exchange::Answer::cancelled); }

void Desk::answer(Exchange& exchange, Exchange::Answer made) {
  touch(exchange);
  exchange.answer = made;
  if (recorder_) recorder_->over(now(), exchange, made == Exchange::Answer::done);
  ++counts_.answers[static_cast<std::size_t>(made)];
  if (Exchange::Asker* asker = std::exchange(exchange.asker, nullptr)) asker->answered(exchange);
  if (answered_) answered_(exchange);
  exchange.pages.clear();
}

// An end that is already on its way to be told stays what it is.
void Desk::withdraw(Dispatch& made) {
  Sending& sending = *exchangeOf(*made.job).sendings[made.number];
  if (!sending.dispatch.out) return;
  if (std::find(withdrawn_.begin(), withdrawn_.end(), &sending) != withdrawn_.end()) return;
  sending.takenBack = servers_.takeBack(sending);
  if (!sending.takenBack) servers_.giveUp(sending);
  sending.timeout.cancel();
  withdrawn_.push_back(&sending);
  tellWithdrawn_.soon();
}

bool Desk::takeBack(Dispatch& made) {
  Sending& sending = *exchangeOf(*made.job).sendings[made.number];
  if (!made.out || std::find(withdrawn_.begin(), withdrawn_.end(), &sending) != withdrawn_.end())
    return false;
  if (!servers_.takeBack(sending)) return false;
  sending.takenBack = true;
  sending.timeout.cancel();
  withdrawn_.push_back(&sending);
  tellWithdrawn_.soon();
  return true;
}

void Desk::wakeAt(Span when) { wake_.at(outside(when)); }

void Desk::probe(Engine&) { say_("unsupported", "these pages have no message for probes"); }

void Desk::tellPeers(const std::vector<PeerNote>&) {
  say_("unsupported", "these pages have no message for peers");
}

// The change log is always followed; what may fail is told in its time.
void Desk::watchList() { asked_ = true; }

void Desk::weighed(const Job& job, const std::vector<Weighed>& all) {
  if (recorder_) recorder_->weighed(job, all);
}

void Desk::lookBack(hindsight::Recorder& recorder) {
  recorder_ = &recorder;
  controller_.tellWeighed(true);
}

void Desk::log(std::string_view text) { say_("module", std::string(text)); }

// ---- lives ----------------------------------------------------------------------------------------------

void Desk::touch(Exchange& exchange) {
  if (!std::exchange(exchange.touched, true)) touched_.push_back(&exchange);
}

void Desk::forgetEnded() {
  for (Exchange* each : std::exchange(touched_, {})) {
    each->touched = false;
    if (!each->over) continue;
    // Where nothing may be withdrawn a dispatch stays out, but one that has not left does not leave any more.
    for (const auto& sending : each->sendings) takeBack(sending->dispatch);
    if (each->out() > 0) continue;
    held_.erase(each->reference);
    for (const auto& sending : each->sendings) --static_cast<Executor*>(sending->dispatch.engine)->known;
    exchanges_.erase(each->place);
  }
  std::erase_if(gone_, [this](Executor* each) {
    if (each->known > 0 || !each->links.empty()) return false;
    decide([&] { controller_.forget(*each); });
    executors_.erase(std::string(each->id));
    return true;
  });
}

}  // namespace paddletrack::routing
