#include "telemetry/eventlog.h"

#include <utility>

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace Egretpath
{

namespace
{

constexpr const char *Pattern = "%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} %p %m%n";

log4cxx::AppenderPtr makeAppender(const EventLogSettings &settings)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>(Pattern);
    if (settings.file == EventLogSettings::StandardOutput) {
        return std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out"));
    }
    if (settings.file != "-") {
        return std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    }
    return std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
}

}

class EventLog::Implementation
{
public:
    explicit Implementation(const EventLogSettings &settings)
        : appender_(makeAppender(settings))
        , logger_(log4cxx::Logger::getLogger("egretpath"))
    {
        logger_->setAdditivity(false);
        logger_->addAppender(appender_);
        logger_->setLevel(log4cxx::Level::toLevel(settings.level, log4cxx::Level::getInfo()));
    }

    ~Implementation() { logger_->removeAppender(appender_); }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] const log4cxx::LoggerPtr &logger() const { return logger_; }

private:
    log4cxx::AppenderPtr appender_;
    log4cxx::LoggerPtr logger_;
};

EventLog::EventLog(const EventLogSettings &settings)
    : implementation_(std::make_unique<Implementation>(settings))
    , limit_(settings.decisionsPerSecond)
{
}

EventLog::~EventLog() = default;

bool EventLog::admitsDecision(TimePoint now)
{
    if (!implementation_->logger()->isInfoEnabled()) {
        return false;
    }
    if (now - second_ >= std::chrono::seconds(1)) {
        second_ = now;
        writtenInSecond_ = 0;
        if (const std::uint64_t lost = std::exchange(droppedInSecond_, 0); lost > 0) {
            warning(StructuredLine("decisions-dropped").add("count", lost));
        }
    }
    if (writtenInSecond_ >= limit_) {
        ++dropped_;
        ++droppedInSecond_;
        return false;
    }
    ++writtenInSecond_;
    return true;
}

void EventLog::decision(const StructuredLine &line)
{
    info(line);
}

void EventLog::info(const StructuredLine &line)
{
    LOG4CXX_INFO(implementation_->logger(), line.text());
}

void EventLog::warning(const StructuredLine &line)
{
    LOG4CXX_WARN(implementation_->logger(), line.text());
}

void EventLog::error(const StructuredLine &line)
{
    LOG4CXX_ERROR(implementation_->logger(), line.text());
}

}
