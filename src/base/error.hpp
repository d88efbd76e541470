/// The errors that operators may see. Each has a kind, says what happened and where, and gives a hint on what
/// to do. docs/operating/errors.md has a row for each kind; tests/program/error_test.cpp compares the two.
#pragma once

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <new>
#include <stdexcept>
#include <string>
#include <utility>

namespace paddletrack {

/// A new kind is added at the end of its group, with a row in `kErrorDescriptions` and in
/// docs/operating/errors.md.
enum class ErrorKind : std::uint8_t {
  // Files and messages that people write.
  invalidConfiguration,
  invalidOperatorFile,
  unreadableFile,
  invalidAdminRequest,
  // Resources of the machine.
  systemCallFailed,
  listenFailed,
  adminSocketFailed,
  outOfMemory,
  acceptFailed,
  outOfDescriptors,
  // Clients, engines, the endpoint list and the admin interface.
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
  // Everything else.
  unexpected,
  count
};

/// What is the same for all errors of a kind.
struct ErrorDescription {
  ErrorKind kind;
  /// The kind as logs, JSON output and the documentation write it.
  const char* name;
  /// The exit code of a process that ends with the error; docs/operating/drain.md lists all exit codes.
  int exitCode;
  /// What an operator can do, unless the error itself has a more specific hint.
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

/// Never fails: `kErrorDescriptions` has an entry for every kind but `count`.
constexpr const ErrorDescription& descriptionOf(ErrorKind kind) {
  return kErrorDescriptions[static_cast<std::size_t>(kind)];
}

/// The base class of all typed errors. `what()` is "context: message", or the message alone if there is no
/// context.
class Error : public std::runtime_error {
 public:
  /// `context` locates the fault: file and key, address, engine. An empty `hint` stands for the kind's hint.
  Error(ErrorKind kind, std::string context, std::string message, std::string hint = "")
      : std::runtime_error(context.empty() ? message : context + ": " + message),
        kind_(kind),
        context_(std::move(context)),
        message_(std::move(message)),
        hint_(std::move(hint)) {}

  ErrorKind kind() const { return kind_; }
  const char* kindName() const { return descriptionOf(kind_).name; }
  int exitCode() const { return descriptionOf(kind_).exitCode; }
  const std::string& context() const { return context_; }
  const std::string& message() const { return message_; }
  std::string hint() const { return hint_.empty() ? descriptionOf(kind_).hint : hint_; }

 private:
  ErrorKind kind_;
  std::string context_;
  std::string message_;
  std::string hint_;
};

/// A distinct type for a kind, so that it can be caught by its type.
template <ErrorKind K>
struct ErrorOfKind : Error {
  explicit ErrorOfKind(const std::string& message) : Error(K, "", message) {}
  ErrorOfKind(const std::string& context, const std::string& message, const std::string& hint = "")
      : Error(K, context, message, hint) {}
};

/// A system call that failed with `errorNumber`, its errno.
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

/// Converts any exception to an `Error`. `context` is used if the exception has none, `fallbackKind` if it is
/// no `Error` and no failed allocation.
inline Error toError(const std::exception& caught, const std::string& context,
                     ErrorKind fallbackKind = ErrorKind::unexpected) {
  if (const auto* error = dynamic_cast<const Error*>(&caught))
    return error->context().empty() ? Error(error->kind(), context, error->message(), error->hint()) : *error;
  if (dynamic_cast<const std::bad_alloc*>(&caught))
    return {ErrorKind::outOfMemory, context, "no memory for a table that grows"};
  return {fallbackKind, context, caught.what()};
}

}  // namespace paddletrack
