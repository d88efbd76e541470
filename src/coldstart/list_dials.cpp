#include "coldstart/list_dials.hpp"

#include <algorithm>

namespace paddletrack::coldstart {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBeat{1000};        // a line comes at least so often
constexpr Span kSilent = kBeat * 3 / 2;    // without one the session is taken for dead
constexpr unsigned kMostPatience = 2;      // doublings of that, for the first line of a session
constexpr Span kLeastWait = kBeat / 10;    // after a session has ended
constexpr Span kMostWait = kBeat * 4 / 5;  // where waits are not spread by the number of controllers
constexpr int kGrowth = 3;                 // a wait is drawn up to so many times the one before
constexpr int kHurry = 4;                  // a doubted list: at most so small a part of the wait is left

// Seeds of neighbours are often neighbours, whose first draws would be too (splitmix64's last steps).
std::minstd_rand::result_type scattered(std::uint64_t seed) {
  seed += 0x9e3779b97f4a7c15;
  seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9;
  seed = (seed ^ (seed >> 27)) * 0x94d049bb133111eb;
  return static_cast<std::minstd_rand::result_type>((seed ^ (seed >> 31)) % 2147483646 + 1);
}

}  // namespace

ListDials::ListDials(const Terms& terms, bool knows, std::uint64_t seed, Span now)
    : terms_(terms), dice_(scattered(seed)), spared_(knows) {
  due_ = moves(now, knows);
}

Span ListDials::window(bool knows) const {
  const double rate = knows ? terms_.follows : terms_.reads;
  if (rate <= 0) return Span{0};
  const std::chrono::duration<double> whole(terms_.controllers / rate);
  return whole < terms_.longest ? std::chrono::duration_cast<Span>(whole) : terms_.longest;
}

Span ListDials::drawn(Span least, Span most) {
  return Span{std::uniform_int_distribution<Span::rep>(least.count(), std::max(least, most).count())(dice_)};
}

// Patience is for a service that is slow with many who know nothing. What an engine does unseen counts as
// told after 7 s: from the last line on, one silent session, two dials that tell nothing and the waits
// between them have to be shorter than that.
Span ListDials::patience() const {
  const unsigned doublings = mute_ > 0 && spared_ ? mute_ - 1 : mute_;
  return kSilent * (1 << std::min(doublings, kMostPatience));
}

Span ListDials::moves(Span now, bool knows) { return now + drawn(Span{0}, window(knows)); }

void ListDials::moved(Span now) {
  failures_ = mute_ = 0;
  hurried_ = false;
  due_ = now;
}

// Waits in a row are drawn between a least and three times the last (decorrelated jitter), so that those
// which failed together scatter. With half a window at least, and two at most, all controllers together stay
// near their rate. After a session that told something they were cut together: the whole window is theirs.
void ListDials::ended(Span now, End how, bool knows) {
  const Span window = this->window(knows);
  const Span least = std::max(kLeastWait, window / 2);
  const Span most = std::max({kMostWait, least, std::min(window * 2, terms_.longest)});
  if (how == End::told || failures_ == 0) again_ = least;
  Span wait = std::min(drawn(least, again_ * kGrowth), most);
  if (how == End::told && window > kLeastWait) wait = drawn(Span{0}, window);
  failures_ = how == End::told ? 0 : failures_ + 1;
  mute_ = how == End::silent ? mute_ + 1 : how == End::told ? 0 : mute_;
  again_ = std::max(wait, least);
  due_ = now + wait;
  hurried_ = false;
}

void ListDials::doubt(Span now) {
  if (window(true) == Span{0} || due_ <= now || std::exchange(hurried_, true)) return;
  due_ = now + drawn(Span{0}, (due_ - now) / kHurry);
}

}  // namespace paddletrack::coldstart
