#include "quarantine/quarantinespread.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace Egretpath;

namespace
{

const ServiceName Statements("statements");

InstanceRecord record(int number, int regions)
{
    InstanceRecord record;
    record.id = UpstreamName("i-" + std::to_string(number));
    record.service = number % 2 == 0 ? Statements : ServiceName("other");
    record.location.region = RegionName("r" + std::to_string(number % regions));
    record.address = Endpoint("10.0.0." + std::to_string(number) + ":1");
    record.node = Endpoint("10.0.0." + std::to_string(number) + ":2");
    record.revision = StoreRevision(1);
    return record;
}

InstanceDirectory fleet(int size, int regions, int without = -1)
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    for (int number = 0; number < size; ++number) {
        if (number != without) {
            snapshot.records.push_back(record(number, regions));
        }
    }
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, TimePoint());
    return directory;
}

}

TEST_CASE("the same few nodes of each region join the crashes of a service, however large the fleet")
{
    const QuarantineSpread spread{Random(1)};
    const InstanceDirectory directory = fleet(300, 3);
    const std::vector<Endpoint> keepers = spread.keepers(directory, Statements);
    CHECK(keepers.size() == 6);
    CHECK(QuarantineSpread{Random(2)}.keepers(directory, Statements) == keepers);
    CHECK(spread.keepers(directory, ServiceName("other")) != keepers);
    std::set<RegionName> regions;
    for (const Endpoint &keeper : keepers) {
        regions.insert(directory.findByNode(keeper)->location.region);
    }
    CHECK(regions.size() == 3);
}

// Guards against two crashes of one request that never meet, since the list changes between them.
TEST_CASE("a node that leaves the list takes at most its own place among those that join crashes")
{
    const QuarantineSpread spread{Random(1)};
    const std::vector<Endpoint> before = spread.keepers(fleet(18, 3), Statements);
    for (int gone = 0; gone < 18; ++gone) {
        const std::vector<Endpoint> after = spread.keepers(fleet(18, 3, gone), Statements);
        const std::set<Endpoint> left(after.begin(), after.end());
        const auto kept =
            std::count_if(before.begin(), before.end(), [&](const Endpoint &node) { return left.contains(node); });
        CHECK(kept >= 5);
    }
}

// Guards against a request that goes on ending upstreams beside nodes that nobody told.
TEST_CASE("what each node passes on reaches nearly all of a large fleet in a few steps")
{
    constexpr int Size = 1000;
    constexpr int Steps = 5;
    const InstanceDirectory directory = fleet(Size, 5);
    std::set<Endpoint> informed{record(0, 5).node};
    std::set<Endpoint> news = informed;
    for (int step = 0; step < Steps; ++step) {
        std::set<Endpoint> next;
        for (const Endpoint &node : news) {
            QuarantineSpread spread{Random(std::hash<Endpoint>{}(node))};
            for (const Endpoint &listener : spread.listeners(directory, node)) {
                if (informed.insert(listener).second) {
                    next.insert(listener);
                }
            }
        }
        news = next;
    }
    CHECK(informed.size() > Size * 98 / 100);
}

TEST_CASE("a message takes the latest and, by and by, all others")
{
    QuarantineSpread spread{Random(1)};
    std::vector<SuspectedRequest> all;
    all.reserve(200);
    for (int number = 0; number < 200; ++number) {
        all.push_back({fingerprintOf({"GET", "h", std::to_string(number), ""}), {}, Milliseconds(number)});
    }
    std::set<RequestFingerprint> seen;
    for (int message = 0; message < 50; ++message) {
        const std::vector<SuspectedRequest> sent = spread.inOneMessage(all);
        CHECK(sent.size() == 64);
        CHECK(sent[0].fingerprint == all[0].fingerprint);
        for (const SuspectedRequest &item : sent) {
            seen.insert(item.fingerprint);
        }
    }
    CHECK(seen.size() == all.size());
}
