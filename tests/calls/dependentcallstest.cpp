#include "calls/dependentcalls.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

#include "core/random.h"

using namespace Egretpath;

namespace
{

const RouteName Lookup("lookup");
const RouteName Trace("trace");
const RouteName Check("check");
const RouteName Order("order");
const RouteName Archive("archive");

/// One node under load, in virtual time: callers' requests arrive at its ingress, lookups, orders and archive pulls run
/// at its upstream, and seven of ten lookups make two traces in sequence, which arrive at its ingress.
class LoadedNode
{
public:
    explicit LoadedNode(std::uint64_t seed, bool hasArchivePulls = false)
        : random_(seed)
    {
        arrive(Check, 3.0, Milliseconds(1000));
        arrive(Lookup, 8.0, Milliseconds(1500));
        arrive(Order, 3.0, Milliseconds(2000));
        run(Lookup, 1, 11.0, Milliseconds(1500));
        run(Order, 2, 4.0, Milliseconds(2000));
        if (hasArchivePulls) {
            run(Archive, 2, 8.0, Milliseconds(10'000));
        }
    }

    void advance(Milliseconds duration)
    {
        const TimePoint end = now + duration;
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now = event.at;
            event.action();
        }
        now = end;
    }
    [[nodiscard]] CallStanding standing(const RouteName &route) { return last[route].standing; }

    TimePoint now{std::chrono::seconds(1000)};
    DependentCalls calls;
    std::map<RouteName, CallDecision> last;
    bool isCalleeLost = false;
    bool makesCalls = true;
    int started = 0;
    int refused = 0;

private:
    struct Event
    {
        TimePoint at;
        std::function<void()> action;
        friend bool operator<(const Event &left, const Event &right) { return left.at > right.at; }
    };

    void after(Duration delay, std::function<void()> action) { events_.push({now + delay, std::move(action)}); }
    Duration drawGap(double perSecond)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(perSecond)(random_)));
    }
    bool draw(double share) { return std::bernoulli_distribution(share)(random_); }

    /// Requests of callers, whose timeouts vary by 15 %.
    void arrive(const RouteName &route, double perSecond, Milliseconds timeout)
    {
        after(drawGap(perSecond), [=, this] {
            const double share = std::uniform_real_distribution<double>(0.85, 1.0)(random_);
            last[route] = calls.onArrival(route, std::chrono::duration_cast<Duration>(timeout * share), now);
            arrive(route, perSecond, timeout);
        });
    }
    /// Requests at the upstream. An archive pull takes a second, the others take 90 ms.
    void run(const RouteName &route, std::uint8_t priority, double perSecond, Milliseconds timeout)
    {
        after(drawGap(perSecond), [=, this] {
            run(route, priority, perSecond, timeout);
            if (calls.refuses(route, now)) {
                ++refused;
                return;
            }
            started += route == Lookup ? 1 : 0;
            const CallId call(++lastCall_);
            const TimePoint deadline = now + timeout - Milliseconds(20);
            calls.onStarted(call, route, priority, deadline, now);
            if (route == Lookup && makesCalls && draw(0.7)) {
                after(Milliseconds(45), [=, this] { trace(call, deadline, 2); });
            } else {
                after(Milliseconds(route == Archive ? 1000 : 90), [=, this] { calls.onEnded(call); });
            }
        });
    }
    void trace(CallId parent, TimePoint deadline, int count)
    {
        last[Trace] = calls.onArrival(Trace, std::min<Duration>(Milliseconds(250), deadline - now), now);
        const bool isAnswered = !isCalleeLost;
        after(Milliseconds(isAnswered ? 25 : 200), [=, this] {
            if (last[Trace].standing == CallStanding::Dependent) {
                calls.onCallEnded(Trace, isAnswered, now);
            }
            if (isAnswered && count > 1) {
                trace(parent, deadline, count - 1);
            } else {
                after(Milliseconds(45), [=, this] { calls.onEnded(parent); });
            }
        });
    }

    Random random_;
    std::priority_queue<Event> events_;
    std::uint64_t lastCall_ = 0;
};

}

