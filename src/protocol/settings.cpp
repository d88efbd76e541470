#include "protocol/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace paddletrack::protocol {
namespace {

constexpr double kMost = 1e12;  // of any rate, price or multiple: beyond it products lose their meaning
constexpr unsigned kMostDispatches = 255;  // of one job: what numbers them has eight bits
constexpr double kMostThreads = 1 << 16;   // of one job: more than any machine has
constexpr char kCommaWithin =
    '\x1f';  // stands for a comma within one value of a list (ASCII's unit separator)

std::vector<std::string> split(std::string_view text, char mark) {
  std::vector<std::string> parts;
  if (text.empty()) return parts;
  for (;;) {
    const std::size_t at = text.find(mark);
    parts.emplace_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

double number(const std::string& key, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw Unreadable("settings: " + key, "'" + std::string(text) + "' is not a number");
  }
  return value;
}

class Lines {
 public:
  explicit Lines(const Paths& values) : values_(values) {}

  bool has(const std::string& key) const { return values_.count(key) > 0; }
  std::string text(const std::string& key) const {
    const auto at = values_.find(key);
    return at == values_.end() ? std::string() : at->second;
  }
  // An absent number is zero, as the wire has it for every absent value.
  double real(const std::string& key) const { return within(key, 0, kMost); }
  unsigned whole(const std::string& key, double least = 0) const {
    if (text(key).empty()) return 0;
    const double value = within(key, least, 4e9);
    if (value != std::floor(value)) wrong(key, text(key), "is not a whole number");
    return static_cast<unsigned>(value);
  }
  // How many objects a list has: each has a path at least.
  unsigned count(const std::string& key) const {
    const unsigned all = whole(key);
    if (all > values_.size()) wrong(key, text(key), "is more than is there");
    return all;
  }
  Span time(const std::string& key) const { return Span{static_cast<std::int64_t>(within(key, 0, 1e15))}; }
  double within(const std::string& key, double least, double most) const {
    return text(key).empty() ? 0 : within(key, text(key), least, most);
  }
  bool yes(const std::string& key) const { return word(key, {"false", "true"}) == "true"; }
  // One of these, or absent. A word that is not known must not pass for the first of them.
  std::string word(const std::string& key, std::initializer_list<const char*> known) const {
    return word(key, text(key), known);
  }
  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> all = split(text(key), ',');
    for (std::string& each : all) std::replace(each.begin(), each.end(), kCommaWithin, ',');
    return all;
  }
  // Lists that run beside another: absent, or with a value for each of its `all`.
  double realAt(const std::string& key, std::size_t index, std::size_t all, double least) const {
    const std::vector<std::string> values = beside(key, all);
    return values.empty() ? 0 : within(key, values[index], least, kMost);
  }
  bool yesAt(const std::string& key, std::size_t index, std::size_t all) const {
    const std::vector<std::string> values = beside(key, all);
    return !values.empty() && word(key, values[index], {"false", "true"}) == "true";
  }

 private:
  [[noreturn]] static void wrong(const std::string& key, const std::string& value, const char* how) {
    throw Unreadable("settings: " + key, "'" + value.substr(0, 40) + "' " + how);
  }
  static double within(const std::string& key, const std::string& text, double least, double most) {
    const double value = number(key, text);
    if (value >= least && value <= most) return value;  // neither holds for NaN
    wrong(key, text, "is out of range");
  }
  static std::string word(const std::string& key, const std::string& text,
                          std::initializer_list<const char*> known) {
    if (text.empty() || std::find(known.begin(), known.end(), text) != known.end()) return text;
    wrong(key, text, "is unknown");
  }
  std::vector<std::string> beside(const std::string& key, std::size_t all) const {
    std::vector<std::string> values = list(key);
    if (!values.empty() && values.size() != all)
      wrong(key, text(key), ("has not a value for each of " + std::to_string(all)).c_str());
    return values;
  }

  const Paths& values_;
};

// A list of places or kinds, by index; a name is looked up among all names.
std::optional<std::vector<unsigned>> bound(const Lines& lines, const std::string& key,
                                           const std::string& names) {
  if (!lines.has(key)) return std::nullopt;
  const std::vector<std::string> all = lines.list(names);
  std::vector<unsigned> indices;
  for (const std::string& each : lines.list(key)) {
    const auto named = static_cast<std::size_t>(std::find(all.begin(), all.end(), each) - all.begin());
    const double index = named < all.size() ? static_cast<double>(named) : number(key, each);
    if (!(index >= 0 && index < static_cast<double>(all.size()) && index == std::floor(index)))
      throw Unreadable("settings: " + key, "'" + each + "' is none of " + names);
    indices.push_back(static_cast<unsigned>(index));
  }
  if (indices.empty()) throw Unreadable("settings: " + key, "'' names none of " + names);
  return indices;
}

void put(Paths& out, const std::string& path, const std::string& text) {
  if (!out.emplace(path, text).second) throw Unreadable("settings: " + path, "stands twice");
}

void flatten(const Json& value, const std::string& path, Paths& out) {
  const std::string inside = path.empty() ? "" : path + ".";
  if (const auto* members = std::get_if<Json::Members>(&value.value)) {
    for (const auto& [name, member] : *members) flatten(member, inside + name, out);
  } else if (const auto* elements = std::get_if<Json::Elements>(&value.value)) {
    const bool objects = !elements->empty() && std::holds_alternative<Json::Members>(elements->front().value);
    if (objects) put(out, inside + "count", std::to_string(elements->size()));
    std::string joined;
    for (std::size_t each = 0; each < elements->size(); ++each) {
      if (objects) {
        flatten((*elements)[each], inside + std::to_string(each), out);
        continue;
      }
      Paths one;
      flatten((*elements)[each], "", one);
      if (one.size() != 1) throw Unreadable("settings: " + path, "a list within a list");
      std::string text = one.begin()->second;
      std::replace(text.begin(), text.end(), ',', kCommaWithin);
      joined += (each > 0 ? "," : "") + text;
    }
    if (!objects) put(out, path, joined);
  } else if (const auto* text = std::get_if<std::string>(&value.value)) {
    put(out, path, *text);
  } else if (const auto* flag = std::get_if<bool>(&value.value)) {
    put(out, path, *flag ? "true" : "false");
  } else if (std::holds_alternative<double>(value.value)) {
    put(out, path, value.written);
  } else {
    if (path.empty()) out[path];  // null in a list; elsewhere as good as absent
  }
}

ReservationType type(const Lines& lines, std::size_t index, std::size_t all) {
  const std::string at = "profiles." + std::to_string(index) + ".";
  ReservationType made;
  made.index = index;
  const std::string effect = lines.text(at + "idempotency");
  const std::string group = lines.word(at + "group", {"all", "zone", "cell"});
  if (effect == "dedup")
    made.effect = Effect::keyed;
  else if (effect == "fragile")
    made.effect = Effect::runOnce;
  else if (effect != "retryable")
    throw Unreadable("settings: " + at + "idempotency", "'" + effect + "' is unknown");
  if (group == "zone") made.repeatGroup = RepeatGroup::location;
  if (group == "cell") made.repeatGroup = RepeatGroup::cell;
  made.repeatWindow = lines.time(at + "windowUs");
  made.inOrder = lines.yes(at + "fifoByKey");
  made.locations = bound(lines, at + "confinedTo", "zones");
  made.kinds = bound(lines, at + "machineTypesOnly", "machineTypes");
  made.slaTime = lines.time(at + "onTimeUs");
  made.slaStretch = lines.real(at + "aimStretch");
  made.jobTimeout = lines.time(at + "giveUpUs");
  made.lateValue = lines.real(at + "lateWorth");
  made.threads =
      static_cast<int>(std::clamp(lines.realAt("familyInfo.widthByClass", index, all, 1), 1.0, kMostThreads));
  made.load = lines.yesAt("familyInfo.loads", index, all);
  made.waits = lines.yesAt("familyInfo.yieldsToLoads", index, all);
  return made;
}

}  // namespace

