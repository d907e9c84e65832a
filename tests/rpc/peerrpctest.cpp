#include "rpc/peerclient.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/rpc-twoparty.h>
#include <catch2/catch.hpp>

#include "core/currenttime.h"
#include "http/tcpendpoint.h"
#include "rpc/asioeventport.h"
#include "rpc/peerserver.h"
#include "rpc/peerstream.h"
#include "rpc/wireconversion.h"
#include "standins/standinrelay.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const Endpoint ServerEndpoint("127.0.0.1:24711");
constexpr std::size_t MaxConnections = 8;

bool permitAlways(CallHead & /*head*/)
{
    return true;
}

asio::awaitable<void> sleepFor(Milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Answers with the body of the call after the number of milliseconds that the target names. If the target is "stream",
/// streams the body twice.
class EchoService final : public PeerService
{
public:
    [[nodiscard]] static NodeIdentity identity() { return {UpstreamName("echo"), Incarnation(7)}; }

    asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                      std::shared_ptr<Cancellation> cancellation) override
    {
        cancellation->setAction([this] { ++cancelCount; });
        lastHead = head;
        if (bodyDigestOnly) {
            body = std::to_string(body.size()) + body.front() + body.back();
        }
        if (head.target == "stream") {
            isStreamed = co_await answer->begin(AnswerHead{200, {}});
            isStreamed = isStreamed && co_await answer->write(body) && co_await answer->write(body);
            isStreamed = isStreamed && co_await answer->end();
            co_return CallOutcome{identity(), {}, StreamedAnswer{}, versions};
        }
        co_await sleepFor(Milliseconds(std::stoi(head.target)));
        cancellation->clearAction();
        co_return CallOutcome{identity(), LoadReport{1, 2, 3, 4, true}, CompleteAnswer{{201, head.headers}, body},
                              versions};
    }

    asio::awaitable<CallOutcome> callWithBody(CallHead head, std::shared_ptr<BodySource> source,
                                              std::shared_ptr<AnswerReceiver> answer,
                                              std::shared_ptr<Cancellation> cancellation) override
    {
        std::string body;
        for (std::optional<std::string> piece = co_await source->next(); piece && !piece->empty();
             piece = co_await source->next()) {
            largestPiece = std::max(largestPiece, piece->size());
            body += *piece;
        }
        co_return co_await call(std::move(head), std::move(body), std::move(answer), std::move(cancellation));
    }

    PeerProbe probe() override { return {identity(), {}}; }
    asio::awaitable<Catalog> catalog(CatalogRequest request) override
    {
        lastCatalogRequest = request;
        co_return catalogAnswer;
    }

    QuarantineUpdate quarantine(const QuarantineUpdate &update) override
    {
        lastUpdate = update;
        return quarantineAnswer;
    }

    CatalogVersions versions{RouteVersion(3), StoreRevision(9), StoreRevision(8)};
    CallHead lastHead;
    /// Answers with the size of the body, its first byte and its last one.
    bool bodyDigestOnly = false;
    /// Of the bodies that came in pieces.
    std::size_t largestPiece = 0;
    QuarantineUpdate lastUpdate;
    QuarantineUpdate quarantineAnswer;
    int cancelCount = 0;
    bool isStreamed = false;
    CatalogRequest lastCatalogRequest;
    Catalog catalogAnswer;
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
        hasEnded = true;
        co_return true;
    }

    int status = 0;
    std::string body;
    bool hasEnded = false;
};

/// A server and a client on one event loop.
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

    asio::awaitable<Result<CallOutcome>> call(std::string target, std::string body, Milliseconds timeout)
    {
        co_return co_await client.call(ServerEndpoint, head(std::move(target)), std::move(body), receiver, permitAlways,
                                       std::chrono::steady_clock::now() + timeout, std::make_shared<Cancellation>());
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
    std::optional<PeerServer> optionalServer{std::in_place, context, service, MaxConnections};
    PeerServer &server = *optionalServer;
    PeerClient client{context};
    std::shared_ptr<CollectingReceiver> receiver = std::make_shared<CollectingReceiver>();
};

asio::awaitable<void> callAndRecordBody(Fixture &fixture, std::string target, std::string body,
                                        std::vector<std::string> &order)
{
    const auto outcome = co_await fixture.call(std::move(target), std::move(body), Milliseconds(2000));
    order.push_back(std::get<CompleteAnswer>(outcome.value().result).body);
}

}

