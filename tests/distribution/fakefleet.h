#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "core/random.h"
#include "distribution/readerelection.h"
#include "distribution/startgate.h"
#include "distribution/tableexchange.h"

namespace Egretpath::Testing
{

/// A table store whose tables are bare versions. Changes are known for the last few versions held.
class FakeStore : public TableStore
{
public:
    static constexpr std::size_t ChangeBytes = 300;
    static constexpr std::size_t WholeBytes = 100'000;

    [[nodiscard]] std::optional<TableVersion> currentVersion() const override;
    [[nodiscard]] std::optional<std::string> changeSince(const TableVersion &base) const override;
    [[nodiscard]] std::string whole() const override;
    [[nodiscard]] bool applyChange(const TableVersion &base, const TableVersion &target,
                                   const std::string &payload) override;
    [[nodiscard]] bool applyWhole(const TableVersion &target, const std::string &payload) override;

private:
    std::vector<TableVersion> lineage_;
};

/// The sizes of a fleet.
struct FleetShape
{
    std::size_t regions = 3;
    std::size_t zones = 6;
    std::size_t nodesPerZone = 6;
};

/// What the network does to messages.
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    /// Messages are held up by a random time of up to this, so that they overtake each other.
    Milliseconds extraDelay{0};
};

/// What the fleet exchanges, and how. The default is a table.
struct FleetSubject
{
    std::function<std::unique_ptr<TableStore>()> makeStore = [] { return std::make_unique<FakeStore>(); };
    ExchangeSettings exchange;
    ReaderSettings readers;
    /// Without one, nodes put into use whatever they get.
    bool hasStartGate = true;
};

/// Many nodes' decision logic on one virtual clock and one seeded message queue.
///
/// It checks one thing all the time: the version in force at an address never falls, also over restarts.
class FakeFleet
{
public:
    FakeFleet(FleetShape shape, std::uint64_t seed, FleetSubject subject = {});

    /// Runs until virtual time has advanced by @p length.
    void run(Duration length);
    /// Runs until every live, unpaused node has @p version in force; returns the time it took, or nothing
    /// if @p limit passed before.
    [[nodiscard]] std::optional<Duration> runUntilAll(const TableVersion &version, Duration limit);

    /// @p content is what the stores get as the whole.
    void publish(const TableVersion &version, std::string content = {})
    {
        contents_[version] = std::move(content);
        head_ = version;
        wakeWatches();
    }
    /// The platform shows @p version from now on, whatever it showed before.
    void servePlatform(std::optional<TableVersion> version)
    {
        head_ = version;
        wakeWatches();
    }
    void setPlatformUp(bool up) { platformUp_ = up; }
    void cutFromPlatform(std::size_t node, bool cut) { nodes_[node].cutFromPlatform = cut; }

