#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "history/historyrecord.h"

namespace Egretpath
{

/// The promises that a history is held against.
enum class HistoryRule : std::uint8_t {
    /// A request that was refused as not run has no run. Its key has none from before the request was sent, because a
    /// caller asks about its payment and not about one sending; later requests under the key may run. A caller that
    /// could not connect (OutcomeRecord::cut) was refused by nobody: only its request itself must have no run.
    NotRunIsTrue,
    /// A request that may not be repeated ran once at most, and so did its key.
    RanOnce,
    /// An answer is whole and is the one that an upstream gave to this very request, or to its key.
    AnswerIsWholeAndOwn,
    /// No run starts later than the bound after its upstream began to leave.
    NoWorkAfterLeaving,
    /// A planned stop cuts neither a run nor a caller. A run that its deadline or its caller cancelled was not cut.
    StopCutsNothing,
    /// The version in force (number, then digest) never falls at a node incarnation, and each content in force is one
    /// that was accepted under its number; without a record of that, one number has one content.
    TableNeverFalls,
    /// An accepted table is in force at every node within the bound; of two under one number, that with the larger
    /// digest.
    TableIsEverywhere,
    /// Bytes spent on measuring stay within the budget.
    MeasuringWithinBudget,
    /// Each request has one invocation and one outcome at most.
    OneOutcome,
};

/// The stable word for @p rule. Thread safety: safe.
[[nodiscard]] std::string_view toString(HistoryRule rule);

/// Bounds of the rules.
struct HistoryBounds
{
    Milliseconds leaving{3'000};
    Milliseconds tableEverywhere{4'000};
    /// A new incarnation may be without a table for so long.
    Milliseconds tableAfterStart{4'000};
    /// Measuring bytes for each second of an incarnation, beyond the burst.
    std::uint64_t measuringBytesEachSecond = 3'000;
    std::uint64_t measuringBurst = 16'384;
    /// The system retires refused keys: "not run" then denies every run of the key, also later ones.
    bool refusedKeysRetire = false;
};

/// A promise that the history shows broken.
struct Violation
{
    HistoryRule rule = HistoryRule::NotRunIsTrue;
    std::string detail;
    /// The lines of the history that show it.
    std::vector<HistoryLine> evidence;
};

/// What a check found, and how much it had to look at: a check of an empty history proves nothing.
struct HistoryReport
{
    std::vector<Violation> violations;
    std::size_t invocations = 0;
    std::size_t outcomes = 0;
    std::size_t answered = 0;
    /// Answers with a server error that named no request, as an upstream gives when it sheds load: not held to a run.
    std::size_t uncheckedAnswers = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t runs = 0;
    /// Runs of requests that no caller recorded; the rules for them could only be held by their keys.
    std::size_t runsWithoutInvocation = 0;
    std::size_t statusSamples = 0;
};

/// Writes the counts, then `violations N`, then each violation with its lines. Thread safety: as @p stream.
std::ostream &operator<<(std::ostream &stream, const HistoryReport &report);

/// Holds a history against the rules.
/// Thread safety: const methods are safe.
class HistoryChecker
{
public:
    explicit HistoryChecker(HistoryBounds bounds = {});

    /// Checks all rules. The order of @p lines does not matter.
    [[nodiscard]] HistoryReport check(const std::vector<HistoryLine> &lines) const;

private:
    HistoryBounds bounds_;
};

}
