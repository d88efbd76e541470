// Engines with several addresses under faults: whether any dispatch runs twice, and how long the way to the
// first good address takes.
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "protocol/settings.hpp"
#include "rig/rig.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"

namespace paddletrack::rig {
namespace {

using standin::Executor;
using standin::Heard;
using standin::Load;
using transport::Address;
using Fault = Executor::Fault;

constexpr auto kDial = 250ms;  // of the settings; a stagger is a fifth of it
constexpr auto kMargin = 5ms;

enum class Broken { refused, noAnswer, stalls, resets, resetsOnAsk, halfAnswers };
constexpr std::array<std::pair<Broken, const char*>, 6> kBroken{{{Broken::refused, "refused"},
                                                                 {Broken::noAnswer, "no answer"},
                                                                 {Broken::stalls, "accepts, stalls"},
                                                                 {Broken::resets, "resets"},
                                                                 {Broken::resetsOnAsk, "resets on ask"},
                                                                 {Broken::halfAnswers, "half an answer"}}};

// A whole front in this process, one engine of two addresses.
struct Front : Loop {
  explicit Front(const std::string& told)
      : settings(protocol::decode(protocol::pathsOfLines(told))),
        say([](const Said&) {}),
        desk(*this, unsent, settings, {4000, {4, 400, settings.dialTimeout, settings.idleClose}}, 7, say),
        clients(*this, unsent, Address("127.0.73.9:18443"), {200, 1 << 20, 1 << 20}, desk, say),
        load(*this, unsent, {Address("127.0.73.9:18443")}, 3) {}
  const protocol::Told settings;
  const Say say;
  routing::Desk desk;
  routing::ClientSide clients;
  Load load;
};

std::string settings() {
  std::string lines =
      "balancers=1\nzones=a\nmachineTypes=m\nfamilyInfo.kindCores=512\nprofiles.count=3\nlimits.mostTries=3\n"
      "limits.cancelling=true\nlimits.retryAfter=true\nlimits.maxRetryAfterUs=900000\nlimits.streamsPerConn="
      "4\n"
      "limits.dialTimeoutUs=250000\nlimits.idleCloseUs=9000000\ntickUs=5000\n";
  const char* names[] = {"again", "keyed", "once"};
  const char* effects[] = {"retryable", "dedup", "fragile"};
  for (int each = 0; each < 3; ++each) {
    const std::string at = "profiles." + std::to_string(each) + ".";
    lines += at + "name=" + names[each] + "\n" + at + "idempotency=" + effects[each] + "\n" + at +
             "group=all\n" + at + "windowUs=60000000\n" + at + "onTimeUs=800000\n" + at +
             "giveUpUs=2000000\n";
  }
  return lines;
}

// The bad address comes first in the list and in the preference; its family is one of three, the good one
// another.
struct Case {
  Broken broken;
  int family;
  std::size_t kind;
};

struct Sum {
  std::uint64_t dispatches = 0, jobs = 0, done = 0, onceTwice = 0, keyedAgain = 0;
  std::vector<double> first, later;
};

bool play(const Case& one, std::uint64_t jobs, Sum& sum) {
  Front front(settings());
  const standin::Folder folder;
  const std::array<std::string, 3> names{"unix:" + folder.path() + "/e", "[::1]:18473", "127.0.73.1:18443"};
  const std::string bad = names[static_cast<std::size_t>(one.family)],
                    good = names[(static_cast<std::size_t>(one.family) + 1) % 3];
  Executor executor(front, front.unsent, Address(good));
  std::optional<standin::Mute> mute;
  if (one.broken == Broken::noAnswer && one.family != 0) {
    mute.emplace(Address(bad));
  } else if (one.broken != Broken::refused && one.broken != Broken::noAnswer) {
    const std::size_t place = executor.also(Address(bad));
    executor.fail(place, one.broken == Broken::stalls        ? Fault::deaf
                         : one.broken == Broken::resets      ? Fault::reset
                         : one.broken == Broken::resetsOnAsk ? Fault::resetOnAsk
                                                             : Fault::halfAnswer);
  }
  std::vector<reach::Family> prefer{reach::Family::local, reach::Family::ipv6, reach::Family::ipv4};
  std::rotate(prefer.begin(), prefer.begin() + one.family, prefer.end());
  front.desk.prefer(prefer);
  protocol::Change change;
  change.whole = true;
  protocol::Entry entry{"s-1", bad, "a", "m", 0, Standing::ready, 0};
  entry.more = {bad, good};
  change.entries.push_back(entry);
  front.desk.listed(change);
  const char* types[] = {"again", "keyed", "once"};
  front.load.begin(0, {{types[one.kind], "", 1, 1ms, 1ms, 2000ms}});
  // The first job alone: the way to the good address.
  front.load.send(0, 0);
  front.until([&] { return front.load.books().open == 0; }, 3s);
  if (front.load.jobs()[0].what == Heard::What::done)
    sum.first.push_back(milliseconds(front.load.jobs()[0].ended - front.load.jobs()[0].sent) - 1);
  for (std::uint64_t sent = 1; sent < jobs;) {
    for (int each = 0; each < 40 && sent < jobs; ++each, ++sent) front.load.send(0, 0);
    front.until([&] { return front.load.books().open < 10; }, 3s);
    if (sent % 400 == 1) executor.cut();  // every connection, now and then
  }
  front.until([&] { return front.load.books().open == 0; }, 4s);
  const auto& totals = front.desk.totals();
  for (const std::uint64_t each : totals.ends) sum.dispatches += each;
  // A restartable job may run again, and a keyed one: its executors know a repeat by its mark. A run-once may
  // not.
  if (one.kind == 1) sum.keyedAgain += executor.ranTwice();
  if (one.kind == 2) sum.onceTwice += executor.ranTwice();
  for (std::size_t each = 0; each < front.load.jobs().size(); ++each) {
    const Load::Job& job = front.load.jobs()[each];
    ++sum.jobs;
    if (job.what != Heard::What::done || job.lost) continue;
    ++sum.done;
    if (each > 0) sum.later.push_back(milliseconds(job.ended - job.sent) - 1);
  }
  const Load::Books& books = front.load.books();
  return books.lost == 0 && books.doubled == 0 && books.unasked == 0 && front.load.books().open == 0;
}

}  // namespace

int measureAddresses(unsigned jobs) {
  bool well = true;
  std::printf(
      "One engine of two addresses, the preferred one broken; stand-ins on loopback; dial time-out %lld ms, "
      "stagger\n"
      "%lld ms. ms over the job's own 1 ms: of the first job, if it was done, and of all later ones\n\n",
      static_cast<long long>(kDial.count()), static_cast<long long>(kDial.count() / 5));
  std::printf("%-16s %8s %10s %10s %10s %10s %8s %10s %10s\n", "broken so", "jobs", "first p50", "first p99",
              "later p50", "later p99", "done", "once twice", "keyed again");
  std::uint64_t dispatches = 0, twice = 0;
  for (const auto& [broken, name] : kBroken) {
    Sum sum;
    for (int family = 0; family < 3; ++family)
      for (std::size_t kind = 0; kind < 3; ++kind) well = play({broken, family, kind}, jobs, sum) && well;
    // What was sent whole to a bad address is judged by the decision module, not by the way.
    const double most = broken == Broken::refused    ? milliseconds(kMargin)
                        : broken == Broken::noAnswer ? milliseconds(kDial / 5 + kMargin)
                                                     : 1e9;
    const bool inTime = quantile(sum.first, 0.99) < most && sum.onceTwice == 0;
    well = well && inTime;
    dispatches += sum.dispatches;
    twice += sum.onceTwice;
    std::printf("%-16s %8llu %10.1f %10.1f %10.1f %10.1f %7.2f%% %10llu %10llu%s\n", name,
                static_cast<unsigned long long>(sum.jobs), quantile(sum.first, 0.5),
                quantile(sum.first, 0.99), quantile(sum.later, 0.5), quantile(sum.later, 0.99),
                100 * static_cast<double>(sum.done) / static_cast<double>(sum.jobs),
                static_cast<unsigned long long>(sum.onceTwice),
                static_cast<unsigned long long>(sum.keyedAgain), inTime ? "" : " NOT AS IT SHOULD BE");
    std::fflush(stdout);
  }
  std::printf("\n%llu dispatches, run-once ones run twice: %llu\n",
              static_cast<unsigned long long>(dispatches), static_cast<unsigned long long>(twice));
  return well && twice == 0 ? 0 : 1;
}

// A fleet of a thousand: as it was, with one good address each; the same with that address broken in a third;
// with three addresses each, of which a third are broken, the preferred one in a third of the engines.
int measureFleet(const std::string& program, const std::string& before, unsigned engines) {
  struct Variant {
    const char* name;
    const std::string& program;
    int kind;  // 0: one good address; 1: one, refused in a third; 2, 3: three, a third refused, a third
               // silent
  };
  std::vector<Variant> variants;
  if (!before.empty()) {
    variants.push_back({"before, one good", before, 0});
    variants.push_back({"before, a third bad", before, 1});
  }
  variants.push_back({"one good", program, 0});
  variants.push_back({"three, a third bad", program, 2});
  variants.push_back({"three, third silent", program, 3});
  const std::string silent = "[::1]:18499";
  const standin::Mute mute{Address(silent)};
  std::printf("%u engines, 400 jobs a second for 12 s\n\n", engines);
  std::printf("%-20s %8s %9s %9s %9s %9s %8s %8s\n", "", "jobs", "in time", "p50 ms", "p99 ms", "dials/s",
              "most fds", "CPU %");
  for (const Variant& variant : variants) {
    Loop loop;
    standin::SiteTerms terms;
    terms.program = variant.program;
    terms.net = 74;
    terms.doors = false;
    terms.executors = engines;
    terms.sockets = 4096;
    const standin::Folder folder;
    const auto local = [&](unsigned executor) { return folder.path() + "/e" + std::to_string(executor); };
    terms.listed = [&](standin::ChangeLog::Server& said, unsigned executor, const std::string&) {
      const std::string dead =
          "127.0.75." + std::to_string(1 + executor % 200) + ":" + std::to_string(19000 + executor / 200);
      const bool third = executor % 3 == 0;
      if (variant.kind == 1 && third) said.address = dead;
      if (variant.kind < 2) return;
      said.more = {"unix:" + (third ? folder.path() + "/none" : local(executor)),
                   executor % 3 == 1 ? "[::1]:1" : dead, said.address};
      if (third) said.more[1] = said.address;
      if (third && variant.kind == 3) said.more = {silent, said.address, dead};
    };
    standin::Site site(loop, loop.unsent, terms);
    for (unsigned each = 0; variant.kind >= 2 && each < engines; ++each)
      if (each % 3 != 0) site.executor(each).also(Address("unix:" + local(each)));
    Load load(loop, loop.unsent, site.fronts(), 4);
    if (!loop.until([&] { return load.inService(0); }, 10s))
      throw std::runtime_error("the controller does not serve");
    const std::string process = "/proc/" + std::to_string(site.controller(0).id());
    const auto cpu = [&] {  // seconds
      std::ifstream file(process + "/stat");
      const std::string line((std::istreambuf_iterator<char>(file)), {});
      std::istringstream words(line.substr(line.rfind(')') + 2));
      std::string word;
      double ticks = 0;
      for (int each = 3; each <= 15 && words >> word; ++each)
        if (each >= 14) ticks += std::stod(word);
      return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    };
    load.begin(400, {standin::Site::lookUps(9), {"report", "acme", 1, 200ms, 1000ms, 20s}});
    const double cpuBefore = cpu();
    const transport::Moment begin = loop.now();
    std::size_t descriptors = 0;
    while (loop.now() < begin + 12s) {
      loop.pass(500ms);
      const std::filesystem::directory_iterator open(process + "/fd");
      descriptors = std::max(descriptors, static_cast<std::size_t>(std::distance(
                                              std::filesystem::begin(open), std::filesystem::end(open))));
    }
    const double used = cpu() - cpuBefore;
    load.end();
    loop.until([&] { return load.books().open == 0; }, 22s);
    std::size_t inTime = 0;
    std::vector<double> times;
    for (const Load::Job& job : load.jobs()) {
      if (job.what != Heard::What::done || job.lost) continue;
      const double ms = milliseconds(job.ended - job.sent);
      times.push_back(ms);
      if (ms < (job.kind == 0 ? 600 : 2000)) ++inTime;
    }
    std::ifstream file(site.log(0));
    double dials = 0;  // as its last line of counts has it, of the first ten seconds
    for (std::string line; std::getline(file, line);)
      if (const std::size_t at = line.find(" dialled"); at != std::string::npos)
        dials = std::stod(line.substr(line.rfind(' ', at - 1) + 1));
    std::printf(
        "%-20s %8zu %8.2f%% %9.1f %9.1f %9.0f %8zu %8.1f\n", variant.name, load.jobs().size(),
        100 * static_cast<double>(inTime) / static_cast<double>(std::max<std::size_t>(1, load.jobs().size())),
        quantile(times, 0.5), quantile(times, 0.99), dials / 10, descriptors, 100 * used / 12);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace paddletrack::rig
