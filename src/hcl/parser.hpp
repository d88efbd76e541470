/// A parser of the part of HCL's native syntax that a configuration file needs: blocks with labels,
/// attributes and literal values. Expressions, functions and templates are errors. It knows no files and no
/// schema.
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
constexpr int kMaxNesting = 16;  // Of blocks, lists and objects.

/// A place in the text, counted from 1.
struct SourceLocation {
  std::size_t line = 1;
  std::size_t column = 1;  // In bytes.
};

/// An error in the text, and its place.
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
  std::string sourceText;  // Of a number: as it was written.

  /// The kind of the value for messages, such as "a number".
  const char* kindName() const;
};

/// `name = value`.
struct Attribute {
  std::string name;
  SourceLocation location;
  Value value;
};

struct Block;
/// The content of a file or of a block.
struct Body {
  std::vector<Attribute> attributes;  // Their names differ.
  std::vector<Block> blocks;
};
/// `type "label" { body }`.
struct Block {
  std::string type;
  SourceLocation location;
  std::vector<std::string> labels;
  Body body;
};

/// Throws ParseError.
Body parse(std::string_view text);

}  // namespace paddletrack::hcl
