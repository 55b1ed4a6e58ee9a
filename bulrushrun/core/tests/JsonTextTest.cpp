#include "bulrushrun/core.h"
#include "bulrushrun/net/tests/PeakMemory.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

std::string repeat(const std::string& aPart, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aPart;
  }
  return text;
}

/// Guards against a text within its limit that takes many times its bytes once it is parsed.
TEST(JsonTextTest, MemoryIsBounded)
{
  constexpr std::size_t kBytes = std::size_t{ 4 } * 1024 * 1024;
  constexpr std::size_t kMaxGrowth = std::size_t{ 48 } * 1024 * 1024;
  const std::string texts[] = { repeat("[", kBytes),
                                repeat("{\"a\":", kBytes),
                                "[" + repeat("[],", kBytes) + "0]",
                                "[" + repeat("{},", kBytes) + "0]",
                                "[" + repeat("\"\",", kBytes) + "0]",
                                "[" + repeat("1,", kBytes) + "0]" };
  for (const std::string& text : texts) {
    SCOPED_TRACE(text.substr(0, 8));
    const PeakMemory memory;
    EXPECT_TRUE(parseJson(text).is_discarded());
    EXPECT_LT(memory.growth(), kMaxGrowth);
  }
}

/// Guards against an end of the process by deep nesting within the limit.
TEST(JsonTextTest, DeepNestingWithinTheLimitIsBounded)
{
  constexpr std::size_t kDepth = 390'000;
  constexpr std::size_t kMaxGrowth = std::size_t{ 48 } * 1024 * 1024;
  const std::string text = std::string(kDepth, '[') + std::string(kDepth, ']');
  const PeakMemory memory;
  EXPECT_TRUE(parseJson(text).is_array());
  EXPECT_LT(memory.growth(), kMaxGrowth);
}

/// Guards against refusing a large text that is sound: a configuration of many routes.
TEST(JsonTextTest, LargeTextsAreParsed)
{
  std::string text = "[";
  for (int i = 0; i < 20000; ++i) {
    text += R"({"name":"r","host":"h","pathPrefix":"/","kind":"safe","homeRegions":["a","b"]},)";
  }
  EXPECT_EQ(parseJson(text + "0]").size(), 20001U);
}

TEST(JsonTextTest, MalformedTextIsDiscarded)
{
  EXPECT_TRUE(parseJson("{").is_discarded());
  EXPECT_TRUE(parseJson("").is_discarded());
}

} // namespace
} // namespace bulrushrun
