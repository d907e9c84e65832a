#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "telemetry/structuredline.h"

namespace Egretpath
{

/// Where and how much an EventLog writes.
struct EventLogSettings
{
    /// For `file`: standard output.
    static constexpr std::string_view StandardOutput = "stdout";

    /// A file, "-" for standard error, or StandardOutput. The VMs keep no disk, so a stream is the usual choice.
    std::string file = "-";
    /// trace, debug, info, warn, error or off.
    std::string level = "info";
    /// Lines of decisions written in a second at most; further ones are counted and dropped.
    std::uint64_t decisionsPerSecond = 200;
};

/// Which decisions are kept when there are more than may be written.
enum class DecisionWeight : std::uint8_t {
    /// A step on the way, or a request that ended well.
    Routine,
    /// A request that failed or was refused; its lines are what an operator looks for.
    Failure,
};

/// Writes structured lines through log4cxx: decisions under a rate limit, all other events without one.
///
/// A load spike must not turn into a spike of log writing, so decisions over the limit are dropped and their count is
/// written with the next second's first line. A part of the limit is kept for failures. Standard output and error are
/// never waited for; see StreamAppender. Preconditions: none. Thread safety: none. Errors: a file that can't be opened
/// is reported by log4cxx on standard error and nothing is written.
class EventLog
{
public:
    explicit EventLog(const EventLogSettings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Whether a decision written now would pass level and limit. Counts a dropped one if not; ask before building the
    /// line, so that a dropped line costs nothing.
    [[nodiscard]] bool admitsDecision(TimePoint now, DecisionWeight weight);
    /// Precondition: admitsDecision() returned true.
    void decision(const StructuredLine &line);
    void info(const StructuredLine &line);
    void warning(const StructuredLine &line);
    void error(const StructuredLine &line);

    [[nodiscard]] std::uint64_t droppedDecisions() const { return dropped_; }
    /// Lines of any kind that found the output full.
    [[nodiscard]] std::uint64_t linesLost() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation_;
    std::uint64_t limit_;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedInSecond_ = 0;
    std::uint64_t writtenInSecond_ = 0;
    TimePoint second_;
};

}
