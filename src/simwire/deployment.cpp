#include "simwire/deployment.hpp"

#include <charconv>
#include <map>

#include "simwire/frame.hpp"

namespace paddletrack::simwire {
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
    throw Malformed("settings: " + key + ": '" + std::string(text) + "' is not a number");
  }
  return value;
}

class Lines {
 public:
  explicit Lines(std::string_view settings) {
    for (const std::string& line : split(settings, '\n')) {
      if (line.empty()) continue;
      const std::size_t at = line.find('=');
      if (at == std::string::npos || at == 0) throw Malformed("settings: '" + line + "' is not path=value");
      values_[line.substr(0, at)] = line.substr(at + 1);
    }
  }

  bool has(const std::string& key) const { return values_.count(key) > 0; }
  std::string text(const std::string& key) const {
    const auto at = values_.find(key);
    return at == values_.end() ? std::string() : at->second;
  }
  // An absent number is zero, as the wire has it for every absent value.
  double real(const std::string& key) const { return text(key).empty() ? 0 : number(key, text(key)); }
  unsigned whole(const std::string& key) const { return static_cast<unsigned>(real(key)); }
  Span time(const std::string& key) const { return Span{static_cast<std::int64_t>(real(key))}; }
  bool yes(const std::string& key) const { return text(key) == "true"; }
  std::vector<std::string> list(const std::string& key) const { return split(text(key), ','); }
  double realAt(const std::string& key, std::size_t index) const {
    const std::vector<std::string> all = list(key);
    return index < all.size() ? number(key, all[index]) : 0;
  }

 private:
  std::map<std::string, std::string> values_;
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
    throw Malformed("settings: " + at + "idempotency: '" + effect + "' is unknown");
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
  return made;
}

}  // namespace

Told decode(std::string_view settings) {
  const Lines lines(settings);
  Told told;
  Deployment& made = told.deployment;
  made.controllers = std::max(1U, lines.whole("balancers"));
  made.location = lines.whole("zone");
  for (std::size_t each = 0; each < lines.whole("profiles.count"); ++each)
    made.types.push_back(type(lines, each));
  if (made.types.empty()) throw Malformed("settings: profiles.count: no reservation type");
  for (std::size_t each = 0; each < lines.whole("tenants.count"); ++each) {
    const std::string at = "tenants." + std::to_string(each) + ".";
    made.customers.push_back({lines.real(at + "quotaPerS")});
  }
  for (std::size_t each = 0; each < lines.list("machineTypes").size(); ++each) {
    made.machines.push_back({std::max(1.0, lines.realAt("familyInfo.kindCores", each)),
                             lines.realAt("familyInfo.memoryByKindMb", each)});
  }
  made.memoryHeeded = lines.yes("familyInfo.memoryHeeded");
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
  told.reportNames = lines.list("reporting.names");
  return told;
}

}  // namespace paddletrack::simwire
