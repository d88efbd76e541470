#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "coldstart/list_dials.hpp"
#include "routing/desk.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Follows the change log: resumes after any cut where it was, and after what can't be read or is missing; if
// that comes again it starts afresh. Moved elsewhere, it keeps the session that tells until the new one has
// told as much as is known.
class Follower {
 public:
  Follower(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& log,
           std::uint64_t known, std::uint64_t seed, Desk& desk, const Say& say,
           const coldstart::Terms& terms = {});

  // Followed there soon, where it is not spread at once; until then the old one is. Whether it is another
  // than was last asked for; back to the one that is still followed, and that one stays.
  bool move(const transport::Address& log);

  struct View {
    std::uint64_t number = 0;  // of the last change that is known
    bool following = false;    // a session is up and has told something
    bool behind = false;       // and it knows less than is known here
    std::uint64_t dials = 0;
    unsigned failures = 0;  // sessions in a row that told nothing
    std::optional<Span> nextDialIn{}, movesIn{};
  };
  View view() const;

 private:
  using End = coldstart::ListDials::End;
  void begin();
  transport::Task<> follow(std::uint64_t way, transport::Address log);
  transport::Task<> wait();
  transport::Task<> moveAt(transport::Moment moment);
  transport::Task<End> session(std::uint64_t way, transport::Address log);
  bool line(std::string_view text, std::uint64_t way);  // whether it told something
  void said(ErrorKind kind, const transport::Address& log, const std::string& what);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  transport::Address log_;
  std::uint64_t last_;
  Desk& desk_;
  const Say& say_;
  coldstart::ListDials dials_;
  std::uint64_t dialled_ = 0;
  bool waits_ = false, said_ = false, behind_ = false;  // this session, if any
  int nonsense_ = 0;                                    // sessions in a row that told what can't be used
  std::optional<transport::Address> next_;
  transport::Moment movesAt_{};
  std::uint64_t way_ = 0;  // counts up with each move: the one that is followed
  std::unique_ptr<transport::Group> running_;
  std::unique_ptr<transport::Group> before_;  // the session of the one before, until this one tells
  std::optional<transport::Group> moving_;
};

}  // namespace paddletrack::routing
