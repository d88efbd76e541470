/// @file
/// The sessions of a client listener.
#pragma once

#include <cstddef>
#include <list>

#include "transport/scheduler.hpp"

namespace paddletrack::routing {

class ClientSession;

/// Lists the open sessions, with separate lists for active and lingering ones. Both count as connections. The
/// sessions add, move and remove themselves; the list does not own them.
class ClientSessionList {
 public:
  using Sessions = std::list<ClientSession*>;
  using Position = Sessions::iterator;

  explicit ClientSessionList(transport::Scheduler& scheduler) : slotFreed_(scheduler) {}

  /// Adds a session as the newest active one. The returned position stays valid until it is passed to
  /// `removeActive` or `removeLingering`.
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

  const Sessions& active() const { return active_; }        ///< In order of acceptance.
  const Sessions& lingering() const { return lingering_; }  ///< In order of half-close.
  std::size_t size() const { return active_.size() + lingering_.size(); }

  /// Wakes the waiter of `waitForSlot`, which must search again for a session that can be closed.
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
