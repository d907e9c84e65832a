#include "egress/upstreamexitmonitor.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>

#include "eventloop.h"
#include "http/httpserver.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

asio::awaitable<void> answerNothing(HttpExchange & /*exchange*/)
{
    co_return;
}

HeldRequest heldRequest(const std::string &name)
{
    return {RequestId(name), fingerprintOf({"GET", "h", "/" + name, ""})};
}

struct MonitoredUpstream
{
    MonitoredUpstream()
        : server(std::make_unique<HttpServer>(loop.executor(), HttpLimits(), answerNothing))
        , upstream(server->listen(Endpoint("127.0.0.1:0")).value())
        , pool(loop.executor(), HttpPoolLimits())
        , monitor(loop.executor(), pool, upstream, Random(1),
                  [this](UpstreamCrashId crash, const std::vector<HeldRequest> &requests) {
                      crashes.insert(crash.value());
                      for (const HeldRequest &request : requests) {
                          heldRequests.insert(request.request.value());
                      }
                  })
    {
    }

    void stop() { server.reset(); }
    void restart()
    {
        server = std::make_unique<HttpServer>(loop.executor(), HttpLimits(), answerNothing);
        REQUIRE(server->listen(upstream));
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    Endpoint upstream;
    HttpConnectionPool pool;
    std::set<std::uint64_t> crashes;
    std::set<std::string> heldRequests;
    UpstreamExitMonitor monitor;
};

}

// Guards against requests that are blamed for a crash although their upstream only reset a connection.
TEST_CASE("a broken connection is not a crash if the upstream accepts new connections")
{
    MonitoredUpstream fixture;
    fixture.loop.run([&]() -> asio::awaitable<void> {
        fixture.monitor.onConnectionBroken(heldRequest("reset"));
        co_await fixture.loop.sleep(Milliseconds(30));
    });
    CHECK(fixture.crashes.empty());
}

TEST_CASE(
    "connections that break after the upstream exited are one crash, which lists all requests that the upstream held")
{
    MonitoredUpstream fixture;
    fixture.loop.run([&]() -> asio::awaitable<void> {
        fixture.stop();
        fixture.monitor.onConnectionBroken(heldRequest("first"));
        fixture.monitor.onConnectionBroken(heldRequest("second"));
        co_await fixture.loop.sleep(Milliseconds(30));
        fixture.monitor.onConnectionBroken(heldRequest("a moment later"));
        co_await fixture.loop.sleep(Milliseconds(30));
    });
    CHECK(fixture.crashes.size() == 1);
    CHECK(fixture.heldRequests == std::set<std::string>{"first", "second", "a moment later"});
}

TEST_CASE("each exit of a restarted upstream is another crash")
{
    MonitoredUpstream fixture;
    fixture.loop.run([&]() -> asio::awaitable<void> {
        fixture.stop();
        fixture.monitor.onConnectionBroken(heldRequest("first"));
        co_await fixture.loop.sleep(Milliseconds(300));
        fixture.restart();
        fixture.monitor.onConnectionBroken(heldRequest("bystander"));
        co_await fixture.loop.sleep(Milliseconds(30));
        fixture.stop();
        fixture.monitor.onConnectionBroken(heldRequest("second"));
        co_await fixture.loop.sleep(Milliseconds(30));
    });
    CHECK(fixture.crashes.size() == 2);
    CHECK(fixture.heldRequests == std::set<std::string>{"first", "second"});
}