// Guards against calls that are placed and refused like callers' requests, so that the requests which make them fail,
// and against callers' requests that count as such calls and are then never late.
TEST_CASE("calls by the upstream are recognised within seconds, and the callers' own routes never")
{
    const bool hasArchivePulls = GENERATE(false, true);
    const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{21}));
    CAPTURE(hasArchivePulls, seed);
    LoadedNode node(seed, hasArchivePulls);
    node.advance(Milliseconds(15'000));
    CHECK(node.standing(Trace) == CallStanding::Dependent);
    for (int second = 0; second < 60; ++second) {
        node.advance(Milliseconds(1000));
        CHECK(node.standing(Trace) == CallStanding::Dependent);
        for (const RouteName &route : {Check, Lookup, Order}) {
            CHECK_FALSE(node.last[route].isDependent());
        }
    }
    CHECK(node.last[Trace].parentPriority == std::optional<std::uint8_t>(1));
}

// Guards against a slot that is wasted on each lookup while its calls can't be answered, and against a callee that is
// back but stays unused.
TEST_CASE("while the callee is lost, nine of ten parents are refused, and none soon after it is back")
{
    const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{11}));
    CAPTURE(seed);
    LoadedNode node(seed);
    node.advance(Milliseconds(30'000));
    CHECK(node.refused == 0);
    node.isCalleeLost = true;
    node.advance(Milliseconds(4000));
    node.started = 0;
    node.refused = 0;
    node.advance(Milliseconds(20'000));
    CHECK(node.started > 10);
    CHECK(node.refused > 2 * node.started);
    node.isCalleeLost = false;
    node.advance(Milliseconds(5000));
    node.refused = 0;
    node.advance(Milliseconds(20'000));
    CHECK(node.refused == 0);
}

// Guards against knowledge about software that runs no longer, by which requests would be refused.
TEST_CASE("a different upstream makes the node forget what it learned")
{
    LoadedNode node(1);
    node.calls.setUpstream(UpstreamName("i-1"));
    node.advance(Milliseconds(30'000));
    node.isCalleeLost = true;
    node.advance(Milliseconds(4000));
    REQUIRE(node.calls.wouldRefuse(Lookup, node.now));
    node.calls.setUpstream(UpstreamName("i-1"));
    CHECK(node.calls.wouldRefuse(Lookup, node.now));
    node.calls.setUpstream(UpstreamName("i-2"));
    CHECK_FALSE(node.calls.wouldRefuse(Lookup, node.now));
    CHECK(node.calls.states(node.now).empty());
}

// Guards against parents that are refused for good because no call is made any more that could show the callee.
TEST_CASE("without news of the calls for two seconds, no parent is refused")
{
    LoadedNode node(2);
    node.advance(Milliseconds(30'000));
    node.isCalleeLost = true;
    node.advance(Milliseconds(4000));
    REQUIRE(node.calls.wouldRefuse(Lookup, node.now));
    node.makesCalls = false;
    node.advance(Milliseconds(2500));
    CHECK_FALSE(node.calls.wouldRefuse(Lookup, node.now));
}

// Guards against a node that has just started and treats its upstream's calls like callers' requests.
TEST_CASE("another node's knowledge is adopted for 60 s, and own evidence takes precedence")
{
    const TimePoint start{std::chrono::seconds(1000)};
    DependentCalls fresh;
    CHECK(fresh.onArrival(Trace, Milliseconds(250), start).standing == CallStanding::Unknown);
    fresh.adopt(Trace, start);
    CHECK(fresh.onArrival(Trace, Milliseconds(250), start + std::chrono::seconds(59)).isDependent());
    CHECK_FALSE(fresh.onArrival(Trace, Milliseconds(250), start + std::chrono::seconds(61)).isDependent());

    LoadedNode node(3);
    node.advance(Milliseconds(15'000));
    REQUIRE(node.standing(Check) == CallStanding::Independent);
    node.calls.adopt(Check, node.now);
    node.advance(Milliseconds(2000));
    CHECK(node.standing(Check) == CallStanding::Independent);
}