    void startAll();
    void restart(std::size_t node);
    void kill(std::size_t node);
    void pause(std::size_t node, Duration length);
    /// Cuts the region off from all others, or heals it.
    void cutRegion(std::size_t region, bool cut) { regionCut_[region] = cut; }
    void setFaults(NetworkFaults faults) { faults_ = faults; }

    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] std::vector<std::size_t> nodesOfRegion(std::size_t region) const;
    [[nodiscard]] std::vector<std::size_t> nodesOfZone(std::size_t zone) const;
    [[nodiscard]] std::size_t reader(std::size_t region, std::size_t rank) const;
    /// The version in force; nothing while the node starts or is dead.
    [[nodiscard]] std::optional<TableVersion> inForce(std::size_t node) const;
    [[nodiscard]] const TableExchange &exchange(std::size_t node) const { return *nodes_[node].exchange; }
    [[nodiscard]] bool isServing(std::size_t node) const;
    [[nodiscard]] std::size_t servingCount() const;
    [[nodiscard]] TimePoint now() const { return now_; }

    /// Falls of a version in force that were seen; must stay empty.
    [[nodiscard]] const std::vector<std::string> &falls() const { return falls_; }
    /// Most reads that the platform saw in any second.
    [[nodiscard]] std::size_t mostReadsPerSecond() const;
    [[nodiscard]] std::size_t reads() const { return reads_; }
    /// Begins the counts of reads anew.
    void forgetReads();
    /// Nodes that read the platform since they last started or forgetReads() was called.
    [[nodiscard]] std::size_t readingNodes() const;
    /// Most copies of the change to @p version that crossed any one link between two regions, in one direction.
    [[nodiscard]] std::size_t mostPaidCopies(const TableVersion &version) const;
    [[nodiscard]] std::size_t paidBytes() const { return paidBytes_; }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> run;
    };
    struct Later
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
        }
    };

    struct Node
    {
        VmRecord record;
        std::size_t region = 0;
        std::size_t zone = 0;
        /// Rises with each start; messages and timers of a former run find another number.
        std::uint64_t run = 0;
        bool alive = false;
        bool cutFromPlatform = false;
        bool watching = false;
        bool hasRead = false;
        TimePoint pausedUntil;
        std::optional<TableVersion> lastInForce;
        std::unique_ptr<TableStore> store;
        std::unique_ptr<TableExchange> exchange;
        std::unique_ptr<ReaderElection> election;
        std::unique_ptr<StartGate> gate;
    };

    void addNode(std::size_t region, std::size_t zone, std::size_t member);
    void schedule(TimePoint at, std::function<void()> run);
    /// Runs @p work at the node when its process is neither paused nor another one by then.
    void atNode(std::size_t node, std::uint64_t run, TimePoint at, std::function<void()> work);
    /// As atNode(), but at whichever run of the process is there.
    void atAddress(std::size_t node, TimePoint at, std::function<void()> work);
    [[nodiscard]] Duration delayBetween(std::size_t from, std::size_t to);
    [[nodiscard]] bool isLost(std::size_t from, std::size_t to);
    [[nodiscard]] bool chance(double probability);

    void start(std::size_t node);
    void step(std::size_t node);
    void stepGate(std::size_t node);
    void stepReads(std::size_t node);
    void checkInForce(std::size_t node);

    void readPlatform(std::size_t node);
    void watchPlatform(std::size_t node);
    void wakeWatches();
    void headArrived(std::size_t node, std::optional<TableVersion> head, TimePoint readAt);
    void loadArrived(std::size_t node, TableVersion version, TimePoint readAt);
    [[nodiscard]] bool platformReachable(std::size_t node) const;
    void countRead(std::size_t node);

    void send(std::size_t node, ExchangeRequests requests);
    void sendPush(std::size_t from, OutgoingPush push);
    void sendPull(std::size_t from, OutgoingPull pull, bool isGate);
    /// Sends a request and its answer, either of which can be lost, doubled or late.
    void call(std::size_t from, std::size_t to, std::function<std::function<void()>()> serve,
              std::function<void()> failed);
    void countPaid(std::size_t from, std::size_t to, std::size_t bytes, const std::optional<TableVersion> &payload);
    [[nodiscard]] std::size_t indexOf(const VmRecord &record) const;

    FleetSubject subject_;
    std::map<TableVersion, std::string> contents_;
    Random random_;
    TimePoint now_;
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::vector<Node> nodes_;
    std::map<UpstreamName, std::size_t> indexes_;
    std::shared_ptr<const PeerDirectory> directory_;
    NetworkFaults faults_;
    std::vector<bool> regionCut_;
    std::optional<TableVersion> head_;
    bool platformUp_ = true;
    struct Watch
    {
        std::size_t node;
        std::uint64_t run;
        std::optional<TableVersion> known;
    };
    std::vector<Watch> watches_;
    std::vector<std::string> falls_;
    std::map<std::int64_t, std::size_t> readsBySecond_;
    std::size_t reads_ = 0;
    std::map<std::tuple<std::size_t, std::size_t, TableVersion>, std::size_t> paidCopies_;
    std::size_t paidBytes_ = 0;
};

/// A version whose digest is derived from @p content.
[[nodiscard]] TableVersion versionOf(std::uint64_t number, std::uint64_t content = 0);

}
