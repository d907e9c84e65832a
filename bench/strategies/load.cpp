#include "load.h"

const std::vector<Load> &allLoads()
{
    static const std::vector<Load> loads{
        {"steady-50", 0.5, 0.0, Fault::None},
        {"steady-80", 0.8, 0.0, Fault::None},
        {"steady-95", 0.95, 0.0, Fault::None},
        {"bursts", 0.6, 2.0, Fault::None},
        {"slow-upstream", 0.8, 0.0, Fault::SlowUpstream},
        {"slow-zone", 0.5, 0.0, Fault::SlowZone},
        {"fast-failures", 0.8, 0.0, Fault::FastFailures},
        {"cold-starts", 0.8, 0.0, Fault::ColdStarts},
        {"lying-report", 0.8, 0.0, Fault::LyingReport},
        {"full", 1.0, 0.0, Fault::None},
        {"overload-3x", 3.0, 0.0, Fault::None},
    };
    return loads;
}
