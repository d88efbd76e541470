#include "protocol/resp.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace paddletrack::protocol::resp {
namespace {

constexpr std::size_t kMaxCountDigits = 12;
constexpr int kTabsPerRow = 2;

// Parses `marker`, a number of at most `maximum` and a line end, and moves `position` behind them. Returns
// none while the line end has not arrived.
std::optional<std::size_t> parseCount(std::string_view input, std::size_t& position, char marker,
                                      std::size_t maximum) {
  if (position >= input.size()) return std::nullopt;
  if (input[position] != marker) throw ParseError(std::string("RESP: '") + marker + "' is wanted");
  const std::size_t end = input.find("\r\n", position);
  if (end == std::string_view::npos) {
    if (input.size() - position > kMaxCountDigits) throw ParseError("RESP: a count without an end");
    return std::nullopt;
  }
  std::size_t count = 0;
  const auto [parsedEnd, error] = std::from_chars(input.data() + position + 1, input.data() + end, count);
  if (error != std::errc{} || parsedEnd != input.data() + end || count > maximum) {
    throw ParseError("RESP: '" +
                     std::string(input.substr(position + 1, std::min(end - position - 1, kMaxCountDigits))) +
                     "' is no count of up to " + std::to_string(maximum));
  }
  position = end + 2;
  return count;
}

void appendBulkString(std::string& output, std::string_view text) {
  output += '$';
  output += std::to_string(text.size());
  output += "\r\n";
  output += text;
  output += "\r\n";
}

std::uint32_t parseNumber(std::string_view name, std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw ParseError("RESP: " + std::string(name) + ": '" + std::string(text.substr(0, 20)) +
                     "' is no number");
  return value;
}

}  // namespace

Array parseArray(std::string_view input, std::size_t maxWordBytes) {
  Array array;
  std::size_t position = 0;
  const auto count = parseCount(input, position, '*', kMaxBulkStrings);
  if (!count) return array;
  for (; array.count < *count; ++array.count) {
    const auto length = parseCount(input, position, '$', maxWordBytes);
    if (!length) return array;
    if (input.size() - position < *length + 2) {
      array.requiredSize = position + *length + 2;
      return array;
    }
    if (input.substr(position + *length, 2) != "\r\n")
      throw ParseError("RESP: a word is longer than its count");
    array.bulkStrings[array.count] = input.substr(position, *length);
    position += *length + 2;
  }
  array.size = position;
  return array;
}

namespace {

AnswerKind parseStatus(std::string_view status) {
  if (status == "200") return AnswerKind::ok;
  if (status == "503") return AnswerKind::overloaded;
  if (status == "500") return AnswerKind::error;
  if (status == "504") return AnswerKind::timedOut;
  if (status == "chunk") return AnswerKind::chunk;
  if (status == "alive") return AnswerKind::alive;
  // Another word may be a message of a later version of the engine; anything else is not the protocol.
  if (status.empty() || status.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-") != std::string_view::npos)
    throw ParseError("RESP: an answer that is noise");
  return AnswerKind::unknown;
}

// Reads fields of the form name=value, joined by commas; unknown names are ignored.
void parseAnswerFields(std::string_view fields, Answer& answer) {
  bool hasPageNumber = false;
  while (!fields.empty() && fields != "-") {
    const std::size_t fieldEnd = std::min(fields.find(','), fields.size());
    const std::string_view field = fields.substr(0, fieldEnd);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) throw ParseError("RESP: a field without '='");
    const std::string_view name = field.substr(0, equals);
    const std::string_view value = field.substr(equals + 1);
    if (name == "batches") answer.pageCount = parseNumber(name, value);
    if (name == "batch") {
      answer.pageNumber = parseNumber(name, value);
      hasPageNumber = true;
    }
    fields.remove_prefix(std::min(fieldEnd + 1, fields.size()));
  }
  if (answer.kind == AnswerKind::chunk && !hasPageNumber)
    throw ParseError("RESP: a chunk without its number");
}

}  // namespace

Answer parseAnswer(const Array& array) {
  if (array.count < 2) throw ParseError("RESP: an answer has an id and a word");
  Answer answer;
  answer.id = array.bulkStrings[0];
  answer.kind = parseStatus(array.bulkStrings[1]);
  if (answer.kind == AnswerKind::unknown) return answer;  // Its other words have no known meaning.
  if (array.count > 3) answer.body = array.bulkStrings[3];
  parseAnswerFields(array.count > 2 ? array.bulkStrings[2] : "-", answer);
  return answer;
}

bool areRowsComplete(std::string_view page) {
  int tabs = 0;
  for (const char character : page) {
    if (character == '\n') {
      if (tabs != kTabsPerRow) return false;
      tabs = 0;
    } else if (character == '\t') {
      ++tabs;
    } else if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f) {
      return false;
    }
  }
  return tabs == 0 && (page.empty() || page.back() == '\n');
}

std::string encodeAskHead(std::string_view id, std::string_view requestClass, const AskOptions& options,
                          std::size_t statementBytes) {
  std::string fields = "class=" + std::string(requestClass) + ",wait=" + std::to_string(options.timeoutMs);
  if (options.memoryGrantMb >= 1)
    fields += ",mb=" + std::to_string(static_cast<long long>(std::ceil(options.memoryGrantMb)));
  if (options.priority) fields += ",nice=" + std::to_string(*options.priority);
  if (!options.idempotencyKey.empty()) fields += ",once=" + std::string(options.idempotencyKey);
  std::string output = "*4\r\n";
  appendBulkString(output, "ASK");
  appendBulkString(output, id);
  appendBulkString(output, fields);
  output += "$" + std::to_string(statementBytes) + "\r\n";
  return output;
}

std::string encodeArray(std::initializer_list<std::string_view> bulkStrings) {
  std::string output = "*" + std::to_string(bulkStrings.size()) + "\r\n";
  for (const std::string_view word : bulkStrings) appendBulkString(output, word);
  return output;
}

std::string encodeQuit(std::string_view id) { return encodeArray({"QUIT", id}); }
std::string encodePriority(std::string_view id, int priority) {
  return encodeArray({"PRIO", id, std::to_string(priority)});
}
std::string encodeNext(std::string_view id, std::uint32_t pageNumber) {
  return encodeArray({"NEXT", id, std::to_string(pageNumber)});
}
std::string encodeFree(std::string_view id) { return encodeArray({"FREE", id}); }
std::string encodeNoop(std::string_view tag) { return encodeArray({"NOOP", tag}); }

}  // namespace paddletrack::protocol::resp
