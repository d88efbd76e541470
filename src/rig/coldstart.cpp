// Many controllers that start together: what that costs the list service and the executors each second, when
// they are ready, and what becomes of the jobs that knock meanwhile.
#include <sys/resource.h>
#include <unistd.h>

#include <cmath>
#include <csignal>
#include <cstdio>

#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

using standin::Load;
using transport::Moment;

constexpr double kCores = 16, kFallSeconds = 3, kStartCapacity = 0.3;
constexpr int64_t kColdMs = 10000;

// The most of these moments within any so long a window.
std::size_t peak(const std::vector<Moment>& moments, std::chrono::milliseconds window) {
  std::size_t most = 0, from = 0;
  for (std::size_t to = 0; to < moments.size(); ++to) {
    while (moments[to] - moments[from] >= window) ++from;
    most = std::max(most, to - from + 1);
  }
  return most;
}

std::vector<Moment> since(std::vector<Moment> moments, Moment from) {
  std::erase_if(moments, [&](Moment each) { return each < from; });
  std::sort(moments.begin(), moments.end());
  return moments;
}

double cpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  const std::string line((std::istreambuf_iterator<char>(file)), {});
  std::istringstream words(line.substr(std::min(line.size(), line.rfind(')') + 2)));
  std::string word;
  double ticks = 0;
  for (int each = 3; each <= 15 && words >> word; ++each)
    if (each >= 14) ticks += std::stod(word);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

class Play {
 public:
  Play(const ColdStart& terms, const std::string& program, const std::string& operatorsFile, int net)
      : terms_(terms), begun_(terms.controllers), readyAfter_(terms.controllers) {
    standin::SiteTerms site;
    site.program = program;
    site.operatorsFile = operatorsFile;
    site.doors = false;
    site.net = net;
    site.executors = terms.engines;
    site.controllers = terms.controllers;
    site.knows = terms.knows;
    site.starts = false;
    site.cores = static_cast<unsigned>(kCores);
    if (terms.cold) {
      site.coldMs = kColdMs;
      site.startCapacity = kStartCapacity;
      site.fallMultiple = 3;
      const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
      site.listed = [now](standin::ChangeLog::Server& said, unsigned, const std::string&) {
        said.startedMs = now.count();
      };
    }
    coldUntil_ = loop_.now() + std::chrono::milliseconds(kColdMs);
    site_.emplace(loop_, loop_.unsent, site);
    site_->changeLog().manner.each = std::chrono::milliseconds(terms.listMs);
    load_.emplace(loop_, loop_.unsent, site_->fronts(), 11);
    load_->beats(50ms);
    load_->ownClients(!terms.front);
  }

  Json run() {
    const double rate = terms_.perSecond * terms_.controllers;
    const std::vector<Load::Kind> kinds{standin::Site::lookUps(9), {"report", "acme", 1, 100ms, 400ms, 10s}};
    std::vector<std::size_t> all(terms_.controllers);
    for (std::size_t each = 0; each < all.size(); ++each) all[each] = each;
    if (terms_.pattern != "all") {
      start(all);
      if (!watch([&] { return ready() == all.size(); }, 60s)) throw std::runtime_error("not all are ready");
      load_->begin(rate, kinds);
      watch([] { return false; }, std::chrono::seconds(terms_.settle));
    }
    const Moment begin = loop_.now();
    if (terms_.listDownMs > 0) site_->changeLog().close();
    load_->begin(rate, kinds);
    if (terms_.pattern == "tenths") {
      for (std::size_t part = 0; part < 10; ++part) {
        std::vector<std::size_t> some;
        for (std::size_t each = part; each < all.size(); each += 10) some.push_back(each);
        kill(some, SIGTERM);
        start(some);
        watch([] { return false; }, 1s);
      }
    } else if (terms_.pattern == "seven") {
      std::vector<std::size_t> some;
      for (const std::size_t each : all)
        if (each % 10 < 7) some.push_back(each);
      kill(some, SIGKILL);
      start(some);
    } else {
      start(all);
    }
    const Moment end = begin + std::chrono::seconds(terms_.seconds);
    while (loop_.now() < end) {
      watch([] { return false; }, 100ms);
      if (terms_.listDownMs > 0 && !site_->changeLog().isOpen() &&
          loop_.now() >= begin + std::chrono::milliseconds(terms_.listDownMs))
        site_->changeLog().open();
    }
    load_->end();
    loop_.until([&] { return load_->books().open == 0; }, 12s);
    return told(begin);
  }

