#include "command/roll.hpp"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

#include "command/drain.hpp"
#include "drain/roll.hpp"
#include "operating/settings.hpp"
#include "operating/words.hpp"

namespace paddletrack::command {
namespace {

constexpr std::chrono::milliseconds kPace{50};

// One of the controllers; its line is dialled anew when it has broken.
class Member {
 public:
  explicit Member(std::string path) : path_(std::move(path)) {}
  const std::string& path() const { return path_; }

  drain::Seen look() {
    drain::Seen seen;
    try {
      const Json answer = asked(operating::statusRequest());
      if (answer["ok"] != true) return seen;
      const Json& status = answer["status"];
      seen.reached = true;
      seen.state = status["state"].get<std::string>();
      seen.process = status["process"].get<std::uint64_t>();
      if (const Json& drain = status["drain"]; !drain.is_null()) {
        seen.drain = drain["number"].get<std::uint64_t>();
        seen.missed = drain["missed"].get<bool>();
      }
      last_ = status;
    } catch (const std::exception&) {  // a break, or words that are no controller's
      call_.reset();
    }
    return seen;
  }
  // Whether it was taken; what stands against it is said.
  bool does(const std::string& request) {
    try {
      const Json answer = asked(request);
      if (answer["ok"] == true) return true;
      told(Error(ErrorKind::refused, path_, answer["error"]["text"].get<std::string>()));
    } catch (const std::exception& error) {
      told(typed(error, path_, ErrorKind::noAnswer));
      call_.reset();
    }
    return false;
  }
  const Json& last() const { return last_; }

 private:
  Json asked(const std::string& request) {
    if (!call_) call_ = std::make_unique<Call>(path_);
    return call_->ask(request);
  }
  const std::string path_;
  std::unique_ptr<Call> call_;
  Json last_;
};

}  // namespace

int roll(const RollWish& wish) {
  std::vector<std::unique_ptr<Member>> members;
  for (const std::string& each : wish.sockets) members.push_back(std::make_unique<Member>(each));
  drain::Roll::Terms terms;
  terms.deadline = wish.deadline.value_or(terms.deadline);
  terms.back = wish.back.value_or(terms.back);
  terms.restarts = !wish.each.empty();
  drain::Roll plan(members.size(), terms);
  const auto start = std::chrono::steady_clock::now();
  const auto tell = [&](const std::string& path, const std::string& what) {
    if (wish.json) {
      std::printf("%s\n", Json{{"socket", path}, {"step", what}}.dump().c_str());
    } else {
      std::printf("%s: %s\n", path.c_str(), what.c_str());
    }
    std::fflush(stdout);
  };
  std::string shown;
  for (;;) {
    for (std::size_t each = 0; each < members.size(); ++each) plan.saw(each, members[each]->look());
    const auto now = std::chrono::duration_cast<drain::Span>(std::chrono::steady_clock::now() - start);
    const drain::Roll::Act act = plan.look(now);
    Member* one = act.which < members.size() ? members[act.which].get() : nullptr;
    switch (act.what) {
      case drain::Roll::Do::ask:
        tell(one->path(), "draining");
        one->does(operating::drainRequest(terms.deadline, std::nullopt));
        continue;
      case drain::Roll::Do::work: {
        tell(one->path(), "out: " + wish.each);
        ::setenv("PADDLETRACK_SOCKET", one->path().c_str(), 1);
        plan.worked(std::system(wish.each.c_str()) == 0);
        continue;
      }
      case drain::Roll::Do::bringBack:
        tell(one->path(), "brought back");
        one->does(operating::cancelRequest());
        continue;
      case drain::Roll::Do::finished:
        if (!wish.json) std::printf("all %zu have been out and serve again\n", plan.back());
        return kWell;
      case drain::Roll::Do::failed:
        std::fprintf(stderr, "paddletrack: stopped at %s: %s (%zu of %zu done)\n", one->path().c_str(),
                     plan.why().c_str(), plan.back(), members.size());
        return kMissed;
      case drain::Roll::Do::wait:
        if (!wish.json && one && one->last().is_object()) {
          const std::string line = progressLine(one->last());
          if (line != shown) tell(one->path(), line);
          shown = line;
        }
        std::this_thread::sleep_for(kPace);
    }
  }
}

}  // namespace paddletrack::command
