// Stand-ins that the cases 6 to 10 share: a change log, executors, clients, and the platform that starts and ends
// controllers. All of them follow the users' protocol page: Thrift in front, RESP behind, one JSON object a line from
// the change log. Everything is on loopback addresses and on the real clock. Header only; needs a C++20 compiler.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

inline double now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void sleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleepUntil(double time) { sleepFor(time - now()); }

inline void endAllControllers();

// Ends the case as one that could not run.
[[noreturn]] inline void cannotRun(const std::string& why) {
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::fflush(nullptr);
  endAllControllers();
  std::_Exit(2);
}

// record.txt: what was sent, answered and run, with the seconds since the start of the case.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (!file_) cannotRun("record " + path);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%8.3f ", now() - startedAt_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  double startedAt() const { return startedAt_; }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
  double startedAt_ = now();
};
#define RECORD(...) ::rig::Record::get().line(__VA_ARGS__)

// ---- Sockets --------------------------------------------------------------------------------------------

inline sockaddr_in toAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) cannotRun("address " + ip);
  return address;
}

// Listens on a free port of the address.
inline int listenOn(const std::string& ip, int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = toAddress(ip, port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
    cannotRun("listen on " + ip + ": " + std::strerror(errno));
  socklen_t length = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}

inline int freePort(const std::string& ip) {
  int port = 0;
  ::close(listenOn(ip, port));
  return port;
}

inline int connectTo(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = toAddress(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return fd;
}

inline bool sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Closes with a reset.
inline void resetConnection(int fd) {
  const linger option{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

// Runs actions at their times, in one thread.
class Timers {
 public:
  static Timers& get() {
    static Timers* timers = new Timers;  // Never destroyed: its thread runs until the process ends.
    return *timers;
  }
  void at(double time, std::function<void()> action) {
    std::lock_guard lock(mutex_);
    actions_.emplace(time, std::move(action));
    changed_.notify_one();
  }
  void after(double seconds, std::function<void()> action) { at(now() + seconds, std::move(action)); }

 private:
  Timers() {
    std::thread([this] { run(); }).detach();
  }
  void run() {
    std::unique_lock lock(mutex_);
    for (;;) {
      if (actions_.empty()) {
        changed_.wait(lock);
        continue;
      }
      const double wait = actions_.begin()->first - now();
      if (wait > 0) {
        changed_.wait_for(lock, std::chrono::duration<double>(wait));
        continue;
      }
      auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      lock.unlock();
      action();
      lock.lock();
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<double, std::function<void()>> actions_;
};

// ---- The change log -------------------------------------------------------------------------------------

struct Server {
  std::string id, address, zone = "hall", kind = "std-8", state = "active";
  std::int64_t startedMs = 0;
  std::string json() const {
    return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind +
           "\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1,\"started_ms\":" + std::to_string(startedMs) + "}";
  }
};

inline std::string eventJson(std::uint64_t seq, bool full, const std::vector<Server>& servers) {
  std::string text = "{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"version\":" + std::to_string(seq) +
                     ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (std::size_t index = 0; index < servers.size(); ++index) text += (index ? "," : "") + servers[index].json();
  return text + "]}}";
}

// The numbered events. Several addresses may tell the same ones.
class Events {
 public:
  void add(bool full, const std::vector<Server>& servers) {
    std::lock_guard lock(mutex_);
    lines_.push_back(eventJson(lines_.size() + 1, full, servers));
    RECORD("list: event %zu: %s", lines_.size(), lines_.back().c_str());
  }
  std::uint64_t last() const {
    std::lock_guard lock(mutex_);
    return lines_.size();
  }
  std::vector<std::string> after(std::uint64_t seq) const {
    std::lock_guard lock(mutex_);
    if (seq >= lines_.size()) return {};
    return {lines_.begin() + static_cast<std::ptrdiff_t>(seq), lines_.end()};
  }
  std::string known() const {
    std::string results;
    for (const std::string& line : after(0)) results += (results.empty() ? "" : ",") + line;
    return "{\"seq\":" + std::to_string(last()) + ",\"results\":[" + results + "]}";
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> lines_;
};

class ChangeLog {
 public:
  ChangeLog(std::string name, Events& events, std::string ip = "127.0.0.1")
      : name_(std::move(name)), ip_(std::move(ip)), events_(events), listener_(listenOn(ip_, port_)) {
    std::thread([this] { accept(); }).detach();
  }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  // The service is slow from now on: each line comes this much later than it would, on open watches too.
  void setLate(double seconds) {
    RECORD("list %s: all lines come %.1f s late from now on", name_.c_str(), seconds);
    late_ = seconds;
  }
  // All open watches fall silent for good; watches that ask from now on are served.
  void silenceOpenWatches() {
    RECORD("list %s: open watches fall silent", name_.c_str());
    silencedBefore_ = ++generation_;
  }
  // The old address after a new configuration: tells nothing further, takes no new connection, and closes the open
  // ones after this time.
  void retire(double closeAfter) {
    RECORD("list %s: accepts no new connection, tells nothing further", name_.c_str());
    silencedBefore_ = ++generation_;
    ::shutdown(listener_, SHUT_RDWR);
    closeAt_ = now() + closeAfter;
  }
  std::atomic<int> asked{0};

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    const int generation = generation_;
    std::string input;
    char bytes[256];
    while (input.find('\n') == std::string::npos) {
      const ssize_t received = ::read(fd, bytes, sizeof bytes);
      if (received <= 0) {
        ::close(fd);
        return;
      }
      input.append(bytes, static_cast<std::size_t>(received));
    }
    std::uint64_t told = std::strtoull(input.c_str() + 6, nullptr, 10);
    const int number = ++asked;
    RECORD("list %s: watch %d asks since %llu", name_.c_str(), number, static_cast<unsigned long long>(told));
    const double askedAt = now();
    double nextNumberAt = askedAt;
    std::deque<std::pair<double, std::string>> output;  // Lines, and when they are written.
    for (;;) {
      pollfd descriptor{fd, POLLIN, 0};
      if (::poll(&descriptor, 1, 10) > 0 && ::read(fd, bytes, sizeof bytes) <= 0) break;
      if (closeAt_ > 0 && now() >= closeAt_) break;
      if (generation < silencedBefore_) continue;
      for (const std::string& line : events_.after(told)) {
        output.emplace_back(now() + late_, line + "\n");
        ++told;
      }
      if (now() >= nextNumberAt) {
        output.emplace_back(now() + late_, std::to_string(told) + "\n");
        nextNumberAt += 1;
      }
      bool written = true;
      for (; written && !output.empty() && output.front().first <= now(); output.pop_front()) {
        written = sendAll(fd, output.front().second);
        if (output.front().second[0] == '{')
          RECORD("list %s: watch %d is told %s", name_.c_str(), number, output.front().second.substr(0, 12).c_str());
      }
      if (!written) break;
    }
    RECORD("list %s: watch %d has ended after %.2f s", name_.c_str(), number, now() - askedAt);
    ::close(fd);
  }

  const std::string name_, ip_;
  Events& events_;
  int port_ = 0;
  const int listener_;
  std::atomic<double> late_{0}, closeAt_{0};
  std::atomic<int> generation_{0}, silencedBefore_{0};
};

// ---- Executors ------------------------------------------------------------------------------------------

inline std::string bulk(std::string_view text) {
  return "$" + std::to_string(text.size()) + "\r\n" + std::string(text) + "\r\n";
}
inline std::string respArray(std::initializer_list<std::string_view> parts) {
  std::string output = "*" + std::to_string(parts.size()) + "\r\n";
  for (const std::string_view part : parts) output += bulk(part);
  return output;
}

// Parses one array of bulk strings. Returns its size in bytes, 0 while it is incomplete, -1 if it cannot be read.
inline long parseResp(std::string_view input, std::vector<std::string>& parts) {
  parts.clear();
  std::size_t position = 0;
  const auto readCount = [&](char marker, long& count) -> int {
    if (position >= input.size()) return 0;
    if (input[position] != marker) return -1;
    const std::size_t end = input.find("\r\n", position);
    if (end == std::string_view::npos) return 0;
    count = std::strtol(std::string(input.substr(position + 1, end - position - 1)).c_str(), nullptr, 10);
    position = end + 2;
    return 1;
  };
  long count = 0;
  if (const int result = readCount('*', count); result <= 0) return result;
  for (long index = 0; index < count; ++index) {
    long length = 0;
    if (const int result = readCount('$', length); result <= 0) return result;
    if (input.size() < position + static_cast<std::size_t>(length) + 2) return 0;
    parts.emplace_back(input.substr(position, static_cast<std::size_t>(length)));
    position += static_cast<std::size_t>(length) + 2;
  }
  return static_cast<long>(position);
}

class Executor;

// One connection of a controller to an executor.
struct ExecutorLink {
  ExecutorLink(Executor& executorRef, int descriptor) : executor(executorRef), fd(descriptor) {}
  bool send(const std::string& bytes) {
    std::lock_guard lock(mutex);
    return open && sendAll(fd, bytes);
  }
  void end(bool reset) {
    std::lock_guard lock(mutex);
    if (!open) return;
    if (reset) resetConnection(fd);
    open = false;
    ::shutdown(fd, SHUT_RDWR);
  }
  Executor& executor;
  const int fd;
  std::mutex mutex;
  bool open = true;
  int number = 0;
};
using LinkPtr = std::shared_ptr<ExecutorLink>;

struct Ask {
  std::string id, body;
  std::map<std::string, std::string> fields;
  double at = 0;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
};

class Executor {
 public:
  explicit Executor(std::string name, std::string ip = "127.0.0.1")
      : id(std::move(name)), ip_(std::move(ip)), listener_(listenOn(ip_, port_)) {
    std::thread([this] { accept(); }).detach();
  }
  const std::string id;
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  int port() const { return port_; }

  // Called in a connection's thread for each command. A command without a handler is answered as by a sound
  // executor: see ask() and next().
  std::function<void(const LinkPtr&, const Ask&)> onAsk;
  std::function<void(const LinkPtr&, const std::string& requestId, int page)> onNext;
  std::function<void(const std::string& requestId)> onQuit;
  // The executor hangs: its process reads and writes nothing more, its connections stay open.
  std::atomic<bool> hangs{false};

  // Answers with a result of these pages; further pages are sent as they are asked for.
  void answer(const LinkPtr& link, const std::string& requestId, const std::vector<std::string>& pages) {
    {
      std::lock_guard lock(mutex_);
      results_[requestId] = pages;
    }
    link->send(respArray({requestId, "200", "batches=" + std::to_string(pages.size()), pages[0]}));
  }
  void sendPage(const LinkPtr& link, const std::string& requestId, int page) {
    std::string body;
    {
      std::lock_guard lock(mutex_);
      const auto found = results_.find(requestId);
      if (found == results_.end() || page < 1 || page >= static_cast<int>(found->second.size())) {
        link->send(respArray({requestId, "500", "-", ""}));
        return;
      }
      body = found->second[static_cast<std::size_t>(page)];
    }
    link->send(respArray({requestId, "chunk", "batch=" + std::to_string(page), body}));
  }
  void resetAll() {
    std::lock_guard lock(mutex_);
    for (const auto& link : links_) link->end(true);
  }
  std::vector<Ask> asks() const {
    std::lock_guard lock(mutex_);
    return asks_;
  }
  std::size_t linkCount() const {
    std::lock_guard lock(mutex_);
    return links_.size();
  }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int enabled = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      auto link = std::make_shared<ExecutorLink>(*this, fd);
      {
        std::lock_guard lock(mutex_);
        link->number = ++linkCount_;
        links_.insert(link);
      }
      std::thread([this, link] { serve(link); }).detach();
    }
  }
  void serve(const LinkPtr& link) {
    std::string input;
    std::vector<std::string> parts;
    std::vector<char> bytes(65536);
    for (bool usable = true; usable;) {
      while (hangs) sleepFor(0.005);
      const ssize_t received = ::read(link->fd, bytes.data(), bytes.size());
      if (received <= 0) break;
      while (hangs) sleepFor(0.005);
      input.append(bytes.data(), static_cast<std::size_t>(received));
      for (long size = 0; (size = parseResp(input, parts)) != 0;) {
        if (size < 0) {
          RECORD("executor %s: input cannot be read", id.c_str());
          usable = false;
          break;
        }
        input.erase(0, static_cast<std::size_t>(size));
        handle(link, parts);
      }
    }
    link->end(false);
    std::lock_guard lock(mutex_);
    links_.erase(link);
    std::lock_guard linkLock(link->mutex);
    ::close(link->fd);
  }
  void handle(const LinkPtr& link, const std::vector<std::string>& parts) {
    if (parts.empty()) return;
    if (parts[0] == "ASK" && parts.size() == 4) {
      Ask ask{parts[1], parts[3], {}, now()};
      std::istringstream fields(parts[2]);
      for (std::string field; std::getline(fields, field, ',');)
        if (const std::size_t equals = field.find('='); equals != std::string::npos)
          ask.fields[field.substr(0, equals)] = field.substr(equals + 1);
      {
        std::lock_guard lock(mutex_);
        asks_.push_back(ask);
      }
      if (onAsk)
        onAsk(link, ask);
      else
        answer(link, ask.id, {"a\tb\tc\n"});
    } else if (parts[0] == "NEXT" && parts.size() == 3) {
      const int page = std::atoi(parts[2].c_str());
      if (onNext)
        onNext(link, parts[1], page);
      else
        sendPage(link, parts[1], page);
    } else if (parts[0] == "NOOP" && parts.size() == 2) {
      link->send(respArray({parts[1], "alive"}));
    } else if (parts[0] == "QUIT" && parts.size() == 2) {
      if (onQuit) onQuit(parts[1]);
    }
  }

  const std::string ip_;
  int port_ = 0;
  const int listener_;
  mutable std::mutex mutex_;
  std::set<LinkPtr> links_;
  int linkCount_ = 0;
  std::vector<Ask> asks_;
  std::map<std::string, std::vector<std::string>> results_;
};

// ---- Clients --------------------------------------------------------------------------------------------

inline void put32(std::string& output, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) output += static_cast<char>((value >> shift) & 0xff);
}
inline void putString(std::string& output, std::string_view text) {
  put32(output, static_cast<std::uint32_t>(text.size()));
  output += text;
}
inline void putField(std::string& output, int type, int id) {
  output += static_cast<char>(type);
  output += static_cast<char>(id >> 8);
  output += static_cast<char>(id & 0xff);
}
inline std::string frame(std::string_view method, int type, std::uint32_t sequence, std::string_view arguments) {
  std::string payload;
  put32(payload, 0x80010000U | static_cast<unsigned>(type));
  putString(payload, method);
  put32(payload, sequence);
  payload += arguments;
  std::string output;
  put32(output, static_cast<std::uint32_t>(payload.size()));
  return output + payload;
}
using Fields = std::vector<std::pair<std::string, std::string>>;
inline std::string submitFrame(std::uint32_t sequence, const Fields& fields, std::string_view statement) {
  std::string arguments;
  putField(arguments, 13, 1);
  arguments += static_cast<char>(11);
  arguments += static_cast<char>(11);
  put32(arguments, static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) {
    putString(arguments, name);
    putString(arguments, value);
  }
  putField(arguments, 11, 2);
  putString(arguments, statement);
  arguments += '\0';
  return frame("submit", 1, sequence, arguments);
}
inline std::string heartbeatFrame(std::uint32_t sequence) {
  std::string arguments;
  putField(arguments, 2, 1);
  arguments += '\0';
  arguments += '\0';
  return frame("heartbeat", 1, sequence, arguments);
}
inline std::string revokeFrame(std::uint32_t sequence) {
  std::string arguments;
  putField(arguments, 8, 1);
  put32(arguments, sequence);
  arguments += '\0';
  return frame("revoke", 4, 0, arguments);
}

// A reply as the client reads it. `kind`: served, unhealthy (an Answer that is not good), shed, fault, exception,
// unreadable.
struct Reply {
  std::string kind, body, text;
  double at = 0;
  long cooldownMs = -1;
};

// Reads a reply's payload without its frame header.
struct ReplyReader {
  std::string_view in;
  bool bad = false;
  std::uint32_t u(int bytes) {
    if (in.size() < static_cast<std::size_t>(bytes)) {
      bad = true;
      return 0;
    }
    std::uint32_t value = 0;
    for (int index = 0; index < bytes; ++index) value = value << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(index)]);
    in.remove_prefix(static_cast<std::size_t>(bytes));
    return value;
  }
  std::string str() {
    const std::uint32_t size = u(4);
    if (bad || in.size() < size) {
      bad = true;
      return {};
    }
    std::string text(in.substr(0, size));
    in.remove_prefix(size);
    return text;
  }
  std::map<std::string, std::string> map() {
    std::map<std::string, std::string> entries;
    u(2);
    for (std::uint32_t count = u(4); count > 0 && !bad; --count) {
      const std::string name = str();
      entries[name] = str();
    }
    return entries;
  }
};
inline Reply parseReply(std::string_view payload, std::uint32_t& sequence) {
  ReplyReader reader{payload};
  Reply reply;
  reply.at = now();
  reply.kind = "unreadable";
  const std::uint32_t header = reader.u(4);
  reader.str();
  sequence = reader.u(4);
  if (reader.bad || (header & 0xffffff00U) != 0x80010000U) return reply;
  if ((header & 0xff) == 3) {
    reply.kind = "exception";
    if (reader.u(1) == 11 && (reader.u(2), !reader.bad)) reply.text = reader.str();
    return reply;
  }
  if (reader.u(1) != 12) return reply;
  const std::uint32_t result = reader.u(2);
  bool good = false;
  for (std::uint32_t type = reader.u(1); type != 0 && !reader.bad; type = reader.u(1)) {
    const std::uint32_t field = reader.u(2);
    if (type == 11)
      reply.body = reader.str();
    else if (type == 13) {
      const auto entries = reader.map();
      if (entries.count("cooldown")) reply.cooldownMs = std::atol(entries.at("cooldown").c_str());
    } else if (type == 2) {
      const bool value = reader.u(1) != 0;
      if (field == 3) good = value;
    } else {
      return reply;
    }
  }
  if (reader.bad) return reply;
  reply.kind = result == 0 ? (good ? "served" : "unhealthy") : result == 1 ? "shed" : "fault";
  return reply;
}

inline std::string newRef() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// One connection of a client.
class Client {
 public:
  Client(const std::string& ip, int port) : fd_(connectTo(ip, port)) {
    if (fd_ < 0) {
      ended_ = true;
      return;
    }
    reader_ = std::thread([this] { read(); });
  }
  ~Client() {
    if (fd_ < 0) return;
    ::shutdown(fd_, SHUT_RDWR);
    reader_.join();
    ::close(fd_);
  }
  bool connected() const { return fd_ >= 0; }
  bool ended() const { return ended_; }
  double endedAt() const { return endedAt_; }
  // Sends a request; returns its sequence number, 0 if the connection took not all of it.
  std::uint32_t submit(const Fields& fields, std::string_view statement) {
    std::lock_guard lock(writeMutex_);
    const std::uint32_t sequence = ++lastSequence_;
    return fd_ >= 0 && sendAll(fd_, submitFrame(sequence, fields, statement)) ? sequence : 0;
  }
  std::uint32_t heartbeat() {
    std::lock_guard lock(writeMutex_);
    const std::uint32_t sequence = ++lastSequence_;
    return fd_ >= 0 && sendAll(fd_, heartbeatFrame(sequence)) ? sequence : 0;
  }
  bool sendRaw(std::string_view bytes) {
    std::lock_guard lock(writeMutex_);
    return fd_ >= 0 && sendAll(fd_, bytes);
  }
  std::optional<Reply> wait(std::uint32_t sequence, double until) {
    std::unique_lock lock(mutex_);
    while (!replies_.count(sequence)) {
      if (ended_) return std::nullopt;
      const double left = until - now();
      if (left <= 0) return std::nullopt;
      changed_.wait_for(lock, std::chrono::duration<double>(left));
    }
    return replies_[sequence];
  }
  std::function<void(std::uint32_t, const Reply&)> onReply;

 private:
  void read() {
    std::string input;
    std::vector<char> bytes(65536);
    for (;;) {
      const ssize_t received = ::read(fd_, bytes.data(), bytes.size());
      if (received <= 0) break;
      input.append(bytes.data(), static_cast<std::size_t>(received));
      while (input.size() >= 4) {
        ReplyReader header{input};
        const std::size_t size = header.u(4);
        if (input.size() < 4 + size) break;
        std::uint32_t sequence = 0;
        const Reply reply = parseReply(std::string_view(input).substr(4, size), sequence);
        input.erase(0, 4 + size);
        if (onReply) onReply(sequence, reply);
        std::lock_guard lock(mutex_);
        replies_[sequence] = reply;
        changed_.notify_all();
      }
    }
    std::lock_guard lock(mutex_);
    ended_ = true;
    endedAt_ = now();
    changed_.notify_all();
  }
  const int fd_;
  std::mutex writeMutex_, mutex_;
  std::condition_variable changed_;
  std::uint32_t lastSequence_ = 0;
  std::map<std::uint32_t, Reply> replies_;
  std::atomic<bool> ended_{false};
  std::atomic<double> endedAt_{0};
  std::thread reader_;
};

// ---- The platform ---------------------------------------------------------------------------------------

// Reads a key of deploy/balancer.toml, whose values stand on one line.
inline std::string deployValue(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);)
    if (line.rfind(key + " = \"", 0) == 0) {
      const std::size_t start = line.find('"') + 1;
      return line.substr(start, line.find('"', start) - start);
    }
  cannotRun("deploy/balancer.toml has no " + key);
}

