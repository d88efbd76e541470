// Every kind of error has its row in the operators' table, and says what happened, where and what to do.
#include "base/error.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

#include "base/say.hpp"

namespace paddletrack {
namespace {

// The table's rows: cells without their blanks.
std::vector<std::vector<std::string>> table() {
  std::ifstream file(PADDLETRACK_SOURCE "/docs/operating/errors.md");
  std::vector<std::vector<std::string>> rows;
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("| `")) continue;
    std::istringstream cells(line.substr(1));
    std::vector<std::string>& row = rows.emplace_back();
    for (std::string cell; std::getline(cells, cell, '|');)
      row.push_back(cell.substr(1, cell.size() > 1 ? cell.size() - 2 : 0));
  }
  return rows;
}

TEST(Errors, EveryKindHasItsRowInTheTableAndNoRowIsWithoutAKind) {
  const auto rows = table();
  ASSERT_EQ(rows.size(), kErrorKinds.size());
  std::set<std::string> names;
  for (std::size_t each = 0; each < kErrorKinds.size(); ++each) {
    const ErrorRow& kind = kErrorKinds[each];
    EXPECT_EQ(static_cast<std::size_t>(kind.kind), each) << kind.name;
    EXPECT_TRUE(names.insert(kind.name).second) << kind.name << " stands twice";
    ASSERT_EQ(rows[each].size(), 5U) << kind.name;
    EXPECT_EQ(rows[each][0], "`" + std::string(kind.name) + "`");
    EXPECT_GT(rows[each][1].size(), 8U) << kind.name << " says nothing of what happened";
    EXPECT_GT(rows[each][2].size(), 5U) << kind.name << " says nothing of what the program does";
    EXPECT_EQ(rows[each][3], std::to_string(kind.exit)) << kind.name;
    EXPECT_EQ(rows[each][4], kind.hint) << kind.name;
  }
}

TEST(Errors, TheLogHasItsKindItsPlaceAndItsHintAsFields) {
  Said heard;
  const Say say([&](const Said& said) { heard = said; });
  say("dial", Error(ErrorKind::connectFailed, "executor s-1", "no connection"), {{"engine", "s-1"}});
  EXPECT_EQ(heard.line, "executor s-1: no connection");
  EXPECT_EQ(heard.level, Level::warning);
  const std::vector<std::pair<std::string, std::string>> fields(heard.fields.begin(), heard.fields.end());
  const std::vector<std::pair<std::string, std::string>> wanted{
      {"error", "connect_failed"},
      {"where", "executor s-1"},
      {"hint", rowOf(ErrorKind::connectFailed).hint},
      {"engine", "s-1"}};
  EXPECT_EQ(fields, wanted);
}

TEST(Errors, ASystemCallsErrorNamesTheCallAndItsCauseAndOneWithoutAKindIsUnexpected) {
  const SystemFailed full("127.0.0.1:1", "socket", EMFILE);
  EXPECT_STREQ(full.what(), "127.0.0.1:1: socket: Too many open files");
  EXPECT_NE(full.hint(), SystemFailed("", "socket", ECONNREFUSED).hint());
  EXPECT_EQ(typed(full, "elsewhere").where(), "127.0.0.1:1");
  const Error other = typed(std::runtime_error("odd"), "there");
  EXPECT_STREQ(other.name(), "unexpected");
  EXPECT_STREQ(other.what(), "there: odd");
}

}  // namespace
}  // namespace paddletrack
