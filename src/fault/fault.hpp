// Numbered points at which a test build can fail: system calls, timers and growing tables at the seams. Each
// has a site ("client.read": the role of its descriptor, and the call) and, within it, the number of the hit.
// Without PADDLETRACK_FAULTS every macro here is the bare call, value or nothing: the program that serves
// holds none of it. With it one point is chosen by the environment:
//   PADDLETRACK_FAULT=SITE#N=KIND    the Nth hit of SITE (from 1) fails in that way
//   PADDLETRACK_FAULT_REPORT=FILE    takes a line when it does, and all sites with their hits at the end
// Kinds: an errno by name; `again` (would block), `short` (half the bytes), `delay` (the call comes 300 ms
// late), `late` (a timer does), `kill` (SIGKILL before the call).
#pragma once

#ifdef PADDLETRACK_FAULTS

#include <sys/socket.h>

#include <chrono>
#include <cstddef>

namespace paddletrack::fault {

constexpr int kNone = -1, kDial = -2;  // in place of a descriptor: none; the dial that is about to begin
constexpr std::chrono::milliseconds kDelay{300};

// True where the call is to fail at once, with errno set. `kinds`: what it can fail with, apart by blanks;
// each call may also be delayed, and the process killed before it.
bool fails(int fd, const char* name, const char* kinds);
void value(int fd, const char* name, const char* kinds, int& to);  // an errno that a call tells by a value
std::size_t size(std::size_t wanted);                              // of the call that has just been counted
int cut(msghdr& message);                                          // the same; 0
void table(const char* name);                                      // throws std::bad_alloc where chosen
bool late(const char* name);

void dials(const char* role);                 // what the next dial is for
void role(int fd, const char* role);          // null: the one of the dial under way
void heir(int listening, int fd);             // accepted there
void watched(int epoll, int fd, void* data);  // so that `again` can bring the event anew
void forget(int fd);

}  // namespace paddletrack::fault

#define PADDLETRACK_CALL(fd, name, kinds, call) (::paddletrack::fault::fails(fd, name, kinds) ? -1 : (call))
#define PADDLETRACK_PASS(fd, name) static_cast<void>(::paddletrack::fault::fails(fd, name, ""))
#define PADDLETRACK_VALUE(fd, name, kinds, to) ::paddletrack::fault::value(fd, name, kinds, to)
#define PADDLETRACK_SIZE(wanted) ::paddletrack::fault::size(wanted)
#define PADDLETRACK_CUT(message, call) (::paddletrack::fault::cut(message), (call))
#define PADDLETRACK_TABLE(name) ::paddletrack::fault::table(name)
#define PADDLETRACK_TIMER(name, moment) \
  ((moment) +                           \
   (::paddletrack::fault::late(name) ? ::paddletrack::fault::kDelay : std::chrono::milliseconds(0)))
#define PADDLETRACK_MARK(what) ::paddletrack::fault::what

#else

#define PADDLETRACK_CALL(fd, name, kinds, call) (call)
#define PADDLETRACK_PASS(fd, name) static_cast<void>(0)
#define PADDLETRACK_VALUE(fd, name, kinds, to) static_cast<void>(0)
#define PADDLETRACK_SIZE(wanted) (wanted)
#define PADDLETRACK_CUT(message, call) (call)
#define PADDLETRACK_TABLE(name) static_cast<void>(0)
#define PADDLETRACK_TIMER(name, moment) (moment)
#define PADDLETRACK_MARK(what) static_cast<void>(0)

#endif