Paths pathsOfLines(std::string_view lines) {
  Paths paths;
  for (const std::string& line : split(lines, '\n')) {
    if (line.empty()) continue;
    const std::size_t at = line.find('=');
    if (at == std::string::npos || at == 0) throw Unreadable("settings", "'" + line + "' is not path=value");
    paths[line.substr(0, at)] = line.substr(at + 1);
  }
  return paths;
}

Paths pathsOfJson(const Json& settings) {
  Paths paths;
  flatten(settings, "", paths);
  return paths;
}

Told decode(const Paths& paths) {
  const Lines lines(paths);
  Told told;
  Deployment& made = told.deployment;
  made.controllers = std::max(1U, lines.whole("balancers", 1));
  made.location = lines.whole("zone");
  const std::size_t types = lines.count("profiles.count"), customers = lines.count("tenants.count");
  for (std::size_t each = 0; each < types; ++each) {
    made.types.push_back(type(lines, each, types));
    made.loadsHold = made.loadsHold || made.types.back().waits;
    told.typeNames.push_back(lines.text("profiles." + std::to_string(each) + ".name"));
  }
  if (made.types.empty()) throw Unreadable("settings: profiles.count", "no reservation type");
  for (std::size_t each = 0; each < customers; ++each) {
    const std::string at = "tenants." + std::to_string(each) + ".";
    made.customers.push_back({lines.real(at + "quotaPerS")});
    told.customerNames.push_back(lines.text(at + "name"));
  }
  told.locationNames = lines.list("zones");
  told.machineNames = lines.list("machineTypes");
  if (!told.locationNames.empty() && made.location >= told.locationNames.size())
    throw Unreadable("settings: zone", "'" + lines.text("zone") + "' is none of zones");
  const std::size_t kinds = told.machineNames.size();
  for (std::size_t each = 0; each < kinds; ++each) {
    made.machines.push_back({std::max(1.0, lines.realAt("familyInfo.kindCores", each, kinds, 1)),
                             lines.realAt("familyInfo.memoryByKindMb", each, kinds, 0)});
  }
  made.valueByWork = lines.text("valueBy") == "work";
  made.memoryHeeded = lines.yes("familyInfo.memoryHeeded");
  made.needUntold = !lines.yes("familyInfo.saysCost");
  made.memoryPages = lines.word("familyInfo.memoryShort", {"wait", "shrink", "page"}) == "page";
  const double cap = lines.within("familyInfo.grantCap", 0, 1);
  for (const Machine& each : made.machines)
    made.mostGrantMb = std::max(made.mostGrantMb, cap * each.memoryMb);
  made.prioritiesHeeded = lines.yes("familyInfo.lanesCount");
  made.progressPace = lines.time("familyInfo.progressPaceUs");
  made.reportsOnProbe = lines.word("reporting.source", {"inline", "on_probe", "off"}) == "on_probe";
  made.mayProbe = lines.yes("limits.probes");
  made.mayTellPeers = lines.yes("limits.peers");
  made.mayWithdraw = lines.yes("limits.cancelling");
  made.secondCopies = lines.yes("limits.parallelTries");
  made.comeBackHeard = lines.yes("limits.retryAfter");
  made.longestComeBack = lines.time("limits.maxRetryAfterUs");
  made.mostDispatches = static_cast<int>(std::clamp(lines.whole("limits.mostTries", 1), 1U, kMostDispatches));
  made.listOnRequest = lines.word("registryMode", {"pushed", "on_request"}) == "on_request";
  made.mustAskWithin = lines.time("rules.mustAskInUs");
  made.tick = lines.time("tickUs");
  made.coldFor = lines.time("rules.coldUs");
  made.coldStart = lines.within("rules.startCapacity", 0, 1);
  made.fallMultiple = lines.real("rules.fallMultiple");
  made.fallSpan = lines.time("rules.fallUs");
  made.keyRest = lines.time("rules.turnGapUs");
  made.furtherFloor = lines.real("rules.extraFloor");
  made.furtherRatio = lines.real("rules.repeatRatio");
  made.furtherSpan = lines.time("rules.budgetSpanUs");
  made.crossLocationPrice = lines.real("prices.crossZone");
  told.mostOpen = lines.text("limits.maxOpen").empty() ? std::numeric_limits<std::size_t>::max()
                                                       : lines.whole("limits.maxOpen", 1);
  told.sharedBy = std::max(1U, lines.whole("limits.streamsPerConn", 1));
  told.dialTimeout = lines.time("limits.dialTimeoutUs");
  told.answerSlack = lines.time("rules.answerSlackUs");
  told.idleClose = lines.time("limits.idleCloseUs");
  told.reportNames = lines.list("reporting.names");
  return told;
}

std::size_t placeOf(const std::vector<std::string>& names, std::string_view name, const char* what) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) throw Unreadable(what, "'" + std::string(name.substr(0, 40)) + "' is unknown");
  return static_cast<std::size_t>(at - names.begin());
}

}  // namespace paddletrack::protocol
