#include "rpc/peerclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "rpc/asioeventport.h"
#include "rpc/peerserver.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const Endpoint ServerEndpoint("127.0.0.1:24711");
constexpr std::size_t ConnectionCap = 8;

bool always(CallHead & /*head*/)
{
    return true;
}

asio::awaitable<void> sleepFor(Milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Answers with the body it got, after as many milliseconds as the target says.
class EchoService final : public PeerService
{
public:
    [[nodiscard]] static NodeIdentity identity() { return {UpstreamName("echo"), Incarnation(7)}; }

    asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                      std::shared_ptr<Cancellation> cancellation) override
    {
        cancellation->setAction([this] { ++cancelled; });
        lastHead = head;
        if (head.target == "stream") {
            streamed = co_await answer->begin(AnswerHead{200, {}});
            streamed = streamed && co_await answer->write(body) && co_await answer->write(body);
            streamed = streamed && co_await answer->end();
            co_return CallOutcome{identity(), {}, StreamedAnswer{}, versions};
        }
        co_await sleepFor(Milliseconds(std::stoi(head.target)));
        cancellation->clearAction();
        co_return CallOutcome{identity(), LoadReport{1, 2, 3, 4, true}, CompleteAnswer{{201, head.headers}, body},
                              versions};
    }

    PeerProbe probe() override { return {identity(), {}}; }
    asio::awaitable<Catalog> catalog(CatalogRequest request) override
    {
        lastRequest = request;
        co_return sent;
    }

    QuarantineUpdate quarantine(const QuarantineUpdate &update) override
    {
        lastUpdate = update;
        return answeredNews;
    }

    CatalogVersions versions{RouteVersion(3), StoreRevision(9)};
    CallHead lastHead;
    QuarantineUpdate lastUpdate;
    QuarantineUpdate answeredNews;
    int cancelled = 0;
    bool streamed = false;
    CatalogRequest lastRequest;
    Catalog sent;
};

class CollectingReceiver final : public AnswerReceiver
{
public:
    asio::awaitable<bool> begin(AnswerHead head) override
    {
        status = head.status;
        co_return true;
    }
    asio::awaitable<bool> write(std::string chunk) override
    {
        body += chunk;
        co_return true;
    }
    asio::awaitable<bool> end() override
    {
        ended = true;
        co_return true;
    }

    int status = 0;
    std::string body;
    bool ended = false;
};

/// A server and a client in one loop.
struct Fixture
{
    Fixture() { server.listen(ServerEndpoint); }

    CallHead head(std::string target)
    {
        CallHead head;
        head.target = std::move(target);
        head.headers.add("X-Name", "value");
        return head;
    }

    asio::awaitable<Result<CallOutcome>> call(std::string target, std::string body, Milliseconds limit)
    {
        co_return co_await client.call(ServerEndpoint, head(std::move(target)), std::move(body), receiver, always,
                                       std::chrono::steady_clock::now() + limit, std::make_shared<Cancellation>());
    }

    void run(asio::awaitable<void> work)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(work), [&](std::exception_ptr error) {
            failure = error;
            context.stop();
        });
        context.run();
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    AsioEventPort port;
    asio::io_context &context = port.context();
    EchoService service;
    PeerServer server{context, service, ConnectionCap};
    PeerClient client{context};
    std::shared_ptr<CollectingReceiver> receiver = std::make_shared<CollectingReceiver>();
};

asio::awaitable<void> callInto(Fixture &fixture, std::string target, std::string body, std::vector<std::string> &order)
{
    const auto outcome = co_await fixture.call(std::move(target), std::move(body), Milliseconds(2000));
    order.push_back(std::get<CompleteAnswer>(outcome.value().result).body);
}

}

