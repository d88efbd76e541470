// Checks that the table in docs/operating/errors.md has one row per error kind, with its exit code and hint.
#include "base/error.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

#include "base/logger.hpp"

namespace paddletrack {
namespace {

// Returns the rows of the table as lists of cells without surrounding spaces.
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
    EXPECT_TRUE(names.insert(kind.name).second) << kind.name << " is listed twice";
    ASSERT_EQ(rows[index].size(), 5U) << kind.name;
    EXPECT_EQ(rows[index][0], "`" + std::string(kind.name) + "`");
    EXPECT_GT(rows[index][1].size(), 8U) << kind.name << " does not describe the error";
    EXPECT_GT(rows[index][2].size(), 5U) << kind.name << " does not describe the program's reaction";
    EXPECT_EQ(rows[index][3], std::to_string(kind.exitCode)) << kind.name;
    EXPECT_EQ(rows[index][4], kind.hint) << kind.name;
  }
}

TEST(Logger, WritesKindLocationAndHintFieldsWhenErrorIsLogged) {
  LogRecord record;
  const Logger logger([&](const LogRecord& loggedRecord) { record = loggedRecord; });
  logger.warning("dial", Error(ErrorKind::connectFailed, "engine s-1", "no connection"), {{"engine", "s-1"}});
  EXPECT_EQ(record.message, "engine s-1: no connection");
  EXPECT_EQ(record.level, LogLevel::warning);
  std::vector<std::pair<std::string, std::string>> fields;
  for (const auto& [name, value] : record.fields) fields.emplace_back(name, value);
  const std::vector<std::pair<std::string, std::string>> expectedFields{
      {"error", "connect_failed"},
      {"where", "engine s-1"},
      {"hint", descriptionOf(ErrorKind::connectFailed).hint},
      {"engine", "s-1"}};
  EXPECT_EQ(fields, expectedFields);
}

TEST(Error, NamesSystemCallAndCauseAndIsUnexpectedWhenKindIsUnknown) {
  const SystemCallError tooManyFiles("127.0.0.1:1", "socket", EMFILE);
  EXPECT_STREQ(tooManyFiles.what(), "127.0.0.1:1: socket: Too many open files");
  EXPECT_NE(tooManyFiles.hint(), SystemCallError("", "socket", ECONNREFUSED).hint());
  EXPECT_EQ(toError(tooManyFiles, "elsewhere").context(), "127.0.0.1:1");
  const Error unexpectedError = toError(std::runtime_error("failure"), "location");
  EXPECT_STREQ(unexpectedError.kindName(), "unexpected");
  EXPECT_STREQ(unexpectedError.what(), "location: failure");
}

}  // namespace
}  // namespace paddletrack
