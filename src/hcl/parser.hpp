/// A parser for the subset of HCL's native syntax that a configuration file needs: blocks with labels,
/// attributes and literal values. Expressions, functions and templates are errors. The parser does not read
/// files and does not check a schema.
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
constexpr int kMaxNesting = 16;  // Maximum depth of nested blocks, lists and objects.

/// A position in the text; line and column are counted from 1.
struct SourceLocation {
  std::size_t line = 1;
  std::size_t column = 1;  // In bytes.
};

/// A syntax error and its position in the text.
struct ParseError : ErrorOfKind<ErrorKind::invalidOperatorFile> {
  ParseError(SourceLocation where, const std::string& what) : ErrorOfKind(what), location(where) {}
  SourceLocation location;
};

/// A literal value.
struct Value {
  using List = std::vector<Value>;
  using Object = std::vector<std::pair<std::string, Value>>;  // In the order of the text.
  std::variant<std::nullptr_t, bool, double, std::string, List, Object> value = nullptr;
  SourceLocation location;
  std::string sourceText;  // For a number: its text in the file.

  /// Returns the type of the value for error messages, such as "a number".
  const char* kindName() const;
};

/// An attribute: `name = value`.
struct Attribute {
  std::string name;
  SourceLocation location;
  Value value;
};

struct Block;
/// The content of a file or of a block.
struct Body {
  std::vector<Attribute> attributes;  // Names are unique.
  std::vector<Block> blocks;
};
/// A block: `type "label" { body }`.
struct Block {
  std::string type;
  SourceLocation location;
  std::vector<std::string> labels;
  Body body;
};

/// Parses a whole file. Throws ParseError.
Body parse(std::string_view text);

}  // namespace paddletrack::hcl
