#include <map>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/currenttime.h"
#include "soak/stoprun.h"
#include "standins/standinprogram.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// Every third node is beside an upstream of the service that the orders go to.
constexpr std::size_t Nodes = 27;
constexpr std::size_t Services = 3;
constexpr NodeNumber FirstOrderNode = 1;
/// Orders keep the slots of all their upstreams busy, so that no node is idle again once they have begun.
constexpr unsigned OrderCallers = 80;
constexpr Milliseconds OrderTimeout{900};
constexpr Milliseconds Grace{6000};

StopRunOptions optionsWith(Milliseconds grace)
{
    StopRunOptions options;
    options.nodes = Nodes;
    options.grace = grace;
    return options;
}

/// A run with callers whose orders begin, pause and begin again.
class OrderRun : public StopRun
{
public:
    explicit OrderRun(Milliseconds grace = Grace)
        : StopRun(optionsWith(grace))
    {
    }

    /// Opens connections of callers to @p node and leaves them open.
    asio::awaitable<void> openConnections(NodeNumber node, unsigned count)
    {
        std::vector<std::unique_ptr<HttpClientCall>> calls;
        for (unsigned number = 0; number < count; ++number) {
            auto call = co_await connect(node, currentTime() + OrderTimeout);
            REQUIRE(call);
            HttpRequestHead head = makeHead("GET", "/none/1", OrderTimeout);
            (void)co_await exchange(*call, std::move(head));
            calls.push_back(std::move(call));
        }
    }

    /// Makes the upstream beside @p node cold for good.
    void cool(NodeNumber node)
    {
        deployment().member(node).upstream->statements().coldUntil = currentTime() + std::chrono::hours(1);
    }

    /// Sends orders without a pause at the nodes that are not stopped, until endOrders().
    void beginOrders()
    {
        hasOrders_ = true;
        for (unsigned caller = 0; caller < OrderCallers; ++caller) {
            start(sendOrders(caller));
        }
    }
    void endOrders() { hasOrders_ = false; }

    [[nodiscard]] bool hasEnded(NodeNumber node) const { return hasLogged(node, "event=stop state=drained"); }
    [[nodiscard]] bool wasCutAtItsEnd(NodeNumber node) const { return hasLogged(node, "event=stop state=grace-over"); }
    /// How many orders ended with each status; 0: without an answer.
    [[nodiscard]] const std::map<std::uint16_t, unsigned> &orders() const { return orders_; }

private:
    asio::awaitable<void> sendOrders(unsigned caller)
    {
        // Nodes beside upstreams of the other services, which no test stops.
        const NodeNumber node = static_cast<NodeNumber>(caller % (Nodes / Services) * Services);
        while (hasOrders_) {
            HttpRequestHead head = makeHead("POST", "/pay/1", OrderTimeout);
            const std::uint16_t status =
                co_await send(deployment().member(node).callers, std::move(head), 2 * OrderTimeout);
            ++orders_[status];
            if (status != OkStatus) {
                co_await sleepFor(Milliseconds(20));
            }
        }
    }

    std::map<std::uint16_t, unsigned> orders_;
    bool hasOrders_ = false;
};

/// When the orders begin, after the requests to stop.
struct StopMoment
{
    Milliseconds ordersBegin;
    unsigned openConnections;
};

/// The nodes that are stopped, each at another moment. The last one beside an upstream of their service serves on.
constexpr StopMoment Moments[] = {{Milliseconds(2300), 1}, {Milliseconds(2360), 2}, {Milliseconds(2410), 1},
                                  {Milliseconds(2450), 4}, {Milliseconds(2490), 8}, {Milliseconds(2530), 1},
                                  {Milliseconds(2570), 2}, {Milliseconds(2620), 1}};

NodeNumber stoppedNode(std::size_t moment)
{
    return static_cast<NodeNumber>(FirstOrderNode + moment * Services);
}

