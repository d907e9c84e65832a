#include "platform/platformclient.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

#include "eventloop.h"
#include "http/httpserver.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// A service that gives one prepared answer and remembers what it was asked.
struct FakeService
{
    FakeService(EventLoop &loop, HttpResponseHead response, std::string responseBody)
        : head(std::move(response))
        , body(std::move(responseBody))
        , server(loop.executor(), HttpLimits(),
                 [this](HttpExchange &exchange) -> asio::awaitable<void> {
                     target = exchange.head().target;
                     (void)co_await exchange.respond(head, body);
                 })
        , endpoint(server.listen(Endpoint("127.0.0.1:0")).value())
    {
    }

    HttpResponseHead head;
    std::string body;
    std::string target;
    HttpServer server;
    Endpoint endpoint;
};

HttpResponseHead responseWith(std::uint16_t status, HttpHeaders headers)
{
    HttpResponseHead head(status);
    head.headers = std::move(headers);
    return head;
}

struct Reading
{
    PlatformResult<PlatformValue> result = PlatformFailure{};
    std::string target;
    PlatformCounts counts;
};

Reading readFrom(const HttpResponseHead &response, const std::string &body, PlatformLimits limits = PlatformLimits())
{
    EventLoop loop;
    FakeService service(loop, response, body);
    PlatformClient client(loop.executor(), service.endpoint, limits);
    Reading reading;
    loop.run([&]() -> asio::awaitable<void> {
        auto result = co_await client.read(PlatformKey("egretpath/table one"));
        reading.result = std::move(result);
    });
    reading.target = service.target;
    reading.counts = client.counts();
    return reading;
}

}

TEST_CASE("a read gives the value and its index")
{
    const Reading reading = readFrom(responseWith(200, {{"X-Consul-Index", "42"}}), "rows");
    REQUIRE(reading.result);
    CHECK(reading.result.value().value == "rows");
    CHECK(reading.result.value().index == 42);
    CHECK(reading.target == "/v1/kv/egretpath/table%20one?raw");
    CHECK(reading.counts.reads == 1);
    CHECK(reading.counts.failures == 0);
}

TEST_CASE("each failure has its own problem")
{
    const Reading absent = readFrom(responseWith(404, {{"X-Consul-Index", "7"}}), "");
    REQUIRE_FALSE(absent.result);
    CHECK(absent.result.error().problem == PlatformProblem::Absent);
    CHECK(absent.result.error().index == 7);

    const Reading throttled = readFrom(responseWith(429, {{"Retry-After", "2"}}), "");
    REQUIRE_FALSE(throttled.result);
    CHECK(throttled.result.error().problem == PlatformProblem::Throttled);
    CHECK(throttled.result.error().retryAfter == std::chrono::seconds(2));

    const Reading broken = readFrom(responseWith(500, {{"X-Consul-Index", "7"}}), "");
    REQUIRE_FALSE(broken.result);
    CHECK(broken.result.error().problem == PlatformProblem::BadAnswer);

    const Reading noIndex = readFrom(responseWith(200, {}), "rows");
    REQUIRE_FALSE(noIndex.result);
    CHECK(noIndex.result.error().problem == PlatformProblem::BadAnswer);

    PlatformLimits limits;
    limits.valueBytes = Bytes(10);
    const Reading tooLarge = readFrom(responseWith(200, {{"X-Consul-Index", "1"}}), std::string(11, 'x'), limits);
    REQUIRE_FALSE(tooLarge.result);
    CHECK(tooLarge.result.error().problem == PlatformProblem::TooLarge);
    CHECK(tooLarge.counts.failures == 1);
}

TEST_CASE("a service that is down or silent is told apart")
{
    EventLoop loop;
    Endpoint down;
    {
        HttpServer server(loop.executor(), HttpLimits(), nullptr);
        down = server.listen(Endpoint("127.0.0.1:0")).value();
    }
    HttpServer silent(loop.executor(), HttpLimits(), [&](HttpExchange &exchange) -> asio::awaitable<void> {
        co_await loop.until([&] { return exchange.callerGone(); });
    });
    const Endpoint endpoint = silent.listen(Endpoint("127.0.0.1:0")).value();
    PlatformLimits limits;
    limits.readTimeout = Milliseconds(30);
    PlatformClient toDown(loop.executor(), down, limits);
    PlatformClient toSilent(loop.executor(), endpoint, limits);
    loop.run([&]() -> asio::awaitable<void> {
        const auto refused = co_await toDown.read(PlatformKey("a"));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().problem == PlatformProblem::Unreachable);
        const auto late = co_await toSilent.read(PlatformKey("a"));
        REQUIRE_FALSE(late);
        CHECK(late.error().problem == PlatformProblem::TimedOut);
    });
}

TEST_CASE("a watch names its index and its waiting time, and outlasts the read timeout")
{
    EventLoop loop;
    std::string target;
    HttpServer server(loop.executor(), HttpLimits(), [&](HttpExchange &exchange) -> asio::awaitable<void> {
        target = exchange.head().target;
        co_await loop.sleep(Milliseconds(60));
        const HttpResponseHead head = responseWith(200, {{"X-Consul-Index", "6"}});
        (void)co_await exchange.respond(head, "new");
    });
    PlatformLimits limits;
    limits.readTimeout = Milliseconds(30);
    PlatformClient client(loop.executor(), server.listen(Endpoint("127.0.0.1:0")).value(), limits);
    loop.run([&]() -> asio::awaitable<void> {
        const auto changed = co_await client.watch(PlatformKey("a"), 5, Milliseconds(5000));
        REQUIRE(changed);
        CHECK(changed.value().index == 6);
    });
    CHECK(target == "/v1/kv/a?raw&index=5&wait=5000ms");
    CHECK(client.counts().watches == 1);
}
