#include "soak/upstreampromises.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
const UpstreamName North("u1");
const UpstreamName South("u2");
const RouteKey Pay("pay");

/// Promises for an upstream in each of two zones.
struct Checked
{
    Checked()
        : faults(Milliseconds(3000))
        , promises(UpstreamBounds(), faults)
    {
        promises.place(North, 0, "north-a");
        promises.place(South, 1, "south-a");
    }

    /// The number of promises that a request breaks which arrives at @p upstream as soon as it is sent.
    std::size_t brokenBy(const UpstreamName &upstream, TimePoint at)
    {
        return promises.check({upstream, Pay, 2, at, at}).size();
    }

    /// As above, for @p count requests that come evenly within a second from @p from on.
    std::size_t brokenInSecond(const UpstreamName &upstream, TimePoint from, int count)
    {
        std::size_t broken = 0;
        for (int number = 0; number < count; ++number) {
            broken += brokenBy(upstream, from + Milliseconds(1000 * number / count));
        }
        return broken;
    }

    FaultHistory faults;
    UpstreamPromises promises;
};

}

TEST_CASE("a request that runs outside the region of its route is a violation")
{
    Checked checked;
    checked.promises.restrict(Pay, "south");
    CHECK(checked.brokenBy(South, Start) == 0);
    CHECK(checked.brokenBy(North, Start) == 1);
}

TEST_CASE("a late request for an evacuated zone is a violation until the evacuation ends")
{
    Checked checked;
    checked.promises.beginEvacuation("north-a", Start);
    CHECK(checked.brokenBy(North, Start + Milliseconds(2400)) == 0);
    CHECK(checked.brokenBy(North, Start + Milliseconds(2600)) == 1);
    CHECK(checked.brokenBy(South, Start + Milliseconds(2600)) == 0);
    checked.promises.endEvacuation("north-a");
    CHECK(checked.brokenBy(North, Start + Milliseconds(2700)) == 0);
}

TEST_CASE("an evacuation that neither the ingress nor the node beside the upstream can know of is excused")
{
    Checked checked;
    checked.promises.beginEvacuation("north-a", Start);
    checked.faults.begin(0, FaultCategory::Store, Start);
    CHECK(checked.brokenBy(North, Start + Milliseconds(4000)) == 1);
    checked.faults.begin(2, FaultCategory::Store, Start);
    CHECK(checked.brokenBy(North, Start + Milliseconds(4000)) == 0);
}

TEST_CASE("a cold upstream that gets more than its rate and the slack in a second is a violation")
{
    Checked checked;
    checked.promises.startWarmUp(North, Start, Start + std::chrono::seconds{2});
    CHECK(checked.brokenInSecond(North, Start, 15) == 0);
    CHECK(checked.brokenInSecond(North, Start + std::chrono::seconds{1}, 30) > 0);
    CHECK(checked.brokenInSecond(North, Start + std::chrono::seconds{3}, 30) == 0);
}

TEST_CASE("an upstream that names a limit, or says that it leaves, and gets more is a violation")
{
    Checked checked;
    checked.promises.nameLimit(North, 2.0, Start);
    const TimePoint known = Start + std::chrono::seconds{2};
    CHECK(checked.brokenInSecond(North, known, 20) == 0);
    CHECK(checked.brokenInSecond(North, known + std::chrono::seconds{1}, 20) > 0);
    checked.promises.nameLimit(North, std::nullopt, known + std::chrono::seconds{2});
    CHECK(checked.brokenInSecond(North, known + std::chrono::seconds{2}, 20) == 0);
    checked.promises.stateLeaving(South, true, Start);
    CHECK(checked.brokenBy(South, Start + Milliseconds(1400)) == 0);
    CHECK(checked.brokenBy(South, Start + Milliseconds(1600)) == 1);
    checked.promises.stateLeaving(South, false, Start + Milliseconds(2000));
    CHECK(checked.brokenBy(South, Start + Milliseconds(2100)) == 0);
}
