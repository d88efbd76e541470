#include "routing/follower.hpp"

#include <cstring>
#include <exception>

#include "fault/fault.hpp"

namespace paddletrack::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kUsualInput = 8 * 1024, kMostInput = 1024 * 1024;
constexpr milliseconds kBeat{1000};  // a line comes at least so often
constexpr milliseconds kSilent = kBeat * 3 / 2;
constexpr milliseconds kFirstWait = kBeat / 10;
constexpr int kMostDoublings = 3;

}  // namespace

Follower::Follower(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& log,
                   std::uint64_t known, std::uint64_t seed, Desk& desk, const Say& say)
    : scheduler_(scheduler),
      unsent_(unsent),
      log_(log),
      last_(known),
      desk_(desk),
      say_(say),
      dice_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  begin();
}

std::string Follower::where() const { return "the list at " + log_.text(); }

void Follower::said(ErrorKind kind, const std::string& what) {
  say_("changelog", Error(kind, where(), what));
}

// The session under way, if any, ends here with all that is its own.
void Follower::begin() {
  running_.emplace(scheduler_, [this](const char* what) { said(ErrorKind::unexpected, what); });
  running_->spawn(follow());
}

bool Follower::move(const transport::Address& log) {
  if (log == log_) return false;
  log_ = log;
  failures_ = nonsense_ = 0;
  begin();
  return true;
}

// Waits between sessions are spread, so that controllers cut off together do not come back together.
transport::Task<> Follower::follow() {
  for (;;) {
    ++failures_;
    try {
      co_await session();
    } catch (const protocol::Unreadable& error) {
      said(ErrorKind::listUnreadable,
           std::string(nonsense_ > 0 ? "read afresh: " : "read again: ") + error.what());
      if (++nonsense_ > 1) last_ = 0;
    } catch (const std::exception& error) {
      say_("changelog", typed(error, where()));
    }
    desk_.listFailed();
    const milliseconds most = kFirstWait * (1 << std::min(failures_, kMostDoublings));
    const milliseconds wait{
        std::uniform_int_distribution<milliseconds::rep>(most.count() / 2, most.count())(dice_)};
    co_await scheduler_.sleepUntil(scheduler_.now() + wait);
  }
}

transport::Task<> Follower::session() {
  PADDLETRACK_MARK(dials("list"));
  transport::Dialled dialled = co_await transport::dial(scheduler_, log_, scheduler_.now() + kBeat);
  if (!dialled.descriptor) {
    said(ErrorKind::listUnreachable, std::string("out of reach: ") + std::strerror(dialled.error));
    co_return;
  }
  transport::Connection connection(scheduler_, std::move(dialled.descriptor), kUsualInput, kMostInput,
                                   unsent_);
  connection.send({Slice(protocol::since(last_))});
  transport::Inbox& input = connection.input();
  transport::Moment told = scheduler_.now();  // the last whole line: bytes that drip in are no news
  for (;;) {
    const bool more = co_await connection.receive(told + kSilent);
    if (!more) break;
    for (std::size_t end = input.view().find('\n'); end != std::string_view::npos;
         end = input.view().find('\n')) {
      line(input.view().substr(0, end));
      input.consume(end + 1);
      told = scheduler_.now();
    }
    if (input.view().size() > 0) input.expect(input.view().size() * 2);
  }
  if (input.full()) throw protocol::Unreadable("a line without an end");
  if (connection.end() == transport::Connection::End::none) {
    said(ErrorKind::listSilent, "silent: connecting anew");
  } else {
    said(ErrorKind::listCut, "cut: connecting anew");
  }
}

void Follower::line(std::string_view text) {
  if (text.ends_with('\r')) text.remove_suffix(1);
  if (text.empty()) return;
  const protocol::Line read = protocol::readLine(text);
  failures_ = 0;
  // Told again after a break, or doubled: known. A gap would leave out an executor that has gone for good;
  // one that is there even when all is read afresh is of the numbers, not of the events.
  if (read.number <= last_) {
    if (read.number == last_ && !read.change) nonsense_ = 0;
    return;
  }
  const bool follows = read.change && (read.number == last_ + 1 || last_ == 0 || read.change->whole);
  if (!follows && nonsense_ < 3)
    throw protocol::Unreadable("nothing of " + std::to_string(last_ + 1) + " before " +
                               std::to_string(read.number));
  if (read.change) desk_.listed(*read.change);
  last_ = read.number;  // not before: what could not be taken in is asked for again
}

}  // namespace paddletrack::routing