TEST_CASE("a call arrives as it was sent")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        CallHead head = f.head("0");
        head.requestId = RequestId("r");
        head.attempt = 2;
        head.ingress = {UpstreamName("in"), Incarnation(5)};
        head.service = ServiceName("statements");
        head.method = "PUT";
        head.remaining = Microseconds(700);
        head.sentAt = Microseconds(-3);
        head.repeatable = true;
        head.targetUpstream = UpstreamName("i-2");
        head.callerService = ServiceName("plans");
        head.route = RouteName("read");
        head.priority = 4;
        head.targetLatencyLeft = Microseconds(-20);
        head.declineThreshold = Microseconds(90);
        head.disconnectedUpstream = UpstreamName("i-1");
        const TimePoint limit = std::chrono::steady_clock::now() + Milliseconds(2000);
        const auto outcome = co_await f.client.call(ServerEndpoint, head, std::string("body"), f.receiver, always,
                                                    limit, std::make_shared<Cancellation>());
        CHECK(outcome.has_value());
        const CallHead &got = f.service.lastHead;
        CHECK(got.requestId == head.requestId);
        CHECK(got.attempt == head.attempt);
        CHECK(got.ingress == head.ingress);
        CHECK(got.service == head.service);
        CHECK(got.method == head.method);
        CHECK(got.remaining == head.remaining);
        CHECK(got.sentAt == head.sentAt);
        CHECK(got.repeatable);
        CHECK(got.targetUpstream == head.targetUpstream);
        CHECK(got.callerService == head.callerService);
        CHECK(got.route == head.route);
        CHECK(got.priority == head.priority);
        CHECK(got.targetLatencyLeft == head.targetLatencyLeft);
        CHECK(got.declineThreshold == head.declineThreshold);
        CHECK_FALSE(got.dryRun);
        CHECK(got.disconnectedUpstream == head.disconnectedUpstream);
    }(fixture));
}

TEST_CASE("an answer carries head, body, identity and report")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.call("0", "body", Milliseconds(2000));
        REQUIRE(outcome.has_value());
        const auto &answer = std::get<CompleteAnswer>(outcome.value().result);
        CHECK(answer.head.status == 201);
        CHECK(answer.head.headers.find("X-Name") == "value");
        CHECK(answer.body == "body");
        CHECK(outcome.value().identity.incarnation == Incarnation(7));
        CHECK(outcome.value().report->draining);
        CHECK(outcome.value().catalog.routes == RouteVersion(3));
        CHECK(outcome.value().catalog.list == StoreRevision(9));
    }(fixture));
}

TEST_CASE("answers that come back in another order reach their own calls")
{
    Fixture fixture;
    std::vector<std::string> order;
    fixture.run([](Fixture &f, std::vector<std::string> &done) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, callInto(f, "60", "first", done), asio::detached);
        asio::co_spawn(executor, callInto(f, "5", "second", done), asio::detached);
        co_await sleepFor(Milliseconds(150));
    }(fixture, order));
    CHECK(order == std::vector<std::string>{"second", "first"});
}

TEST_CASE("a large answer is streamed in pieces")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const std::string chunk(200'000, 'x');
        const auto outcome = co_await f.call("stream", chunk, Milliseconds(2000));
        REQUIRE(outcome.has_value());
        CHECK(std::holds_alternative<StreamedAnswer>(outcome.value().result));
        CHECK(f.receiver->body == chunk + chunk);
        CHECK(f.receiver->ended);
    }(fixture));
}

TEST_CASE("a call without an answer ends at its deadline and the egress is told")
{
    // The upstream hangs; the caller gets its verdict at the deadline. What was handed over may have run, and the
    // egress hears of the cancellation, so that the upstream does not work for nobody.
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.call("400", "", Milliseconds(50));
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().verdict == Verdict::MayHaveRun);
        CHECK(outcome.error().reason == Reason::DeadlinePassed);
        co_await sleepFor(Milliseconds(50));
        CHECK(f.service.cancelled == 1);
    }(fixture));
}

TEST_CASE("a peer that can't be reached has not run the call")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.client.call(Endpoint("127.0.0.1:24712"), f.head("0"), "", f.receiver, always,
                                                    std::chrono::steady_clock::now() + Milliseconds(500),
                                                    std::make_shared<Cancellation>());
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().verdict == Verdict::NotRun);
        CHECK(outcome.error().reason == Reason::ConnectFailed);
    }(fixture));
}

TEST_CASE("a call whose permit is refused is not sent")
{
    // The caller's deadline passes while the connection is made; the caller is told that nothing ran. The node must
    // not send the call afterwards.
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.client.call(
            ServerEndpoint, f.head("0"), "", f.receiver, [](CallHead &) { return false; },
            std::chrono::steady_clock::now() + Milliseconds(500), std::make_shared<Cancellation>());
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().verdict == Verdict::NotRun);
    }(fixture));
}

