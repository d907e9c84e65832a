#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/clock.h"
#include "core/identity.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Constants of PlacementView.
struct PlacementViewSettings
{
    /// Age at which a report counts 1/e against what is typical: about the length of a slow spell.
    Duration reportMemory = Milliseconds{300};
    /// Weight of the newest report in what is typical.
    double typicalGain = 0.03;
    /// What is assumed to be typical before any report: a quarter of the VMs four times slower.
    double typicalSlowdown = 1.7;
    /// Time in which evidence of failures falls to 1/e.
    Duration failureMemory = std::chrono::seconds{3};
    /// How many times longer a request is taken to need for each recent failure seen here, and for a share of one of
    /// failures among the latest answers; it keeps quick errors from attracting requests.
    double failurePenalty = 2.0;
    double failureShareFactor = 4.0;
    /// An upstream without a report is taken for a typical one; else for an idle one at the usual pace.
    bool assumesTypical = true;
    /// Requests reach an upstream as late as its latest report said; else at once.
    bool countsDelay = true;
    /// Calls ahead for each own request that is under way and not yet in a report.
    double ownRequestWeight = 0.5;
    /// No request goes to an upstream whose node can't be reached for so long; each further failure doubles it.
    Duration unreachableBase = Milliseconds{150};
    Duration unreachableLimit = std::chrono::seconds{3};
};

/// A request whose time at an upstream is to be foretold.
struct PlacementDemand
{
    /// What it takes when nothing is in the way.
    Duration baselineTime{0};
    /// It goes before all that waits.
    bool urgent = false;
};

/// What one ingress knows of the upstreams' load: their VMs' pace, and the calls that run and wait.
///
/// Kept apart, so that a report that came with one request speaks for requests of all routes and ranks. Thread safety:
/// none; one owner. Errors: none.
class PlacementView
{
public:
    explicit PlacementView(PlacementViewSettings settings = {});

    /// A request left for @p upstream; exactly one onEnded() follows.
    void onSent(const UpstreamName &upstream);
    void onEnded(const UpstreamName &upstream);
    /// The node beside @p upstream told of its load.
    void onReport(const UpstreamName &upstream, const LoadReport &report, TimePoint now);
    /// The upstream failed a request: an error answer, a broken one, or none.
    void onFailed(const UpstreamName &upstream, TimePoint now);
    /// The node beside the upstream could not be reached.
    void onUnreachable(const UpstreamName &upstream, TimePoint now);
    /// It was reached.
    void onReached(const UpstreamName &upstream);
    /// It takes no new work for @p hold.
    void onDraining(const UpstreamName &upstream, Duration hold, TimePoint now);
    void forget(const UpstreamName &upstream) { records_.erase(upstream); }

    /// From the arrival of a request there to its answer.
    [[nodiscard]] Duration expected(const UpstreamName &upstream, const PlacementDemand &demand, TimePoint now) const;
    /// Whether nothing should be sent there now.
    [[nodiscard]] bool isEjected(const UpstreamName &upstream, TimePoint now) const;
    /// How little is known of the present: 0 for a report of this moment, 1 without any.
    [[nodiscard]] double staleness(const UpstreamName &upstream, TimePoint now) const;
    /// Whether no report ever came from there.
    [[nodiscard]] bool isUnknown(const UpstreamName &upstream) const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    /// What decides how long a request takes.
    struct Load
    {
        /// How many times longer than usual work takes.
        double slowdown = 1.0;
        /// Until the end of the VM's slow spell, for which requests wait if that is quicker, and the pace after it.
        double slowPeriodSeconds = 0.0;
        double recoveredSlowdown = 1.0;
        /// Calls before a request that goes before all that waits, and before one that goes behind, for each slot.
        double urgentWait = 0.0;
        double wait = 0.0;
        double failureShare = 0.0;
        /// By which requests reach its node late.
        double delaySeconds = 0.0;
    };

    struct Record
    {
        Load load;
        double slots = 1.0;
        TimePoint reportTime;
        bool hasReport = false;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightAtReport = 0;
        double failures = 0.0;
        TimePoint failureTime;
        std::uint32_t unreachable = 0;
        TimePoint ejectedUntil;
    };

    [[nodiscard]] double failuresOf(const Record &record, TimePoint now) const;
    [[nodiscard]] Load loadOf(const Record &record, TimePoint now) const;
    [[nodiscard]] Load loadIn(const LoadReport &report) const;
    [[nodiscard]] static Load mixed(double share, const Load &one, const Load &other);
    /// What work takes that needs @p usualSeconds when nothing is in the way.
    [[nodiscard]] static double workSeconds(const Load &load, double baselineSeconds);

    PlacementViewSettings settings_;
    std::unordered_map<UpstreamName, Record> records_;
    Load typical_;
    double meanServiceSeconds_ = 0.0;
};

}
