#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"
#include "quarantine/quarantinespread.h"
#include "quarantine/upstreamexits.h"
#include "standins/virtualtime.h"

namespace Egretpath
{

struct FleetShape
{
    std::size_t nodes = 18;
    std::size_t regions = 3;
    /// The upstreams beside the first ones are of the service that requests end.
    std::size_t inService = 6;
    /// From one node to another.
    Milliseconds way{10};
    /// Of the messages.
    double lost = 0.0;
    /// Between two calls that a node makes to others; each answer carries a mark.
    Milliseconds callPause{300};
    std::uint64_t seed = 1;
};

/// Nodes of a made-up fleet that tell each other of crashes as QuarantineController does, on a clock of their own.
class QuarantineFleet
{
public:
    explicit QuarantineFleet(const FleetShape &shape);

    /// Runs what is due until @p end.
    void runUntil(TimePoint end) { time_.runUntil(end); }
    [[nodiscard]] TimePoint now() const { return time_.now(); }
    /// Calls @p action after @p delay.
    void after(Milliseconds delay, std::function<void()> action);

    /// The upstream beside @p node ends with these under way.
    void crash(std::size_t node, const std::vector<RequestFingerprint> &held);
    [[nodiscard]] bool refuses(std::size_t node, const RequestFingerprint &request) const;
    /// Nodes that refuse @p request.
    [[nodiscard]] std::size_t refusing(const RequestFingerprint &request) const;
    /// From now on the region numbered @p region and the others don't hear each other; or they do again.
    void cutRegion(std::size_t region, bool cut);
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
    [[nodiscard]] Random &random() { return random_; }

private:
    struct Node
    {
        Quarantine quarantine;
        QuarantineSpread spread;
        UpstreamExits exits;
        std::size_t region = 0;
        Endpoint address;
    };

    void call(std::size_t from);
    void tell(std::size_t from, const Endpoint &to, const std::vector<SuspectedRequest> &requests);
    void take(std::size_t node, const std::vector<SuspectedRequest> &requests);
    void passOn(std::size_t node, const std::vector<SuspectedRequest> &refused);
    [[nodiscard]] bool hears(std::size_t from, std::size_t to) const;

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
