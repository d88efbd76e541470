// Hosts controllers on the simulator's wire: batches on standard input, replies on standard output.
#include <exception>
#include <iostream>

#include "simwire/server.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    paddletrack::simwire::Server().serve(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "paddletrack_wirehost: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
