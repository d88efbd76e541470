#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "choice.hpp"
#include "protocol/settings.hpp"
#include "simwire/frame.hpp"

namespace paddletrack::simwire {

// An entry of a numbered list, as the wire has it: ids and clock times.
struct Entry {
  std::uint32_t executor = 0;
  std::uint64_t launched = 0;
  Listing listing;
};

// The door of one running controller: ids outside, objects inside. Look-ups only; nothing ever walks its
// maps.
class Door final : private Host {
 public:
  Door(std::uint32_t instance, std::uint64_t clock, std::uint64_t seed, std::string_view settings,
       Writer& writer);

  // One event of this controller; what it holds starts behind the instance's number.
  void inbound(std::uint64_t clock, Reader& fields);
  void resolved(std::uint64_t clock, Reader& fields);
  void underWay(std::uint64_t clock, Reader& fields);
  void tickDue(std::uint64_t clock, Reader& fields);
  void mail(std::uint64_t clock, Reader& fields);
  void timedOutClient(std::uint64_t clock, Reader& fields);
  void change(std::uint64_t clock, Reader& fields);
  void checkResult(std::uint64_t clock, Reader& fields);
  void update(std::uint64_t clock, std::uint8_t how, const std::vector<Entry>* entries);

 private:
  void dispatch(Dispatch& made) override;
  void terms(Job& job, double grantMb, int priority) override;
  void throttle(Job& job, Span comeBackIn) override;
  void cancelForGood(Job& job) override;
  void withdraw(Dispatch& made) override;
  void wakeAt(Span when) override;
  void probe(Engine& engine) override;
  void tellPeers(const std::vector<PeerNote>& notes) override;
  void watchList() override;
  void log(std::string_view text) override;

  Span inside(std::uint64_t clock) const;
  std::uint64_t outside(Span time) const;
  Writer& record(std::uint8_t code);
  Job* job(std::uint32_t id);
  Dispatch* made(std::uint32_t id, std::uint8_t number);
  Engine& engine(std::uint32_t id);
  std::optional<LoadReport> report(Reader& fields);
  void forgetEnded();

  const std::uint32_t instance_;
  const std::uint64_t start_;
  const protocol::Told told_;
  Writer& writer_;
  std::unordered_map<std::uint32_t, std::unique_ptr<Job>> jobs_;
  std::unordered_map<std::uint32_t, std::unique_ptr<Engine>> engines_;
  std::vector<std::uint32_t> ended_;
  Controller controller_;
};

}  // namespace paddletrack::simwire
