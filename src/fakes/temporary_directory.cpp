#include "fakes/temporary_directory.hpp"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace paddletrack::fakes {

TemporaryDirectory::TemporaryDirectory() {
  const char* baseDirectory = std::getenv("TMPDIR");
  path_ = std::string(baseDirectory && *baseDirectory ? baseDirectory : "/tmp") + "/paddletrack.XXXXXX";
  if (!::mkdtemp(path_.data())) throw std::runtime_error(path_ + ": cannot create directory");
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace paddletrack::fakes
