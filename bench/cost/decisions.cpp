// Processor time of one decision of a node.

#include <benchmark/benchmark.h>

#include "admission/workqueue.h"
#include "routing/placement.h"

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
const RouteName Route("route");
constexpr std::size_t Zones = 6;

LoadReport reportOf(std::size_t index)
{
    LoadReport report;
    report.slots = 7;
    report.inFlight = static_cast<std::uint32_t>(index % report.slots);
    report.slowdownPercent = index % 4 == 0 ? 400 : 100;
    report.serviceTimeMicroseconds = 100'000;
    report.meanServiceMicroseconds = 100'000;
    return report;
}

/// Candidates in three regions of two zones each. There is a load report of each candidate.
struct Fleet
{
    std::vector<PlacementCandidate> candidates;
    PlacementView view;

    explicit Fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t zone = index % Zones;
            const Location location{RegionName{"region-" + std::to_string(zone / 2)}, ZoneName{std::to_string(zone)}};
            candidates.push_back({UpstreamName{"upstream-" + std::to_string(index)}, location, false});
            view.onReport(candidates.back().upstream, reportOf(index), Start);
        }
    }
};

void chooseUpstream(benchmark::State &state)
{
    Fleet fleet(static_cast<std::size_t>(state.range(0)));
    Placement placement({RegionName{"region-0"}, ZoneName{"0"}}, fleet.view, Random{1});
    PlacementRequest request;
    request.candidates = fleet.candidates;
    request.demand.baselineTime = Milliseconds{100};
    request.targetLeft = Milliseconds{300};
    request.bodies = Bytes(1000);
    request.now = Start + Milliseconds{1};
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        benchmark::DoNotOptimize(placement.choose(request));
    }
}

WorkOffer offerOf(std::uint64_t call)
{
    WorkOffer offer;
    offer.call = CallId{call};
    offer.route = Route;
    offer.target = Start + Milliseconds{300};
    offer.deadline = Start + std::chrono::seconds{1};
    return offer;
}

void offerAndFinish(benchmark::State &state)
{
    WorkQueue queue;
    (void)queue.setSlots(static_cast<std::uint32_t>(state.range(0)), Start);
    std::uint64_t nextCall = 0;
    while (queue.running() + 1 < queue.limit()) {
        benchmark::DoNotOptimize(queue.offer(offerOf(nextCall++), Start));
    }
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        const CallId call{nextCall};
        benchmark::DoNotOptimize(queue.offer(offerOf(nextCall++), Start));
        benchmark::DoNotOptimize(queue.finish(call, true, Start + Milliseconds{5}));
        benchmark::DoNotOptimize(queue.report(Route, Start + Milliseconds{5}));
    }
}

BENCHMARK(chooseUpstream)->Arg(6)->Arg(23)->Arg(32)->Arg(100);
BENCHMARK(offerAndFinish)->Arg(6)->Arg(9)->Arg(100);

}

BENCHMARK_MAIN();
