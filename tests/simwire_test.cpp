// Frames written by hand to the wire page's layout, and what does not follow it.
#include <gtest/gtest.h>

#include <sstream>

#include "simwire/server.hpp"

namespace paddletrack::simwire {
namespace {

const std::string kSite =
    "balancers=1\nmachineTypes=a\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.idempotency="
    "retryable\n"
    "profiles.0.onTimeUs=500000\nprofiles.0.giveUpUs=4000000\nlimits.mostTries=3\nlimits.retryAfter=true\n"
    "limits.maxRetryAfterUs=1000000\ntickUs=5000\nnever.seen=1,2\n";

using Fields = std::initializer_list<std::pair<std::uint64_t, int>>;  // value and size
std::string packed(Fields fields) {
  std::string bytes;
  for (const auto& [value, size] : fields) put(bytes, value, size);
  return bytes;
}

struct Frame {
  std::string body;
  std::uint32_t count = 0;

  Frame& record(std::uint64_t code, Fields fields, const std::string& tail = "") {
    const std::string content = packed(fields) + tail;
    body += packed({{code, 1}, {content.size(), 4}}) + content;
    ++count;
    return *this;
  }
  Frame& start(std::uint32_t who, const std::string& settings = kSite) {
    return record(3, {{who, 4}, {5, 8}, {settings.size(), 4}}, settings);
  }
  Frame& list(std::uint32_t who, std::uint32_t executor) {
    record(8, {{2, 4}, {1, 4}, {0, 1}, {0, 8}, {executor, 4}, {0, 2}, {0, 1}, {0, 2}, {0x3f800000, 4}});
    return record(7, {{who, 4}, {2, 1}, {1, 4}, {2, 4}});
  }
  Frame& job(std::uint32_t who, std::uint32_t id) {
    return record(
        11, {{who, 4}, {id, 4}, {5000000, 8}, {0, 4}, {1, 2}, {9000, 4}, {0, 1}, {0, 8}, {0, 2}, {0, 4}});
  }
  std::string bytes(std::uint64_t clock = 1000000) const {
    return packed({{77, 4}, {body.size() + 12, 4}, {clock, 8}, {count, 4}}) + body;
  }
};

std::string served(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  Server().serve(in, out);
  return out.str();
}

std::string refusal(const std::string& input) {
  try {
    served(input);
  } catch (const Malformed& error) {
    return error.what();
  }
  return "";
}

TEST(Wire, AnEmptyBatchGetsAnEmptyReply) { EXPECT_EQ(served(Frame().bytes()), packed({{77, 4}, {0, 8}})); }

TEST(Wire, AJobIsIssuedToTheListedExecutorByItsOwnIds) {
  const std::string reply = served(Frame().start(3).list(3, 0xabcd).job(3, 0x1234).bytes());
  EXPECT_NE(reply.find(packed({{12, 1}, {20, 4}, {3, 4}, {0x1234, 4}, {5000000, 8}, {0xabcd, 4}})),
            std::string::npos);
}

TEST(Wire, AControllerStartedAgainInABatchKnowsNothing) {
  const std::string reply =
      served(Frame().start(3).list(3, 1).record(10, {{3, 4}}).start(3).job(3, 6).bytes());
  EXPECT_NE(reply.find(packed({{3, 1}, {12, 4}, {3, 4}, {6, 4}})), std::string::npos);
}

TEST(Wire, NewsOfAJobThatHasEndedIsIgnored) {
  EXPECT_EQ(refusal(Frame().start(3).list(3, 1).record(9, {{3, 4}, {99, 4}}).bytes()), "");
}

TEST(Wire, WhatIsMalformedIsNamedWithItsPlace) {
  const auto says = [](const std::string& input, const char* what) {
    return refusal(input).find(what) != std::string::npos;
  };
  const std::string good = Frame().start(3).bytes();
  EXPECT_TRUE(says(good.substr(0, good.size() - 4), "batch 77: input ends after"));
  EXPECT_TRUE(says(good.substr(0, 9), "batch header"));
  EXPECT_TRUE(says(Frame().start(3).record(40, {{3, 4}}).bytes(), "record 1: event code 40"));
  EXPECT_TRUE(says(Frame().start(3).record(4, {{3, 4}}).bytes(), "record 1: code 4: 4 bytes wanted"));
  EXPECT_TRUE(says(Frame().start(3).record(4, {{3, 4}, {0, 8}}).bytes(), "4 bytes too many"));
  EXPECT_TRUE(says(Frame().job(3, 1).bytes(), "controller 3 does not run"));
  EXPECT_TRUE(says(Frame().start(3, kSite + "nonsense\n").bytes(), "'nonsense' is not path=value"));
  EXPECT_TRUE(says(Frame().start(3, kSite + "balancers=many\n").bytes(), "'many' is not a number"));
  EXPECT_TRUE(says(Frame().start(3).record(7, {{3, 4}, {2, 1}, {1, 4}, {9, 4}}).bytes(), "list 9"));
}

TEST(Wire, BoundTypesAreReadByNameOrIndex) {
  const protocol::Told told = protocol::decode(protocol::pathsOfLines(
      kSite + "zones=east,west\nprofiles.0.confinedTo=west\nprofiles.0.machineTypesOnly=0\n"));
  EXPECT_EQ(told.deployment.types[0].locations, std::vector<unsigned>{1});
  EXPECT_EQ(told.deployment.types[0].kinds, std::vector<unsigned>{0});
}

}  // namespace
}  // namespace paddletrack::simwire
