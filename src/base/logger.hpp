#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "base/error.hpp"

namespace paddletrack {

/// The severity of a log record, in ascending order, so that records below a threshold can be dropped by
/// comparison.
// NOLINTNEXTLINE(performance-enum-size): the command line parser reads a one-byte type as a character.
enum class LogLevel { debug, info, warning, error };

/// A structured value in addition to the message, for programs that read the log.
struct LogField {
  const char* name;
  std::string value;
};

/// One line of the log. The message must be understandable without the fields.
struct LogRecord {
  LogLevel level = LogLevel::info;
  /// One of a fixed set of names. Operators filter by topic, and the log writer limits the rate of lines per
  /// topic.
  const char* topic = "";
  std::string message;
  std::vector<LogField> fields{};
};

/// Passes log records to a sink. Components hold a logger by reference and do not depend on the sink: the
/// program writes the records to standard error, tests collect them.
class Logger {
 public:
  using Fields = std::initializer_list<LogField>;
  using Sink = std::function<void(const LogRecord&)>;

  explicit Logger(Sink sink) : sink_(std::move(sink)) {}

  void debug(const char* topic, std::string message, Fields fields = {}) const {
    log(LogLevel::debug, topic, std::move(message), fields);
  }
  void info(const char* topic, std::string message, Fields fields = {}) const {
    log(LogLevel::info, topic, std::move(message), fields);
  }
  void warning(const char* topic, std::string message, Fields fields = {}) const {
    log(LogLevel::warning, topic, std::move(message), fields);
  }
  void error(const char* topic, std::string message, Fields fields = {}) const {
    log(LogLevel::error, topic, std::move(message), fields);
  }

  /// Logs `prefix` and the text of `error`, with the error's kind, context and hint as the first fields.
  void warning(const char* topic, const Error& error, Fields fields = {},
               const std::string& prefix = "") const {
    logError(LogLevel::warning, topic, error, fields, prefix);
  }
  /// Logs an error that ends the process or a part of it; the arguments are those of `warning`.
  void error(const char* topic, const Error& error, Fields fields = {},
             const std::string& prefix = "") const {
    logError(LogLevel::error, topic, error, fields, prefix);
  }

  /// For existing callers that do not name the level. New code calls the functions above.
  void operator()(const char* topic, std::string message, Fields fields = {},
                  LogLevel level = LogLevel::info) const {
    log(level, topic, std::move(message), fields);
  }
  void operator()(const char* topic, const Error& error, Fields fields = {},
                  LogLevel level = LogLevel::warning, const std::string& prefix = "") const {
    logError(level, topic, error, fields, prefix);
  }

  /// Logs at a level that is determined at run time.
  void log(LogLevel level, const char* topic, std::string message, Fields fields = {}) const {
    sink_({level, topic, std::move(message), fields});
  }

 private:
  void logError(LogLevel level, const char* topic, const Error& error, Fields fields,
                const std::string& prefix) const {
    LogRecord record{level, topic, prefix + error.what(), {{"error", error.kindName()}}};
    if (!error.context().empty()) record.fields.push_back({"where", error.context()});
    record.fields.push_back({"hint", error.hint()});
    record.fields.insert(record.fields.end(), fields);
    sink_(record);
  }

  Sink sink_;
};

}  // namespace paddletrack
