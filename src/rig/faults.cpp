// One point after another fails (src/fault/fault.hpp), each in a run of its own: a controller between
// stand-in executors, change log, client and operator plays the same short story every time.
#include <dirent.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "base/error.hpp"
#include "rig/rig.hpp"

namespace paddletrack::rig {
namespace {

using standin::Load;
using Answer = protocol::thrift::Reply::What;

// A job of some milliseconds may wait for a dial time-out (250 ms) and a delay (300 ms), also on a busy
// machine; its client waits for 3 s.
constexpr auto kUsual = 2500ms;
constexpr std::size_t kLookUp = 0, kOrder = 1, kLoad = 2, kReport = 3;

struct Point {
  std::string site;
  unsigned hit = 1;
  std::string kind;
  std::string text() const { return site + "#" + std::to_string(hit) + "=" + kind; }
  // What fails there may end a client's connection: it gets no answer then, and knows it.
  bool ofClient() const {
    return site.starts_with("client.") || site.starts_with("front.") || site == "table.tasks" ||
           site == "table.input" || site == "table.timers" || site == "table.unsent";
  }
};

struct Verdict {
  bool fired = false, ended = false;  // the process ended before it was told to
  std::string wrong, log;             // empty: as it should be
};

std::string textOf(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::size_t descriptorsOf(pid_t process) {
  std::size_t count = 0;
  if (DIR* folder = ::opendir(("/proc/" + std::to_string(process) + "/fd").c_str())) {
    while (const dirent* each = ::readdir(folder)) count += each->d_name[0] != '.';
    ::closedir(folder);
  }
  return count;
}

// One run. What goes wrong in it is kept as the first sentence about it.
class Story {
 public:
  Story(const FaultTerms& wanted, int net, const Point* point) : point_(point) {
    terms_.program = wanted.program;
    terms_.net = net;
    terms_.executors = 2;
    terms_.sockets = 128;
    terms_.notice = "50ms";
    report_ = folder_.path() + "/report";
    terms_.before = {"/usr/bin/env", "PADDLETRACK_FAULT_REPORT=" + report_,
                     "PADDLETRACK_FAULT=" + (point ? point->text() : std::string())};
  }

  Verdict run() {
    Verdict verdict;
    tell();
    verdict.log = textOf(site_->log(0));
    verdict.fired = report().find("fired") != std::string::npos;
    verdict.ended = ended_;
    verdict.wrong = wrong_;
    return verdict;
  }
  std::string report() const { return textOf(report_); }
  std::size_t own() const { return own_; }  // descriptors that are no connection's
  void expectOwn(std::size_t own) { ownWanted_ = own; }

 private:
  void wrong(const std::string& what) {
    if (wrong_.empty()) wrong_ = what;
  }
  void check(bool holds, const std::string& what) {
    if (!holds) wrong(what);
  }
  bool gone() { return site_->controller(0).ended().has_value(); }
  bool until(const std::function<bool()>& done, std::chrono::milliseconds most) {
    return loop_.until([&] { return done() || gone(); }, most) && !gone();
  }
  // A job each, all at once, until each has ended.
  void jobs(std::initializer_list<std::size_t> kinds, const char* when) {
    if (gone()) return;
    const std::size_t first = load_->jobs().size();
    for (const std::size_t each : kinds) load_->send(each, 0);
    until(
        [&] {
          return std::all_of(load_->jobs().begin() + static_cast<long>(first), load_->jobs().end(),
                             [](const Load::Job& job) { return job.answers > 0 || job.lost; });
        },
        6s);
    if (gone()) return;
    for (std::size_t each = first; each < load_->jobs().size(); ++each) {
      const Load::Job& job = load_->jobs()[each];
      check(job.answers > 0 || job.lost, std::string("a job without an end, ") + when);
      check(job.ended - job.sent < kUsual,
            "a job took " + std::to_string(static_cast<int>(milliseconds(job.ended - job.sent))) + " ms, " +
                when);
    }
  }

  void tell() {
    site_.emplace(loop_, loop_.unsent, terms_);
    standin::ChangeLog second(loop_, loop_.unsent, site_->at(251));
    second.tell(site_->listed(), true);
    load_.emplace(loop_, loop_.unsent, site_->fronts(), 5);
    load_->beats(20ms);
    load_->sendsOnce();
    load_->begin(0, {{"look-up", "acme", 0, 3ms, 6ms, 3s},
                     {"order", "acme", 0, 3ms, 6ms, 3s},
                     {"load", "acme", 0, 3ms, 6ms, 3s},
                     {"report", "acme", 0, 3ms, 6ms, 3s, "pages=3"},
                     {"report", "acme", 0, 150ms, 150ms, 3s}});
    if (!until([&] { return load_->inService(0); }, 5s)) {
      if (!gone()) wrong("it does not serve");
      return close();
    }
    served();
    close();
  }

  void served() {
    std::optional<Operator> operators(std::in_place, loop_, site_->door(0));
    operators->ask({{"do", "status"}});
    jobs({kLookUp, kOrder, kLoad, kReport}, "at first");
    // The list changes, the files are read again and the list is then another's.
    standin::ChangeLog::Server third = site_->listed()[0];
    third.id = "s-3";
    site_->changeLog().tell({site_->listed()[1], third});
    jobs({kLookUp, kLoad}, "after the list changed");
    std::string file = textOf(site_->config(0));
    const std::string log =
        "127." + std::to_string(terms_.net / 256) + "." + std::to_string(terms_.net % 256);
    for (std::size_t at = file.find(log + ".250:"); at != std::string::npos; at = file.find(log + ".250:"))
      file.replace(at, log.size() + 4, log + ".251");
    std::ofstream(site_->config(0)) << file;
    site_->controller(0).signal(SIGHUP);
    loop_.pass(50ms);
    jobs({kLookUp, kLoad}, "after SIGHUP");
    // Out of service with a job under way, and back.
    if (!gone()) {
      load_->send(4, 0);
      loop_.pass(20ms);
      operators.emplace(loop_, site_->door(0));
      for (int tried = 0; tried < 3 && !gone(); ++tried) {
        const Json answer = operators->ask({{"do", "drain"}, {"deadline_ms", 2000}});
        if (!answer.is_null() && answer["ok"] == true) break;
        operators.emplace(loop_, site_->door(0));
      }
      drains(operators, "drained");
      for (int tried = 0; tried < 3 && !gone(); ++tried) {
        const Json answer = operators->ask({{"do", "cancel"}});
        if (!answer.is_null() && (answer["ok"] == true || answer["error"]["code"] == "not_draining")) break;
        operators.emplace(loop_, site_->door(0));
      }
      if (!until([&] { return load_->inService(0); }, 3s) && !gone()) wrong("it does not come back");
    }
    // Whatever failed: it serves as before.
    bool well = false;
    for (int tried = 0; tried < 20 && !well && !gone(); ++tried) {
      const std::size_t at = load_->jobs().size();
      jobs({kLookUp}, "at last");
      well = load_->jobs()[at].what == Answer::done && load_->jobs()[at].answers == 1;
      if (!well) loop_.pass(100ms);
    }
    check(well || gone(), "it serves no more");
    if (!gone()) count(operators);
    // Told to end with a job under way.
    if (!gone()) load_->send(4, 0);
    loop_.pass(20ms);
  }

  // By the status, over a fresh line where the last one was lost.
  void drains(std::optional<Operator>& operators, const std::string& state) {
    for (const transport::Moment end = loop_.now() + 5s; loop_.now() < end && !gone(); loop_.pass(20ms)) {
      const Json answer = operators->ask({{"do", "status"}});
      if (answer.is_null()) {
        operators.emplace(loop_, site_->door(0));
      } else if (answer["status"]["state"] == state) {
        return;
      }
    }
    if (!gone()) wrong("it is not " + state);
  }

  // Descriptors that neither a client, an executor nor an operator has: the same ones in every run.
  void count(std::optional<Operator>& operators) {
    bool same = false;
    const bool first = ownWanted_ == 0;  // the run that tells how many they are
    for (int tried = 0; tried < (first ? 4 : 25) && !same && !gone(); ++tried) {
      loop_.pass(60ms);
      const Json status = operators->ask({{"do", "status"}}), engines = operators->ask({{"do", "engines"}});
      if (status.is_null() || engines.is_null()) {
        operators.emplace(loop_, site_->door(0));
        continue;
      }
      std::size_t held = status["status"]["connections"];
      for (const Json& each : engines["engines"])
        held += each["connections"].get<std::size_t>() + each["dialling"].get<std::size_t>();
      own_ = descriptorsOf(site_->controller(0).id()) - held;
      same = !first && own_ <= ownWanted_;
    }
    check(first || same || gone(), "descriptors: " + std::to_string(own_) + " of its own, " +
                                       std::to_string(ownWanted_) + " without the fault");
  }

  void close() {
    ended_ = gone();
    if (!ended_) site_->controller(0).signal(SIGTERM);
    if (!loop_.until([&] { return gone(); }, 8s)) return wrong("it does not end");
    loop_.pass(10ms);
    const int code = *site_->controller(0).ended();
    const std::string log = textOf(site_->log(0));
    if (log.find("Sanitizer") != std::string::npos || log.find("runtime error") != std::string::npos)
      return wrong("a sanitizer speaks");
    const bool killed = point_ && point_->kind == "kill";
    if (killed && code == 128 + SIGKILL) {
      ended_ = true;
    } else if (ended_ || code != 0) {
      ended_ = true;
      check(code == 1 || code == 2, "it ended with " + std::to_string(code));
      bool named = false;
      for (const ErrorRow& each : kErrorKinds)
        named = named || (each.kind != ErrorKind::unexpected && each.exit == code &&
                          log.find(std::string("(") + each.name + ")") != std::string::npos);
      check(named, "it ended with " + std::to_string(code) + " without an error of a kind");
    }
    books();
    if (ended_) again();
  }

  // No answer twice, none missing where a client was not told; nothing run twice that must not be; what was
  // said not to have run did not.
  void books() {
    loop_.until([&] { return load_->books().open == 0; }, 4s);
    check(load_->books().doubled == 0, "an answer came twice");
    check(load_->books().unasked == 0, "an answer to nothing");
    const bool may = ended_ || (point_ && point_->ofClient());
    for (const Load::Job& job : load_->jobs()) {
      unsigned ran = 0;
      for (std::size_t each = 0; each < terms_.executors; ++each)
        ran += site_->executor(each).ran(job.reference);
      if (job.lost) check(may, "a job was lost");
      if (job.kind != kLoad) continue;
      check(ran <= 1, "a run-once job ran " + std::to_string(ran) + " times");
      if (job.answers == 0) continue;
      if (job.what == Answer::done) check(ran == 1, "a run-once job is told as done and ran not");
      if (job.what == Answer::throttled) check(ran == 0, "a run-once job is told as not run, and ran");
    }
  }

  // The one after it takes over all that it left.
  void again() {
    site_->start(0, {});
    if (!until([&] { return load_->inService(0); }, 5s)) return wrong("started again it does not serve");
    const std::size_t at = load_->jobs().size();
    jobs({kLookUp}, "after the start");
    check(load_->jobs()[at].what == Answer::done, "started again it does no job");
    site_->controller(0).signal(SIGTERM);
    loop_.until([&] { return gone(); }, 8s);
    check(gone() && *site_->controller(0).ended() == 0, "started again it does not end well");
  }

  const Point* point_;
  Loop loop_;
  standin::Folder folder_;
  std::string report_;
  standin::SiteTerms terms_;
  std::optional<standin::Site> site_;
  std::optional<Load> load_;
  std::string wrong_;
  bool ended_ = false;
  std::size_t own_ = 0, ownWanted_ = 0;
};

// All points of a run without a fault, each in each kind.
std::vector<Point> pointsOf(const std::string& report, std::size_t& calls, std::size_t& sites) {
  std::vector<Point> all;
  std::istringstream lines(report);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string mark, site, kind;
    unsigned hits = 0;
    if (!(words >> mark >> site >> hits) || mark != "site") continue;
    ++sites;
    calls += hits;
    std::vector<std::string> kinds;
    while (words >> kind) kinds.push_back(kind);
    for (unsigned hit = 1; hit <= hits; ++hit)
      for (const std::string& each : kinds) all.push_back({site, hit, each});
  }
  return all;
}

struct Sum {
  std::size_t runs = 0, fired = 0, ended = 0, wrong = 0;
};

// A part of the points, in a process of its own; its lines: "R|E|U|W point sentence".
void work(const FaultTerms& terms, unsigned which, std::size_t own, const std::vector<Point>& points,
          int out) {
  for (std::size_t each = which; each < points.size(); each += terms.workers) {
    Story story(terms, static_cast<int>(terms.area * 256 + 1 + which), &points[each]);
    story.expectOwn(own);
    const Verdict verdict = story.run();
    const char mark = !verdict.wrong.empty() ? 'W' : !verdict.fired ? 'U' : verdict.ended ? 'E' : 'R';
    const std::string line = std::string(1, mark) + " " + points[each].text() + " " + verdict.wrong + "\n";
    (void)!::write(out, line.data(), line.size());
  }
}

}  // namespace

int injectFaults(const FaultTerms& terms) {
  const transport::Moment began = transport::Clock::now();
  const int net = static_cast<int>(terms.area * 256);
  if (!terms.only.empty()) {
    Point one;
    const std::size_t number = terms.only.find('#'), kind = terms.only.find('=');
    if (number == std::string::npos || kind == std::string::npos || kind < number) {
      std::printf("--only: SITE#N=KIND is expected\n");
      return 1;
    }
    one = {terms.only.substr(0, number), static_cast<unsigned>(std::atoi(terms.only.c_str() + number + 1)),
           terms.only.substr(kind + 1)};
    Story story(terms, net + 1, &one);
    const Verdict verdict = story.run();
    std::printf("%s\n%s: %s%s%s\n", verdict.log.c_str(), one.text().c_str(),
                verdict.fired ? "" : "not reached; ", verdict.ended ? "ended; " : "",
                verdict.wrong.empty() ? "as it should be" : verdict.wrong.c_str());
    return verdict.wrong.empty() ? 0 : 1;
  }
  std::size_t own = 0, calls = 0, sites = 0;
  std::vector<Point> points;
  {
    Story plain(terms, net, nullptr);
    const Verdict verdict = plain.run();
    if (!verdict.wrong.empty()) {
      std::printf("without any fault: %s\n%s\n", verdict.wrong.c_str(), verdict.log.c_str());
      return 1;
    }
    own = plain.own();
    points = pointsOf(plain.report(), calls, sites);
  }
  if (points.empty()) {
    std::printf("no point is numbered: %s is built without PADDLETRACK_FAULTS\n", terms.program.c_str());
    return 1;
  }
  const std::size_t cases = points.size();
  if (!terms.of.empty())
    std::erase_if(points, [&](const Point& each) { return each.site + "=" + each.kind != terms.of; });
  if (!terms.all) {
    // Sites first, hits after: one that is hit a thousand times is not drawn a thousand times as often.
    std::minstd_rand dice(terms.seed);
    std::map<std::string, std::vector<Point>> bySite;
    for (const Point& each : points) bySite[each.site + "=" + each.kind].push_back(each);
    std::vector<Point> drawn;
    for (auto& [site, some] : bySite) drawn.push_back(some[dice() % some.size()]);
    for (std::size_t left = drawn.size(); left > 1; --left) std::swap(drawn[left - 1], drawn[dice() % left]);
    drawn.resize(std::min<std::size_t>(drawn.size(), terms.most));
    points = std::move(drawn);
  }
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) return 1;
  std::vector<pid_t> workers;
  for (unsigned each = 0; each < terms.workers; ++each) {
    const pid_t child = ::fork();
    if (child == 0) {
      ::close(ends[0]);
      work(terms, each, own, points, ends[1]);
      ::_exit(0);
    }
    workers.push_back(child);
  }
  ::close(ends[1]);
  Sum sum;
  std::string pending;
  char bytes[4096];
  for (ssize_t got; (got = ::read(ends[0], bytes, sizeof bytes)) > 0;) {
    pending.append(bytes, static_cast<std::size_t>(got));
    for (std::size_t end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
      const std::string line = pending.substr(0, end);
      pending.erase(0, end + 1);
      ++sum.runs;
      sum.fired += line[0] != 'U';
      sum.ended += line[0] == 'E';
      if (line[0] == 'W') {
        ++sum.wrong;
        std::printf("NOT AS IT SHOULD BE: %s\n", line.c_str() + 2);
        std::fflush(stdout);
      }
    }
  }
  ::close(ends[0]);
  for (const pid_t each : workers) ::waitpid(each, nullptr, 0);
  std::printf(
      "%zu sites, %zu points, %zu cases; %zu runs: %zu reached their point, of these %zu ended the process "
      "as "
      "they may, %zu wrong; %.0f s\n",
      sites, calls, cases, sum.runs, sum.fired, sum.ended, sum.wrong,
      milliseconds(transport::Clock::now() - began) / 1000);
  return sum.wrong == 0 && sum.runs == points.size() ? 0 : 1;
}

}  // namespace paddletrack::rig
