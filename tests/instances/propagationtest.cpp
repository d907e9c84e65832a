#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "catalogfleet.h"

using namespace Egretpath;

namespace
{

constexpr int Nodes = 18;
constexpr int Regions = 3;
constexpr int Seeds = 100;
constexpr std::chrono::seconds SettleTime{3};
constexpr std::chrono::seconds SeriesLength{6};
constexpr Milliseconds ChangeInterval{150};
/// A change has to reach every node within these times. The users' bound is two seconds; with one fault half of it.
constexpr Milliseconds BoundWithoutFault{500};
constexpr Milliseconds BoundWithFault{1000};
constexpr Milliseconds BoundWithTwoFaults{1500};

struct FleetSize
{
    int nodes = Nodes;
    int regions = Regions;
    int seeds = Seeds;
};

/// Two readers for each region.
constexpr FleetSize LargeFleet{160, 2, 20};

/// What fails in a region, at a moment that depends on the seed.
using Fault = std::function<void(CatalogFleet &)>;

int forwarderOfRegion(const CatalogFleet &fleet, int region)
{
    const std::vector<int> followers = fleet.followersOf(fleet.readerOfRegion(region));
    return *std::max_element(followers.begin(), followers.end(), [&fleet](int left, int right) {
        return fleet.followersOf(left).size() < fleet.followersOf(right).size();
    });
}

void cutReaderFromStore(CatalogFleet &fleet)
{
    fleet.cutFromStore(fleet.readerOfRegion(0));
}

void refuseReader(CatalogFleet &fleet)
{
    const int reader = fleet.readerOfRegion(0);
    fleet.setStoreAvailability([reader](int node) { return node != reader; });
}

void refuseAllReaders(CatalogFleet &fleet)
{
    const std::set<int> readers = fleet.readers();
    fleet.setStoreAvailability([readers](int node) { return !readers.contains(node); });
}

void freezeReader(CatalogFleet &fleet)
{
    fleet.kill(fleet.readerOfRegion(0));
}

void freezeForwarder(CatalogFleet &fleet)
{
    fleet.kill(forwarderOfRegion(fleet, 0));
}

void cutReaderAndFreezeForwarder(CatalogFleet &fleet)
{
    const int forwarder = forwarderOfRegion(fleet, 0);
    cutReaderFromStore(fleet);
    fleet.kill(forwarder);
}

/// The store ends its watches after about this time when it forgets its history.
constexpr Milliseconds SilentWatchTime{1200};

void cutAllReadersOfRegion(CatalogFleet &fleet)
{
    for (const int reader : fleet.readersOfRegion(0)) {
        fleet.cutFromStore(reader);
    }
}

void cutOneReaderAndFreezeAnother(CatalogFleet &fleet)
{
    const std::vector<int> readers = fleet.readersOfRegion(0);
    fleet.cutFromStore(readers.front());
    fleet.kill(readers.back());
}

void cutReaderAndFreezeFollower(CatalogFleet &fleet)
{
    const int reader = fleet.readerOfRegion(0);
    const std::vector<int> followers = fleet.followersOf(reader);
    fleet.cutFromStore(reader);
    fleet.kill(followers.front());
}

void silenceWatches(CatalogFleet &fleet)
{
    fleet.silenceWatches(SilentWatchTime);
}

void silenceWatchesAndFreezeReader(CatalogFleet &fleet)
{
    silenceWatches(fleet);
    freezeReader(fleet);
}

void silenceWatchesAndCutReader(CatalogFleet &fleet)
{
    silenceWatches(fleet);
    cutReaderFromStore(fleet);
}

/// Moments that are spread over the waits of a node.
Milliseconds momentOf(int seed)
{
    constexpr int Step = 37;
    constexpr int Range = 1500;
    return Milliseconds(seed * Step % Range);
}

/// The longest lags during a series of changes, one for each seed, the shortest first.
std::vector<Milliseconds> lagsInSeries(const Fault &fault, const FleetSize &size = {})
{
    std::vector<Milliseconds> lags;
    for (int seed = 1; seed <= size.seeds; ++seed) {
        CatalogFleet fleet(size.nodes, size.regions, static_cast<std::uint64_t>(seed));
        fleet.runUntil(fleet.now() + SettleTime);
        const TimePoint end = fleet.now() + SeriesLength;
        fleet.publishSeries(ChangeInterval, end);
        fleet.runUntil(fleet.now() + Milliseconds(2000) + momentOf(seed));
        fault(fleet);
        fleet.runUntil(end + SettleTime);
        lags.push_back(fleet.maxLag());
    }
    std::sort(lags.begin(), lags.end());
    return lags;
}

/// The longest lags during a series of changes once other sources were found after a fault, one for each seed, the
/// shortest first.
std::vector<Milliseconds> lagsAfterSearch(const Fault &fault)
{
    constexpr Milliseconds SearchTime{1300};
    std::vector<Milliseconds> lags;
    for (int seed = 1; seed <= Seeds; ++seed) {
        CatalogFleet fleet(Nodes, Regions, static_cast<std::uint64_t>(seed));
        fleet.runUntil(fleet.now() + SettleTime);
        const TimePoint end = fleet.now() + SeriesLength + SearchTime;
        fleet.publishSeries(ChangeInterval, end);
        fleet.runUntil(fleet.now() + momentOf(seed));
        fault(fleet);
        fleet.runUntil(fleet.now() + SearchTime);
        fleet.forgetLags();
        fleet.runUntil(end + SettleTime);
        lags.push_back(fleet.maxLag());
    }
    std::sort(lags.begin(), lags.end());
    return lags;
}

/// The longest lags of one change that is published after a fault, one for each seed, the shortest first.
std::vector<Milliseconds> lagsOfOneChange(const Fault &fault)
{
    std::vector<Milliseconds> lags;
    for (int seed = 1; seed <= Seeds; ++seed) {
        CatalogFleet fleet(Nodes, Regions, static_cast<std::uint64_t>(seed));
        fleet.runUntil(fleet.now() + SettleTime + momentOf(seed));
        fault(fleet);
        fleet.runUntil(fleet.now() + momentOf(seed * 3));
        fleet.publish();
        fleet.runUntil(fleet.now() + SettleTime);
        lags.push_back(fleet.maxLag());
    }
    std::sort(lags.begin(), lags.end());
    return lags;
}

std::string summary(const std::vector<Milliseconds> &lags)
{
    const auto at = [&lags](double share) {
        return std::to_string(lags[static_cast<std::size_t>(share * static_cast<double>(lags.size() - 1))].count());
    };
    return "median " + at(0.5) + " ms, p90 " + at(0.9) + " ms, longest " + at(1.0) + " ms";
}

void checkLongest(const std::vector<Milliseconds> &lags, Milliseconds bound)
{
    INFO(summary(lags));
    CHECK(lags.back() <= bound);
}

}

