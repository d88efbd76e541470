#include "simwire/door.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace paddletrack::simwire {
namespace {

constexpr std::size_t kLargestMail = 256;
constexpr std::size_t kPeerNoteSize = 8;
constexpr float kPeerMemoryStep = 4;  // peers tell memory in steps of so many MB

Outcome outcomeOf(std::uint8_t code) {
  switch (code) {
    case 0:
      return Outcome::done;
    case 255:
      return Outcome::error;
    case 254:
      return Outcome::turnedAway;
    case 253:
      return Outcome::timedOut;
    case 252:
      return Outcome::unreachable;
    case 251:
      return Outcome::reset;
    case 250:
      return Outcome::withdrawn;
    case 249:
      return Outcome::neverSent;
    default:
      throw Malformed("resolved: outcome " + std::to_string(code) + " is unknown");
  }
}

}  // namespace

Door::Door(std::uint32_t instance, std::uint64_t clock, std::uint64_t seed, std::string_view settings,
           Writer& writer)
    : instance_(instance),
      start_(clock),
      told_(protocol::decode(protocol::pathsOfLines(settings))),
      writer_(writer),
      controller_(*this, told_.deployment, seed, Span{0}) {}

// ---- what comes in --------------------------------------------------------------------------------------

void Door::inbound(std::uint64_t clock, Reader& fields) {
  auto taken = std::make_unique<Job>();
  Job& job = *taken;
  job.number = fields.u32();
  job.taken = inside(clock);
  job.expires = inside(fields.u64());
  job.toldMemoryMb = fields.f32();
  const std::uint16_t bits = fields.u16();
  const std::uint32_t expected = fields.u32();
  if (bits & 1) job.toldCost = Span{expected};
  const std::uint8_t type = fields.u8();
  if (type >= told_.deployment.types.size()) {
    throw Malformed("inbound: reservation type " + std::to_string(type) + " is not in the settings");
  }
  job.type = &told_.deployment.types[type];
  job.key = fields.u64();
  job.customer = fields.u16();
  job.dataSet = static_cast<std::uint32_t>(fields.f32());
  fields.end();
  if (!jobs_.emplace(job.number, std::move(taken)).second) {
    throw Malformed("inbound: job " + std::to_string(job.number) + " came twice");
  }
  controller_.take(job.taken, job);
  forgetEnded();
}

void Door::resolved(std::uint64_t clock, Reader& fields) {
  const std::uint32_t id = fields.u32();
  const std::uint8_t number = fields.u8();
  fields.u32();
  const Outcome outcome = outcomeOf(fields.u8());
  fields.u32();
  const bool finished = fields.u8() != 0;
  const std::uint32_t note = fields.u32();
  const std::optional<LoadReport> load = report(fields);
  fields.end();
  Dispatch* ended = made(id, number);
  if (!ended || !ended->out) {
    throw Malformed("resolved: job " + std::to_string(id) + " has no dispatch " + std::to_string(number) +
                    " out");
  }
  std::optional<TrueCost> cost;
  if (outcome == Outcome::done && note != 0) cost = TrueCost{(note / 4096) / 1000.0, (note % 4096) * 4.0};
  controller_.ended(inside(clock), *ended, outcome, finished, cost, load ? &*load : nullptr);
  ended_.push_back(id);
  forgetEnded();
}

void Door::underWay(std::uint64_t clock, Reader& fields) {
  const std::uint32_t id = fields.u32();
  Dispatch* begun = made(id, fields.u8());
  fields.u32();
  fields.u32();
  fields.end();
  if (begun && begun->out) controller_.begun(inside(clock), *begun);
}

void Door::tickDue(std::uint64_t clock, Reader& fields) {
  fields.u32();
  fields.end();
  controller_.woken(inside(clock));
  forgetEnded();
}

void Door::mail(std::uint64_t clock, Reader& fields) {
  const std::uint32_t from = fields.u32();
  Reader data(fields.bytes(fields.u16()), "mail from " + std::to_string(from));
  fields.end();
  std::vector<PeerNote> notes;
  while (data.left() > 0) {
    const std::uint32_t id = data.u32();
    const float threads = data.u16(), memoryMb = data.u16() * kPeerMemoryStep;
    const auto at = engines_.find(id);  // a peer may know of engines that are not listed here yet
    if (at != engines_.end()) notes.push_back({at->second.get(), threads, memoryMb});
  }
  controller_.heard(inside(clock), from, notes);
  forgetEnded();
}

void Door::timedOutClient(std::uint64_t clock, Reader& fields) {
  const std::uint32_t id = fields.u32();
  fields.end();
  if (Job* left = job(id)) {
    controller_.gaveUp(inside(clock), *left);
    ended_.push_back(id);
    forgetEnded();
  }
}