 private:
  std::size_t ready() const {
    return static_cast<std::size_t>(
        std::count_if(readyAfter_.begin(), readyAfter_.end(), [](const auto& each) { return each; }));
  }
  bool watch(const std::function<bool()>& done, std::chrono::milliseconds most) {
    return loop_.until(
        [&] {
          for (std::size_t each = 0; each < begun_.size(); ++each)
            if (begun_[each] && !readyAfter_[each] && load_->inService(each))
              readyAfter_[each] = milliseconds(loop_.now() - *begun_[each]);
          return done();
        },
        most);
  }
  void start(const std::vector<std::size_t>& some) {
    for (const std::size_t each : some) {
      begun_[each] = loop_.now();
      readyAfter_[each].reset();
      site_->start(each);
      watch([] { return false; }, 1ms);
    }
  }
  void kill(const std::vector<std::size_t>& some, int signal) {
    for (const std::size_t each : some) site_->controller(each).signal(signal);
    for (const std::size_t each : some) begun_[each].reset(), killedAt_[each] = loop_.now();
    const auto gone = [&](std::size_t each) {
      return site_->controller(each).ended() && !load_->inService(each);
    };
    loop_.until([&] { return std::all_of(some.begin(), some.end(), gone); }, 6s);
  }

  Json told(Moment begin) {
    std::vector<Moment> dials = since(site_->changeLog().accepted, begin),
                        asked = since(site_->changeLog().asked, begin),
                        whole = since(site_->changeLog().askedAll, begin), handshakes, requests;
    std::size_t worstOfOne = 0, coldMost = 0, coldOver = 0;
    // What all together may send a cold executor in three seconds: what it can do at its start.
    double work = 0;
    for (const Load::Job& each : load_->jobs()) work += each.kind == 0 ? 0.0115 : 0.25;
    const double jobs =
        kStartCapacity * kCores * kFallSeconds /
        std::max(1e-3, work / static_cast<double>(std::max<std::size_t>(1, load_->jobs().size())));
    const double bound = jobs + 3 * std::sqrt(jobs) + 3;
    for (unsigned each = 0; each < terms_.engines; ++each) {
      const standin::Executor& executor = site_->executor(each);
      const std::vector<Moment> own = since(executor.accepted, begin);
      worstOfOne = std::max(worstOfOne, peak(own, 1s));
      handshakes.insert(handshakes.end(), own.begin(), own.end());
      requests.insert(requests.end(), executor.asks.begin(), executor.asks.end());
      if (!terms_.cold) continue;
      std::vector<Moment> cold = since(executor.asks, begin);
      std::erase_if(cold, [&](Moment at) { return at >= coldUntil_; });
      const std::size_t most = peak(cold, 3s);
      coldMost = std::max(coldMost, most);
      if (static_cast<double>(most) > bound) ++coldOver;
    }
    handshakes = since(handshakes, begin);
    requests = since(requests, begin);
    std::vector<double> readyAfter;
    for (std::size_t each = 0; each < begun_.size(); ++each)
      if (begun_[each] && *begun_[each] >= begin)
        readyAfter.push_back(readyAfter_[each].value_or(1000.0 * terms_.seconds));
    std::size_t early = 0, done = 0, throttled = 0, lost = 0, lostWithKilled = 0;
    for (const Load::Job& each : load_->jobs()) {
      const bool well = !each.lost && each.what == standin::Heard::What::done && each.ended >= begin;
      if (well) ++done;
      if (well && each.ended < begin + 10s) ++early;
      if (!each.lost && each.what == standin::Heard::What::throttled && each.ended >= begin) ++throttled;
      if (!each.lost) continue;
      // A front that has not seen yet that a controller is dead still sends to it.
      const auto killed = killedAt_.find(each.controller);
      const bool with =
          killed != killedAt_.end() && each.sent <= *begun_[each.controller] && each.ended >= killed->second;
      ++(with ? lostWithKilled : lost);
    }
    double cpu = 0, own = 0;
    for (std::size_t each = 0; each < begun_.size(); ++each) {
      cpu += cpuSeconds(site_->controller(each).id());
      own = std::max(own, resident(site_->controller(each).id()).own);
    }
    const Load::Books& books = load_->books();
    return Json{
        {"controllers", terms_.controllers},
        {"engines", terms_.engines},
        {"pattern", terms_.pattern},
        {"knows", terms_.knows},
        {"cold", terms_.cold},
        {"list_ms", terms_.listMs},
        {"list_down_ms", terms_.listDownMs},
        {"jobs_a_second", terms_.perSecond * terms_.controllers},
        {"ready_ms_p50", quantile(readyAfter, 0.5)},
        {"ready_ms_p99", quantile(readyAfter, 0.99)},
        {"list",
         {{"dials", dials.size()},
          {"reads", asked.size()},
          {"whole", whole.size()},
          {"peak_1s", peak(asked, 1s)},
          {"peak_100ms", peak(asked, 100ms)},
          {"dials_peak_1s", peak(dials, 1s)}}},
        {"handshakes",
         {{"all", handshakes.size()},
          {"peak_1s", peak(handshakes, 1s)},
          {"peak_100ms", peak(handshakes, 100ms)},
          {"one_peak_1s", worstOfOne}}},
        {"requests",
         {{"all", requests.size()}, {"peak_1s", peak(requests, 1s)}, {"peak_100ms", peak(requests, 100ms)}}},
        {"cold_bound", bound},
        {"cold_most", coldMost},
        {"cold_over", coldOver},
        {"jobs",
         {{"sent", books.sent},
          {"done", done},
          {"done_10s", early},
          {"throttled", throttled},
          {"lost", lost},
          {"lost_with_killed", lostWithKilled},
          {"doubled", books.doubled},
          {"unasked", books.unasked},
          {"ran_twice", site_->ranTwice()}}},
        {"cpu_seconds", cpu},
        {"own_mb", own}};
  }

