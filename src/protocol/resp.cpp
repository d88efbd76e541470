#include "protocol/resp.hpp"

#include <charconv>
#include <cmath>
#include <utility>

namespace paddletrack::protocol::resp {
namespace {

constexpr std::size_t kLongestCount = 12;

// The number behind a mark, up to its line end; none while that has not come.
std::optional<std::size_t> counted(std::string_view input, std::size_t& at, char mark, std::size_t most) {
  if (at >= input.size()) return std::nullopt;
  if (input[at] != mark) throw Unreadable(std::string("RESP: '") + mark + "' is wanted");
  const std::size_t end = input.find("\r\n", at);
  if (end == std::string_view::npos) {
    if (input.size() - at > kLongestCount) throw Unreadable("RESP: a count without an end");
    return std::nullopt;
  }
  std::size_t count = 0;
  const auto [stop, error] = std::from_chars(input.data() + at + 1, input.data() + end, count);
  if (error != std::errc{} || stop != input.data() + end || count > most) {
    throw Unreadable("RESP: '" + std::string(input.substr(at + 1, std::min(end - at - 1, kLongestCount))) +
                     "' is no count of up to " + std::to_string(most));
  }
  at = end + 2;
  return count;
}

void bulk(std::string& out, std::string_view word) {
  out += '$';
  out += std::to_string(word.size());
  out += "\r\n";
  out += word;
  out += "\r\n";
}

std::uint32_t number(std::string_view name, std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw Unreadable("RESP: " + std::string(name) + ": '" + std::string(text.substr(0, 20)) +
                     "' is no number");
  return value;
}

}  // namespace

Array read(std::string_view input, std::size_t longestWord) {
  Array array;
  std::size_t at = 0;
  const auto count = counted(input, at, '*', kMostWords);
  if (!count) return array;
  for (; array.count < *count; ++array.count) {
    const auto length = counted(input, at, '$', longestWord);
    if (!length) return array;
    if (input.size() - at < *length + 2) {
      array.wanted = at + *length + 2;
      return array;
    }
    if (input.substr(at + *length, 2) != "\r\n") throw Unreadable("RESP: a word is longer than its count");
    array.words[array.count] = input.substr(at, *length);
    at += *length + 2;
  }
  array.size = at;
  return array;
}

Answer readAnswer(const Array& array) {
  if (array.count < 2) throw Unreadable("RESP: an answer has an id and a word");
  Answer read;
  read.id = array.words[0];
  const std::string_view word = array.words[1];
  if (word == "200") {
    read.word = Word::ok;
  } else if (word == "503") {
    read.word = Word::full;
  } else if (word == "500") {
    read.word = Word::error;
  } else if (word == "504") {
    read.word = Word::over;
  } else if (word == "chunk") {
    read.word = Word::chunk;
  } else if (word != "alive") {
    if (word.empty() || word.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-") != std::string_view::npos)
      throw Unreadable("RESP: an answer that is noise");
    read.word = Word::other;  // of a page that we have not: what it may carry is not looked at
    return read;
  }
  std::string_view fields = array.count > 2 ? array.words[2] : "-";
  if (array.count > 3) read.body = array.words[3];
  bool numbered = false;
  while (!fields.empty() && fields != "-") {
    const std::size_t end = std::min(fields.find(','), fields.size());
    const std::string_view field = fields.substr(0, end);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) throw Unreadable("RESP: a field without '='");
    const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
    if (name == "batches") read.pages = number(name, value);
    if (name == "batch") read.page = number(name, value), numbered = true;
    fields.remove_prefix(std::min(end + 1, fields.size()));
  }
  if (read.word == Word::chunk && !numbered) throw Unreadable("RESP: a chunk without its number");
  return read;
}

bool wholeRows(std::string_view page) {
  int tabs = 0;
  for (const char each : page) {
    if (each == '\n') {
      if (std::exchange(tabs, 0) != 2) return false;
    } else if (each == '\t') {
      ++tabs;
    } else if (static_cast<unsigned char>(each) < 0x20 || each == 0x7f) {
      return false;
    }
  }
  return tabs == 0 && (page.empty() || page.back() == '\n');
}

std::string askHead(std::string_view id, std::string_view type, const Terms& terms, std::size_t statement) {
  std::string fields = "class=" + std::string(type) + ",wait=" + std::to_string(terms.waitMs);
  if (terms.grantMb >= 1) fields += ",mb=" + std::to_string(static_cast<long long>(std::ceil(terms.grantMb)));
  if (terms.priority) fields += ",nice=" + std::to_string(*terms.priority);
  if (!terms.idempotencyKey.empty()) fields += ",once=" + std::string(terms.idempotencyKey);
  std::string out = "*4\r\n";
  bulk(out, "ASK");
  bulk(out, id);
  bulk(out, fields);
  return out += "$" + std::to_string(statement) + "\r\n";
}

std::string array(std::initializer_list<std::string_view> words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string_view word : words) bulk(out, word);
  return out;
}

std::string quit(std::string_view id) { return array({"QUIT", id}); }
std::string prio(std::string_view id, int priority) { return array({"PRIO", id, std::to_string(priority)}); }
std::string next(std::string_view id, std::uint32_t page) {
  return array({"NEXT", id, std::to_string(page)});
}
std::string free(std::string_view id) { return array({"FREE", id}); }
std::string noop(std::string_view tag) { return array({"NOOP", tag}); }

}  // namespace paddletrack::protocol::resp
