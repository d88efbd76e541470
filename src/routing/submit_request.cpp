#include "routing/submit_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>

#include "protocol/statement.hpp"

namespace paddletrack::routing {
namespace {

constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::size_t kMaxQuotedValueBytes = 40;
constexpr std::size_t kRequestIdDigits = 16;
constexpr double kMaxDurationMs = 86400e3;  // One day.
constexpr double kMaxMemoryMb = 1 << 20;    // One terabyte.

// On a busy core this process may read a request late and write its final response late. The internal
// deadline therefore precedes the client's deadline by this multiple of the configured response slack, but by
// no more than this fraction of the client's timeout.
constexpr int kDeadlineSlackFactor = 3;
constexpr int kMaxSlackDivisor = 16;

std::optional<double> parseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Throws protocol::ParseError unless the field is a number from 0 to `max`.
double parseQuantity(std::string_view name, std::string_view text, double max) {
  const std::optional<double> parsed = parseNumber(text);
  if (!parsed || *parsed < 0 || *parsed > max) {
    const std::string quoted(text.substr(0, kMaxQuotedValueBytes));
    throw protocol::ParseError(std::string(name), "'" + quoted + "' can't be used");
  }
  return *parsed;
}

Duration parseDuration(std::string_view name, std::string_view milliseconds) {
  return Duration{std::llround(parseQuantity(name, milliseconds, kMaxDurationMs) * 1000)};
}

// The key is passed to engines as one field of a command and must not add fields to it.
bool isIdempotencyKeyCharacter(char character) {
  return character > ' ' && character <= '~' && character != ',' && character != '=';
}

std::string_view validateIdempotencyKey(std::string_view idempotencyKey) {
  if (idempotencyKey.size() > kMaxIdempotencyKeyBytes ||
      !std::all_of(idempotencyKey.begin(), idempotencyKey.end(), isIdempotencyKeyCharacter))
    throw protocol::ParseError("replay", "it can't be passed on");
  return idempotencyKey;
}

std::string_view validateRequestId(std::string_view requestId) {
  if (requestId.size() != kRequestIdDigits ||
      requestId.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
    throw protocol::ParseError("ref", "16 hex digits are wanted");
  return requestId;
}

Duration internalDeadline(Duration arrivedAt, Duration timeAllowed, Duration responseSlack) {
  return arrivedAt + timeAllowed -
         std::min(timeAllowed / kMaxSlackDivisor, responseSlack * kDeadlineSlackFactor);
}

}  // namespace

void fillRequestContext(RequestContext& context, const protocol::thrift::SubmitRequest& submission,
                        const RequestRouter& router, Duration arrivedAt) {
  const protocol::ControllerConfig& config = router.config();
  const std::size_t classIndex =
      protocol::indexOfName(config.requestClassNames, submission.requestClass, "service");
  context.requestClass = &config.deployment.requestClasses[classIndex];
  context.requestClassName = submission.requestClass;
  context.requestId = validateRequestId(submission.reference);
  if (router.hasOpenRequest(context.requestId)) throw protocol::ParseError("ref", "it is in use");
  if (router.mayHaveExecuted(context.requestId))
    throw protocol::ParseError("ref", "it was used by a request that may have run");
  if (!config.tenantNames.empty())
    context.tenantIndex = protocol::indexOfName(config.tenantNames, submission.tenant, "project");
  context.arrivedAt = arrivedAt;
  const Duration timeAllowed = parseDuration("allow", submission.timeoutMs);
  context.deadline = internalDeadline(arrivedAt, timeAllowed, config.responseSlack);
  if (!submission.estimatedWork.empty())
    context.declaredCost = parseDuration("effort", submission.estimatedWork);
  if (!submission.memory.empty())
    context.declaredMemoryMb = parseQuantity("ram", submission.memory, kMaxMemoryMb);
  context.dataSet = protocol::parseTableGroup(submission.statement);
  context.idempotencyKey = validateIdempotencyKey(submission.idempotencyKey);
}

}  // namespace paddletrack::routing
