#include "sidecar/plannedstop.h"

#include <algorithm>
#include <functional>
#include <map>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr Milliseconds Grace{6000};
/// The bounds of the platform: a node is asked whether it is ready each second, and two misses take it out.
constexpr Milliseconds ReadinessBound{2000};
constexpr TimePoint Start{std::chrono::hours(1)};

/// When each phase of a stop began, after its start.
using PhaseTimes = std::map<StopPhase, Milliseconds>;

/// Runs a stop that is looked at each @p interval.
PhaseTimes runStop(Milliseconds grace, Milliseconds interval, const std::function<StopActivity(Milliseconds)> &activity)
{
    PlannedStop stop(Start, grace);
    PhaseTimes times{{StopPhase::Serving, Milliseconds{0}}};
    for (Milliseconds at = interval; stop.phase() != StopPhase::Ended && at < 2 * grace; at += interval) {
        while (stop.advance(Start + at, activity(at))) {
            CHECK(times.emplace(stop.phase(), at).second);
        }
    }
    return times;
}

StopActivity busyFrom(Milliseconds begin, Milliseconds at)
{
    return {at >= begin, false, false};
}

}

// Guards against a node that is idle at one moment of its stop and leaves a phase out.
TEST_CASE("a planned stop goes through all its phases, whatever the node does meanwhile")
{
    const Milliseconds begin = GENERATE(Milliseconds(0), Milliseconds(2350), Milliseconds(2390), Milliseconds(2400),
                                        Milliseconds(2410), Milliseconds(2450), Milliseconds(2530), Milliseconds(9000));
    const Milliseconds interval = GENERATE(Milliseconds(7), Milliseconds(50), Milliseconds(90));
    const PhaseTimes times = runStop(Grace, interval, [&](Milliseconds at) { return busyFrom(begin, at); });
    CHECK(times.size() == 6);
    CHECK(times.at(StopPhase::Draining) > ReadinessBound);
    // Requests that were sent to the node up to then have half of the grace time for their work.
    CHECK(times.at(StopPhase::Draining) <= Grace / 2);
    CHECK(times.at(StopPhase::Ended) < Grace);
}

TEST_CASE("a node that stops ends soon once nothing is under way, and not before callers know that it stops")
{
    const PhaseTimes times = runStop(Grace, Milliseconds(50), [](Milliseconds) { return StopActivity(); });
    CHECK(times.at(StopPhase::Ended) > ReadinessBound);
    CHECK(times.at(StopPhase::Ended) < ReadinessBound + Milliseconds(1000));
}

// Guards against a node that ends while the answer to its last request is still on a slow link.
TEST_CASE("a node that stops waits for connections of callers and for answers on their way")
{
    const bool isAnswer = GENERATE(true, false);
    const PhaseTimes times = runStop(Grace, Milliseconds(50), [isAnswer](Milliseconds at) {
        const bool isUnderWay = at < Milliseconds(4000);
        return StopActivity{false, isUnderWay && !isAnswer, isUnderWay && isAnswer};
    });
    CHECK(times.at(StopPhase::Closing) < Milliseconds(4000));
    CHECK(times.at(StopPhase::Ended) >= Milliseconds(4000));
    CHECK(times.at(StopPhase::Ended) < Milliseconds(4300));
}

// Guards against requests that a node takes on until the end of a short grace time, and cuts.
TEST_CASE("a node with a short grace time drains at half of it")
{
    constexpr Milliseconds ShortGrace{1200};
    const PhaseTimes times = runStop(ShortGrace, Milliseconds(50), [](Milliseconds) {
        return StopActivity{true, true, false};
    });
    CHECK(times.at(StopPhase::Draining) <= ShortGrace / 2);
    CHECK(times.at(StopPhase::Expiring) < times.at(StopPhase::Leaving));
    CHECK(times.at(StopPhase::Leaving) < times.at(StopPhase::Ended));
    CHECK(times.at(StopPhase::Ended) < ShortGrace);
}

// Guards against a short grace time of which the margins at its end leave nothing, or in which the process is killed
// while it answers.
TEST_CASE("a node that stops uses its grace time to the last sixth, and leaves time to write what it answers then")
{
    const Milliseconds grace =
        GENERATE(Milliseconds(1000), Milliseconds(1500), Milliseconds(2500), Milliseconds(6000), Milliseconds(30'000));
    const PlannedStop stop(Start, grace);
    CHECK(stop.end() >= Start + grace * 5 / 6);
    CHECK(stop.end() <= Start + grace - std::min(grace / 10, Milliseconds(200)));
    CHECK(stop.answersDue() <= stop.end() - std::min(grace / 20, Milliseconds(100)));
    CHECK(stop.answersDue() >= Start + grace / 2);
    CHECK(stop.servesUntil() <= Start + Milliseconds(3000));
}
