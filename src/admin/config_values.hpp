/// Values of the operator's file in text form: durations, sizes and log levels. The command line uses them
/// too.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "base/logger.hpp"

namespace paddletrack::admin {

/// Reads a number with a unit from "us" to "h", such as "250ms" or "1.5m". Throws std::invalid_argument.
std::chrono::microseconds parseDuration(const std::string& text);
/// Writes a duration in the largest unit that needs no fraction.
std::string formatDuration(std::chrono::microseconds duration);

/// Reads "4MiB", "16KiB" or "512". Throws std::invalid_argument.
std::size_t parseByteSize(const std::string& text);
/// Writes a size in the largest binary unit that needs no fraction.
std::string formatByteSize(std::size_t bytes);

/// Reads "debug", "info", "warning" or "error". Throws std::invalid_argument.
LogLevel parseLogLevel(const std::string& name);
const char* nameOf(LogLevel level);

/// Returns the candidate that an unknown name was probably meant to be, by edit distance; empty if none is
/// close.
std::string findClosestName(const std::string& name, const std::vector<std::string>& candidates);

}  // namespace paddletrack::admin
