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
    [[nodiscard]] NodeIdentity identity() const override { return {UpstreamName("echo"), Incarnation(7)}; }

    asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                      std::shared_ptr<Cancellation> cancellation) override
    {
        cancellation->setAction([this] { ++cancelled; });
        if (head.target == "stream") {
            streamed = co_await answer->begin(AnswerHead{200, {}});
            streamed = streamed && co_await answer->write(body) && co_await answer->write(body);
            streamed = streamed && co_await answer->end();
            co_return CallOutcome{identity(), {}, StreamedAnswer{}};
        }
        co_await sleepFor(Milliseconds(std::stoi(head.target)));
        cancellation->clearAction();
        co_return CallOutcome{identity(), LoadReport{1, 2, 3, 4, true}, WholeAnswer{{201, head.headers}, body, false}};
    }

    asio::awaitable<Admission> upload(CallHead /*head*/, std::shared_ptr<AnswerReceiver> /*answer*/,
                                      std::shared_ptr<Cancellation> /*cancellation*/) override
    {
        co_return CallOutcome{identity(), {}, notRun(Reason::Overloaded, "full", Milliseconds(20))};
    }

    TableSummary pushTable(UpstreamName sender, ExchangeSubject subject, PushChange push) override
    {
        lastSubject = subject;
        lastSender = sender;
        return {push.target, push.base, std::nullopt};
    }
    PullAnswer pullTable(UpstreamName /*sender*/, ExchangeSubject subject, PullRequest pull) override
    {
        lastSubject = subject;
        PullAnswer answer;
        answer.summary.version = pull.have;
        answer.kind = PayloadKind::Whole;
        answer.payload = "rows";
        return answer;
    }
    void notify(UpstreamName /*sender*/, std::vector<MembershipNotice> notices) override
    {
        lastNotices = std::move(notices);
    }
    PeerProbe probe() override { return {identity(), {}}; }
    std::string vmList() override { return {}; }
    void hello(NodeIdentity peer, std::uint64_t nextSequence) override
    {
        introduced.push_back(peer.incarnation);
        introducedSequence = nextSequence;
    }

    int cancelled = 0;
    bool streamed = false;
    std::vector<Incarnation> introduced;
    std::uint64_t introducedSequence = 0;
    UpstreamName lastSender;
    std::optional<ExchangeSubject> lastSubject;
    std::vector<MembershipNotice> lastNotices;
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
        head.sequence = 41;
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
    PeerClient client{context, NodeIdentity{UpstreamName("caller"), Incarnation(1)}};
    std::shared_ptr<CollectingReceiver> receiver = std::make_shared<CollectingReceiver>();
};

asio::awaitable<void> callInto(Fixture &fixture, std::string target, std::string body, std::vector<std::string> &order)
{
    const auto outcome = co_await fixture.call(std::move(target), std::move(body), Milliseconds(2000));
    order.push_back(std::get<WholeAnswer>(outcome.value().result).body);
}

}

TEST_CASE("an answer carries head, body, identity and report")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto outcome = co_await f.call("0", "body", Milliseconds(2000));
        REQUIRE(outcome.has_value());
        const auto &answer = std::get<WholeAnswer>(outcome.value().result);
        CHECK(answer.head.status == 201);
        CHECK(answer.head.headers.find("X-Name") == "value");
        CHECK(answer.body == "body");
        CHECK(outcome.value().identity.incarnation == Incarnation(7));
        CHECK(outcome.value().report->leaving);
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

TEST_CASE("a refused upload brings its reason and when to come back")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const auto admission = co_await f.client.upload(ServerEndpoint, f.head("0"), f.receiver, always,
                                                        std::chrono::steady_clock::now() + Milliseconds(500),
                                                        std::make_shared<Cancellation>());
        REQUIRE(admission.has_value());
        const auto &failure = std::get<Failure>(std::get<CallOutcome>(admission.value()).result);
        CHECK(failure.reason == Reason::Overloaded);
        CHECK(failure.retryAfter == Milliseconds(20));
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

TEST_CASE("tables and notices travel whole")
{
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        const TimePoint deadline = std::chrono::steady_clock::now() + Milliseconds(1000);
        const TableVersion base{TableNumber(6), Digest{1, 2}};
        const TableVersion target{TableNumber(7), Digest{3, 4}};
        const PushChange push{base, target, SpreadScope::Fleet, "change"};
        const auto pushed = co_await f.client.pushTable(ServerEndpoint, ExchangeSubject::VmList, push, deadline);
        REQUIRE(pushed.has_value());
        CHECK(pushed.value().version == target);
        CHECK(pushed.value().heard == base);
        CHECK_FALSE(pushed.value().confirmedAge.has_value());
        CHECK(f.service.lastSender == UpstreamName("caller"));
        CHECK(f.service.lastSubject == ExchangeSubject::VmList);
        const PullRequest pull{std::nullopt, true};
        const auto pulled = co_await f.client.pullTable(ServerEndpoint, ExchangeSubject::Table, pull, deadline);
        REQUIRE(pulled.has_value());
        CHECK_FALSE(pulled.value().summary.version.has_value());
        CHECK(pulled.value().payload == "rows");
        CHECK(f.service.lastSubject == ExchangeSubject::Table);
        const MembershipNotice notice{UpstreamName("statements-1"), Incarnation(5), VmState::Leaving, Milliseconds(12),
                                      SpreadScope::Region};
        const std::vector<MembershipNotice> notices{notice};
        const auto notified = co_await f.client.notify(ServerEndpoint, notices, deadline);
        CHECK(notified.has_value());
        CHECK(f.service.lastNotices == notices);
    }(fixture));
}

TEST_CASE("a new connection names the largest sequence sent before")
{
    // A connection breaks and a copy of an old call comes late on another one. The egress can tell it from a new call
    // only if the ingress says where it stands before it sends anything else.
    Fixture fixture;
    fixture.run([](Fixture &f) -> asio::awaitable<void> {
        CHECK((co_await f.call("0", "", Milliseconds(500))).has_value());
        CHECK(f.service.introduced == std::vector<Incarnation>{Incarnation(1)});
        CHECK(f.service.introducedSequence == 1);
        f.client.closeIdle(std::chrono::steady_clock::now() + Milliseconds(1000), Milliseconds(1));
        CHECK((co_await f.call("0", "", Milliseconds(500))).has_value());
        CHECK(f.service.introducedSequence == 42);
    }(fixture));
}
