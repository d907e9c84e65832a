#pragma once

#include <vector>

#include <benchmark/benchmark.h>

namespace Egretpath
{

/// Prints each run as `name value unit` lines: the time of one iteration, then each counter. A counter's
/// name ends in its unit after a colon. Thread safety: none.
class LineReporter : public benchmark::BenchmarkReporter
{
public:
    /// Prints nothing. Errors: none.
    bool ReportContext(const Context &context) override; // NOLINT(readability-identifier-naming)
    /// Errors: none.
    void ReportRuns(const std::vector<Run> &runs) override; // NOLINT(readability-identifier-naming)
};

}
