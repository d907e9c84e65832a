#pragma once

#include <compare>
#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// The region and availability zone of a VM.
struct Location
{
    RegionName region;
    ZoneName zone;

    friend auto operator<=>(const Location &, const Location &) = default;
};

/// Identifies a node: the upstream on its VM and one run of the node process.
///
/// The incarnation is part of the identity, so that a replacement at the same address counts as another node.
struct NodeIdentity
{
    UpstreamName upstream;
    Incarnation incarnation;

    friend auto operator<=>(const NodeIdentity &, const NodeIdentity &) = default;
};

/// The load of an upstream as its node measured it. Answers, refusals and probes carry it.
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    /// Smoothed time of a call of the reported route at the VM's baseline speed, from handing the call to the upstream
    /// until its complete answer, in microseconds; zero if unknown.
    std::uint32_t serviceTimeMicroseconds = 0;
    /// Whether the node is stopping and refuses new requests for the upstream.
    bool draining = false;
    /// The time that work takes at the upstream now, in percent of the baseline: the VM's slowdown multiplied by the
    /// upstream's own slowdown; zero if unknown.
    std::uint16_t slowdownPercent = 0;
    /// The expected time until the VM's slow period ends, in microseconds, if requests wait for that end here; else
    /// zero.
    std::uint32_t slowPeriodLeftMicroseconds = 0;
    /// The slowdown expected after the slow period, in percent; equal to slowdownPercent if there is no slow period.
    std::uint16_t recoveredSlowdownPercent = 0;
    /// Smoothed time of a call, over all routes, at the VM's baseline speed, in microseconds; zero if unknown.
    std::uint32_t meanServiceMicroseconds = 0;
    /// Smoothed delay of calls on their way to the node, compared with an idle link, in microseconds.
    std::uint32_t arrivalDelayMicroseconds = 0;
    /// Share of failures among the upstream's latest answers, in percent.
    std::uint8_t failurePercent = 0;
    /// Time until the upstream may get a request by the rate limit that it named; zero: now, or it named none.
    std::uint32_t limitedForMicroseconds = 0;
    /// Expected wait of a request of priority 0 that arrives now, in microseconds; zero also if unknown.
    std::uint32_t urgentWaitMicroseconds = 0;
    /// Time that it takes to send the answers that wait for the node's link, in microseconds; zero also if unknown.
    std::uint32_t linkBacklogMicroseconds = 0;
};

}
