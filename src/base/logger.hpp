#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "base/error.hpp"

namespace paddletrack {

enum class LogLevel { debug, info, warning, error };

// One line for the log. Fields are for machines: the line says by itself what a person needs.
struct LogRecord {
  LogLevel level = LogLevel::info;
  const char* topic = "";  // by which lines are counted, of a few fixed ones
  std::string message;
  std::vector<std::pair<const char*, std::string>> fields{};
};

// The one way in which all parts speak to the operators; what becomes of it is its maker's.
class Logger {
 public:
  using Fields = std::initializer_list<std::pair<const char*, std::string>>;

  explicit Logger(std::function<void(const LogRecord&)> sink) : sink_(std::move(sink)) {}
  void operator()(const char* topic, std::string message, Fields fields = {},
                  LogLevel level = LogLevel::info) const {
    sink_({level, topic, std::move(message), fields});
  }
  // An error: its text as the line (after `before`, if any), its kind, place and hint as fields.
  void operator()(const char* topic, const Error& error, Fields extraFields = {},
                  LogLevel level = LogLevel::warning, const std::string& prefix = "") const {
    LogRecord record{level, topic, prefix + error.what(), {{"error", error.kindName()}}};
    if (!error.context().empty()) record.fields.emplace_back("where", error.context());
    record.fields.emplace_back("hint", error.hint());
    record.fields.insert(record.fields.end(), extraFields);
    sink_(record);
  }

 private:
  std::function<void(const LogRecord&)> sink_;
};

}  // namespace paddletrack
