// What a build without PADDLETRACK_FAIL_POINTS makes of the numbered points: the bare call, value, or
// nothing.
#undef PADDLETRACK_FAIL_POINTS
#include <gtest/gtest.h>

#include <string_view>

#include "failpoint/failpoint.hpp"

#define PADDLETRACK_TEXT(...) #__VA_ARGS__
#define PADDLETRACK_MADE(...) std::string_view(PADDLETRACK_TEXT(__VA_ARGS__))

namespace {

static_assert(PADDLETRACK_MADE(PADDLETRACK_CALL(1, "read", "EINTR", f(1))) == "(f(1))");
static_assert(PADDLETRACK_MADE(PADDLETRACK_CUT(message, f(1))) == "(f(1))");
static_assert(PADDLETRACK_MADE(PADDLETRACK_SIZE(size)) == "(size)");
static_assert(PADDLETRACK_MADE(PADDLETRACK_TIMER("at", moment)) == "(moment)");
static_assert(PADDLETRACK_MADE(PADDLETRACK_TABLE("jobs")) == "static_cast<void>(0)");
static_assert(PADDLETRACK_MADE(PADDLETRACK_PASS(1, "close")) == "static_cast<void>(0)");
static_assert(PADDLETRACK_MADE(PADDLETRACK_VALUE(1, "connected", "EIO", to)) == "static_cast<void>(0)");
static_assert(PADDLETRACK_MADE(PADDLETRACK_MARK(forget(1))) == "static_cast<void>(0)");

TEST(FailPointDisabled, CallsOnceAndReturnsOwnValueWhenCompiledOut) {
  int calls = 0;
  const auto call = [&] { return ++calls, 7; };
  EXPECT_EQ(PADDLETRACK_CALL(-1, "any", "EINTR", call()), 7);
  EXPECT_EQ(calls, 1);
}

}  // namespace
