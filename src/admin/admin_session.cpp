#include "admin/admin_session.hpp"

#include <algorithm>
#include <utility>

namespace paddletrack::admin {
namespace {

using transport::BufferSlice;

constexpr std::size_t kInitialInputBytes = 1024;
constexpr int kRejectionTimeoutDivisor = 10;  // Wait for idle timeout / 10 until an error reply is read.
constexpr std::size_t kMaxQuotedEngineBytes = 60;
constexpr std::size_t kMaxQuotedAddressBytes = 120;

}  // namespace

AdminSession::AdminSession(transport::Scheduler& scheduler, const AdminServerOptions& options,
                           ServiceLifecycle& lifecycle, transport::MemoryBudget& memoryBudget,
                           std::unique_ptr<transport::Descriptor> accepted, std::string peerName)
    : scheduler_(scheduler),
      options_(options),
      lifecycle_(lifecycle),
      peerName_(std::move(peerName)),
      connection_(scheduler, std::move(accepted), kInitialInputBytes, options.maxLineBytes, memoryBudget),
      lastMessageAt_(scheduler.now()),
      lastDrainedAt_(lastMessageAt_) {}

transport::Task<> AdminSession::run() {
  for (;;) {
    const transport::TimePoint now = scheduler_.now();
    if (connection_.unsentBytes() == 0) lastDrainedAt_ = now;
    if (hasTimedOut(now)) co_return;
    if (watchInterval_ && now >= nextProgressAt_) sendProgress();
    const bool received = co_await connection_.receive(nextDeadline(now));
    if (received) {
      const bool isOpen = co_await handleInput();
      if (!isOpen) co_return;
      continue;
    }
    if (connection_.readEnd() != transport::Connection::ReadEnd::none) co_return;
    if (connection_.input().isFull()) {
      co_await rejectOversizedMessage();
      co_return;
    }
  }
}

// A client that watches need not send anything, but must complete a message that it has started.
bool AdminSession::isAwaitingInput() const { return !watchInterval_ || !connection_.input().view().empty(); }

bool AdminSession::hasTimedOut(transport::TimePoint now) const {
  if (now >= lastDrainedAt_ + options_.idleTimeout) return true;
  return isAwaitingInput() && now >= lastMessageAt_ + options_.idleTimeout;
}

transport::TimePoint AdminSession::nextDeadline(transport::TimePoint now) const {
  transport::TimePoint deadline = (isAwaitingInput() ? lastMessageAt_ : now) + options_.idleTimeout;
  if (watchInterval_) deadline = std::min(deadline, nextProgressAt_);
  if (connection_.unsentBytes() > 0) deadline = std::min(deadline, lastDrainedAt_ + options_.idleTimeout);
  return deadline;
}

transport::Task<> AdminSession::rejectOversizedMessage() {
  connection_.send({BufferSlice(formatErrorReply(
      "null", "too_long", "a message must not exceed " + std::to_string(options_.maxLineBytes) + " bytes"))});
  co_await connection_.waitUntilDrained(0,
                                        scheduler_.now() + options_.idleTimeout / kRejectionTimeoutDivisor);
}

// Answers all complete messages. Returns false if the connection must be closed.
transport::Task<bool> AdminSession::handleInput() {
  transport::InputBuffer& input = connection_.input();
  for (std::size_t lineEnd = input.view().find('\n'); lineEnd != std::string_view::npos;
       lineEnd = input.view().find('\n')) {
    std::string_view line = input.view().substr(0, lineEnd);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::string response = handleLine(line);
    input.consume(lineEnd + 1);
    lastMessageAt_ = scheduler_.now();
    const bool fitsUnsentLimit = connection_.unsentBytes() + response.size() <= options_.maxUnsentBytes;
    if (!fitsUnsentLimit) co_return false;
    connection_.send({BufferSlice(response)});
    // Keeps a client with many messages from delaying the controller's requests.
    co_await scheduler_.yield();
    if (connection_.readEnd() != transport::Connection::ReadEnd::none) co_return false;
  }
  if (!input.view().empty()) input.expectSize(input.view().size() * 2);
  co_return true;
}

void AdminSession::sendProgress() {
  if (!watchInterval_) return;
  nextProgressAt_ = scheduler_.now() + *watchInterval_;
  const std::string event = formatProgressEvent(lifecycle_.status());
  if (connection_.unsentBytes() + event.size() <= options_.maxUnsentBytes)
    connection_.send({BufferSlice(event)});
}

std::string AdminSession::handleLine(std::string_view line) {
  std::string id = "null";
  try {
    return handleRequest(parseAdminRequest(line, id));
  } catch (const BadRequest& error) {
    return formatErrorReply(id, error.code, error.what());
  }
}

std::string AdminSession::handleRequest(const AdminRequest& request) {
  drain::DrainError drainError = drain::DrainError::none;
  switch (request.command) {
    case Command::engines:
      return formatEnginesReply(request.id,
                                lifecycle_.listEngines(request.firstEngineId, kMaxEnginesPerReply + 1));
    case Command::address:
      return handleAddressRequest(request);
    case Command::drain:
      drainError = lifecycle_.requestDrain(request.deadline, request.retryAfter, peerName_);
      break;
    case Command::cancel:
      drainError = lifecycle_.cancelDrain(peerName_);
      break;
    case Command::watch:
      watchInterval_ = request.watchInterval;
      nextProgressAt_ = scheduler_.now() + request.watchInterval;
      break;
    case Command::status:
      break;
  }
  if (drainError != drain::DrainError::none)
    return formatDrainErrorReply(request.id, drainError, lifecycle_.drainOptions());
  return formatStatusReply(request.id, lifecycle_.status());
}

std::string AdminSession::handleAddressRequest(const AdminRequest& request) {
  using AddressLookup = routing::RequestRouter::AddressLookup;
  const AddressLookup result = lifecycle_.setAddressOverride(
      request.engine, request.address, request.addressOverride, request.overrideDuration, peerName_);
  if (result == AddressLookup::unknownEngine)
    return formatErrorReply(
        request.id, "no_engine",
        "engine: unknown engine '" + request.engine.substr(0, kMaxQuotedEngineBytes) + "'");
  if (result == AddressLookup::unknownAddress)
    return formatErrorReply(request.id, "no_address",
                            "address: '" + request.address.substr(0, kMaxQuotedAddressBytes) +
                                "' is not an address of this engine");
  return formatOkReply(request.id);
}

}  // namespace paddletrack::admin
