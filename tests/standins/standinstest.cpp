#include <catch2/catch.hpp>

#include <string>
#include <utility>

#include "../http/awaitedcheck.h"
#include "../http/eventloop.h"
#include "core/digest.h"
#include "http/httpconnectionpool.h"
#include "http/httpserver.h"
#include "http/tcpendpoint.h"
#include "platform/platformclient.h"
#include "standins/loadarrivals.h"
#include "standins/loadgenerator.h"
#include "standins/querytarget.h"
#include "standins/servicetime.h"
#include "standins/standinplatform.h"
#include "standins/standinrelay.h"
#include "standins/standinupstream.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const Endpoint AnyPort("127.0.0.1:0");

TimePoint soon(Duration duration = std::chrono::seconds(10))
{
    return std::chrono::steady_clock::now() + duration;
}

/// A stand-in behind a server, and a pool to call it.
template<typename Standin>
struct Served
{
    template<typename... Arguments>
    explicit Served(EventLoop &loop, Arguments &&...arguments)
        : standin(loop.executor(), std::forward<Arguments>(arguments)...)
        , server(loop.executor(), HttpLimits(), [this](HttpExchange &exchange) { return standin.handle(exchange); })
        , endpoint(server.listen(AnyPort).value())
        , pool(loop.executor(), HttpPoolLimits())
    {
    }

    asio::awaitable<std::string> call(std::string method, std::string target, std::string body = std::string())
    {
        auto opened = co_await pool.open(endpoint, soon());
        REQUIRE(opened);
        const HttpRequestHead head(std::move(method), std::move(target));
        const auto sent = co_await opened.value()->sendRequest(head, std::move(body));
        REQUIRE(sent);
        const auto response = co_await opened.value()->readHead();
        REQUIRE(response);
        auto answer = co_await opened.value()->readWholeBody(Bytes(100000));
        REQUIRE(answer);
        co_return std::to_string(response.value().status) + " " + answer.value();
    }

    Standin standin;
    HttpServer server;
    Endpoint endpoint;
    HttpConnectionPool pool;
};

StandinUpstreamOptions quickUpstream()
{
    StandinUpstreamOptions options;
    options.serviceTime.medianMilliseconds = 1;
    options.serviceTime.sigma = 0;
    options.reportLag = Milliseconds(20);
    return options;
}

LoadPlan smallPlan(const Endpoint &ingress)
{
    LoadPlan plan;
    plan.ingresses = {ingress.value()};
    plan.callsPerSecond = 500;
    plan.seconds = 0.2;
    plan.uploadBytes = 100'000;
    plan.keySource = KeySource::Random;
    return plan;
}

}

TEST_CASE("a target is taken apart")
{
    const QueryTarget target("/control?mode=up&raw&wait=5");
    CHECK(target.path() == "/control");
    CHECK(target.find("mode") == "up");
    CHECK(target.has("raw"));
    CHECK(target.number("wait") == 5);
    CHECK_FALSE(target.number("mode").has_value());
    CHECK(QueryTarget("/plain").path() == "/plain");
}

TEST_CASE("service times fall with the cold start and repeat with their seed")
{
    ServiceTimeOptions options;
    options.sigma = 0;
    options.medianMilliseconds = 10;
    options.coldTime = Milliseconds(1000);
    options.coldFactor = 5;
    const TimePoint start = soon();
    ServiceTime time(options, 1, start);
    CHECK(time.draw(start) == Milliseconds(50));
    CHECK(time.draw(start + Milliseconds(500)) == Milliseconds(30));
    CHECK(time.draw(start + Milliseconds(1000)) == Milliseconds(10));
    time.setSlowFactor(10);
    CHECK(time.draw(start + Milliseconds(1000)) == Milliseconds(100));
    options.sigma = 1;
    CHECK(ServiceTime(options, 7, start).draw(start) == ServiceTime(options, 7, start).draw(start));
}

TEST_CASE("arrivals repeat with their seed, keep their rate and bring bursts")
{
    LoadPlan plan;
    plan.callsPerSecond = 100;
    plan.burstEverySeconds = 1;
    plan.burstCalls = 50;
    LoadArrivals first(plan);
    LoadArrivals second(plan);
    Duration last{0};
    int inBursts = 0;
    int count = 0;
    while (last < std::chrono::seconds(100)) {
        const auto arrival = first.next();
        CHECK(arrival.time == second.next().time);
        CHECK(arrival.time >= last);
        inBursts += arrival.time % std::chrono::seconds(1) == Duration::zero() ? 1 : 0;
        last = arrival.time;
        ++count;
    }
    CHECK(inBursts >= 99 * 50);
    CHECK(count > 14000);
    CHECK(count < 16000);
}

