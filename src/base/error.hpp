/// The errors that are reported to operators. Each has a kind, states what happened and where, and gives a
/// hint on what to do. docs/operating/errors.md has a row for each kind; tests/program/error_test.cpp
/// compares the two.
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
  // Configuration files and admin requests, which people write.
  invalidConfiguration,
  invalidOperatorFile,
  unreadableFile,
  invalidAdminRequest,
  // System resources.
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
  // Errors of no other kind.
  unexpected,
  count
};

/// The properties that all errors of a kind share.
struct ErrorDescription {
  ErrorKind kind;
  /// The name of the kind in logs, JSON output and the documentation.
  const char* name;
  /// The exit code of a process that this error ends; docs/operating/drain.md lists all exit codes.
  int exitCode;
  /// What an operator can do. An error may carry a more specific hint, which takes precedence.
  const char* hint;
};

constexpr std::array<ErrorDescription, static_cast<std::size_t>(ErrorKind::count)> kErrorDescriptions{{
    {ErrorKind::invalidConfiguration, "configuration_wrong", 2,
     "correct the key that the message names; check-config applies the same checks as serve"},
    {ErrorKind::invalidOperatorFile, "operator_file_wrong", 2,
     "correct the line that the message names; check-config --operator applies the same checks as serve"},
    {ErrorKind::unreadableFile, "file_unreadable", 2, "check the path and its read permissions"},
    {ErrorKind::invalidAdminRequest, "request_wrong", 6,
     "correct the request; docs/operating/drain.md describes the format"},
    {ErrorKind::systemCallFailed, "system_failed", 1,
     "check the machine's free memory and the process's limit of file descriptors (ulimit -n)"},
    {ErrorKind::listenFailed, "listen_failed", 1,
     "check which process listens on the address, and whether the address belongs to this machine"},
    {ErrorKind::adminSocketFailed, "door_failed", 1,
     "check what exists at the path door.socket, and whether its directory exists and is writable"},
    {ErrorKind::outOfMemory, "out_of_memory", 1,
     "give the machine more memory or lower limits.memory_mb, then restart the process"},
    {ErrorKind::acceptFailed, "accept_failed", 1,
     "one connection was lost, later ones are accepted; if it recurs, check descriptors and memory"},
    {ErrorKind::outOfDescriptors, "descriptors_short", 1,
     "raise limits.sockets, or find an engine that needs many connections"},
    {ErrorKind::connectFailed, "connect_failed", 1,
     "check the process at that address and the path to it; requests go to other engines meanwhile"},
    {ErrorKind::engineProtocolError, "peer_unreadable", 1,
     "one engine: check its version; all engines: check the proxies on the path"},
    {ErrorKind::engineUnresponsive, "peer_silent", 1,
     "one engine: it hangs or is unreachable; all engines: check this machine's CPU and network"},
    {ErrorKind::clientProtocolError, "client_unreadable", 1,
     "check that client; other clients are not affected"},
    {ErrorKind::invalidRequest, "job_refused", 1,
     "correct the field in that client; its connection stays open"},
    {ErrorKind::discoveryUnreachable, "list_unreachable", 1,
     "repair the source of the endpoint list or the path to it; the last known list is used meanwhile"},
    {ErrorKind::discoveryInterrupted, "list_cut", 1,
     "no action unless it recurs often; the endpoint watcher resumes where it was interrupted"},
    {ErrorKind::discoveryStalled, "list_silent", 1,
     "check the process that serves the endpoint list; it sends a heartbeat every second"},
    {ErrorKind::discoveryProtocolError, "list_unreadable", 1,
     "check the process that writes the endpoint list"},
    {ErrorKind::invalidEndpointEntry, "entry_unusable", 1,
     "correct the record of that engine in the endpoint list"},
    {ErrorKind::adminConnectionLimit, "door_full", 5,
     "find the clients that hold admin connections open, or raise door.clients"},
    {ErrorKind::permissionDenied, "not_let_in", 5, "repeat the command as the controller's user or as root"},
    {ErrorKind::adminUnreachable, "no_answer", 5,
     "check whether the controller is running and this is its admin socket"},
    {ErrorKind::adminRequestRefused, "refused", 6, "the controller's message states the cause"},
    {ErrorKind::unexpected, "unexpected", 1, "report this error with the surrounding log lines"},
}};

/// Returns the description of `kind`. `kErrorDescriptions` has an entry for every kind except `count`.
constexpr const ErrorDescription& descriptionOf(ErrorKind kind) {
  return kErrorDescriptions[static_cast<std::size_t>(kind)];
}

/// The base class of all typed errors. `what()` is "context: message", or only the message if the context is
/// empty.
class Error : public std::runtime_error {
 public:
  /// `context` locates the fault: file and key, address or engine. If `hint` is empty, the hint of the kind
  /// applies.
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

/// A separate type for each kind, so that callers can catch errors of one kind.
template <ErrorKind K>
struct ErrorOfKind : Error {
  explicit ErrorOfKind(const std::string& message) : Error(K, "", message) {}
  ErrorOfKind(const std::string& context, const std::string& message, const std::string& hint = "")
      : Error(K, context, message, hint) {}
};

/// A failed system call. `errorNumber` is the errno value that it set.
template <ErrorKind K>
struct SystemErrorOfKind : Error {
  SystemErrorOfKind(const std::string& context, const std::string& call, int errorNumber)
      : Error(K, context, call + ": " + std::strerror(errorNumber),
              errorNumber == EMFILE || errorNumber == ENFILE
                  ? "raise the limit of file descriptors (ulimit -n)"
                  : ""),
        errorNumber_(errorNumber) {}
  int errorNumber() const { return errorNumber_; }

 private:
  int errorNumber_;
};

using SystemCallError = SystemErrorOfKind<ErrorKind::systemCallFailed>;
using ListenError = SystemErrorOfKind<ErrorKind::listenFailed>;
using FileReadError = ErrorOfKind<ErrorKind::unreadableFile>;

/// Converts any exception to an `Error`. `context` is used if the exception has none. `fallbackKind` is used
/// if the exception is neither an `Error` nor std::bad_alloc.
inline Error toError(const std::exception& caught, const std::string& context,
                     ErrorKind fallbackKind = ErrorKind::unexpected) {
  if (const auto* error = dynamic_cast<const Error*>(&caught))
    return error->context().empty() ? Error(error->kind(), context, error->message(), error->hint()) : *error;
  if (dynamic_cast<const std::bad_alloc*>(&caught))
    return {ErrorKind::outOfMemory, context, "no memory for a growing table"};
  return {fallbackKind, context, caught.what()};
}

}  // namespace paddletrack
