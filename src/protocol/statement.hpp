#pragma once

#include <cstdint>
#include <string_view>

namespace paddletrack::protocol {

// The group of tables that a statement reads or writes: the number behind the underscore in the name of
// the schema (17 in sales_17.orders); 0 where there is none.
std::uint32_t parseTableGroup(std::string_view statement);

}  // namespace paddletrack::protocol
