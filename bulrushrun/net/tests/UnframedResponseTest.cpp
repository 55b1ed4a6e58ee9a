#include "bulrushrun/net/tests/RawCaller.h"

#include <gtest/gtest.h>

#include <sys/wait.h>

namespace bulrushrun {
namespace {

/// Guards against a truncated body that looks whole: a body without a length or chunks ends with
/// its connection, which the kernel closes in an orderly way when the process ends.
TEST(UnframedResponseTest, IsResetWhenTheProcessEnds)
{
  EventLoop loop;
  HttpServer server{ loop,
                     kServer,
                     { nullptr,
                       [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& aCaller) {
                         aCaller->start({ 200, {}, std::nullopt });
                         aCaller->write("part");
                         loop.after(std::chrono::milliseconds(20), [] { ::_exit(0); });
                       } } };
  const pid_t child = ::fork();
  if (child == 0) {
    loop.run();
  }
  const RawCaller caller{ "GET / HTTP/1.0\r\n\r\n" };
  ::waitpid(child, nullptr, 0);
  EXPECT_EQ(caller.body(), "part");
  EXPECT_FALSE(caller.isWhole()) << caller.bytes();
}

} // namespace
} // namespace bulrushrun
