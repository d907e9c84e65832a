#pragma once

#include <cstdint>

#include "core/identity.h"

namespace Egretpath
{

/// One upstream that a call may go to, as the table and the live list show it.
struct Candidate
{
    UpstreamName upstream;
    Location location;
    /// Share of the work relative to the other candidates; zero or less takes none.
    double weight = 1.0;
    /// Calls that the upstream works on at the same time.
    std::uint32_t inFlightCap = 1;
};

}
