#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/json.hpp"

/// The protocol of the engines: RESP arrays of bulk strings. The parsers do not copy; the views that they
/// return point into the input.
namespace paddletrack::protocol::resp {

constexpr std::size_t kMaxBulkStrings = 8;
constexpr std::size_t kMaxPageBytes = 6000;
constexpr std::size_t kMaxResultBytes = 48000;
constexpr std::size_t kMaxBulkStringBytes = kMaxPageBytes;

/// A parsed array, which may still be incomplete.
struct Array {
  std::array<std::string_view, kMaxBulkStrings> bulkStrings{};
  std::size_t count = 0;
  /// The size of the array in bytes; 0 while it is incomplete.
  std::size_t size = 0;
  /// While the array is incomplete: a lower bound of its size in bytes; 0 if none is known.
  std::size_t requiredSize = 0;
};

/// Parses the array at the start of `input`. Throws ParseError if the input cannot be the beginning of an
/// array.
Array parseArray(std::string_view input, std::size_t maxBulkStringBytes = kMaxBulkStringBytes);

/// The status of a response. `unknown` stands for any status that this version does not support.
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

/// Interprets a complete array as a response. Throws ParseError if it is malformed.
Answer parseAnswer(const Array& array);

/// Returns whether a page consists of complete rows, each with three columns of text.
bool areRowsComplete(std::string_view page);

/// The options of an ASK command.
struct AskOptions {
  std::int64_t timeoutMs = 0;
  /// 0 leaves the grant to the engine.
  double memoryGrantMb = 0;
  std::optional<int> priority;
  /// The key by which engines recognize a retry; empty if the request has none.
  std::string_view idempotencyKey = {};
};

/// An ASK command is sent in three parts, so that the statement is not copied: the head, the statement of
/// `statementBytes` bytes, and `kAskTail`. The other functions encode complete commands.
std::string encodeAskHead(std::string_view id, std::string_view requestClass, const AskOptions& options,
                          std::size_t statementBytes);
constexpr std::string_view kAskTail = "\r\n";
/// Encodes an array of bulk strings, as both sides send it.
std::string encodeArray(std::initializer_list<std::string_view> bulkStrings);
std::string encodeQuit(std::string_view id);
std::string encodePriority(std::string_view id, int priority);
std::string encodeNext(std::string_view id, std::uint32_t pageNumber);
std::string encodeFree(std::string_view id);
std::string encodeNoop(std::string_view tag);

}  // namespace paddletrack::protocol::resp