TEST_CASE("a call head arrives at the server as it was sent")
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
        head.isRepeatable = true;
        head.targetUpstream = UpstreamName("i-2");
        head.callerService = ServiceName("plans");
        head.route = RouteName("read");
        head.priority = 4;
        head.targetLatencyLeft = Microseconds(-20);
        head.declineThreshold = Microseconds(90);
        head.disconnectedUpstream = UpstreamName("i-1");
        const TimePoint deadline = std::chrono::steady_clock::now() + Milliseconds(2000);
        const auto outcome = co_await f.client.call(ServerEndpoint, head, std::string("body"), f.receiver, permitAlways,
                                                    deadline, std::make_shared<Cancellation>());
        CHECK(outcome.has_value());
        const CallHead &received = f.service.lastHead;
        CHECK(received.requestId == head.requestId);
        CHECK(received.attempt == head.attempt);
        CHECK(received.ingress == head.ingress);
        CHECK(received.service == head.service);
        CHECK(received.method == head.method);
        CHECK(received.remaining == head.remaining);
        CHECK(received.sentAt == head.sentAt);
        CHECK(received.isRepeatable);
        CHECK(received.targetUpstream == head.targetUpstream);
        CHECK(received.callerService == head.callerService);
        CHECK(received.route == head.route);
        CHECK(received.priority == head.priority);
        CHECK(received.targetLatencyLeft == head.targetLatencyLeft);
        CHECK(received.declineThreshold == head.declineThreshold);
        CHECK_FALSE(received.dryRun);
        CHECK(received.disconnectedUpstream == head.disconnectedUpstream);
    }(fixture));
}

TEST_CASE("an answer carries its head and body, the node's identity, load report and catalog versions")
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

TEST_CASE("answers that arrive in another order than their calls reach the right calls")
{
    Fixture fixture;
    std::vector<std::string> order;
    fixture.run([](Fixture &f, std::vector<std::string> &recorded) -> asio::awaitable<void> {
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, callAndRecordBody(f, "60", "first", recorded), asio::detached);
        asio::co_spawn(executor, callAndRecordBody(f, "5", "second", recorded), asio::detached);
        co_await sleepFor(Milliseconds(150));
    }(fixture, order));
    CHECK(order == std::vector<std::string>{"second", "first"});
}

TEST_CASE("a body over the size of a message arrives whole, in pieces")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        // Not a multiple of the size of a piece.
        std::string body(std::size_t{70} * 1024 * 1024 + 3, 'x');
        body.front() = 'a';
        body.back() = 'z';
        f.service.bodyDigestOnly = true;
        const auto outcome = co_await f.call("0", body, Milliseconds(20000));
        REQUIRE(outcome.has_value());
        CHECK(std::get<CompleteAnswer>(outcome.value().result).body == std::to_string(body.size()) + "az");
        CHECK(f.service.largestPiece <= std::size_t{512} * 1024);
    }(fixture));
}

namespace
{

/// A node of the version before bodies could travel in pieces. It answers each call with its body.
class EarlierNode final : public Wire::Node::Server
{
protected:
    kj::Promise<void> call(CallContext context) override
    {
        CallOutcome outcome;
        outcome.result = CompleteAnswer{{200, {}}, WireConversion::readBytes(context.getParams().getBody())};
        WireConversion::write(context.getResults().initOutcome(), outcome);
        return kj::READY_NOW;
    }
};

/// One connection to an EarlierNode.
struct EarlierConnection
{
    explicit EarlierConnection(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
        , network(stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(network, kj::heap<EarlierNode>()))
    {
    }

    PeerStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

const Endpoint EarlierEndpoint("127.0.0.1:24713");

asio::awaitable<Result<CallOutcome>> callEarlierNode(Fixture &fixture, std::size_t size)
{
    co_return co_await fixture.client.call(EarlierEndpoint, fixture.head("0"), std::string(size, 'x'), fixture.receiver,
                                           permitAlways, std::chrono::steady_clock::now() + Milliseconds(5000),
                                           std::make_shared<Cancellation>());
}

}

TEST_CASE("a node of an earlier version gets a large body with its message, if that can carry it")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        constexpr std::size_t MiB = std::size_t{1024} * 1024;
        const auto executor = co_await asio::this_coro::executor;
        asio::ip::tcp::acceptor acceptor(executor, *toTcpEndpoint(EarlierEndpoint));
        std::unique_ptr<EarlierConnection> connection;
        acceptor.async_accept([&connection](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            REQUIRE(!error);
            connection = std::make_unique<EarlierConnection>(std::move(socket));
        });
        for (int calls = 0; calls < 2; ++calls) {
            const auto outcome = co_await callEarlierNode(f, 2 * MiB);
            REQUIRE(outcome.has_value());
            CHECK(std::get<CompleteAnswer>(outcome.value().result).body.size() == 2 * MiB);
        }
        const auto tooLarge = co_await callEarlierNode(f, 64 * MiB);
        REQUIRE_FALSE(tooLarge.has_value());
        CHECK(tooLarge.error().verdict == Verdict::NotRun);
    }(fixture));
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
        CHECK(f.receiver->hasEnded);
    }(fixture));
}

