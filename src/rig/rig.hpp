// What the rig's experiments share.
#pragma once

#include <sys/types.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "standin/loop.hpp"
#include "standin/site.hpp"

namespace paddletrack::rig {

using Json = nlohmann::json;
using namespace std::chrono_literals;

using standin::Loop;

// A door that answers, with the moment at which each state was first told.
class Operator {
 public:
  Operator(Loop& loop, const std::string& door) : loop_(loop), line_(loop, loop.unsent, door) {
    line_.each = [this](const std::string& line) { told(line); };
  }
  Json ask(Json wish) {
    wish["v"] = 1;
    wish["id"] = ++asked_;
    answer_ = nullptr;
    line_.say(wish.dump() + "\n");
    loop_.until([&] { return !answer_.is_null() || line_.closed; }, 5s);
    return answer_;
  }
  bool reaches(const std::string& state, std::chrono::milliseconds most) {
    return loop_.until([&] { return state_ == state; }, most);
  }
  const std::string& state() const { return state_; }
  transport::Moment since() const { return since_; }
  std::function<void(const Json& status)> progress;

 private:
  void told(const std::string& line) {
    const Json read = Json::parse(line);
    if (read.contains("ok") && read["id"] == asked_) answer_ = read;
    if (!read.contains("status")) return;
    const std::string state = read["status"]["state"];
    if (state != state_) state_ = state, since_ = loop_.now();
    if (progress && read.contains("event")) progress(read["status"]);
  }

  Loop& loop_;
  standin::DoorLine line_;
  int asked_ = 0;
  Json answer_;
  std::string state_;
  transport::Moment since_{};
};

// A process's resident memory in MB, from /proc/PID/status: all of it (VmRSS) and its own (RssAnon, without
// the shared libraries' pages). Zeros for a process that has gone.
struct Resident {
  double all = 0, own = 0;
};
inline Resident resident(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  Resident read;
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string key;
    double value = 0;
    words >> key >> value;
    if (key == "VmRSS:") read.all = value / 1024;
    if (key == "RssAnon:") read.own = value / 1024;
  }
  return read;
}

inline double milliseconds(transport::Clock::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

inline double quantile(std::vector<double> of, double part) {
  if (of.empty()) return 0;
  std::sort(of.begin(), of.end());
  return of[std::min(of.size() - 1, static_cast<std::size_t>(part * static_cast<double>(of.size())))];
}

// The experiments; each prints its table and returns an exit code: 0 what it is meant to show holds.
int tryIt(const std::string& program, unsigned controllers, double perSecond, double seconds);
int measureDrain(const std::string& program, unsigned rounds);
int measureRoll(const std::string& program, double perSecond);
int measureAddresses(unsigned jobs);
int measureFleet(const std::string& program, const std::string& before, unsigned engines);
int measureCost(const std::string& program, const std::string& before);
int measureRebalance(unsigned fleets);
int measureWhere(const std::string& program, unsigned rounds, double perSecond, unsigned phaseSeconds);
int measureShare(const std::string& program, const std::vector<unsigned>& fleets, unsigned rounds);
// Faults at numbered points (src/fault/fault.hpp): all of them, `most` of them drawn by `seed`, or the one
// named by `only` as SITE#N=KIND (`of`: all hits of SITE=KIND), with the controller's log; so many at once.
// Loopback 127.AREA.0.0/16.
struct FaultTerms {
  std::string program, only, of;
  bool all = false;
  unsigned most = 40, seed = 1, workers = 4, area = 36;
};
int injectFaults(const FaultTerms& terms);
int measureSoak(const std::string& program, double perSecond, double minutes);
int measureHindsight(unsigned days, unsigned workers, std::uint64_t seed);

struct ColdStart {
  unsigned controllers = 200, engines = 40;
  double perSecond = 5;         // jobs, for each controller
  std::string pattern = "all";  // start together; "seven" in ten killed; "tenths" restarted in turn
  bool knows = true;            // the configuration holds the list
  bool cold = false;            // all executors have just started
  bool front = false;           // all jobs go to those in service; else to their clients' own controller
  unsigned listMs = 0;          // one answer of the list service
  unsigned listDownMs = 0;      // it is down for so long first
  unsigned seconds = 15, settle = 3;
  std::string before;         // an earlier build of the program
  std::string operatorsFile;  // what it is compared with, as text
  bool json = false;
};
int measureColdStart(const std::string& program, const ColdStart& terms);

}  // namespace paddletrack::rig