void Door::change(std::uint64_t clock, Reader& fields) {
  const std::uint32_t id = fields.u32();
  Dispatch* noted = made(id, fields.u8());
  fields.u32();
  const std::uint8_t kind = fields.u8();
  const float value = fields.f32();
  fields.end();
  if (kind < 1 || kind > 3) throw Malformed("change: kind " + std::to_string(kind) + " is unknown");
  if (!noted || !noted->out) return;
  controller_.noted(inside(clock), *noted, static_cast<Note>(kind - 1), value);
  forgetEnded();
}

void Door::checkResult(std::uint64_t clock, Reader& fields) {
  Engine& probed = engine(fields.u32());
  const bool answered = fields.u8() == 0;
  fields.u32();
  const std::optional<LoadReport> load = report(fields);
  fields.end();
  controller_.probed(inside(clock), probed, answered, load ? &*load : nullptr);
  forgetEnded();
}

void Door::update(std::uint64_t clock, std::uint8_t how, const std::vector<Entry>* entries) {
  if (!entries) return controller_.listFailed(inside(clock));
  Listings listings;
  for (const Entry& entry : *entries) {
    if (entry.listing.kind >= told_.deployment.machines.size()) {
      throw Malformed("register: machine kind " + std::to_string(entry.listing.kind) +
                      " is not in the settings");
    }
    std::unique_ptr<Engine>& known = engines_[entry.executor];
    if (!known) {
      known = std::make_unique<Engine>();
      known->number = entry.executor;
    }
    Listing listing = entry.listing;
    if (entry.launched > 0) listing.started = inside(entry.launched);
    listings.emplace_back(known.get(), listing);
  }
  controller_.listed(inside(clock), how != 0, listings);
  forgetEnded();
}

// ---- what goes out --------------------------------------------------------------------------------------

void Door::dispatch(Dispatch& made) {
  record(12).u32(made.job->number).u64(outside(made.until)).u32(made.engine->number);
}

void Door::terms(Job& job, double grantMb, int priority) {
  record(4).u32(job.number).f32(static_cast<float>(grantMb)).u8(static_cast<std::uint8_t>(priority));
}

void Door::throttle(Job& job, Span comeBackIn) {
  record(3).u32(job.number).u32(static_cast<std::uint32_t>(comeBackIn.count()));
  ended_.push_back(job.number);
}

void Door::cancelForGood(Job& job) {
  record(2).u32(job.number);
  ended_.push_back(job.number);
}

void Door::withdraw(Dispatch& made) { record(1).u32(made.job->number).u8(made.number); }

void Door::wakeAt(Span when) { record(0).u64(outside(when)).u32(0); }

void Door::probe(Engine& engine) { record(11).u32(engine.number); }

void Door::tellPeers(const std::vector<PeerNote>& notes) {
  const auto steps = [](float value) {
    return static_cast<std::uint64_t>(std::lround(std::clamp(value, 0.0F, 65535.0F)));
  };
  std::string data;
  for (const PeerNote& note : notes) {
    if (data.size() + kPeerNoteSize > kLargestMail) break;
    put(data, note.engine->number, 4);
    put(data, steps(note.threads), 2);
    put(data, steps(note.memoryMb / kPeerMemoryStep), 2);
  }
  record(6).u16(0xffff).text(data);
}

void Door::watchList() { record(9).u8(1); }

void Door::log(std::string_view text) { record(7).text(text); }

// ---- ids, times -----------------------------------------------------------------------------------------

Span Door::inside(std::uint64_t clock) const { return Span{static_cast<std::int64_t>(clock - start_)}; }

std::uint64_t Door::outside(Span time) const { return start_ + static_cast<std::uint64_t>(time.count()); }

Writer& Door::record(std::uint8_t code) { return writer_.record(code, instance_); }

Job* Door::job(std::uint32_t id) {
  const auto at = jobs_.find(id);
  return at == jobs_.end() ? nullptr : at->second.get();
}

Dispatch* Door::made(std::uint32_t id, std::uint8_t number) {
  const Job* known = job(id);
  return known && number < known->dispatches.size() ? known->dispatches[number].get() : nullptr;
}

Engine& Door::engine(std::uint32_t id) {
  const auto at = engines_.find(id);
  if (at == engines_.end()) throw Malformed("engine " + std::to_string(id) + " is in no list");
  return *at->second;
}

std::optional<LoadReport> Door::report(Reader& fields) {
  const std::uint8_t count = fields.u8();
  if (count == 0) return std::nullopt;
  LoadReport read;
  for (std::uint8_t each = 0; each < count; ++each) {
    const double value = fields.f32();
    if (each >= told_.reportNames.size()) continue;
    const std::string& name = told_.reportNames[each];
    if (name == "outstanding") read.jobsHeld = value;
    if (name == "utilization") read.coresBusy = value;
    if (name == "x0") read.memoryGranted = value;
    if (name == "x1") read.disksBusy = value;
  }
  return read;
}

void Door::forgetEnded() {
  for (const std::uint32_t id : ended_) {
    const Job* known = job(id);
    if (known && known->over && known->out() == 0) jobs_.erase(id);
  }
  ended_.clear();
}

}  // namespace paddletrack::simwire
