#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// How a node chooses an upstream, and what stands before the upstream.
enum class ReplayRule : std::uint8_t {
    /// Any of them, and the upstream's own queue.
    Random,
    /// One after the other.
    RoundRobin,
    /// Fewest of the node's own requests under way.
    LeastInFlight,
    /// The better of two drawn ones, by the node's own requests under way.
    TwoChoices,
    /// Placement with declining, and WorkQueue: the decisions of the node.
    Egretpath,
};

[[nodiscard]] std::string_view toString(ReplayRule rule);

/// A load and the VMs that it meets. The figures are those of the users' deployments.
struct ReplayLoad
{
    std::size_t upstreams = 6;
    /// Nodes at which requests begin, three in each zone.
    std::size_t nodes = 18;
    std::uint32_t slots = 9;
    Milliseconds work{120};
    double workSpread = 0.3;
    /// A VM is slow for this share of the time, by this factor, in spells of this length at the mean.
    double slowShare = 0.35;
    double slowFactor = 4.0;
    Milliseconds slowPeriod{300};
    /// From this fill on an upstream takes longer by this factor.
    double knee = 0.8;
    double kneeFactor = 1.7;
    /// Requests a second, and how many times as many from `burstFrom` to `burstTo`.
    double rate = 110;
    double burst = 1.0;
    Milliseconds burstFrom{5000};
    Milliseconds burstTo{10'000};
    Milliseconds length{20'000};
    Milliseconds target{400};
    Milliseconds deadline{2500};
};

struct ReplaySettings
{
    ReplayRule rule = ReplayRule::Egretpath;
    /// Of these, placement, view, queue and questions take part.
    DecisionSettings decisions;
    std::uint64_t seed = 1;
};

/// What became of the requests, as shares of all.
struct ReplayResult
{
    double inTarget = 0.0;
    double late = 0.0;
    double refused = 0.0;
    /// Cut at the deadline.
    double failed = 0.0;
    /// Questions and sendings for each request.
    double sendings = 0.0;
    /// A late answer counts a tenth.
    [[nodiscard]] double worth() const;
};

/// Plays @p load in virtual time against the decisions of @p settings. The same seed draws the same arrivals, work and
/// slow spells for every rule. Thread safety: safe. Errors: none.
[[nodiscard]] ReplayResult replay(const ReplayLoad &load, const ReplaySettings &settings);

}
