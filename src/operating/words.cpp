#include "operating/words.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "operating/settings.hpp"

namespace paddletrack::operating {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::pair<const char*, Wish>, 6> kWishes{{{"status", Wish::status},
                                                               {"drain", Wish::drain},
                                                               {"cancel", Wish::cancel},
                                                               {"watch", Wish::watch},
                                                               {"engines", Wish::engines},
                                                               {"address", Wish::address}}};
constexpr std::array<std::pair<const char*, reach::Routes::ByHand>, 3> kByHand{
    {{"avoid", reach::Routes::ByHand::avoid},
     {"use", reach::Routes::ByHand::use},
     {"free", reach::Routes::ByHand::free}}};
constexpr Span kMostByHand{std::chrono::hours(24)};
constexpr Span kLeastEvery{std::chrono::milliseconds(20)}, kMostEvery{std::chrono::hours(1)};
constexpr std::size_t kLongestId = 64;

std::int64_t ms(Span span) { return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); }

// Nesting is bounded before the text is parsed: nothing here is deeper than two.
Json parse(std::string_view line) {
  int depth = 0;
  bool text = false;
  for (std::size_t at = 0; at < line.size(); ++at) {
    const char each = line[at];
    if (text && each == '\\') {
      ++at;
    } else if (each == '"') {
      text = !text;
    } else if (!text && (each == '{' || each == '[')) {
      if (++depth > 4) throw BadRequest("unreadable", "nested too deep");
    } else if (!text && (each == '}' || each == ']')) {
      --depth;
    }
  }
  Json read = Json::parse(line, nullptr, false);
  if (read.is_discarded() || !read.is_object())
    throw BadRequest("unreadable", "a JSON object a line is expected");
  return read;
}

std::optional<Span> span(const Json& from, const char* key) {
  const auto at = from.find(key);
  if (at == from.end() || at->is_null()) return std::nullopt;
  if (!at->is_number_integer())
    throw BadRequest("bad_value", std::string(key), "whole milliseconds are expected");
  constexpr std::int64_t kMost = 1000LL * 86400 * 365;
  const bool huge = at->is_number_unsigned() && at->get<std::uint64_t>() > static_cast<std::uint64_t>(kMost);
  const std::int64_t value = huge ? kMost : std::max<std::int64_t>(at->get<std::int64_t>(), -1);
  return std::chrono::milliseconds(std::min(value, kMost));
}

Json of(const Status::Share& share) {
  const auto load = [](const Status::Share::Load& each) {
    return Json{{"threads", each.threads}, {"jobs", each.jobs}};
  };
  Json peers = Json::array(), dropped = Json::object(), engines = Json::object();
  for (const auto& each : share.each)
    peers.push_back({{"address", each.address},
                     {"controller", each.owner.empty() ? Json(nullptr) : Json(each.owner)},
                     {"heard_ms_ago", each.heardAgo ? Json(ms(*each.heardAgo)) : Json(nullptr)}});
  for (const auto& [reason, count] : share.dropped) dropped[reason] = count;
  for (const auto& [name, sum] : share.engines) engines[name] = load(sum);
  return {{"cluster", share.cluster},
          {"controller", share.owner},
          {"generation", share.generation},
          {"later_lives", share.laterLives},
          {"peers", share.peers},
          {"peers_heard", share.peersHeard},
          {"each_peer", std::move(peers)},
          {"owners", share.owners},
          {"entries", share.entries},
          {"bytes", share.bytes},
          {"most_bytes", share.mostBytes},
          {"in", {{"datagrams", share.datagramsIn}, {"bytes", share.bytesIn}}},
          {"out", {{"datagrams", share.datagramsOut}, {"bytes", share.bytesOut}}},
          {"dropped", std::move(dropped)},
          {"fleet",
           {{"controllers", share.controllers},
            {"live", share.live},
            {"threads", share.all.threads},
            {"jobs", share.all.jobs},
            {"engines", std::move(engines)}}}};
}

Json of(const hindsight::Estimate& estimate) {
  if (!estimate.told()) return wordsOf(estimate.verdict);
  return {{"value", estimate.value}, {"low", estimate.low}, {"high", estimate.high}};
}

