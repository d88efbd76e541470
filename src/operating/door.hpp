// The operators' door: a Unix socket of which only the owner's processes (and root's) are let in. Each client
// is bounded in time and memory; whatever it does, no job feels it.
#pragma once

#include <sys/types.h>

#include <list>
#include <memory>
#include <string>

#include "operating/keeper.hpp"
#include "operating/settings.hpp"
#include "transport/connection.hpp"

namespace paddletrack::operating {

// The socket's file: made under mode 0600, taken over from a dead process but from no live one, and removed
// at the end if it is still this one. Throws an Error (doorFailed) with the path and the cause.
class SocketFile {
 public:
  explicit SocketFile(const std::string& path);
  SocketFile(const SocketFile&) = delete;
  SocketFile& operator=(const SocketFile&) = delete;
  ~SocketFile();
  int release();  // the listening descriptor, to its next owner

 private:
  std::string path_;
  int fd_ = -1;
  dev_t device_ = 0;
  ino_t inode_ = 0;
};

class Door {
 public:
  Door(transport::Scheduler& scheduler, const DoorTerms& terms, Keeper& keeper, const Say& say);
  ~Door();

 private:
  class Session;
  transport::Task<> listen();
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted);
  bool letIn(int fd, std::string& who) const;

  transport::Scheduler& scheduler_;
  const DoorTerms terms_;
  Keeper& keeper_;
  const Say& say_;
  transport::Unsent unsent_;
  SocketFile file_;
  transport::Listener listener_;
  std::list<Session*> sessions_;
  transport::Group running_;
};

}  // namespace paddletrack::operating
