// Processor time of listing the candidates of one call, for tables of several numbers of services.

#include <algorithm>
#include <string>
#include <utility>

#include <benchmark/benchmark.h>

#include "node/blackboard.h"
#include "node/candidateset.h"
#include "table/tableparser.h"

namespace Egretpath
{

namespace
{

constexpr std::int64_t UpstreamsPerService = 23;
constexpr std::int64_t Regions = 7;
constexpr std::uint64_t Seed = 1;

std::string regionName(std::int64_t index)
{
    return "region-" + std::to_string(index % Regions);
}

std::string serviceName(std::int64_t index)
{
    return "service-" + std::to_string(index);
}

std::string upstreamName(std::int64_t service, std::int64_t index)
{
    return serviceName(service) + "-" + std::to_string(index);
}

/// Each service may spill to every region.
std::string tableText(std::int64_t services)
{
    std::string text = "service,region,upstream,weight,in_flight_cap,queue_cap,connection_cap,tries_cap,body_cap,"
                       "measure_cap,deadline_ms\n";
    for (std::int64_t service = 0; service < services; ++service) {
        const std::string name = serviceName(service);
        text.append(name).append(",,,,,,,3,1048576,,800\n");
        for (std::int64_t region = 0; region < Regions; ++region) {
            text.append(name).append(",").append(regionName(region)).append(",,30,,,,,,,\n");
        }
        for (std::int64_t index = 0; index < UpstreamsPerService; ++index) {
            text.append(name).append(",").append(regionName(index)).append(",");
            text.append(upstreamName(service, index)).append(",100,6,6,220,,,,\n");
        }
    }
    return text;
}

VmList listOf(std::int64_t services)
{
    VmList list;
    list.version = 1;
    for (std::int64_t service = 0; service < services; ++service) {
        for (std::int64_t index = 0; index < UpstreamsPerService; ++index) {
            VmRecord record;
            record.upstream = UpstreamName(upstreamName(service, index));
            record.service = ServiceName(serviceName(service));
            record.location = {RegionName(regionName(index)), ZoneName(regionName(index) + "-a")};
            record.node = Endpoint("127.0.0.1:8081");
            list.records.push_back(record);
        }
    }
    std::sort(list.records.begin(), list.records.end(),
              [](const VmRecord &left, const VmRecord &right) { return left.upstream < right.upstream; });
    return list;
}

void listCandidates(benchmark::State &state)
{
    NodeSettings settings;
    settings.node = {UpstreamName(upstreamName(0, 0)), ServiceName(serviceName(0)), RegionName(regionName(0)),
                     ZoneName(regionName(0) + "-a")};
    Blackboard board(std::move(settings), Incarnation(1), Seed);
    const TimePoint now{};
    board.table = TableParser::parse(tableText(state.range(0)), "bench", TableNumber(1)).value();
    board.membership.applyList(listOf(state.range(0)), now);
    const ServiceName service(serviceName(state.range(0) / 2));
    for (auto step : state) {
        benchmark::DoNotOptimize(candidatesOf(board, service, now));
    }
}

BENCHMARK(listCandidates)->Unit(benchmark::kMicrosecond)->Arg(10)->Arg(100)->Arg(970);

}

}

BENCHMARK_MAIN();
