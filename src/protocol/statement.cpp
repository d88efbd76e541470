#include "protocol/statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <initializer_list>
#include <optional>
#include <string>

namespace paddletrack::protocol {
namespace {

enum class TokenKind : std::uint8_t { name, dot, comma, openParenthesis, closeParenthesis, other, end };

struct Token {
  TokenKind kind = TokenKind::end;
  std::string text;  // Of a name: without quotes, and in lower case unless quoted.
  bool quoted = false;
};

bool isIdentifierStart(char c) {
  return std::isalpha(static_cast<unsigned char>(c)) || c == '_' || (c & 0x80);
}
bool isIdentifierPart(char c) {
  return isIdentifierStart(c) || std::isdigit(static_cast<unsigned char>(c)) || c == '$';
}

// Splits SQL into names and punctuation. Comments are skipped; literals become tokens of the kind `other`. An
// unterminated comment or literal extends to the end of the text.
class SqlScanner {
 public:
  explicit SqlScanner(std::string_view text) : text_(text) {}

  Token nextToken() {
    skipBlanksAndComments();
    if (position_ >= text_.size()) return {};
    const char c = text_[position_];
    if (c == '\'') {
      readQuoted(c);
      return {TokenKind::other, "", false};
    }
    if (c == '"' || c == '`') return {TokenKind::name, readQuoted(c), true};
    if (isIdentifierStart(c)) return {TokenKind::name, readWord(), false};
    if (std::isdigit(static_cast<unsigned char>(c))) {
      skipNumber();
      return {TokenKind::other, "", false};
    }
    ++position_;
    return {punctuationKind(c), "", false};
  }

 private:
  bool startsWith(std::string_view prefix) const { return text_.substr(position_, prefix.size()) == prefix; }

  static TokenKind punctuationKind(char c) {
    switch (c) {
      case '.':
        return TokenKind::dot;
      case ',':
        return TokenKind::comma;
      case '(':
        return TokenKind::openParenthesis;
      case ')':
        return TokenKind::closeParenthesis;
      default:
        return TokenKind::other;
    }
  }

  void skipBlanksAndComments() {
    while (position_ < text_.size()) {
      if (std::isspace(static_cast<unsigned char>(text_[position_])))
        ++position_;
      else if (startsWith("--"))
        position_ = std::min(text_.find('\n', position_), text_.size());
      else if (startsWith("/*"))
        skipBlockComment();
      else
        return;
    }
  }

  // Block comments nest, as in the SQL standard.
  void skipBlockComment() {
    int depth = 0;
    do {
      if (startsWith("/*")) {
        ++depth;
        position_ += 2;
      } else if (startsWith("*/")) {
        --depth;
        position_ += 2;
      } else {
        ++position_;
      }
    } while (depth > 0 && position_ < text_.size());
  }

  std::string readWord() {
    std::string word;
    for (; position_ < text_.size() && isIdentifierPart(text_[position_]); ++position_)
      word += static_cast<char>(std::tolower(static_cast<unsigned char>(text_[position_])));
    return word;
  }

  // Skips a number such as 1.5e3, whose dot does not separate a schema from a table.
  void skipNumber() {
    while (position_ < text_.size() && (isIdentifierPart(text_[position_]) || text_[position_] == '.'))
      ++position_;
  }

  // Reads a quoted name or literal, in which two quotes represent one.
  std::string readQuoted(char quote) {
    std::string content;
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == quote) {
        if (position_ + 1 >= text_.size() || text_[position_ + 1] != quote) break;
        ++position_;
      }
      content += text_[position_];
    }
    ++position_;
    return content;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

std::optional<std::uint32_t> parseGroupSuffix(const Token& schema) {
  const std::size_t underscore = schema.text.rfind('_');
  if (underscore == std::string::npos || underscore + 1 == schema.text.size()) return std::nullopt;
  std::uint32_t group = 0;
  const char* textEnd = schema.text.data() + schema.text.size();
  const auto [parsedEnd, error] = std::from_chars(schema.text.data() + underscore + 1, textEnd, group);
  if (error != std::errc{} || parsedEnd != textEnd) return std::nullopt;
  return group;
}

bool isKeyword(const Token& token, std::initializer_list<const char*> keywords) {
  if (token.kind != TokenKind::name || token.quoted) return false;
  return std::find(keywords.begin(), keywords.end(), token.text) != keywords.end();
}

bool introducesTable(const Token& token) {
  return isKeyword(token, {"from", "join", "into", "update", "table", "using", "overwrite"});
}

bool endsTableList(const Token& token) {
  if (token.kind == TokenKind::openParenthesis || token.kind == TokenKind::closeParenthesis) return true;
  return isKeyword(token, {"where", "set", "on", "select", "values", "group", "order"});
}

// Tracks the tokens of a statement to determine where a table name is expected.
class TableNameTracker {
 public:
  bool expectsTable() const { return expectsTable_; }

  // Handles a token that is not a table name: a keyword, punctuation or another name.
  void onToken(const Token& token) {
    if (introducesTable(token)) {
      expectsTable_ = true;
      isInTableList_ = true;
    } else if (token.kind == TokenKind::comma && isInTableList_) {
      expectsTable_ = true;
    } else if (endsTableList(token)) {
      expectsTable_ = false;
      isInTableList_ = false;
    }
  }

  // Handles a name without a schema in the position of a table. "only" and "lateral" precede a table name.
  void onUnqualifiedName(const Token& name) { expectsTable_ = isKeyword(name, {"only", "lateral"}); }
  void onQualifiedName() { expectsTable_ = false; }

 private:
  bool expectsTable_ = false;
  bool isInTableList_ = false;
};

}  // namespace

// Considers only names in the position of a table, because a column may be qualified by an alias or a schema.
std::uint32_t parseTableGroup(std::string_view statement) {
  SqlScanner scanner(statement);
  TableNameTracker tracker;
  Token token = scanner.nextToken();
  while (token.kind != TokenKind::end) {
    tracker.onToken(token);
    const bool isTableName =
        token.kind == TokenKind::name && tracker.expectsTable() && !introducesTable(token);
    if (!isTableName) {
      token = scanner.nextToken();
      continue;
    }
    const Token schema = token;
    token = scanner.nextToken();
    if (token.kind != TokenKind::dot) {
      tracker.onUnqualifiedName(schema);
      continue;
    }
    tracker.onQualifiedName();
    if (schema.text == "staging") continue;
    if (const auto group = parseGroupSuffix(schema)) return *group;
  }
  return 0;
}

}  // namespace paddletrack::protocol
