// The share's datagrams on the network: carries what Gossip decides, and counts. One UDP socket over IPv4.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/say.hpp"
#include "share/gossip.hpp"
#include "share/load.hpp"
#include "share/store.hpp"
#include "transport/datagram.hpp"

namespace paddletrack::share {

struct PostTerms {
  transport::Address listen;
  std::string cluster;
  Terms store;
  GossipTerms gossip;
};

class Post {
 public:
  // Throws std::system_error where the socket can't be had, std::invalid_argument where a term is wrong.
  Post(transport::Scheduler& scheduler, const PostTerms& terms, const Say& say);

  Store& store() { return store_; }
  Span now() const;  // on the store's clock
  // Called before each turn, for who writes entries.
  void beforeTurns(std::function<void(Span now)> write) { writers_.push_back(std::move(write)); }

  struct Traffic {
    std::uint64_t datagramsIn = 0, bytesIn = 0, datagramsOut = 0, bytesOut = 0;
  };
  const Traffic& traffic() const { return traffic_; }
  const Gossip& gossip() const { return gossip_; }

 private:
  transport::Task<> listen();
  void take(const transport::Datagrams::Got& got);
  void turn();
  void send(const Gossip::Letters& letters);
  void dropped(Drop why, std::uint64_t from, const std::string& detail);

  transport::Scheduler& scheduler_;
  const std::string cluster_;
  const Say& say_;
  const transport::Moment start_;
  Store store_;
  Gossip gossip_;
  transport::Datagrams socket_;
  std::vector<std::function<void(Span now)>> writers_;
  Traffic traffic_;
  transport::Call turn_;
  transport::Group running_;
};

}  // namespace paddletrack::share