TEST_CASE("the platform's stand-in holds values, wakes watches, and goes stale, down and over its limit")
{
    EventLoop loop;
    StandinPlatformOptions options;
    options.readsPerSecond = 100;
    Served<StandinPlatform> platform(loop, options);
    PlatformClient client(loop.executor(), platform.endpoint);
    const PlatformKey key("egretpath/table");
    loop.run([&]() -> asio::awaitable<void> {
        auto value = co_await client.read(key);
        REQUIRE_FALSE(value);
        CHECK(value.error().problem == PlatformProblem::Absent);

        (void)co_await platform.call("PUT", "/v1/kv/egretpath/table", "one");
        value = co_await client.watch(key, value.error().index, std::chrono::seconds(5));
        REQUIRE(value);
        CHECK(value.value().value == "one");
        const auto unchanged = co_await client.watch(key, value.value().index, Milliseconds(20));
        REQUIRE(unchanged);
        CHECK(unchanged.value().index == value.value().index);

        (void)co_await platform.call("POST", "/control?mode=stale");
        (void)co_await platform.call("PUT", "/v1/kv/egretpath/table", "two");
        value = co_await client.read(key);
        REQUIRE(value);
        CHECK(value.value().value == "one");
        (void)co_await platform.call("POST", "/control?mode=down");
        value = co_await client.read(key);
        REQUIRE_FALSE(value);
        CHECK(value.error().problem == PlatformProblem::Unreachable);
        (void)co_await platform.call("POST", "/control?mode=up");
        value = co_await client.read(key);
        REQUIRE(value);
        CHECK(value.value().value == "two");

        bool throttled = false;
        for (int read = 0; read < 250 && !throttled; ++read) {
            value = co_await client.read(key);
            throttled = !value && value.error().problem == PlatformProblem::Throttled;
        }
        CHECK(throttled);
    });
}

TEST_CASE("the list of VMs lags when told so")
{
    EventLoop loop;
    Served<StandinPlatform> platform(loop, StandinPlatformOptions());
    PlatformClient client(loop.executor(), platform.endpoint);
    loop.run([&]() -> asio::awaitable<void> {
        (void)co_await platform.call("POST", "/control?vms_lag_ms=30");
        (void)co_await platform.call("PUT", "/v1/kv/egretpath/vms", "list");
        auto value = co_await client.read(PlatformKey("egretpath/vms"));
        CHECK_FALSE(value);
        value = co_await client.watch(PlatformKey("egretpath/vms"), 1, std::chrono::seconds(5));
        REQUIRE(value);
        CHECK(value.value().value == "list");
    });
}

TEST_CASE("the upstream's stand-in sheds over its slots, drains late in its reports, and stops for callers that leave")
{
    EventLoop loop;
    StandinUpstreamOptions options = quickUpstream();
    options.slots = 1;
    options.queue = 0;
    Served<StandinUpstream> upstream(loop, options);
    loop.run([&]() -> asio::awaitable<void> {
        const std::string fresh = co_await upstream.call("GET", "/statements/1");
        CHECK(fresh.starts_with("200 "));
        (void)co_await upstream.call("POST", "/control?slow=10000");
        auto leaving = co_await upstream.pool.open(upstream.endpoint, soon());
        REQUIRE(leaving);
        const auto sent = co_await leaving.value()->sendRequest(HttpRequestHead(), std::string());
        REQUIRE(sent);
        co_await loop.sleep(Milliseconds(20));
        const std::string shed = co_await upstream.call("GET", "/statements/2");
        CHECK(shed.starts_with("503 "));
        leaving.value()->cancel();
        co_await loop.sleep(Milliseconds(20));
        const std::string counts = co_await upstream.call("GET", "/control/counts");
        CHECK(counts.find(R"("cancelled":1)") != std::string::npos);
        CHECK(counts.find(R"("running":0)") != std::string::npos);

        (void)co_await upstream.call("POST", "/control?drain=1&slow=1");
        const std::string early = co_await upstream.call("GET", "/health");
        CHECK(early.starts_with("200 "));
        const std::string draining = co_await upstream.call("GET", "/statements/3");
        CHECK(draining.starts_with("503 "));
        co_await loop.sleep(Milliseconds(60));
        const std::string late = co_await upstream.call("GET", "/health");
        CHECK(late.starts_with("503 "));
        (void)co_await upstream.call("POST", "/control?drain=2");
        const std::string run = co_await upstream.call("GET", "/statements/4");
        CHECK(run.starts_with("200 "));
    });
}

