#include "instances/readerelection.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fleetlist.h"

using namespace Egretpath;

namespace
{

const RegionName North("north");

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

InstanceDirectory fleetOf(int nodes, const RegionName &region = North)
{
    return listOf(nodes, [&region](int) { return region; });
}

ReaderElection electionOf(const InstanceDirectory &directory, int number)
{
    ReaderElection election(North);
    election.update(directory, nodeOf(number));
    return election;
}

int readersOf(int nodes)
{
    const InstanceDirectory directory = fleetOf(nodes);
    int readers = 0;
    for (int number = 0; number < nodes; ++number) {
        readers += electionOf(directory, number).isReader() ? 1 : 0;
    }
    return readers;
}

}

TEST_CASE("a few nodes of a region read the store, however many there are")
{
    CHECK(readersOf(1) == 1);
    CHECK(readersOf(6) == 1);
    CHECK(readersOf(64) == 1);
    CHECK(readersOf(65) == 2);
    CHECK(readersOf(640) == 10);
}

TEST_CASE("no node passes news on to many, and all news comes from a reader in a few steps")
{
    constexpr int Nodes = 640;
    const InstanceDirectory directory = fleetOf(Nodes);
    std::map<Endpoint, int> followers;
    std::map<Endpoint, Endpoint> sources;
    for (int number = 0; number < Nodes; ++number) {
        if (const auto source = electionOf(directory, number).source(at(0))) {
            ++followers[*source];
            sources[nodeOf(number)] = *source;
        }
    }
    for (const auto &[node, count] : followers) {
        CHECK(count <= 3);
    }
    for (int number = 0; number < Nodes; ++number) {
        int steps = 0;
        for (Endpoint node = nodeOf(number); sources.contains(node); node = sources[node]) {
            ++steps;
        }
        CHECK(steps <= 4);
    }
}

TEST_CASE("nobody follows in a circle, whatever fails")
{
    // Each node follows one that is ranked before it, so that chains end at a node that reads.
    constexpr int Nodes = 30;
    const InstanceDirectory directory = fleetOf(Nodes);
    std::map<Endpoint, std::set<Endpoint>> sources;
    for (int number = 0; number < Nodes; ++number) {
        ReaderElection election = electionOf(directory, number);
        while (const auto source = election.source(at(0))) {
            sources[nodeOf(number)].insert(*source);
            election.failed(*source, at(0));
        }
    }
    const std::function<bool(const Endpoint &, int)> ends = [&](const Endpoint &node, int depth) {
        if (depth > Nodes) {
            return false;
        }
        for (const Endpoint &source : sources[node]) {
            if (!ends(source, depth + 1)) {
                return false;
            }
        }
        return true;
    };
    for (int number = 0; number < Nodes; ++number) {
        CHECK(ends(nodeOf(number), 0));
    }
}

// Routes change while the region's reader is cut off from everybody, and all nodes of the region go on with the old
// ones. A follower has to go on to another node, and to the store itself when those fail too.
TEST_CASE("a follower whose sources fail reads for itself, and tries them again after a while")
{
    const InstanceDirectory directory = fleetOf(20);
    int follower = 0;
    while (electionOf(directory, follower).isReader()) {
        ++follower;
    }
    ReaderElection election = electionOf(directory, follower);
    const Endpoint first = *election.source(at(0));
    int asked = 0;
    while (const auto source = election.source(at(0))) {
        election.failed(*source, at(0));
        ++asked;
    }
    CHECK(asked <= 3);
    CHECK(election.source(at(600)) == first);
    election.failed(first, at(600));
    CHECK(election.source(at(1500)) != first);
    election.answered(first);
    CHECK(election.source(at(1500)) == first);
}

TEST_CASE("a node that is not listed yet follows as it will when it is")
{
    // A fleet starts, and each node knows the list before its own upstream is on it.
    CHECK_FALSE(electionOf(fleetOf(20), 200).isReader());
    CHECK(electionOf(fleetOf(20, RegionName("south")), 3).isReader());
}
