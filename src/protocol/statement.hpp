#pragma once

#include <cstdint>
#include <string_view>

namespace paddletrack::protocol {

/// Returns the group of tables that a statement reads or writes: the number after the last underscore in the
/// schema name of the first table whose schema has one (17 in sales_17.orders). The schema `staging` is
/// skipped. Returns 0 if no table has a group.
std::uint32_t parseTableGroup(std::string_view statement);

}  // namespace paddletrack::protocol
