#include "fakes/fake_engine.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include "protocol/resp.hpp"
#include "protocol/statement.hpp"

namespace paddletrack::fakes {
namespace {

using protocol::resp::Array;
using transport::TimePoint;

constexpr std::size_t kMaxStatementBytes = std::size_t{32} << 20;

// Returns 0 if the text is not a number.
unsigned parseNumber(std::string_view text) {
  unsigned value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string formatRow(const std::string& id, unsigned pageNumber) {
  return id + "\t" + std::to_string(pageNumber) + "\trow\n";
}

}  // namespace

Script parseScript(std::string_view statement) {
  Script script;
  const std::size_t begin = statement.find("/*");
  if (begin == std::string_view::npos) return script;
  std::string_view remaining = statement.substr(begin + 2, statement.find("*/", begin) - begin - 2);
  while (!remaining.empty()) {
    const std::size_t space = std::min(remaining.find(' '), remaining.size());
    const std::string_view assignment = remaining.substr(0, space);
    remaining.remove_prefix(std::min(space + 1, remaining.size()));
    const std::size_t equals = std::min(assignment.find('='), assignment.size());
    const std::string_view name = assignment.substr(0, equals);
    const std::string_view value = assignment.substr(std::min(equals + 1, assignment.size()));
    if (name == "ms") script.duration = milliseconds(parseNumber(value));
    if (name == "pages") script.pageCount = parseNumber(value);
    if (name == "answer") script.status = value;
    if (name == "half") script.firstPageOnly = true;
  }
  return script;
}

// One connection from a controller.
class FakeEngine::Session {
 public:
  Session(FakeEngine& engine, ListenAddress& listenAddress, std::unique_ptr<transport::Descriptor> accepted)
      : engine_(engine),
        listenAddress_(listenAddress),
        fd_(accepted->fd()),
        connection_(engine.scheduler_, std::move(accepted), 16 * 1024, kMaxStatementBytes + 4096,
                    engine.memoryBudget_),
        statementTasks_(engine.scheduler_, [](const char*) {}) {
    engine_.sessions_.insert(this);
    if (engine_.onCommand) engine_.connections.push_back(&connection_);
  }
  ~Session() {
    engine_.sessions_.erase(this);
    for (const auto& [id, script] : scripts_) {
      engine_.openStatements_.erase({this, id});
      recordEvent(Event::Kind::attemptDisconnected, id);
    }
  }

  const ListenAddress& listenAddress() const { return listenAddress_; }

  transport::Task<> run() {
    if (listenAddress_.fault == Fault::resetOnAccept) co_return;
    for (;;) {
      if (listenAddress_.fault == Fault::unresponsive)
        co_await engine_.scheduler_.sleepUntil(transport::TimePoint::max());
      transport::InputBuffer& input = connection_.input();
      const bool wasInputEmpty = input.view().empty();
      const bool received = co_await connection_.receive();
      if (!received) co_return;
      const ReadTime readTime{engine_.scheduler_.now(),
                              engine_.eventLog_ ? engine_.eventLog_->lastPollAt() : TimePoint{}};
      if (wasInputEmpty) firstByteTime_ = readTime;
      processCommands(input, readTime);
    }
  }
  void disconnect() { connection_.shutDown(); }
  void disconnect(ConnectionFilter filter, bool withReset, std::uint64_t attempt) {
    const auto hasAttempt = [&](const auto& item) { return item.second == attempt; };
    if (filter == ConnectionFilter::idle && !scripts_.empty()) return;
    if (filter == ConnectionFilter::withAttempt &&
        std::none_of(attempts_.begin(), attempts_.end(), hasAttempt))
      return;
    const linger lingerOptions{1, 0};
    if (withReset) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &lingerOptions, sizeof lingerOptions);
    disconnect();
  }

 private:
  struct ReadTime {
    TimePoint readAt{};
    TimePoint notBefore{};
  };

  // Handles all complete commands in the input.
  void processCommands(transport::InputBuffer& input, const ReadTime& readTime) {
    for (;;) {
      const Array array = protocol::resp::parseArray(input.view(), kMaxStatementBytes);
      if (array.size == 0) {
        if (array.requiredSize > 0) input.expectSize(array.requiredSize);
        return;
      }
      onCommand(array);
      input.consume(array.size);
      // The first byte of the next command cannot have been read before this read.
      firstByteTime_ = readTime;
    }
  }

