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

/// Twice the usual load for five seconds, on VMs of which a third is four times slower at any time.
ReplayLoad burst()
{
    ReplayLoad load;
    load.burst = 2.0;
    return load;
}

/// More than the upstreams can work off, for as long as it lasts.
ReplayLoad overload()
{
    ReplayLoad load;
    load.rate = 240;
    return load;
}

/// The mean over the seeds.
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

/// The node's own decisions, played once for all tests.
const ReplayResult &ownCalm()
{
    static const ReplayResult result = meanOf(ReplayLoad(), {});
    return result;
}

const ReplayResult &ownBurst()
{
    static const ReplayResult result = meanOf(burst(), {});
    return result;
}

const ReplayResult &ownOverload()
{
    static const ReplayResult result = meanOf(overload(), {});
    return result;
}

ReplaySettings ruleOf(ReplayRule rule)
{
    ReplaySettings settings;
    settings.rule = rule;
    return settings;
}

}

TEST_CASE("the same seed gives the same figures")
{
    const ReplayResult first = replay(burst(), {});
    const ReplayResult again = replay(burst(), {});
    CHECK(first.inTarget == again.inTarget);
    CHECK(first.sendings == again.sendings);
    CHECK(first.inTarget + first.late + first.refused + first.failed == Approx(1.0));
}

// Callers wait four times as long as usual though other VMs are quick: at each moment a third of the VMs is slow for
// some tenths of a second, and whoever counts requests under way learns of it when it is over.
TEST_CASE("placement serves more in time than the plain rules, calm or in a burst")
{
    const std::pair<ReplayLoad, double> loads[] = {
        {ReplayLoad(), ownCalm().worth()}, {burst(), ownBurst().worth()}, {overload(), ownOverload().worth()}};
    for (const auto &[load, own] : loads) {
        for (const ReplayRule rule :
             {ReplayRule::Random, ReplayRule::RoundRobin, ReplayRule::LeastInFlight, ReplayRule::TwoChoices}) {
            CHECK(own > meanOf(load, ruleOf(rule)).worth() + 0.2);
        }
    }
}

// A request goes to an upstream that was quick a moment ago, and waits there for a slot while its neighbour idles. The
// node beside the upstream knows, and may send it on.
TEST_CASE("nodes that may decline serve more in time")
{
    ReplaySettings without;
    without.decisions.ingress.ingress.maxQueries = 0;
    CHECK(ownCalm().worth() > meanOf(ReplayLoad(), without).worth() + 0.08);
    CHECK(ownBurst().worth() > meanOf(burst(), without).worth() + 0.03);
}

// All slots of an upstream are taken, and each request takes 1.7 times as long as with a slot less: an upstream that is
// given all that it says it can work on finishes less.
TEST_CASE("upstreams that are kept below the fill from which they slow themselves finish more")
{
    ReplaySettings allSlots;
    allSlots.decisions.queue.maxFill = 1.0;
    CHECK(ownBurst().worth() > meanOf(burst(), allSlots).worth() + 0.08);
    CHECK(ownOverload().worth() > meanOf(overload(), allSlots).worth() + 0.2);
}

// While more comes than can be worked off, requests that have missed their target wait behind all that can still be in
// time, and are cut at their deadline. Their callers hear nothing for seconds, instead of when to come back.
TEST_CASE("requests that can't be in time are refused while their callers can still come back")
{
    ReplaySettings waiting;
    waiting.decisions.queue.maxLateBacklog = 1000.0;
    waiting.decisions.queue.maxLateWait = 1000.0;
    const ReplayResult &own = ownOverload();
    const ReplayResult held = meanOf(overload(), waiting);
    CHECK(own.failed < 0.005);
    CHECK(held.failed > 0.02);
    CHECK(own.worth() > held.worth() - 0.02);
}

// Work that begins in a slow spell of its VM keeps that pace and its slot to its end. In a burst the slots fill with
// work that began at the wrong moment, and requests that need a third of a slot's time find none.
TEST_CASE("upstreams that begin work after a slow spell finish more in time")
{
    ReplaySettings atOnce;
    atOnce.decisions.queue.waitsForSlowPeriodEnd = false;
    CHECK(ownBurst().worth() > meanOf(burst(), atOnce).worth() + 0.02);
    CHECK(ownOverload().worth() > meanOf(overload(), atOnce).worth() + 0.05);
}

TEST_CASE("each mechanism that can be switched off has a name of its own")
{
    std::set<std::string_view> names;
    for (const Mechanism &mechanism : mechanisms()) {
        names.insert(mechanism.name);
        CHECK(findMechanism(mechanism.name) == &mechanism);
    }
    CHECK(names.size() == mechanisms().size());
    CHECK(findMechanism("luck") == nullptr);
}
