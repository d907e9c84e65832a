#include <functional>

#include <catch2/catch.hpp>

#include "fleetlist.h"
#include "instances/catalogplan.h"

using namespace Egretpath;

namespace
{

constexpr std::uint64_t Seed = 7;
/// So large a fleet that its nodes' own turns to probe the store don't come in these tests.
constexpr int Nodes = 3000;
constexpr Milliseconds StepTime{10};

SourceReport available()
{
    SourceReport report;
    report.store = StoreState::Available;
    report.reader = Endpoint("10.9.9.9:7620");
    return report;
}

/// What a node says that calls the store, or follows one that does, and gets no answers.
SourceReport unavailable()
{
    SourceReport report;
    report.store = StoreState::Unavailable;
    report.reader = Endpoint("10.9.9.9:7620");
    return report;
}

/// What a node says that has lost its own sources.
SourceReport unwatched()
{
    SourceReport report = unavailable();
    report.isStoreUnwatched = true;
    return report;
}

RegionName regionOf(int node)
{
    return RegionName(node % 3 == 0 ? "north" : "south");
}

/// A node far below the readers, which follows its first source.
struct Follower
{
    explicit Follower(bool isListed = true)
        : directory(directoryOf(Nodes, regionOf))
    {
        int node = 0;
        do {
            plan = CatalogPlan(RegionName("north"), ReaderElectionSettings(), CatalogTimes(), Random(Seed));
            plan.listChanged(directory, nodeAddress(node), isListed);
            node += 3;
            plan.onAnswer(plan.nextQuery(now).value_or(SourceQuery{nodeAddress(node)}).node, available(), now);
        } while (plan.reading() != StoreReading::None);
        source = *plan.following();
    }

    /// Lets the node query others until it reads the store or has asked all. @p answer: what a node answers; nothing if
    /// it is silent.
    void search(const std::function<std::optional<SourceReport>(const Endpoint &)> &answer)
    {
        constexpr int MaxQueries = 60;
        for (int count = 0; count < MaxQueries && plan.reading() == StoreReading::None; ++count) {
            const std::optional<SourceQuery> query = plan.nextQuery(now);
            if (!query) {
                break;
            }
            if (const auto report = answer(query->node)) {
                plan.onAnswer(query->node, *report, now);
            } else {
                plan.onNoAnswer(query->node, now);
            }
            now += StepTime;
        }
    }

    InstanceDirectory directory;
    CatalogPlan plan{RegionName("north"), ReaderElectionSettings(), CatalogTimes(), Random(Seed)};
    TimePoint now = TimePoint(std::chrono::seconds(1000));
    Endpoint source;
};

}

// Guards against followers that have lost the same reader and wait for each other, although the store is well.
TEST_CASE("a node that hears of the store only from nodes without a reader reads it itself")
{
    Follower follower;
    follower.search([](const Endpoint &) { return unwatched(); });
    CHECK(follower.plan.reading() == StoreReading::Standby);
    follower.plan.onAnswer(follower.source, available(), follower.now);
    CHECK(follower.plan.reading() == StoreReading::None);
}

// Guards against a fleet that calls a store which is unavailable.
TEST_CASE("a node that hears from a reader that the store is unavailable stays with its source")
{
    Follower follower;
    follower.search([](const Endpoint &) { return unavailable(); });
    CHECK(follower.plan.reading() == StoreReading::None);
    CHECK(follower.plan.following() == follower.source);
    CHECK_FALSE(follower.plan.wantsStoreProbe(follower.now + std::chrono::seconds(1)));
}

// Guards against a node that believes the nodes on the wrong side of a cut.
TEST_CASE("a node to which others are silent probes a store that is reported as unavailable")
{
    Follower follower;
    follower.search([&follower](const Endpoint &node) {
        return node == follower.source ? std::optional(unavailable()) : std::nullopt;
    });
    REQUIRE(follower.plan.reading() == StoreReading::None);
    CHECK(follower.plan.wantsStoreProbe(follower.now));
    CHECK_FALSE(follower.plan.wantsStoreProbe(follower.now + Milliseconds(100)));
    CHECK(follower.plan.wantsStoreProbe(follower.now + std::chrono::seconds(2)));
}

// Guards against a node that joined during a cut and asks the nodes of a list from before.
TEST_CASE("a node that its own list doesn't name probes a store that is reported as unavailable")
{
    Follower follower(false);
    follower.search([](const Endpoint &) { return unavailable(); });
    CHECK(follower.plan.wantsStoreProbe(follower.now));
}

// Guards against a node that asks one silent node after the other while the routes change.
TEST_CASE("a node reads the store while its source is late and none of those asked beside it can be followed")
{
    Follower follower;
    follower.plan.onAlternativesFailed();
    CHECK(follower.plan.reading() == StoreReading::Standby);
    follower.plan.onAnswer(follower.source, available(), follower.now);
    CHECK(follower.plan.reading() == StoreReading::None);
}
