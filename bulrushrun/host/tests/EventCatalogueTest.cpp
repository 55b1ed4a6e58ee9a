#include "bulrushrun/core.h"
#include "bulrushrun/host.h"

#include <gtest/gtest.h>

#include <set>

namespace bulrushrun {
namespace {

TEST(EventCatalogueTest, IsDocumentedByNumberAndName)
{
  const std::string document = readFile(std::string(SOURCE_DIR) + "/docs/EVENTS.md").value();
  for (const Event& event : events::kAllEvents) {
    const std::string row = "| BR-" + std::to_string(event.mNumber) + " " + event.mName + " |";
    EXPECT_NE(document.find(row), std::string::npos) << row;
  }
}

TEST(EventCatalogueTest, HasUniqueNumbers)
{
  std::set<int> numbers;
  for (const Event& event : events::kAllEvents) {
    EXPECT_TRUE(numbers.insert(event.mNumber).second) << event.mNumber;
  }
}

} // namespace
} // namespace bulrushrun
