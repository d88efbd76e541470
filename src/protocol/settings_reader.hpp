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

/// Typed access to flat settings. An absent setting is zero, false or empty, as on the wire. A value that
/// cannot be used throws ParseError with its key. Keeps a reference to the settings.
class SettingsReader {
 public:
  explicit SettingsReader(const FlatSettings& settings) : settings_(settings) {}

  bool has(const std::string& key) const { return settings_.count(key) > 0; }
  std::string readString(const std::string& key) const;
  /// A number from zero to an upper limit beyond which products of rates and prices lose their meaning.
  double readNumber(const std::string& key) const;
  double readInRange(const std::string& key, double minimum, double maximum) const;
  /// A whole number.
  unsigned readUnsigned(const std::string& key, double minimum = 0) const;
  /// The length of a list of objects. Each object has at least one path, which limits the length.
  unsigned readCount(const std::string& key) const;
  /// A number of microseconds.
  Duration readDuration(const std::string& key) const;
  bool readBool(const std::string& key) const;
  /// One of `choices`, or empty if absent. An unknown word is an error and not the first of them.
  std::string readChoice(const std::string& key, std::initializer_list<const char*> choices) const;
  std::vector<std::string> readList(const std::string& key) const;

  /// An element of a list that is absent or has a value for each of `count` objects.
  double readNumberAt(const std::string& key, std::size_t index, std::size_t count, double minimum) const;
  bool readBoolAt(const std::string& key, std::size_t index, std::size_t count) const;

  /// A list of names from the list at `namesKey`, or of indices into it, as indices; none if it is absent. An
  /// empty list is an error, for it would allow nothing.
  std::optional<std::vector<unsigned>> readIndices(const std::string& key, const std::string& namesKey) const;

 private:
  std::vector<std::string> readParallelList(const std::string& key, std::size_t count) const;

  const FlatSettings& settings_;
};

}  // namespace paddletrack::protocol
