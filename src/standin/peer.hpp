// A peer of a test's own making: accepts connections at an address, keeps what it hears, and says what its
// script makes of each command.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/resp.hpp"
#include "transport/connection.hpp"

namespace paddletrack::standin {

struct Peer {
  using Script =
      std::function<void(Peer&, transport::Connection&, const std::string& word, const std::string& id)>;
  Peer(transport::Scheduler& loop, transport::Unsent& unsent, const std::string& at, Script made)
      : scheduler(loop), all(unsent), script(std::move(made)), group(loop, [](const char*) {}) {
    listener.emplace(loop, transport::Address(at));
    group.spawn(listen());
  }
  transport::Task<> listen() {
    for (;;) {
      auto accepted = co_await listener->accept();
      group.spawn(serve(std::move(accepted)));
    }
  }
  transport::Task<> serve(std::unique_ptr<transport::Descriptor> accepted) {
    transport::Connection connection(scheduler, std::move(accepted), 4096, 65536, all);
    connections.push_back(&connection);  // to be told apart by; not all of them still are
    for (;;) {
      const bool more = co_await connection.receive();
      if (!more) co_return;
      for (;;) {
        const protocol::resp::Array array = protocol::resp::read(connection.input().view());
        if (array.size == 0) break;
        const std::string word(array.words[0]), id(array.words[1]);
        word == "NOOP" ? void(++noops) : void(heard += word + " ");
        if (word == "NEXT") heard += std::string(array.words[2]) + " ";
        connection.input().consume(array.size);
        script(*this, connection, word, id);
      }
    }
  }
  static void say(transport::Connection& to, const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    to.send({transport::Slice(std::move(out))});
  }
  transport::Scheduler& scheduler;
  transport::Unsent& all;
  Script script;
  std::string heard;
  int noops = 0;
  std::optional<transport::Listener> listener;
  std::vector<const transport::Connection*> connections;
  transport::Group group;
};

}  // namespace paddletrack::standin
