#include "standins/loadsummary.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

constexpr std::uint16_t OkStatus = 200;

struct NamedQuantile
{
    const char *name;
    double part;
};

constexpr std::array<NamedQuantile, 3> Quantiles{{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}};

/// Precondition: @p sorted is sorted and not empty.
double quantile(const std::vector<double> &sorted, double part)
{
    const auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

}

void LoadSummary::addCall(CallKind kind, bool direct, const CallOutcome &outcome, Duration latency, bool inTime)
{
    Side &side = direct ? direct_ : through_;
    if (outcome.verdict == Verdict::Answered && outcome.status != OkStatus) {
        ++side.failedAnswers;
        return;
    }
    ++side.verdicts.at(static_cast<std::size_t>(outcome.verdict));
    if (outcome.verdict == Verdict::Answered) {
        side.inTime += inTime ? 1 : 0;
        const std::chrono::duration<double, std::milli> milliseconds(latency);
        side.latencies.at(static_cast<std::size_t>(kind)).push_back(milliseconds.count());
    }
}

void LoadSummary::print(std::ostream &stream, Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    printSide(stream, "", through_, seconds);
    stream << "wrong_answers " << wrongAnswers_ << " calls\n"
           << "retries " << retries_ << " calls\n"
           << "not_sent " << notSent_ << " calls\n"
           << "missing_keys " << missingKeys_ << " calls\n";
    const auto &verdicts = direct_.verdicts;
    if (std::any_of(verdicts.begin(), verdicts.end(), [](std::uint64_t count) { return count > 0; })) {
        printSide(stream, "direct_", direct_, seconds);
        printAdded(stream);
    }
}

void LoadSummary::printSide(std::ostream &stream, const char *prefix, Side &side, double seconds)
{
    stream << prefix << "served " << side.verdicts[static_cast<std::size_t>(Verdict::Answered)] << " calls\n"
           << prefix << "not_run " << side.verdicts[static_cast<std::size_t>(Verdict::NotRun)] << " calls\n"
           << prefix << "may_have_run " << side.verdicts[static_cast<std::size_t>(Verdict::MayHaveRun)] << " calls\n"
           << prefix << "failed_answers " << side.failedAnswers << " calls\n"
           << prefix << "goodput " << static_cast<double>(side.inTime) / seconds << " calls/s\n";
    for (const CallKind kind : AllCallKinds) {
        std::vector<double> &latencies = side.latencies.at(static_cast<std::size_t>(kind));
        std::sort(latencies.begin(), latencies.end());
        for (const NamedQuantile &wanted : Quantiles) {
            if (!latencies.empty()) {
                stream << prefix << toString(kind) << '_' << wanted.name << ' ' << quantile(latencies, wanted.part)
                       << " ms\n";
            }
        }
    }
}

/// Precondition: both sides were printed, so that their latencies are sorted.
void LoadSummary::printAdded(std::ostream &stream)
{
    for (const CallKind kind : AllCallKinds) {
        const std::vector<double> &through = through_.latencies.at(static_cast<std::size_t>(kind));
        const std::vector<double> &direct = direct_.latencies.at(static_cast<std::size_t>(kind));
        if (through.empty() || direct.empty()) {
            continue;
        }
        for (const NamedQuantile &wanted : Quantiles) {
            stream << "added_" << toString(kind) << '_' << wanted.name << ' '
                   << quantile(through, wanted.part) - quantile(direct, wanted.part) << " ms\n";
        }
    }
}

}
