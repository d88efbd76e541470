// Checks that the log lines quoted by the on-call page exist in the source code.
#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

namespace {

std::string readFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns all string literals of src/, one per line, and the system error texts that log lines may contain.
std::string collectLogTexts() {
  static const std::regex kLiteral(R"re("((?:\\.|[^"\\\n])*)")re");
  std::string texts = std::string(std::strerror(ECONNREFUSED)) + "\n";
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(std::string(PADDLETRACK_SOURCE) + "/src")) {
    if (entry.path().extension() != ".cpp" && entry.path().extension() != ".hpp") continue;
    const std::string source = readFile(entry.path());
    for (std::sregex_iterator match(source.begin(), source.end(), kLiteral), end; match != end; ++match)
      texts += (*match)[1].str() + "\n";
  }
  return texts;
}

/// Returns the texts in backticks in the first column of the table of log lines.
std::vector<std::string> collectQuotedLines() {
  const std::string page = readFile(std::string(PADDLETRACK_SOURCE) + "/docs/oncall.md");
  std::istringstream lines(page.substr(page.find("## The real controller's log")));
  std::vector<std::string> quotedLines;
  static const std::regex kQuoted("`([^`]+)`");
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("| ")) continue;
    const std::string firstColumn = line.substr(2, line.find(" |", 2) - 2);
    for (std::sregex_iterator match(firstColumn.begin(), firstColumn.end(), kQuoted), end; match != end;
         ++match)
      quotedLines.push_back((*match)[1].str());
  }
  return quotedLines;
}

}  // namespace

TEST(OncallPage, QuotesOnlyLogTextsOfTheCode) {
  const std::string texts = collectLogTexts();
  const std::vector<std::string> quotedLines = collectQuotedLines();
  EXPECT_GE(quotedLines.size(), 25U);
  // A log line consists of a topic, fixed texts and figures; the page writes "..." for figures.
  static const std::regex kSeparator(R"(\s*(?:\.\.\.|: |->|:$)\s*)");
  for (const std::string& quotedLine : quotedLines)
    for (std::sregex_token_iterator part(quotedLine.begin(), quotedLine.end(), kSeparator, -1), end;
         part != end; ++part)
      EXPECT_NE(texts.find(part->str()), std::string::npos)
          << "'" << part->str() << "' of '" << quotedLine << "' is not a string literal of src/";
}
