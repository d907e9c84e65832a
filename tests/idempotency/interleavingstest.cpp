#include <cstdint>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "simulatedfleet.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr int Runs = 3000;
constexpr std::uint32_t ChoiceBound = 1U << 30U;

void add(FleetCounts &total, const FleetCounts &counts)
{
    total.runs += counts.runs;
    total.timedKeyRuns += counts.timedKeyRuns;
    total.replays += counts.replays;
    total.notRun += counts.notRun;
    total.mayHaveRun += counts.mayHaveRun;
    total.copiesRefused += counts.copiesRefused;
    total.outOfMemory += counts.outOfMemory;
    total.lateSendings += counts.lateSendings;
    total.restarts += counts.restarts;
    total.tableChanges += counts.tableChanges;
}

rc::detail::TestResult checkRuns(const std::function<void()> &property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = "no key runs twice, and nothing that ran is said not to have run";
    metadata.description = metadata.id;
    rc::detail::TestParams params;
    params.seed = Seed;
    params.maxSuccess = Runs;
    // To shrink hundreds of events takes minutes, past the test's time limit; without it a failure shows its events.
    params.disableShrinking = true;
    return rc::detail::checkTestable(property, metadata, params);
}

void checkFleets(RefusedKeys refusedKeys)
{
    FleetCounts total;
    const auto result = checkRuns([&total, refusedKeys] {
        const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
            *rc::gen::inRange<std::size_t>(300, 1000), rc::gen::inRange<std::uint32_t>(0, ChoiceBound));
        SimulatedFleet fleet(refusedKeys);
        for (const std::uint32_t choice : choices) {
            fleet.apply(choice);
        }
        fleet.settle(choices.front());
        add(total, fleet.counts());
        RC_ASSERT(fleet.violations() == std::vector<std::string>());
    });
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    INFO(report.str());
    REQUIRE(result.is<rc::detail::SuccessResult>());
    // A fleet in which nothing happens breaks no promise either.
    for (const std::uint64_t count :
         {total.runs, total.timedKeyRuns, total.replays, total.notRun, total.mayHaveRun, total.copiesRefused,
          total.outOfMemory, total.lateSendings, total.restarts, total.tableChanges}) {
        CHECK(count > Runs / 10);
    }
    WARN("runs " << total.runs << ", under caller-chosen keys " << total.timedKeyRuns << ", replays " << total.replays
                 << ", not run " << total.notRun << ", may have run " << total.mayHaveRun << ", copies refused "
                 << total.copiesRefused << ", out of memory " << total.outOfMemory << ", sendings stopped "
                 << total.lateSendings << ", restarts " << total.restarts << ", tables " << total.tableChanges);
}

}

TEST_CASE("no interleaving runs a key twice or denies a run")
{
    // A household is charged twice, or is told that nothing ran and pays again. Ingresses and owners restart, pause and
    // hold different tables, while messages are lost, copied, late and out of order and memories overflow.
    checkFleets(RefusedKeys::StayUsable);
}

TEST_CASE("a key that was said not to have run never runs if refused keys are retired")
{
    // An accountant hears "may have run", asks again with the same key, hears "not run" and pays under a fresh key. The
    // first message was held up in the network and runs then: the payment is made twice.
    checkFleets(RefusedKeys::Retire);
}
