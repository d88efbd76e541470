// A change log: it tells a list of executors and what changes in it, and beats each second.
#pragma once

#include <list>
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
  std::uint64_t last() const { return events_.size(); }
  std::string known() const;  // all events so far, as a controller's configuration holds them

 private:
  transport::Task<> listen();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  transport::Listener listener_;
  std::vector<std::string> events_;  // from number 1 on
  std::list<transport::Connection*> told_;
  bool silent_ = false;
  transport::Group running_;
};

}  // namespace paddletrack::standin