inline std::set<pid_t>& startedProcesses() {
  static std::set<pid_t> processes;
  return processes;
}
inline void endAllControllers() {
  for (const pid_t pid : startedProcesses()) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  startedProcesses().clear();
}

struct RequestType {
  std::string name, idempotency = "retryable", group = "all";
  int windowMs = 5000, onTimeMs = 600, giveUpMs = 3000, threads = 1;
};
struct Deployment {
  std::vector<RequestType> types;
  std::string name = "c1";
  int balancers = 1, memoryMb = 64, sockets = 512, cores = 8;
  int drainGraceMs = 1000, dialTimeoutMs = 500, idleCloseMs = 30000, mostTries = 3;
  bool cancelling = true, parallelTries = false;
  std::string extraRules;
};

// A controller, started by `run` of the deploy file with the environment of the deployment page.
class Controller {
 public:
  Controller(std::string root, std::string folder, Deployment deployment, std::string ip = "127.0.0.1")
      : root_(std::move(root)), folder_(std::move(folder)), deployment_(std::move(deployment)), ip_(std::move(ip)),
        port_(freePort(ip_)) {}
  ~Controller() { kill(SIGKILL); }
  const std::string& ip() const { return ip_; }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string configPath() const { return folder_ + "/" + deployment_.name + ".json"; }
  std::string logPath() const { return folder_ + "/" + deployment_.name + ".log"; }

