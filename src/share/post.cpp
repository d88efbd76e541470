#include "share/post.hpp"

#include <cerrno>
#include <cstring>

namespace paddletrack::share {
namespace {

constexpr int kInARow = 16;  // datagrams, before all others have their turn

}  // namespace

Post::Post(transport::Scheduler& scheduler, const PostTerms& terms, const Say& say)
    : scheduler_(scheduler),
      cluster_(terms.cluster),
      say_(say),
      start_(scheduler.now()),
      store_(terms.store),
      gossip_(store_, terms.gossip),
      socket_(scheduler, terms.listen, kMostDatagram),
      turn_(scheduler, [this] { turn(); }),
      running_(scheduler, [this](const char* what) { say_("share", what, {}, Level::error); }) {
  running_.spawn(listen());
  turn_.at(start_ + gossip_.next());
}

Span Post::now() const { return std::chrono::duration_cast<Span>(scheduler_.now() - start_); }

transport::Task<> Post::listen() {
  for (int row = 0;; ++row) {
    const auto got = socket_.read();
    if (got) {
      try {
        take(*got);
      } catch (const std::exception& error) {  // of one datagram; the next is heard all the same
        dropped(Drop::broken, got->from, error.what());
      }
      if (row % kInARow == kInARow - 1) co_await scheduler_.turn();
    } else {
      co_await socket_.readable();
    }
  }
}

void Post::take(const transport::Datagrams::Got& got) {
  ++traffic_.datagramsIn;
  traffic_.bytesIn += got.bytes.size();
  if (got.cut) return dropped(Drop::oversized, got.from, "longer than a datagram may be");
  const Read read = decode(got.bytes, cluster_, store_.owner());
  if (const auto* why = std::get_if<Drop>(&read.what)) return dropped(*why, got.from, read.detail);
  const std::uint64_t generation = store_.generation();
  send(gossip_.heard(now(), got.from, read.sender, std::get<Message>(read.what)));
  if (store_.generation() != generation)
    say_("share",
         "another process wrote as " + store_.owner() + " with a later generation; this one goes on with " +
             std::to_string(store_.generation()) +
             ". Once, it was this one before a clock went back; again and again, two have one name",
         {{"generation", std::to_string(store_.generation())}}, Level::warning);
  turn_.at(start_ + gossip_.next());
}

void Post::turn() {
  try {
    for (const auto& each : writers_) each(now());
    send(gossip_.turn(now()));
  } catch (const std::exception& error) {
    say_("share", error.what(), {}, Level::error);
  }
  turn_.at(start_ + gossip_.next());
}

void Post::send(const Gossip::Letters& letters) {
  for (const Gossip::Letter& each : letters) {
    const std::string datagram = encode(each.message, cluster_, store_.owner());
    if (!socket_.send(each.to, datagram)) {
      dropped(Drop::unsent, each.to, std::strerror(errno));
      continue;
    }
    ++traffic_.datagramsOut;
    traffic_.bytesOut += datagram.size();
  }
}

void Post::dropped(Drop why, std::uint64_t from, const std::string& detail) {
  gossip_.drop(why);
  const std::string place = transport::nameOf(from);
  say_("share", std::string("dropped, ") + nameOf(why) + ", " + place + ": " + detail,
       {{"reason", nameOf(why)}, {"address", place}}, Level::debug);
}

}  // namespace paddletrack::share
