// The operator's own file: what is switched on beside the platform's configuration, and how.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "base/say.hpp"
#include "coldstart/list_dials.hpp"
#include "drain/drain.hpp"
#include "hcl/hcl.hpp"
#include "reach/reach.hpp"

namespace paddletrack::operating {

// "FILE:LINE:COLUMN: KEY: what was expected"; its place is all but the last.
struct Miswritten : ErrorOf<ErrorKind::operatorFileWrong> {
  using ErrorOf::ErrorOf;
};

struct DoorTerms {
  std::string socket;  // path; empty: no door
  std::size_t clients = 8;
  std::size_t line = 16 * 1024;                              // bytes of a message from a client
  std::size_t unsent = 256 * 1024;                           // bytes that one client may leave unread
  std::chrono::microseconds idle{std::chrono::seconds(10)};  // without a whole message, or without reading
};

// What is shared with the other controllers, and with whom (docs/share.md).
struct ShareTerms {
  std::string listen;              // IPv4 address and port; empty: nothing is shared
  std::vector<std::string> peers;  // likewise, up to 1024
  std::chrono::microseconds period{std::chrono::milliseconds(200)};
  std::string cluster = "paddletrack";
  std::chrono::microseconds keep{std::chrono::minutes(10)};
  bool operator==(const ShareTerms&) const = default;
};

// Where groups of tables should lie (docs/rebalance.md).
struct RebalanceTerms {
  std::size_t capacity = 0;                  // bytes of groups that an engine keeps warm; 0: off
  std::size_t group = std::size_t{1} << 30;  // what one counts
  std::chrono::microseconds period{std::chrono::seconds(20)}, guard{std::chrono::seconds(1)};
  std::size_t lean = 50;  // per cent of its score that an engine counts for jobs whose group should be there
  bool operator==(const RebalanceTerms&) const = default;
};

// What is kept to look back at decisions (docs/hindsight.md).
struct HindsightTerms {
  std::size_t records = 0;  // 0: nothing is kept
  std::chrono::microseconds window{std::chrono::minutes(5)};
  bool operator==(const HindsightTerms&) const = default;
};

enum class LogForm { text, json };

struct Settings {
  DoorTerms door;
  drain::Terms drain;
  coldstart::Terms coldstart;  // but for the number of controllers
  std::vector<reach::Family> prefer = reach::Terms{}.prefer;
  ShareTerms share;
  RebalanceTerms rebalance;
  HindsightTerms hindsight;
  LogForm logForm = LogForm::text;
  Level logLevel = Level::info;
  std::map<std::string, Level> topicLevels;

  // Every key with its value in force and where that came from, in the order of the reference.
  struct Shown {
    std::string key, value, origin;
  };
  std::vector<Shown> shown;
};

Settings defaults();
Settings readSettings(const std::string& path);
Settings settingsOf(const hcl::Body& body, const std::string& path);

// Also for the command line: "20s", "1.5m", "250ms"; throws std::invalid_argument.
std::chrono::microseconds durationOf(const std::string& text);
std::string shownDuration(std::chrono::microseconds span);
std::size_t sizeOf(const std::string& text);  // "4MiB", "16KiB", "512"
Level levelOf(const std::string& name);
const char* nameOf(Level level);

// The known name that is nearest to one that is not known; empty: none is near.
std::string nearest(const std::string& name, const std::vector<std::string>& known);

}  // namespace paddletrack::operating
