#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.hpp"

namespace paddletrack::protocol {

/// Thrown for input from a peer or a file that does not follow its format. The context, if any, is the key or
/// field.
struct ParseError : ErrorOfKind<ErrorKind::engineProtocolError> {
  using ErrorOfKind::ErrorOfKind;
};

/// A JSON value (RFC 8259). Members keep their order in the text.
class Json {
 public:
  using Members = std::vector<std::pair<std::string, Json>>;
  using Elements = std::vector<Json>;
  std::variant<std::nullptr_t, bool, double, std::string, Elements, Members> value = nullptr;
  /// The text of a number, for callers that need its digits rather than the nearest double.
  std::string numberText;

  /// Returns the member, or nullptr if it is absent or this value is not an object.
  const Json* find(std::string_view name) const;

  /// These functions throw ParseError with the name of the member if it is absent or has another type.
  const Json& at(std::string_view name) const;
  const std::string& getString(std::string_view name) const;
  double getNumber(std::string_view name) const;
  std::uint64_t getUnsigned(std::string_view name) const;
  bool getBool(std::string_view name) const;
  const Elements& getArray(std::string_view name) const;
};

/// Parses a text that consists of exactly one value. Throws ParseError, also for duplicate member names and
/// for nesting that is too deep.
Json parseJson(std::string_view text);

}  // namespace paddletrack::protocol
