#include "operating/settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <numeric>
#include <optional>
#include <sstream>

#include "fault/fault.hpp"
#include "transport/connection.hpp"

namespace paddletrack::operating {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::array<std::pair<const char*, double>, 5> kTimes{
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}};
constexpr std::array<std::pair<const char*, double>, 6> kSizes{
    {{"", 1}, {"B", 1}, {"KiB", 1024}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1000}}};

// A figure with its unit behind it.
template <std::size_t N>
double withUnit(const std::string& text, const std::array<std::pair<const char*, double>, N>& units,
                const char* wanted) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const std::string unit(end, static_cast<const char*>(text.data() + text.size()));
  const auto known =
      std::find_if(units.begin(), units.end(), [&](const auto& each) { return unit == each.first; });
  if (error != std::errc{} || known == units.end() || !std::isfinite(value * known->second) ||
      std::abs(value * known->second) > 1e15)
    throw std::invalid_argument("'" + text.substr(0, 40) + "': " + wanted);
  return value * known->second;
}

std::string shownSize(std::size_t bytes) {
  for (const auto& [unit, factor] :
       {std::pair{"GiB", std::size_t{1} << 30}, {"MiB", std::size_t{1} << 20}, {"KiB", std::size_t{1} << 10}})
    if (bytes >= factor && bytes % factor == 0) return std::to_string(bytes / factor) + unit;
  return std::to_string(bytes) + "B";
}

// One key of the reference: how it is read and how it is shown.
struct Key {
  std::string block, name;
  std::function<void(Settings&, const hcl::Value&)> read;
  std::function<std::string(const Settings&)> show;
  std::string full() const { return block + "." + name; }
};

const std::string& textIn(const hcl::Value& value) {
  if (const auto* text = std::get_if<std::string>(&value.value)) return *text;
  throw std::invalid_argument(std::string("a text is expected, not ") + value.kind());
}

constexpr std::size_t kMostPeers = 1024, kLongestClusterName = 32;

// Of the fleet's datagrams: IPv4 alone.
std::string shareAddressIn(const hcl::Value& value) {
  const std::string& text = textIn(value);
  if (transport::Address(text).family() != AF_INET)
    throw std::invalid_argument("'" + text.substr(0, 40) + "' is not an IPv4 address and port");
  return text;
}

template <typename Of>
Key duration(const char* block, const char* name, microseconds least, microseconds most, Of of) {
  return {block, name,
          [=](Settings& settings, const hcl::Value& value) {
            const microseconds read = durationOf(textIn(value));
            if (read < least || read > most)
              throw std::invalid_argument("from " + shownDuration(least) + " to " + shownDuration(most) +
                                          " is expected");
            of(settings) = read;
          },
          [=](const Settings& settings) {
            return "\"" + shownDuration(of(const_cast<Settings&>(settings))) + "\"";
          }};
}

template <typename Of>
Key size(const char* block, const char* name, std::size_t least, std::size_t most, Of of) {
  return {
      block, name,
      [=](Settings& settings, const hcl::Value& value) {
        const std::size_t read = sizeOf(textIn(value));
        if (read < least || read > most)
          throw std::invalid_argument("from " + shownSize(least) + " to " + shownSize(most) + " is expected");
        of(settings) = read;
      },
      [=](const Settings& settings) { return "\"" + shownSize(of(const_cast<Settings&>(settings))) + "\""; }};
}

std::size_t wholeIn(const hcl::Value& value, std::size_t least, std::size_t most) {
  const auto* read = std::get_if<double>(&value.value);
  if (!read || *read != std::floor(*read) || *read < static_cast<double>(least) ||
      *read > static_cast<double>(most))
    throw std::invalid_argument("a whole number from " + std::to_string(least) + " to " +
                                std::to_string(most) + " is expected" +
                                (read ? "" : std::string(", not ") + value.kind()));
  return static_cast<std::size_t>(*read);
}

