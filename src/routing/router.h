#pragma once

#include <array>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "core/verdict.h"
#include "routing/link.h"
#include "routing/routingstrategy.h"
#include "routing/waitestimator.h"

namespace Egretpath
{

/// How much of a service's work another region may take when the own one can't.
struct RegionSpill
{
    RegionName region;
    /// Relative to the other regions; zero or less takes none.
    double weight = 0.0;
};

/// One decision to make. The spans stay valid during Router::choose().
struct RouteRequest
{
    std::span<const Candidate> candidates;
    /// Upstreams that this call was already sent to.
    std::span<const UpstreamName> excluded;
    /// Regions besides the own one that may be used; those not named here take none.
    std::span<const RegionSpill> regionSpill;
    TimePoint now;
};

/// Why the chosen upstream's place was taken.
enum class ChoiceReason : std::uint8_t {
    OwnZone,
    /// The own zone's predicted time exceeds another's by more than the crossing costs.
    ZoneSpillWait,
    /// All candidates of the own zone refuse.
    ZoneSpillRefused,
    /// The own zone has no candidate.
    ZoneSpillEmpty,
    /// All candidates of the own region refuse; the table lets another region help.
    RegionSpillRefused,
    /// The own region has no candidate; the table lets another region help.
    RegionSpillEmpty,
};

/// The stable word for @p reason in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(ChoiceReason reason);

/// One candidate that was weighed.
struct Alternative
{
    /// Index in RouteRequest::candidates.
    std::size_t candidate = 0;
    /// RoutingStrategy::score(), lower is better.
    double score = 0.0;
};

/// A decision of the Router, with what its log line needs.
struct Choice
{
    UpstreamName upstream;
    /// Index of the upstream in RouteRequest::candidates.
    std::size_t candidate = 0;
    ChoiceReason reason = ChoiceReason::OwnZone;
    LinkKind link = LinkKind::InZone;
    /// Score of the chosen upstream.
    double score = 0.0;
    /// Predicted time to the answer, crossing included, in microseconds.
    double expectedMicroseconds = 0.0;
    /// The best others of the same place, best first; only the first alternativeCount are filled.
    std::array<Alternative, 3> alternatives{};
    std::size_t alternativeCount = 0;
    /// Candidates that could have been chosen in that place.
    std::size_t considered = 0;
};

/// Constants of Router.
struct RouterSettings
{
    /// What a call to another zone of the region costs on top, there and back.
    Duration zoneCrossing = Microseconds{3000};
    /// The same for another region.
    Duration regionCrossing = Milliseconds{16};
    /// Up to this share of a retry-after is drawn at random on top of it, so that callers don't return together.
    double retryAfterJitter = 0.5;
    /// Retry-after when nothing tells a better one.
    Milliseconds defaultRetryAfter{100};
};

/// Decides where a call goes: the own zone first, another zone of the region on evidence, other regions last
/// and only as the table lets them.
///
/// A call that no upstream would take is refused at once, before it costs them anything: while every
/// candidate's latest refusal still holds, choose() answers Overloaded with the soonest retry-after.
///
/// Thread safety: none; one owner. @p view must outlive the router.
class Router
{
public:
    /// Precondition: @p strategy is not null.
    Router(Location own, std::unique_ptr<RoutingStrategy> strategy, const LoadView &view, Random random,
           RouterSettings settings = {}, WaitEstimatorSettings estimatorSettings = {});

    /// Picks an upstream. Never an excluded one, one of weight zero or less, one whose last report says that it
    /// is leaving, nor one in another region without spill weight.
    /// Errors: NotRun with NoUpstream if there is no candidate, with Overloaded if all of them refuse; both
    /// with a retry-after.
    [[nodiscard]] Result<Choice> choose(const RouteRequest &request);

    /// Replaces the rule; the next choose() uses it. Precondition: @p strategy is not null.
    void setStrategy(std::unique_ptr<RoutingStrategy> strategy) { strategy_ = std::move(strategy); }

    /// The rule in use.
    [[nodiscard]] const RoutingStrategy &strategy() const { return *strategy_; }

private:
    /// Candidates of one distance.
    struct Group
    {
        /// Those that would take a call now.
        std::vector<const Candidate *> open;
        /// Count of those left out because their latest refusal still holds.
        std::size_t refusing = 0;

        void clear()
        {
            open.clear();
            refusing = 0;
        }
    };

    void sortIntoGroups(const RouteRequest &request);
    void sortCandidate(const RouteRequest &request, const Candidate &candidate);
    [[nodiscard]] Group *groupOf(const RouteRequest &request, const Candidate &candidate);
    [[nodiscard]] const Group *pickGroup(const RouteRequest &request, ChoiceReason &reason);
    [[nodiscard]] bool otherZoneIsFaster(TimePoint now) const;
    [[nodiscard]] const Group *drawRegion(std::span<const RegionSpill> spill);
    [[nodiscard]] Duration crossingOf(LinkKind link) const;
    [[nodiscard]] double bestExpected(const Group &group, TimePoint now) const;
    [[nodiscard]] Choice chooseIn(const Group &group, ChoiceReason reason, const RouteRequest &request);
    void fillAlternatives(Choice &choice, const Group &group, const RouteRequest &request) const;
    [[nodiscard]] Failure refusal(TimePoint now);

    Location own_;
    std::unique_ptr<RoutingStrategy> strategy_;
    const LoadView &view_;
    Random random_;
    RouterSettings settings_;
    WaitEstimator estimator_;
    Group ownZone_;
    Group ownRegion_;
    /// One for each entry of RouteRequest::regionSpill.
    std::vector<Group> otherRegions_;
    std::vector<double> regionWeights_;
    /// The soonest end of a refusal among the candidates of this call.
    TimePoint soonestOpening_;
};

}
