// Hosts controllers on the simulator's wire: batches on standard input, replies on standard output.
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
