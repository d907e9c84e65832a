#include <catch2/catch.hpp>

#include <string>

#include "deployment.h"

using namespace Egretpath;

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds ParentTimeout{900};
constexpr Milliseconds CallTimeout{250};

void checkRefusals(int refused, int min, int max)
{
    CHECK(refused >= min);
    CHECK(refused <= max);
}

/// A deployment whose upstreams run requests of the route "read" of 60 ms. Calls of the route "pay" arrive at the node
/// beside an upstream while it runs one. Callers of the route "v" come to each node at any time.
struct CallingDeployment : Deployment
{
    explicit CallingDeployment(bool hasTwoUpstreams = false)
        : hasTwoUpstreams_(hasTwoUpstreams)
    {
        if (!hasTwoUpstreams_) {
            catalog.remove("i-2");
        }
        one.runDuration = Milliseconds(60);
        two.runDuration = Milliseconds(60);
    }

    /// Sends requests for @p duration, each second 8 that make a call, and 24 of callers of each upstream.
    asio::awaitable<void> sendFor(Milliseconds duration)
    {
        for (Milliseconds sent{0}; sent < duration; sent += Milliseconds(123)) {
            const std::string parent = "p" + std::to_string(++parents_);
            start([this, parent]() -> asio::awaitable<void> {
                const Reply reply = co_await send(second.callers, "GET", "/read/1", parent, ParentTimeout);
                parentsAnswered += reply.status == 200 ? 1 : 0;
                parentsRefused += reply.body.find("calls find no place") != std::string::npos ? 1 : 0;
            });
            start([this, parent]() -> asio::awaitable<void> {
                // A request that is refused makes no call.
                for (int check = 0; check < 20 && runs(parent) == 0; ++check) {
                    co_await sleep(Milliseconds(1));
                }
                if (runs(parent) > 0) {
                    co_await ask(one.runs(parent) > 0 ? first : second, "/pay/1", callTimeout);
                }
            });
            for (int caller = 0; caller < 3; ++caller) {
                co_await sleep(Milliseconds(41));
                start([this]() -> asio::awaitable<void> { co_await ask(first, "/v10/1", ParentTimeout); });
                if (hasTwoUpstreams_) {
                    start([this]() -> asio::awaitable<void> { co_await ask(second, "/v10/1", ParentTimeout); });
                }
            }
        }
    }
    asio::awaitable<void> ask(const TestNode &node, std::string path, Milliseconds timeout)
    {
        std::string id("d");
        id += std::to_string(++requests_);
        (void)co_await send(node.callers, "GET", std::move(path), std::move(id), timeout);
    }
    /// Reads the operators' pages of @p node.
    asio::awaitable<void> readPages(const TestNode &node)
    {
        const Reply metricsReply = co_await send(node.metrics, "GET", "/metrics", "");
        metrics = metricsReply.body;
        const Reply statusReply = co_await send(node.metrics, "GET", "/status", "");
        status = statusReply.body;
    }
    /// Whether the status that was read last gives calls of the route "pay" this standing.
    [[nodiscard]] bool callsAre(const std::string &standing) const
    {
        return status.find(R"("calls":[{"route":"pay","standing":")" + standing) != std::string::npos;
    }
    [[nodiscard]] bool hasMetric(const std::string &name) const { return metrics.find(name) != std::string::npos; }

    Milliseconds callTimeout = CallTimeout;
    int parentsAnswered = 0;
    int parentsRefused = 0;
    std::string metrics;
    std::string status;

private:
    bool hasTwoUpstreams_;
    int requests_ = 0;
    int parents_ = 0;
};

}

// Guards against an ingress that is not told what runs at the upstream beside it.
TEST_CASE("an ingress recognises the calls of the upstream beside it, and no route of its callers")
{
    CallingDeployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.sendFor(Milliseconds(8000));
        co_await deployment.readPages(deployment.first);
    });
    CHECK(deployment.callsAre("dependent"));
    CHECK(deployment.parentsAnswered > 40);
    CHECK(deployment.hasMetric("egretpath_dependent_calls_total{route=\"pay\"}"));
    CHECK_FALSE(deployment.hasMetric("egretpath_dependent_calls_total{route=\"v\"}"));
}

// Guards against slots that are taken by requests whose calls can't be answered, and against a refusal that outlasts
// the loss.
TEST_CASE("requests whose calls find no answer are refused as not run until the calls are answered again")
{
    CallingDeployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.sendFor(Milliseconds(7500));
        checkRefusals(deployment.parentsRefused, 0, 0);
        // No answer comes within this time.
        deployment.callTimeout = Milliseconds(2);
        co_await deployment.sendFor(Milliseconds(4000));
        checkRefusals(deployment.parentsRefused, 6, 28);
        co_await deployment.readPages(deployment.first);
        CHECK(deployment.hasMetric("egretpath_parents_refused_total{route=\"read\"}"));
        deployment.callTimeout = CallTimeout;
        co_await deployment.sendFor(Milliseconds(3000));
        const int refused = deployment.parentsRefused;
        co_await deployment.sendFor(Milliseconds(1000));
        checkRefusals(deployment.parentsRefused - refused, 0, 0);
    });
}

// Guards against a node that treats its upstream's calls like callers' requests until it has evidence of its own.
TEST_CASE("a node that has just started learns from the nodes that it asks which routes are calls")
{
    CallingDeployment deployment(true);
    deployment.run([&]() -> asio::awaitable<void> {
        bool isKnown = false;
        for (int second = 0; second < 14 && !isKnown; ++second) {
            co_await deployment.sendFor(Milliseconds(1000));
            co_await deployment.readPages(deployment.first);
            isKnown = deployment.callsAre("dependent");
            co_await deployment.readPages(deployment.second);
            isKnown = isKnown && deployment.callsAre("dependent");
        }
        checkHappened(isKnown);
        // Each node prefers its own upstream. So that both ask one upstream, the other leaves the list.
        deployment.catalog.remove("i-2");
        co_await deployment.ask(deployment.first, "/pay/1", CallTimeout);
        co_await deployment.ask(deployment.second, "/pay/1", CallTimeout);
        TestNode &third = deployment.addNode(deployment.addUpstream("i-3"), "statements");
        deployment.catalog.remove("i-3");
        co_await deployment.sleep(Milliseconds(100));
        for (int call = 0; call < 4; ++call) {
            co_await deployment.ask(third, "/pay/1", CallTimeout);
        }
        co_await deployment.readPages(third);
        checkHappened(deployment.callsAre("adopted"));
    });
}