Key rate(const char* name, double coldstart::Terms::*of) {
  return {"coldstart", name,
          [=](Settings& settings, const hcl::Value& value) {
            settings.coldstart.*of = static_cast<double>(wholeIn(value, 0, 100000));
          },
          [=](const Settings& settings) {
            return std::to_string(static_cast<std::size_t>(settings.coldstart.*of));
          }};
}

// The reference, in the order in which it is shown.
const std::vector<Key>& keys() {
  static const std::vector<Key> kKeys{
      {"door", "socket",
       [](Settings& settings, const hcl::Value& value) {
         const std::string& path = textIn(value);
         if (!path.empty()) transport::Address("unix:" + path);
         settings.door.socket = path;
       },
       [](const Settings& settings) { return "\"" + settings.door.socket + "\""; }},
      {"door", "clients",
       [](Settings& settings, const hcl::Value& value) { settings.door.clients = wholeIn(value, 1, 64); },
       [](const Settings& settings) { return std::to_string(settings.door.clients); }},
      size(
          "door", "line", 256, 1 << 20, [](Settings & s) -> auto& { return s.door.line; }),
      size(
          "door", "unsent", 4096, 16 << 20, [](Settings & s) -> auto& { return s.door.unsent; }),
      duration(
          "door", "idle", 100ms, 1h, [](Settings & s) -> auto& { return s.door.idle; }),
      duration(
          "drain", "deadline", 0s, 24h, [](Settings & s) -> auto& { return s.drain.deadline; }),
      duration(
          "drain", "longest", 1s, 24h, [](Settings & s) -> auto& { return s.drain.longest; }),
      duration(
          "drain", "notice", 0s, 60s, [](Settings & s) -> auto& { return s.drain.notice; }),
      duration(
          "drain", "come_back", 0s, 1h, [](Settings & s) -> auto& { return s.drain.comeBack; }),
      rate("follows", &coldstart::Terms::follows),
      rate("reads", &coldstart::Terms::reads),
      duration(
          "coldstart", "longest", 1s, 1h, [](Settings & s) -> auto& { return s.coldstart.longest; }),
      {"reach", "prefer",
       [](Settings& settings, const hcl::Value& value) {
         static const std::string kWanted =
             "a list of \"unix\", \"ipv6\" and \"ipv4\", each once, is expected";
         const auto* list = std::get_if<hcl::Value::List>(&value.value);
         if (!list || list->size() != reach::kFamilies) throw std::invalid_argument(kWanted);
         std::vector<reach::Family> read;
         for (const hcl::Value& each : *list)
           for (const reach::Family family : {reach::Family::local, reach::Family::ipv6, reach::Family::ipv4})
             if (textIn(each) == reach::nameOf(family) &&
                 std::find(read.begin(), read.end(), family) == read.end())
               read.push_back(family);
         if (read.size() != reach::kFamilies) throw std::invalid_argument(kWanted);
         settings.prefer = std::move(read);
       },
       [](const Settings& settings) {
         std::string shown;
         for (const reach::Family each : settings.prefer)
           shown += (shown.empty() ? "[\"" : ", \"") + std::string(reach::nameOf(each)) + "\"";
         return shown + "]";
       }},
      {"share", "listen",
       [](Settings& settings, const hcl::Value& value) { settings.share.listen = shareAddressIn(value); },
       [](const Settings& settings) { return "\"" + settings.share.listen + "\""; }},
      {"share", "peers",
       [](Settings& settings, const hcl::Value& value) {
         const auto* list = std::get_if<hcl::Value::List>(&value.value);
         if (!list || list->size() > kMostPeers)
           throw std::invalid_argument("a list of " + std::to_string(kMostPeers) +
                                       " addresses at most is expected");
         std::vector<std::string> read;
         for (const hcl::Value& each : *list) {
           read.push_back(shareAddressIn(each));
           if (std::find(read.begin(), std::prev(read.end()), read.back()) != std::prev(read.end()))
             throw std::invalid_argument("'" + read.back() + "' stands twice");
         }
         settings.share.peers = std::move(read);
       },
       [](const Settings& settings) {
         std::string shown;
         for (const std::string& each : settings.share.peers)
           shown += (shown.empty() ? "\"" : ", \"") + each + "\"";
         return "[" + shown + "]";
       }},
      duration(
          "share", "period", 20ms, 60s, [](Settings & s) -> auto& { return s.share.period; }),
      {"share", "cluster",
       [](Settings& settings, const hcl::Value& value) {
         const std::string& name = textIn(value);
         if (name.empty() || name.size() > kLongestClusterName)
           throw std::invalid_argument("a name of 1 to " + std::to_string(kLongestClusterName) +
                                       " bytes is expected");
         settings.share.cluster = name;
       },
       [](const Settings& settings) { return "\"" + settings.share.cluster + "\""; }},
      duration(
          "share", "keep", 1s, 24h, [](Settings & s) -> auto& { return s.share.keep; }),
      size(
          "rebalance", "capacity", 1, std::size_t{1} << 50,
          [](Settings & s) -> auto& { return s.rebalance.capacity; }),
      size(
          "rebalance", "group", 1, std::size_t{1} << 50,
          [](Settings & s) -> auto& { return s.rebalance.group; }),
      duration(
          "rebalance", "period", 1s, 1h, [](Settings & s) -> auto& { return s.rebalance.period; }),
      duration(
          "rebalance", "guard", 10ms, 60s, [](Settings & s) -> auto& { return s.rebalance.guard; }),
      {"rebalance", "lean",
       [](Settings& settings, const hcl::Value& value) { settings.rebalance.lean = wholeIn(value, 1, 100); },
       [](const Settings& settings) { return std::to_string(settings.rebalance.lean); }},
      {"hindsight", "records",
       [](Settings& settings, const hcl::Value& value) {
         settings.hindsight.records = wholeIn(value, 0, 65536);
       },
       [](const Settings& settings) { return std::to_string(settings.hindsight.records); }},
      duration(
          "hindsight", "window", 10s, 1h, [](Settings & s) -> auto& { return s.hindsight.window; }),
      {"log", "form",
       [](Settings& settings, const hcl::Value& value) {
         const std::string& form = textIn(value);
         if (form != "text" && form != "json")
           throw std::invalid_argument("\"text\" or \"json\" is expected");
         settings.logForm = form == "json" ? LogForm::json : LogForm::text;
       },
       [](const Settings& settings) { return settings.logForm == LogForm::json ? "\"json\"" : "\"text\""; }},
      {"log", "level",
       [](Settings& settings, const hcl::Value& value) { settings.logLevel = levelOf(textIn(value)); },
       [](const Settings& settings) { return "\"" + std::string(nameOf(settings.logLevel)) + "\""; }}};
  return kKeys;
}

