// A directory for the files of one run.
#pragma once

#include <string>

namespace paddletrack::fakes {

/// Creates a directory under $TMPDIR (or /tmp) and removes it with its contents at the end of its scope.
class TemporaryDirectory {
 public:
  /// Throws std::runtime_error if the directory can't be created.
  TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  ~TemporaryDirectory();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace paddletrack::fakes
