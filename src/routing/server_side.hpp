#pragma once

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/engine.hpp"
#include "protocol/resp.hpp"
#include "reach/reach.hpp"
#include "routing/exchange.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// An engine as it is reached over sockets.
struct Executor : Engine {
  std::string id;
  reach::Routes routes;
  std::unordered_map<std::string, transport::Address> addresses;  // of the routes, by name
  std::size_t dialling = 0;
  std::vector<Link*> links;
  std::uint64_t incarnation = 0;  // another with each start and each time it was told to take nothing new
  std::size_t known = 0;          // dispatches to it, of exchanges that are alive
  std::uint64_t sent = 0;         // dispatches to it, ever
};

// One connection to one executor, from before its dial until it has been given back.
class Link {
 public:
  explicit Link(Executor& to, std::uint64_t number) : executor(to), serial(number) {}
  Executor& executor;
  const std::uint64_t serial;
  std::unique_ptr<transport::Connection> connection;  // none: still dialling
  std::string route;                                  // the address that it is to, once it is up
  Span roundTrip{0};                                  // of its dial
  bool spoke = false;                                 // an answer to a dispatch has come over it
  std::uint64_t writtenThen = 0;                      // when it was last looked at and had taken too little
  std::vector<Sending*> held;                         // wait for the dial
  std::unordered_map<std::string, Sending*> open;
  transport::Moment used{};                 // when it last took a dispatch
  std::optional<transport::Moment> asked;   // a NOOP is out since then
  bool silent = false;                      // and was not answered in time: takes nothing new
  bool proven = false;                      // it is up, and if others were silent, something came over it
  bool retired = false;                     // takes nothing new, ends when nothing is open
  bool spoilt = false;                      // of no more use, its executor may be well
  std::optional<transport::Moment> midway;  // the first byte of a message that is not whole came then
  std::list<Link>::iterator place;

  std::size_t load() const { return held.size() + open.size(); }
};

// Dispatches to executors over connections that many share. What ends by itself is told to Ends, always from
// the loop and never from within a call made here.
class ServerSide {
 public:
  class Ends {
   public:
    virtual ~Ends() = default;
    virtual void ended(Sending& sending, Outcome outcome) = 0;
  };
  struct Bounds {
    std::size_t sharedBy = 1;  // dispatches on one connection
    std::size_t links = 1;     // connections in all
    Span dialTimeout{0}, idleClose{0};
    std::vector<reach::Family> prefer = reach::Terms{}.prefer;
  };

  ServerSide(transport::Scheduler& scheduler, transport::Unsent& unsent, const Bounds& bounds, Ends& ends,
             const Say& say);

  void send(Sending& sending);
  void giveUp(Sending& sending);      // that may have left; nothing more of it will be told
  bool takeBack(Sending& sending);    // true: nothing whole of it has left, nor will
  void prioritise(Sending& sending);  // as its exchange now says
  std::string counts() const;
  void retire(Executor& executor);  // its connections take nothing new
  // Its addresses as they are now. What is open on one that has gone may still end.
  void readdress(Executor& executor, const std::vector<std::string>& names, bool another);
  Span clock() const;  // of what is known of addresses
  void prefer(std::vector<reach::Family> families) { terms_.prefer = std::move(families); }

 private:
  Link* pick(Sending& sending);
  void write(Link& link, Sending& sending);
  transport::Task<> run(Link& link);
  transport::Task<> work(Link& link);
  struct Attempt;
  transport::Task<bool> reachOut(Link& link);
  transport::Task<> attempt(Link& link, Attempt& made, reach::Race& race, transport::Signal& ended);
  void learn(Executor& executor, const std::string& route, reach::Lesson lesson,
             std::optional<Span> roundTrip = {});
  void heard(Link& link);
  bool quiet(Link& link);
  bool usable(const Link& link, const Sending& sending) const;
  bool mayLeave(const Sending& sending) const;
  void prove(Link& link);
  void read(Link& link);
  void answered(Link& link, const protocol::resp::Answer& answer);
  void over(Link& link, Sending& sending, Outcome outcome);
  void lose(Link& link);
  [[noreturn]] void stoodStill(Link& link);
  void spoil(Link& link);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const Bounds bounds_;
  Ends& ends_;
  const Say& say_;
  std::uint64_t serials_ = 0, spoilt_ = 0, moved_ = 0;
  reach::Terms terms_;
  reach::Dials dials_;
  std::size_t beside_ = 0;  // dials out beside the first of their races
  std::minstd_rand dice_;
  std::list<Link> links_;
  std::vector<Sending*> unplaced_;  // no descriptor was left for them
  transport::Call tellUnplaced_;
  transport::Group running_;
};

}  // namespace paddletrack::routing
