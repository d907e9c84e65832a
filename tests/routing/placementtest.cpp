#include "routing/placement.h"
#include "routing/exchangesizes.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Egretpath;

namespace
{

const Location Here{RegionName("north"), ZoneName("north-a")};
const Location NextZone{RegionName("north"), ZoneName("north-b")};
const Location FarAway{RegionName("south"), ZoneName("south-a")};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

LoadReport reportOf(double slowdown)
{
    LoadReport report;
    report.serviceTimeMicroseconds = 100'000;
    report.meanServiceMicroseconds = 100'000;
    report.slowdownPercent = static_cast<std::uint16_t>(100 * slowdown);
    report.slots = 4;
    return report;
}

const PlacementDemand Usual{Milliseconds(100), false};

/// Three upstreams: beside the caller, in the next zone, in another region.
struct Fixture
{
    Fixture()
        : candidates{{UpstreamName("near"), Here}, {UpstreamName("next"), NextZone}, {UpstreamName("far"), FarAway}}
    {
    }

    std::optional<PlacementChoice> choose(std::size_t bytes = 1000, std::vector<UpstreamName> excluded = {})
    {
        Placement placement(Here, view, Random(5));
        placement.setPrices(prices);
        PlacementRequest request;
        request.candidates = candidates;
        request.excluded = excluded;
        request.demand = Usual;
        request.targetLeft = Milliseconds(300);
        request.bodies = Bytes(bytes);
        request.now = at(10);
        return placement.choose(request);
    }

    std::string nameOf(const std::optional<PlacementChoice> &choice) const
    {
        return choice ? candidates[choice->candidate].upstream.value() : "none";
    }

    void report(const std::string &upstream, double slowdown, int time = 0)
    {
        view.onReport(UpstreamName(upstream), reportOf(slowdown), at(time));
    }

    PlacementView view;
    std::vector<PlacementCandidate> candidates;
    LinkPrices prices;
};

}

TEST_CASE("with equal news the nearest upstream is taken")
{
    Fixture fixture;
    for (const char *name : {"near", "next", "far"}) {
        fixture.report(name, 1.0);
    }
    const auto choice = fixture.choose();
    CHECK(fixture.nameOf(choice) == "near");
    CHECK(choice->declineThreshold > Milliseconds(100));
}

// Both upstreams of the region are in a slow spell. A read of 100 ms would take 400 of its 300; another region costs
// 17 ms and two kilobytes on a paid link.
TEST_CASE("another region is used when the target is at risk, not to save a few milliseconds")
{
    Fixture fixture;
    fixture.report("near", 4.0);
    fixture.report("next", 4.0);
    fixture.report("far", 1.0);
    CHECK(fixture.nameOf(fixture.choose()) == "far");
    fixture.report("near", 1.3);
    CHECK(fixture.nameOf(fixture.choose()) == "near");
}

