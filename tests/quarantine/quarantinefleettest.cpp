#include "quarantinefleet.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace Egretpath;

namespace
{

const RequestFingerprint CrashingRequest = fingerprintOf({"GET", "h", "/crash", ""});

/// Callers that send one request at a steady rate, each attempt to a random upstream of the service. A run takes some
/// milliseconds and crashes the upstream, which restarts after some seconds.
class CrashingCallers
{
public:
    CrashingCallers(QuarantineFleet &fleet, std::size_t serviceNodes, Milliseconds interval)
        : fleet_(fleet)
        , serviceNodes_(serviceNodes)
        , interval_(interval)
    {
        send();
    }

    [[nodiscard]] std::size_t crashes() const { return crashes_; }
    /// Number of runs that started later than @p after.
    [[nodiscard]] std::size_t runsSince(TimePoint after) const
    {
        return static_cast<std::size_t>(
            std::count_if(runs_.begin(), runs_.end(), [after](TimePoint run) { return run > after; }));
    }

private:
    void send()
    {
        const std::size_t upstream = fleet_.random()() % serviceNodes_;
        if (!down_.contains(upstream) && !fleet_.refuses(upstream, CrashingRequest)) {
            runs_.push_back(fleet_.now());
            fleet_.after(RunTime, [this, upstream] { finishRun(upstream); });
        }
        fleet_.after(interval_, [this] { send(); });
    }

    /// Crashes the upstream if it is still up and its node does not refuse the request yet. A refusal cancels the run.
    void finishRun(std::size_t upstream)
    {
        if (down_.contains(upstream) || fleet_.refuses(upstream, CrashingRequest)) {
            return;
        }
        ++crashes_;
        down_.insert(upstream);
        fleet_.crash(upstream, {CrashingRequest});
        fleet_.after(RestartTime, [this, upstream] { down_.erase(upstream); });
    }

    static constexpr Milliseconds RunTime{60};
    static constexpr Milliseconds RestartTime{3000};

    QuarantineFleet &fleet_;
    std::size_t serviceNodes_;
    Milliseconds interval_;
    std::set<std::size_t> down_;
    std::vector<TimePoint> runs_;
    std::size_t crashes_ = 0;
};

}

// Guards against a request that crashes all upstreams of a service. It may crash only the upstreams at which it starts
// before the nodes beside them learn of the earlier crashes, whatever the size of the fleet.
TEST_CASE("one request crashes few upstreams in fleets of all sizes, and nearly all nodes refuse it")
{
    struct Case
    {
        std::size_t nodes;
        std::size_t regions;
        std::size_t serviceNodes;
    };
    for (const Case &item : {Case{18, 3, 6}, Case{295, 3, 139}, Case{3000, 7, 23}}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            FleetShape shape;
            shape.nodes = item.nodes;
            shape.regions = item.regions;
            shape.serviceNodes = item.serviceNodes;
            shape.lossRate = 0.1;
            shape.seed = seed;
            QuarantineFleet fleet(shape);
            const TimePoint start = fleet.now();
            CrashingCallers callers(fleet, item.serviceNodes, Milliseconds(40));
            fleet.runUntil(start + std::chrono::seconds(1));
            INFO(item.nodes << " nodes, seed " << seed << ": crashes " << callers.crashes() << ", messages "
                            << fleet.messages() << ", bytes " << fleet.bytes() << ", refusing "
                            << fleet.refusingCount(CrashingRequest));
            CHECK(callers.crashes() <= 3);
            CHECK(fleet.refusingCount(CrashingRequest) > item.nodes * 95 / 100);
            CHECK(fleet.bytes() / item.nodes < 3000);
            fleet.runUntil(start + std::chrono::seconds(30));
            CHECK(callers.runsSince(start + std::chrono::seconds(4)) <= 3);
        }
    }
}

// Guards against a fleet in which, while two halves are cut off from each other, each half refuses the request only
// after a report from the other half. No such report arrives. The test cuts one of three regions off from the others.
TEST_CASE("a region that is cut off refuses the request by itself")
{
    FleetShape shape;
    shape.nodes = 60;
    shape.serviceNodes = 30;
    QuarantineFleet fleet(shape);
    fleet.setRegionCut(0, true);
    const TimePoint start = fleet.now();
    const CrashingCallers callers(fleet, shape.serviceNodes, Milliseconds(40));
    fleet.runUntil(start + std::chrono::seconds(2));
    CHECK(callers.crashes() <= 6);
    CHECK(fleet.refusingCount(CrashingRequest) == 60);
}

// Guards against harmless requests that are refused while upstreams crash for other reasons.
TEST_CASE("hardly any harmless request is refused while a tenth of the upstreams flaps")
{
    constexpr std::size_t ServiceNodes = 139;
    constexpr std::size_t FlappingUpstreams = 14;
    constexpr std::size_t HeldPerCrash = 4;
    constexpr double RetryShare = 0.1;
    FleetShape shape;
    shape.nodes = 295;
    shape.serviceNodes = ServiceNodes;
    QuarantineFleet fleet(shape);
    std::set<RequestFingerprint> all;
    std::vector<RequestFingerprint> retried;
    int number = 0;
    for (int second = 0; second < 60; ++second) {
        for (std::size_t upstream = 0; upstream < FlappingUpstreams; ++upstream) {
            std::vector<RequestFingerprint> held;
            for (std::size_t slot = 0; slot < HeldPerCrash; ++slot) {
                const bool isRetry = !retried.empty() && std::bernoulli_distribution(RetryShare)(fleet.random());
                if (isRetry) {
                    held.push_back(retried.back());
                    retried.pop_back();
                } else {
                    held.push_back(fingerprintOf({"GET", "h", std::to_string(++number), ""}));
                }
            }
            retried.insert(retried.end(), held.begin(), held.end());
            all.insert(held.begin(), held.end());
            fleet.crash(upstream, held);
            fleet.runUntil(fleet.now() + Milliseconds(1000) / FlappingUpstreams);
        }
    }
    std::size_t refused = 0;
    for (const RequestFingerprint &request : all) {
        refused += fleet.refuses(0, request) ? 1 : 0;
    }
    INFO("crashes " << 60 * FlappingUpstreams << " requests held " << all.size() << " refused " << refused
                    << " bytes per node and second " << fleet.bytes() / shape.nodes / 60);
    CHECK(refused < all.size() / 50);
    CHECK(fleet.bytes() / shape.nodes / 60 < 3000);
}
