// HCL's native syntax as far as a file of settings needs it: blocks with labels, attributes, and literal
// values. Expressions, functions and templates are not read, and said to be so. Parsed from text; no files,
// no schema.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.hpp"

namespace paddletrack::hcl {

constexpr std::size_t kMaxTextBytes = 256 * 1024;
constexpr int kMaxNesting = 16;  // blocks, lists and objects within each other

struct SourceLocation {
  std::size_t line = 1, column = 1;  // columns count bytes
};

// What the text does not say as it should, and where.
struct ParseError : ErrorOfKind<ErrorKind::invalidOperatorFile> {
  ParseError(SourceLocation where, const std::string& what) : ErrorOfKind(what), location(where) {}
  SourceLocation location;
};

struct Value {
  using List = std::vector<Value>;
  using Object = std::vector<std::pair<std::string, Value>>;  // in the order written
  std::variant<std::nullptr_t, bool, double, std::string, List, Object> value = nullptr;
  SourceLocation location;
  std::string sourceText;  // of a number: as it stands there

  const char* kindName() const;  // "a number", for messages
};

struct Attribute {
  std::string name;
  SourceLocation location;
  Value value;
};

struct Block;
struct Body {
  std::vector<Attribute> attributes;  // no name twice
  std::vector<Block> blocks;
};
struct Block {
  std::string type;
  SourceLocation location;
  std::vector<std::string> labels;
  Body body;
};

Body parse(std::string_view text);

}  // namespace paddletrack::hcl
