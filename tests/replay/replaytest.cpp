#include "replay/replay.h"

#include <set>
#include <string_view>
#include <utility>

#include <catch2/catch.hpp>

#include "ablation/ablation.h"

using namespace Egretpath;

namespace
{

constexpr std::uint64_t Seeds = 5;

/// Twice the usual load for five seconds. At any time a third of the VMs is four times slower.
ReplayLoad burst()
{
    ReplayLoad load;
    load.burst = 2.0;
    return load;
}

/// More requests than the upstreams can process, for the whole duration.
ReplayLoad overload()
{
    ReplayLoad load;
    load.rate = 240;
    return load;
}

/// Returns the mean over all seeds.
ReplayResult meanOf(const ReplayLoad &load, ReplaySettings settings)
{
    ReplayResult mean;
    for (settings.seed = 1; settings.seed <= Seeds; ++settings.seed) {
        const ReplayResult result = replay(load, settings);
        mean.inTarget += result.inTarget / Seeds;
        mean.late += result.late / Seeds;
        mean.refused += result.refused / Seeds;
        mean.failed += result.failed / Seeds;
        mean.sendings += result.sendings / Seeds;
    }
    return mean;
}

/// The results of the node's own decisions, computed once for all tests.
const ReplayResult &calmResult()
{
    static const ReplayResult result = meanOf(ReplayLoad(), {});
    return result;
}

const ReplayResult &burstResult()
{
    static const ReplayResult result = meanOf(burst(), {});
    return result;
}

const ReplayResult &overloadResult()
{
    static const ReplayResult result = meanOf(overload(), {});
    return result;
}

ReplaySettings settingsFor(ReplayRule rule)
{
    ReplaySettings settings;
    settings.rule = rule;
    return settings;
}

}

TEST_CASE("the same seed gives the same result")
{
    const ReplayResult first = replay(burst(), {});
    const ReplayResult again = replay(burst(), {});
    CHECK(first.inTarget == again.inTarget);
    CHECK(first.sendings == again.sendings);
    CHECK(first.inTarget + first.late + first.refused + first.failed == Approx(1.0));
}

// Guards against callers that wait four times as long as usual although other VMs are fast. At each moment a third of
// the VMs is slow for some tenths of a second. A rule that counts the requests in flight sees this only when it is
// over.
TEST_CASE("placement answers more requests in time than the plain rules, at normal load, in a burst and under overload")
{
    const std::pair<ReplayLoad, double> loads[] = {
        {ReplayLoad(), calmResult().worth()}, {burst(), burstResult().worth()}, {overload(), overloadResult().worth()}};
    for (const auto &[load, own] : loads) {
        for (const ReplayRule rule :
             {ReplayRule::Random, ReplayRule::RoundRobin, ReplayRule::LeastInFlight, ReplayRule::TwoChoices}) {
            CHECK(own > meanOf(load, settingsFor(rule)).worth() + 0.2);
        }
    }
}

// A request is sent to an upstream that was fast a moment ago, and waits there for a slot while another upstream is
// idle. The node beside the upstream knows the current state and may decline the request.
TEST_CASE("more requests are answered in time if nodes may decline them")
{
    ReplaySettings without;
    without.decisions.ingress.ingress.maxDeclines = 0;
    CHECK(calmResult().worth() > meanOf(ReplayLoad(), without).worth() + 0.08);
    CHECK(burstResult().worth() > meanOf(burst(), without).worth() + 0.03);
}

// With more than four fifths of an upstream's slots in use, each request takes 1.7 times as long. An upstream that gets
// as many requests as it has slots therefore finishes fewer than one that gets somewhat fewer requests.
TEST_CASE("upstreams that are kept below the fill at which they become slower finish more requests")
{
    ReplaySettings allSlots;
    allSlots.decisions.queue.maxFill = 1.0;
    CHECK(burstResult().worth() > meanOf(burst(), allSlots).worth() + 0.08);
    CHECK(overloadResult().worth() > meanOf(overload(), allSlots).worth() + 0.2);
}

// During overload, requests that have missed their target wait behind all requests that can still be in time, and are
// cut at their deadline. Guards against callers that get no answer for seconds, instead of a refusal with a time for
// the retry.
TEST_CASE("requests that can't be in time are refused while their callers can still retry")
{
    ReplaySettings withoutLateLimits;
    withoutLateLimits.decisions.queue.maxLateBacklog = 1000.0;
    withoutLateLimits.decisions.queue.maxLateWait = 1000.0;
    const ReplayResult &own = overloadResult();
    const ReplayResult unlimitedResult = meanOf(overload(), withoutLateLimits);
    CHECK(own.failed < 0.005);
    CHECK(unlimitedResult.failed > 0.02);
    CHECK(own.worth() > unlimitedResult.worth() - 0.02);
}

// Work that starts in a slow period of its VM stays slow and occupies its slot until it is finished. In a burst the
// slots fill with such work, and requests that would take a third of that time find no slot.
TEST_CASE("upstreams that start work after a slow period finish more requests in time")
{
    ReplaySettings withoutSlowPeriodWait;
    withoutSlowPeriodWait.decisions.queue.waitsForSlowPeriodEnd = false;
    CHECK(burstResult().worth() > meanOf(burst(), withoutSlowPeriodWait).worth() + 0.02);
    CHECK(overloadResult().worth() > meanOf(overload(), withoutSlowPeriodWait).worth() + 0.05);
}

TEST_CASE("each mechanism that can be switched off has a unique name")
{
    std::set<std::string_view> names;
    for (const Mechanism &mechanism : mechanisms()) {
        names.insert(mechanism.name);
        CHECK(findMechanism(mechanism.name) == &mechanism);
    }
    CHECK(names.size() == mechanisms().size());
    CHECK(findMechanism("luck") == nullptr);
}
