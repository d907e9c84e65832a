// Processor time of one decision, and bytes of the records behind it.

#include <benchmark/benchmark.h>

#include "admission/admission.h"
#include "routing/router.h"

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
constexpr std::size_t Zones = 6;

/// Candidates spread over three regions of two zones, each with a report and a latency.
struct World
{
    std::vector<Candidate> candidates;
    LoadView view;

    explicit World(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t zone = index % Zones;
            const Location location{RegionName{"region-" + std::to_string(zone / 2)}, ZoneName{std::to_string(zone)}};
            candidates.push_back({UpstreamName{"upstream-" + std::to_string(index)}, location, 1.0, 6});
            view.onSent(candidates.back().upstream, Start);
            view.onAnswered(candidates.back().upstream, Milliseconds{5}, LoadReport{3, 0, 6, 5000, false}, Start);
        }
    }
};

void chooseUpstream(benchmark::State &state, const char *strategy)
{
    World world(static_cast<std::size_t>(state.range(0)));
    Router router({RegionName{"region-0"}, ZoneName{"0"}}, std::move(makeStrategy(strategy).value()), world.view,
                  Random{1});
    for (auto step : state) {
        benchmark::DoNotOptimize(step);
        benchmark::DoNotOptimize(router.choose({world.candidates, {}, {}, Start + Milliseconds{1}}));
    }
}

void routeAndAnswer(benchmark::State &state)
{
    World world(static_cast<std::size_t>(state.range(0)));
    Router router({RegionName{"region-0"}, ZoneName{"0"}}, std::move(makeStrategy("egretpath").value()), world.view,
                  Random{1});
    for (auto step : state) {
        benchmark::DoNotOptimize(step);
        const Choice choice = router.choose({world.candidates, {}, {}, Start + Milliseconds{1}}).value();
        world.view.onSent(choice.upstream, Start);
        world.view.onAnswered(choice.upstream, Milliseconds{5}, LoadReport{3, 0, 6, 5000, false}, Start);
    }
}

void admitAndFinish(benchmark::State &state)
{
    Admission admission({static_cast<std::uint32_t>(state.range(0)), 12, 0.5});
    std::uint64_t next = 0;
    for (std::int64_t running = 1; running < state.range(0); ++running) {
        benchmark::DoNotOptimize(
            admission.offer(CallId{next++}, CallClass::Lookup, Start + std::chrono::seconds{1}, Start));
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(step);
        const CallId call{next++};
        benchmark::DoNotOptimize(admission.offer(call, CallClass::Lookup, Start + std::chrono::seconds{1}, Start));
        benchmark::DoNotOptimize(admission.finish(call, Start + Milliseconds{5}));
        benchmark::DoNotOptimize(admission.report(Start + Milliseconds{5}));
    }
}

void recordBytes(benchmark::State &state)
{
    for (auto step : state) {
        benchmark::DoNotOptimize(step);
    }
    state.counters["UpstreamLoad"] = sizeof(UpstreamLoad);
    state.counters["Candidate"] = sizeof(Candidate);
}

BENCHMARK_CAPTURE(chooseUpstream, egretpath, "egretpath")->Arg(6)->Arg(23)->Arg(100);
BENCHMARK_CAPTURE(chooseUpstream, random, "random")->Arg(6)->Arg(23)->Arg(100);
BENCHMARK_CAPTURE(chooseUpstream, leastInFlight, "least-in-flight")->Arg(6)->Arg(23)->Arg(100);
BENCHMARK(routeAndAnswer)->Arg(23);
BENCHMARK(admitAndFinish)->Arg(6)->Arg(9)->Arg(100);
BENCHMARK(recordBytes)->Iterations(1);

}

BENCHMARK_MAIN();