TEST_CASE("the load tool serves itself from a sound upstream and checks what it gets")
{
    EventLoop loop;
    Served<StandinUpstream> upstream(loop, [] {
        StandinUpstreamOptions options = quickUpstream();
        options.slots = 100;
        return options;
    }());
    LoadPlan plan = smallPlan(upstream.endpoint);
    plan.uploads = 0.2;
    LoadGenerator generator(loop.executor(), plan);
    loop.run([&]() -> asio::awaitable<void> { co_await generator.run(); });
    std::ostringstream report;
    generator.summary().print(report, std::chrono::seconds(1));
    CHECK(report.str().find("served 0 ") == std::string::npos);
    CHECK(report.str().find("not_run 0 ") != std::string::npos);
    CHECK(report.str().find("may_have_run 0 ") != std::string::npos);
    CHECK(generator.summary().wrongAnswers() == 0);
}

TEST_CASE("the load tool tells wrong answers and truncated ones from right ones")
{
    EventLoop loop;
    HttpServer wrong(loop.executor(), HttpLimits(), [](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpResponseHead head;
        head.headers.add("Standin-Request-Id", "another call");
        (void)co_await exchange.respond(head, std::string(200, 'x'));
    });
    LoadGenerator toWrong(loop.executor(), smallPlan(wrong.listen(AnyPort).value()));
    Served<StandinUpstream> truncating(loop, quickUpstream());
    LoadGenerator toTruncating(loop.executor(), smallPlan(truncating.endpoint));
    loop.run([&]() -> asio::awaitable<void> {
        co_await toWrong.run();
        (void)co_await truncating.call("POST", "/control?truncate=1");
        co_await toTruncating.run();
    });
    CHECK(toWrong.summary().wrongAnswers() > 0);
    std::ostringstream report;
    toTruncating.summary().print(report, std::chrono::seconds(1));
    CHECK(report.str().starts_with("served 0 calls\n"));
    CHECK(report.str().find("may_have_run 0 ") == std::string::npos);
}

// A copy of a request lies in the network while its sender gives up and closes. It arrives later all the same.
TEST_CASE("the relay holds a request back and delivers it after its sender closed")
{
    EventLoop loop;
    Served<StandinUpstream> upstream(loop, quickUpstream());
    StandinRelay relay(loop.executor(), *toTcpEndpoint(upstream.endpoint));
    const Endpoint through = relay.listen(*toTcpEndpoint(AnyPort));
    HttpServer control(loop.executor(), HttpLimits(), [&](HttpExchange &exchange) { return relay.control(exchange); });
    const Endpoint controlEndpoint = control.listen(AnyPort).value();
    const auto command = [&](std::string target) -> asio::awaitable<void> {
        auto opened = co_await upstream.pool.open(controlEndpoint, soon());
        REQUIRE(opened);
        const HttpRequestHead head("POST", std::move(target));
        (void)co_await opened.value()->sendRequest(head, std::string());
        const auto response = co_await opened.value()->readHead();
        REQUIRE(response);
        CHECK(response.value().status == 200);
        (void)co_await opened.value()->readBody();
    };
    loop.run([&]() -> asio::awaitable<void> {
        co_await command("/control?hold=1");
        auto opened = co_await upstream.pool.open(through, soon(Milliseconds(300)));
        REQUIRE(opened);
        const auto sent = co_await opened.value()->sendRequest(HttpRequestHead(), std::string());
        REQUIRE(sent);
        const auto response = co_await opened.value()->readHead();
        REQUIRE_FALSE(response);
        CHECK(response.error().reason == Reason::DeadlinePassed);
        opened.value().reset();
        std::string counts = co_await upstream.call("GET", "/control/counts");
        CHECK(counts.find(R"("started":0)") != std::string::npos);
        co_await command("/control?hold=0");
        co_await loop.sleep(Milliseconds(50));
        counts = co_await upstream.call("GET", "/control/counts");
        CHECK(counts.find(R"("started":1)") != std::string::npos);

        co_await command("/control?cut=reset");
        auto refused = co_await upstream.pool.open(through, soon());
        if (refused) {
            (void)co_await refused.value()->sendRequest(HttpRequestHead(), std::string());
            const auto none = co_await refused.value()->readHead();
            CHECK_FALSE(none);
        }
    });
}
