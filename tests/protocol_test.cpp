// What peers may write, cut at every byte and bent; no sockets.
#include <gtest/gtest.h>

#include "protocol/change_log.hpp"
#include "protocol/resp.hpp"
#include "protocol/settings.hpp"
#include "protocol/statement.hpp"
#include "protocol/thrift.hpp"

namespace paddletrack::protocol {
namespace {

std::string whole(std::uint64_t value, int size) {
  std::string out;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
  return out;
}
std::string text(const std::string& value) { return whole(value.size(), 4) + value; }
std::string message(int kind, const std::string& method, int sequence, const std::string& arguments) {
  return whole(0x80010000U | static_cast<unsigned>(kind), 4) + text(method) +
         whole(static_cast<unsigned>(sequence), 4) + arguments;
}
const std::string kSubmit = whole(13, 1) + whole(1, 2) + whole(11, 1) + whole(11, 1) + whole(2, 4) +
                            text("service") + text("report") + text("allow") + text("1500") + whole(11, 1) +
                            whole(2, 2) + text("select 1") + whole(0, 1);

TEST(Thrift, ASubmitIsReadInPlace) {
  const std::string frame = message(1, "submit", 7, kSubmit);
  const thrift::Message read = thrift::readMessage(frame);
  EXPECT_EQ(read.method, "submit");
  EXPECT_EQ(read.sequence, 7);
  const thrift::Submit submit = thrift::readSubmit(read.arguments);
  EXPECT_EQ(submit.type, "report");
  EXPECT_EQ(submit.allow, "1500");
  EXPECT_EQ(submit.statement, "select 1");
  EXPECT_GE(submit.statement.data(), frame.data());
  EXPECT_LT(submit.statement.data(), frame.data() + frame.size());
}

TEST(Thrift, AFrameCutAtAnyByteIsRefusedNotOverrun) {
  const std::string frame = message(1, "submit", 7, kSubmit);
  for (std::size_t cut = 0; cut < frame.size(); ++cut) {
    const std::string part = frame.substr(0, cut);
    EXPECT_THROW(thrift::readSubmit(thrift::readMessage(part).arguments), Unreadable) << cut;
  }
}

TEST(Thrift, HostileLengthsDepthsAndTypesAreRefused) {
  const auto refused = [](const std::string& arguments) {
    EXPECT_THROW(thrift::readSubmit(arguments), Unreadable);
  };
  refused(whole(13, 1) + whole(1, 2) + whole(11, 1) + whole(11, 1) + whole(0xffffffff, 4));
  refused(whole(11, 1) + whole(2, 2) + whole(0x7fffffff, 4) + "x");
  refused(whole(15, 1) + whole(9, 2) + whole(12, 1) + whole(0x7fffffff, 4));
  refused(whole(8, 1) + whole(2, 2) + whole(1, 4) + whole(0, 1));
  refused(kSubmit + "x");                                        // bytes behind the end
  refused(kSubmit.substr(0, kSubmit.size() - 1) + kSubmit);      // all fields twice
  refused(whole(11, 1) + whole(2, 2) + text("") + whole(0, 1));  // no statement
  std::string empty = kSubmit;
  refused(empty.replace(empty.find(text("1500")), 8, text("")));
  std::string deep = whole(12, 1) + whole(9, 2);
  for (int level = 0; level < 1000; ++level) deep += whole(12, 1) + whole(1, 2);
  refused(deep);
  EXPECT_THROW(thrift::readMessage(whole(0x00000001, 4) + text("submit")), Unreadable);
}

TEST(Thrift, AnAnswersLengthCountsTheBodyThatFollows) {
  const std::string head = thrift::answerHead(3, 5);
  const std::string frame = head + "a\tb\tc" + std::string(thrift::answerTail());
  EXPECT_EQ(thrift::frameLength(frame), frame.size() - thrift::kFrameHead);
  EXPECT_FALSE(thrift::frameLength(frame.substr(0, 3)));
  EXPECT_EQ(thrift::shed(3, 250).find("cooldown") == std::string::npos, false);
  EXPECT_EQ(thrift::shed(3, std::nullopt).find("cooldown"), std::string::npos);
}

TEST(Resp, AnAnswerIsReadOnceItIsWhole) {
  const std::string input = "*4\r\n$4\r\nab12\r\n$3\r\n200\r\n$9\r\nbatches=3\r\n$4\r\na\r\nb\r\n";
  for (std::size_t cut = 0; cut < input.size(); ++cut) EXPECT_EQ(resp::read(input.substr(0, cut)).size, 0U);
  const std::string more = input + "*1";
  const resp::Array array = resp::read(more);
  ASSERT_EQ(array.size, input.size());
  const resp::Answer answer = resp::readAnswer(array);
  EXPECT_EQ(answer.id, "ab12");
  EXPECT_EQ(answer.word, resp::Word::ok);
  EXPECT_EQ(answer.pages, 3U);
  EXPECT_EQ(answer.body, "a\r\nb");
}

TEST(Resp, WhatIsNoAnswerIsRefused) {
  for (const char* input : {"+OK\r\n", "*99\r\n", "*-1\r\n", "*1\r\n$99999999\r\n", "*1\r\n:3\r\n",
                            "*1\r\n$2\r\nabc\r\n", "*1234567890123456789"})
    EXPECT_THROW(resp::read(input), Unreadable) << input;
  const auto answer = [](const std::string& input) { return resp::readAnswer(resp::read(input)); };
  EXPECT_THROW(answer("*1\r\n$1\r\na\r\n"), Unreadable);
  EXPECT_EQ(answer("*2\r\n$1\r\na\r\n$3\r\nodd\r\n").word, resp::Word::other);
  EXPECT_THROW(answer("*2\r\n$1\r\na\r\n$3\r\n2#0\r\n"), Unreadable);
  EXPECT_THROW(answer("*3\r\n$1\r\na\r\n$5\r\nchunk\r\n$1\r\n-\r\n"), Unreadable);
  EXPECT_THROW(answer("*3\r\n$1\r\na\r\n$3\r\n200\r\n$9\r\nbatches=x\r\n"), Unreadable);
}

TEST(Resp, AnAskCarriesItsTerms) {
  EXPECT_EQ(
      resp::askHead("ab", "report", {1500, 95.2, 3}, 8) + "select 1" + std::string(resp::kAskTail),
      "*4\r\n$3\r\nASK\r\n$2\r\nab\r\n$35\r\nclass=report,wait=1500,mb=96,nice=3\r\n$8\r\nselect 1\r\n");
  EXPECT_NE(resp::askHead("ab", "report", {1, 0, std::nullopt}, 0).find("class=report,wait=1\r\n"),
            std::string::npos);
}

TEST(Resp, AnAskCarriesTheKeyByWhichARepeatIsKnown) {
  resp::Terms terms;
  terms.waitMs = 1;
  terms.idempotencyKey = "a76a927d";
  EXPECT_NE(resp::askHead("ab", "load", terms, 0).find("class=load,wait=1,once=a76a927d\r\n"),
            std::string::npos);
}

TEST(Statement, TheGroupIsTheNumberOfTheTablesSchema) {
  EXPECT_EQ(tableGroup("SELECT a.x FROM sales_17.orders a WHERE a.y = 'from log_3.t'"), 17U);
  EXPECT_EQ(
      tableGroup(
          "select 'it''s from a_1.t', x from -- from b_2.t\n /* c_3.t /* nested */ from d_4.t */ e_5.t"),
      5U);
  EXPECT_EQ(tableGroup("insert into staging.tmp select * from \"Sales_Big_9\".\"or\"\"ders\""), 9U);
  EXPECT_EQ(tableGroup("update stock_8.bins set n = 1.5e3 where id in (select t_2.id from staging.x t_2)"),
            8U);
  EXPECT_EQ(tableGroup("select o_1.a, p_2.b from shop_44.orders o_1 join shop_44.parts p_2 on o_1.i = p_2.i"),
            44U);
  EXPECT_EQ(tableGroup("select * from staging.a, depot_6.b"), 6U);
  EXPECT_EQ(tableGroup("delete from only shelf_12.rows where x = \"odd from z_1.t"), 12U);
  for (const char* none : {"", "select 1", "select * from orders", "select * from sales.orders", "from",
                           "select * from sales_x.orders", "select 'unfinished from s_1.t", "/* from s_1.t",
                           "select \"from s_1.t", "select * from s_99999999999.t", "select * from ("})
    EXPECT_EQ(tableGroup(none), 0U) << none;
}

TEST(Json, ReadsWhatTheStandardAllowsAndNothingElse) {
  const Json read = parseJson(" {\"a\": [1, -2.5e1, true, null, \"\\u00e9\\ud83d\\ude00\\n\"], \"b\": {}} ");
  EXPECT_EQ(std::get<double>(read.list("a")[1].value), -25);
  EXPECT_EQ(std::get<std::string>(read.list("a")[4].value), "\xc3\xa9\xf0\x9f\x98\x80\n");
  for (const char* wrong : {"", "{", "[1,]", "{\"a\":1,}", "01", "1.", "+1", "nul", "\"\\x\"", "\"\\ud800\"",
                            "\"\t\"", "1 2", "{\"a\":1,\"a\":2}", "{a:1}", "[1 2]", "\"open", "-", "1e"})
    EXPECT_THROW(parseJson(wrong), Unreadable) << wrong;
  EXPECT_THROW(parseJson(std::string(100000, '[')), Unreadable);
}

TEST(ChangeLog, EventsAndBeatsAreReadAndFaultsNamed) {
  const Line event = readLine(
      R"({"seq":41,"fleet":{"version":7,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.9:8443","zone":"east",)"
      R"("kind":"std","cell":2,"state":"leaving","weight":4,"started_ms":1700000000123}]}})");
  ASSERT_TRUE(event.change);
  EXPECT_EQ(event.number, 41U);
  EXPECT_EQ(event.change->entries[0].standing, Standing::draining);
  EXPECT_EQ(event.change->entries[0].startedMs, 1700000000123);
  EXPECT_EQ(readLine("41").number, 41U);
  EXPECT_FALSE(readLine("41").change);
  const auto says = [](const char* line, const char* what) {
    try {
      readLine(line);
    } catch (const Unreadable& error) {
      return std::string(error.what()).find(what) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(says("forty", "neither"));
  EXPECT_TRUE(says("{\"seq\":-1}", "seq"));
  EXPECT_TRUE(says("{\"seq\":1,\"fleet\":{\"full\":true,\"servers\":[{}]}}", "id: is missing"));
  EXPECT_TRUE(says(
      R"({"seq":1,"fleet":{"full":true,"servers":[{"id":"a","addr":"b","zone":"c","kind":"d","cell":0,"state":"odd","started_ms":0}]}})",
      "odd"));
}

TEST(Settings, AFigureThatCantBeMeantIsNamed) {
  for (const char* line : {"balancers=-1", "tickUs=1e300", "limits.streamsPerConn=nan", "zone=x"}) {
    const std::string key = std::string(line).substr(0, std::string(line).find('='));
    try {
      decode(pathsOfLines("profiles.count=1\nprofiles.0.idempotency=retryable\n" + std::string(line) + "\n"));
      ADD_FAILURE() << line;
    } catch (const Unreadable& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

TEST(Settings, WhatOneJobGetsOfTheMemoryAndWhatGrantsPastItDo) {
  const std::string fleet =
      "machineTypes=a,b\nfamilyInfo.kindCores=16,12\nfamilyInfo.memoryByKindMb=32768.0,24576.0\n"
      "profiles.count=1\nprofiles.0.idempotency=retryable\n";
  const Told paged = decode(pathsOfLines(fleet + "familyInfo.memoryShort=page\nfamilyInfo.grantCap=0.5\n"));
  EXPECT_TRUE(paged.deployment.memoryPages);
  EXPECT_EQ(paged.deployment.mostGrantMb, 16384);
  EXPECT_FALSE(decode(pathsOfLines(fleet + "familyInfo.memoryShort=wait\n")).deployment.memoryPages);
  // Untold: the engine's own choice.
  EXPECT_EQ(decode(pathsOfLines(fleet)).deployment.mostGrantMb, 0);
  EXPECT_THROW(decode(pathsOfLines(fleet + "familyInfo.grantCap=-1\n")), Unreadable);
}

TEST(Settings, BothFormsDecodeAlike) {
  const Told lines = decode(pathsOfLines(
      "balancers=2\nzones=a,b\nmachineTypes=m\nfamilyInfo.kindCores=8\nprofiles.count=1\nprofiles.0.name=q\n"
      "profiles.0.idempotency=retryable\nprofiles.0.onTimeUs=500000\nlimits.cancelling=true\nlimits."
      "streamsPerConn=4\n"));
  const Told json = decode(pathsOfJson(parseJson(
      R"({"balancers":2,"zones":["a","b"],"machineTypes":["m"],"familyInfo":{"kindCores":[8.0]},"tenants":[],)"
      R"("profiles":[{"name":"q","idempotency":"retryable","onTimeUs":500000,"confinedTo":null}],)"
      R"("limits":{"cancelling":true,"streamsPerConn":4}})")));
  for (const Told* told : {&lines, &json}) {
    EXPECT_EQ(told->deployment.controllers, 2U);
    EXPECT_EQ(told->locationNames, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(told->typeNames, std::vector<std::string>{"q"});
    EXPECT_EQ(told->deployment.machines[0].cores, 8);
    EXPECT_EQ(told->deployment.types[0].slaTime, Span{500000});
    EXPECT_FALSE(told->deployment.types[0].locations);
    EXPECT_TRUE(told->deployment.mayWithdraw);
    EXPECT_EQ(told->sharedBy, 4U);
    EXPECT_TRUE(told->customerNames.empty());
  }
}

}  // namespace
}  // namespace paddletrack::protocol