  void writeConfig(const std::string& changeLog, const std::string& known) {
    const Deployment& d = deployment_;
    std::string profiles, threads, loads;
    for (const RequestType& type : d.types) {
      const std::string comma = profiles.empty() ? "" : ",";
      profiles += comma + "{\"name\":\"" + type.name + "\",\"idempotency\":\"" + type.idempotency + "\",\"group\":\"" +
                  type.group + "\",\"windowUs\":" + std::to_string(type.windowMs * 1000) +
                  ",\"onTimeUs\":" + std::to_string(type.onTimeMs * 1000) +
                  ",\"aimStretch\":2.0,\"giveUpUs\":" + std::to_string(type.giveUpMs * 1000) +
                  ",\"lateWorth\":0.3,\"importance\":1.0,\"stream\":false}";
      threads += comma + std::to_string(type.threads);
      loads += comma + "false";
    }
    std::ostringstream text;
    text << "{\"name\":\"" << d.name << "\",\"listen\":\"" << ip_ << ":" << port_ << "\",\"seed\":\"" << newRef()
         << "\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" << d.memoryMb << ",\"sockets\":" << d.sockets
         << "},\n\"changelog\":\"" << changeLog << "\",\n\"known\":" << known << ",\n\"settings\":{\"balancers\":"
         << d.balancers << ",\"zone\":0,\"zones\":[\"hall\"],\"machineTypes\":[\"std-8\"],\n\"familyInfo\":{\"kindCores\":["
         << d.cores << "],\"memoryByKindMb\":[65536.0],\"widthByClass\":[" << threads << "],\"loads\":[" << loads
         << "],\"memoryHeeded\":true,\"lanesCount\":true,\"progressPaceUs\":0},\n\"profiles\":[" << profiles
         << "],\n\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":1000.0,\"share\":1.0}],\n\"limits\":{\"cancelling\":"
         << (d.cancelling ? "true" : "false") << ",\"parallelTries\":" << (d.parallelTries ? "true" : "false")
         << ",\"probes\":false,\"peers\":false,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\"mostTries\":"
         << d.mostTries << ",\"maxOpen\":40000,\"streamsPerConn\":32,\"dialTimeoutUs\":" << d.dialTimeoutMs * 1000
         << ",\"idleCloseUs\":" << d.idleCloseMs * 1000
         << "},\n\"registryMode\":\"pushed\",\"reporting\":{\"source\":\"off\",\"names\":[]},\n"
            "\"rules\":{\"answerSlackUs\":20000,\"coldUs\":14000000,\"drainGraceUs\":"
         << d.drainGraceMs * 1000 << ",\"fallMultiple\":3.0,\"fallUs\":3000000,\"mustAskInUs\":10000000,\"startCapacity\":0.3"
         << d.extraRules << "},\n\"prices\":{\"crossZone\":0.0},\"tickUs\":5000}}\n";
    const std::string temporary = configPath() + ".new";
    {
      std::ofstream file(temporary);
      file << text.str();
      if (!file) cannotRun("write " + temporary);
    }
    if (std::rename(temporary.c_str(), configPath().c_str()) != 0) cannotRun("replace " + configPath());
  }

