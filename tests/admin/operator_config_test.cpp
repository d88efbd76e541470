// The operator's file: what is read, and how what is wrong is told.
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
  EXPECT_EQ(configError("a = b"), "1:5: expressions are not read: 'b'; a text stands between quotes");
  EXPECT_EQ(configError("a = max(1, 2)"), "1:5: functions are not read: 'max(...)'");
  EXPECT_EQ(configError("a = 1 + 2"), "1:7: expressions are not read: '+' after a value");
  EXPECT_EQ(configError("a = (1)"), "1:5: expressions are not read: '('");
  EXPECT_EQ(configError("a = \"x ${b}\""),
            "1:8: templates are not read: '${'; write '$${' for the text itself");
  EXPECT_EQ(configError("a = [for x in y : x]"), "1:6: expressions are not read: 'for'");
  EXPECT_EQ(configError("a = 20s"),
            "1:5: a number with a unit stands between quotes, as in \"20s\" or \"4MiB\"");
  EXPECT_EQ(configError("a = 1\n\na = 2"), "3:1: 'a' is set twice, first in line 1");
  EXPECT_EQ(configError("a = \"open\nb = 1"), "1:5: a text that does not end in its line");
  EXPECT_EQ(configError("a = \"\\x\""), "1:6: an escape is one of \\n \\r \\t \\\" \\\\ \\uNNNN \\UNNNNNNNN");
  EXPECT_EQ(configError("door {\n  socket = \"/a\"\n"), "3:1: '}' is expected, not the end");
  EXPECT_EQ(configError("door { socket = \"/a\", clients = 2 }"), "1:21: '}' is expected");
  EXPECT_EQ(configError("a = 1 b = 2"), "1:7: after a value the line must end, not go on with 'b'");
  EXPECT_EQ(configError("a = <<END\nx\n"), "1:5: a text without its closing line 'END'");
  EXPECT_EQ(configError("a = 1e999"), "1:5: a number out of range");
  EXPECT_EQ(configError("/* never"), "1:1: a comment that does not end");
  EXPECT_EQ(configError(std::string("a = \"x\0\"", 9)), "1:7: a zero byte");
  EXPECT_EQ(configError("\x01"), "1:1: a name is expected, not the byte 0x01");
  std::string nestedLists = "a = ";
  for (int index = 0; index < 40; ++index) nestedLists += "[";
  EXPECT_EQ(configError(nestedLists), "1:22: nested deeper than 16");
  std::string nestedBlocks;
  for (int item = 0; item < 40; ++item) nestedBlocks += "b {\n";
  EXPECT_EQ(configError(nestedBlocks), "17:4: nested deeper than 16");
  EXPECT_EQ(configError(std::string(hcl::kMaxTextBytes + 1, '#')), "1:1: the file is longer than 256 KiB");
}

