#include "bulrushrun/net.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

/// The format of a log line: events below the level are left out.
TEST(EventLoggerTest, WritesNumberNameAndFieldsToStandardOutput)
{
  testing::internal::CaptureStdout();
  startLogging("node-7", "info");
  logEvent(events::kInstanceStarted, "listen=10.0.0.1:80");
  logEvent(events::kMessageDropped, "below the level");
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_NE(text.find(" INFO  node-7 BR-1001 instance-started listen=10.0.0.1:80\n"),
            std::string::npos)
    << text;
  EXPECT_EQ(text.find("below"), std::string::npos);
}

} // namespace
} // namespace bulrushrun
