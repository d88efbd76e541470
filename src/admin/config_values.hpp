/// Values of the operator's file in text form: durations, sizes and log levels. The command line uses them
/// too.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "base/logger.hpp"

namespace paddletrack::admin {

/// Parses a number with a unit ("us", "ms", "s", "m" or "h"), such as "250ms" or "1.5m". Throws
/// std::invalid_argument.
std::chrono::microseconds parseDuration(const std::string& text);
/// Formats a duration in the largest unit that gives a whole number.
std::string formatDuration(std::chrono::microseconds duration);

/// Parses a size in bytes, such as "4MiB", "16KiB" or "512". Throws std::invalid_argument.
std::size_t parseByteSize(const std::string& text);
/// Formats a size in the largest binary unit that gives a whole number.
std::string formatByteSize(std::size_t bytes);

/// Parses "debug", "info", "warning" or "error". Throws std::invalid_argument.
LogLevel parseLogLevel(const std::string& name);
const char* nameOf(LogLevel level);

/// Returns the candidate closest to an unknown name by edit distance; an empty string if no candidate is
/// close.
std::string findClosestName(const std::string& name, const std::vector<std::string>& candidates);

}  // namespace paddletrack::admin
