// Processor time that a change of the routes costs the node that reads it from the store, and each node that it
// reaches.

#include <benchmark/benchmark.h>

#include <sstream>

#include "core/digest.h"
#include "platform/base64.h"
#include "platform/publishedroutes.h"
#include "routes/routechanges.h"
#include "rpc/routecoding.h"

using namespace Egretpath;

namespace
{

/// Routes in the platform's form.
std::string publishedText(std::int64_t routeCount)
{
    std::ostringstream text;
    text << R"({"version":"0000000c","listeners":[{"hostname":"h.example","rules":[)";
    for (std::int64_t number = 0; number < routeCount; ++number) {
        const std::uint64_t name = stableHash(std::to_string(number));
        text << (number == 0 ? "" : ",") << R"({"name":"r-)" << name
             << R"(","kind":"safe","target_latency":"300ms","priority":2,)"
             << R"("match":{"prefix":"/)" << name << R"(/"},)"
             << R"("action":{"service":"statements","timeout":"800ms","max_attempts":3}})";
    }
    text << R"(]}],"clusters":[]})";
    return text.str();
}

void parseRoutes(benchmark::State &state)
{
    const std::string text = publishedText(state.range(0));
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        benchmark::DoNotOptimize(Platform::routesFromJson(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

/// The table of which one route is changed, or of which half of the routes are new.
RouteTablePointer tableBefore(std::int64_t routeCount, bool isHalf)
{
    return Platform::routesFromJson(publishedText(isHalf ? routeCount / 2 : routeCount - 1)).value();
}

void packChangesOf(benchmark::State &state, const RouteTable *before)
{
    const RouteTablePointer after = Platform::routesFromJson(publishedText(state.range(0))).value();
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        benchmark::DoNotOptimize(packChanges(changesBetween(before, *after)));
    }
    state.counters["bytes"] = static_cast<double>(packChanges(changesBetween(before, *after)).bytes.size());
}

void applyChangesOf(benchmark::State &state, const RouteTable *before)
{
    const RouteTablePointer after = Platform::routesFromJson(publishedText(state.range(0))).value();
    const PackedRoutes packed = packChanges(changesBetween(before, *after));
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        benchmark::DoNotOptimize(tableAfter(before, unpackChanges(packed).value()));
    }
}

void packOneRoute(benchmark::State &state)
{
    packChangesOf(state, tableBefore(state.range(0), false).get());
}

void packHalfTheRoutes(benchmark::State &state)
{
    packChangesOf(state, tableBefore(state.range(0), true).get());
}

void packAllRoutes(benchmark::State &state)
{
    packChangesOf(state, nullptr);
}

void applyOneRoute(benchmark::State &state)
{
    applyChangesOf(state, tableBefore(state.range(0), false).get());
}

void applyHalfTheRoutes(benchmark::State &state)
{
    applyChangesOf(state, tableBefore(state.range(0), true).get());
}

void applyAllRoutes(benchmark::State &state)
{
    applyChangesOf(state, nullptr);
}

/// The store's answers hold values as base64.
void decodeStoreValue(benchmark::State &state)
{
    constexpr std::size_t EncodedGroup = 4;
    constexpr std::size_t DecodedGroup = 3;
    const std::size_t groups = publishedText(state.range(0)).size() / DecodedGroup;
    const std::string encoded(groups * EncodedGroup, 'e');
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        benchmark::DoNotOptimize(Platform::decodeBase64(encoded));
    }
}

BENCHMARK(parseRoutes)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(packOneRoute)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(packHalfTheRoutes)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(packAllRoutes)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(applyOneRoute)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(applyHalfTheRoutes)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(applyAllRoutes)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);
BENCHMARK(decodeStoreValue)->Arg(22)->Arg(1400)->Arg(2800)->Arg(4200);

}

BENCHMARK_MAIN();