  void recordEvent(Event::Kind kind, const std::string& id, std::string detail = {}, std::string body = {}) {
    if (!engine_.eventLog_) return;
    Event event{.kind = kind, .reference = id, .engine = engine_.engineNumber_};
    if (kind == Event::Kind::attemptReceived) {
      event.attempt = attempts_[id] = engine_.eventLog_->nextAttemptNumber();
      event.observedAt = firstByteTime_.readAt;
      event.notBefore = firstByteTime_.notBefore;
    } else if (const auto attempt = attempts_.find(id); attempt != attempts_.end()) {
      event.attempt = attempt->second;
      attempts_.erase(attempt);
    }
    event.detail = std::move(detail);
    event.body = std::move(body);
    engine_.eventLog_->append(std::move(event));
  }

  void onCommand(const Array& array) {
    const std::string command(array.bulkStrings[0]);
    const std::string id(array.bulkStrings[1]);
    if (engine_.onCommand) {
      recordCommand(command, array);
      return engine_.onCommand(engine_, connection_, command, id);
    }
    if (command == "NOOP") return sendReply(connection_, {id, "alive", "-", ""});
    if (command == "ASK") return onAsk(id, array.bulkStrings[3]);
    const auto openScript = scripts_.find(id);
    if (command == "QUIT" || command == "FREE") {
      if (openScript == scripts_.end()) return;
      engine_.openStatements_.erase({this, id});
      scripts_.erase(openScript);
      if (command == "QUIT") recordEvent(Event::Kind::attemptCancelled, id);
    } else if (command == "NEXT") {
      if (openScript == scripts_.end()) return sendReply(connection_, {id, "500", "-", ""});
      if (!openScript->second.firstPageOnly) sendPage(id, parseNumber(array.bulkStrings[2]));
    }
  }

  void recordCommand(const std::string& command, const Array& array) {
    if (command == "NOOP") {
      ++engine_.noopCount;
      return;
    }
    engine_.receivedCommands += command + " ";
    if (command == "NEXT") engine_.receivedCommands += std::string(array.bulkStrings[2]) + " ";
  }

  void onAsk(const std::string& id, std::string_view statement) {
    ++listenAddress_.askCount;
    recordEvent(Event::Kind::attemptReceived, id);
    Script script = parseScript(statement);
    if (engine_.overrideScript) engine_.overrideScript(script, id);
    if (script.fault == Fault::none) script.fault = listenAddress_.fault;
    if (script.fault == Fault::resetOnAsk) {
      recordEvent(Event::Kind::attemptDisconnected, id);
      return connection_.shutDown();
    }
    ++engine_.askCount_;
    engine_.askTimes.push_back(engine_.scheduler_.now());
    if (engine_.cacheOptions_.capacity > 0 && !engine_.touchCachedGroup(protocol::parseTableGroup(statement)))
      script.duration += engine_.cacheOptions_.missPenalty;
    engine_.openStatements_.emplace(this, id);
    scripts_[id] = script;
    statementTasks_.spawn(executeStatement(id, std::move(script)));
  }

  transport::Task<> executeStatement(std::string id, Script script) {
    if (script.duration > milliseconds(0))
      co_await engine_.scheduler_.sleepUntil(engine_.scheduler_.now() + script.duration);
    if (!scripts_.contains(id)) co_return;  // The statement was cancelled during the wait.
    if (script.status == "200") {
      ++engine_.executionCount_;
      if (++engine_.executionsById_[id] == 2) ++engine_.duplicateExecutionCount_;
    }
    if (script.fault == Fault::partialAnswer) {
      connection_.send({transport::BufferSlice::fromStatic("*4\r\n$16\r\n")});
      co_return;
    }
    std::string rows;
    for (unsigned value = 0; script.status == "200" && value < script.pageCount; ++value)
      rows += formatRow(id, value);
    recordEvent(Event::Kind::attemptFinished, id, script.status, std::move(rows));
    if (script.status == "200") {
      sendReply(connection_, {id, "200", "batches=" + std::to_string(script.pageCount), formatRow(id, 0)});
      if (script.pageCount > 1) co_return;  // The statement stays open until the other pages are fetched.
    } else {
      sendReply(connection_, {id, script.status, "-", ""});
    }
    engine_.openStatements_.erase({this, id});
    scripts_.erase(id);
    if (script.fault != Fault::duplicateAnswer) co_return;
    co_await engine_.scheduler_.sleepUntil(engine_.scheduler_.now() + milliseconds(7));
    sendReply(connection_, {id, "200", "batches=2", formatRow(id, 0)});
    sendReply(connection_, {id, "chunk", "batch=1", formatRow(id, 1)});
  }

