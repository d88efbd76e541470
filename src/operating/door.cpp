#include "operating/door.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/error.hpp"
#include "fault/fault.hpp"
#include "operating/words.hpp"

namespace paddletrack::operating {
namespace {

using transport::Slice;

constexpr int kBacklog = 16;
constexpr std::size_t kUsualInput = 1024;

[[noreturn]] void fail(const std::string& path, const std::string& what) {
  throw Error(ErrorKind::doorFailed, "door.socket: " + path, what);
}
[[noreturn]] void failed(const std::string& path, const char* what) {
  throw SystemErrorOf<ErrorKind::doorFailed>("door.socket: " + path, what, errno);
}

struct Owned {
  int fd = -1;
  ~Owned() {
    if (fd >= 0) ::close(fd);
  }
};

// Whether a process listens there; a full backlog is a sign of one as well.
bool alive(const transport::Address& address) {
  Owned probe{PADDLETRACK_CALL(-1, "socket_file.probe", "EMFILE",
                               ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))};
  if (probe.fd < 0) return true;
  return PADDLETRACK_CALL(-1, "socket_file.connect", "again EACCES",
                          ::connect(probe.fd, address.raw(), address.length())) == 0 ||
         errno != ECONNREFUSED;
}

}  // namespace

SocketFile::SocketFile(const std::string& path) : path_(path) {
  const transport::Address address("unix:" + path);
  const std::size_t slash = path.rfind('/');
  // Two that start at once must not take each other's fresh socket for a dead one.
  Owned folder{PADDLETRACK_CALL(
      -1, "socket_file.folder", "EMFILE EACCES",
      ::open(slash == 0 ? "/" : path.substr(0, slash).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC))};
  if (folder.fd < 0) failed(path, "its folder");
  while (PADDLETRACK_CALL(-1, "socket_file.lock", "EINTR ENOMEM", ::flock(folder.fd, LOCK_EX)) != 0)
    if (errno != EINTR) failed(path, "its folder");
  struct stat there {};
  if (PADDLETRACK_CALL(-1, "socket_file.look", "EACCES", ::lstat(path.c_str(), &there)) == 0) {
    if (!S_ISSOCK(there.st_mode)) fail(path, "something that is no socket stands there; it is left as it is");
    if (alive(address)) fail(path, "another process listens there");
    if (PADDLETRACK_CALL(-1, "socket_file.take_over", "EACCES", ::unlink(path.c_str())) != 0)
      failed(path, "the dead socket there can't be removed");
  } else if (errno != ENOENT) {
    failed(path, "can't be looked at");
  }
  Owned made{PADDLETRACK_CALL(-1, "socket_file.socket", "EMFILE ENOMEM",
                              ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))};
  if (made.fd < 0) failed(path, "socket");
  const mode_t before = ::umask(0177);
  const bool bound = PADDLETRACK_CALL(-1, "socket_file.bind", "EADDRINUSE EACCES",
                                      ::bind(made.fd, address.raw(), address.length())) == 0;
  const int error = errno;
  ::umask(before);
  errno = error;
  if (!bound) failed(path, "can't be made");
  if (PADDLETRACK_CALL(-1, "socket_file.look_again", "EACCES", ::lstat(path.c_str(), &there)) != 0 ||
      PADDLETRACK_CALL(-1, "socket_file.listen", "EADDRINUSE", ::listen(made.fd, kBacklog)) != 0) {
    const int cause = errno;
    ::unlink(path.c_str());
    errno = cause;
    failed(path, "can't be listened at");
  }
  device_ = there.st_dev;
  inode_ = there.st_ino;
  fd_ = std::exchange(made.fd, -1);
}

int SocketFile::release() { return std::exchange(fd_, -1); }

SocketFile::~SocketFile() {
  if (fd_ >= 0) ::close(fd_);
  struct stat there {};
  if (PADDLETRACK_CALL(-1, "socket_file.end", "EACCES", ::lstat(path_.c_str(), &there)) == 0 &&
      there.st_dev == device_ && there.st_ino == inode_)
    ::unlink(path_.c_str());
}

class Door::Session {
 public:
  Session(Door& door, std::unique_ptr<transport::Descriptor> accepted, std::string who)
      : door_(door),
        who_(std::move(who)),
        connection_(door.scheduler_, std::move(accepted), kUsualInput, door.terms_.line, door.unsent_) {
    place_ = door_.sessions_.insert(door_.sessions_.end(), this);
  }
  ~Session() { door_.sessions_.erase(place_); }

