#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "instances/catalogplan.h"
#include "instances/watchpatience.h"
#include "standins/virtualtime.h"

namespace Egretpath
{

/// When a node passes changed routes on to its followers.
enum class PassingOn : std::uint8_t { OnceParsed, AsTheyCame };

/// What a change of the routes costs a node on its way. Without costs a change is in force when it arrives.
struct ChangeCosts
{
    /// How long the complete table takes to arrive from the store, and then to be parsed. Bandwidth bounds the former.
    Milliseconds tableTransfer{0};
    Milliseconds tableParsing{0};
    /// How long changes from another node take to be parsed.
    Milliseconds changesParsing{0};
    /// How long it takes to read changes from another node and to write them to the followers.
    Milliseconds passing{0};
    PassingOn passingOn = PassingOn::OnceParsed;
    /// Whether a reader parses a table although it has got that version from another node meanwhile.
    bool parsesKnownTables = true;
};

/// Many CatalogPlans in virtual time, with a simulated store and network delays. It counts the calls to the store,
/// the nodes that report each store state and the nodes that have the latest change, and measures how late changes are.
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
    /// The node sends no more queries and no more answers. Nobody is told.
    void kill(int node) { dead_.insert(node); }
    /// From now on the store does not answer the node's calls, without an error.
    void cutFromStore(int node) { cutOff_.insert(node); }
    /// From now on changes cost each node as much. The node does nothing else while it parses or passes on.
    void setCosts(const ChangeCosts &costs);
    /// From now on the node takes @p factor times as long for what costs processor time.
    void slowDown(int node, int factor) { nodes_[node]->slowness = factor; }
    /// From now on the store's answers arrive at the node at once.
    void giveFastLink(int node) { nodes_[node]->hasFastLink = true; }
    /// The node's process ends, and another one starts in its place with no routes.
    void replace(int node);
    void planReplacement(int node, TimePoint at)
    {
        time_.at(at, [this, node] { replace(node); });
    }
    /// For @p length the store's watches bring no changes, though it answers all other calls.
    void silenceWatches(Milliseconds length);
    /// Adds a change to the store.
    void publish();
    /// Adds a change every @p interval until @p end.
    void publishSeries(Milliseconds interval, TimePoint end);

    /// Calls to the store since the start, including probes.
    [[nodiscard]] std::uint64_t storeCalls() const { return storeCalls_; }
    [[nodiscard]] int readingNodeCount() const;
    /// Number of living nodes that have the change published last.
    [[nodiscard]] int upToDateNodeCount() const;
    [[nodiscard]] int nodeCountReporting(StoreState state) const;
    [[nodiscard]] int livingNodeCount() const;
    /// Nodes that are regular readers.
    [[nodiscard]] std::set<int> readers() const;
    /// The regular reader of region @p region.
    [[nodiscard]] int readerOfRegion(int region) const;
    /// All regular readers of region @p region.
    [[nodiscard]] std::vector<int> readersOfRegion(int region) const;
    /// Living nodes that follow @p node now.
    [[nodiscard]] std::vector<int> followersOf(int node) const;
    /// The longest time for which a living node lacked a change.
    [[nodiscard]] Milliseconds maxLag() const;
    /// For each living node the longest time for which it lacked a change that some node had, the shortest first.
    [[nodiscard]] std::vector<Milliseconds> lagsBehindFirst() const;
    /// From now on maxLag() and lagsBehindFirst() count lags that end after this moment only.
    void forgetLags();

private:
    struct Node
    {
        Node(CatalogPlan newPlan, const CatalogTimes &times)
            : plan(std::move(newPlan))
            , patience(times)
        {
        }

        CatalogPlan plan;
        WatchPatience patience;
        /// When the watch that waits now began to wait.
        TimePoint watchBegan;
        StoreReading reading = StoreReading::None;
        std::uint64_t readingRound = 0;
        /// Number of queries that were answered or given up.
        std::uint64_t endedQueries = 0;
        unsigned failures = 0;
        /// The change in force.
        std::uint64_t revision = 0;
        /// The change that the node is parsing, or the one in force.
        std::uint64_t parsed = 0;
        /// The change that the node passes on, and since when.
        std::uint64_t offered = 0;
        TimePoint offeredAt;
        /// Until then the node's processor is taken.
        TimePoint busyUntil;
        int slowness = 1;
        bool hasFastLink = false;
        /// The newest change of the tables that the store sent to the node.
        std::uint64_t tableReached = 0;
        /// Counts the processes that ran in the place of this one before.
        std::uint64_t incarnation = 0;
        Duration maxLag{0};
        Duration maxLagBehindFirst{0};
    };