// A scanned ledger of 60 KB went to another region to save some tens of milliseconds, and cost more on the paid link
// than its answer in time was worth.
TEST_CASE("a large body stays in its region unless nothing there can take it")
{
    Fixture fixture;
    fixture.report("near", 4.0);
    fixture.report("next", 4.0);
    fixture.report("far", 1.0);
    CHECK(fixture.nameOf(fixture.choose(60'000)) != "far");
    fixture.view.onUnreachable(UpstreamName("near"), at(9));
    fixture.view.onUnreachable(UpstreamName("next"), at(9));
    CHECK(fixture.nameOf(fixture.choose(60'000)) == "far");
}

// Both upstreams of the region are in a slow spell. A report of 12 KB that would be late there costs more on the paid
// link than it is worth; a lookup of some hundred bytes, on which another request waits, does not.
TEST_CASE("what crosses regions depends on what operators say that a KiB costs there")
{
    Fixture fixture;
    fixture.report("near", 4.0);
    fixture.report("next", 4.0);
    fixture.report("far", 1.0);
    CHECK(fixture.nameOf(fixture.choose(600)) == "far");
    CHECK(fixture.nameOf(fixture.choose(12'000)) != "far");
    fixture.prices = {0.0, 0.0};
    CHECK(fixture.nameOf(fixture.choose(12'000)) == "far");
    fixture.prices = {0.1, 2.0};
    CHECK(fixture.nameOf(fixture.choose(600)) != "far");
}

TEST_CASE("the usual size of an answer is that of its route")
{
    ExchangeSizes sizes;
    CHECK(sizes.typicalAnswerSize(RouteName("lookup")) == Bytes(0));
    for (int count = 0; count < 100; ++count) {
        sizes.record(RouteName("lookup"), Bytes(200));
        sizes.record(RouteName("report"), Bytes(count % 2 == 0 ? 4000 : 6000));
    }
    CHECK(sizes.typicalAnswerSize(RouteName("lookup")) == Bytes(200));
    const std::uint64_t report = sizes.typicalAnswerSize(RouteName("report")).value();
    CHECK(report > 4500);
    CHECK(report < 5500);
    CHECK(sizes.typicalAnswerSize(RouteName("unknown")).value() > 200);
}

TEST_CASE("old reports count less than new ones")
{
    Fixture fixture;
    fixture.report("near", 4.0, -3000);
    fixture.report("next", 2.6, 0);
    CHECK(fixture.nameOf(fixture.choose()) == "near");
}

TEST_CASE("failures keep requests away, and fade")
{
    Fixture fixture;
    fixture.report("near", 1.0);
    fixture.report("next", 1.3);
    fixture.view.onFailed(UpstreamName("near"), at(5));
    CHECK(fixture.nameOf(fixture.choose()) == "next");
    const Duration now = fixture.view.expected(UpstreamName("near"), Usual, at(10));
    const Duration later = fixture.view.expected(UpstreamName("near"), Usual, at(12'000));
    CHECK(now > later + Milliseconds(50));
}

// The only upstream could not be reached once. Left out altogether, its service was unreachable although it had come
// back.
TEST_CASE("a shut upstream is taken when no other is left")
{
    Fixture fixture;
    for (const char *name : {"near", "next", "far"}) {
        fixture.view.onUnreachable(UpstreamName(name), at(9));
    }
    CHECK(fixture.nameOf(fixture.choose()) != "none");
    const std::vector<UpstreamName> all{UpstreamName("near"), UpstreamName("next"), UpstreamName("far")};
    CHECK(fixture.nameOf(fixture.choose(1000, all)) == "none");
}

TEST_CASE("an upstream that can't be reached is left alone for longer each time, up to a limit")
{
    PlacementView view;
    const UpstreamName name("near");
    view.onUnreachable(name, at(0));
    CHECK(view.isEjected(name, at(140)));
    CHECK_FALSE(view.isEjected(name, at(160)));
    view.onUnreachable(name, at(160));
    CHECK(view.isEjected(name, at(450)));
    for (int count = 0; count < 40; ++count) {
        view.onUnreachable(name, at(1000));
    }
    CHECK(view.isEjected(name, at(3900)));
    CHECK_FALSE(view.isEjected(name, at(4100)));
    view.onReached(name);
    view.onUnreachable(name, at(9000));
    CHECK_FALSE(view.isEjected(name, at(9200)));
}

TEST_CASE("requests under way that no report counts yet make an upstream look busier")
{
    PlacementView view;
    const UpstreamName name("near");
    view.onReport(name, reportOf(1.0), at(0));
    const Duration idle = view.expected(name, Usual, at(0));
    view.onSent(name);
    view.onSent(name);
    CHECK(view.expected(name, Usual, at(0)) > idle);
    view.onReport(name, reportOf(1.0), at(0));
    CHECK(view.expected(name, Usual, at(0)) == idle);
    view.onEnded(name);
    view.onEnded(name);
    view.onEnded(name);
    CHECK(view.expected(name, Usual, at(0)) == idle);
}

// Short checks went round the upstreams whose queues were long, although they go before all that waits there.
TEST_CASE("the queue counts for a request that goes behind it, not for an urgent one")
{
    PlacementView view;
    const UpstreamName name("near");
    LoadReport report = reportOf(1.0);
    report.inFlight = 4;
    report.queued = 7;
    view.onReport(name, report, at(0));
    CHECK(view.expected(name, Usual, at(0)) == Milliseconds(300));
    CHECK(view.expected(name, {Milliseconds(20), true}, at(0)) == Milliseconds(45));
}

// Two nodes share links of 12 Mbit/s with large uploads. Calls reached them a tenth of a second late, and were sent
// there all the same.
TEST_CASE("a delay on the way to a node counts, also when it was told some time ago")
{
    Fixture fixture;
    LoadReport late = reportOf(1.0);
    late.arrivalDelayMicroseconds = 120'000;
    fixture.view.onReport(UpstreamName("near"), late, at(0));
    fixture.report("next", 1.0);
    fixture.report("far", 1.0);
    CHECK(fixture.nameOf(fixture.choose()) == "next");
    const Duration soon = fixture.view.expected(UpstreamName("near"), Usual, at(0));
    const Duration later = fixture.view.expected(UpstreamName("near"), Usual, at(3000));
    CHECK(soon == Milliseconds(220));
    CHECK(later >= Milliseconds(220));
}

TEST_CASE("the cost of waiting rises with the time, and can be read backwards")
{
    double last = 0.0;
    for (double share = 0.05; share < 3.0; share += 0.05) {
        const double cost = costOfWaiting(share);
        CHECK(cost > last);
        CHECK(shareOfTargetAt(cost) == Approx(share));
        last = cost;
    }
    CHECK(shareOfTargetAt(-1.0) == 0.0);
}