class Reading {
 public:
  explicit Reading(const std::string& path) : path_(path) {}

  [[noreturn]] void wrong(hcl::Place at, const std::string& key, const std::string& what) const {
    throw Miswritten(path_ + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) +
                         (key.empty() ? "" : ": " + key),
                     what);
  }

  [[noreturn]] void unknown(hcl::Place at, const std::string& what, const std::string& name,
                            const std::vector<std::string>& known) const {
    const std::string near = nearest(name, known);
    wrong(at, name, "no such " + what + (near.empty() ? "" : "; '" + near + "' is meant?"));
  }

  // Runs a reading of one value; what is wrong with it is told with its place and its key.
  template <typename Read>
  void at(hcl::Place place, const std::string& key, Read read) const {
    try {
      read();
    } catch (const std::invalid_argument& error) {
      wrong(place, key, error.what());
    }
  }

  std::string origin(hcl::Place at) const { return path_ + ":" + std::to_string(at.line); }

 private:
  const std::string& path_;
};

void topic(const Reading& reading, const hcl::Block& block, Settings& settings,
           std::vector<Settings::Shown>& topics) {
  if (block.labels.size() != 1)
    reading.wrong(block.place, "log.topic", "one label is expected, the topic, as in topic \"dial\" { ... }");
  const std::string key = "log.topic." + block.labels.front();
  if (settings.topicLevels.count(block.labels.front()) > 0)
    reading.wrong(block.place, key, "it stands twice");
  if (!block.body.blocks.empty())
    reading.unknown(block.body.blocks.front().place, "block here", block.body.blocks.front().type, {});
  std::optional<Level> level;
  for (const hcl::Attribute& each : block.body.attributes) {
    if (each.name != "level") reading.unknown(each.place, "key in log.topic", each.name, {"level"});
    reading.at(each.value.place, key + ".level", [&] { level = levelOf(textIn(each.value)); });
    topics.push_back({key + ".level", "\"" + std::string(nameOf(*level)) + "\"", reading.origin(each.place)});
  }
  if (!level) reading.wrong(block.place, key, "its level is expected");
  settings.topicLevels.emplace(block.labels.front(), *level);
}

}  // namespace

