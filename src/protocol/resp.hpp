#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/json.hpp"

/// The protocol of the engines: RESP arrays of bulk strings. Parsers do not copy: the views that they return
/// point into the input.
namespace paddletrack::protocol::resp {

constexpr std::size_t kMaxBulkStrings = 8;
constexpr std::size_t kMaxPageBytes = 6000;
constexpr std::size_t kMaxResultBytes = 48000;
constexpr std::size_t kMaxBulkStringBytes = kMaxPageBytes;

/// An array that may still be incomplete.
struct Array {
  std::array<std::string_view, kMaxBulkStrings> bulkStrings{};
  std::size_t count = 0;
  /// Bytes of the array; 0 while it is incomplete.
  std::size_t size = 0;
  /// While the array is incomplete, a lower bound of the bytes it needs, if one is known.
  std::size_t requiredSize = 0;
};

/// Parses the array at the start of `input`. Throws ParseError for what cannot become one.
Array parseArray(std::string_view input, std::size_t maxWordBytes = kMaxBulkStringBytes);

/// `unknown` is a status that this version does not support.
enum class AnswerKind : std::uint8_t { ok, overloaded, error, timedOut, alive, chunk, unknown };

/// A response of an engine.
struct Answer {
  /// The id of the attempt, or the tag of a NOOP.
  std::string_view id;
  AnswerKind kind = AnswerKind::alive;
  /// Of `ok`: the number of pages of the result.
  std::uint32_t pageCount = 1;
  /// Of `chunk`: the number of the page in `body`.
  std::uint32_t pageNumber = 0;
  std::string_view body;
};

Answer parseAnswer(const Array& array);

/// Whether a page consists of complete rows: text of three columns each.
bool areRowsComplete(std::string_view page);

/// The options of an ASK command.
struct AskOptions {
  std::int64_t timeoutMs = 0;
  /// 0 leaves the grant to the engine.
  double memoryGrantMb = 0;
  std::optional<int> priority;
  /// Engines recognize a retry by it; empty if the request has none.
  std::string_view idempotencyKey = {};
};

/// An ASK is sent as its head, the statement of `statementBytes` bytes and `kAskTail`, so that the statement
/// need not be copied. The other functions encode complete commands.
std::string encodeAskHead(std::string_view id, std::string_view requestClass, const AskOptions& options,
                          std::size_t statementBytes);
constexpr std::string_view kAskTail = "\r\n";
/// Encodes any array, as either side sends it.
std::string encodeArray(std::initializer_list<std::string_view> bulkStrings);
std::string encodeQuit(std::string_view id);
std::string encodePriority(std::string_view id, int priority);
std::string encodeNext(std::string_view id, std::uint32_t pageNumber);
std::string encodeFree(std::string_view id);
std::string encodeNoop(std::string_view tag);

}  // namespace paddletrack::protocol::resp
