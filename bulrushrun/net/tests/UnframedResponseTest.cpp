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

/// Guards against a body that never ends, and that the next response would be read as a part of:
/// the connection is kept open although only its end shows the end of the body.
TEST(UnframedResponseTest, ClosesTheConnection)
{
  EventLoop loop;
  HttpServer server{ loop,
                     kServer,
                     { nullptr,
                       [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& aCaller) {
                         aCaller->start({ 200, {}, std::nullopt });
                         aCaller->write("whole");
                         aCaller->finish();
                       } } };
  std::optional<RawCaller> caller;
  const TimePoint started = EventLoop::now();
  std::thread thread{ [&] { caller.emplace("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"); } };
  loop.after(std::chrono::milliseconds(200), [&] { loop.stop(); });
  loop.run();
  server.close();
  loop.after(Duration{ 0 }, [&] { loop.stop(); });
  loop.run();
  thread.join();
  EXPECT_LT(EventLoop::now() - started, std::chrono::seconds(2));
  EXPECT_EQ(caller->body(), "whole");
  EXPECT_TRUE(caller->isWhole());
  EXPECT_TRUE(caller->has("connection: close")) << caller->bytes();
}

} // namespace
} // namespace bulrushrun
