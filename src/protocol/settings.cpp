#include "protocol/settings.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace paddletrack::protocol {
namespace {

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
  double real(const std::string& key) const { return text(key).empty() ? 0 : number(key, text(key)); }
  unsigned whole(const std::string& key) const { return static_cast<unsigned>(within(key, 0, 4e9)); }
  Span time(const std::string& key) const {
    return Span{static_cast<std::int64_t>(within(key, -1e15, 1e15))};
  }
  double within(const std::string& key, double least, double most) const {
    const double value = real(key);
    if (value >= least && value <= most) return value;
    throw Unreadable("settings: " + key, "'" + text(key) + "' is out of range");
  }
  bool yes(const std::string& key) const { return text(key) == "true"; }
  std::vector<std::string> list(const std::string& key) const { return split(text(key), ','); }
  double realAt(const std::string& key, std::size_t index) const {
    const std::vector<std::string> all = list(key);
    return index < all.size() ? number(key, all[index]) : 0;
  }

 private:
  const Paths& values_;
};

// A list of places or kinds, by index; a name is looked up among all names.
std::optional<std::vector<unsigned>> bound(const Lines& lines, const std::string& key,
                                           const std::string& names) {
  if (!lines.has(key)) return std::nullopt;
  const std::vector<std::string> all = lines.list(names);
  std::vector<unsigned> indices;
  for (const std::string& each : lines.list(key)) {
    unsigned index = 0;
    while (index < all.size() && all[index] != each) ++index;
    indices.push_back(index < all.size() ? index : static_cast<unsigned>(number(key, each)));
  }
  return indices;
}

void flatten(const Json& value, const std::string& path, Paths& out) {
  const std::string inside = path.empty() ? "" : path + ".";
  if (const auto* members = std::get_if<Json::Members>(&value.value)) {
    for (const auto& [name, member] : *members) flatten(member, inside + name, out);
  } else if (const auto* elements = std::get_if<Json::Elements>(&value.value)) {
    const bool objects = !elements->empty() && std::holds_alternative<Json::Members>(elements->front().value);
    if (objects) out[inside + "count"] = std::to_string(elements->size());
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
      std::replace(text.begin(), text.end(), ',', '_');
      joined += (each > 0 ? "," : "") + text;
    }
    if (!objects) out[path] = joined;
  } else if (const auto* text = std::get_if<std::string>(&value.value)) {
    out[path] = *text;
  } else if (const auto* flag = std::get_if<bool>(&value.value)) {
    out[path] = *flag ? "true" : "false";
  } else if (std::holds_alternative<double>(value.value)) {
    out[path] = value.written;
  } else {
    if (path.empty()) out[path];  // null in a list; elsewhere as good as absent
  }
}

ReservationType type(const Lines& lines, std::size_t index) {
  const std::string at = "profiles." + std::to_string(index) + ".";
  ReservationType made;
  made.index = index;
  const std::string effect = lines.text(at + "idempotency"), group = lines.text(at + "group");
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
  made.threads = std::max(1, static_cast<int>(lines.realAt("familyInfo.widthByClass", index)));
  const std::vector<std::string> loads = lines.list("familyInfo.loads");
  made.load = index < loads.size() && loads[index] == "true";
  const std::vector<std::string> waits = lines.list("familyInfo.yieldsToLoads");
  made.waits = index < waits.size() && waits[index] == "true";
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
  made.controllers = std::max(1U, lines.whole("balancers"));
  made.location = lines.whole("zone");
  for (std::size_t each = 0; each < lines.whole("profiles.count"); ++each) {
    made.types.push_back(type(lines, each));
    made.loadsHold = made.loadsHold || made.types.back().waits;
    told.typeNames.push_back(lines.text("profiles." + std::to_string(each) + ".name"));
  }
  if (made.types.empty()) throw Unreadable("settings: profiles.count", "no reservation type");
  for (std::size_t each = 0; each < lines.whole("tenants.count"); ++each) {
    const std::string at = "tenants." + std::to_string(each) + ".";
    made.customers.push_back({lines.real(at + "quotaPerS")});
    told.customerNames.push_back(lines.text(at + "name"));
  }
  for (std::size_t each = 0; each < lines.list("machineTypes").size(); ++each) {
    made.machines.push_back({std::max(1.0, lines.realAt("familyInfo.kindCores", each)),
                             lines.realAt("familyInfo.memoryByKindMb", each)});
  }
  made.valueByWork = lines.text("valueBy") == "work";
  made.memoryHeeded = lines.yes("familyInfo.memoryHeeded");
  made.needUntold = !lines.yes("familyInfo.saysCost");
  made.memoryPages = lines.text("familyInfo.memoryShort") == "page";
  const double cap = lines.within("familyInfo.grantCap", 0, 1);
  for (const Machine& each : made.machines)
    made.mostGrantMb = std::max(made.mostGrantMb, cap * each.memoryMb);
  made.prioritiesHeeded = lines.yes("familyInfo.lanesCount");
  made.progressPace = lines.time("familyInfo.progressPaceUs");
  made.reportsOnProbe = lines.text("reporting.source") == "on_probe";
  made.mayProbe = lines.yes("limits.probes");
  made.mayTellPeers = lines.yes("limits.peers");
  made.mayWithdraw = lines.yes("limits.cancelling");
  made.secondCopies = lines.yes("limits.parallelTries");
  made.comeBackHeard = lines.yes("limits.retryAfter");
  made.longestComeBack = lines.time("limits.maxRetryAfterUs");
  made.mostDispatches = std::max(1, static_cast<int>(lines.real("limits.mostTries")));
  made.listOnRequest = lines.text("registryMode") == "on_request";
  made.mustAskWithin = lines.time("rules.mustAskInUs");
  made.tick = lines.time("tickUs");
  made.coldFor = lines.time("rules.coldUs");
  made.coldStart = lines.real("rules.startCapacity");
  made.fallMultiple = lines.real("rules.fallMultiple");
  made.fallSpan = lines.time("rules.fallUs");
  made.keyRest = lines.time("rules.turnGapUs");
  made.furtherFloor = lines.real("rules.extraFloor");
  made.furtherRatio = lines.real("rules.repeatRatio");
  made.furtherSpan = lines.time("rules.budgetSpanUs");
  made.crossLocationPrice = lines.real("prices.crossZone");
  told.locationNames = lines.list("zones");
  told.machineNames = lines.list("machineTypes");
  told.mostOpen =
      lines.has("limits.maxOpen") ? lines.whole("limits.maxOpen") : std::numeric_limits<std::size_t>::max();
  told.sharedBy = std::max(1U, lines.whole("limits.streamsPerConn"));
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
