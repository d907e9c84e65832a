#include "linereporter.h"

#include <ostream>
#include <string>

namespace Egretpath
{

bool LineReporter::ReportContext(const Context & /*context*/)
{
    return true;
}

void LineReporter::ReportRuns(const std::vector<Run> &runs)
{
    for (const Run &run : runs) {
        const std::string name = run.benchmark_name();
        GetOutputStream() << name << " " << run.GetAdjustedCPUTime() << " "
                          << benchmark::GetTimeUnitString(run.time_unit) << "\n";
        for (const auto &[counter, value] : run.counters) {
            const std::size_t colon = counter.find(':');
            GetOutputStream() << name << "/" << counter.substr(0, colon) << " " << value.value << " "
                              << counter.substr(colon + 1) << "\n";
        }
    }
}

}
