// Resource usage of a process, read from /proc.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace paddletrack::loadtest {

/// The resident memory of a process.
struct ResidentMemory {
  double totalMb = 0;      ///< VmRSS.
  double anonymousMb = 0;  ///< RssAnon: without the pages of shared libraries.
};

/// Reads /proc/PID/status. Returns zeros for a process that has exited.
inline ResidentMemory readResidentMemory(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  ResidentMemory memory;
  for (std::string line; std::getline(file, line);) {
    std::istringstream fields(line);
    std::string key;
    double value = 0;
    fields >> key >> value;
    if (key == "VmRSS:") memory.totalMb = value / 1024;
    if (key == "RssAnon:") memory.anonymousMb = value / 1024;
  }
  return memory;
}

/// The user and system time of a process in seconds, from /proc/PID/stat. Returns 0 for a process that has
/// exited.
inline double readCpuSeconds(pid_t pid) {
  // The numbers of the fields in proc(5). The first two, the process id and its name, are skipped.
  constexpr int kStateField = 3;
  constexpr int kUserTimeField = 14;
  constexpr int kSystemTimeField = 15;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  const std::string line((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
  std::string field;
  double ticks = 0;
  for (int index = kStateField; index <= kSystemTimeField && fields >> field; ++index)
    if (index >= kUserTimeField) ticks += std::stod(field);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace paddletrack::loadtest
