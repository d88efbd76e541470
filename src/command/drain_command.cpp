#include "command/drain_command.hpp"

#include <sys/ioctl.h>
#include <unistd.h>

#include <cstdio>

#include "admin/admin_protocol.hpp"
#include "admin/operator_config.hpp"

namespace paddletrack::command {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWatchInterval{250};
constexpr milliseconds kProgressTimeout{5000};  // Maximum time between progress events.
constexpr int kBarWidth = 24;

std::string seconds(const Json& duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", duration.get<double>() / 1000);
  return text;
}

std::string formatBar(double fraction) {
  const int filledCount = static_cast<int>(std::clamp(fraction, 0.0, 1.0) * kBarWidth + 0.5);
  std::string text = "[";
  for (int index = 0; index < kBarWidth; ++index) text += index < filledCount ? '#' : '.';
  return text + "]";
}

int reportRefusal(const Json& response, bool json) {
  if (json) {
    std::printf("%s\n", response.dump().c_str());
  } else {
    reportError(
        Error(ErrorKind::adminRequestRefused, "refused", response["error"]["text"].get<std::string>()));
  }
  return kExitRefused;
}

// Returns the exit code of a finished drain, or std::nullopt while it is in progress.
std::optional<int> drainExitCode(const Json& status, std::uint64_t drainNumber) {
  const Json& drain = status["drain"];
  if (drain.is_null() || drain["number"] != drainNumber || drain["cancelled"] == true) return kExitCancelled;
  if (status["state"] == "drained") return drain["missed"] == true ? kExitDeadlineMissed : kExitSuccess;
  return std::nullopt;
}

std::string summarizeDrain(const Json& status, int exitCode) {
  const Json& drain = status["drain"];
  const std::string duration = drain.is_null() || drain["drained_after_ms"].is_null()
                                   ? ""
                                   : " after " + seconds(drain["drained_after_ms"]);
  if (exitCode == kExitCancelled)
    return "cancelled: the controller is " + status["state"].get<std::string>() + " again";
  const Json& counts = drain["since_ask"];
  std::string line = "drained" + duration + ": " + counts["done"].dump() + " done, " +
                     counts["throttled"].dump() + " rejected, " + counts["cancelled"].dump() + " failed, " +
                     counts["left"].dump() + " abandoned by their clients, " + counts["turned_away"].dump() +
                     " rejected by the drain";
  if (exitCode == kExitDeadlineMissed)
    line += "; the deadline ended " + drain["ended_by_deadline"].dump() + " requests";
  return line;
}

// Truncates a line to the width of the terminal, because a wrapped line cannot be overwritten in place.
std::string truncateToTerminal(std::string line) {
  winsize size{};
  if (::ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) == 0 && size.ws_col > 1 && line.size() >= size.ws_col)
    line.resize(size.ws_col - 1U);
  return line;
}

int watchDrain(const std::string& path, AdminClient& client, const DrainRequest& request) {
  const Json firstResponse = client.call(admin::formatWatchRequest(kWatchInterval));
  if (firstResponse["ok"] != true) return reportRefusal(firstResponse, request.json);
  const bool isTerminal = ::isatty(STDOUT_FILENO) == 1 && !request.json;
  const std::uint64_t drainNumber = firstResponse["status"]["drain"].is_null()
                                        ? 0
                                        : firstResponse["status"]["drain"]["number"].get<std::uint64_t>();
  std::string lastLine;
  Json status = firstResponse["status"];
  for (;;) {
    if (request.json) {
      std::printf("%s\n", status.dump().c_str());
    } else if (const std::string line = formatProgress(status); isTerminal) {
      std::printf("\r\x1b[2K%s", truncateToTerminal(line).c_str());
    } else if (line != lastLine) {
      std::printf("%s\n", line.c_str());
      lastLine = line;
    }
    std::fflush(stdout);
    if (const auto exitCode = drainExitCode(status, drainNumber)) {
      if (!request.json)
        std::printf("%s%s\n", isTerminal ? "\r\x1b[2K" : "", summarizeDrain(status, *exitCode).c_str());
      return *exitCode;
    }
    const auto message = client.receive(std::chrono::steady_clock::now() + kProgressTimeout);
    if (!message) throw NoResponse(path, "progress events stopped");
    if (message->contains("status")) status = (*message)["status"];
  }
}

}  // namespace