microseconds durationOf(const std::string& text) {
  const double read = withUnit(text, kTimes, "a duration is expected, as in \"250ms\", \"20s\" or \"1.5m\"");
  return microseconds{std::llround(read)};
}

std::size_t sizeOf(const std::string& text) {
  const double read = withUnit(text, kSizes, "a size is expected, as in \"16KiB\" or \"4MiB\"");
  if (read < 0) throw std::invalid_argument("'" + text + "': a size is not negative");
  return static_cast<std::size_t>(std::llround(read));
}

std::string shownDuration(microseconds span) {
  const std::int64_t value = span.count();
  for (const auto& [unit, factor] :
       {std::pair{"h", 3600000000LL}, {"m", 60000000LL}, {"s", 1000000LL}, {"ms", 1000LL}})
    if (value != 0 && value % factor == 0) return std::to_string(value / factor) + unit;
  return value == 0 ? "0s" : std::to_string(value) + "us";
}

Level levelOf(const std::string& name) {
  for (const Level each : {Level::debug, Level::info, Level::warning, Level::error})
    if (name == nameOf(each)) return each;
  throw std::invalid_argument("'" + name.substr(0, 40) +
                              "': \"debug\", \"info\", \"warning\" or \"error\" is expected");
}

const char* nameOf(Level level) {
  static constexpr std::array<const char*, 4> kNames{"debug", "info", "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

// By the least number of letters put in, left out or changed, at most a third of the name.
std::string nearest(const std::string& name, const std::vector<std::string>& known) {
  std::string best;
  std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& each : known) {
    std::vector<std::size_t> row(each.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= name.size(); ++i) {
      std::size_t corner = std::exchange(row[0], i);
      for (std::size_t j = 1; j <= each.size(); ++j) {
        const std::size_t changed = corner + (name[i - 1] == each[j - 1] ? 0 : 1);
        corner = row[j];
        row[j] = std::min({changed, row[j] + 1, row[j - 1] + 1});
      }
    }
    if (row.back() < least) least = row.back(), best = each;
  }
  return best;
}

Settings settingsOf(const hcl::Body& body, const std::string& path) {
  const Reading reading(path);
  Settings settings;
  std::map<std::string, std::string> origins;
  std::vector<Settings::Shown> topics;
  std::vector<std::string> blocks;
  for (const Key& each : keys())
    if (blocks.empty() || blocks.back() != each.block) blocks.push_back(each.block);
  if (!body.attributes.empty())
    reading.unknown(body.attributes.front().place, "key outside of blocks", body.attributes.front().name,
                    blocks);
  std::map<std::string, std::size_t> begun;
  for (const hcl::Block& block : body.blocks) {
    if (std::find(blocks.begin(), blocks.end(), block.type) == blocks.end())
      reading.unknown(block.place, "block", block.type, blocks);
    if (!block.labels.empty()) reading.wrong(block.place, block.type, "no label is expected");
    if (const auto [at, fresh] = begun.emplace(block.type, block.place.line); !fresh)
      reading.wrong(block.place, block.type, "it stands twice, first in line " + std::to_string(at->second));
    for (const hcl::Block& inner : block.body.blocks) {
      if (block.type != "log" || inner.type != "topic")
        reading.unknown(inner.place, "block in " + block.type, inner.type,
                        block.type == "log" ? std::vector<std::string>{"topic"} : std::vector<std::string>{});
      topic(reading, inner, settings, topics);
    }
    for (const hcl::Attribute& each : block.body.attributes) {
      const auto key = std::find_if(keys().begin(), keys().end(), [&](const Key& known) {
        return known.block == block.type && known.name == each.name;
      });
      if (key == keys().end()) {
        std::vector<std::string> known;
        for (const Key& other : keys())
          if (other.block == block.type) known.push_back(other.name);
        reading.unknown(each.place, "key in " + block.type, each.name, known);
      }
      reading.at(each.value.place, key->full(), [&] { key->read(settings, each.value); });
      origins[key->full()] = reading.origin(each.place);
    }
  }
  const auto placeOf = [&](const std::string& name) {
    for (const hcl::Block& block : body.blocks)
      for (const hcl::Attribute& each : block.body.attributes)
        if (block.type + "." + each.name == name) return each.value.place;
    return hcl::Place{};
  };
  if (settings.drain.deadline > settings.drain.longest)
    reading.wrong(placeOf(origins.count("drain.deadline") ? "drain.deadline" : "drain.longest"),
                  "drain.deadline",
                  "it is " + shownDuration(settings.drain.deadline) + ", drain.longest " +
                      shownDuration(settings.drain.longest));
  if (settings.share.listen.empty())
    for (const char* key : {"share.peers", "share.period", "share.cluster", "share.keep"})
      if (origins.count(key) > 0)
        reading.wrong(placeOf(key), key, "share.listen is expected where share has other keys");
  for (const char* key :
       {"rebalance.capacity", "rebalance.group", "rebalance.period", "rebalance.guard", "rebalance.lean"}) {
    if (origins.count(key) == 0) continue;
    if (settings.share.listen.empty())
      reading.wrong(placeOf(key), "share.listen", "it is expected where there is a block rebalance");
    if (settings.rebalance.capacity == 0)
      reading.wrong(placeOf(key), "rebalance.capacity", "it is expected where rebalance has other keys");
    if (settings.rebalance.guard * 4 > settings.rebalance.period)
      reading.wrong(placeOf(key), "rebalance.guard", "a fourth of rebalance.period at most is expected");
  }
  if (settings.hindsight.records == 0 && origins.count("hindsight.window") > 0)
    reading.wrong(placeOf("hindsight.window"), "hindsight.records", "it is expected where there is a window");
  for (const Key& each : keys())
    settings.shown.push_back({each.full(), each.show(settings),
                              origins.count(each.full()) > 0 ? origins[each.full()] : "default"});
  settings.shown.insert(settings.shown.end(), topics.begin(), topics.end());
  return settings;
}

Settings defaults() { return settingsOf({}, ""); }

Settings readSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (PADDLETRACK_CALL(-1, "operators_file.open", "EMFILE ENOENT", 0) != 0 || !file ||
      !(text << file.rdbuf()))
    throw FileUnreadable(path, "can't be read");
  try {
    return settingsOf(hcl::parse(text.str()), path);
  } catch (const hcl::Wrong& error) {
    throw Miswritten(path + ":" + std::to_string(error.place.line) + ":" + std::to_string(error.place.column),
                     error.what());
  }
}

}  // namespace paddletrack::operating