/// Stops a node for each moment, so that the orders begin at that moment of each stop.
/// @p pause: the time without new orders before they begin, after others have been sent. Nothing: none is sent before.
asio::awaitable<void> stopAroundOrders(OrderRun &run, std::optional<Milliseconds> pause)
{
    co_await run.startNodes();
    for (std::size_t moment = 0; moment < std::size(Moments); ++moment) {
        co_await run.openConnections(stoppedNode(moment), Moments[moment].openConnections);
    }
    const TimePoint begin = currentTime() + Moments[std::size(Moments) - 1].ordersBegin + Milliseconds(100);
    if (pause) {
        run.beginOrders();
    }
    for (std::size_t moment = std::size(Moments); moment-- > 0;) {
        co_await sleepFor(begin - Moments[moment].ordersBegin - currentTime());
        run.stopNode(stoppedNode(moment));
    }
    if (pause) {
        co_await sleepFor(begin - *pause - currentTime());
        run.endOrders();
    }
    co_await sleepFor(begin - currentTime());
    run.beginOrders();
    co_await sleepFor(Grace - Moments[0].ordersBegin);
    run.endOrders();
    co_await sleepFor(OrderTimeout);
}

}

// Guards against a node that is idle when its time to drain comes, never drains, and cuts the orders that it took on.
TEST_CASE("a node that stops drains in time, whenever work comes back to it", "[.stops]")
{
    const std::optional<Milliseconds> pause =
        GENERATE(std::optional<Milliseconds>(), std::optional(Milliseconds(450)), std::optional(Milliseconds(700)));
    OrderRun run;
    run.run(stopAroundOrders(run, pause));
    for (std::size_t moment = 0; moment < std::size(Moments); ++moment) {
        INFO("orders came back " << Moments[moment].ordersBegin.count() << " ms after the request to stop, with "
                                 << Moments[moment].openConnections << " connections open");
        CHECK_FALSE(run.wasCutAtItsEnd(stoppedNode(moment)));
        CHECK(run.hasEnded(stoppedNode(moment)));
    }
    CHECK(run.orders().at(OkStatus) > 0);
}

// Guards against callers who are told that their order may have run, since it crossed the end of a node that had
// drained.
TEST_CASE("orders that find nodes at the end of their stops are answered, or refused as not run", "[.stops]")
{
    const std::optional<Milliseconds> pause = GENERATE(std::optional<Milliseconds>(), std::optional(Milliseconds(450)));
    OrderRun run;
    run.run(stopAroundOrders(run, pause));
    unsigned untold = 0;
    for (const auto &[status, count] : run.orders()) {
        UNSCOPED_INFO(count << " orders with status " << status);
        const bool isTold = status == OkStatus || status == UnavailableStatus || status == DeadlineStatus;
        untold += isTold ? 0 : count;
    }
    CHECK(untold == 0);
}

// Guards against a use after free at the end of a process: calls that wait are cancelled when the role is gone.
TEST_CASE("a node whose calls wait for a turn or a slot until its process ends ends as planned", "[.stops]")
{
    const Milliseconds grace = GENERATE(Milliseconds(500), Milliseconds(1200));
    const bool areUpstreamsCold = GENERATE(true, false);
    OrderRun run(grace);
    run.run([](OrderRun &run, Milliseconds stopTime, bool areCold) -> asio::awaitable<void> {
        co_await run.startNodes();
        for (NodeNumber node = FirstOrderNode; areCold && node < Nodes; node += Services) {
            run.cool(node);
        }
        run.beginOrders();
        co_await sleepFor(OrderTimeout);
        for (NodeNumber node = FirstOrderNode; node < Nodes; node += Services) {
            run.stopNode(node);
        }
        co_await sleepFor(stopTime + Milliseconds(100));
        run.endOrders();
        co_await sleepFor(OrderTimeout);
    }(run, grace, areUpstreamsCold));
    for (const std::string &badExit : run.badExits()) {
        FAIL_CHECK(badExit);
    }
    CHECK(run.orders().at(OkStatus) > 0);
}
