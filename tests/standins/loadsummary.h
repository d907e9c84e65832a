#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <vector>

#include "core/clock.h"
#include "standins/loadplan.h"
#include "standins/standinhistory.h"

namespace Egretpath
{

/// Counts and latencies of a run of the load tool. Thread safety: none.
class LoadSummary
{
public:
    /// A call ended; @p latency runs from its planned arrival, so that a stall of the load tool is not hidden.
    void addCall(CallKind kind, bool direct, const CallOutcome &outcome, Duration latency, bool inTime);
    void addWrongAnswer() { ++wrongAnswers_; }
    void addRetry() { ++retries_; }
    /// An arrival that was not sent because too many calls were in flight.
    void addNotSent() { ++notSent_; }
    /// A payment or upload that was sent without a key because none could be had.
    void addMissingKey() { ++missingKeys_; }

    [[nodiscard]] std::uint64_t wrongAnswers() const { return wrongAnswers_; }

    /// One "name value unit" a line.
    void print(std::ostream &stream, Duration elapsed);

private:
    struct Side
    {
        std::array<std::uint64_t, 3> verdicts{};
        /// Whole answers of the service that say that it failed.
        std::uint64_t failedAnswers = 0;
        std::uint64_t inTime = 0;
        /// Milliseconds of answered calls.
        std::array<std::vector<double>, AllCallKinds.size()> latencies;
    };

    static void printSide(std::ostream &stream, const char *prefix, Side &side, double seconds);
    void printAdded(std::ostream &stream);

    Side through_;
    Side direct_;
    std::uint64_t wrongAnswers_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t notSent_ = 0;
    std::uint64_t missingKeys_ = 0;
};

}