  const ColdStart terms_;
  Loop loop_;
  std::optional<standin::Site> site_;
  std::optional<Load> load_;
  std::vector<std::optional<Moment>> begun_;
  std::vector<std::optional<double>> readyAfter_;
  std::map<std::size_t, Moment> killedAt_;
  Moment coldUntil_{};
};

}  // namespace

int measureColdStart(const std::string& program, const ColdStart& terms) {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  struct Variant {
    const char* name;
    std::string program, operatorsFile;
  };
  std::vector<Variant> variants;
  if (!terms.before.empty()) variants.push_back({"before", terms.before, ""});
  variants.push_back({"off", program, ""});
  if (!terms.operatorsFile.empty()) variants.push_back({"on", program, terms.operatorsFile});
  if (!terms.json)
    std::printf(
        "%-7s %5s %5s | %8s %8s | %6s %6s %6s %6s | %6s %6s %6s %6s | %7s | %7s %7s %7s %5s %5s | %9s | "
        "%6s\n",
        "", "contr", "eng", "ready50", "ready99", "reads", "whole", "/s", "/100ms", "shakes", "/s", "/100ms",
        "one/s", "asks/s", "in 10 s", "done", "thrott", "lost", "twice", "cold over", "cpu s");
  bool well = true;
  int net = 90;
  for (const Variant& each : variants) {
    Json told = Play(terms, each.program, each.operatorsFile, net++).run();
    told["variant"] = each.name;
    well = well && told["jobs"]["lost"] == 0 && told["jobs"]["doubled"] == 0 &&
           told["jobs"]["ran_twice"] == 0 && (told["variant"] == "before" || told["cold_over"] == 0);
    if (terms.json) {
      std::printf("%s\n", told.dump().c_str());
    } else {
      const auto count = [&](const char* of, const char* key) { return told[of][key].get<unsigned>(); };
      std::printf(
          "%-7s %5u %5u | %8.0f %8.0f | %6u %6u %6u %6u | %6u %6u %6u %6u | %7u | %7u %7u %7u %5u %5u | %4u "
          "(%u/%.0f) | %6.1f\n",
          each.name, terms.controllers, terms.engines, told["ready_ms_p50"].get<double>(),
          told["ready_ms_p99"].get<double>(), count("list", "reads"), count("list", "whole"),
          count("list", "peak_1s"), count("list", "peak_100ms"), count("handshakes", "all"),
          count("handshakes", "peak_1s"), count("handshakes", "peak_100ms"),
          count("handshakes", "one_peak_1s"), count("requests", "peak_1s"), count("jobs", "done_10s"),
          count("jobs", "done"), count("jobs", "throttled"), count("jobs", "lost"),
          count("jobs", "ran_twice"), told["cold_over"].get<unsigned>(), told["cold_most"].get<unsigned>(),
          told["cold_bound"].get<double>(), told["cpu_seconds"].get<double>());
    }
    std::fflush(stdout);
  }
  return well ? 0 : 1;
}

}  // namespace paddletrack::rig