TEST_CASE("a call without an answer ends at its deadline and is cancelled at the egress")
{
    // Guards against an upstream that keeps working on a call that its caller has given up. The upstream hangs; at the
    // deadline the caller gets the verdict that the call may have run, and the egress is told to cancel the call.
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.call("400", "", Milliseconds(50));
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().verdict == Verdict::MayHaveRun);
        CHECK(outcome.error().reason == Reason::DeadlinePassed);
        co_await sleepFor(Milliseconds(50));
        CHECK(f.service.cancelCount == 1);
    }(fixture));
}

TEST_CASE("a call to a peer that can't be reached fails as not run")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.client.call(Endpoint("127.0.0.1:24712"), f.head("0"), RequestBody(), f.receiver,
                                                    permitAlways, std::chrono::steady_clock::now() + Milliseconds(500),
                                                    std::make_shared<Cancellation>());
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().verdict == Verdict::NotRun);
        CHECK(outcome.error().reason == Reason::ConnectFailed);
    }(fixture));
}

TEST_CASE("a call whose permit is refused is not sent")
{
    // Guards against a call that runs after its caller was told that nothing ran: the caller's deadline passes while
    // the connection is made, and the node then sends the call.
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.client.call(
            ServerEndpoint, f.head("0"), RequestBody(), f.receiver, [](CallHead &) { return false; },
            std::chrono::steady_clock::now() + Milliseconds(500), std::make_shared<Cancellation>());
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().verdict == Verdict::NotRun);
    }(fixture));
}

// Guards against a node of an earlier version that takes an answer for current whose routes it can't read.
TEST_CASE("a node that can't read changes of routes gets no answer that holds some")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        CatalogRequest request;
        request.takesChanges = false;
        const TimePoint deadline = std::chrono::steady_clock::now() + Milliseconds(1000);
        const auto without = co_await f.client.catalog(ServerEndpoint, request, deadline);
        CHECK(without.has_value());
        f.service.catalogAnswer.routes = PackedRoutes{"{changes}"};
        const auto with = co_await f.client.catalog(ServerEndpoint, request, deadline);
        CHECK_FALSE(with.has_value());
    }(fixture));
}

// Guards against an entry that names no upstream and that a node of an earlier version passes on.
TEST_CASE("an entry in a catalog whose addresses can't be reached names no upstream")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        InstanceRecord record;
        record.service = ServiceName("statements");
        std::uint64_t number = 0;
        for (const std::string address :
             {"10.0.0.1:70000", "10.0.0.1:0", "nowhere:80", "10.0.0.1", "", "10.0.0.1:80"}) {
            record.id = UpstreamName("u" + std::to_string(++number));
            record.address = Endpoint(address);
            record.node = Endpoint("10.0.0.1:7620");
            record.revision = StoreRevision(number);
            f.service.catalogAnswer.changes.push_back({record.id, record.revision, record});
        }
        const auto catalog =
            co_await f.client.catalog(ServerEndpoint, {}, std::chrono::steady_clock::now() + Milliseconds(1000));
        REQUIRE(catalog.has_value());
        std::string listed;
        for (const InstanceChange &change : catalog.value().changes) {
            listed += change.record ? change.id.value() : "";
        }
        CHECK(catalog.value().changes.size() == 6);
        CHECK(listed == "u6");
    }(fixture));
}

