// The codecs of all protocols, with valid, truncated and malformed input. No sockets are used.
#include <gtest/gtest.h>

#include "protocol/controller_config.hpp"
#include "protocol/endpoint_event.hpp"
#include "protocol/resp.hpp"
#include "protocol/statement.hpp"
#include "protocol/thrift.hpp"

namespace paddletrack::protocol {
namespace {

std::string bigEndianBytes(std::uint64_t value, int size) {
  std::string bytes;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) bytes += static_cast<char>(value >> shift & 0xff);
  return bytes;
}
std::string lengthPrefixed(const std::string& value) { return bigEndianBytes(value.size(), 4) + value; }
std::string thriftMessage(int messageType, const std::string& method, int sequence,
                          const std::string& arguments) {
  return bigEndianBytes(0x80010000U | static_cast<unsigned>(messageType), 4) + lengthPrefixed(method) +
         bigEndianBytes(static_cast<unsigned>(sequence), 4) + arguments;
}
const std::string kSubmitArguments =
    bigEndianBytes(13, 1) + bigEndianBytes(1, 2) + bigEndianBytes(11, 1) + bigEndianBytes(11, 1) +
    bigEndianBytes(2, 4) + lengthPrefixed("service") + lengthPrefixed("report") + lengthPrefixed("allow") +
    lengthPrefixed("1500") + bigEndianBytes(11, 1) + bigEndianBytes(2, 2) + lengthPrefixed("select 1") +
    bigEndianBytes(0, 1);

TEST(ThriftCodec, ReadsSubmitWithoutCopyingStatement) {
  const std::string frame = thriftMessage(1, "submit", 7, kSubmitArguments);
  const thrift::Message message = thrift::decodeMessage(frame);
  EXPECT_EQ(message.method, "submit");
  EXPECT_EQ(message.sequence, 7);
  const thrift::SubmitRequest submit = thrift::decodeSubmit(message.arguments);
  EXPECT_EQ(submit.requestClass, "report");
  EXPECT_EQ(submit.timeoutMs, "1500");
  EXPECT_EQ(submit.statement, "select 1");
  EXPECT_GE(submit.statement.data(), frame.data());
  EXPECT_LT(submit.statement.data(), frame.data() + frame.size());
}

TEST(ThriftCodec, RejectsFrameWhenTruncatedAtAnyByte) {
  const std::string frame = thriftMessage(1, "submit", 7, kSubmitArguments);
  for (std::size_t length = 0; length < frame.size(); ++length) {
    const std::string prefix = frame.substr(0, length);
    EXPECT_THROW(thrift::decodeSubmit(thrift::decodeMessage(prefix).arguments), ParseError) << length;
  }
}

TEST(ThriftCodec, RejectsMessageWhenLengthsDepthsOrTypesAreInvalid) {
  const auto expectRejected = [](const std::string& arguments) {
    EXPECT_THROW(thrift::decodeSubmit(arguments), ParseError);
  };
  expectRejected(bigEndianBytes(13, 1) + bigEndianBytes(1, 2) + bigEndianBytes(11, 1) +
                 bigEndianBytes(11, 1) + bigEndianBytes(0xffffffff, 4));
  expectRejected(bigEndianBytes(11, 1) + bigEndianBytes(2, 2) + bigEndianBytes(0x7fffffff, 4) + "x");
  expectRejected(bigEndianBytes(15, 1) + bigEndianBytes(9, 2) + bigEndianBytes(12, 1) +
                 bigEndianBytes(0x7fffffff, 4));
  expectRejected(bigEndianBytes(8, 1) + bigEndianBytes(2, 2) + bigEndianBytes(1, 4) + bigEndianBytes(0, 1));
  expectRejected(kSubmitArguments + "x");  // Bytes after the end of the message.
  expectRejected(kSubmitArguments.substr(0, kSubmitArguments.size() - 1) +
                 kSubmitArguments);  // All fields are repeated.
  expectRejected(bigEndianBytes(11, 1) + bigEndianBytes(2, 2) + lengthPrefixed("") +
                 bigEndianBytes(0, 1));  // The statement is empty.
  std::string emptyValue = kSubmitArguments;
  expectRejected(emptyValue.replace(emptyValue.find(lengthPrefixed("1500")), 8, lengthPrefixed("")));
  std::string nestedFields = bigEndianBytes(12, 1) + bigEndianBytes(9, 2);
  for (int level = 0; level < 1000; ++level) nestedFields += bigEndianBytes(12, 1) + bigEndianBytes(1, 2);
  expectRejected(nestedFields);
  EXPECT_THROW(thrift::decodeMessage(bigEndianBytes(0x00000001, 4) + lengthPrefixed("submit")), ParseError);
}

TEST(ThriftCodec, CountsFollowingBodyInResponseLengthAndWritesCooldownWhenGiven) {
  const std::string head = thrift::encodeAnswerHead(3, 5);
  const std::string frame = head + "a\tb\tc" + std::string(thrift::encodeAnswerTail());
  EXPECT_EQ(thrift::readFrameLength(frame), frame.size() - thrift::kFrameHeaderBytes);
  EXPECT_FALSE(thrift::readFrameLength(frame.substr(0, 3)));
  EXPECT_EQ(thrift::encodeRejection(3, 250).find("cooldown") == std::string::npos, false);
  EXPECT_EQ(thrift::encodeRejection(3, std::nullopt).find("cooldown"), std::string::npos);
}

TEST(RespCodec, ReadsResponseOnlyWhenComplete) {
  const std::string input = "*4\r\n$4\r\nab12\r\n$3\r\n200\r\n$9\r\nbatches=3\r\n$4\r\na\r\nb\r\n";
  for (std::size_t length = 0; length < input.size(); ++length)
    EXPECT_EQ(resp::parseArray(input.substr(0, length)).size, 0U);
  const std::string inputWithNext = input + "*1";
  const resp::Array array = resp::parseArray(inputWithNext);
  ASSERT_EQ(array.size, input.size());
  const resp::Answer answer = resp::parseAnswer(array);
  EXPECT_EQ(answer.id, "ab12");
  EXPECT_EQ(answer.kind, resp::AnswerKind::ok);
  EXPECT_EQ(answer.pageCount, 3U);
  EXPECT_EQ(answer.body, "a\r\nb");
}

TEST(RespCodec, RejectsMalformedResponses) {
  for (const char* input : {"+OK\r\n", "*99\r\n", "*-1\r\n", "*1\r\n$99999999\r\n", "*1\r\n:3\r\n",
                            "*1\r\n$2\r\nabc\r\n", "*1234567890123456789"})
    EXPECT_THROW(resp::parseArray(input), ParseError) << input;
  const auto answer = [](const std::string& input) { return resp::parseAnswer(resp::parseArray(input)); };
  EXPECT_THROW(answer("*1\r\n$1\r\na\r\n"), ParseError);
  EXPECT_EQ(answer("*2\r\n$1\r\na\r\n$3\r\nodd\r\n").kind, resp::AnswerKind::unknown);
  EXPECT_THROW(answer("*2\r\n$1\r\na\r\n$3\r\n2#0\r\n"), ParseError);
  EXPECT_THROW(answer("*3\r\n$1\r\na\r\n$5\r\nchunk\r\n$1\r\n-\r\n"), ParseError);
  EXPECT_THROW(answer("*3\r\n$1\r\na\r\n$3\r\n200\r\n$9\r\nbatches=x\r\n"), ParseError);
}

TEST(RespCodec, WritesRequestOptionsInAskCommand) {
  EXPECT_EQ(
      resp::encodeAskHead("ab", "report", {1500, 95.2, 3}, 8) + "select 1" + std::string(resp::kAskTail),
      "*4\r\n$3\r\nASK\r\n$2\r\nab\r\n$35\r\nclass=report,wait=1500,mb=96,nice=3\r\n$8\r\nselect 1\r\n");
  EXPECT_NE(resp::encodeAskHead("ab", "report", {1, 0, std::nullopt}, 0).find("class=report,wait=1\r\n"),
            std::string::npos);
}

TEST(RespCodec, WritesIdempotencyKeyInAskCommand) {
  resp::AskOptions options;
  options.timeoutMs = 1;
  options.idempotencyKey = "a76a927d";
  EXPECT_NE(resp::encodeAskHead("ab", "load", options, 0).find("class=load,wait=1,once=a76a927d\r\n"),
            std::string::npos);
}

TEST(StatementParser, ReadsTableGroupFromSchemaNumber) {
  EXPECT_EQ(parseTableGroup("SELECT a.x FROM sales_17.orders a WHERE a.y = 'from log_3.t'"), 17U);
  EXPECT_EQ(
      parseTableGroup(
          "select 'it''s from a_1.t', x from -- from b_2.t\n /* c_3.t /* nested */ from d_4.t */ e_5.t"),
      5U);
  EXPECT_EQ(parseTableGroup("insert into staging.tmp select * from \"Sales_Big_9\".\"or\"\"ders\""), 9U);
  EXPECT_EQ(
      parseTableGroup("update stock_8.bins set n = 1.5e3 where id in (select t_2.id from staging.x t_2)"),
      8U);
  EXPECT_EQ(
      parseTableGroup("select o_1.a, p_2.b from shop_44.orders o_1 join shop_44.parts p_2 on o_1.i = p_2.i"),
      44U);
  EXPECT_EQ(parseTableGroup("select * from staging.a, depot_6.b"), 6U);
  EXPECT_EQ(parseTableGroup("delete from only shelf_12.rows where x = \"odd from z_1.t"), 12U);
  for (const char* statement :
       {"", "select 1", "select * from orders", "select * from sales.orders", "from",
        "select * from sales_x.orders", "select 'unfinished from s_1.t", "/* from s_1.t",
        "select \"from s_1.t", "select * from s_99999999999.t", "select * from ("})
    EXPECT_EQ(parseTableGroup(statement), 0U) << statement;
}

TEST(JsonParser, ParsesValidTextAndRejectsInvalidText) {
  const Json document =
      parseJson(" {\"a\": [1, -2.5e1, true, null, \"\\u00e9\\ud83d\\ude00\\n\"], \"b\": {}} ");
  EXPECT_EQ(std::get<double>(document.getArray("a")[1].value), -25);
  EXPECT_EQ(std::get<std::string>(document.getArray("a")[4].value), "\xc3\xa9\xf0\x9f\x98\x80\n");
  for (const char* invalidText :
       {"", "{", "[1,]", "{\"a\":1,}", "01", "1.", "+1", "nul", "\"\\x\"", "\"\\ud800\"", "\"\t\"", "1 2",
        "{\"a\":1,\"a\":2}", "{a:1}", "[1 2]", "\"open", "-", "1e"})
    EXPECT_THROW(parseJson(invalidText), ParseError) << invalidText;
  EXPECT_THROW(parseJson(std::string(100000, '[')), ParseError);
}

TEST(EndpointListCodec, ReadsEventsAndHeartbeatsAndReportsFaults) {
  const EndpointListLine event = parseEndpointListLine(
      R"({"seq":41,"fleet":{"version":7,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.9:8443","zone":"east",)"
      R"("kind":"std","cell":2,"state":"leaving","weight":4,"started_ms":1700000000123}]}})");
  ASSERT_TRUE(event.event);
  EXPECT_EQ(event.sequence, 41U);
  EXPECT_EQ(event.event->entries[0].state, EndpointState::draining);
  EXPECT_EQ(event.event->entries[0].startedAtMs, 1700000000123);
  EXPECT_EQ(parseEndpointListLine("41").sequence, 41U);
  EXPECT_FALSE(parseEndpointListLine("41").event);
  const auto failsWith = [](const char* line, const char* fragment) {
    try {
      parseEndpointListLine(line);
    } catch (const ParseError& error) {
      return std::string(error.what()).find(fragment) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(failsWith("forty", "neither"));
  EXPECT_TRUE(failsWith("{\"seq\":-1}", "seq"));
  EXPECT_TRUE(failsWith("{\"seq\":1,\"fleet\":{\"full\":true,\"servers\":[{}]}}", "id: is missing"));
  EXPECT_TRUE(failsWith(
      R"({"seq":1,"fleet":{"full":true,"servers":[{"id":"a","addr":"b","zone":"c","kind":"d","cell":0,"state":"odd","started_ms":0}]}})",
      "odd"));
}

TEST(ControllerConfig, ReportsKeyWhenNumberIsInvalid) {
  for (const char* line : {"balancers=-1", "tickUs=1e300", "limits.streamsPerConn=nan", "zone=x"}) {
    const std::string key = std::string(line).substr(0, std::string(line).find('='));
    try {
      decodeControllerConfig(
          flattenLines("profiles.count=1\nprofiles.0.idempotency=retryable\n" + std::string(line) + "\n"));
      ADD_FAILURE() << line;
    } catch (const ParseError& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

TEST(ControllerConfig, ReadsMemoryPagingAndGrantLimit) {
  const std::string machineSettings =
      "machineTypes=a,b\nfamilyInfo.kindCores=16,12\nfamilyInfo.memoryByKindMb=32768.0,24576.0\n"
      "profiles.count=1\nprofiles.0.idempotency=retryable\n";
  const ControllerConfig pagedConfig = decodeControllerConfig(
      flattenLines(machineSettings + "familyInfo.memoryShort=page\nfamilyInfo.grantCap=0.5\n"));
  EXPECT_TRUE(pagedConfig.deployment.allowsMemoryOvercommit);
  EXPECT_EQ(pagedConfig.deployment.maxMemoryGrantMb, 16384);
  EXPECT_FALSE(decodeControllerConfig(flattenLines(machineSettings + "familyInfo.memoryShort=wait\n"))
                   .deployment.allowsMemoryOvercommit);
  // Without a limit the engine chooses the grant.
  EXPECT_EQ(decodeControllerConfig(flattenLines(machineSettings)).deployment.maxMemoryGrantMb, 0);
  EXPECT_THROW(decodeControllerConfig(flattenLines(machineSettings + "familyInfo.grantCap=-1\n")),
               ParseError);
}

TEST(ControllerConfig, DecodesFlatLinesAndJsonAlike) {
  const ControllerConfig fromLines = decodeControllerConfig(flattenLines(
      "balancers=2\nzones=a,b\nmachineTypes=m\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name=q\n"
      "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=500000\nlimits.cancelling=true\nlimits."
      "streamsPerConn=4\n"));
  const ControllerConfig fromJson = decodeControllerConfig(flattenJson(parseJson(
      R"({"balancers":2,"zones":["a","b"],"machineTypes":["m"],"familyInfo":{"kindCores":[8.0]},"tenants":[],)"
      R"("profiles":[{"name":"q","idempotency":"retryable","onTimeUs":500000,"confinedTo":null}],)"
      R"("limits":{"cancelling":true,"streamsPerConn":4}})")));
  for (const ControllerConfig* config : {&fromLines, &fromJson}) {
    EXPECT_EQ(config->deployment.controllerCount, 2U);
    EXPECT_EQ(config->zoneNames, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(config->requestClassNames, std::vector<std::string>{"q"});
    EXPECT_EQ(config->deployment.machineTypes[0].cores, 8);
    EXPECT_EQ(config->deployment.requestClasses[0].latencyObjective, Duration{500000});
    EXPECT_FALSE(config->deployment.requestClasses[0].allowedZones);
    EXPECT_TRUE(config->deployment.allowsCancellation);
    EXPECT_EQ(config->maxAttemptsPerConnection, 4U);
    EXPECT_TRUE(config->tenantNames.empty());
  }
}

}  // namespace
}  // namespace paddletrack::protocol
