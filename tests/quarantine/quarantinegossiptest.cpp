#include "quarantine/quarantinegossip.h"

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

InstanceDirectory fleet(int size, int regions, int removed = -1)
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    for (int number = 0; number < size; ++number) {
        if (number != removed) {
            snapshot.records.push_back(record(number, regions));
        }
    }
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, TimePoint());
    return directory;
}

}

TEST_CASE("all nodes choose the same few nodes of each region to collect the crashes of a service")
{
    const QuarantineGossip gossip{Random(1)};
    const InstanceDirectory directory = fleet(300, 3);
    const std::vector<Endpoint> collectors = gossip.collectors(directory, Statements);
    CHECK(collectors.size() == 6);
    CHECK(QuarantineGossip{Random(2)}.collectors(directory, Statements) == collectors);
    CHECK(gossip.collectors(directory, ServiceName("other")) != collectors);
    std::set<RegionName> regions;
    for (const Endpoint &collector : collectors) {
        regions.insert(directory.findByNode(collector)->location.region);
    }
    CHECK(regions.size() == 3);
}

// Guards against two crashes of one request that are reported to different nodes, because the list of instances changes
// between them.
TEST_CASE("at most one collector changes when a node leaves the list")
{
    const QuarantineGossip gossip{Random(1)};
    const std::vector<Endpoint> before = gossip.collectors(fleet(18, 3), Statements);
    for (int removed = 0; removed < 18; ++removed) {
        const std::vector<Endpoint> after = gossip.collectors(fleet(18, 3, removed), Statements);
        const std::set<Endpoint> remaining(after.begin(), after.end());
        const auto kept =
            std::count_if(before.begin(), before.end(), [&](const Endpoint &node) { return remaining.contains(node); });
        CHECK(kept >= 5);
    }
}

// Guards against a request that continues to crash upstreams beside nodes that have not learned that it is refused.
TEST_CASE("gossip reaches nearly all nodes of a large fleet in five steps")
{
    constexpr int Size = 1000;
    constexpr int Steps = 5;
    const InstanceDirectory directory = fleet(Size, 5);
    std::set<Endpoint> informed{record(0, 5).node};
    std::set<Endpoint> newlyInformed = informed;
    for (int step = 0; step < Steps; ++step) {
        std::set<Endpoint> next;
        for (const Endpoint &node : newlyInformed) {
            QuarantineGossip gossip{Random(std::hash<Endpoint>{}(node))};
            for (const Endpoint &target : gossip.gossipTargets(directory, node)) {
                if (informed.insert(target).second) {
                    next.insert(target);
                }
            }
        }
        newlyInformed = next;
    }
    CHECK(informed.size() > Size * 98 / 100);
}

TEST_CASE("each message holds the latest request, and every other one is in some message")
{
    QuarantineGossip gossip{Random(1)};
    std::vector<SuspectedRequest> all;
    all.reserve(200);
    for (int number = 0; number < 200; ++number) {
        all.push_back({fingerprintOf({"GET", "h", std::to_string(number), ""}), {}, Milliseconds(number)});
    }
    std::set<RequestFingerprint> seen;
    for (int message = 0; message < 50; ++message) {
        const std::vector<SuspectedRequest> sent = gossip.selectForMessage(all);
        CHECK(sent.size() == 64);
        CHECK(sent[0].fingerprint == all[0].fingerprint);
        for (const SuspectedRequest &item : sent) {
            seen.insert(item.fingerprint);
        }
    }
    CHECK(seen.size() == all.size());
}