TEST_CASE("a catalog request and the catalog in its answer arrive as they were sent")
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
        f.service.catalogAnswer.versions = {RouteVersion(5), StoreRevision(9), StoreRevision(11)};
        f.service.catalogAnswer.routes = PackedRoutes{"{routes}"};
        f.service.catalogAnswer.routesFrom = RouteVersion(4);
        f.service.catalogAnswer.routesAge = Milliseconds(40);
        f.service.catalogAnswer.listAge = Milliseconds(50);
        f.service.catalogAnswer.heldFor = Milliseconds(30);
        f.service.catalogAnswer.isSnapshot = true;
        f.service.catalogAnswer.changes = {{record.id, record.revision, record},
                                           {UpstreamName("u2"), StoreRevision(9), {}}};
        f.service.catalogAnswer.store = StoreState::Recovering;
        f.service.catalogAnswer.reader = Endpoint("10.0.0.1:7620");
        f.service.catalogAnswer.storeAge = Milliseconds(60);
        f.service.catalogAnswer.confirmedAge = Milliseconds(0);
        f.service.catalogAnswer.storeAvailableFor = Milliseconds(70);
        f.service.catalogAnswer.isSearching = true;
        f.service.catalogAnswer.isStoreUnwatched = true;
        f.service.catalogAnswer.via = {NodeHash(7), NodeHash(8)};
        f.service.catalogAnswer.quarantine = QuarantineDigest(80);
        f.service.catalogAnswer.hops = 2;
        const EvacuationSnapshot evacuations{
            StoreRevision(12), StoreRevision(11), {{ZoneName("north-a"), StoreRevision(10)}}};
        f.service.catalogAnswer.evacuations = evacuations;
        const CatalogRequest request{
            {RouteVersion(4), StoreRevision(7), StoreRevision(6)}, Milliseconds(20), StoreState::Unavailable};
        const auto catalog =
            co_await f.client.catalog(ServerEndpoint, request, std::chrono::steady_clock::now() + Milliseconds(1000));
        REQUIRE(catalog.has_value());
        CHECK(f.service.lastCatalogRequest.have.routes == RouteVersion(4));
        CHECK(f.service.lastCatalogRequest.have.list == StoreRevision(7));
        CHECK(f.service.lastCatalogRequest.have.evacuations == StoreRevision(6));
        CHECK(f.service.lastCatalogRequest.wait == Milliseconds(20));
        CHECK(f.service.lastCatalogRequest.knownState == StoreState::Unavailable);
        const Catalog &received = catalog.value();
        CHECK(received.versions.routes == RouteVersion(5));
        CHECK(received.versions.list == StoreRevision(9));
        CHECK(received.routes.bytes == "{routes}");
        CHECK(received.routesFrom == RouteVersion(4));
        CHECK(received.routesAge == Milliseconds(40));
        CHECK(received.listAge == Milliseconds(50));
        CHECK(received.heldFor == Milliseconds(30));
        CHECK(received.isSnapshot);
        CHECK(received.store == StoreState::Recovering);
        CHECK(received.reader == Endpoint("10.0.0.1:7620"));
        CHECK(received.storeAge == Milliseconds(60));
        CHECK(received.confirmedAge == Milliseconds(0));
        CHECK(received.storeAvailableFor == Milliseconds(70));
        CHECK(received.isSearching);
        CHECK(received.isStoreUnwatched);
        CHECK(received.via == std::vector<NodeHash>{NodeHash(7), NodeHash(8)});
        CHECK(received.quarantine == QuarantineDigest(80));
        CHECK(received.hops == 2);
        REQUIRE(received.evacuations.has_value());
        CHECK(received.evacuations->revision == evacuations.revision);
        CHECK(received.versions.evacuations == evacuations.lastChange);
        CHECK(received.evacuations->evacuations == evacuations.evacuations);
        REQUIRE(received.changes.size() == 2);
        REQUIRE(received.changes[0].record.has_value());
        CHECK(received.changes[0].record->node == record.node);
        CHECK(received.changes[0].record->state == InstanceState::Draining);
        CHECK(received.changes[0].record->warmUp == Milliseconds(300));
        CHECK(received.changes[1].id == UpstreamName("u2"));
        CHECK_FALSE(received.changes[1].record.has_value());
    }(fixture));
}

