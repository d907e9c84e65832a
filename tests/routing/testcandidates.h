#pragma once

#include <string>
#include <vector>

#include "routing/candidate.h"
#include "routing/loadview.h"

namespace Egretpath
{

inline const TimePoint Start = TimePoint{} + std::chrono::hours{1};

inline Candidate candidateAt(const std::string &name, const std::string &zone, const std::string &region = "northmere")
{
    return {UpstreamName{name}, Location{RegionName{region}, ZoneName{zone}}, 1.0, 6};
}

inline std::string numbered(std::string prefix, int number)
{
    return prefix.append(std::to_string(number));
}

inline LoadReport reportOf(std::uint32_t inFlight, std::uint32_t serviceTimeMicroseconds = 5000)
{
    return {inFlight, 0, 6, serviceTimeMicroseconds, false};
}

/// Sends a call and answers it, @p times in turn.
inline void answerCalls(LoadView &view, const std::string &name, Duration latency, const LoadReport &report, int times,
                        TimePoint now = Start)
{
    for (int call = 0; call < times; ++call) {
        view.onSent(UpstreamName{name}, now);
        view.onAnswered(UpstreamName{name}, latency, report, now);
    }
}

}
