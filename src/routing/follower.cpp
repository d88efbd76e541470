#include "routing/follower.hpp"

#include <algorithm>
#include <cstring>
#include <exception>
#include <utility>

#include "fault/fault.hpp"

namespace paddletrack::routing {
namespace {

using std::chrono::milliseconds;

// A whole list is one line: the most is a thousand bytes for each of a thousand engines.
constexpr std::size_t kUsualInput = 8 * 1024, kMostInput = 1024 * 1024;
constexpr milliseconds kDial{1000};
constexpr milliseconds kLook{100};  // while it waits: whether engines can't be reached

std::string where(const transport::Address& log) { return "the list at " + log.text(); }

}  // namespace

Follower::Follower(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& log,
                   std::uint64_t known, std::uint64_t seed, Desk& desk, const Say& say,
                   const coldstart::Terms& terms)
    : scheduler_(scheduler),
      unsent_(unsent),
      log_(log),
      last_(known),
      desk_(desk),
      say_(say),
      dials_(terms, desk.ready(), seed, desk.now()) {
  begin();
}

void Follower::said(ErrorKind kind, const transport::Address& log, const std::string& what) {
  say_("changelog", Error(kind, where(log), what));
}

void Follower::begin() {
  running_ = std::make_unique<transport::Group>(
      scheduler_, [this](const char* what) { said(ErrorKind::unexpected, log_, what); });
  running_->spawn(follow(++way_, log_));
}

// The new one may be out of reach, for a while or for good: a session that tells goes on until the new one
// has told as much as is known. One that ends earlier is not begun again.
bool Follower::move(const transport::Address& log) {
  if (log == (next_ ? *next_ : log_)) return false;
  if (log == log_) {
    moving_.reset();
    next_.reset();
    return true;
  }
  next_ = log;
  movesAt_ = scheduler_.now() + (dials_.moves(desk_.now(), desk_.ready()) - desk_.now());
  moving_.emplace(scheduler_, [this](const char* what) { say_("changelog", what); });
  moving_->spawn(moveAt(movesAt_));
  return true;
}

transport::Task<> Follower::moveAt(transport::Moment moment) {
  if (moment > scheduler_.now()) co_await scheduler_.sleepUntil(moment);
  log_ = *next_;
  next_.reset();
  nonsense_ = 0;
  dials_.moved(desk_.now());
  if (said_) before_ = std::move(running_);
  said_ = behind_ = waits_ = false;
  begin();
}

// Where the wait is long what was known may be too old by now: engines that can't be reached tell.
transport::Task<> Follower::wait() {
  waits_ = true;
  for (Span now = desk_.now(); now < dials_.due(); now = desk_.now()) {
    constexpr auto kUnreachable = static_cast<std::size_t>(Outcome::unreachable);
    const std::uint64_t before = desk_.totals().ends[kUnreachable];
    co_await scheduler_.sleepUntil(scheduler_.now() + std::min<Span>(dials_.due() - now, kLook));
    if (desk_.totals().ends[kUnreachable] > before) dials_.doubt(desk_.now());
  }
  waits_ = false;
}

transport::Task<> Follower::follow(std::uint64_t way, transport::Address log) {
  for (;;) {
    co_await wait();
    said_ = behind_ = false;
    ++dialled_;
    End how = End::refused;
    try {
      how = co_await session(way, log);
    } catch (const protocol::Unreadable& error) {
      said(ErrorKind::listUnreadable, log,
           std::string(nonsense_ > 0 ? "read afresh: " : "read again: ") + error.what());
      if (way == way_ && ++nonsense_ > 1) last_ = 0;
    } catch (const std::exception& error) {
      say_("changelog", typed(error, where(log)));
    }
    if (way != way_) co_return;
    dials_.ended(desk_.now(), said_ ? End::told : how, desk_.ready());
    said_ = false;
    desk_.listFailed();
  }
}

Follower::View Follower::view() const {
  View view{last_, said_, behind_, dialled_, dials_.failures(), {}, {}};
  if (waits_) view.nextDialIn = std::max(dials_.due() - desk_.now(), Span{0});
  if (next_) view.movesIn = std::chrono::duration_cast<Span>(movesAt_ - scheduler_.now());
  return view;
}

transport::Task<Follower::End> Follower::session(std::uint64_t way, transport::Address log) {
  PADDLETRACK_MARK(dials("list"));
  transport::Dialled dialled = co_await transport::dial(scheduler_, log, scheduler_.now() + kDial);
  if (!dialled.descriptor) {
    said(ErrorKind::listUnreachable, log, std::string("out of reach: ") + std::strerror(dialled.error));
    co_return End::unreachable;
  }
  transport::Connection connection(scheduler_, std::move(dialled.descriptor), kUsualInput, kMostInput,
                                   unsent_);
  connection.send({Slice(protocol::since(last_))});
  transport::Inbox& input = connection.input();
  // The last line that told something: neither bytes that drip in nor empty lines are news.
  transport::Moment told = scheduler_.now();
  while (scheduler_.now() < told + dials_.patience()) {
    const bool more = co_await connection.receive(told + dials_.patience());
    if (!more) break;
    for (std::size_t end = input.view().find('\n'); end != std::string_view::npos;
         end = input.view().find('\n')) {
      if (line(input.view().substr(0, end), way)) told = scheduler_.now();
      input.consume(end + 1);
    }
    if (input.view().size() > 0) input.expect(input.view().size() * 2);
  }
  if (input.full()) throw protocol::Unreadable("a line without an end");
  const bool silent = connection.end() == transport::Connection::End::none;
  const std::string next = way == way_ ? "connecting anew" : "another is followed by now";
  silent ? said(ErrorKind::listSilent, log, "silent: " + next)
         : said(ErrorKind::listCut, log, "cut: " + next);
  co_return silent && !said_ ? End::silent : End::refused;
}

// What a session from before the last move tells is taken in as far as it follows; it says nothing of how the
// current one does. That one ends it once it has told as much.
bool Follower::line(std::string_view text, std::uint64_t way) {
  if (text.ends_with('\r')) text.remove_suffix(1);
  if (text.empty()) return false;
  const protocol::Line read = protocol::readLine(text);
  const bool current = way == way_;
  const bool isNew = read.number > last_;
  const bool follows =
      read.change && (read.number == last_ + 1 || (last_ == 0 && current) || read.change->whole);
  if (isNew && !follows && (nonsense_ < 3 || !current))
    throw protocol::Unreadable("nothing of " + std::to_string(last_ + 1) + " before " +
                               std::to_string(read.number));
  if (current) {
    dials_.told();
    said_ = true;
  }
  // Told again after a break, or doubled: known. A gap would leave out an executor that has gone for good;
  // one that is there even when all is read afresh is of the numbers, not of the events.
  if (current && read.number < last_ && !read.change && !std::exchange(behind_, true))
    say_("changelog",
         "an old list: it ends at " + std::to_string(read.number) + ", " + std::to_string(last_) +
             " is known; what is known stays",
         {}, Level::warning);
  if (isNew) {
    if (read.change) desk_.listed(*read.change);
    last_ = read.number;  // not before: what could not be taken in is asked for again
  } else if (current && read.number == last_ && !read.change) {
    nonsense_ = 0;
  }
  if (current && read.number == last_) before_.reset();
  return true;
}

}  // namespace paddletrack::routing
