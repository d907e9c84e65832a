#include <catch2/catch.hpp>

#include <string>

#include "deployment.h"

using namespace Egretpath;

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds ParentTimeout{900};
constexpr Milliseconds CallTimeout{250};

/// A deployment with one upstream. It runs requests of the route "read" of 60 ms, and calls of the route "pay" arrive
/// at the node beside it while they run. Callers of the route "v" come at any time.
struct CallingDeployment : Deployment
{
    CallingDeployment()
    {
        catalog.remove("i-2");
        one.runDuration = Milliseconds(60);
    }

    /// Sends requests for @p duration, each second 5 that make a call and 25 of callers.
    asio::awaitable<void> sendFor(Milliseconds duration)
    {
        for (Milliseconds sent{0}; sent < duration; sent += Milliseconds(200)) {
            const std::string parent = "p" + std::to_string(++parents_);
            start([this, parent]() -> asio::awaitable<void> {
                const Reply reply = co_await send(second.callers, "GET", "/read/1", parent, ParentTimeout);
                parentsAnswered += reply.status == 200 ? 1 : 0;
                parentsRefused += reply.body.find("calls find no place") != std::string::npos ? 1 : 0;
            });
            start([this, parent]() -> asio::awaitable<void> {
                // A request that is refused makes no call.
                for (int check = 0; check < 20 && one.runs(parent) == 0; ++check) {
                    co_await sleep(Milliseconds(1));
                }
                if (one.runs(parent) > 0) {
                    co_await ask("/pay/1", callTimeout);
                }
            });
            for (int caller = 0; caller < 5; ++caller) {
                co_await sleep(Milliseconds(40));
                start([this]() -> asio::awaitable<void> { co_await ask("/v10/1", ParentTimeout); });
            }
        }
    }
    /// Sends a request to the node beside the upstream.
    asio::awaitable<void> ask(std::string path, Milliseconds timeout)
    {
        std::string id("d");
        id += std::to_string(++requests_);
        (void)co_await send(first.callers, "GET", std::move(path), std::move(id), timeout);
    }
    asio::awaitable<void> readOperatorPages()
    {
        const Reply metricsReply = co_await send(first.operators, "GET", "/metrics", "");
        metrics = metricsReply.body;
        const Reply statusReply = co_await send(first.operators, "GET", "/status", "");
        status = statusReply.body;
    }
    [[nodiscard]] bool hasMetric(const std::string &name) const { return metrics.find(name) != std::string::npos; }

    Milliseconds callTimeout = CallTimeout;
    int parentsAnswered = 0;
    int parentsRefused = 0;
    std::string metrics;
    std::string status;

private:
    int requests_ = 0;
    int parents_ = 0;
};

}

// Guards against an ingress that is not told what runs at the upstream beside it.
TEST_CASE("an ingress recognises the calls of the upstream beside it, and no route of its callers")
{
    CallingDeployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.sendFor(Milliseconds(10'000));
        co_await deployment.readOperatorPages();
    });
    CHECK(deployment.parentsAnswered > 40);
    CHECK(deployment.hasMetric("egretpath_dependent_calls_total{route=\"pay\"}"));
    CHECK_FALSE(deployment.hasMetric("egretpath_dependent_calls_total{route=\"v\"}"));
}
