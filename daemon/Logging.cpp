#include "daemon/Logging.h"

#include <atomic>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <mutex>

namespace citronplank {

namespace {

constexpr const char* linePattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m";

std::atomic<LogLevel> currentLevel { LogLevel::Off };

class SinkAppender : public log4cplus::Appender {
public:
    explicit SinkAppender(LogSink sink)
        : m_sink(std::move(sink))
    {
    }
    ~SinkAppender() override { destructorImpl(); }
    SinkAppender(const SinkAppender&) = delete;
    SinkAppender& operator=(const SinkAppender&) = delete;
    void close() override { closed = true; }

private:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override { m_sink(formatEvent(event)); }

    LogSink m_sink;
};

log4cplus::LogLevel libraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::Off:
        break;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

/// The state of log4cplus exists from the first call to the end of the process.
void initializeLibrary()
{
    static const log4cplus::Initializer initializer;
    static std::once_flag once;
    std::call_once(once, [] { log4cplus::setThreadPoolSize(0); });
}

} // namespace

void startLogging(LogLevel level, LogSink sink)
{
    initializeLibrary();
    log4cplus::SharedAppenderPtr appender;
    const bool toSink = sink != nullptr;
    if (toSink)
        appender = new SinkAppender(std::move(sink));
    else
        appender = new log4cplus::ConsoleAppender(true, true);
    const std::string pattern = toSink ? linePattern : std::string(linePattern) + "%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(libraryLevel(level));
    currentLevel = level;
}

void stopLogging()
{
    if (currentLevel.exchange(LogLevel::Off) != LogLevel::Off)
        log4cplus::Logger::getRoot().removeAllAppenders();
}

bool isLogged(LogLevel level) { return level != LogLevel::Off && level >= currentLevel.load(); }

void log(LogLevel level, std::string_view prefix, std::string_view text)
{
    if (!isLogged(level))
        return;
    std::string line(prefix);
    line += ": ";
    line += text;
    for (char& c : line) {
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            c = ' ';
    }
    log4cplus::Logger::getRoot().log(libraryLevel(level), line);
}

} // namespace citronplank
