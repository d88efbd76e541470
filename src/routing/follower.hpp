#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "routing/desk.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Follows the change log: resumes after any cut where it was, and after what can't be read or is missing; if
// that comes again it starts afresh.
class Follower {
 public:
  Follower(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& log,
           std::uint64_t known, std::uint64_t seed, Desk& desk, const Say& say);

  bool move(const transport::Address& log);  // followed there from now on; whether it is another

 private:
  void begin();
  transport::Task<> follow();
  transport::Task<> session();
  void line(std::string_view text);
  std::string where() const;
  void said(ErrorKind kind, const std::string& what);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  transport::Address log_;
  std::uint64_t last_;
  Desk& desk_;
  const Say& say_;
  std::minstd_rand dice_;
  int failures_ = 0;  // sessions in a row that told nothing
  int nonsense_ = 0;  // sessions in a row that told what can't be used
  std::optional<transport::Group> running_;
};

}  // namespace paddletrack::routing
