// A scripted executor: it answers as a job's own statement or its test says, and keeps books of all it was
// sent.
#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standin/events.hpp"
#include "transport/connection.hpp"

namespace paddletrack::standin {

using std::chrono::milliseconds;

enum class ExecutorFault {
  none,
  deaf,        // accepts, reads nothing
  reset,       // ends each connection as soon as it has accepted it
  resetOnAsk,  // ends the connection when an ask has come whole, before it runs
  halfAnswer,  // runs, writes the half of its answer, and nothing more
  twice,       // says each answer again some milliseconds later, with another page count
};

// What becomes of one statement: "select 1 /* ms=200 pages=3 answer=503 */". Words: `ms` until the answer,
// `pages` in all, `answer` (200, 500, 503, 504), `half` (the first page comes, no other).
struct Script {
  milliseconds after{0};
  unsigned pages = 1;
  std::string answer = "200";
  bool half = false;
  ExecutorFault fault = ExecutorFault::none;  // of this ask alone, else that of its place: the last three
};
Script scriptOf(std::string_view statement);

class Executor {
 public:
  Executor(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& address);

  // Further addresses of the same engine; places are numbered from 0, the first is the constructor's.
  std::size_t also(const transport::Address& address);
  using Fault = ExecutorFault;
  void fail(std::size_t place, Fault fault);
  void close(std::size_t place);  // listens there no longer, and ends what is connected there

  // Said by a test over what statements say.
  std::function<void(Script&, const std::string& id)> over;
  std::vector<transport::Moment> accepted, asks;  // each connection, each ask, as they came
  // A test's own way with every command, in place of all else; what came is then kept.
  using Raw =
      std::function<void(Executor&, transport::Connection&, const std::string& word, const std::string& id)>;
  Raw raw;
  std::string heard;
  int noops = 0;
  std::vector<const transport::Connection*> connections;  // to be told apart by; not all of them still are
  static void say(transport::Connection& to, std::initializer_list<std::string_view> words);

  // Groups of tables that it keeps warm, the latest read; another is read anew, which takes longer.
  struct Warmth {
    std::size_t groups = 0;   // 0: all are warm
    std::uint64_t bytes = 0;  // of each
    milliseconds cold{0};     // that a cold read takes longer
  };
  void keepWarm(const Warmth& warmth) { warmth_ = warmth, warm_.clear(); }
  std::uint64_t bytesRead() const { return bytesRead_; }

  std::size_t open() const { return open_.size(); }  // asks that are neither answered, quit, nor cut off
  std::uint64_t asked() const { return asked_; }
  std::uint64_t ran() const { return ran_; }
  unsigned ran(const std::string& id) const {
    const auto at = times_.find(id);
    return at == times_.end() ? 0 : at->second;
  }
  std::uint64_t ranTwice() const { return ranTwice_; }  // ids whose work came to its end more than once
  std::uint64_t askedAt(std::size_t place) const { return places_[place]->asked; }
  void cut();  // every connection, as a process that dies; it listens on
  enum class Which { all, idle, one };
  // As cut, of those on which nothing is open, or of the one that has the attempt; `resets` closes them with
  // a reset also where nothing is unread.
  void cut(Which which, bool resets, std::uint64_t attempt = 0);
  void record(Events& events, std::size_t number) {
    events_ = &events, number_ = number;
  }  // under this number

 private:
  class Session;
  struct Place {
    Place(transport::Scheduler& scheduler, const transport::Address& address)
        : listener(std::in_place, scheduler, address),
          accepting(std::in_place, scheduler, [](const char*) {}) {}
    std::optional<transport::Listener> listener;
    Fault fault = Fault::none;
    std::uint64_t asked = 0;
    std::optional<transport::Group> accepting;  // goes before its listener
  };
  bool warms(std::uint32_t group);  // whether it was warm
  transport::Task<> listen(Place& place);
  transport::Task<> serve(Place& place, std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  Events* events_ = nullptr;
  std::size_t number_ = 0;
  std::vector<std::unique_ptr<Place>> places_;
  std::set<Session*> sessions_;
  std::set<std::pair<const Session*, std::string>> open_;
  std::map<std::string, unsigned> times_;  // that it ran, by id
  Warmth warmth_;
  std::list<std::uint32_t> warm_;  // the latest first
  std::uint64_t bytesRead_ = 0;
  std::uint64_t asked_ = 0, ran_ = 0, ranTwice_ = 0;
  transport::Group running_;
};

}  // namespace paddletrack::standin
