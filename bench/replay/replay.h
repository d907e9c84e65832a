#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// How a node chooses an upstream, and how requests are admitted at the upstream.
enum class ReplayRule : std::uint8_t {
    /// Any upstream at random. Under this and the other plain rules, requests wait in the upstream's own queue.
    Random,
    /// One upstream after the other.
    RoundRobin,
    /// The upstream with the fewest of the node's own requests in flight.
    LeastInFlight,
    /// The better of two upstreams that are drawn at random, by the node's own requests in flight.
    TwoChoices,
    /// The node's own decisions: Placement with declining, and WorkQueue.
    Egretpath,
};

[[nodiscard]] std::string_view toString(ReplayRule rule);

/// A load and the VMs that process it. The defaults are those of the users' deployments.
struct ReplayLoad
{
    std::size_t upstreams = 6;
    /// Number of nodes that requests come from, three in each zone.
    std::size_t nodes = 18;
    std::uint32_t slots = 9;
    Milliseconds work{120};
    double workSpread = 0.3;
    /// A VM is slow for the share `slowShare` of the time, by the factor `slowFactor`, in periods of the mean length
    /// `slowPeriod`.
    double slowShare = 0.35;
    double slowFactor = 4.0;
    Milliseconds slowPeriod{300};
    /// An upstream whose fill is above `knee` takes longer by the factor `kneeFactor`.
    double knee = 0.8;
    double kneeFactor = 1.7;
    /// Requests per second, and the factor by which there are more from `burstFrom` to `burstTo`.
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
    /// Only the settings of placement, view, queue, declining and the spread of retries have an effect.
    DecisionSettings decisions;
    std::uint64_t seed = 1;
};

/// The outcomes of the requests, as shares of all requests.
struct ReplayResult
{
    double inTarget = 0.0;
    double late = 0.0;
    double refused = 0.0;
    /// Requests that were cut at the deadline.
    double failed = 0.0;
    /// How many times a request was sent to an upstream, on average.
    double sendings = 0.0;
    /// The share of answers in target time plus a tenth of the share of late answers.
    [[nodiscard]] double worth() const;
};

/// Replays @p load in virtual time against the decisions of @p settings. The same seed gives the same arrivals, work
/// and slow periods for every rule. Thread safety: safe. Errors: none.
[[nodiscard]] ReplayResult replay(const ReplayLoad &load, const ReplaySettings &settings);

}
