// Parsing of the operator's file and of admin requests, and the error messages for invalid input.
#include "admin/operator_config.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admin/admin_protocol.hpp"
#include "hcl/parser.hpp"

namespace paddletrack::admin {
namespace {

using namespace std::chrono_literals;

std::string configError(const std::string& text) {
  try {
    const hcl::Body body = hcl::parse(text);
    parseOperatorConfig(body, "f");
    return "";
  } catch (const hcl::ParseError& error) {
    return std::to_string(error.location.line) + ":" + std::to_string(error.location.column) + ": " +
           error.what();
  } catch (const OperatorConfigError& error) {
    return error.what();
  }
}

TEST(HclParser, ParsesBlocksLabelsValuesAndComments) {
  const hcl::Body body = hcl::parse(
      "# one\n// two\n/* three\n lines */ a = 1.5e2 # behind\n"
      "zone \"east\" hall { x = true }\n"
      "b = [1, \"two\",\n  [false, null], ]\n"
      "c = { k = -3, \"odd key\" : \"v\"\n other = [] }\n"
      "d = \"tab\\t \\\"q\\\" \\\\ \\u00e9\\U0001F600 $${x} %%{y} 50%\"\n"
      "e = <<END\n  two\n    lines\nEND\n"
      "f = <<-END\n    two\n      lines\n    END\n"
      "empty {}\n"
      "outer {\n  inner \"l\" {\n    y = 1\n  }\n}\n");
  ASSERT_EQ(body.attributes.size(), 6U);
  EXPECT_EQ(std::get<double>(body.attributes[0].value.value), 150);
  EXPECT_EQ(body.attributes[0].value.sourceText, "1.5e2");
  EXPECT_EQ(body.attributes[0].location.line, 4U);
  EXPECT_EQ(std::get<hcl::Value::List>(body.attributes[1].value.value).size(), 3U);
  EXPECT_EQ(std::get<hcl::Value::Object>(body.attributes[2].value.value)[1].first, "odd key");
  EXPECT_EQ(std::get<std::string>(body.attributes[3].value.value),
            "tab\t \"q\" \\ \xc3\xa9\xf0\x9f\x98\x80 ${x} %{y} 50%");
  EXPECT_EQ(std::get<std::string>(body.attributes[4].value.value), "  two\n    lines\n");
  EXPECT_EQ(std::get<std::string>(body.attributes[5].value.value), "two\n  lines\n");
  ASSERT_EQ(body.blocks.size(), 3U);
  EXPECT_EQ(body.blocks[0].labels, (std::vector<std::string>{"east", "hall"}));
  EXPECT_EQ(body.blocks[2].body.blocks[0].body.attributes[0].name, "y");
}

TEST(HclParser, ReportsLineAndColumnWhenSyntaxIsUnsupportedOrInvalid) {
  EXPECT_EQ(configError("a = b"), "1:5: expressions are not supported: 'b'; a string must be quoted");
  EXPECT_EQ(configError("a = max(1, 2)"), "1:5: functions are not supported: 'max(...)'");
  EXPECT_EQ(configError("a = 1 + 2"), "1:7: expressions are not supported: '+' after a value");
  EXPECT_EQ(configError("a = (1)"), "1:5: expressions are not supported: '('");
  EXPECT_EQ(configError("a = \"x ${b}\""),
            "1:8: templates are not supported: '${'; write '$${' for the literal text");
  EXPECT_EQ(configError("a = [for x in y : x]"), "1:6: expressions are not supported: 'for'");
  EXPECT_EQ(configError("a = 20s"), "1:5: a number with a unit must be quoted, as in \"20s\" or \"4MiB\"");
  EXPECT_EQ(configError("a = 1\n\na = 2"), "3:1: duplicate key 'a', first defined in line 1");
  EXPECT_EQ(configError("a = \"open\nb = 1"), "1:5: unterminated string; a string must end on the same line");
  EXPECT_EQ(configError("a = \"\\x\""),
            "1:6: unknown escape sequence; expected one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN");
  EXPECT_EQ(configError("door {\n  socket = \"/a\"\n"), "3:1: expected '}', found the end of the file");
  EXPECT_EQ(configError("door { socket = \"/a\", clients = 2 }"), "1:21: expected '}'");
  EXPECT_EQ(configError("a = 1 b = 2"), "1:7: expected the end of the line after a value, found 'b'");
  EXPECT_EQ(configError("a = <<END\nx\n"), "1:5: unterminated heredoc; missing closing line 'END'");
  EXPECT_EQ(configError("a = 1e999"), "1:5: number out of range");
  EXPECT_EQ(configError("/* never"), "1:1: unterminated comment");
  EXPECT_EQ(configError(std::string("a = \"x\0\"", 9)), "1:7: unexpected null byte");
  EXPECT_EQ(configError("\x01"), "1:1: expected a name, found byte 0x01");
  std::string nestedLists = "a = ";
  for (int index = 0; index < 40; ++index) nestedLists += "[";
  EXPECT_EQ(configError(nestedLists), "1:22: nesting exceeds the maximum depth of 16");
  std::string nestedBlocks;
  for (int index = 0; index < 40; ++index) nestedBlocks += "b {\n";
  EXPECT_EQ(configError(nestedBlocks), "17:4: nesting exceeds the maximum depth of 16");
  EXPECT_EQ(configError(std::string(hcl::kMaxTextBytes + 1, '#')), "1:1: the file is longer than 256 KiB");
}

// Arbitrary text must not crash or hang the parser, nor make it read out of bounds.
RC_GTEST_PROP(HclParser, ParsesOrRejectsArbitraryText, ()) {
  static const std::vector<std::string> kParts{
      "a",    " ",      "=",   "{",    "}",      "[",    "]",   ",",  "\n", "\"x\"", "\"",   "<<E\n",
      "E\n",  "1",      "-",   "\\",   "#",      "/*",   "*/",  "${", "%",  ":",     "true", "null",
      "\r\n", "<<-E\n", "\\u", "door", "socket", "\xff", "0x1", "//", "(",  "."};
  std::string text;
  for (int remaining = *rc::gen::inRange(0, 60); remaining > 0; --remaining)
    text += *rc::gen::elementOf(kParts);
  configError(text);
}

TEST(OperatorConfig, ReportsPositionAndKeyWhenFileIsInvalid) {
  EXPECT_EQ(configError("door {\n  scoket = \"/x\"\n}"),
            "f:2:3: scoket: unknown key in door; did you mean 'socket'?");
  EXPECT_EQ(configError("drian {}"), "f:1:1: drian: unknown block; did you mean 'drain'?");
  EXPECT_EQ(configError("whatever_this_is {}"), "f:1:1: whatever_this_is: unknown block");
  EXPECT_EQ(configError("deadline = \"2s\""), "f:1:1: deadline: unknown key outside of any block");
  EXPECT_EQ(configError("drain \"x\" {}"), "f:1:1: drain: must not have a label");
  EXPECT_EQ(configError("drain {}\ndrain {}"), "f:2:1: drain: duplicate block, first defined in line 1");
  EXPECT_EQ(configError("drain { deadline = 20 }"),
            "f:1:20: drain.deadline: expected a string, found a number");
  EXPECT_EQ(configError("drain { deadline = \"20\" }"),
            "f:1:20: drain.deadline: '20': expected a duration such as \"250ms\", \"20s\" or \"1.5m\"");
  EXPECT_EQ(configError("drain { deadline = \"-2s\" }"),
            "f:1:20: drain.deadline: must be from 0s to 24h inclusive");
  EXPECT_EQ(configError("drain { deadline = \"2h\" }"),
            "f:1:20: drain.deadline: must not exceed drain.longest; found 2h, drain.longest is 1h");
  EXPECT_EQ(configError("door { clients = 2.5 }"),
            "f:1:18: door.clients: must be a whole number from 1 to 64 inclusive");
  EXPECT_EQ(configError("door { clients = \"2\" }"),
            "f:1:18: door.clients: must be a whole number from 1 to 64 inclusive; found a string");
  EXPECT_EQ(configError("door { socket = \"run/x\" }"),
            "f:1:17: door.socket: 'unix:run/x': path must be absolute");
  EXPECT_EQ(configError("door { line = \"1GiB\" }"),
            "f:1:15: door.line: must be from 256B to 1MiB inclusive");
  EXPECT_EQ(configError("reach { prefer = [\"unix\", \"ipv4\"] }"),
            "f:1:18: reach.prefer: must be a list of \"unix\", \"ipv6\" and \"ipv4\", each exactly once");
  EXPECT_EQ(configError("reach { prefer = [\"unix\", \"ipv4\", \"ipv5\"] }"),
            "f:1:18: reach.prefer: must be a list of \"unix\", \"ipv6\" and \"ipv4\", each exactly once");
  EXPECT_EQ(configError("reach { prefer = [\"ipv4\", \"unix\", \"ipv6\"] }"), "");
  EXPECT_EQ(configError("share {\n  listen = \"127.0.0.1:7946\"\n  peers = [\"127.0.0.2:7946\"]\n}"), "");
  EXPECT_EQ(configError("share { period = \"1s\" }"),
            "f:1:18: share.period: share.listen must be set when the share block has other keys");
  EXPECT_EQ(configError("share { listen = \"[::1]:7946\" }"),
            "f:1:18: share.listen: expected an IPv4 address and port, found '[::1]:7946'");
  EXPECT_EQ(configError("share { peers = [\"127.0.0.2:7946\", \"127.0.0.2:7946\"] }"),
            "f:1:17: share.peers: duplicate address '127.0.0.2:7946'");
  EXPECT_EQ(configError("share { cluster = \"\" }"),
            "f:1:19: share.cluster: must be a name of 1 to 32 bytes");
  EXPECT_EQ(configError("log { level = \"loud\" }"),
            "f:1:15: log.level: 'loud': must be \"debug\", \"info\", \"warning\" or \"error\"");
  EXPECT_EQ(configError("log {\n  topic {}\n}"),
            "f:2:3: log.topic: expected one label, the topic, as in topic \"dial\" { ... }");
  EXPECT_EQ(configError("log {\n  topic \"dial\" {}\n}"), "f:2:3: log.topic.dial: missing key 'level'");
}

TEST(OperatorConfig, ShowsOriginOfEachValue) {
  const OperatorConfig settings = parseOperatorConfig(
      hcl::parse("drain {\n  deadline = \"1.5m\"\n  notice = \"250ms\"\n}\nlog {\n  topic "
                 "\"dial\" {\n    level = \"error\"\n  }\n}"),
      "op.hcl");
  EXPECT_EQ(settings.drain.defaultDeadline, 90s);
  EXPECT_EQ(settings.topicLevels.at("dial"), LogLevel::error);
  EXPECT_TRUE(settings.adminServer.socketPath.empty());
  const auto describe = [&](const std::string& key) {
    for (const auto& entry : settings.entries)
      if (entry.key == key) return entry.value + " " + entry.origin;
    return std::string();
  };
  EXPECT_EQ(describe("drain.deadline"), "\"90s\" op.hcl:2");
  EXPECT_EQ(describe("drain.notice"), "\"250ms\" op.hcl:3");
  EXPECT_EQ(describe("drain.come_back"), "\"2s\" default");
  EXPECT_EQ(describe("door.unsent"), "\"256KiB\" default");
  EXPECT_EQ(describe("log.topic.dial.level"), "\"error\" op.hcl:7");
}

// ---- admin requests ------------------------------------------------------------------------------------

std::string requestError(const std::string& line) {
  std::string id = "null";
  try {
    parseAdminRequest(line, id);
    return "";
  } catch (const BadRequest& error) {
    return id + " " + error.code + ": " + error.what();
  }
}

TEST(AdminProtocol, ReportsCodeAndRequestIdWhenRequestIsInvalid) {
  EXPECT_EQ(requestError(R"({"v":1,"id":"a","do":"drain","deadline_ms":200})"), "");
  EXPECT_EQ(requestError("garbage"), "null unreadable: expected one JSON object per line");
  EXPECT_EQ(requestError("[[[[[[1]]]]]]"), "null unreadable: nested too deep");
  EXPECT_EQ(requestError("\xff\xfe{"), "null unreadable: expected one JSON object per line");
  EXPECT_EQ(requestError(R"({"id":7,"do":"drain"})"), "7 bad_version: v: must be the protocol version, 1");
  EXPECT_EQ(requestError(R"({"v":2,"id":7,"do":"drain"})"),
            "7 bad_version: v: unsupported version; this admin server supports version 1 only");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"drian"})"),
            "7 unknown_wish: do: unknown command 'drian'; did you mean 'drain'?");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"status","deadline_ms":3})"),
            "7 unknown_key: unknown key 'deadline_ms' for command status");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"drain","deadline_ms":"3s"})"),
            "7 bad_value: deadline_ms: expected a whole number of milliseconds");
  EXPECT_EQ(requestError(R"({"v":1,"id":[1],"do":"drain"})"),
            "null bad_value: id: expected a string or an integer");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"watch","every_ms":1})"),
            "7 bad_value: every_ms: must be from 20 to 3600000 milliseconds");
  std::string id = "null";
  EXPECT_EQ(parseAdminRequest(R"({"v":1,"do":"drain","deadline_ms":-5})", id).deadline, -1ms);
  EXPECT_GT(*parseAdminRequest(R"({"v":1,"do":"drain","deadline_ms":18446744073709551615})", id).deadline,
            1h);
}

}  // namespace
}  // namespace paddletrack::admin
