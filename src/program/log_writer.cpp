#include "program/log_writer.hpp"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace paddletrack::program {
namespace {

constexpr unsigned kMaxLinesPerSecond = 5;

spdlog::level::level_enum toSpdlogLevel(LogLevel level) {
  static constexpr std::array<spdlog::level::level_enum, 4> kLevels{spdlog::level::debug, spdlog::level::info,
                                                                    spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}

// Whoever reads the log may have stopped, and this process has one thread: a line that would wait for room is
// left out. A pipe that can be written to takes 4,096 bytes at once, a line with its fields has fewer.
constexpr std::size_t kMaxLineBytes = 2048;
bool canWriteToStderr() {
  pollfd standardError{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&standardError, 1, 0) != 0;  // also where it can't be told
}

}  // namespace

LogWriter::LogWriter()
    : logger_(std::make_unique<spdlog::logger>("log", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  logger_->set_level(spdlog::level::trace);
  logger_->flush_on(spdlog::level::trace);
  configure(format_, level_, {});
}

LogWriter::~LogWriter() = default;

void LogWriter::configure(admin::LogFormat format, LogLevel level,
                          const std::map<std::string, LogLevel>& topicLevels) {
  format_ = format;
  level_ = level;
  topicLevels_ = topicLevels;
  logger_->set_pattern(format == admin::LogFormat::json ? "%v" : "%E.%e %v");
}

void LogWriter::write(const LogRecord& record) {
  const auto levelOverride = topicLevels_.find(record.topic);
  if (record.level < (levelOverride == topicLevels_.end() ? level_ : levelOverride->second)) return;
  TopicState& topicState = topics_[record.topic];
  const auto now = std::chrono::steady_clock::now();
  if (now - topicState.windowStartedAt >= std::chrono::seconds(1)) {
    topicState.windowStartedAt = now;
    topicState.lineCount = 0;
  }
  if (++topicState.lineCount > kMaxLinesPerSecond || !canWriteToStderr()) {
    ++topicState.suppressedCount;
    return;
  }
  const std::string message(record.message.substr(0, kMaxLineBytes));
  const std::uint64_t suppressedCount = std::exchange(topicState.suppressedCount, 0);
  if (format_ == admin::LogFormat::json) {
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line{
        {"time",
         static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count()) / 1000},
        {"level", admin::nameOf(record.level)},
        {"topic", record.topic},
        {"text", message}};
    for (const auto& [name, value] : record.fields) line[name] = value;
    if (suppressedCount > 0) line["left_out_before"] = suppressedCount;
    // Peers' bytes need not be UTF-8.
    return logger_->log(toSpdlogLevel(record.level),
                        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
  }
  std::string text = std::string(record.topic) + ": " + message;
  for (char& character : text)
    if (static_cast<unsigned char>(character) < 0x20)
      character = ' ';  // peers' bytes make no lines of their own
  if (suppressedCount > 0) text += " (" + std::to_string(suppressedCount) + " more like it before)";
  logger_->log(toSpdlogLevel(record.level), text);
}

}  // namespace paddletrack::program
