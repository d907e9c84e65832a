#include "history/historychecker.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "history/historyindex.h"

namespace Egretpath
{

namespace
{

using Violations = std::vector<Violation>;

constexpr std::int64_t MicrosecondsEachMillisecond = 1'000;
constexpr std::int64_t MicrosecondsEachSecond = 1'000'000;

constexpr std::array<std::string_view, 9> RuleWords{
    "not-run-is-true",   "ran-once",          "answer-is-whole-and-own", "no-work-after-leaving",
    "stop-cuts-nothing", "table-never-falls", "table-is-everywhere",     "measuring-within-budget",
    "one-outcome",
};

std::int64_t microseconds(Milliseconds bound)
{
    return bound.count() * MicrosecondsEachMillisecond;
}

std::int64_t elapsed(HistoryTime from, HistoryTime until)
{
    return until.value() - from.value();
}

template<typename Record>
void addLines(std::vector<HistoryLine> &evidence, const IndexedRecords<Record> &records)
{
    for (const auto &item : records) {
        evidence.push_back(*item.line);
    }
}

template<typename... Records>
void report(Violations &violations, HistoryRule rule, std::string detail, const IndexedRecords<Records> &...records)
{
    Violation violation{rule, std::move(detail), {}};
    (addLines(violation.evidence, records), ...);
    violations.push_back(std::move(violation));
}

void checkNotRunIsTrue(const HistoryIndex &index, const HistoryBounds &bounds, Violations &violations)
{
    constexpr HistoryRule Rule = HistoryRule::NotRunIsTrue;
    for (const auto &[request, outcomes] : index.outcomes()) {
        const bool denied = std::any_of(outcomes.begin(), outcomes.end(),
                                        [](const auto &item) { return item.record->verdict == Verdict::NotRun; });
        if (!denied) {
            continue;
        }
        if (const auto runs = index.runsOf(request); !runs.empty()) {
            report(violations, Rule, "the request ran", outcomes, runs);
            continue;
        }
        const InvocationRecord *invocation = index.invocation(request);
        if (invocation == nullptr) {
            continue;
        }
        // A caller that could not connect was refused by nobody: it knows that this request did not run, and nothing
        // of its key, which an earlier request may have used and a later one may.
        const bool refused = std::any_of(outcomes.begin(), outcomes.end(), [](const auto &item) {
            return item.record->verdict == Verdict::NotRun && !item.record->cut;
        });
        const auto byKey = index.runsByKey().find(invocation->key);
        if (!refused || byKey == index.runsByKey().end()) {
            continue;
        }
        // Without retirement a run that began after this request was sent may follow its refusal.
        if (bounds.refusedKeysRetire || byKey->second.front().record->time < invocation->time) {
            report(violations, Rule, "the key ran", outcomes, byKey->second);
        }
    }
}

void checkRanOnce(const HistoryIndex &index, const HistoryBounds &, Violations &violations)
{
    for (const auto &[request, invocations] : index.invocations()) {
        const auto runs = index.runsOf(request);
        if (!invocations.front().record->repeatable && runs.size() > 1) {
            report(violations, HistoryRule::RanOnce, "the request ran more than once", invocations, runs);
        }
    }
    for (const auto &[key, runs] : index.runsByKey()) {
        const InvocationRecord *invocation = index.invocation(runs.front().record->request);
        const bool repeatable = invocation != nullptr && invocation->repeatable;
        if (!repeatable && runs.size() > 1) {
            report(violations, HistoryRule::RanOnce, "the key ran more than once: " + key.value(), runs);
        }
    }
}

bool sameKey(const HistoryIndex &index, const RequestId &left, const RequestId &right)
{
    const InvocationRecord *first = index.invocation(left);
    const InvocationRecord *second = index.invocation(right);
    return first && second && !first->key.value().empty() && first->key == second->key;
}

/// An upstream that sheds load answers without having read the request; nothing tells whose answer it is.
bool isUnchecked(const OutcomeRecord &outcome)
{
    constexpr std::uint16_t ServerErrors = 500;
    return outcome.verdict == Verdict::Answered && outcome.echo.value().empty() && outcome.status >= ServerErrors;
}

void checkAnswer(const HistoryIndex &index, const IndexedRecord<OutcomeRecord> &outcome, Violations &violations)
{
    constexpr HistoryRule Rule = HistoryRule::AnswerIsWholeAndOwn;
    const OutcomeRecord &record = *outcome.record;
    const IndexedRecords<OutcomeRecord> evidence{outcome};
    // An answer repeated from memory names the request that ran under the key.
    if (record.echo != record.request && !sameKey(index, record.echo, record.request)) {
        report(violations, Rule, "the answer belongs to another request", evidence);
        return;
    }
    const auto finishes = index.finishesOf(record.echo);
    const bool sent = std::any_of(finishes.begin(), finishes.end(), [&record](const auto &item) {
        return item.record->status == record.status && item.record->answer == record.answer;
    });
    if (!sent) {
        report(violations, Rule, "no upstream sent this answer to this request", evidence, finishes);
    }
}

void checkAnswers(const HistoryIndex &index, const HistoryBounds &, Violations &violations)
{
    for (const auto &[request, outcomes] : index.outcomes()) {
        for (const auto &outcome : outcomes) {
            if (outcome.record->verdict == Verdict::Answered && !isUnchecked(*outcome.record)) {
                checkAnswer(index, outcome, violations);
            }
        }
    }
}

void checkLeaving(const HistoryIndex &index, const HistoryBounds &bounds, Violations &violations)
{
    for (const auto &run : index.runs()) {
        const auto &since = run.record->leavingSince;
        if (since && elapsed(*since, run.record->time) > microseconds(bounds.leaving)) {
            report(violations, HistoryRule::NoWorkAfterLeaving, "the upstream had been leaving for longer than allowed",
                   IndexedRecords<RunStartedRecord>{run});
        }
    }
}

/// When @p run ended at its upstream; nothing if it never did.
std::optional<HistoryTime> endOf(const HistoryIndex &index, const RunStartedRecord &run)
{
    for (const auto &finish : index.finishesOf(run.request)) {
        if (finish.record->upstream == run.upstream && finish.record->time >= run.time) {
            return finish.record->time;
        }
    }
    return std::nullopt;
}

bool lostItsConnection(const OutcomeRecord &outcome)
{
    return outcome.reason == toString(Reason::ConnectionLost) || outcome.reason == toString(Reason::BadAnswer);
}

bool wasCancelled(const HistoryIndex &index, const RequestId &request)
{
    const auto outcomes = index.outcomesOf(request);
    return std::any_of(outcomes.begin(), outcomes.end(), [](const auto &item) {
        const std::string &reason = item.record->reason;
        return reason == toString(Reason::DeadlinePassed) || reason == toString(Reason::Cancelled);
    });
}

/// An identity without incarnation is one that its recorder did not know.
bool sameProcess(const NodeIdentity &left, const NodeIdentity &right)
{
    const Incarnation unknown;
    return left.upstream == right.upstream
        && (left.incarnation == right.incarnation || left.incarnation == unknown || right.incarnation == unknown);
}

void checkRunAgainstStop(const HistoryIndex &index, const IndexedRecord<RunStartedRecord> &run,
                         const IndexedRecord<PlannedStopRecord> &stop, Violations &violations)
{
    const bool began = run.record->time <= stop.record->time;
    const auto end = endOf(index, *run.record);
    const IndexedRecords<RunStartedRecord> runs{run};
    const IndexedRecords<PlannedStopRecord> stops{stop};
    const bool atStop = sameProcess(run.record->upstream, stop.record->node);
    if (atStop && began && !end && !wasCancelled(index, run.record->request)) {
        report(violations, HistoryRule::StopCutsNothing, "the stop cut a run", stops, runs);
        return;
    }
    const bool sameSlot = run.record->upstream.upstream == stop.record->node.upstream;
    if (!sameSlot || !began || (end && *end < stop.record->ordered)) {
        return;
    }
    const auto outcomes = index.outcomesOf(run.record->request);
    const bool cut = std::any_of(outcomes.begin(), outcomes.end(), [&stop](const auto &item) {
        return lostItsConnection(*item.record) && item.record->time >= stop.record->ordered;
    });
    if (cut) {
        report(violations, HistoryRule::StopCutsNothing, "the stop cut an answer", stops, runs, outcomes);
    }
}

void checkCallersAgainstStop(const HistoryIndex &index, const IndexedRecord<PlannedStopRecord> &stop,
                             Violations &violations)
{
    for (const auto &[request, outcomes] : index.outcomes()) {
        const InvocationRecord *invocation = index.invocation(request);
        const OutcomeRecord &outcome = *outcomes.front().record;
        const bool atStop = invocation != nullptr && sameProcess(invocation->ingress, stop.record->node);
        // A caller that could not connect any more had no request in flight.
        const bool cut = outcome.cut && outcome.verdict != Verdict::NotRun;
        if (atStop && cut && invocation->time <= stop.record->time && outcome.time >= stop.record->ordered) {
            report(violations, HistoryRule::StopCutsNothing, "the stop cut a caller",
                   IndexedRecords<PlannedStopRecord>{stop}, outcomes);
        }
    }
}

void checkStops(const HistoryIndex &index, const HistoryBounds &, Violations &violations)
{
    for (const auto &stop : index.stops()) {
        for (const auto &run : index.runs()) {
            checkRunAgainstStop(index, run, stop, violations);
        }
        checkCallersAgainstStop(index, stop, violations);
    }
}

/// Versions are ordered by number, then by digest: of two tables published under one number the same one wins
/// everywhere.
struct Version
{
    TableNumber number;
    Digest digest;

