#include "fakes/admin_connection.hpp"

#include <chrono>

namespace paddletrack::fakes {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};

}  // namespace

AdminConnection::AdminConnection(transport::Scheduler& scheduler, transport::MemoryBudget& memoryBudget,
                                 const std::string& path)
    : scheduler_(scheduler), memoryBudget_(memoryBudget), tasks_(scheduler, [](const char*) {}) {
  tasks_.spawn(run(path));
}

void AdminConnection::send(const std::string& line) {
  if (connection_) {
    connection_->send({transport::BufferSlice(line)});
  } else {
    pendingOutput_ += line;
  }
}

transport::Task<> AdminConnection::run(std::string path) {
  transport::ConnectResult connectResult = co_await transport::connect(
      scheduler_, transport::Address("unix:" + path), scheduler_.now() + kConnectTimeout);
  if (connectResult.descriptor) {
    connection_.emplace(scheduler_, std::move(connectResult.descriptor), 4096, 1 << 20, memoryBudget_);
    if (!pendingOutput_.empty()) connection_->send({transport::BufferSlice(pendingOutput_)});
    while (co_await connection_->receive()) processLines();
  }
  isClosed = true;
}

void AdminConnection::processLines() {
  transport::InputBuffer& input = connection_->input();
  for (std::size_t lineEnd = input.view().find('\n'); lineEnd != std::string_view::npos;
       lineEnd = input.view().find('\n')) {
    receivedLines.emplace_back(input.view().substr(0, lineEnd));
    input.consume(lineEnd + 1);
    if (onLine) onLine(receivedLines.back());
  }
  if (!input.view().empty()) input.expectSize(input.view().size() * 2);
}

}  // namespace paddletrack::fakes
