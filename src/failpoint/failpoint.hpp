// Fail points: places at which a test build can inject a failure, in system calls, timers and growing tables.
// A fail point has a site and a hit number. The site is the role of the descriptor and the call
// ("client.read"); hits are counted per site, from 1. Without PADDLETRACK_FAIL_POINTS each macro expands to
// the bare call or value, or to nothing, so production builds contain no fail points. With it, the
// environment selects one fail point:
//   PADDLETRACK_FAULT=SITE#N=KIND    the Nth hit of SITE fails with KIND
//   PADDLETRACK_FAULT_REPORT=FILE    appends to FILE: a line when the failure is injected and, when the
//                                    process ends, a line for each site with its number of hits
// Kinds: the name of an errno value; `again` (the call would block), `short` (the call transfers half the
// bytes), `delay` (the call is made 300 ms late), `late` (a timer fires 300 ms late), `kill` (SIGKILL before
// the call).
#pragma once

#ifdef PADDLETRACK_FAIL_POINTS

#include <sys/socket.h>

#include <chrono>
#include <cstddef>

namespace paddletrack::failpoint {

// Passed in place of a descriptor: there is none, or it belongs to the connect that is about to begin.
constexpr int kNoDescriptor = -1, kPendingConnect = -2;
constexpr std::chrono::milliseconds kDelay{300};

// Counts a hit and returns true if the call must fail at once; errno is then set. `failureKinds` lists the
// kinds of failure that the call supports, separated by spaces. Every call also supports `delay` and `kill`.
bool shouldFail(int fd, const char* name, const char* failureKinds);
// For a call that returns its errno as a value: stores the injected errno in `result`.
void injectErrorValue(int fd, const char* name, const char* failureKinds, int& result);
// Returns half of `requestedSize` if the last counted hit injects `short`.
std::size_t limitSize(std::size_t requestedSize);
// Truncates the message to half of its first buffer if the last counted hit injects `short`. Returns 0.
int truncateMessage(msghdr& message);
// Throws std::bad_alloc if this hit injects ENOMEM.
void checkAllocation(const char* name);
// Returns whether this timer must fire late.
bool shouldDelayTimer(const char* name);

// Sets the role of the descriptors of subsequent connects.
void setNextConnectRole(const char* role);
// Sets the role of a descriptor; nullptr stands for the role that setNextConnectRole() has set.
void setRole(int fd, const char* role);
// Derives the role of an accepted descriptor from its listening descriptor.
void inheritRole(int listeningFd, int fd);
// Records the epoll registration of a descriptor, so that `again` can trigger its event again.
void registerWatch(int epoll, int fd, void* data);
// Removes the role and the epoll registration of a descriptor, which is about to be closed.
void forgetDescriptor(int fd);

}  // namespace paddletrack::failpoint

#define PADDLETRACK_CALL(fd, name, kinds, call) \
  (::paddletrack::failpoint::shouldFail(fd, name, kinds) ? -1 : (call))
#define PADDLETRACK_HIT(fd, name) static_cast<void>(::paddletrack::failpoint::shouldFail(fd, name, ""))
#define PADDLETRACK_ERRNO(fd, name, kinds, to) ::paddletrack::failpoint::injectErrorValue(fd, name, kinds, to)
#define PADDLETRACK_IO_SIZE(size) ::paddletrack::failpoint::limitSize(size)
#define PADDLETRACK_TRUNCATED(message, call) (::paddletrack::failpoint::truncateMessage(message), (call))
#define PADDLETRACK_TABLE(name) ::paddletrack::failpoint::checkAllocation(name)
#define PADDLETRACK_TIMER(name, moment)                                                            \
  ((moment) + (::paddletrack::failpoint::shouldDelayTimer(name) ? ::paddletrack::failpoint::kDelay \
                                                                : std::chrono::milliseconds(0)))
#define PADDLETRACK_IF_FAIL_POINTS(call) ::paddletrack::failpoint::call

#else

#define PADDLETRACK_CALL(fd, name, kinds, call) (call)
#define PADDLETRACK_HIT(fd, name) static_cast<void>(0)
#define PADDLETRACK_ERRNO(fd, name, kinds, to) static_cast<void>(0)
#define PADDLETRACK_IO_SIZE(size) (size)
#define PADDLETRACK_TRUNCATED(message, call) (call)
#define PADDLETRACK_TABLE(name) static_cast<void>(0)
#define PADDLETRACK_TIMER(name, moment) (moment)
#define PADDLETRACK_IF_FAIL_POINTS(call) static_cast<void>(0)

#endif