    friend auto operator<=>(const Version &, const Version &) = default;
};

Version versionOf(const StatusRecord &record)
{
    return {record.table, record.tableDigest};
}

void checkVersionsOfNodes(const HistoryIndex &index, Violations &violations)
{
    for (const auto &[node, samples] : index.status()) {
        for (std::size_t place = 1; place < samples.size(); ++place) {
            if (versionOf(*samples[place].record) < versionOf(*samples[place - 1].record)) {
                report(violations, HistoryRule::TableNeverFalls, "the table in force fell",
                       IndexedRecords<StatusRecord>{samples[place - 1], samples[place]});
            }
        }
    }
}

/// The contents that may be in force under each number: those that were accepted, or else the first one seen.
void checkContents(const HistoryIndex &index, Violations &violations)
{
    std::map<TableNumber, std::set<Digest>> contents;
    for (const auto &table : index.tables()) {
        contents[table.record->table].insert(table.record->tableDigest);
    }
    for (const auto &sample : index.statusByTime()) {
        const StatusRecord &record = *sample.record;
        const auto allowed = contents.emplace(record.table, std::set<Digest>{record.tableDigest}).first;
        if (record.table != TableNumber(0) && !allowed->second.contains(record.tableDigest)) {
            report(violations, HistoryRule::TableNeverFalls, "a content that was not accepted is in force",
                   IndexedRecords<StatusRecord>{sample});
        }
    }
}

void checkTableNeverFalls(const HistoryIndex &index, const HistoryBounds &, Violations &violations)
{
    checkVersionsOfNodes(index, violations);
    checkContents(index, violations);
}

/// When each table was first known to be accepted, oldest first, each with the largest version so far.
std::vector<std::pair<HistoryTime, Version>> acceptances(const HistoryIndex &index)
{
    std::map<Version, HistoryTime> first;
    const auto note = [&first](const Version &table, HistoryTime time) {
        const auto position = first.emplace(table, time).first;
        position->second = std::min(position->second, time);
    };
    for (const auto &table : index.tables()) {
        note({table.record->table, table.record->tableDigest}, table.record->time);
    }
    for (const auto &sample : index.statusByTime()) {
        note(versionOf(*sample.record), sample.record->time);
    }
    std::vector<std::pair<HistoryTime, Version>> result;
    result.reserve(first.size());
    for (const auto &[table, time] : first) {
        result.emplace_back(time, table);
    }
    std::sort(result.begin(), result.end());
    Version largest;
    for (auto &[time, table] : result) {
        largest = std::max(largest, table);
        table = largest;
    }
    return result;
}

void checkTableIsEverywhere(const HistoryIndex &index, const HistoryBounds &bounds, Violations &violations)
{
    const auto accepted = acceptances(index);
    for (const auto &[node, samples] : index.status()) {
        const HistoryTime start = samples.front().record->time;
        for (const auto &sample : samples) {
            const HistoryTime due(sample.record->time.value() - microseconds(bounds.tableEverywhere));
            const auto next = std::lower_bound(accepted.begin(), accepted.end(), std::pair(due, Version()));
            const bool starting = sample.record->table == TableNumber(0)
                && elapsed(start, sample.record->time) <= microseconds(bounds.tableAfterStart);
            if (next != accepted.begin() && versionOf(*sample.record) < std::prev(next)->second && !starting) {
                report(violations, HistoryRule::TableIsEverywhere, "an accepted table was not in force in time",
                       IndexedRecords<StatusRecord>{sample});
            }
        }
    }
}

void checkMeasuring(const HistoryIndex &index, const HistoryBounds &bounds, Violations &violations)
{
    const auto budget = static_cast<double>(bounds.measuringBytesEachSecond);
    for (const auto &[node, samples] : index.status()) {
        // A bucket that leaks at the budget: it holds any stretch of time to the budget, not only the whole.
        double level = 0;
        for (std::size_t place = 1; place < samples.size(); ++place) {
            const StatusRecord &before = *samples[place - 1].record;
            const StatusRecord &after = *samples[place].record;
            const auto seconds = static_cast<double>(elapsed(before.time, after.time)) / MicrosecondsEachSecond;
            const double spent =
                static_cast<double>(after.measuringBytes.value()) - static_cast<double>(before.measuringBytes.value());
            level = std::max(0.0, level + spent - seconds * budget);
            if (spent < 0 || level > static_cast<double>(bounds.measuringBurst)) {
                report(violations, HistoryRule::MeasuringWithinBudget, "measuring went over its budget",
                       IndexedRecords<StatusRecord>{samples[place - 1], samples[place]});
                level = 0;
            }
        }
    }
}

void checkOneOutcome(const HistoryIndex &index, const HistoryBounds &, Violations &violations)
{
    constexpr HistoryRule Rule = HistoryRule::OneOutcome;
    for (const auto &[request, invocations] : index.invocations()) {
        if (invocations.size() > 1) {
            report(violations, Rule, "two requests bear one id", invocations);
        }
    }
    for (const auto &[request, outcomes] : index.outcomes()) {
        if (outcomes.size() > 1) {
            report(violations, Rule, "a request has two outcomes", outcomes);
        }
        if (index.invocation(request) == nullptr) {
            report(violations, Rule, "an outcome of no request", outcomes);
        }
    }
}

using Check = void (*)(const HistoryIndex &, const HistoryBounds &, Violations &);

constexpr std::array<Check, 9> Checks{
    checkNotRunIsTrue,    checkRanOnce,           checkAnswers,   checkLeaving,    checkStops,
    checkTableNeverFalls, checkTableIsEverywhere, checkMeasuring, checkOneOutcome,
};

void count(HistoryReport &report, const HistoryIndex &index)
{
    report.invocations = index.invocations().size();
    report.runs = index.runs().size();
    report.statusSamples = index.statusByTime().size();
    for (const auto &run : index.runs()) {
        report.runsWithoutInvocation += index.invocation(run.record->request) == nullptr ? 1 : 0;
    }
    for (const auto &[request, outcomes] : index.outcomes()) {
        for (const auto &outcome : outcomes) {
            const Verdict verdict = outcome.record->verdict;
            ++report.outcomes;
            report.answered += verdict == Verdict::Answered ? 1 : 0;
            report.uncheckedAnswers += isUnchecked(*outcome.record) ? 1 : 0;
            report.notRun += verdict == Verdict::NotRun ? 1 : 0;
            report.mayHaveRun += verdict == Verdict::MayHaveRun ? 1 : 0;
        }
    }
}

}

std::string_view toString(HistoryRule rule)
{
    return RuleWords.at(static_cast<std::size_t>(rule));
}

std::ostream &operator<<(std::ostream &stream, const HistoryReport &report)
{
    stream << "invocations " << report.invocations << "\noutcomes " << report.outcomes << "\nanswered "
           << report.answered << "\nunchecked-answers " << report.uncheckedAnswers << "\nnot-run " << report.notRun
           << "\nmay-have-run " << report.mayHaveRun << "\nruns " << report.runs << "\nruns-without-invocation "
           << report.runsWithoutInvocation << "\nstatus-samples " << report.statusSamples << "\nviolations "
           << report.violations.size() << '\n';
    for (const Violation &violation : report.violations) {
        stream << toString(violation.rule) << ": " << violation.detail << '\n';
        for (const HistoryLine &line : violation.evidence) {
            stream << "  " << line.file << ':' << line.number << ": " << line.text << '\n';
        }
    }
    return stream;
}

HistoryChecker::HistoryChecker(HistoryBounds bounds)
    : bounds_(bounds)
{
}

HistoryReport HistoryChecker::check(const std::vector<HistoryLine> &lines) const
{
    const HistoryIndex index(lines);
    HistoryReport report;
    count(report, index);
    for (const Check check : Checks) {
        check(index, bounds_, report.violations);
    }
    return report;
}

}