  transport::Task<> run() {
    transport::Inbox& input = connection_.input();
    transport::Moment whole = door_.scheduler_.now();  // its last whole message
    transport::Moment read = whole;                    // when it last had nothing left to read
    for (;;) {
      const transport::Moment now = door_.scheduler_.now();
      if (connection_.unsent() == 0) read = now;
      if (now >= read + door_.terms_.idle) co_return;
      const bool waits = !every_ || input.view().size() > 0;  // for the rest of a message, or for one at all
      if (waits && now >= whole + door_.terms_.idle) co_return;
      if (every_ && now >= next_) tell();
      transport::Moment until = waits ? whole + door_.terms_.idle : now + door_.terms_.idle;
      if (every_) until = std::min(until, next_);
      if (connection_.unsent() > 0) until = std::min(until, read + door_.terms_.idle);
      const bool more = co_await connection_.receive(until);
      if (!more) {
        if (connection_.end() != transport::Connection::End::none) co_return;
        if (!input.full()) continue;
        connection_.send({Slice(refusal(
            "null", "too_long", "a message has " + std::to_string(door_.terms_.line) + " bytes at most"))});
        co_await connection_.drained(0, door_.scheduler_.now() + door_.terms_.idle / 10);
        co_return;
      }
      for (std::size_t end = input.view().find('\n'); end != std::string_view::npos;
           end = input.view().find('\n')) {
        std::string_view line = input.view().substr(0, end);
        if (line.ends_with('\r')) line.remove_suffix(1);
        const std::string reply = answer(line);
        input.consume(end + 1);
        whole = door_.scheduler_.now();
        if (connection_.unsent() + reply.size() > door_.terms_.unsent) co_return;  // it does not read
        connection_.send({Slice(reply)});
        co_await door_.scheduler_.turn();  // one that asks much does not hold up the jobs
        if (connection_.end() != transport::Connection::End::none) co_return;
      }
      if (input.view().size() > 0) input.expect(input.view().size() * 2);
    }
  }

  // A client that has not read the last one misses this one.
  void tell() {
    if (!every_) return;
    next_ = door_.scheduler_.now() + *every_;
    const std::string line = progress(door_.keeper_.status());
    if (connection_.unsent() + line.size() <= door_.terms_.unsent) connection_.send({Slice(line)});
  }

 private:
  std::string answer(std::string_view line) {
    std::string id = "null";
    try {
      const Request request = readRequest(line, id);
      Keeper& keeper = door_.keeper_;
      drain::Refusal refused = drain::Refusal::none;
      if (request.wish == Wish::drain) refused = keeper.ask(request.deadline, request.comeBack, who_);
      if (request.wish == Wish::cancel) refused = keeper.cancel(who_);
      if (refused != drain::Refusal::none) return refusal(id, refused, keeper.terms());
      if (request.wish == Wish::engines) return reply(id, keeper.engines(request.from, kEnginesAtOnce + 1));
      if (request.wish == Wish::address) {
        const auto found =
            keeper.setAddress(request.engine, request.address, request.byHand, request.until, who_);
        if (found == routing::Desk::Found::noEngine)
          return refusal(id, "no_engine", "engine: '" + request.engine.substr(0, 60) + "' is not known");
        if (found == routing::Desk::Found::noAddress)
          return refusal(id, "no_address",
                         "address: '" + request.address.substr(0, 120) + "' is none of its addresses");
        return reply(id);
      }
      if (request.wish == Wish::watch) {
        every_ = request.every;
        next_ = door_.scheduler_.now() + request.every;
      }
      return reply(id, keeper.status());
    } catch (const BadRequest& error) {
      return refusal(id, error.code, error.what());
    }
  }

  Door& door_;
  const std::string who_;
  transport::Connection connection_;
  std::list<Session*>::iterator place_;
  std::optional<Span> every_;  // it watches
  transport::Moment next_{};
};

Door::Door(transport::Scheduler& scheduler, const DoorTerms& terms, Keeper& keeper, const Say& say)
    : scheduler_(scheduler),
      terms_(terms),
      keeper_(keeper),
      say_(say),
      unsent_{terms.unsent * terms.clients * transport::Unsent::kFairParts, 0},
      file_(terms.socket),
      listener_(scheduler, file_.release()),
      running_(scheduler, [this](const char* what) { say_("door", what, {}, Level::warning); }) {
  keeper_.tellChanges([this] {
    for (Session* each : sessions_) each->tell();
  });
  running_.spawn(listen());
}

Door::~Door() { keeper_.tellChanges(nullptr); }

transport::Task<> Door::listen() {
  for (;;) {
    try {
      std::unique_ptr<transport::Descriptor> accepted = co_await listener_.accept();
      if (sessions_.size() >= terms_.clients) {
        say_("door", Error(ErrorKind::doorFull, terms_.socket,
                           "full: " + std::to_string(terms_.clients) + " clients"));
        const std::string busy =
            refusal("null", "busy", "the door has as many clients as it may (door.clients)");
        ::send(accepted->fd(), busy.data(), busy.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      } else {
        running_.spawn(serve(std::move(accepted)));
      }
    } catch (const std::exception& error) {
      say_("door", Error(ErrorKind::acceptFailed, terms_.socket, error.what()));
    }
    co_await scheduler_.turn();
  }
}

bool Door::letIn(int fd, std::string& who) const {
  ucred peer{};
  socklen_t size = sizeof peer;
  if (PADDLETRACK_CALL(fd, "credentials", "ENOMEM",
                       ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size)) != 0)
    return false;
  who = "user " + std::to_string(peer.uid) + " process " + std::to_string(peer.pid);
  return peer.uid == ::geteuid() || peer.uid == 0;
}

transport::Task<> Door::serve(std::unique_ptr<transport::Descriptor> accepted) {
  std::string who = "somebody unknown";
  if (!letIn(accepted->fd(), who)) {
    say_("door", Error(ErrorKind::notLetIn, terms_.socket, who + " is not let in"));
    co_return;
  }
  Session session(*this, std::move(accepted), std::move(who));
  co_await session.run();
}

}  // namespace paddletrack::operating
