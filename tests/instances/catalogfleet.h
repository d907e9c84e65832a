#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "instances/catalogplan.h"
#include "standins/virtualtime.h"

namespace Egretpath
{

/// Many CatalogPlans in virtual time, with a simulated store and network delays. It counts the calls to the store,
/// the nodes that report each store state and the nodes that have the latest change.
class CatalogFleet
{
public:
    /// All nodes have the list, and the store is available.
    CatalogFleet(int nodes, int regions, std::uint64_t seed);

    void runUntil(TimePoint end) { time_.runUntil(end); }
    [[nodiscard]] TimePoint now() const { return time_.now(); }

    /// From now on the store answers only nodes for which @p isAvailableTo returns true.
    void setStoreAvailability(std::function<bool(int)> isAvailableTo)
    {
        isStoreAvailableTo_ = std::move(isAvailableTo);
    }
    /// The node sends no more queries and no more answers.
    void kill(int node) { dead_.insert(node); }
    /// Adds a change to the store.
    void publish() { ++published_; }

    /// Calls to the store since the start, including probes.
    [[nodiscard]] std::uint64_t storeCalls() const { return storeCalls_; }
    [[nodiscard]] int readingNodeCount() const;
    /// Number of living nodes that have the change published last.
    [[nodiscard]] int upToDateNodeCount() const;
    [[nodiscard]] int nodeCountReporting(StoreState state) const;
    [[nodiscard]] int livingNodeCount() const;
    /// Nodes that are regular readers.
    [[nodiscard]] std::set<int> readers() const;

private:
    struct Node
    {
        Node(CatalogPlan newPlan)
            : plan(std::move(newPlan))
        {
        }

        CatalogPlan plan;
        StoreReading reading = StoreReading::None;
        std::uint64_t readingRound = 0;
        unsigned failures = 0;
        std::uint64_t revision = 0;
    };

    void step(int number);
    void ask(int asker, const SourceQuery &query);
    /// The queried node answers when it has an update, at the latest at @p end.
    void answerWhenUpdated(int asker, int source, SourceQuery query, std::uint64_t askerRevision, TimePoint end);
    void applyReading(int number);
    void readStore(int number, std::uint64_t round);
    void probeStore(int number);
    [[nodiscard]] Milliseconds retryDelayOf(const Node &node);
    [[nodiscard]] Duration oneWayDelay(int from, int to) const;
    [[nodiscard]] SourceReport reportOf(int number) const;

    int regions_;
    Random random_;
    CatalogTimes times_;
    InstanceDirectory directory_;
    std::map<Endpoint, int> numbers_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::set<int> dead_;
    std::function<bool(int)> isStoreAvailableTo_;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t published_ = 1;
    VirtualTime time_;
};

}
