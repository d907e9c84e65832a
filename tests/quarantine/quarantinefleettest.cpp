#include "quarantinefleet.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace Egretpath;

namespace
{

const RequestFingerprint Crashing = fingerprintOf({"GET", "h", "/crash", ""});

/// Callers that send one request at a steady rate, each attempt to one upstream of the service; a run takes a while and
/// ends the upstream, which is back after some seconds.
class CrashingCallers
{
public:
    CrashingCallers(QuarantineFleet &fleet, std::size_t inService, Milliseconds pause)
        : fleet_(fleet)
        , inService_(inService)
        , pause_(pause)
    {
        send();
    }

    [[nodiscard]] std::size_t ends() const { return ends_; }
    /// Runs that began later than @p after.
    [[nodiscard]] std::size_t runsSince(TimePoint after) const
    {
        return static_cast<std::size_t>(
            std::count_if(runs_.begin(), runs_.end(), [after](TimePoint run) { return run > after; }));
    }

private:
    void send()
    {
        const std::size_t upstream = fleet_.random()() % inService_;
        if (!down_.contains(upstream) && !fleet_.refuses(upstream, Crashing)) {
            runs_.push_back(fleet_.now());
            fleet_.after(Work, [this, upstream] { endRun(upstream); });
        }
        fleet_.after(pause_, [this] { send(); });
    }

    /// One that was refused meanwhile was broken off.
    void endRun(std::size_t upstream)
    {
        if (down_.contains(upstream) || fleet_.refuses(upstream, Crashing)) {
            return;
        }
        ++ends_;
        down_.insert(upstream);
        fleet_.crash(upstream, {Crashing});
        fleet_.after(Restart, [this, upstream] { down_.erase(upstream); });
    }

    static constexpr Milliseconds Work{60};
    static constexpr Milliseconds Restart{3000};

    QuarantineFleet &fleet_;
    std::size_t inService_;
    Milliseconds pause_;
    std::set<std::size_t> down_;
    std::vector<TimePoint> runs_;
    std::size_t ends_ = 0;
};

}

// Guards against a service that ends as a whole: what one request ends is bounded by what begins before the news is
// there, whatever the size of the fleet.
TEST_CASE("one request ends few upstreams in fleets of all sizes, and all nodes hear of it")
{
    struct Case
    {
        std::size_t nodes;
        std::size_t regions;
        std::size_t inService;
    };
    for (const Case &item : {Case{18, 3, 6}, Case{295, 3, 139}, Case{3000, 7, 23}}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            FleetShape shape;
            shape.nodes = item.nodes;
            shape.regions = item.regions;
            shape.inService = item.inService;
            shape.lost = 0.1;
            shape.seed = seed;
            QuarantineFleet fleet(shape);
            const TimePoint start = fleet.now();
            CrashingCallers callers(fleet, item.inService, Milliseconds(40));
            fleet.runUntil(start + std::chrono::seconds(1));
            INFO(item.nodes << " nodes, seed " << seed << ": ends " << callers.ends() << ", messages "
                            << fleet.messages() << ", bytes " << fleet.bytes() << ", refusing "
                            << fleet.refusing(Crashing));
            CHECK(callers.ends() <= 3);
            CHECK(fleet.refusing(Crashing) > item.nodes * 95 / 100);
            CHECK(fleet.bytes() / item.nodes < 3000);
            fleet.runUntil(start + std::chrono::seconds(30));
            CHECK(callers.runsSince(start + std::chrono::seconds(4)) <= 3);
        }
    }
}

// Guards against two halves of a fleet that each wait for the other's word.
TEST_CASE("a region that is cut off stops the request by itself")
{
    FleetShape shape;
    shape.nodes = 60;
    shape.inService = 30;
    QuarantineFleet fleet(shape);
    fleet.cutRegion(0, true);
    const TimePoint start = fleet.now();
    const CrashingCallers callers(fleet, shape.inService, Milliseconds(40));
    fleet.runUntil(start + std::chrono::seconds(2));
    CHECK(callers.ends() <= 6);
    CHECK(fleet.refusing(Crashing) == 60);
}

// Guards against proper requests that are refused on days when upstreams end for other reasons.
TEST_CASE("hardly any proper request is accused while a tenth of the upstreams goes down and up")
{
    constexpr std::size_t InService = 139;
    constexpr std::size_t Flapping = 14;
    constexpr std::size_t HeldAtEnd = 4;
    constexpr double RetryMeetsAnother = 0.1;
    FleetShape shape;
    shape.nodes = 295;
    shape.inService = InService;
    QuarantineFleet fleet(shape);
    std::set<RequestFingerprint> all;
    std::vector<RequestFingerprint> retried;
    int number = 0;
    for (int second = 0; second < 60; ++second) {
        for (std::size_t upstream = 0; upstream < Flapping; ++upstream) {
            std::vector<RequestFingerprint> held;
            for (std::size_t slot = 0; slot < HeldAtEnd; ++slot) {
                const bool again = !retried.empty() && std::bernoulli_distribution(RetryMeetsAnother)(fleet.random());
                if (again) {
                    held.push_back(retried.back());
                    retried.pop_back();
                } else {
                    held.push_back(fingerprintOf({"GET", "h", std::to_string(++number), ""}));
                }
            }
            retried.insert(retried.end(), held.begin(), held.end());
            all.insert(held.begin(), held.end());
            fleet.crash(upstream, held);
            fleet.runUntil(fleet.now() + Milliseconds(1000) / Flapping);
        }
    }
    std::size_t accused = 0;
    for (const RequestFingerprint &request : all) {
        accused += fleet.refuses(0, request) ? 1 : 0;
    }
    INFO("crashes " << 60 * Flapping << " requests held " << all.size() << " accused " << accused
                    << " bytes a node and second " << fleet.bytes() / shape.nodes / 60);
    CHECK(accused < all.size() / 50);
    CHECK(fleet.bytes() / shape.nodes / 60 < 3000);
}