Json of(const hindsight::Told& told) {
  Json classes = Json::array(), engines = Json::object(), locations = Json::object();
  for (const auto& each : told.classes) {
    Json others = Json::object();
    for (const auto& other : each.others)
      others[other.name] = {{"within_reach", other.reach},
                            {"out_of_reach", other.beyond},
                            {"effective_jobs", other.effective},
                            {"in_time", of(other.value[0])},
                            {"latency_s", of(other.value[1])},
                            {"in_time_change", of(other.better[0])},
                            {"latency_change_s", of(other.better[1])}};
    classes.push_back({{"class", each.name.empty() ? Json(nullptr) : Json(each.name)},
                       {"jobs", each.jobs},
                       {"in_time", each.inTime},
                       {"latency_s", each.latency},
                       {"had_it_been", std::move(others)}});
  }
  const auto place = [](const hindsight::Told::Place& each) {
    return Json{{"jobs", each.jobs},
                {"in_time_regret", of(each.regret[0])},
                {"latency_regret_s", of(each.regret[1])}};
  };
  for (const auto& each : told.engines) engines[each.name] = place(each);
  for (const auto& each : told.locations) locations[each.name] = place(each);
  return {{"controllers", told.controllers},
          {"explained", told.explained},
          {"classes", std::move(classes)},
          {"engines", std::move(engines)},
          {"locations", std::move(locations)}};
}

Json of(const Status::Hindsight& looked) {
  Json made{{"window_ms", ms(looked.window)},
            {"records", looked.records},
            {"held", looked.held},
            {"open", looked.open},
            {"finished", looked.finished},
            {"dropped", looked.dropped},
            {"own", of(looked.own)},
            {"fleet", nullptr}};
  if (looked.fleet) made["fleet"] = of(*looked.fleet);
  return made;
}

Json of(const Status& status) {
  Json open{{"jobs", status.open.jobs}};
  Json byType = Json::object();
  for (const auto& [name, count] : status.open.byType) byType[name] = count;
  open["by_type"] = std::move(byType);
  open["dispatches"] = status.open.dispatches;
  open["bytes_unsent"] = status.open.unsent;
  open["longest_left_ms"] = ms(status.open.longestLeft);
  Json made{{"name", status.name},
            {"process", status.process},
            {"state", nameOf(status.state)},
            {"stopping", status.stopping},
            {"up_ms", ms(status.up)},
            {"connections", status.open.connections},
            {"open", std::move(open)},
            {"totals",
             {{"taken", status.taken},
              {"done", status.done},
              {"throttled", status.throttled},
              {"cancelled", status.cancelled},
              {"left", status.left},
              {"turned_away", status.turnedAway}}}};
  made["expected_end"] = nullptr;
  if (status.expectedEnd)
    made["expected_end"] = {{"estimate", true},
                            {"in_ms", ms(status.expectedEnd->in)},
                            {"from_answers", status.expectedEnd->from}};
  if (status.share) made["share"] = of(*status.share);
  made["list"] = nullptr;
  if (const auto& list = status.list) {
    const auto in = [](const std::optional<Span>& span) { return span ? Json(ms(*span)) : Json(nullptr); };
    made["list"] = {{"number", list->number},          {"following", list->following},
                    {"behind", list->behind},          {"dials", list->dials},
                    {"failures", list->failures},      {"next_dial_in_ms", in(list->nextDialIn)},
                    {"moves_in_ms", in(list->movesIn)}};
  }
  if (status.hindsight) made["hindsight"] = of(*status.hindsight);
  made["drain"] = nullptr;
  if (!status.drain) return made;
  const Status::Course& drain = *status.drain;
  made["drain"] = {{"number", drain.number},
                   {"asked_ms_ago", ms(drain.askedAgo)},
                   {"deadline_in_ms", ms(drain.deadlineIn)},
                   {"come_back_ms", ms(drain.comeBack)},
                   {"front_told", drain.frontTold},
                   {"open_at_ask", drain.openAtAsk},
                   {"since_ask",
                    {{"done", drain.done},
                     {"throttled", drain.throttled},
                     {"cancelled", drain.cancelledForGood},
                     {"left", drain.left},
                     {"turned_away", drain.turnedAway}}},
                   {"ended_by_deadline", drain.endedByDeadline},
                   {"missed", drain.missed},
                   {"cancelled", drain.cancelled},
                   {"drained_after_ms", nullptr}};
  if (drain.drainedAfter) made["drain"]["drained_after_ms"] = ms(*drain.drainedAfter);
  return made;
}

