#include "command/drain.hpp"

#include <sys/ioctl.h>
#include <unistd.h>

#include <cstdio>

#include "operating/settings.hpp"
#include "operating/words.hpp"

namespace paddletrack::command {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEvery{250};
constexpr milliseconds kSilent{5000};  // without a line of progress
constexpr int kBar = 24;

std::string seconds(const Json& ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", ms.get<double>() / 1000);
  return text;
}

std::string bar(double part) {
  const int full = static_cast<int>(std::clamp(part, 0.0, 1.0) * kBar + 0.5);
  std::string out = "[";
  for (int each = 0; each < kBar; ++each) out += each < full ? '#' : '.';
  return out + "]";
}

int failed(const Json& answer, bool json) {
  if (json) {
    std::printf("%s\n", answer.dump().c_str());
  } else {
    told(Error(ErrorKind::refused, "refused", answer["error"]["text"].get<std::string>()));
  }
  return kRefused;
}

// What a drain came to, once it is over; none while it runs.
std::optional<int> verdict(const Json& status, std::uint64_t number) {
  const Json& drain = status["drain"];
  if (drain.is_null() || drain["number"] != number || drain["cancelled"] == true) return kCancelled;
  if (status["state"] == "drained") return drain["missed"] == true ? kMissed : kWell;
  return std::nullopt;
}

std::string sentence(const Json& status, int code) {
  const Json& drain = status["drain"];
  const std::string after = drain.is_null() || drain["drained_after_ms"].is_null()
                                ? ""
                                : " after " + seconds(drain["drained_after_ms"]);
  if (code == kCancelled) return "cancelled: it is " + status["state"].get<std::string>() + " again";
  const Json& since = drain["since_ask"];
  std::string line = "drained" + after + ": " + since["done"].dump() + " done, " + since["throttled"].dump() +
                     " throttled, " + since["cancelled"].dump() + " cancelled for good, " +
                     since["left"].dump() + " left by their clients, " + since["turned_away"].dump() +
                     " turned away";
  if (code == kMissed) line += "; the deadline ended " + drain["ended_by_deadline"].dump() + " jobs";
  return line;
}

// As much of a line as fits on the terminal's: what wraps can't be drawn over.
std::string fitting(std::string line) {
  winsize size{};
  if (::ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) == 0 && size.ws_col > 1 && line.size() >= size.ws_col)
    line.resize(size.ws_col - 1U);
  return line;
}

int watch(const std::string& path, Call& call, const DrainWish& wish) {
  const Json first = call.ask(operating::watchRequest(kEvery));
  if (first["ok"] != true) return failed(first, wish.json);
  const bool terminal = ::isatty(STDOUT_FILENO) == 1 && !wish.json;
  const std::uint64_t number =
      first["status"]["drain"].is_null() ? 0 : first["status"]["drain"]["number"].get<std::uint64_t>();
  std::string shown;
  Json status = first["status"];
  for (;;) {
    if (wish.json) {
      std::printf("%s\n", status.dump().c_str());
    } else if (const std::string line = progressLine(status); terminal) {
      std::printf("\r\x1b[2K%s", fitting(line).c_str());
    } else if (line != shown) {
      std::printf("%s\n", line.c_str());
      shown = line;
    }
    std::fflush(stdout);
    if (const auto code = verdict(status, number)) {
      if (!wish.json) std::printf("%s%s\n", terminal ? "\r\x1b[2K" : "", sentence(status, *code).c_str());
      return *code;
    }
    const auto heard = call.hear(std::chrono::steady_clock::now() + kSilent);
    if (!heard) throw NoAnswer(path, "no progress is told any more");
    if (heard->contains("status")) status = (*heard)["status"];
  }
}

}  // namespace

std::string progressLine(const Json& status) {
  const Json& drain = status["drain"];
  const Json& open = status["open"];
  std::string line;
  if (!drain.is_null()) {
    const double jobs = open["jobs"].get<double>();
    const double before = std::max(drain["open_at_ask"].get<double>(), jobs);
    line = bar(before > 0 ? 1 - jobs / before : 1) + " ";
  }
  line += status["state"].get<std::string>() + "  open " + open["jobs"].dump();
  std::string types;
  for (const auto& [name, count] : open["by_type"].items())
    if (count != 0) types += (types.empty() ? " (" : ", ") + count.dump() + " " + name;
  if (!types.empty()) line += types + ")";
  line += "  dispatches " + open["dispatches"].dump();
  if (open["bytes_unsent"] != 0) line += "  unsent " + open["bytes_unsent"].dump() + " B";
  if (open["jobs"] != 0) line += "  longest left " + seconds(open["longest_left_ms"]);
  if (!drain.is_null() && drain["deadline_in_ms"].get<std::int64_t>() > 0 && status["state"] != "drained")
    line += "  deadline in " + seconds(drain["deadline_in_ms"]);
  if (const Json& end = status["expected_end"]; !end.is_null() && open["jobs"] != 0)
    line += "  expected end (estimate) in " + seconds(end["in_ms"]);
  return line;
}

int drain(const std::string& path, const DrainWish& wish) {
  try {
    Call call(path);
    const Json answer = call.ask(wish.cancel ? operating::cancelRequest()
                                             : operating::drainRequest(wish.deadline, wish.comeBack));
    if (answer["ok"] != true) return failed(answer, wish.json);
    if (wish.watch && !wish.cancel) return watch(path, call, wish);
    if (wish.json) {
      std::printf("%s\n", answer["status"].dump().c_str());
    } else {
      std::printf("%s\n", progressLine(answer["status"]).c_str());
    }
    return kWell;
  } catch (const NoAnswer& error) {
    return told(error);
  }
}

int status(const std::string& path, bool json) {
  try {
    const Json answer = Call(path).ask(operating::statusRequest());
    if (answer["ok"] != true) return failed(answer, json);
    const Json& heard = answer["status"];
    if (json) {
      std::printf("%s\n", heard.dump().c_str());
      return kWell;
    }
    const Json &open = heard["open"], &totals = heard["totals"], &drain = heard["drain"];
    const auto row = [](const char* name, const std::string& value) {
      std::printf("%-14s %s\n", name, value.c_str());
    };
    row("controller", heard["name"].get<std::string>() + ", process " + heard["process"].dump() + ", up " +
                          seconds(heard["up_ms"]));
    row("state",
        heard["state"].get<std::string>() + (heard["stopping"] == true ? ", the process is to end" : ""));
    std::string types;
    for (const auto& [name, count] : open["by_type"].items())
      types += (types.empty() ? "" : ", ") + count.dump() + " " + name;
    row("open", open["jobs"].dump() + " jobs: " + types + "; " + open["dispatches"].dump() +
                    " dispatches out, " + open["bytes_unsent"].dump() + " bytes unsent");
    row("since start", totals["taken"].dump() + " taken, " + totals["done"].dump() + " done, " +
                           totals["throttled"].dump() + " throttled, " + totals["cancelled"].dump() +
                           " cancelled for good, " + totals["left"].dump() + " left, " +
                           totals["turned_away"].dump() + " turned away");
    if (!drain.is_null()) row(("drain " + drain["number"].dump()).c_str(), progressLine(heard));
    return kWell;
  } catch (const NoAnswer& error) {
    return told(error);
  }
}

}  // namespace paddletrack::command
