#include "telemetry/eventlog.h"

#include <utility>

#include <unistd.h>

#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "telemetry/streamappender.h"

namespace Egretpath
{

namespace
{

constexpr const char *Pattern = "%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} %p %m%n";

/// Of the limit, the share that routine decisions may use; the rest is for failures.
constexpr double RoutineShare = 0.7;

/// Null for a file, which log4cxx writes.
std::shared_ptr<StreamAppender> makeStream(const EventLogSettings &settings)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(Pattern);
    if (settings.file == EventLogSettings::StandardOutput) {
        return std::make_shared<StreamAppender>(STDOUT_FILENO, layout);
    }
    if (settings.file == "-") {
        return std::make_shared<StreamAppender>(STDERR_FILENO, layout);
    }
    return nullptr;
}

log4cxx::AppenderPtr makeAppender(const EventLogSettings &settings, const std::shared_ptr<StreamAppender> &stream)
{
    if (stream) {
        return stream;
    }
    return std::make_shared<log4cxx::FileAppender>(std::make_shared<log4cxx::PatternLayout>(Pattern), settings.file,
                                                   true);
}

}

class EventLog::Implementation
{
public:
    explicit Implementation(const EventLogSettings &settings)
        : stream_(makeStream(settings))
        , appender_(makeAppender(settings, stream_))
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

    [[nodiscard]] std::uint64_t linesLost() const { return stream_ ? stream_->dropped() : 0; }

private:
    std::shared_ptr<StreamAppender> stream_;
    log4cxx::AppenderPtr appender_;
    log4cxx::LoggerPtr logger_;
};

EventLog::EventLog(const EventLogSettings &settings)
    : implementation_(std::make_unique<Implementation>(settings))
    , limit_(settings.decisionsPerSecond)
{
}

EventLog::~EventLog() = default;

bool EventLog::admitsDecision(TimePoint now, DecisionWeight weight)
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
    const bool isFailure = weight == DecisionWeight::Failure;
    const auto limit = isFailure ? limit_ : static_cast<std::uint64_t>(RoutineShare * static_cast<double>(limit_));
    if (writtenInSecond_ >= limit) {
        ++dropped_;
        ++droppedInSecond_;
        return false;
    }
    ++writtenInSecond_;
    return true;
}

std::uint64_t EventLog::linesLost() const
{
    return implementation_->linesLost();
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
