#include "failpoint/failpoint.hpp"

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <map>
#include <new>
#include <string>
#include <thread>
#include <utility>

namespace paddletrack::failpoint {
namespace {

struct ErrnoName {
  const char* name;
  int number;
};

constexpr std::array<ErrnoName, 17> kErrnoNames{{{"EMFILE", EMFILE},
                                                 {"ENOMEM", ENOMEM},
                                                 {"ENOSPC", ENOSPC},
                                                 {"EINTR", EINTR},
                                                 {"EIO", EIO},
                                                 {"EACCES", EACCES},
                                                 {"ENOENT", ENOENT},
                                                 {"ENOTCONN", ENOTCONN},
                                                 {"EPIPE", EPIPE},
                                                 {"ENOBUFS", ENOBUFS},
                                                 {"EADDRINUSE", EADDRINUSE},
                                                 {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                 {"ECONNREFUSED", ECONNREFUSED},
                                                 {"ECONNRESET", ECONNRESET},
                                                 {"ECONNABORTED", ECONNABORTED},
                                                 {"EHOSTUNREACH", EHOSTUNREACH},
                                                 {"ENETUNREACH", ENETUNREACH}}};

struct FailPoint {
  unsigned hitCount = 0;
  std::string failureKinds;
};

struct WatchedDescriptor {
  int epoll = -1;
  void* data = nullptr;
};

// The fail points of the process, and the one that the environment selects. Not thread-safe, because the
// process has a single thread.
class FailPointRegistry {
 public:
  FailPointRegistry() {
    if (const char* path = std::getenv("PADDLETRACK_FAULT_REPORT")) reportPath_ = path;
    const char* specification = std::getenv("PADDLETRACK_FAULT");
    const std::string text = specification ? specification : "";
    const std::size_t hitSeparator = text.find('#');
    const std::size_t kindSeparator = text.find('=');
    if (hitSeparator == std::string::npos || kindSeparator == std::string::npos) return;
    chosenPoint_ = text.substr(0, hitSeparator);
    chosenHit_ = static_cast<unsigned>(std::atoi(text.c_str() + hitSeparator + 1));
    chosenKind_ = text.substr(kindSeparator + 1);
  }
  ~FailPointRegistry() {
    std::string report;
    for (const auto& [name, point] : points_)
      report += "site " + name + " " + std::to_string(point.hitCount) + " " + point.failureKinds + "\n";
    appendReport(report);
  }
  FailPointRegistry(const FailPointRegistry&) = delete;
  FailPointRegistry& operator=(const FailPointRegistry&) = delete;

  // Counts a hit. Returns the kind of failure to inject now, or an empty string.
  std::string recordHit(const std::string& name, const std::string& failureKinds) {
    FailPoint& point = points_[name];
    if (point.failureKinds.empty()) point.failureKinds = failureKinds;
    ++point.hitCount;
    if (point.hitCount != chosenHit_ || name != chosenPoint_) return "";
    appendReport("fired\n");
    if (chosenKind_ == "kill") ::kill(::getpid(), SIGKILL);
    return chosenKind_;
  }

  std::map<int, const char*> roleByDescriptor;
  std::map<int, WatchedDescriptor> watchedDescriptors;
  const char* nextConnectRole = "other";
  bool truncateNext = false;  // Set by the kind `short`, for the call whose hit was counted last.

 private:
  void appendReport(const std::string& text) const {
    if (reportPath_.empty() || text.empty()) return;
    const int fd = ::open(reportPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0) return;
    // The report is best effort: a failed write must not change the behaviour of the process.
    [[maybe_unused]] const ssize_t written = ::write(fd, text.data(), text.size());
    ::close(fd);
  }

  std::map<std::string, FailPoint> points_;
  std::string reportPath_;
  std::string chosenPoint_;
  std::string chosenKind_;
  unsigned chosenHit_ = 0;
};

FailPointRegistry& registry() {
  static FailPointRegistry instance;
  return instance;
}

const char* roleOf(int fd) {
  if (fd == kPendingConnect) return registry().nextConnectRole;
  const auto entry = registry().roleByDescriptor.find(fd);
  return entry == registry().roleByDescriptor.end() ? "" : entry->second;
}

// For a descriptor without a role, the fail point is named after the call only.
std::string failPointName(int fd, const char* name) {
  const std::string role = roleOf(fd);
  return role.empty() ? name : role + "." + name;
}

int errnoByName(const std::string& kind) {
  for (const auto& [name, number] : kErrnoNames)
    if (kind == name) return number;
  return EINVAL;
}

// Applies the kind `delay`, which every call supports and after which the call proceeds normally. Returns the
// kind of failure that remains to be injected.
std::string applyDelay(const std::string& kind) {
  if (kind != "delay") return kind;
  std::this_thread::sleep_for(kDelay);
  return "";
}

// Makes epoll report the descriptor again, as the kernel does when a call that returned EAGAIN can proceed.
void repeatWatchEvent(int fd) {
  const auto watch = registry().watchedDescriptors.find(fd);
  if (watch == registry().watchedDescriptors.end()) return;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = watch->second.data;
  ::epoll_ctl(watch->second.epoll, EPOLL_CTL_MOD, fd, &event);
}

}  // namespace

bool shouldFail(int fd, const char* name, const char* failureKinds) {
  registry().truncateNext = false;
  const std::string allKinds = std::string(failureKinds) + (*failureKinds ? " " : "") + "delay kill";
  const std::string kind = applyDelay(registry().recordHit(failPointName(fd, name), allKinds));
  if (kind.empty()) return false;
  if (kind == "short") {
    registry().truncateNext = true;
    return false;
  }
  if (kind == "again") {
    repeatWatchEvent(fd);
    errno = EAGAIN;
    return true;
  }
  errno = errnoByName(kind);
  return true;
}

void injectErrorValue(int fd, const char* name, const char* failureKinds, int& result) {
  if (shouldFail(fd, name, failureKinds)) result = errno;
}

std::size_t limitSize(std::size_t requestedSize) {
  const bool isTruncated = std::exchange(registry().truncateNext, false);
  return isTruncated && requestedSize > 1 ? requestedSize / 2 : requestedSize;
}

int truncateMessage(msghdr& message) {
  const bool isTruncated = std::exchange(registry().truncateNext, false);
  if (isTruncated && message.msg_iovlen > 0) {
    message.msg_iovlen = 1;
    if (message.msg_iov[0].iov_len > 1) message.msg_iov[0].iov_len /= 2;
  }
  return 0;
}

void checkAllocation(const char* name) {
  if (registry().recordHit(std::string("table.") + name, "ENOMEM") == "ENOMEM") throw std::bad_alloc();
}

bool shouldDelayTimer(const char* name) {
  return registry().recordHit(std::string("timer.") + name, "late kill") == "late";
}

void setNextConnectRole(const char* role) { registry().nextConnectRole = role; }

void setRole(int fd, const char* role) {
  if (fd >= 0) registry().roleByDescriptor[fd] = role ? role : registry().nextConnectRole;
}

void inheritRole(int listeningFd, int fd) {
  const auto listenerRole = registry().roleByDescriptor.find(listeningFd);
  if (fd >= 0 && listenerRole != registry().roleByDescriptor.end())
    registry().roleByDescriptor[fd] = std::string(listenerRole->second) == "front" ? "client" : "operator";
}

void registerWatch(int epoll, int fd, void* data) { registry().watchedDescriptors[fd] = {epoll, data}; }

void forgetDescriptor(int fd) {
  registry().roleByDescriptor.erase(fd);
  registry().watchedDescriptors.erase(fd);
}

}  // namespace paddletrack::failpoint
