// A change log: it tells a list of executors and what changes in it, and beats each second. It may also be
// told to do badly, and counts what it is asked.
#pragma once

#include <list>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.hpp"

namespace paddletrack::standin {

class ChangeLog {
 public:
  ChangeLog(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& address);

  struct Server {
    std::string id, address, state = "active", zone = "hall", kind = "std-8";
    std::int64_t startedMs = 0;
    std::vector<std::string> more{};  // addresses
  };
  static std::string event(std::uint64_t number, bool full, const std::vector<Server>& servers);
  void tell(const std::vector<Server>& servers, bool full = false);
  // Says nothing more, also to those that come anew, until it is told to; who came meanwhile is then cut off.
  void hush(bool silent) { silent_ = silent; }
  void say(const std::string& bytes);  // as they are, to all that are being told
  std::uint64_t last() const { return events_.size(); }
  std::size_t sessions() const { return told_.size(); }  // that are being told
  std::string known() const;  // all events so far, as a controller's configuration holds them

  struct Manner {
    std::chrono::milliseconds each{0};      // one answer takes so long, and only one is made at a time
    unsigned refusesOf10 = 0;               // of ten connections: ended as soon as they are accepted
    std::size_t cutAfter = 0;               // bytes of an answer, then the connection ends; 0: none is cut
    std::optional<std::uint64_t> endsAt{};  // an old copy: it knows of nothing after this number
    bool mute = false;                      // after its answer it says nothing more
    unsigned unheard = 0;                   // so many of the next sessions are told not one byte
    std::string instead{};                  // all that the next sessions are told; what is told is not heard
    std::chrono::milliseconds drip{0};      // its bytes come one by one, so far apart; 0: all at once
  };
  Manner manner;
  void close();  // down: listens no longer, all its connections end
  void open();   // up again
  bool isOpen() const { return listener_.has_value(); }

  // When each connection came, each "since", and each of these that asked for all of the list.
  std::vector<transport::Moment> accepted, asked, askedAll;

 private:
  transport::Task<> listen();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> descriptor);
  transport::Task<> holdOff(transport::Connection& connection, const std::string& instead);
  std::uint64_t end() const { return std::min<std::uint64_t>(manner.endsAt.value_or(last()), last()); }

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const transport::Address address_;
  std::optional<transport::Listener> listener_;
  std::vector<std::string> events_;  // from number 1 on
  std::list<transport::Connection*> told_;
  bool silent_ = false;
  transport::Moment free_{};  // the next answer is begun then
  std::uint64_t count_ = 0;   // of connections
  std::optional<transport::Group> accepting_, running_;
};

}  // namespace paddletrack::standin