std::string line(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace

Request readRequest(std::string_view text, std::string& id) {
  const Json read = parse(text);
  Request request;
  if (const auto at = read.find("id"); at != read.end()) {
    if (!at->is_string() && !at->is_number_integer() && !at->is_null())
      throw BadRequest("bad_value", "id", "a text or a whole number is expected");
    id = at->dump(-1, ' ', false, Json::error_handler_t::replace);
    if (id.size() > kLongestId) {
      id = "null";
      throw BadRequest("bad_value", "id", std::to_string(kLongestId) + " bytes at most");
    }
  }
  request.id = id;
  const auto version = read.find("v");
  if (version == read.end() || !version->is_number_integer())
    throw BadRequest("bad_version", "v", "the version is expected, " + std::to_string(kVersion));
  if (*version != kVersion)
    throw BadRequest("bad_version", "v", "this door speaks version " + std::to_string(kVersion) + " alone");
  const auto wish = read.find("do");
  if (wish == read.end() || !wish->is_string())
    throw BadRequest("bad_value", "do", "what is wanted is expected");
  const std::string& wanted = wish->get_ref<const std::string&>();
  const auto* known =
      std::find_if(kWishes.begin(), kWishes.end(), [&](const auto& each) { return wanted == each.first; });
  if (known == kWishes.end()) {
    std::vector<std::string> names;
    for (const auto& each : kWishes) names.emplace_back(each.first);
    const std::string near = nearest(wanted.substr(0, 40), names);
    throw BadRequest(
        "unknown_wish", "do",
        "'" + wanted.substr(0, 40) + "' is unknown" + (near.empty() ? "" : "; '" + near + "' is meant?"));
  }
  request.wish = known->second;
  for (const auto& [key, value] : read.items()) {
    const bool usual = key == "v" || key == "id" || key == "do";
    const bool ofDrain = request.wish == Wish::drain && (key == "deadline_ms" || key == "come_back_ms");
    const bool ofEngines = request.wish == Wish::engines && key == "from";
    const bool ofAddress = request.wish == Wish::address &&
                           (key == "engine" || key == "address" || key == "what" || key == "for_ms");
    if (!usual && !ofDrain && !ofEngines && !ofAddress && !(request.wish == Wish::watch && key == "every_ms"))
      throw BadRequest("unknown_key", "'" + key.substr(0, 40) + "' is not known of " + known->first);
  }
  const auto textOf = [&](const char* key, bool needed) {
    const auto at = read.find(key);
    if (at == read.end() && !needed) return std::string();
    if (at == read.end() || !at->is_string())
      throw BadRequest("bad_value", std::string(key), "a text is expected");
    return at->get<std::string>();
  };
  if (request.wish == Wish::engines) request.from = textOf("from", false);
  if (request.wish == Wish::address) {
    request.engine = textOf("engine", true);
    request.address = textOf("address", true);
    const std::string what = textOf("what", true);
    const auto* hand =
        std::find_if(kByHand.begin(), kByHand.end(), [&](const auto& each) { return what == each.first; });
    if (hand == kByHand.end())
      throw BadRequest("bad_value", "what", "\"avoid\", \"use\" or \"free\" is expected");
    request.byHand = hand->second;
    request.until = span(read, "for_ms").value_or(Span{0});
    const bool free = request.byHand == reach::Routes::ByHand::free;
    if (!free && (request.until <= Span{0} || request.until > kMostByHand))
      throw BadRequest("bad_value", "for_ms",
                       "up to " + shownDuration(kMostByHand) + " is expected; it ends by itself");
  }
  request.deadline = span(read, "deadline_ms");
  request.comeBack = span(read, "come_back_ms");
  if (const auto every = span(read, "every_ms")) {
    if (*every < kLeastEvery || *every > kMostEvery)
      throw BadRequest("bad_value", "every_ms",
                       "from " + std::to_string(ms(kLeastEvery)) + " to " + std::to_string(ms(kMostEvery)) +
                           " is expected");
    request.every = *every;
  }
  return request;
}

std::string reply(const std::string& id, const Status& status) {
  return line({{"v", kVersion}, {"id", Json::parse(id)}, {"ok", true}, {"status", of(status)}});
}

std::string reply(const std::string& id) {
  return line({{"v", kVersion}, {"id", Json::parse(id)}, {"ok", true}});
}

std::string reply(const std::string& id, const std::vector<Keeper::EngineView>& engines) {
  Json all = Json::array();
  const auto ago = [](const std::optional<Span>& span) { return span ? Json(ms(*span)) : Json(nullptr); };
  for (std::size_t each = 0; each < std::min(engines.size(), kEnginesAtOnce); ++each) {
    const Keeper::EngineView& engine = engines[each];
    Json addresses = Json::array();
    for (const auto& address : engine.addresses) {
      Json made{{"address", address.name},
                {"family", address.family},
                {"state", address.state},
                {"connections", address.connections},
                {"last_good_ms_ago", ago(address.lastGoodAgo)},
                {"last_failure", nullptr},
                {"rests_ms", ms(address.restsFor)},
                {"connect_us", address.roundTrip ? Json(address.roundTrip->count()) : Json(nullptr)},
                {"by_hand_left_ms", ago(address.byHandLeft)}};
      if (address.lastBadAgo)
        made["last_failure"] = {{"what", address.lastBad}, {"ms_ago", ms(*address.lastBadAgo)}};
      addresses.push_back(std::move(made));
    }
    all.push_back({{"engine", engine.id},
                   {"standing", engine.standing},
                   {"connections", engine.connections},
                   {"dispatches", engine.dispatches},
                   {"dialling", engine.dialling},
                   {"addresses", std::move(addresses)}});
  }
  Json made{
      {"v", kVersion}, {"id", Json::parse(id)}, {"ok", true}, {"engines", std::move(all)}, {"next", nullptr}};
  if (engines.size() > kEnginesAtOnce) made["next"] = engines[kEnginesAtOnce].id;
  return line(made);
}

std::string progress(const Status& status) {
  return line({{"v", kVersion}, {"event", "progress"}, {"status", of(status)}});
}

std::string refusal(const std::string& id, const char* code, const std::string& text) {
  return line(
      {{"v", kVersion}, {"id", Json::parse(id)}, {"ok", false}, {"error", {{"code", code}, {"text", text}}}});
}

std::string refusal(const std::string& id, drain::Refusal refused, const drain::Terms& terms) {
  const std::string most = "from 0 to " + shownDuration(terms.longest) + " is expected (drain.longest)";
  switch (refused) {
    case drain::Refusal::badDeadline:
      return refusal(id, "bad_deadline", "deadline: " + most);
    case drain::Refusal::badComeBack:
      return refusal(id, "bad_come_back", "come back: " + most);
    case drain::Refusal::stopping:
      return refusal(id, "stopping", "the process was told to end (SIGTERM) and can't be brought back");
    default:
      return refusal(id, "not_draining", "it is not draining: nothing to cancel");
  }
}

std::string drainRequest(std::optional<Span> deadline, std::optional<Span> comeBack) {
  Json made{{"v", kVersion}, {"id", 1}, {"do", "drain"}};
  if (deadline) made["deadline_ms"] = ms(*deadline);
  if (comeBack) made["come_back_ms"] = ms(*comeBack);
  return line(made);
}
std::string cancelRequest() { return line({{"v", kVersion}, {"id", 1}, {"do", "cancel"}}); }
std::string statusRequest() { return line({{"v", kVersion}, {"id", 1}, {"do", "status"}}); }
std::string watchRequest(Span every) {
  return line({{"v", kVersion}, {"id", 1}, {"do", "watch"}, {"every_ms", ms(every)}});
}

std::string enginesRequest(const std::string& from) {
  return line({{"v", kVersion}, {"id", 1}, {"do", "engines"}, {"from", from}});
}
std::string addressRequest(const std::string& engine, const std::string& address, reach::Routes::ByHand what,
                           Span until) {
  const char* name = "";
  for (const auto& each : kByHand)
    if (each.second == what) name = each.first;
  Json made{{"v", kVersion},      {"id", 1},     {"do", "address"}, {"engine", engine},
            {"address", address}, {"what", name}};
  if (until > Span{0}) made["for_ms"] = ms(until);
  return line(made);
}

}  // namespace paddletrack::operating
