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

constexpr const char *LinePattern = "%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} %p %m%n";

/// The share of the limit that routine decisions may use. The rest is reserved for failures.
constexpr double RoutineShare = 0.7;

/// Returns the appender for standard output or standard error. Returns null if the log goes to a file, for which the
/// appender of log4cxx is used.
std::shared_ptr<StreamAppender> makeStreamAppender(const EventLogSettings &settings)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
    if (settings.file == EventLogSettings::StandardOutput) {
        return std::make_shared<StreamAppender>(STDOUT_FILENO, layout);
    }
    if (settings.file == "-") {
        return std::make_shared<StreamAppender>(STDERR_FILENO, layout);
    }
    return nullptr;
}

log4cxx::AppenderPtr makeAppender(const EventLogSettings &settings,
                                  const std::shared_ptr<StreamAppender> &streamAppender)
{
    if (streamAppender) {
        return streamAppender;
    }
    return std::make_shared<log4cxx::FileAppender>(std::make_shared<log4cxx::PatternLayout>(LinePattern), settings.file,
                                                   true);
}

}

class EventLog::Implementation
{
public:
    explicit Implementation(const EventLogSettings &settings)
        : streamAppender_(makeStreamAppender(settings))
        , appender_(makeAppender(settings, streamAppender_))
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

    [[nodiscard]] std::uint64_t linesLost() const { return streamAppender_ ? streamAppender_->dropped() : 0; }

private:
    std::shared_ptr<StreamAppender> streamAppender_;
    log4cxx::AppenderPtr appender_;
    log4cxx::LoggerPtr logger_;
};

EventLog::EventLog(const EventLogSettings &settings)
    : implementation_(std::make_unique<Implementation>(settings))
    , maxDecisionsPerSecond_(settings.decisionsPerSecond)
{
}

EventLog::~EventLog() = default;

bool EventLog::admitsDecision(TimePoint now, DecisionKind kind)
{
    if (!implementation_->logger()->isInfoEnabled()) {
        return false;
    }
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        writtenInSecond_ = 0;
        if (const std::uint64_t lost = std::exchange(droppedInSecond_, 0); lost > 0) {
            warning(StructuredLine("decisions-dropped").add("count", lost));
        }
    }
    const bool isFailure = kind == DecisionKind::Failure;
    const auto limit = isFailure
        ? maxDecisionsPerSecond_
        : static_cast<std::uint64_t>(RoutineShare * static_cast<double>(maxDecisionsPerSecond_));
    if (writtenInSecond_ >= limit) {
        ++droppedDecisions_;
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