// Guards against nodes that lost the same reader and take each other for a source.
TEST_CASE("a change reaches all nodes in time although the store refuses a region's reader")
{
    checkLongest(lagsOfOneChange(refuseReader), BoundWithFault);
}

TEST_CASE("a change reaches all nodes in time although the store refuses all regular readers")
{
    checkLongest(lagsOfOneChange(refuseAllReaders), BoundWithFault);
}

// Guards against a first change that waits until a series of changes has been gathered.
TEST_CASE("changes in a series reach all nodes without delay while nothing fails")
{
    checkLongest(lagsInSeries([](CatalogFleet & /*fleet*/) {}), BoundWithoutFault);
}

// Guards against a reader that tells its followers that there is no update while the store does not answer it.
TEST_CASE("changes in a series reach all nodes in time although a region's reader is cut off from the store")
{
    checkLongest(lagsInSeries(cutReaderFromStore), BoundWithFault);
}

// Guards against followers that wait for a node that is suspended although other nodes have the change.
TEST_CASE("changes in a series reach all nodes in time although a node that passes them on is suspended")
{
    checkLongest(lagsInSeries(freezeForwarder), BoundWithFault);
}

TEST_CASE("changes in a series reach all nodes in time although a region's reader is suspended")
{
    checkLongest(lagsInSeries(freezeReader), BoundWithFault);
}

TEST_CASE("changes in a series reach all nodes in time although a reader is cut off and a node below it suspended")
{
    checkLongest(lagsInSeries(cutReaderAndFreezeForwarder), BoundWithTwoFaults);
}

// Guards against readers that take a store whose watches bring nothing for one without changes.
TEST_CASE("changes in a series reach all nodes in time although the store's watches bring nothing for a while")
{
    checkLongest(lagsInSeries(silenceWatches), BoundWithFault);
}

TEST_CASE("changes in a series reach all nodes in time although watches bring nothing and a reader is suspended")
{
    checkLongest(lagsInSeries(silenceWatchesAndFreezeReader), BoundWithTwoFaults);
}

TEST_CASE("changes in a series reach all nodes in time although watches bring nothing and a reader is cut off")
{
    checkLongest(lagsInSeries(silenceWatchesAndCutReader), BoundWithTwoFaults);
}

// Guards against a source that failed and is tried again in place of the query to the source that works.
TEST_CASE("changes reach all nodes without delay once another source was found for one that is suspended")
{
    checkLongest(lagsAfterSearch(freezeForwarder), BoundWithoutFault);
}

TEST_CASE("changes in a series reach all nodes in time although a reader is cut off and a node next to it suspended")
{
    checkLongest(lagsInSeries(cutReaderAndFreezeFollower), BoundWithTwoFaults);
}

TEST_CASE("changes in a series reach all nodes of a large region without delay while nothing fails")
{
    checkLongest(lagsInSeries([](CatalogFleet & /*fleet*/) {}, LargeFleet), BoundWithoutFault);
}

TEST_CASE("changes in a series reach all nodes of a large region in time although both its readers are cut off")
{
    checkLongest(lagsInSeries(cutAllReadersOfRegion, LargeFleet), BoundWithTwoFaults);
}

TEST_CASE("changes in a series reach a large region in time although one reader is cut off and the other suspended")
{
    checkLongest(lagsInSeries(cutOneReaderAndFreezeAnother, LargeFleet), BoundWithTwoFaults);
}
