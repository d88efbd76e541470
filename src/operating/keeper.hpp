// Keeps one controller in or out of service: brings the drain's decisions to the client side and the desk,
// and what these hold to the drain.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "drain/drain.hpp"
#include "drain/outlook.hpp"
#include "hindsight/told.hpp"
#include "routing/client_side.hpp"
#include "routing/desk.hpp"
#include "routing/follower.hpp"

namespace paddletrack::operating {

// What is to be told of a controller at one instant; figures are those of its books, but for the expected
// end.
struct Status {
  std::string name;
  std::uint64_t process = 0;
  drain::State state = drain::State::serving;
  bool stopping = false;
  Span up{0};
  struct Open {
    std::size_t jobs = 0, dispatches = 0, unsent = 0, connections = 0;
    std::vector<std::pair<std::string, std::size_t>> byType;
    Span longestLeft{0};  // until the last open job's time is up
  } open;
  std::uint64_t taken = 0, left = 0, done = 0, throttled = 0, cancelled = 0, turnedAway = 0;
  struct Course {
    std::uint64_t number = 0;
    Span askedAgo{0}, deadlineIn{0}, comeBack{0};
    bool frontTold = false, missed = false, cancelled = false;
    std::optional<Span> drainedAfter;
    std::size_t openAtAsk = 0, endedByDeadline = 0;
    std::uint64_t left = 0, done = 0, throttled = 0, cancelledForGood = 0, turnedAway = 0;  // since the ask
  };
  std::optional<Course> drain;
  std::optional<drain::Outlook::End> expectedEnd;  // an estimate

  // What is shared among controllers, where that is switched on.
  struct Share {
    std::string cluster, owner;
    std::uint64_t generation = 0, laterLives = 0;  // met under its own name
    std::size_t owners = 0, entries = 0, bytes = 0, mostBytes = 0;
    std::size_t peers = 0, peersHeard = 0;  // heard within the last seconds
    struct Peer {
      std::string address, owner;
      std::optional<Span> heardAgo;
    };
    std::vector<Peer> each;  // kMostPeers at most
    static constexpr std::size_t kMostPeers = 64;
    std::uint64_t datagramsIn = 0, bytesIn = 0, datagramsOut = 0, bytesOut = 0;
    std::vector<std::pair<const char*, std::uint64_t>> dropped;  // by reason
    struct Load {
      std::uint64_t threads = 0, jobs = 0;
    };
    std::size_t controllers = 0, live = 0;  // that tell of their load, and those heard of lately
    Load all;
    std::vector<std::pair<std::string, Load>> engines;  // kMostEngines at most, by name
    static constexpr std::size_t kMostEngines = 1024;
  };
  std::optional<Share> share;
  std::optional<routing::Follower::View> list;

  // What looking back tells, where that is switched on: of this controller, and of all that share.
  struct Hindsight {
    Span window{0};
    std::size_t records = 0, held = 0, open = 0;
    std::uint64_t finished = 0, dropped = 0;
    hindsight::Told own;
    std::optional<hindsight::Told> fleet;
  };
  std::optional<Hindsight> hindsight;
};

class Keeper final : public routing::Gate {
 public:
  Keeper(transport::Scheduler& scheduler, routing::Desk& desk, routing::ClientSide& clients, std::string name,
         const drain::Terms& terms, const Say& say, std::function<void()> exit);
  ~Keeper();

  drain::Refusal ask(std::optional<Span> deadline, std::optional<Span> comeBack, const std::string& by);
  drain::Refusal cancel(const std::string& by);
  void stop();  // SIGTERM
  void change(const drain::Terms& terms) { drain_.change(terms); }
  void prefer(std::vector<reach::Family> families) { desk_.prefer(std::move(families)); }
  const drain::Terms& terms() const { return drain_.terms(); }

  Status status() const;
  drain::State state() const { return drain_.state(); }

  // Engines by id, from one on, so many at most.
  struct EngineView {
    std::string id, standing;
    std::size_t connections = 0, dispatches = 0, dialling = 0;
    struct AddressView {
      std::string name, family, state;
      std::size_t connections = 0;
      std::optional<Span> lastGoodAgo, lastBadAgo, roundTrip, byHandLeft;
      std::string lastBad;
      Span restsFor{0};
    };
    std::vector<AddressView> addresses;
  };
  std::vector<EngineView> engines(const std::string& from, std::size_t most) const;
  routing::Desk::Found setAddress(const std::string& engine, const std::string& address,
                                  reach::Routes::ByHand what, Span until, const std::string& by);
  void tellShare(std::function<Status::Share()> of) { share_ = std::move(of); }
  void tellHindsight(std::function<Status::Hindsight()> of) { hindsight_ = std::move(of); }
  void tellChanges(std::function<void()> to) { changed_ = std::move(to); }  // of the state
  void tellList(std::function<routing::Follower::View()> list) { list_ = std::move(list); }
  void learnLengths();  // of jobs, for the expected end

 private:
  bool beat() override;
  std::optional<Span> turnsAway() override;
  drain::Books books() const;
  void look();
  void enters(drain::State before);

  transport::Scheduler& scheduler_;
  routing::Desk& desk_;
  routing::ClientSide& clients_;
  const std::string name_;
  const Say& say_;
  const std::function<void()> exit_;
  std::function<void()> changed_;
  std::function<Status::Share()> share_;
  std::function<routing::Follower::View()> list_;
  std::function<Status::Hindsight()> hindsight_;
  drain::Drain drain_;
  drain::Outlook outlook_;
  std::uint64_t turnedAway_ = 0;
  transport::Call look_;
};

}  // namespace paddletrack::operating
