// Without PADDLETRACK_FAIL_POINTS a fail point expands to the bare call, the bare value or nothing.
#undef PADDLETRACK_FAIL_POINTS
#include <gtest/gtest.h>

#include <string_view>

#include "failpoint/failpoint.hpp"

#define PADDLETRACK_TEXT(...) #__VA_ARGS__
#define PADDLETRACK_EXPANSION(...) std::string_view(PADDLETRACK_TEXT(__VA_ARGS__))

namespace {

static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_CALL(1, "read", "EINTR", f(1))) == "(f(1))");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_TRUNCATED(message, f(1))) == "(f(1))");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_IO_SIZE(size)) == "(size)");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_TIMER("at", moment)) == "(moment)");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_TABLE("jobs")) == "static_cast<void>(0)");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_HIT(1, "close")) == "static_cast<void>(0)");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_ERRNO(1, "connected", "EIO", to)) == "static_cast<void>(0)");
static_assert(PADDLETRACK_EXPANSION(PADDLETRACK_IF_FAIL_POINTS(forget(1))) == "static_cast<void>(0)");

TEST(FailPointDisabled, CallsOnceAndReturnsOwnValueWhenCompiledOut) {
  int calls = 0;
  const auto call = [&] {
    ++calls;
    return 7;
  };
  EXPECT_EQ(PADDLETRACK_CALL(-1, "any", "EINTR", call()), 7);
  EXPECT_EQ(calls, 1);
}

}  // namespace