TEST_CASE("routes and changes of the list travel whole")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        InstanceRecord record;
        record.id = UpstreamName("u1");
        record.service = ServiceName("statements");
        record.location = {RegionName("north"), ZoneName("north-a")};
        record.address = Endpoint("10.0.0.1:1");
        record.node = Endpoint("10.0.0.1:2");
        record.slots = 6;
        record.state = InstanceState::Draining;
        record.warmUp = Milliseconds(300);
        record.revision = StoreRevision(8);
        f.service.sent.has = {RouteVersion(5), StoreRevision(9)};
        f.service.sent.routes = PackedRoutes{"{routes}"};
        f.service.sent.routesAge = Milliseconds(40);
        f.service.sent.listAge = Milliseconds(50);
        f.service.sent.held = Milliseconds(30);
        f.service.sent.whole = true;
        f.service.sent.changes = {{record.id, record.revision, record}, {UpstreamName("u2"), StoreRevision(9), {}}};
        f.service.sent.store = StoreState::Recovering;
        f.service.sent.reader = Endpoint("10.0.0.1:7620");
        f.service.sent.storeAge = Milliseconds(60);
        f.service.sent.storeAvailableFor = Milliseconds(70);
        f.service.sent.quarantine = QuarantineDigest(80);
        f.service.sent.hops = 2;
        const CatalogRequest request{{RouteVersion(4), StoreRevision(7)}, Milliseconds(20), StoreState::Unavailable};
        const auto catalog =
            co_await f.client.catalog(ServerEndpoint, request, std::chrono::steady_clock::now() + Milliseconds(1000));
        REQUIRE(catalog.has_value());
        CHECK(f.service.lastRequest.have.routes == RouteVersion(4));
        CHECK(f.service.lastRequest.have.list == StoreRevision(7));
        CHECK(f.service.lastRequest.wait == Milliseconds(20));
        CHECK(f.service.lastRequest.known == StoreState::Unavailable);
        const Catalog &got = catalog.value();
        CHECK(got.has.routes == RouteVersion(5));
        CHECK(got.has.list == StoreRevision(9));
        CHECK(got.routes.bytes == "{routes}");
        CHECK(got.routesAge == Milliseconds(40));
        CHECK(got.listAge == Milliseconds(50));
        CHECK(got.held == Milliseconds(30));
        CHECK(got.whole);
        CHECK(got.store == StoreState::Recovering);
        CHECK(got.reader == Endpoint("10.0.0.1:7620"));
        CHECK(got.storeAge == Milliseconds(60));
        CHECK(got.storeAvailableFor == Milliseconds(70));
        CHECK(got.quarantine == QuarantineDigest(80));
        CHECK(got.hops == 2);
        REQUIRE(got.changes.size() == 2);
        REQUIRE(got.changes[0].record.has_value());
        CHECK(got.changes[0].record->node == record.node);
        CHECK(got.changes[0].record->state == InstanceState::Draining);
        CHECK(got.changes[0].record->warmUp == Milliseconds(300));
        CHECK(got.changes[1].id == UpstreamName("u2"));
        CHECK_FALSE(got.changes[1].record.has_value());
    }(fixture));
}

TEST_CASE("what nodes tell each other of requests that end upstreams arrives as it was sent")
{
    const SuspectedRequest asked{fingerprintOf({"GET", "h", "/a", ""}), {{UpstreamCrashId(3)}}, Milliseconds(40)};
    const SuspectedRequest answered{fingerprintOf({"GET", "h", "/b", ""}),
                                    {{UpstreamCrashId(4), true}, {UpstreamCrashId(5)}},
                                    std::chrono::hours(20)};
    Fixture fixture;
    fixture.service.answeredNews = {QuarantineDigest(8), {answered}};
    fixture.run([&](Fixture &f) -> asio::awaitable<void> {
        QuarantineUpdate update{QuarantineDigest(7), {asked}};
        const auto answer = co_await f.client.quarantine(ServerEndpoint, std::move(update),
                                                         std::chrono::steady_clock::now() + Milliseconds(1000));
        REQUIRE(answer.has_value());
        CHECK(answer.value().digest == QuarantineDigest(8));
        REQUIRE(answer.value().requests.size() == 1);
        CHECK(answer.value().requests[0].fingerprint == answered.fingerprint);
        CHECK(answer.value().requests[0].crashes == answered.crashes);
        CHECK(answer.value().requests[0].age == answered.age);
    }(fixture));
    CHECK(fixture.service.lastUpdate.digest == QuarantineDigest(7));
    REQUIRE(fixture.service.lastUpdate.requests.size() == 1);
    CHECK(fixture.service.lastUpdate.requests[0].crashes == asked.crashes);
}
