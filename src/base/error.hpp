// What goes wrong and operators may come to see: each error has a kind, says what happened and where, and
// what an operator can do. docs/operating/errors.md has a row for each kind, and tests/program/error_test.cpp
// holds it to that.
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
  invalidConfiguration,
  invalidOperatorFile,
  unreadableFile,
  invalidAdminRequest,
  // what the machine does not give
  systemCallFailed,
  listenFailed,
  adminSocketFailed,
  outOfMemory,
  acceptFailed,
  outOfDescriptors,
  // what peers do
  connectFailed,
  engineProtocolError,
  engineUnresponsive,
  clientProtocolError,
  invalidRequest,
  discoveryUnreachable,
  discoveryInterrupted,
  discoveryStalled,
  discoveryProtocolError,
  invalidEndpointEntry,
  adminConnectionLimit,
  permissionDenied,
  adminUnreachable,
  adminRequestRefused,
  // what nobody thought of
  unexpected,
  count
};

// `exit`: the process's exit code where the error ends it (docs/operating/drain.md has them all). `hint`:
// what an operator can do, where the error itself knows nothing better.
struct ErrorDescription {
  ErrorKind kind;
  const char* name;
  int exitCode;
  const char* hint;
};

constexpr std::array<ErrorDescription, static_cast<std::size_t>(ErrorKind::count)> kErrorDescriptions{{
    {ErrorKind::invalidConfiguration, "configuration_wrong", 2,
     "correct the key that is named; check-config reads the file as serve does"},
    {ErrorKind::invalidOperatorFile, "operator_file_wrong", 2,
     "correct the line that is named; check-config --operator reads the file as serve does"},
    {ErrorKind::unreadableFile, "file_unreadable", 2, "check the path and who may read it"},
    {ErrorKind::invalidAdminRequest, "request_wrong", 6,
     "correct the message; docs/operating/drain.md has the words"},
    {ErrorKind::systemCallFailed, "system_failed", 1,
     "look at the machine's memory and at the process's bound of descriptors (ulimit -n)"},
    {ErrorKind::listenFailed, "listen_failed", 1,
     "see who listens at that address, and whether this machine has it"},
    {ErrorKind::adminSocketFailed, "door_failed", 1,
     "see what stands at door.socket, and whether its folder is there and may be written"},
    {ErrorKind::outOfMemory, "out_of_memory", 1,
     "give the machine more memory, or lower limits.memory_mb; the process is to be started again"},
    {ErrorKind::acceptFailed, "accept_failed", 1,
     "one connection was lost, later ones are taken; if it stays, look at descriptors and memory"},
    {ErrorKind::outOfDescriptors, "descriptors_short", 1,
     "raise limits.sockets, or look for an executor that needs many connections"},
    {ErrorKind::connectFailed, "connect_failed", 1,
     "check the process at that address and the path to it; jobs go elsewhere meanwhile"},
    {ErrorKind::engineProtocolError, "peer_unreadable", 1,
     "one executor: look at its version; all of them: look at proxies in between"},
    {ErrorKind::engineUnresponsive, "peer_silent", 1,
     "one executor: it hangs or is cut off; all: look at this machine's CPU and network"},
    {ErrorKind::clientProtocolError, "client_unreadable", 1, "look at that client; others are untouched"},
    {ErrorKind::invalidRequest, "job_refused", 1, "correct that client's field; its connection goes on"},
    {ErrorKind::discoveryUnreachable, "list_unreachable", 1,
     "mend the change log or the path to it; the list known so far is used meanwhile"},
    {ErrorKind::discoveryInterrupted, "list_cut", 1,
     "nothing, if it does not come often; it goes on where it was"},
    {ErrorKind::discoveryStalled, "list_silent", 1, "look at the change log's process; it beats each second"},
    {ErrorKind::discoveryProtocolError, "list_unreadable", 1, "look at what writes the change log"},
    {ErrorKind::invalidEndpointEntry, "entry_unusable", 1, "correct that executor's entry in the change log"},
    {ErrorKind::adminConnectionLimit, "door_full", 5,
     "find who holds the door's connections, or raise door.clients"},
    {ErrorKind::permissionDenied, "not_let_in", 5, "ask as the controller's user or as root"},
    {ErrorKind::adminUnreachable, "no_answer", 5, "see whether the controller runs and this is its door"},
    {ErrorKind::adminRequestRefused, "refused", 6, "the controller's text names the cause"},
    {ErrorKind::unexpected, "unexpected", 1, "report it with the lines of the log around it"},
}};

constexpr const ErrorDescription& descriptionOf(ErrorKind kind) {
  return kErrorDescriptions[static_cast<std::size_t>(kind)];
}

// The base of all. `what()` is "where: what happened", or what happened alone.
class Error : public std::runtime_error {
 public:
  // `where`: file and key, address, engine; whatever finds the place. `hint`: empty for the kind's own.
  Error(ErrorKind kind, const std::string& context, const std::string& message, const std::string& hint = "")
      : std::runtime_error(context.empty() ? message : context + ": " + message),
        kind_(kind),
        context_(context),
        message_(message),
        hint_(hint) {}

  ErrorKind kind() const { return kind_; }
  const char* kindName() const { return descriptionOf(kind_).name; }
  int exitCode() const { return descriptionOf(kind_).exitCode; }
  const std::string& context() const { return context_; }
  const std::string& message() const { return message_; }
  std::string hint() const { return hint_.empty() ? descriptionOf(kind_).hint : hint_; }

 private:
  ErrorKind kind_;
  std::string context_, message_, hint_;
};

// A type of its own for each kind that is thrown and caught by its type.
template <ErrorKind K>
struct ErrorOfKind : Error {
  explicit ErrorOfKind(const std::string& message) : Error(K, "", message) {}
  ErrorOfKind(const std::string& context, const std::string& message, const std::string& hint = "")
      : Error(K, context, message, hint) {}
};

// A call of the system that failed: `number` is its errno.
template <ErrorKind K>
struct SystemErrorOfKind : Error {
  SystemErrorOfKind(const std::string& context, const std::string& call, int errorNumber)
      : Error(K, context, call + ": " + std::strerror(errorNumber),
              errorNumber == EMFILE || errorNumber == ENFILE ? "raise the bound of descriptors (ulimit -n)"
                                                             : ""),
        errorNumber_(errorNumber) {}
  int errorNumber() const { return errorNumber_; }

 private:
  int errorNumber_;
};

using SystemCallError = SystemErrorOfKind<ErrorKind::systemCallFailed>;
using ListenError = SystemErrorOfKind<ErrorKind::listenFailed>;
using FileReadError = ErrorOfKind<ErrorKind::unreadableFile>;

// What was caught, with its kind if it has one; `where` is for one that has no place, `otherwise` for one
// that has no kind.
inline Error toError(const std::exception& caught, const std::string& context,
                     ErrorKind fallbackKind = ErrorKind::unexpected) {
  if (const auto* error = dynamic_cast<const Error*>(&caught))
    return error->context().empty() ? Error(error->kind(), context, error->message(), error->hint()) : *error;
  if (dynamic_cast<const std::bad_alloc*>(&caught))
    return Error(ErrorKind::outOfMemory, context, "no memory for a table that grows");
  return Error(fallbackKind, context, caught.what());
}

}  // namespace paddletrack
