#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "routing/router.h"
#include "testcandidates.h"

using namespace Egretpath;

namespace
{

struct World
{
    std::vector<Candidate> candidates;
    std::vector<UpstreamName> excluded;
    std::vector<RegionSpill> spill;
    LoadView view;
    TimePoint now = Start;
};

void addCandidates(World &world)
{
    const int count = *rc::gen::inRange(0, 12);
    for (int index = 0; index < count; ++index) {
        const std::string region = *rc::gen::element<std::string>("northmere", "southmere", "westmere");
        Candidate candidate = candidateAt(numbered("u", index), *rc::gen::element<std::string>("a", "b"), region);
        candidate.weight = *rc::gen::element(0.0, 0.0, 0.5, 1.0, 3.0);
        world.candidates.push_back(candidate);
        if (*rc::gen::inRange(0, 4) == 0) {
            world.excluded.push_back(candidate.upstream);
        }
    }
    world.spill = {{RegionName{"southmere"}, *rc::gen::element(0.0, 1.0)}};
}

void playEvent(World &world, const UpstreamName &upstream)
{
    LoadReport report = reportOf(*rc::gen::inRange(0U, 12U));
    report.leaving = *rc::gen::inRange(0, 8) == 0;
    world.now += Milliseconds{*rc::gen::inRange(0, 20)};
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        world.view.onSent(upstream, world.now);
        break;
    case 1:
        world.view.onAnswered(upstream, Milliseconds{*rc::gen::inRange(1, 100)}, report, world.now);
        break;
    case 2:
        world.view.onRefused(upstream, Reason::Overloaded, Milliseconds{*rc::gen::inRange(0, 50)}, report, world.now);
        break;
    case 3:
        world.view.onFailed(upstream, Reason::ConnectionLost, world.now);
        break;
    case 4:
        world.view.onReplaced(upstream, Incarnation{*rc::gen::inRange<std::uint64_t>(1, 4)}, world.now);
        break;
    default:
        world.view.onProbe(upstream, report, world.now);
    }
}

void checkChoice(const World &world, const Choice &choice)
{
    const Candidate &chosen = world.candidates.at(choice.candidate);
    RC_ASSERT(chosen.upstream == choice.upstream);
    RC_ASSERT(chosen.weight > 0.0);
    RC_ASSERT(std::count(world.excluded.begin(), world.excluded.end(), choice.upstream) == 0);
    const UpstreamLoad *load = world.view.find(choice.upstream);
    if (load != nullptr) {
        const bool isLeaving = load->hasReport && load->report.leaving;
        RC_ASSERT_FALSE(isLeaving);
        RC_ASSERT(load->refusedUntil <= world.now);
    }
    if (choice.link == LinkKind::BetweenRegions) {
        RC_ASSERT(chosen.location.region == world.spill.front().region);
        RC_ASSERT(world.spill.front().weight > 0.0);
    }
}

}

TEST_CASE("whatever happened, no strategy gets a call to an upstream that must not have it")
{
    const bool held = rc::check([] {
        World world;
        addCandidates(world);
        const std::string_view name = *rc::gen::elementOf(strategyNames());
        Router router({RegionName{"northmere"}, ZoneName{"a"}}, std::move(makeStrategy(name).value()), world.view,
                      Random{*rc::gen::arbitrary<std::uint64_t>()});
        const int steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            if (!world.candidates.empty()) {
                playEvent(world, (*rc::gen::elementOf(world.candidates)).upstream);
            }
            const Result<Choice> choice = router.choose({world.candidates, world.excluded, world.spill, world.now});
            if (choice) {
                checkChoice(world, choice.value());
            } else {
                RC_ASSERT(choice.error().verdict == Verdict::NotRun);
                RC_ASSERT(choice.error().retryAfter > Milliseconds{0});
            }
        }
    });
    CHECK(held);
}
