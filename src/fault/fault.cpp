#include "fault/fault.hpp"

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

namespace paddletrack::fault {
namespace {

constexpr std::array<std::pair<const char*, int>, 17> kErrors{{{"EMFILE", EMFILE},
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

struct Site {
  unsigned hits = 0;
  std::string kinds;
};

struct Watched {
  int epoll = -1;
  void* data = nullptr;
};

class Points {
 public:
  Points() {
    if (const char* path = std::getenv("PADDLETRACK_FAULT_REPORT")) report_ = path;
    const char* chosen = std::getenv("PADDLETRACK_FAULT");
    const std::string text = chosen ? chosen : "";
    const std::size_t number = text.find('#'), kind = text.find('=');
    if (number == std::string::npos || kind == std::string::npos) return;
    site_ = text.substr(0, number);
    hit_ = static_cast<unsigned>(std::atoi(text.c_str() + number + 1));
    kind_ = text.substr(kind + 1);
  }
  ~Points() {
    std::string all;
    for (const auto& [name, site] : sites_)
      all += "site " + name + " " + std::to_string(site.hits) + " " + site.kinds + "\n";
    say(all);
  }
  Points(const Points&) = delete;
  Points& operator=(const Points&) = delete;

  // The kind that is to happen now, or none.
  std::string hit(const std::string& name, const std::string& kinds) {
    Site& site = sites_[name];
    if (site.kinds.empty()) site.kinds = kinds;
    if (++site.hits != hit_ || name != site_) return "";
    say("fired\n");
    if (kind_ == "kill") ::kill(::getpid(), SIGKILL);
    return kind_;
  }

  std::map<int, const char*> roles;
  std::map<int, Watched> watched;
  const char* dialled = "other";
  bool cut = false;

 private:
  void say(const std::string& text) const {
    if (report_.empty() || text.empty()) return;
    const int fd = ::open(report_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0) return;
    (void)!::write(fd, text.data(), text.size());
    ::close(fd);
  }

  std::map<std::string, Site> sites_;
  std::string report_, site_, kind_;
  unsigned hit_ = 0;
};

Points& points() {
  static Points all;
  return all;
}

std::string siteOf(int fd, const char* name) {
  const auto known = points().roles.find(fd);
  const char* role = fd == kDial ? points().dialled : known == points().roles.end() ? "" : known->second;
  return *role ? std::string(role) + "." + name : name;
}

int numberOf(const std::string& kind) {
  for (const auto& [name, number] : kErrors)
    if (kind == name) return number;
  return EINVAL;
}

// What is known of all calls: they may come late.
std::string after(const std::string& kind) {
  if (kind == "delay") std::this_thread::sleep_for(kDelay);
  return kind == "delay" ? "" : kind;
}

}  // namespace

bool fails(int fd, const char* name, const char* kinds) {
  points().cut = false;
  const std::string all = std::string(kinds) + (*kinds ? " " : "") + "delay kill";
  const std::string kind = after(points().hit(siteOf(fd, name), all));
  if (kind.empty()) return false;
  if (kind == "short") {
    points().cut = true;
    return false;
  }
  if (kind == "again") {
    // The kernel tells of it once more, as it does when what was missing comes.
    if (const auto at = points().watched.find(fd); at != points().watched.end()) {
      epoll_event wanted{};
      wanted.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
      wanted.data.ptr = at->second.data;
      ::epoll_ctl(at->second.epoll, EPOLL_CTL_MOD, fd, &wanted);
    }
    errno = EAGAIN;
    return true;
  }
  errno = numberOf(kind);
  return true;
}

void value(int fd, const char* name, const char* kinds, int& to) {
  if (fails(fd, name, kinds)) to = errno;
}

std::size_t size(std::size_t wanted) {
  return std::exchange(points().cut, false) && wanted > 1 ? wanted / 2 : wanted;
}

int cut(msghdr& message) {
  if (std::exchange(points().cut, false) && message.msg_iovlen > 0) {
    message.msg_iovlen = 1;
    if (message.msg_iov[0].iov_len > 1) message.msg_iov[0].iov_len /= 2;
  }
  return 0;
}

void table(const char* name) {
  if (points().hit(std::string("table.") + name, "ENOMEM") == "ENOMEM") throw std::bad_alloc();
}

bool late(const char* name) { return points().hit(std::string("timer.") + name, "late kill") == "late"; }

void dials(const char* role) { points().dialled = role; }

void role(int fd, const char* role) {
  if (fd >= 0) points().roles[fd] = role ? role : points().dialled;
}

void heir(int listening, int fd) {
  const auto at = points().roles.find(listening);
  if (fd >= 0 && at != points().roles.end())
    points().roles[fd] = std::string(at->second) == "front" ? "client" : "operator";
}

void watched(int epoll, int fd, void* data) { points().watched[fd] = {epoll, data}; }

void forget(int fd) {
  points().roles.erase(fd);
  points().watched.erase(fd);
}

}  // namespace paddletrack::fault
