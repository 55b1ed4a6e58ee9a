#include "bulrushrun/net/EventLogger.h"

#include "bulrushrun/net/BoundedLogSink.h"
#include "bulrushrun/net/EventLoop.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <unistd.h>

#include <utility>

namespace bulrushrun {

namespace {

/// log4cxx appender that passes formatted lines to a BoundedLogSink.
class SinkAppender : public log4cxx::AppenderSkeleton
{
public:
  // In this version of log4cxx, the constructor of the base class does not store the layout.
  explicit SinkAppender(const log4cxx::LayoutPtr& aLayout) { setLayout(aLayout); }

  void close() override {}
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent, log4cxx::helpers::Pool& aPool) override
  {
    log4cxx::LogString text;
    getLayout()->format(text, aEvent, aPool);
    std::string line;
    log4cxx::helpers::Transcoder::encode(text, line);
    mSink.write(std::move(line), EventLoop::now());
  }

private:
  BoundedLogSink mSink{ STDOUT_FILENO };
};

log4cxx::LoggerPtr eventLogger()
{
  static const log4cxx::LoggerPtr kLogger = log4cxx::Logger::getLogger("bulrushrun");
  return kLogger;
}

log4cxx::LevelPtr levelOf(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Debug:
      return log4cxx::Level::getDebug();
    case Severity::Info:
      return log4cxx::Level::getInfo();
    case Severity::Warn:
      return log4cxx::Level::getWarn();
    case Severity::Error:
      break;
  }
  return log4cxx::Level::getError();
}

} // namespace

void startLogging(const std::string& aInstance, const std::string& aLevel)
{
  const std::string pattern = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p " + aInstance + " %m%n";
  const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  const log4cxx::AppenderPtr appender = std::make_shared<SinkAppender>(layout);
  log4cxx::BasicConfigurator::configure(appender);
  eventLogger()->setLevel(log4cxx::Level::toLevel(aLevel));
}

void logEvent(const Event& aEvent, const std::string& aText)
{
  const log4cxx::LevelPtr level = levelOf(aEvent.mSeverity);
  if (!eventLogger()->isEnabledFor(level)) {
    return;
  }
  eventLogger()->forcedLog(
    level, "BR-" + std::to_string(aEvent.mNumber) + " " + aEvent.mName + " " + aText);
}

} // namespace bulrushrun
