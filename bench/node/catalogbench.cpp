// Processor time that one change of the instance list costs a node, by the size of the fleet.

#include <string>

#include <benchmark/benchmark.h>

#include "instances/instancedirectory.h"
#include "instances/readerelection.h"

using namespace Egretpath;

namespace
{

constexpr int Regions = 7;
constexpr int Services = 970;
const TimePoint Start{std::chrono::seconds(1000)};

InstanceRecord recordOf(int number, std::uint64_t revision)
{
    InstanceRecord record;
    const std::string host = "10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "."
        + std::to_string(number % 256);
    record.id = UpstreamName("i-" + std::to_string(number));
    record.service = ServiceName("service-" + std::to_string(number % Services));
    record.location = {RegionName("region-" + std::to_string(number % Regions)),
                       ZoneName("zone-" + std::to_string(number % 16))};
    record.address = Endpoint(host + ":8301");
    record.node = Endpoint(host + ":7620");
    record.slots = 6;
    record.revision = StoreRevision(revision);
    return record;
}

InstanceDirectory fleetOf(int size)
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    for (int number = 0; number < size; ++number) {
        snapshot.records.push_back(recordOf(number, 1));
    }
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, Start);
    return directory;
}

/// A change arrives, the index is built for the next request, and the readers are ranked again.
void oneChange(benchmark::State &state)
{
    const int size = static_cast<int>(state.range(0));
    InstanceDirectory directory = fleetOf(size);
    ReaderElection election(RegionName("region-0"));
    std::uint64_t revision = 1;
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        const InstanceRecord record = recordOf(static_cast<int>(++revision) % size, revision);
        directory.applyChange({record.id, record.revision, record}, Start);
        benchmark::DoNotOptimize(directory.ready(record.service).size());
        election.update(directory, recordOf(0, 1).node);
    }
}

/// A reader searches the list for the changes that a follower lacks. The follower has the same revision, so the answer
/// is empty.
void oneAnswer(benchmark::State &state)
{
    const InstanceDirectory directory = fleetOf(static_cast<int>(state.range(0)));
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        benchmark::DoNotOptimize(directory.changesSince(StoreRevision(1)));
    }
}

BENCHMARK(oneChange)->Arg(18)->Arg(1000)->Arg(5000)->Arg(22000)->Unit(benchmark::kMicrosecond);
BENCHMARK(oneAnswer)->Arg(18)->Arg(1000)->Arg(5000)->Arg(22000)->Unit(benchmark::kMicrosecond);

}

BENCHMARK_MAIN();