    /// Takes the node's processor for @p cost once it is free. Runs @p work when that is over.
    void occupy(int number, Milliseconds cost, std::function<void()> work);
    /// Runs @p work at @p time, or as soon as the node's processor is free after that. A process that has ended runs
    /// nothing any more.
    void runWhenFree(int number, TimePoint time, std::function<void()> work);
    /// The node got changes up to @p revision from another node: it passes them on and parses them.
    void takeChanges(int number, std::uint64_t revision);
    /// The store's answer with the table of @p revision has arrived at the node.
    void takeTable(int number, std::uint64_t revision);
    /// The node parses @p revision for @p cost. It is in force and passed on afterwards.
    void parse(int number, std::uint64_t revision, Milliseconds cost);
    void offer(int number, std::uint64_t revision);
    /// Whether the node answers a query that arrived at @p arrival from a node with @p revision. A node that is busy
    /// answers only what it began to pass on before.
    [[nodiscard]] bool canAnswer(int number, TimePoint arrival, std::uint64_t revision) const;
    /// Begins the loops of a node whose plan has the list.
    void startNode(int number);
    [[nodiscard]] std::unique_ptr<Node> makeNode(int number);
    [[nodiscard]] Milliseconds tableTransferOf(const Node &node) const;
    [[nodiscard]] Duration lagBehindFirstOf(const Node &node) const;
    void step(int number);
    void ask(int asker, const SourceQuery &query);
    /// A first reader takes what another region's reader has.
    /// @p since: when its query arrived there.
    void exchange(int number, TimePoint since);
    /// A query that waits at its source.
    struct WaitingQuery
    {
        int asker = 0;
        /// The number of queries of the asker that had ended before.
        std::uint64_t number = 0;
        int source = 0;
        /// What the asker had.
        std::uint64_t revision = 0;
        /// When the query arrived.
        TimePoint arrival;
    };

    /// The queried node answers when it has an update, at the latest after the query's wait. @p incarnation: that of
    /// the source when the query arrived.
    void answerWhenUpdated(const WaitingQuery &waiting, const SourceQuery &query, std::uint64_t incarnation);
    void takeAnswer(int asker, const SourceQuery &query, const SourceReport &report, std::uint64_t revision,
                    std::uint64_t queryNumber);
    void applyReading(int number);
    void readStore(int number, std::uint64_t round);
    /// The watch brings what it has, or the store is read beside it when it has been silent for too long. Returns the
    /// pause until the next step.
    Milliseconds watchStore(int number);
    /// As watchStore(), for tables that take time to arrive. Such tables are not read beside the watch.
    Milliseconds watchTable(int number);
    /// The store is silent to the node: its answer is overdue after a while, and then a ping fails.
    void waitForSilentStore(int number, std::uint64_t round);
    void recordFailedRead(int number, std::uint64_t round);
    /// Queries other nodes if the answer is still due.
    void queryAlternatives(int asker, const Endpoint &overdue, std::uint64_t queryNumber, TimePoint dueAt);
    /// Ends the query without an answer, unless it has ended.
    void noteUnanswered(int asker, const SourceQuery &query, std::uint64_t queryNumber);
    /// The same at @p at, unless the asker has not read yet what arrived by then.
    void giveUpUnanswered(int asker, const SourceQuery &query, TimePoint at, std::uint64_t queryNumber);
    void putInForce(int number, std::uint64_t revision);
    /// The newest change that a watch brings now.
    [[nodiscard]] std::uint64_t watchedRevision() const { return heldRevision_.value_or(published_); }
    /// How long @p node lacks the oldest change after its revision.
    [[nodiscard]] Duration lagOf(const Node &node) const;
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
    std::set<int> cutOff_;
    std::function<bool(int)> isStoreAvailableTo_;
    std::uint64_t storeCalls_ = 0;
    std::uint64_t published_ = 1;
    /// The newest change that watches have brought, while they bring no others.
    std::optional<std::uint64_t> heldRevision_;
    /// When the changes after the first one were published.
    std::vector<TimePoint> publishedAt_;
    /// When a node first had the changes after the first one; nothing for those that no node has.
    std::vector<std::optional<TimePoint>> firstHadAt_;
    ChangeCosts costs_;
    VirtualTime time_;
};

}
