// Controllers that share, each a process of its own, with relays between each two of them.
#pragma once

#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/load.hpp"
#include "standin/loop.hpp"
#include "standin/relay.hpp"
#include "standin/site.hpp"

namespace paddletrack::standin {

struct SharingTerms {
  std::string program;
  int net = 0;  // and so much as in SiteTerms
  unsigned members = 3;
  std::uint64_t seed = 1;
  std::string period = "100ms";
  std::string keep = "10m";
  std::function<std::string(unsigned member)> clusterOf{};
  std::string more{};  // of the operator's file
};

class Sharing {
 public:
  using Json = nlohmann::json;

  Sharing(Loop& loop, SharingTerms terms)
      : loop_(loop),
        mesh(loop, terms.net, terms.members, terms.seed),
        site(loop, loop.unsent, siteTerms(terms)),
        load(loop, loop.unsent, site.fronts(), terms.seed),
        members_(terms.members) {
    load.beats(milliseconds(500));
    load.begin(0, {{"look-up", "acme", 1, milliseconds(1), milliseconds(2), milliseconds(3000), "ms=1"}});
  }

  // What a member's door tells, or null: nobody answers within so long.
  Json status(unsigned member, milliseconds most = milliseconds(2000)) {
    DoorLine line(loop_, loop_.unsent, site.door(member));
    line.say("{\"v\":1,\"id\":1,\"do\":\"status\"}\n");
    loop_.until([&] { return !line.heard.empty() || line.closed; }, most);
    return line.heard.empty() ? Json() : Json::parse(line.heard.front())["status"];
  }
  Json share(unsigned member) {
    const Json told = status(member);
    return told.is_null() || !told.contains("share") ? Json() : told["share"];
  }
  std::uint64_t owners(unsigned member) {
    const Json told = share(member);
    return told.is_null() ? 0 : told["owners"].get<std::uint64_t>();
  }
  std::uint64_t jobs(unsigned member) {
    const Json told = share(member);
    return told.is_null() ? 0 : told["fleet"]["jobs"].get<std::uint64_t>();
  }

  // Jobs that are taken and answered.
  void work(unsigned member, unsigned jobs) {
    for (unsigned each = 0; each < jobs; ++each) load.send(0, member);
    loop_.until([&] { return load.books().open == 0; }, milliseconds(5000));
  }

  // Until each of them says so; how long it took.
  std::optional<transport::Clock::duration> until(const std::vector<unsigned>& members,
                                                  const std::function<bool(unsigned)>& says,
                                                  milliseconds most) {
    const transport::Moment begun = loop_.now();
    for (const unsigned each : members)
      while (!says(each)) {
        if (loop_.now() - begun > most) return std::nullopt;
        loop_.pass(milliseconds(2));
      }
    return loop_.now() - begun;
  }
  std::vector<unsigned> all() const {
    std::vector<unsigned> made(members_);
    for (unsigned each = 0; each < members_; ++each) made[each] = each;
    return made;
  }
  bool start(milliseconds most = milliseconds(20000)) {  // all serve, and know of each other
    return loop_.until(
               [&] {
                 for (const unsigned each : all())
                   if (!load.inService(each)) return false;
                 return true;
               },
               most) &&
           until(
               all(), [&](unsigned each) { return owners(each) == members_; }, most)
               .has_value();
  }
  void signal(unsigned member, int number) { site.controller(member).signal(number); }

 private:
  Loop& loop_;
  SiteTerms siteTerms(const SharingTerms& terms) {
    SiteTerms made;
    made.program = terms.program;
    made.net = terms.net;
    made.executors = 2;
    made.controllers = terms.members;
    made.operatorsFileOf = [this, terms](unsigned member) {
      return "share {\n  listen = \"" + mesh.realText(member) + "\"\n  peers = " + mesh.peersText(member) +
             "\n  period = \"" + terms.period + "\"\n  keep = \"" + terms.keep + "\"\n  cluster = \"" +
             (terms.clusterOf ? terms.clusterOf(member) : std::string("test")) + "\"\n}\n" + terms.more;
    };
    return made;
  }

 public:
  Mesh mesh;
  Site site;
  Load load;

 private:
  const unsigned members_;
};

}  // namespace paddletrack::standin
