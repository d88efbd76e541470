#include "command/admin_client.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "transport/connection.hpp"

namespace paddletrack::command {
namespace {

constexpr std::chrono::seconds kResponseTimeout{3};
constexpr std::size_t kMaxMessageBytes = 4 << 20;

int pollUntil(int fd, short events, Deadline deadline) {
  const auto remainingMs =
      std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
  pollfd descriptor{fd, events, 0};
  return ::poll(&descriptor, 1, static_cast<int>(std::max<long long>(0, remainingMs)));
}

}  // namespace

int reportError(const Error& error, const char* prefix) {
  std::fprintf(stderr, "paddletrack: %s%s\n  (%s) %s\n", prefix, error.what(), error.kindName(),
               error.hint().c_str());
  return error.exitCode();
}

AdminClient::AdminClient(const std::string& path) : path_(path) {
  std::optional<transport::Address> address;
  try {
    address.emplace("unix:" + path);
  } catch (const std::invalid_argument& error) {
    throw NoResponse(error.what());
  }
  fd_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) throw NoResponse(path, std::strerror(errno));
  if (::connect(fd_, address->nativeHandle(), address->length()) != 0) {
    const std::string cause = std::strerror(errno);
    ::close(fd_);
    throw NoResponse(path, cause);
  }
}

AdminClient::~AdminClient() { ::close(fd_); }

void AdminClient::send(const std::string& line, Deadline deadline) {
  for (std::size_t offset = 0; offset < line.size();) {
    const ssize_t sent = ::send(fd_, line.data() + offset, line.size() - offset, MSG_NOSIGNAL);
    if (sent > 0) {
      offset += static_cast<std::size_t>(sent);
    } else if (errno == EAGAIN) {
      if (pollUntil(fd_, POLLOUT, deadline) == 0) throw NoResponse(path_, "timed out sending the request");
    } else if (errno != EINTR) {
      throw NoResponse(path_, std::strerror(errno));
    }
  }
}

std::optional<Json> AdminClient::receive(Deadline deadline) {
  for (;;) {
    if (const std::size_t lineEnd = input_.find('\n'); lineEnd != std::string::npos) {
      Json message = Json::parse(input_.substr(0, lineEnd), nullptr, false);
      input_.erase(0, lineEnd + 1);
      if (message.is_discarded() || !message.is_object())
        throw NoResponse(path_, "peer is not a controller: expected a JSON object");
      if (const auto version = message.find("v"); version == message.end() || *version != 1)
        throw NoResponse(path_, "unsupported protocol version, expected 1");
      return message;
    }
    if (input_.size() > kMaxMessageBytes)
      throw NoResponse(path_, "peer is not a controller: message too long");
    const int ready = pollUntil(fd_, POLLIN, deadline);
    if (ready == 0) return std::nullopt;
    if (ready < 0) continue;
    char bytes[16384];
    const ssize_t received = ::recv(fd_, bytes, sizeof bytes, 0);
    if (received > 0) {
      input_.append(bytes, static_cast<std::size_t>(received));
    } else if (received == 0) {
      throw NoResponse(path_, "the controller closed the connection");
    } else if (errno != EAGAIN && errno != EINTR) {
      throw NoResponse(path_, std::strerror(errno));
    }
  }
}

Json AdminClient::call(const std::string& request) {
  const Deadline deadline = std::chrono::steady_clock::now() + kResponseTimeout;
  send(request, deadline);
  while (auto message = receive(deadline))
    if (message->contains("ok")) return *message;
  throw NoResponse(path_, "no response within " + std::to_string(kResponseTimeout.count()) + " s");
}

}  // namespace paddletrack::command
