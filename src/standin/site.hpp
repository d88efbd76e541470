// A small site on loopback: executors, a change log, and controllers as processes of their own.
#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standin/change_log.hpp"
#include "standin/executor.hpp"
#include "standin/load.hpp"

namespace paddletrack::standin {

// A folder for one run's files, gone with it.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// `paddletrack serve` as the operators start it; killed at the end if it still runs, and sent SIGTERM by the
// kernel when the process that started it dies (PR_SET_PDEATHSIG), so that no controller outlives its rig.
class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();
  pid_t id() const { return child_; }
  void signal(int number) const;
  std::optional<int> ended();  // its exit code, or 128 and the signal; none while it runs

 private:
  pid_t child_ = -1;
  std::optional<int> code_;
};

// Types `look-up` (restartable), `report` (restartable), `order` (keyed) and `load` (run-once).
struct SiteTerms {
  std::string program;
  std::vector<std::string> before{};  // another program that starts it, with its arguments
  int net =
      0;  // of 127.0.NET.0/24 (above 255 on of 127.1 and so on), so that runs beside each other do not meet
  unsigned executors = 4, controllers = 1;
  unsigned memoryMb = 192, sockets = 1024, cores = 16;
  bool doors = true;
  std::string operatorsFile{};                                        // more blocks of it
  std::function<std::string(unsigned controller)> operatorsFileOf{};  // and of one controller's
  std::string notice = "300ms";
  bool knows = true;           // the configuration holds the list's events so far
  bool starts = true;          // all controllers at once, with the site
  std::int64_t coldMs = 0;     // how long an executor is cold, and
  double startCapacity = 1.0;  // what it can do at its start
  double fallMultiple = 0;     // of that, over three seconds: what falls it
  // What the list says of one executor beside its usual address, or in its place.
  std::function<void(ChangeLog::Server& said, unsigned executor, const std::string& folder)> listed{};
};

class Site {
 public:
  Site(transport::Scheduler& scheduler, transport::Unsent& unsent, const SiteTerms& terms);

  void start(std::size_t controller) { start(controller, terms_.before); }  // or again
  void start(std::size_t controller, const std::vector<std::string>& before);
  // Its file names another list service; SIGHUP makes it read that.
  void moveList(std::size_t controller, const std::string& address) const;
  Process& controller(std::size_t which) { return *processes_[which]; }
  std::string address(unsigned host, unsigned port = 18443) const;
  std::string door(std::size_t which) const { return folder_.path() + "/door" + std::to_string(which); }
  std::string log(std::size_t which) const { return folder_.path() + "/log" + std::to_string(which); }
  std::string operatorsFile(std::size_t which) const {
    return folder_.path() + "/op" + std::to_string(which) + ".hcl";
  }
  std::string config(std::size_t which) const {
    return folder_.path() + "/config" + std::to_string(which) + ".json";
  }
  const std::vector<ChangeLog::Server>& listed() const { return listed_; }
  transport::Address at(unsigned host) const { return transport::Address(address(host)); }
  std::vector<transport::Address> fronts() const;
  Executor& executor(std::size_t which) { return *executors_[which]; }
  ChangeLog& changeLog() { return changeLog_; }
  std::uint64_t ranTwice() const;
  std::size_t openAtExecutors() const;
  const std::string& folder() const { return folder_.path(); }
  static Load::Kind lookUps(double weight = 1) {
    return {"look-up", "acme", weight, milliseconds(3), milliseconds(20)};
  }

 private:
  std::string front(std::size_t controller) const;
  std::string configuration(std::size_t controller) const;

  const SiteTerms terms_;
  Folder folder_;
  ChangeLog changeLog_;
  std::vector<ChangeLog::Server> listed_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::unique_ptr<Process>> processes_;
};

// A line to a controller's door, from within the loop.
class DoorLine {
 public:
  DoorLine(transport::Scheduler& scheduler, transport::Unsent& unsent, const std::string& path);
  void say(const std::string& line);
  std::vector<std::string> heard;                // whole lines
  std::function<void(const std::string&)> each;  // called for each as it comes, if set
  bool closed = false;

 private:
  transport::Task<> run(std::string path);
  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  std::optional<transport::Connection> connection_;
  std::string held_;
  transport::Group running_;
};

}  // namespace paddletrack::standin
