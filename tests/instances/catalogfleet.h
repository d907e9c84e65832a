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

/// Many CatalogPlans in virtual time, with a store and the ways between them: who calls the store how often, what each
/// takes the store to be, and how old the news is that each has.
class CatalogFleet
{
public:
    /// All nodes know the list, and the store is in order.
    CatalogFleet(int nodes, int regions, std::uint64_t seed);

    void runUntil(TimePoint end) { time_.runUntil(end); }
    [[nodiscard]] TimePoint now() const { return time_.now(); }

    /// From now on the store answers only those for whom @p answers is true.
    void setStore(std::function<bool(int)> answers) { storeAnswers_ = std::move(answers); }
    /// The node neither asks nor answers any more.
    void kill(int node) { dead_.insert(node); }
    /// The store has something newer.
    void publish() { ++published_; }

    /// Calls to the store since the start, cheap looks included.
    [[nodiscard]] std::uint64_t storeCalls() const { return storeCalls_; }
    [[nodiscard]] int nodesThatRead() const;
    /// Of the living nodes, those that have what was published last.
    [[nodiscard]] int nodesUpToDate() const;
    [[nodiscard]] int nodesThatSay(StoreState state) const;
    [[nodiscard]] int livingNodes() const;
    /// Nodes that read while all is well.
    [[nodiscard]] std::set<int> readers() const;

private:
    struct Node
    {
        Node(CatalogPlan itsPlan)
            : plan(std::move(itsPlan))
        {
        }

        CatalogPlan plan;
        StoreReading reading = StoreReading::None;
        std::uint64_t readingRound = 0;
        unsigned failures = 0;
        std::uint64_t has = 0;
    };

    void step(int number);
    void ask(int asker, const SourceQuery &query);
    /// The one asked answers when it has news or its time is over.
    void answerWhenNews(int asker, int source, SourceQuery query, std::uint64_t had, TimePoint end);
    void applyReading(int number);
    void readStore(int number, std::uint64_t round);
    void look(int number);
    [[nodiscard]] Milliseconds pauseOf(const Node &node);
    [[nodiscard]] Duration oneWay(int from, int to) const;
    [[nodiscard]] SourceReport reportOf(int number) const;

    int regions_;
    Random random_;
    CatalogTimes times_;
    InstanceDirectory directory_;
    std::map<Endpoint, int> numbers_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::set<int> dead_;
    std::function<bool(int)> storeAnswers_;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t published_ = 1;
    VirtualTime time_;
};

}
