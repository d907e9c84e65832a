#include <malloc.h>

#include <algorithm>
#include <string>

#include <benchmark/benchmark.h>

#include "linereporter.h"
#include "table/tablecolumns.h"
#include "table/tablediff.h"
#include "table/tableparser.h"
#include "table/tablepublication.h"

namespace Egretpath
{

namespace
{

/// Upstreams of a service at the size that is designed for: 22,000 in 970.
constexpr std::int64_t UpstreamsPerService = 22;
constexpr std::int64_t Regions = 7;

const std::string CommonWeight = "100";
const std::string DrainWeight = "0";

std::string tableText(std::int64_t upstreams, const std::string &lastWeight)
{
    std::string text = canonicalHeader() + "\n";
    for (std::int64_t index = 0; index < upstreams; ++index) {
        const std::string service = "service-" + std::to_string(index / UpstreamsPerService);
        if (index % UpstreamsPerService == 0) {
            text.append(service).append(",,,,,,,1,1048576,,800\n");
        }
        const std::string region = std::to_string(index % Regions);
        const std::string &weight = index + 1 == upstreams ? lastWeight : CommonWeight;
        text.append(service).append(",region-").append(region).append(",").append(service).append("-");
        text.append(std::to_string(index)).append(",").append(weight).append(",6,6,220,,,,\n");
    }
    return text;
}

TablePointer parsed(const std::string &text, std::uint64_t number)
{
    return TableParser::parse(text, "bench.csv", TableNumber(number)).value();
}

double heldBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void parse(benchmark::State &state)
{
    const std::string text = tableText(state.range(0), CommonWeight);
    const double before = heldBytes();
    const TablePointer held = parsed(text, 1);
    const double bytes = heldBytes() - before;
    for (auto step : state) {
        benchmark::DoNotOptimize(parsed(text, 1));
    }
    state.counters["memory:bytes"] = bytes;
    state.counters["memory_per_upstream_row:bytes"] = bytes / static_cast<double>(state.range(0));
    state.counters["file:bytes"] = static_cast<double>(text.size());
}

void applyOneRow(benchmark::State &state)
{
    const TablePointer base = parsed(tableText(state.range(0), CommonWeight), 1);
    const TablePointer target = parsed(tableText(state.range(0), DrainWeight), 2);
    const TableChange change = TableDiff::between(*base, *target);
    for (auto step : state) {
        benchmark::DoNotOptimize(TableDiff::apply(*base, change));
    }
}

void compare(benchmark::State &state)
{
    const TablePointer base = parsed(tableText(state.range(0), CommonWeight), 1);
    const TablePointer target = parsed(tableText(state.range(0), DrainWeight), 2);
    for (auto step : state) {
        benchmark::DoNotOptimize(TableDiff::between(*base, *target));
    }
}

void assemble(benchmark::State &state)
{
    const TablePointer table = parsed(tableText(state.range(0), CommonWeight), 1);
    const SplitTable split = TablePublication::split(*table).value();
    for (auto step : state) {
        benchmark::DoNotOptimize(TablePublication::assemble(split.head, split.parts, "bench"));
    }
    std::size_t largest = 0;
    for (const auto &[digest, text] : split.parts) {
        largest = std::max(largest, text.size());
    }
    state.counters["head:bytes"] = static_cast<double>(TablePublication::printHead(split.head).size());
    state.counters["largest_part:bytes"] = static_cast<double>(largest);
}

void updateOnePart(benchmark::State &state)
{
    const TablePointer base = parsed(tableText(state.range(0), CommonWeight), 1);
    const TablePointer target = parsed(tableText(state.range(0), DrainWeight), 2);
    const TableHead baseHead = TablePublication::split(*base).value().head;
    const SplitTable split = TablePublication::split(*target).value();
    for (auto step : state) {
        benchmark::DoNotOptimize(TablePublication::update(*base, baseHead, split.head, split.parts, "bench"));
    }
}

void atEachSize(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Unit(benchmark::kMillisecond)->Arg(1000)->Arg(5000)->Arg(22000);
}

BENCHMARK(parse)->Apply(atEachSize);
BENCHMARK(applyOneRow)->Apply(atEachSize);
BENCHMARK(compare)->Apply(atEachSize);
BENCHMARK(updateOnePart)->Apply(atEachSize);
BENCHMARK(assemble)->Apply(atEachSize);

}

}

int main(int argumentCount, char **arguments)
{
    benchmark::Initialize(&argumentCount, arguments);
    Egretpath::LineReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    benchmark::Shutdown();
    return 0;
}
