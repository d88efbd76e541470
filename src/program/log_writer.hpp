#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "admin/operator_config.hpp"
#include "base/logger.hpp"

namespace spdlog {
class logger;
}

namespace paddletrack::program {

/// Writes log records to standard error. The lines per second of each topic are limited, and a line whose
/// write would block is dropped; the next line of the topic states how many were suppressed.
class LogWriter {
 public:
  LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  ~LogWriter();

  void write(const LogRecord& record);
  /// Sets the format and the levels of subsequent records. `level` applies to topics without their own level.
  void configure(admin::LogFormat format, LogLevel level, const std::map<std::string, LogLevel>& topicLevels);

 private:
  struct TopicState {
    std::chrono::steady_clock::time_point windowStartedAt{};
    unsigned lineCount = 0;
    std::uint64_t suppressedCount = 0;
  };
  bool isEnabled(const LogRecord& record) const;

  std::map<std::string, TopicState> topics_;
  admin::LogFormat format_ = admin::LogFormat::text;
  LogLevel level_ = LogLevel::info;
  std::map<std::string, LogLevel> topicLevels_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace paddletrack::program
