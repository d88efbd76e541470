#include "program/log.hpp"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace paddletrack::program {
namespace {

constexpr unsigned kLinesASecond = 5;

spdlog::level::level_enum of(Level level) {
  static constexpr std::array<spdlog::level::level_enum, 4> kLevels{spdlog::level::debug, spdlog::level::info,
                                                                    spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}

// Whoever reads the log may have stopped, and this process has one thread: a line that would wait for room is
// left out. A pipe that can be written to takes 4,096 bytes at once, a line with its fields has fewer.
constexpr std::size_t kLongestLine = 2048;
bool hasRoom() {
  pollfd sink{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&sink, 1, 0) != 0;  // also where it can't be told
}

}  // namespace

Log::Log()
    : logger_(std::make_unique<spdlog::logger>("log", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  logger_->set_level(spdlog::level::trace);
  logger_->flush_on(spdlog::level::trace);
  change(form_, level_, {});
}

Log::~Log() = default;

void Log::change(operating::LogForm form, Level level, const std::map<std::string, Level>& topics) {
  form_ = form;
  level_ = level;
  levels_ = topics;
  logger_->set_pattern(form == operating::LogForm::json ? "%v" : "%E.%e %v");
}

void Log::say(const Said& said) {
  const auto own = levels_.find(said.topic);
  if (said.level < (own == levels_.end() ? level_ : own->second)) return;
  Topic& topic = topics_[said.topic];
  const auto now = std::chrono::steady_clock::now();
  if (now - topic.second >= std::chrono::seconds(1)) {
    topic.second = now;
    topic.said = 0;
  }
  if (++topic.said > kLinesASecond || !hasRoom()) {
    ++topic.leftOut;
    return;
  }
  const std::string words(said.line.substr(0, kLongestLine));
  const std::uint64_t leftOut = std::exchange(topic.leftOut, 0);
  if (form_ == operating::LogForm::json) {
    const auto clock = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line{
        {"time",
         static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(clock).count()) / 1000},
        {"level", operating::nameOf(said.level)},
        {"topic", said.topic},
        {"text", words}};
    for (const auto& [name, value] : said.fields) line[name] = value;
    if (leftOut > 0) line["left_out_before"] = leftOut;
    // Peers' bytes need not be UTF-8.
    return logger_->log(of(said.level),
                        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
  }
  std::string text = std::string(said.topic) + ": " + words;
  for (char& each : text)
    if (static_cast<unsigned char>(each) < 0x20) each = ' ';  // peers' bytes make no lines of their own
  if (leftOut > 0) text += " (" + std::to_string(leftOut) + " more like it before)";
  logger_->log(of(said.level), text);
}

}  // namespace paddletrack::program
