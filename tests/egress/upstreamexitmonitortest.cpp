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

HeldRequest held(const std::string &name)
{
    return {RequestId(name), fingerprintOf({"GET", "h", "/" + name, ""})};
}

struct Watched
{
    Watched()
        : server(std::make_unique<HttpServer>(loop.executor(), HttpLimits(), answerNothing))
        , upstream(server->listen(Endpoint("127.0.0.1:0")).value())
        , pool(loop.executor(), HttpPoolLimits())
        , monitor(loop.executor(), pool, upstream, Random(1),
                  [this](UpstreamCrashId crash, const std::vector<HeldRequest> &requests) {
                      crashes.insert(crash.value());
                      for (const HeldRequest &request : requests) {
                          names.insert(request.request.value());
                      }
                  })
    {
    }

    void end() { server.reset(); }
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
    std::set<std::string> names;
    UpstreamExitMonitor monitor;
};

}

// Guards against requests that are accused of a crash since their upstream reset a connection.
TEST_CASE("a connection that breaks while the upstream takes new ones is no crash")
{
    Watched watched;
    watched.loop.run([&]() -> asio::awaitable<void> {
        watched.monitor.connectionBroke(held("reset"));
        co_await watched.loop.sleep(Milliseconds(30));
    });
    CHECK(watched.crashes.empty());
}

TEST_CASE("connections that break with the upstream gone are one crash, which names all that it held")
{
    Watched watched;
    watched.loop.run([&]() -> asio::awaitable<void> {
        watched.end();
        watched.monitor.connectionBroke(held("first"));
        watched.monitor.connectionBroke(held("second"));
        co_await watched.loop.sleep(Milliseconds(30));
        watched.monitor.connectionBroke(held("a moment later"));
        co_await watched.loop.sleep(Milliseconds(30));
    });
    CHECK(watched.crashes.size() == 1);
    CHECK(watched.names == std::set<std::string>{"first", "second", "a moment later"});
}

TEST_CASE("an upstream that ends again is another crash")
{
    Watched watched;
    watched.loop.run([&]() -> asio::awaitable<void> {
        watched.end();
        watched.monitor.connectionBroke(held("first"));
        co_await watched.loop.sleep(Milliseconds(300));
        watched.restart();
        watched.monitor.connectionBroke(held("bystander"));
        co_await watched.loop.sleep(Milliseconds(30));
        watched.end();
        watched.monitor.connectionBroke(held("second"));
        co_await watched.loop.sleep(Milliseconds(30));
    });
    CHECK(watched.crashes.size() == 2);
    CHECK(watched.names == std::set<std::string>{"first", "second"});
}