  void sendPage(const std::string& id, unsigned pageNumber) {
    const auto openScript = scripts_.find(id);
    sendReply(connection_, {id, "chunk", "batch=" + std::to_string(pageNumber), formatRow(id, pageNumber)});
    if (++sentPages_[id] + 1 < openScript->second.pageCount) return;
    sentPages_.erase(id);
    engine_.openStatements_.erase({this, id});
    scripts_.erase(openScript);
  }

  FakeEngine& engine_;
  ListenAddress& listenAddress_;
  const int fd_;  // Owned by `connection_`.
  transport::Connection connection_;
  ReadTime firstByteTime_;                         // When the first byte of the next command was read.
  std::map<std::string, std::uint64_t> attempts_;  // Numbers of the recorded attempts in flight, by id.
  std::map<std::string, Script> scripts_;          // Scripts of the open statements, by id.
  std::map<std::string, unsigned> sentPages_;      // Number of pages sent after the first, by id.
  transport::TaskGroup statementTasks_;
};

FakeEngine::FakeEngine(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                       const transport::Address& address)
    : scheduler_(scheduler), memoryBudget_(memoryBudget), sessionTasks_(scheduler, [](const char*) {}) {
  addAddress(address);
}

bool FakeEngine::touchCachedGroup(std::uint32_t group) {
  const auto position = std::find(cachedGroups_.begin(), cachedGroups_.end(), group);
  const bool isCached = position != cachedGroups_.end();
  if (isCached) cachedGroups_.erase(position);
  if (!isCached) bytesRead_ += cacheOptions_.bytesPerGroup;
  cachedGroups_.push_front(group);
  if (cachedGroups_.size() > cacheOptions_.capacity) cachedGroups_.pop_back();
  return isCached;
}

void FakeEngine::sendReply(transport::Connection& connection,
                           std::initializer_list<std::string_view> bulkStrings) {
  connection.send({transport::BufferSlice(protocol::resp::encodeArray(bulkStrings))});
}

std::size_t FakeEngine::addAddress(const transport::Address& address) {
  listenAddresses_.push_back(std::make_unique<ListenAddress>(scheduler_, address));
  listenAddresses_.back()->acceptTasks->spawn(acceptConnections(*listenAddresses_.back()));
  return listenAddresses_.size() - 1;
}

void FakeEngine::setFault(std::size_t addressIndex, Fault fault) {
  listenAddresses_[addressIndex]->fault = fault;
  if (fault != Fault::unresponsive && fault != Fault::resetOnAccept) return;
  for (Session* session : sessions_)
    if (&session->listenAddress() == listenAddresses_[addressIndex].get()) session->disconnect();
}

void FakeEngine::closeAddress(std::size_t addressIndex) {
  listenAddresses_[addressIndex]->acceptTasks.reset();
  listenAddresses_[addressIndex]->listener.reset();
  for (Session* session : sessions_)
    if (&session->listenAddress() == listenAddresses_[addressIndex].get()) session->disconnect();
}

transport::Task<> FakeEngine::acceptConnections(ListenAddress& listenAddress) {
  for (;;) {
    auto descriptor = co_await listenAddress.listener->accept();
    acceptTimes.push_back(scheduler_.now());
    sessionTasks_.spawn(serve(listenAddress, std::move(descriptor)));
  }
}

transport::Task<> FakeEngine::serve(ListenAddress& listenAddress,
                                    std::unique_ptr<transport::Descriptor> descriptor) {
  Session session(*this, listenAddress, std::move(descriptor));
  co_await session.run();
}

void FakeEngine::disconnect(ConnectionFilter filter, bool withReset, std::uint64_t attempt) {
  for (Session* session : sessions_) session->disconnect(filter, withReset, attempt);
}

void FakeEngine::disconnect() {
  for (Session* session : sessions_) session->disconnect();
}

}  // namespace paddletrack::fakes