  void start() {
    const std::string run = deployValue(root_, "run");
    const std::string listen = ip_ + ":" + std::to_string(port_);
    // The arguments of execve are made before the fork, as the process has several threads.
    std::vector<std::string> environment = {"GW_NAME=" + deployment_.name, "GW_LISTEN=" + listen,
                                            "GW_CONFIG=" + configPath(), "TMPDIR=" + folder_, "PATH=/usr/bin:/bin"};
    environment.insert(environment.end(), extraEnvironment.begin(), extraEnvironment.end());
    std::vector<char*> environmentPointers;
    for (std::string& entry : environment) environmentPointers.push_back(entry.data());
    environmentPointers.push_back(nullptr);
    const int log = ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with the case, also if that is stopped for time.
      ::dup2(log, 1);
      ::dup2(log, 2);
      if (::chdir(root_.c_str()) != 0) ::_exit(126);
      char shell[] = "/bin/sh", option[] = "-c";
      char* arguments[] = {shell, option, const_cast<char*>(run.c_str()), nullptr};
      ::execve(shell, arguments, environmentPointers.data());
      ::_exit(127);
    }
    ::close(log);
    if (pid_ < 0) cannotRun("fork");
    startedProcesses().insert(pid_);
    RECORD("platform: starts %s (process %d) by '%s'", deployment_.name.c_str(), static_cast<int>(pid_), run.c_str());
  }
  // Waits until a heartbeat is answered as good.
  void waitUntilReady(double seconds = 30) {
    for (const double until = now() + seconds; now() < until; sleepFor(0.05)) {
      if (!isRunning()) cannotRun("the controller has ended at its start, see " + logPath());
      Client client(ip_, port_);
      if (!client.connected()) continue;
      const std::uint32_t sequence = client.heartbeat();
      const std::optional<Reply> reply = client.wait(sequence, now() + 1);
      if (reply && reply->kind == "served") return;
    }
    cannotRun("the controller is not ready");
  }
  void signal(int number) {
    RECORD("platform: signal %d to %s", number, deployment_.name.c_str());
    ::kill(pid_, number);
  }
  bool isRunning() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    exitStatus = status;
    RECORD("platform: %s has ended, wait status %d", deployment_.name.c_str(), status);
    startedProcesses().erase(pid_);
    pid_ = 0;
    return false;
  }
  void kill(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    ::waitpid(pid_, &exitStatus, 0);
    startedProcesses().erase(pid_);
    pid_ = 0;
  }
  // Anonymous resident memory in kB, without the pages of the program and its libraries.
  long residentKb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.rfind("RssAnon:", 0) == 0) return std::atol(line.c_str() + 8);
    return 0;
  }
  int exitStatus = 0;
  std::vector<std::string> extraEnvironment;  // As NAME=value, for the next start.

 private:
  const std::string root_, folder_;
  const Deployment deployment_;
  const std::string ip_;
  const int port_;
  pid_t pid_ = 0;
};

// What run.sh passes to a case: the root of the repository, the folder of the case, a temporary folder.
struct Arguments {
  std::string root, caseFolder, temporary;
  bool trouble = true;
};
inline Arguments readArguments(int argc, char** argv) {
  if (argc != 4) cannotRun("usage: case ROOT CASE-FOLDER TEMPORARY-FOLDER");
  Arguments arguments{argv[1], argv[2], argv[3], true};
  const char* trouble = std::getenv("TROUBLE");
  arguments.trouble = !(trouble && std::string(trouble) == "0");
  Record::get().open(arguments.caseFolder + "/record.txt");
  ::signal(SIGPIPE, SIG_IGN);
  RECORD("case %s, disruption %s", arguments.caseFolder.c_str(), arguments.trouble ? "on" : "off");
  return arguments;
}
[[noreturn]] inline void finish(bool held, const std::string& what) {
  RECORD("%s: %s", held ? "the rule held" : "THE RULE WAS BROKEN", what.c_str());
  std::printf("%s: %s\n", held ? "held" : "broken", what.c_str());
  std::fflush(nullptr);
  endAllControllers();
  std::_Exit(held ? 0 : 1);
}

}  // namespace rig
