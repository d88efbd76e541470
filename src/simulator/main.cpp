// Runs controllers for a simulation: reads batches of events from standard input and writes replies to
// standard output. Exits with 1 if the input does not follow the wire format.
#include <exception>
#include <iostream>

#include "simulator/batch_server.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    paddletrack::simulator::BatchServer().serve(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "paddletrack_simulator: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
