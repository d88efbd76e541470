#include "program/log_writer.hpp"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace paddletrack::program {
namespace {

constexpr unsigned kMaxLinesPerSecond = 5;  // Per topic.

spdlog::level::level_enum toSpdlogLevel(LogLevel level) {
  static constexpr std::array<spdlog::level::level_enum, 4> kLevels{spdlog::level::debug, spdlog::level::info,
                                                                    spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<std::size_t>(level)];
}

// A writable pipe accepts 4,096 bytes without blocking; a line with a message of this size and its fields is
// shorter.
constexpr std::size_t kMaxMessageBytes = 2048;

// The process has a single thread, and the reader of the log may have stopped: a line whose write would block
// is suppressed. A failed poll() counts as writable.
bool canWriteToStderr() {
  pollfd standardError{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&standardError, 1, 0) != 0;
}

std::string formatJsonLine(const LogRecord& record, const std::string& message,
                           std::uint64_t suppressedCount) {
  const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
  const auto wallTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count();
  nlohmann::ordered_json line{{"time", static_cast<double>(wallTimeMs) / 1000},
                              {"level", admin::nameOf(record.level)},
                              {"topic", record.topic},
                              {"text", message}};
  for (const auto& [name, value] : record.fields) line[name] = value;
  if (suppressedCount > 0) line["left_out_before"] = suppressedCount;
  // Messages can contain bytes from peers, which need not be valid UTF-8.
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string formatTextLine(const LogRecord& record, const std::string& message,
                           std::uint64_t suppressedCount) {
  constexpr unsigned char kFirstPrintable = 0x20;
  std::string line = std::string(record.topic) + ": " + message;
  // Messages can contain bytes from peers: control characters must not break the line.
  for (char& character : line)
    if (static_cast<unsigned char>(character) < kFirstPrintable) character = ' ';
  if (suppressedCount > 0) line += " (" + std::to_string(suppressedCount) + " lines suppressed before)";
  return line;
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

bool LogWriter::isEnabled(const LogRecord& record) const {
  const auto topicLevel = topicLevels_.find(record.topic);
  return record.level >= (topicLevel == topicLevels_.end() ? level_ : topicLevel->second);
}

void LogWriter::write(const LogRecord& record) {
  if (!isEnabled(record)) return;
  TopicState& topicState = topics_[record.topic];
  const auto now = std::chrono::steady_clock::now();
  if (now - topicState.windowStartedAt >= std::chrono::seconds(1)) {
    topicState.windowStartedAt = now;
    topicState.lineCount = 0;
  }
  ++topicState.lineCount;
  if (topicState.lineCount > kMaxLinesPerSecond || !canWriteToStderr()) {
    ++topicState.suppressedCount;
    return;
  }
  const std::string message = record.message.substr(0, kMaxMessageBytes);
  const std::uint64_t suppressedCount = std::exchange(topicState.suppressedCount, 0);
  const auto formatLine = format_ == admin::LogFormat::json ? formatJsonLine : formatTextLine;
  logger_->log(toSpdlogLevel(record.level), formatLine(record, message, suppressedCount));
}

}  // namespace paddletrack::program
