// What goes wrong and operators may come to see: each error has a kind, says what happened and where, and
// what an operator can do. docs/operating/errors.md has a row for each kind, and tests/error_test.cpp holds
// it to that.
#pragma once

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <new>
#include <stdexcept>
#include <string>

namespace paddletrack {

// A new kind goes at the end of its group, with its row in `kErrorKinds` and in docs/operating/errors.md.
enum class ErrorKind : std::size_t {
  // what a person wrote
  configurationWrong,
  operatorFileWrong,
  fileUnreadable,
  requestWrong,
  // what the machine does not give
  systemFailed,
  listenFailed,
  doorFailed,
  outOfMemory,
  acceptFailed,
  descriptorsShort,
  // what peers do
  connectFailed,
  peerUnreadable,
  peerSilent,
  clientUnreadable,
  jobRefused,
  listUnreachable,
  listCut,
  listSilent,
  listUnreadable,
  entryUnusable,
  doorFull,
  notLetIn,
  noAnswer,
  refused,
  // what nobody thought of
  unexpected,
  count
};

// `exit`: the process's exit code where the error ends it (docs/operating/drain.md has them all). `hint`:
// what an operator can do, where the error itself knows nothing better.
struct ErrorRow {
  ErrorKind kind;
  const char* name;
  int exit;
  const char* hint;
};

constexpr std::array<ErrorRow, static_cast<std::size_t>(ErrorKind::count)> kErrorKinds{{
    {ErrorKind::configurationWrong, "configuration_wrong", 2,
     "correct the key that is named; check-config reads the file as serve does"},
    {ErrorKind::operatorFileWrong, "operator_file_wrong", 2,
     "correct the line that is named; check-config --operator reads the file as serve does"},
    {ErrorKind::fileUnreadable, "file_unreadable", 2, "check the path and who may read it"},
    {ErrorKind::requestWrong, "request_wrong", 6,
     "correct the message; docs/operating/drain.md has the words"},
    {ErrorKind::systemFailed, "system_failed", 1,
     "look at the machine's memory and at the process's bound of descriptors (ulimit -n)"},
    {ErrorKind::listenFailed, "listen_failed", 1,
     "see who listens at that address, and whether this machine has it"},
    {ErrorKind::doorFailed, "door_failed", 1,
     "see what stands at door.socket, and whether its folder is there and may be written"},
    {ErrorKind::outOfMemory, "out_of_memory", 1,
     "give the machine more memory, or lower limits.memory_mb; the process is to be started again"},
    {ErrorKind::acceptFailed, "accept_failed", 1,
     "one connection was lost, later ones are taken; if it stays, look at descriptors and memory"},
    {ErrorKind::descriptorsShort, "descriptors_short", 1,
     "raise limits.sockets, or look for an executor that needs many connections"},
    {ErrorKind::connectFailed, "connect_failed", 1,
     "check the process at that address and the path to it; jobs go elsewhere meanwhile"},
    {ErrorKind::peerUnreadable, "peer_unreadable", 1,
     "one executor: look at its version; all of them: look at proxies in between"},
    {ErrorKind::peerSilent, "peer_silent", 1,
     "one executor: it hangs or is cut off; all: look at this machine's CPU and network"},
    {ErrorKind::clientUnreadable, "client_unreadable", 1, "look at that client; others are untouched"},
    {ErrorKind::jobRefused, "job_refused", 1, "correct that client's field; its connection goes on"},
    {ErrorKind::listUnreachable, "list_unreachable", 1,
     "mend the change log or the path to it; the list known so far is used meanwhile"},
    {ErrorKind::listCut, "list_cut", 1, "nothing, if it does not come often; it goes on where it was"},
    {ErrorKind::listSilent, "list_silent", 1, "look at the change log's process; it beats each second"},
    {ErrorKind::listUnreadable, "list_unreadable", 1, "look at what writes the change log"},
    {ErrorKind::entryUnusable, "entry_unusable", 1, "correct that executor's entry in the change log"},
    {ErrorKind::doorFull, "door_full", 5, "find who holds the door's connections, or raise door.clients"},
    {ErrorKind::notLetIn, "not_let_in", 5, "ask as the controller's user or as root"},
    {ErrorKind::noAnswer, "no_answer", 5, "see whether the controller runs and this is its door"},
    {ErrorKind::refused, "refused", 6, "the controller's text names the cause"},
    {ErrorKind::unexpected, "unexpected", 1, "report it with the lines of the log around it"},
}};

constexpr const ErrorRow& rowOf(ErrorKind kind) { return kErrorKinds[static_cast<std::size_t>(kind)]; }

// The base of all. `what()` is "where: what happened", or what happened alone.
class Error : public std::runtime_error {
 public:
  // `where`: file and key, address, engine; whatever finds the place. `hint`: empty for the kind's own.
  Error(ErrorKind kind, const std::string& where, const std::string& happened, const std::string& hint = "")
      : std::runtime_error(where.empty() ? happened : where + ": " + happened),
        kind_(kind),
        where_(where),
        happened_(happened),
        hint_(hint) {}

  ErrorKind kind() const { return kind_; }
  const char* name() const { return rowOf(kind_).name; }
  int exit() const { return rowOf(kind_).exit; }
  const std::string& where() const { return where_; }
  const std::string& happened() const { return happened_; }
  std::string hint() const { return hint_.empty() ? rowOf(kind_).hint : hint_; }

 private:
  ErrorKind kind_;
  std::string where_, happened_, hint_;
};

// A type of its own for each kind that is thrown and caught by its type.
template <ErrorKind K>
struct ErrorOf : Error {
  explicit ErrorOf(const std::string& happened) : Error(K, "", happened) {}
  ErrorOf(const std::string& where, const std::string& happened, const std::string& hint = "")
      : Error(K, where, happened, hint) {}
};

// A call of the system that failed: `number` is its errno.
template <ErrorKind K>
struct SystemErrorOf : Error {
  SystemErrorOf(const std::string& where, const std::string& call, int number)
      : Error(K, where, call + ": " + std::strerror(number),
              number == EMFILE || number == ENFILE ? "raise the bound of descriptors (ulimit -n)" : ""),
        number_(number) {}
  int number() const { return number_; }

 private:
  int number_;
};

using SystemFailed = SystemErrorOf<ErrorKind::systemFailed>;
using ListenFailed = SystemErrorOf<ErrorKind::listenFailed>;
using FileUnreadable = ErrorOf<ErrorKind::fileUnreadable>;

// What was caught, with its kind if it has one; `where` is for one that has no place, `otherwise` for one
// that has no kind.
inline Error typed(const std::exception& caught, const std::string& where,
                   ErrorKind otherwise = ErrorKind::unexpected) {
  if (const auto* error = dynamic_cast<const Error*>(&caught))
    return error->where().empty() ? Error(error->kind(), where, error->happened(), error->hint()) : *error;
  if (dynamic_cast<const std::bad_alloc*>(&caught))
    return Error(ErrorKind::outOfMemory, where, "no memory for a table that grows");
  return Error(otherwise, where, caught.what());
}

}  // namespace paddletrack
