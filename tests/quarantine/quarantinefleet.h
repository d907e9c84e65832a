#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"
#include "quarantine/quarantinegossip.h"
#include "quarantine/upstreamexits.h"
#include "standins/virtualtime.h"

namespace Egretpath
{

/// Size, network and load of a QuarantineFleet.
struct FleetShape
{
    std::size_t nodes = 18;
    std::size_t regions = 3;
    /// Number of nodes, counted from the first, whose upstream belongs to the service that requests crash.
    std::size_t serviceNodes = 6;
    /// Time that a message takes from one node to another.
    Milliseconds latency{10};
    /// Share of the messages that are lost.
    double lossRate = 0.0;
    /// Time between two calls of a node to other nodes; each answer carries a digest.
    Milliseconds callInterval{300};
    std::uint64_t seed = 1;
};

/// Simulates a fleet whose nodes report crashes to each other as QuarantineController does, on a virtual clock.
class QuarantineFleet
{
public:
    explicit QuarantineFleet(const FleetShape &shape);

    /// Runs everything that is due until @p end.
    void runUntil(TimePoint end) { time_.runUntil(end); }
    [[nodiscard]] TimePoint now() const { return time_.now(); }
    /// Calls @p action after @p delay.
    void after(Milliseconds delay, std::function<void()> action);

    /// Crashes the upstream beside @p node with the requests @p held under way.
    void crash(std::size_t node, const std::vector<RequestFingerprint> &held);
    [[nodiscard]] bool refuses(std::size_t node, const RequestFingerprint &request) const;
    /// Number of nodes that refuse @p request.
    [[nodiscard]] std::size_t refusingCount(const RequestFingerprint &request) const;
    /// Cuts the region numbered @p region off from all other regions, or connects it again.
    void setRegionCut(std::size_t region, bool isCut);
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
    [[nodiscard]] Random &random() { return random_; }

private:
    struct Node
    {
        Quarantine quarantine;
        QuarantineGossip gossip;
        UpstreamExits exits;
        std::size_t region = 0;
        Endpoint address;
    };

    void call(std::size_t from);
    void send(std::size_t from, const Endpoint &to, const std::vector<SuspectedRequest> &requests);
    void receive(std::size_t node, const std::vector<SuspectedRequest> &requests);
    void scheduleGossip(std::size_t node, const std::vector<SuspectedRequest> &refused);
    [[nodiscard]] bool isReachable(std::size_t from, std::size_t to) const;

    FleetShape shape_;
    Random random_;
    InstanceDirectory directory_;
    std::vector<Node> nodes_;
    std::vector<bool> cutRegions_;
    VirtualTime time_{TimePoint(std::chrono::hours(1))};
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

}
