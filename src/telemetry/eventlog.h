#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "telemetry/structuredline.h"

namespace Egretpath
{

/// Where an EventLog writes and how much.
struct EventLogSettings
{
    /// The value of `file` for standard output.
    static constexpr std::string_view StandardOutput = "stdout";

    /// The path of a file, "-" for standard error, or StandardOutput. Nodes use a stream, since the VMs keep no disk.
    std::string file = "-";
    /// One of trace, debug, info, warn, error and off.
    std::string level = "info";
    /// The maximum of decision lines per second. Further lines are dropped and counted.
    std::uint64_t decisionsPerSecond = 200;
};

/// The kind of a decision. Failures may use the whole limit of decision lines, routine decisions only a part.
enum class DecisionKind : std::uint8_t {
    /// A step of a request, or the end of a request that succeeded.
    Routine,
    /// A request that failed or was refused. These are the lines that operators look for.
    Failure,
};

/// Writes structured lines through log4cxx. Decisions are rate-limited; all other events are not.
///
/// A load spike must not cause a spike of log writing. Decisions over the limit are therefore dropped, and their count
/// is written before the first decision of the next second. A part of the limit is reserved for failures. The log never
/// waits for standard output or standard error; see StreamAppender. Preconditions: none. Thread safety: none. Errors:
/// if a file can't be opened, log4cxx reports it on standard error and nothing is written.
class EventLog
{
public:
    explicit EventLog(const EventLogSettings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Returns whether a decision may be written at @p now under the level and the limit. Counts the decision as
    /// written or, if it is over the limit, as dropped. Call this before building the line, so that a dropped line
    /// costs nothing.
    [[nodiscard]] bool admitsDecision(TimePoint now, DecisionKind kind);
    /// Writes a decision. Precondition: admitsDecision() returned true for it.
    void decision(const StructuredLine &line);
    void info(const StructuredLine &line);
    void warning(const StructuredLine &line);
    void error(const StructuredLine &line);

    /// Decisions that were dropped because of the limit.
    [[nodiscard]] std::uint64_t droppedDecisions() const { return droppedDecisions_; }
    /// Lines of any kind that were lost because the output was full.
    [[nodiscard]] std::uint64_t linesLost() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation_;
    std::uint64_t maxDecisionsPerSecond_;
    std::uint64_t droppedDecisions_ = 0;
    std::uint64_t droppedInSecond_ = 0;
    std::uint64_t writtenInSecond_ = 0;
    TimePoint secondStart_;
};

}
