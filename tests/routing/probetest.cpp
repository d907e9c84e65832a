#include <algorithm>

#include <catch2/catch.hpp>

#include "routing/probeplanner.h"
#include "testcandidates.h"

using namespace Egretpath;

TEST_CASE("probes stay within their bytes, paid links apart")
{
    ProbeBudget budget({1000.0, 0.0, 1.0});
    int sent = 0;
    for (int millisecond = 0; millisecond < 5000; ++millisecond) {
        sent += budget.spend(LinkKind::InZone, Bytes{100}, Start + Milliseconds{millisecond}) ? 1 : 0;
        CHECK_FALSE(budget.spend(LinkKind::BetweenRegions, Bytes{100}, Start + Milliseconds{millisecond}));
    }
    CHECK(sent <= 60);
    CHECK(sent >= 58);
    CHECK(budget.count(LinkKind::InZone).sent == static_cast<std::uint64_t>(sent));
    CHECK(budget.count(LinkKind::InZone).bytes == Bytes{100 * static_cast<std::uint64_t>(sent)});
    CHECK(budget.count(LinkKind::BetweenRegions).denied == 5000);
}

TEST_CASE("a process that slept does not wake up with hours of probes")
{
    // A VM is paused for an hour. On waking, its saved-up budget would let it probe everything at once.
    ProbeBudget budget({1000.0, 0.0, 1.0});
    CHECK(budget.spend(LinkKind::InZone, Bytes{1000}, Start));
    int sent = 0;
    while (budget.spend(LinkKind::InZone, Bytes{100}, Start + std::chrono::hours{1})) {
        ++sent;
    }
    CHECK(sent == 10);
}

TEST_CASE("only probes that can change a decision are sent")
{
    const std::vector<Candidate> candidates{candidateAt("best", "a"), candidateAt("second", "a"),
                                            candidateAt("third", "a"), candidateAt("slow", "a"),
                                            candidateAt("far", "c", "southmere")};
    LoadView view;
    answerCalls(view, "best", Milliseconds{5}, reportOf(0), 500);
    answerCalls(view, "second", Milliseconds{5}, reportOf(1), 500);
    answerCalls(view, "third", Milliseconds{5}, reportOf(5), 500);
    answerCalls(view, "slow", Milliseconds{80}, reportOf(6, 80000), 20);
    view.onSent(UpstreamName{"third"}, Start);
    ProbeBudget budget({10000.0, 10000.0, 1.0});
    ProbePlanner planner({RegionName{"northmere"}, ZoneName{"a"}}, view, budget);

    CHECK(planner.plan(candidates, Start + Milliseconds{10}).empty());
    const TimePoint stale = Start + Milliseconds{300};
    CHECK(planner.plan(candidates, stale) == std::vector<std::size_t>{0, 1});
    view.onProbeSent(UpstreamName{"best"}, stale);
    view.onProbeSent(UpstreamName{"second"}, stale);
    CHECK(planner.plan(candidates, stale).empty());
    const std::vector<std::size_t> later = planner.plan(candidates, Start + std::chrono::seconds{3});
    CHECK(std::count(later.begin(), later.end(), 3U) == 1);
    CHECK(std::count(later.begin(), later.end(), 4U) == 0);
}
