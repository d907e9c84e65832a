#include "dialect/callerdialect.h"

#include <algorithm>
#include <array>

namespace Egretpath
{

namespace
{

constexpr std::uint16_t UnavailableStatus = 503;
constexpr std::uint16_t BadGatewayStatus = 502;
constexpr std::uint16_t GatewayTimeoutStatus = 504;

/// Maps a reason that the caller is responsible for to its status. The verdict decides the status of all other reasons.
struct ReasonStatus
{
    Reason reason;
    std::uint16_t status;
};

constexpr std::array<ReasonStatus, 4> ReasonStatuses{{
    {Reason::BadRequest, 400},
    {Reason::NoRoute, 404},
    {Reason::TooLarge, 413},
    {Reason::BodyTimeout, 408},
}};

}

std::uint16_t statusOfRefusal(const Failure &failure)
{
    if (failure.verdict != Verdict::NotRun) {
        return failure.reason == Reason::DeadlinePassed ? GatewayTimeoutStatus : BadGatewayStatus;
    }
    const auto *entry = std::find_if(ReasonStatuses.begin(), ReasonStatuses.end(),
                                     [&failure](const ReasonStatus &item) { return item.reason == failure.reason; });
    return entry == ReasonStatuses.end() ? UnavailableStatus : entry->status;
}

}
