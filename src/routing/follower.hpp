#pragma once

#include <cstdint>
#include <random>

#include "routing/desk.hpp"
#include "transport/connection.hpp"

namespace paddletrack::routing {

// Follows the change log: resumes after any cut where it was, and starts afresh after what can't be read.
class Follower {
 public:
  Follower(transport::Scheduler& scheduler, transport::Unsent& unsent, const transport::Address& log,
           std::uint64_t known, std::uint64_t seed, Desk& desk, const Say& say);

 private:
  transport::Task<> follow();
  transport::Task<> session();
  void line(std::string_view text);

  transport::Scheduler& scheduler_;
  transport::Unsent& unsent_;
  const transport::Address log_;
  std::uint64_t last_;
  Desk& desk_;
  const Say& say_;
  std::minstd_rand dice_;
  int failures_ = 0;  // sessions in a row that told nothing
  transport::Group running_;
};

}  // namespace paddletrack::routing
