// Processor time of one call between nodes and of one decision's log line.

#include <memory>
#include <string>
#include <utility>

#include <benchmark/benchmark.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "rpc/asioeventport.h"
#include "rpc/peerclient.h"
#include "rpc/peerserver.h"
#include "telemetry/eventlog.h"

namespace Egretpath
{

namespace
{

namespace asio = boost::asio;

const Endpoint ServerEndpoint("127.0.0.1:24713");
constexpr std::size_t MaxConnections = 4;
constexpr std::uint64_t NoLimit = 1'000'000'000;

/// Answers each call at once with the body of the call.
class EchoService final : public PeerService
{
public:
    [[nodiscard]] static NodeIdentity identity() { return {UpstreamName("echo"), Incarnation(7)}; }
    asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> /*answer*/,
                                      std::shared_ptr<Cancellation> /*cancellation*/) override
    {
        CompleteAnswer answer;
        answer.head.status = 200;
        answer.head.headers = std::move(head.headers);
        answer.body = std::move(body);
        CallOutcome outcome;
        outcome.identity = identity();
        outcome.result = std::move(answer);
        co_return outcome;
    }
    asio::awaitable<CallOutcome> callWithBody(CallHead head, std::shared_ptr<BodySource> source,
                                              std::shared_ptr<AnswerReceiver> answer,
                                              std::shared_ptr<Cancellation> cancellation) override
    {
        std::string body;
        for (std::optional<std::string> piece = co_await source->next(); piece && !piece->empty();
             piece = co_await source->next()) {
            body += *piece;
        }
        co_return co_await call(std::move(head), std::move(body), std::move(answer), std::move(cancellation));
    }
    PeerProbe probe() override { return {identity(), {}}; }
    asio::awaitable<Catalog> catalog(CatalogRequest /*request*/) override
    {
        Catalog catalog;
        catalog.evacuations.emplace();
        co_return catalog;
    }
    QuarantineUpdate quarantine(const QuarantineUpdate & /*update*/) override { return {}; }
};

CallHead typicalHead()
{
    CallHead head;
    head.requestId = RequestId("statements-1-17144512032731968161-306");
    head.service = ServiceName("statements");
    head.method = "GET";
    head.target = "/statements/17?year=2";
    head.headers.add("Host", "127.0.0.1:8080");
    head.headers.add("Accept", "application/json");
    head.headers.add("User-Agent", "benchmark");
    return head;
}

asio::awaitable<void> repeatCalls(PeerClient &client, std::size_t bodyBytes, benchmark::State &state)
{
    const PeerClient::SendPermit always = [](CallHead &) { return true; };
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        auto cancellation = std::make_shared<Cancellation>();
        const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        const auto outcome = co_await client.call(ServerEndpoint, typicalHead(), std::string(bodyBytes, 'x'), nullptr,
                                                  always, deadline, std::move(cancellation));
        if (!outcome) {
            state.SkipWithError("a call failed");
            break;
        }
    }
}

asio::awaitable<void> repeatQueries(PeerClient &client, benchmark::State &state)
{
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        const auto catalog = co_await client.catalog(ServerEndpoint, CatalogRequest(), deadline);
        if (!catalog) {
            state.SkipWithError("a query failed");
            break;
        }
    }
}

/// Runs @p work with a client, against a server on the same thread. The measured processor time is that of both ends,
/// including the sockets. Returns the bytes of both directions.
template<typename Work>
std::uint64_t runBetweenNodes(const Work &work)
{
    AsioEventPort port;
    EchoService service;
    PeerServer server(port.context(), service, MaxConnections);
    server.listen(ServerEndpoint);
    PeerClient client(port.context());
    asio::co_spawn(port.context(), work(client), [&port](std::exception_ptr) { port.context().stop(); });
    port.context().run();
    return client.bytesTransferred();
}

void callBetweenNodes(benchmark::State &state)
{
    const auto bodyBytes = static_cast<std::size_t>(state.range(0));
    runBetweenNodes([&](PeerClient &client) { return repeatCalls(client, bodyBytes, state); });
}

/// A follower's query while there is no update. The counter `bytes` is the size of one query with its answer.
void quietQuestion(benchmark::State &state)
{
    const std::uint64_t bytes = runBetweenNodes([&](PeerClient &client) { return repeatQueries(client, state); });
    state.counters["bytes"] = static_cast<double>(bytes) / static_cast<double>(state.iterations());
}

void decisionLine(benchmark::State &state)
{
    EventLogSettings settings;
    settings.file = "/dev/null";
    settings.decisionsPerSecond = static_cast<std::uint64_t>(state.range(0));
    EventLog log(settings);
    for (auto iteration : state) {
        benchmark::DoNotOptimize(iteration);
        if (log.admitsDecision(std::chrono::steady_clock::now(), DecisionKind::Failure)) {
            StructuredLine line("route");
            line.add("request", "statements-1-17144512032731968161-306").add("try", std::uint64_t{1});
            line.add("service", "statements").add("chosen", "statements-2").add("why", "own-zone");
            line.add("score", 1.25).add("considered", std::uint64_t{6});
            log.decision(line);
        }
    }
}

BENCHMARK(callBetweenNodes)->Arg(200)->Arg(16'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(quietQuestion)->Unit(benchmark::kMicrosecond);
// The limit of zero shows the cost of a dropped line.
BENCHMARK(decisionLine)->Arg(NoLimit)->Arg(0)->Unit(benchmark::kNanosecond);

}

}

BENCHMARK_MAIN();
