#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/sliding_window_sum.hpp"
#include "protocol/flat_settings.hpp"

namespace paddletrack::protocol {

/// Typed access to flat settings. An absent setting reads as zero, false or empty, as on the wire. The
/// functions throw ParseError with the key of an invalid value. Keeps a reference to the settings, which must
/// outlive it.
class SettingsReader {
 public:
  explicit SettingsReader(const FlatSettings& settings) : settings_(settings) {}

  bool has(const std::string& key) const { return settings_.count(key) > 0; }
  std::string readString(const std::string& key) const;
  /// Reads a number from zero to 1e12, beyond which products of rates and prices are no longer meaningful.
  double readNumber(const std::string& key) const;
  double readInRange(const std::string& key, double minimum, double maximum) const;
  /// Reads an integer of at least `minimum` and at most 4e9.
  unsigned readUnsigned(const std::string& key, double minimum = 0) const;
  /// Reads the length of a list of objects. Each object has at least one setting, so the number of settings
  /// is the upper limit.
  unsigned readCount(const std::string& key) const;
  /// Reads a number of microseconds.
  Duration readDuration(const std::string& key) const;
  bool readBool(const std::string& key) const;
  /// Reads one of `choices`; returns an empty string if the setting is absent. An unknown value throws; it
  /// does not select the first choice.
  std::string readChoice(const std::string& key, std::initializer_list<const char*> choices) const;
  std::vector<std::string> readList(const std::string& key) const;

  /// Reads an element of a list that has a value for each of `count` objects. The list may be absent.
  double readNumberAt(const std::string& key, std::size_t index, std::size_t count, double minimum) const;
  bool readBoolAt(const std::string& key, std::size_t index, std::size_t count) const;

  /// Reads a list whose elements are names from the list at `namesKey`, or indices into it, and returns the
  /// indices; std::nullopt if the setting is absent. An empty list throws, because it would allow nothing.
  std::optional<std::vector<unsigned>> readIndices(const std::string& key, const std::string& namesKey) const;

 private:
  std::vector<std::string> readParallelList(const std::string& key, std::size_t count) const;

  const FlatSettings& settings_;
};

}  // namespace paddletrack::protocol
