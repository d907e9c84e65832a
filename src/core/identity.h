#pragma once

#include <compare>
#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// Where a VM stands.
struct Location
{
    RegionName region;
    ZoneName zone;

    friend auto operator<=>(const Location &, const Location &) = default;
};

/// Who a node is: the upstream it stands beside and this run of its process.
///
/// The incarnation is part of the identity, so that a replacement at the same address is another node.
struct NodeIdentity
{
    UpstreamName upstream;
    Incarnation incarnation;

    friend auto operator<=>(const NodeIdentity &, const NodeIdentity &) = default;
};

/// What an upstream was doing when its node measured it. Carried by answers, refusals and probes.
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    /// Smoothed time from handing a call to the upstream to its whole answer, in microseconds.
    std::uint32_t serviceTimeMicroseconds = 0;
    /// The upstream takes no new work.
    bool draining = false;
    /// How long work takes on the VM at this moment, in percent of the usual; zero if unknown.
    std::uint16_t slowdownPercent = 0;
    /// Until the VM's slow spell is expected to end, if requests wait for that here; else zero.
    std::uint32_t slowPeriodLeftMicroseconds = 0;
    /// The slowdown that is expected then, in percent; slowdownPercent while there is no slow period.
    std::uint16_t recoveredSlowdownPercent = 0;
    /// Smoothed time for a call of any kind at the VM's usual pace, in microseconds; zero if unknown.
    std::uint32_t meanServiceMicroseconds = 0;
    /// Smoothed time by which calls reach the node later than on a free link, in microseconds.
    std::uint32_t arrivalDelayMicroseconds = 0;
    /// Failures among the upstream's latest answers, in percent.
    std::uint8_t failurePercent = 0;
};

}