TEST_CASE("quarantine updates arrive as they were sent in both directions")
{
    const SuspectedRequest requestOfClient{
        fingerprintOf({"GET", "h", "/a", ""}), {{UpstreamCrashId(3)}}, Milliseconds(40)};
    const SuspectedRequest requestOfServer{fingerprintOf({"GET", "h", "/b", ""}),
                                           {{UpstreamCrashId(4), true}, {UpstreamCrashId(5)}},
                                           std::chrono::hours(20)};
    Fixture fixture;
    fixture.service.quarantineAnswer = {QuarantineDigest(8), {requestOfServer}};
    fixture.run([&](Fixture &f) -> asio::awaitable<void> {
        QuarantineUpdate update{QuarantineDigest(7), {requestOfClient}};
        const auto answer = co_await f.client.quarantine(ServerEndpoint, std::move(update),
                                                         std::chrono::steady_clock::now() + Milliseconds(1000));
        REQUIRE(answer.has_value());
        CHECK(answer.value().digest == QuarantineDigest(8));
        REQUIRE(answer.value().requests.size() == 1);
        CHECK(answer.value().requests[0].fingerprint == requestOfServer.fingerprint);
        CHECK(answer.value().requests[0].crashes == requestOfServer.crashes);
        CHECK(answer.value().requests[0].age == requestOfServer.age);
    }(fixture));
    CHECK(fixture.service.lastUpdate.digest == QuarantineDigest(7));
    REQUIRE(fixture.service.lastUpdate.requests.size() == 1);
    CHECK(fixture.service.lastUpdate.requests[0].crashes == requestOfClient.crashes);
}

// Guards against callers who are told that a request may have run, since it crossed the end of a node that had stopped.
TEST_CASE("a call that crosses the end of a node that has announced its stop was not run")
{
    constexpr unsigned Calls = 5;
    const bool isAnnounced = GENERATE(true, false);
    const Milliseconds sentBefore = GENERATE(Milliseconds(0), Milliseconds(1), Milliseconds(30));
    Fixture fixture;
    fixture.run([](Fixture &f, bool announced, Milliseconds before) -> asio::awaitable<void> {
        (void)co_await f.call("0", "body", Milliseconds(2000));
        if (announced) {
            f.server.announceStop();
        }
        std::vector<Verdict> verdicts;
        const auto send = [&f, &verdicts]() -> asio::awaitable<void> {
            const auto outcome = co_await f.call("10000", "body", Milliseconds(2000));
            verdicts.push_back(outcome.error().verdict);
        };
        for (unsigned number = 0; number < Calls; ++number) {
            asio::co_spawn(f.context, send, asio::detached);
        }
        co_await sleepFor(before);
        f.optionalServer.reset();
        co_await sleepFor(Milliseconds(100));
        CHECK(verdicts == std::vector<Verdict>(Calls, announced ? Verdict::NotRun : Verdict::MayHaveRun));
    }(fixture, isAnnounced, sentBefore));
}

TEST_CASE("a connection on which no call waits is closed once its peer has announced its stop")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        (void)co_await f.call("0", "body", Milliseconds(2000));
        CHECK(f.server.connectionCount() == 1);
        f.server.announceStop();
        co_await sleepFor(Milliseconds(50));
        CHECK(f.server.connectionCount() == 0);
        CHECK(f.client.connectionCount() == 0);
        const auto outcome = co_await f.call("0", "body", Milliseconds(2000));
        CHECK(outcome.error().verdict == Verdict::NotRun);
    }(fixture));
}

// Guards against a node that stops while an answer is still on its way: its request has ended when the service has.
TEST_CASE("a server knows of an answer that its peer has not read yet")
{
    // More than the buffers of both sockets hold.
    constexpr std::size_t AnswerBytes = std::size_t{24} * 1024 * 1024;
    constexpr unsigned Steps = 4000;
    Fixture fixture;
    StandinRelay link(fixture.context.get_executor(), toTcpEndpoint(ServerEndpoint).value());
    RelayConditions conditions;
    conditions.bytesPerSecond = std::uint64_t{100} * 1024 * 1024;
    link.setConditions(conditions);
    const Endpoint relayed = link.listen(toTcpEndpoint(Endpoint("127.0.0.1:0")).value());
    fixture.run([](Fixture &f, Endpoint server) -> asio::awaitable<void> {
        bool isAnswered = false;
        asio::co_spawn(
            f.context,
            [&f, &isAnswered, server]() -> asio::awaitable<void> {
                const auto outcome =
                    co_await f.client.call(server, f.head("0"), std::string(AnswerBytes, 'b'), f.receiver, permitAlways,
                                           currentTime() + Milliseconds(20'000), std::make_shared<Cancellation>());
                CHECK(outcome.has_value());
                isAnswered = true;
            },
            asio::detached);
        unsigned unsentSteps = 0;
        for (unsigned step = 0; step < Steps && !isAnswered; ++step) {
            unsentSteps += f.server.hasUnsentAnswers() ? 1 : 0;
            co_await sleepFor(Milliseconds(5));
        }
        CHECK(isAnswered);
        CHECK(unsentSteps > 0);
        CHECK_FALSE(f.server.hasUnsentAnswers());
    }(fixture, relayed));
}
