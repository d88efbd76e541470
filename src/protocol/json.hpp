#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.hpp"

namespace paddletrack::protocol {

// What a peer or a file wrote does not follow its page. Its place, if any, is the key or field.
struct ParseError : ErrorOfKind<ErrorKind::engineProtocolError> {
  using ErrorOfKind::ErrorOfKind;
};

// One JSON value (RFC 8259), members in the order written.
class Json {
 public:
  using Members = std::vector<std::pair<std::string, Json>>;
  using Elements = std::vector<Json>;
  std::variant<std::nullptr_t, bool, double, std::string, Elements, Members> value = nullptr;
  std::string numberText;  // of a number: as it stands there

  const Json* find(std::string_view name) const;  // absent, or no object: null

  // These name the member at fault.
  const Json& at(std::string_view name) const;
  const std::string& getString(std::string_view name) const;
  double getNumber(std::string_view name) const;
  std::uint64_t getUnsigned(std::string_view name) const;
  bool getBool(std::string_view name) const;
  const Elements& getArray(std::string_view name) const;
};

// Strict: one value and nothing after it, no doubled names, nesting bounded.
Json parseJson(std::string_view text);

}  // namespace paddletrack::protocol
