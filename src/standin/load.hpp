// Clients with a front layer before them: jobs at a rate over the controllers in service, and books of each
// job.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "protocol/thrift.hpp"
#include "standin/events.hpp"
#include "transport/connection.hpp"

namespace paddletrack::standin {

using std::chrono::milliseconds;
using Heard = protocol::thrift::Reply;

class Load {
 public:
  // A kind of job: its type and customer as in the settings; it takes from `least` to `most` on its executor.
  struct Kind {
    std::string type, customer;
    double weight = 1;
    milliseconds least{5}, most{30};
    milliseconds allow{3000};
    std::string script{};  // more words for the executor
    unsigned group = 3;    // of tables, that it reads
  };
  struct Job {
    std::string reference;
    std::size_t kind = 0, controller = 0;
    transport::Moment sent{}, ended{};
    unsigned answers = 0;  // that came; more than one is wrong
    bool lost = false;     // its connection ended, or its time, without one
    bool again = false;    // it crossed a close and was sent a second time, as clients may
    bool gone = false;     // its client left
    Heard::What what = Heard::What::exception;
    std::optional<std::int64_t> comeBackMs;
  };
  struct Books {
    std::uint64_t sent = 0, open = 0, lost = 0, doubled = 0, unasked = 0;  // unasked: answers to nothing
    std::array<std::uint64_t, 4> answers{};                                // as Heard::What, of jobs
  };

  Load(transport::Scheduler& scheduler, transport::Unsent& unsent,
       std::vector<transport::Address> controllers, std::uint64_t seed);
  ~Load();

  void begin(double perSecond, std::vector<Kind> kinds);       // replaces what was begun before
  void end() { perSecond_ = 0; }                               // no new jobs; open ones go on
  std::size_t send(std::size_t kind, std::size_t controller);  // one job at once; its number
  void beats(milliseconds every) { beat_ = every; }
  // Each controller has clients of its own: their jobs go nowhere while it is not in service, else to those
  // that are.
  void ownClients(bool own) { own_ = own; }
  // All that becomes of jobs. A job whose connection ends is then left to its test, also to send it again.
  void record(Events& events) { events_ = &events, once_ = true; }
  std::size_t sendAgain(std::size_t job, std::size_t controller);  // with a reference of its own
  enum class Leave { revokes, closes, halfCloses, resets };
  // Its client gives it up; but for a revoke, all that is open on its connection. False: it is not open, or
  // its connection is not up.
  bool leave(std::size_t job, Leave how);
  void rest();  // closes all connections on which nothing is open, those of the heartbeats too, until `wake`
  void wake() { rests_ = false; }
  void patience(milliseconds late) { late_ = late; }  // past a job's time: then its client closes
  void sendsOnce() { once_ = true; }  // no job a second time, whatever became of its connection

  const Books& books() const { return books_; }
  const std::deque<Job>& jobs() const { return jobs_; }
  std::size_t openAt(std::size_t controller) const { return controllers_[controller].open; }
  bool inService(std::size_t controller) const { return controllers_[controller].good; }

 private:
  class Line;
  struct Controller {
    transport::Address address;
    bool good = false;
    std::size_t open = 0;
    std::vector<Line*> lines;
  };
  transport::Task<> drive();
  transport::Task<> ask(std::size_t controller);
  transport::Task<> hold(std::unique_ptr<Line> line);
  void place(std::size_t job);
  void ended(std::size_t job, const Heard& heard);
  void answered(std::size_t job, const Heard& heard);
  void lose(std::size_t job, const char* how);
  void left(std::size_t job, const char* how);
  void told(Event::Kind kind, std::size_t job, const char* what, std::string text = {});

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  std::vector<Controller> controllers_;
  std::vector<Kind> kinds_;
  double perSecond_ = 0;
  milliseconds beat_{100}, late_{400};
  std::minstd_rand dice_;
  std::uint64_t references_;
  std::size_t turn_ = 0;
  bool closing_ = false, own_ = false, once_ = false, rests_ = false;
  Events* events_ = nullptr;
  std::string former_{};  // reference of the job that is sent again just now
  std::deque<Job> jobs_;
  Books books_;
  transport::Group running_;
};

}  // namespace paddletrack::standin