std::string formatProgress(const Json& status) {
  const Json& drain = status["drain"];
  const Json& openWork = status["open"];
  std::string line;
  if (!drain.is_null()) {
    const double openRequests = openWork["jobs"].get<double>();
    const double initialRequests = std::max(drain["open_at_ask"].get<double>(), openRequests);
    line = formatBar(initialRequests > 0 ? 1 - openRequests / initialRequests : 1) + " ";
  }
  line += status["state"].get<std::string>() + "  open " + openWork["jobs"].dump();
  std::string classes;
  for (const auto& [name, count] : openWork["by_type"].items())
    if (count != 0) classes += (classes.empty() ? " (" : ", ") + count.dump() + " " + name;
  if (!classes.empty()) line += classes + ")";
  line += "  attempts " + openWork["dispatches"].dump();
  if (openWork["bytes_unsent"] != 0) line += "  unsent " + openWork["bytes_unsent"].dump() + " B";
  if (openWork["jobs"] != 0) line += "  longest time left " + seconds(openWork["longest_left_ms"]);
  if (!drain.is_null() && drain["deadline_in_ms"].get<std::int64_t>() > 0 && status["state"] != "drained")
    line += "  deadline in " + seconds(drain["deadline_in_ms"]);
  if (const Json& expectedCompletion = status["expected_end"];
      !expectedCompletion.is_null() && openWork["jobs"] != 0)
    line += "  estimated completion in " + seconds(expectedCompletion["in_ms"]);
  return line;
}

int runDrainCommand(const std::string& path, const DrainRequest& request) {
  try {
    AdminClient client(path);
    const Json response =
        client.call(request.cancel ? admin::formatCancelRequest()
                                   : admin::formatDrainRequest(request.deadline, request.retryAfter));
    if (response["ok"] != true) return reportRefusal(response, request.json);
    if (request.watch && !request.cancel) return watchDrain(path, client, request);
    if (request.json) {
      std::printf("%s\n", response["status"].dump().c_str());
    } else {
      std::printf("%s\n", formatProgress(response["status"]).c_str());
    }
    return kExitSuccess;
  } catch (const NoResponse& error) {
    return reportError(error);
  }
}

int runStatusCommand(const std::string& path, bool json) {
  try {
    const Json response = AdminClient(path).call(admin::formatStatusRequest());
    if (response["ok"] != true) return reportRefusal(response, json);
    const Json& controllerStatus = response["status"];
    if (json) {
      std::printf("%s\n", controllerStatus.dump().c_str());
      return kExitSuccess;
    }
    const Json &openWork = controllerStatus["open"], &totals = controllerStatus["totals"],
               &drain = controllerStatus["drain"];
    const auto printRow = [](const char* name, const std::string& value) {
      std::printf("%-14s %s\n", name, value.c_str());
    };
    printRow("controller", controllerStatus["name"].get<std::string>() + ", process " +
                               controllerStatus["process"].dump() + ", up " +
                               seconds(controllerStatus["up_ms"]));
    printRow("state", controllerStatus["state"].get<std::string>() +
                          (controllerStatus["stopping"] == true ? ", process stopping" : ""));
    std::string classes;
    for (const auto& [name, count] : openWork["by_type"].items())
      classes += (classes.empty() ? "" : ", ") + count.dump() + " " + name;
    printRow("open", openWork["jobs"].dump() + " requests: " + classes + "; " +
                         openWork["dispatches"].dump() + " attempts in flight, " +
                         openWork["bytes_unsent"].dump() + " bytes unsent");
    printRow("since start", totals["taken"].dump() + " accepted, " + totals["done"].dump() + " done, " +
                                totals["throttled"].dump() + " rejected, " + totals["cancelled"].dump() +
                                " failed, " + totals["left"].dump() + " abandoned, " +
                                totals["turned_away"].dump() + " rejected by the drain");
    if (!drain.is_null())
      printRow(("drain " + drain["number"].dump()).c_str(), formatProgress(controllerStatus));
    return kExitSuccess;
  } catch (const NoResponse& error) {
    return reportError(error);
  }
}

}  // namespace paddletrack::command
