// Numbered points at which a test build can fail: system calls, timers and growing tables at the seams. Each
// has a site ("client.read": the role of its descriptor, and the call) and, within it, the number of the hit.
// Without PADDLETRACK_FAIL_POINTS every macro here is the bare call, value or nothing: the program that
// serves holds none of it. With it one point is chosen by the environment:
//   PADDLETRACK_FAULT=SITE#N=KIND    the Nth hit of SITE (from 1) fails in that way
//   PADDLETRACK_FAULT_REPORT=FILE    takes a line when it does, and all sites with their hits at the end
// Kinds: an errno by name; `again` (would block), `short` (half the bytes), `delay` (the call comes 300 ms
// late), `late` (a timer does), `kill` (SIGKILL before the call).
#pragma once

#ifdef PADDLETRACK_FAIL_POINTS

#include <sys/socket.h>

#include <chrono>
#include <cstddef>

namespace paddletrack::failpoint {

constexpr int kNoDescriptor = -1,
              kPendingConnect = -2;  // in place of a descriptor: none; the dial that is about to begin
constexpr std::chrono::milliseconds kDelay{300};

// True where the call is to fail at once, with errno set. `kinds`: what it can fail with, apart by blanks;
// each call may also be delayed, and the process killed before it.
bool shouldFail(int fd, const char* name, const char* failureKinds);
void injectErrorValue(int fd, const char* name, const char* failureKinds,
                      int& result);                // an errno that a call tells by a value
std::size_t limitSize(std::size_t requestedSize);  // of the call that has just been counted
int truncateMessage(msghdr& message);              // the same; 0
void checkAllocation(const char* name);            // throws std::bad_alloc where chosen
bool shouldDelayTimer(const char* name);

void setNextConnectRole(const char* role);          // what the next dial is for
void setRole(int fd, const char* role);             // null: the one of the dial under way
void inheritRole(int listeningFd, int fd);          // accepted there
void registerWatch(int epoll, int fd, void* data);  // so that `again` can bring the event anew
void forgetDescriptor(int fd);

}  // namespace paddletrack::failpoint

#define PADDLETRACK_CALL(fd, name, kinds, call) \
  (::paddletrack::failpoint::shouldFail(fd, name, kinds) ? -1 : (call))
#define PADDLETRACK_HIT(fd, name) static_cast<void>(::paddletrack::failpoint::shouldFail(fd, name, ""))
#define PADDLETRACK_ERRNO(fd, name, kinds, to) ::paddletrack::failpoint::injectErrorValue(fd, name, kinds, to)
#define PADDLETRACK_IO_SIZE(wanted) ::paddletrack::failpoint::limitSize(wanted)
#define PADDLETRACK_TRUNCATED(message, call) (::paddletrack::failpoint::truncateMessage(message), (call))
#define PADDLETRACK_TABLE(name) ::paddletrack::failpoint::checkAllocation(name)
#define PADDLETRACK_TIMER(name, moment)                                                            \
  ((moment) + (::paddletrack::failpoint::shouldDelayTimer(name) ? ::paddletrack::failpoint::kDelay \
                                                                : std::chrono::milliseconds(0)))
#define PADDLETRACK_IF_FAIL_POINTS(what) ::paddletrack::failpoint::what

#else

#define PADDLETRACK_CALL(fd, name, kinds, call) (call)
#define PADDLETRACK_HIT(fd, name) static_cast<void>(0)
#define PADDLETRACK_ERRNO(fd, name, kinds, to) static_cast<void>(0)
#define PADDLETRACK_IO_SIZE(wanted) (wanted)
#define PADDLETRACK_TRUNCATED(message, call) (call)
#define PADDLETRACK_TABLE(name) static_cast<void>(0)
#define PADDLETRACK_TIMER(name, moment) (moment)
#define PADDLETRACK_IF_FAIL_POINTS(what) static_cast<void>(0)

#endif
