// Temporary directory for the files of one run.
#pragma once

#include <string>

namespace paddletrack::fakes {

/// Creates a directory under $TMPDIR (or /tmp). The destructor removes it with its contents.
class TemporaryDirectory {
 public:
  /// Throws std::runtime_error if the directory cannot be created.
  TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  ~TemporaryDirectory();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace paddletrack::fakes
