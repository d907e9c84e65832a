#include "catalogfleet.h"

#include <algorithm>
#include <string>
#include <utility>

#include "fleetlist.h"

namespace Egretpath
{

namespace
{

const TimePoint Start{std::chrono::seconds(1000)};
constexpr Milliseconds InRegion{1};
constexpr Milliseconds BetweenRegions{8};
/// A watch at a store in order tells of news at once; the virtual one is looked at so often.
constexpr Milliseconds WatchStep{20};
constexpr Milliseconds FirstPause{60};
constexpr Milliseconds PlanStep{100};

RegionName regionOf(int number, int regions)
{
    return RegionName("region-" + std::to_string(number % regions));
}

}

CatalogFleet::CatalogFleet(int nodes, int regions, std::uint64_t seed)
    : regions_(regions)
    , random_(seed)
    , directory_(listOf(nodes, [regions](int number) { return regionOf(number, regions); }))
    , storeAnswers_([](int) { return true; })
    , time_(Start)
{
    for (int number = 0; number < nodes; ++number) {
        numbers_[nodeOf(number)] = number;
        nodes_.push_back(std::make_unique<Node>(
            CatalogPlan(regionOf(number, regions), ReaderElectionSettings(), times_, Random(random_()))));
        nodes_.back()->plan.listChanged(directory_, nodeOf(number), true);
        time_.at(now(), [this, number] { step(number); });
    }
}

void CatalogFleet::step(int number)
{
    if (dead_.contains(number)) {
        return;
    }
    Node &node = *nodes_[number];
    const auto query = node.plan.nextQuery(now());
    applyReading(number);
    if (node.plan.wantsStoreProbe(now())) {
        look(number);
    }
    if (query) {
        ask(number, *query);
    } else {
        time_.at(now() + PlanStep, [this, number] { step(number); });
    }
}

void CatalogFleet::ask(int asker, const SourceQuery &query)
{
    const int source = numbers_.at(query.node);
    if (dead_.contains(source)) {
        time_.at(now() + query.wait + times_.followMargin, [this, asker, query] {
            nodes_[asker]->plan.silent(query.node, now());
            time_.at(now(), [this, asker] { step(asker); });
        });
        return;
    }
    const std::uint64_t had = nodes_[asker]->has;
    const TimePoint arrival = now() + oneWay(asker, source);
    time_.at(arrival, [this, asker, source, query, had, arrival] {
        answerWhenNews(asker, source, query, had, arrival + query.wait);
    });
}

void CatalogFleet::answerWhenNews(int asker, int source, SourceQuery query, std::uint64_t had, TimePoint end)
{
    constexpr Milliseconds Look{5};
    const Node &node = *nodes_[source];
    const bool news = node.has > had || node.plan.store(now(), false) != query.known;
    if (!news && now() < end) {
        time_.at(std::min<TimePoint>(now() + Look, end),
                 [this, asker, source, query, had, end] { answerWhenNews(asker, source, query, had, end); });
        return;
    }
    const SourceReport report = reportOf(source);
    const std::uint64_t has = node.has;
    time_.at(now() + oneWay(source, asker), [this, asker, query, report, has] {
        Node &node = *nodes_[asker];
        node.plan.answered(query.node, report, now());
        node.has = std::max(node.has, has);
        applyReading(asker);
        // As the controller does after an answer that brought nothing.
        time_.at(now() + (query.wait.count() > 0 ? Milliseconds{1} : PlanStep), [this, asker] { step(asker); });
    });
}

void CatalogFleet::applyReading(int number)
{
    Node &node = *nodes_[number];
    const StoreReading wanted = node.plan.reading();
    const bool reads = node.reading != StoreReading::None;
    node.reading = wanted;
    if (wanted != StoreReading::None && !reads) {
        node.plan.beginReading(now());
        node.failures = 0;
        const std::uint64_t round = ++node.readingRound;
        ++storeCalls_;
        time_.at(now(), [this, number, round] { readStore(number, round); });
    } else if (wanted == StoreReading::None && reads) {
        ++node.readingRound;
    }
}

void CatalogFleet::readStore(int number, std::uint64_t round)
{
    Node &node = *nodes_[number];
    if (dead_.contains(number) || round != node.readingRound) {
        return;
    }
    if (storeAnswers_(number)) {
        node.failures = 0;
        if (node.plan.ownLostSince()) {
            node.plan.ownReadingBack(now());
            // Routes, list, and the watches behind them.
            storeCalls_ += 4;
        }
        storeCalls_ += node.has < published_ ? 1 : 0;
        node.has = published_;
        time_.at(now() + WatchStep, [this, number, round] { readStore(number, round); });
        return;
    }
    ++storeCalls_;
    if (!node.plan.ownLostSince()) {
        node.plan.ownReadingLost(now());
    }
    time_.at(now() + pauseOf(node), [this, number, round] { readStore(number, round); });
    ++node.failures;
}

Milliseconds CatalogFleet::pauseOf(const Node &node)
{
    constexpr unsigned MostDoublings = 8;
    const Milliseconds longest = node.reading == StoreReading::Standby ? times_.standbyInterval : times_.readerPause;
    const Milliseconds pause = std::min(longest, FirstPause * (1U << std::min(node.failures, MostDoublings)));
    std::uniform_real_distribution<double> spread(0.5, 1.0);
    return std::chrono::duration_cast<Milliseconds>(pause * spread(random_));
}

void CatalogFleet::look(int number)
{
    ++storeCalls_;
    if (storeAnswers_(number)) {
        nodes_[number]->plan.storeProbeSucceeded(now());
        applyReading(number);
    }
}

Duration CatalogFleet::oneWay(int from, int to) const
{
    return from % regions_ == to % regions_ ? InRegion : BetweenRegions;
}

SourceReport CatalogFleet::reportOf(int number) const
{
    const CatalogPlan &plan = nodes_[number]->plan;
    return {plan.store(now(), false), plan.hops(), plan.reader(), plan.age(now())};
}

int CatalogFleet::nodesThatRead() const
{
    return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [](const std::unique_ptr<Node> &node) {
        return node->reading != StoreReading::None;
    }));
}

int CatalogFleet::nodesUpToDate() const
{
    int count = 0;
    for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) {
        count += !dead_.contains(number) && nodes_[number]->has == published_ ? 1 : 0;
    }
    return count;
}

int CatalogFleet::nodesThatSay(StoreState state) const
{
    int count = 0;
    for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) {
        count += !dead_.contains(number) && nodes_[number]->plan.store(now(), false) == state ? 1 : 0;
    }
    return count;
}

int CatalogFleet::livingNodes() const
{
    return static_cast<int>(nodes_.size() - dead_.size());
}

std::set<int> CatalogFleet::readers() const
{
    std::set<int> readers;
    for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) {
        if (nodes_[number]->plan.reading() == StoreReading::Usual) {
            readers.insert(number);
        }
    }
    return readers;
}

}
