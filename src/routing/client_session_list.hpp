/// @file
/// The sessions of a client listener.
#pragma once

#include <cstddef>
#include <list>

#include "transport/scheduler.hpp"

namespace paddletrack::routing {

class ClientSession;

/// Lists the sessions that exist, active and lingering ones apart. Both kinds count as connections. The
/// sessions add, move and remove themselves; the list owns none of them.
class ClientSessionList {
 public:
  using Sessions = std::list<ClientSession*>;
  using Position = Sessions::iterator;

  explicit ClientSessionList(transport::Scheduler& scheduler) : slotFreed_(scheduler) {}

  /// Adds a session as the newest active one. The result stays valid until it is passed to a `remove`.
  Position add(ClientSession& session) { return active_.insert(active_.end(), &session); }

  void moveToLingering(Position position) {
    lingering_.splice(lingering_.end(), active_, position);
    slotFreed_.set();
  }
  void removeActive(Position position) {
    active_.erase(position);
    slotFreed_.set();
  }
  void removeLingering(Position position) {
    lingering_.erase(position);
    slotFreed_.set();
  }

  const Sessions& active() const { return active_; }        ///< In the order in which they were accepted.
  const Sessions& lingering() const { return lingering_; }  ///< In the order in which they were half-closed.
  std::size_t size() const { return active_.size() + lingering_.size(); }

  /// Wakes the waiter of `waitForSlot`, which has to look again for a session that can be closed.
  void notifySlotMayBeFree() { slotFreed_.set(); }
  transport::Signal::SignalAwaiter waitForSlot(transport::TimePoint deadline) {
    return slotFreed_.wait(deadline);
  }

 private:
  Sessions active_;
  Sessions lingering_;
  transport::Signal slotFreed_;
};

}  // namespace paddletrack::routing