// No text crashes or hangs the reader; what it takes apart is within its bounds.
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
            "f:2:3: scoket: no such key in door; 'socket' is meant?");
  EXPECT_EQ(configError("drian {}"), "f:1:1: drian: no such block; 'drain' is meant?");
  EXPECT_EQ(configError("whatever_this_is {}"), "f:1:1: whatever_this_is: no such block");
  EXPECT_EQ(configError("deadline = \"2s\""), "f:1:1: deadline: no such key outside of blocks");
  EXPECT_EQ(configError("drain \"x\" {}"), "f:1:1: drain: no label is expected");
  EXPECT_EQ(configError("drain {}\ndrain {}"), "f:2:1: drain: it stands twice, first in line 1");
  EXPECT_EQ(configError("drain { deadline = 20 }"),
            "f:1:20: drain.deadline: a text is expected, not a number");
  EXPECT_EQ(configError("drain { deadline = \"20\" }"),
            "f:1:20: drain.deadline: '20': a duration is expected, as in \"250ms\", \"20s\" or \"1.5m\"");
  EXPECT_EQ(configError("drain { deadline = \"-2s\" }"),
            "f:1:20: drain.deadline: from 0s to 24h is expected");
  EXPECT_EQ(configError("drain { deadline = \"2h\" }"), "f:1:20: drain.deadline: it is 2h, drain.longest 1h");
  EXPECT_EQ(configError("door { clients = 2.5 }"),
            "f:1:18: door.clients: a whole number from 1 to 64 is expected");
  EXPECT_EQ(configError("door { clients = \"2\" }"),
            "f:1:18: door.clients: a whole number from 1 to 64 is expected, not a text");
  EXPECT_EQ(configError("door { socket = \"run/x\" }"),
            "f:1:17: door.socket: 'unix:run/x': path must be absolute");
  EXPECT_EQ(configError("door { line = \"1GiB\" }"), "f:1:15: door.line: from 256B to 1MiB is expected");
  EXPECT_EQ(configError("reach { prefer = [\"unix\", \"ipv4\"] }"),
            "f:1:18: reach.prefer: a list of \"unix\", \"ipv6\" and \"ipv4\", each once, is expected");
  EXPECT_EQ(configError("reach { prefer = [\"unix\", \"ipv4\", \"ipv5\"] }"),
            "f:1:18: reach.prefer: a list of \"unix\", \"ipv6\" and \"ipv4\", each once, is expected");
  EXPECT_EQ(configError("reach { prefer = [\"ipv4\", \"unix\", \"ipv6\"] }"), "");
  EXPECT_EQ(configError("share {\n  listen = \"127.0.0.1:7946\"\n  peers = [\"127.0.0.2:7946\"]\n}"), "");
  EXPECT_EQ(configError("share { period = \"1s\" }"),
            "f:1:18: share.period: share.listen is expected where share has other keys");
  EXPECT_EQ(configError("share { listen = \"[::1]:7946\" }"),
            "f:1:18: share.listen: '[::1]:7946' is not an IPv4 address and port");
  EXPECT_EQ(configError("share { peers = [\"127.0.0.2:7946\", \"127.0.0.2:7946\"] }"),
            "f:1:17: share.peers: '127.0.0.2:7946' stands twice");
  EXPECT_EQ(configError("share { cluster = \"\" }"),
            "f:1:19: share.cluster: a name of 1 to 32 bytes is expected");
  EXPECT_EQ(configError("log { level = \"loud\" }"),
            "f:1:15: log.level: 'loud': \"debug\", \"info\", \"warning\" or \"error\" is expected");
  EXPECT_EQ(configError("log {\n  topic {}\n}"),
            "f:2:3: log.topic: one label is expected, the topic, as in topic \"dial\" { ... }");
  EXPECT_EQ(configError("log {\n  topic \"dial\" {}\n}"), "f:2:3: log.topic.dial: its level is expected");
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

// ---- what is said at the door --------------------------------------------------------------------------

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
  EXPECT_EQ(requestError("garbage"), "null unreadable: a JSON object a line is expected");
  EXPECT_EQ(requestError("[[[[[[1]]]]]]"), "null unreadable: nested too deep");
  EXPECT_EQ(requestError("\xff\xfe{"), "null unreadable: a JSON object a line is expected");
  EXPECT_EQ(requestError(R"({"id":7,"do":"drain"})"), "7 bad_version: v: the version is expected, 1");
  EXPECT_EQ(requestError(R"({"v":2,"id":7,"do":"drain"})"),
            "7 bad_version: v: this door speaks version 1 alone");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"drian"})"),
            "7 unknown_wish: do: 'drian' is unknown; 'drain' is meant?");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"status","deadline_ms":3})"),
            "7 unknown_key: 'deadline_ms' is not known of status");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"drain","deadline_ms":"3s"})"),
            "7 bad_value: deadline_ms: whole milliseconds are expected");
  EXPECT_EQ(requestError(R"({"v":1,"id":[1],"do":"drain"})"),
            "null bad_value: id: a text or a whole number is expected");
  EXPECT_EQ(requestError(R"({"v":1,"id":7,"do":"watch","every_ms":1})"),
            "7 bad_value: every_ms: from 20 to 3600000 is expected");
  std::string id = "null";
  EXPECT_EQ(parseAdminRequest(R"({"v":1,"do":"drain","deadline_ms":-5})", id).deadline, -1ms);
  EXPECT_GT(*parseAdminRequest(R"({"v":1,"do":"drain","deadline_ms":18446744073709551615})", id).deadline,
            1h);
}

}  // namespace
}  // namespace paddletrack::admin
