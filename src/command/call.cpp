#include "command/call.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "transport/connection.hpp"

namespace paddletrack::command {
namespace {

constexpr std::chrono::seconds kPatience{3};
constexpr std::size_t kLongest = 4 << 20;

int waited(int fd, short events, Until until) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
  pollfd one{fd, events, 0};
  return ::poll(&one, 1, static_cast<int>(std::max<long long>(0, left)));
}

}  // namespace

int told(const Error& error, const char* before) {
  std::fprintf(stderr, "paddletrack: %s%s\n  (%s) %s\n", before, error.what(), error.name(),
               error.hint().c_str());
  return error.exit();
}

Call::Call(const std::string& path) : path_(path) {
  std::optional<transport::Address> address;
  try {
    address.emplace("unix:" + path);
  } catch (const std::invalid_argument& error) {
    throw NoAnswer(error.what());
  }
  fd_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) throw NoAnswer(path, std::strerror(errno));
  if (::connect(fd_, address->raw(), address->length()) != 0) {
    const std::string cause = std::strerror(errno);
    ::close(fd_);
    throw NoAnswer(path, cause);
  }
}

Call::~Call() { ::close(fd_); }

void Call::say(const std::string& line, Until until) {
  for (std::size_t at = 0; at < line.size();) {
    const ssize_t sent = ::send(fd_, line.data() + at, line.size() - at, MSG_NOSIGNAL);
    if (sent > 0) {
      at += static_cast<std::size_t>(sent);
    } else if (errno == EAGAIN) {
      if (waited(fd_, POLLOUT, until) == 0) throw NoAnswer(path_, "it does not read");
    } else if (errno != EINTR) {
      throw NoAnswer(path_, std::strerror(errno));
    }
  }
}

std::optional<Json> Call::hear(Until until) {
  for (;;) {
    if (const std::size_t end = input_.find('\n'); end != std::string::npos) {
      Json read = Json::parse(input_.substr(0, end), nullptr, false);
      input_.erase(0, end + 1);
      if (read.is_discarded() || !read.is_object())
        throw NoAnswer(path_, "what answers there is no controller");
      if (const auto version = read.find("v"); version == read.end() || *version != 1)
        throw NoAnswer(path_, "it speaks another version");
      return read;
    }
    if (input_.size() > kLongest) throw NoAnswer(path_, "what answers there is no controller");
    const int ready = waited(fd_, POLLIN, until);
    if (ready == 0) return std::nullopt;
    if (ready < 0) continue;
    char bytes[16384];
    const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got > 0) {
      input_.append(bytes, static_cast<std::size_t>(got));
    } else if (got == 0) {
      throw NoAnswer(path_, "the controller has closed the connection");
    } else if (errno != EAGAIN && errno != EINTR) {
      throw NoAnswer(path_, std::strerror(errno));
    }
  }
}

Json Call::ask(const std::string& line) {
  const Until until = std::chrono::steady_clock::now() + kPatience;
  say(line, until);
  while (auto heard = hear(until))
    if (heard->contains("ok")) return *heard;
  throw NoAnswer(path_, "no answer within " + std::to_string(kPatience.count()) + " s");
}

}  // namespace paddletrack::command
