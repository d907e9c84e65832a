#include "routing/placement.h"
#include "routing/answersizes.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Egretpath;

namespace
{

const Location OwnZone{RegionName("north"), ZoneName("north-a")};
const Location OtherZone{RegionName("north"), ZoneName("north-b")};
const Location OtherRegion{RegionName("south"), ZoneName("south-a")};

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

const PlacementDemand TypicalDemand{Milliseconds(100), false};

/// Three upstreams: in the caller's zone, in another zone of its region, and in another region.
struct Fixture
{
    Fixture()
        : candidates{
            {UpstreamName("near"), OwnZone}, {UpstreamName("next"), OtherZone}, {UpstreamName("far"), OtherRegion}}
    {
    }

    std::optional<PlacementChoice> choose(std::size_t bytes = 1000, std::vector<UpstreamName> excluded = {})
    {
        Placement placement(OwnZone, view, Random(5));
        placement.setPrices(prices);
        PlacementRequest request;
        request.candidates = candidates;
        request.excluded = excluded;
        request.demand = TypicalDemand;
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

TEST_CASE("the nearest upstream is chosen if all reports are equal")
{
    Fixture fixture;
    for (const char *name : {"near", "next", "far"}) {
        fixture.report(name, 1.0);
    }
    const auto choice = fixture.choose();
    CHECK(fixture.nameOf(choice) == "near");
    CHECK(choice->declineThreshold > Milliseconds(100));
}

// Guards against short requests that avoid an upstream because of large answers, and against upstreams without a report
// of their link that inherit the backlog of others.
TEST_CASE("the backlog of a link counts for large answers and for the upstream that reported it")
{
    PlacementView view;
    LoadReport report = reportOf(1.0);
    report.linkBacklogMicroseconds = 400'000;
    for (int count = 0; count < 100; ++count) {
        view.onReport(UpstreamName("loaded"), report, at(0));
    }
    view.onReport(UpstreamName("free"), reportOf(1.0), at(0));
    const auto difference = [&view](bool isLargeAnswer) {
        const PlacementDemand demand{Milliseconds(100), false, isLargeAnswer};
        return view.expected(UpstreamName("loaded"), demand, at(0))
            - view.expected(UpstreamName("free"), demand, at(0));
    };
    CHECK(difference(false) == Duration{0});
    CHECK(difference(true) > Milliseconds(399));
    CHECK(difference(true) < Milliseconds(401));
}

// Guards against a region that is never left, or left too easily. Both upstreams of the region are in a slow period, in
// which a read of 100 ms takes 400 ms and misses its target of 300 ms. Another region costs 17 ms and two kilobytes on
// a paid link.
TEST_CASE("another region is chosen if the target is at risk, not to save a few milliseconds")
{
    Fixture fixture;
    fixture.report("near", 4.0);
    fixture.report("next", 4.0);
    fixture.report("far", 1.0);
    CHECK(fixture.nameOf(fixture.choose()) == "far");
    fixture.report("near", 1.3);
    CHECK(fixture.nameOf(fixture.choose()) == "near");
}

// Guards against large bodies on paid links. A scanned ledger of 60 KB that is sent to another region to save some tens
// of milliseconds costs more there than an answer in time is worth.
TEST_CASE("a large body stays in its region unless no upstream there can be reached")
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

// Guards against ignoring the prices of links. Both upstreams of the region are in a slow period. A report of 12 KB
// that would be late there costs more on the paid link than it is worth. A lookup of some hundred bytes, for which
// another request waits, does not.
TEST_CASE("the configured price of a KiB decides which requests cross regions")
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

TEST_CASE("the typical answer size is the mean of the route")
{
    AnswerSizes sizes;
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

TEST_CASE("old reports have less weight than new ones")
{
    Fixture fixture;
    fixture.report("near", 4.0, -3000);
    fixture.report("next", 2.6, 0);
    CHECK(fixture.nameOf(fixture.choose()) == "near");
}

TEST_CASE("requests avoid an upstream that failed, and the weight of its failures decays")
{
    Fixture fixture;
    fixture.report("near", 1.0);
    fixture.report("next", 1.3);
    fixture.view.onFailed(UpstreamName("near"), at(5));
    CHECK(fixture.nameOf(fixture.choose()) == "next");
    const Duration now = fixture.view.expected(UpstreamName("near"), TypicalDemand, at(10));
    const Duration later = fixture.view.expected(UpstreamName("near"), TypicalDemand, at(12'000));
    CHECK(now > later + Milliseconds(50));
}

// Guards against a service that stays unreachable. The only upstream could not be reached once; if it were never chosen
// while it is ejected, the service would fail although the upstream is back.
TEST_CASE("an ejected upstream is chosen if no other is left")
{
    Fixture fixture;
    for (const char *name : {"near", "next", "far"}) {
        fixture.view.onUnreachable(UpstreamName(name), at(9));
    }
    CHECK(fixture.nameOf(fixture.choose()) != "none");
    const std::vector<UpstreamName> all{UpstreamName("near"), UpstreamName("next"), UpstreamName("far")};
    CHECK(fixture.nameOf(fixture.choose(1000, all)) == "none");
}

TEST_CASE("an upstream that can't be reached is ejected for longer each time, up to a limit")
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

// Guards against urgent requests that avoid a cold upstream because less urgent ones wait for their turns there.
TEST_CASE("an upstream that is limited for other requests takes one of priority 0 after the wait that it reports")
{
    PlacementView view;
    const UpstreamName name("near");
    LoadReport report;
    report.slots = 5;
    report.limitedForMicroseconds = 300'000;
    view.onReport(name, report, at(0));
    CHECK(view.isEjected(name, at(10), 0));
    const PlacementDemand urgent{Milliseconds(100), false, false, 0};
    CHECK(view.expected(name, urgent, at(10)) == view.expected(name, TypicalDemand, at(10)));
    report.urgentWaitMicroseconds = 60'000;
    view.onReport(name, report, at(0));
    CHECK_FALSE(view.isEjected(name, at(10), 0));
    CHECK(view.isEjected(name, at(10), 1));
    CHECK(view.expected(name, urgent, at(10)) - view.expected(name, TypicalDemand, at(10)) == Milliseconds(50));
    view.onUnreachable(name, at(10));
    CHECK(view.isEjected(name, at(20), 0));
}

TEST_CASE("running requests that no report includes yet increase the expected time")
{
    PlacementView view;
    const UpstreamName name("near");
    view.onReport(name, reportOf(1.0), at(0));
    const Duration idle = view.expected(name, TypicalDemand, at(0));
    view.onSent(name);
    view.onSent(name);
    CHECK(view.expected(name, TypicalDemand, at(0)) > idle);
    view.onReport(name, reportOf(1.0), at(0));
    CHECK(view.expected(name, TypicalDemand, at(0)) == idle);
    view.onEnded(name);
    view.onEnded(name);
    view.onEnded(name);
    CHECK(view.expected(name, TypicalDemand, at(0)) == idle);
}

// Guards against urgent requests that avoid upstreams with long queues, although they go before all queued calls there.
TEST_CASE("the expected time includes the queue for a normal request, not for an urgent one")
{
    PlacementView view;
    const UpstreamName name("near");
    LoadReport report = reportOf(1.0);
    report.inFlight = 4;
    report.queued = 7;
    view.onReport(name, report, at(0));
    CHECK(view.expected(name, TypicalDemand, at(0)) == Milliseconds(300));
    CHECK(view.expected(name, {Milliseconds(20), true}, at(0)) == Milliseconds(45));
}

// Guards against checks that avoid an upstream whose queue they overtake, and against trusting such a report for long.
TEST_CASE("the expected time of a request of priority 0 includes its reported wait, as long as the report is new")
{
    PlacementView view;
    const UpstreamName name("near");
    const PlacementDemand urgent{Milliseconds(20), false, false, 0};
    LoadReport report = reportOf(1.0);
    report.inFlight = 4;
    report.queued = 7;
    view.onReport(name, report, at(0));
    CHECK(view.expected(name, urgent, at(0)) == Milliseconds(220));
    report.urgentWaitMicroseconds = 30'000;
    view.onReport(name, report, at(0));
    CHECK(view.expected(name, urgent, at(0)) == Milliseconds(50));
    CHECK(view.expected(name, TypicalDemand, at(0)) == Milliseconds(300));
    report.urgentWaitMicroseconds = 400'000;
    view.onReport(name, report, at(0));
    CHECK(view.expected(name, urgent, at(0)) == Milliseconds(420));
    CHECK(view.expected(name, urgent, at(3000)) < Milliseconds(100));
}

// Guards against ignoring slow links. Two nodes share links of 12 Mbit/s with large uploads, and calls reach them a
// tenth of a second late. Without the reported delay, calls would still be sent there.
TEST_CASE("the expected time includes the arrival delay, even if its report is old")
{
    Fixture fixture;
    LoadReport late = reportOf(1.0);
    late.arrivalDelayMicroseconds = 120'000;
    fixture.view.onReport(UpstreamName("near"), late, at(0));
    fixture.report("next", 1.0);
    fixture.report("far", 1.0);
    CHECK(fixture.nameOf(fixture.choose()) == "next");
    const Duration soon = fixture.view.expected(UpstreamName("near"), TypicalDemand, at(0));
    const Duration later = fixture.view.expected(UpstreamName("near"), TypicalDemand, at(3000));
    CHECK(soon == Milliseconds(220));
    CHECK(later >= Milliseconds(220));
}

TEST_CASE("the cost of waiting rises with time and can be inverted")
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
