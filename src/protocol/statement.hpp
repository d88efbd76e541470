#pragma once

#include <cstdint>
#include <string_view>

namespace paddletrack::protocol {

/// Returns the group of tables that a statement reads or writes: the number behind the last underscore in the
/// name of the first table's schema (17 in sales_17.orders), or 0 if there is none.
std::uint32_t parseTableGroup(std::string_view statement);

}  // namespace paddletrack::protocol
