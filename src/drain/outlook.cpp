#include "drain/outlook.hpp"

#include <algorithm>
#include <cmath>

namespace paddletrack::drain {
namespace {
constexpr double kFirstMs = 1, kCellsADoubling = 4;
}

std::size_t Outlook::cellOf(Span took) {
  const double ms = static_cast<double>(took.count()) / 1000;
  if (ms <= kFirstMs) return 0;
  const double at = std::ceil(std::log2(ms / kFirstMs) * kCellsADoubling);
  return std::min(static_cast<std::size_t>(at), kCells - 1);
}

Span Outlook::topOf(std::size_t cell) {
  return Span{std::llround(kFirstMs * 1000 * std::exp2(static_cast<double>(cell) / kCellsADoubling))};
}

void Outlook::done(std::size_t type, Span took) {
  Lengths& lengths = types_[type];
  ++lengths.cells[cellOf(took)];
  if (++lengths.count < kMost) return;
  lengths.count = 0;
  for (std::uint32_t& each : lengths.cells) lengths.count += each /= 2;
}

// Among the earlier jobs of its type that took longer than it has taken, most had ended by then. One that has
// outlasted all of them is given until its time-out: nothing better is known.
Outlook::End Outlook::endOf(const Open& job) const {
  const Lengths& lengths = types_[job.type];
  std::uint64_t longer = 0;
  const std::size_t from = cellOf(job.age) + 1;
  for (std::size_t cell = from; cell < kCells; ++cell) longer += lengths.cells[cell];
  const auto wanted = static_cast<std::uint64_t>(std::ceil(static_cast<double>(longer) * kSure));
  std::uint64_t seen = 0;
  for (std::size_t cell = from; longer > 0 && cell < kCells; ++cell) {
    seen += lengths.cells[cell];
    if (seen < wanted) continue;
    const Span in = topOf(cell) - job.age;
    if (in < job.left) return {std::max(in, Span{0}), longer};
    break;
  }
  return {std::max(job.left, Span{0}), 0};
}

std::optional<Outlook::End> Outlook::end(const std::vector<Open>& open) const {
  std::optional<End> last;
  for (const Open& each : open) {
    const End one = endOf(each);
    if (!last || one.in > last->in) last = one;
  }
  return last;
}

}  // namespace paddletrack::drain
