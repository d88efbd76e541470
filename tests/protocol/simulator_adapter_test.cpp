// The simulator's wire: batches that follow the format, encoded without the codec under test, and malformed
// batches.
#include <gtest/gtest.h>

#include <sstream>

#include "simulator/batch_server.hpp"

namespace paddletrack::simulator {
namespace {

const std::string kSettings =
    "balancers=1\nmachineTypes=a\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.idempotency="
    "retryable\n"
    "profiles.0.onTimeUs=500000\nprofiles.0.giveUpUs=4000000\nlimits.mostTries=3\nlimits.retryAfter=true\n"
    "limits.maxRetryAfterUs=1000000\ntickUs=5000\nnever.seen=1,2\n";

using Fields = std::initializer_list<std::pair<std::uint64_t, int>>;  // Value and size in bytes.
std::string packFields(Fields fields) {
  std::string bytes;
  for (const auto& [value, size] : fields) appendBigEndian(bytes, value, size);
  return bytes;
}

struct BatchBuilder {
  std::string body;
  std::uint32_t recordCount = 0;

  BatchBuilder& addRecord(std::uint64_t code, Fields fields, const std::string& tail = "") {
    const std::string content = packFields(fields) + tail;
    body += packFields({{code, 1}, {content.size(), 4}}) + content;
    ++recordCount;
    return *this;
  }
  BatchBuilder& addStart(std::uint32_t controller, const std::string& settings = kSettings) {
    return addRecord(3, {{controller, 4}, {5, 8}, {settings.size(), 4}}, settings);
  }
  BatchBuilder& addEngine(std::uint32_t controller, std::uint32_t engine) {
    addRecord(8, {{2, 4}, {1, 4}, {0, 1}, {0, 8}, {engine, 4}, {0, 2}, {0, 1}, {0, 2}, {0x3f800000, 4}});
    return addRecord(7, {{controller, 4}, {2, 1}, {1, 4}, {2, 4}});
  }
  BatchBuilder& addRequest(std::uint32_t controller, std::uint32_t id) {
    return addRecord(
        11,
        {{controller, 4}, {id, 4}, {5000000, 8}, {0, 4}, {1, 2}, {9000, 4}, {0, 1}, {0, 8}, {0, 2}, {0, 4}});
  }
  std::string encode(std::uint64_t clock = 1000000) const {
    return packFields({{77, 4}, {body.size() + 12, 4}, {clock, 8}, {recordCount, 4}}) + body;
  }
};

std::string runServer(const std::string& input) {
  std::istringstream inputStream(input);
  std::ostringstream outputStream;
  BatchServer().serve(inputStream, outputStream);
  return outputStream.str();
}

std::string errorMessage(const std::string& input) {
  try {
    runServer(input);
  } catch (const WireFormatError& error) {
    return error.what();
  }
  return "";
}

TEST(SimulatorAdapter, ReturnsEmptyReplyWhenBatchIsEmpty) {
  EXPECT_EQ(runServer(BatchBuilder().encode()), packFields({{77, 4}, {0, 8}}));
}

TEST(SimulatorAdapter, IssuesRequestToListedEngineWithWireIds) {
  const std::string reply =
      runServer(BatchBuilder().addStart(3).addEngine(3, 0xabcd).addRequest(3, 0x1234).encode());
  EXPECT_NE(reply.find(packFields({{12, 1}, {20, 4}, {3, 4}, {0x1234, 4}, {5000000, 8}, {0xabcd, 4}})),
            std::string::npos);
}

TEST(SimulatorAdapter, StartsControllerWithoutStateWhenRestartedInBatch) {
  const std::string reply = runServer(BatchBuilder()
                                          .addStart(3)
                                          .addEngine(3, 1)
                                          .addRecord(10, {{3, 4}})
                                          .addStart(3)
                                          .addRequest(3, 6)
                                          .encode());
  EXPECT_NE(reply.find(packFields({{3, 1}, {12, 4}, {3, 4}, {6, 4}})), std::string::npos);
}

TEST(SimulatorAdapter, IgnoresEventsOfUnknownRequests) {
  EXPECT_EQ(errorMessage(BatchBuilder().addStart(3).addEngine(3, 1).addRecord(9, {{3, 4}, {99, 4}}).encode()),
            "");
}

TEST(SimulatorAdapter, ReportsPositionWhenInputIsMalformed) {
  const auto failsWith = [](const std::string& input, const char* fragment) {
    return errorMessage(input).find(fragment) != std::string::npos;
  };
  const std::string validBatch = BatchBuilder().addStart(3).encode();
  EXPECT_TRUE(failsWith(validBatch.substr(0, validBatch.size() - 4), "batch 77: input ends after"));
  EXPECT_TRUE(failsWith(validBatch.substr(0, 9), "batch header"));
  EXPECT_TRUE(
      failsWith(BatchBuilder().addStart(3).addRecord(40, {{3, 4}}).encode(), "record 1: event code 40"));
  EXPECT_TRUE(failsWith(BatchBuilder().addStart(3).addRecord(4, {{3, 4}}).encode(),
                        "record 1: code 4: 4 bytes wanted"));
  EXPECT_TRUE(
      failsWith(BatchBuilder().addStart(3).addRecord(4, {{3, 4}, {0, 8}}).encode(), "4 bytes too many"));
  EXPECT_TRUE(failsWith(BatchBuilder().addRequest(3, 1).encode(), "controller 3 does not run"));
  EXPECT_TRUE(failsWith(BatchBuilder().addStart(3, kSettings + "nonsense\n").encode(),
                        "'nonsense' is not path=value"));
  EXPECT_TRUE(failsWith(BatchBuilder().addStart(3, kSettings + "balancers=many\n").encode(),
                        "'many' is not a number"));
  EXPECT_TRUE(failsWith(BatchBuilder().addStart(3).addRecord(7, {{3, 4}, {2, 1}, {1, 4}, {9, 4}}).encode(),
                        "list 9"));
}

TEST(SimulatorAdapter, ReadsPlacementRestrictionsByNameOrIndex) {
  const protocol::ControllerConfig config = protocol::decodeControllerConfig(protocol::flattenLines(
      kSettings + "zones=east,west\nprofiles.0.confinedTo=west\nprofiles.0.machineTypesOnly=0\n"));
  EXPECT_EQ(config.deployment.requestClasses[0].allowedZones, std::vector<unsigned>{1});
  EXPECT_EQ(config.deployment.requestClasses[0].allowedMachineTypes, std::vector<unsigned>{0});
}

}  // namespace
}  // namespace paddletrack::simulator
