#include "bulrushrun/net/RequestValidation.h"

#include <gtest/gtest.h>

namespace bulrushrun {
namespace {

/// Guards against requests that a target could interpret differently than this program does: path
/// traversal and request smuggling.
TEST(RequestLineTest, RejectsAmbiguousPaths)
{
  for (const char* path : { "/a/../b",
                            "/./a",
                            "/a/%2e%2e/b",
                            "/a/.%2E/b",
                            "/..",
                            "/a\\b",
                            "/a b",
                            "no-slash",
                            "/a\x01",
                            "http://x/" }) {
    const std::optional<RequestError> error = validateRequestLine("GET", path);
    ASSERT_TRUE(error) << path;
    EXPECT_EQ(error->mStatus, 400) << path;
  }
}

TEST(RequestLineTest, AcceptsPathsUnchanged)
{
  for (const char* path : { "/", "/a/b?c=../d", "/a%2Fb", "/...", "/a/.b/c..", "/a//b" }) {
    EXPECT_FALSE(validateRequestLine("GET", path)) << path;
  }
  EXPECT_FALSE(validateRequestLine("OPTIONS", "*"));
}

TEST(RequestLineTest, RejectsUnsupportedMethods)
{
  for (const char* method : { "TRACE", "CONNECT", "get", "BREW" }) {
    EXPECT_EQ(validateRequestLine(method, "/")->mStatus, 405) << method;
  }
}

TEST(RequestFramingTest, RejectsAmbiguousFraming)
{
  const std::string line = "POST / HTTP/1.1\r\n";
  EXPECT_TRUE(validateFraming(line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
  EXPECT_TRUE(validateFraming(line + "Content-Length: 3\r\ncontent-length: 4\r\n\r\n"));
  EXPECT_TRUE(validateFraming(line + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n"));
  EXPECT_TRUE(validateFraming(line + "Content-Length: +3\r\n\r\n"));
  EXPECT_TRUE(validateFraming(line + "Content-Length: 3,3\r\n\r\n"));
  EXPECT_TRUE(validateFraming(line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n"));
  EXPECT_FALSE(validateFraming(line + "Content-Length: 3\r\n\r\nContent-Length: 4"));
  EXPECT_FALSE(validateFraming(line + "X: Content-Length\r\n\r\n"));
}

TEST(ControlHeadersTest, RejectsRepeatedHeaders)
{
  EXPECT_TRUE(validateHeaders({ { "idempotency-key", "a" }, { "Idempotency-Key", "b" } }));
  EXPECT_TRUE(validateHeaders({ { "Bulrush-Class", "a" }, { "bulrush-class", "a" } }));
  EXPECT_FALSE(validateHeaders({ { "Cookie", "a" }, { "Cookie", "b" } }));
}

TEST(RequestHeadersTest, RejectsOversizeHeaders)
{
  EXPECT_FALSE(validateHeaders({ { "X", std::string(30000, 'x') } }));
  EXPECT_EQ(validateHeaders({ { "X", std::string(33000, 'x') } })->mStatus, 431);
}

} // namespace
} // namespace bulrushrun
