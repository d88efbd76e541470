// Every kind of error has its row in the operators' table, and says what happened, where and what to do.
#include "base/error.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

#include "base/logger.hpp"

namespace paddletrack {
namespace {

// The table's rows: cells without their blanks.
std::vector<std::vector<std::string>> readErrorTable() {
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

TEST(ErrorTable, ListsExactlyOneRowWhenErrorKindExists) {
  const auto rows = readErrorTable();
  ASSERT_EQ(rows.size(), kErrorDescriptions.size());
  std::set<std::string> names;
  for (std::size_t index = 0; index < kErrorDescriptions.size(); ++index) {
    const ErrorDescription& kind = kErrorDescriptions[index];
    EXPECT_EQ(static_cast<std::size_t>(kind.kind), index) << kind.name;
    EXPECT_TRUE(names.insert(kind.name).second) << kind.name << " stands twice";
    ASSERT_EQ(rows[index].size(), 5U) << kind.name;
    EXPECT_EQ(rows[index][0], "`" + std::string(kind.name) + "`");
    EXPECT_GT(rows[index][1].size(), 8U) << kind.name << " says nothing of what happened";
    EXPECT_GT(rows[index][2].size(), 5U) << kind.name << " says nothing of what the program does";
    EXPECT_EQ(rows[index][3], std::to_string(kind.exitCode)) << kind.name;
    EXPECT_EQ(rows[index][4], kind.hint) << kind.name;
  }
}

TEST(Logger, WritesKindLocationAndHintFieldsWhenErrorIsLogged) {
  LogRecord heard;
  const Logger say([&](const LogRecord& said) { heard = said; });
  say("dial", Error(ErrorKind::connectFailed, "executor s-1", "no connection"), {{"engine", "s-1"}});
  EXPECT_EQ(heard.message, "executor s-1: no connection");
  EXPECT_EQ(heard.level, LogLevel::warning);
  const std::vector<std::pair<std::string, std::string>> fields(heard.fields.begin(), heard.fields.end());
  const std::vector<std::pair<std::string, std::string>> wanted{
      {"error", "connect_failed"},
      {"where", "executor s-1"},
      {"hint", descriptionOf(ErrorKind::connectFailed).hint},
      {"engine", "s-1"}};
  EXPECT_EQ(fields, wanted);
}

TEST(Error, NamesSystemCallAndCauseAndIsUnexpectedWhenKindIsUnknown) {
  const SystemCallError full("127.0.0.1:1", "socket", EMFILE);
  EXPECT_STREQ(full.what(), "127.0.0.1:1: socket: Too many open files");
  EXPECT_NE(full.hint(), SystemCallError("", "socket", ECONNREFUSED).hint());
  EXPECT_EQ(toError(full, "elsewhere").context(), "127.0.0.1:1");
  const Error other = toError(std::runtime_error("odd"), "there");
  EXPECT_STREQ(other.kindName(), "unexpected");
  EXPECT_STREQ(other.what(), "there: odd");
}

}  // namespace
}  // namespace paddletrack
